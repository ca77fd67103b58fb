/**
 * DOC: What waits at a gate for room, in which order it starts, and how long it waits.
 *
 * Answers the load of a service that is asked for more than it can do. Calls of work that
 * runs already go before new work, each by the priority of the request that began it, and
 * within a rank those that came first. The wait of an arrival is worked out from how long
 * requests of each route take at this server, so that one that can't be answered in time
 * is refused at once, while it has not run.
 */
#ifndef FQ_MESH_WAITING_H
#define FQ_MESH_WAITING_H

#include "filbertquay/types.h"
#include "mesh/pressure.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_INNER_RANKS 4 /* calls of work that runs, by the priority of its origin */
#define FQ_RANKS 12      /* then new work, by its own priority */

/** fq_rank_outside() - the rank of new work of a priority. */
uint32_t fq_rank_outside (uint32_t priority);

/** fq_rank_inner() - the rank of a call that work of rank @parent makes. */
uint32_t fq_rank_inner (uint32_t parent);

/** struct fq_waiting_entry_t - embed it in a run; zero-initialise. */
typedef struct
{
  fq_list_t link;
  uint32_t rank;
  uint64_t route;
  fq_time_t expected_us; /* time that the run will take */
} fq_waiting_entry_t;

/** struct fq_waiting_t - set up with fq_gate_queue_init(). */
typedef struct
{
  uint32_t limit;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t rank_in_flight[FQ_RANKS];
  double inner_mean; /* calls of running work that run at once, over the last starts */
  fq_pressure_t pressure[FQ_RANKS];
  fq_time_t in_flight_us; /* expected times of all that run */
  fq_time_t queued_us[FQ_RANKS];
  fq_list_t ranks[FQ_RANKS];
  fq_map_t times; /* mean time by route */
  double mean_us; /* over all routes */
} fq_waiting_t;

/** fq_gate_queue_init() - nothing waits, and nothing may run. */
void fq_gate_queue_init (fq_waiting_t *waiting);

/** fq_waiting_clear() - free what it holds; entries are their owners'. */
void fq_waiting_clear (fq_waiting_t *waiting);

/** fq_waiting_expect() - how long a run of @route will take. */
fq_time_t fq_waiting_expect (const fq_waiting_t *waiting, uint64_t route);

/** fq_waiting_time() - how long an arrival of @rank would wait. */
fq_time_t fq_waiting_time (const fq_waiting_t *waiting, uint32_t rank);

/** fq_waiting_may_start() - whether an arrival of @rank may start now, before others. */
bool fq_waiting_may_start (const fq_waiting_t *waiting, uint32_t rank);

/** fq_waiting_push() - @entry waits; its rank and route are set. */
void fq_waiting_push (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_next() - the entry that may start now; NULL: none. */
fq_waiting_entry_t *fq_waiting_next (const fq_waiting_t *waiting);

/** fq_waiting_remove() - @entry waits no longer. */
void fq_waiting_remove (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_start() - @entry, which does not wait, starts. */
void fq_waiting_start (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_end() - @entry no longer runs. @took: 0 when that tells nothing. */
void fq_waiting_end (fq_waiting_t *waiting, fq_waiting_entry_t *entry, fq_time_t took);

/** fq_waiting_rank_limit() - runs of @rank at once; 0: as many as there is room for. */
uint32_t fq_waiting_rank_limit (const fq_waiting_t *waiting, uint32_t rank);

/** fq_waiting_learn() - a run of @rank ended; @starved: a call of it found no room. */
void fq_waiting_learn (
    fq_waiting_t *waiting, fq_time_t now, fq_time_t started, uint32_t rank, bool starved);

#endif
