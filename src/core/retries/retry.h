/**
 * DOC: Retry budgets bound the retries sent to a service by a share of its successes.
 *
 * The retries of one chain are bounded by its allowance, which each request carries. The
 * budget bounds the retries of all chains together: when most requests to a service
 * fail, it runs out and retries stop.
 */
#ifndef FQ_CORE_RETRY_H
#define FQ_CORE_RETRY_H

#include "filbertquay/types.h"
#include "util/map.h"

/** struct fq_retry_budgets_t - budgets by service; zero-initialise before use. */
typedef struct
{
  fq_map_t by_service;
} fq_retry_budgets_t;

/** fq_retry_budgets_clear() - free all budgets; they start full when used again. */
void fq_retry_budgets_clear (fq_retry_budgets_t *budgets);

/** fq_retry_budget_deposit() - add a tenth of a retry for a success, up to 20 retries. */
void fq_retry_budget_deposit (fq_retry_budgets_t *budgets, const char *service);

/**
 * fq_retry_budget_withdraw() - take one retry.
 *
 * Return: false if less than one is left, or without memory.
 */
bool fq_retry_budget_withdraw (fq_retry_budgets_t *budgets, const char *service);

/**
 * fq_retry_attempt_allowance() - part of an allowance that is passed on with an attempt.
 *
 * One retry is kept back, so that the caller can still retry if the answer, and with it
 * the rest of the allowance, is lost.
 */
uint32_t fq_retry_attempt_allowance (uint32_t allowance);

#endif
