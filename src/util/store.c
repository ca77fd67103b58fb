#include "filbertquay/store.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"

static int
no_memory (void)
{
  return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_NOMEM,
                       "no memory for a store operation");
}

static int
copy_string (char **out, const char *text)
{
  *out = NULL;
  if (text == NULL)
    return FQ_OK;
  *out = strdup (text);
  return *out == NULL ? no_memory () : FQ_OK;
}

int
fq_store_op_new (fq_store_op_t **out, fq_store_kind_t kind, const char *key)
{
  fq_store_op_t *op = calloc (1, sizeof *op);

  if (op == NULL)
    return no_memory ();
  op->kind = kind;
  if (copy_string (&op->key, key) < 0)
    {
      fq_store_op_free (op);
      return FQ_ERROR_NOMEM;
    }
  *out = op;
  return FQ_OK;
}

static void
clear_write (fq_store_write_t *write)
{
  free (write->key);
  free (write->value);
  free (write->expected);
}

int
fq_store_op_add_write (fq_store_op_t *op,
                       const char *key,
                       const char *value,
                       fq_store_condition_t condition,
                       const char *expected)
{
  fq_store_write_t write = { .condition = condition };
  fq_store_write_t *grown;

  if (op->write_count >= FQ_STORE_WRITES_MAX)
    return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_TOOBIG,
                         "a transaction may have at most %d writes", FQ_STORE_WRITES_MAX);
  grown = realloc (op->writes, (op->write_count + 1) * sizeof *grown);
  if (grown == NULL)
    return no_memory ();
  op->writes = grown;
  if (copy_string (&write.key, key) < 0 || copy_string (&write.value, value) < 0
      || copy_string (&write.expected, expected) < 0)
    {
      clear_write (&write);
      return FQ_ERROR_NOMEM;
    }
  op->writes[op->write_count++] = write;
  return FQ_OK;
}

void
fq_store_op_free (fq_store_op_t *op)
{
  if (op == NULL)
    return;
  for (size_t i = 0; i < op->write_count; i++)
    clear_write (&op->writes[i]);
  free (op->writes);
  free (op->key);
  free (op->end);
  free (op->value);
  free (op);
}

int
fq_store_answer_add_row (fq_store_answer_t *answer, const char *key, const char *value)
{
  fq_store_row_t row = { 0 };
  fq_store_row_t *grown = realloc (answer->rows, (answer->row_count + 1) * sizeof *grown);

  if (grown == NULL)
    return no_memory ();
  answer->rows = grown;
  if (copy_string (&row.key, key) < 0 || copy_string (&row.value, value) < 0)
    {
      free (row.key);
      free (row.value);
      return FQ_ERROR_NOMEM;
    }
  answer->rows[answer->row_count++] = row;
  return FQ_OK;
}

void
fq_store_answer_clear (fq_store_answer_t *answer)
{
  if (answer == NULL)
    return;
  for (size_t i = 0; i < answer->row_count; i++)
    {
      free (answer->rows[i].key);
      free (answer->rows[i].value);
    }
  free (answer->rows);
  answer->rows = NULL;
  answer->row_count = 0;
}
