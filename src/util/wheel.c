#include "util/wheel.h"

static int64_t
granule_of (fq_time_t when)
{
  return when / FQ_WHEEL_GRANULE_US;
}

void
fq_wheel_init (fq_wheel_t *wheel, fq_time_t now)
{
  for (int i = 0; i < FQ_WHEEL_SLOTS; i++)
    fq_list_init (&wheel->slots[i]);
  fq_list_init (&wheel->due);
  wheel->granule = granule_of (now);
}

void
fq_timer_init (fq_timer_t *timer, int kind)
{
  fq_list_init (&timer->link);
  timer->when = 0;
  timer->kind = kind;
}

void
fq_wheel_arm (fq_wheel_t *wheel, fq_timer_t *timer, fq_time_t when)
{
  int64_t granule = granule_of (when) + 1;

  fq_list_remove (&timer->link);
  timer->when = when;
  if (granule <= wheel->granule)
    granule = wheel->granule + 1;
  fq_list_append (&wheel->slots[granule % FQ_WHEEL_SLOTS], &timer->link);
}

void
fq_timer_cancel (fq_timer_t *timer)
{
  fq_list_remove (&timer->link);
}

static void
collect_slot (fq_wheel_t *wheel, fq_list_t *slot, fq_time_t now)
{
  FQ_LIST_FOREACH_SAFE (link, following, slot)
  {
    fq_timer_t *timer = FQ_LIST_ENTRY (link, fq_timer_t, link);

    if (timer->when > now)
      continue;
    fq_list_remove (&timer->link);
    fq_list_append (&wheel->due, &timer->link);
  }
}

void
fq_wheel_advance (fq_wheel_t *wheel, fq_time_t now)
{
  int64_t target = granule_of (now);
  int64_t steps = target - wheel->granule;

  if (steps > FQ_WHEEL_SLOTS)
    steps = FQ_WHEEL_SLOTS;
  for (int64_t i = 0; i < steps; i++)
    collect_slot (wheel, &wheel->slots[(target - i) % FQ_WHEEL_SLOTS], now);
  if (target > wheel->granule)
    wheel->granule = target;
}

fq_timer_t *
fq_wheel_pop (fq_wheel_t *wheel)
{
  fq_list_t *link = fq_list_first (&wheel->due);

  if (link == NULL)
    return NULL;
  fq_list_remove (link);
  return FQ_LIST_ENTRY (link, fq_timer_t, link);
}
