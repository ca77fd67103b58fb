#include "core/admission/limiter.h"

#include <math.h>

/* An epoch ends after FQ_EPOCH_COMPLETIONS_MIN completions or as many as the limit,
 * whichever is more; a probe after FQ_PROBE_COMPLETIONS_MIN or
 * FQ_PROBE_COMPLETIONS_PER_LIMIT times the limit. */
#define FQ_EPOCH_COMPLETIONS_MIN 16
#define FQ_PROBE_COMPLETIONS_MIN 24
#define FQ_PROBE_COMPLETIONS_PER_LIMIT 1.5

/* Times between probes: multiples of the latency, and a lower bound of the period. */
#define FQ_PROBE_PERIOD_LATENCIES 80 /* while the limit is reached */
#define FQ_PROBE_PERIOD_MIN_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_PROBE_GAP_LATENCIES 4 /* after a jump in latency */

/* Ratios of latency to base latency. A latency that differs by more than FQ_LATENCY_JUMP
 * shows that the upstream has changed: at the end of the epoch a probe is due if
 * FQ_PROBE_GAP_LATENCIES have passed since the last one, a ramp ends, and the smoothed
 * latency and the base are replaced instead of averaged. */
#define FQ_LATENCY_TOLERANCE 1.1 /* up to here it counts as noise */
#define FQ_LATENCY_JUMP 1.5

/* Least factor by which the limit is multiplied at the end of an epoch, and after a
 * refusal by the upstream. */
#define FQ_DECREASE_FACTOR_MIN 0.5
#define FQ_REFUSAL_DECREASE_FACTOR_MIN 0.7

/* Service times without a refusal by the upstream before the limit grows again. */
#define FQ_REFUSAL_QUIET_SERVICE_TIMES 10

/* Requests above the slots in use, as a factor of the square root of the limit, so that
 * no slot is idle between two requests. */
#define FQ_HEADROOM_FACTOR 0.5

/* Weights of a new sample in the exponential moving averages. */
#define FQ_BASE_WEIGHT 0.3
#define FQ_BASE_DECREASE_WEIGHT 0.1 /* a latency at the full limit below the base */
#define FQ_LATENCY_WEIGHT 0.3
#define FQ_SERVICE_WEIGHT (1.0 / 16)

/* Below this factor of the concurrency at which the base was measured, the limit can't
 * have caused a queue in the upstream. */
#define FQ_BASE_CONCURRENCY_FACTOR 1.5

/* After an announcement the limit starts at the announced slots divided by this. */
#define FQ_RAMP_START_DIVISOR 4

/* With a concurrency below this share of the limit the upstream has no queue. */
#define FQ_UNSATURATED_SHARE 0.6

static void
begin_epoch (fq_limiter_t *limiter, fq_time_t now, fq_limiter_phase_t phase)
{
  limiter->phase = phase;
  limiter->epoch_start = now;
  limiter->in_flight_changed = now;
  limiter->in_flight_integral_us = 0;
  limiter->completions = 0;
  limiter->saturated = false;
}

void
fq_limiter_announce (fq_limiter_t *limiter,
                     fq_time_t now,
                     uint32_t slots,
                     uint32_t connections)
{
  limiter->announced_slots = slots < connections ? slots : connections;
  limiter->upstream_connections = slots == 0 ? 0 : connections;
  limiter->limit = fmax (1, (double)limiter->announced_slots / FQ_RAMP_START_DIVISOR);
  limiter->base_latency_us = 0;
  limiter->base_concurrency = 0;
  limiter->latency_us = 0;
  limiter->service_us = 0;
  limiter->last_probe = now;
  limiter->refusal_limit = 0;
  limiter->last_refusal = 0;
  begin_epoch (limiter, now, FQ_LIMITER_RAMP);
}

uint32_t
fq_limiter_full_limit (const fq_limiter_t *limiter)
{
  uint32_t limit = limiter->limit < 1 ? 1 : (uint32_t)limiter->limit;

  if (limiter->upstream_connections == 0)
    return 0;
  return limiter->cap > 0 && limiter->cap < limit ? limiter->cap : limit;
}

uint32_t
fq_limiter_limit (const fq_limiter_t *limiter)
{
  uint32_t limit = fq_limiter_full_limit (limiter);

  if (limiter->refusal_limit > 0 && limiter->refusal_limit < limit)
    limit = limiter->refusal_limit;
  if (limiter->phase == FQ_LIMITER_DRAIN || limiter->phase == FQ_LIMITER_PROBE)
    return (limit + 1) / 2;
  return limit;
}

