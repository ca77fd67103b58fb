/**
 * DOC: Time series of good and bad calls, as roll-ups store them.
 *
 * Two rings of buckets: fine ones of five minutes for 60 to 65 minutes, and coarse ones
 * of an hour for 24 to 25 hours. A third, of 12-hour buckets, has the causes of bad
 * calls. A bucket is identified by the wall clock, so that buckets of different nodes can
 * be added. Merging and reading skip buckets in the future, so that a node whose clock is
 * ahead distorts its own counts only. Stored JSON calls the rings "fast" and "slow".
 */
#ifndef FQ_CORE_BURN_SERIES_H
#define FQ_CORE_BURN_SERIES_H

#include <jansson.h>

#include "filbertquay/types.h"

#define FQ_BURN_FINE_MS ((int64_t)5 * 60 * 1000)
#define FQ_BURN_FINE_COUNT 13
#define FQ_BURN_COARSE_MS ((int64_t)60 * 60 * 1000)
#define FQ_BURN_COARSE_COUNT 25
#define FQ_BURN_CAUSES_MS ((int64_t)12 * 60 * 60 * 1000)
#define FQ_BURN_CAUSES_COUNT 2

#define FQ_BURN_SHORT_WINDOW_BUCKETS 2   /* fine ones: 5 to 10 minutes */
#define FQ_BURN_LONG_WINDOW_BUCKETS 13   /* fine ones: 60 to 65 minutes */
#define FQ_BURN_BUDGET_WINDOW_BUCKETS 25 /* coarse ones: 24 to 25 hours */

/** struct fq_burn_bucket_t - calls in one interval; @interval 0: unused. */
typedef struct
{
  int64_t interval; /* wall clock divided by the width of the bucket */
  uint64_t good;
  uint64_t bad;
} fq_burn_bucket_t;

/** struct fq_burn_causes_t - bad calls by cause; FQ_CAUSE_NONE: answered too late. */
typedef struct
{
  int64_t interval; /* 0: unused */
  uint64_t counts[FQ_CAUSE_COUNT];
} fq_burn_causes_t;

/** struct fq_burn_series_t - zero-initialise before use. */
typedef struct
{
  fq_burn_bucket_t fine[FQ_BURN_FINE_COUNT];
  fq_burn_bucket_t coarse[FQ_BURN_COARSE_COUNT];
  fq_burn_causes_t causes[FQ_BURN_CAUSES_COUNT];
} fq_burn_series_t;

/** fq_burn_series_add() - count one call; @cause is ignored for a good one. */
void fq_burn_series_add (fq_burn_series_t *series,
                         int64_t wall_ms,
                         bool good,
                         fq_cause_t cause);

/** fq_burn_series_merge() - add the buckets of @from that are not after @wall_ms. */
void fq_burn_series_merge (fq_burn_series_t *to,
                           const fq_burn_series_t *from,
                           int64_t wall_ms);

/** fq_burn_series_is_empty() - whether no coarse bucket is in use. */
bool fq_burn_series_is_empty (const fq_burn_series_t *series);

/** fq_burn_series_sum_fine() - sum the @count fine buckets up to @wall_ms. */
void fq_burn_series_sum_fine (const fq_burn_series_t *series,
                              int64_t wall_ms,
                              size_t count,
                              fq_burn_bucket_t *out);

/** fq_burn_series_sum_coarse() - sum the @count coarse buckets up to @wall_ms. */
void fq_burn_series_sum_coarse (const fq_burn_series_t *series,
                                int64_t wall_ms,
                                size_t count,
                                fq_burn_bucket_t *out);

/** fq_burn_series_sum_causes() - bad calls of the last 12 to 24 hours, by cause. */
void fq_burn_series_sum_causes (const fq_burn_series_t *series,
                                int64_t wall_ms,
                                uint64_t out[FQ_CAUSE_COUNT]);

/** fq_burn_series_to_json() - a new reference; omits expired and future buckets. */
json_t *fq_burn_series_to_json (const fq_burn_series_t *series, int64_t wall_ms);

/** fq_burn_series_from_json() - set @out; skips malformed, expired and future buckets. */
void
fq_burn_series_from_json (fq_burn_series_t *out, const json_t *json, int64_t wall_ms);

#endif
