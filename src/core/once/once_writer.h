/**
 * DOC: Batching of conditional row writes into transactions.
 *
 * A transaction contains all queued writes, up to FQ_STORE_WRITES_MAX. When some of them
 * conflict, the others are sent again without them, so that the result of each write
 * depends only on its own condition.
 */
#ifndef FQ_CORE_ONCE_WRITER_H
#define FQ_CORE_ONCE_WRITER_H

#include "filbertquay/effect.h"
#include "util/list.h"

#define FQ_ONCE_TRANSACTIONS_MAX 2 /* pending at the same time */

/** enum fq_once_write_state_t - the state of a write. */
typedef enum
{
  FQ_ONCE_WRITE_NONE,    /* nothing to write, or the result was taken */
  FQ_ONCE_WRITE_QUEUED,  /* waits for a transaction */
  FQ_ONCE_WRITE_SENT,    /* in a pending transaction */
  FQ_ONCE_WRITE_SETTLED, /* has a result for fq_once_writer_take_settled() */
} fq_once_write_state_t;

/** enum fq_once_write_result_t - the result of a write. */
typedef enum
{
  FQ_ONCE_WRITE_DONE,     /* it took effect */
  FQ_ONCE_WRITE_CONFLICT, /* its condition did not hold; nothing written */
  FQ_ONCE_WRITE_REFUSED,  /* refused over the rate limit; nothing written */
  FQ_ONCE_WRITE_LOST,     /* no answer: it took effect, may take effect late, or never */
} fq_once_write_result_t;

/** struct fq_once_write_t - one write, embedded in a structure of its owner. */
typedef struct
{
  fq_list_t link;
  fq_once_write_state_t state;
  const char *key; /* owned by the owner of the write */
  char *value;     /* NULL: delete the row */
  fq_store_condition_t condition;
  char *expected; /* for FQ_STORE_EQUALS */
  fq_once_write_result_t result;
  char *current_value; /* the row's value after a conflict; NULL: no row */
} fq_once_write_t;

/** struct fq_once_transaction_t - a pending transaction; @id 0: none. */
typedef struct
{
  fq_id_t id;
  fq_list_t writes;
} fq_once_transaction_t;

/** struct fq_once_writer_t - initialise with fq_once_writer_init(). */
typedef struct
{
  fq_list_t queue;
  fq_list_t settled;
  fq_once_transaction_t transactions[FQ_ONCE_TRANSACTIONS_MAX];
} fq_once_writer_t;

/** fq_once_writer_init() - an empty writer. */
void fq_once_writer_init (fq_once_writer_t *writer);

/** fq_once_write_init() - a write to @key, which is not copied; nothing submitted. */
void fq_once_write_init (fq_once_write_t *write, const char *key);

/** fq_once_write_clear() - remove @write from the writer and free its strings. */
void fq_once_write_clear (fq_once_write_t *write);

/**
 * fq_once_writer_submit() - queue a conditional write; its strings are copied.
 * @write: neither queued nor sent; an earlier result is discarded
 * @value: NULL: delete the row
 * @expected: for FQ_STORE_EQUALS, else NULL
 */
void fq_once_writer_submit (fq_once_writer_t *writer,
                            fq_once_write_t *write,
                            const char *value,
                            fq_store_condition_t condition,
                            const char *expected);

/**
 * fq_once_writer_flush() - send queued writes, as far as transactions are free.
 * @op_count: counter for the identifiers of store operations; incremented
 */
void fq_once_writer_flush (fq_once_writer_t *writer,
                           uint64_t *op_count,
                           fq_effects_t *effects);

/**
 * fq_once_writer_handle_store_answer() - handle the answer to a transaction.
 *
 * Return: false if @answer is not to a transaction of @writer.
 */
bool fq_once_writer_handle_store_answer (fq_once_writer_t *writer,
                                         const fq_store_answer_t *answer);

/** fq_once_writer_take_settled() - remove the next write with a result, or NULL. */
fq_once_write_t *fq_once_writer_take_settled (fq_once_writer_t *writer);

#endif
