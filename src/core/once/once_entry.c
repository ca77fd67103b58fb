/**
 * DOC: Entries: creation, state changes, waiters, and dispatch of events by state.
 */
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"
#include "core/store_op_ids.h"

fq_once_entry_t *
fq_once_entry_new (fq_once_t *once, const char *key, uint64_t hash)
{
  fq_once_entry_t *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return NULL;
  entry->once = once;
  entry->key = strdup (key);
  entry->hash = hash;
  entry->state_since = once->now;
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
fq_once_value_equal (const char *a, const char *b)
{
  return a != NULL && b != NULL && strcmp (a, b) == 0;
}

void
fq_once_entry_clear_attempt (fq_once_entry_t *entry)
{
  free (entry->claim_value);
  free (entry->release_value);
  entry->claim_value = NULL;
  entry->release_value = NULL;
  entry->ambiguous = false;
}

static void
clear_answer (fq_once_entry_t *entry)
{
  if (entry->answer.body != NULL)
    entry->once->pending_bytes -= entry->answer.body->size;
  fq_blob_unref (entry->answer.body);
  entry->answer.body = NULL;
}

void
fq_once_entry_free (fq_once_entry_t *entry)
{
  fq_once_t *once = entry->once;

  fq_map_remove (&once->entries, entry->hash);
  fq_map_remove (&once->entries_by_op, entry->op);
  fq_timer_cancel (&entry->timer);
  fq_once_write_clear (&entry->write);
  fq_once_entry_clear_attempt (entry);
  clear_answer (entry);
  fq_once_row_clear (&entry->object_row);
  free (entry->replaced_value);
  free (entry->record_value);
  free (entry->key);
  free (entry);
}

void
fq_once_entry_set_state (fq_once_entry_t *entry, fq_once_state_t state)
{
  entry->state = state;
  entry->state_since = entry->once->now;
  entry->retry_count = 0;
  fq_timer_cancel (&entry->timer);
}

void
fq_once_entry_arm_retry (fq_once_entry_t *entry, fq_time_t max_delay)
{
  fq_once_t *once = entry->once;

  fq_wheel_arm (&once->wheel, &entry->timer,
                once->now + fq_once_backoff (once, entry->retry_count++, max_delay));
}

fq_once_waiter_t *
fq_once_entry_first_waiter (const fq_once_entry_t *entry)
{
  fq_list_t *link = fq_list_first (&entry->waiters);

  return link == NULL ? NULL : FQ_LIST_ENTRY (link, fq_once_waiter_t, link);
}

void
fq_once_entry_decide_all (fq_once_entry_t *entry,
                          fq_once_verdict_kind_t kind,
                          const fq_answer_t *answer)
{
  fq_once_waiter_t *waiter;

  while ((waiter = fq_once_entry_first_waiter (entry)) != NULL)
    fq_once_add_verdict (waiter, kind, answer);
}

/* Binds the key to a request; waiters with a different one get FQ_ONCE_KEY_REUSED. */
void
fq_once_entry_bind (fq_once_entry_t *entry, fq_once_hash_t request_hash)
{
  entry->is_bound = true;
  entry->bound_hash = request_hash;
  FQ_LIST_FOREACH_SAFE (link, following, &entry->waiters)
  {
    fq_once_waiter_t *waiter = FQ_LIST_ENTRY (link, fq_once_waiter_t, link);

    if (!fq_once_hash_equal (waiter->request_hash, request_hash))
      fq_once_add_verdict (waiter, FQ_ONCE_KEY_REUSED, NULL);
  }
}

char *
fq_once_row_encode_or_abort (const fq_once_row_t *row)
{
  char *text = fq_once_row_encode (row);

  if (text == NULL)
    abort ();
  return text;
}

void
fq_once_entry_submit_write (fq_once_entry_t *entry,
                            const char *value,
                            const char *expected)
{
  fq_once_writer_submit (&entry->once->writer, &entry->write, value,
                         expected == NULL ? FQ_STORE_ABSENT : FQ_STORE_EQUALS, expected);
}

void
fq_once_entry_send_op (fq_once_entry_t *entry,
                       fq_store_kind_t kind,
                       const char *key,
                       char *value)
{
  fq_once_t *once = entry->once;
  fq_store_op_t *op;

  if (fq_store_op_new (&op, kind, key) < 0)
    abort ();
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++once->op_count);
  op->value = value;
  entry->op = op->id;
  if (fq_map_set (&once->entries_by_op, op->id, entry) < 0)
    abort ();
  fq_effects_add (once->effects, FQ_EFFECT_STORE)->store = op;
}

