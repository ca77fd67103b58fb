/**
 * DOC: A cluster of membership modules (fq_membership_t) in one process, with a simulated
 * network that loses datagrams.
 *
 * Every datagram is encoded and decoded by the real codec. Time is virtual; each step
 * delivers the datagrams of the step before.
 */
#ifndef FQ_TESTS_FLEET_H
#define FQ_TESTS_FLEET_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/membership.h"
#include "util/random.h"
#include "wire/codec.h"

#define FLEET_MAX 100
#define FLEET_STEP_US 40000
#define FLEET_IP_UDP_HEADER_BYTES 28

typedef struct
{
  fq_membership_t *membership;
  uint64_t incarnation;
  uint64_t sent_bytes;     /* with IP and UDP headers */
  uint64_t received_bytes; /* with IP and UDP headers */
  bool killed;             /* crashed: neither sends nor receives */
  bool frozen;             /* paused: loses incoming datagrams and gets no ticks */
  bool outbound_blocked;   /* all its outgoing datagrams are lost */
  bool inbound_blocked;    /* all its incoming datagrams are lost */
} fleet_node_t;

typedef struct
{
  int to;
  size_t size;
  uint8_t data[FQ_GOSSIP_BYTES_MAX];
} fleet_datagram_t;

typedef struct
{
  fleet_node_t nodes[FLEET_MAX];
  char names[FLEET_MAX][FQ_NAME_BYTES];
  int count;
  int domains; /* failure domains, spread over two regions */
  uint32_t loss_percent;
  bool (*is_link_down) (int from, int to); /* whether a link is down; NULL: none is */
  fq_time_t now;
  fq_random_t random;
  fleet_datagram_t *queue;
  size_t queued;
  size_t capacity;
} fleet_t;

static inline int
fleet_domain (const fleet_t *fleet, int index)
{
  return index % fleet->domains;
}

/* Starts the node @index, or restarts it and discards its state. */
static inline void
fleet_start (fleet_t *fleet, int index, uint64_t incarnation)
{
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
  fleet_node_t *node = &fleet->nodes[index];
  char location[3][FQ_NAME_BYTES]; /* address, failure domain, region */
  int domain = fleet_domain (fleet, index);

  fq_membership_free (node->membership);
  *node = (fleet_node_t){ .incarnation = incarnation };
  snprintf (fleet->names[index], FQ_NAME_BYTES, "mid-tables-%d", index);
  snprintf (location[0], FQ_NAME_BYTES, "10.101.102.103:%d", 10000 + index);
  snprintf (location[1], FQ_NAME_BYTES, "mid-%d", domain);
  snprintf (location[2], FQ_NAME_BYTES, "region-%d", domain < fleet->domains / 2 ? 0 : 1);
  options.node = fleet->names[index];
  options.address = location[0];
  options.failure_domain = location[1];
  options.region = location[2];
  options.seeds[0] = "10.101.102.103:10000";
  options.seeds[1] = "10.101.102.103:10001";
  options.seed_count = 2;
  options.incarnation = incarnation;
  options.seed = fq_random_next (&fleet->random);
  if (fq_membership_new (&node->membership, &options, fleet->now) < 0)
    abort ();
}

static inline bool
fleet_is_lost (fleet_t *fleet, int from, int to)
{
  const fleet_node_t *receiver = &fleet->nodes[to];

  return fleet->nodes[from].outbound_blocked || receiver->killed || receiver->frozen
         || receiver->inbound_blocked
         || (fleet->is_link_down != NULL && fleet->is_link_down (from, to))
         || fq_random_below (&fleet->random, 100) < fleet->loss_percent;
}

static inline void
fleet_send (fleet_t *fleet, int from, const fq_gossip_effect_t *effect)
{
  int to = atoi (strchr (effect->address, ':') + 1) - 10000;
  fleet_datagram_t *datagram;

  if (fleet->queued == fleet->capacity)
    {
      fleet->capacity = fleet->capacity * 2 + 64;
      fleet->queue = realloc (fleet->queue, fleet->capacity * sizeof *fleet->queue);
    }
  datagram = &fleet->queue[fleet->queued];
  if (fq_gossip_pack (datagram->data, sizeof datagram->data, &datagram->size,
                      &effect->message)
      < 0)
    abort ();
  datagram->to = to;
  fleet->nodes[from].sent_bytes += datagram->size + FLEET_IP_UDP_HEADER_BYTES;
  if (!fleet_is_lost (fleet, from, to))
    fleet->queued++;
}

static inline void
fleet_apply_effects (fleet_t *fleet, int from, fq_effects_t *effects)
{
  fq_node_entry_t entry;

  for (size_t i = 0; i < effects->count; i++)
    {
      if (effects->items[i].kind == FQ_EFFECT_GOSSIP)
        fleet_send (fleet, from, effects->items[i].gossip);
    }
  fq_effects_clear (effects);
  while (fq_membership_take_change (fleet->nodes[from].membership, &entry))
    ;
}

static inline void
fleet_deliver (fleet_t *fleet, fq_effects_t *effects)
{
  fleet_datagram_t *queue = fleet->queue;
  size_t queued = fleet->queued;
  fq_gossip_t message;

  fleet->queue = NULL;
  fleet->queued = fleet->capacity = 0;
  for (size_t i = 0; i < queued; i++)
    {
      fleet_node_t *node = &fleet->nodes[queue[i].to];

      if (node->killed || node->frozen
          || fq_gossip_unpack (&message, queue[i].data, queue[i].size) < 0)
        continue;
      node->received_bytes += queue[i].size + FLEET_IP_UDP_HEADER_BYTES;
      fq_membership_handle_datagram (node->membership, fleet->now, &message, effects);
      fleet_apply_effects (fleet, queue[i].to, effects);
    }
  free (queue);
}

static inline void
fleet_run (fleet_t *fleet, double seconds)
{
  fq_time_t until = fleet->now + (fq_time_t)(seconds * FQ_MICROSECONDS_PER_SECOND);
  fq_effects_t effects = { 0 };

  while (fleet->now < until)
    {
      fleet->now += FLEET_STEP_US;
      fleet_deliver (fleet, &effects);
      for (int i = 0; i < fleet->count; i++)
        {
          if (fleet->nodes[i].killed || fleet->nodes[i].frozen)
            continue;
          fq_membership_tick (fleet->nodes[i].membership, fleet->now, &effects);
          fleet_apply_effects (fleet, i, &effects);
        }
    }
  fq_effects_free (&effects);
}

static inline void
fleet_open (fleet_t *fleet, int count, int domains, uint32_t loss_percent, uint64_t seed)
{
  *fleet = (fleet_t){ .count = count, .domains = domains, .loss_percent = loss_percent };
  fleet->random.state = seed;
  fleet->now = FQ_MICROSECONDS_PER_SECOND;
  for (int i = 0; i < count; i++)
    fleet_start (fleet, i, 1000);
}

static inline void
fleet_close (fleet_t *fleet)
{
  for (int i = 0; i < fleet->count; i++)
    fq_membership_free (fleet->nodes[i].membership);
  free (fleet->queue);
}

/* The entry of node @of in the view of node @at; NULL: unknown there. */
static inline const fq_node_entry_t *
fleet_view (const fleet_t *fleet, int at, int of)
{
  return fq_membership_find (fleet->nodes[at].membership, fleet->names[of]);
}

#endif