void
fq_limiter_mark_saturated (fq_limiter_t *limiter)
{
  limiter->saturated = true;
}

/* Brings the time integral up to @now and ends an expired refusal limit. */
static void
advance_time (fq_limiter_t *limiter, fq_time_t now)
{
  limiter->in_flight_integral_us
      += (double)limiter->in_flight * (double)(now - limiter->in_flight_changed);
  limiter->in_flight_changed = now;
  if (now >= limiter->refusal_limit_until)
    limiter->refusal_limit = 0;
}

void
fq_limiter_start (fq_limiter_t *limiter, fq_time_t now)
{
  advance_time (limiter, now);
  limiter->in_flight++;
}

static double
smooth (double old, double sample, double weight)
{
  return old == 0 ? sample : old + weight * (sample - old);
}

static void
set_limit (fq_limiter_t *limiter, double limit)
{
  limiter->limit = fmin (fmax (limit, 1), limiter->upstream_connections);
}

/* A sample that differs from the base by more than the factor FQ_LATENCY_JUMP means that
 * the upstream has changed, so it replaces the base instead of being averaged with it. */
static void
smooth_base (fq_limiter_t *limiter, double sample, double weight)
{
  double ratio = limiter->base_latency_us == 0 ? 0 : sample / limiter->base_latency_us;

  if (ratio > FQ_LATENCY_JUMP || ratio < 1 / FQ_LATENCY_JUMP)
    limiter->base_latency_us = sample;
  else
    limiter->base_latency_us = smooth (limiter->base_latency_us, sample, weight);
}

/* Corrects the base from the latency of an epoch. Otherwise a base that was measured too
 * low would decrease the limit for ever, since no decrease brings the latency down to
 * it. */
static void
update_base (fq_limiter_t *limiter, double concurrency)
{
  if (concurrency < FQ_UNSATURATED_SHARE * limiter->limit)
    {
      smooth_base (limiter, limiter->latency_us, FQ_BASE_WEIGHT);
      limiter->base_concurrency = concurrency;
    }
  else if (limiter->latency_us < limiter->base_latency_us
           || limiter->base_latency_us == 0)
    smooth_base (limiter, limiter->latency_us, FQ_BASE_DECREASE_WEIGHT);
  else if (limiter->limit < FQ_BASE_CONCURRENCY_FACTOR * limiter->base_concurrency)
    smooth_base (limiter, limiter->latency_us, FQ_BASE_WEIGHT);
}

static bool
probe_is_due (const fq_limiter_t *limiter, fq_time_t now)
{
  double since = (double)(now - limiter->last_probe);
  double latency = limiter->latency_us;

  if (limiter->limit < 2)
    return false;
  if (latency > FQ_LATENCY_JUMP * limiter->base_latency_us)
    return since > FQ_PROBE_GAP_LATENCIES * latency;
  return limiter->saturated && since > FQ_PROBE_PERIOD_MIN_US
         && since > FQ_PROBE_PERIOD_LATENCIES * latency;
}

static bool
may_increase (const fq_limiter_t *limiter, fq_time_t now)
{
  return limiter->last_refusal == 0
         || (double)(now - limiter->last_refusal)
                > FQ_REFUSAL_QUIET_SERVICE_TIMES * limiter->service_us;
}

/* Multiplies the limit by the ratio of tolerated to measured latency and adds a headroom;
 * or increases it by the headroom if it was reached and the latency is tolerated. */
static void
adjust_limit (fq_limiter_t *limiter, fq_time_t now)
{
  double gradient = FQ_LATENCY_TOLERANCE * limiter->base_latency_us / limiter->latency_us;
  double headroom = FQ_HEADROOM_FACTOR * sqrt (limiter->limit);

  if (gradient < 1)
    set_limit (limiter,
               limiter->limit * fmax (gradient, FQ_DECREASE_FACTOR_MIN) + headroom);
  else if (limiter->saturated && may_increase (limiter, now))
    set_limit (limiter, limiter->limit + fmax (headroom, 1));
}

static void
end_steady (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  double concurrency
      = limiter->in_flight_integral_us / (double)(now - limiter->epoch_start + 1);

  if (latency > FQ_LATENCY_JUMP * limiter->latency_us)
    limiter->latency_us = latency;
  else
    limiter->latency_us = smooth (limiter->latency_us, latency, FQ_LATENCY_WEIGHT);
  update_base (limiter, concurrency);
  if (probe_is_due (limiter, now))
    {
      begin_epoch (limiter, now, FQ_LIMITER_DRAIN);
      return;
    }
  else if (limiter->latency_us <= FQ_LATENCY_JUMP * limiter->base_latency_us)
    adjust_limit (limiter, now);
  begin_epoch (limiter, now, FQ_LIMITER_STEADY);
}

