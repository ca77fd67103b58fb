#include "core/reports/burn_series.h"

#include <string.h>

/* The newer of two intervals that share a place wins; NULL: @slot is too old. */
static fq_burn_bucket_t *
bucket_at (fq_burn_bucket_t *ring, size_t count, int64_t slot)
{
  fq_burn_bucket_t *bucket = &ring[(size_t)slot % count];

  if (bucket->slot > slot)
    return NULL;
  if (bucket->slot < slot)
    *bucket = (fq_burn_bucket_t){ .slot = slot };
  return bucket;
}

static fq_burn_causes_t *
causes_at (fq_burn_series_t *series, int64_t slot)
{
  fq_burn_causes_t *causes = &series->causes[(size_t)slot % FQ_BURN_CAUSES_COUNT];

  if (causes->slot > slot)
    return NULL;
  if (causes->slot < slot)
    {
      memset (causes, 0, sizeof *causes);
      causes->slot = slot;
    }
  return causes;
}

static void
add_to_ring (
    fq_burn_bucket_t *ring, size_t count, int64_t slot, uint64_t good, uint64_t bad)
{
  fq_burn_bucket_t *bucket = bucket_at (ring, count, slot);

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

  add_to_ring (series->fast, FQ_BURN_FAST_COUNT, wall_ms / FQ_BURN_FAST_MS, good, !good);
  add_to_ring (series->slow, FQ_BURN_SLOW_COUNT, wall_ms / FQ_BURN_SLOW_MS, good, !good);
  causes = causes_at (series, wall_ms / FQ_BURN_CAUSES_MS);
  if (!good && causes != NULL)
    causes->counts[cause]++;
}

static void
merge_ring (fq_burn_bucket_t *to, const fq_burn_bucket_t *from, size_t count, int64_t now)
{
  for (size_t i = 0; i < count; i++)
    {
      if (from[i].slot > 0 && from[i].slot <= now)
        add_to_ring (to, count, from[i].slot, from[i].good, from[i].bad);
    }
}

void
fq_burn_series_merge (fq_burn_series_t *to, const fq_burn_series_t *from, int64_t wall_ms)
{
  merge_ring (to->fast, from->fast, FQ_BURN_FAST_COUNT, wall_ms / FQ_BURN_FAST_MS);
  merge_ring (to->slow, from->slow, FQ_BURN_SLOW_COUNT, wall_ms / FQ_BURN_SLOW_MS);
  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      const fq_burn_causes_t *causes = &from->causes[i];
      fq_burn_causes_t *own;

      if (causes->slot <= 0 || causes->slot > wall_ms / FQ_BURN_CAUSES_MS)
        continue;
      own = causes_at (to, causes->slot);
      for (size_t cause = 0; own != NULL && cause < FQ_CAUSE_COUNT; cause++)
        own->counts[cause] += causes->counts[cause];
    }
}

bool
fq_burn_series_is_empty (const fq_burn_series_t *series)
{
  for (size_t i = 0; i < FQ_BURN_SLOW_COUNT; i++)
    {
      if (series->slow[i].slot != 0)
        return false;
    }
  return true;
}

static void
sum_ring (const fq_burn_bucket_t *ring,
          size_t size,
          int64_t now,
          size_t count,
          fq_burn_bucket_t *out)
{
  *out = (fq_burn_bucket_t){ .slot = now };
  for (size_t i = 0; i < size; i++)
    {
      if (ring[i].slot > now || ring[i].slot + (int64_t)count <= now)
        continue;
      out->good += ring[i].good;
      out->bad += ring[i].bad;
    }
}

void
fq_burn_series_fast (const fq_burn_series_t *series,
                     int64_t wall_ms,
                     size_t count,
                     fq_burn_bucket_t *out)
{
  sum_ring (series->fast, FQ_BURN_FAST_COUNT, wall_ms / FQ_BURN_FAST_MS, count, out);
}

void
fq_burn_series_slow (const fq_burn_series_t *series,
                     int64_t wall_ms,
                     size_t count,
                     fq_burn_bucket_t *out)
{
  sum_ring (series->slow, FQ_BURN_SLOW_COUNT, wall_ms / FQ_BURN_SLOW_MS, count, out);
}

