/**
 * DOC: A growing run of bytes that is consumed from its front.
 */
#ifndef FQ_IO_BUFFER_H
#define FQ_IO_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/** struct fq_buffer_t - zero-initialise before use. */
typedef struct
{
  uint8_t *data;
  size_t start; /* of the bytes that are not consumed yet */
  size_t end;
  size_t capacity;
} fq_buffer_t;

/** fq_buffer_size() - bytes that are not consumed yet. */
static inline size_t
fq_buffer_size (const fq_buffer_t *buffer)
{
  return buffer->end - buffer->start;
}

/** fq_buffer_bytes() - the first byte that is not consumed yet; NULL when never used. */
static inline uint8_t *
fq_buffer_bytes (const fq_buffer_t *buffer)
{
  return buffer->data == NULL ? NULL : buffer->data + buffer->start;
}

/** fq_buffer_reserve() - room for @size more bytes; ends the process without memory. */
void fq_buffer_reserve (fq_buffer_t *buffer, size_t size);

/** fq_buffer_add() - append @size bytes. */
void fq_buffer_add (fq_buffer_t *buffer, const void *data, size_t size);

/** fq_buffer_add_text() - append a NUL-terminated text without its NUL. */
void fq_buffer_add_text (fq_buffer_t *buffer, const char *text);

/** fq_buffer_printf() - append formatted text without a NUL. */
void fq_buffer_printf (fq_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** fq_buffer_consume() - drop @size bytes from the front. */
void fq_buffer_consume (fq_buffer_t *buffer, size_t size);

/** fq_buffer_clear() - drop all bytes and the memory. */
void fq_buffer_clear (fq_buffer_t *buffer);

#endif
