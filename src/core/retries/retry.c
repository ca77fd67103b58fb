#include "core/retries/retry.h"

#include <stdlib.h>

#define FQ_RETRY_EARNED_PER_MILLE                                                        \
  100 /* thousandths of a retry that one success earns                                   \
       */
#define FQ_RETRY_COST_PER_MILLE 1000
#define FQ_RETRY_BUDGET_MAX_PER_MILLE 20000

typedef struct
{
  uint32_t per_mille;
} fq_retry_budget_t;

void
fq_retry_budgets_clear (fq_retry_budgets_t *budgets)
{
  size_t cursor = 0;
  void *value;

  while ((value = fq_map_next (&budgets->by_service, &cursor)) != NULL)
    free (value);
  fq_map_clear (&budgets->by_service);
}

static fq_retry_budget_t *
budget_of (fq_retry_budgets_t *budgets, const char *service)
{
  uint64_t key = fq_map_hash (service);
  fq_retry_budget_t *budget = fq_map_get (&budgets->by_service, key);

  if (budget != NULL)
    return budget;
  budget = calloc (1, sizeof *budget);
  if (budget == NULL)
    return NULL;
  budget->per_mille = FQ_RETRY_BUDGET_MAX_PER_MILLE;
  if (fq_map_set (&budgets->by_service, key, budget) < 0)
    {
      free (budget);
      return NULL;
    }
  return budget;
}

void
fq_retry_budget_earn (fq_retry_budgets_t *budgets, const char *service)
{
  fq_retry_budget_t *budget = budget_of (budgets, service);

  if (budget == NULL)
    return;
  budget->per_mille += FQ_RETRY_EARNED_PER_MILLE;
  if (budget->per_mille > FQ_RETRY_BUDGET_MAX_PER_MILLE)
    budget->per_mille = FQ_RETRY_BUDGET_MAX_PER_MILLE;
}

bool
fq_retry_budget_spend (fq_retry_budgets_t *budgets, const char *service)
{
  fq_retry_budget_t *budget = budget_of (budgets, service);

  if (budget == NULL || budget->per_mille < FQ_RETRY_COST_PER_MILLE)
    return false;
  budget->per_mille -= FQ_RETRY_COST_PER_MILLE;
  return true;
}

uint32_t
fq_retry_hand_down (uint32_t allowance)
{
  return allowance == 0 ? 0 : allowance - 1;
}
