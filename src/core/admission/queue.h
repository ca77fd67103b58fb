/**
 * DOC: Requests that wait at a gate: critical ones first, then members in turn.
 *
 * All critical requests start before any other. Below them members take turns whatever
 * the classes of their requests, so that a member's surge queues behind itself and not
 * before another's lookups. Within a member the more important class goes first, and
 * calls of chains that were admitted before go ahead of new chains. Under a standing
 * queue the newest goes first, since the oldest is the least likely to be in time.
 */
#ifndef FQ_CORE_QUEUE_H
#define FQ_CORE_QUEUE_H

#include "filbertquay/types.h"
#include "util/list.h"
#include "util/map.h"

typedef struct fq_queue_flow fq_queue_flow_t;

/** struct fq_admission_entry_t - a request as the gate sees it; zero-initialise. */
typedef struct
{
  fq_list_t link; /* in its flow, or among those that were pushed out */
  fq_list_t age;  /* in its class, oldest first */
  fq_queue_flow_t *flow;
  fq_class_t request_class;
  uint64_t member; /* fq_map_hash() of the member on whose behalf it runs */
  uint64_t chain_id;
  bool inner; /* its chain was admitted before */
  fq_time_t offered;
  fq_time_t deadline;
  fq_time_t started; /* when it got its slot; 0: it has none */
} fq_admission_entry_t;

/** enum fq_queue_tier_t - requests of an earlier tier go before all of a later one. */
typedef enum
{
  FQ_QUEUE_CRITICAL,
  FQ_QUEUE_OTHERS,
  FQ_QUEUE_TIERS,
} fq_queue_tier_t;

/** struct fq_queue_turns_t - what waits in one tier. */
typedef struct
{
  fq_list_t turns; /* flows that wait; the first is next */
  fq_map_t flows;  /* by member */
  uint32_t count;
  fq_time_t interval_start;
  fq_time_t least_wait; /* of those taken in the interval; -1: none was */
  bool standing;
} fq_queue_turns_t;

/** struct fq_queue_t - set up with fq_queue_init(). */
typedef struct
{
  fq_queue_turns_t tiers[FQ_QUEUE_TIERS];
  fq_list_t ages[FQ_CLASS_COUNT]; /* oldest first */
  uint32_t count;
  bool newest_first; /* allowed under a standing queue */
} fq_queue_t;

/** fq_queue_init() - an empty queue. */
void fq_queue_init (fq_queue_t *queue, bool newest_first);

/** fq_queue_clear() - free the flows; entries are their owners'. */
void fq_queue_clear (fq_queue_t *queue);

/** fq_queue_push() - @entry waits; FQ_ERROR_NOMEM leaves it out. */
int fq_queue_push (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry);

/** fq_queue_next() - the entry to start next, still waiting; NULL: none. */
fq_admission_entry_t *fq_queue_next (fq_queue_t *queue, fq_time_t now);

/** fq_queue_take() - take out @entry as it starts; its member's turn is over. */
void fq_queue_take (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry);

/** fq_queue_remove() - take out @entry for another reason. */
void fq_queue_remove (fq_queue_t *queue, fq_admission_entry_t *entry);

/** fq_queue_oldest() - the oldest entry of a class, or NULL. */
fq_admission_entry_t *fq_queue_oldest (const fq_queue_t *queue, fq_class_t request_class);

/**
 * fq_queue_victim() - which waiting entry should give way to @arrival.
 *
 * One of the last tier; there, one of the member that has the most waiting, of its least
 * important class. NULL: @arrival itself should be refused.
 */
fq_admission_entry_t *fq_queue_victim (const fq_queue_t *queue,
                                       const fq_admission_entry_t *arrival);

/** fq_queue_ahead() - how many that wait would start before @arrival. */
uint32_t fq_queue_ahead (const fq_queue_t *queue, const fq_admission_entry_t *arrival);

#endif
