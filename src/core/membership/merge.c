/**
 * DOC: Merges received entries into the view: precedence of incarnations and states.
 *
 * A higher incarnation always wins. Within one incarnation the state that comes later in
 * fq_node_state_t wins. Only a node itself raises its incarnation, which refutes a
 * suspicion of it.
 */
#include <string.h>

#include "core/membership/membership_private.h"

void
fq_merge_set_state (fq_membership_t *membership,
                    fq_view_node_t *node,
                    fq_node_state_t state,
                    fq_time_t now)
{
  if (node->entry.state == state)
    return;
  fq_view_set_state (&membership->view, node, state, now);
  fq_dissemination_enqueue (&membership->dissemination, node);
}

static void
merge_self (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now)
{
  const fq_node_entry_t *self = &membership->view.self->entry;
  bool is_suspected = entry->state != FQ_NODE_ALIVE;

  if (self->state == FQ_NODE_LEFT || entry->incarnation < self->incarnation
      || (entry->incarnation == self->incarnation && !is_suspected))
    return;
  if (is_suspected)
    fq_probe_adjust_health (membership, false);
  fq_membership_raise_incarnation (membership, entry->incarnation, now);
}

/* Whether @state wins over the state of @node, within one incarnation. Unreachable ranks
 * as alive but was found by this node itself: only a leave or a newer incarnation
 * overrides it. */
static bool
overrides_state (fq_node_state_t state, const fq_view_node_t *node)
{
  if (node->entry.state == FQ_NODE_UNREACHABLE)
    return state == FQ_NODE_LEFT;
  return state > node->entry.state;
}

/* A compact entry has no address; see make_compact(). */
static bool
is_compact (const fq_node_entry_t *entry)
{
  return entry->address[0] == '\0';
}

/* A newer entry of an unreachable node also shows that some other node reaches its
 * failure domain. */
void
fq_merge_entry (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now)
{
  fq_view_node_t *node = fq_view_find (&membership->view, entry->node);

  if (node == membership->view.self)
    merge_self (membership, entry, now);
  else if (node == NULL)
    {
      if (is_compact (entry))
        return;
      node = fq_view_add (&membership->view, entry, now);
      if (node == NULL)
        return;
      fq_dissemination_enqueue (&membership->dissemination, node);
    }
  else if (entry->incarnation == node->entry.incarnation)
    {
      if (overrides_state (entry->state, node))
        fq_merge_set_state (membership, node, entry->state, now);
    }
  else if (entry->incarnation > node->entry.incarnation && !is_compact (entry))
    {
      if (node->entry.state == FQ_NODE_UNREACHABLE && node->domain != NULL)
        node->domain->last_reported = now;
      fq_view_replace (&membership->view, node, entry, now);
      fq_dissemination_enqueue (&membership->dissemination, node);
    }
}

/* A node that became unreachable with its whole failure domain and answers with the same
 * incarnation was cut off, not restarted. The same is assumed of the other nodes of the
 * domain, which become alive again. */
static void
restore_domain (fq_membership_t *membership,
                fq_domain_t *domain,
                fq_time_t now,
                fq_effects_t *effects)
{
  size_t restored = 0;

  FQ_LIST_FOREACH (link, &domain->nodes)
  {
    fq_view_node_t *node = FQ_LIST_ENTRY (link, fq_view_node_t, domain_link);

    if (node->entry.state != FQ_NODE_UNREACHABLE)
      continue;
    fq_view_set_state (&membership->view, node, FQ_NODE_ALIVE, now);
    restored++;
  }
  fq_effects_log (
      effects, FQ_LOG_INFO, "membership",
      "A failure domain is reachable again; marked %zu of its nodes as alive.", restored);
}

void
fq_merge_contact (fq_membership_t *membership,
                  fq_view_node_t *node,
                  uint64_t incarnation,
                  fq_time_t now,
                  fq_effects_t *effects)
{
  if (node == NULL || node == membership->view.self)
    return;
  if (node->domain != NULL)
    {
      node->domain->last_answered_at = now;
      node->domain->check_started = 0;
    }
  if (incarnation < node->entry.incarnation)
    return;
  if (node->entry.state == FQ_NODE_UNREACHABLE && node->domain != NULL)
    restore_domain (membership, node->domain, now, effects);
  else if (node->entry.state == FQ_NODE_SUSPECT)
    fq_view_set_state (&membership->view, node, FQ_NODE_ALIVE, now);
}
