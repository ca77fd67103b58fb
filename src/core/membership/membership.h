/**
 * DOC: Cluster membership by gossip, after the SWIM protocol.
 *
 * view.c stores the known nodes, merge.c applies received entries to them, probe.c
 * detects nodes that do not answer, suspicion.c decides between dead and unreachable,
 * dissemination.c selects the entries that each datagram carries, sync.c exchanges whole
 * views (anti-entropy), ticket_push.c announces a new ticket number. Nothing here does
 * I/O: datagrams to be sent are appended to the effects.
 */
#ifndef FQ_CORE_MEMBERSHIP_H
#define FQ_CORE_MEMBERSHIP_H

#include "filbertquay/core.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_membership fq_membership_t;

/**
 * fq_membership_new() - create a membership that knows this node and its seeds.
 * @out: set on success; to be freed with fq_membership_free()
 * @options: copied
 *
 * Return: FQ_OK, or a negative code when there is no memory.
 */
int fq_membership_new (fq_membership_t **out,
                       const fq_core_options_t *options,
                       fq_time_t now);

/** fq_membership_free() - free @membership; NULL is allowed. */
void fq_membership_free (fq_membership_t *membership);

/**
 * fq_membership_add_seed() - add the address of a node to join through.
 *
 * Ignored when there are FQ_SEEDS_MAX seeds already.
 */
void fq_membership_add_seed (fq_membership_t *membership, const char *address);

/**
 * fq_membership_set_self() - set what this node's entry says of its upstream.
 * @service: empty when the upstream has not announced itself
 * @slots: requests that the upstream runs at once
 * @ready: whether it takes new work
 *
 * Raises the incarnation of this node and sends the new entry to the requesters.
 */
void fq_membership_set_self (fq_membership_t *membership,
                             fq_time_t now,
                             const char *service,
                             uint32_t slots,
                             bool ready);

/**
 * fq_membership_set_piggyback() - set what each datagram carries besides node entries.
 * @poison: suspicions of requests; copied
 * @poison_count: at most FQ_GOSSIP_POISON_MAX
 */
void fq_membership_set_piggyback (fq_membership_t *membership,
                                  uint64_t ticket_number,
                                  const fq_poison_entry_t *poison,
                                  size_t poison_count);

/**
 * fq_membership_push_ticket_number() - send a new @ticket_number to a few random nodes at
 * once, without waiting for the next probe.
 */
void fq_membership_push_ticket_number (fq_membership_t *membership,
                                       uint64_t ticket_number,
                                       fq_effects_t *effects);

/**
 * fq_membership_add_requester() - record @node as a requester: a node that sends requests
 * to this one.
 *
 * Changes of this node's entry are sent to requesters at once. The latest
 * FQ_PUSH_NODES_MAX are kept.
 */
void fq_membership_add_requester (fq_membership_t *membership, const char *node);

/**
 * fq_membership_tick() - run what is due: joining, probes, suspicion timeouts, view
 * exchange and pushes.
 */
void
fq_membership_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

/** fq_membership_handle_datagram() - handle a received datagram; answers go to @effects.
 */
void fq_membership_handle_datagram (fq_membership_t *membership,
                                    fq_time_t now,
                                    const fq_gossip_t *message,
                                    fq_effects_t *effects);

/**
 * fq_membership_take_change() - take the next entry off the queue of changes.
 * @out: a copy of the entry; not written when there is none
 *
 * Several changes of a node since the last call count as one.
 *
 * Return: false when no change is queued.
 */
bool fq_membership_take_change (fq_membership_t *membership, fq_node_entry_t *out);

/** fq_membership_find() - the entry of the node @name, owned by @membership, or NULL. */
const fq_node_entry_t *fq_membership_find (const fq_membership_t *membership,
                                           const char *name);

/** fq_membership_live_count() - nodes that are neither dead nor left, this node included.
 */
size_t fq_membership_live_count (const fq_membership_t *membership);

/** fq_membership_bytes_sent() - bytes sent so far, as estimated for the byte budget. */
uint64_t fq_membership_bytes_sent (const fq_membership_t *membership);

/**
 * fq_membership_leave() - mark this node as left and send that to its requesters and some
 * random nodes.
 */
void
fq_membership_leave (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

#endif
