#include "core/admission/shed.h"

#include <math.h>
#include <xxhash.h>

#define FQ_SHED_INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_SHED_INTERVALS_MAX 32 /* intervals that are ended one by one after a pause */
/* Share of refusals in an interval up to which the level is not raised. */
#define FQ_SHED_TOLERATED_REFUSALS 0.05
/* At the end of an interval with more refusals the admitted share of a class is
 * multiplied by 1 - FQ_SHED_GAIN * share of refusals. */
#define FQ_SHED_GAIN 0.55
/* Added to the admitted share at the end of an interval without refusals. */
#define FQ_SHED_RECOVERY_STEP 0.04
/* Admitted share up to which a class counts as shed completely. */
#define FQ_SHED_ALL_BELOW 0.05
#define FQ_PERCENT 100
#define FQ_RETRY_AFTER_BASE_MS 500
#define FQ_RETRY_AFTER_GROWTH_MS                                                         \
  1500 /* added when all of a class is shed; less in proportion */

void
fq_shed_init (fq_shed_t *shed, fq_time_t now)
{
  *shed = (fq_shed_t){ .interval_start = now };
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    shed->admitted_share[i] = 1;
}

static void
end_interval_of_class (fq_shed_t *shed, int request_class)
{
  double *admitted_share = &shed->admitted_share[request_class];
  uint32_t offered = shed->offered[request_class];
  double share = offered == 0 ? 0 : shed->refused[request_class] / (double)offered;

  if (share > 1)
    share = 1;
  if (share > FQ_SHED_TOLERATED_REFUSALS)
    *admitted_share *= 1 - FQ_SHED_GAIN * share;
  else if (share == 0)
    *admitted_share += FQ_SHED_RECOVERY_STEP;
  if (*admitted_share > 1)
    *admitted_share = 1;
  shed->offered[request_class] = 0;
  shed->refused[request_class] = 0;
}

static void
end_elapsed_intervals (fq_shed_t *shed, fq_time_t now)
{
  for (int i = 0; i < FQ_SHED_INTERVALS_MAX; i++)
    {
      if (now - shed->interval_start < FQ_SHED_INTERVAL_US)
        return;
      for (int c = 0; c < FQ_CLASS_COUNT; c++)
        end_interval_of_class (shed, c);
      shed->interval_start += FQ_SHED_INTERVAL_US;
    }
  shed->interval_start = now;
}

/* Requests that the current level sheds say nothing about the next level: they were
 * admitted under an earlier level and are refused only after a wait. */
static bool
is_shed_already (const fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id)
{
  fq_load_t level;

  fq_shed_level (shed, &level);
  return fq_shed_sheds_chain (&level, request_class, chain_id);
}

void
fq_shed_record_offer (fq_shed_t *shed,
                      fq_time_t now,
                      fq_class_t request_class,
                      uint64_t chain_id)
{
  end_elapsed_intervals (shed, now);
  if (!is_shed_already (shed, request_class, chain_id))
    shed->offered[request_class]++;
}

void
fq_shed_record_refusal (fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id)
{
  if (!is_shed_already (shed, request_class, chain_id))
    shed->refused[request_class]++;
}

/* A class is shed only when all less important classes are shed completely. */
void
fq_shed_level (const fq_shed_t *shed, fq_load_t *out)
{
  int shed_class = FQ_CLASS_COUNT;

  out->shed_percent = 0;
  for (int i = FQ_CLASS_COUNT - 1; i >= 0; i--)
    {
      if (shed->admitted_share[i] >= 1)
        break;
      shed_class = i;
      out->shed_percent = (uint8_t)((1 - shed->admitted_share[i]) * FQ_PERCENT);
      if (shed->admitted_share[i] > FQ_SHED_ALL_BELOW)
        break;
    }
  out->shed_class = (uint8_t)shed_class;
}

bool
fq_shed_sheds_chain (const fq_load_t *level, fq_class_t request_class, uint64_t chain_id)
{
  if (level->shed_class >= FQ_CLASS_COUNT || (int)request_class < level->shed_class)
    return false;
  if ((int)request_class > level->shed_class)
    return true;
  return XXH3_64bits (&chain_id, sizeof chain_id) % FQ_PERCENT < level->shed_percent;
}

double
fq_shed_to_classes (const fq_load_t *level)
{
  if (level->shed_class >= FQ_CLASS_COUNT)
    return 0;
  return FQ_CLASS_COUNT - 1 - level->shed_class
         + level->shed_percent / (double)FQ_PERCENT;
}

void
fq_shed_from_classes (fq_load_t *out, double classes)
{
  double whole = floor (classes);

  out->shed_class = FQ_CLASS_COUNT;
  out->shed_percent = 0;
  if (classes <= 0)
    return;
  if (whole >= FQ_CLASS_COUNT)
    whole = FQ_CLASS_COUNT - 1;
  out->shed_class = (uint8_t)(FQ_CLASS_COUNT - 1 - whole);
  out->shed_percent = (uint8_t)(FQ_PERCENT * (classes - whole));
}

static uint32_t
shed_percent_of_class (const fq_load_t *level, fq_class_t request_class)
{
  if (level->shed_class >= FQ_CLASS_COUNT || (int)request_class < level->shed_class)
    return 0;
  return (int)request_class > level->shed_class ? FQ_PERCENT : level->shed_percent;
}

uint32_t
fq_shed_retry_after_ms (const fq_load_t *level,
                        fq_class_t request_class,
                        fq_random_t *random)
{
  uint32_t base = FQ_RETRY_AFTER_BASE_MS
                  + FQ_RETRY_AFTER_GROWTH_MS
                        * shed_percent_of_class (level, request_class) / FQ_PERCENT;

  return base + (uint32_t)fq_random_below (random, base);
}
