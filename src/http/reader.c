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
#define FQ_STATUS_VERSION_NOT_SUPPORTED 505
#define FQ_STATUS_MIN 100 /* RFC 9110 defines five classes of answers */
#define FQ_STATUS_INFORMATIONAL_MAX 199
#define FQ_STATUS_MAX 599
#define FQ_INTERIM_MAX 16 /* interim answers before one final answer */
/* Framing allowed beyond the size of a head, for each byte of body: a chunk of one byte
 * has five. */
#define FQ_FRAMING_PER_BODY_BYTE 8
/* Share of the memory that may be held when a body grows, in percent. Small bodies find
 * room where large ones don't. */
#define FQ_BODY_MEMORY_PERCENT 45
#define FQ_SMALL_BODY_MEMORY_PERCENT 50
#define FQ_ANSWER_MEMORY_PERCENT 75
#define FQ_SMALL_BODY_BYTES 65536
#define FQ_UNSTATED_BODY_BYTES (1 << 20) /* taken for the size of a body without one */
/* A body takes twice the memory that it needs up to this size, and this much more than it
 * needs above, but never more than its stated size. */
#define FQ_BODY_DOUBLING_MAX_BYTES (1 << 20)
#define FQ_HEAD_END "\r\n\r\n"
#define FQ_HEAD_END_BYTES 4
#define FQ_KEEP_ALIVE_MAX_SECONDS 4000000u /* its milliseconds fit into 32 bits */
#define FQ_TOKEN_PUNCTUATION "!#$%&'*+-.^_`|~"

/* Fields that apply to one connection only, or that the next hop sets anew when it frames
 * the message. */
static const char *const hop_by_hop_fields[] = {
  "Connection",        "Keep-Alive",     "Proxy-Connection",
  "Transfer-Encoding", "Content-Length", "TE",
  "Trailer",           "Upgrade",        "Expect",
};

static int
fail (fq_http_reader_t *reader, uint16_t status, const char *reason)
{
  if (reader->error_status == 0)
    {
      reader->error_status = status;
      reader->error_reason = reason;
    }
  return -1;
}

static bool
name_equals (const char *name, size_t size, const char *wanted)
{
  return strlen (wanted) == size && strncasecmp (name, wanted, size) == 0;
}

