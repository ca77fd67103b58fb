/**
 * DOC: After a grant: keeping the outcome of a run, or releasing a claim that won't run.
 */
#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"

#define FQ_ONCE_INLINE_BYTES 8192          /* of body; a larger one becomes an object */
#define FQ_ONCE_KEPT_BYTES_MAX (32u << 20) /* of bodies on their way to the store */

/*
 * A free row is left in place of our claim, never no row: a claim whose answer was lost
 * may take effect at any later time, and must find that some row stands.
 */
void
fq_once_entry_release (fq_once_entry_t *entry)
{
  bool stands = entry->state == FQ_ONCE_HELD;

  fq_once_entry_enter (entry, FQ_ONCE_RELEASING);
  entry->is_bound = false;
  fq_once_entry_submit (entry, entry->free_value, stands ? entry->own_value : NULL);
}

static void
released (fq_once_entry_t *entry, bool free_row_stands)
{
  free (entry->taken_over);
  entry->taken_over = NULL;
  if (free_row_stands)
    {
      entry->taken_over = entry->free_value;
      entry->free_value = NULL;
    }
  fq_once_entry_forget_attempt (entry);
  fq_once_entry_begin (entry);
}

/* Another row stands where ours was thought to be. */
static void
release_conflicted (fq_once_entry_t *entry)
{
  char *present = entry->write.present;

  entry->write.present = NULL;
  if (present == NULL || fq_once_same_text (present, entry->own_value)
      || fq_once_same_text (present, entry->taken_over))
    fq_once_entry_submit (entry, entry->free_value, present);
  else
    released (entry, fq_once_same_text (present, entry->free_value));
  free (present);
}

void
fq_once_release_written (fq_once_entry_t *entry)
{
  switch (entry->write.end)
    {
    case FQ_ONCE_WRITE_DONE:
      released (entry, true);
      break;
    case FQ_ONCE_WRITE_CONFLICT:
      release_conflicted (entry);
      break;
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      if (fq_once_is_down (entry->once))
        fq_once_entry_decide (entry, FQ_ONCE_UNAVAILABLE, NULL);
      fq_once_entry_try_later (entry, FQ_ONCE_WRITE_MOST_US);
      break;
    }
}

void
fq_once_record_written (fq_once_entry_t *entry)
{
  const char *present = entry->write.present;

  switch (entry->write.end)
    {
    case FQ_ONCE_WRITE_REFUSED:
    case FQ_ONCE_WRITE_LOST:
      fq_once_entry_try_later (entry, FQ_ONCE_WRITE_MOST_US);
      return;
    case FQ_ONCE_WRITE_CONFLICT:
      if (!fq_once_same_text (present, entry->record))
        fq_effects_log (entry->once->effects, FQ_LOG_ERROR, "once",
                        "The claim of a finished run is gone.");
      break;
    case FQ_ONCE_WRITE_DONE:
      break;
    }
  fq_once_entry_free (entry);
}

void
fq_once_record_row (fq_once_entry_t *entry)
{
  fq_once_entry_enter (entry, FQ_ONCE_RECORDING);
  fq_once_entry_submit (entry, entry->record, entry->own_value);
}

void
fq_once_record_object (fq_once_entry_t *entry)
{
  char key[FQ_ONCE_KEY_BYTES];
  char *text = fq_once_body_write (entry->answer.body);

  if (text == NULL)
    abort ();
  fq_once_object_key (key, sizeof key, entry->own.attempt);
  fq_once_entry_ask (entry, FQ_STORE_OBJECT_PUT, key, text);
}

void
fq_once_record_replay (fq_once_entry_t *entry)
{
  if (entry->answer.outcome == FQ_OUTCOME_ANSWERED)
    fq_once_entry_decide (entry, FQ_ONCE_REPLAY, &entry->answer);
  else
    fq_once_entry_decide (entry, FQ_ONCE_UNKNOWN, NULL);
}

void
fq_once_entry_record (fq_once_entry_t *entry, const fq_answer_t *answer)
{
  fq_once_t *once = entry->once;
  fq_once_row_t row = entry->own;
  size_t size = answer->body == NULL ? 0 : answer->body->size;
  bool whole = answer->outcome == FQ_OUTCOME_ANSWERED;

  entry->answer = *answer;
  fq_blob_ref (answer->body);
  once->kept_bytes += size;
  fq_once_record_replay (entry);
  if (once->kept_bytes > FQ_ONCE_KEPT_BYTES_MAX)
    {
      fq_effects_log (once->effects, FQ_LOG_WARNING, "once",
                      "An answer is not kept: too many wait for the store.");
      fq_once_entry_free (entry);
      return;
    }
  row.state = whole ? FQ_ONCE_ROW_DONE : FQ_ONCE_ROW_UNKNOWN;
  row.status = answer->status;
  memcpy (row.content_type, answer->content_type, sizeof row.content_type);
  row.in_object = whole && size > FQ_ONCE_INLINE_BYTES;
  row.body = row.in_object ? NULL : answer->body;
  entry->record = fq_once_row_text (&row);
  if (!row.in_object)
    {
      fq_once_record_row (entry);
      return;
    }
  fq_once_entry_enter (entry, FQ_ONCE_STORING);
  fq_once_record_object (entry);
}
