#include "util/base64.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"

static const char alphabet[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

char *
fq_base64_encode (const void *data, size_t size)
{
  const uint8_t *bytes = data;
  char *text = calloc (1, (size + 2) / 3 * 4 + 1);
  char *at = text;

  if (text == NULL)
    return NULL;
  for (size_t i = 0; i < size; i += 3)
    {
      size_t left = size - i;
      uint32_t group = (uint32_t)bytes[i] << 16;

      group |= left > 1 ? (uint32_t)bytes[i + 1] << 8 : 0;
      group |= left > 2 ? bytes[i + 2] : 0;
      *at++ = alphabet[group >> 18];
      *at++ = alphabet[(group >> 12) & 63];
      *at++ = left > 1 ? alphabet[(group >> 6) & 63] : '=';
      *at++ = left > 2 ? alphabet[group & 63] : '=';
    }
  return text;
}

static int
sextet_of (char c)
{
  const char *found = c == '\0' ? NULL : strchr (alphabet, c);

  return found == NULL ? -1 : (int)(found - alphabet);
}

static int
decode_group (uint8_t *to, const char *text, size_t byte_count)
{
  uint32_t group = 0;

  for (size_t i = 0; i < 4; i++)
    {
      int value = sextet_of (text[i]);

      if (i > byte_count)
        value = text[i] == '=' ? 0 : -1;
      if (value < 0)
        return FQ_ERROR_INVALID;
      group = group << 6 | (uint32_t)value;
    }
  for (size_t i = 0; i < byte_count; i++)
    to[i] = (uint8_t)(group >> (16 - 8 * i));
  return FQ_OK;
}

int
fq_base64_decode (fq_blob_t **out, const char *text)
{
  size_t length = strlen (text);
  size_t padding = 0;
  size_t size;
  fq_blob_t *blob;
  int rc;

  while (padding < 2 && padding < length && text[length - 1 - padding] == '=')
    padding++;
  if (length == 0 || length % 4 != 0)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
                         "text is not valid base64");
  size = length / 4 * 3 - padding;
  rc = fq_blob_new (&blob, NULL, size);
  for (size_t i = 0; rc == FQ_OK && i < length; i += 4)
    {
      size_t decoded = i / 4 * 3;

      rc = decode_group (blob->data + decoded, text + i,
                         size - decoded < 3 ? size - decoded : 3);
      if (rc < 0)
        {
          fq_blob_unref (blob);
          rc = fq_error_set (FQ_ERROR_CLASS_CORE, rc, "text is not valid base64");
        }
    }
  if (rc == FQ_OK)
    *out = blob;
  return rc;
}
