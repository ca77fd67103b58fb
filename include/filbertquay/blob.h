/**
 * DOC: Immutable bytes that are shared by counting references.
 */
#ifndef FQ_BLOB_H
#define FQ_BLOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct fq_blob_t - @size bytes; treat as read-only once shared. */
typedef struct
{
  uint32_t references;
  size_t size;
  uint8_t data[];
} fq_blob_t;

/** fq_blob_new() - @size bytes copied from @data, or zeroes when @data is NULL. */
int fq_blob_new (fq_blob_t **out, const void *data, size_t size);

/** fq_blob_set_limit() - bytes that all blobs of the process may hold; 0: no limit. */
void fq_blob_set_limit (size_t bytes);

/** fq_blob_live_bytes() - bytes that all blobs of the process hold. */
size_t fq_blob_live_bytes (void);

/** fq_blob_fits() - whether @size more bytes keep within @percent of the limit. */
bool fq_blob_fits (size_t size, unsigned int percent);

/**
 * fq_blob_reserve() - like fq_blob_new() with zeroes, within a share of the limit.
 * @percent: of the limit that may be in use afterwards
 *
 * Return: 0; FQ_ERROR_AGAIN when it does not fit now; FQ_ERROR_NOMEM.
 */
int fq_blob_reserve (fq_blob_t **out, size_t size, unsigned int percent);

/** fq_blob_ref() - one more reference; NULL stays NULL. */
fq_blob_t *fq_blob_ref (fq_blob_t *blob);

/** fq_blob_unref() - one reference less; frees at zero; NULL-safe. */
void fq_blob_unref (fq_blob_t *blob);

#endif
