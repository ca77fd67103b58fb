#include "mesh/blame.h"

#include <stdlib.h>

#define FQ_BLAME_MEMORY_US (120 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_BLAME_SWEEP_US (10 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_BLAME_ENTRIES_MAX 16384
#define FQ_CRASH_RECENT_US (1500 * FQ_MICROSECONDS_PER_MS)

typedef struct
{
  uint64_t fingerprint;
  uint64_t crashes[FQ_BLAME_CRASHES_MAX];
  uint32_t count;
  fq_time_t last;
} entry_t;

static bool
forget_one (fq_blame_t *crash_suspects, fq_time_t before)
{
  size_t cursor = 0;
  entry_t *entry;

  while ((entry = fq_map_next (&crash_suspects->entries, &cursor)) != NULL)
    {
      if (entry->last >= before)
        continue;
      fq_map_remove (&crash_suspects->entries, entry->fingerprint);
      free (entry);
      return true;
    }
  return false;
}

static void
sweep (fq_blame_t *crash_suspects, fq_time_t now)
{
  if (now - crash_suspects->swept_at < FQ_BLAME_SWEEP_US)
    return;
  crash_suspects->swept_at = now;
  while (forget_one (crash_suspects, now - FQ_BLAME_MEMORY_US))
    ;
}

static entry_t *
get_or_add (fq_blame_t *crash_suspects, uint64_t fingerprint)
{
  entry_t *entry = fq_map_get (&crash_suspects->entries, fingerprint);

  if (entry != NULL || crash_suspects->entries.count >= FQ_BLAME_ENTRIES_MAX)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->fingerprint = fingerprint;
  if (fq_map_set (&crash_suspects->entries, fingerprint, entry) < 0)
    abort ();
  return entry;
}

void
fq_crash_suspects_add (fq_blame_t *crash_suspects,
                       fq_time_t now,
                       uint64_t fingerprint,
                       uint64_t crash)
{
  entry_t *entry;

  sweep (crash_suspects, now);
  entry = get_or_add (crash_suspects, fingerprint);
  if (entry == NULL)
    return;
  entry->last = now;
  for (uint32_t i = 0; i < entry->count; i++)
    {
      if (entry->crashes[i] == crash)
        return;
    }
  if (entry->count < FQ_BLAME_CRASHES_MAX)
    entry->crashes[entry->count++] = crash;
}

void
fq_blame_clear (fq_blame_t *crash_suspects, uint64_t fingerprint)
{
  if (crash_suspects->entries.count > 0)
    free (fq_map_remove (&crash_suspects->entries, fingerprint));
}

uint32_t
fq_blame_crashes (const fq_blame_t *crash_suspects, uint64_t fingerprint)
{
  const entry_t *entry;

  if (crash_suspects->entries.count == 0)
    return 0;
  entry = fq_map_get (&crash_suspects->entries, fingerprint);
  return entry == NULL ? 0 : entry->count;
}

void
fq_crash_suspects_free (fq_blame_t *crash_suspects)
{
  while (forget_one (crash_suspects, INT64_MAX))
    ;
  fq_map_clear (&crash_suspects->entries);
}

void
fq_crash_watch_lost (fq_crash_watch_t *watch, fq_time_t now, uint64_t fingerprint)
{
  watch->lost[watch->next].fingerprint = fingerprint;
  watch->lost[watch->next].at = now;
  watch->next = (watch->next + 1) % FQ_RECENT_LOSSES_MAX;
}

size_t
fq_recent_losses_take (fq_crash_watch_t *watch, fq_time_t now, uint64_t *out)
{
  size_t count = 0;

  for (size_t i = 0; i < FQ_RECENT_LOSSES_MAX; i++)
    {
      if (watch->lost[i].fingerprint != 0 && now - watch->lost[i].at < FQ_CRASH_RECENT_US)
        out[count++] = watch->lost[i].fingerprint;
      watch->lost[i].fingerprint = 0;
    }
  return count;
}
