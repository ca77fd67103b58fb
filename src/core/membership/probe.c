/**
 * DOC: Probes: one node a period is pinged, at first directly, then through others.
 *
 * Probes stay in the own region but for a few. A node that misses answers or finds
 * itself late stretches its own timeouts, so that a slow node does not accuse others.
 */
#include <string.h>

#include "core/membership/membership_private.h"
#include "util/text.h"

#define FQ_PROBE_TIMEOUT_US 200000 /* until the next try */
#define FQ_PROBE_TRIES 4           /* direct pings; helpers are asked with the last */
#define FQ_PROBE_HELPERS 3         /* nodes that are asked */
#define FQ_PROBE_HEALTH_MAX 8
#define FQ_PROBE_FAR_EVERY 8   /* one probe in so many goes to another region */
#define FQ_PROBE_AWAY_EVERY 4  /* at least so many periods between pings of nodes away */
#define FQ_PROBE_SEED_EVERY 16 /* periods between pings of a seed that is not known */

void
fq_probe_health (fq_membership_t *membership, bool well)
{
  fq_probe_t *probe = &membership->probe;

  if (well && probe->health > 0)
    probe->health--;
  if (!well && probe->health < FQ_PROBE_HEALTH_MAX)
    probe->health++;
}

static bool
answers (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_ALIVE || known->entry.state == FQ_NODE_SUSPECT;
}

static bool
is_near (const fq_known_t *known, const void *user)
{
  const fq_known_t *self = user;

  return answers (known, NULL) && strcmp (known->entry.region, self->entry.region) == 0;
}

static bool
is_far (const fq_known_t *known, const void *user)
{
  const fq_known_t *self = user;

  return answers (known, NULL) && strcmp (known->entry.region, self->entry.region) != 0;
}

static bool
is_away (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_DEAD || known->entry.state == FQ_NODE_UNREACHABLE;
}

/* Unreachable, though its failure domain has been heard since, by us or others. */
static bool
is_left_behind (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_UNREACHABLE && known->domain != NULL
         && (known->domain->heard > known->since
             || known->domain->reported > known->since);
}

static bool
can_help (const fq_known_t *known, const void *user)
{
  return known->entry.state == FQ_NODE_ALIVE && known != user;
}

static fq_known_t *
pick_target (fq_membership_t *membership)
{
  fq_view_t *view = &membership->view;
  bool goes_far = fq_random_below (&membership->random, FQ_PROBE_FAR_EVERY) == 0;
  fq_known_t *target
      = fq_view_pick (view, &membership->random, goes_far ? is_far : is_near, view->self);

  if (target == NULL)
    target = fq_view_pick (view, &membership->random, answers, NULL);
  return target;
}

static void
start (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_known_t *target = pick_target (membership);

  probe->waiting = target != NULL;
  if (target == NULL)
    return;
  probe->tries = 1;
  probe->next_try = now + FQ_PROBE_TIMEOUT_US * (1 + probe->health);
  probe->sequence = ++membership->sequence;
  fq_text_copy (probe->target, sizeof probe->target, target->entry.node);
  fq_membership_send (membership, FQ_GOSSIP_PING, probe->sequence, target->entry.address,
                      target, effects);
}

static void
ask_helpers (fq_membership_t *membership, const fq_known_t *target, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;

  for (int i = 0; i < FQ_PROBE_HELPERS; i++)
    {
      fq_known_t *helper
          = fq_view_pick (&membership->view, &membership->random, can_help, target);

      if (helper != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING_REQUEST, probe->sequence,
                            helper->entry.address, target, effects);
    }
}

static void
try_again (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_known_t *target = fq_view_find (&membership->view, probe->target);

  probe->tries++;
  probe->next_try = now + FQ_PROBE_TIMEOUT_US * (1 + probe->health);
  if (target == NULL)
    return;
  fq_membership_send (membership, FQ_GOSSIP_PING, probe->sequence, target->entry.address,
                      target, effects);
  if (probe->tries == FQ_PROBE_TRIES)
    ask_helpers (membership, target, effects);
}

