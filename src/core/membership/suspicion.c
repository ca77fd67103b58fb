/**
 * DOC: Suspicion timeouts: a suspect becomes dead, or unreachable with its failure
 * domain.
 *
 * A suspect that does not refute the suspicion in time is declared dead, unless nothing
 * was received from its whole failure domain. Then some other nodes of the domain are
 * probed, and if none answers, all its nodes become unreachable instead of dead: a
 * network partition can't be distinguished from a loss of power.
 */
#include "core/membership/membership_private.h"

#define FQ_SUSPICION_PERIODS_PER_DOUBLING 2
#define FQ_SUSPICION_CONFIRM_PINGS 6 /* to other nodes, before a suspect becomes dead */
#define FQ_SUSPICION_CONFIRM_INTERVAL_US 700000 /* between these pings */
#define FQ_SUSPICION_PERIODS_MIN 6
#define FQ_SUSPICION_SCAN_INTERVAL_US 100000
/* With fewer nodes, this one not counted, a failure domain never becomes unreachable. */
#define FQ_DOMAIN_NODES_MIN 3
#define FQ_DOMAIN_CHECK_NODES 3 /* nodes of a silent failure domain that are probed */
#define FQ_DOMAIN_SILENCE_US (3 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_DOMAIN_CHECK_TIMEOUT_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_ISOLATION_US (3 * FQ_MICROSECONDS_PER_SECOND)
/* With at most so many live nodes, itself included, a node never counts as isolated. */
#define FQ_ISOLATION_EXEMPT_NODES 3
#define FQ_SWEEP_INTERVAL_US (60LL * FQ_MICROSECONDS_PER_SECOND)
/* After this time unreachable nodes become dead, dead and left ones are removed. */
#define FQ_RETENTION_US (6 * 3600LL * FQ_MICROSECONDS_PER_SECOND)

fq_time_t
fq_suspicion_timeout (const fq_membership_t *membership)
{
  fq_time_t periods = (fq_time_t)FQ_SUSPICION_PERIODS_PER_DOUBLING
                      * fq_dissemination_log2 (membership->view.live);

  if (periods < FQ_SUSPICION_PERIODS_MIN)
    periods = FQ_SUSPICION_PERIODS_MIN;
  return periods * FQ_PROBE_PERIOD_US;
}

/* A node that receives nothing from any other must not declare others dead. In a small
 * view, isolation can't be distinguished from the failure of all others and is not
 * assumed. */
bool
fq_suspicion_is_isolated (const fq_membership_t *membership, fq_time_t now)
{
  return membership->view.live > FQ_ISOLATION_EXEMPT_NODES
         && now - membership->last_received_at > FQ_ISOLATION_US;
}

static bool
is_in_domain (const fq_view_node_t *node, const void *user)
{
  return node->domain == user && !fq_view_node_is_dead_or_left (node);
}

static bool
is_alive_outside_domain (const fq_view_node_t *node, const void *user)
{
  return node->domain != user && node->entry.state == FQ_NODE_ALIVE;
}

static void
probe_domain (fq_membership_t *membership,
              fq_domain_t *domain,
              fq_time_t now,
              fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  domain->check_started = now;
  for (int i = 0; i < FQ_DOMAIN_CHECK_NODES; i++)
    {
      fq_view_node_t *node
          = fq_view_pick (view, &membership->random, is_in_domain, domain);
      fq_view_node_t *relay
          = fq_view_pick (view, &membership->random, is_alive_outside_domain, domain);

      if (node == NULL)
        return;
      fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                          node->entry.address, node, effects);
      if (relay != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING_REQUEST, ++membership->sequence,
                            relay->entry.address, node, effects);
    }
}

static void
mark_domain_unreachable (fq_membership_t *membership,
                         fq_domain_t *domain,
                         fq_time_t now,
                         fq_effects_t *effects)
{
  size_t marked = 0;

  domain->last_answered_at = 0;
  domain->last_reported = 0;
  FQ_LIST_FOREACH (link, &domain->nodes)
  {
    fq_view_node_t *node = FQ_LIST_ENTRY (link, fq_view_node_t, domain_link);

    if (node == membership->view.self || fq_view_node_is_dead_or_left (node))
      continue;
    fq_list_remove (&node->queue_link);
    fq_view_set_state (&membership->view, node, FQ_NODE_UNREACHABLE, now);
    marked++;
  }
  fq_effects_log (
      effects, FQ_LOG_WARNING, "membership",
      "No node of a failure domain answers; marked %zu of its nodes as unreachable.",
      marked);
}