static bool
is_hop_by_hop_field (const char *name, size_t size)
{
  for (size_t i = 0; i < sizeof hop_by_hop_fields / sizeof hop_by_hop_fields[0]; i++)
    {
      if (name_equals (name, size, hop_by_hop_fields[i]))
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
on_header_field (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  reader->field_name = at;
  reader->field_name_size = length;
  return 0;
}

static void
read_keep_alive (fq_http_reader_t *reader, const char *value, size_t size)
{
  char *text = strndup (value, size);
  const char *timeout;
  unsigned long seconds = 0;

  if (text == NULL)
    abort ();
  timeout = strcasestr (text, "timeout=");
  if (timeout != NULL)
    seconds = strtoul (timeout + strlen ("timeout="), NULL, 10);
  reader->keep_alive_seconds = seconds < FQ_KEEP_ALIVE_MAX_SECONDS
                                   ? (uint32_t)seconds
                                   : FQ_KEEP_ALIVE_MAX_SECONDS;
  free (text);
}

static void
add_connection_options (fq_http_reader_t *reader, const char *value, size_t size)
{
  size_t old
      = reader->connection_options == NULL ? 0 : strlen (reader->connection_options);
  char *grown = realloc (reader->connection_options, old + size + sizeof ",");

  if (grown == NULL)
    abort ();
  grown[old] = ',';
  memcpy (grown + old + 1, value, size);
  grown[old + 1 + size] = '\0';
  reader->connection_options = grown;
}

static int
read_hop_by_hop_field (fq_http_reader_t *reader, const char *value, size_t size)
{
  const char *name = reader->field_name;
  size_t name_size = reader->field_name_size;

  if (name_equals (name, name_size, "Connection"))
    add_connection_options (reader, value, size);
  else if (name_equals (name, name_size, "Keep-Alive"))
    read_keep_alive (reader, value, size);
  else if (name_equals (name, name_size, "Expect"))
    reader->expects_continue = size >= 3 && strncmp (value, "100", 3) == 0;
  else if (name_equals (name, name_size, "Transfer-Encoding")
           && !name_equals (value, size, "chunked"))
    return fail (reader, FQ_STATUS_NOT_IMPLEMENTED, "unsupported transfer coding");
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  if (reader->in_trailers)
    return 0;
  while (length > 0 && (at[length - 1] == ' ' || at[length - 1] == '\t'))
    length--;
  if (name_equals (reader->field_name, reader->field_name_size, "Host"))
    reader->host_count++;
  if (is_hop_by_hop_field (reader->field_name, reader->field_name_size))
    return read_hop_by_hop_field (reader, at, length);
  fq_buffer_add (&reader->fields, reader->field_name, reader->field_name_size);
  fq_buffer_add_text (&reader->fields, ": ");
  fq_buffer_add (&reader->fields, at, length);
  fq_buffer_add_text (&reader->fields, "\r\n");
  return 0;
}

/* Removes the fields that the Connection field names: they are not forwarded. */
static void
drop_connection_options (fq_http_reader_t *reader)
{
  char *save = NULL;

  if (reader->connection_options == NULL)
    return;
  for (char *name = strtok_r (reader->connection_options, ", \t", &save); name != NULL;
       name = strtok_r (NULL, ", \t", &save))
    {
      if (strcasecmp (name, "host") != 0)
        fq_http_message_drop (reader->message, name);
    }
}

static void
store_fields (fq_http_reader_t *reader)
{
  fq_buffer_add (&reader->fields, "", 1);
  free (reader->message->fields);
  reader->message->fields = strdup ((const char *)fq_buffer_bytes (&reader->fields));
  if (reader->message->fields == NULL)
    abort ();
  fq_buffer_clear (&reader->fields);
  drop_connection_options (reader);
  fq_http_message_count_head (reader->message);
}

static int
check_request (fq_http_reader_t *reader, const http_parser *parser)
{
  if (parser->method == HTTP_CONNECT)
    return fail (reader, FQ_STATUS_NOT_IMPLEMENTED, "unsupported method");
  if (reader->host_count > 1 || (reader->host_count == 0 && parser->http_minor > 0))
    return fail (reader, FQ_STATUS_BAD_REQUEST, "missing or repeated Host field");
  fq_text_copy (reader->message->method, sizeof reader->message->method,
                http_method_str ((enum http_method)parser->method));
  return 0;
}

static int
check_answer (fq_http_reader_t *reader, const http_parser *parser)
{
  if (parser->status_code < FQ_STATUS_MIN || parser->status_code > FQ_STATUS_MAX)
    return fail (reader, FQ_STATUS_BAD_REQUEST, "no status of an answer");
  return 0;
}

static int
check_start_line (fq_http_reader_t *reader, const http_parser *parser)
{
  switch (reader->kind)
    {
    case FQ_HTTP_REQUESTS:
      return check_request (reader, parser);
    case FQ_HTTP_ANSWERS:
      return check_answer (reader, parser);
    }
  return -1;
}

static bool
has_length (const http_parser *parser)
{
  return parser->content_length != ULLONG_MAX && (parser->flags & F_CHUNKED) == 0;
}

static int
check_body_size (fq_http_reader_t *reader, const http_parser *parser)
{
  reader->body_length = has_length (parser) ? parser->content_length : 0;
  if (!has_length (parser) || reader->answers_head_request)
    return 0;
  if (parser->content_length > reader->limits.body_bytes)
    return fail (reader, FQ_STATUS_BODY_TOO_LARGE, "body exceeds the size limit");
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  fq_http_reader_t *reader = parser->data;

  if (parser->http_major != 1)
    return fail (reader, FQ_STATUS_VERSION_NOT_SUPPORTED, "unsupported HTTP version");
  parser->upgrade = 0;
  store_fields (reader);
  reader->message->status = (uint16_t)parser->status_code;
  if (check_start_line (reader, parser) < 0 || check_body_size (reader, parser) < 0)
    return -1;
  reader->in_trailers = true;
  return reader->answers_head_request ? 1 : 0;
}

static size_t
smaller (size_t a, size_t b)
{
  return a < b ? a : b;
}

/* The memory to take for a body that needs @size bytes. */
static size_t
body_capacity (const fq_http_reader_t *reader, size_t size)
{
  size_t most = reader->body_length > 0 ? reader->body_length : reader->limits.body_bytes;

  if (reader->body_length > 0 && reader->body_length <= FQ_SMALL_BODY_BYTES)
    return reader->body_length;
  if (size <= FQ_SMALL_BODY_BYTES)
    return smaller (smaller (2 * size, FQ_SMALL_BODY_BYTES), most);
  if (size <= FQ_BODY_DOUBLING_MAX_BYTES)
    return smaller (2 * size, most);
  return smaller (size + FQ_BODY_DOUBLING_MAX_BYTES, most);
}

static fq_room_stage_t
room_stage (size_t before, size_t capacity)
{
  if (capacity <= FQ_SMALL_BODY_BYTES)
    return FQ_ROOM_SMALL;
  return before <= FQ_SMALL_BODY_BYTES ? FQ_ROOM_BECOMES : FQ_ROOM_GROWS;
}

static unsigned int
memory_percent (const fq_http_reader_t *reader, fq_room_stage_t stage)
{
  switch (reader->kind)
    {
    case FQ_HTTP_REQUESTS:
      return stage == FQ_ROOM_SMALL ? FQ_SMALL_BODY_MEMORY_PERCENT
                                    : FQ_BODY_MEMORY_PERCENT;
    case FQ_HTTP_ANSWERS:
      return FQ_ANSWER_MEMORY_PERCENT;
    }
  return 0;
}

/* The memory that the whole body is expected to take. */
static size_t
expected_capacity (const fq_http_reader_t *reader, size_t capacity)
{
  if (reader->body_length > 0)
    return reader->body_length;
  return capacity > FQ_UNSTATED_BODY_BYTES ? capacity : FQ_UNSTATED_BODY_BYTES;
}

static size_t
held_body_bytes (const fq_http_reader_t *reader)
{
  const fq_blob_t *body = reader->message->body;

  return body == NULL ? 0 : body->size;
}

/* Whether the body may take @capacity. */
static bool
has_memory (const fq_http_reader_t *reader, size_t capacity)
{
  size_t before = held_body_bytes (reader);
  fq_room_stage_t stage = room_stage (before, capacity);
  const fq_room_t room = {
    .stage = stage,
    .size = capacity - before,
    .later = expected_capacity (reader, capacity) - capacity,
    .percent = memory_percent (reader, stage),
  };

  if (reader->make_room == NULL)
    return fq_memory_fits (room.size, room.percent);
  return reader->make_room (reader->context, &room);
}

/* Whether the body may grow by @more bytes of input, with what frames them. */
static bool
has_room (const fq_http_reader_t *reader, size_t more)
{
  size_t size = smaller (reader->body_received + more, reader->limits.body_bytes);

  if (reader->make_room == NULL)
    return true;
  if (reader->body_length > 0)
    size = smaller (size, reader->body_length);
  return size <= held_body_bytes (reader)
         || has_memory (reader, body_capacity (reader, size));
}

static int
reserve_body (fq_http_reader_t *reader, size_t size)
{
  fq_blob_t **body = &reader->message->body;
  size_t capacity;

  if (size <= held_body_bytes (reader))
    return 0;
  capacity = body_capacity (reader, size);
  if (!has_memory (reader, capacity))
    return fail (reader, FQ_STATUS_UNAVAILABLE, "not enough memory for the body");
  if ((*body == NULL ? fq_blob_new (body, NULL, capacity)
                     : fq_blob_resize (body, capacity))
      < 0)
    return fail (reader, FQ_STATUS_UNAVAILABLE, "not enough memory for the body");
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  fq_http_reader_t *reader = parser->data;

  if (reader->body_length == 0
      && reader->body_received + length > reader->limits.body_bytes)
    return fail (reader, FQ_STATUS_BODY_TOO_LARGE, "body exceeds the size limit");
  if (reserve_body (reader, reader->body_received + length) < 0)
    return -1;
  if (reader->message->body == NULL)
    return 0; /* @length is 0 */
  memcpy (reader->message->body->data + reader->body_received, at, length);
  reader->body_received += length;
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  fq_http_reader_t *reader = parser->data;

  if (reader->message->body != NULL
      && fq_blob_resize (&reader->message->body, reader->body_received) < 0)
    return fail (reader, FQ_STATUS_UNAVAILABLE, "not enough memory for the body");
  reader->is_complete = true;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
begin_message (fq_http_reader_t *reader)
{
  http_parser_init (&reader->parser,
                    reader->kind == FQ_HTTP_REQUESTS ? HTTP_REQUEST : HTTP_RESPONSE);
  reader->parser.data = reader;
  reader->body_received = 0;
  reader->framing_received = 0;
  reader->host_count = 0;
  reader->head_is_complete = false;
  reader->in_trailers = false;
  reader->is_complete = false;
  reader->expects_continue = false;
  reader->keep_alive_seconds = 0;
  reader->message = fq_http_message_new ();
}

static void
reset_message (fq_http_reader_t *reader)
{
  fq_http_message_unref (reader->message);
  reader->message = NULL;
  free (reader->connection_options);
  reader->connection_options = NULL;
  fq_buffer_clear (&reader->head);
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
  reset_message (reader);
}

size_t
fq_http_reader_body_bytes (const fq_http_reader_t *reader)
{
  return reader->body_received;
}

size_t
fq_http_reader_held (const fq_http_reader_t *reader)
{
  size_t held = reader->head.capacity + reader->fields.capacity;

  if (reader->message != NULL)
    held += reader->message->head_counted;
  if (reader->message != NULL && reader->message->body != NULL)
    held += reader->message->body->size;
  return held;
}

bool
fq_http_reader_is_idle (const fq_http_reader_t *reader)
{
  return reader->message == NULL;
}

/* Whether @text is a token of RFC 9110, as field names are. */
static bool
is_token (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      if (!isalnum ((unsigned char)text[i])
          && strchr (FQ_TOKEN_PUNCTUATION, text[i]) == NULL)
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
    return fail (reader, FQ_STATUS_BAD_REQUEST, "NUL, CR or LF within a line");
  if (first)
    return 0;
  colon = memchr (line, ':', size);
  if (line[0] == ' ' || line[0] == '\t')
    return fail (reader, FQ_STATUS_BAD_REQUEST, "folded field line");
  if (colon == NULL || colon == line || !is_token (line, (size_t)(colon - line)))
    return fail (reader, FQ_STATUS_BAD_REQUEST, "missing or invalid field name");
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
  if (reader->is_complete)
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

/* Some implementations end a line at a line feed without carriage return, others don't. A
 * head with one is rejected without waiting for the rest of it. */
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

/* Buffers input up to the end of the head, then checks the head and runs the parser on
 * it. */
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
        return fail (reader, FQ_STATUS_HEAD_TOO_LARGE, "head exceeds the size limit");
      if (has_bare_line_feed (bytes, before + size, before))
        return fail (reader, FQ_STATUS_BAD_REQUEST, "line feed without carriage return");
      return 0;
    }
  reader->head.end = reader->head.start + (size_t)(end - bytes) + FQ_HEAD_END_BYTES;
  *used = fq_buffer_size (&reader->head) - before;
  if (fq_buffer_size (&reader->head) > reader->limits.head_bytes)
    return fail (reader, FQ_STATUS_HEAD_TOO_LARGE, "head exceeds the size limit");
  if (check_head (reader) < 0)
    return -1;
  if (run_parser (reader, fq_buffer_bytes (&reader->head), fq_buffer_size (&reader->head),
                  &parsed)
      < 0)
    return -1;
  /* If http-parser does not find a complete head here, it would take the following bytes
   * for the rest of the head. */
  if (!reader->in_trailers && !reader->is_complete)
    return fail (reader, FQ_STATUS_BAD_REQUEST, "incomplete head");
  reader->head_is_complete = true;
  fq_buffer_clear (&reader->head);
  return 0;
}

/* Parses input after the head. A body has a limit of its own; what frames it could go on
 * without end. */
static int
read_body (fq_http_reader_t *reader, const uint8_t *data, size_t size, size_t *used)
{
  size_t before = reader->body_received;

  if (run_parser (reader, data, size, used) < 0)
    return -1;
  if (reader->is_complete)
    return 0;
  reader->framing_received += *used - (reader->body_received - before);
  if (reader->framing_received
      > reader->limits.head_bytes + reader->body_received * FQ_FRAMING_PER_BODY_BYTE)
    return fail (reader, FQ_STATUS_BAD_REQUEST, "chunk sizes or trailers without end");
  return 0;
}

/* Counts and drops an interim answer. */
static int
skip_interim (fq_http_reader_t *reader)
{
  if (++reader->interim_count > FQ_INTERIM_MAX)
    return fail (reader, 0, "interim answers without end");
  reset_message (reader);
  return 0;
}

/* Interim answers (1xx) precede the final one. */
static bool
is_interim (const fq_http_reader_t *reader)
{
  return reader->kind == FQ_HTTP_ANSWERS && reader->is_complete
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
      if (reader->head_is_complete && !has_room (reader, size - *used))
        return FQ_HTTP_NO_ROOM;
      if (reader->head_is_complete)
        error = read_body (reader, data + *used, size - *used, &taken);
      else
        error = read_head (reader, data + *used, size - *used, &taken);
      *used += taken;
      if (error == 0 && is_interim (reader))
        error = skip_interim (reader);
      else if (error == 0 && reader->is_complete)
        return FQ_HTTP_COMPLETE;
      if (error < 0)
        return FQ_HTTP_REJECTED;
    }
  return FQ_HTTP_INCOMPLETE;
}

fq_http_progress_t
fq_http_reader_end (fq_http_reader_t *reader)
{
  size_t used;

  if (reader->message == NULL || !reader->head_is_complete)
    return FQ_HTTP_REJECTED;
  if (run_parser (reader, NULL, 0, &used) < 0 || !reader->is_complete)
    return FQ_HTTP_REJECTED;
  reader->keep_alive = false;
  return FQ_HTTP_COMPLETE;
}

fq_http_message_t *
fq_http_reader_take (fq_http_reader_t *reader)
{
  fq_http_message_t *message = reader->message;

  reader->message = NULL;
  reader->interim_count = 0;
  reset_message (reader);
  return message;
}
