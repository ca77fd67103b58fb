/**
 * DOC: Sync of the tickets from the table service.
 *
 * Each node polls the head, and the nodes together read it FQ_HEAD_READS_PER_SECOND times
 * a second: the interval is random (exponentially distributed) with a mean proportional
 * to the number of live nodes, so that the nodes need neither a leader nor an agreement
 * on who reads. In a small cluster FQ_HEAD_WAIT_MIN_US makes the reads rarer.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/tickets/ticket_private.h"

#define FQ_HEAD_READS_PER_SECOND 10.0
#define FQ_HEAD_WAIT_MIN_US 500000
#define FQ_HEAD_WAIT_MAX_US (3600ll * FQ_MICROSECONDS_PER_SECOND)
#define FQ_STORE_BACKOFF_BASE_US 500000 /* doubled with each failure, also the first */
#define FQ_STORE_BACKOFF_DOUBLINGS 4
#define FQ_LOG_SCAN_ROWS_MAX 128 /* a node further behind reads the objects */

static void
schedule_next_read (fq_tickets_t *tickets, fq_time_t now)
{
  double mean = (double)tickets->live_count / FQ_HEAD_READS_PER_SECOND;
  double wait = -log (1.0 - fq_random_unit (&tickets->random)) * mean
                * FQ_MICROSECONDS_PER_SECOND;

  if (wait < FQ_HEAD_WAIT_MIN_US)
    wait = FQ_HEAD_WAIT_MIN_US;
  if (wait > FQ_HEAD_WAIT_MAX_US)
    wait = FQ_HEAD_WAIT_MAX_US;
  tickets->sync.next = now + (fq_time_t)wait;
}

/* A confirmed node keeps its regular interval. Otherwise the backoff doubles with each
 * failure, up to a maximum, and the wait is random between 1/4 and 5/4 of it, so that the
 * load on a store that recovers rises gradually. */
static void
back_off (fq_tickets_t *tickets, fq_time_t now)
{
  fq_ticket_sync_t *sync = &tickets->sync;
  fq_time_t backoff;

  if (sync->failures < FQ_STORE_BACKOFF_DOUBLINGS)
    sync->failures++;
  backoff = (fq_time_t)FQ_STORE_BACKOFF_BASE_US << sync->failures;
  if (tickets->confirmed)
    {
      schedule_next_read (tickets, now);
      return;
    }
  sync->next = now + backoff / 4
               + (fq_time_t)fq_random_below (&tickets->random, (uint64_t)backoff);
}

