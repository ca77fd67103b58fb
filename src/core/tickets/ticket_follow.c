/**
 * DOC: Following the log of tickets in the table service.
 *
 * All nodes together read the head FQ_HEAD_READS_PER_SECOND times a second: each waits a
 * random time whose mean grows with the number of live nodes, so that no node is special
 * and nobody has to agree on who reads.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/tickets/ticket_private.h"

#define FQ_HEAD_READS_PER_SECOND 10.0
#define FQ_HEAD_WAIT_LEAST_US 500000
#define FQ_HEAD_WAIT_MOST_US (3600ll * FQ_MICROSECONDS_PER_SECOND)
#define FQ_STORE_BACKOFF_FIRST_US 500000
#define FQ_STORE_BACKOFF_DOUBLINGS 4
#define FQ_LOG_ROWS_MAX 128 /* further behind, the objects are read instead */

static void
wait_for_turn (fq_tickets_t *tickets, fq_time_t now)
{
  double mean = (double)tickets->live_count / FQ_HEAD_READS_PER_SECOND;
  double wait = -log (1.0 - fq_random_unit (&tickets->random)) * mean
                * FQ_MICROSECONDS_PER_SECOND;

  if (wait < FQ_HEAD_WAIT_LEAST_US)
    wait = FQ_HEAD_WAIT_LEAST_US;
  if (wait > FQ_HEAD_WAIT_MOST_US)
    wait = FQ_HEAD_WAIT_MOST_US;
  tickets->follow.next = now + (fq_time_t)wait;
}

/* The wait doubles and is spread over its whole length, so that load on a store that
 * comes back rises smoothly. */
static void
back_off (fq_tickets_t *tickets, fq_time_t now)
{
  fq_follow_t *follow = &tickets->follow;
  fq_time_t most;

  if (follow->failures < FQ_STORE_BACKOFF_DOUBLINGS)
    follow->failures++;
  most = (fq_time_t)FQ_STORE_BACKOFF_FIRST_US << follow->failures;
  if (tickets->confirmed)
    {
      wait_for_turn (tickets, now);
      return;
    }
  follow->next
      = now + most / 4 + (fq_time_t)fq_random_below (&tickets->random, (uint64_t)most);
}

static void
ask (fq_tickets_t *tickets,
     fq_follow_step_t step,
     fq_store_op_t *op,
     fq_effects_t *effects)
{
  tickets->follow.step = step;
  tickets->follow.op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
scan (fq_tickets_t *tickets,
      fq_follow_step_t step,
      const char *from,
      const char *end,
      fq_effects_t *effects)
{
  fq_store_op_t *op = fq_tickets_op (tickets, FQ_STORE_SCAN, from);

  op->end = strdup (end);
  op->limit = FQ_STORE_ROWS_MAX;
  if (op->end == NULL)
    abort ();
  ask (tickets, step, op, effects);
}

static void
scan_log (fq_tickets_t *tickets, fq_effects_t *effects)
{
  char from[FQ_TICKET_ROW_KEY_BYTES];
  char end[FQ_TICKET_ROW_KEY_BYTES];

  fq_tickets_log_key (from, tickets->number);
  fq_tickets_log_key (end, tickets->follow.target + 1);
  scan (tickets, FQ_FOLLOW_LOG, from, end, effects);
}

static void
finish (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  tickets->follow.step = FQ_FOLLOW_IDLE;
  tickets->follow.failures = 0;
  fq_tickets_advance (tickets, tickets->follow.target, effects);
  tickets->confirmed = true;
  wait_for_turn (tickets, now);
}

static void
fail (fq_tickets_t *tickets, fq_time_t now)
{
  tickets->follow.step = FQ_FOLLOW_IDLE;
  back_off (tickets, now);
}

static void
take_head (fq_tickets_t *tickets,
           fq_time_t now,
           const fq_store_answer_t *answer,
           fq_effects_t *effects)
{
  uint64_t head = 0;

  if (answer->status == FQ_STORE_DONE && answer->row_count == 1)
    head = strtoull (answer->rows[0].value, NULL, 10);
  tickets->follow.target = head;
  if (head <= tickets->number)
    finish (tickets, now, effects);
  else if (head - tickets->number <= FQ_LOG_ROWS_MAX)
    scan_log (tickets, effects);
  else
    scan (tickets, FQ_FOLLOW_OBJECTS, FQ_TICKET_OBJECT_PREFIX, FQ_TICKET_OBJECT_END,
          effects);
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

/* A row that is missing was pruned: only the objects tell the whole then. */
static void
take_log (fq_tickets_t *tickets,
          fq_time_t now,
          const fq_store_answer_t *answer,
          fq_effects_t *effects)
{
  uint64_t wanted = tickets->follow.target - tickets->number;
  uint64_t applied = 0;

  for (size_t i = 0; i < answer->row_count; i++)
    applied += apply_log_row (tickets, answer->rows[i].value) ? 1 : 0;
  /* Tickets that came from a node meanwhile make fewer rows count as wanted. */
  if (applied >= wanted)
    finish (tickets, now, effects);
  else
    scan (tickets, FQ_FOLLOW_OBJECTS, FQ_TICKET_OBJECT_PREFIX, FQ_TICKET_OBJECT_END,
          effects);
}

static void
take_objects (fq_tickets_t *tickets,
              fq_time_t now,
              const fq_store_answer_t *answer,
              fq_effects_t *effects)
{
  for (size_t i = 0; i < answer->row_count; i++)
    (void)fq_ticket_state_import (tickets->state, answer->rows[i].value);
  if (answer->row_count < FQ_STORE_ROWS_MAX)
    finish (tickets, now, effects);
  else
    scan (tickets, FQ_FOLLOW_OBJECTS, answer->rows[answer->row_count - 1].key,
          FQ_TICKET_OBJECT_END, effects);
}

void
fq_follow_now (fq_tickets_t *tickets, fq_time_t now)
{
  tickets->follow.next = now;
}

void
fq_follow_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  if (tickets->follow.step != FQ_FOLLOW_IDLE || now < tickets->follow.next)
    return;
  ask (tickets, FQ_FOLLOW_HEAD, fq_tickets_op (tickets, FQ_STORE_GET, FQ_TICKET_HEAD_KEY),
       effects);
}

bool
fq_follow_store (fq_tickets_t *tickets,
                 fq_time_t now,
                 const fq_store_answer_t *answer,
                 fq_effects_t *effects)
{
  bool answered = answer->status == FQ_STORE_DONE || answer->status == FQ_STORE_NOT_FOUND;

  if (tickets->follow.step == FQ_FOLLOW_IDLE || answer->id != tickets->follow.op)
    return false;
  if (!answered)
    {
      fail (tickets, now);
      return true;
    }
  switch (tickets->follow.step)
    {
    case FQ_FOLLOW_HEAD:
      take_head (tickets, now, answer, effects);
      break;
    case FQ_FOLLOW_LOG:
      take_log (tickets, now, answer, effects);
      break;
    case FQ_FOLLOW_OBJECTS:
      take_objects (tickets, now, answer, effects);
      break;
    case FQ_FOLLOW_IDLE:
      break;
    }
  return true;
}
