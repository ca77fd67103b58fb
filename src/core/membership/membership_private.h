/**
 * DOC: State and internal interfaces shared by the files of membership.
 */
#ifndef FQ_CORE_MEMBERSHIP_PRIVATE_H
#define FQ_CORE_MEMBERSHIP_PRIVATE_H

#include "core/membership/dissemination.h"
#include "core/membership/membership.h"
#include "core/membership/view.h"
#include "util/random.h"

#define FQ_PROBE_PERIOD_US FQ_MICROSECONDS_PER_SECOND
#define FQ_RELAYED_PINGS_MAX 32 /* pings in flight on behalf of other nodes */
#define FQ_PUSH_NODES_MAX 64    /* requesters that are sent a changed own entry at once */

/** struct fq_relayed_ping_t - a ping sent on behalf of another node, the requester. */
typedef struct
{
  uint64_t sequence; /* of the ping sent from here; 0: the slot is free */
  uint64_t origin_sequence;
  char target[FQ_NAME_BYTES];
  char origin_address[FQ_ADDRESS_BYTES];
} fq_relayed_ping_t;

/** struct fq_probe_t - the probe of the current period, and timers of suspicion.c. */
typedef struct
{
  fq_time_t next_period;       /* when the next period begins */
  fq_time_t next_retry;        /* when an unacknowledged ping is sent again */
  fq_time_t next_suspect_scan; /* when the suspects are checked for timeouts */
  fq_time_t next_sweep;        /* when nodes past their retention time are removed */
  char target[FQ_NAME_BYTES];
  uint64_t sequence;
  bool awaiting_ack;
  uint32_t pings_sent;   /* direct pings of this period */
  uint32_t health_score; /* 0: healthy; timeouts are multiplied by 1 + health_score */
  uint32_t periods;
  fq_relayed_ping_t relayed_pings[FQ_RELAYED_PINGS_MAX];
  size_t next_relayed_ping;
} fq_probe_t;

/** struct fq_sync_t - progress of the exchange of views with other nodes. */
typedef struct
{
  bool full;                /* a full pass over all entries is in progress */
  uint64_t position;        /* hash of the last node received; 0: start of the view */
  fq_time_t next_request;   /* when the next part is requested */
  fq_time_t retry_interval; /* until an unanswered request of a full pass is repeated */
  uint64_t requested_node;  /* hash of the node that was sent the last request */
  uint64_t differing_node;  /* hash of a node with another digest; 0: none */
} fq_sync_t;

/** struct fq_push_t - sends a changed entry of this node to its requesters. */
typedef struct
{
  uint64_t nodes[FQ_PUSH_NODES_MAX]; /* hashes of the names of the latest requesters */
  bool pending[FQ_PUSH_NODES_MAX];   /* the node has not acknowledged the change yet */
  size_t count;
  size_t next_slot;
  uint32_t rounds_left; /* of the present change; 0: nothing to send */
  fq_time_t next_round;
} fq_push_t;

struct fq_membership
{
  fq_random_t random;
  fq_view_t view;
  fq_dissemination_t dissemination;
  fq_probe_t probe;
  fq_sync_t sync;
  fq_push_t push;
  fq_time_t last_tick; /* time of the last tick; 0: none yet */
  fq_time_t next_join;
  fq_time_t next_correction; /* limits pings that correct entries of this node */
  bool joined;
  fq_time_t last_received_at; /* when a datagram of any node came last */
  uint64_t sequence;
  char seeds[FQ_SEEDS_MAX][FQ_ADDRESS_BYTES];
  size_t seed_count;
  size_t seed_offset; /* random index of the seed that is tried first */
  size_t seeds_tried;
  uint64_t ticket_number;
  fq_poison_entry_t poison[FQ_GOSSIP_POISON_MAX];
  size_t poison_count;
};

/**
 * fq_membership_send() - send a datagram with this node's entry and queued entries.
 * @sequence: of the ping or acknowledgement; for FQ_GOSSIP_SYNC and FQ_GOSSIP_STATE the
 * hash after which entries are requested
 * @subject: the pinged node, or another that the message is about; its entry is included
 * unless it is alive. NULL: none; this node's full entry is sent then, since the receiver
 * may not know it
 *
 * Return: the message, owned by the effect.
 */
