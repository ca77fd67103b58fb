/**
 * DOC: Telling news at once: a new ticket number goes to a few random nodes, each of
 * which does the same when it has caught up.
 *
 * With FQ_RUSH_NODES nodes told by each, the number of nodes that know grows by that
 * factor with every round trip; the probes of every period reach those that were missed.
 */
#include "core/membership/membership_private.h"

#define FQ_RUSH_NODES 4

static bool
is_alive (const fq_known_t *known, const void *self)
{
  return known->entry.state == FQ_NODE_ALIVE && known != self;
}

void
fq_membership_push_ticket_number (fq_membership_t *membership,
                                  uint64_t ticket_number,
                                  fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  membership->ticket_number = ticket_number;
  for (int i = 0; i < FQ_RUSH_NODES; i++)
    {
      fq_known_t *node = fq_view_pick (view, &membership->random, is_alive, view->self);

      if (node != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            node->entry.address, NULL, effects);
    }
}
