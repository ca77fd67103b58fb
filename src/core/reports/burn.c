#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn_private.h"
#include "core/store_op_ids.h"
#include "util/text.h"

/* A roll-up fails at this number of conflicting writes of one row. */
#define FQ_BURN_CONFLICTS_MAX 4
/* Upper bound of the random delay before a retry after a conflict. */
#define FQ_BURN_CONFLICT_RETRY_MAX_US (500 * FQ_MICROSECONDS_PER_MS)
/* The delay before a roll-up doubles with each failure, up to this factor. */
#define FQ_BURN_BACKOFF_FACTOR_MAX 8

int
fq_burn_new (fq_burn_t **out, const fq_burn_options_t *options)
{
  fq_burn_t *burn = calloc (1, sizeof *burn);

  if (burn == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "no memory for burn-rate counters");
  fq_text_copy (burn->node, sizeof burn->node, options->node);
  burn->incarnation = options->incarnation;
  burn->rollup_ms = options->rollup_ms;
  burn->tickets = options->tickets;
  burn->random.state = options->seed;
  burn->backoff_factor = 1;
  fq_burn_table_init (&burn->pending);
  fq_burn_table_init (&burn->rollup);
  fq_list_init (&burn->queries);
  *out = burn;
  return FQ_OK;
}

void
fq_burn_free (fq_burn_t *burn)
{
  if (burn == NULL)
    return;
  fq_burn_query_free_all (burn);
  fq_burn_table_clear (&burn->pending);
  fq_burn_table_clear (&burn->rollup);
  free (burn);
}

/*
 * Whether a call failed because of the caller: its request was invalid, denied, for a
 * service that does not exist, a duplicate, or cancelled. Such a call says nothing about
 * the service.
 */
static bool
is_caller_error (fq_cause_t cause)
{
  switch (cause)
    {
    case FQ_CAUSE_BAD_REQUEST:
    case FQ_CAUSE_DENIED:
    case FQ_CAUSE_NO_SERVICE:
    case FQ_CAUSE_IN_PROGRESS:
    case FQ_CAUSE_KEY_REUSED:
    case FQ_CAUSE_CALLER_GONE:
      return true;
    default:
      return false;
    }
}

void
fq_burn_record_call (fq_burn_t *burn,
                     int64_t wall_ms,
                     const fq_request_t *request,
                     fq_time_t latency,
                     fq_outcome_t outcome,
                     fq_cause_t cause,
                     const fq_objective_t *objective)
{
  fq_time_t limit = (fq_time_t)objective->latency_ms * FQ_MICROSECONDS_PER_MS;
  bool whole = outcome == FQ_OUTCOME_ANSWERED;
  fq_burn_cell_t *cell;

  if (is_caller_error (cause) || cause >= FQ_CAUSE_COUNT)
    return;
  cell = fq_burn_table_get_or_add (&burn->pending, request->member, request->service,
                                   request->request_class);
  if (cell == NULL)
    {
      burn->pending.calls_left_out++;
      return;
    }
  fq_burn_series_add (&cell->series, wall_ms, whole && latency <= limit,
                      whole ? FQ_CAUSE_NONE : cause);
}

fq_id_t
fq_burn_submit_store_op (fq_burn_t *burn, fq_store_op_t *op, fq_effects_t *effects)
{
  op->id = fq_store_op_id (FQ_STORE_OWNER_BURN, ++burn->op_count);
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
  return op->id;
}

static fq_time_t
rollup_delay_us (fq_burn_t *burn, size_t nodes)
{
  fq_time_t delay = (fq_time_t)burn->rollup_ms * FQ_MICROSECONDS_PER_MS
                    * (fq_time_t)(nodes == 0 ? 1 : nodes) * burn->backoff_factor;

  /* Jitter from 0.5 to 1.5 times the delay keeps the nodes from synchronising. */
  return delay / 2 + (fq_time_t)fq_random_below (&burn->random, (uint64_t)delay);
}

static void
format_row_key (const fq_burn_t *burn, char key[FQ_BURN_KEY_BYTES])
{
  snprintf (key, FQ_BURN_KEY_BYTES, "burn/%s/%s", burn->member, burn->service);
}

