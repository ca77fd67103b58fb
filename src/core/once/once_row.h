/**
 * DOC: The rows that claims keep in the table service, and their keys.
 *
 * A row stands under (member, service, idempotency key). Its value names the attempt
 * that wrote it, so that no two attempts ever write the same value.
 */
#ifndef FQ_CORE_ONCE_ROW_H
#define FQ_CORE_ONCE_ROW_H

#include "filbertquay/message.h"

#define FQ_ONCE_ATTEMPT_BYTES 128
#define FQ_ONCE_KEY_BYTES 1024
#define FQ_ONCE_BUCKETS 256 /* parts into which the rows of a service are split */

/** enum fq_once_row_state_t - what a row says of its key. */
typedef enum
{
  FQ_ONCE_ROW_CLAIMED, /* its attempt may run, or may have run */
  FQ_ONCE_ROW_FREE,    /* its attempt did not and will not run; another may take over */
  FQ_ONCE_ROW_DONE,    /* the whole answer is kept */
  FQ_ONCE_ROW_UNKNOWN, /* it was sent to the upstream, and no whole answer came */
} fq_once_row_state_t;

/** struct fq_once_hash_t - names what a request asks for. */
typedef struct
{
  uint64_t low;
  uint64_t high;
} fq_once_hash_t;

/** struct fq_once_row_t - a row, decoded; clear it with fq_once_row_clear(). */
typedef struct
{
  fq_once_row_state_t state;
  char attempt[FQ_ONCE_ATTEMPT_BYTES];
  fq_once_hash_t request;
  int64_t claimed_ms; /* wall clock of the claim; 0: not known */
  uint16_t status;
  char content_type[FQ_HEADER_BYTES];
  bool in_object;  /* the body is the object fq_once_object_key() */
  fq_blob_t *body; /* NULL: none, or in the object */
} fq_once_row_t;

/** fq_once_hash_request() - a hash of method, path and body. */
fq_once_hash_t fq_once_hash_request (const fq_request_t *request);

/** fq_once_hash_equal() - whether two requests ask for the same. */
bool fq_once_hash_equal (fq_once_hash_t a, fq_once_hash_t b);

/** fq_once_prefix() - what the keys of @bucket of the request's service begin with. */
void fq_once_prefix (char *to, size_t size, const fq_request_t *request, unsigned bucket);

/** fq_once_key() - the key of the row for @request. */
void fq_once_key (char *to, size_t size, const fq_request_t *request);

/** fq_once_object_key() - where the large answer to @attempt stands. */
void fq_once_object_key (char *to, size_t size, const char *attempt);

/** fq_once_row_write() - the text of @row, to be freed by the caller; NULL: no memory. */
char *fq_once_row_write (const fq_once_row_t *row);

/** fq_once_row_read() - decode @text; FQ_ERROR_INVALID when it is no row. */
int fq_once_row_read (fq_once_row_t *out, const char *text);

/** fq_once_row_clear() - drop the body. */
void fq_once_row_clear (fq_once_row_t *row);

/** fq_once_body_write() - @body as text, to be freed by the caller; NULL: no memory. */
char *fq_once_body_write (const fq_blob_t *body);

/** fq_once_body_read() - the body in @text; NULL in *@out when it is empty. */
int fq_once_body_read (fq_blob_t **out, const char *text);

#endif
