/**
 * DOC: Repeat budget of a gate.
 *
 * A repeat is a retry of a request that has reached a server before, or a call made by a
 * run that is itself a repeat. Over a sliding window, the repeats that a gate sends to
 * its server stay below a share of the first arrivals, plus a small constant for a gate
 * with little traffic. Each gate enforces its own part of the limits, so that the
 * sum over all gates of a service stays within the operators' limits without
 * coordination.
 */
#ifndef FQ_MESH_REPEAT_BUDGET_H
#define FQ_MESH_REPEAT_BUDGET_H

#include "filbertquay/types.h"

#define FQ_REPEAT_BUCKETS 16

/** struct fq_repeat_budget_t - set up with fq_repeat_budget_init(). */
typedef struct
{
  fq_time_t bucket_us;
  int64_t newest_bucket; /* time divided by bucket_us */
  uint32_t first_arrivals[FQ_REPEAT_BUCKETS];
  uint32_t repeats[FQ_REPEAT_BUCKETS];
} fq_repeat_budget_t;

/** fq_repeat_budget_init() - start with an empty window of @window_ms, which is not 0.
 */
void fq_repeat_budget_init (fq_repeat_budget_t *budget, uint32_t window_ms);

/** fq_repeat_budget_count_first() - count a request that is not a repeat. */
void fq_repeat_budget_count_first (fq_repeat_budget_t *budget, fq_time_t now);

/**
 * fq_repeat_budget_spend() - whether a repeat may go to the server; counts it if so.
 * @ratio: allowed repeats for each first arrival of the window
 * @slack: allowed repeats on top of that
 */
bool fq_repeat_budget_spend (fq_repeat_budget_t *budget,
                             fq_time_t now,
                             double ratio,
                             double slack);

#endif
