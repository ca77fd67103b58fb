#include "core/once/once.h"

#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_ONCE_ENTRIES_MAX 65536 /* beyond it, claims of new keys are refused */

typedef struct
{
  fq_list_t link;
  fq_once_verdict_t verdict;
} fq_once_verdict_item_t;

int
fq_once_new (fq_once_t **out, const fq_once_options_t *options)
{
  fq_once_t *once = calloc (1, sizeof *once);

  if (once == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "out of memory for the claims of idempotency keys");
  fq_text_copy (once->node, sizeof once->node, options->node);
  once->incarnation = options->incarnation;
  once->random.state = options->seed;
  fq_list_init (&once->verdicts);
  fq_once_writer_init (&once->writer);
  fq_wheel_init (&once->wheel, 0);
  *out = once;
  return FQ_OK;
}

static void
free_entry_and_waiters (fq_once_entry_t *entry)
{
  fq_list_t *link;

  if (entry->holder != NULL)
    fq_once_waiter_free (entry->holder);
  while ((link = fq_list_first (&entry->waiters)) != NULL)
    fq_once_waiter_free (FQ_LIST_ENTRY (link, fq_once_waiter_t, link));
  fq_once_entry_free (entry);
}

void
fq_once_free (fq_once_t *once)
{
  fq_once_verdict_t verdict;
  fq_once_entry_t *entry;
  size_t cursor = 0;

  if (once == NULL)
    return;
  while (fq_once_take_verdict (once, &verdict))
    fq_blob_unref (verdict.answer.body);
  while ((entry = fq_map_next (&once->entries, &cursor)) != NULL)
    {
      free_entry_and_waiters (entry);
      cursor = 0;
    }
  fq_map_clear (&once->entries);
  fq_map_clear (&once->waiters);
  fq_map_clear (&once->entries_by_op);
  free (once);
}

void
fq_once_waiter_free (fq_once_waiter_t *waiter)
{
  fq_list_remove (&waiter->link);
  fq_timer_cancel (&waiter->timer);
  fq_map_remove (&waiter->entry->once->waiters, waiter->run);
  free (waiter);
}

/*
 * Queues a verdict for the waiter. A granted waiter stays as the holder of its entry
 * until the run is finished or released; with any other verdict it is freed.
 */
void
fq_once_add_verdict (fq_once_waiter_t *waiter,
                     fq_once_verdict_kind_t kind,
                     const fq_answer_t *answer)
{
  fq_once_t *once = waiter->entry->once;
  fq_once_verdict_item_t *item = calloc (1, sizeof *item);

  if (item == NULL)
    abort ();
  item->verdict.run = waiter->run;
  item->verdict.kind = kind;
  if (answer != NULL)
    {
      item->verdict.answer = *answer;
      fq_blob_ref (answer->body);
    }
  fq_list_append (&once->verdicts, &item->link);
  if (kind != FQ_ONCE_GRANTED)
    fq_once_waiter_free (waiter);
}

bool
fq_once_take_verdict (fq_once_t *once, fq_once_verdict_t *out)
{
  fq_list_t *link = fq_list_first (&once->verdicts);
  fq_once_verdict_item_t *item;

  if (link == NULL)
    return false;
  fq_list_remove (link);
  item = FQ_LIST_ENTRY (link, fq_once_verdict_item_t, link);
  *out = item->verdict;
  free (item);
  return true;
}

static void
remove_verdicts (fq_once_t *once, fq_id_t run)
{
  FQ_LIST_FOREACH_SAFE (link, following, &once->verdicts)
  {
    fq_once_verdict_item_t *item = FQ_LIST_ENTRY (link, fq_once_verdict_item_t, link);

    if (item->verdict.run != run)
      continue;
    fq_list_remove (link);
    fq_blob_unref (item->verdict.answer.body);
    free (item);
  }
}

static void
set_call_context (fq_once_t *once, fq_time_t now, fq_effects_t *effects)
{
  once->now = now;
  once->effects = effects;
}

/*
 * Refuses claims that are queued while the store is down, unless an earlier try of the
 * claim was lost: nothing of the others was written.
 */
