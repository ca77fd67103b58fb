#include "mesh/crash_suspects.h"

#include <stdlib.h>

#define FQ_SUSPECT_TTL_US (600 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SUSPECT_SWEEP_INTERVAL_US (10 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SUSPECTS_MAX 16384

/* Returns false when all suspects were last seen at @cutoff or later. */
static bool
remove_one_older (fq_crash_suspects_t *suspects, fq_time_t cutoff)
{
  size_t cursor = 0;
  fq_crash_suspect_t *suspect;

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
static fq_crash_suspect_t *
get_or_add (fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  fq_crash_suspect_t *suspect = fq_map_get (&suspects->entries, fingerprint);

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

static bool
is_known_crash (const fq_crash_suspect_t *suspect, uint64_t crash)
{
  for (uint32_t i = 0; i < suspect->count; i++)
    {
      if (suspect->crashes[i] == crash)
        return true;
    }
  return false;
}

void
fq_crash_suspects_add (fq_crash_suspects_t *suspects,
                       fq_time_t now,
                       uint64_t fingerprint,
                       uint64_t crash,
                       bool alone)
{
  fq_crash_suspect_t *suspect;

  remove_expired (suspects, now);
  suspect = get_or_add (suspects, fingerprint);
  if (suspect == NULL)
    return;
  suspect->last_crash_at = now;
  suspect->alone = suspect->alone || alone;
  if (suspect->count < FQ_CRASHES_REFUSED && !is_known_crash (suspect, crash))
    suspect->crashes[suspect->count++] = crash;
}

bool
fq_crash_suspects_clear (fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  fq_crash_suspect_t *suspect;

  if (suspects->entries.count == 0)
    return false;
  suspect = fq_map_remove (&suspects->entries, fingerprint);
  free (suspect);
  return suspect != NULL;
}

const fq_crash_suspect_t *
fq_crash_suspects_find (const fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  return suspects->entries.count == 0 ? NULL
                                      : fq_map_get (&suspects->entries, fingerprint);
}

bool
fq_crash_suspects_is_isolated (const fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  const fq_crash_suspect_t *suspect = fq_crash_suspects_find (suspects, fingerprint);

  return suspect != NULL && suspect->count >= FQ_CRASHES_ISOLATED;
}

bool
fq_crash_suspects_is_refused (const fq_crash_suspects_t *suspects, uint64_t fingerprint)
{
  const fq_crash_suspect_t *suspect = fq_crash_suspects_find (suspects, fingerprint);

  return suspect != NULL && suspect->count >= FQ_CRASHES_REFUSED && suspect->alone;
}

const fq_crash_suspect_t *
fq_crash_suspects_next (const fq_crash_suspects_t *suspects, size_t *cursor)
{
  return fq_map_next (&suspects->entries, cursor);
}

void
fq_crash_suspects_free (fq_crash_suspects_t *suspects)
{
  while (remove_one_older (suspects, INT64_MAX))
    ;
  fq_map_clear (&suspects->entries);
}

void
fq_recent_losses_add (fq_recent_losses_t *losses,
                      fq_time_t now,
                      uint64_t fingerprint,
                      bool isolated)
{
  if (losses->count < FQ_RECENT_LOSSES_MAX)
    losses->count++;
  losses->lost[losses->next].fingerprint = fingerprint;
  losses->lost[losses->next].at = now;
  losses->lost[losses->next].isolated = isolated;
  losses->next = (losses->next + 1) % FQ_RECENT_LOSSES_MAX;
}

void
fq_recent_losses_forget (fq_recent_losses_t *losses, fq_time_t alive_at)
{
  losses->count = 0;
  for (size_t i = 0; i < FQ_RECENT_LOSSES_MAX; i++)
    {
      if (losses->lost[i].at < alive_at)
        losses->lost[i].fingerprint = 0;
      losses->count += losses->lost[i].fingerprint != 0;
    }
}

/* Returns @count if it is not there. */
static size_t
find_fingerprint (const uint64_t *fingerprints, size_t count, uint64_t fingerprint)
{
  size_t i = 0;

  while (i < count && fingerprints[i] != fingerprint)
    i++;
  return i;
}

size_t
fq_recent_losses_take (fq_recent_losses_t *losses,
                       fq_time_t now,
                       fq_time_t window,
                       uint64_t *out,
                       bool *alone)
{
  size_t count = 0;
  size_t isolated = 0; /* these are the first ones in @out */

  losses->count = 0;
  for (size_t i = 0; i < FQ_RECENT_LOSSES_MAX; i++)
    {
      uint64_t fingerprint = losses->lost[i].fingerprint;
      size_t at = find_fingerprint (out, count, fingerprint);

      losses->lost[i].fingerprint = 0;
      if (fingerprint == 0 || now - losses->lost[i].at >= window)
        continue;
      if (at == count)
        out[count++] = fingerprint;
      if (!losses->lost[i].isolated || at < isolated)
        continue;
      out[at] = out[isolated];
      out[isolated++] = fingerprint;
    }
  *alone = isolated == 1;
  return count;
}
