#include "wire/mesh_codec.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/text.h"
#include "wire/mesh.pb-c.h"

#define FQ_LENGTH_BYTES 4

/* A frame with its nested messages, which protobuf-c refers to by pointers. */
typedef struct
{
  Fq__Mesh__Frame frame;
  Fq__Mesh__Room room;
  Fq__Mesh__Server server;
  Fq__Mesh__Recall recall;
  Fq__Mesh__Offer offer;
  Fq__Mesh__Message message;
} wire_frame_t;

static void
gate_load_to_wire (wire_frame_t *wire, const fq_gate_load_t *load)
{
  fq__mesh__room__init (&wire->room);
  wire->room.limit = load->limit;
  wire->room.in_flight = load->in_flight;
  wire->room.queued = load->queued;
  wire->room.wait_ms = load->wait_ms;
  wire->room.config_version = load->config_version;
  wire->room.rate_limit = load->rate_limit;
  wire->frame.room = &wire->room;
}

static void
server_to_wire (wire_frame_t *wire, const fq_server_t *server)
{
  fq__mesh__server__init (&wire->server);
  wire->server.service = (char *)fq_text_chars (server->service);
  wire->server.instance = (char *)fq_text_chars (server->instance);
  wire->server.phase = server->phase;
  wire->server.started_ms = server->started_ms;
  wire->frame.server = &wire->server;
}

static void
recall_to_wire (wire_frame_t *wire, const fq_server_recall_t *recall)
{
  if (recall->instance == NULL)
    return;
  fq__mesh__recall__init (&wire->recall);
  wire->recall.instance = (char *)fq_text_chars (recall->instance);
  wire->recall.started_ms = recall->started_ms;
  wire->recall.leaving = recall->leaving;
  wire->recall.leaving_ms = recall->leaving_ms;
  wire->recall.rate_limit = recall->rate_limit;
  wire->recall.rate_age_ms = recall->rate_age_ms;
  wire->frame.recall = &wire->recall;
}

static void
offer_to_wire (wire_frame_t *wire, const fq_offer_t *offer)
{
  fq__mesh__offer__init (&wire->offer);
  wire->offer.service = (char *)fq_text_chars (offer->service);
  wire->offer.request_id = (char *)fq_text_chars (offer->request_id);
  wire->offer.caller = (char *)fq_text_chars (offer->caller);
  wire->offer.rank = offer->rank;
  wire->offer.remaining_ms = offer->remaining_ms;
  wire->offer.latency_objective_ms = offer->latency_objective_ms;
  wire->offer.route = offer->route;
  wire->offer.chain = offer->chain;
  wire->offer.fingerprint = offer->fingerprint;
  wire->offer.idempotent = offer->idempotent;
  wire->offer.repeat = offer->repeat;
  wire->offer.body_bytes = offer->body_bytes;
  wire->frame.offer = &wire->offer;
}

static void
message_to_wire (wire_frame_t *wire, const fq_http_message_t *message)
{
  fq__mesh__message__init (&wire->message);
  wire->message.method = (char *)message->method;
  if (message->target != NULL)
    wire->message.target = message->target;
  wire->message.status = message->status;
  wire->message.fields = message->fields;
  if (message->body != NULL)
    {
      wire->message.body.data = message->body->data;
      wire->message.body.len = message->body->size;
    }
  wire->frame.message = &wire->message;
}

static void
frame_to_wire (wire_frame_t *wire, const fq_frame_t *frame)
{
  fq__mesh__frame__init (&wire->frame);
  wire->frame.kind = frame->kind;
  wire->frame.attempt = frame->attempt;
  wire->frame.cause = frame->cause;
  wire->frame.reached_server = frame->reached_server;
  wire->frame.lost_otherwise = frame->failed_not_for_capacity;
  wire->frame.retry_after_ms = frame->retry_after_ms;
  wire->frame.number = frame->number;
  wire->frame.alone = frame->alone;
  wire->frame.zone = (char *)fq_text_chars (frame->zone);
  wire->frame.n_nodes = frame->node_count;
  wire->frame.nodes = frame->nodes;
  wire->frame.n_fingerprints = frame->fingerprint_count;
  wire->frame.fingerprints = frame->fingerprints;
  wire->frame.document.data = frame->document;
  wire->frame.document.len = frame->document_size;
  gate_load_to_wire (wire, &frame->gate_load);
  if (frame->kind == FQ_FRAME_WELCOME || frame->kind == FQ_FRAME_SERVER)
    server_to_wire (wire, &frame->server);
  if (frame->kind == FQ_FRAME_HELLO)
    recall_to_wire (wire, &frame->recall);
  if (frame->kind == FQ_FRAME_OFFER)
    offer_to_wire (wire, &frame->offer);
  if (frame->message != NULL)
    message_to_wire (wire, frame->message);
}