static void
fail_unsent_claims (fq_once_t *once)
{
  FQ_LIST_FOREACH_SAFE (link, following, &once->writer.queue)
  {
    fq_once_write_t *write = FQ_LIST_ENTRY (link, fq_once_write_t, link);
    fq_once_entry_t *entry = FQ_LIST_ENTRY (write, fq_once_entry_t, write);

    if (entry->state == FQ_ONCE_CLAIMING && !entry->ambiguous)
      fq_once_entry_fail_claim (entry);
  }
}

static void
handle_settled_writes (fq_once_t *once)
{
  fq_once_write_t *write;

  while ((write = fq_once_writer_take_settled (&once->writer)) != NULL)
    fq_once_entry_write_settled (FQ_LIST_ENTRY (write, fq_once_entry_t, write));
}

static fq_once_waiter_t *
new_waiter (fq_once_t *once, fq_id_t run, const fq_request_t *request, fq_time_t deadline)
{
  fq_once_waiter_t *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    return NULL;
  waiter->run = run;
  waiter->request_hash = fq_once_hash_request (request);
  fq_list_init (&waiter->link);
  fq_timer_init (&waiter->timer, FQ_ONCE_TIMER_WAITER);
  if (fq_map_set (&once->waiters, run, waiter) < 0)
    {
      free (waiter);
      return NULL;
    }
  fq_wheel_arm (&once->wheel, &waiter->timer, deadline);
  return waiter;
}

static void
refuse_without_entry (fq_once_t *once, fq_id_t run)
{
  fq_once_verdict_item_t *item = calloc (1, sizeof *item);

  if (item == NULL)
    abort ();
  item->verdict.run = run;
  item->verdict.kind = FQ_ONCE_UNAVAILABLE;
  fq_list_append (&once->verdicts, &item->link);
}

static fq_once_entry_t *
find_or_add_entry (fq_once_t *once, const char *key)
{
  uint64_t hash = fq_map_hash (key);
  fq_once_entry_t *entry = fq_map_get (&once->entries, hash);

  if (entry != NULL)
    return strcmp (entry->key, key) == 0 ? entry : NULL;
  if (once->entries.count >= FQ_ONCE_ENTRIES_MAX || !fq_once_admit_claim (once))
    return NULL;
  return fq_once_entry_new (once, key, hash);
}

int
fq_once_claim (fq_once_t *once,
               fq_time_t now,
               fq_id_t run,
               const fq_request_t *request,
               fq_time_t deadline,
               fq_effects_t *effects)
{
  char key[FQ_ONCE_KEY_BYTES] = "";
  fq_once_entry_t *entry;
  fq_once_waiter_t *waiter;

  set_call_context (once, now, effects);
  fq_once_sweep_set_service (&once->sweep, now, request, &once->random);
  fq_once_row_key (key, sizeof key, request);
  entry = find_or_add_entry (once, key);
  if (entry == NULL)
    {
      refuse_without_entry (once, run);
      return FQ_OK;
    }
  waiter = new_waiter (once, run, request, deadline);
  if (waiter == NULL)
    {
      fq_once_entry_waiter_left (entry);
      return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                           "out of memory for the claim of an idempotency key");
    }
  fq_once_entry_add_waiter (entry, waiter);
  return FQ_OK;
}

/* Frees the waiter of @run if it was granted; returns its entry, or NULL. */
static fq_once_entry_t *
detach_holder (fq_once_t *once, fq_id_t run)
{
  fq_once_waiter_t *waiter = fq_map_get (&once->waiters, run);
  fq_once_entry_t *entry;

  if (waiter == NULL || waiter->entry->holder != waiter)
    return NULL;
  entry = waiter->entry;
  entry->holder = NULL;
  fq_once_waiter_free (waiter);
  return entry;
}

void
fq_once_finish (fq_once_t *once,
                fq_time_t now,
                fq_id_t run,
                const fq_answer_t *answer,
                fq_effects_t *effects)
{
  fq_once_entry_t *entry;

  set_call_context (once, now, effects);
  entry = detach_holder (once, run);
  if (entry != NULL)
    fq_once_entry_record_outcome (entry, answer);
}

