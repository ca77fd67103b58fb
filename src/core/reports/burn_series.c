#include "core/reports/burn_series.h"

#include <string.h>

/*
 * The bucket of @interval, reset when the ring held an older interval in its place. NULL
 * when the ring holds a newer one there.
 */
static fq_burn_bucket_t *
find_bucket (fq_burn_bucket_t *ring, size_t count, int64_t interval)
{
  fq_burn_bucket_t *bucket = &ring[(size_t)interval % count];

  if (bucket->interval > interval)
    return NULL;
  if (bucket->interval < interval)
    *bucket = (fq_burn_bucket_t){ .interval = interval };
  return bucket;
}

/* As find_bucket(), for causes. */
static fq_burn_causes_t *
find_causes (fq_burn_series_t *series, int64_t interval)
{
  fq_burn_causes_t *causes = &series->causes[(size_t)interval % FQ_BURN_CAUSES_COUNT];

  if (causes->interval > interval)
    return NULL;
  if (causes->interval < interval)
    {
      memset (causes, 0, sizeof *causes);
      causes->interval = interval;
    }
  return causes;
}

static void
add_to_ring (
    fq_burn_bucket_t *ring, size_t count, int64_t interval, uint64_t good, uint64_t bad)
{
  fq_burn_bucket_t *bucket = find_bucket (ring, count, interval);

  if (bucket == NULL)
    return;
  bucket->good += good;
  bucket->bad += bad;
}

void
fq_burn_series_add (fq_burn_series_t *series,
                    int64_t wall_ms,
                    bool good,
                    fq_cause_t cause)
{
  fq_burn_causes_t *causes;

  add_to_ring (series->fine, FQ_BURN_FINE_COUNT, wall_ms / FQ_BURN_FINE_MS, good, !good);
  add_to_ring (series->coarse, FQ_BURN_COARSE_COUNT, wall_ms / FQ_BURN_COARSE_MS, good,
               !good);
  causes = find_causes (series, wall_ms / FQ_BURN_CAUSES_MS);
  if (!good && causes != NULL)
    causes->counts[cause]++;
}

static void
merge_ring (fq_burn_bucket_t *to,
            const fq_burn_bucket_t *from,
            size_t count,
            int64_t newest)
{
  for (size_t i = 0; i < count; i++)
    {
      if (from[i].interval > 0 && from[i].interval <= newest)
        add_to_ring (to, count, from[i].interval, from[i].good, from[i].bad);
    }
}

void
fq_burn_series_merge (fq_burn_series_t *to, const fq_burn_series_t *from, int64_t wall_ms)
{
  merge_ring (to->fine, from->fine, FQ_BURN_FINE_COUNT, wall_ms / FQ_BURN_FINE_MS);
  merge_ring (to->coarse, from->coarse, FQ_BURN_COARSE_COUNT,
              wall_ms / FQ_BURN_COARSE_MS);
  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      const fq_burn_causes_t *causes = &from->causes[i];
      fq_burn_causes_t *target;

      if (causes->interval <= 0 || causes->interval > wall_ms / FQ_BURN_CAUSES_MS)
        continue;
      target = find_causes (to, causes->interval);
      for (size_t cause = 0; target != NULL && cause < FQ_CAUSE_COUNT; cause++)
        target->counts[cause] += causes->counts[cause];
    }
}

bool
fq_burn_series_is_empty (const fq_burn_series_t *series)
{
  for (size_t i = 0; i < FQ_BURN_COARSE_COUNT; i++)
    {
      if (series->coarse[i].interval != 0)
        return false;
    }
  return true;
}

static void
sum_ring (const fq_burn_bucket_t *ring,
          size_t size,
          int64_t newest,
          size_t count,
          fq_burn_bucket_t *out)
{
  *out = (fq_burn_bucket_t){ .interval = newest };
  for (size_t i = 0; i < size; i++)
    {
      if (ring[i].interval > newest || ring[i].interval + (int64_t)count <= newest)
        continue;
      out->good += ring[i].good;
      out->bad += ring[i].bad;
    }
}

void
fq_burn_series_sum_fine (const fq_burn_series_t *series,
                         int64_t wall_ms,
                         size_t count,
                         fq_burn_bucket_t *out)
{
  sum_ring (series->fine, FQ_BURN_FINE_COUNT, wall_ms / FQ_BURN_FINE_MS, count, out);
}

void
fq_burn_series_sum_coarse (const fq_burn_series_t *series,
                           int64_t wall_ms,
                           size_t count,
                           fq_burn_bucket_t *out)
{
  sum_ring (series->coarse, FQ_BURN_COARSE_COUNT, wall_ms / FQ_BURN_COARSE_MS, count,
            out);
}