void
fq_once_entry_write_settled (fq_once_entry_t *entry)
{
  switch (entry->state)
    {
    case FQ_ONCE_CLAIMING:
      fq_once_claim_write_settled (entry);
      break;
    case FQ_ONCE_RELEASING:
      fq_once_release_write_settled (entry);
      break;
    case FQ_ONCE_RECORDING:
      fq_once_record_write_settled (entry);
      break;
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING_OBJECT:
    case FQ_ONCE_HELD:
    case FQ_ONCE_STORING_OBJECT:
      break;
    }
}

void
fq_once_entry_op_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
      fq_once_claim_poll_answered (entry, answer);
      break;
    case FQ_ONCE_FETCHING_OBJECT:
      fq_once_claim_object_answered (entry, answer);
      break;
    case FQ_ONCE_STORING_OBJECT:
      if (answer->status == FQ_STORE_DONE)
        fq_once_record_write_row (entry);
      else
        fq_once_entry_arm_retry (entry, FQ_ONCE_WRITE_BACKOFF_MAX_US);
      break;
    case FQ_ONCE_CLAIMING:
    case FQ_ONCE_HELD:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      break;
    }
}

/*
 * While the store is down, an operation that is due is postponed and a probe requested:
 * one probe serves all entries. Claims are excepted.
 */
static bool
postpone_while_store_down (fq_once_entry_t *entry)
{
  if (!fq_once_store_is_down (entry->once) || entry->state == FQ_ONCE_CLAIMING)
    return false;
  entry->once->probe_requested = true;
  fq_once_entry_arm_retry (entry, FQ_ONCE_WRITE_BACKOFF_MAX_US);
  return true;
}

void
fq_once_entry_timer_fired (fq_once_entry_t *entry)
{
  const fq_once_write_t *write = &entry->write;

  if (postpone_while_store_down (entry))
    return;
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
      fq_once_entry_send_op (entry, FQ_STORE_GET, entry->key, NULL);
      break;
    case FQ_ONCE_FETCHING_OBJECT:
      fq_once_claim_fetch_object (entry);
      break;
    case FQ_ONCE_STORING_OBJECT:
      fq_once_record_put_object (entry);
      break;
    case FQ_ONCE_CLAIMING:
      if (fq_once_entry_first_waiter (entry) == NULL)
        fq_once_entry_fail_claim (entry);
      else
        fq_once_entry_submit_write (entry, entry->claim_value, entry->replaced_value);
      break;
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      fq_once_entry_submit_write (entry, write->value,
                                  write->condition == FQ_STORE_EQUALS ? write->expected
                                                                      : NULL);
      break;
    case FQ_ONCE_HELD:
      break;
    }
}

/* Adds a waiter; it may get its verdict at once. */
void
fq_once_entry_add_waiter (fq_once_entry_t *entry, fq_once_waiter_t *waiter)
{
  bool is_new = entry->claim_value == NULL && fq_list_is_empty (&entry->waiters)
                && entry->state == FQ_ONCE_CLAIMING;

  waiter->entry = entry;
  fq_list_append (&entry->waiters, &waiter->link);
  if (is_new)
    fq_once_entry_start_claim (entry);
  else if (entry->is_bound
           && !fq_once_hash_equal (waiter->request_hash, entry->bound_hash))
    fq_once_add_verdict (waiter, FQ_ONCE_KEY_REUSED, NULL);
  else if (entry->state == FQ_ONCE_STORING_OBJECT || entry->state == FQ_ONCE_RECORDING)
    fq_once_record_decide_waiters (entry);
  else if (entry->state == FQ_ONCE_RELEASING && fq_once_store_is_down (entry->once))
    fq_once_add_verdict (waiter, FQ_ONCE_UNAVAILABLE, NULL);
}

/*
 * Called after a waiter was removed. Without waiters, an entry is freed if it only polls
 * for the outcome of another attempt, or if its claim is neither sent nor ambiguous.
 */
void
fq_once_entry_waiter_left (fq_once_entry_t *entry)
{
  if (fq_once_entry_first_waiter (entry) != NULL)
    return;
  switch (entry->state)
    {
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING_OBJECT:
      fq_once_entry_free (entry);
      break;
    case FQ_ONCE_CLAIMING:
      if (!entry->ambiguous && entry->write.state != FQ_ONCE_WRITE_SENT)
        fq_once_entry_free (entry);
      break;
    case FQ_ONCE_HELD:
    case FQ_ONCE_STORING_OBJECT:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      break;
    }
}
