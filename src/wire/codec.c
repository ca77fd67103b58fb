#include "wire/codec.h"

#include <stdlib.h>
#include <string.h>

#include "util/text.h"

static int
malformed (const char *what)
{
  return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_INVALID, "malformed %s", what);
}

int
fq_frame_pack (uint8_t **out, size_t *size, const Fq__Wire__Frame *frame)
{
  size_t length = fq__wire__frame__get_packed_size (frame);
  uint8_t *data;

  if (length > FQ_FRAME_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_TOOBIG,
                         "a frame of %zu bytes is too large", length);
  data = malloc (FQ_FRAME_LENGTH_BYTES + length);
  if (data == NULL)
    return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_NOMEM, "no memory for a frame");
  data[0] = (uint8_t)(length >> 24);
  data[1] = (uint8_t)(length >> 16);
  data[2] = (uint8_t)(length >> 8);
  data[3] = (uint8_t)length;
  fq__wire__frame__pack (frame, data + FQ_FRAME_LENGTH_BYTES);
  *out = data;
  *size = FQ_FRAME_LENGTH_BYTES + length;
  return FQ_OK;
}

uint32_t
fq_frame_length (const uint8_t *data)
{
  return (uint32_t)data[0] << 24 | (uint32_t)data[1] << 16 | (uint32_t)data[2] << 8
         | (uint32_t)data[3];
}

static size_t
blob_size (const fq_blob_t *blob)
{
  return blob == NULL ? 0 : blob->size;
}

/* The body to send inside a frame; empty when it is too long and goes in Data frames. */
static ProtobufCBinaryData
inline_body (const fq_blob_t *blob)
{
  ProtobufCBinaryData bytes = { 0 };

  if (blob != NULL && blob->size <= FQ_FRAME_INLINE_BODY_MAX)
    {
      bytes.len = blob->size;
      bytes.data = (uint8_t *)blob->data;
    }
  return bytes;
}

bool
fq_body_is_in_data_frames (const ProtobufCBinaryData *bytes, uint64_t announced)
{
  return bytes->len == 0 && announced > 0;
}

static int
body_from_wire (fq_blob_t **out, const ProtobufCBinaryData *bytes, uint64_t announced)
{
  *out = NULL;
  if (fq_body_is_in_data_frames (bytes, announced))
    return FQ_OK;
  if (bytes->len != announced)
    return malformed ("body: its size differs from the stated size");
  if (bytes->len == 0)
    return FQ_OK;
  return fq_blob_new (out, bytes->data, bytes->len);
}

int
fq_frame_pack_call (uint8_t **out, size_t *size, const fq_peer_call_effect_t *effect)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Call call = FQ__WIRE__CALL__INIT;
  fq_request_t *request = effect->request;

  call.attempt = effect->attempt;
  call.member = request->member;
  call.service = request->service;
  call.method = request->method;
  call.path = request->path;
  call.content_type = request->content_type;
  call.key = request->key;
  call.traceparent = request->traceparent;
  call.chain_id = request->chain_id;
  call.remaining_ms = effect->remaining_ms;
  call.allowance = effect->retry_allowance;
  call.request_class = request->request_class;
  call.once = request->once;
  call.body = inline_body (request->body);
  call.body_size = blob_size (request->body);
  call.inner = request->internal;
  call.crash = request->crash_id;
  call.ticket_number = request->ticket_number;
  frame.kind_case = FQ__WIRE__FRAME__KIND_CALL;
  frame.call = &call;
  return fq_frame_pack (out, size, &frame);
}

int
fq_frame_pack_answer (uint8_t **out,
                      size_t *size,
                      fq_id_t attempt,
                      const fq_answer_t *answer)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Answer wire = FQ__WIRE__ANSWER__INIT;
  Fq__Wire__Load load = FQ__WIRE__LOAD__INIT;

  load.limit = answer->load.limit;
  load.in_flight = answer->load.in_flight;
  load.queued = answer->load.queued;
  load.service_us = answer->load.service_us;
  load.shed_class = answer->load.shed_class;
  load.shed_percent = answer->load.shed_percent;
  wire.attempt = attempt;
  wire.outcome = answer->outcome;
  wire.cause = answer->cause;
  wire.status = answer->status;
  wire.content_type = (char *)answer->content_type;
  wire.location = (char *)answer->location;
  wire.retry_after_ms = answer->retry_after_ms;
  wire.allowance = answer->retry_allowance;
  wire.replayed = answer->replayed;
  wire.shed_below = answer->refused_downstream;
  wire.crash = answer->crash_id;
  wire.load = &load;
  wire.body = inline_body (answer->body);
  wire.body_size = blob_size (answer->body);
  frame.kind_case = FQ__WIRE__FRAME__KIND_ANSWER;
  frame.answer = &wire;
  return fq_frame_pack (out, size, &frame);
}

