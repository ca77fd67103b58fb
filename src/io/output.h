/**
 * DOC: Output of a connection: bytes, with large bodies in between that are sent from
 * where they are and not copied.
 */
#ifndef FQ_IO_OUTPUT_H
#define FQ_IO_OUTPUT_H

#include <sys/types.h>

#include "filbertquay/blob.h"
#include "io/buffer.h"
#include "util/list.h"

/** FQ_OUTPUT_COPIED_MAX_BYTES - a body up to this size is copied to the bytes. */
#define FQ_OUTPUT_COPIED_MAX_BYTES 16384

/** struct fq_output_t - initialise with fq_output_init(). */
typedef struct
{
  /* What precedes, separates and follows the bodies; may be appended to. */
  fq_buffer_t bytes;
  fq_list_t bodies;
  size_t placed;     /* bytes of @bytes that precede a body */
  size_t body_bytes; /* unsent bytes of all bodies */
} fq_output_t;

void fq_output_init (fq_output_t *output);

/** fq_output_add_body() - append a body; a reference is taken, or its bytes are copied.
 */
void fq_output_add_body (fq_output_t *output, fq_blob_t *body);

/** fq_output_size() - number of unsent bytes. */
static inline size_t
fq_output_size (const fq_output_t *output)
{
  return fq_buffer_size (&output->bytes) + output->body_bytes;
}

/** fq_output_held() - memory that the output takes, in bytes, with what
 * fq_output_free_sent() has left of bodies that were sent in part. */
size_t fq_output_held (const fq_output_t *output);

/**
 * fq_output_send() - send to socket @fd as much as one call takes, and consume it.
 *
 * Return: number of bytes that were sent, or -1 with errno set.
 */
ssize_t fq_output_send (fq_output_t *output, int fd);

/** fq_output_free_sent() - free what was sent of the first body, if that is half of it or
 * more and nobody else holds the body. */
void fq_output_free_sent (fq_output_t *output);

/** fq_output_clear() - drop all output; the object stays usable. */
void fq_output_clear (fq_output_t *output);

#endif
