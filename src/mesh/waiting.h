/**
 * DOC: What waits at a gate for room, in which order it starts, and how long it waits.
 *
 * Answers the load of a service that is asked for more than it can do: requests of a
 * lower rank start first, and within a rank those that came first. The wait of an
 * arrival is worked out from how long requests of each route take at this server, so
 * that one that can't be answered in time is refused at once, while it has not run.
 */
#ifndef FQ_MESH_WAITING_H
#define FQ_MESH_WAITING_H

#include "filbertquay/types.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_RANKS 9        /* 0: calls of work that runs; then by priority */
#define FQ_RANK_INNER 0   /* a call that a server makes for work that it runs */
#define FQ_RANK_OUTSIDE 1 /* the first rank of requests from clients */

/** struct fq_waiting_entry_t - embed it in a run; zero-initialise. */
typedef struct
{
  fq_list_t link;
  uint32_t rank;
  uint64_t route;
  fq_time_t expected_us; /* time that the run will take */
} fq_waiting_entry_t;

/** struct fq_waiting_t - set up with fq_waiting_init(). */
typedef struct
{
  uint32_t limit;
  uint32_t in_flight;
  uint32_t queued;
  fq_time_t in_flight_us; /* expected times of all that run */
  fq_time_t queued_us[FQ_RANKS];
  fq_list_t ranks[FQ_RANKS];
  fq_map_t times; /* mean time by route */
  double mean_us; /* over all routes */
} fq_waiting_t;

/** fq_waiting_init() - nothing waits, and nothing may run. */
void fq_waiting_init (fq_waiting_t *waiting);

/** fq_waiting_clear() - free what it holds; entries are their owners'. */
void fq_waiting_clear (fq_waiting_t *waiting);

/** fq_waiting_expect() - how long a run of @route will take. */
fq_time_t fq_waiting_expect (const fq_waiting_t *waiting, uint64_t route);

/** fq_waiting_time() - how long an arrival of @rank would wait. */
fq_time_t fq_waiting_time (const fq_waiting_t *waiting, uint32_t rank);

/** fq_waiting_has_room() - whether one more may start now. */
bool fq_waiting_has_room (const fq_waiting_t *waiting);

/** fq_waiting_push() - @entry waits; its rank and route are set. */
void fq_waiting_push (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_next() - the entry that is to start next; NULL: none waits. */
fq_waiting_entry_t *fq_waiting_next (const fq_waiting_t *waiting);

/** fq_waiting_remove() - @entry waits no longer. */
void fq_waiting_remove (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_start() - @entry, which does not wait, starts. */
void fq_waiting_start (fq_waiting_t *waiting, fq_waiting_entry_t *entry);

/** fq_waiting_end() - @entry no longer runs. @took: 0 when that tells nothing. */
void fq_waiting_end (fq_waiting_t *waiting, fq_waiting_entry_t *entry, fq_time_t took);

#endif