static bool
is_current (int64_t slot, int64_t now, size_t count)
{
  return slot > 0 && slot <= now && slot + (int64_t)count > now;
}

void
fq_burn_series_causes (const fq_burn_series_t *series,
                       int64_t wall_ms,
                       uint64_t out[FQ_CAUSE_COUNT])
{
  memset (out, 0, sizeof (uint64_t) * FQ_CAUSE_COUNT);
  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      if (!is_current (series->causes[i].slot, wall_ms / FQ_BURN_CAUSES_MS,
                       FQ_BURN_CAUSES_COUNT))
        continue;
      for (size_t cause = 0; cause < FQ_CAUSE_COUNT; cause++)
        out[cause] += series->causes[i].counts[cause];
    }
}

static json_t *
json_of_ring (const fq_burn_bucket_t *ring, size_t count, int64_t now)
{
  json_t *json = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      if (is_current (ring[i].slot, now, count))
        json_array_append_new (json, json_pack ("[I,I,I]", (json_int_t)ring[i].slot,
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
  return json_pack ("[I,o]", (json_int_t)causes->slot, counts);
}

json_t *
fq_burn_series_json (const fq_burn_series_t *series, int64_t wall_ms)
{
  json_t *causes = json_array ();

  for (size_t i = 0; i < FQ_BURN_CAUSES_COUNT; i++)
    {
      if (is_current (series->causes[i].slot, wall_ms / FQ_BURN_CAUSES_MS,
                      FQ_BURN_CAUSES_COUNT))
        json_array_append_new (causes, json_of_causes (&series->causes[i]));
    }
  return json_pack (
      "{s:o,s:o,s:o}", "fast",
      json_of_ring (series->fast, FQ_BURN_FAST_COUNT, wall_ms / FQ_BURN_FAST_MS), "slow",
      json_of_ring (series->slow, FQ_BURN_SLOW_COUNT, wall_ms / FQ_BURN_SLOW_MS),
      "causes", causes);
}

static uint64_t
read_count (const json_t *json)
{
  json_int_t count = json_integer_value (json);

  return count < 0 ? 0 : (uint64_t)count;
}

static void
read_ring (fq_burn_bucket_t *ring, size_t count, const json_t *json, int64_t now)
{
  size_t index;
  const json_t *bucket;

  json_array_foreach (json, index, bucket)
  {
    int64_t slot = json_integer_value (json_array_get (bucket, 0));

    if (is_current (slot, now, count))
      add_to_ring (ring, count, slot, read_count (json_array_get (bucket, 1)),
                   read_count (json_array_get (bucket, 2)));
  }
}

static void
read_causes (fq_burn_series_t *out, const json_t *json, int64_t now)
{
  int64_t slot = json_integer_value (json_array_get (json, 0));
  const json_t *counts = json_array_get (json, 1);
  fq_burn_causes_t *causes
      = is_current (slot, now, FQ_BURN_CAUSES_COUNT) ? causes_at (out, slot) : NULL;

  for (size_t i = 0; causes != NULL && i < FQ_CAUSE_COUNT; i++)
    causes->counts[i]
        += read_count (json_object_get (counts, fq_cause_name ((fq_cause_t)i)));
}

void
fq_burn_series_read (fq_burn_series_t *out, const json_t *json, int64_t wall_ms)
{
  size_t index;
  const json_t *causes;

  memset (out, 0, sizeof *out);
  read_ring (out->fast, FQ_BURN_FAST_COUNT, json_object_get (json, "fast"),
             wall_ms / FQ_BURN_FAST_MS);
  read_ring (out->slow, FQ_BURN_SLOW_COUNT, json_object_get (json, "slow"),
             wall_ms / FQ_BURN_SLOW_MS);
  json_array_foreach (json_object_get (json, "causes"), index, causes)
  {
    read_causes (out, causes, wall_ms / FQ_BURN_CAUSES_MS);
  }
}
