/**
 * DOC: Marks and clears suspects when this node's upstream crashed or answered, and
 * notifies the other nodes of the service. Crashes are detected in run.c and core.c.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/core_private.h"
#include "util/text.h"

#define FQ_CRASH_RECIPIENTS_MAX 64 /* nodes that are notified of a crash directly */

/* Sends a suspicion or clearance directly to the other nodes of the service, so that they
 * know of a suspicion before the caller can retry. */
static void
gossip_to_service (fq_core_t *core, const fq_poison_entry_t *entry)
{
  const fq_node_entry_t *self = fq_membership_find (core->membership, core->node);
  const char *addresses[FQ_CRASH_RECIPIENTS_MAX];
  size_t count = fq_routing_list_addresses (core->routing, core->upstream.service,
                                            addresses, FQ_CRASH_RECIPIENTS_MAX);

  for (size_t i = 0; self != NULL && i < count; i++)
    {
      fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_GOSSIP);
      fq_gossip_effect_t *gossip = calloc (1, sizeof *gossip);

      if (gossip == NULL)
        abort ();
      effect->gossip = gossip;
      fq_text_copy (gossip->address, FQ_ADDRESS_BYTES, addresses[i]);
      /* An acknowledgement is not answered. */
      gossip->message.kind = FQ_GOSSIP_ACK;
      fq_text_copy (gossip->message.from, FQ_NAME_BYTES, core->node);
      fq_text_copy (gossip->message.from_address, FQ_ADDRESS_BYTES, self->address);
      gossip->message.ticket_number = fq_core_ticket_number (core);
      gossip->message.poison[gossip->message.poison_count++] = *entry;
    }
}

void
fq_crash_clear_suspect (fq_core_t *core, const fq_request_t *request)
{
  fq_poison_entry_t clearance;

  fq_poison_clear_losses (core->poison);
  if (fq_poison_is_empty (core->poison))
    return;
  if (fq_poison_clear_suspect (core->poison, fq_request_fingerprint (request),
                               &clearance))
    gossip_to_service (core, &clearance);
}

void
fq_crash_mark_suspects (fq_core_t *core)
{
  uint64_t crash_id = XXH3_64bits_withSeed (core->node, strlen (core->node),
                                            core->upstream.incarnation);
  fq_poison_entry_t suspicion;

  while (fq_poison_attribute_crash (core->poison, core->now, crash_id, &suspicion))
    {
      if (suspicion.crash_id & FQ_POISON_SOLE_SUSPECT)
        fq_effects_log (core->effects, FQ_LOG_WARNING, "poison",
                        "Blocked a request that crashed its upstream again.");
      gossip_to_service (core, &suspicion);
    }
}
