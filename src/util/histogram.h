/**
 * DOC: A log-linear histogram of durations in microseconds.
 *
 * Each power of two is split into FQ_HISTOGRAM_SUBBUCKETS buckets of equal width, so that
 * a bucket is at most 1/32 of its values wide. The size of a histogram is fixed: the last
 * bucket also counts all durations above its nominal largest value of 268435455 us.
 */
#ifndef FQ_UTIL_HISTOGRAM_H
#define FQ_UTIL_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

#define FQ_HISTOGRAM_SUBBUCKET_BITS 5
#define FQ_HISTOGRAM_SUBBUCKETS (1 << FQ_HISTOGRAM_SUBBUCKET_BITS)
#define FQ_HISTOGRAM_POWERS                                                              \
  24 /* the last bucket starts above four minutes, and has no end */
#define FQ_HISTOGRAM_BUCKETS (FQ_HISTOGRAM_SUBBUCKETS * FQ_HISTOGRAM_POWERS)

/** struct fq_histogram_t - a histogram; zero-initialise before use. */
typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us; /* the longest duration; 0 when empty */
  uint32_t buckets[FQ_HISTOGRAM_BUCKETS];
} fq_histogram_t;

/** fq_histogram_add() - count one duration; a negative one counts as 0. */
void fq_histogram_add (fq_histogram_t *histogram, int64_t us);

/** fq_histogram_merge() - add all durations that @from counts to @histogram. */
void fq_histogram_merge (fq_histogram_t *histogram, const fq_histogram_t *from);

/**
 * fq_histogram_percentile() - a duration that @percent of all do not exceed, unless the
 * percentile lies in the last bucket: then the result may be too low.
 * @percent: 0 to 100
 *
 * Return: in microseconds, the largest value of the bucket that holds the percentile, but
 * at most the longest duration; 0 when empty.
 */
uint64_t fq_histogram_percentile (const fq_histogram_t *histogram, double percent);

/**
 * fq_histogram_count_at_most() - how many durations do not exceed @us.
 *
 * Counts the buckets whose largest value is at most @us, so that the result may be too
 * low. From 268435455 us on it counts all durations, also longer ones.
 */
uint64_t fq_histogram_count_at_most (const fq_histogram_t *histogram, uint64_t us);

#endif
