/**
 * DOC: After a grant: storing the outcome of the run, or releasing the claim.
 */
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"

/* A larger body is stored as an object, not in the row. */
#define FQ_ONCE_INLINE_BODY_MAX 8192
/* The limit for the bodies that are not stored yet; beyond it, answers are not stored. */
#define FQ_ONCE_PENDING_BYTES_MAX (32u << 20)

/*
 * Replaces the claim by a free row instead of deleting it: a claim whose answer was lost
 * may take effect at any later time, and would succeed if there were no row.
 */
void
fq_once_entry_release_claim (fq_once_entry_t *entry)
{
  bool is_claim_stored = entry->state == FQ_ONCE_HELD;

  fq_once_entry_set_state (entry, FQ_ONCE_RELEASING);
  entry->is_bound = false;
  fq_once_entry_submit_write (entry, entry->release_value,
                              is_claim_stored ? entry->claim_value : NULL);
}

static void
release_stored (fq_once_entry_t *entry, bool is_free_row_stored)
{
  free (entry->replaced_value);
  entry->replaced_value = NULL;
  if (is_free_row_stored)
    {
      entry->replaced_value = entry->release_value;
      entry->release_value = NULL;
    }
  fq_once_entry_clear_attempt (entry);
  fq_once_entry_start_claim (entry);
}

/*
 * The release was refused because the stored row is not the expected one. If the row is
 * the claim of this attempt or the free row that the claim replaces, or if there is no
 * row, the release is retried on condition of that. Any other row ends the release.
 */
static void
release_conflicted (fq_once_entry_t *entry)
{
  char *current_value = entry->write.current_value;

  entry->write.current_value = NULL;
  if (current_value == NULL || fq_once_value_equal (current_value, entry->claim_value)
      || fq_once_value_equal (current_value, entry->replaced_value))
    fq_once_entry_submit_write (entry, entry->release_value, current_value);
  else
    release_stored (entry, fq_once_value_equal (current_value, entry->release_value));
  free (current_value);
}

void
fq_once_release_write_settled (fq_once_entry_t *entry)
{
  switch (entry->write.result)
    {
    case FQ_ONCE_WRITE_DONE:
      release_stored (entry, true);
      break;
    case FQ_ONCE_WRITE_CONFLICT:
      release_conflicted (entry);
      break;
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      if (fq_once_store_is_down (entry->once))
        fq_once_entry_decide_all (entry, FQ_ONCE_UNAVAILABLE, NULL);
      fq_once_entry_arm_retry (entry, FQ_ONCE_WRITE_BACKOFF_MAX_US);
      break;
    }
}

void
fq_once_record_write_settled (fq_once_entry_t *entry)
{
  const char *current_value = entry->write.current_value;

  switch (entry->write.result)
    {
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      fq_once_entry_arm_retry (entry, FQ_ONCE_WRITE_BACKOFF_MAX_US);
      return;
    case FQ_ONCE_WRITE_CONFLICT:
      if (!fq_once_value_equal (current_value, entry->record_value))
        fq_effects_log (entry->once->effects, FQ_LOG_ERROR, "once",
                        "The claim of a finished run is no longer in the store; its "
                        "outcome is not stored.");
      break;
    case FQ_ONCE_WRITE_DONE:
      break;
    }
  fq_once_entry_free (entry);
}

void
fq_once_record_write_row (fq_once_entry_t *entry)
{
  fq_once_entry_set_state (entry, FQ_ONCE_RECORDING);
  fq_once_entry_submit_write (entry, entry->record_value, entry->claim_value);
}

void
fq_once_record_put_object (fq_once_entry_t *entry)
{
  char key[FQ_ONCE_KEY_BYTES];
  char *text = fq_once_body_encode (entry->answer.body);

  if (text == NULL)
    abort ();
  fq_once_object_key (key, sizeof key, entry->claim_row.attempt);
  fq_once_entry_send_op (entry, FQ_STORE_OBJECT_PUT, key, text);
}

void
fq_once_record_decide_waiters (fq_once_entry_t *entry)
{
  if (entry->answer.outcome == FQ_OUTCOME_ANSWERED)
    fq_once_entry_decide_all (entry, FQ_ONCE_REPLAY, &entry->answer);
  else
    fq_once_entry_decide_all (entry, FQ_ONCE_UNKNOWN, NULL);
}

void
fq_once_entry_record_outcome (fq_once_entry_t *entry, const fq_answer_t *answer)
{
  fq_once_t *once = entry->once;
  fq_once_row_t row = entry->claim_row;
  size_t size = answer->body == NULL ? 0 : answer->body->size;
  bool whole = answer->outcome == FQ_OUTCOME_ANSWERED;

  entry->answer = *answer;
  fq_blob_ref (answer->body);
  once->pending_bytes += size;
  fq_once_record_decide_waiters (entry);
  if (once->pending_bytes > FQ_ONCE_PENDING_BYTES_MAX)
    {
      fq_effects_log (
          once->effects, FQ_LOG_WARNING, "once",
          "An answer is not stored: too many bytes are waiting for the store.");
      fq_once_entry_free (entry);
      return;
    }
  row.state = whole ? FQ_ONCE_ROW_DONE : FQ_ONCE_ROW_UNKNOWN;
  row.status = answer->status;
  memcpy (row.content_type, answer->content_type, sizeof row.content_type);
  row.in_object = whole && size > FQ_ONCE_INLINE_BODY_MAX;
  row.body = row.in_object ? NULL : answer->body;
  entry->record_value = fq_once_row_encode_or_abort (&row);
  if (!row.in_object)
    {
      fq_once_record_write_row (entry);
      return;
    }
  fq_once_entry_set_state (entry, FQ_ONCE_STORING_OBJECT);
  fq_once_record_put_object (entry);
}
