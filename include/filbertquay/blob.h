/**
 * DOC: Reference-counted, immutable byte buffers.
 *
 * Neither the reference counts nor the totals over all blobs are atomic: a process uses
 * blobs from one thread only.
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
 * fq_blob_new() - allocate a blob, whatever the limit of fq_blob_set_limit() is.
 * @out: set to the blob, with one reference that the caller owns; unchanged on failure
 * @data: @size bytes that are copied; NULL: the blob is filled with zeroes
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_blob_new (fq_blob_t **out, const void *data, size_t size);

/**
 * fq_blob_set_limit() - limit the total size of the blobs of the process.
 * @bytes: the limit, which fq_blob_fits() and fq_blob_reserve() apply; 0: no limit
 */
void fq_blob_set_limit (size_t bytes);

/**
 * fq_blob_recount() - count bytes that are no blob yet, such as the received part of a
 * body whose size is not known, like blobs.
 * @before: how many of the caller's are counted now
 * @after: how many are counted from now on
 */
void fq_blob_recount (size_t before, size_t after);

/** fq_blob_live_bytes() - total size in bytes of all blobs of the process, with what
 * fq_blob_recount() counts. */
size_t fq_blob_live_bytes (void);

/**
 * fq_blob_fits() - whether @size more bytes fit within a share of the limit.
 * @percent: share of the limit, in percent, that all blobs together may take
 *
 * Return: true if they fit, and always when no limit is set.
 */
bool fq_blob_fits (size_t size, unsigned int percent);

/**
 * fq_blob_reserve() - allocate a blob of zeroes if fq_blob_fits() allows it.
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
