#include "io/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/memory.h"

#define FQ_BUFFER_INITIAL_BYTES 512
/* The capacity doubles up to this size; larger buffers get this much spare room. */
#define FQ_BUFFER_DOUBLING_MAX_BYTES (1 << 20)
/* Larger buffers are freed when all bytes are consumed. */
#define FQ_BUFFER_RETAINED_MAX_BYTES 4096

static void
move_to_front (fq_buffer_t *buffer)
{
  if (buffer->start == 0)
    return;
  memmove (buffer->data, buffer->data + buffer->start, fq_buffer_size (buffer));
  buffer->end -= buffer->start;
  buffer->start = 0;
}

void
fq_buffer_reserve (fq_buffer_t *buffer, size_t size)
{
  size_t capacity = buffer->capacity;
  uint8_t *grown;

  if (buffer->end + size <= capacity)
    return;
  move_to_front (buffer);
  if (buffer->end + size <= capacity)
    return;
  if (capacity == 0)
    capacity = FQ_BUFFER_INITIAL_BYTES;
  while (capacity < buffer->end + size && capacity < FQ_BUFFER_DOUBLING_MAX_BYTES)
    capacity *= 2;
  if (capacity < buffer->end + size)
    capacity = buffer->end + size + FQ_BUFFER_DOUBLING_MAX_BYTES;
  grown = realloc (buffer->data, capacity);
  if (grown == NULL)
    abort ();
  fq_memory_recount (buffer->capacity, capacity);
  buffer->data = grown;
  buffer->capacity = capacity;
}

void
fq_buffer_add (fq_buffer_t *buffer, const void *data, size_t size)
{
  if (size == 0)
    return;
  fq_buffer_reserve (buffer, size);
  memcpy (buffer->data + buffer->end, data, size);
  buffer->end += size;
}

void
fq_buffer_add_text (fq_buffer_t *buffer, const char *text)
{
  fq_buffer_add (buffer, text, strlen (text));
}

void
fq_buffer_printf (fq_buffer_t *buffer, const char *format, ...)
{
  va_list arguments;
  int length;

  va_start (arguments, format);
  length = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  if (length <= 0)
    return;
  fq_buffer_reserve (buffer, (size_t)length + 1);
  va_start (arguments, format);
  vsnprintf ((char *)buffer->data + buffer->end, (size_t)length + 1, format, arguments);
  va_end (arguments);
  buffer->end += (size_t)length;
}

void
fq_buffer_consume (fq_buffer_t *buffer, size_t size)
{
  buffer->start += size;
  if (buffer->start < buffer->end)
    return;
  buffer->start = 0;
  buffer->end = 0;
  if (buffer->capacity > FQ_BUFFER_RETAINED_MAX_BYTES)
    fq_buffer_clear (buffer);
}

void
fq_buffer_clear (fq_buffer_t *buffer)
{
  fq_memory_recount (buffer->capacity, 0);
  free (buffer->data);
  *buffer = (fq_buffer_t){ 0 };
}
