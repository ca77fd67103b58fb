#define _GNU_SOURCE /* getline */
#include "cli/event_lines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_NUMBER_BYTES 32
#define FQ_EVENT_KEY "event="

/* Finds " info " or " warning "; NULL when neither is in @text. */
static char *
find_level (char *text, bool *warning)
{
  char *level = strstr (text, " warning ");

  *warning = level != NULL;
  return level != NULL ? level : strstr (text, " info ");
}

static char *
copy_string (const char *text)
{
  char *copy = strdup (text);

  if (copy == NULL)
    abort ();
  return copy;
}

static bool
parse_line (fq_event_line_t *out, char *text)
{
  char *level = find_level (text, &out->warning);
  char *time;
  char *node;
  char *fields;

  if (level == NULL || strstr (text, FQ_EVENT_KEY) == NULL)
    return false;
  *level = '\0';
  time = strrchr (text, ' ');
  time = time == NULL ? text : time + 1;
  node = strchr (level + 1, ' ') + 1;
  fields = strchr (node, ' ');
  if (fields == NULL || strncmp (fields + 1, FQ_EVENT_KEY, strlen (FQ_EVENT_KEY)) != 0)
    return false;
  *fields = '\0';
  fq_text_copy (out->time, sizeof out->time, time);
  out->node = copy_string (node);
  out->fields = copy_string (fields + 1);
  return true;
}

/* The element after the last one; it is not counted until the caller has filled it. */
static fq_event_line_t *
reserve_line (fq_event_lines_t *lines)
{
  if (lines->count == lines->capacity)
    {
      size_t capacity = lines->capacity == 0 ? 1024 : lines->capacity * 2;
      fq_event_line_t *grown = realloc (lines->lines, capacity * sizeof *grown);

      if (grown == NULL)
        abort ();
      lines->lines = grown;
      lines->capacity = capacity;
    }
  lines->lines[lines->count] = (fq_event_line_t){ .order = lines->count };
  return &lines->lines[lines->count];
}

int
fq_event_lines_read (fq_event_lines_t *lines, const char *path)
{
  FILE *file = fopen (path, "r");
  size_t before = lines->count;
  size_t capacity = 0;
  char *text = NULL;
  ssize_t length;

  if (file == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_IO, "can't open %s", path);
  while ((length = getline (&text, &capacity, file)) >= 0)
    {
      if (length == 0 || text[length - 1] != '\n')
        {
          lines->skipped++; /* no newline: the file ends within a line */
          continue;
        }
      text[length - 1] = '\0';
      if (parse_line (reserve_line (lines), text))
        lines->count++;
      else
        lines->skipped++;
    }
  free (text);
  fclose (file);
  if (lines->count == before)
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_INVALID,
                         "%s: no log line of filbertquay-node found", path);
  return FQ_OK;
}

static int
compare (const void *left, const void *right)
{
  const fq_event_line_t *first = left;
  const fq_event_line_t *second = right;
  int order = strcmp (first->time, second->time);

  if (order != 0)
    return order;
  return first->order < second->order ? -1 : 1;
}

void
fq_event_lines_sort (fq_event_lines_t *lines)
{
  if (lines->count > 0)
    qsort (lines->lines, lines->count, sizeof *lines->lines, compare);
}

void
fq_event_lines_clear (fq_event_lines_t *lines)
{
  for (size_t i = 0; i < lines->count; i++)
    {
      free (lines->lines[i].node);
      free (lines->lines[i].fields);
    }
  free (lines->lines);
  *lines = (fq_event_lines_t){ 0 };
}

bool
fq_event_line_get (const fq_event_line_t *line, const char *key, char *out, size_t size)
{
  size_t length = strlen (key);
  const char *field = line->fields;

  out[0] = '\0';
  while (field != NULL)
    {
      if (strncmp (field, key, length) == 0 && field[length] == '=')
        {
          const char *value = field + length + 1;
          size_t value_size = strcspn (value, " ");

          if (value_size >= size)
            return false;
          memcpy (out, value, value_size);
          out[value_size] = '\0';
          return true;
        }
      field = strchr (field, ' ');
      field = field == NULL ? NULL : field + 1;
    }
  return false;
}

bool
fq_event_line_is (const fq_event_line_t *line, const char *event)
{
  size_t length = strlen (event);
  const char *name = line->fields + strlen (FQ_EVENT_KEY);

  return strncmp (name, event, length) == 0
         && (name[length] == ' ' || name[length] == '\0');
}

long
fq_event_line_get_number (const fq_event_line_t *line, const char *key)
{
  char text[FQ_NUMBER_BYTES];

  return fq_event_line_get (line, key, text, sizeof text) ? strtol (text, NULL, 10) : 0;
}
