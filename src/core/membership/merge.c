/**
 * DOC: What a node believes of what it hears: precedence of incarnations and states.
 *
 * A higher incarnation always wins. Within one incarnation, the worse state wins. Only a
 * node itself raises its incarnation, which is how it refutes a suspicion.
 */
#include <string.h>

#include "core/membership/membership_private.h"

void
fq_merge_state (fq_membership_t *membership,
                fq_known_t *known,
                fq_node_state_t state,
                fq_time_t now)
{
  if (known->entry.state == state)
    return;
  fq_view_set_state (&membership->view, known, state, now);
  fq_dissemination_tell (&membership->spread, known);
}

static void
hear_of_self (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now)
{
  const fq_node_entry_t *self = &membership->view.self->entry;
  bool doubted = entry->state != FQ_NODE_ALIVE;

  if (self->state == FQ_NODE_LEFT || entry->incarnation < self->incarnation
      || (entry->incarnation == self->incarnation && !doubted))
    return;
  if (doubted)
    fq_probe_health (membership, false);
  fq_membership_raise (membership, entry->incarnation, now);
}

/* Unreachable counts as alive: only what is newer than our own finding changes it. */
static bool
is_worse (fq_node_state_t state, const fq_known_t *known)
{
  if (known->entry.state == FQ_NODE_UNREACHABLE)
    return state == FQ_NODE_LEFT;
  return state > known->entry.state;
}

static bool
is_short (const fq_node_entry_t *entry)
{
  return entry->address[0] == '\0';
}

/* A newer entry of an unreachable node also shows that its failure domain can be heard
   again, by somebody. */
void
fq_merge_entry (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now)
{
  fq_known_t *known = fq_view_find (&membership->view, entry->node);

  if (known == membership->view.self)
    hear_of_self (membership, entry, now);
  else if (known == NULL)
    {
      if (is_short (entry))
        return;
      known = fq_view_add (&membership->view, entry, now);
      if (known == NULL)
        return;
      fq_dissemination_tell (&membership->spread, known);
    }
  else if (entry->incarnation == known->entry.incarnation)
    {
      if (is_worse (entry->state, known))
        fq_merge_state (membership, known, entry->state, now);
    }
  else if (entry->incarnation > known->entry.incarnation && !is_short (entry))
    {
      if (known->entry.state == FQ_NODE_UNREACHABLE && known->domain != NULL)
        known->domain->reported = now;
      fq_view_replace (&membership->view, known, entry, now);
      fq_dissemination_tell (&membership->spread, known);
    }
}

/* A node that was silent with its whole failure domain and is back unchanged was cut
   off, not restarted, and so were the others of its domain. */
static void
restore_domain (fq_membership_t *membership,
                fq_domain_t *domain,
                fq_time_t now,
                fq_effects_t *effects)
{
  size_t restored = 0;

  FQ_LIST_FOREACH (link, &domain->nodes)
  {
    fq_known_t *known = FQ_LIST_ENTRY (link, fq_known_t, domain_link);

    if (known->entry.state != FQ_NODE_UNREACHABLE)
      continue;
    fq_view_set_state (&membership->view, known, FQ_NODE_ALIVE, now);
    restored++;
  }
  fq_effects_log (effects, FQ_LOG_INFO, "membership",
                  "A failure domain is back with %zu nodes.", restored);
}

void
fq_merge_heard (fq_membership_t *membership,
                fq_known_t *known,
                uint64_t incarnation,
                fq_time_t now,
                fq_effects_t *effects)
{
  if (known == NULL || known == membership->view.self)
    return;
  if (known->domain != NULL)
    {
      known->domain->heard = now;
      known->domain->check_at = 0;
    }
  if (incarnation < known->entry.incarnation)
    return;
  if (known->entry.state == FQ_NODE_UNREACHABLE && known->domain != NULL)
    restore_domain (membership, known->domain, now, effects);
  else if (known->entry.state == FQ_NODE_SUSPECT)
    fq_view_set_state (&membership->view, known, FQ_NODE_ALIVE, now);
}
