/**
 * DOC: The admission queue of a gate: priorities, concurrency limits and expected waits.
 *
 * A call that a server makes while it runs a request is an internal call; any other
 * request is a new one. Requests are queued by rank, and a lower rank starts first:
 * internal calls go before new requests, each by the priority of the request that began
 * the chain, and within a rank in order of arrival. New requests keep a minimum share of
 * the slots, and leave some slots free for internal calls.
 *
 * The expected wait of an arrival is computed from the mean run time of each route at
 * this server, so that a request that can't be answered in time is refused at once,
 * before it has run.
 *
 * A server may also limit the rate at which it gets requests. Requests then wait for the
 * rate as they do for a slot, in the same order.
 */
#ifndef FQ_MESH_GATE_QUEUE_H
#define FQ_MESH_GATE_QUEUE_H

#include "filbertquay/types.h"
#include "mesh/backpressure.h"
#include "mesh/config.h"
#include "mesh/rate_limit.h"
#include "util/list.h"
#include "util/map.h"

/* Ranks below it are those of internal calls, by the priority of the request that began
 * the chain; the others are those of new requests, by their own priority. */
#define FQ_INTERNAL_RANKS 4
#define FQ_RANKS (FQ_INTERNAL_RANKS + FQ_PRIORITY_LEVELS) /* all ranks */

/** fq_rank_of_new_request() - the rank of a new request; priority 0 is the highest. */
uint32_t fq_rank_of_new_request (uint32_t priority);

/** fq_rank_of_internal_call() - the rank of a call that a run of rank @parent makes. */
uint32_t fq_rank_of_internal_call (uint32_t parent);

/** struct fq_gate_queue_entry_t - embed it in a run; zero-initialise, and set @rank and
 * @route. */
typedef struct
{
  fq_list_t link;
  uint32_t rank;
  uint64_t route;
  fq_time_t expected_us; /* expected run time */
} fq_gate_queue_entry_t;

/** struct fq_gate_queue_t - requests that wait or run; set up with fq_gate_queue_init().
 */
typedef struct
{
  uint32_t limit;     /* concurrent runs allowed; 0: no run may start */
  uint32_t in_flight; /* current runs */
  uint32_t queued;    /* requests that wait */
  uint32_t rank_queued[FQ_RANKS];
  fq_rate_limit_t rate;     /* of starts */
  uint32_t internal_streak; /* internal calls started since the last new request */
  uint32_t rank_in_flight[FQ_RANKS];
  double internal_mean; /* moving average of concurrent internal calls, over run starts */
  fq_backpressure_t backpressure[FQ_RANKS];
  fq_time_t in_flight_us;        /* sum of the expected times of all current runs */
  fq_time_t queued_us[FQ_RANKS]; /* the same of the requests that wait */
  fq_list_t ranks[FQ_RANKS];
  fq_map_t run_times; /* mean run time by route */
  double mean_us;     /* mean run time over all routes */
} fq_gate_queue_t;

/** fq_gate_queue_init() - an empty queue with a limit of 0. */
void fq_gate_queue_init (fq_gate_queue_t *queue);

/** fq_gate_queue_clear() - free the run times; entries belong to their owners. */
void fq_gate_queue_clear (fq_gate_queue_t *queue);

/** fq_gate_queue_expected_run() - expected run time of @route, microseconds. */
fq_time_t fq_gate_queue_expected_run (const fq_gate_queue_t *queue, uint64_t route);

/** fq_gate_queue_expected_wait() - expected wait of an arrival of @rank, microseconds; 0
 * also while the limit is 0. */
fq_time_t fq_gate_queue_expected_wait (const fq_gate_queue_t *queue, uint32_t rank);

/** fq_gate_queue_rate_wait() - the part of that wait that the rate limit causes. */
fq_time_t fq_gate_queue_rate_wait (const fq_gate_queue_t *queue, uint32_t rank);

/** fq_gate_queue_may_start() - whether an arrival of @rank may start without queueing. */
bool fq_gate_queue_may_start (const fq_gate_queue_t *queue, uint32_t rank);

/** fq_gate_queue_push() - append @entry to the queue of its rank. */
void fq_gate_queue_push (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry);

/** fq_gate_queue_next() - the queued entry that may start now; NULL: none. */
fq_gate_queue_entry_t *fq_gate_queue_next (const fq_gate_queue_t *queue);

/** fq_gate_queue_remove() - take @entry, which waits, out of the queue. */
void fq_gate_queue_remove (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry);

/** fq_gate_queue_run_started() - count @entry, which is not queued, as a current run, and
 * in the rate. */
void fq_gate_queue_run_started (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry);

/**
 * fq_gate_queue_run_ended() - @entry no longer runs.
 * @elapsed: its run time; 0: unknown, or not representative of the route
 */
void fq_gate_queue_run_ended (fq_gate_queue_t *queue,
                              fq_gate_queue_entry_t *entry,
                              fq_time_t elapsed);

/** fq_gate_queue_rank_limit() - backpressure limit of @rank; 0: none. */
uint32_t fq_gate_queue_rank_limit (const fq_gate_queue_t *queue, uint32_t rank);

/**
 * fq_gate_queue_record_starvation() - adjust the backpressure limit after a run of @rank.
 * @started: when the run started
 * @starved: one of its calls failed, possibly for lack of capacity
 */
void fq_gate_queue_record_starvation (fq_gate_queue_t *queue,
                                      fq_time_t now,
                                      fq_time_t started,
                                      uint32_t rank,
                                      bool starved);

#endif
