#define _GNU_SOURCE /* memmem, strcasestr */
#include "http/reader.h"

#include <ctype.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "util/text.h"

#define FQ_STATUS_BAD_REQUEST 400
#define FQ_STATUS_BODY_TOO_LARGE 413
#define FQ_STATUS_HEAD_TOO_LARGE 431
#define FQ_STATUS_NOT_IMPLEMENTED 501
#define FQ_STATUS_UNAVAILABLE 503
#define FQ_STATUS_VERSION 505
#define FQ_STATUS_INFORMATIONAL_MAX 199
#define FQ_BODIES_PERCENT 90 /* of the memory for bodies, when another one arrives */
#define FQ_HEAD_END "\r\n\r\n"
#define FQ_HEAD_END_BYTES 4
#define FQ_TOKEN_MARKS "!#$%&'*+-.^_`|~"

/* Fields that concern one connection only, or that the next hop's framing replaces. */
static const char *const hop_fields[] = {
  "Connection",        "Keep-Alive",     "Proxy-Connection",
  "Transfer-Encoding", "Content-Length", "TE",
  "Trailer",           "Upgrade",        "Expect",
};

static int
fail (fq_http_reader_t *reader, uint16_t status, const char *reason)
{
  if (reader->status == 0)
    {
      reader->status = status;
      reader->reason = reason;
    }
  return -1;
}

static bool
is_named (const char *name, size_t size, const char *wanted)
{
  return strlen (wanted) == size && strncasecmp (name, wanted, size) == 0;
}

static bool
is_hop_field (const char *name, size_t size)
{
  for (size_t i = 0; i < sizeof hop_fields / sizeof hop_fields[0]; i++)
    {
      if (is_named (name, size, hop_fields[i]))
        return true;
    }
  return false;
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  reader->message->target = strndup (at, length);
  return reader->message->target == NULL ? -1 : 0;
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  reader->field_name = at;
  reader->field_name_size = length;
  return 0;
}

static void
read_keep_alive (fq_http_reader_t *reader, const char *value, size_t size)
{
  char text[FQ_HEADER_BYTES] = "";
  const char *timeout;

  if (size >= sizeof text)
    return;
  memcpy (text, value, size);
  timeout = strcasestr (text, "timeout=");
  if (timeout != NULL)
    reader->keep_alive_seconds
        = (uint32_t)strtoul (timeout + strlen ("timeout="), NULL, 10);
}

static int
read_hop_field (fq_http_reader_t *reader, const char *value, size_t size)
{
  const char *name = reader->field_name;
  size_t name_size = reader->field_name_size;

  if (is_named (name, name_size, "Connection"))
    {
      free (reader->nominated);
      reader->nominated = strndup (value, size);
    }
  else if (is_named (name, name_size, "Keep-Alive"))
    read_keep_alive (reader, value, size);
  else if (is_named (name, name_size, "Expect"))
    reader->expects_continue = size >= 3 && strncmp (value, "100", 3) == 0;
  else if (is_named (name, name_size, "Transfer-Encoding")
           && !is_named (value, size, "chunked"))
    return fail (reader, FQ_STATUS_NOT_IMPLEMENTED, "a transfer coding is not known");
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  if (reader->trailers)
    return 0;
  while (length > 0 && (at[length - 1] == ' ' || at[length - 1] == '\t'))
    length--;
  if (is_named (reader->field_name, reader->field_name_size, "Host"))
    reader->hosts++;
  if (is_hop_field (reader->field_name, reader->field_name_size))
    return read_hop_field (reader, at, length);
  fq_buffer_add (&reader->fields, reader->field_name, reader->field_name_size);
  fq_buffer_add_text (&reader->fields, ": ");
  fq_buffer_add (&reader->fields, at, length);
  fq_buffer_add_text (&reader->fields, "\r\n");
  return 0;
}

/* Fields that the Connection field names end at this hop. */
static void
drop_nominated (fq_http_reader_t *reader)
{
  char *save = NULL;

  if (reader->nominated == NULL)
    return;
  for (char *name = strtok_r (reader->nominated, ", \t", &save); name != NULL;
       name = strtok_r (NULL, ", \t", &save))
    {
      if (strcasecmp (name, "host") != 0)
        fq_http_message_drop (reader->message, name);
    }
}

static void
keep_fields (fq_http_reader_t *reader)
{
  fq_buffer_add (&reader->fields, "", 1);
  free (reader->message->fields);
  reader->message->fields = strdup ((const char *)fq_buffer_bytes (&reader->fields));
  if (reader->message->fields == NULL)
    abort ();
  fq_buffer_clear (&reader->fields);
  drop_nominated (reader);
}

static int
check_request (fq_http_reader_t *reader, const http_parser *parser)
{
  if (parser->method == HTTP_CONNECT)
    return fail (reader, FQ_STATUS_NOT_IMPLEMENTED, "the method is not known");
  if (reader->hosts > 1 || (reader->hosts == 0 && parser->http_minor > 0))
    return fail (reader, FQ_STATUS_BAD_REQUEST, "a request has one Host field");
  fq_text_copy (reader->message->method, sizeof reader->message->method,
                http_method_str ((enum http_method)parser->method));
  return 0;
}

