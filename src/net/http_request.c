#include "net/http_request.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/text.h"

static const struct
{
  enum lws_token_indexes token;
  const char *method;
  bool has_body;
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

/* @also: more characters to encode, that are data where @from stands. */
static bool
encode (char *to, size_t size, const char *from, const char *also)
{
  size_t used = 0;

  for (; *from != '\0'; from++)
    {
      if (used + 4 > size)
        return false;
      if (must_encode (*from) || strchr (also, *from) != NULL)
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
      if (!encode (path + used + 1, size - used - 1, argument, "&+"))
        return false;
      separator = '&';
    }
}

/* libwebsockets decodes an encoded line end in the path and takes it for the end of the
 * request line: what is left has no version. */
static bool
has_version (struct lws *wsi)
{
  char version[FQ_METHOD_BYTES];

  return lws_hdr_copy (wsi, version, sizeof version, WSI_TOKEN_HTTP) > 0
         && strncmp (version, "HTTP/1.", strlen ("HTTP/1.")) == 0;
}

static bool
read_method_and_path (struct lws *wsi, fq_http_inbound_request_t *request, bool *has_body)
{
  char raw[FQ_PATH_BYTES];

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    {
      if (lws_hdr_total_length (wsi, methods[i].token) <= 0)
        continue;
      fq_text_copy (request->method, sizeof request->method, methods[i].method);
      *has_body = methods[i].has_body;
      if (lws_hdr_copy (wsi, raw, sizeof raw, methods[i].token) < 0)
        return false;
      return encode (request->path, sizeof request->path, raw, "")
             && append_query (wsi, request->path, sizeof request->path);
    }
  return false;
}

static bool
read_custom (struct lws *wsi, const char *name, char *to, size_t size)
{
  int name_length = (int)strlen (name);
  int length = lws_hdr_custom_length (wsi, name, name_length);

  to[0] = '\0';
  if (length < 0)
    return true;
  return lws_hdr_custom_copy (wsi, to, (int)size, name, name_length) >= 0;
}

/* Fields that must not come twice: two of them would let two readers disagree. */
static bool
has_doubled_field (struct lws *wsi)
{
  static const enum lws_token_indexes single[]
      = { WSI_TOKEN_HTTP_AUTHORIZATION, WSI_TOKEN_HTTP_CONTENT_LENGTH,
          WSI_TOKEN_HTTP_CONTENT_TYPE, WSI_TOKEN_HTTP_TRANSFER_ENCODING, WSI_TOKEN_HOST };

  for (size_t i = 0; i < sizeof single / sizeof single[0]; i++)
    {
      if (lws_hdr_fragment_length (wsi, single[i], 1) > 0)
        return true;
    }
  return false;
}

static bool
read_known (struct lws *wsi, enum lws_token_indexes token, char *to, size_t size)
{
  to[0] = '\0';
  if (lws_hdr_total_length (wsi, token) <= 0)
    return true;
  return lws_hdr_copy (wsi, to, (int)size, token) >= 0;
}

static bool
read_headers (struct lws *wsi, fq_http_inbound_request_t *request)
{
  return read_known (wsi, WSI_TOKEN_HTTP_AUTHORIZATION, request->authorization,
                     sizeof request->authorization)
         && read_known (wsi, WSI_TOKEN_HTTP_CONTENT_TYPE, request->content_type,
                        sizeof request->content_type)
         && read_custom (wsi, "fq-service:", request->service, sizeof request->service)
         && read_custom (wsi, "idempotency-key:", request->key, sizeof request->key)
         && read_custom (wsi, "fq-chain:", request->chain, sizeof request->chain)
         && read_custom (wsi, "traceparent:", request->traceparent,
                         sizeof request->traceparent)
         && read_custom (wsi, "fq-deadline-ms:", request->deadline_ms,
                         sizeof request->deadline_ms);
}

static bool
has_field (struct lws *wsi, enum lws_token_indexes token)
{
  return lws_hdr_fragment_length (wsi, token, 0) > 0;
}

/* A missing length is 0. */
static bool
parse_length (struct lws *wsi, size_t *out)
{
  char text[FQ_METHOD_BYTES];
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

/* Why the framing of a request is refused, or 0. */
static uint16_t
check_framing (struct lws *wsi, bool has_body, size_t *length, const char **why)
{
  bool has_length = has_field (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  bool has_encoding = has_field (wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING);

  *why = "a malformed or doubled header field";
  if (has_doubled_field (wsi) || (has_length && has_encoding)
      || !parse_length (wsi, length))
    return 400;
  *why = "a content-length is needed";
  return has_encoding || (has_body && !has_length) ? 411 : 0;
}

uint16_t
fq_http_request_read (struct lws *wsi,
                      fq_http_inbound_request_t *out,
                      size_t *length,
                      const char **why)
{
  bool has_body = false;

  *why = "a malformed request line";
  if (!has_version (wsi))
    return 400;
  *why = "bad or long path, or unknown method";
  if (!read_method_and_path (wsi, out, &has_body))
    return 414;
  *why = "a header field is too long";
  if (!read_headers (wsi, out))
    return 431;
  return check_framing (wsi, has_body, length, why);
}
