/**
 * DOC: What is common to the life of one key, and how its events are dispatched.
 */
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"
#include "core/store_ids.h"

fq_once_entry_t *
fq_once_entry_new (fq_once_t *once, const char *key, uint64_t hash)
{
  fq_once_entry_t *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return NULL;
  entry->once = once;
  entry->key = strdup (key);
  entry->hash = hash;
  entry->since = once->now;
  fq_list_init (&entry->waiters);
  fq_timer_init (&entry->timer, FQ_ONCE_TIMER_ENTRY);
  fq_once_write_init (&entry->write, entry->key);
  if (entry->key == NULL || fq_map_set (&once->entries, hash, entry) < 0)
    {
      free (entry->key);
      free (entry);
      return NULL;
    }
  return entry;
}

bool
fq_once_same_text (const char *a, const char *b)
{
  return a != NULL && b != NULL && strcmp (a, b) == 0;
}

void
fq_once_entry_forget_attempt (fq_once_entry_t *entry)
{
  free (entry->own_value);
  free (entry->free_value);
  entry->own_value = NULL;
  entry->free_value = NULL;
  entry->ambiguous = false;
}

static void
forget_answer (fq_once_entry_t *entry)
{
  if (entry->answer.body != NULL)
    entry->once->kept_bytes -= entry->answer.body->size;
  fq_blob_unref (entry->answer.body);
  entry->answer.body = NULL;
}

void
fq_once_entry_free (fq_once_entry_t *entry)
{
  fq_once_t *once = entry->once;

  fq_map_remove (&once->entries, entry->hash);
  fq_map_remove (&once->by_op, entry->op);
  fq_timer_cancel (&entry->timer);
  fq_once_write_clear (&entry->write);
  fq_once_entry_forget_attempt (entry);
  forget_answer (entry);
  fq_once_row_clear (&entry->found);
  free (entry->taken_over);
  free (entry->record);
  free (entry->key);
  free (entry);
}

void
fq_once_entry_enter (fq_once_entry_t *entry, fq_once_state_t state)
{
  entry->state = state;
  entry->since = entry->once->now;
  entry->tries = 0;
  fq_timer_cancel (&entry->timer);
}

void
fq_once_entry_try_later (fq_once_entry_t *entry, fq_time_t most)
{
  fq_once_t *once = entry->once;

  fq_wheel_arm (&once->wheel, &entry->timer,
                once->now + fq_once_backoff (once, entry->tries++, most));
}

fq_once_waiter_t *
fq_once_entry_first (const fq_once_entry_t *entry)
{
  fq_list_t *link = fq_list_first (&entry->waiters);

  return link == NULL ? NULL : FQ_LIST_ENTRY (link, fq_once_waiter_t, link);
}

void
fq_once_entry_decide (fq_once_entry_t *entry,
                      fq_once_verdict_kind_t kind,
                      const fq_answer_t *answer)
{
  fq_once_waiter_t *waiter;

  while ((waiter = fq_once_entry_first (entry)) != NULL)
    fq_once_decide (waiter, kind, answer);
}

/* The key stands for @request now; waiters with another one are refused. */
void
fq_once_entry_bind (fq_once_entry_t *entry, fq_once_hash_t request)
{
  entry->is_bound = true;
  entry->bound = request;
  FQ_LIST_FOREACH_SAFE (link, following, &entry->waiters)
  {
    fq_once_waiter_t *waiter = FQ_LIST_ENTRY (link, fq_once_waiter_t, link);

    if (!fq_once_hash_equal (waiter->request, request))
      fq_once_decide (waiter, FQ_ONCE_KEY_REUSED, NULL);
  }
}

char *
fq_once_row_text (const fq_once_row_t *row)
{
  char *text = fq_once_row_write (row);

  if (text == NULL)
    abort ();
  return text;
}

void
fq_once_entry_submit (fq_once_entry_t *entry, const char *value, const char *expected)
{
  fq_once_writer_submit (&entry->once->writer, &entry->write, value,
                         expected == NULL ? FQ_STORE_ABSENT : FQ_STORE_EQUALS, expected);
}

