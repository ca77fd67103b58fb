/**
 * DOC: A table service in memory, with the faults of the real one.
 */
#ifndef FQ_TESTS_FAKE_STORE_H
#define FQ_TESTS_FAKE_STORE_H

#include <stdlib.h>
#include <string.h>

#include "filbertquay/store.h"

#define FAKE_ROWS_MAX 20000

typedef enum
{
  FAKE_WORKS,
  FAKE_DOWN,         /* nothing takes effect, no answer */
  FAKE_DROPS_ANSWER, /* takes effect, no answer */
  FAKE_BUSY,         /* refused over its rate */
} fake_mode_t;

typedef struct
{
  fq_store_row_t rows[FAKE_ROWS_MAX]; /* in the order of their keys */
  size_t count;
  fake_mode_t mode;
  unsigned int reads;
  unsigned int writes;
} fake_store_t;

static inline size_t
fake_place (const fake_store_t *store, const char *key)
{
  size_t low = 0;
  size_t high = store->count;

  while (low < high)
    {
      size_t middle = (low + high) / 2;

      if (strcmp (store->rows[middle].key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static inline fq_store_row_t *
fake_find (fake_store_t *store, const char *key)
{
  size_t place = fake_place (store, key);

  if (place < store->count && strcmp (store->rows[place].key, key) == 0)
    return &store->rows[place];
  return NULL;
}

static inline void
fake_remove (fake_store_t *store, const char *key)
{
  fq_store_row_t *row = fake_find (store, key);

  if (row == NULL)
    return;
  free (row->key);
  free (row->value);
  store->count--;
  memmove (row, row + 1, (size_t)(&store->rows[store->count] - row) * sizeof *row);
}

static inline void
fake_put (fake_store_t *store, const char *key, const char *value)
{
  size_t place;

  fake_remove (store, key);
  if (value == NULL)
    return;
  if (store->count == FAKE_ROWS_MAX)
    abort ();
  place = fake_place (store, key);
  memmove (&store->rows[place + 1], &store->rows[place],
           (store->count - place) * sizeof store->rows[0]);
  store->rows[place].key = strdup (key);
  store->rows[place].value = strdup (value);
  store->count++;
}

static inline bool
fake_holds (fake_store_t *store, const fq_store_write_t *write)
{
  const fq_store_row_t *row = fake_find (store, write->key);

  switch (write->condition)
    {
    case FQ_STORE_ANY:
      return true;
    case FQ_STORE_ABSENT:
      return row == NULL;
    case FQ_STORE_EQUALS:
      return row != NULL && strcmp (row->value, write->expected) == 0;
    }
  return false;
}

static inline void
fake_commit (fake_store_t *store, const fq_store_op_t *op, fq_store_answer_t *answer)
{
  bool holds = true;

  store->writes++;
  for (size_t i = 0; i < op->write_count; i++)
    holds = holds && fake_holds (store, &op->writes[i]);
  for (size_t i = 0; i < op->write_count; i++)
    {
      const fq_store_row_t *row = fake_find (store, op->writes[i].key);

      if (holds)
        fake_put (store, op->writes[i].key, op->writes[i].value);
      else if (row != NULL)
        fq_store_answer_add_row (answer, row->key, row->value);
    }
  answer->status = holds ? FQ_STORE_DONE : FQ_STORE_CONFLICT;
}

static inline void
fake_read (fake_store_t *store, const fq_store_op_t *op, fq_store_answer_t *answer)
{
  const fq_store_row_t *row = fake_find (store, op->key);

  store->reads++;
  answer->status = row == NULL ? FQ_STORE_NOT_FOUND : FQ_STORE_DONE;
  if (row != NULL)
    fq_store_answer_add_row (answer, row->key, row->value);
}

static inline void
fake_scan (fake_store_t *store, const fq_store_op_t *op, fq_store_answer_t *answer)
{
  store->reads++;
  answer->status = FQ_STORE_DONE;
  for (size_t i = fake_place (store, op->key);
       i < store->count && answer->row_count < op->limit; i++)
    {
      const fq_store_row_t *row = &store->rows[i];

      if (strcmp (row->key, op->key) > 0 && strcmp (row->key, op->end) < 0)
        fq_store_answer_add_row (answer, row->key, row->value);
    }
}

/** fake_store_execute() - carry out @op; @answer is to be cleared. */
static inline void
fake_store_execute (fake_store_t *store,
                    const fq_store_op_t *op,
                    fq_store_answer_t *answer)
{
  *answer = (fq_store_answer_t){ .id = op->id, .status = FQ_STORE_UNAVAILABLE };
  if (store->mode == FAKE_DOWN)
    return;
  if (store->mode == FAKE_BUSY)
    {
      answer->status = FQ_STORE_BUSY;
      return;
    }
  switch (op->kind)
    {
    case FQ_STORE_COMMIT:
      fake_commit (store, op, answer);
      break;
    case FQ_STORE_SCAN:
      fake_scan (store, op, answer);
      break;
    case FQ_STORE_OBJECT_PUT:
      store->writes++;
      fake_put (store, op->key, op->value);
      answer->status = FQ_STORE_DONE;
      break;
    case FQ_STORE_GET:
    case FQ_STORE_OBJECT_GET:
      fake_read (store, op, answer);
      break;
    }
  if (store->mode == FAKE_DROPS_ANSWER)
    {
      fq_store_answer_clear (answer);
      answer->status = FQ_STORE_UNAVAILABLE;
    }
}

static inline void
fake_store_clear (fake_store_t *store)
{
  while (store->count > 0)
    fake_remove (store, store->rows[0].key);
  store->mode = FAKE_WORKS;
  store->reads = 0;
  store->writes = 0;
}

#endif
