#include "mesh/retry_budget.h"

#include <string.h>

void
fq_retry_budget_init (fq_retry_budget_t *budget, uint32_t window_ms)
{
  *budget = (fq_retry_budget_t){
    .bucket_us = (fq_time_t)window_ms * FQ_MICROSECONDS_PER_MS / FQ_RETRY_BUCKETS,
  };
}

static void
advance (fq_retry_budget_t *budget, fq_time_t now)
{
  int64_t bucket = now / budget->bucket_us;

  if (bucket - budget->newest > FQ_RETRY_BUCKETS)
    budget->newest = bucket - FQ_RETRY_BUCKETS;
  while (budget->newest < bucket)
    {
      budget->newest++;
      budget->firsts[budget->newest % FQ_RETRY_BUCKETS] = 0;
      budget->repeats[budget->newest % FQ_RETRY_BUCKETS] = 0;
    }
}

static uint32_t
sum (const uint32_t *buckets)
{
  uint32_t total = 0;

  for (int i = 0; i < FQ_RETRY_BUCKETS; i++)
    total += buckets[i];
  return total;
}

void
fq_retry_budget_first (fq_retry_budget_t *budget, fq_time_t now)
{
  advance (budget, now);
  budget->firsts[budget->newest % FQ_RETRY_BUCKETS]++;
}

bool
fq_retry_budget_spend (fq_retry_budget_t *budget,
                       fq_time_t now,
                       double ratio,
                       double slack)
{
  advance (budget, now);
  if (sum (budget->repeats) + 1 > sum (budget->firsts) * ratio + slack)
    return false;
  budget->repeats[budget->newest % FQ_RETRY_BUCKETS]++;
  return true;
}
