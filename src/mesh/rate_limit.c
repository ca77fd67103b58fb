#include "mesh/rate_limit.h"

#include <math.h>

/* At a limit of 0, only an answer to some request tells that the limit is lifted. */
#define FQ_RATE_MIN_PER_SECOND 0.2
#define FQ_BURST_SECONDS                                                                 \
  0.1 /* of the rate: tokens that the bucket holds, at least one                         \
       */
#define FQ_TOKEN_ROUNDING 1e-6

static double
capacity (const fq_rate_limit_t *limit)
{
  return fmax (1, limit->per_second * FQ_BURST_SECONDS);
}

void
fq_rate_limit_set (fq_rate_limit_t *limit, fq_time_t now, double per_second)
{
  fq_rate_limit_refill (limit, now);
  limit->per_second = fmax (per_second, FQ_RATE_MIN_PER_SECOND);
  if (!limit->active)
    limit->tokens = capacity (limit);
  limit->tokens = fmin (limit->tokens, capacity (limit));
  limit->active = true;
  limit->refilled_at = now;
}

void
fq_rate_limit_lift (fq_rate_limit_t *limit)
{
  *limit = (fq_rate_limit_t){ 0 };
}

void
fq_rate_limit_refill (fq_rate_limit_t *limit, fq_time_t now)
{
  double elapsed = (double)(now - limit->refilled_at) / FQ_MICROSECONDS_PER_SECOND;

  if (!limit->active || elapsed <= 0)
    return;
  limit->tokens = fmin (limit->tokens + elapsed * limit->per_second, capacity (limit));
  limit->refilled_at = now;
}

bool
fq_rate_limit_is_open (const fq_rate_limit_t *limit)
{
  return !limit->active || limit->tokens >= 1 - FQ_TOKEN_ROUNDING;
}

void
fq_rate_limit_take (fq_rate_limit_t *limit)
{
  if (limit->active)
    limit->tokens -= 1;
}

void
fq_rate_limit_put_back (fq_rate_limit_t *limit)
{
  if (limit->active)
    limit->tokens = fmin (limit->tokens + 1, capacity (limit));
}

fq_time_t
fq_rate_limit_wait (const fq_rate_limit_t *limit, uint32_t ahead)
{
  double missing = (double)ahead + 1 - limit->tokens;

  if (!limit->active || missing <= FQ_TOKEN_ROUNDING)
    return 0;
  return (fq_time_t)ceil (missing / limit->per_second * FQ_MICROSECONDS_PER_SECOND);
}

fq_time_t
fq_rate_limit_assign_return (fq_rate_limit_t *limit, fq_time_t now, uint32_t ahead)
{
  fq_time_t earliest = now + fq_rate_limit_wait (limit, ahead);
  fq_time_t latest = now + FQ_RETURN_MAX_US;

  if (!limit->active)
    return 0;
  /* Begins anew when the last one has come back, or when no time is left to assign. */
  if (limit->next_return < earliest || limit->next_return > latest)
    limit->next_return = earliest < latest ? earliest : latest;
  earliest = limit->next_return;
  limit->next_return += (fq_time_t)(FQ_MICROSECONDS_PER_SECOND / limit->per_second);
  return earliest - now;
}
