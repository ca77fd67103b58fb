/**
 * DOC: Anti-entropy: exchange of views, one datagram of entries at a time, ordered by
 * hash.
 *
 * Each datagram carries a digest of the sender's view. While digests agree nothing is
 * exchanged. A node that joins, or that was paused, makes a full pass: it requests all
 * entries from the start, each part from a random node, of its own region if possible.
 * The node that answers keeps no state for it. At other times a node that receives a
 * different digest requests one part at a time from its sender, every
 * FQ_SYNC_INTERVAL_US. Since all nodes do so, some node soon finds each difference, and
 * gossip spreads it.
 */
#include <string.h>

#include "core/membership/membership_private.h"

/* Between requests while digests differ, outside a full pass. */
#define FQ_SYNC_INTERVAL_US (2LL * FQ_MICROSECONDS_PER_SECOND)
#define FQ_SYNC_RETRY_US 500000 /* of a full pass; doubles up to the maximum */
#define FQ_SYNC_RETRY_MAX_US 4000000
#define FQ_SYNC_PART_INTERVAL_US 50000 /* between the parts of a full pass */

void
fq_sync_start (fq_membership_t *membership, fq_time_t now)
{
  membership->sync = (fq_sync_t){ .full = true,
                                  .next_request = now,
                                  .retry_interval = FQ_SYNC_RETRY_US };
}

void
fq_sync_compare_digest (fq_membership_t *membership,
                        const fq_gossip_t *message,
                        fq_time_t now)
{
  fq_sync_t *sync = &membership->sync;

  if (message->digest != membership->view.digest)
    {
      sync->differing_node = fq_map_hash (message->from);
      return;
    }
  sync->differing_node = 0;
  if (!sync->full)
    return;
  sync->full = false;
  sync->next_request = now + FQ_SYNC_INTERVAL_US;
}

static bool
is_alive (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_ALIVE;
}

static bool
is_alive_in_region (const fq_view_node_t *node, const void *user)
{
  const fq_view_node_t *self = user;

  return node->entry.state == FQ_NODE_ALIVE
         && strcmp (node->entry.region, self->entry.region) == 0;
}

static fq_view_node_t *
pick_sync_node (fq_membership_t *membership)
{
  fq_view_t *view = &membership->view;
  fq_view_node_t *node;

  if (!membership->sync.full)
    return fq_map_get (&view->by_name, membership->sync.differing_node);
  node = fq_view_pick (view, &membership->random, is_alive_in_region, view->self);
  if (node == NULL)
    node = fq_view_pick (view, &membership->random, is_alive, NULL);
  return node;
}

static fq_time_t
next_interval (fq_membership_t *membership)
{
  fq_sync_t *sync = &membership->sync;
  fq_time_t interval = sync->retry_interval;

  if (!sync->full)
    return fq_membership_jitter (membership, FQ_SYNC_INTERVAL_US);
  if (sync->retry_interval < FQ_SYNC_RETRY_MAX_US)
    sync->retry_interval *= 2;
  return fq_membership_jitter (membership, interval);
}

void
fq_sync_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_sync_t *sync = &membership->sync;
  fq_view_node_t *node;

  if (now < sync->next_request)
    return;
  sync->next_request = now + next_interval (membership);
  node = pick_sync_node (membership);
  if (node == NULL)
    return;
  sync->requested_node = node->hash;
  fq_membership_send (membership, FQ_GOSSIP_SYNC, sync->position, node->entry.address,
                      node, effects);
}

/* Not answered without credit; the requester then retries with another node. */
void
fq_sync_handle_request (fq_membership_t *membership,
                        const fq_gossip_t *message,
                        fq_effects_t *effects)
{
  if (membership->dissemination.credit > 0)
    fq_membership_send (membership, FQ_GOSSIP_STATE, message->sequence,
                        message->from_address, membership->view.self, effects);
}

/* The entries themselves were merged before. In a full pass, parts of a node other than
 * the one that was sent the last request are ignored here; so are late and repeated
 * parts. */
void
fq_sync_handle_part (fq_membership_t *membership,
                     const fq_gossip_t *message,
                     fq_time_t now)
{
  fq_sync_t *sync = &membership->sync;

  if (sync->full && fq_map_hash (message->from) != sync->requested_node)
    return;
  if (message->sequence != 0 && message->sequence <= sync->position)
    return;
  sync->position = message->sequence;
  sync->retry_interval = FQ_SYNC_RETRY_US;
  if (!sync->full)
    return;
  sync->full = message->sequence != 0;
  sync->next_request
      = now + (sync->full ? FQ_SYNC_PART_INTERVAL_US : FQ_SYNC_INTERVAL_US);
}
