/**
 * DOC: Selects the entries that are piggybacked on each datagram, within a byte budget.
 *
 * A changed entry is sent a bounded number of times that grows with the logarithm of the
 * number of nodes. Entries that were sent least go first, so that a new change never
 * waits behind old ones. All datagrams of membership draw on one token bucket of bytes.
 * Pings, ping requests, acknowledgements and FQ_GOSSIP_SYNC are sent also without credit,
 * with this node's entry and at most one queued entry; FQ_GOSSIP_STATE and further queued
 * entries only while there is credit.
 */
#ifndef FQ_CORE_DISSEMINATION_H
#define FQ_CORE_DISSEMINATION_H

#include "core/membership/view.h"

#define FQ_TRANSMITS_MAX 64 /* no view is large enough for a higher limit */

/** struct fq_dissemination_t - queues and byte budget; see fq_dissemination_init(). */
typedef struct
{
  fq_list_t queues[FQ_TRANSMITS_MAX]; /* indexed by how often an entry was sent */
  size_t first_used;                  /* all queues below this index are empty */
  int64_t credit;           /* bytes that may be sent now; negative when overdrawn */
  fq_time_t credit_updated; /* when @credit was last refilled */
  uint64_t bytes_sent;      /* total charged so far */
} fq_dissemination_t;

/** fq_dissemination_init() - empty queues and a full budget. */
void fq_dissemination_init (fq_dissemination_t *dissemination, fq_time_t now);

/** fq_dissemination_enqueue() - queue the changed @node as one not sent yet. */
void fq_dissemination_enqueue (fq_dissemination_t *dissemination, fq_view_node_t *node);

/** fq_dissemination_refill() - add the credit for the time since the last call. */
void fq_dissemination_refill (fq_dissemination_t *dissemination, fq_time_t now);

/**
 * fq_dissemination_fill() - add queued entries to @message while there is credit.
 *
 * An entry is added even without credit if @message has only one, that of this node.
 */
void fq_dissemination_fill (fq_dissemination_t *dissemination,
                            const fq_view_t *view,
                            fq_gossip_t *message);

/**
 * fq_dissemination_add_self() - put this node's entry into the empty @message.
 * @full: send the full entry even if it was sent to its transmit limit, since the
 * receiver may not know it; otherwise it is compact from then on
 */
void fq_dissemination_add_self (const fq_view_t *view, bool full, fq_gossip_t *message);

/**
 * fq_dissemination_add() - append @entry to @message.
 *
 * Entries that are dead, suspect or left are sent compact: without address, failure
 * domain, region and service. Unreachable ones are sent as alive.
 *
 * Return: false when @message is full.
 */
bool fq_dissemination_add (fq_gossip_t *message, const fq_node_entry_t *entry);

/** fq_dissemination_charge() - take the bytes of the sent @message off the credit. */
void fq_dissemination_charge (fq_dissemination_t *dissemination,
                              const fq_gossip_t *message);

/** fq_dissemination_transmit_limit() - how often an entry is sent when @live nodes are
 * alive. */
uint32_t fq_dissemination_transmit_limit (size_t live);

/** fq_dissemination_log2() - the binary logarithm of @live, rounded up; at least 1. */
uint32_t fq_dissemination_log2 (size_t live);

#endif
