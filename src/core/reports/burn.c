#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn_private.h"
#include "core/store_ids.h"
#include "util/text.h"

#define FQ_BURN_TRIES 4 /* writes that lose a race in one turn */
#define FQ_BURN_RETRY_US (500 * FQ_MICROSECONDS_PER_MS)
#define FQ_BURN_BACKOFF_MAX 8 /* turns that are left out after a failure */

int
fq_burn_new (fq_burn_t **out, const fq_burn_options_t *options)
{
  fq_burn_t *burn = calloc (1, sizeof *burn);

  if (burn == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for burn");
  fq_text_copy (burn->node, sizeof burn->node, options->node);
  burn->incarnation = options->incarnation;
  burn->turn_ms = options->turn_ms;
  burn->tickets = options->tickets;
  burn->random.state = options->seed;
  burn->backoff = 1;
  fq_burn_table_init (&burn->unsent);
  fq_burn_table_init (&burn->sending);
  fq_list_init (&burn->questions);
  *out = burn;
  return FQ_OK;
}

void
fq_burn_free (fq_burn_t *burn)
{
  if (burn == NULL)
    return;
  fq_burn_question_free_all (burn);
  fq_burn_table_clear (&burn->unsent);
  fq_burn_table_clear (&burn->sending);
  free (burn);
}

/* What the caller did wrong, or twice, says nothing of the service. */
static bool
is_callers_doing (fq_cause_t cause)
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
fq_burn_call (fq_burn_t *burn,
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

  if (is_callers_doing (cause) || cause >= FQ_CAUSE_COUNT)
    return;
  cell = fq_burn_table_cell (&burn->unsent, request->member, request->service,
                             request->request_class);
  if (cell == NULL)
    {
      burn->unsent.left_out++;
      return;
    }
  fq_burn_series_add (&cell->series, wall_ms, whole && latency <= limit,
                      whole ? FQ_CAUSE_NONE : cause);
}

fq_id_t
fq_burn_ask_store (fq_burn_t *burn, fq_store_op_t *op, fq_effects_t *effects)
{
  op->id = fq_store_op_id (FQ_STORE_OWNER_BURN, ++burn->store_ids);
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
  return op->id;
}

static fq_time_t
turn_us (fq_burn_t *burn, size_t nodes)
{
  fq_time_t turn = (fq_time_t)burn->turn_ms * FQ_MICROSECONDS_PER_MS
                   * (fq_time_t)(nodes == 0 ? 1 : nodes) * burn->backoff;

  /* Between half and one and a half turns, so that nodes never fall into step. */
  return turn / 2 + (fq_time_t)fq_random_below (&burn->random, (uint64_t)turn);
}

static void
row_key (const fq_burn_t *burn, char key[FQ_BURN_KEY_BYTES])
{
  snprintf (key, FQ_BURN_KEY_BYTES, "burn/%s/%s", burn->member, burn->service);
}

/* The turn is over: wait for the next one. */
static void
end_turn (fq_burn_t *burn, bool failed)
{
  burn->state = FQ_BURN_WAITING;
  burn->next = 0;
  burn->store = 0;
  burn->tries = 0;
  burn->gave_up = failed;
  if (!failed)
    burn->backoff = 1;
  else if (burn->backoff < FQ_BURN_BACKOFF_MAX)
    burn->backoff *= 2;
}

static void
begin_read (fq_burn_t *burn, fq_effects_t *effects)
{
  char key[FQ_BURN_KEY_BYTES];
  fq_store_op_t *op;

  row_key (burn, key);
  if (fq_store_op_new (&op, FQ_STORE_GET, key) < 0)
    {
      end_turn (burn, true);
      return;
    }
  burn->state = FQ_BURN_READING;
  burn->store = fq_burn_ask_store (burn, op, effects);
}

/* Rolls up the counts of the next member, or ends the turn. */
static void
next_member (fq_burn_t *burn, fq_effects_t *effects)
{
  fq_list_t *first = fq_list_first (&burn->sending.cells);

  if (first == NULL)
    {
      fq_burn_table_clear (&burn->sending);
      end_turn (burn, false);
      return;
    }
  memcpy (burn->member, FQ_LIST_ENTRY (first, fq_burn_cell_t, link)->member,
          sizeof burn->member);
  burn->tries = 0;
  begin_read (burn, effects);
}

static void
begin_turn (fq_burn_t *burn, fq_effects_t *effects)
{
  if (fq_list_is_empty (&burn->sending.cells))
    {
      fq_burn_table_move (&burn->sending, &burn->unsent);
      burn->sequence++;
    }
  next_member (burn, effects);
}

/* The rows hold what was being rolled up for the present member. */
static void
member_done (fq_burn_t *burn, fq_effects_t *effects)
{
  fq_burn_table_remove (&burn->sending, burn->member);
  next_member (burn, effects);
}

static void
write_row (fq_burn_t *burn,
           int64_t wall_ms,
           const json_t *row,
           const char *present,
           fq_effects_t *effects)
{
  fq_burn_writer_t writer = { burn->incarnation, burn->sequence, wall_ms };
  char key[FQ_BURN_KEY_BYTES];
  char *text = fq_burn_row_text (row, &burn->sending, burn->member, burn->node, &writer);
  fq_store_op_t *op = NULL;

  row_key (burn, key);
  if (text == NULL || fq_store_op_new (&op, FQ_STORE_COMMIT, key) < 0
      || fq_store_op_add_write (
             op, key, text, present == NULL ? FQ_STORE_ABSENT : FQ_STORE_EQUALS, present)
             < 0)
    {
      fq_store_op_free (op);
      end_turn (burn, true);
    }
  else
    {
      burn->state = FQ_BURN_WRITING;
      burn->store = fq_burn_ask_store (burn, op, effects);
    }
  free (text);
}

static void
row_was_read (fq_burn_t *burn,
              int64_t wall_ms,
              const fq_store_answer_t *answer,
              fq_effects_t *effects)
{
  const char *present = answer->row_count > 0 ? answer->rows[0].value : NULL;
  json_t *row;
  fq_burn_writer_t writer;

  if (answer->status != FQ_STORE_DONE && answer->status != FQ_STORE_NOT_FOUND)
    {
      end_turn (burn, true);
      return;
    }
  row = fq_burn_row_parse (present);
  /* An earlier write took effect although its answer was lost. */
  if (fq_burn_row_writer (row, burn->node, &writer)
      && writer.incarnation == burn->incarnation && writer.sequence >= burn->sequence)
    member_done (burn, effects);
  else
    write_row (burn, wall_ms, row, present, effects);
  json_decref (row);
}

static void
row_was_written (fq_burn_t *burn,
                 fq_time_t now,
                 const fq_store_answer_t *answer,
                 fq_effects_t *effects)
{
  switch (answer->status)
    {
    case FQ_STORE_DONE:
      member_done (burn, effects);
      break;
    case FQ_STORE_CONFLICT:
      if (++burn->tries >= FQ_BURN_TRIES)
        {
          end_turn (burn, true);
          break;
        }
      burn->state = FQ_BURN_WAITING;
      burn->store = 0;
      burn->next = now + 1 + (fq_time_t)fq_random_below (&burn->random, FQ_BURN_RETRY_US);
      break;
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_BUSY:
    case FQ_STORE_UNAVAILABLE:
      end_turn (burn, true);
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
  if (answer->id == burn->store)
    {
      burn->store = 0;
      if (burn->state == FQ_BURN_READING)
        row_was_read (burn, wall_ms, answer, effects);
      else
        row_was_written (burn, now, answer, effects);
      return;
    }
  fq_burn_question_store (burn, wall_ms, answer, effects);
}

void
fq_burn_tick (fq_burn_t *burn,
              fq_time_t now,
              int64_t wall_ms,
              const char *service,
              size_t nodes,
              fq_effects_t *effects)
{
  fq_burn_question_tick (burn, now, wall_ms, effects);
  if (service[0] == '\0' || burn->state != FQ_BURN_WAITING)
    return;
  if (burn->tries == 0)
    fq_text_copy (burn->service, sizeof burn->service, service);
  if (burn->next == 0)
    burn->next = burn->stopping ? now : now + turn_us (burn, nodes);
  if (now < burn->next)
    return;
  if (burn->stopping && fq_burn_is_idle (burn))
    return;
  if (burn->tries > 0)
    begin_read (burn, effects);
  else
    begin_turn (burn, effects);
}

void
fq_burn_stop (fq_burn_t *burn)
{
  if (burn->stopping)
    return;
  burn->stopping = true;
  burn->gave_up = false;
  if (burn->tries == 0)
    burn->next = 0;
}

bool
fq_burn_is_idle (const fq_burn_t *burn)
{
  if (burn->service[0] == '\0' || (burn->stopping && burn->gave_up))
    return true;
  return burn->state == FQ_BURN_WAITING && fq_list_is_empty (&burn->unsent.cells)
         && fq_list_is_empty (&burn->sending.cells);
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
