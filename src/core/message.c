#include "filbertquay/message.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "filbertquay/errors.h"

int
fq_request_new (fq_request_t **out)
{
  fq_request_t *request = calloc (1, sizeof *request);

  if (request == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a request");
  request->references = 1;
  *out = request;
  return FQ_OK;
}

fq_request_t *
fq_request_ref (fq_request_t *request)
{
  if (request != NULL)
    request->references++;
  return request;
}

void
fq_request_unref (fq_request_t *request)
{
  if (request == NULL)
    return;
  if (--request->references > 0)
    return;
  fq_blob_unref (request->body);
  free (request);
}

uint64_t
fq_request_fingerprint (const fq_request_t *request)
{
  uint64_t hash = XXH3_64bits (request->service, strlen (request->service));

  if (request->key[0] != '\0')
    return XXH3_64bits_withSeed (request->key, strlen (request->key), hash);
  hash = XXH3_64bits_withSeed (request->method, strlen (request->method), hash);
  hash = XXH3_64bits_withSeed (request->path, strlen (request->path), hash);
  if (request->body != NULL)
    hash = XXH3_64bits_withSeed (request->body->data, request->body->size, hash);
  return hash;
}
