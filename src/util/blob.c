#include "filbertquay/blob.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"

static size_t bytes_limit;
static size_t bytes_live;

void
fq_blob_set_limit (size_t bytes)
{
  bytes_limit = bytes;
}

size_t
fq_blob_live_bytes (void)
{
  return bytes_live;
}

void
fq_blob_recount (size_t before, size_t after)
{
  bytes_live = bytes_live - before + after;
}

bool
fq_blob_fits (size_t size, unsigned int percent)
{
  size_t share = bytes_limit / 100 * percent;

  return bytes_limit == 0 || (bytes_live <= share && size <= share - bytes_live);
}

int
fq_blob_reserve (fq_blob_t **out, size_t size, unsigned int percent)
{
  if (!fq_blob_fits (size, percent))
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_AGAIN,
                         "a body of %zu bytes does not fit into memory at present", size);
  return fq_blob_new (out, NULL, size);
}

int
fq_blob_new (fq_blob_t **out, const void *data, size_t size)
{
  fq_blob_t *blob = calloc (1, sizeof *blob + size);

  if (blob == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "no memory for a body of %zu bytes", size);
  bytes_live += size;
  blob->references = 1;
  blob->size = size;
  if (data != NULL && size > 0)
    memcpy (blob->data, data, size);
  *out = blob;
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
  bytes_live -= blob->size;
  free (blob);
}
