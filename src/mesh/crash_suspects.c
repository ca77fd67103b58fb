#include "mesh/crash_suspects.h"

#include <stdlib.h>

#define FQ_SUSPECT_TTL_US (120 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SUSPECT_SWEEP_INTERVAL_US (10 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SUSPECTS_MAX 16384
#define FQ_RECENT_LOSS_WINDOW_US (1500 * FQ_MICROSECONDS_PER_MS)

typedef struct
{
  uint64_t fingerprint;
  uint64_t crashes[FQ_CRASH_SUSPECT_CRASHES_MAX];
  uint32_t count;
  fq_time_t last_crash_at;
} suspect_t;

/* Returns false when all suspects were last seen at @cutoff or later. */
static bool
remove_one_older (fq_crash_suspects_t *suspects, fq_time_t cutoff)
{
  size_t cursor = 0;
  suspect_t *suspect;

  while ((suspect = fq_map_next (&suspects->entries, &cursor)) != NULL)
    {
      if (suspect->last_crash_at >= cutoff)
        continue;
      fq_map_remove (&suspects->entries, suspect->fingerprint);
      free (suspect);
      return true;
    }
  return false;
}

static void
remove_expired (fq_crash_suspects_t *suspects, fq_time_t now)
{
  if (now - suspects->swept_at < FQ_SUSPECT_SWEEP_INTERVAL_US)
    return;
  suspects->swept_at = now;
  while (remove_one_older (suspects, now - FQ_SUSPECT_TTL_US))
    ;
}

/* Returns NULL for a new suspect while FQ_SUSPECTS_MAX suspects are recorded. */
static suspect_t *
get_or_add (fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  suspect_t *suspect = fq_map_get (&suspects->entries, fingerprint);

  if (suspect != NULL || suspects->entries.count >= FQ_SUSPECTS_MAX)
    return suspect;
  suspect = calloc (1, sizeof *suspect);
  if (suspect == NULL)
    abort ();
  suspect->fingerprint = fingerprint;
  if (fq_map_set (&suspects->entries, fingerprint, suspect) < 0)
    abort ();
  return suspect;
}

void
fq_crash_suspects_add (fq_crash_suspects_t *suspects,
                       fq_time_t now,
                       uint64_t fingerprint,
                       uint64_t crash)
{
  suspect_t *suspect;

  remove_expired (suspects, now);
  suspect = get_or_add (suspects, fingerprint);
  if (suspect == NULL)
    return;
  suspect->last_crash_at = now;
  for (uint32_t i = 0; i < suspect->count; i++)
    {
      if (suspect->crashes[i] == crash)
        return;
    }
  if (suspect->count < FQ_CRASH_SUSPECT_CRASHES_MAX)
    suspect->crashes[suspect->count++] = crash;
}

void
fq_crash_suspects_clear (fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  if (suspects->entries.count > 0)
    free (fq_map_remove (&suspects->entries, fingerprint));
}

uint32_t
fq_crash_suspects_crashes (const fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  const suspect_t *suspect;

  if (suspects->entries.count == 0)
    return 0;
  suspect = fq_map_get (&suspects->entries, fingerprint);
  return suspect == NULL ? 0 : suspect->count;
}

void
fq_crash_suspects_free (fq_crash_suspects_t *suspects)
{
  while (remove_one_older (suspects, INT64_MAX))
    ;
  fq_map_clear (&suspects->entries);
}

void
fq_recent_losses_add (fq_recent_losses_t *losses, fq_time_t now, uint64_t fingerprint)
{
  losses->lost[losses->next].fingerprint = fingerprint;
  losses->lost[losses->next].at = now;
  losses->next = (losses->next + 1) % FQ_RECENT_LOSSES_MAX;
}

size_t
fq_recent_losses_take (fq_recent_losses_t *losses, fq_time_t now, uint64_t *out)
{
  size_t count = 0;

  for (size_t i = 0; i < FQ_RECENT_LOSSES_MAX; i++)
    {
      if (losses->lost[i].fingerprint != 0
          && now - losses->lost[i].at < FQ_RECENT_LOSS_WINDOW_US)
        out[count++] = losses->lost[i].fingerprint;
      losses->lost[i].fingerprint = 0;
    }
  return count;
}
