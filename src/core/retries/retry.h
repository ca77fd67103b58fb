/**
 * DOC: Retry budgets: retries may be only a share of the successes of a service.
 *
 * The bound on one chain is its allowance, carried by each request. The budget here
 * makes retries of all chains together fade when a service fails in general.
 */
#ifndef FQ_CORE_RETRY_H
#define FQ_CORE_RETRY_H

#include "filbertquay/types.h"
#include "util/map.h"

/** struct fq_retry_budgets_t - zero-initialise before use. */
typedef struct
{
  fq_map_t by_service;
} fq_retry_budgets_t;

/** fq_retry_budgets_clear() - free all budgets. */
void fq_retry_budgets_clear (fq_retry_budgets_t *budgets);

/** fq_retry_budget_earn() - a request to @service ended well. */
void fq_retry_budget_earn (fq_retry_budgets_t *budgets, const char *service);

/** fq_retry_budget_spend() - take one retry; false when the budget is used up. */
bool fq_retry_budget_spend (fq_retry_budgets_t *budgets, const char *service);

/**
 * fq_retry_hand_down() - the part of an allowance that goes down with a call.
 *
 * One retry stays here, so that an answer lost below does not end the chain.
 */
uint32_t fq_retry_hand_down (uint32_t allowance);

#endif