void
fq_once_entry_ask (fq_once_entry_t *entry,
                   fq_store_kind_t kind,
                   const char *key,
                   char *value)
{
  fq_once_t *once = entry->once;
  fq_store_op_t *op;

  if (fq_store_op_new (&op, kind, key) < 0)
    abort ();
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++once->ops);
  op->value = value;
  entry->op = op->id;
  if (fq_map_set (&once->by_op, op->id, entry) < 0)
    abort ();
  fq_effects_add (once->effects, FQ_EFFECT_STORE)->store = op;
}

void
fq_once_entry_written (fq_once_entry_t *entry)
{
  switch (entry->state)
    {
    case FQ_ONCE_CLAIMING:
      fq_once_claim_written (entry);
      break;
    case FQ_ONCE_RELEASING:
      fq_once_release_written (entry);
      break;
    case FQ_ONCE_RECORDING:
      fq_once_record_written (entry);
      break;
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING:
    case FQ_ONCE_HELD:
    case FQ_ONCE_STORING:
      break;
    }
}

void
fq_once_entry_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
      fq_once_claim_polled (entry, answer);
      break;
    case FQ_ONCE_FETCHING:
      fq_once_claim_fetched (entry, answer);
      break;
    case FQ_ONCE_STORING:
      if (answer->status == FQ_STORE_DONE)
        fq_once_record_row (entry);
      else
        fq_once_entry_try_later (entry, FQ_ONCE_WRITE_MOST_US);
      break;
    case FQ_ONCE_CLAIMING:
    case FQ_ONCE_HELD:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      break;
    }
}

/* While the store is down one probe speaks for all that wait to be written. */
static bool
waits_for_probe (fq_once_entry_t *entry)
{
  if (!fq_once_is_down (entry->once) || entry->state == FQ_ONCE_CLAIMING)
    return false;
  entry->once->probe_wanted = true;
  fq_once_entry_try_later (entry, FQ_ONCE_WRITE_MOST_US);
  return true;
}

void
fq_once_entry_expired (fq_once_entry_t *entry)
{
  const fq_once_write_t *write = &entry->write;

  if (waits_for_probe (entry))
    return;
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
      fq_once_entry_ask (entry, FQ_STORE_GET, entry->key, NULL);
      break;
    case FQ_ONCE_FETCHING:
      fq_once_claim_fetch (entry);
      break;
    case FQ_ONCE_STORING:
      fq_once_record_object (entry);
      break;
    case FQ_ONCE_CLAIMING:
      if (fq_once_entry_first (entry) == NULL)
        fq_once_entry_fail (entry);
      else
        fq_once_entry_submit (entry, entry->own_value, entry->taken_over);
      break;
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      fq_once_entry_submit (entry, write->value,
                            write->condition == FQ_STORE_EQUALS ? write->expected : NULL);
      break;
    case FQ_ONCE_HELD:
      break;
    }
}

/* One more run wants the key. */
void
fq_once_entry_join (fq_once_entry_t *entry, fq_once_waiter_t *waiter)
{
  bool is_new = entry->own_value == NULL && fq_list_is_empty (&entry->waiters)
                && entry->state == FQ_ONCE_CLAIMING;

  waiter->entry = entry;
  fq_list_append (&entry->waiters, &waiter->link);
  if (is_new)
    fq_once_entry_begin (entry);
  else if (entry->is_bound && !fq_once_hash_equal (waiter->request, entry->bound))
    fq_once_decide (waiter, FQ_ONCE_KEY_REUSED, NULL);
  else if (entry->state == FQ_ONCE_STORING || entry->state == FQ_ONCE_RECORDING)
    fq_once_record_replay (entry);
  else if (entry->state == FQ_ONCE_RELEASING && fq_once_is_down (entry->once))
    fq_once_decide (waiter, FQ_ONCE_UNAVAILABLE, NULL);
}

/* A waiter left; without any, what leaves no trace in the store is dropped. */
void
fq_once_entry_left (fq_once_entry_t *entry)
{
  if (fq_once_entry_first (entry) != NULL)
    return;
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING:
      fq_once_entry_free (entry);
      break;
    case FQ_ONCE_CLAIMING:
      if (!entry->ambiguous && entry->write.state != FQ_ONCE_WRITE_SENT)
        fq_once_entry_free (entry);
      break;
    case FQ_ONCE_HELD:
    case FQ_ONCE_STORING:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      break;
    }
}
