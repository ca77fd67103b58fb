#include "io/output.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>

#define FQ_OUTPUT_PARTS_MAX 8 /* sent by one call */

/* A body in the output. */
typedef struct
{
  fq_list_t link;
  fq_blob_t *body;
  size_t bytes_before; /* unsent bytes that precede it, after the previous body */
  size_t sent;         /* of @body */
} output_body_t;

void
fq_output_init (fq_output_t *output)
{
  *output = (fq_output_t){ 0 };
  fq_list_init (&output->bodies);
}

void
fq_output_add_body (fq_output_t *output, fq_blob_t *body)
{
  output_body_t *added;

  if (body->size <= FQ_OUTPUT_COPIED_MAX_BYTES)
    {
      fq_buffer_add (&output->bytes, body->data, body->size);
      return;
    }
  added = calloc (1, sizeof *added);
  if (added == NULL)
    abort ();
  added->body = fq_blob_ref (body);
  added->bytes_before = fq_buffer_size (&output->bytes) - output->placed;
  output->placed += added->bytes_before;
  output->body_bytes += body->size;
  fq_list_append (&output->bodies, &added->link);
}

size_t
fq_output_held (const fq_output_t *output)
{
  size_t held = output->bytes.capacity;

  FQ_LIST_FOREACH (link, &output->bodies)
  {
    held += FQ_LIST_ENTRY (link, output_body_t, link)->body->size;
  }
  return held;
}

/* Describes the front of the output; returns the number of parts. */
static size_t
describe_front (const fq_output_t *output, struct iovec *parts)
{
  uint8_t *bytes = fq_buffer_bytes (&output->bytes);
  size_t left = fq_buffer_size (&output->bytes);
  size_t count = 0;

  FQ_LIST_FOREACH (link, &output->bodies)
  {
    const output_body_t *at = FQ_LIST_ENTRY (link, output_body_t, link);

    if (count + 2 >= FQ_OUTPUT_PARTS_MAX)
      return count;
    if (at->bytes_before > 0)
      parts[count++] = (struct iovec){ .iov_base = bytes, .iov_len = at->bytes_before };
    bytes += at->bytes_before;
    left -= at->bytes_before;
    parts[count++] = (struct iovec){ .iov_base = at->body->data + at->sent,
                                     .iov_len = at->body->size - at->sent };
  }
  if (left > 0)
    parts[count++] = (struct iovec){ .iov_base = bytes, .iov_len = left };
  return count;
}

static size_t
min_size (size_t a, size_t b)
{
  return a < b ? a : b;
}

static void
free_body (output_body_t *body)
{
  fq_list_remove (&body->link);
  fq_blob_unref (body->body);
  free (body);
}

static void
consume (fq_output_t *output, size_t size)
{
  fq_list_t *link;

  while (size > 0 && (link = fq_list_first (&output->bodies)) != NULL)
    {
      output_body_t *first = FQ_LIST_ENTRY (link, output_body_t, link);
      size_t bytes = min_size (size, first->bytes_before);
      size_t of_body = min_size (size - bytes, first->body->size - first->sent);

      fq_buffer_consume (&output->bytes, bytes);
      first->bytes_before -= bytes;
      output->placed -= bytes;
      first->sent += of_body;
      output->body_bytes -= of_body;
      size -= bytes + of_body;
      if (first->sent == first->body->size)
        free_body (first);
    }
  fq_buffer_consume (&output->bytes, size);
}

ssize_t
fq_output_send (fq_output_t *output, int fd)
{
  struct iovec parts[FQ_OUTPUT_PARTS_MAX];
  struct msghdr message = { .msg_iov = parts };
  ssize_t sent;

  message.msg_iovlen = describe_front (output, parts);
  if (message.msg_iovlen == 1)
    sent = send (fd, parts[0].iov_base, parts[0].iov_len, MSG_NOSIGNAL);
  else
    sent = sendmsg (fd, &message, MSG_NOSIGNAL);
  if (sent > 0)
    consume (output, (size_t)sent);
  return sent;
}

void
fq_output_free_sent (fq_output_t *output)
{
  fq_list_t *link = fq_list_first (&output->bodies);
  output_body_t *first;
  fq_blob_t *rest;

  if (link == NULL)
    return;
  first = FQ_LIST_ENTRY (link, output_body_t, link);
  if (first->body->references > 1 || first->sent < first->body->size - first->sent
      || fq_blob_new (&rest, first->body->data + first->sent,
                      first->body->size - first->sent)
             < 0)
    return;
  fq_blob_unref (first->body);
  first->body = rest;
  first->sent = 0;
}

void
fq_output_clear (fq_output_t *output)
{
  fq_list_t *link;

  while ((link = fq_list_first (&output->bodies)) != NULL)
    free_body (FQ_LIST_ENTRY (link, output_body_t, link));
  fq_buffer_clear (&output->bytes);
  output->placed = 0;
  output->body_bytes = 0;
}
