#include "filbertquay/blob.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "filbertquay/memory.h"

int
fq_blob_reserve (fq_blob_t **out, size_t size, unsigned int percent)
{
  if (!fq_memory_fits (size, percent))
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_AGAIN,
                         "a body of %zu bytes does not fit into memory at present", size);
  return fq_blob_new (out, NULL, size);
}

int
fq_blob_new (fq_blob_t **out, const void *data, size_t size)
{
  /* Zeroes of a fresh mapping take no memory until they are written. */
  fq_blob_t *blob
      = data == NULL ? calloc (1, sizeof *blob + size) : malloc (sizeof *blob + size);

  if (blob == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "no memory for a body of %zu bytes", size);
  fq_memory_recount (0, size);
  blob->references = 1;
  blob->size = size;
  if (data != NULL && size > 0)
    memcpy (blob->data, data, size);
  *out = blob;
  return FQ_OK;
}

int
fq_blob_resize (fq_blob_t **blob, size_t size)
{
  fq_blob_t *resized = realloc (*blob, sizeof *resized + size);

  if (resized == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "no memory for a body of %zu bytes", size);
  fq_memory_recount (resized->size, size);
  resized->size = size;
  *blob = resized;
  return FQ_OK;
}

fq_blob_t *
fq_blob_ref (fq_blob_t *blob)
{
  if (blob != NULL)
    blob->references++;
  return blob;
}

void
fq_blob_unref (fq_blob_t *blob)
{
  if (blob == NULL)
    return;
  if (--blob->references > 0)
    return;
  fq_memory_recount (blob->size, 0);
  free (blob);
}
