/**
 * DOC: Adaptive concurrency limit: how many requests an upstream runs at once without
 * queueing them itself.
 *
 * The limit follows two measured latencies: one at the full limit, and a base latency
 * that is probed at half of it. An upstream that queues requests beyond its slots answers
 * faster at half the concurrency; one that has become slower does not. Only the first is
 * a reason to lower the limit.
 *
 * Latency is the time integral of the requests in flight divided by the completions
 * (Little's law). Unlike a mean over completed requests it is not biased by requests that
 * are still running when an epoch ends. When the upstream itself refuses a request, it
 * has no capacity beyond the requests that it is running at that moment.
 */
#ifndef FQ_CORE_LIMITER_H
#define FQ_CORE_LIMITER_H

#include "filbertquay/types.h"

/** enum fq_limiter_phase_t - what the current measuring epoch is for. */
typedef enum
{
  FQ_LIMITER_RAMP,   /* after an announcement: the limit doubles from slots / 4 */
  FQ_LIMITER_STEADY, /* the limit follows the latency */
  FQ_LIMITER_DRAIN,  /* the requests in flight fall to half the limit, before a probe */
  FQ_LIMITER_PROBE,  /* the latency at half the limit is measured */
} fq_limiter_phase_t;

/** enum fq_limiter_result_t - how a request ended in the upstream. */
typedef enum
{
  FQ_LIMITER_FAILED,           /* no complete answer */
  FQ_LIMITER_ANSWERED,         /* a complete answer */
  FQ_LIMITER_UPSTREAM_REFUSED, /* refused for overload by the upstream itself */
} fq_limiter_result_t;

/** struct fq_limiter_t - zero-initialise, then call fq_limiter_announce(). */
typedef struct
{
  fq_limiter_phase_t phase;
  uint32_t announced_slots; /* at most @upstream_connections */
  uint32_t
      upstream_connections; /* connections of the upstream; 0: there is no upstream */
  uint32_t cap;             /* set by an operator's ticket; 0: none */
  uint32_t in_flight;
  double limit;
  double base_latency_us;  /* latency without a queue in the upstream; 0: not measured */
  double base_concurrency; /* requests in flight when it was measured */
  double latency_us;       /* smoothed over epochs at the full limit; 0: not measured */
  double service_us;       /* smoothed over single requests */
  fq_time_t epoch_start;
  fq_time_t in_flight_changed;  /* when in_flight changed last */
  double in_flight_integral_us; /* time integral of in_flight over the epoch */
  uint32_t completions;
  bool saturated;         /* a request found the limit reached in the epoch */
  fq_time_t last_probe;   /* end of the last probe, or the announcement; 0: one is due */
  uint32_t refusal_limit; /* requests in flight when the upstream refused one; 0: none */
  fq_time_t refusal_limit_until;
  fq_time_t last_refusal; /* by the upstream; 0: none since the announcement */
} fq_limiter_t;

/**
 * fq_limiter_announce() - an upstream started or restarted; resets the limit.
 * @slots: requests that it can run at once, by its own account; 0: there is no upstream
 * and the limit is 0
 * @connections: connections that it accepts, an upper bound of the limit
 */
void fq_limiter_announce (fq_limiter_t *limiter,
                          fq_time_t now,
                          uint32_t slots,
                          uint32_t connections);

/** fq_limiter_limit() - requests that may be in flight now. */
uint32_t fq_limiter_limit (const fq_limiter_t *limiter);

/**
 * fq_limiter_full_limit() - the limit without the halving around a probe and without
 * refusal_limit; at most cap; 0: there is no upstream.
 */
uint32_t fq_limiter_full_limit (const fq_limiter_t *limiter);

/** fq_limiter_mark_saturated() - a request has to wait because the limit is reached. */
void fq_limiter_mark_saturated (fq_limiter_t *limiter);

/** fq_limiter_start() - a request was sent to the upstream. */
void fq_limiter_start (fq_limiter_t *limiter, fq_time_t now);

/** fq_limiter_finish() - a request ended, @elapsed after fq_limiter_start(). */
void fq_limiter_finish (fq_limiter_t *limiter,
                        fq_time_t now,
                        fq_time_t elapsed,
                        fq_limiter_result_t result);

#endif