void
fq_once_release (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects)
{
  fq_once_entry_t *entry;

  set_call_context (once, now, effects);
  entry = detach_holder (once, run);
  if (entry != NULL)
    fq_once_entry_release_claim (entry);
}

bool
fq_once_is_held_by_other (const fq_once_t *once, fq_id_t run)
{
  fq_once_waiter_t *waiter = fq_map_get (&once->waiters, run);

  if (waiter == NULL || waiter->entry->holder == waiter)
    return false;
  return waiter->entry->is_bound;
}

void
fq_once_cancel (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects)
{
  fq_once_waiter_t *waiter = fq_map_get (&once->waiters, run);
  fq_once_entry_t *entry;

  set_call_context (once, now, effects);
  remove_verdicts (once, run);
  if (waiter == NULL)
    return;
  entry = waiter->entry;
  if (entry->holder == waiter)
    {
      fq_once_release (once, now, run, effects);
      return;
    }
  fq_once_waiter_free (waiter);
  fq_once_entry_waiter_left (entry);
}

void
fq_once_handle_store_answer (fq_once_t *once,
                             fq_time_t now,
                             const fq_store_answer_t *answer,
                             fq_effects_t *effects)
{
  fq_once_entry_t *entry = fq_map_remove (&once->entries_by_op, answer->id);

  set_call_context (once, now, effects);
  if (entry != NULL)
    {
      entry->op = 0;
      fq_once_record_store_status (once, answer->status);
      fq_once_entry_op_answered (entry, answer);
    }
  else if (once->probe_op != 0 && answer->id == once->probe_op)
    fq_once_handle_probe_answer (once, answer->status);
  else if (fq_once_writer_handle_store_answer (&once->writer, answer))
    {
      fq_once_record_store_status (once, answer->status);
      if (fq_once_store_is_down (once))
        fail_unsent_claims (once);
    }
  else
    fq_once_sweep_handle_store_answer (&once->sweep, now, once->wall_ms, answer,
                                       &once->op_count, effects);
  handle_settled_writes (once);
  fq_once_writer_flush (&once->writer, &once->op_count, effects);
}

static void
waiter_deadline_reached (fq_once_waiter_t *waiter)
{
  fq_once_entry_t *entry = waiter->entry;

  if (entry->holder == waiter)
    return;
  fq_once_add_verdict (waiter,
                       entry->is_bound ? FQ_ONCE_IN_PROGRESS : FQ_ONCE_UNAVAILABLE, NULL);
  fq_once_entry_waiter_left (entry);
}

void
fq_once_tick (fq_once_t *once, fq_time_t now, int64_t wall_ms, fq_effects_t *effects)
{
  fq_timer_t *timer;

  set_call_context (once, now, effects);
  once->wall_ms = wall_ms;
  fq_wheel_advance (&once->wheel, now);
  while ((timer = fq_wheel_pop (&once->wheel)) != NULL)
    {
      switch ((fq_once_timer_kind_t)timer->kind)
        {
        case FQ_ONCE_TIMER_ENTRY:
          fq_once_entry_timer_fired (FQ_LIST_ENTRY (timer, fq_once_entry_t, timer));
          break;
        case FQ_ONCE_TIMER_WAITER:
          waiter_deadline_reached (FQ_LIST_ENTRY (timer, fq_once_waiter_t, timer));
          break;
        }
    }
  fq_once_send_probe (once);
  fq_once_sweep_tick (&once->sweep, now, &once->op_count, &once->random, effects);
  fq_once_writer_flush (&once->writer, &once->op_count, effects);
}

static bool
has_pending_write (const fq_once_t *once, const fq_once_entry_t *entry)
{
  switch (entry->state)
    {
    case FQ_ONCE_CLAIMING:
    case FQ_ONCE_STORING_OBJECT:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      return once->now - entry->state_since < FQ_ONCE_STOP_TIMEOUT_US;
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING_OBJECT:
    case FQ_ONCE_HELD:
      return false;
    }
  return false;
}

bool
fq_once_is_idle (const fq_once_t *once)
{
  const fq_once_entry_t *entry;
  size_t cursor = 0;

  while ((entry = fq_map_next (&once->entries, &cursor)) != NULL)
    {
      if (has_pending_write (once, entry))
        return false;
    }
  return true;
}
