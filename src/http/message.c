#include "http/message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "filbertquay/memory.h"
#include "util/text.h"

#define FQ_STATUS_NO_CONTENT 204
#define FQ_STATUS_NOT_MODIFIED 304

static const struct
{
  uint16_t status;
  const char *reason;
} reason_phrases[] = {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 304, "Not Modified" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 413, "Content Too Large" },
  { 421, "Misdirected Request" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 501, "Not Implemented" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
  { 505, "HTTP Version Not Supported" },
};

static const char *
reason_phrase (uint16_t status)
{
  for (size_t i = 0; i < sizeof reason_phrases / sizeof reason_phrases[0]; i++)
    {
      if (reason_phrases[i].status == status)
        return reason_phrases[i].reason;
    }
  return "Status";
}

fq_http_message_t *
fq_http_message_new (void)
{
  fq_http_message_t *message = calloc (1, sizeof *message);

  if (message == NULL)
    abort ();
  message->references = 1;
  message->fields = strdup ("");
  if (message->fields == NULL)
    abort ();
  return message;
}

void
fq_http_message_count_head (fq_http_message_t *message)
{
  size_t size = strlen (message->fields);

  if (message->target != NULL)
    size += strlen (message->target);
  fq_memory_recount (message->head_counted, size);
  message->head_counted = size;
}

fq_http_message_t *
fq_http_message_copy (const fq_http_message_t *message)
{
  fq_http_message_t *copy = malloc (sizeof *copy);

  if (copy == NULL)
    abort ();
  *copy = *message;
  copy->references = 1;
  copy->fields = strdup (message->fields);
  copy->target = message->target == NULL ? NULL : strdup (message->target);
  if (copy->fields == NULL || (message->target != NULL && copy->target == NULL))
    abort ();
  fq_blob_ref (copy->body);
  copy->head_counted = 0;
  fq_http_message_count_head (copy);
  return copy;
}

fq_http_message_t *
fq_http_message_ref (fq_http_message_t *message)
{
  if (message != NULL)
    message->references++;
  return message;
}

void
fq_http_message_unref (fq_http_message_t *message)
{
  if (message == NULL || --message->references > 0)
    return;
  fq_memory_recount (message->head_counted, 0);
  fq_blob_unref (message->body);
  free (message->target);
  free (message->fields);
  free (message);
}

size_t
fq_http_message_body_size (const fq_http_message_t *message)
{
  return message->body == NULL ? 0 : message->body->size;
}

static const char *
next_line (const char *line)
{
  return strstr (line, "\r\n") + 2;
}

static bool
is_field (const char *line, const char *name, size_t length)
{
  return strncasecmp (line, name, length) == 0 && line[length] == ':';
}

/* The value of the first field named @name, which is not NUL-terminated; NULL: none. */
static const char *
find_value (const fq_http_message_t *message, const char *name, size_t *size)
{
  size_t length = strlen (name);

  for (const char *line = message->fields; *line != '\0'; line = next_line (line))
    {
      const char *value = line + length + 2;

      if (!is_field (line, name, length))
        continue;
      *size = (size_t)(next_line (line) - 2 - value);
      return value;
    }
  return NULL;
}

bool
fq_http_message_get (const fq_http_message_t *message,
                     const char *name,
                     char *out,
                     size_t size)
{
  size_t value_size;
  const char *value = find_value (message, name, &value_size);

  out[0] = '\0';
  if (value == NULL || value_size >= size)
    return false;
  memcpy (out, value, value_size);
  out[value_size] = '\0';
  return true;
}

fq_text_t *
fq_http_message_get_text (const fq_http_message_t *message, const char *name)
{
  size_t size;
  const char *value = find_value (message, name, &size);

  return value == NULL ? NULL : fq_text_new_sized (value, size);
}

bool
fq_http_message_has (const fq_http_message_t *message, const char *name)
{
  size_t size;

  return find_value (message, name, &size) != NULL;
}

size_t
fq_http_message_count (const fq_http_message_t *message, const char *name)
{
  size_t length = strlen (name);
  size_t count = 0;

  for (const char *line = message->fields; *line != '\0'; line = next_line (line))
    count += is_field (line, name, length);
  return count;
}

void
fq_http_message_drop (fq_http_message_t *message, const char *name)
{
  size_t length = strlen (name);
  char *line = message->fields;

  while (*line != '\0')
    {
      const char *next = next_line (line);

      if (is_field (line, name, length))
        memmove (line, next, strlen (next) + 1);
      else
        line = (char *)next;
    }
}

void
fq_http_message_add (fq_http_message_t *message, const char *name, const char *value)
{
  size_t old = strlen (message->fields);
  size_t size = old + strlen (name) + strlen (value) + sizeof ": \r\n";
  char *grown = realloc (message->fields, size);

  if (grown == NULL)
    abort ();
  snprintf (grown + old, size - old, "%s: %s\r\n", name, value);
  message->fields = grown;
}

void
fq_http_write_request (fq_output_t *out, const fq_http_message_t *message)
{
  size_t size = fq_http_message_body_size (message);

  fq_buffer_add_text (&out->bytes, message->method);
  fq_buffer_add_text (&out->bytes, " ");
  fq_buffer_add_text (&out->bytes, message->target);
  fq_buffer_add_text (&out->bytes, " HTTP/1.1\r\n");
  fq_buffer_add_text (&out->bytes, message->fields);
  if (size > 0 || strcmp (message->method, "POST") == 0
      || strcmp (message->method, "PUT") == 0)
    fq_buffer_printf (&out->bytes, "Content-Length: %zu\r\n", size);
  fq_buffer_add_text (&out->bytes, "\r\n");
  if (size > 0)
    fq_output_add_body (out, message->body);
}

static bool
has_no_body (uint16_t status)
{
  return status == FQ_STATUS_NO_CONTENT || status == FQ_STATUS_NOT_MODIFIED;
}

void
fq_http_write_answer (fq_output_t *out,
                      const fq_http_message_t *message,
                      bool close,
                      bool head_only)
{
  size_t size = fq_http_message_body_size (message);

  fq_buffer_printf (&out->bytes, "HTTP/1.1 %u %s\r\n", message->status,
                    reason_phrase (message->status));
  fq_buffer_add_text (&out->bytes, message->fields);
  if (close)
    fq_buffer_add_text (&out->bytes, "Connection: close\r\n");
  if (!has_no_body (message->status) && !head_only)
    fq_buffer_printf (&out->bytes, "Content-Length: %zu\r\n", size);
  fq_buffer_add_text (&out->bytes, "\r\n");
  if (size > 0 && !head_only)
    fq_output_add_body (out, message->body);
}
