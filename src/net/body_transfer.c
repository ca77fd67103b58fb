#include "net/body_transfer.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  fq_list_t link;
  fq_id_t attempt;
  fq_blob_t *body;
  size_t sent;
} fq_outgoing_body_t;

typedef struct
{
  fq_id_t attempt;
  fq_blob_t *body;
  size_t received;
  void *user;
} fq_incoming_body_t;

void
fq_body_transfer_init (fq_body_transfer_t *transfer)
{
  *transfer = (fq_body_transfer_t){ .window = FQ_BODY_WINDOW_BYTES };
  fq_list_init (&transfer->outgoing);
}

static void
drop_outgoing (fq_body_transfer_t *transfer, fq_outgoing_body_t *outgoing)
{
  transfer->unsent_bytes -= outgoing->body->size - outgoing->sent;
  fq_list_remove (&outgoing->link);
  fq_blob_unref (outgoing->body);
  free (outgoing);
}

void
fq_body_transfer_clear (fq_body_transfer_t *transfer, void (*drop) (void *user))
{
  size_t cursor = 0;
  fq_incoming_body_t *incoming;

  FQ_LIST_FOREACH_SAFE (link, following, &transfer->outgoing)
  drop_outgoing (transfer, FQ_LIST_ENTRY (link, fq_outgoing_body_t, link));
  while ((incoming = fq_map_next (&transfer->incoming, &cursor)) != NULL)
    {
      drop (incoming->user);
      fq_blob_unref (incoming->body);
      free (incoming);
    }
  fq_map_clear (&transfer->incoming);
}

int
fq_body_send (fq_body_transfer_t *transfer, fq_id_t attempt, fq_blob_t *body)
{
  fq_outgoing_body_t *outgoing = calloc (1, sizeof *outgoing);

  if (outgoing == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a body");
  outgoing->attempt = attempt;
  outgoing->body = fq_blob_ref (body);
  transfer->unsent_bytes += body->size;
  fq_list_append (&transfer->outgoing, &outgoing->link);
  return FQ_OK;
}

void
fq_body_cancel_send (fq_body_transfer_t *transfer, fq_id_t attempt)
{
  FQ_LIST_FOREACH_SAFE (link, following, &transfer->outgoing)
  {
    fq_outgoing_body_t *outgoing = FQ_LIST_ENTRY (link, fq_outgoing_body_t, link);

    if (outgoing->attempt == attempt)
      drop_outgoing (transfer, outgoing);
  }
}

bool
fq_body_next_chunk (fq_body_transfer_t *transfer, fq_body_chunk_t *out)
{
  fq_list_t *link = fq_list_first (&transfer->outgoing);
  fq_outgoing_body_t *outgoing;
  size_t size;

  if (link == NULL || transfer->window == 0)
    return false;
  outgoing = FQ_LIST_ENTRY (link, fq_outgoing_body_t, link);
  size = outgoing->body->size - outgoing->sent;
  if (size > FQ_BODY_CHUNK_BYTES)
    size = FQ_BODY_CHUNK_BYTES;
  if (size > transfer->window)
    size = transfer->window;
  out->attempt = outgoing->attempt;
  out->bytes = outgoing->body->data + outgoing->sent;
  out->size = size;
  outgoing->sent += size;
  transfer->window -= size;
  transfer->unsent_bytes -= size;
  out->last = outgoing->sent == outgoing->body->size;
  /* A body that was sent in full stays queued until fq_body_cancel_send(), since @out
   * points into it; the caller calls that function once the last chunk is in a frame. */
  fq_list_remove (&outgoing->link);
  fq_list_append (&transfer->outgoing, &outgoing->link);
  return true;
}

int
fq_body_add_credit (fq_body_transfer_t *transfer, uint64_t bytes)
{
  if (bytes > FQ_BODY_WINDOW_BYTES - transfer->window)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "credit exceeds the bytes sent and not yet credited");
  transfer->window += bytes;
  return FQ_OK;
}

int
fq_body_expect (fq_body_transfer_t *transfer,
                fq_id_t attempt,
                uint64_t size,
                unsigned int percent,
                void *user)
{
  fq_incoming_body_t *incoming = NULL;
  int rc;

  if (size == 0 || size > FQ_BODY_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_TOOBIG,
                         "announced body size of %llu bytes is out of range",
                         (unsigned long long)size);
  if (attempt == 0 || fq_map_get (&transfer->incoming, attempt) != NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_CONFLICT,
                         "invalid attempt id, or body announced twice");
  incoming = calloc (1, sizeof *incoming);
  if (incoming == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a body");
  incoming->attempt = attempt;
  incoming->user = user;
  rc = fq_blob_reserve (&incoming->body, size, percent);
  if (rc == FQ_OK)
    rc = fq_map_set (&transfer->incoming, attempt, incoming);
  if (rc < 0)
    {
      fq_blob_unref (incoming->body);
      free (incoming);
    }
  return rc;
}

int
fq_body_receive (fq_body_transfer_t *transfer,
                 fq_id_t attempt,
                 const uint8_t *bytes,
                 size_t size,
                 fq_blob_t **body,
                 void **user)
{
  fq_incoming_body_t *incoming = fq_map_get (&transfer->incoming, attempt);

  *body = NULL;
  transfer->uncredited += size;
  if (incoming == NULL)
    return FQ_OK;
  if (size > incoming->body->size - incoming->received)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "body exceeds its announced size");
  if (size > 0)
    memcpy (incoming->body->data + incoming->received, bytes, size);
  incoming->received += size;
  if (incoming->received < incoming->body->size)
    return FQ_OK;
  fq_map_remove (&transfer->incoming, attempt);
  *body = incoming->body;
  *user = incoming->user;
  free (incoming);
  return FQ_OK;
}

void *
fq_body_cancel_receive (fq_body_transfer_t *transfer, fq_id_t attempt)
{
  fq_incoming_body_t *incoming = fq_map_remove (&transfer->incoming, attempt);
  void *user;

  if (incoming == NULL)
    return NULL;
  user = incoming->user;
  fq_blob_unref (incoming->body);
  free (incoming);
  return user;
}

size_t
fq_body_take_credit (fq_body_transfer_t *transfer)
{
  size_t bytes = transfer->uncredited;

  if (bytes < FQ_BODY_CREDIT_BYTES)
    return 0;
  transfer->uncredited = 0;
  return bytes;
}
