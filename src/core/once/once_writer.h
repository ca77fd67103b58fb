/**
 * DOC: Writes of claims, gathered into transactions.
 *
 * A transaction carries all writes that wait, up to a limit. When one of them conflicts
 * the others are sent again without it, so that each write ends by its own condition.
 */
#ifndef FQ_CORE_ONCE_WRITER_H
#define FQ_CORE_ONCE_WRITER_H

#include "filbertquay/effect.h"
#include "util/list.h"

#define FQ_ONCE_TRANSACTIONS_MAX 2 /* under way at once */

/** enum fq_once_write_state_t - where a write stands. */
typedef enum
{
  FQ_ONCE_WRITE_NONE,
  FQ_ONCE_WRITE_QUEUED,  /* not sent since it was submitted */
  FQ_ONCE_WRITE_SENT,    /* in a transaction under way */
  FQ_ONCE_WRITE_SETTLED, /* its end waits in fq_once_writer_settled() */
} fq_once_write_state_t;

/** enum fq_once_write_end_t - how a write ended. */
typedef enum
{
  FQ_ONCE_WRITE_DONE,     /* it took effect */
  FQ_ONCE_WRITE_CONFLICT, /* its condition did not hold; nothing written */
  FQ_ONCE_WRITE_REFUSED,  /* nothing written */
  FQ_ONCE_WRITE_LOST,     /* it took effect, will, or never does */
} fq_once_write_end_t;

/** struct fq_once_write_t - one write; lives in a record of its owner. */
typedef struct
{
  fq_list_t link;
  fq_once_write_state_t state;
  const char *key; /* the owner's */
  char *value;     /* NULL deletes */
  fq_store_condition_t condition;
  char *expected;
  fq_once_write_end_t end;
  char *present; /* the row's value after a conflict; NULL: no row */
} fq_once_write_t;

/** struct fq_once_transaction_t - one transaction under way; @id 0: none. */
typedef struct
{
  fq_id_t id;
  fq_list_t writes;
} fq_once_transaction_t;

/** struct fq_once_writer_t - set up with fq_once_writer_init(). */
typedef struct
{
  fq_list_t queue;
  fq_list_t settled;
  fq_once_transaction_t transactions[FQ_ONCE_TRANSACTIONS_MAX];
} fq_once_writer_t;

/** fq_once_writer_init() - nothing waits. */
void fq_once_writer_init (fq_once_writer_t *writer);

/** fq_once_write_init() - nothing to write. */
void fq_once_write_init (fq_once_write_t *write, const char *key);

/** fq_once_write_clear() - take @write out of the writer and free what it holds. */
void fq_once_write_clear (fq_once_write_t *write);

/**
 * fq_once_writer_submit() - write @value (NULL: delete) under a condition; strings are
 * copied. @write must have ended before.
 */
void fq_once_writer_submit (fq_once_writer_t *writer,
                            fq_once_write_t *write,
                            const char *value,
                            fq_store_condition_t condition,
                            const char *expected);

/** fq_once_writer_flush() - send what waits; *@number counts store operations. */
void
fq_once_writer_flush (fq_once_writer_t *writer, uint64_t *number, fq_effects_t *effects);

/** fq_once_writer_store() - take the answer to a transaction; false: not one of ours. */
bool fq_once_writer_store (fq_once_writer_t *writer, const fq_store_answer_t *answer);

/** fq_once_writer_settled() - take one write that ended, or NULL. */
fq_once_write_t *fq_once_writer_settled (fq_once_writer_t *writer);

#endif
