/**
 * DOC: Queue of outgoing frames and reassembly of received ones, for one connection.
 */
#ifndef FQ_NET_FRAME_STREAM_H
#define FQ_NET_FRAME_STREAM_H

#include "filbertquay/types.h"
#include "util/list.h"

/** struct fq_frame_stream_t - initialise with fq_frame_stream_init(). */
typedef struct
{
  fq_list_t outgoing;
  size_t queued_bytes; /* bytes of outgoing frames not dequeued yet */
  size_t frame_limit;  /* maximum size of a received frame, in bytes */
  uint8_t *input;      /* received bytes not passed on as frames yet */
  size_t input_size;
  size_t input_capacity;
} fq_frame_stream_t;

/** fq_frame_stream_init() - an empty stream in both directions. */
void fq_frame_stream_init (fq_frame_stream_t *stream, size_t frame_limit);

/** fq_frame_stream_clear() - free queued frames and buffered input. */
void fq_frame_stream_clear (fq_frame_stream_t *stream);

/**
 * fq_frame_stream_queue() - queue a packed frame; the stream takes ownership of @data.
 * @id: reported by fq_frame_stream_dequeue() with the last byte of the frame; 0: none
 *
 * Aborts the process when memory is short.
 */
void
fq_frame_stream_queue (fq_frame_stream_t *stream, uint8_t *data, size_t size, fq_id_t id);

/**
 * fq_frame_stream_dequeue() - copy up to @room queued bytes to @to and drop them.
 * @on_dequeued: called for each frame with an id whose last byte was copied
 *
 * Return: the number of bytes copied.
 */
size_t fq_frame_stream_dequeue (fq_frame_stream_t *stream,
                                uint8_t *to,
                                size_t room,
                                void (*on_dequeued) (void *user, fq_id_t id),
                                void *user);

/**
 * fq_frame_stream_feed() - reassemble frames from received bytes.
 * @on_frame: called for each complete frame, without its length prefix; a code other
 *            than 0 ends the call
 *
 * Return: 0; FQ_ERROR_TOOBIG for a frame over the limit; FQ_ERROR_NOMEM; or the code of
 * @on_frame.
 */
int fq_frame_stream_feed (fq_frame_stream_t *stream,
                          const uint8_t *data,
                          size_t size,
                          int (*on_frame) (void *user, const uint8_t *data, size_t size),
                          void *user);

#endif