static bool
has_length (const http_parser *parser)
{
  return parser->content_length != ULLONG_MAX && (parser->flags & F_CHUNKED) == 0;
}

static int
prepare_body (fq_http_reader_t *reader, const http_parser *parser)
{
  if (!has_length (parser) || parser->content_length == 0 || reader->to_head_request)
    return 0;
  if (parser->content_length > reader->limits.body_bytes)
    return fail (reader, FQ_STATUS_BODY_TOO_LARGE, "the body is too large");
  if (fq_blob_reserve (&reader->message->body, parser->content_length, FQ_BODIES_PERCENT)
      < 0)
    return fail (reader, FQ_STATUS_UNAVAILABLE, "no memory for the body");
  return 0;
}

static int
on_head (http_parser *parser)
{
  fq_http_reader_t *reader = parser->data;

  if (parser->http_major != 1)
    return fail (reader, FQ_STATUS_VERSION, "the HTTP version is not known");
  parser->upgrade = 0;
  keep_fields (reader);
  reader->message->status = (uint16_t)parser->status_code;
  if (reader->kind == FQ_HTTP_REQUESTS && check_request (reader, parser) < 0)
    return -1;
  if (prepare_body (reader, parser) < 0)
    return -1;
  reader->trailers = true;
  return reader->to_head_request ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  if (reader->message->body != NULL)
    {
      memcpy (reader->message->body->data + reader->received, at, length);
      reader->received += length;
      return 0;
    }
  if (fq_buffer_size (&reader->chunks) + length > reader->limits.body_bytes)
    return fail (reader, FQ_STATUS_BODY_TOO_LARGE, "the body is too large");
  if (!fq_blob_fits (fq_buffer_size (&reader->chunks) + length, FQ_BODIES_PERCENT))
    return fail (reader, FQ_STATUS_UNAVAILABLE, "no memory for the body");
  fq_buffer_add (&reader->chunks, at, length);
  return 0;
}

static int
on_whole (http_parser *parser)
{
  fq_http_reader_t *reader = parser->data;
  size_t size = fq_buffer_size (&reader->chunks);

  if (size > 0
      && fq_blob_new (&reader->message->body, fq_buffer_bytes (&reader->chunks), size)
             < 0)
    return fail (reader, FQ_STATUS_UNAVAILABLE, "no memory for the body");
  fq_buffer_clear (&reader->chunks);
  reader->is_whole = true;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_whole,
};

static void
begin_message (fq_http_reader_t *reader)
{
  http_parser_init (&reader->parser,
                    reader->kind == FQ_HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->received = 0;
  reader->hosts = 0;
  reader->head_is_whole = false;
  reader->trailers = false;
  reader->is_whole = false;
  reader->expects_continue = false;
  reader->keep_alive_seconds = 0;
  reader->message = fq_http_message_new ();
}

static void
end_message (fq_http_reader_t *reader)
{
  fq_http_message_unref (reader->message);
  reader->message = NULL;
  free (reader->nominated);
  reader->nominated = NULL;
  fq_buffer_clear (&reader->head);
  fq_buffer_clear (&reader->chunks);
  fq_buffer_clear (&reader->fields);
}

void
fq_http_reader_init (fq_http_reader_t *reader,
                     fq_http_kind_t kind,
                     const fq_http_limits_t *limits)
{
  *reader = (fq_http_reader_t){ .kind = kind, .limits = *limits };
  http_parser_set_max_header_size (UINT32_MAX);
}

void
fq_http_reader_clear (fq_http_reader_t *reader)
{
  end_message (reader);
}

bool
fq_http_reader_is_idle (const fq_http_reader_t *reader)
{
  return reader->message == NULL;
}

/* A field name, as RFC 9110 defines it. */
static bool
is_token (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (!isalnum ((unsigned char)text[i]) && strchr (FQ_TOKEN_MARKS, text[i]) == NULL)
        return false;
    }
  return true;
}

static int
check_line (fq_http_reader_t *reader, const char *line, size_t size, bool first)
{
  const char *colon;

  if (memchr (line, '\0', size) != NULL || memchr (line, '\r', size) != NULL
      || memchr (line, '\n', size) != NULL)
    return fail (reader, FQ_STATUS_BAD_REQUEST, "a line holds a control character");
  if (first)
    return 0;
  colon = memchr (line, ':', size);
  if (line[0] == ' ' || line[0] == '\t')
    return fail (reader, FQ_STATUS_BAD_REQUEST, "a folded field line");
  if (colon == NULL || colon == line || !is_token (line, (size_t)(colon - line)))
    return fail (reader, FQ_STATUS_BAD_REQUEST, "a field line without a name");
  return 0;
}

