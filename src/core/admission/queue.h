/**
 * DOC: The queue of a gate: critical requests first, then a fair queue of members.
 *
 * All critical requests start before any other. The others are served round-robin by
 * member, whatever their classes, so that a surge of one member delays its own requests
 * and not the lookups of another. Within a member the more important class goes first,
 * and within a class internal calls of chains that were admitted before go ahead of new
 * chains.
 *
 * Under a standing queue, that is one whose shortest wait stays over a target, the newest
 * request goes first, since the oldest is the least likely to meet its deadline.
 */
#ifndef FQ_CORE_QUEUE_H
#define FQ_CORE_QUEUE_H

#include "filbertquay/types.h"
#include "util/list.h"
#include "util/map.h"

typedef struct fq_queue_flow fq_queue_flow_t;

/** struct fq_admission_entry_t - a request at the gate; zero-initialise. */
typedef struct
{
  fq_list_t link;        /* in its flow, or in the list of evicted entries */
  fq_list_t age_link;    /* in the list of its class, oldest first */
  fq_queue_flow_t *flow; /* NULL: not queued */
  fq_class_t request_class;
  uint64_t member; /* fq_map_hash() of the member on whose behalf it runs */
  uint64_t chain_id;
  bool internal;     /* an internal call of a chain that was admitted before */
  fq_time_t offered; /* when it was offered to the gate */
  fq_time_t deadline;
  fq_time_t started; /* when its slot was assigned; 0: it has none */
} fq_admission_entry_t;

/** enum fq_queue_tier_t - all requests of an earlier tier start before a later one. */
typedef enum
{
  FQ_QUEUE_CRITICAL,
  FQ_QUEUE_NON_CRITICAL,
  FQ_QUEUE_TIERS,
} fq_queue_tier_t;

/** struct fq_queue_tier_state_t - the queued requests of one tier. */
typedef struct
{
  fq_list_t active_flows; /* flows with queued requests; the first is served next */
  fq_map_t flows;         /* fq_queue_flow_t by member, with and without requests */
  uint32_t count;
  fq_time_t interval_start;
  fq_time_t min_wait; /* of requests started in the interval; -1: none was */
  bool standing;      /* there is a standing queue */
} fq_queue_tier_state_t;

/** struct fq_queue_t - set up with fq_queue_init(). */
typedef struct
{
  fq_queue_tier_state_t tiers[FQ_QUEUE_TIERS];
  fq_list_t by_age[FQ_CLASS_COUNT]; /* oldest first */
  uint32_t count;
  bool newest_first; /* whether a standing queue is served newest first */
} fq_queue_t;

/** fq_queue_init() - set up an empty queue; see @newest_first of fq_queue_t. */
void fq_queue_init (fq_queue_t *queue, bool newest_first);

/** fq_queue_clear() - free the flows; entries stay with their owners. */
void fq_queue_clear (fq_queue_t *queue);

/** fq_queue_push() - queue @entry; it is not queued on FQ_ERROR_NOMEM. */
int fq_queue_push (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry);

/** fq_queue_peek() - the entry to start next, which stays queued; NULL: none. */
fq_admission_entry_t *fq_queue_peek (fq_queue_t *queue, fq_time_t now);

/** fq_queue_take() - remove @entry because it starts; its member's turn is over. */
void fq_queue_take (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry);

/** fq_queue_remove() - remove @entry without starting it. */
void fq_queue_remove (fq_queue_t *queue, fq_admission_entry_t *entry);

/** fq_queue_oldest() - the oldest entry of a class; NULL: none. */
fq_admission_entry_t *fq_queue_oldest (const fq_queue_t *queue, fq_class_t request_class);

/**
 * fq_queue_victim() - which queued entry to evict in favour of @arrival.
 *
 * It is taken from the last tier that has entries, there from the member with the most
 * queued requests, and of that from the least important class. Its tier is never more
 * important than that of @arrival. Within a tier its class may be, if it is of another
 * member, since members share a tier fairly whatever their classes.
 *
 * Return: the entry, still queued; NULL: @arrival itself should be refused.
 */
fq_admission_entry_t *fq_queue_victim (const fq_queue_t *queue,
                                       const fq_admission_entry_t *arrival);

/** fq_queue_count_ahead() - estimate how many queued entries start before @arrival. */
uint32_t fq_queue_count_ahead (const fq_queue_t *queue,
                               const fq_admission_entry_t *arrival);

#endif
