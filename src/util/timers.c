#include "util/timers.h"

#include <stdlib.h>

#define FQ_TIMERS_FIRST_CAPACITY 64

static void
place (fq_timers_t *timers, size_t position, fq_timer_entry_t *entry)
{
  timers->heap[position - 1] = entry;
  entry->position = position;
}

static fq_timer_entry_t *
at (const fq_timers_t *timers, size_t position)
{
  return timers->heap[position - 1];
}

static void
sift_up (fq_timers_t *timers, fq_timer_entry_t *entry)
{
  size_t position = entry->position;

  while (position > 1 && at (timers, position / 2)->when > entry->when)
    {
      place (timers, position, at (timers, position / 2));
      position /= 2;
    }
  place (timers, position, entry);
}

static void
sift_down (fq_timers_t *timers, fq_timer_entry_t *entry)
{
  size_t position = entry->position;

  for (;;)
    {
      size_t child = position * 2;

      if (child > timers->count)
        break;
      if (child < timers->count
          && at (timers, child + 1)->when < at (timers, child)->when)
        child++;
      if (at (timers, child)->when >= entry->when)
        break;
      place (timers, position, at (timers, child));
      position = child;
    }
  place (timers, position, entry);
}

void
fq_timers_arm (fq_timers_t *timers, fq_timer_entry_t *entry, fq_time_t when)
{
  fq_timers_cancel (timers, entry);
  if (timers->count == timers->capacity)
    {
      size_t capacity
          = timers->capacity == 0 ? FQ_TIMERS_FIRST_CAPACITY : timers->capacity * 2;
      fq_timer_entry_t **grown = realloc (timers->heap, capacity * sizeof (void *));

      if (grown == NULL)
        abort ();
      timers->heap = grown;
      timers->capacity = capacity;
    }
  entry->when = when;
  timers->count++;
  place (timers, timers->count, entry);
  sift_up (timers, entry);
}

void
fq_timers_cancel (fq_timers_t *timers, fq_timer_entry_t *entry)
{
  size_t position = entry->position;
  fq_timer_entry_t *last;

  if (position == 0)
    return;
  entry->position = 0;
  last = at (timers, timers->count);
  timers->count--;
  if (last == entry)
    return;
  place (timers, position, last);
  sift_up (timers, last);
  sift_down (timers, last);
}

fq_timer_entry_t *
fq_timers_pop (fq_timers_t *timers, fq_time_t now)
{
  fq_timer_entry_t *first;

  if (timers->count == 0)
    return NULL;
  first = at (timers, 1);
  if (first->when > now)
    return NULL;
  fq_timers_cancel (timers, first);
  return first;
}

fq_time_t
fq_timers_next (const fq_timers_t *timers)
{
  return timers->count == 0 ? FQ_TIMERS_NEVER : at (timers, 1)->when;
}

void
fq_timers_clear (fq_timers_t *timers)
{
  free (timers->heap);
  *timers = (fq_timers_t){ 0 };
}
