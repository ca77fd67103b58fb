/**
 * DOC: At most once: claims in the table service before a non-idempotent request runs.
 *
 * A run may be sent to the upstream only after a FQ_ONCE_GRANTED verdict for it. The
 * claim names the attempt, so that neither a lost answer nor a pause lets two run.
 */
#ifndef FQ_CORE_ONCE_H
#define FQ_CORE_ONCE_H

#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_once fq_once_t;

/** struct fq_once_options_t - see FQ_ONCE_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;
  uint64_t incarnation;
  uint64_t seed;
} fq_once_options_t;

#define FQ_ONCE_RETENTION_MS                                                             \
  (24 * 3600 * 1000LL) /* a key is kept this long, at least                              \
                        */
#define FQ_ONCE_STOP_PATIENCE_US (5 * FQ_MICROSECONDS_PER_SECOND)

#define FQ_ONCE_OPTIONS_VERSION 1
#define FQ_ONCE_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_ONCE_OPTIONS_VERSION                                                   \
  }

/** enum fq_once_verdict_kind_t - how a claim ended. */
typedef enum
{
  FQ_ONCE_GRANTED,     /* this run, and no other, may be sent to the upstream, once */
  FQ_ONCE_REPLAY,      /* an earlier attempt finished; @answer is its answer */
  FQ_ONCE_IN_PROGRESS, /* an earlier attempt holds the key and has not finished in time */
  FQ_ONCE_UNKNOWN,     /* an earlier attempt was sent, and no whole answer ever came */
  FQ_ONCE_KEY_REUSED,  /* the key was used for a request with another method, path or body
                        */
  FQ_ONCE_UNAVAILABLE, /* the store can't be asked; this run did not and will not run */
} fq_once_verdict_kind_t;

/** struct fq_once_verdict_t - the end of the claim of @run. */
typedef struct
{
  fq_id_t run;
  fq_once_verdict_kind_t kind;
  fq_answer_t answer; /* for FQ_ONCE_REPLAY; the receiver owns the body reference */
} fq_once_verdict_t;

/** fq_once_new() - no claims yet. */
int fq_once_new (fq_once_t **out, const fq_once_options_t *options);

/** fq_once_free() - NULL-safe. */
void fq_once_free (fq_once_t *once);

/**
 * fq_once_claim() - claim the key of @request for @run; a verdict follows.
 * @deadline: when a FQ_ONCE_IN_PROGRESS verdict comes at the latest
 */
int fq_once_claim (fq_once_t *once,
                   fq_time_t now,
                   fq_id_t run,
                   const fq_request_t *request,
                   fq_time_t deadline,
                   fq_effects_t *effects);

/** fq_once_take_verdict() - take one verdict; false when there is none. */
bool fq_once_take_verdict (fq_once_t *once, fq_once_verdict_t *out);

/** fq_once_finish() - the granted @run ended with @answer: keep it for repeats. */
void fq_once_finish (fq_once_t *once,
                     fq_time_t now,
                     fq_id_t run,
                     const fq_answer_t *answer,
                     fq_effects_t *effects);

/** fq_once_release() - the granted @run was not and will not be sent: free the key. */
void fq_once_release (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects);

/**
 * fq_once_is_held_by_other() - whether another attempt is known to hold the key that @run
 * waits for, so that nobody can say that the work did not run.
 */
bool fq_once_is_held_by_other (const fq_once_t *once, fq_id_t run);

/** fq_once_cancel() - @run no longer wants a verdict; a grant that comes is released. */
void fq_once_cancel (fq_once_t *once, fq_time_t now, fq_id_t run, fq_effects_t *effects);

/** fq_once_store_answered() - the platform answered an operation of this part. */
void fq_once_store_answered (fq_once_t *once,
                             fq_time_t now,
                             const fq_store_answer_t *answer,
                             fq_effects_t *effects);

/**
 * fq_once_tick() - time has passed.
 * @wall_ms: milliseconds since 1970, by which rows are removed after their retention
 */
void
fq_once_tick (fq_once_t *once, fq_time_t now, int64_t wall_ms, fq_effects_t *effects);

/**
 * fq_once_is_idle() - nothing is still to be written, but for what the store has not
 * taken for FQ_ONCE_STOP_PATIENCE_US.
 */
bool fq_once_is_idle (const fq_once_t *once);

#endif
