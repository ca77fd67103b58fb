#include "mesh/repeat_budget.h"

#include <string.h>

void
fq_repeat_budget_init (fq_repeat_budget_t *budget, uint32_t window_ms)
{
  *budget = (fq_repeat_budget_t){
    /* The newest bucket is only partly elapsed; the others cover the whole window. */
    .bucket_us = (fq_time_t)window_ms * FQ_MICROSECONDS_PER_MS / (FQ_REPEAT_BUCKETS - 1),
  };
}

static void
advance_window (fq_repeat_budget_t *budget, fq_time_t now)
{
  int64_t bucket = now / budget->bucket_us;

  /* After a long pause, each bucket needs to be cleared only once. */
  if (bucket - budget->newest_bucket > FQ_REPEAT_BUCKETS)
    budget->newest_bucket = bucket - FQ_REPEAT_BUCKETS;
  while (budget->newest_bucket < bucket)
    {
      budget->newest_bucket++;
      budget->first_arrivals[budget->newest_bucket % FQ_REPEAT_BUCKETS] = 0;
      budget->repeats[budget->newest_bucket % FQ_REPEAT_BUCKETS] = 0;
    }
}

static uint32_t
sum_buckets (const uint32_t *buckets)
{
  uint32_t total = 0;

  for (int i = 0; i < FQ_REPEAT_BUCKETS; i++)
    total += buckets[i];
  return total;
}

void
fq_repeat_budget_count_first (fq_repeat_budget_t *budget, fq_time_t now)
{
  advance_window (budget, now);
  budget->first_arrivals[budget->newest_bucket % FQ_REPEAT_BUCKETS]++;
}

bool
fq_repeat_budget_spend (fq_repeat_budget_t *budget,
                        fq_time_t now,
                        double ratio,
                        double slack)
{
  advance_window (budget, now);
  if (sum_buckets (budget->repeats) + 1
      > sum_buckets (budget->first_arrivals) * ratio + slack)
    return false;
  budget->repeats[budget->newest_bucket % FQ_REPEAT_BUCKETS]++;
  return true;
}
