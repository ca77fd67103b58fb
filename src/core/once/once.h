/**
 * DOC: At-most-once execution of requests with an idempotency key.
 *
 * A gate is the admission of a node to its upstream, a run the execution of a request
 * through a gate. In this folder an attempt is one claim of a key by one gate.
 *
 * Before a run is sent to the upstream, its key is claimed by a conditional write to the
 * table service; only a FQ_ONCE_GRANTED verdict allows the run to be sent. The row names
 * the attempt that wrote it, so that a gate recognizes its own claim after the answer of
 * the store was lost. A claim has no lease: no other gate takes it over while its holder
 * pauses between grant and send. The outcome replaces the claim and decides repeats of
 * the request. Rows are removed FQ_ONCE_RETENTION_MS after their claim or later.
 */
#ifndef FQ_CORE_ONCE_H
#define FQ_CORE_ONCE_H

#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_once fq_once_t;

/** struct fq_once_options_t - initialise with FQ_ONCE_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;     /* the node's name; copied */
  uint64_t incarnation; /* with @node, part of the names of attempts */
  uint64_t seed;        /* of the random numbers for attempt names and jitter */
} fq_once_options_t;

/** FQ_ONCE_RETENTION_MS - for how long a row is kept after its claim, at least. */
#define FQ_ONCE_RETENTION_MS (24 * 3600 * 1000LL)

/** FQ_ONCE_STOP_TIMEOUT_US - for how long a pending write counts in fq_once_is_idle(). */
#define FQ_ONCE_STOP_TIMEOUT_US (5 * FQ_MICROSECONDS_PER_SECOND)

#define FQ_ONCE_OPTIONS_VERSION 1
#define FQ_ONCE_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_ONCE_OPTIONS_VERSION                                                   \
  }

/** enum fq_once_verdict_kind_t - how a claim ended. */
typedef enum
{
  FQ_ONCE_GRANTED,     /* this run, and no other, may be sent to the upstream, once */
  FQ_ONCE_REPLAY,      /* another attempt finished; @answer is its answer */
  FQ_ONCE_IN_PROGRESS, /* another attempt held the key until the deadline of this claim */
  FQ_ONCE_UNKNOWN,     /* another attempt may have run and has no complete answer */
  FQ_ONCE_KEY_REUSED,  /* the key was used for a request with another method, path or body
                        */
  FQ_ONCE_UNAVAILABLE, /* the claim failed, e.g. the store is down; must not be sent */
} fq_once_verdict_kind_t;

/** struct fq_once_verdict_t - the result of the claim for @run. */
typedef struct
{
  fq_id_t run;
  fq_once_verdict_kind_t kind;
  fq_answer_t answer; /* for FQ_ONCE_REPLAY; the receiver owns the body reference */
} fq_once_verdict_t;

/**
 * fq_once_new() - create an instance without claims; free it with fq_once_free().
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_once_new (fq_once_t **out, const fq_once_options_t *options);

/** fq_once_free() - NULL-safe. */
void fq_once_free (fq_once_t *once);

/**
 * fq_once_claim() - claim the key of @request for @run.
 * @deadline: when the claim ends with FQ_ONCE_IN_PROGRESS or FQ_ONCE_UNAVAILABLE if it
 * has no verdict by then
 *
 * The verdict is taken with fq_once_take_verdict(), which may have it at once.
 *
 * Return: 0, or FQ_ERROR_NOMEM, after which no verdict comes.
 */
int fq_once_claim (fq_once_t *once,
                   fq_time_t now,
                   fq_id_t run,
                   const fq_request_t *request,
                   fq_time_t deadline,
                   fq_effects_t *effects);

/** fq_once_take_verdict() - remove the oldest verdict into @out; false when there is
 * none. */
bool fq_once_take_verdict (fq_once_t *once, fq_once_verdict_t *out);

/**
 * fq_once_finish() - store the @answer of the granted @run, for repeats of the request.
 * @answer: copied, with a reference to its body; without FQ_OUTCOME_ANSWERED repeats end
 *          with FQ_ONCE_UNKNOWN
 */
void fq_once_finish (fq_once_t *once,
                     fq_time_t now,
                     fq_id_t run,
                     const fq_answer_t *answer,
                     fq_effects_t *effects);

/**
 * fq_once_release() - free the key of the granted @run, which was not executed and must
 * not be sent any more.
 */
void fq_once_release (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects);

/**
 * fq_once_is_held_by_other() - whether the key that @run waits for is known to be claimed
 * by another attempt, which may have executed the request.
 */
bool fq_once_is_held_by_other (const fq_once_t *once, fq_id_t run);

/**
 * fq_once_cancel() - cancel the claim of @run; no verdict follows. If it was granted, or
 * the store grants it later, the key is released.
 */
void fq_once_cancel (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects);

/** fq_once_handle_store_answer() - handle the answer to a store operation that this
 * module issued. */
void fq_once_handle_store_answer (fq_once_t *once,
                                  fq_time_t now,
                                  const fq_store_answer_t *answer,
                                  fq_effects_t *effects);

/**
 * fq_once_tick() - handle timers that are due, and send waiting store operations.
 * @wall_ms: milliseconds since 1970, for the retention of rows; 0: not known, then no
 *           row is removed, and rows claimed meanwhile are never removed
 */
void
fq_once_tick (fq_once_t *once, fq_time_t now, int64_t wall_ms, fq_effects_t *effects);

/**
 * fq_once_is_idle() - whether no write is pending. Writes that are older than
 * FQ_ONCE_STOP_TIMEOUT_US don't count, so that a store that is down delays a shutdown
 * only for that time.
 */
bool fq_once_is_idle (const fq_once_t *once);

#endif
