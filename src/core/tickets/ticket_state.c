#include "core/tickets/ticket_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/map.h"
#include "util/text.h"

typedef struct
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  uint64_t number;
  json_t *value; /* JSON null: the object was removed */
} fq_ticket_object_t;

struct fq_ticket_state
{
  fq_map_t objects; /* by fq_map_hash() of their keys */
};

static const char *const kind_names[FQ_TICKET_OBJECT_KIND_COUNT] = {
  [FQ_TICKET_OBJECT_SERVICE] = "service",
  [FQ_TICKET_OBJECT_CLASS] = "class",
  [FQ_TICKET_OBJECT_LIMIT] = "limit",
};

const char *
fq_ticket_object_kind_name (fq_ticket_object_kind_t kind)
{
  return kind_names[kind];
}

void
fq_ticket_object_key (char *out,
                      fq_ticket_object_kind_t kind,
                      const char *member,
                      const char *name)
{
  snprintf (out, FQ_TICKET_OBJECT_KEY_BYTES, "%s/%s/%s", kind_names[kind], member, name);
}

int
fq_ticket_state_new (fq_ticket_state_t **out)
{
  fq_ticket_state_t *state = calloc (1, sizeof *state);

  if (state == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for tickets");
  *out = state;
  return FQ_OK;
}

void
fq_ticket_state_free (fq_ticket_state_t *state)
{
  size_t cursor = 0;
  fq_ticket_object_t *object;

  if (state == NULL)
    return;
  while ((object = fq_map_next (&state->objects, &cursor)) != NULL)
    {
      json_decref (object->value);
      free (object);
    }
  fq_map_clear (&state->objects);
  free (state);
}

static fq_ticket_object_t *
find_object (const fq_ticket_state_t *state, const char *key)
{
  fq_ticket_object_t *object = fq_map_get (&state->objects, fq_map_hash (key));

  return object != NULL && strcmp (object->key, key) == 0 ? object : NULL;
}

static fq_ticket_object_t *
add_object (fq_ticket_state_t *state, const char *key)
{
  fq_ticket_object_t *object = calloc (1, sizeof *object);

  if (object == NULL || !fq_text_copy (object->key, sizeof object->key, key)
      || fq_map_set (&state->objects, fq_map_hash (key), object) < 0)
    {
      free (object);
      return NULL;
    }
  return object;
}

int
fq_ticket_state_merge (fq_ticket_state_t *state,
                       const char *key,
                       uint64_t number,
                       json_t *value)
{
  fq_ticket_object_t *object = find_object (state, key);

  if (object != NULL && number <= object->number)
    return 0;
  if (object == NULL)
    object = add_object (state, key);
  if (object == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for '%s'",
                         key);
  json_decref (object->value);
  object->value = json_incref (value);
  object->number = number;
  return 1;
}

uint64_t
fq_ticket_state_number_of (const fq_ticket_state_t *state, const char *key)
{
  const fq_ticket_object_t *object = find_object (state, key);

  return object == NULL ? 0 : object->number;
}

const json_t *
fq_ticket_state_value_of (const fq_ticket_state_t *state, const char *key)
{
  const fq_ticket_object_t *object = find_object (state, key);

  return object == NULL || json_is_null (object->value) ? NULL : object->value;
}

static const json_t *
service_object_value (const fq_ticket_state_t *state,
                      fq_ticket_object_kind_t kind,
                      const char *service)
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];

  snprintf (key, sizeof key, "%s/%s", kind_names[kind], service);
  return fq_ticket_state_value_of (state, key);
}

static void
apply_deadline_and_retries (const json_t *value, fq_request_policy_t *out)
{
  const json_t *deadline = json_object_get (value, "deadline_ms");
  const json_t *retries = json_object_get (value, "retries");

  if (deadline != NULL)
    out->deadline_ms = (uint32_t)json_integer_value (deadline);
  if (retries != NULL)
    out->retries = (uint32_t)json_integer_value (retries);
}

/* A class is one of the three levels, or one that the service's owner defined in a
 * ticket. NULL and an unknown class leave the level as it is. */
static void
apply_class (const fq_ticket_state_t *state,
             const char *service,
             const char *name,
             fq_request_policy_t *out)
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  const json_t *value;
  const char *level;

  if (name == NULL || fq_class_parse (&out->request_class, name) == FQ_OK)
    return;
  snprintf (key, sizeof key, "class/%.*s/%s", (int)strcspn (service, "/"), service, name);
  value = fq_ticket_state_value_of (state, key);
  level = json_string_value (json_object_get (value, "level"));
  if (level != NULL)
    (void)fq_class_parse (&out->request_class, level);
  apply_deadline_and_retries (value, out);
}