static int
check_head (fq_http_reader_t *reader)
{
  const char *line = (const char *)fq_buffer_bytes (&reader->head);
  const char *end = line + fq_buffer_size (&reader->head) - 2;
  bool first = true;

  while (line < end)
    {
      const char *line_end = memmem (line, (size_t)(end - line) + 2, "\r\n", 2);

      if (check_line (reader, line, (size_t)(line_end - line), first) < 0)
        return -1;
      first = false;
      line = line_end + 2;
    }
  return 0;
}

static int
run_parser (fq_http_reader_t *reader, const uint8_t *data, size_t size, size_t *used)
{
  *used = http_parser_execute (&reader->parser, &callbacks, (const char *)data, size);
  if (reader->is_whole)
    return 0;
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_OK)
    return 0;
  return fail (reader, FQ_STATUS_BAD_REQUEST,
               http_errno_description (HTTP_PARSER_ERRNO (&reader->parser)));
}

/* Empty lines before a request line are skipped, as RFC 9112 advises. */
static size_t
skip_empty_lines (const fq_http_reader_t *reader, const uint8_t *data, size_t size)
{
  size_t skipped = 0;

  if (reader->kind != FQ_HTTP_REQUESTS || reader->message != NULL)
    return 0;
  while (skipped < size && (data[skipped] == '\r' || data[skipped] == '\n'))
    skipped++;
  return skipped;
}

/* A line feed without its carriage return ends a line for some readers and not for
 * others; it is not waited for. */
static bool
has_bare_line_feed (const uint8_t *bytes, size_t size, size_t from)
{
  for (size_t i = from; i < size; i++)
    {
      if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r'))
        return true;
    }
  return false;
}

/* Gathers the head; a message whose head is whole goes to the parser at once. */
static int
read_head (fq_http_reader_t *reader, const uint8_t *data, size_t size, size_t *used)
{
  size_t before = fq_buffer_size (&reader->head);
  size_t from = before < FQ_HEAD_END_BYTES ? 0 : before - FQ_HEAD_END_BYTES;
  const uint8_t *bytes;
  const uint8_t *end;
  size_t parsed;

  fq_buffer_add (&reader->head, data, size);
  bytes = fq_buffer_bytes (&reader->head);
  end = memmem (bytes + from, before + size - from, FQ_HEAD_END, FQ_HEAD_END_BYTES);
  *used = size;
  if (end == NULL)
    {
      if (before + size > reader->limits.head_bytes)
        return fail (reader, FQ_STATUS_HEAD_TOO_LARGE, "the head is too large");
      if (has_bare_line_feed (bytes, before + size, before))
        return fail (reader, FQ_STATUS_BAD_REQUEST, "a line feed alone");
      return 0;
    }
  reader->head.end = reader->head.start + (size_t)(end - bytes) + FQ_HEAD_END_BYTES;
  *used = fq_buffer_size (&reader->head) - before;
  if (fq_buffer_size (&reader->head) > reader->limits.head_bytes)
    return fail (reader, FQ_STATUS_HEAD_TOO_LARGE, "the head is too large");
  if (check_head (reader) < 0)
    return -1;
  if (run_parser (reader, fq_buffer_bytes (&reader->head), fq_buffer_size (&reader->head),
                  &parsed)
      < 0)
    return -1;
  /* The library may see less than a head in it, and would take what follows for the rest.
   */
  if (!reader->trailers && !reader->is_whole)
    return fail (reader, FQ_STATUS_BAD_REQUEST, "the head is cut short");
  reader->head_is_whole = true;
  fq_buffer_clear (&reader->head);
  return 0;
}

/* An interim answer announces the real one. */
static bool
is_interim (const fq_http_reader_t *reader)
{
  return reader->kind == FQ_HTTP_ANSWERS && reader->is_whole
         && reader->message->status <= FQ_STATUS_INFORMATIONAL_MAX;
}

fq_http_progress_t
fq_http_reader_feed (fq_http_reader_t *reader,
                     const uint8_t *data,
                     size_t size,
                     size_t *used)
{
  size_t taken;

  *used = skip_empty_lines (reader, data, size);
  while (*used < size)
    {
      int error;

      if (reader->message == NULL)
        begin_message (reader);
      if (reader->head_is_whole)
        error = run_parser (reader, data + *used, size - *used, &taken);
      else
        error = read_head (reader, data + *used, size - *used, &taken);
      *used += taken;
      if (error < 0)
        return FQ_HTTP_REJECTED;
      if (is_interim (reader))
        end_message (reader);
      else if (reader->is_whole)
        return FQ_HTTP_COMPLETE;
    }
  return FQ_HTTP_INCOMPLETE;
}

fq_http_progress_t
fq_http_reader_end (fq_http_reader_t *reader)
{
  size_t used;

  if (reader->message == NULL || !reader->head_is_whole)
    return FQ_HTTP_REJECTED;
  if (run_parser (reader, NULL, 0, &used) < 0 || !reader->is_whole)
    return FQ_HTTP_REJECTED;
  reader->keep_alive = false;
  return FQ_HTTP_COMPLETE;
}

fq_http_message_t *
fq_http_reader_take (fq_http_reader_t *reader)
{
  fq_http_message_t *message = reader->message;

  reader->message = NULL;
  end_message (reader);
  return message;
}
