/**
 * DOC: Failure detection: each period one node is pinged, directly and then through
 * relays.
 *
 * Most probes stay in the region of this node. A node that misses acknowledgements, is
 * suspected by others or runs late raises its health score and with it its own timeouts,
 * so that a slow node does not suspect healthy ones.
 */
#include <string.h>

#include "core/membership/membership_private.h"
#include "util/text.h"

#define FQ_PROBE_TIMEOUT_US 200000 /* until an unacknowledged ping is repeated */
#define FQ_PROBE_PINGS_MAX 4       /* direct pings; relays are used along with the last */
#define FQ_PROBE_RELAYS 3          /* nodes requested to ping the target */
#define FQ_PROBE_HEALTH_MAX 8
#define FQ_PROBE_REMOTE_EVERY 8 /* one probe in so many goes to another region */
#define FQ_PROBE_DOWN_EVERY 4   /* at most one ping of a down node in so many periods */
#define FQ_PROBE_SEED_EVERY 16  /* periods between pings of seeds not in the view */

void
fq_probe_adjust_health (fq_membership_t *membership, bool healthy)
{
  fq_probe_t *probe = &membership->probe;

  if (healthy && probe->health_score > 0)
    probe->health_score--;
  if (!healthy && probe->health_score < FQ_PROBE_HEALTH_MAX)
    probe->health_score++;
}

static bool
is_alive_or_suspect (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_ALIVE || node->entry.state == FQ_NODE_SUSPECT;
}

static bool
is_in_region (const fq_view_node_t *node, const void *user)
{
  const fq_view_node_t *self = user;

  return is_alive_or_suspect (node, NULL)
         && strcmp (node->entry.region, self->entry.region) == 0;
}

static bool
is_in_other_region (const fq_view_node_t *node, const void *user)
{
  const fq_view_node_t *self = user;

  return is_alive_or_suspect (node, NULL)
         && strcmp (node->entry.region, self->entry.region) != 0;
}

static bool
is_down (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_DEAD || node->entry.state == FQ_NODE_UNREACHABLE;
}

/* Unreachable, though its failure domain was reached later, from here or by others. */
static bool
is_unreachable_in_reached_domain (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_UNREACHABLE && node->domain != NULL
         && (node->domain->last_answered_at > node->state_since
             || node->domain->last_reported > node->state_since);
}

static bool
can_relay (const fq_view_node_t *node, const void *user)
{
  return node->entry.state == FQ_NODE_ALIVE && node != user;
}

static fq_view_node_t *
pick_target (fq_membership_t *membership)
{
  fq_view_t *view = &membership->view;
  bool is_remote = fq_random_below (&membership->random, FQ_PROBE_REMOTE_EVERY) == 0;
  fq_view_node_t *target
      = fq_view_pick (view, &membership->random,
                      is_remote ? is_in_other_region : is_in_region, view->self);

  if (target == NULL)
    target = fq_view_pick (view, &membership->random, is_alive_or_suspect, NULL);
  return target;
}

static void
start_probe (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_view_node_t *target = pick_target (membership);

  probe->awaiting_ack = target != NULL;
  if (target == NULL)
    return;
  probe->pings_sent = 1;
  probe->next_retry = now + FQ_PROBE_TIMEOUT_US * (1 + probe->health_score);
  probe->sequence = ++membership->sequence;
  fq_text_copy (probe->target, sizeof probe->target, target->entry.node);
  fq_membership_send (membership, FQ_GOSSIP_PING, probe->sequence, target->entry.address,
                      target, effects);
}

static void
ping_through_relays (fq_membership_t *membership,
                     const fq_view_node_t *target,
                     fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;

  for (int i = 0; i < FQ_PROBE_RELAYS; i++)
    {
      fq_view_node_t *relay
          = fq_view_pick (&membership->view, &membership->random, can_relay, target);

      if (relay != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING_REQUEST, probe->sequence,
                            relay->entry.address, target, effects);
    }
}

static void
repeat_ping (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_view_node_t *target = fq_view_find (&membership->view, probe->target);

  probe->pings_sent++;
  probe->next_retry = now + FQ_PROBE_TIMEOUT_US * (1 + probe->health_score);
  if (target == NULL)
    return;
  fq_membership_send (membership, FQ_GOSSIP_PING, probe->sequence, target->entry.address,
                      target, effects);
  if (probe->pings_sent == FQ_PROBE_PINGS_MAX)
    ping_through_relays (membership, target, effects);
}

