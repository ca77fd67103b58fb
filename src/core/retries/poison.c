#include "core/retries/poison.h"

#include <stdlib.h>

#include "filbertquay/errors.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_POISON_LOST_MAX 1024 /* lost runs kept until a crash is confirmed or not */
/* The recorded losses are discarded when another is recorded later than this after the
 * first, since it has a different cause. */
#define FQ_POISON_CRASH_WINDOW_US FQ_MICROSECONDS_PER_SECOND
#define FQ_POISON_SUSPECTS_MAX 4096 /* above this the oldest is evicted */

typedef struct
{
  fq_list_t link; /* oldest first */
  uint64_t fingerprint;
  uint64_t crashes[FQ_POISON_CRASHES_MAX];
  uint32_t crash_count;
  bool blocked;            /* was the only suspect running at a crash */
  bool cleared;            /* answered by an upstream since the last crash */
  uint32_t times_gossiped; /* number of datagrams that carried it */
  fq_time_t expires;
} fq_suspect_t;

struct fq_poison
{
  fq_list_t suspects;
  fq_map_t by_fingerprint;
  fq_id_t slot_holder; /* run with the suspect slot, queued or running; 0: none */
  uint64_t lost_fingerprints[FQ_POISON_LOST_MAX]; /* the upstream may have crashed */
  size_t lost_count;
  uint64_t lost_suspect; /* fingerprint of the suspect among lost_fingerprints; 0: none */
  fq_time_t lost_since;  /* when the first of lost_fingerprints was recorded */
  uint64_t attributed_crash; /* id of the last crash that was attributed to a suspect;
                              * other losses of the same crash make no suspects */
};

int
fq_poison_new (fq_poison_t **out)
{
  fq_poison_t *poison = calloc (1, sizeof *poison);

  if (poison == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for suspicions");
  fq_list_init (&poison->suspects);
  *out = poison;
  return FQ_OK;
}

static void
remove_suspect (fq_poison_t *poison, fq_suspect_t *suspect)
{
  fq_list_remove (&suspect->link);
  fq_map_remove (&poison->by_fingerprint, suspect->fingerprint);
  free (suspect);
}

void
fq_poison_free (fq_poison_t *poison)
{
  if (poison == NULL)
    return;
  FQ_LIST_FOREACH_SAFE (link, following, &poison->suspects)
  remove_suspect (poison, FQ_LIST_ENTRY (link, fq_suspect_t, link));
  fq_map_clear (&poison->by_fingerprint);
  free (poison);
}

static fq_suspect_t *
add_suspect (fq_poison_t *poison, uint64_t fingerprint)
{
  fq_suspect_t *suspect;

  if (poison->by_fingerprint.count >= FQ_POISON_SUSPECTS_MAX)
    remove_suspect (
        poison, FQ_LIST_ENTRY (fq_list_first (&poison->suspects), fq_suspect_t, link));
  suspect = calloc (1, sizeof *suspect);
  if (suspect == NULL)
    return NULL;
  suspect->fingerprint = fingerprint;
  fq_list_init (&suspect->link);
  if (fq_map_set (&poison->by_fingerprint, fingerprint, suspect) < 0)
    {
      free (suspect);
      return NULL;
    }
  fq_list_append (&poison->suspects, &suspect->link);
  return suspect;
}

static bool
has_crash (const fq_suspect_t *suspect, uint64_t crash_id)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    {
      if (suspect->crashes[i] == crash_id)
        return true;
    }
  return false;
}

bool
fq_poison_is_empty (const fq_poison_t *poison)
{
  return poison->by_fingerprint.count == 0;
}

/* A crash of a suspect that was cleared starts a new suspicion. */
static void
record_crash (fq_suspect_t *suspect, uint64_t crash_id)
{
  if (suspect->cleared)
    suspect->crash_count = 0;
  suspect->cleared = false;
  suspect->crashes[suspect->crash_count++] = crash_id;
  suspect->blocked = suspect->blocked || (crash_id & FQ_POISON_SOLE_SUSPECT) != 0;
  suspect->times_gossiped = 0;
}

static bool
clear_suspect (fq_poison_t *poison, uint64_t fingerprint)
{
  fq_suspect_t *suspect = fq_map_get (&poison->by_fingerprint, fingerprint);

  if (suspect == NULL || suspect->blocked || suspect->cleared)
    return false;
  suspect->cleared = true;
  return true;
}

int
fq_poison_add (fq_poison_t *poison,
               fq_time_t now,
               uint64_t fingerprint,
               uint64_t crash_id,
               uint32_t ttl_seconds)
{
  fq_suspect_t *suspect = fq_map_get (&poison->by_fingerprint, fingerprint);

  if (crash_id == FQ_POISON_CLEARED)
    {
      clear_suspect (poison, fingerprint);
      return FQ_OK;
    }
  if (suspect == NULL)
    suspect = add_suspect (poison, fingerprint);
  if (suspect == NULL)
    return FQ_ERROR_NOMEM;
  if (suspect->blocked || has_crash (suspect, crash_id))
    return FQ_OK;
  if (suspect->crash_count == FQ_POISON_CRASHES_MAX && !suspect->cleared)
    suspect->crash_count--;
  record_crash (suspect, crash_id);
  suspect->expires = now + (fq_time_t)ttl_seconds * FQ_MICROSECONDS_PER_SECOND;
  return FQ_OK;
}

