/**
 * DOC: How many requests an upstream runs at once without queueing them itself.
 *
 * The limit follows two measured latencies: that at the full limit, and that at half of
 * it. An upstream that queues beyond its slots answers faster at half the concurrency;
 * one that has become slow does not. Only the first is a reason to lower the limit.
 * Latency is the time integral of requests in flight over completions (Little's law),
 * which no window cuts short. An upstream that refuses a request itself says plainly that
 * it has no room beyond what it runs at that moment.
 */
#ifndef FQ_CORE_LIMITER_H
#define FQ_CORE_LIMITER_H

#include "filbertquay/types.h"

/** enum fq_limiter_phase_t - what the present epoch is for. */
typedef enum
{
  FQ_LIMITER_RAMP,   /* after an announcement: the limit doubles from a quarter */
  FQ_LIMITER_STEADY, /* it follows the latency */
  FQ_LIMITER_DRAIN,  /* in flight falls to half of it */
  FQ_LIMITER_PROBE,  /* half of it is measured */
} fq_limiter_phase_t;

/** enum fq_limiter_result_t - how a request left the upstream. */
typedef enum
{
  FQ_LIMITER_FAILED,   /* no whole answer */
  FQ_LIMITER_ANSWERED, /* a whole answer */
  FQ_LIMITER_SHED,     /* the upstream itself refused it */
} fq_limiter_result_t;

/** struct fq_limiter_t - set up with fq_limiter_announce(). */
typedef struct
{
  fq_limiter_phase_t phase;
  uint32_t announced;
  uint32_t ceiling; /* connections */
  uint32_t cap;     /* by a ticket; 0: none */
  uint32_t in_flight;
  double limit;
  double base_us;    /* latency without a queue in the upstream; 0: not measured */
  double base_at;    /* requests in flight when it was measured */
  double latency_us; /* smoothed over epochs at the full limit; 0: not measured */
  double service_us; /* smoothed over single requests */
  fq_time_t epoch_start;
  fq_time_t changed; /* when in_flight changed last */
  double busy_us;    /* time integral of in_flight over the epoch */
  uint32_t completions;
  bool saturated; /* a request had to wait during the epoch */
  fq_time_t probed;
  uint32_t held; /* requests that the upstream ran when it refused one; 0: none */
  fq_time_t held_until;
  fq_time_t shed; /* when the upstream refused one last; 0: never */
} fq_limiter_t;

/** fq_limiter_announce() - an upstream (re)started; 0 slots stop it. */
void fq_limiter_announce (fq_limiter_t *limiter,
                          fq_time_t now,
                          uint32_t slots,
                          uint32_t connections);

/** fq_limiter_limit() - requests that may run now. */
uint32_t fq_limiter_limit (const fq_limiter_t *limiter);

/** fq_limiter_full_limit() - the same without the dip of a probe. */
uint32_t fq_limiter_full_limit (const fq_limiter_t *limiter);

/** fq_limiter_wait() - a request has to wait, so the limit binds. */
void fq_limiter_wait (fq_limiter_t *limiter);

/** fq_limiter_start() - a request was sent to the upstream. */
void fq_limiter_start (fq_limiter_t *limiter, fq_time_t now);

/** fq_limiter_finish() - it ended after @elapsed. */
void fq_limiter_finish (fq_limiter_t *limiter,
                        fq_time_t now,
                        fq_time_t elapsed,
                        fq_limiter_result_t result);

#endif
