#include "util/pressure.h"

#define FQ_EPOCH_US (300 * FQ_MICROSECONDS_PER_MS) /* about one time through a chain */
#define FQ_EPOCH_ENDED_MIN 3
#define FQ_STARVED_SHARE 0.08 /* above which the limit falls */
#define FQ_CUT_PER_SHARE 0.6  /* the limit falls by this part of the starved share */
#define FQ_GROWTH 0.1         /* while some starve */
#define FQ_GROWTH_FREE 0.25   /* while none does */
#define FQ_GROWTH_LEAST 1.0
#define FQ_LIMIT_LEAST 1.0
#define FQ_LIMIT_LIFTED 400.0 /* a limit above this is none */

void
fq_pressure_started (fq_pressure_t *pressure, uint32_t in_flight)
{
  if (in_flight > pressure->most)
    pressure->most = in_flight;
}

static void
cut (fq_pressure_t *pressure, double share)
{
  double base = pressure->limit == 0 || pressure->most < pressure->limit
                    ? pressure->most
                    : pressure->limit;

  pressure->limit = base * (1 - FQ_CUT_PER_SHARE * share);
  if (pressure->limit < FQ_LIMIT_LEAST)
    pressure->limit = FQ_LIMIT_LEAST;
}

/* A limit that was not reached says nothing about whether more would be too much. */
static void
grow (fq_pressure_t *pressure)
{
  double growth = pressure->limit * (pressure->starved == 0 ? FQ_GROWTH_FREE : FQ_GROWTH);

  if (pressure->limit == 0 || pressure->most + 1 < pressure->limit)
    return;
  pressure->limit += growth > FQ_GROWTH_LEAST ? growth : FQ_GROWTH_LEAST;
  if (pressure->limit > FQ_LIMIT_LIFTED)
    pressure->limit = 0;
}

void
fq_pressure_ended (fq_pressure_t *pressure,
                   fq_time_t now,
                   fq_time_t started,
                   bool starved)
{
  double share;

  if (started < pressure->cut_at)
    return;
  pressure->ended++;
  pressure->starved += starved ? 1 : 0;
  if (now - pressure->epoch_start < FQ_EPOCH_US || pressure->ended < FQ_EPOCH_ENDED_MIN)
    return;
  share = (double)pressure->starved / pressure->ended;
  if (share > FQ_STARVED_SHARE)
    {
      cut (pressure, share);
      pressure->cut_at = now;
    }
  else
    grow (pressure);
  pressure->epoch_start = now;
  pressure->ended = 0;
  pressure->starved = 0;
  pressure->most = 0;
}

uint32_t
fq_pressure_limit (const fq_pressure_t *pressure)
{
  return pressure->limit == 0 ? FQ_PRESSURE_NO_LIMIT : (uint32_t)pressure->limit;
}
