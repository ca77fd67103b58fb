/**
 * DOC: Fuzz target: the HTTP reader. A message must be read the same in one piece and in
 * pieces of three bytes, and a request must be the same after writing and reading it.
 */
#include <stdlib.h>
#include <string.h>

#include "http/reader.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const fq_http_limits_t limits = { .head_bytes = 2048, .body_bytes = 2048 };

/* Returns the first message of @data, read in pieces of @step bytes; NULL: none complete.
 */
static fq_http_message_t *
read_in_steps (const uint8_t *data, size_t size, size_t step, fq_http_kind_t kind)
{
  fq_http_reader_t reader;
  fq_http_progress_t progress = FQ_HTTP_INCOMPLETE;
  fq_http_message_t *message = NULL;
  size_t used = 0;

  fq_http_reader_init (&reader, kind, &limits);
  while (used < size && progress == FQ_HTTP_INCOMPLETE)
    {
      size_t left = size - used;
      size_t taken;

      progress
          = fq_http_reader_feed (&reader, data + used, left < step ? left : step, &taken);
      if (taken > left)
        abort ();
      used += taken;
    }
  if (progress == FQ_HTTP_COMPLETE)
    message = fq_http_reader_take (&reader);
  fq_http_reader_clear (&reader);
  return message;
}

static bool
is_same (const fq_http_message_t *left, const fq_http_message_t *right)
{
  size_t size = fq_http_message_body_size (left);

  return left->status == right->status && strcmp (left->method, right->method) == 0
         && strcmp (left->fields, right->fields) == 0
         && size == fq_http_message_body_size (right)
         && (size == 0 || memcmp (left->body->data, right->body->data, size) == 0);
}

static void
check_round_trip (const fq_http_message_t *message)
{
  fq_output_t text;
  fq_http_message_t *reread;

  fq_output_init (&text);
  fq_http_write_request (&text, message);
  reread = read_in_steps (fq_buffer_bytes (&text.bytes), fq_buffer_size (&text.bytes),
                          SIZE_MAX, FQ_HTTP_REQUESTS);
  /* NULL: the head exceeds its limit, as the Content-Length field may have grown. */
  if (reread != NULL && !is_same (message, reread))
    abort ();
  fq_http_message_unref (reread);
  fq_output_clear (&text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (int kind = FQ_HTTP_REQUESTS; kind <= FQ_HTTP_ANSWERS; kind++)
    {
      fq_http_message_t *in_one_piece
          = read_in_steps (data, size, SIZE_MAX, (fq_http_kind_t)kind);
      fq_http_message_t *in_pieces = read_in_steps (data, size, 3, (fq_http_kind_t)kind);

      if ((in_one_piece == NULL) != (in_pieces == NULL)
          || (in_one_piece != NULL && !is_same (in_one_piece, in_pieces)))
        abort ();
      if (in_one_piece != NULL && kind == FQ_HTTP_REQUESTS)
        check_round_trip (in_one_piece);
      fq_http_message_unref (in_one_piece);
      fq_http_message_unref (in_pieces);
    }
  return 0;
}
