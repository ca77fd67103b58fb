/**
 * DOC: What becomes of a suspect: dead, or unreachable with its whole failure domain.
 *
 * A suspicion that nobody refutes in time ends in death, unless nothing at all is heard
 * of the failure domain. Then some other nodes of it are tried, and if they are silent
 * too, all are kept as unreachable: a cut and a loss of power look the same from here.
 */
#include "core/membership/membership_private.h"

#define FQ_SUSPICION_PERIODS_PER_DOUBLING 2
#define FQ_SUSPICION_ASKS 6
#define FQ_SUSPICION_ASK_US 700000 /* between them */
#define FQ_SUSPICION_PERIODS_MIN 6
#define FQ_SUSPICION_SCAN_US 100000
#define FQ_DOMAIN_NODES_MIN 3 /* a smaller failure domain is no group */
#define FQ_DOMAIN_CHECKS 3    /* nodes of it that are tried */
#define FQ_DOMAIN_SILENCE_US (3 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_DOMAIN_CHECK_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_ISOLATION_US (3 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_ISOLATION_NODES_MIN 3 /* ourselves included */
#define FQ_SWEEP_US (60LL * FQ_MICROSECONDS_PER_SECOND)
#define FQ_KEEP_US (6 * 3600LL * FQ_MICROSECONDS_PER_SECOND) /* a node that is away */

fq_time_t
fq_suspicion_timeout (const fq_membership_t *membership)
{
  fq_time_t periods = (fq_time_t)FQ_SUSPICION_PERIODS_PER_DOUBLING
                      * fq_dissemination_log2 (membership->view.live);

  if (periods < FQ_SUSPICION_PERIODS_MIN)
    periods = FQ_SUSPICION_PERIODS_MIN;
  return periods * FQ_PROBE_PERIOD_US;
}

/* A node that hears nobody judges nobody, unless it knows too few to tell. */
bool
fq_suspicion_is_isolated (const fq_membership_t *membership, fq_time_t now)
{
  return membership->view.live > FQ_ISOLATION_NODES_MIN
         && now - membership->heard > FQ_ISOLATION_US;
}

static bool
is_of_domain (const fq_known_t *known, const void *user)
{
  return known->domain == user && !fq_known_is_gone (known);
}

static bool
is_elsewhere (const fq_known_t *known, const void *user)
{
  return known->domain != user && known->entry.state == FQ_NODE_ALIVE;
}

static void
check_domain (fq_membership_t *membership,
              fq_domain_t *domain,
              fq_time_t now,
              fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  domain->check_at = now;
  for (int i = 0; i < FQ_DOMAIN_CHECKS; i++)
    {
      fq_known_t *node = fq_view_pick (view, &membership->random, is_of_domain, domain);
      fq_known_t *helper = fq_view_pick (view, &membership->random, is_elsewhere, domain);

      if (node == NULL)
        return;
      fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                          node->entry.address, node, effects);
      if (helper != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING_REQUEST, ++membership->sequence,
                            helper->entry.address, node, effects);
    }
}

static void
cut_domain (fq_membership_t *membership,
            fq_domain_t *domain,
            fq_time_t now,
            fq_effects_t *effects)
{
  size_t lost = 0;

  domain->heard = 0;
  domain->reported = 0;
  FQ_LIST_FOREACH (link, &domain->nodes)
  {
    fq_known_t *known = FQ_LIST_ENTRY (link, fq_known_t, domain_link);

    if (known == membership->view.self || fq_known_is_gone (known))
      continue;
    fq_list_remove (&known->told);
    fq_view_set_state (&membership->view, known, FQ_NODE_UNREACHABLE, now);
    lost++;
  }
  fq_effects_log (effects, FQ_LOG_WARNING, "membership",
                  "A failure domain with %zu nodes is silent.", lost);
}

static bool
is_alive (const fq_known_t *known, const void *user)
{
  (void)user;
  return known->entry.state == FQ_NODE_ALIVE;
}

/* The refutation may have missed only us: others are shown the suspect before the end,
   and who knows better says so. */
static bool
is_asking (fq_membership_t *membership, fq_known_t *known, fq_effects_t *effects)
{
  fq_known_t *other;

  if (known->asks == FQ_SUSPICION_ASKS)
    return false;
  known->asks++;
  known->since += FQ_SUSPICION_ASK_US;
  other = fq_view_pick (&membership->view, &membership->random, is_alive, NULL);
  if (other != NULL)
    fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                        other->entry.address, known, effects);
  return true;
}

static bool
is_group (const fq_membership_t *membership, const fq_domain_t *domain)
{
  size_t others;

  if (domain == NULL)
    return false;
  others = domain->count - (domain == membership->view.self->domain ? 1 : 0);
  return others >= FQ_DOMAIN_NODES_MIN;
}

static void
decide (fq_membership_t *membership,
        fq_known_t *known,
        fq_time_t now,
        fq_effects_t *effects)
{
  fq_domain_t *domain = known->domain;
  fq_time_t stretch = 1 + membership->probe.health;

  if (!is_group (membership, domain)
      || now - domain->heard < FQ_DOMAIN_SILENCE_US * stretch)
    {
      if (is_asking (membership, known, effects))
        return;
      fq_merge_state (membership, known, FQ_NODE_DEAD, now);
      fq_effects_log (effects, FQ_LOG_WARNING, "membership", "Node %s is dead.",
                      known->entry.node);
    }
  else if (domain->check_at == 0)
    check_domain (membership, domain, now, effects);
  else if (now - domain->check_at >= FQ_DOMAIN_CHECK_US * stretch)
    cut_domain (membership, domain, now, effects);
}

static fq_known_t *
next_expired (fq_membership_t *membership, fq_time_t now, fq_list_t *link)
{
  fq_list_t *head = &membership->view.suspects;
  fq_time_t timeout = fq_suspicion_timeout (membership) * (1 + membership->probe.health);

  for (link = link->next; link != head; link = link->next)
    {
      fq_known_t *known = FQ_LIST_ENTRY (link, fq_known_t, suspect);

      if (now - known->since >= timeout)
        return known;
    }
  return NULL;
}

/* A silent failure domain takes many suspects off the list at once; the next scan goes
   on with those that are left. */
static void
scan (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  fq_known_t *known = next_expired (membership, now, &membership->view.suspects);

  while (known != NULL)
    {
      fq_known_t *following = next_expired (membership, now, &known->suspect);

      decide (membership, known, now, effects);
      if (known->entry.state == FQ_NODE_UNREACHABLE)
        return;
      known = following;
    }
}

static void
sweep (fq_membership_t *membership, fq_time_t now)
{
  fq_view_t *view = &membership->view;

  for (size_t i = view->count; i > 0; i--)
    {
      fq_known_t *known = view->nodes[i - 1];

      if (now - known->since < FQ_KEEP_US || !fq_list_is_empty (&known->changed))
        continue;
      if (known->entry.state == FQ_NODE_UNREACHABLE)
        fq_view_set_state (view, known, FQ_NODE_DEAD, now);
      else if (fq_known_is_gone (known) && known != view->self)
        fq_view_forget (view, known);
    }
}

void
fq_suspicion_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects)
{
  if (now >= membership->probe.next_scan)
    {
      membership->probe.next_scan = now + FQ_SUSPICION_SCAN_US;
      if (!fq_suspicion_is_isolated (membership, now))
        scan (membership, now, effects);
    }
  if (now >= membership->probe.next_sweep)
    {
      membership->probe.next_sweep = now + FQ_SWEEP_US;
      sweep (membership, now);
    }
}
