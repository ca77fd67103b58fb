#include "util/timers.h"

#include <stdlib.h>

#define FQ_TIMERS_INITIAL_CAPACITY 64

static void
set_at (fq_timers_t *timers, size_t position, fq_timer_entry_t *entry)
{
  timers->heap[position - 1] = entry;
  entry->position = position;
}

static fq_timer_entry_t *
get_at (const fq_timers_t *timers, size_t position)
{
  return timers->heap[position - 1];
}

static void
sift_up (fq_timers_t *timers, fq_timer_entry_t *entry)
{
  size_t position = entry->position;

  while (position > 1 && get_at (timers, position / 2)->when > entry->when)
    {
      set_at (timers, position, get_at (timers, position / 2));
      position /= 2;
    }
  set_at (timers, position, entry);
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
          && get_at (timers, child + 1)->when < get_at (timers, child)->when)
        child++;
      if (get_at (timers, child)->when >= entry->when)
        break;
      set_at (timers, position, get_at (timers, child));
      position = child;
    }
  set_at (timers, position, entry);
}

void
fq_timers_arm (fq_timers_t *timers, fq_timer_entry_t *entry, fq_time_t when)
{
  fq_timers_cancel (timers, entry);
  if (timers->count == timers->capacity)
    {
      size_t capacity
          = timers->capacity == 0 ? FQ_TIMERS_INITIAL_CAPACITY : timers->capacity * 2;
      fq_timer_entry_t **grown = realloc (timers->heap, capacity * sizeof (void *));

      if (grown == NULL)
        abort ();
      timers->heap = grown;
      timers->capacity = capacity;
    }
  entry->when = when;
  timers->count++;
  set_at (timers, timers->count, entry);
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
  last = get_at (timers, timers->count);
  timers->count--;
  if (last == entry)
    return;
  set_at (timers, position, last);
  sift_up (timers, last);
  sift_down (timers, last);
}

fq_timer_entry_t *
fq_timers_pop (fq_timers_t *timers, fq_time_t now)
{
  fq_timer_entry_t *first;

  if (timers->count == 0)
    return NULL;
  first = get_at (timers, 1);
  if (first->when > now)
    return NULL;
  fq_timers_cancel (timers, first);
  return first;
}

fq_time_t
fq_timers_next (const fq_timers_t *timers)
{
  return timers->count == 0 ? FQ_TIMERS_NEVER : get_at (timers, 1)->when;
}

void
fq_timers_clear (fq_timers_t *timers)
{
  free (timers->heap);
  *timers = (fq_timers_t){ 0 };
}
