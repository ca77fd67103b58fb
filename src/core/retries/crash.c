/**
 * DOC: Suspicions of this node's gate, and telling them to the service's other nodes.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/core_private.h"
#include "util/text.h"

#define FQ_CRASH_TOLD_MAX 64 /* that hear of a crash at once */

/* The other nodes of the service hear of a crash before the caller can send again. */
static void
tell_service (fq_core_t *core, const fq_poison_entry_t *suspicion)
{
  const fq_node_entry_t *self = fq_membership_find (core->membership, core->node);
  const char *addresses[FQ_CRASH_TOLD_MAX];
  size_t count = fq_routing_list_addresses (core->routing, core->upstream.service,
                                            addresses, FQ_CRASH_TOLD_MAX);

  for (size_t i = 0; self != NULL && i < count; i++)
    {
      fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_GOSSIP);
      fq_gossip_effect_t *gossip = calloc (1, sizeof *gossip);

      if (gossip == NULL)
        abort ();
      effect->gossip = gossip;
      fq_text_copy (gossip->address, FQ_ADDRESS_BYTES, addresses[i]);
      gossip->message.kind = FQ_GOSSIP_ACK;
      fq_text_copy (gossip->message.from, FQ_NAME_BYTES, core->node);
      fq_text_copy (gossip->message.from_address, FQ_ADDRESS_BYTES, self->address);
      gossip->message.ticket_number = fq_core_ticket_number (core);
      gossip->message.poison[gossip->message.poison_count++] = *suspicion;
    }
}

void
fq_crash_clear (fq_core_t *core, const fq_request_t *request)
{
  fq_poison_entry_t cleared;

  fq_poison_alive (core->poison);
  if (fq_poison_is_empty (core->poison))
    return;
  if (fq_poison_answered (core->poison, fq_request_fingerprint (request), &cleared))
    tell_service (core, &cleared);
}

void
fq_crash_blame (fq_core_t *core)
{
  uint64_t crash = XXH3_64bits_withSeed (core->node, strlen (core->node),
                                         core->upstream.incarnation);
  fq_poison_entry_t suspicion;

  while (fq_poison_crashed (core->poison, core->now, crash, &suspicion))
    {
      if (suspicion.crash & FQ_POISON_ALONE)
        fq_effects_log (core->effects, FQ_LOG_WARNING, "poison",
                        "A request that crashed its upstream again is refused now.");
      tell_service (core, &suspicion);
    }
}
