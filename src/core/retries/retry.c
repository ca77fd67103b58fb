#include "core/retries/retry.h"

#include <stdlib.h>

/* Amounts are in thousandths of a retry. */
#define FQ_RETRY_DEPOSIT_MILLI 100 /* per success */
#define FQ_RETRY_COST_MILLI 1000
#define FQ_RETRY_BUDGET_MAX_MILLI 20000

typedef struct
{
  uint32_t balance_milli;
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
budget_for (fq_retry_budgets_t *budgets, const char *service)
{
  uint64_t key = fq_map_hash (service);
  fq_retry_budget_t *budget = fq_map_get (&budgets->by_service, key);

  if (budget != NULL)
    return budget;
  budget = calloc (1, sizeof *budget);
  if (budget == NULL)
    return NULL;
  budget->balance_milli = FQ_RETRY_BUDGET_MAX_MILLI;
  if (fq_map_set (&budgets->by_service, key, budget) < 0)
    {
      free (budget);
      return NULL;
    }
  return budget;
}

void
fq_retry_budget_deposit (fq_retry_budgets_t *budgets, const char *service)
{
  fq_retry_budget_t *budget = budget_for (budgets, service);

  if (budget == NULL)
    return;
  budget->balance_milli += FQ_RETRY_DEPOSIT_MILLI;
  if (budget->balance_milli > FQ_RETRY_BUDGET_MAX_MILLI)
    budget->balance_milli = FQ_RETRY_BUDGET_MAX_MILLI;
}

bool
fq_retry_budget_withdraw (fq_retry_budgets_t *budgets, const char *service)
{
  fq_retry_budget_t *budget = budget_for (budgets, service);

  if (budget == NULL || budget->balance_milli < FQ_RETRY_COST_MILLI)
    return false;
  budget->balance_milli -= FQ_RETRY_COST_MILLI;
  return true;
}

uint32_t
fq_retry_attempt_allowance (uint32_t allowance)
{
  return allowance == 0 ? 0 : allowance - 1;
}
