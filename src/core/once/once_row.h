/**
 * DOC: Keys and encoding of the rows that record claims in the table service.
 *
 * The key of a row consists of member, service and idempotency key. Its value names the
 * attempt that wrote it, so that no two attempts ever write the same value.
 */
#ifndef FQ_CORE_ONCE_ROW_H
#define FQ_CORE_ONCE_ROW_H

#include "filbertquay/message.h"

#define FQ_ONCE_ATTEMPT_BYTES 128
#define FQ_ONCE_KEY_BYTES 1024 /* holds any key or prefix made here, with its NUL */
#define FQ_ONCE_BUCKETS 256    /* key ranges of a service, by a hash of the key */

/** enum fq_once_row_state_t - the state of a key, by its row. */
typedef enum
{
  FQ_ONCE_ROW_CLAIMED, /* the attempt may run, or may have run */
  FQ_ONCE_ROW_FREE,    /* the attempt did not and will not run; the key may be claimed */
  FQ_ONCE_ROW_DONE,    /* the attempt's complete answer is stored */
  FQ_ONCE_ROW_UNKNOWN, /* the attempt was sent to the upstream; no complete answer came */
} fq_once_row_state_t;

/** struct fq_once_hash_t - a 128-bit hash of a request; see fq_once_hash_request(). */
typedef struct
{
  uint64_t low;
  uint64_t high;
} fq_once_hash_t;

/** struct fq_once_row_t - a decoded row; clear it with fq_once_row_clear(). */
typedef struct
{
  fq_once_row_state_t state;
  char attempt[FQ_ONCE_ATTEMPT_BYTES];
  fq_once_hash_t request_hash;
  int64_t claimed_ms; /* of the claim, milliseconds since 1970; 0: not known */
  uint16_t status;    /* HTTP status; this and the rest only in FQ_ONCE_ROW_DONE */
  char content_type[FQ_HEADER_BYTES];
  bool in_object;  /* the body is stored as the object of fq_once_object_key() */
  fq_blob_t *body; /* NULL: none, or in the object */
} fq_once_row_t;

/** fq_once_hash_request() - a hash of method, path and body. */
fq_once_hash_t fq_once_hash_request (const fq_request_t *request);

/** fq_once_hash_equal() - whether two hashes are of the same request. */
bool fq_once_hash_equal (fq_once_hash_t a, fq_once_hash_t b);

/**
 * fq_once_bucket_prefix() - write the prefix of the row keys in @bucket of a service.
 * @size: of @to; a longer prefix is cut, FQ_ONCE_KEY_BYTES is always enough
 * @request: its member and service are used
 */
void fq_once_bucket_prefix (char *to,
                            size_t size,
                            const fq_request_t *request,
                            unsigned bucket);

/** fq_once_row_key() - write the row key for @request; @size as above. */
void fq_once_row_key (char *to, size_t size, const fq_request_t *request);

/** fq_once_object_key() - write the key of the object with the body of the answer to
 * @attempt; @size as above. */
void fq_once_object_key (char *to, size_t size, const char *attempt);

/** fq_once_row_encode() - @row as JSON, to be freed by the caller; NULL: no memory. */
char *fq_once_row_encode (const fq_once_row_t *row);

/** fq_once_row_decode() - decode @text; FQ_ERROR_INVALID when it is no valid row. */
int fq_once_row_decode (fq_once_row_t *out, const char *text);

/** fq_once_row_clear() - release the body. */
void fq_once_row_clear (fq_once_row_t *row);

/** fq_once_body_encode() - @body in base64, freed by the caller; NULL: no memory. */
char *fq_once_body_encode (const fq_blob_t *body);

/**
 * fq_once_body_decode() - decode base64.
 * @out: a reference owned by the caller; NULL for an empty @text and on failure
 *
 * Return: 0, FQ_ERROR_INVALID when @text is no valid base64, or FQ_ERROR_NOMEM.
 */
int fq_once_body_decode (fq_blob_t **out, const char *text);

#endif
