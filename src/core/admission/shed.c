#include "core/admission/shed.h"

#include <math.h>
#include <xxhash.h>

#define FQ_SHED_INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_SHED_CATCH_UP_MAX 32 /* quiet intervals that are worked off at once */
#define FQ_SHED_TOLERATED 0.05  /* share of refusals that leaves the level as it is */
#define FQ_SHED_GAIN 0.55
#define FQ_SHED_REGROWTH 0.04
#define FQ_SHED_WHOLE 0.05 /* kept share below which a class counts as shed whole */
#define FQ_PERCENT 100
#define FQ_RETRY_AFTER_BASE_MS 500
#define FQ_RETRY_AFTER_GROWTH_MS 1500 /* added when all of a class is shed */

void
fq_shed_init (fq_shed_t *shed, fq_time_t now)
{
  *shed = (fq_shed_t){ .interval_start = now };
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    shed->keep[i] = 1;
}

static void
end_interval_of_class (fq_shed_t *shed, int request_class)
{
  double *keep = &shed->keep[request_class];
  uint32_t offered = shed->offered[request_class];
  double share = offered == 0 ? 0 : shed->refused[request_class] / (double)offered;

  if (share > 1)
    share = 1;
  if (share > FQ_SHED_TOLERATED)
    *keep *= 1 - FQ_SHED_GAIN * share;
  else if (share == 0)
    *keep += FQ_SHED_REGROWTH;
  if (*keep > 1)
    *keep = 1;
  shed->offered[request_class] = 0;
  shed->refused[request_class] = 0;
}

static void
catch_up (fq_shed_t *shed, fq_time_t now)
{
  for (int i = 0; i < FQ_SHED_CATCH_UP_MAX; i++)
    {
      if (now - shed->interval_start < FQ_SHED_INTERVAL_US)
        return;
      for (int c = 0; c < FQ_CLASS_COUNT; c++)
        end_interval_of_class (shed, c);
      shed->interval_start += FQ_SHED_INTERVAL_US;
    }
  shed->interval_start = now;
}

/* What the present level sheds already says nothing of what it should become: such
 * requests came in under an earlier level, and their refusals follow a wait. */
static bool
is_shed_already (const fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id)
{
  fq_load_t level;

  fq_shed_level (shed, &level);
  return fq_shed_sheds_chain (&level, request_class, chain_id);
}

void
fq_shed_offered (fq_shed_t *shed,
                 fq_time_t now,
                 fq_class_t request_class,
                 uint64_t chain_id)
{
  catch_up (shed, now);
  if (!is_shed_already (shed, request_class, chain_id))
    shed->offered[request_class]++;
}

void
fq_shed_refused (fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id)
{
  if (!is_shed_already (shed, request_class, chain_id))
    shed->refused[request_class]++;
}

/* A class is shed only when all below it are shed whole. */
void
fq_shed_level (const fq_shed_t *shed, fq_load_t *out)
{
  int shed_class = FQ_CLASS_COUNT;

  out->shed_percent = 0;
  for (int i = FQ_CLASS_COUNT - 1; i >= 0; i--)
    {
      if (shed->keep[i] >= 1)
        break;
      shed_class = i;
      out->shed_percent = (uint8_t)((1 - shed->keep[i]) * FQ_PERCENT);
      if (shed->keep[i] > FQ_SHED_WHOLE)
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
fq_shed_classes (const fq_load_t *level)
{
  if (level->shed_class >= FQ_CLASS_COUNT)
    return 0;
  return FQ_CLASS_COUNT - 1 - level->shed_class
         + level->shed_percent / (double)FQ_PERCENT;
}

void
fq_shed_set_classes (fq_load_t *out, double classes)
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
percent_of_class (const fq_load_t *level, fq_class_t request_class)
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
  uint32_t base
      = FQ_RETRY_AFTER_BASE_MS
        + FQ_RETRY_AFTER_GROWTH_MS * percent_of_class (level, request_class) / FQ_PERCENT;

  return base + (uint32_t)fq_random_below (random, base);
}
