#include "util/histogram.h"

static unsigned int
power_of (uint64_t value)
{
  return 63u - (unsigned int)__builtin_clzll (value);
}

static size_t
bucket_of (uint64_t us)
{
  unsigned int power;
  size_t bucket;

  if (us < FQ_HISTOGRAM_PARTS)
    return us;
  power = power_of (us) - FQ_HISTOGRAM_PARTS_BITS;
  bucket = (size_t)(power + 1) * FQ_HISTOGRAM_PARTS + (us >> power) - FQ_HISTOGRAM_PARTS;
  return bucket < FQ_HISTOGRAM_BUCKETS ? bucket : FQ_HISTOGRAM_BUCKETS - 1;
}

/* The largest value that falls into a bucket. */
static uint64_t
bucket_end (size_t bucket)
{
  size_t power = bucket / FQ_HISTOGRAM_PARTS;
  uint64_t part = bucket % FQ_HISTOGRAM_PARTS;

  if (power == 0)
    return part;
  return ((part + FQ_HISTOGRAM_PARTS + 1) << (power - 1)) - 1;
}

void
fq_histogram_add (fq_histogram_t *histogram, int64_t us)
{
  uint64_t value = us < 0 ? 0 : (uint64_t)us;

  histogram->buckets[bucket_of (value)]++;
  histogram->count++;
  histogram->sum_us += value;
  if (value > histogram->max_us)
    histogram->max_us = value;
}

void
fq_histogram_merge (fq_histogram_t *histogram, const fq_histogram_t *from)
{
  for (size_t i = 0; i < FQ_HISTOGRAM_BUCKETS; i++)
    histogram->buckets[i] += from->buckets[i];
  histogram->count += from->count;
  histogram->sum_us += from->sum_us;
  if (from->max_us > histogram->max_us)
    histogram->max_us = from->max_us;
}

uint64_t
fq_histogram_percentile (const fq_histogram_t *histogram, double percent)
{
  double wanted = (double)histogram->count * percent / 100;
  uint64_t seen = 0;

  for (size_t i = 0; i < FQ_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen > 0 && (double)seen >= wanted)
        {
          uint64_t end = bucket_end (i);

          return end < histogram->max_us ? end : histogram->max_us;
        }
    }
  return histogram->max_us;
}

uint64_t
fq_histogram_count_at_most (const fq_histogram_t *histogram, uint64_t us)
{
  uint64_t seen = 0;

  for (size_t i = 0; i < FQ_HISTOGRAM_BUCKETS && bucket_end (i) <= us; i++)
    seen += histogram->buckets[i];
  return seen;
}