static const fq_suspect_t *
find_active (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint)
{
  const fq_suspect_t *suspect = fq_map_get (&poison->by_fingerprint, fingerprint);

  return suspect != NULL && now < suspect->expires ? suspect : NULL;
}

bool
fq_poison_is_blocked (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint)
{
  const fq_suspect_t *suspect = find_active (poison, now, fingerprint);

  return suspect != NULL && suspect->blocked;
}

uint64_t
fq_poison_last_crash (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint)
{
  const fq_suspect_t *suspect = find_active (poison, now, fingerprint);

  if (suspect == NULL || suspect->cleared || suspect->crash_count == 0)
    return 0;
  return suspect->crashes[suspect->crash_count - 1];
}

bool
fq_poison_acquire_slot (fq_poison_t *poison,
                        fq_time_t now,
                        uint64_t fingerprint,
                        fq_id_t run)
{
  const fq_suspect_t *suspect = find_active (poison, now, fingerprint);

  if (suspect == NULL || suspect->cleared)
    return true;
  if (poison->slot_holder != 0)
    return poison->slot_holder == run;
  poison->slot_holder = run;
  return true;
}

void
fq_poison_release_slot (fq_poison_t *poison, fq_id_t run)
{
  if (poison->slot_holder == run)
    poison->slot_holder = 0;
}

bool
fq_poison_slot_is_free (const fq_poison_t *poison)
{
  return poison->slot_holder == 0;
}

bool
fq_poison_clear_suspect (fq_poison_t *poison,
                         uint64_t fingerprint,
                         fq_poison_entry_t *out)
{
  *out = (fq_poison_entry_t){ fingerprint, FQ_POISON_CLEARED, FQ_POISON_TTL_SECONDS };
  return clear_suspect (poison, fingerprint);
}

void
fq_poison_record_loss (fq_poison_t *poison,
                       fq_time_t now,
                       uint64_t fingerprint,
                       fq_id_t run)
{
  if (now - poison->lost_since > FQ_POISON_CRASH_WINDOW_US)
    fq_poison_clear_losses (poison);
  if (poison->lost_count == 0)
    poison->lost_since = now;
  if (poison->slot_holder == run)
    poison->lost_suspect = fingerprint;
  if (poison->lost_count < FQ_POISON_LOST_MAX)
    poison->lost_fingerprints[poison->lost_count++] = fingerprint;
}

void
fq_poison_clear_losses (fq_poison_t *poison)
{
  poison->lost_count = 0;
  poison->lost_suspect = 0;
}

/* If a suspect was among the lost runs, the crash is attributed to it alone, and the
 * requests that ran concurrently are not suspected. */
bool
fq_poison_attribute_crash (fq_poison_t *poison,
                           fq_time_t now,
                           uint64_t upstream,
                           fq_poison_entry_t *out)
{
  uint64_t crash_id = upstream & ~(uint64_t)FQ_POISON_SOLE_SUSPECT;
  uint64_t fingerprint;

  if (poison->lost_suspect != 0)
    poison->attributed_crash = crash_id;
  if (poison->lost_suspect == 0 && poison->attributed_crash == crash_id)
    fq_poison_clear_losses (poison);
  if (poison->lost_count == 0)
    return false;
  fingerprint = poison->lost_fingerprints[--poison->lost_count];
  if (poison->lost_suspect != 0)
    {
      fingerprint = poison->lost_suspect;
      crash_id |= FQ_POISON_SOLE_SUSPECT;
      fq_poison_clear_losses (poison);
    }
  *out = (fq_poison_entry_t){ fingerprint, crash_id, FQ_POISON_TTL_SECONDS };
  return fq_poison_add (poison, now, fingerprint, crash_id, FQ_POISON_TTL_SECONDS)
         == FQ_OK;
}

static fq_suspect_t *
least_gossiped (fq_poison_t *poison, uint32_t min_times)
{
  fq_suspect_t *least = NULL;

  FQ_LIST_FOREACH (link, &poison->suspects)
  {
    fq_suspect_t *suspect = FQ_LIST_ENTRY (link, fq_suspect_t, link);

    if (suspect->times_gossiped < min_times)
      continue;
    if (least == NULL || suspect->times_gossiped < least->times_gossiped)
      least = suspect;
  }
  return least;
}

size_t
fq_poison_select_for_gossip (fq_poison_t *poison,
                             fq_time_t now,
                             fq_poison_entry_t *out,
                             size_t max)
{
  fq_suspect_t *suspect = least_gossiped (poison, 0);
  size_t count = 0;

  if (suspect == NULL)
    return 0;
  suspect->times_gossiped++;
  for (uint32_t i = 0; i < suspect->crash_count && count < max; i++)
    {
      out[count++] = (fq_poison_entry_t){
        .fingerprint = suspect->fingerprint,
        .crash_id = suspect->crashes[i],
        .ttl_seconds = (uint32_t)((suspect->expires - now) / FQ_MICROSECONDS_PER_SECOND),
      };
    }
  return count;
}

void
fq_poison_tick (fq_poison_t *poison, fq_time_t now)
{
  FQ_LIST_FOREACH_SAFE (link, following, &poison->suspects)
  {
    fq_suspect_t *suspect = FQ_LIST_ENTRY (link, fq_suspect_t, link);

    if (suspect->expires <= now)
      remove_suspect (poison, suspect);
  }
}
