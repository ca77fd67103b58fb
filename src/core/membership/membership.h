/**
 * DOC: Membership: which nodes there are, by gossip.
 *
 * The parts: view.c keeps the nodes, merge.c decides what to believe, probe.c finds who
 * is silent, suspicion.c what silence means, dissemination.c chooses what rides on a
 * datagram, sync.c compares whole views.
 */
#ifndef FQ_CORE_MEMBERSHIP_H
#define FQ_CORE_MEMBERSHIP_H

#include "filbertquay/core.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_membership fq_membership_t;

/** fq_membership_new() - knows ourselves and the addresses of first contacts. */
int fq_membership_new (fq_membership_t **out,
                       const fq_core_options_t *options,
                       fq_time_t now);

/** fq_membership_free() - NULL-safe. */
void fq_membership_free (fq_membership_t *membership);

/** fq_membership_add_seed() - one more address of a first contact. */
void fq_membership_add_seed (fq_membership_t *membership, const char *address);

/** fq_membership_set_self() - what to tell of our upstream. */
void fq_membership_set_self (fq_membership_t *membership,
                             fq_time_t now,
                             const char *service,
                             uint32_t slots,
                             bool ready);

/** fq_membership_set_piggyback() - what each datagram carries besides entries. */
void fq_membership_set_piggyback (fq_membership_t *membership,
                                  uint64_t ticket_number,
                                  const fq_poison_entry_t *poison,
                                  size_t poison_count);

/** fq_membership_push_ticket_number() - tell @ticket_number to a few random nodes at
 * once. */
void fq_membership_push_ticket_number (fq_membership_t *membership,
                                       uint64_t ticket_number,
                                       fq_effects_t *effects);

/** fq_membership_add_requester() - @node sends us work, and hears of our changes at once.
 */
void fq_membership_add_requester (fq_membership_t *membership, const char *node);

/** fq_membership_tick() - time has passed. */
void
fq_membership_tick (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

/** fq_membership_handle_datagram() - a datagram came. */
void fq_membership_handle_datagram (fq_membership_t *membership,
                                    fq_time_t now,
                                    const fq_gossip_t *message,
                                    fq_effects_t *effects);

/** fq_membership_take_change() - take one node whose entry changed; false: none. */
bool fq_membership_take_change (fq_membership_t *membership, fq_node_entry_t *out);

/** fq_membership_find() - the entry of @node, or NULL. */
const fq_node_entry_t *fq_membership_find (const fq_membership_t *membership,
                                           const char *node);

/** fq_membership_live_count() - nodes in the view that are not dead or gone. */
size_t fq_membership_live_count (const fq_membership_t *membership);

/** fq_membership_bytes() - bytes of all datagrams so far, as they are accounted. */
uint64_t fq_membership_bytes (const fq_membership_t *membership);

/** fq_membership_leave() - tell some nodes that we leave for good. */
void
fq_membership_leave (fq_membership_t *membership, fq_time_t now, fq_effects_t *effects);

#endif
