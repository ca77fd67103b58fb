/**
 * DOC: How many repeats a gate lets through to its server.
 *
 * Over a sliding window, repeats stay below a share of the first arrivals, plus a small
 * number for a gate that has seen few. Each gate keeps to its own part, so that the sum
 * over all gates of a service stays within what operators allow without any agreement.
 */
#ifndef FQ_MESH_REPEAT_BUDGET_H
#define FQ_MESH_REPEAT_BUDGET_H

#include "filbertquay/types.h"

#define FQ_REPEAT_BUCKETS 16

/** struct fq_repeat_budget_t - set up with fq_repeat_budget_init(). */
typedef struct
{
  fq_time_t bucket_us;
  int64_t newest; /* number of the newest bucket */
  uint32_t firsts[FQ_REPEAT_BUCKETS];
  uint32_t repeats[FQ_REPEAT_BUCKETS];
} fq_repeat_budget_t;

/** fq_repeat_budget_init() - an empty window of @window_ms. */
void fq_repeat_budget_init (fq_repeat_budget_t *budget, uint32_t window_ms);

/** fq_repeat_budget_first() - a request reaches the server for the first time. */
void fq_repeat_budget_first (fq_repeat_budget_t *budget, fq_time_t now);

/** fq_repeat_budget_spend() - whether a repeat may go to the server; counts it if so. */
bool fq_repeat_budget_spend (fq_repeat_budget_t *budget,
                             fq_time_t now,
                             double ratio,
                             double slack);

#endif
