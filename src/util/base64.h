/**
 * DOC: Base64 (RFC 4648, standard alphabet, with padding).
 */
#ifndef FQ_UTIL_BASE64_H
#define FQ_UTIL_BASE64_H

#include <stddef.h>

#include "filbertquay/blob.h"

/** fq_base64_encode() - encode; the caller frees the text; NULL when out of memory. */
char *fq_base64_encode (const void *data, size_t size);

/**
 * fq_base64_decode() - decode a text that is not empty.
 * @out: set to the bytes, with one reference that the caller owns; unchanged on failure
 *
 * Return: 0; FQ_ERROR_INVALID when @text is empty or not base64; FQ_ERROR_NOMEM.
 */
int fq_base64_decode (fq_blob_t **out, const char *text);

#endif
