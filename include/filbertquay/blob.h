/**
 * DOC: Reference-counted, immutable byte buffers.
 *
 * The reference counts are not atomic: a process uses blobs from one thread only. Blobs
 * count in the account of memory.h.
 */
#ifndef FQ_BLOB_H
#define FQ_BLOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct fq_blob_t - @size bytes; read-only once there is a second reference. */
typedef struct
{
  uint32_t references;
  size_t size; /* bytes of @data */
  uint8_t data[];
} fq_blob_t;

/**
 * fq_blob_new() - allocate a blob, whatever the limit on memory is.
 * @out: set to the blob, with one reference that the caller owns; unchanged on failure
 * @data: @size bytes that are copied; NULL: the blob is filled with zeroes
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_blob_new (fq_blob_t **out, const void *data, size_t size);

/**
 * fq_blob_resize() - change the size of a blob that has one reference.
 * @blob: set to the blob, which may move; unchanged on failure
 *
 * Bytes that are added are not initialised.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_blob_resize (fq_blob_t **blob, size_t size);

/**
 * fq_blob_reserve() - allocate a blob of zeroes if fq_memory_fits() allows it.
 * @out: set to the blob, with one reference that the caller owns; unchanged on failure
 * @percent: share of the limit, in percent, that all blobs together may take afterwards
 *
 * Return: 0; FQ_ERROR_AGAIN when it does not fit at present; FQ_ERROR_NOMEM.
 */
int fq_blob_reserve (fq_blob_t **out, size_t size, unsigned int percent);

/** fq_blob_ref() - add a reference; returns @blob, which may be NULL. */
fq_blob_t *fq_blob_ref (fq_blob_t *blob);

/** fq_blob_unref() - drop a reference and free the blob with the last; NULL-safe. */
void fq_blob_unref (fq_blob_t *blob);

#endif
