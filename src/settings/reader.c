#include "settings/reader.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/duration.h"
#include "util/text.h"

#define FQ_READER_VALUE_BYTES 64
#define FQ_READER_ALLOWED_BYTES 256
#define FQ_READER_FILE_BYTES 1024
#define FQ_READER_FILE_SUFFIX "_file"
#define FQ_PORT_MAX 65535

/* Formats a value for an error message; long ones are cut. */
static const char *
format_value (char *to, const json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

  if (!fq_text_copy (to, FQ_READER_VALUE_BYTES, text))
    memcpy (to + FQ_READER_VALUE_BYTES - 4, "...", 4);
  free (text);
  return to;
}

void
fq_reader_add_error (fq_reader_t *reader, const char *name, const char *format, ...)
{
  size_t used = strlen (reader->errors);
  size_t left = sizeof reader->errors - used;
  va_list arguments;
  int length;

  reader->error_count++;
  length = snprintf (reader->errors + used, left, "%s%s%s%s: ", used > 0 ? "\n" : "",
                     reader->path, reader->path[0] != '\0' && name[0] != '\0' ? "." : "",
                     name);
  if ((size_t)length >= left)
    return;
  va_start (arguments, format);
  vsnprintf (reader->errors + used + length, left - (size_t)length, format, arguments);
  va_end (arguments);
}

static void
add_value_error (fq_reader_t *reader,
                 const fq_field_t *field,
                 const json_t *value,
                 const char *allowed)
{
  char value_text[FQ_READER_VALUE_BYTES];

  fq_reader_add_error (reader, field->name, "is %s; allowed: %s",
                       format_value (value_text, value), allowed);
}

/* Appends @name, or @name[@index] unless @index is negative, to the path. Returns the
 * length of the path before, to which the caller has to cut it back. */
static size_t
push_path (fq_reader_t *reader, const char *name, long index)
{
  size_t used = strlen (reader->path);
  size_t left = sizeof reader->path - used;
  const char *dot = used > 0 ? "." : "";

  if (index < 0)
    snprintf (reader->path + used, left, "%s%s", dot, name);
  else
    snprintf (reader->path + used, left, "%s%s[%ld]", dot, name, index);
  return used;
}

static bool
is_name (const char *text)
{
  if (text[0] == '\0')
    return false;
  for (; *text != '\0'; text++)
    {
      if (!isalnum ((unsigned char)*text) && strchr ("._-", *text) == NULL)
        return false;
    }
  return true;
}

static bool
is_ip (const char *text)
{
  struct in_addr ignored;

  return inet_pton (AF_INET, text, &ignored) == 1;
}

static bool
is_address (const char *text)
{
  char ip[FQ_ADDRESS_BYTES];
  const char *colon = strrchr (text, ':');
  char *end;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof ip || !isdigit (colon[1]))
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  port = strtoul (colon + 1, &end, 10);
  return is_ip (ip) && *end == '\0' && port >= 1 && port <= FQ_PORT_MAX;
}

static void
read_text (fq_reader_t *reader,
           char *to,
           const fq_field_t *field,
           const json_t *value,
           bool (*is_allowed) (const char *),
           const char *allowed)
{
  const char *text = json_string_value (value);

  if (text == NULL || !is_allowed (text) || !fq_text_copy (to, field->size, text))
    add_value_error (reader, field, value, allowed);
}

static void
read_name (fq_reader_t *reader, char *to, const fq_field_t *field, const json_t *value)
{
  char allowed[FQ_READER_ALLOWED_BYTES];

  snprintf (allowed, sizeof allowed,
            "1 to %zu letters, digits, '.', '_' and '-', as a string", field->size - 1);
  read_text (reader, to, field, value, is_name, allowed);
}

static bool
has_control_character (const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (iscntrl ((unsigned char)*text))
        return true;
    }
  return false;
}

static void
read_shared_text (fq_reader_t *reader,
                  fq_text_t **to,
                  const fq_field_t *field,
                  const json_t *value)
{
  const char *text = json_string_value (value);

  if (text == NULL || text[0] == '\0' || has_control_character (text))
    {
      add_value_error (reader, field, value, "a string without control characters");
      return;
    }
  fq_text_unref (*to);
  *to = fq_text_new (text);
}

/* Where one number is too large for an integer, all come as real ones. */
static bool
exceeds_unbounded (const fq_field_t *field, const json_t *value)
{
  return field->unbounded && json_is_number (value)
         && json_number_value (value) > field->max;
}

static bool
is_integer_in_range (const json_t *value, json_int_t min, json_int_t max)
{
  double number = json_number_value (value);

  return json_is_number (value) && number == floor (number) && number >= (double)min
         && number <= (double)max;
}

static void
read_port (fq_reader_t *reader, int *to, const fq_field_t *field, const json_t *value)
{
  if (is_integer_in_range (value, 1, FQ_PORT_MAX))
    *to = (int)json_number_value (value);
  else
    add_value_error (reader, field, value, "a port from 1 to 65535");
}

