#include "net/frame_stream.h"

#include <stdlib.h>
#include <string.h>

#include "wire/codec.h"

#define FQ_STREAM_INITIAL_BYTES 16384
/* Larger input buffers are freed once empty. */
#define FQ_STREAM_RETAINED_BYTES_MAX 65536

typedef struct
{
  fq_list_t link;
  uint8_t *data;
  size_t size;
  size_t sent;
  fq_id_t id;
} fq_outgoing_frame_t;

void
fq_frame_stream_init (fq_frame_stream_t *stream, size_t frame_limit)
{
  *stream = (fq_frame_stream_t){ .frame_limit = frame_limit };
  fq_list_init (&stream->outgoing);
}

static void
free_outgoing (fq_frame_stream_t *stream, fq_outgoing_frame_t *outgoing)
{
  stream->queued_bytes -= outgoing->size - outgoing->sent;
  fq_list_remove (&outgoing->link);
  free (outgoing->data);
  free (outgoing);
}

void
fq_frame_stream_clear (fq_frame_stream_t *stream)
{
  FQ_LIST_FOREACH_SAFE (link, following, &stream->outgoing)
  free_outgoing (stream, FQ_LIST_ENTRY (link, fq_outgoing_frame_t, link));
  free (stream->input);
  stream->input = NULL;
  stream->input_size = 0;
  stream->input_capacity = 0;
}

void
fq_frame_stream_queue (fq_frame_stream_t *stream, uint8_t *data, size_t size, fq_id_t id)
{
  fq_outgoing_frame_t *outgoing = calloc (1, sizeof *outgoing);

  if (outgoing == NULL)
    abort ();
  outgoing->data = data;
  outgoing->size = size;
  outgoing->id = id;
  stream->queued_bytes += size;
  fq_list_append (&stream->outgoing, &outgoing->link);
}

size_t
fq_frame_stream_dequeue (fq_frame_stream_t *stream,
                         uint8_t *to,
                         size_t room,
                         void (*on_dequeued) (void *user, fq_id_t id),
                         void *user)
{
  size_t used = 0;
  fq_list_t *link;

  while (used < room && (link = fq_list_first (&stream->outgoing)) != NULL)
    {
      fq_outgoing_frame_t *outgoing = FQ_LIST_ENTRY (link, fq_outgoing_frame_t, link);
      size_t part = outgoing->size - outgoing->sent;

      if (part > room - used)
        part = room - used;
      memcpy (to + used, outgoing->data + outgoing->sent, part);
      outgoing->sent += part;
      stream->queued_bytes -= part;
      used += part;
      if (outgoing->sent < outgoing->size)
        continue;
      if (outgoing->id != 0)
        on_dequeued (user, outgoing->id);
      free_outgoing (stream, outgoing);
    }
  return used;
}

static int
append_input (fq_frame_stream_t *stream, const uint8_t *data, size_t size)
{
  size_t needed = stream->input_size + size;

  if (needed > stream->input_capacity)
    {
      size_t capacity
          = needed < FQ_STREAM_INITIAL_BYTES ? FQ_STREAM_INITIAL_BYTES : needed * 2;
      uint8_t *grown = realloc (stream->input, capacity);

      if (grown == NULL)
        return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for input");
      stream->input = grown;
      stream->input_capacity = capacity;
    }
  memcpy (stream->input + stream->input_size, data, size);
  stream->input_size = needed;
  return FQ_OK;
}

static void
consume_input (fq_frame_stream_t *stream, size_t size)
{
  stream->input_size -= size;
  if (stream->input_size == 0 && stream->input_capacity > FQ_STREAM_RETAINED_BYTES_MAX)
    {
      free (stream->input);
      stream->input = NULL;
      stream->input_capacity = 0;
      return;
    }
  memmove (stream->input, stream->input + size, stream->input_size);
}

int
fq_frame_stream_feed (fq_frame_stream_t *stream,
                      const uint8_t *data,
                      size_t size,
                      int (*on_frame) (void *user, const uint8_t *data, size_t size),
                      void *user)
{
  size_t at = 0;
  int rc;

  if (size == 0)
    return FQ_OK;
  rc = append_input (stream, data, size);

  while (rc == FQ_OK && stream->input_size - at >= FQ_FRAME_LENGTH_BYTES)
    {
      uint32_t length = fq_frame_length (stream->input + at);

      if (length > stream->frame_limit)
        return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_TOOBIG,
                             "a frame of %u bytes exceeds the size limit", length);
      if (stream->input_size - at < FQ_FRAME_LENGTH_BYTES + length)
        break;
      rc = on_frame (user, stream->input + at + FQ_FRAME_LENGTH_BYTES, length);
      at += FQ_FRAME_LENGTH_BYTES + length;
    }
  consume_input (stream, at);
  return rc;
}
