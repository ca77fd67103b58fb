/**
 * DOC: Growable byte buffer: bytes are appended at the end and consumed from the front.
 *
 * Functions that need memory abort when there is none. The capacity of buffers counts in
 * the account of filbertquay/memory.h.
 */
#ifndef FQ_IO_BUFFER_H
#define FQ_IO_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/** struct fq_buffer_t - zero-initialise before use. */
typedef struct
{
  uint8_t *data;
  size_t start; /* offset of the first unconsumed byte */
  size_t end;   /* offset after the last byte */
  size_t capacity;
} fq_buffer_t;

/** fq_buffer_size() - number of unconsumed bytes. */
static inline size_t
fq_buffer_size (const fq_buffer_t *buffer)
{
  return buffer->end - buffer->start;
}

/** fq_buffer_bytes() - the unconsumed bytes; NULL while no memory is allocated. */
static inline uint8_t *
fq_buffer_bytes (const fq_buffer_t *buffer)
{
  return buffer->data == NULL ? NULL : buffer->data + buffer->start;
}

/** fq_buffer_reserve() - make room for @size more bytes. */
void fq_buffer_reserve (fq_buffer_t *buffer, size_t size);

/** fq_buffer_add() - append @size bytes. */
void fq_buffer_add (fq_buffer_t *buffer, const void *data, size_t size);

/** fq_buffer_add_text() - append a NUL-terminated text without its NUL. */
void fq_buffer_add_text (fq_buffer_t *buffer, const char *text);

/** fq_buffer_printf() - append formatted text without a NUL. */
void fq_buffer_printf (fq_buffer_t *buffer, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** fq_buffer_consume() - drop @size bytes, at most fq_buffer_size(), from the front. */
void fq_buffer_consume (fq_buffer_t *buffer, size_t size);

/** fq_buffer_clear() - drop all bytes and free the memory; the buffer stays usable. */
void fq_buffer_clear (fq_buffer_t *buffer);

#endif
