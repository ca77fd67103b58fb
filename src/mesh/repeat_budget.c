#include "mesh/repeat_budget.h"

#include <string.h>

void
fq_repeat_budget_init (fq_repeat_budget_t *budget, uint32_t window_ms)
{
  *budget = (fq_repeat_budget_t){
    /* The newest bucket is not full yet; the others cover the whole window. */
    .bucket_us = (fq_time_t)window_ms * FQ_MICROSECONDS_PER_MS / (FQ_REPEAT_BUCKETS - 1),
  };
}

static void
advance (fq_repeat_budget_t *budget, fq_time_t now)
{
  int64_t bucket = now / budget->bucket_us;

  if (bucket - budget->newest > FQ_REPEAT_BUCKETS)
    budget->newest = bucket - FQ_REPEAT_BUCKETS;
  while (budget->newest < bucket)
    {
      budget->newest++;
      budget->firsts[budget->newest % FQ_REPEAT_BUCKETS] = 0;
      budget->repeats[budget->newest % FQ_REPEAT_BUCKETS] = 0;
    }
}

static uint32_t
sum (const uint32_t *buckets)
{
  uint32_t total = 0;

  for (int i = 0; i < FQ_REPEAT_BUCKETS; i++)
    total += buckets[i];
  return total;
}

void
fq_repeat_budget_first (fq_repeat_budget_t *budget, fq_time_t now)
{
  advance (budget, now);
  budget->firsts[budget->newest % FQ_REPEAT_BUCKETS]++;
}

bool
fq_repeat_budget_spend (fq_repeat_budget_t *budget,
                        fq_time_t now,
                        double ratio,
                        double slack)
{
  advance (budget, now);
  if (sum (budget->repeats) + 1 > sum (budget->firsts) * ratio + slack)
    return false;
  budget->repeats[budget->newest % FQ_REPEAT_BUCKETS]++;
  return true;
}
