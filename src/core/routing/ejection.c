#include "core/routing/ejection.h"

#define FQ_FAILURE_WEIGHT (1.0 / 8) /* of an attempt in the share of failures */
#define FQ_FAILURE_SHARE_MAX 0.5    /* above it a node is ejected */
#define FQ_RESULTS_MIN 5            /* before a node is ejected */
#define FQ_EJECTION_BASE_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_EJECTION_DOUBLINGS_MAX 4

/* Time after the end of an ejection after which the backoff starts again at the base. */
#define FQ_EJECTION_RESET_US (60 * FQ_MICROSECONDS_PER_SECOND)

#define FQ_SLOW_START_US (5 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SLOW_START_SHARE 0.1 /* share of the usual load when an ejection ends */

bool
fq_ejection_record (fq_ejection_t *ejection, bool failed)
{
  double sample = failed ? 1 : 0;

  ejection->results++;
  ejection->failure_share += FQ_FAILURE_WEIGHT * (sample - ejection->failure_share);
  if (ejection->results < FQ_RESULTS_MIN)
    return false;
  return failed && ejection->failure_share > FQ_FAILURE_SHARE_MAX;
}

void
fq_ejection_start (fq_ejection_t *ejection, fq_time_t now, fq_random_t *random)
{
  fq_time_t length;

  if (ejection->last_ended > 0 && now - ejection->last_ended > FQ_EJECTION_RESET_US)
    ejection->ejections = 0;
  length = (fq_time_t)FQ_EJECTION_BASE_US << ejection->ejections;
  if (ejection->ejections < FQ_EJECTION_DOUBLINGS_MAX)
    ejection->ejections++;
  ejection->until
      = now + length + (fq_time_t)fq_random_below (random, (uint64_t)length / 2);
}

void
fq_ejection_end (fq_ejection_t *ejection, fq_time_t now)
{
  ejection->until = 0;
  ejection->last_ended = now;
  ejection->results = 0;
  ejection->failure_share = 0;
}

double
fq_ejection_weight (const fq_ejection_t *ejection, fq_time_t now)
{
  double share;

  if (ejection->last_ended == 0)
    return 1;
  share = (double)(now - ejection->last_ended) / FQ_SLOW_START_US;
  if (share >= 1)
    return 1;
  return share < FQ_SLOW_START_SHARE ? FQ_SLOW_START_SHARE : share;
}
