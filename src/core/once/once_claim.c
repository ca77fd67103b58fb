/**
 * DOC: From the wish to run to a verdict: claiming a key, or following another attempt.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"

#define FQ_ONCE_CLAIM_PATIENCE_US (2 * FQ_MICROSECONDS_PER_SECOND)

static void
new_attempt (fq_once_entry_t *entry, fq_once_hash_t request)
{
  fq_once_t *once = entry->once;
  fq_once_row_t row = {
    .state = FQ_ONCE_ROW_CLAIMED,
    .request = request,
    .claimed_ms = once->wall_ms,
  };

  fq_once_entry_forget_attempt (entry);
  snprintf (row.attempt, sizeof row.attempt, "%s.%llx.%llx.%016llx", once->node,
            (unsigned long long)once->incarnation, (unsigned long long)++once->attempts,
            (unsigned long long)fq_random_next (&once->random));
  entry->own = row;
  entry->own_value = fq_once_row_text (&row);
  row.state = FQ_ONCE_ROW_FREE;
  entry->free_value = fq_once_row_text (&row);
}

/*
 * Claims the key for the first waiter. An attempt whose row may still appear keeps its
 * name as long as it fits, so that the late row is known as ours.
 */
void
fq_once_entry_begin (fq_once_entry_t *entry)
{
  fq_once_waiter_t *leader = fq_once_entry_first (entry);

  if (leader == NULL)
    {
      fq_once_entry_free (entry);
      return;
    }
  fq_once_entry_enter (entry, FQ_ONCE_CLAIMING);
  entry->is_bound = false;
  if (entry->own_value == NULL
      || !fq_once_hash_equal (entry->own.request, leader->request))
    new_attempt (entry, leader->request);
  fq_once_entry_submit (entry, entry->own_value, entry->taken_over);
}

void
fq_once_claim_fetch (fq_once_entry_t *entry)
{
  char key[FQ_ONCE_KEY_BYTES];

  fq_once_object_key (key, sizeof key, entry->found.attempt);
  fq_once_entry_ask (entry, FQ_STORE_OBJECT_GET, key, NULL);
}

static void
replay_row (fq_once_entry_t *entry, const fq_once_row_t *row, fq_blob_t *body)
{
  fq_answer_t answer = {
    .outcome = FQ_OUTCOME_ANSWERED,
    .status = row->status,
    .load = { .shed_class = FQ_CLASS_COUNT },
    .body = body,
  };

  memcpy (answer.content_type, row->content_type, sizeof answer.content_type);
  fq_once_entry_decide (entry, FQ_ONCE_REPLAY, &answer);
  fq_once_entry_free (entry);
}

static void
take_found (fq_once_entry_t *entry, const fq_once_row_t *row, const char *value)
{
  if (row->state != FQ_ONCE_ROW_FREE)
    fq_once_entry_bind (entry, row->request);
  if (fq_once_entry_first (entry) == NULL)
    {
      fq_once_entry_fail (entry);
      return;
    }
  switch (row->state)
    {
    case FQ_ONCE_ROW_FREE:
      free (entry->taken_over);
      entry->taken_over = strdup (value);
      fq_once_entry_begin (entry);
      break;
    case FQ_ONCE_ROW_CLAIMED:
      if (entry->state != FQ_ONCE_POLLING)
        fq_once_entry_enter (entry, FQ_ONCE_POLLING);
      fq_once_entry_try_later (entry, FQ_ONCE_POLL_MOST_US);
      break;
    case FQ_ONCE_ROW_UNKNOWN:
      fq_once_entry_decide (entry, FQ_ONCE_UNKNOWN, NULL);
      fq_once_entry_free (entry);
      break;
    case FQ_ONCE_ROW_DONE:
      if (!row->in_object)
        {
          replay_row (entry, row, row->body);
          break;
        }
      fq_once_entry_enter (entry, FQ_ONCE_FETCHING);
      entry->found = *row;
      fq_once_claim_fetch (entry);
      break;
    }
}

