/**
 * DOC: Fuzz target: the HTTP reader. A message is read alike whole and in pieces, and one
 * that is written again reads as the same.
 */
#include <stdlib.h>
#include <string.h>

#include "http/reader.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const fq_http_limits_t limits = { .head_bytes = 2048, .body_bytes = 2048 };

/* The first message of @data, read in pieces of @step bytes; NULL: none. */
static fq_http_message_t *
read_in_steps (const uint8_t *data, size_t size, size_t step, fq_http_kind_t kind)
{
  fq_http_reader_t reader;
  fq_http_progress_t progress = FQ_HTTP_INCOMPLETE;
  fq_http_message_t *message = NULL;
  size_t used = 0;

  fq_http_reader_init (&reader, kind, &limits);
  while (used < size && progress == FQ_HTTP_INCOMPLETE)
    {
      size_t left = size - used;
      size_t taken;

      progress
          = fq_http_reader_feed (&reader, data + used, left < step ? left : step, &taken);
      if (taken > left)
        abort ();
      used += taken;
    }
  if (progress == FQ_HTTP_COMPLETE)
    message = fq_http_reader_take (&reader);
  fq_http_reader_clear (&reader);
  return message;
}

static bool
is_same (const fq_http_message_t *left, const fq_http_message_t *right)
{
  size_t size = fq_http_message_body_size (left);

  return left->status == right->status && strcmp (left->method, right->method) == 0
         && strcmp (left->fields, right->fields) == 0
         && size == fq_http_message_body_size (right)
         && (size == 0 || memcmp (left->body->data, right->body->data, size) == 0);
}

static void
check_written_again (const fq_http_message_t *message)
{
  fq_buffer_t text = { 0 };
  fq_http_message_t *again;

  fq_http_write_request (&text, message);
  again = read_in_steps (fq_buffer_bytes (&text), fq_buffer_size (&text), SIZE_MAX,
                         FQ_HTTP_REQUESTS);
  /* The head may have grown over its limit by a longer length field. */
  if (again != NULL && !is_same (message, again))
    abort ();
  fq_http_message_unref (again);
  fq_buffer_clear (&text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  for (int kind = FQ_HTTP_REQUESTS; kind <= FQ_HTTP_ANSWERS; kind++)
    {
      fq_http_message_t *whole
          = read_in_steps (data, size, SIZE_MAX, (fq_http_kind_t)kind);
      fq_http_message_t *pieces = read_in_steps (data, size, 3, (fq_http_kind_t)kind);

      if ((whole == NULL) != (pieces == NULL)
          || (whole != NULL && !is_same (whole, pieces)))
        abort ();
      if (whole != NULL && kind == FQ_HTTP_REQUESTS)
        check_written_again (whole);
      fq_http_message_unref (whole);
      fq_http_message_unref (pieces);
    }
  return 0;
}
