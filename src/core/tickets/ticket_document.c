#include "core/tickets/ticket_document.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/text.h"

#define FQ_FIELD_PATH_BYTES 256
#define FQ_RULES_MAX 64
#define FQ_OBJECTIVES_MAX 16
#define FQ_DEADLINE_MS_MAX 600000
#define FQ_RETRIES_MAX 10
#define FQ_CONCURRENCY_LIMIT_MAX 100000

/* Validation errors of a ticket, one per line; text beyond the buffer is cut off. */
typedef struct
{
  char text[FQ_TICKET_ERRORS_BYTES];
  size_t used;
} fq_validation_errors_t;

static void
add_error (fq_validation_errors_t *errors, const char *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
add_error (fq_validation_errors_t *errors, const char *path, const char *format, ...)
{
  char error[FQ_FIELD_PATH_BYTES];
  va_list arguments;
  int length;

  va_start (arguments, format);
  vsnprintf (error, sizeof error, format, arguments);
  va_end (arguments);
  length = snprintf (errors->text + errors->used, sizeof errors->text - errors->used,
                     "%s%s: %s", errors->used == 0 ? "" : "\n", path, error);
  errors->used += (size_t)length;
  if (errors->used >= sizeof errors->text)
    errors->used = sizeof errors->text - 1;
}

/** enum fq_field_type_t - the type of a field's value. */
typedef enum
{
  FIELD_INTEGER,
  FIELD_NUMBER,
  FIELD_BOOLEAN,
  FIELD_STRING,
  FIELD_LEVEL,     /* critical, normal or lookup */
  FIELD_NAME_LIST, /* an array of names */
  FIELD_RULES,
  FIELD_OBJECTIVES,
} fq_field_type_t;

/* One permitted field of a JSON object; tables of fields end with a NULL name. */
typedef struct
{
  const char *name;
  fq_field_type_t type;
  /* The range, inclusive, of an integer or number. */
  double min;
  double max;
  bool required;
} fq_field_t;

static const fq_field_t rule_fields[] = {
  { .name = "method", .type = FIELD_STRING },
  { .name = "path", .type = FIELD_STRING },
  { .name = "class", .type = FIELD_STRING, .required = true },
  { .name = "once", .type = FIELD_BOOLEAN },
  { .name = "idempotent", .type = FIELD_BOOLEAN },
  { .name = "deadline_ms", .type = FIELD_INTEGER, .min = 1, .max = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .min = 0, .max = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t objective_fields[] = {
  { .name = "class", .type = FIELD_LEVEL, .required = true },
  { .name = "target_percent",
    .type = FIELD_NUMBER,
    .min = 0,
    .max = 100,
    .required = true },
  { .name = "latency_ms", .type = FIELD_INTEGER, .min = 1, .max = FQ_DEADLINE_MS_MAX },
  { 0 },
};

static const fq_field_t service_fields[] = {
  { .name = "rules", .type = FIELD_RULES },
  { .name = "members", .type = FIELD_NAME_LIST },
  { .name = "objectives", .type = FIELD_OBJECTIVES },
  { .name = "deadline_ms", .type = FIELD_INTEGER, .min = 1, .max = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .min = 0, .max = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t class_fields[] = {
  { .name = "level", .type = FIELD_LEVEL, .required = true },
  { .name = "deadline_ms", .type = FIELD_INTEGER, .min = 1, .max = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .min = 0, .max = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t limit_fields[] = {
  { .name = "running",
    .type = FIELD_INTEGER,
    .min = 1,
    .max = FQ_CONCURRENCY_LIMIT_MAX,
    .required = true },
  { 0 },
};

static const struct
{
  const char *section;
  const fq_field_t *fields;
} sections[FQ_TICKET_OBJECT_KIND_COUNT] = {
  [FQ_TICKET_OBJECT_SERVICE] = { "services", service_fields },
  [FQ_TICKET_OBJECT_CLASS] = { "classes", class_fields },
  [FQ_TICKET_OBJECT_LIMIT] = { "limits", limit_fields },
};

static void check_object (fq_validation_errors_t *errors,
                          const char *path,
                          const json_t *value,
                          const fq_field_t *fields);

static bool
is_name (const char *text)
{
  size_t length = text == NULL ? 0 : strlen (text);

  return length > 0 && length < FQ_NAME_BYTES
         && strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                          "0123456789-_.")
                == length;
}

static void
check_range (fq_validation_errors_t *errors,
             const char *path,
             double value,
             const fq_field_t *field)
{
  if (value < field->min || value > field->max)
    add_error (errors, path, "%g is not between %g and %g", value, field->min,
               field->max);
}

static void
check_level (fq_validation_errors_t *errors, const char *path, const json_t *value)
{
  fq_class_t level;

  if (!json_is_string (value) || fq_class_parse (&level, json_string_value (value)) < 0)
    add_error (errors, path, "must be critical, normal or lookup");
}

static void
check_name_list (fq_validation_errors_t *errors, const char *path, const json_t *value)
{
  size_t index;
  const json_t *name;

  if (!json_is_array (value))
    add_error (errors, path, "must be an array of names");
  json_array_foreach (value, index, name)
  {
    if (!is_name (json_string_value (name)))
      add_error (errors, path, "entry %zu is not a name", index);
  }
}

static void
check_object_list (fq_validation_errors_t *errors,
                   const char *path,
                   const json_t *value,
                   const fq_field_t *fields,
                   size_t max)
{
  char entry_path[FQ_FIELD_PATH_BYTES];
  size_t index;
  const json_t *entry;

  if (!json_is_array (value) || json_array_size (value) > max)
    {
      add_error (errors, path, "must be an array of at most %zu objects", max);
      return;
    }
  json_array_foreach (value, index, entry)
  {
    snprintf (entry_path, sizeof entry_path, "%s[%zu]", path, index);
    check_object (errors, entry_path, entry, fields);
  }
}

static void
check_field (fq_validation_errors_t *errors,
             const char *path,
             const json_t *value,
             const fq_field_t *field)
{
  switch (field->type)
    {
    case FIELD_INTEGER:
      if (!json_is_integer (value))
        add_error (errors, path, "must be a whole number");
      else
        check_range (errors, path, (double)json_integer_value (value), field);
      break;
    case FIELD_NUMBER:
      if (!json_is_number (value))
        add_error (errors, path, "must be a number");
      else
        check_range (errors, path, json_number_value (value), field);
      break;
    case FIELD_BOOLEAN:
      if (!json_is_boolean (value))
        add_error (errors, path, "must be true or false");
      break;
    case FIELD_STRING:
      if (!json_is_string (value) || json_string_length (value) >= FQ_PATH_BYTES)
        add_error (errors, path, "must be a text of under %d bytes", FQ_PATH_BYTES);
      break;
    case FIELD_LEVEL:
      check_level (errors, path, value);
      break;
    case FIELD_NAME_LIST:
      check_name_list (errors, path, value);
      break;
    case FIELD_RULES:
      check_object_list (errors, path, value, rule_fields, FQ_RULES_MAX);
      break;
    case FIELD_OBJECTIVES:
      check_object_list (errors, path, value, objective_fields, FQ_OBJECTIVES_MAX);
      break;
    }
}

static const fq_field_t *
find_field (const fq_field_t *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    {
      if (strcmp (fields->name, name) == 0)
        return fields;
    }
  return NULL;
}

static void
check_object (fq_validation_errors_t *errors,
              const char *path,
              const json_t *value,
              const fq_field_t *fields)
{
  char field_path[FQ_FIELD_PATH_BYTES];
  const char *name;
  json_t *entry;

  if (!json_is_object (value))
    {
      add_error (errors, path, "must be an object");
      return;
    }
  json_object_foreach ((json_t *)value, name, entry)
  {
    const fq_field_t *field = find_field (fields, name);

    snprintf (field_path, sizeof field_path, "%s.%s", path, name);
    if (field == NULL)
      add_error (errors, field_path, "is not known here");
    else
      check_field (errors, field_path, entry, field);
  }
  for (; fields->name != NULL; fields++)
    {
      if (fields->required && json_object_get (value, fields->name) == NULL)
        add_error (errors, path, "needs '%s'", fields->name);
    }
}

static int
append_change (fq_ticket_document_t *out, const char *key, json_t *value)
{
  fq_ticket_change_t *grown
      = realloc (out->changes, (out->change_count + 1) * sizeof *grown);

  if (grown == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for a ticket");
  out->changes = grown;
  fq_text_copy (grown[out->change_count].key, FQ_TICKET_OBJECT_KEY_BYTES, key);
  grown[out->change_count].value = json_incref (value);
  out->change_count++;
  return FQ_OK;
}

static int
read_section (fq_ticket_document_t *out,
              fq_validation_errors_t *errors,
              const char *member,
              const json_t *root,
              fq_ticket_object_kind_t kind)
{
  char path[FQ_FIELD_PATH_BYTES];
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  json_t *section = json_object_get (root, sections[kind].section);
  const char *name;
  json_t *value;

  if (section != NULL && !json_is_object (section))
    add_error (errors, sections[kind].section, "must be an object");
  json_object_foreach (section, name, value)
  {
    snprintf (path, sizeof path, "%s.%.64s", sections[kind].section, name);
    if (!is_name (name))
      {
        add_error (errors, path, "is not a name of letters, digits and -_.");
        continue;
      }
    if (!json_is_null (value))
      check_object (errors, path, value, sections[kind].fields);
    fq_ticket_object_key (key, kind, member, name);
    if (append_change (out, key, value) < 0)
      return FQ_ERROR_NOMEM;
  }
  return FQ_OK;
}

static int
append_precondition (fq_ticket_document_t *out, const char *key, uint64_t number)
{
  fq_ticket_precondition_t *grown
      = realloc (out->preconditions, (out->precondition_count + 1) * sizeof *grown);

  if (grown == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for a ticket");
  out->preconditions = grown;
  fq_text_copy (grown[out->precondition_count].key, FQ_TICKET_OBJECT_KEY_BYTES, key);
  grown[out->precondition_count].number = number;
  out->precondition_count++;
  return FQ_OK;
}

/* Expands "kind/name" of a precondition to the object's key "kind/MEMBER/name"; false
 * when it is malformed. */
static bool
precondition_key (char *out, const char *member, const char *name)
{
  for (int kind = 0; kind < FQ_TICKET_OBJECT_KIND_COUNT; kind++)
    {
      const char *prefix = fq_ticket_object_kind_name ((fq_ticket_object_kind_t)kind);
      size_t length = strlen (prefix);

      if (strncmp (name, prefix, length) != 0 || name[length] != '/'
          || !is_name (name + length + 1))
        continue;
      fq_ticket_object_key (out, (fq_ticket_object_kind_t)kind, member,
                            name + length + 1);
      return true;
    }
  return false;
}

static int
read_preconditions (fq_ticket_document_t *out,
                    fq_validation_errors_t *errors,
                    const char *member,
                    const json_t *root)
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  json_t *preconditions = json_object_get (root, "expects");
  const char *name;
  json_t *number;

  if (preconditions != NULL && !json_is_object (preconditions))
    add_error (errors, "expects", "must be an object");
  json_object_foreach (preconditions, name, number)
  {
    if (!json_is_integer (number) || json_integer_value (number) < 0
        || !precondition_key (key, member, name))
      add_error (errors, "expects", "'%.64s' must be kind/name with a ticket number",
                 name);
    else if (append_precondition (out, key, (uint64_t)json_integer_value (number)) < 0)
      return FQ_ERROR_NOMEM;
  }
  return FQ_OK;
}

static void
check_top_level (fq_ticket_document_t *out,
                 fq_validation_errors_t *errors,
                 const json_t *root)
{
  static const char *const known_fields[]
      = { "id", "services", "classes", "limits", "expects", NULL };
  const char *id = json_string_value (json_object_get (root, "id"));
  const char *name;
  json_t *value;

  if (!is_name (id))
    add_error (errors, "id", "must be a name of letters, digits and -_.");
  else
    fq_text_copy (out->id, sizeof out->id, id);
  json_object_foreach ((json_t *)root, name, value)
  {
    size_t i = 0;

    while (known_fields[i] != NULL && strcmp (known_fields[i], name) != 0)
      i++;
    if (known_fields[i] == NULL)
      add_error (errors, name, "is not known here");
  }
}

static int
read_document (fq_ticket_document_t *out, const char *member, const json_t *root)
{
  fq_validation_errors_t errors = { 0 };
  int rc = FQ_OK;

  check_top_level (out, &errors, root);
  for (int kind = 0; kind < FQ_TICKET_OBJECT_KIND_COUNT && rc == FQ_OK; kind++)
    rc = read_section (out, &errors, member, root, (fq_ticket_object_kind_t)kind);
  if (rc == FQ_OK)
    rc = read_preconditions (out, &errors, member, root);
  if (rc < 0)
    return rc;
  if (out->change_count == 0)
    add_error (&errors, "ticket", "touches nothing");
  if (out->change_count > FQ_TICKET_OBJECTS_MAX)
    add_error (&errors, "ticket", "touches more than %d objects", FQ_TICKET_OBJECTS_MAX);
  if (errors.used > 0)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_INVALID, "%s", errors.text);
  return FQ_OK;
}

int
fq_ticket_document_parse (fq_ticket_document_t *out, const char *member, const char *text)
{
  json_error_t error;
  json_t *root;
  int rc;

  memset (out, 0, sizeof *out);
  if (strlen (text) > FQ_TICKET_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_TOOBIG,
                         "a ticket has at most %d bytes", FQ_TICKET_BYTES_MAX);
  root = json_loads (text, JSON_REJECT_DUPLICATES, &error);
  if (!json_is_object (root))
    rc = fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_INVALID, "line %d: %s", error.line,
                       root == NULL ? error.text : "a ticket is a JSON object");
  else
    rc = read_document (out, member, root);
  json_decref (root);
  if (rc < 0)
    fq_ticket_document_clear (out);
  return rc;
}

void
fq_ticket_document_clear (fq_ticket_document_t *document)
{
  if (document == NULL)
    return;
  for (size_t i = 0; i < document->change_count; i++)
    json_decref (document->changes[i].value);
  free (document->changes);
  free (document->preconditions);
  memset (document, 0, sizeof *document);
}