/* Our row is in the store: one waiter, and no other run anywhere, is granted. */
static void
grant (fq_once_entry_t *entry)
{
  FQ_LIST_FOREACH (link, &entry->waiters)
  {
    fq_once_waiter_t *waiter = FQ_LIST_ENTRY (link, fq_once_waiter_t, link);

    if (!fq_once_hash_equal (waiter->request, entry->own.request))
      continue;
    fq_once_entry_enter (entry, FQ_ONCE_HELD);
    fq_list_remove (link);
    fq_timer_cancel (&waiter->timer);
    entry->holder = waiter;
    fq_once_decide (waiter, FQ_ONCE_GRANTED, NULL);
    fq_once_entry_bind (entry, entry->own.request);
    return;
  }
  fq_once_entry_enter (entry, FQ_ONCE_HELD);
  fq_once_entry_release (entry);
}

/* A row stands under the key; ours may have appeared after its answer was lost. */
static void
take_row (fq_once_entry_t *entry, const char *value)
{
  fq_once_row_t row;

  if (fq_once_same_text (value, entry->own_value))
    {
      grant (entry);
      return;
    }
  if (fq_once_row_read (&row, value) < 0)
    {
      fq_effects_log (entry->once->effects, FQ_LOG_ERROR, "once",
                      "The row of a claim can't be read.");
      fq_once_entry_decide (entry, FQ_ONCE_UNKNOWN, NULL);
      fq_once_entry_free (entry);
      return;
    }
  take_found (entry, &row, value);
  fq_once_row_clear (&row);
}

void
fq_once_entry_fail (fq_once_entry_t *entry)
{
  fq_once_entry_decide (entry, FQ_ONCE_UNAVAILABLE, NULL);
  if (entry->ambiguous)
    fq_once_entry_release (entry);
  else
    fq_once_entry_free (entry);
}

static void
claim_not_settled (fq_once_entry_t *entry)
{
  fq_once_t *once = entry->once;

  if (entry->write.end == FQ_ONCE_WRITE_LOST)
    entry->ambiguous = true;
  if (fq_once_is_down (once) || fq_once_entry_first (entry) == NULL
      || once->now - entry->since >= FQ_ONCE_CLAIM_PATIENCE_US)
    fq_once_entry_fail (entry);
  else
    fq_once_entry_try_later (entry, FQ_ONCE_POLL_MOST_US);
}

static void
claim_conflicted (fq_once_entry_t *entry)
{
  char *present = entry->write.present;

  entry->write.present = NULL;
  if (present == NULL)
    {
      /* The free row was removed meanwhile. */
      free (entry->taken_over);
      entry->taken_over = NULL;
      fq_once_entry_begin (entry);
    }
  else
    take_row (entry, present);
  free (present);
}

void
fq_once_claim_written (fq_once_entry_t *entry)
{
  switch (entry->write.end)
    {
    case FQ_ONCE_WRITE_DONE:
      grant (entry);
      break;
    case FQ_ONCE_WRITE_CONFLICT:
      claim_conflicted (entry);
      break;
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      claim_not_settled (entry);
      break;
    }
}

void
fq_once_claim_polled (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  if (fq_once_entry_first (entry) == NULL)
    fq_once_entry_free (entry);
  else if (answer->status == FQ_STORE_DONE && answer->row_count > 0)
    take_row (entry, answer->rows[0].value);
  else if (answer->status == FQ_STORE_NOT_FOUND)
    {
      free (entry->taken_over);
      entry->taken_over = NULL;
      fq_once_entry_begin (entry);
    }
  else
    fq_once_entry_try_later (entry, FQ_ONCE_POLL_MOST_US);
}

void
fq_once_claim_fetched (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  fq_blob_t *body = NULL;

  if (answer->status == FQ_STORE_UNAVAILABLE || answer->status == FQ_STORE_BUSY)
    {
      fq_once_entry_try_later (entry, FQ_ONCE_POLL_MOST_US);
      return;
    }
  if (answer->status == FQ_STORE_DONE && answer->row_count > 0
      && fq_once_body_read (&body, answer->rows[0].value) == FQ_OK)
    {
      fq_once_row_t row = entry->found;

      replay_row (entry, &row, body);
      fq_blob_unref (body);
      return;
    }
  fq_once_entry_decide (entry, FQ_ONCE_UNKNOWN, NULL);
  fq_once_entry_free (entry);
}
