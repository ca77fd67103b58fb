#include "core/admission/limiter.h"

#include <math.h>

#define FQ_EPOCH_COMPLETIONS_MIN 16
#define FQ_PROBE_COMPLETIONS_MIN 24
#define FQ_PROBE_EPOCHS 1.5          /* completions of a probe, in limits */
#define FQ_PROBE_PERIOD_LATENCIES 80 /* between probes while the limit binds */
#define FQ_PROBE_PERIOD_MIN_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_PROBE_GAP_LATENCIES 4   /* between probes that a jump in latency asks for */
#define FQ_LATENCY_TOLERANCE 1.1   /* latency over base that is taken for noise */
#define FQ_LATENCY_JUMP 1.5        /* latency over base that asks for a probe at once */
#define FQ_CUT_MAX 0.5             /* least factor of one epoch */
#define FQ_SHED_CUT_MAX 0.7        /* least factor of one refusal by the upstream */
#define FQ_SHED_QUIET_LATENCIES 10 /* without a refusal before the limit grows again */
#define FQ_HEADROOM 0.5            /* of the root of the limit, to keep slots busy */
#define FQ_BASE_WEIGHT 0.3
#define FQ_BASE_FALL_WEIGHT                                                              \
  0.1 /* of a latency at the full limit that is below the base */
#define FQ_BASE_REACH                                                                    \
  1.5 /* times base_at; a limit below it can't have caused a queue                       \
       */
#define FQ_LATENCY_WEIGHT 0.3
#define FQ_SERVICE_WEIGHT (1.0 / 16)
#define FQ_RAMP_START 4   /* the announced slots are divided by it */
#define FQ_IDLE_SHARE 0.6 /* of the limit; below it the upstream has no queue */

static void
begin_epoch (fq_limiter_t *limiter, fq_time_t now, fq_limiter_phase_t phase)
{
  limiter->phase = phase;
  limiter->epoch_start = now;
  limiter->changed = now;
  limiter->busy_us = 0;
  limiter->completions = 0;
  limiter->saturated = false;
}

void
fq_limiter_announce (fq_limiter_t *limiter,
                     fq_time_t now,
                     uint32_t slots,
                     uint32_t connections)
{
  limiter->announced = slots < connections ? slots : connections;
  limiter->ceiling = slots == 0 ? 0 : connections;
  limiter->limit = fmax (1, (double)limiter->announced / FQ_RAMP_START);
  limiter->base_us = 0;
  limiter->base_at = 0;
  limiter->latency_us = 0;
  limiter->service_us = 0;
  limiter->probed = now;
  limiter->held = 0;
  limiter->shed = 0;
  begin_epoch (limiter, now, FQ_LIMITER_RAMP);
}

uint32_t
fq_limiter_full_limit (const fq_limiter_t *limiter)
{
  uint32_t limit = limiter->limit < 1 ? 1 : (uint32_t)limiter->limit;

  if (limiter->ceiling == 0)
    return 0;
  return limiter->cap > 0 && limiter->cap < limit ? limiter->cap : limit;
}

uint32_t
fq_limiter_limit (const fq_limiter_t *limiter)
{
  uint32_t limit = fq_limiter_full_limit (limiter);

  if (limiter->held > 0 && limiter->held < limit)
    limit = limiter->held;
  if (limiter->phase == FQ_LIMITER_DRAIN || limiter->phase == FQ_LIMITER_PROBE)
    return (limit + 1) / 2;
  return limit;
}

void
fq_limiter_wait (fq_limiter_t *limiter)
{
  limiter->saturated = true;
}

static void
advance (fq_limiter_t *limiter, fq_time_t now)
{
  limiter->busy_us += (double)limiter->in_flight * (double)(now - limiter->changed);
  limiter->changed = now;
  if (now >= limiter->held_until)
    limiter->held = 0;
}

void
fq_limiter_start (fq_limiter_t *limiter, fq_time_t now)
{
  advance (limiter, now);
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
  limiter->limit = fmin (fmax (limit, 1), limiter->ceiling);
}

/* A base that is far off says that the upstream changed: the old one is worth nothing. */
static void
set_base (fq_limiter_t *limiter, double sample, double weight)
{
  double ratio = limiter->base_us == 0 ? 0 : sample / limiter->base_us;

  if (ratio > FQ_LATENCY_JUMP || ratio < 1 / FQ_LATENCY_JUMP)
    limiter->base_us = sample;
  else
    limiter->base_us = smooth (limiter->base_us, sample, weight);
}

/* Without this a base that was measured too low would cut the limit for ever, since no
 * cut brings the latency down to it. */
static void
correct_base (fq_limiter_t *limiter, double concurrency)
{
  if (concurrency < FQ_IDLE_SHARE * limiter->limit)
    {
      set_base (limiter, limiter->latency_us, FQ_BASE_WEIGHT);
      limiter->base_at = concurrency;
    }
  else if (limiter->latency_us < limiter->base_us || limiter->base_us == 0)
    set_base (limiter, limiter->latency_us, FQ_BASE_FALL_WEIGHT);
  else if (limiter->limit < FQ_BASE_REACH * limiter->base_at)
    set_base (limiter, limiter->latency_us, FQ_BASE_WEIGHT);
}

