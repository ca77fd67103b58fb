#include "core/once/once_row.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "filbertquay/errors.h"
#include "util/base64.h"
#include "util/map.h"
#include "util/text.h"

static const char *const row_state_names[] = {
  [FQ_ONCE_ROW_CLAIMED] = "claimed",
  [FQ_ONCE_ROW_FREE] = "free",
  [FQ_ONCE_ROW_DONE] = "done",
  [FQ_ONCE_ROW_UNKNOWN] = "unknown",
};

#define FQ_ONCE_ROW_STATE_COUNT (sizeof row_state_names / sizeof row_state_names[0])

/* The lengths come first, so that different requests never give the same input. */
fq_once_hash_t
fq_once_hash_request (const fq_request_t *request)
{
  size_t lengths[2] = { strlen (request->method), strlen (request->path) };
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t hash;

  if (state == NULL)
    abort ();
  XXH3_128bits_reset (state);
  XXH3_128bits_update (state, lengths, sizeof lengths);
  XXH3_128bits_update (state, request->method, lengths[0]);
  XXH3_128bits_update (state, request->path, lengths[1]);
  if (request->body != NULL)
    XXH3_128bits_update (state, request->body->data, request->body->size);
  hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  return (fq_once_hash_t){ .low = hash.low64, .high = hash.high64 };
}

bool
fq_once_hash_equal (fq_once_hash_t a, fq_once_hash_t b)
{
  return a.low == b.low && a.high == b.high;
}

static bool
is_unreserved (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
         || c == '-' || c == '.' || c == '_' || c == '~';
}

/* Percent-encodes all but unreserved characters, so that '/' only separates parts. */
static void
append_escaped (char *to, size_t size, const char *part)
{
  size_t used = strlen (to);

  for (; *part != '\0' && used + 4 < size; part++)
    {
      if (is_unreserved (*part))
        to[used++] = *part;
      else
        used += (size_t)snprintf (to + used, size - used, "%%%02X", (unsigned char)*part);
    }
  to[used] = '\0';
}

static void
append_slash (char *to, size_t size)
{
  size_t used = strlen (to);

  snprintf (to + used, size - used, "/");
}

void
fq_once_bucket_prefix (char *to,
                       size_t size,
                       const fq_request_t *request,
                       unsigned bucket)
{
  size_t used;

  snprintf (to, size, "once/");
  append_escaped (to, size, request->member);
  append_slash (to, size);
  append_escaped (to, size, request->service);
  used = strlen (to);
  snprintf (to + used, size - used, "/%02x/", bucket);
}

void
fq_once_row_key (char *to, size_t size, const fq_request_t *request)
{
  fq_once_bucket_prefix (to, size, request,
                         (unsigned)(fq_map_hash (request->key) % FQ_ONCE_BUCKETS));
  append_escaped (to, size, request->key);
}

void
fq_once_object_key (char *to, size_t size, const char *attempt)
{
  snprintf (to, size, "once/");
  append_escaped (to, size, attempt);
}

char *
fq_once_body_encode (const fq_blob_t *body)
{
  if (body == NULL)
    return calloc (1, 1);
  return fq_base64_encode (body->data, body->size);
}

int
fq_once_body_decode (fq_blob_t **out, const char *text)
{
  *out = NULL;
  return text[0] == '\0' ? FQ_OK : fq_base64_decode (out, text);
}

static json_t *
row_to_json (const fq_once_row_t *row)
{
  char hash[2 * 16 + 1];

  snprintf (hash, sizeof hash, "%016llx%016llx",
            (unsigned long long)row->request_hash.high,
            (unsigned long long)row->request_hash.low);
  return json_pack ("{s:s, s:s, s:s, s:I}", "state", row_state_names[row->state],
                    "attempt", row->attempt, "request", hash, "claimed_ms",
                    (json_int_t)row->claimed_ms);
}