static void
fail (fq_membership_t *membership, fq_time_t now)
{
  fq_known_t *target = fq_view_find (&membership->view, membership->probe.target);

  if (fq_suspicion_is_isolated (membership, now))
    return;
  /* That a suspect is silent says nothing of us. */
  if (target == NULL || target->entry.state != FQ_NODE_ALIVE)
    return;
  fq_probe_health (membership, false);
  fq_merge_state (membership, target, FQ_NODE_SUSPECT, now);
}

static bool
has_address (const fq_known_t *known, const void *user)
{
  return !fq_known_is_gone (known) && strcmp (known->entry.address, user) == 0;
}

/* All nodes together ping each node that is away about once a period. */
static bool
is_turn_for_away (fq_membership_t *membership)
{
  const fq_view_t *view = &membership->view;
  uint64_t turn = fq_random_below (&membership->random, view->live);

  return turn < view->away && turn * FQ_PROBE_AWAY_EVERY < view->live;
}

/* Nodes that are away, and first contacts that nobody is known at, are tried rarely, so
   that the halves of a partition find each other again. */
static void
try_lost (fq_membership_t *membership, fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;
  fq_known_t *away = NULL;

  if (view->away > 0)
    away = fq_view_pick (view, &membership->random, is_left_behind, NULL);
  if (away == NULL && is_turn_for_away (membership))
    away = fq_view_pick (view, &membership->random, is_away, NULL);
  if (away != NULL)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                        away->entry.address, away, effects);
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

  if (probe->waiting && probe->tries < FQ_PROBE_TRIES && now >= probe->next_try)
    try_again (membership, now, effects);
  if (now < probe->next)
    return;
  if (probe->waiting)
    fail (membership, now);
  probe->periods++;
  start (membership, now, effects);
  try_lost (membership, effects);
  probe->next
      = now + fq_membership_jitter (membership, FQ_PROBE_PERIOD_US * (1 + probe->health));
}

void
fq_probe_acknowledged (fq_membership_t *membership,
                       uint64_t sequence,
                       fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_gossip_t *message;

  if (probe->waiting && sequence == probe->sequence)
    {
      probe->waiting = false;
      fq_probe_health (membership, true);
      return;
    }
  for (size_t i = 0; i < FQ_PROBE_RELAYS_MAX; i++)
    {
      fq_relay_t *relay = &probe->relays[i];

      if (relay->sequence == 0 || relay->sequence != sequence)
        continue;
      relay->sequence = 0;
      message = fq_membership_send (membership, FQ_GOSSIP_ACK, relay->asker_sequence,
                                    relay->asker_address, NULL, effects);
      memcpy (message->target, relay->target, sizeof message->target);
      return;
    }
}

void
fq_probe_relay (fq_membership_t *membership,
                const fq_gossip_t *message,
                fq_effects_t *effects)
{
  fq_probe_t *probe = &membership->probe;
  fq_relay_t *relay = &probe->relays[probe->next_relay++ % FQ_PROBE_RELAYS_MAX];
  fq_known_t *target = fq_view_find (&membership->view, message->target);

  if (target == NULL || target == membership->view.self)
    return;
  relay->sequence = ++membership->sequence;
  relay->asker_sequence = message->sequence;
  memcpy (relay->target, message->target, sizeof relay->target);
  fq_text_copy (relay->asker_address, sizeof relay->asker_address, message->from_address);
  fq_membership_send (membership, FQ_GOSSIP_PING, relay->sequence, target->entry.address,
                      target, effects);
}

void
fq_probe_paused (fq_membership_t *membership, fq_time_t now, fq_time_t gap)
{
  membership->probe.waiting = false;
  membership->probe.next = now;
  FQ_LIST_FOREACH (link, &membership->view.suspects)
  FQ_LIST_ENTRY (link, fq_known_t, suspect)->since += gap;
}
