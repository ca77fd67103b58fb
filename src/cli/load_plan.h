/**
 * DOC: The plan of a load test, parsed from the arguments: phases, classes and targets.
 *
 * The functions that add to a plan return 0 or, when the text is malformed or exceeds a
 * limit, FQ_ERROR_INVALID.
 */
#ifndef FQ_CLI_LOAD_PLAN_H
#define FQ_CLI_LOAD_PLAN_H

#include "filbertquay/types.h"
#include "util/random.h"

#define FQ_LOAD_PHASES_MAX 32
#define FQ_LOAD_CLASSES_MAX 16
#define FQ_LOAD_TARGETS_MAX 64
#define FQ_LOAD_SECONDS_MAX 3600
#define FQ_LOAD_RATE_MAX 100000 /* requests per second */

/**
 * enum fq_load_retry_t - when a failed attempt is repeated.
 *
 * An attempt fails when it is not sent, its answer is lost, a node refuses it, its
 * outcome is unknown, or it is answered with status 500 or above.
 */
typedef enum
{
  FQ_LOAD_RETRY_NONE,
  FQ_LOAD_RETRY_NOW,   /* at once */
  FQ_LOAD_RETRY_AFTER, /* after fq-retry-after-ms of the answer; without it, never */
} fq_load_retry_t;

/** struct fq_load_phase_t - the rate changes linearly from @from to @to. */
typedef struct
{
  double from; /* requests per second */
  double to;
  double seconds;
} fq_load_phase_t;

/** struct fq_load_class_t - a class of requests. */
typedef struct
{
  char name[FQ_NAME_BYTES];
  double share; /* weight, relative to the sum over all classes */
  char method[FQ_METHOD_BYTES];
  char service[FQ_SERVICE_BYTES];
  char path[FQ_PATH_BYTES]; /* "{n}" is replaced by the request's number */
  char key[FQ_KEY_BYTES];   /* idempotency key, with "{n}"; empty: none */
  uint32_t deadline_ms;     /* 0: no header fq-deadline-ms is sent */
  /* Until the client disconnects; 0: 2 s after the deadline, or 10 s without one. */
  uint32_t timeout_ms;
  uint32_t body_bytes;
  fq_load_retry_t retry;
  uint32_t retries; /* maximum, after the first attempt */
} fq_load_class_t;

/** struct fq_load_plan_t - zero-initialise before use. */
typedef struct
{
  fq_load_phase_t phases[FQ_LOAD_PHASES_MAX];
  size_t phase_count;
  fq_load_class_t classes[FQ_LOAD_CLASSES_MAX];
  size_t class_count;
  char targets[FQ_LOAD_TARGETS_MAX][FQ_ADDRESS_BYTES];
  size_t target_count;
} fq_load_plan_t;

/** fq_load_plan_add_phases() - "RATE:SECONDS,FROM-TO:SECONDS,..". */
int fq_load_plan_add_phases (fq_load_plan_t *plan, const char *text);

/** fq_load_plan_add_class() - "name=lookup,share=6,service=tables,path=/x?{n},..". */
int fq_load_plan_add_class (fq_load_plan_t *plan, const char *text);

/** fq_load_plan_add_targets() - "ip:port,.."; without @anywhere, only loopback. */
int fq_load_plan_add_targets (fq_load_plan_t *plan, const char *text, bool anywhere);

/** fq_load_plan_seconds() - total duration of all phases. */
double fq_load_plan_seconds (const fq_load_plan_t *plan);

/**
 * fq_load_plan_next_arrival() - the intended send time of the request after the one at
 * @at.
 *
 * @at: in microseconds from the start; 0 for the first request.
 *
 * Arrivals are a Poisson process with the rate of the phases, fixed by the seed of
 * @random. Return: microseconds from the start; -1 after the last phase.
 */
int64_t
fq_load_plan_next_arrival (const fq_load_plan_t *plan, int64_t at, fq_random_t *random);

/** fq_load_plan_pick_class() - the index of a random class, weighted by the shares. */
size_t fq_load_plan_pick_class (const fq_load_plan_t *plan, fq_random_t *random);

/** fq_load_expand_number() - copy @text with "{n}" replaced by @number; cut at @size
 * bytes. */
void fq_load_expand_number (char *out, size_t size, const char *text, uint64_t number);

#endif