/* The content type may contain any bytes, so it is stored in base64, as the body is. */
static int
json_add_answer (json_t *json, const fq_once_row_t *row)
{
  char *type = fq_base64_encode (row->content_type, strlen (row->content_type));
  char *body = row->in_object ? NULL : fq_once_body_encode (row->body);
  int rc = FQ_ERROR_NOMEM;

  if (type == NULL || (body == NULL && !row->in_object))
    goto done;
  rc = json_object_set_new (json, "status", json_integer (row->status))
       | json_object_set_new (json, "type", json_string (type));
  if (body != NULL)
    rc |= json_object_set_new (json, "body", json_string (body));
done:
  free (type);
  free (body);
  return rc;
}

char *
fq_once_row_encode (const fq_once_row_t *row)
{
  json_t *json = row_to_json (row);
  char *text = NULL;

  if (json == NULL)
    return NULL;
  if (row->state != FQ_ONCE_ROW_DONE || json_add_answer (json, row) == FQ_OK)
    text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (json);
  return text;
}

static int
decode_state (fq_once_row_state_t *out, const char *name)
{
  for (size_t i = 0; name != NULL && i < FQ_ONCE_ROW_STATE_COUNT; i++)
    {
      if (strcmp (row_state_names[i], name) == 0)
        {
          *out = (fq_once_row_state_t)i;
          return FQ_OK;
        }
    }
  return FQ_ERROR_INVALID;
}

static int
decode_hash (fq_once_hash_t *out, const char *text)
{
  unsigned long long high;
  unsigned long long low;

  if (text == NULL || sscanf (text, "%16llx%16llx", &high, &low) != 2)
    return FQ_ERROR_INVALID;
  *out = (fq_once_hash_t){ .low = low, .high = high };
  return FQ_OK;
}

static int
decode_content_type (fq_once_row_t *out, const char *text)
{
  fq_blob_t *type = NULL;
  int rc;

  if (text == NULL)
    return FQ_ERROR_INVALID;
  rc = fq_once_body_decode (&type, text);
  if (rc == FQ_OK && type != NULL && type->size < sizeof out->content_type)
    memcpy (out->content_type, type->data, type->size);
  fq_blob_unref (type);
  return rc;
}

static int
decode_answer (fq_once_row_t *out, json_t *json)
{
  const char *body = json_string_value (json_object_get (json, "body"));

  out->status = (uint16_t)json_integer_value (json_object_get (json, "status"));
  out->in_object = body == NULL;
  if (decode_content_type (out, json_string_value (json_object_get (json, "type"))) < 0)
    return FQ_ERROR_INVALID;
  return body == NULL ? FQ_OK : fq_once_body_decode (&out->body, body);
}

static int
row_from_json (fq_once_row_t *out, json_t *json)
{
  const char *attempt = json_string_value (json_object_get (json, "attempt"));

  if (decode_state (&out->state, json_string_value (json_object_get (json, "state"))) < 0
      || decode_hash (&out->request_hash,
                      json_string_value (json_object_get (json, "request")))
             < 0
      || attempt == NULL)
    return FQ_ERROR_INVALID;
  fq_text_copy (out->attempt, sizeof out->attempt, attempt);
  out->claimed_ms = json_integer_value (json_object_get (json, "claimed_ms"));
  return out->state == FQ_ONCE_ROW_DONE ? decode_answer (out, json) : FQ_OK;
}

int
fq_once_row_decode (fq_once_row_t *out, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  int rc;

  *out = (fq_once_row_t){ 0 };
  rc = json == NULL ? FQ_ERROR_INVALID : row_from_json (out, json);
  json_decref (json);
  if (rc < 0)
    {
      fq_once_row_clear (out);
      return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
                           "malformed row of an idempotency key");
    }
  return FQ_OK;
}

void
fq_once_row_clear (fq_once_row_t *row)
{
  fq_blob_unref (row->body);
  row->body = NULL;
}