/* Whether @interval is one of the @count intervals up to @newest. */
static bool
is_recent (int64_t interval, int64_t newest, size_t count)
{
  return interval > 0 && interval <= newest && interval + (int64_t)count > newest;
}

void
fq_burn_series_sum_causes (const fq_burn_series_t *series,
                           int64_t wall_ms,
                           uint64_t out[FQ_CAUSE_COUNT])
{
  memset (out, 0, sizeof (uint64_t) * FQ_CAUSE_COUNT);
  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      if (!is_recent (series->causes[i].interval, wall_ms / FQ_BURN_CAUSES_MS,
                      FQ_BURN_CAUSES_COUNT))
        continue;
      for (size_t cause = 0; cause < FQ_CAUSE_COUNT; cause++)
        out[cause] += series->causes[i].counts[cause];
    }
}

static json_t *
json_of_ring (const fq_burn_bucket_t *ring, size_t count, int64_t newest)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      if (is_recent (ring[i].interval, newest, count))
        json_array_append_new (json, json_pack ("[I,I,I]", (json_int_t)ring[i].interval,
                                                (json_int_t)ring[i].good,
                                                (json_int_t)ring[i].bad));
    }
  return json;
}

static json_t *
json_of_causes (const fq_burn_causes_t *causes)
{
  json_t *counts = json_object ();

  for (size_t i = 0; i < FQ_CAUSE_COUNT; i++)
    {
      if (causes->counts[i] > 0)
        json_object_set_new (counts, fq_cause_name ((fq_cause_t)i),
                             json_integer ((json_int_t)causes->counts[i]));
    }
  return json_pack ("[I,o]", (json_int_t)causes->interval, counts);
}

json_t *
fq_burn_series_to_json (const fq_burn_series_t *series, int64_t wall_ms)
{
  json_t *causes = json_array ();

  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      if (is_recent (series->causes[i].interval, wall_ms / FQ_BURN_CAUSES_MS,
                     FQ_BURN_CAUSES_COUNT))
        json_array_append_new (causes, json_of_causes (&series->causes[i]));
    }
  return json_pack (
      "{s:o,s:o,s:o}", "fast",
      json_of_ring (series->fine, FQ_BURN_FINE_COUNT, wall_ms / FQ_BURN_FINE_MS), "slow",
      json_of_ring (series->coarse, FQ_BURN_COARSE_COUNT, wall_ms / FQ_BURN_COARSE_MS),
      "causes", causes);
}

static uint64_t
count_from_json (const json_t *json)
{
  json_int_t count = json_integer_value (json);

  return count < 0 ? 0 : (uint64_t)count;
}

static void
ring_from_json (fq_burn_bucket_t *ring, size_t count, const json_t *json, int64_t newest)
{
  size_t index;
  const json_t *bucket;

  json_array_foreach (json, index, bucket)
  {
    int64_t interval = json_integer_value (json_array_get (bucket, 0));

    if (is_recent (interval, newest, count))
      add_to_ring (ring, count, interval, count_from_json (json_array_get (bucket, 1)),
                   count_from_json (json_array_get (bucket, 2)));
  }
}

static void
causes_from_json (fq_burn_series_t *out, const json_t *json, int64_t newest)
{
  int64_t interval = json_integer_value (json_array_get (json, 0));
  const json_t *counts = json_array_get (json, 1);
  fq_burn_causes_t *causes = is_recent (interval, newest, FQ_BURN_CAUSES_COUNT)
                                 ? find_causes (out, interval)
                                 : NULL;

  for (size_t i = 0; causes != NULL && i < FQ_CAUSE_COUNT; i++)
    causes->counts[i]
        += count_from_json (json_object_get (counts, fq_cause_name ((fq_cause_t)i)));
}

void
fq_burn_series_from_json (fq_burn_series_t *out, const json_t *json, int64_t wall_ms)
{
  size_t index;
  const json_t *causes;

  memset (out, 0, sizeof *out);
  ring_from_json (out->fine, FQ_BURN_FINE_COUNT, json_object_get (json, "fast"),
                  wall_ms / FQ_BURN_FINE_MS);
  ring_from_json (out->coarse, FQ_BURN_COARSE_COUNT, json_object_get (json, "slow"),
                  wall_ms / FQ_BURN_COARSE_MS);
  json_array_foreach (json_object_get (json, "causes"), index, causes)
  {
    causes_from_json (out, causes, wall_ms / FQ_BURN_CAUSES_MS);
  }
}
