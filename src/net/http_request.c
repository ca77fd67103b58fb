#include "net/http_request.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/text.h"

#define FQ_HTTP_VERSION_BYTES 16 /* "HTTP/1.1", with its NUL */

static const struct
{
  enum lws_token_indexes token;
  const char *method;
  bool needs_length; /* requests without content-length are refused */
} methods[] = {
  { WSI_TOKEN_GET_URI, "GET", false },    { WSI_TOKEN_HEAD_URI, "HEAD", false },
  { WSI_TOKEN_POST_URI, "POST", true },   { WSI_TOKEN_PUT_URI, "PUT", true },
  { WSI_TOKEN_PATCH_URI, "PATCH", true }, { WSI_TOKEN_DELETE_URI, "DELETE", false },
};

static bool
must_encode (char c)
{
  return c <= ' ' || c >= 0x7f || strchr ("\"<>\\^`{|}%?#", c) != NULL;
}

/* Percent-encodes @from; false when it does not fit. @reserved: characters to encode
 * besides those of must_encode(), since they are delimiters at the place of @from. */
static bool
percent_encode (char *to, size_t size, const char *from, const char *reserved)
{
  size_t used = 0;

  for (; *from != '\0'; from++)
    {
      if (used + 4 > size)
        return false;
      if (must_encode (*from) || strchr (reserved, *from) != NULL)
        used += (size_t)snprintf (to + used, size - used, "%%%02X", (unsigned char)*from);
      else
        to[used++] = *from;
    }
  to[used] = '\0';
  return true;
}

static bool
append_query (struct lws *wsi, char *path, size_t size)
{
  char argument[FQ_PATH_BYTES];
  char separator = '?';

  for (int i = 0;; i++)
    {
      int length = lws_hdr_copy_fragment (wsi, argument, sizeof argument,
                                          WSI_TOKEN_HTTP_URI_ARGS, i);
      size_t used = strlen (path);

      if (length < 0)
        return lws_hdr_fragment_length (wsi, WSI_TOKEN_HTTP_URI_ARGS, i) <= 0;
      if (used + 2 >= size)
        return false;
      path[used] = separator;
      if (!percent_encode (path + used + 1, size - used - 1, argument, "&+"))
        return false;
      separator = '&';
    }
}

/* libwebsockets decodes an encoded line break in the path and takes it for the end of the
 * request line. Such a request is recognized by its missing HTTP version. */
static bool
has_version (struct lws *wsi)
{
  char version[FQ_HTTP_VERSION_BYTES];

  return lws_hdr_copy (wsi, version, sizeof version, WSI_TOKEN_HTTP) > 0
         && strncmp (version, "HTTP/1.", strlen ("HTTP/1.")) == 0;
}

static bool
read_method_and_path (struct lws *wsi,
                      fq_http_inbound_request_t *request,
                      bool *needs_length)
{
  char raw[FQ_PATH_BYTES];

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    {
      if (lws_hdr_total_length (wsi, methods[i].token) <= 0)
        continue;
      fq_text_copy (request->method, sizeof request->method, methods[i].method);
      *needs_length = methods[i].needs_length;
      if (lws_hdr_copy (wsi, raw, sizeof raw, methods[i].token) < 0)
        return false;
      return percent_encode (request->path, sizeof request->path, raw, "")
             && append_query (wsi, request->path, sizeof request->path);
    }
  return false;
}

/* Sets @to to "" when the field is missing; false when its value does not fit. */
static bool
copy_custom_field (struct lws *wsi, const char *name, char *to, size_t size)
{
  int name_length = (int)strlen (name);
  int length = lws_hdr_custom_length (wsi, name, name_length);

  to[0] = '\0';
  if (length < 0)
    return true;
  return lws_hdr_custom_copy (wsi, to, (int)size, name, name_length) >= 0;
}

/* Whether a field is repeated that must be unique: with two values, this node and another
 * reader of the request could act on different ones. */
static bool
has_duplicate_field (struct lws *wsi)
{
  static const enum lws_token_indexes single_fields[]
      = { WSI_TOKEN_HTTP_AUTHORIZATION, WSI_TOKEN_HTTP_CONTENT_LENGTH,
          WSI_TOKEN_HTTP_CONTENT_TYPE, WSI_TOKEN_HTTP_TRANSFER_ENCODING, WSI_TOKEN_HOST };

  for (size_t i = 0; i < sizeof single_fields / sizeof single_fields[0]; i++)
    {
      if (lws_hdr_fragment_length (wsi, single_fields[i], 1) > 0)
        return true;
    }
  return false;
}

/* As copy_custom_field(), for a field that libwebsockets has a token for. */
static bool
copy_known_field (struct lws *wsi, enum lws_token_indexes token, char *to, size_t size)
{
  to[0] = '\0';
  if (lws_hdr_total_length (wsi, token) <= 0)
    return true;
  return lws_hdr_copy (wsi, to, (int)size, token) >= 0;
}

static bool
read_headers (struct lws *wsi, fq_http_inbound_request_t *request)
{
  return copy_known_field (wsi, WSI_TOKEN_HTTP_AUTHORIZATION, request->authorization,
                           sizeof request->authorization)
         && copy_known_field (wsi, WSI_TOKEN_HTTP_CONTENT_TYPE, request->content_type,
                              sizeof request->content_type)
         && copy_custom_field (wsi, "fq-service:", request->service,
                               sizeof request->service)
         && copy_custom_field (wsi, "idempotency-key:", request->key, sizeof request->key)
         && copy_custom_field (wsi, "fq-chain:", request->chain, sizeof request->chain)
         && copy_custom_field (wsi, "traceparent:", request->traceparent,
                               sizeof request->traceparent)
         && copy_custom_field (wsi, "fq-deadline-ms:", request->deadline_ms,
                               sizeof request->deadline_ms);
}

static bool
has_field (struct lws *wsi, enum lws_token_indexes token)
{
  return lws_hdr_fragment_length (wsi, token, 0) > 0;
}

/* Sets @out to 0 when the field is missing; false when it is malformed. */
static bool
parse_length (struct lws *wsi, size_t *out)
{
  char text[FQ_HTTP_NUMBER_BYTES];
  char *end = NULL;

  *out = 0;
  if (!has_field (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH))
    return true;
  if (lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0
      || text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *out = strtoull (text, &end, 10);
  return errno == 0 && *end == '\0';
}

/* Returns the status to refuse the framing of a request with, or 0. Chunked bodies are
 * refused. */
static uint16_t
check_framing (struct lws *wsi, bool needs_length, size_t *length, const char **reason)
{
  bool has_length = has_field (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  bool has_encoding = has_field (wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);

  *reason = "a malformed or doubled header field";
  if (has_duplicate_field (wsi) || (has_length && has_encoding)
      || !parse_length (wsi, length))
    return 400;
  *reason = "a content-length is needed";
  return has_encoding || (needs_length && !has_length) ? 411 : 0;
}

uint16_t
fq_http_request_read (struct lws *wsi,
                      fq_http_inbound_request_t *out,
                      size_t *length,
                      const char **reason)
{
  bool needs_length = false;

  *reason = "a malformed request line";
  if (!has_version (wsi))
    return 400;
  *reason = "bad or long path, or unknown method";
  if (!read_method_and_path (wsi, out, &needs_length))
    return 414;
  *reason = "a header field is too long";
  if (!read_headers (wsi, out))
    return 431;
  return check_framing (wsi, needs_length, length, reason);
}
