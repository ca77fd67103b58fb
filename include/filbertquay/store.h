/**
 * DOC: Operations on the platform's table service and object store.
 *
 * The core emits operations as effects and receives their answers as events. After
 * FQ_STORE_UNAVAILABLE it is not known whether a write took effect. Keys, values and
 * objects are NUL-terminated texts.
 */
#ifndef FQ_STORE_H
#define FQ_STORE_H

#include "filbertquay/types.h"

#define FQ_STORE_WRITES_MAX 64 /* maximum writes in one transaction */
#define FQ_STORE_ROWS_MAX 256  /* maximum rows in one answer to a scan */

/** enum fq_store_kind_t - kinds of operation. */
typedef enum
{
  FQ_STORE_GET,    /* one row by key */
  FQ_STORE_SCAN,   /* rows with key > @key and key < @end, in order, up to @limit */
  FQ_STORE_COMMIT, /* transaction: all writes if all their conditions hold, else none */
  FQ_STORE_OBJECT_GET, /* one object by key */
  FQ_STORE_OBJECT_PUT, /* replaces one object */
} fq_store_kind_t;

/** enum fq_store_condition_t - precondition of a write on the present row. */
typedef enum
{
  FQ_STORE_ANY,    /* no condition */
  FQ_STORE_ABSENT, /* the row does not exist */
  FQ_STORE_EQUALS, /* the row has the value @expected */
} fq_store_condition_t;

/** struct fq_store_write_t - one write of a transaction; strings are owned. */
typedef struct
{
  char *key;
  char *value; /* NULL deletes the row */
  fq_store_condition_t condition;
  char *expected; /* for FQ_STORE_EQUALS */
} fq_store_write_t;

/** struct fq_store_op_t - one operation; owns its strings and writes. */
typedef struct
{
  fq_id_t id;
  fq_store_kind_t kind;
  char *key;      /* not used by FQ_STORE_COMMIT, where each write has its own */
  char *end;      /* for FQ_STORE_SCAN */
  char *value;    /* for FQ_STORE_OBJECT_PUT: the object */
  uint32_t limit; /* for FQ_STORE_SCAN: 1 to FQ_STORE_ROWS_MAX */
  fq_store_write_t *writes;
  size_t write_count;
} fq_store_op_t;

/** struct fq_store_row_t - one row, or object, of an answer, which owns the strings. */
typedef struct
{
  char *key;
  char *value;
} fq_store_row_t;

/** enum fq_store_status_t - how an operation ended. */
typedef enum
{
  FQ_STORE_DONE,      /* executed */
  FQ_STORE_NOT_FOUND, /* no such row or object */
  FQ_STORE_CONFLICT, /* a condition failed; nothing written; @rows has the present rows */
  FQ_STORE_BUSY,     /* refused, for load or after failures; nothing written */
  FQ_STORE_UNAVAILABLE, /* no valid answer; a write may or may not have taken effect */
} fq_store_status_t;

/** struct fq_store_answer_t - the answer to the operation @id; owns its rows. */
typedef struct
{
  fq_id_t id;
  fq_store_status_t status;
  fq_store_row_t *rows; /* of a read: what was found; of FQ_STORE_CONFLICT: the present
                           rows; NULL: none */
  size_t row_count;
} fq_store_answer_t;

/**
 * fq_store_op_new() - create an operation without writes.
 * @out: to be freed with fq_store_op_free(); unchanged on failure
 * @key: copied; NULL: none
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_store_op_new (fq_store_op_t **out, fq_store_kind_t kind, const char *key);

/**
 * fq_store_op_add_write() - add one write to an FQ_STORE_COMMIT operation.
 * @value: copied; NULL deletes the row
 * @expected: copied; NULL except for FQ_STORE_EQUALS
 *
 * Return: 0, FQ_ERROR_NOMEM, or FQ_ERROR_TOOBIG beyond FQ_STORE_WRITES_MAX.
 */
int fq_store_op_add_write (fq_store_op_t *op,
                           const char *key,
                           const char *value,
                           fq_store_condition_t condition,
                           const char *expected);

/** fq_store_op_free() - free an operation with its strings and writes; NULL-safe. */
void fq_store_op_free (fq_store_op_t *op);

/**
 * fq_store_answer_add_row() - append a row; both strings are copied.
 *
 * Return: 0, or FQ_ERROR_NOMEM with the rows unchanged.
 */
int
fq_store_answer_add_row (fq_store_answer_t *answer, const char *key, const char *value);

/** fq_store_answer_clear() - free the rows; id and status stay; NULL-safe. */
void fq_store_answer_clear (fq_store_answer_t *answer);

#endif