int
fq_frame_pack_data (uint8_t **out,
                    size_t *size,
                    fq_id_t attempt,
                    bool of_answer,
                    const uint8_t *bytes,
                    size_t length)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Data data = FQ__WIRE__DATA__INIT;

  data.attempt = attempt;
  data.of_answer = of_answer;
  data.bytes.data = (uint8_t *)bytes;
  data.bytes.len = length;
  frame.kind_case = FQ__WIRE__FRAME__KIND_DATA;
  frame.data = &data;
  return fq_frame_pack (out, size, &frame);
}

/* Whether a text has no control characters, so that it can't end a header field or line
 * when it is passed on by HTTP. */
static bool
is_header_text (const char *text)
{
  for (; *text != '\0'; text++)
    {
      if ((unsigned char)*text < ' ' || *text == 0x7f)
        return false;
    }
  return true;
}

static bool
copy_header_text (char *to, size_t size, const char *from)
{
  return is_header_text (from) && fq_text_copy (to, size, from);
}

static bool
copy_call_texts (fq_request_t *request, const Fq__Wire__Call *call)
{
  return copy_header_text (request->member, sizeof request->member, call->member)
         && copy_header_text (request->service, sizeof request->service, call->service)
         && copy_header_text (request->method, sizeof request->method, call->method)
         && copy_header_text (request->path, sizeof request->path, call->path)
         && strchr (call->path, ' ') == NULL && strchr (call->method, ' ') == NULL
         && copy_header_text (request->content_type, sizeof request->content_type,
                              call->content_type)
         && copy_header_text (request->key, sizeof request->key, call->key)
         && copy_header_text (request->traceparent, sizeof request->traceparent,
                              call->traceparent);
}

int
fq_call_from_wire (fq_request_t **out, const Fq__Wire__Call *call)
{
  fq_request_t *request;
  int rc = fq_request_new (&request);

  if (rc < 0)
    return rc;
  if (!copy_call_texts (request, call) || call->request_class >= FQ_CLASS_COUNT
      || call->attempt == 0)
    {
      rc = malformed ("call");
      goto fail;
    }
  request->chain_id = call->chain_id;
  request->remaining_ms = call->remaining_ms;
  request->retry_allowance = call->allowance;
  request->request_class = (fq_class_t)call->request_class;
  request->once = call->once;
  request->internal = call->inner;
  request->crash_id = call->crash;
  request->ticket_number = call->ticket_number;
  rc = body_from_wire (&request->body, &call->body, call->body_size);
  if (rc < 0)
    goto fail;
  *out = request;
  return FQ_OK;

fail:
  fq_request_unref (request);
  return rc;
}

static void
load_from_wire (fq_load_t *out, const Fq__Wire__Load *load)
{
  *out = (fq_load_t){ .shed_class = FQ_CLASS_COUNT };
  if (load == NULL)
    return;
  out->limit = load->limit;
  out->in_flight = load->in_flight;
  out->queued = load->queued;
  out->service_us = load->service_us;
  if (load->shed_class < FQ_CLASS_COUNT)
    out->shed_class = (uint8_t)load->shed_class;
  if (load->shed_percent <= 100)
    out->shed_percent = (uint8_t)load->shed_percent;
}

int
fq_answer_from_wire (fq_answer_t *out, const Fq__Wire__Answer *answer)
{
  *out = (fq_answer_t){ 0 };
  if (answer->outcome > FQ_OUTCOME_UNKNOWN || answer->cause >= FQ_CAUSE_COUNT
      || answer->status > 999
      || !copy_header_text (out->content_type, sizeof out->content_type,
                            answer->content_type)
      || !copy_header_text (out->location, sizeof out->location, answer->location))
    return malformed ("answer");
  out->outcome = (fq_outcome_t)answer->outcome;
  out->cause = (fq_cause_t)answer->cause;
  out->status = (uint16_t)answer->status;
  out->retry_after_ms = answer->retry_after_ms;
  out->retry_allowance = answer->allowance;
  out->replayed = answer->replayed;
  out->refused_downstream = answer->shed_below;
  out->crash_id = answer->crash;
  load_from_wire (&out->load, answer->load);
  return body_from_wire (&out->body, &answer->body, answer->body_size);
}

static void
entry_to_wire (Fq__Wire__NodeEntry *wire, const fq_node_entry_t *entry)
{
  fq__wire__node_entry__init (wire);
  wire->node = (char *)entry->node;
  wire->address = (char *)entry->address;
  wire->failure_domain = (char *)entry->failure_domain;
  wire->region = (char *)entry->region;
  wire->service = (char *)entry->service;
  wire->incarnation = entry->incarnation;
  wire->state = entry->state;
  wire->slots = entry->slots;
  wire->ready = entry->ready;
}

