/**
 * DOC: Backpressure: an adaptive concurrency limit for new requests while the services
 * that they call are overloaded.
 *
 * When a downstream service is the bottleneck, a request that was started here fails once
 * one of its calls is refused there, and all work done for it is wasted. Such a run is
 * called starved. The gate observes starvation directly, since the calls of its server go
 * through its own node. It lowers the number of concurrent runs, for each rank
 * separately, until few runs starve, and raises it again while that holds. The limit is
 * adjusted at the end of each epoch, a measurement interval of at least 300 ms and three
 * ended runs.
 */
#ifndef FQ_MESH_BACKPRESSURE_H
#define FQ_MESH_BACKPRESSURE_H

#include "filbertquay/types.h"

#define FQ_BACKPRESSURE_NO_LIMIT UINT32_MAX

/** struct fq_backpressure_t - state of one rank; zero-initialise before use. */
typedef struct
{
  double limit; /* concurrent runs; 0: unlimited */
  fq_time_t epoch_start;
  fq_time_t reduced_at; /* runs that started before it say nothing about the limit */
  uint32_t ended;       /* runs that ended in the epoch */
  uint32_t starved;     /* of these, the starved ones */
  uint32_t peak;        /* highest number of concurrent runs in the epoch */
} fq_backpressure_t;

/** fq_backpressure_run_started() - a run started; @in_flight runs of the rank now run. */
void fq_backpressure_run_started (fq_backpressure_t *backpressure, uint32_t in_flight);

/**
 * fq_backpressure_run_ended() - a run ended; adjusts the limit at the end of an epoch.
 * @started: when the run started
 * @starved: one of its calls failed, possibly for lack of capacity
 */
void fq_backpressure_run_ended (fq_backpressure_t *backpressure,
                                fq_time_t now,
                                fq_time_t started,
                                bool starved);

/** fq_backpressure_limit() - concurrent runs allowed, or FQ_BACKPRESSURE_NO_LIMIT. */
uint32_t fq_backpressure_limit (const fq_backpressure_t *backpressure);

#endif