static bool
is_alive (const fq_view_node_t *node, const void *user)
{
  (void)user;
  return node->entry.state == FQ_NODE_ALIVE;
}

/* The refutation may have been lost on its way to this node. Before a suspect is declared
 * dead, its entry is sent to other nodes in pings; one that has a newer entry answers
 * with it. Returns false when all these pings have been sent, else the suspicion is
 * extended. */
static bool
send_confirm_ping (fq_membership_t *membership,
                   fq_view_node_t *node,
                   fq_effects_t *effects)
{
  fq_view_node_t *receiver;

  if (node->confirm_pings == FQ_SUSPICION_CONFIRM_PINGS)
    return false;
  node->confirm_pings++;
  node->state_since += FQ_SUSPICION_CONFIRM_INTERVAL_US;
  receiver = fq_view_pick (&membership->view, &membership->random, is_alive, NULL);
  if (receiver != NULL)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                        receiver->entry.address, node, effects);
  return true;
}

/* Whether @domain is large enough to become unreachable as a whole; NULL: no. */
static bool
has_enough_nodes (const fq_membership_t *membership, const fq_domain_t *domain)
{
  size_t others;

  if (domain == NULL)
    return false;
  others = domain->count - (domain == membership->view.self->domain ? 1 : 0);
  return others >= FQ_DOMAIN_NODES_MIN;
}

static void
decide_on_suspect (fq_membership_t *membership,
                   fq_view_node_t *node,
                   fq_time_t now,
                   fq_effects_t *effects)
{
  fq_domain_t *domain = node->domain;
  fq_time_t multiplier = 1 + membership->probe.health_score;

  if (!has_enough_nodes (membership, domain)
      || now - domain->last_answered_at < FQ_DOMAIN_SILENCE_US * multiplier)
    {
      if (send_confirm_ping (membership, node, effects))
        return;
      fq_merge_set_state (membership, node, FQ_NODE_DEAD, now);
      fq_effects_log (effects, FQ_LOG_WARNING, "membership", "Node %s is dead.",
                      node->entry.node);
    }
  else if (domain->check_started == 0)
    probe_domain (membership, domain, now, effects);
  else if (now - domain->check_started >= FQ_DOMAIN_CHECK_TIMEOUT_US * multiplier)
    mark_domain_unreachable (membership, domain, now, effects);
}

static fq_view_node_t *
next_expired_suspect (fq_membership_t *membership, fq_time_t now, fq_list_t *link)
{
  fq_list_t *head = &membership->view.suspects;
  fq_time_t timeout
      = fq_suspicion_timeout (membership) * (1 + membership->probe.health_score);

  for (link = link->next; link != head; link = link->next)
    {
      fq_view_node_t *node = FQ_LIST_ENTRY (link, fq_view_node_t, suspect_link);

      if (now - node->state_since >= timeout)
        return node;
    }
  return NULL;
}

/* A failure domain that becomes unreachable takes many suspects off the list at once,
 * also @following; the rest is left to the next scan. */
static void
scan_suspects (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_view_node_t *node
      = next_expired_suspect (membership, now, &membership->view.suspects);

  while (node != NULL)
    {
      fq_view_node_t *following
          = next_expired_suspect (membership, now, &node->suspect_link);

      decide_on_suspect (membership, node, now, effects);
      if (node->entry.state == FQ_NODE_UNREACHABLE)
        return;
      node = following;
    }
}

static void
remove_old_nodes (fq_membership_t *membership, fq_time_t now)
{
  fq_view_t *view = &membership->view;

  for (size_t i = view->count; i > 0; i--)
    {
      fq_view_node_t *node = view->nodes[i - 1];

      if (now - node->state_since < FQ_RETENTION_US
          || !fq_list_is_empty (&node->change_link))
        continue;
      if (node->entry.state == FQ_NODE_UNREACHABLE)
        fq_view_set_state (view, node, FQ_NODE_DEAD, now);
      else if (fq_view_node_is_dead_or_left (node) && node != view->self)
        fq_view_remove (view, node);
    }
}

void
fq_suspicion_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  if (now >= membership->probe.next_suspect_scan)
    {
      membership->probe.next_suspect_scan = now + FQ_SUSPICION_SCAN_INTERVAL_US;
      if (!fq_suspicion_is_isolated (membership, now))
        scan_suspects (membership, now, effects);
    }
  if (now >= membership->probe.next_sweep)
    {
      membership->probe.next_sweep = now + FQ_SWEEP_INTERVAL_US;
      remove_old_nodes (membership, now);
    }
}