int
fq_gossip_pack (uint8_t *out, size_t size, size_t *used, const fq_gossip_t *message)
{
  Fq__Wire__Gossip wire = FQ__WIRE__GOSSIP__INIT;
  Fq__Wire__NodeEntry entries[FQ_GOSSIP_ENTRIES_MAX];
  Fq__Wire__NodeEntry *entry_pointers[FQ_GOSSIP_ENTRIES_MAX];
  Fq__Wire__PoisonEntry poison[FQ_GOSSIP_POISON_MAX];
  Fq__Wire__PoisonEntry *poison_pointers[FQ_GOSSIP_POISON_MAX];

  wire.kind = message->kind;
  wire.sequence = message->sequence;
  wire.from = (char *)message->from;
  wire.from_address = (char *)message->from_address;
  wire.target = (char *)message->target;
  wire.target_address = (char *)message->target_address;
  wire.ticket_number = message->ticket_number;
  wire.digest = message->digest;
  for (size_t i = 0; i < message->entry_count; i++)
    {
      entry_to_wire (&entries[i], &message->entries[i]);
      entry_pointers[i] = &entries[i];
    }
  wire.n_entries = message->entry_count;
  wire.entries = entry_pointers;
  for (size_t i = 0; i < message->poison_count; i++)
    {
      fq__wire__poison_entry__init (&poison[i]);
      poison[i].fingerprint = message->poison[i].fingerprint;
      poison[i].crash = message->poison[i].crash_id;
      poison[i].ttl_seconds = message->poison[i].ttl_seconds;
      poison_pointers[i] = &poison[i];
    }
  wire.n_poison = message->poison_count;
  wire.poison = poison_pointers;
  /* Leaves out entries that do not fit, so that the others are sent. */
  while (fq__wire__gossip__get_packed_size (&wire) > size && wire.n_entries > 1)
    wire.n_entries--;
  if (fq__wire__gossip__get_packed_size (&wire) > size)
    return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_TOOBIG,
                         "a datagram does not fit into %zu bytes", size);
  *used = fq__wire__gossip__pack (&wire, out);
  return FQ_OK;
}

static bool
entry_from_wire (fq_node_entry_t *out, const Fq__Wire__NodeEntry *wire)
{
  if (wire->state > FQ_NODE_LEFT || wire->node[0] == '\0')
    return false;
  out->incarnation = wire->incarnation;
  out->state = (fq_node_state_t)wire->state;
  out->slots = wire->slots;
  out->ready = wire->ready;
  return fq_text_copy (out->node, sizeof out->node, wire->node)
         && fq_text_copy (out->address, sizeof out->address, wire->address)
         && fq_text_copy (out->failure_domain, sizeof out->failure_domain,
                          wire->failure_domain)
         && fq_text_copy (out->region, sizeof out->region, wire->region)
         && fq_text_copy (out->service, sizeof out->service, wire->service);
}

static int
gossip_from_wire (fq_gossip_t *out, const Fq__Wire__Gossip *wire)
{
  if (wire->kind > FQ_GOSSIP_STATE || wire->n_entries > FQ_GOSSIP_ENTRIES_MAX
      || wire->n_poison > FQ_GOSSIP_POISON_MAX || wire->from[0] == '\0')
    return malformed ("gossip");
  out->kind = (fq_gossip_kind_t)wire->kind;
  out->sequence = wire->sequence;
  out->ticket_number = wire->ticket_number;
  out->digest = wire->digest;
  if (!fq_text_copy (out->from, sizeof out->from, wire->from)
      || !fq_text_copy (out->from_address, sizeof out->from_address, wire->from_address)
      || !fq_text_copy (out->target, sizeof out->target, wire->target)
      || !fq_text_copy (out->target_address, sizeof out->target_address,
                        wire->target_address))
    return malformed ("gossip");
  for (size_t i = 0; i < wire->n_entries; i++)
    {
      if (!entry_from_wire (&out->entries[i], wire->entries[i]))
        return malformed ("gossip entry");
    }
  out->entry_count = wire->n_entries;
  for (size_t i = 0; i < wire->n_poison; i++)
    out->poison[i] = (fq_poison_entry_t){ .fingerprint = wire->poison[i]->fingerprint,
                                          .crash_id = wire->poison[i]->crash,
                                          .ttl_seconds = wire->poison[i]->ttl_seconds };
  out->poison_count = wire->n_poison;
  return FQ_OK;
}

int
fq_gossip_unpack (fq_gossip_t *out, const uint8_t *data, size_t size)
{
  Fq__Wire__Gossip *wire = fq__wire__gossip__unpack (NULL, size, data);
  int rc;

  memset (out, 0, sizeof *out);
  if (wire == NULL)
    return malformed ("gossip");
  rc = gossip_from_wire (out, wire);
  fq__wire__gossip__free_unpacked (wire, NULL);
  return rc;
}
