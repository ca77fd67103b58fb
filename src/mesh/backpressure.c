#include "mesh/backpressure.h"

#define FQ_EPOCH_US                                                                      \
  (300 * FQ_MICROSECONDS_PER_MS) /* about the duration of a whole call chain */
#define FQ_EPOCH_RUNS_MIN 3
#define FQ_STARVED_SHARE_MAX 0.08 /* above it the limit is lowered */
/* The relative reduction of the limit is this times the share of starved runs. */
#define FQ_REDUCTION_PER_SHARE 0.6
#define FQ_INCREASE_STARVED 0.1       /* relative; while some runs starve */
#define FQ_INCREASE_NONE_STARVED 0.25 /* relative; while none does */
#define FQ_INCREASE_MIN 1.0
#define FQ_LIMIT_MIN 1.0
#define FQ_LIMIT_REMOVED_ABOVE 400.0 /* above it the rank is unlimited again */

void
fq_backpressure_run_started (fq_backpressure_t *backpressure, uint32_t in_flight)
{
  if (in_flight > backpressure->peak)
    backpressure->peak = in_flight;
}

static void
reduce_limit (fq_backpressure_t *backpressure, double share)
{
  double base = backpressure->limit == 0 || backpressure->peak < backpressure->limit
                    ? backpressure->peak
                    : backpressure->limit;

  backpressure->limit = base * (1 - FQ_REDUCTION_PER_SHARE * share);
  if (backpressure->limit < FQ_LIMIT_MIN)
    backpressure->limit = FQ_LIMIT_MIN;
}

/* A limit that was not reached gives no evidence that a higher one is safe. */
static void
raise_limit (fq_backpressure_t *backpressure)
{
  double increase
      = backpressure->limit
        * (backpressure->starved == 0 ? FQ_INCREASE_NONE_STARVED : FQ_INCREASE_STARVED);

  if (backpressure->limit == 0 || backpressure->peak + 1 < backpressure->limit)
    return;
  backpressure->limit += increase > FQ_INCREASE_MIN ? increase : FQ_INCREASE_MIN;
  if (backpressure->limit > FQ_LIMIT_REMOVED_ABOVE)
    backpressure->limit = 0;
}

void
fq_backpressure_run_ended (fq_backpressure_t *backpressure,
                           fq_time_t now,
                           fq_time_t started,
                           bool starved)
{
  double share;

  if (started < backpressure->reduced_at)
    return;
  backpressure->ended++;
  backpressure->starved += starved ? 1 : 0;
  if (now - backpressure->epoch_start < FQ_EPOCH_US
      || backpressure->ended < FQ_EPOCH_RUNS_MIN)
    return;
  share = (double)backpressure->starved / backpressure->ended;
  if (share > FQ_STARVED_SHARE_MAX)
    {
      reduce_limit (backpressure, share);
      backpressure->reduced_at = now;
    }
  else
    raise_limit (backpressure);
  backpressure->epoch_start = now;
  backpressure->ended = 0;
  backpressure->starved = 0;
  backpressure->peak = 0;
}

uint32_t
fq_backpressure_limit (const fq_backpressure_t *backpressure)
{
  return backpressure->limit == 0 ? FQ_BACKPRESSURE_NO_LIMIT
                                  : (uint32_t)backpressure->limit;
}