static bool
rule_matches (const json_t *rule, const char *method, const char *path)
{
  const char *rule_method = json_string_value (json_object_get (rule, "method"));
  const char *path_prefix = json_string_value (json_object_get (rule, "path"));

  if (rule_method != NULL && strcmp (rule_method, method) != 0)
    return false;
  return path_prefix == NULL || strncmp (path_prefix, path, strlen (path_prefix)) == 0;
}

static bool
rule_is_idempotent (const json_t *rule, bool default_value)
{
  const json_t *stated = json_object_get (rule, "idempotent");

  return stated == NULL ? default_value : json_is_true (stated);
}

static bool
is_listed (const json_t *members, const char *member)
{
  size_t index;
  const json_t *entry;

  json_array_foreach (members, index, entry)
  {
    if (strcmp (json_string_value (entry), member) == 0)
      return true;
  }
  return false;
}

void
fq_ticket_state_classify (const fq_ticket_state_t *state,
                          const char *member,
                          const char *service,
                          const char *method,
                          const char *path,
                          fq_request_policy_t *out)
{
  const json_t *value = service_object_value (state, FQ_TICKET_OBJECT_SERVICE, service);
  size_t index;
  const json_t *rule;

  if (value == NULL)
    return;
  apply_deadline_and_retries (value, out);
  out->allowed = out->allowed || is_listed (json_object_get (value, "members"), member);
  json_array_foreach (json_object_get (value, "rules"), index, rule)
  {
    if (!rule_matches (rule, method, path))
      continue;
    apply_class (state, service, json_string_value (json_object_get (rule, "class")),
                 out);
    apply_deadline_and_retries (rule, out);
    out->at_most_once = json_is_true (json_object_get (rule, "once"));
    out->idempotent = !out->at_most_once && rule_is_idempotent (rule, out->idempotent);
    return;
  }
}

void
fq_ticket_state_limit (const fq_ticket_state_t *state,
                       const char *service,
                       fq_service_limit_t *out)
{
  const json_t *value = service_object_value (state, FQ_TICKET_OBJECT_LIMIT, service);

  out->max_concurrent = (uint32_t)json_integer_value (json_object_get (value, "running"));
}

static char *
export_object (const fq_ticket_object_t *object)
{
  json_t *document = json_pack ("{s:s, s:I, s:O}", "key", object->key, "number",
                                (json_int_t)object->number, "value", object->value);
  char *text = json_dumps (document, JSON_COMPACT);

  json_decref (document);
  return text;
}

int
fq_ticket_state_export (const fq_ticket_state_t *state,
                        uint64_t after,
                        char ***documents,
                        size_t *count)
{
  char **list = calloc (state->objects.count + 1, sizeof *list);
  size_t used = 0;
  size_t cursor = 0;
  const fq_ticket_object_t *object;

  if (list == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for tickets");
  while ((object = fq_map_next (&state->objects, &cursor)) != NULL)
    {
      if (object->number <= after)
        continue;
      list[used] = export_object (object);
      if (list[used] != NULL)
        used++;
    }
  *documents = list;
  *count = used;
  return FQ_OK;
}

int
fq_ticket_state_import (fq_ticket_state_t *state, const char *document)
{
  json_t *root = json_loads (document, JSON_REJECT_DUPLICATES, NULL);
  const char *key = NULL;
  json_int_t number = 0;
  json_t *value = NULL;
  int rc;

  if (root == NULL
      || json_unpack (root, "{s:s, s:I, s:o}", "key", &key, "number", &number, "value",
                      &value)
             != 0
      || number < 1)
    rc = fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_INVALID,
                       "malformed ticket object in an exported document");
  else
    rc = fq_ticket_state_merge (state, key, (uint64_t)number, value);
  json_decref (root);
  return rc < 0 ? rc : FQ_OK;
}

static bool
is_object_of_member (const fq_ticket_object_t *object, const char *member)
{
  const char *slash = strchr (object->key, '/');
  size_t length = strlen (member);

  return slash != NULL && strncmp (slash + 1, member, length) == 0
         && slash[1 + length] == '/';
}

uint64_t
fq_ticket_state_member_number (const fq_ticket_state_t *state, const char *member)
{
  uint64_t number = 0;
  size_t cursor = 0;
  const fq_ticket_object_t *object;

  while ((object = fq_map_next (&state->objects, &cursor)) != NULL)
    {
      if (is_object_of_member (object, member) && object->number > number)
        number = object->number;
    }
  return number;
}

json_t *
fq_ticket_state_list (const fq_ticket_state_t *state, const char *member)
{
  json_t *list = json_array ();
  size_t cursor = 0;
  const fq_ticket_object_t *object;

  while ((object = fq_map_next (&state->objects, &cursor)) != NULL)
    {
      if (is_object_of_member (object, member))
        json_array_append_new (list, json_pack ("{s:s, s:I, s:O}", "key", object->key,
                                                "number", (json_int_t)object->number,
                                                "value", object->value));
    }
  return list;
}
