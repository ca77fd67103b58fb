#include "net/body_transfer.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  fq_list_t link;
  fq_id_t attempt;
  fq_blob_t *body;
  size_t sent;
} fq_sending_t;

typedef struct
{
  fq_id_t attempt;
  fq_blob_t *body;
  size_t received;
  void *user;
} fq_receiving_t;

void
fq_body_transfer_init (fq_body_transfer_t *transfer)
{
  *transfer = (fq_body_transfer_t){ .window = FQ_BODY_WINDOW_BYTES };
  fq_list_init (&transfer->sending);
}

static void
drop_sending (fq_body_transfer_t *transfer, fq_sending_t *sending)
{
  transfer->waiting -= sending->body->size - sending->sent;
  fq_list_remove (&sending->link);
  fq_blob_unref (sending->body);
  free (sending);
}

void
fq_body_transfer_clear (fq_body_transfer_t *transfer, void (*drop) (void *user))
{
  size_t cursor = 0;
  fq_receiving_t *receiving;

  FQ_LIST_FOREACH_SAFE (link, following, &transfer->sending)
  drop_sending (transfer, FQ_LIST_ENTRY (link, fq_sending_t, link));
  while ((receiving = fq_map_next (&transfer->receiving, &cursor)) != NULL)
    {
      drop (receiving->user);
      fq_blob_unref (receiving->body);
      free (receiving);
    }
  fq_map_clear (&transfer->receiving);
}

int
fq_body_send (fq_body_transfer_t *transfer, fq_id_t attempt, fq_blob_t *body)
{
  fq_sending_t *sending = calloc (1, sizeof *sending);

  if (sending == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a body");
  sending->attempt = attempt;
  sending->body = fq_blob_ref (body);
  transfer->waiting += body->size;
  fq_list_append (&transfer->sending, &sending->link);
  return FQ_OK;
}

void
fq_body_cancel_send (fq_body_transfer_t *transfer, fq_id_t attempt)
{
  FQ_LIST_FOREACH_SAFE (link, following, &transfer->sending)
  {
    fq_sending_t *sending = FQ_LIST_ENTRY (link, fq_sending_t, link);

    if (sending->attempt == attempt)
      drop_sending (transfer, sending);
  }
}

bool
fq_body_next_chunk (fq_body_transfer_t *transfer, fq_body_chunk_t *out)
{
  fq_list_t *link = fq_list_first (&transfer->sending);
  fq_sending_t *sending;
  size_t size;

  if (link == NULL || transfer->window == 0)
    return false;
  sending = FQ_LIST_ENTRY (link, fq_sending_t, link);
  size = sending->body->size - sending->sent;
  if (size > FQ_BODY_CHUNK_BYTES)
    size = FQ_BODY_CHUNK_BYTES;
  if (size > transfer->window)
    size = transfer->window;
  out->attempt = sending->attempt;
  out->bytes = sending->body->data + sending->sent;
  out->size = size;
  sending->sent += size;
  transfer->window -= size;
  transfer->waiting -= size;
  out->last = sending->sent == sending->body->size;
  /* A body that is done is dropped by fq_body_cancel_send(), when its last part is
   * packed.
   */
  fq_list_remove (&sending->link);
  fq_list_append (&transfer->sending, &sending->link);
  return true;
}

int
fq_body_add_credit (fq_body_transfer_t *transfer, uint64_t bytes)
{
  if (bytes > FQ_BODY_WINDOW_BYTES - transfer->window)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "a credit is larger than what was sent");
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
  fq_receiving_t *receiving = NULL;
  int rc;

  if (size == 0 || size > FQ_BODY_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_TOOBIG,
                         "a body of %llu bytes is not taken", (unsigned long long)size);
  if (attempt == 0 || fq_map_get (&transfer->receiving, attempt) != NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_CONFLICT,
                         "a body was announced twice");
  receiving = calloc (1, sizeof *receiving);
  if (receiving == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a body");
  receiving->attempt = attempt;
  receiving->user = user;
  rc = fq_blob_reserve (&receiving->body, size, percent);
  if (rc == FQ_OK)
    rc = fq_map_set (&transfer->receiving, attempt, receiving);
  if (rc < 0)
    {
      fq_blob_unref (receiving->body);
      free (receiving);
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
  fq_receiving_t *receiving = fq_map_get (&transfer->receiving, attempt);

  *body = NULL;
  transfer->uncredited += size;
  if (receiving == NULL)
    return FQ_OK;
  if (size > receiving->body->size - receiving->received)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "a body is longer than announced");
  if (size > 0)
    memcpy (receiving->body->data + receiving->received, bytes, size);
  receiving->received += size;
  if (receiving->received < receiving->body->size)
    return FQ_OK;
  fq_map_remove (&transfer->receiving, attempt);
  *body = receiving->body;
  *user = receiving->user;
  free (receiving);
  return FQ_OK;
}

void *
fq_body_cancel_receive (fq_body_transfer_t *transfer, fq_id_t attempt)
{
  fq_receiving_t *receiving = fq_map_remove (&transfer->receiving, attempt);
  void *user;

  if (receiving == NULL)
    return NULL;
  user = receiving->user;
  fq_blob_unref (receiving->body);
  free (receiving);
  return user;
}

size_t
fq_body_take_credit (fq_body_transfer_t *transfer)
{
  size_t owed = transfer->uncredited;

  if (owed < FQ_BODY_CREDIT_BYTES)
    return 0;
  transfer->uncredited = 0;
  return owed;
}
