/**
 * DOC: Fuzz target: the byte stream of a connection between nodes, received in two
 * pieces.
 *
 * The first byte of the input selects where the stream is split. An accepted call must be
 * the same after packing and unpacking, and an accepted answer must have valid fields.
 */
#include <stdlib.h>
#include <string.h>

#include "net/body_transfer.h"
#include "net/frame_stream.h"
#include "wire/codec.h"

#define BODY_LIMIT (1u << 20)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
ignore_body (void *user)
{
  (void)user;
}

static Fq__Wire__Frame *
unpack (const uint8_t *data, size_t size)
{
  return fq__wire__frame__unpack (NULL, size - FQ_FRAME_LENGTH_BYTES,
                                  data + FQ_FRAME_LENGTH_BYTES);
}

static void
check_call_round_trip (const Fq__Wire__Call *call)
{
  fq_peer_call_effect_t effect = { .attempt = call->attempt };
  fq_request_t *decoded = NULL;
  Fq__Wire__Frame *frame;
  uint8_t *packed;
  size_t size;

  if (fq_call_from_wire (&effect.request, call) < 0)
    return;
  effect.remaining_ms = effect.request->remaining_ms;
  effect.retry_allowance = effect.request->retry_allowance;
  if (fq_frame_pack_call (&packed, &size, &effect) < 0)
    abort ();
  frame = unpack (packed, size);
  if (frame == NULL || fq_call_from_wire (&decoded, frame->call) < 0
      || fq_request_fingerprint (decoded) != fq_request_fingerprint (effect.request)
      || strcmp (decoded->key, effect.request->key) != 0
      || decoded->once != effect.request->once
      || strpbrk (decoded->path, " \r\n") != NULL)
    abort ();
  fq__wire__frame__free_unpacked (frame, NULL);
  fq_request_unref (decoded);
  fq_request_unref (effect.request);
  free (packed);
}

static void
check_answer (const Fq__Wire__Answer *wire)
{
  fq_answer_t answer;

  if (fq_answer_from_wire (&answer, wire) < 0)
    return;
  if (answer.outcome > FQ_OUTCOME_UNKNOWN || answer.cause >= FQ_CAUSE_COUNT
      || strpbrk (answer.location, "\r\n") != NULL)
    abort ();
  fq_blob_unref (answer.body);
}

static int
on_frame (void *user, const uint8_t *data, size_t size)
{
  fq_body_transfer_t *bodies = user;
  Fq__Wire__Frame *frame = fq__wire__frame__unpack (NULL, size, data);
  fq_blob_t *body = NULL;
  void *ignored;
  int rc = FQ_OK;

  if (frame == NULL)
    return FQ_ERROR_INVALID;
  switch (frame->kind_case)
    {
    case FQ__WIRE__FRAME__KIND_CALL:
      check_call_round_trip (frame->call);
      if (frame->call->body_size < BODY_LIMIT)
        (void)fq_body_expect (bodies, frame->call->attempt, frame->call->body_size, 100,
                              NULL);
      break;
    case FQ__WIRE__FRAME__KIND_ANSWER:
      check_answer (frame->answer);
      break;
    case FQ__WIRE__FRAME__KIND_DATA:
      rc = fq_body_receive (bodies, frame->data->attempt, frame->data->bytes.data,
                            frame->data->bytes.len, &body, &ignored);
      fq_blob_unref (body);
      break;
    case FQ__WIRE__FRAME__KIND_CANCEL:
      (void)fq_body_cancel_receive (bodies, frame->cancel->attempt);
      break;
    case FQ__WIRE__FRAME__KIND_CREDIT:
      rc = fq_body_add_credit (bodies, frame->credit->bytes);
      break;
    default:
      break;
    }
  fq__wire__frame__free_unpacked (frame, NULL);
  return rc;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  fq_frame_stream_t stream;
  fq_body_transfer_t bodies;
  size_t cut;

  if (size == 0)
    return 0;
  cut = data[0] % size;
  fq_frame_stream_init (&stream, FQ_FRAME_BYTES_MAX);
  fq_body_transfer_init (&bodies);
  if (fq_frame_stream_feed (&stream, data + 1, cut == 0 ? 0 : cut - 1, on_frame, &bodies)
      == FQ_OK)
    (void)fq_frame_stream_feed (&stream, data + (cut == 0 ? 1 : cut),
                                size - (cut == 0 ? 1 : cut), on_frame, &bodies);
  /* The same bytes as one frame, so that the fuzzer need not find a valid length. */
  (void)on_frame (&bodies, data + 1, size - 1);
  fq_body_transfer_clear (&bodies, ignore_body);
  fq_frame_stream_clear (&stream);
  return 0;
}
