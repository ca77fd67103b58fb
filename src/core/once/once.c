#include "core/once/once.h"

#include <stdlib.h>
#include <string.h>

#include "core/once/once_private.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_ONCE_ENTRIES_MAX 65536

typedef struct
{
  fq_list_t link;
  fq_once_verdict_t verdict;
} fq_once_decided_t;

int
fq_once_new (fq_once_t **out, const fq_once_options_t *options)
{
  fq_once_t *once = calloc (1, sizeof *once);

  if (once == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for claims");
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
  fq_map_clear (&once->by_op);
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

/* The holder stays until it is finished or released; other waiters are done with. */
void
fq_once_decide (fq_once_waiter_t *waiter,
                fq_once_verdict_kind_t kind,
                const fq_answer_t *answer)
{
  fq_once_t *once = waiter->entry->once;
  fq_once_decided_t *decided = calloc (1, sizeof *decided);

  if (decided == NULL)
    abort ();
  decided->verdict.run = waiter->run;
  decided->verdict.kind = kind;
  if (answer != NULL)
    {
      decided->verdict.answer = *answer;
      fq_blob_ref (answer->body);
    }
  fq_list_append (&once->verdicts, &decided->link);
  if (kind != FQ_ONCE_GRANTED)
    fq_once_waiter_free (waiter);
}

bool
fq_once_take_verdict (fq_once_t *once, fq_once_verdict_t *out)
{
  fq_list_t *link = fq_list_first (&once->verdicts);
  fq_once_decided_t *decided;

  if (link == NULL)
    return false;
  fq_list_remove (link);
  decided = FQ_LIST_ENTRY (link, fq_once_decided_t, link);
  *out = decided->verdict;
  free (decided);
  return true;
}

static void
drop_verdict (fq_once_t *once, fq_id_t run)
{
  FQ_LIST_FOREACH_SAFE (link, following, &once->verdicts)
  {
    fq_once_decided_t *decided = FQ_LIST_ENTRY (link, fq_once_decided_t, link);

    if (decided->verdict.run != run)
      continue;
    fq_list_remove (link);
    fq_blob_unref (decided->verdict.answer.body);
    free (decided);
  }
}

static void
begin (fq_once_t *once, fq_time_t now, fq_effects_t *effects)
{
  once->now = now;
  once->effects = effects;
}

/* A claim that waits unsent for a store that is down is refused: nothing was written. */
static void
fail_unsent (fq_once_t *once)
{
  FQ_LIST_FOREACH_SAFE (link, following, &once->writer.queue)
  {
    fq_once_write_t *write = FQ_LIST_ENTRY (link, fq_once_write_t, link);
    fq_once_entry_t *entry = FQ_LIST_ENTRY (write, fq_once_entry_t, write);

    if (entry->state == FQ_ONCE_CLAIMING && !entry->ambiguous)
      fq_once_entry_fail (entry);
  }
}

static void
settle_writes (fq_once_t *once)
{
  fq_once_write_t *write;

  while ((write = fq_once_writer_settled (&once->writer)) != NULL)
    fq_once_entry_written (FQ_LIST_ENTRY (write, fq_once_entry_t, write));
}

static fq_once_waiter_t *
new_waiter (fq_once_t *once, fq_id_t run, const fq_request_t *request, fq_time_t deadline)
{
  fq_once_waiter_t *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL)
    return NULL;
  waiter->run = run;
  waiter->request = fq_once_hash_request (request);
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
refuse_unseen (fq_once_t *once, fq_id_t run)
{
  fq_once_decided_t *decided = calloc (1, sizeof *decided);

  if (decided == NULL)
    abort ();
  decided->verdict.run = run;
  decided->verdict.kind = FQ_ONCE_UNAVAILABLE;
  fq_list_append (&once->verdicts, &decided->link);
}

static fq_once_entry_t *
find_or_make_entry (fq_once_t *once, const char *key)
{
  uint64_t hash = fq_map_hash (key);
  fq_once_entry_t *entry = fq_map_get (&once->entries, hash);

  if (entry != NULL)
    return strcmp (entry->key, key) == 0 ? entry : NULL;
  if (once->entries.count >= FQ_ONCE_ENTRIES_MAX || !fq_once_may_ask (once))
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

  begin (once, now, effects);
  fq_once_sweep_note (&once->sweep, now, request, &once->random);
  fq_once_key (key, sizeof key, request);
  entry = find_or_make_entry (once, key);
  if (entry == NULL)
    {
      refuse_unseen (once, run);
      return FQ_OK;
    }
  waiter = new_waiter (once, run, request, deadline);
  if (waiter == NULL)
    {
      fq_once_entry_left (entry);
      return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a claim");
    }
  fq_once_entry_join (entry, waiter);
  return FQ_OK;
}

/* The waiter of @run if it was granted, taken off its entry. */
static fq_once_entry_t *
take_holder (fq_once_t *once, fq_id_t run)
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

  begin (once, now, effects);
  entry = take_holder (once, run);
  if (entry != NULL)
    fq_once_entry_record (entry, answer);
}

void
fq_once_release (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects)
{
  fq_once_entry_t *entry;

  begin (once, now, effects);
  entry = take_holder (once, run);
  if (entry != NULL)
    fq_once_entry_release (entry);
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

  begin (once, now, effects);
  drop_verdict (once, run);
  if (waiter == NULL)
    return;
  entry = waiter->entry;
  if (entry->holder == waiter)
    {
      fq_once_release (once, now, run, effects);
      return;
    }
  fq_once_waiter_free (waiter);
  fq_once_entry_left (entry);
}

void
fq_once_store_answered (fq_once_t *once,
                        fq_time_t now,
                        const fq_store_answer_t *answer,
                        fq_effects_t *effects)
{
  fq_once_entry_t *entry = fq_map_remove (&once->by_op, answer->id);

  begin (once, now, effects);
  if (entry != NULL)
    {
      entry->op = 0;
      fq_once_note (once, answer->status);
      fq_once_entry_answered (entry, answer);
    }
  else if (once->probe != 0 && answer->id == once->probe)
    fq_once_probed (once, answer->status);
  else if (fq_once_writer_store (&once->writer, answer))
    {
      fq_once_note (once, answer->status);
      if (fq_once_is_down (once))
        fail_unsent (once);
    }
  else
    fq_once_sweep_store (&once->sweep, now, once->wall_ms, answer, &once->ops, effects);
  settle_writes (once);
  fq_once_writer_flush (&once->writer, &once->ops, effects);
}

static void
waiter_expired (fq_once_waiter_t *waiter)
{
  fq_once_entry_t *entry = waiter->entry;

  if (entry->holder == waiter)
    return;
  fq_once_decide (waiter, entry->is_bound ? FQ_ONCE_IN_PROGRESS : FQ_ONCE_UNAVAILABLE,
                  NULL);
  fq_once_entry_left (entry);
}

void
fq_once_tick (fq_once_t *once, fq_time_t now, int64_t wall_ms, fq_effects_t *effects)
{
  fq_timer_t *timer;

  begin (once, now, effects);
  once->wall_ms = wall_ms;
  fq_wheel_advance (&once->wheel, now);
  while ((timer = fq_wheel_pop (&once->wheel)) != NULL)
    {
      switch ((fq_once_timer_kind_t)timer->kind)
        {
        case FQ_ONCE_TIMER_ENTRY:
          fq_once_entry_expired (FQ_LIST_ENTRY (timer, fq_once_entry_t, timer));
          break;
        case FQ_ONCE_TIMER_WAITER:
          waiter_expired (FQ_LIST_ENTRY (timer, fq_once_waiter_t, timer));
          break;
        }
    }
  fq_once_probe (once);
  fq_once_sweep_tick (&once->sweep, now, &once->ops, &once->random, effects);
  fq_once_writer_flush (&once->writer, &once->ops, effects);
}

static bool
has_to_write (const fq_once_t *once, const fq_once_entry_t *entry)
{
  switch (entry->state)
    {
    case FQ_ONCE_CLAIMING:
    case FQ_ONCE_STORING:
    case FQ_ONCE_RECORDING:
    case FQ_ONCE_RELEASING:
      return once->now - entry->since < FQ_ONCE_STOP_PATIENCE_US;
    case FQ_ONCE_POLLING:
    case FQ_ONCE_FETCHING:
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
      if (has_to_write (once, entry))
        return false;
    }
  return true;
}