static void
read_number (fq_reader_t *reader,
             uint32_t *to,
             const fq_field_t *field,
             const json_t *value)
{
  char allowed[FQ_READER_ALLOWED_BYTES];

  if (exceeds_unbounded (field, value))
    {
      *to = field->max;
      return;
    }
  if (is_integer_in_range (value, field->min, field->max))
    {
      *to = (uint32_t)json_number_value (value);
      return;
    }
  snprintf (allowed, sizeof allowed, "a whole number from %u to %u", field->min,
            field->max);
  add_value_error (reader, field, value, allowed);
}

static void
read_duration (fq_reader_t *reader,
               uint32_t *to,
               const fq_field_t *field,
               const json_t *value)
{
  const char *text = json_string_value (value);
  char allowed[FQ_READER_ALLOWED_BYTES];
  uint64_t ms;

  if (text != NULL && fq_duration_parse (&ms, text) == FQ_OK && ms >= field->min
      && (ms <= field->max || field->unbounded))
    {
      *to = ms < field->max ? (uint32_t)ms : field->max;
      return;
    }
  snprintf (allowed, sizeof allowed, "a duration from \"%ums\" to \"%ums\"", field->min,
            field->max);
  add_value_error (reader, field, value, allowed);
}

static void
read_decimal (fq_reader_t *reader,
              double *to,
              const fq_field_t *field,
              const json_t *value)
{
  double number = json_number_value (value);
  char allowed[FQ_READER_ALLOWED_BYTES];

  if (exceeds_unbounded (field, value))
    {
      *to = field->max;
      return;
    }
  if (json_is_number (value) && number >= field->min && number <= field->max)
    {
      *to = number;
      return;
    }
  snprintf (allowed, sizeof allowed, "a number from %u to %u", field->min, field->max);
  add_value_error (reader, field, value, allowed);
}

static void
read_choice (fq_reader_t *reader, int *to, const fq_field_t *field, const json_t *value)
{
  const char *text = json_string_value (value);
  char allowed[FQ_READER_ALLOWED_BYTES] = "";

  for (int i = 0; field->choices[i] != NULL; i++)
    {
      size_t used = strlen (allowed);

      if (text != NULL && strcmp (text, field->choices[i]) == 0)
        {
          *to = i;
          return;
        }
      snprintf (allowed + used, sizeof allowed - used, "%s%s", i > 0 ? ", " : "",
                field->choices[i]);
    }
  add_value_error (reader, field, value, allowed);
}

/* Reads the first line of a file; a relative name is relative to reader->directory. */
static int
read_line (fq_reader_t *reader, char *to, size_t size, const char *name)
{
  char path[FQ_READER_FILE_BYTES];
  FILE *file;
  bool read;

  if (name[0] == '/' || reader->directory == NULL)
    fq_text_copy (path, sizeof path, name);
  else
    snprintf (path, sizeof path, "%s/%s", reader->directory, name);
  file = fopen (path, "r");
  if (file == NULL)
    return FQ_ERROR_IO;
  read = fgets (to, (int)size, file) != NULL;
  fclose (file);
  if (!read)
    return FQ_ERROR_INVALID;
  to[strcspn (to, "\r\n")] = '\0';
  return FQ_OK;
}

/* Error messages never contain a secret. */
static void
check_secret (fq_reader_t *reader, const char *name, const char *text, size_t size)
{
  size_t length = text == NULL ? 0 : strlen (text);

  if (length < FQ_READER_SECRET_MIN || length >= size)
    fq_reader_add_error (reader, name,
                         "is a secret of %zu characters; allowed: %d to %zu, as a string",
                         length, FQ_READER_SECRET_MIN, size - 1);
}

static void
read_secret_file (fq_reader_t *reader,
                  char *to,
                  const fq_field_t *field,
                  const char *name,
                  const json_t *value)
{
  char line[FQ_READER_FILE_BYTES] = "";
  const char *path = json_string_value (value);

  if (path == NULL || read_line (reader, line, sizeof line, path) < 0)
    {
      char value_text[FQ_READER_VALUE_BYTES];

      fq_reader_add_error (reader, name,
                           "is %s; allowed: a file whose first line can be read",
                           format_value (value_text, value));
      return;
    }
  check_secret (reader, name, line, field->size);
  fq_text_copy (to, field->size, line);
}

static void
read_secret (fq_reader_t *reader, char *to, const fq_field_t *field, const json_t *object)
{
  char file_name[FQ_NAME_BYTES];
  const json_t *value = json_object_get (object, field->name);
  const json_t *file;

  snprintf (file_name, sizeof file_name, "%s" FQ_READER_FILE_SUFFIX, field->name);
  file = json_object_get (object, file_name);
  if (value != NULL && file != NULL)
    fq_reader_add_error (reader, field->name,
                         "is set, and so is %s; allowed: one of them", file_name);
  else if (file != NULL)
    read_secret_file (reader, to, field, file_name, file);
  else if (value != NULL)
    {
      check_secret (reader, field->name, json_string_value (value), field->size);
      fq_text_copy (to, field->size, json_string_value (value));
    }
  else if (field->required)
    fq_reader_add_error (reader, field->name, "is missing; it or %s is required",
                         file_name);
}

