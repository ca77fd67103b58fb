/**
 * DOC: The reducer that makes all decisions of a node.
 *
 * A program passes events to fq_core_reduce() and carries out the effects that it
 * appends; the program that does so with real sockets and clocks is called the shell.
 * The core reads no clock, opens no socket and has no entropy source: each event carries
 * the time, and random choices derive from the seed in the options. The same options and
 * events therefore give the same effects.
 */
#ifndef FQ_CORE_H
#define FQ_CORE_H

#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_core fq_core_t;

#define FQ_SEEDS_MAX 32 /* seed nodes in fq_core_options_t */

/**
 * enum fq_limit_policy_t - how a gate limits the concurrency of its upstream.
 *
 * FQ_LIMIT_FIXED and FQ_LIMIT_NONE are baselines to compare FQ_LIMIT_ADAPTIVE with.
 */
typedef enum
{
  FQ_LIMIT_ADAPTIVE, /* a concurrency limit that adapts to the upstream */
  FQ_LIMIT_FIXED,    /* the announced slots; the queue is bounded only by deadlines */
  FQ_LIMIT_NONE,     /* no limit: every request is sent on */
} fq_limit_policy_t;

/**
 * struct fq_core_options_t - options of a core; initialise with FQ_CORE_OPTIONS_INIT.
 *
 * fq_core_new() copies the strings.
 */
typedef struct
{
  unsigned int version; /* FQ_CORE_OPTIONS_VERSION */
  const char *node;     /* unique name of this node, 1 to FQ_NAME_BYTES - 1 bytes */
  const char *address;  /* "ip:port" of its peer listener */
  const char *failure_domain;
  const char *region;
  const char *seeds[FQ_SEEDS_MAX]; /* "ip:port" of the peer listeners of seed nodes */
  size_t seed_count;
  uint64_t incarnation;         /* greater than at any earlier start of this node */
  uint64_t seed;                /* of the generator for all random choices */
  uint32_t default_deadline_ms; /* for a request that states none */
  uint32_t default_retries; /* retries of a whole chain for which no ticket sets them */
  fq_limit_policy_t limit_policy;
  uint32_t rollup_ms; /* between two roll-ups of the error-budget burn of a service */
} fq_core_options_t;

#define FQ_CORE_OPTIONS_VERSION 1
#define FQ_CORE_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_CORE_OPTIONS_VERSION, .default_deadline_ms = 5000,                     \
    .default_retries = 2, .rollup_ms = 30000                                             \
  }

/**
 * fq_core_new() - create a core.
 * @out: set to the core, to be freed with fq_core_free()
 * @now: not later than the time of the first event
 *
 * Return: 0; FQ_ERROR_INVALID for another version of the options, a node name that is
 * empty or too long, or more than FQ_SEEDS_MAX seeds; FQ_ERROR_NOMEM.
 */
int fq_core_new (fq_core_t **out, const fq_core_options_t *options, fq_time_t now);

/** fq_core_free() - free a core; NULL-safe. */
void fq_core_free (fq_core_t *core);

/**
 * fq_core_reduce() - process one event.
 * @event: remains the caller's
 * @effects: the effects to be carried out are appended, in order
 */
void fq_core_reduce (fq_core_t *core, const fq_event_t *event, fq_effects_t *effects);

/**
 * fq_core_is_busy() - whether ticks are due every FQ_CORE_TICK_US.
 *
 * This is so while requests, or store operations for at-most-once requests, are in
 * progress, and while the node shuts down.
 */
bool fq_core_is_busy (const fq_core_t *core);

/** FQ_CORE_TICK_US - interval of FQ_EVENT_TICK while fq_core_is_busy(). */
#define FQ_CORE_TICK_US 4096

/** FQ_CORE_IDLE_TICK_US - interval of FQ_EVENT_TICK otherwise. */
#define FQ_CORE_IDLE_TICK_US 65536

#endif