static bool
probe_is_due (const fq_limiter_t *limiter, fq_time_t now)
{
  double since = (double)(now - limiter->probed);
  double latency = limiter->latency_us;

  if (limiter->limit < 2)
    return false;
  if (latency > FQ_LATENCY_JUMP * limiter->base_us)
    return since > FQ_PROBE_GAP_LATENCIES * latency;
  return limiter->saturated && since > FQ_PROBE_PERIOD_MIN_US
         && since > FQ_PROBE_PERIOD_LATENCIES * latency;
}

static bool
may_grow (const fq_limiter_t *limiter, fq_time_t now)
{
  return limiter->shed == 0
         || (double)(now - limiter->shed) > FQ_SHED_QUIET_LATENCIES * limiter->service_us;
}

static void
follow_latency (fq_limiter_t *limiter, fq_time_t now)
{
  double gradient = FQ_LATENCY_TOLERANCE * limiter->base_us / limiter->latency_us;
  double headroom = FQ_HEADROOM * sqrt (limiter->limit);

  if (gradient < 1)
    set_limit (limiter, limiter->limit * fmax (gradient, FQ_CUT_MAX) + headroom);
  else if (limiter->saturated && may_grow (limiter, now))
    set_limit (limiter, limiter->limit + fmax (headroom, 1));
}

static void
end_steady (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  double concurrency = limiter->busy_us / (double)(now - limiter->epoch_start + 1);

  if (latency > FQ_LATENCY_JUMP * limiter->latency_us)
    limiter->latency_us = latency;
  else
    limiter->latency_us = smooth (limiter->latency_us, latency, FQ_LATENCY_WEIGHT);
  correct_base (limiter, concurrency);
  if (probe_is_due (limiter, now))
    {
      begin_epoch (limiter, now, FQ_LIMITER_DRAIN);
      return;
    }
  else if (limiter->latency_us <= FQ_LATENCY_JUMP * limiter->base_us)
    follow_latency (limiter, now);
  begin_epoch (limiter, now, FQ_LIMITER_STEADY);
}

static void
end_ramp (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  limiter->latency_us = latency;
  if (limiter->base_us == 0 || latency < limiter->base_us)
    limiter->base_us = latency;
  if (limiter->shed > 0 || latency > FQ_LATENCY_JUMP * limiter->base_us
      || limiter->limit >= limiter->announced)
    {
      limiter->probed = 0;
      begin_epoch (limiter, now, FQ_LIMITER_STEADY);
      return;
    }
  if (limiter->saturated)
    set_limit (limiter, fmin (limiter->limit * 2, limiter->announced));
  begin_epoch (limiter, now, FQ_LIMITER_RAMP);
}

/* What half the concurrency takes is the new base; a queue shows as a longer time at
 * the full limit. */
static void
end_probe (fq_limiter_t *limiter, fq_time_t now, double latency)
{
  set_base (limiter, latency, FQ_BASE_WEIGHT);
  limiter->base_at = limiter->limit / 2;
  limiter->probed = now;
  if (limiter->latency_us > FQ_LATENCY_JUMP * limiter->base_us)
    {
      follow_latency (limiter, now);
      limiter->latency_us = limiter->base_us;
    }
  begin_epoch (limiter, now, FQ_LIMITER_STEADY);
}

static uint32_t
completions_wanted (const fq_limiter_t *limiter)
{
  if (limiter->phase == FQ_LIMITER_PROBE)
    return (uint32_t)fmax (FQ_PROBE_COMPLETIONS_MIN, FQ_PROBE_EPOCHS * limiter->limit);
  return (uint32_t)fmax (FQ_EPOCH_COMPLETIONS_MIN, limiter->limit);
}

static void
end_epoch (fq_limiter_t *limiter, fq_time_t now)
{
  double latency
      = limiter->busy_us / (limiter->completions == 0 ? 1 : limiter->completions);

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

/* Cuts once in a service time, as refusals come in bursts. */
static void
take_shed (fq_limiter_t *limiter, fq_time_t now)
{
  limiter->shed = now;
  if (limiter->held > 0)
    return;
  limiter->held = limiter->in_flight > 0 ? limiter->in_flight : 1;
  limiter->held_until = now + (fq_time_t)limiter->service_us;
  set_limit (limiter, fmin (limiter->limit,
                            fmax (limiter->held, limiter->limit * FQ_SHED_CUT_MAX)));
}

/* A request that was given up after more than the usual time tells that the usual time
 * has grown, though it is not known to what. */
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
  advance (limiter, now);
  limiter->in_flight--;
  if (is_sample (limiter, elapsed, result))
    {
      limiter->completions++;
      limiter->service_us
          = smooth (limiter->service_us, (double)elapsed, FQ_SERVICE_WEIGHT);
    }
  if (result == FQ_LIMITER_SHED)
    take_shed (limiter, now);
  if (limiter->phase == FQ_LIMITER_DRAIN)
    {
      if (limiter->in_flight <= fq_limiter_limit (limiter))
        begin_epoch (limiter, now, FQ_LIMITER_PROBE);
      return;
    }
  if (limiter->completions >= completions_wanted (limiter))
    end_epoch (limiter, now);
}