static void
end_ramp (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  limiter->latency_us = latency;
  if (limiter->base_latency_us == 0 || latency < limiter->base_latency_us)
    limiter->base_latency_us = latency;
  if (limiter->last_refusal > 0 || latency > FQ_LATENCY_JUMP * limiter->base_latency_us
      || limiter->limit >= limiter->announced_slots)
    {
      limiter->last_probe = 0;
      begin_epoch (limiter, now, FQ_LIMITER_STEADY);
      return;
    }
  if (limiter->saturated)
    set_limit (limiter, fmin (limiter->limit * 2, limiter->announced_slots));
  begin_epoch (limiter, now, FQ_LIMITER_RAMP);
}

/* The latency at half the limit becomes the new base. If the latency at the full limit is
 * much longer, the upstream has a queue and the limit is decreased. */
static void
end_probe (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  smooth_base (limiter, latency, FQ_BASE_WEIGHT);
  limiter->base_concurrency = limiter->limit / 2;
  limiter->last_probe = now;
  if (limiter->latency_us > FQ_LATENCY_JUMP * limiter->base_latency_us)
    {
      adjust_limit (limiter, now);
      limiter->latency_us = limiter->base_latency_us;
    }
  begin_epoch (limiter, now, FQ_LIMITER_STEADY);
}

static uint32_t
completions_required (const fq_limiter_t *limiter)
{
  if (limiter->phase == FQ_LIMITER_PROBE)
    return (uint32_t)fmax (FQ_PROBE_COMPLETIONS_MIN,
                           FQ_PROBE_COMPLETIONS_PER_LIMIT * limiter->limit);
  return (uint32_t)fmax (FQ_EPOCH_COMPLETIONS_MIN, limiter->limit);
}

static void
end_epoch (fq_limiter_t *limiter, fq_time_t now)
{
  double latency = limiter->in_flight_integral_us
                   / (limiter->completions == 0 ? 1 : limiter->completions);

  switch (limiter->phase)
    {
    case FQ_LIMITER_RAMP:
      end_ramp (limiter, now, latency);
      break;
    case FQ_LIMITER_STEADY:
      end_steady (limiter, now, latency);
      break;
    case FQ_LIMITER_PROBE:
      end_probe (limiter, now, latency);
      break;
    case FQ_LIMITER_DRAIN:
      break;
    }
}

/* Decreases the limit at most once in a service time, as refusals come in bursts. */
static void
handle_upstream_refusal (fq_limiter_t *limiter, fq_time_t now)
{
  limiter->last_refusal = now;
  if (limiter->refusal_limit > 0)
    return;
  limiter->refusal_limit = limiter->in_flight > 0 ? limiter->in_flight : 1;
  limiter->refusal_limit_until = now + (fq_time_t)limiter->service_us;
  set_limit (limiter, fmin (limiter->limit,
                            fmax (limiter->refusal_limit,
                                  limiter->limit * FQ_REFUSAL_DECREASE_FACTOR_MIN)));
}

/* A failed request that took longer than the mean service time counts too: it shows that
 * the service time has grown, though not by how much. */
static bool
is_sample (const fq_limiter_t *limiter, fq_time_t elapsed, fq_limiter_result_t result)
{
  return result == FQ_LIMITER_ANSWERED
         || (result == FQ_LIMITER_FAILED && (double)elapsed > limiter->service_us
             && limiter->service_us > 0);
}

void
fq_limiter_finish (fq_limiter_t *limiter,
                   fq_time_t now,
                   fq_time_t elapsed,
                   fq_limiter_result_t result)
{
  advance_time (limiter, now);
  limiter->in_flight--;
  if (is_sample (limiter, elapsed, result))
    {
      limiter->completions++;
      limiter->service_us
          = smooth (limiter->service_us, (double)elapsed, FQ_SERVICE_WEIGHT);
    }
  if (result == FQ_LIMITER_UPSTREAM_REFUSED)
    handle_upstream_refusal (limiter, now);
  if (limiter->phase == FQ_LIMITER_DRAIN)
    {
      if (limiter->in_flight <= fq_limiter_limit (limiter))
        begin_epoch (limiter, now, FQ_LIMITER_PROBE);
      return;
    }
  if (limiter->completions >= completions_required (limiter))
    end_epoch (limiter, now);
}
