#include "core/once/once_sweep.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once.h"
#include "core/store_op_ids.h"
#include "util/text.h"

/* The mean time between two pages. */
#define FQ_SWEEP_PERIOD_US (60 * FQ_MICROSECONDS_PER_SECOND)
/* The time to the next scan, of the same page, after FQ_STORE_WRITES_MAX rows, the
 * maximum of a transaction, were to be removed. */
#define FQ_SWEEP_BACKLOG_PERIOD_US (6 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SWEEP_PAGE_ROWS 128         /* rows in one scan */
#define FQ_SWEEP_CLOCK_SKEW_MS 3600000 /* tolerated between the clocks of nodes */

void
fq_once_sweep_set_service (fq_once_sweep_t *sweep,
                           fq_time_t now,
                           const fq_request_t *request,
                           fq_random_t *random)
{
  if (!sweep->has_service)
    sweep->next_scan_at = now + (fq_time_t)fq_random_below (random, FQ_SWEEP_PERIOD_US);
  sweep->has_service = true;
  memcpy (sweep->service.member, request->member, sizeof sweep->service.member);
  memcpy (sweep->service.service, request->service, sizeof sweep->service.service);
}

static void
start_random_bucket (fq_once_sweep_t *sweep, fq_random_t *random)
{
  unsigned bucket = (unsigned)fq_random_below (random, FQ_ONCE_BUCKETS);
  size_t length;

  fq_once_bucket_prefix (sweep->scan_from, sizeof sweep->scan_from, &sweep->service,
                         bucket);
  fq_text_copy (sweep->scan_end, sizeof sweep->scan_end, sweep->scan_from);
  length = strlen (sweep->scan_end);
  /* The first key after all that have the prefix. */
  sweep->scan_end[length - 1]++;
}

void
fq_once_sweep_tick (fq_once_sweep_t *sweep,
                    fq_time_t now,
                    uint64_t *op_count,
                    fq_random_t *random,
                    fq_effects_t *effects)
{
  fq_store_op_t *op;

  if (!sweep->has_service || now < sweep->next_scan_at)
    return;
  sweep->next_scan_at = now + FQ_SWEEP_PERIOD_US / 2
                        + (fq_time_t)fq_random_below (random, FQ_SWEEP_PERIOD_US);
  if (sweep->scan_from[0] == '\0')
    start_random_bucket (sweep, random);
  if (fq_store_op_new (&op, FQ_STORE_SCAN, sweep->scan_from) < 0)
    return;
  op->end = strdup (sweep->scan_end);
  op->limit = FQ_SWEEP_PAGE_ROWS;
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++*op_count);
  sweep->scan_op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static bool
is_expired (const fq_store_row_t *row, int64_t wall_ms)
{
  fq_once_row_t claim;
  bool expired = false;

  if (wall_ms == 0 || fq_once_row_decode (&claim, row->value) < 0)
    return false;
  expired = claim.claimed_ms > 0
            && wall_ms - claim.claimed_ms > FQ_ONCE_RETENTION_MS + FQ_SWEEP_CLOCK_SKEW_MS;
  fq_once_row_clear (&claim);
  return expired;
}

/*
 * Removes rows only if they still have the value that was read. After a conflict nothing
 * is removed; a later scan of the same rows tries again. Returns the number of rows.
 */
static size_t
remove_expired_rows (const fq_store_answer_t *answer,
                     int64_t wall_ms,
                     uint64_t *op_count,
                     fq_effects_t *effects)
{
  fq_store_op_t *op;
  size_t count;

  if (fq_store_op_new (&op, FQ_STORE_COMMIT, NULL) < 0)
    return 0;
  for (size_t i = 0; i < answer->row_count && op->write_count < FQ_STORE_WRITES_MAX; i++)
    {
      if (is_expired (&answer->rows[i], wall_ms))
        fq_store_op_add_write (op, answer->rows[i].key, NULL, FQ_STORE_EQUALS,
                               answer->rows[i].value);
    }
  count = op->write_count;
  if (count == 0)
    {
      fq_store_op_free (op);
      return 0;
    }
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++*op_count);
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
  return count;
}

bool
fq_once_sweep_handle_store_answer (fq_once_sweep_t *sweep,
                                   fq_time_t now,
                                   int64_t wall_ms,
                                   const fq_store_answer_t *answer,
                                   uint64_t *op_count,
                                   fq_effects_t *effects)
{
  size_t removed;

  if (sweep->scan_op == 0 || answer->id != sweep->scan_op)
    return false;
  sweep->scan_op = 0;
  if (answer->status != FQ_STORE_DONE)
    return true;
  removed = remove_expired_rows (answer, wall_ms, op_count, effects);
  if (removed == FQ_STORE_WRITES_MAX)
    {
      /* The page may have more expired rows: scan it again soon. */
      sweep->next_scan_at = now + FQ_SWEEP_BACKLOG_PERIOD_US;
      return true;
    }
  if (answer->row_count == FQ_SWEEP_PAGE_ROWS)
    fq_text_copy (sweep->scan_from, sizeof sweep->scan_from,
                  answer->rows[answer->row_count - 1].key);
  else
    sweep->scan_from[0] = '\0';
  return true;
}
