/**
 * DOC: Claiming a key, or polling for the outcome of the attempt that holds it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"

/* A claim that the store refused or did not answer is retried for this long. */
#define FQ_ONCE_CLAIM_TIMEOUT_US (2 * FQ_MICROSECONDS_PER_SECOND)

static void
new_attempt (fq_once_entry_t *entry, fq_once_hash_t request_hash)
{
  fq_once_t *once = entry->once;
  fq_once_row_t row = {
    .state = FQ_ONCE_ROW_CLAIMED,
    .request_hash = request_hash,
    .claimed_ms = once->wall_ms,
  };

  fq_once_entry_clear_attempt (entry);
  snprintf (row.attempt, sizeof row.attempt, "%s.%llx.%llx.%016llx", once->node,
            (unsigned long long)once->incarnation,
            (unsigned long long)++once->attempt_count,
            (unsigned long long)fq_random_next (&once->random));
  entry->claim_row = row;
  entry->claim_value = fq_once_row_encode_or_abort (&row);
  row.state = FQ_ONCE_ROW_FREE;
  entry->release_value = fq_once_row_encode_or_abort (&row);
}

/*
 * Claims the key for the first waiter; without waiters the entry is freed. An earlier
 * attempt for the same request is reused: if its claim takes effect late, the row is
 * recognized as that of this gate.
 */
void
fq_once_entry_start_claim (fq_once_entry_t *entry)
{
  fq_once_waiter_t *leader = fq_once_entry_first_waiter (entry);

  if (leader == NULL)
    {
      fq_once_entry_free (entry);
      return;
    }
  fq_once_entry_set_state (entry, FQ_ONCE_CLAIMING);
  entry->is_bound = false;
  if (entry->claim_value == NULL
      || !fq_once_hash_equal (entry->claim_row.request_hash, leader->request_hash))
    new_attempt (entry, leader->request_hash);
  fq_once_entry_submit_write (entry, entry->claim_value, entry->replaced_value);
}

void
fq_once_claim_fetch_object (fq_once_entry_t *entry)
{
  char key[FQ_ONCE_KEY_BYTES];

  fq_once_object_key (key, sizeof key, entry->object_row.attempt);
  fq_once_entry_send_op (entry, FQ_STORE_OBJECT_GET, key, NULL);
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
  fq_once_entry_decide_all (entry, FQ_ONCE_REPLAY, &answer);
  fq_once_entry_free (entry);
}

static void
handle_row (fq_once_entry_t *entry, const fq_once_row_t *row, const char *value)
{
  if (row->state != FQ_ONCE_ROW_FREE)
    fq_once_entry_bind (entry, row->request_hash);
  if (fq_once_entry_first_waiter (entry) == NULL)
    {
      fq_once_entry_fail_claim (entry);
      return;
    }
  switch (row->state)
    {
    case FQ_ONCE_ROW_FREE:
      free (entry->replaced_value);
      entry->replaced_value = strdup (value);
      fq_once_entry_start_claim (entry);
      break;
    case FQ_ONCE_ROW_CLAIMED:
      if (entry->state != FQ_ONCE_POLLING)
        fq_once_entry_set_state (entry, FQ_ONCE_POLLING);
      fq_once_entry_arm_retry (entry, FQ_ONCE_POLL_BACKOFF_MAX_US);
      break;
    case FQ_ONCE_ROW_UNKNOWN:
      fq_once_entry_decide_all (entry, FQ_ONCE_UNKNOWN, NULL);
      fq_once_entry_free (entry);
      break;
    case FQ_ONCE_ROW_DONE:
      if (!row->in_object)
        {
          replay_row (entry, row, row->body);
          break;
        }
      fq_once_entry_set_state (entry, FQ_ONCE_FETCHING_OBJECT);
      entry->object_row = *row;
      fq_once_claim_fetch_object (entry);
      break;
    }
}

/*
 * The claim is stored: grants it to the first waiter whose request it is for. When no
 * such waiter is left, the claim is released.
 */
