/**
 * DOC: Sends a new ticket number to a few random nodes at once; each of them does the
 * same when it has fetched the tickets up to it.
 *
 * The number of nodes that know it grows by the factor FQ_TICKET_PUSH_NODES with every
 * round trip; the probes of every period reach the nodes that were missed.
 */
#include "core/membership/membership_private.h"

#define FQ_TICKET_PUSH_NODES 4

static bool
is_alive (const fq_view_node_t *node, const void *self)
{
  return node->entry.state == FQ_NODE_ALIVE && node != self;
}

void
fq_membership_push_ticket_number (fq_membership_t *membership,
                                  uint64_t ticket_number,
                                  fq_effects_t *effects)
{
  fq_view_t *view = &membership->view;

  membership->ticket_number = ticket_number;
  for (int i = 0; i < FQ_TICKET_PUSH_NODES; i++)
    {
      fq_view_node_t *node
          = fq_view_pick (view, &membership->random, is_alive, view->self);

      if (node != NULL)
        fq_membership_send (membership, FQ_GOSSIP_PING, ++membership->sequence,
                            node->entry.address, NULL, effects);
    }
}
