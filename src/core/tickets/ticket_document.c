#include "core/tickets/ticket_document.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/text.h"

#define FQ_PATH_IN_TICKET_BYTES 256
#define FQ_RULES_MAX 64
#define FQ_OBJECTIVES_MAX 16
#define FQ_DEADLINE_MS_MAX 600000
#define FQ_RETRIES_MAX 10
#define FQ_RUNNING_MAX 100000

/* Faults gathered while a ticket is read. */
typedef struct
{
  char text[FQ_TICKET_FAULTS_BYTES];
  size_t used;
} fq_faults_t;

static void add_fault (fq_faults_t *faults, const char *path, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

static void
add_fault (fq_faults_t *faults, const char *path, const char *format, ...)
{
  char fault[FQ_PATH_IN_TICKET_BYTES];
  va_list arguments;
  int length;

  va_start (arguments, format);
  vsnprintf (fault, sizeof fault, format, arguments);
  va_end (arguments);
  length = snprintf (faults->text + faults->used, sizeof faults->text - faults->used,
                     "%s%s: %s", faults->used == 0 ? "" : "\n", path, fault);
  faults->used += (size_t)length;
  if (faults->used >= sizeof faults->text)
    faults->used = sizeof faults->text - 1;
}

/** enum fq_field_type_t - what a field of an object may hold. */
typedef enum
{
  FIELD_INTEGER,
  FIELD_NUMBER,
  FIELD_BOOLEAN,
  FIELD_TEXT,
  FIELD_LEVEL, /* the name of one of the three levels */
  FIELD_NAMES, /* an array of names */
  FIELD_RULES,
  FIELD_OBJECTIVES,
} fq_field_type_t;

typedef struct
{
  const char *name;
  fq_field_type_t type;
  double least;
  double most;
  bool needed;
} fq_field_t;

static const fq_field_t rule_fields[] = {
  { .name = "method", .type = FIELD_TEXT },
  { .name = "path", .type = FIELD_TEXT },
  { .name = "class", .type = FIELD_TEXT, .needed = true },
  { .name = "once", .type = FIELD_BOOLEAN },
  { .name = "idempotent", .type = FIELD_BOOLEAN },
  { .name = "deadline_ms",
    .type = FIELD_INTEGER,
    .least = 1,
    .most = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .least = 0, .most = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t objective_fields[] = {
  { .name = "class", .type = FIELD_LEVEL, .needed = true },
  { .name = "target_percent",
    .type = FIELD_NUMBER,
    .least = 0,
    .most = 100,
    .needed = true },
  { .name = "latency_ms", .type = FIELD_INTEGER, .least = 1, .most = FQ_DEADLINE_MS_MAX },
  { 0 },
};

static const fq_field_t service_fields[] = {
  { .name = "rules", .type = FIELD_RULES },
  { .name = "members", .type = FIELD_NAMES },
  { .name = "objectives", .type = FIELD_OBJECTIVES },
  { .name = "deadline_ms",
    .type = FIELD_INTEGER,
    .least = 1,
    .most = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .least = 0, .most = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t class_fields[] = {
  { .name = "level", .type = FIELD_LEVEL, .needed = true },
  { .name = "deadline_ms",
    .type = FIELD_INTEGER,
    .least = 1,
    .most = FQ_DEADLINE_MS_MAX },
  { .name = "retries", .type = FIELD_INTEGER, .least = 0, .most = FQ_RETRIES_MAX },
  { 0 },
};

static const fq_field_t limit_fields[] = {
  { .name = "running",
    .type = FIELD_INTEGER,
    .least = 1,
    .most = FQ_RUNNING_MAX,
    .needed = true },
  { 0 },
};

static const struct
{
  const char *section;
  const fq_field_t *fields;
} sections[FQ_OBJECT_KIND_COUNT] = {
  [FQ_OBJECT_SERVICE] = { "services", service_fields },
  [FQ_OBJECT_CLASS] = { "classes", class_fields },
  [FQ_OBJECT_LIMIT] = { "limits", limit_fields },
};

static void check_object (fq_faults_t *faults,
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
check_range (fq_faults_t *faults, const char *path, double value, const fq_field_t *field)
{
  if (value < field->least || value > field->most)
    add_fault (faults, path, "%g is not between %g and %g", value, field->least,
               field->most);
}

static void
check_level (fq_faults_t *faults, const char *path, const json_t *value)
{
  fq_class_t level;

  if (!json_is_string (value) || fq_class_parse (&level, json_string_value (value)) < 0)
    add_fault (faults, path, "must be critical, normal or lookup");
}

static void
check_names (fq_faults_t *faults, const char *path, const json_t *value)
{
  size_t index;
  const json_t *name;

  if (!json_is_array (value))
    add_fault (faults, path, "must be an array of names");
  json_array_foreach (value, index, name)
  {
    if (!is_name (json_string_value (name)))
      add_fault (faults, path, "entry %zu is not a name", index);
  }
}

static void
check_list (fq_faults_t *faults,
            const char *path,
            const json_t *value,
            const fq_field_t *fields,
            size_t most)
{
  char entry_path[FQ_PATH_IN_TICKET_BYTES];
  size_t index;
  const json_t *entry;

  if (!json_is_array (value) || json_array_size (value) > most)
    {
      add_fault (faults, path, "must be an array of at most %zu objects", most);
      return;
    }
  json_array_foreach (value, index, entry)
  {
    snprintf (entry_path, sizeof entry_path, "%s[%zu]", path, index);
    check_object (faults, entry_path, entry, fields);
  }
}

static void
check_field (fq_faults_t *faults,
             const char *path,
             const json_t *value,
             const fq_field_t *field)
{
  switch (field->type)
    {
    case FIELD_INTEGER:
      if (!json_is_integer (value))
        add_fault (faults, path, "must be a whole number");
      else
        check_range (faults, path, (double)json_integer_value (value), field);
      break;
    case FIELD_NUMBER:
      if (!json_is_number (value))
        add_fault (faults, path, "must be a number");
      else
        check_range (faults, path, json_number_value (value), field);
      break;
    case FIELD_BOOLEAN:
      if (!json_is_boolean (value))
        add_fault (faults, path, "must be true or false");
      break;
    case FIELD_TEXT:
      if (!json_is_string (value) || json_string_length (value) >= FQ_PATH_BYTES)
        add_fault (faults, path, "must be a text of under %d bytes", FQ_PATH_BYTES);
      break;
    case FIELD_LEVEL:
      check_level (faults, path, value);
      break;
    case FIELD_NAMES:
      check_names (faults, path, value);
      break;
    case FIELD_RULES:
      check_list (faults, path, value, rule_fields, FQ_RULES_MAX);
      break;
    case FIELD_OBJECTIVES:
      check_list (faults, path, value, objective_fields, FQ_OBJECTIVES_MAX);
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
check_object (fq_faults_t *faults,
              const char *path,
              const json_t *value,
              const fq_field_t *fields)
{
  char field_path[FQ_PATH_IN_TICKET_BYTES];
  const char *name;
  json_t *entry;

  if (!json_is_object (value))
    {
      add_fault (faults, path, "must be an object");
      return;
    }
  json_object_foreach ((json_t *)value, name, entry)
  {
    const fq_field_t *field = find_field (fields, name);

    snprintf (field_path, sizeof field_path, "%s.%s", path, name);
    if (field == NULL)
      add_fault (faults, field_path, "is not known here");
    else
      check_field (faults, field_path, entry, field);
  }
  for (; fields->name != NULL; fields++)
    {
      if (fields->needed && json_object_get (value, fields->name) == NULL)
        add_fault (faults, path, "needs '%s'", fields->name);
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
  fq_text_copy (grown[out->change_count].key, FQ_OBJECT_KEY_BYTES, key);
  grown[out->change_count].value = json_incref (value);
  out->change_count++;
  return FQ_OK;
}

static int
read_section (fq_ticket_document_t *out,
              fq_faults_t *faults,
              const char *member,
              const json_t *root,
              fq_object_kind_t kind)
{
  char path[FQ_PATH_IN_TICKET_BYTES];
  char key[FQ_OBJECT_KEY_BYTES];
  json_t *section = json_object_get (root, sections[kind].section);
  const char *name;
  json_t *value;

  if (section != NULL && !json_is_object (section))
    add_fault (faults, sections[kind].section, "must be an object");
  json_object_foreach (section, name, value)
  {
    snprintf (path, sizeof path, "%s.%.64s", sections[kind].section, name);
    if (!is_name (name))
      {
        add_fault (faults, path, "is not a name of letters, digits and -_.");
        continue;
      }
    if (!json_is_null (value))
      check_object (faults, path, value, sections[kind].fields);
    fq_object_key (key, kind, member, name);
    if (append_change (out, key, value) < 0)
      return FQ_ERROR_NOMEM;
  }
  return FQ_OK;
}

static int
append_expect (fq_ticket_document_t *out, const char *key, uint64_t number)
{
  fq_ticket_expect_t *grown
      = realloc (out->expects, (out->expect_count + 1) * sizeof *grown);

  if (grown == NULL)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM, "no memory for a ticket");
  out->expects = grown;
  fq_text_copy (grown[out->expect_count].key, FQ_OBJECT_KEY_BYTES, key);
  grown[out->expect_count].number = number;
  out->expect_count++;
  return FQ_OK;
}

/* "service/tables" of the operator becomes "service/MEMBER/tables". */
static bool
expect_key (char *out, const char *member, const char *name)
{
  for (int kind = 0; kind < FQ_OBJECT_KIND_COUNT; kind++)
    {
      const char *prefix = fq_object_kind_name ((fq_object_kind_t)kind);
      size_t length = strlen (prefix);

      if (strncmp (name, prefix, length) != 0 || name[length] != '/'
          || !is_name (name + length + 1))
        continue;
      fq_object_key (out, (fq_object_kind_t)kind, member, name + length + 1);
      return true;
    }
  return false;
}

static int
read_expects (fq_ticket_document_t *out,
              fq_faults_t *faults,
              const char *member,
              const json_t *root)
{
  char key[FQ_OBJECT_KEY_BYTES];
  json_t *expects = json_object_get (root, "expects");
  const char *name;
  json_t *number;

  if (expects != NULL && !json_is_object (expects))
    add_fault (faults, "expects", "must be an object");
  json_object_foreach (expects, name, number)
  {
    if (!json_is_integer (number) || json_integer_value (number) < 0
        || !expect_key (key, member, name))
      add_fault (faults, "expects", "'%.64s' must be kind/name with a ticket number",
                 name);
    else if (append_expect (out, key, (uint64_t)json_integer_value (number)) < 0)
      return FQ_ERROR_NOMEM;
  }
  return FQ_OK;
}

static void
check_top (fq_ticket_document_t *out, fq_faults_t *faults, const json_t *root)
{
  static const char *const known[]
      = { "id", "services", "classes", "limits", "expects", NULL };
  const char *id = json_string_value (json_object_get (root, "id"));
  const char *name;
  json_t *value;

  if (!is_name (id))
    add_fault (faults, "id", "must be a name of letters, digits and -_.");
  else
    fq_text_copy (out->id, sizeof out->id, id);
  json_object_foreach ((json_t *)root, name, value)
  {
    size_t i = 0;

    while (known[i] != NULL && strcmp (known[i], name) != 0)
      i++;
    if (known[i] == NULL)
      add_fault (faults, name, "is not known here");
  }
}

static int
read_all (fq_ticket_document_t *out, const char *member, const json_t *root)
{
  fq_faults_t faults = { 0 };
  int rc = FQ_OK;

  check_top (out, &faults, root);
  for (int kind = 0; kind < FQ_OBJECT_KIND_COUNT && rc == FQ_OK; kind++)
    rc = read_section (out, &faults, member, root, (fq_object_kind_t)kind);
  if (rc == FQ_OK)
    rc = read_expects (out, &faults, member, root);
  if (rc < 0)
    return rc;
  if (out->change_count == 0)
    add_fault (&faults, "ticket", "touches nothing");
  if (out->change_count > FQ_TICKET_OBJECTS_MAX)
    add_fault (&faults, "ticket", "touches more than %d objects", FQ_TICKET_OBJECTS_MAX);
  if (faults.used > 0)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_INVALID, "%s", faults.text);
  return FQ_OK;
}

int
fq_ticket_document_parse (fq_ticket_document_t *out, const char *member, const char *text)
{
  json_error_t fault;
  json_t *root;
  int rc;

  memset (out, 0, sizeof *out);
  if (strlen (text) > FQ_TICKET_BYTES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_TOOBIG,
                         "a ticket has at most %d bytes", FQ_TICKET_BYTES_MAX);
  root = json_loads (text, JSON_REJECT_DUPLICATES, &fault);
  if (!json_is_object (root))
    rc = fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_INVALID, "line %d: %s", fault.line,
                       root == NULL ? fault.text : "a ticket is a JSON object");
  else
    rc = read_all (out, member, root);
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
  free (document->expects);
  memset (document, 0, sizeof *document);
}