static void
write_length (uint8_t *out, uint32_t length)
{
  out[0] = (uint8_t)(length >> 24);
  out[1] = (uint8_t)(length >> 16);
  out[2] = (uint8_t)(length >> 8);
  out[3] = (uint8_t)length;
}

static uint32_t
read_length (const uint8_t *in)
{
  return (uint32_t)in[0] << 24 | (uint32_t)in[1] << 16 | (uint32_t)in[2] << 8 | in[3];
}

/* A protobuf-c buffer that appends to an output. */
typedef struct
{
  ProtobufCBuffer base;
  fq_output_t *out;
  fq_blob_t *body; /* added without a copy where its bytes are appended */
} frame_writer_t;

static void
append_packed (ProtobufCBuffer *buffer, size_t size, const uint8_t *data)
{
  frame_writer_t *writer = (frame_writer_t *)buffer;

  if (data == writer->body->data)
    fq_output_add_body (writer->out, writer->body);
  else
    fq_buffer_add (&writer->out->bytes, data, size);
}

static void
pack_with_body (fq_output_t *out, const wire_frame_t *wire, fq_blob_t *body)
{
  frame_writer_t writer
      = { .base = { .append = append_packed }, .out = out, .body = body };

  fq__mesh__frame__pack_to_buffer (&wire->frame, &writer.base);
}

static void
pack (fq_buffer_t *out, const wire_frame_t *wire, size_t size)
{
  fq_buffer_reserve (out, size);
  fq__mesh__frame__pack (&wire->frame, out->data + out->end);
  out->end += size;
}

void
fq_mesh_frame_write (fq_output_t *out, const fq_frame_t *frame)
{
  wire_frame_t wire;
  uint8_t length[FQ_LENGTH_BYTES];
  size_t size;

  frame_to_wire (&wire, frame);
  size = fq__mesh__frame__get_packed_size (&wire.frame);
  write_length (length, (uint32_t)size);
  fq_buffer_add (&out->bytes, length, sizeof length);
  if (frame->message != NULL
      && fq_http_message_body_size (frame->message) > FQ_OUTPUT_COPIED_MAX_BYTES)
    pack_with_body (out, &wire, frame->message->body);
  else
    pack (&out->bytes, &wire, size);
}

/* An allocator for protobuf-c that allocates a large body as a blob, which then becomes
 * that of the message. */
typedef struct
{
  ProtobufCAllocator base;
  fq_blob_t *body; /* NULL: nothing large was allocated yet */
} body_allocator_t;

static void *
allocate (void *context, size_t size)
{
  body_allocator_t *allocator = context;

  if (size <= FQ_OUTPUT_COPIED_MAX_BYTES || allocator->body != NULL)
    return malloc (size);
  if (fq_blob_new (&allocator->body, NULL, size) < 0)
    return NULL;
  return allocator->body->data;
}

static void
release (void *context, void *data)
{
  const body_allocator_t *allocator = context;

  if (allocator->body == NULL || data != allocator->body->data)
    free (data);
}

/* @body: blob that may hold the bytes of the body already; may be NULL */
static int
message_from_wire (fq_frame_t *out, const Fq__Mesh__Message *wire, fq_blob_t *body)
{
  fq_http_message_t *message = fq_http_message_new ();

  out->message = message;
  fq_text_copy (message->method, sizeof message->method, wire->method);
  message->status = (uint16_t)wire->status;
  free (message->fields);
  message->fields = strdup (wire->fields);
  if (wire->target[0] != '\0')
    message->target = strdup (wire->target);
  if (message->fields == NULL)
    return FQ_ERROR_NOMEM;
  fq_http_message_count_head (message);
  if (body != NULL && wire->body.data == body->data)
    message->body = fq_blob_ref (body);
  else if (wire->body.len > 0)
    return fq_blob_new (&message->body, wire->body.data, wire->body.len);
  return FQ_OK;
}

static void
offer_from_wire (fq_offer_t *out, const Fq__Mesh__Offer *wire)
{
  out->service = fq_text_new (wire->service);
  out->request_id = fq_text_new (wire->request_id);
  out->caller = fq_text_new (wire->caller);
  out->rank = wire->rank;
  out->remaining_ms = wire->remaining_ms;
  out->latency_objective_ms = wire->latency_objective_ms;
  out->route = wire->route;
  out->chain = wire->chain;
  out->fingerprint = wire->fingerprint;
  out->idempotent = wire->idempotent;
  out->repeat = wire->repeat;
  out->body_bytes = wire->body_bytes;
}