static void
read_element (fq_reader_t *reader,
              void *to,
              const fq_field_t *field,
              const json_t *value,
              size_t index)
{
  size_t used = push_path (reader, field->name, (long)index);
  fq_field_t element = *field;

  element.name = "";
  if (field->kind == FQ_FIELD_ADDRESSES)
    read_text (reader, to, &element, value, is_address, "an IPv4 address and a port");
  else if (json_is_object (value))
    fq_reader_read (reader, to, field->fields, value);
  else
    add_value_error (reader, &element, value, "an object");
  reader->path[used] = '\0';
}

static void
read_list (fq_reader_t *reader, char *base, const fq_field_t *field, const json_t *value)
{
  size_t count = json_array_size (value);
  size_t *stored = (size_t *)(void *)(base + field->count_offset);

  if (!json_is_array (value) || count < field->min || count > field->max)
    {
      fq_reader_add_error (reader, field->name,
                           "has %zu entries; allowed: a list of %u to %u", count,
                           field->min, field->max);
      return;
    }
  for (size_t i = 0; i < count; i++)
    read_element (reader, base + field->offset + i * field->size, field,
                  json_array_get (value, i), i);
  *stored = count;
}

static void
read_object (fq_reader_t *reader,
             void *base,
             const fq_field_t *field,
             const json_t *value)
{
  size_t used;

  if (!json_is_object (value))
    {
      add_value_error (reader, field, value, "an object");
      return;
    }
  used = push_path (reader, field->name, -1);
  fq_reader_read (reader, base, field->fields, value);
  reader->path[used] = '\0';
}

static void
read_value (fq_reader_t *reader, char *base, const fq_field_t *field, const json_t *value)
{
  void *to = base + field->offset;

  switch (field->kind)
    {
    case FQ_FIELD_NAME:
      read_name (reader, to, field, value);
      break;
    case FQ_FIELD_TEXT:
      read_shared_text (reader, to, field, value);
      break;
    case FQ_FIELD_IP:
      read_text (reader, to, field, value, is_ip, "an IPv4 address");
      break;
    case FQ_FIELD_ADDRESS:
      read_text (reader, to, field, value, is_address, "an IPv4 address and a port");
      break;
    case FQ_FIELD_PORT:
      read_port (reader, to, field, value);
      break;
    case FQ_FIELD_NUMBER:
      read_number (reader, to, field, value);
      break;
    case FQ_FIELD_DURATION:
      read_duration (reader, to, field, value);
      break;
    case FQ_FIELD_DECIMAL:
      read_decimal (reader, to, field, value);
      break;
    case FQ_FIELD_CHOICE:
      read_choice (reader, to, field, value);
      break;
    case FQ_FIELD_OBJECT:
      read_object (reader, base, field, value);
      break;
    case FQ_FIELD_OBJECTS:
    case FQ_FIELD_ADDRESSES:
      read_list (reader, base, field, value);
      break;
    case FQ_FIELD_SECRET:
      break;
    }
}

static bool
is_known_field (const fq_field_t *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    {
      size_t length = strlen (fields->name);

      if (strcmp (fields->name, name) == 0)
        return true;
      if (fields->kind == FQ_FIELD_SECRET && strncmp (fields->name, name, length) == 0
          && strcmp (name + length, FQ_READER_FILE_SUFFIX) == 0)
        return true;
    }
  return false;
}

static void
reject_unknown_fields (fq_reader_t *reader,
                       const fq_field_t *fields,
                       const json_t *object)
{
  char allowed[FQ_READER_ALLOWED_BYTES] = "";
  const char *name;
  json_t *value;

  for (const fq_field_t *field = fields; field->name != NULL; field++)
    {
      size_t used = strlen (allowed);

      snprintf (allowed + used, sizeof allowed - used, "%s%s", used > 0 ? ", " : "",
                field->name);
    }
  json_object_foreach ((json_t *)object, name, value)
  {
    if (!is_known_field (fields, name))
      fq_reader_add_error (reader, name, "is unknown; allowed: %s", allowed);
  }
}

void
fq_reader_read (fq_reader_t *reader,
                void *base,
                const fq_field_t *fields,
                const json_t *object)
{
  reject_unknown_fields (reader, fields, object);
  for (; fields->name != NULL; fields++)
    {
      const json_t *value = json_object_get (object, fields->name);

      if (fields->kind == FQ_FIELD_SECRET)
        read_secret (reader, (char *)base + fields->offset, fields, object);
      else if (value != NULL)
        read_value (reader, base, fields, value);
      else if (fields->required)
        fq_reader_add_error (reader, fields->name, "is missing");
    }
}