fq_gossip_t *fq_membership_send (fq_membership_t *membership,
                                 fq_gossip_kind_t kind,
                                 uint64_t sequence,
                                 const char *address,
                                 const fq_view_node_t *subject,
                                 fq_effects_t *effects);

/** fq_membership_jitter() - @interval, randomized by plus or minus 10 %. */
fq_time_t fq_membership_jitter (fq_membership_t *membership, fq_time_t interval);

/**
 * fq_membership_raise_incarnation() - give this node's entry a new incarnation.
 * @seen: the incarnation to exceed, besides the present one; 0 for none
 */
void fq_membership_raise_incarnation (fq_membership_t *membership,
                                      uint64_t seen,
                                      fq_time_t now);

/* merge.c: precedence of received entries. */

/** fq_merge_entry() - apply @entry, received from another node, to the view. */
void
fq_merge_entry (fq_membership_t *membership, const fq_node_entry_t *entry, fq_time_t now);

/**
 * fq_merge_contact() - record that @node answered with @incarnation.
 * @node: ignored when NULL or this node
 *
 * Clears a suspicion of @node, or an unreachable state of its whole failure domain,
 * unless the incarnation is outdated. A dead node stays dead until its incarnation rises.
 */
void fq_merge_contact (fq_membership_t *membership,
                       fq_view_node_t *node,
                       uint64_t incarnation,
                       fq_time_t now,
                       fq_effects_t *effects);

/** fq_merge_set_state() - set the state of @node and queue its entry for gossip. */
void fq_merge_set_state (fq_membership_t *membership,
                         fq_view_node_t *node,
                         fq_node_state_t state,
                         fq_time_t now);

/* probe.c: failure detection. */

/** fq_probe_tick() - send pings that are due; suspect a target that did not answer. */
void fq_probe_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

/** fq_probe_handle_ack() - match an acknowledgement with a probe or a relayed ping. */
void fq_probe_handle_ack (fq_membership_t *membership,
                          uint64_t sequence,
                          fq_effects_t *effects);

/** fq_probe_handle_request() - ping the target of @message for its sender. */
void fq_probe_handle_request (fq_membership_t *membership,
                              const fq_gossip_t *message,
                              fq_effects_t *effects);

/** fq_probe_handle_pause() - drop the open probe and extend all suspicions by @gap. */
void fq_probe_handle_pause (fq_membership_t *membership, fq_time_t now, fq_time_t gap);

/** fq_probe_adjust_health() - lower the health score if @healthy, else raise it. */
void fq_probe_adjust_health (fq_membership_t *membership, bool healthy);

/* suspicion.c: suspicion timeouts. */

/** fq_suspicion_tick() - decide on expired suspects; remove nodes past retention. */
void
fq_suspicion_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

/** fq_suspicion_timeout() - time to refute a suspicion, at a health score of 0. */
fq_time_t fq_suspicion_timeout (const fq_membership_t *membership);

/** fq_suspicion_is_isolated() - whether this node itself seems to be cut off. */
bool fq_suspicion_is_isolated (const fq_membership_t *membership, fq_time_t now);

/* sync.c: exchange of views. */

/** fq_sync_start() - begin a full pass over the entries of other nodes. */
void fq_sync_start (fq_membership_t *membership, fq_time_t now);

/** fq_sync_tick() - request the next part when it is due. */
void fq_sync_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

/** fq_sync_compare_digest() - record whether the sender's view differs from this one. */
void fq_sync_compare_digest (fq_membership_t *membership,
                             const fq_gossip_t *message,
                             fq_time_t now);

/** fq_sync_handle_request() - answer FQ_GOSSIP_SYNC with a part of the view. */
void fq_sync_handle_request (fq_membership_t *membership,
                             const fq_gossip_t *message,
                             fq_effects_t *effects);

/** fq_sync_handle_part() - advance past the part that FQ_GOSSIP_STATE brought. */
void fq_sync_handle_part (fq_membership_t *membership,
                          const fq_gossip_t *message,
                          fq_time_t now);

#endif
