#include "util/text.h"

#include <ctype.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/memory.h"

struct fq_text
{
  uint32_t references;
  size_t size;
  char *label; /* NULL: the characters themselves serve */
  char chars[];
};

static bool
is_label_char (char c)
{
  return !isspace ((unsigned char)c) && !iscntrl ((unsigned char)c);
}

static bool
is_label (const char *chars, size_t size)
{
  if (size > FQ_TEXT_LABEL_MAX)
    return false;
  for (size_t i = 0; i < size; i++)
    {
      if (!is_label_char (chars[i]))
        return false;
    }
  return true;
}

static char *
new_label (const char *chars, size_t size)
{
  char *label = strndup (chars, size < FQ_TEXT_LABEL_MAX ? size : FQ_TEXT_LABEL_MAX);

  if (label == NULL)
    abort ();
  for (char *c = label; *c != '\0'; c++)
    {
      if (!is_label_char (*c))
        *c = '?';
    }
  return label;
}

fq_text_t *
fq_text_new (const char *chars)
{
  return chars == NULL ? NULL : fq_text_new_sized (chars, strlen (chars));
}

fq_text_t *
fq_text_new_sized (const char *chars, size_t size)
{
  fq_text_t *text;

  if (size == 0)
    return NULL;
  text = malloc (sizeof *text + size + 1);
  if (text == NULL)
    abort ();
  text->references = 1;
  text->size = size;
  memcpy (text->chars, chars, size);
  text->chars[size] = '\0';
  text->label = is_label (chars, size) ? NULL : new_label (chars, size);
  fq_memory_recount (0, size);
  return text;
}

fq_text_t *
fq_text_ref (fq_text_t *text)
{
  if (text != NULL)
    text->references++;
  return text;
}

void
fq_text_unref (fq_text_t *text)
{
  if (text == NULL || --text->references > 0)
    return;
  fq_memory_recount (text->size, 0);
  free (text->label);
  free (text);
}

void
fq_text_set (fq_text_t **member, fq_text_t *text)
{
  fq_text_t *old = *member;

  *member = fq_text_ref (text);
  fq_text_unref (old);
}

void
fq_text_clear (fq_text_t **member)
{
  fq_text_set (member, NULL);
}

const char *
fq_text_chars (const fq_text_t *text)
{
  return text == NULL ? "" : text->chars;
}

size_t
fq_text_size (const fq_text_t *text)
{
  return text == NULL ? 0 : text->size;
}

bool
fq_text_equal (const fq_text_t *left, const fq_text_t *right)
{
  if (left == right)
    return true;
  return fq_text_size (left) == fq_text_size (right)
         && memcmp (fq_text_chars (left), fq_text_chars (right), fq_text_size (left))
                == 0;
}

const char *
fq_text_label (const fq_text_t *text)
{
  return text == NULL || text->label == NULL ? fq_text_chars (text) : text->label;
}

bool
fq_text_copy (char *to, size_t size, const char *from)
{
  size_t length;
  bool fits;

  if (from == NULL)
    from = "";
  length = strlen (from);
  fits = length < size;

  if (!fits)
    length = size - 1;
  memcpy (to, from, length);
  to[length] = '\0';
  return fits;
}