/* Leaves the time of the next roll-up unset; fq_burn_tick() sets it. */
static void
end_rollup (fq_burn_t *burn, bool failed)
{
  burn->state = FQ_BURN_WAITING;
  burn->next_at = 0;
  burn->op = 0;
  burn->conflicts = 0;
  burn->rollup_failed = failed;
  if (!failed)
    burn->backoff_factor = 1;
  else if (burn->backoff_factor < FQ_BURN_BACKOFF_FACTOR_MAX)
    burn->backoff_factor *= 2;
}

static void
begin_read (fq_burn_t *burn, fq_effects_t *effects)
{
  char key[FQ_BURN_KEY_BYTES];
  fq_store_op_t *op;

  format_row_key (burn, key);
  if (fq_store_op_new (&op, FQ_STORE_GET, key) < 0)
    {
      end_rollup (burn, true);
      return;
    }
  burn->state = FQ_BURN_READING;
  burn->op = fq_burn_submit_store_op (burn, op, effects);
}

/* Starts on the counts of the next member, or ends the roll-up after the last. */
static void
roll_up_next_member (fq_burn_t *burn, fq_effects_t *effects)
{
  fq_list_t *first = fq_list_first (&burn->rollup.cells);

  if (first == NULL)
    {
      fq_burn_table_clear (&burn->rollup);
      end_rollup (burn, false);
      return;
    }
  memcpy (burn->member, FQ_LIST_ENTRY (first, fq_burn_cell_t, link)->member,
          sizeof burn->member);
  burn->conflicts = 0;
  begin_read (burn, effects);
}

/* Counts that a failed roll-up left are retried first, under the same sequence number. */
static void
begin_rollup (fq_burn_t *burn, fq_effects_t *effects)
{
  if (fq_list_is_empty (&burn->rollup.cells))
    {
      fq_burn_table_move (&burn->rollup, &burn->pending);
      burn->sequence++;
    }
  roll_up_next_member (burn, effects);
}

/* The counts of the current member are in its row. */
static void
finish_member (fq_burn_t *burn, fq_effects_t *effects)
{
  fq_burn_table_remove_member (&burn->rollup, burn->member);
  roll_up_next_member (burn, effects);
}

static void
write_row (fq_burn_t *burn,
           int64_t wall_ms,
           const json_t *row,
           const char *current,
           fq_effects_t *effects)
{
  fq_burn_writer_t writer = { burn->incarnation, burn->sequence, wall_ms };
  char key[FQ_BURN_KEY_BYTES];
  char *text
      = fq_burn_row_merged_text (row, &burn->rollup, burn->member, burn->node, &writer);
  fq_store_op_t *op = NULL;

  format_row_key (burn, key);
  if (text == NULL || fq_store_op_new (&op, FQ_STORE_COMMIT, key) < 0
      || fq_store_op_add_write (
             op, key, text, current == NULL ? FQ_STORE_ABSENT : FQ_STORE_EQUALS, current)
             < 0)
    {
      fq_store_op_free (op);
      end_rollup (burn, true);
    }
  else
    {
      burn->state = FQ_BURN_WRITING;
      burn->op = fq_burn_submit_store_op (burn, op, effects);
    }
  free (text);
}

static void
handle_row_read (fq_burn_t *burn,
                 int64_t wall_ms,
                 const fq_store_answer_t *answer,
                 fq_effects_t *effects)
{
  const char *current = answer->row_count > 0 ? answer->rows[0].value : NULL;
  json_t *row;
  fq_burn_writer_t writer;

  if (answer->status != FQ_STORE_DONE && answer->status != FQ_STORE_NOT_FOUND)
    {
      end_rollup (burn, true);
      return;
    }
  row = fq_burn_row_parse (current);
  /* The row has this roll-up already: an earlier write took effect without an answer. */
  if (fq_burn_row_find_writer (row, burn->node, &writer)
      && writer.incarnation == burn->incarnation && writer.sequence >= burn->sequence)
    finish_member (burn, effects);
  else
    write_row (burn, wall_ms, row, current, effects);
  json_decref (row);
}