static void
grant (fq_once_entry_t *entry)
{
  FQ_LIST_FOREACH (link, &entry->waiters)
  {
    fq_once_waiter_t *waiter = FQ_LIST_ENTRY (link, fq_once_waiter_t, link);

    if (!fq_once_hash_equal (waiter->request_hash, entry->claim_row.request_hash))
      continue;
    fq_once_entry_set_state (entry, FQ_ONCE_HELD);
    fq_list_remove (link);
    fq_timer_cancel (&waiter->timer);
    entry->holder = waiter;
    fq_once_add_verdict (waiter, FQ_ONCE_GRANTED, NULL);
    fq_once_entry_bind (entry, entry->claim_row.request_hash);
    return;
  }
  fq_once_entry_set_state (entry, FQ_ONCE_HELD);
  fq_once_entry_release_claim (entry);
}

/*
 * Handles the value that the store has under the key. It can be the claim of this entry,
 * if that took effect after its answer was lost.
 */
static void
handle_row_value (fq_once_entry_t *entry, const char *value)
{
  fq_once_row_t row;

  if (fq_once_value_equal (value, entry->claim_value))
    {
      grant (entry);
      return;
    }
  if (fq_once_row_decode (&row, value) < 0)
    {
      fq_effects_log (
          entry->once->effects, FQ_LOG_ERROR, "once",
          "A row under an idempotency key is malformed; its outcome is unknown.");
      fq_once_entry_decide_all (entry, FQ_ONCE_UNKNOWN, NULL);
      fq_once_entry_free (entry);
      return;
    }
  handle_row (entry, &row, value);
  fq_once_row_clear (&row);
}

void
fq_once_entry_fail_claim (fq_once_entry_t *entry)
{
  fq_once_entry_decide_all (entry, FQ_ONCE_UNAVAILABLE, NULL);
  if (entry->ambiguous)
    fq_once_entry_release_claim (entry);
  else
    fq_once_entry_free (entry);
}

static void
claim_write_failed (fq_once_entry_t *entry)
{
  fq_once_t *once = entry->once;

  if (entry->write.result == FQ_ONCE_WRITE_LOST)
    entry->ambiguous = true;
  if (fq_once_store_is_down (once) || fq_once_entry_first_waiter (entry) == NULL
      || once->now - entry->state_since >= FQ_ONCE_CLAIM_TIMEOUT_US)
    fq_once_entry_fail_claim (entry);
  else
    fq_once_entry_arm_retry (entry, FQ_ONCE_POLL_BACKOFF_MAX_US);
}

static void
claim_conflicted (fq_once_entry_t *entry)
{
  char *current_value = entry->write.current_value;

  entry->write.current_value = NULL;
  if (current_value == NULL)
    {
      /* The free row, which the claim was to replace, has been removed. */
      free (entry->replaced_value);
      entry->replaced_value = NULL;
      fq_once_entry_start_claim (entry);
    }
  else
    handle_row_value (entry, current_value);
  free (current_value);
}

void
fq_once_claim_write_settled (fq_once_entry_t *entry)
{
  switch (entry->write.result)
    {
    case FQ_ONCE_WRITE_DONE:
      grant (entry);
      break;
    case FQ_ONCE_WRITE_CONFLICT:
      claim_conflicted (entry);
      break;
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      claim_write_failed (entry);
      break;
    }
}

void
fq_once_claim_poll_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  if (fq_once_entry_first_waiter (entry) == NULL)
    fq_once_entry_free (entry);
  else if (answer->status == FQ_STORE_DONE && answer->row_count > 0)
    handle_row_value (entry, answer->rows[0].value);
  else if (answer->status == FQ_STORE_NOT_FOUND)
    {
      free (entry->replaced_value);
      entry->replaced_value = NULL;
      fq_once_entry_start_claim (entry);
    }
  else
    fq_once_entry_arm_retry (entry, FQ_ONCE_POLL_BACKOFF_MAX_US);
}

void
fq_once_claim_object_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer)
{
  fq_blob_t *body = NULL;

  if (answer->status == FQ_STORE_UNAVAILABLE || answer->status == FQ_STORE_BUSY)
    {
      fq_once_entry_arm_retry (entry, FQ_ONCE_POLL_BACKOFF_MAX_US);
      return;
    }
  if (answer->status == FQ_STORE_DONE && answer->row_count > 0
      && fq_once_body_decode (&body, answer->rows[0].value) == FQ_OK)
    {
      fq_once_row_t row = entry->object_row;

      replay_row (entry, &row, body);
      fq_blob_unref (body);
      return;
    }
  fq_once_entry_decide_all (entry, FQ_ONCE_UNKNOWN, NULL);
  fq_once_entry_free (entry);
}
