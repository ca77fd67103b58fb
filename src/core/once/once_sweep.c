#include "core/once/once_sweep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once.h"
#include "core/store_ids.h"
#include "util/text.h"

#define FQ_SWEEP_PERIOD_US (60 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SWEEP_BUSY_PERIOD_US (6 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SWEEP_PAGE 128               /* rows in one scan */
#define FQ_SWEEP_CLOCK_SLACK_MS 3600000 /* that clocks of nodes may differ */

void
fq_once_sweep_note (fq_once_sweep_t *sweep,
                    fq_time_t now,
                    const fq_request_t *request,
                    fq_random_t *random)
{
  if (!sweep->active)
    sweep->next = now + (fq_time_t)fq_random_below (random, FQ_SWEEP_PERIOD_US);
  sweep->active = true;
  memcpy (sweep->service.member, request->member, sizeof sweep->service.member);
  memcpy (sweep->service.service, request->service, sizeof sweep->service.service);
}

static void
begin_bucket (fq_once_sweep_t *sweep, fq_random_t *random)
{
  unsigned bucket = (unsigned)fq_random_below (random, FQ_ONCE_BUCKETS);
  size_t length;

  fq_once_prefix (sweep->from, sizeof sweep->from, &sweep->service, bucket);
  fq_text_copy (sweep->to, sizeof sweep->to, sweep->from);
  length = strlen (sweep->to);
  /* The first key after all that begin with the prefix. */
  sweep->to[length - 1]++;
}

void
fq_once_sweep_tick (fq_once_sweep_t *sweep,
                    fq_time_t now,
                    uint64_t *number,
                    fq_random_t *random,
                    fq_effects_t *effects)
{
  fq_store_op_t *op;

  if (!sweep->active || now < sweep->next)
    return;
  sweep->next = now + FQ_SWEEP_PERIOD_US / 2
                + (fq_time_t)fq_random_below (random, FQ_SWEEP_PERIOD_US);
  if (sweep->from[0] == '\0')
    begin_bucket (sweep, random);
  if (fq_store_op_new (&op, FQ_STORE_SCAN, sweep->from) < 0)
    return;
  op->end = strdup (sweep->to);
  op->limit = FQ_SWEEP_PAGE;
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++*number);
  sweep->op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static bool
is_over (const fq_store_row_t *row, int64_t wall_ms)
{
  fq_once_row_t read;
  bool over = false;

  if (wall_ms == 0 || fq_once_row_read (&read, row->value) < 0)
    return false;
  over = read.claimed_ms > 0
         && wall_ms - read.claimed_ms > FQ_ONCE_RETENTION_MS + FQ_SWEEP_CLOCK_SLACK_MS;
  fq_once_row_clear (&read);
  return over;
}

/* Only the very value that was read is removed. A conflict waits for the next page. */
static size_t
remove_rows (const fq_store_answer_t *answer,
             int64_t wall_ms,
             uint64_t *number,
             fq_effects_t *effects)
{
  fq_store_op_t *op;
  size_t count;

  if (fq_store_op_new (&op, FQ_STORE_COMMIT, NULL) < 0)
    return 0;
  for (size_t i = 0; i < answer->row_count && op->write_count < FQ_STORE_WRITES_MAX; i++)
    {
      if (is_over (&answer->rows[i], wall_ms))
        fq_store_op_add_write (op, answer->rows[i].key, NULL, FQ_STORE_EQUALS,
                               answer->rows[i].value);
    }
  count = op->write_count;
  if (count == 0)
    {
      fq_store_op_free (op);
      return 0;
    }
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++*number);
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
  return count;
}

bool
fq_once_sweep_store (fq_once_sweep_t *sweep,
                     fq_time_t now,
                     int64_t wall_ms,
                     const fq_store_answer_t *answer,
                     uint64_t *number,
                     fq_effects_t *effects)
{
  size_t removed;

  if (sweep->op == 0 || answer->id != sweep->op)
    return false;
  sweep->op = 0;
  if (answer->status != FQ_STORE_DONE)
    return true;
  removed = remove_rows (answer, wall_ms, number, effects);
  if (removed == FQ_STORE_WRITES_MAX)
    {
      /* More are due: the same page again, soon. */
      sweep->next = now + FQ_SWEEP_BUSY_PERIOD_US;
      return true;
    }
  if (answer->row_count == FQ_SWEEP_PAGE)
    fq_text_copy (sweep->from, sizeof sweep->from,
                  answer->rows[answer->row_count - 1].key);
  else
    sweep->from[0] = '\0';
  return true;
}