static void
handle_row_written (fq_burn_t *burn,
                    fq_time_t now,
                    const fq_store_answer_t *answer,
                    fq_effects_t *effects)
{
  switch (answer->status)
    {
    case FQ_STORE_DONE:
      finish_member (burn, effects);
      break;
    case FQ_STORE_CONFLICT:
      if (++burn->conflicts >= FQ_BURN_CONFLICTS_MAX)
        {
          end_rollup (burn, true);
          break;
        }
      burn->state = FQ_BURN_WAITING;
      burn->op = 0;
      burn->next_at
          = now + 1
            + (fq_time_t)fq_random_below (&burn->random, FQ_BURN_CONFLICT_RETRY_MAX_US);
      break;
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_BUSY:
    case FQ_STORE_UNAVAILABLE:
      end_rollup (burn, true);
      break;
    }
}

void
fq_burn_handle_store_answer (fq_burn_t *burn,
                             fq_time_t now,
                             int64_t wall_ms,
                             const fq_store_answer_t *answer,
                             fq_effects_t *effects)
{
  if (answer->id == burn->op)
    {
      burn->op = 0;
      if (burn->state == FQ_BURN_READING)
        handle_row_read (burn, wall_ms, answer, effects);
      else
        handle_row_written (burn, now, answer, effects);
      return;
    }
  fq_burn_query_handle_rows (burn, wall_ms, answer, effects);
}

void
fq_burn_tick (fq_burn_t *burn,
              fq_time_t now,
              int64_t wall_ms,
              const char *service,
              size_t nodes,
              fq_effects_t *effects)
{
  fq_burn_query_tick (burn, now, wall_ms, effects);
  if (service[0] == '\0' || burn->state != FQ_BURN_WAITING)
    return;
  if (burn->conflicts == 0)
    fq_text_copy (burn->service, sizeof burn->service, service);
  if (burn->next_at == 0)
    burn->next_at = burn->stopping ? now : now + rollup_delay_us (burn, nodes);
  if (now < burn->next_at)
    return;
  if (burn->stopping && fq_burn_is_idle (burn))
    return;
  if (burn->conflicts > 0)
    begin_read (burn, effects);
  else
    begin_rollup (burn, effects);
}

void
fq_burn_begin_shutdown (fq_burn_t *burn)
{
  if (burn->stopping)
    return;
  burn->stopping = true;
  burn->rollup_failed = false;
  if (burn->conflicts == 0)
    burn->next_at = 0;
}

bool
fq_burn_is_idle (const fq_burn_t *burn)
{
  if (burn->service[0] == '\0' || (burn->stopping && burn->rollup_failed))
    return true;
  return burn->state == FQ_BURN_WAITING && fq_list_is_empty (&burn->pending.cells)
         && fq_list_is_empty (&burn->rollup.cells);
}

void
fq_burn_objective (const json_t *objectives,
                   fq_class_t request_class,
                   fq_objective_t *out)
{
  static const fq_objective_t defaults[FQ_CLASS_COUNT] = {
    [FQ_CLASS_CRITICAL] = { .target_percent = 99.9, .latency_ms = 2000 },
    [FQ_CLASS_NORMAL] = { .target_percent = 99.0, .latency_ms = 2000 },
    [FQ_CLASS_LOOKUP] = { .target_percent = 95.0, .latency_ms = 1000 },
  };
  size_t index;
  const json_t *objective;

  *out = defaults[request_class < FQ_CLASS_COUNT ? request_class : FQ_CLASS_LOOKUP];
  json_array_foreach (objectives, index, objective)
  {
    const char *name = json_string_value (json_object_get (objective, "class"));

    if (name == NULL || strcmp (name, fq_class_name (request_class)) != 0)
      continue;
    out->target_percent
        = json_number_value (json_object_get (objective, "target_percent"));
    out->latency_ms
        = (uint32_t)json_integer_value (json_object_get (objective, "latency_ms"));
  }
}
