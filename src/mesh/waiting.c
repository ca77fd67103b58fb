#include "mesh/waiting.h"

#include <stdlib.h>

#define FQ_FIRST_GUESS_US (100.0 * FQ_MICROSECONDS_PER_MS) /* before a run has ended */
#define FQ_MEAN_WEIGHT 0.1                                 /* of the newest run */

typedef struct
{
  double mean_us;
} route_time_t;

void
fq_waiting_init (fq_waiting_t *waiting)
{
  *waiting = (fq_waiting_t){ .mean_us = FQ_FIRST_GUESS_US };
  for (int i = 0; i < FQ_RANKS; i++)
    fq_list_init (&waiting->ranks[i]);
}

void
fq_waiting_clear (fq_waiting_t *waiting)
{
  size_t cursor = 0;
  void *time;

  while ((time = fq_map_next (&waiting->times, &cursor)) != NULL)
    free (time);
  fq_map_clear (&waiting->times);
}

fq_time_t
fq_waiting_expect (const fq_waiting_t *waiting, uint64_t route)
{
  const route_time_t *time = fq_map_get (&waiting->times, route);

  return (fq_time_t)(time == NULL ? waiting->mean_us : time->mean_us);
}

bool
fq_waiting_has_room (const fq_waiting_t *waiting)
{
  return waiting->in_flight < waiting->limit;
}

fq_time_t
fq_waiting_time (const fq_waiting_t *waiting, uint32_t rank)
{
  fq_time_t ahead = 0;

  if (waiting->limit == 0 || (fq_waiting_has_room (waiting) && waiting->queued == 0))
    return 0;
  for (uint32_t i = 0; i <= rank; i++)
    ahead += waiting->queued_us[i];
  /* What runs is half done on average, and the first to end makes room. */
  return ahead / waiting->limit
         + waiting->in_flight_us / 2 / waiting->limit / waiting->limit;
}

void
fq_waiting_push (fq_waiting_t *waiting, fq_waiting_entry_t *entry)
{
  entry->expected_us = fq_waiting_expect (waiting, entry->route);
  waiting->queued++;
  waiting->queued_us[entry->rank] += entry->expected_us;
  fq_list_append (&waiting->ranks[entry->rank], &entry->link);
}

fq_waiting_entry_t *
fq_waiting_next (const fq_waiting_t *waiting)
{
  for (int i = 0; i < FQ_RANKS; i++)
    {
      fq_list_t *link = fq_list_first (&waiting->ranks[i]);

      if (link != NULL)
        return FQ_LIST_ENTRY (link, fq_waiting_entry_t, link);
    }
  return NULL;
}

void
fq_waiting_remove (fq_waiting_t *waiting, fq_waiting_entry_t *entry)
{
  waiting->queued--;
  waiting->queued_us[entry->rank] -= entry->expected_us;
  fq_list_remove (&entry->link);
}

void
fq_waiting_start (fq_waiting_t *waiting, fq_waiting_entry_t *entry)
{
  entry->expected_us = fq_waiting_expect (waiting, entry->route);
  waiting->in_flight++;
  waiting->in_flight_us += entry->expected_us;
}

static void
learn (fq_waiting_t *waiting, uint64_t route, fq_time_t took)
{
  route_time_t *time = fq_map_get (&waiting->times, route);

  waiting->mean_us += ((double)took - waiting->mean_us) * FQ_MEAN_WEIGHT;
  if (time == NULL)
    {
      time = calloc (1, sizeof *time);
      if (time == NULL || fq_map_set (&waiting->times, route, time) < 0)
        abort ();
      time->mean_us = (double)took;
    }
  time->mean_us += ((double)took - time->mean_us) * FQ_MEAN_WEIGHT;
}

void
fq_waiting_end (fq_waiting_t *waiting, fq_waiting_entry_t *entry, fq_time_t took)
{
  waiting->in_flight--;
  waiting->in_flight_us -= entry->expected_us;
  if (took > 0)
    learn (waiting, entry->route, took);
}