static void
fail_probe (fq_membership_t *membership, fq_time_t now)
{
  fq_view_node_t *target = fq_view_find (&membership->view, membership->probe.target);

  if (fq_suspicion_is_isolated (membership, now))
    return;
  /* A suspect is expected to be silent; that says nothing of this node's health. */
  if (target == NULL || target->entry.state != FQ_NODE_ALIVE)
    return;
  fq_probe_adjust_health (membership, false);
  fq_merge_set_state (membership, target, FQ_NODE_SUSPECT, now);
}

static bool
has_address (const fq_view_node_t *node, const void *user)
{
  return !fq_view_node_is_dead_or_left (node) && strcmp (node->entry.address, user) == 0;
}

/* Drawn so that all live nodes together ping each down node about once a period, and each
 * of them pings a down node in one of FQ_PROBE_DOWN_EVERY periods on average at most. */
static bool
is_down_probe_due (fq_membership_t *membership)
{
  const fq_view_t *view = &membership->view;
  uint64_t draw = fq_random_below (&membership->random, view->live);

  return draw < view->down && draw * FQ_PROBE_DOWN_EVERY < view->live;
}

/* Down nodes, and seeds at whose address no node is known, are pinged now and again, so
 * that the sides of a partition find each other once it heals. */
static void
ping_down_node_or_seed (fq_membership_t *membership, fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;
  fq_view_node_t *down_node = NULL;

  if (view->down > 0)
    down_node = fq_view_pick (view, &membership->random, is_unreachable_in_reached_domain,
                              NULL);
  if (down_node == NULL && is_down_probe_due (membership))
    down_node = fq_view_pick (view, &membership->random, is_down, NULL);
  if (down_node != NULL)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                        down_node->entry.address, down_node, effects);
  if (membership->probe.periods % FQ_PROBE_SEED_EVERY == 0 && membership->seed_count > 0)
    {
      const char *seed
          = membership
                ->seeds[fq_random_below (&membership->random, membership->seed_count)];

      if (strcmp (seed, view->self->entry.address) != 0
          && fq_view_pick (view, &membership->random, has_address, seed) == NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence, seed,
                            NULL, effects);
    }
}

void
fq_probe_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;

  if (probe->awaiting_ack && probe->pings_sent < FQ_PROBE_PINGS_MAX
      && now >= probe->next_retry)
    repeat_ping (membership, now, effects);
  if (now < probe->next_period)
    return;
  if (probe->awaiting_ack)
    fail_probe (membership, now);
  probe->periods++;
  start_probe (membership, now, effects);
  ping_down_node_or_seed (membership, effects);
  probe->next_period = now
                       + fq_membership_jitter (
                           membership, FQ_PROBE_PERIOD_US * (1 + probe->health_score));
}

void
fq_probe_handle_ack (fq_membership_t *membership,
                     uint64_t sequence,
                     fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_gossip_t *message;

  if (probe->awaiting_ack && sequence == probe->sequence)
    {
      probe->awaiting_ack = false;
      fq_probe_adjust_health (membership, true);
      return;
    }
  for (size_t i = 0; i < FQ_RELAYED_PINGS_MAX; i++)
    {
      fq_relayed_ping_t *relayed = &probe->relayed_pings[i];

      if (relayed->sequence == 0 || relayed->sequence != sequence)
        continue;
      relayed->sequence = 0;
      message = fq_membership_send (membership, FQ_GOSSIP_ACK, relayed->origin_sequence,
                                    relayed->origin_address, NULL, effects);
      memcpy (message->target, relayed->target, sizeof message->target);
      return;
    }
}

void
fq_probe_handle_request (fq_membership_t *membership,
                         const fq_gossip_t *message,
                         fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_relayed_ping_t *relayed
      = &probe->relayed_pings[probe->next_relayed_ping++ % FQ_RELAYED_PINGS_MAX];
  fq_view_node_t *target = fq_view_find (&membership->view, message->target);

  if (target == NULL || target == membership->view.self)
    return;
  relayed->sequence = ++membership->sequence;
  relayed->origin_sequence = message->sequence;
  memcpy (relayed->target, message->target, sizeof relayed->target);
  fq_text_copy (relayed->origin_address, sizeof relayed->origin_address,
                message->from_address);
  fq_membership_send (membership, FQ_GOSSIP_PING, relayed->sequence,
                      target->entry.address, target, effects);
}

void
fq_probe_handle_pause (fq_membership_t *membership, fq_time_t now, fq_time_t gap)
{
  membership->probe.awaiting_ack = false;
  membership->probe.next_period = now;
  FQ_LIST_FOREACH (link, &membership->view.suspects)
  FQ_LIST_ENTRY (link, fq_view_node_t, suspect_link)->state_since += gap;
}