static void
start_step (fq_tickets_t *tickets,
            fq_ticket_sync_step_t step,
            fq_store_op_t *op,
            fq_effects_t *effects)
{
  tickets->sync.step = step;
  tickets->sync.op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
scan (fq_tickets_t *tickets,
      fq_ticket_sync_step_t step,
      const char *from,
      const char *end,
      fq_effects_t *effects)
{
  fq_store_op_t *op = fq_tickets_new_store_op (tickets, FQ_STORE_SCAN, from);

  op->end = strdup (end);
  op->limit = FQ_STORE_ROWS_MAX;
  if (op->end == NULL)
    abort ();
  start_step (tickets, step, op, effects);
}

static void
scan_log (fq_tickets_t *tickets, fq_effects_t *effects)
{
  char from[FQ_TICKET_ROW_KEY_BYTES];
  char end[FQ_TICKET_ROW_KEY_BYTES];

  fq_tickets_log_key (from, tickets->number);
  fq_tickets_log_key (end, tickets->sync.target + 1);
  scan (tickets, FQ_TICKET_SYNC_LOG, from, end, effects);
}

static void
complete_sync (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  tickets->sync.step = FQ_TICKET_SYNC_IDLE;
  tickets->sync.failures = 0;
  fq_tickets_advance (tickets, tickets->sync.target, effects);
  tickets->confirmed = true;
  schedule_next_read (tickets, now);
}

static void
abort_sync (fq_tickets_t *tickets, fq_time_t now)
{
  tickets->sync.step = FQ_TICKET_SYNC_IDLE;
  back_off (tickets, now);
}

static void
handle_head (fq_tickets_t *tickets,
             fq_time_t now,
             const fq_store_answer_t *answer,
             fq_effects_t *effects)
{
  uint64_t head = 0;

  if (answer->status == FQ_STORE_DONE && answer->row_count == 1)
    head = strtoull (answer->rows[0].value, NULL, 10);
  tickets->sync.target = head;
  if (head <= tickets->number)
    complete_sync (tickets, now, effects);
  else if (head - tickets->number <= FQ_LOG_SCAN_ROWS_MAX)
    scan_log (tickets, effects);
  else
    scan (tickets, FQ_TICKET_SYNC_OBJECTS, FQ_TICKET_OBJECT_ROW_PREFIX,
          FQ_TICKET_OBJECT_ROW_END, effects);
}

static bool
apply_log_row (fq_tickets_t *tickets, const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  json_int_t number = json_integer_value (json_object_get (root, "number"));
  json_t *objects = json_object_get (root, "objects");
  const char *key;
  json_t *value;

  json_object_foreach (objects, key, value)
      fq_ticket_state_merge (tickets->state, key, (uint64_t)number, value);
  json_decref (root);
  return number > 0;
}

/* Fewer rows than tickets means that some were pruned; then the objects are read. */
static void
handle_log (fq_tickets_t *tickets,
            fq_time_t now,
            const fq_store_answer_t *answer,
            fq_effects_t *effects)
{
  uint64_t missing = tickets->sync.target - tickets->number;
  uint64_t applied = 0;

  for (size_t i = 0; i < answer->row_count; i++)
    applied += apply_log_row (tickets, answer->rows[i].value) ? 1 : 0;
  /* @missing is counted from the present number, which tickets from another node may have
   * raised since the scan began. */
  if (applied >= missing)
    complete_sync (tickets, now, effects);
  else
    scan (tickets, FQ_TICKET_SYNC_OBJECTS, FQ_TICKET_OBJECT_ROW_PREFIX,
          FQ_TICKET_OBJECT_ROW_END, effects);
}

static void
handle_objects (fq_tickets_t *tickets,
                fq_time_t now,
                const fq_store_answer_t *answer,
                fq_effects_t *effects)
{
  for (size_t i = 0; i < answer->row_count; i++)
    (void)fq_ticket_state_import (tickets->state, answer->rows[i].value);
  if (answer->row_count < FQ_STORE_ROWS_MAX)
    complete_sync (tickets, now, effects);
  else
    scan (tickets, FQ_TICKET_SYNC_OBJECTS, answer->rows[answer->row_count - 1].key,
          FQ_TICKET_OBJECT_ROW_END, effects);
}

void
fq_ticket_sync_schedule_now (fq_tickets_t *tickets, fq_time_t now)
{
  tickets->sync.next = now;
}

void
fq_ticket_sync_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  if (tickets->sync.step != FQ_TICKET_SYNC_IDLE || now < tickets->sync.next)
    return;
  start_step (tickets, FQ_TICKET_SYNC_HEAD,
              fq_tickets_new_store_op (tickets, FQ_STORE_GET, FQ_TICKET_HEAD_ROW_KEY),
              effects);
}

bool
fq_ticket_sync_handle_store_answer (fq_tickets_t *tickets,
                                    fq_time_t now,
                                    const fq_store_answer_t *answer,
                                    fq_effects_t *effects)
{
  bool answered = answer->status == FQ_STORE_DONE || answer->status == FQ_STORE_NOT_FOUND;

  if (tickets->sync.step == FQ_TICKET_SYNC_IDLE || answer->id != tickets->sync.op)
    return false;
  if (!answered)
    {
      abort_sync (tickets, now);
      return true;
    }
  switch (tickets->sync.step)
    {
    case FQ_TICKET_SYNC_HEAD:
      handle_head (tickets, now, answer, effects);
      break;
    case FQ_TICKET_SYNC_LOG:
      handle_log (tickets, now, answer, effects);
      break;
    case FQ_TICKET_SYNC_OBJECTS:
      handle_objects (tickets, now, answer, effects);
      break;
    case FQ_TICKET_SYNC_IDLE:
      break;
    }
  return true;
}
