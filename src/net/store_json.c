#include "net/store_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "filbertquay/errors.h"
#include "filbertquay/types.h"

#define FQ_HTTP_OK 200
#define FQ_HTTP_NO_CONTENT 204
#define FQ_HTTP_NOT_FOUND 404
#define FQ_HTTP_CONFLICT 409
#define FQ_HTTP_TOO_MANY_REQUESTS 429

static bool
is_unreserved (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
         || c == '-' || c == '.' || c == '_' || c == '~';
}

static int
append_encoded (char *to, size_t size, const char *text)
{
  size_t used = strlen (to);

  for (; *text != '\0'; text++)
    {
      if (used + 4 > size)
        return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_TOOBIG,
                             "key too long for the request path");
      if (is_unreserved (*text))
        to[used++] = *text;
      else
        used += (size_t)snprintf (to + used, size - used, "%%%02X", (unsigned char)*text);
      to[used] = '\0';
    }
  return FQ_OK;
}

static int
scan_path (char *to, size_t size, const fq_store_op_t *op)
{
  int rc;
  size_t used;

  snprintf (to, size, "/v1/table/scan?from=");
  if ((rc = append_encoded (to, size, op->key)) < 0)
    return rc;
  used = strlen (to);
  snprintf (to + used, size - used, "&limit=%u&to=", op->limit);
  return append_encoded (to, size, op->end == NULL ? "" : op->end);
}

int
fq_store_json_path (char *to, size_t size, const fq_store_op_t *op)
{
  switch (op->kind)
    {
    case FQ_STORE_GET:
      snprintf (to, size, "/v1/table/row?key=");
      return append_encoded (to, size, op->key);
    case FQ_STORE_SCAN:
      return scan_path (to, size, op);
    case FQ_STORE_COMMIT:
      snprintf (to, size, "/v1/table/commit");
      return FQ_OK;
    case FQ_STORE_OBJECT_GET:
    case FQ_STORE_OBJECT_PUT:
      snprintf (to, size, "/v1/object/");
      return append_encoded (to, size, op->key);
    }
  return FQ_ERROR_INVALID;
}

static const char *
condition_name (fq_store_condition_t condition)
{
  switch (condition)
    {
    case FQ_STORE_ANY:
      return "any";
    case FQ_STORE_ABSENT:
      return "absent";
    case FQ_STORE_EQUALS:
      return "equals";
    }
  return "any";
}

static json_t *
writes_to_json (const fq_store_op_t *op)
{
  json_t *writes = json_array ();

  for (size_t i = 0; i < op->write_count; i++)
    {
      const fq_store_write_t *write = &op->writes[i];
      json_t *json
          = json_pack ("{s:s, s:s?, s:s, s:s*}", "key", write->key, "value", write->value,
                       "condition", condition_name (write->condition), "expected",
                       write->condition == FQ_STORE_EQUALS ? write->expected : NULL);

      if (json == NULL || json_array_append_new (writes, json) != 0)
        {
          json_decref (writes);
          return NULL;
        }
    }
  return json_pack ("{s:o}", "writes", writes);
}

static int
commit_body (fq_blob_t **out, const fq_store_op_t *op)
{
  json_t *json = writes_to_json (op);
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  int rc = FQ_ERROR_INVALID;

  if (text == NULL)
    rc = fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_INVALID,
                       "a key or value is not UTF-8");
  else
    rc = fq_blob_new (out, text, strlen (text));
  free (text);
  json_decref (json);
  return rc;
}

int
fq_store_json_body (fq_blob_t **out, const fq_store_op_t *op)
{
  *out = NULL;
  if (op->kind == FQ_STORE_COMMIT)
    return commit_body (out, op);
  if (op->kind == FQ_STORE_OBJECT_PUT)
    return fq_blob_new (out, op->value, strlen (op->value));
  return FQ_OK;
}

static int
parse_row (fq_store_answer_t *out, json_t *row)
{
  const char *key = json_string_value (json_object_get (row, "key"));
  const char *value = json_string_value (json_object_get (row, "value"));

  if (key == NULL || value == NULL)
    return FQ_ERROR_INVALID;
  return fq_store_answer_add_row (out, key, value);
}

static int
parse_rows (fq_store_answer_t *out, json_t *rows)
{
  size_t index;
  json_t *row;

  if (!json_is_array (rows))
    return FQ_ERROR_INVALID;
  json_array_foreach (rows, index, row)
  {
    int rc = parse_row (out, row);

    if (rc < 0)
      return rc;
  }
  return FQ_OK;
}

static int
parse_object (fq_store_answer_t *out, const char *key, const fq_blob_t *body)
{
  size_t size = body == NULL ? 0 : body->size;
  char *text;
  int rc;

  if (size > 0 && memchr (body->data, '\0', size) != NULL)
    return FQ_ERROR_INVALID;
  text = calloc (1, size + 1);
  if (text == NULL)
    return FQ_ERROR_NOMEM;
  if (size > 0)
    memcpy (text, body->data, size);
  rc = fq_store_answer_add_row (out, key, text);
  free (text);
  return rc;
}

static int
parse_answer_rows (fq_store_answer_t *out, const fq_store_op_t *op, const fq_blob_t *body)
{
  json_t *json;
  int rc;

  if (op->kind == FQ_STORE_OBJECT_GET)
    return parse_object (out, op->key, body);
  json = body == NULL ? NULL : json_loadb ((const char *)body->data, body->size, 0, NULL);
  rc = op->kind == FQ_STORE_GET ? parse_row (out, json)
                                : parse_rows (out, json_object_get (json, "rows"));
  json_decref (json);
  return rc;
}

static bool
answer_has_rows (const fq_store_op_t *op, fq_store_status_t status)
{
  if (op->kind == FQ_STORE_COMMIT)
    return status == FQ_STORE_CONFLICT;
  return status == FQ_STORE_DONE && op->kind != FQ_STORE_OBJECT_PUT;
}

static fq_store_status_t
store_status_from_http (const fq_store_op_t *op, uint16_t status)
{
  bool reads = op->kind != FQ_STORE_COMMIT && op->kind != FQ_STORE_OBJECT_PUT;

  if (status == FQ_HTTP_OK || (status == FQ_HTTP_NO_CONTENT && !reads))
    return FQ_STORE_DONE;
  if (status == FQ_HTTP_NOT_FOUND && reads && op->kind != FQ_STORE_SCAN)
    return FQ_STORE_NOT_FOUND;
  if (status == FQ_HTTP_CONFLICT && op->kind == FQ_STORE_COMMIT)
    return FQ_STORE_CONFLICT;
  if (status == FQ_HTTP_TOO_MANY_REQUESTS)
    return FQ_STORE_BUSY;
  return FQ_STORE_UNAVAILABLE;
}

void
fq_store_json_parse_answer (fq_store_answer_t *out,
                            const fq_store_op_t *op,
                            uint16_t status,
                            const fq_blob_t *body)
{
  out->status = store_status_from_http (op, status);
  if (!answer_has_rows (op, out->status))
    return;
  if (parse_answer_rows (out, op, body) == FQ_OK)
    return;
  fq_store_answer_clear (out);
  out->status = FQ_STORE_UNAVAILABLE;
}
