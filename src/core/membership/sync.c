/**
 * DOC: Comparing views: entries in order of their hash, a datagram at a time.
 *
 * Each datagram carries a digest of the sender's view. While digests agree there is
 * nothing to compare. A node that joins, or that was paused, asks for all entries from
 * the start, the next part of whoever is at hand; the node that answers keeps no state
 * for it. At other times a node that hears another digest asks its sender for one part
 * now and then. As all do so, some node finds every difference soon, and gossip carries
 * it on.
 */
#include <string.h>

#include "core/membership/membership_private.h"

#define FQ_SYNC_DIFFER_US (2LL * FQ_MICROSECONDS_PER_SECOND) /* while views differ */
#define FQ_SYNC_RETRY_US 500000
#define FQ_SYNC_RETRY_MAX_US 4000000
#define FQ_SYNC_PACE_US 50000 /* between the parts of a whole pass */

void
fq_sync_start (fq_membership_t *membership, fq_time_t now)
{
  membership->sync = (fq_sync_t){ .full = true, .next = now, .retry = FQ_SYNC_RETRY_US };
}

void
fq_sync_compare (fq_membership_t *membership, const fq_gossip_t *message, fq_time_t now)
{
  fq_sync_t *sync = &membership->sync;

  if (message->digest != membership->view.digest)
    {
      sync->donor = fq_map_hash (message->from);
      return;
    }
  sync->donor = 0;
  if (!sync->full)
    return;
  sync->full = false;
  sync->next = now + FQ_SYNC_DIFFER_US;
}

static bool
is_alive (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_ALIVE;
}

static bool
is_alive_near (const fq_known_t *known, const void *user)
{
  const fq_known_t *self = user;

  return known->entry.state == FQ_NODE_ALIVE
         && strcmp (known->entry.region, self->entry.region) == 0;
}

static fq_known_t *
pick_donor (fq_membership_t *membership)
{
  fq_view_t *view = &membership->view;
  fq_known_t *donor;

  if (!membership->sync.full)
    return fq_map_get (&view->by_name, membership->sync.donor);
  donor = fq_view_pick (view, &membership->random, is_alive_near, view->self);
  if (donor == NULL)
    donor = fq_view_pick (view, &membership->random, is_alive, NULL);
  return donor;
}

static fq_time_t
next_interval (fq_membership_t *membership)
{
  fq_sync_t *sync = &membership->sync;
  fq_time_t interval = sync->retry;

  if (!sync->full)
    return fq_membership_jitter (membership, FQ_SYNC_DIFFER_US);
  if (sync->retry < FQ_SYNC_RETRY_MAX_US)
    sync->retry *= 2;
  return fq_membership_jitter (membership, interval);
}

void
fq_sync_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_sync_t *sync = &membership->sync;
  fq_known_t *donor;

  if (now < sync->next)
    return;
  sync->next = now + next_interval (membership);
  donor = pick_donor (membership);
  if (donor == NULL)
    return;
  sync->asked = donor->hash;
  fq_membership_send (membership, FQ_GOSSIP_SYNC, sync->position, donor->entry.address,
                      donor, effects);
}

/* The answer is left out when there is no credit for it; the asker tries another. */
void
fq_sync_wanted (fq_membership_t *membership,
                const fq_gossip_t *message,
                fq_effects_t *effects)
{
  if (membership->spread.credit > 0)
    fq_membership_send (membership, FQ_GOSSIP_STATE, message->sequence,
                        message->from_address, membership->view.self, effects);
}

void
fq_sync_taken (fq_membership_t *membership, const fq_gossip_t *message, fq_time_t now)
{
  fq_sync_t *sync = &membership->sync;

  if (sync->full && fq_map_hash (message->from) != sync->asked)
    return;
  if (message->sequence != 0 && message->sequence <= sync->position)
    return;
  sync->position = message->sequence;
  sync->retry = FQ_SYNC_RETRY_US;
  if (!sync->full)
    return;
  sync->full = message->sequence != 0;
  sync->next = now + (sync->full ? FQ_SYNC_PACE_US : FQ_SYNC_DIFFER_US);
}
