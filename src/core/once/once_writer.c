#include "core/once/once_writer.h"

#include <stdlib.h>
#include <string.h>

#include "core/store_op_ids.h"

void
fq_once_writer_init (fq_once_writer_t *writer)
{
  fq_list_init (&writer->queue);
  fq_list_init (&writer->settled);
  for (size_t i = 0; i < FQ_ONCE_TRANSACTIONS_MAX; i++)
    {
      writer->transactions[i].id = 0;
      fq_list_init (&writer->transactions[i].writes);
    }
}

void
fq_once_write_init (fq_once_write_t *write, const char *key)
{
  *write = (fq_once_write_t){ .key = key };
  fq_list_init (&write->link);
}

static void
clear_values (fq_once_write_t *write)
{
  free (write->value);
  free (write->expected);
  free (write->current_value);
  write->value = NULL;
  write->expected = NULL;
  write->current_value = NULL;
}

void
fq_once_write_clear (fq_once_write_t *write)
{
  fq_list_remove (&write->link);
  clear_values (write);
  write->state = FQ_ONCE_WRITE_NONE;
}

static char *
copy_or_abort (const char *text)
{
  char *copy;

  if (text == NULL)
    return NULL;
  copy = strdup (text);
  if (copy == NULL)
    abort ();
  return copy;
}

void
fq_once_writer_submit (fq_once_writer_t *writer,
                       fq_once_write_t *write,
                       const char *value,
                       fq_store_condition_t condition,
                       const char *expected)
{
  char *new_value = copy_or_abort (value);
  char *new_expected = copy_or_abort (expected);

  fq_once_write_clear (write);
  write->value = new_value;
  write->expected = new_expected;
  write->condition = condition;
  write->state = FQ_ONCE_WRITE_QUEUED;
  fq_list_append (&writer->queue, &write->link);
}

static void
send_transaction (fq_once_writer_t *writer,
                  fq_once_transaction_t *transaction,
                  fq_id_t id,
                  fq_effects_t *effects)
{
  fq_store_op_t *op;
  fq_list_t *link;

  if (fq_store_op_new (&op, FQ_STORE_COMMIT, NULL) < 0)
    return;
  op->id = id;
  while (op->write_count < FQ_STORE_WRITES_MAX
         && (link = fq_list_first (&writer->queue)) != NULL)
    {
      fq_once_write_t *write = FQ_LIST_ENTRY (link, fq_once_write_t, link);

      if (fq_store_op_add_write (op, write->key, write->value, write->condition,
                                 write->expected)
          < 0)
        break;
      fq_list_remove (link);
      write->state = FQ_ONCE_WRITE_SENT;
      fq_list_append (&transaction->writes, link);
    }
  if (op->write_count == 0)
    {
      fq_store_op_free (op);
      return;
    }
  transaction->id = id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

void
fq_once_writer_flush (fq_once_writer_t *writer, uint64_t *op_count, fq_effects_t *effects)
{
  for (size_t i = 0; i < FQ_ONCE_TRANSACTIONS_MAX; i++)
    {
      fq_once_transaction_t *transaction = &writer->transactions[i];

      if (fq_list_is_empty (&writer->queue))
        return;
      if (transaction->id == 0)
        send_transaction (writer, transaction,
                          fq_store_op_id (FQ_STORE_OWNER_ONCE, ++*op_count), effects);
    }
}

static const char *
find_current_value (const fq_store_answer_t *answer, const char *key)
{
  for (size_t i = 0; i < answer->row_count; i++)
    {
      if (strcmp (answer->rows[i].key, key) == 0)
        return answer->rows[i].value;
    }
  return NULL;
}

static bool
condition_holds (const fq_once_write_t *write, const char *current_value)
{
  switch (write->condition)
    {
    case FQ_STORE_ANY:
      return true;
    case FQ_STORE_ABSENT:
      return current_value == NULL;
    case FQ_STORE_EQUALS:
      return current_value != NULL && strcmp (current_value, write->expected) == 0;
    }
  return false;
}

static void
settle (fq_once_writer_t *writer, fq_once_write_t *write, fq_once_write_result_t result)
{
  fq_list_remove (&write->link);
  write->state = FQ_ONCE_WRITE_SETTLED;
  write->result = result;
  fq_list_append (&writer->settled, &write->link);
}

static void
settle_all (fq_once_writer_t *writer, fq_list_t *writes, fq_once_write_result_t result)
{
  fq_list_t *link;

  while ((link = fq_list_first (writes)) != NULL)
    settle (writer, FQ_LIST_ENTRY (link, fq_once_write_t, link), result);
}

/* Settles the writes that conflict; the others stay in @writes. Returns false when no
 * write conflicts. */
static bool
settle_conflicts (fq_once_writer_t *writer,
                  fq_list_t *writes,
                  const fq_store_answer_t *answer)
{
  bool found = false;

  FQ_LIST_FOREACH_SAFE (link, following, writes)
  {
    fq_once_write_t *write = FQ_LIST_ENTRY (link, fq_once_write_t, link);
    const char *current_value = find_current_value (answer, write->key);

    if (condition_holds (write, current_value))
      continue;
    write->current_value = copy_or_abort (current_value);
    settle (writer, write, FQ_ONCE_WRITE_CONFLICT);
    found = true;
  }
  return found;
}

static void
requeue (fq_once_writer_t *writer, fq_list_t *writes)
{
  fq_list_t *link;

  while ((link = fq_list_last (writes)) != NULL)
    {
      fq_list_remove (link);
      FQ_LIST_ENTRY (link, fq_once_write_t, link)->state = FQ_ONCE_WRITE_QUEUED;
      fq_list_prepend (&writer->queue, link);
    }
}

static void
handle_answer (fq_once_writer_t *writer,
               fq_list_t *writes,
               const fq_store_answer_t *answer)
{
  switch (answer->status)
    {
    case FQ_STORE_DONE:
      settle_all (writer, writes, FQ_ONCE_WRITE_DONE);
      break;
    case FQ_STORE_BUSY:
      settle_all (writer, writes, FQ_ONCE_WRITE_REFUSED);
      break;
    case FQ_STORE_CONFLICT:
      /* If no write conflicts with the rows in the answer, a retry could loop forever. */
      if (!settle_conflicts (writer, writes, answer))
        settle_all (writer, writes, FQ_ONCE_WRITE_LOST);
      requeue (writer, writes);
      break;
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_UNAVAILABLE:
      settle_all (writer, writes, FQ_ONCE_WRITE_LOST);
      break;
    }
}

bool
fq_once_writer_handle_store_answer (fq_once_writer_t *writer,
                                    const fq_store_answer_t *answer)
{
  for (size_t i = 0; i < FQ_ONCE_TRANSACTIONS_MAX; i++)
    {
      fq_once_transaction_t *transaction = &writer->transactions[i];

      if (transaction->id != answer->id)
        continue;
      transaction->id = 0;
      handle_answer (writer, &transaction->writes, answer);
      return true;
    }
  return false;
}

fq_once_write_t *
fq_once_writer_take_settled (fq_once_writer_t *writer)
{
  fq_list_t *link = fq_list_first (&writer->settled);

  if (link == NULL)
    return NULL;
  fq_list_remove (link);
  FQ_LIST_ENTRY (link, fq_once_write_t, link)->state = FQ_ONCE_WRITE_NONE;
  return FQ_LIST_ENTRY (link, fq_once_write_t, link);
}
