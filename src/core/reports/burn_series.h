/**
 * DOC: Good and bad calls by time of day, as roll-ups keep them.
 *
 * Two rings of buckets: five minutes wide for a bit more than an hour, and an hour wide
 * for a bit more than a day. A bucket is named by the wall clock, so that those of
 * different nodes add up. Buckets of the future are left out: a node whose clock is
 * ahead spoils its own counts only.
 */
#ifndef FQ_CORE_BURN_SERIES_H
#define FQ_CORE_BURN_SERIES_H

#include <jansson.h>

#include "filbertquay/types.h"

#define FQ_BURN_FAST_MS ((int64_t)5 * 60 * 1000)
#define FQ_BURN_FAST_COUNT 13
#define FQ_BURN_SLOW_MS ((int64_t)60 * 60 * 1000)
#define FQ_BURN_SLOW_COUNT 25
#define FQ_BURN_CAUSES_MS ((int64_t)12 * 60 * 60 * 1000)
#define FQ_BURN_CAUSES_COUNT 2

#define FQ_BURN_SHORT_BUCKETS 2   /* fast ones: 5 to 10 minutes */
#define FQ_BURN_LONG_BUCKETS 13   /* fast ones: 60 to 65 minutes */
#define FQ_BURN_BUDGET_BUCKETS 25 /* slow ones: 24 to 25 hours */

/** struct fq_burn_bucket_t - calls in one interval; slot 0: unused. */
typedef struct
{
  int64_t slot; /* wall clock divided by the width */
  uint64_t good;
  uint64_t bad;
} fq_burn_bucket_t;

/** struct fq_burn_causes_t - bad calls by cause; FQ_CAUSE_NONE: whole, but late. */
typedef struct
{
  int64_t slot;
  uint64_t counts[FQ_CAUSE_COUNT];
} fq_burn_causes_t;

/** struct fq_burn_series_t - zero-initialise before use. */
typedef struct
{
  fq_burn_bucket_t fast[FQ_BURN_FAST_COUNT];
  fq_burn_bucket_t slow[FQ_BURN_SLOW_COUNT];
  fq_burn_causes_t causes[FQ_BURN_CAUSES_COUNT];
} fq_burn_series_t;

/** fq_burn_series_add() - one call; @cause is looked at when it was bad. */
void fq_burn_series_add (fq_burn_series_t *series,
                         int64_t wall_ms,
                         bool good,
                         fq_cause_t cause);

/** fq_burn_series_merge() - add all that @from has and @wall_ms has reached. */
void fq_burn_series_merge (fq_burn_series_t *to,
                           const fq_burn_series_t *from,
                           int64_t wall_ms);

/** fq_burn_series_is_empty() - whether nothing was added. */
bool fq_burn_series_is_empty (const fq_burn_series_t *series);

/** fq_burn_series_fast() - the sum of the newest @count fast buckets. */
void fq_burn_series_fast (const fq_burn_series_t *series,
                          int64_t wall_ms,
                          size_t count,
                          fq_burn_bucket_t *out);

/** fq_burn_series_slow() - the sum of the newest @count slow buckets. */
void fq_burn_series_slow (const fq_burn_series_t *series,
                          int64_t wall_ms,
                          size_t count,
                          fq_burn_bucket_t *out);

/** fq_burn_series_causes() - bad calls by cause, of the last 12 to 24 hours. */
void fq_burn_series_causes (const fq_burn_series_t *series,
                            int64_t wall_ms,
                            uint64_t out[FQ_CAUSE_COUNT]);

/** fq_burn_series_json() - a new reference; only what is not older than the rings. */
json_t *fq_burn_series_json (const fq_burn_series_t *series, int64_t wall_ms);

/** fq_burn_series_read() - what is malformed, old or of the future is left out. */
void fq_burn_series_read (fq_burn_series_t *out, const json_t *json, int64_t wall_ms);

#endif
