/**
 * DOC: The state of membership, shared by its parts.
 */
#ifndef FQ_CORE_MEMBERSHIP_PRIVATE_H
#define FQ_CORE_MEMBERSHIP_PRIVATE_H

#include "core/membership/dissemination.h"
#include "core/membership/membership.h"
#include "core/membership/view.h"
#include "util/random.h"

#define FQ_PROBE_PERIOD_US FQ_MICROSECONDS_PER_SECOND
#define FQ_PROBE_RELAYS_MAX 32 /* pings under way on behalf of other nodes */
#define FQ_PUSH_NODES_MAX 64   /* nodes that hear at once of a change of ourselves */

/** struct fq_relay_t - a ping that we sent for another node. */
typedef struct
{
  uint64_t sequence; /* of our own ping; 0: free */
  uint64_t asker_sequence;
  char target[FQ_NAME_BYTES];
  char asker_address[FQ_ADDRESS_BYTES];
} fq_relay_t;

/** struct fq_probe_t - the probe of this period. */
typedef struct
{
  fq_time_t next;       /* the next period */
  fq_time_t next_try;   /* when an unanswered ping is sent again */
  fq_time_t next_scan;  /* the next look at the suspects */
  fq_time_t next_sweep; /* the next look for nodes to forget */
  char target[FQ_NAME_BYTES];
  uint64_t sequence;
  bool waiting;
  uint32_t tries;  /* direct pings so far */
  uint32_t health; /* 0: well; each step stretches our own timeouts by one period */
  uint32_t periods;
  fq_relay_t relays[FQ_PROBE_RELAYS_MAX];
  size_t next_relay;
} fq_probe_t;

/** struct fq_sync_t - how far the view has been compared with other nodes'. */
typedef struct
{
  bool full;         /* a whole pass is under way */
  uint64_t position; /* hash of the last node that was taken */
  fq_time_t next;    /* when to ask (again) */
  fq_time_t retry;   /* how long to wait for an answer */
  uint64_t asked;    /* hash of the node that was asked in a whole pass */
  uint64_t donor;    /* hash of a node whose view differs from ours; 0: none */
} fq_sync_t;

/** struct fq_push_t - tells a change of ourselves to those that send us work. */
typedef struct
{
  uint64_t nodes[FQ_PUSH_NODES_MAX]; /* hashes of names; the latest askers */
  bool pending[FQ_PUSH_NODES_MAX];   /* has not acknowledged the change yet */
  size_t count;
  size_t next_slot;
  uint32_t rounds; /* still to be sent */
  fq_time_t next;
} fq_push_t;

struct fq_membership
{
  fq_random_t random;
  fq_view_t view;
  fq_dissemination_t spread;
  fq_probe_t probe;
  fq_sync_t sync;
  fq_push_t push;
  fq_time_t ticked; /* the last tick; 0: none yet */
  fq_time_t next_join;
  fq_time_t next_correction; /* of a node that answers with an old entry of ours */
  bool joined;
  fq_time_t heard; /* when some node was heard last */
  uint64_t sequence;
  char seeds[FQ_SEEDS_MAX][FQ_ADDRESS_BYTES];
  size_t seed_count;
  size_t first_seed; /* where we begin to try them */
  size_t seeds_tried;
  uint64_t ticket_number;
  fq_poison_entry_t poison[FQ_GOSSIP_POISON_MAX];
  size_t poison_count;
};

/**
 * fq_membership_send() - send a datagram with our own entry and what there is to tell.
 * @about: a node whose entry the receiver has to see; may be NULL
 *
 * Return: the message, which belongs to the effect.
 */
fq_gossip_t *fq_membership_send (fq_membership_t *membership,
                                 fq_gossip_kind_t kind,
                                 uint64_t sequence,
                                 const char *address,
                                 const fq_known_t *about,
                                 fq_effects_t *effects);

/** fq_membership_jitter() - @interval, spread by a fifth. */
fq_time_t fq_membership_jitter (fq_membership_t *membership, fq_time_t interval);

/** fq_membership_raise() - our entry changed: a new incarnation, above @seen. */
void fq_membership_raise (fq_membership_t *membership, uint64_t seen, fq_time_t now);

/* merge.c: what others say. */
void
fq_merge_entry (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now);
void fq_merge_heard (fq_membership_t *membership,
                     fq_known_t *known,
                     uint64_t incarnation,
                     fq_time_t now,
                     fq_effects_t *effects);
void fq_merge_state (fq_membership_t *membership,
                     fq_known_t *known,
                     fq_node_state_t state,
                     fq_time_t now);

/* probe.c: who answers. */
void fq_probe_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);
void fq_probe_acknowledged (fq_membership_t *membership,
                            uint64_t sequence,
                            fq_effects_t *effects);
void fq_probe_relay (fq_membership_t *membership,
                     const fq_gossip_t *message,
                     fq_effects_t *effects);
void fq_probe_paused (fq_membership_t *membership, fq_time_t now, fq_time_t gap);
void fq_probe_health (fq_membership_t *membership, bool well);

/* suspicion.c: what silence means. */
void
fq_suspicion_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);
fq_time_t fq_suspicion_timeout (const fq_membership_t *membership);
bool fq_suspicion_is_isolated (const fq_membership_t *membership, fq_time_t now);

/* sync.c: comparing whole views. */
void fq_sync_start (fq_membership_t *membership, fq_time_t now);
void fq_sync_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);
void
fq_sync_compare (fq_membership_t *membership, const fq_gossip_t *message, fq_time_t now);
void fq_sync_wanted (fq_membership_t *membership,
                     const fq_gossip_t *message,
                     fq_effects_t *effects);
void
fq_sync_taken (fq_membership_t *membership, const fq_gossip_t *message, fq_time_t now);

#endif