static void
recall_from_wire (fq_server_recall_t *out, const Fq__Mesh__Recall *wire)
{
  out->instance = fq_text_new (wire->instance);
  out->started_ms = wire->started_ms;
  out->leaving = wire->leaving;
  out->leaving_ms = wire->leaving_ms;
  out->rate_limit = wire->rate_limit;
  out->rate_age_ms = wire->rate_age_ms;
}

static void
nested_from_wire (fq_frame_t *out, const Fq__Mesh__Frame *wire)
{
  if (wire->room != NULL)
    out->gate_load = (fq_gate_load_t){
      .limit = wire->room->limit,
      .in_flight = wire->room->in_flight,
      .queued = wire->room->queued,
      .wait_ms = wire->room->wait_ms,
      .config_version = wire->room->config_version,
      .rate_limit = wire->room->rate_limit,
    };
  if (wire->server != NULL)
    {
      out->server.service = fq_text_new (wire->server->service);
      out->server.instance = fq_text_new (wire->server->instance);
      out->server.phase = (fq_phase_t)wire->server->phase;
      out->server.started_ms = wire->server->started_ms;
    }
  if (wire->recall != NULL)
    recall_from_wire (&out->recall, wire->recall);
  if (wire->offer != NULL)
    offer_from_wire (&out->offer, wire->offer);
}

static void *
copy_bytes (const void *data, size_t size)
{
  void *copy;

  if (size == 0)
    return NULL;
  copy = malloc (size);
  if (copy == NULL)
    abort ();
  memcpy (copy, data, size);
  return copy;
}

static int
frame_from_wire (fq_frame_t *out, const Fq__Mesh__Frame *wire, fq_blob_t *body)
{
  *out = (fq_frame_t){
    .kind = (fq_frame_kind_t)wire->kind,
    .attempt = wire->attempt,
    .cause = (fq_gate_cause_t)wire->cause,
    .reached_server = wire->reached_server,
    .failed_not_for_capacity = wire->lost_otherwise,
    .retry_after_ms = wire->retry_after_ms,
    .number = wire->number,
    .alone = wire->alone,
    .node_count = wire->n_nodes,
    .fingerprint_count = wire->n_fingerprints,
    .document_size = wire->document.len,
  };
  out->zone = fq_text_new (wire->zone);
  out->nodes = copy_bytes (wire->nodes, wire->n_nodes * sizeof *out->nodes);
  out->fingerprints
      = copy_bytes (wire->fingerprints, wire->n_fingerprints * sizeof *out->fingerprints);
  out->document = copy_bytes (wire->document.data, wire->document.len);
  nested_from_wire (out, wire);
  return wire->message == NULL ? FQ_OK : message_from_wire (out, wire->message, body);
}

/* Node addresses, routes and fingerprints are map keys, and key 0 is reserved. */
static bool
has_valid_keys (const Fq__Mesh__Frame *wire)
{
  bool is_offer = wire->kind == FQ_FRAME_OFFER;

  if (is_offer
      && (wire->offer == NULL || wire->offer->route == 0
          || wire->offer->fingerprint == 0))
    return false;
  for (size_t i = 0; i < wire->n_nodes; i++)
    {
      if (wire->nodes[i] == 0)
        return false;
    }
  for (size_t i = 0; i < wire->n_fingerprints; i++)
    {
      if (wire->fingerprints[i] == 0)
        return false;
    }
  return true;
}

int
fq_mesh_frame_read (fq_frame_t *out, fq_buffer_t *in)
{
  body_allocator_t allocator = { .base = { .alloc = allocate, .free = release } };
  uint32_t size;
  Fq__Mesh__Frame *wire;
  int error;

  if (fq_buffer_size (in) < FQ_LENGTH_BYTES)
    return FQ_ERROR_AGAIN;
  size = read_length (fq_buffer_bytes (in));
  if (size > FQ_MESH_FRAME_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_INVALID,
                         "a frame of %u bytes is too large", size);
  if (fq_buffer_size (in) < FQ_LENGTH_BYTES + (size_t)size)
    return FQ_ERROR_AGAIN;
  allocator.base.allocator_data = &allocator;
  wire = fq__mesh__frame__unpack (&allocator.base, size,
                                  fq_buffer_bytes (in) + FQ_LENGTH_BYTES);
  if (wire == NULL)
    {
      fq_blob_unref (allocator.body);
      return fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_INVALID,
                           "a frame is not a valid protobuf message");
    }
  if (has_valid_keys (wire))
    error = frame_from_wire (out, wire, allocator.body);
  else
    error = fq_error_set (FQ_ERROR_CLASS_WIRE, FQ_ERROR_INVALID,
                          "a frame of kind %u lacks a key or has key 0", wire->kind);
  fq__mesh__frame__free_unpacked (wire, &allocator.base);
  fq_blob_unref (allocator.body);
  fq_buffer_consume (in, FQ_LENGTH_BYTES + (size_t)size);
  return error;
}
