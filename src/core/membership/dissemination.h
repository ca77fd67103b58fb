/**
 * DOC: Dissemination: which entries ride on a datagram, within a budget of bytes.
 *
 * A changed entry is sent a bounded number of times that grows with the logarithm of
 * the view. Entries that were sent least go first, so that fresh news is never behind
 * old. All control datagrams draw on one account of bytes; probes and their answers
 * always go out, while entries wait for credit.
 */
#ifndef FQ_CORE_DISSEMINATION_H
#define FQ_CORE_DISSEMINATION_H

#include "core/membership/view.h"

#define FQ_TELLS_MAX 64 /* no view is large enough for more tells of one entry */

/** struct fq_dissemination_t - set up with fq_dissemination_init(). */
typedef struct
{
  fq_list_t queues[FQ_TELLS_MAX]; /* by the number of times that an entry was sent */
  size_t first;                   /* no queue below it holds an entry */
  int64_t credit;                 /* bytes that may be sent now */
  fq_time_t credited;             /* when @credit was last topped up */
  uint64_t bytes;                 /* all that was accounted */
} fq_dissemination_t;

/** fq_dissemination_init() - nothing to tell. */
void fq_dissemination_init (fq_dissemination_t *spread, fq_time_t now);

/** fq_dissemination_tell() - @known has changed; it is to be told anew. */
void fq_dissemination_tell (fq_dissemination_t *spread, fq_known_t *known);

/** fq_dissemination_top_up() - time has passed. */
void fq_dissemination_top_up (fq_dissemination_t *spread, fq_time_t now);

/** fq_dissemination_fill() - add entries to @message while there is credit. */
void fq_dissemination_fill (fq_dissemination_t *spread,
                            const fq_view_t *view,
                            fq_gossip_t *message);

/**
 * fq_dissemination_add_self() - put our own entry into the empty @message.
 * @whole: also when it has been told often enough, as the receiver may not know us
 */
void fq_dissemination_add_self (const fq_view_t *view, bool whole, fq_gossip_t *message);

/** fq_dissemination_add() - put one entry into @message; false: it is full. */
bool fq_dissemination_add (fq_gossip_t *message, const fq_node_entry_t *entry);

/** fq_dissemination_account() - @message is sent now. */
void fq_dissemination_account (fq_dissemination_t *spread, const fq_gossip_t *message);

/** fq_dissemination_tells() - how often an entry is sent in a view of @live nodes. */
uint32_t fq_dissemination_tells (size_t live);

/** fq_dissemination_log2() - the logarithm of @live, rounded up; at least 1. */
uint32_t fq_dissemination_log2 (size_t live);

#endif
