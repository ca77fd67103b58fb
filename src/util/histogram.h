/**
 * DOC: A log-linear histogram of durations in microseconds.
 *
 * Every power of two is split into equal parts, so that a bucket is at most a 32nd
 * wide of its value, at a fixed size.
 */
#ifndef FQ_UTIL_HISTOGRAM_H
#define FQ_UTIL_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define FQ_HISTOGRAM_PARTS_BITS 5
#define FQ_HISTOGRAM_PARTS (1 << FQ_HISTOGRAM_PARTS_BITS)
#define FQ_HISTOGRAM_POWERS 24 /* the last bucket begins above four minutes */
#define FQ_HISTOGRAM_BUCKETS (FQ_HISTOGRAM_PARTS * FQ_HISTOGRAM_POWERS)

/** struct fq_histogram_t - zero-initialise before use. */
typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint32_t buckets[FQ_HISTOGRAM_BUCKETS];
} fq_histogram_t;

/** fq_histogram_add() - count one duration; below zero counts as zero. */
void fq_histogram_add (fq_histogram_t *histogram, int64_t us);

/** fq_histogram_merge() - count all that @from has. */
void fq_histogram_merge (fq_histogram_t *histogram, const fq_histogram_t *from);

/** fq_histogram_percentile() - the upper end, in us, of the bucket that holds @percent
 * of all; 0 when empty; never above the maximum. */
uint64_t fq_histogram_percentile (const fq_histogram_t *histogram, double percent);

/** fq_histogram_count_at_most() - how many are not longer than @us, by whole buckets. */
uint64_t fq_histogram_count_at_most (const fq_histogram_t *histogram, uint64_t us);

#endif
