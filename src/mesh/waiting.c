#include "mesh/waiting.h"

#include <stdlib.h>

#define FQ_FIRST_GUESS_US (100.0 * FQ_MICROSECONDS_PER_MS) /* before a run has ended */
#define FQ_INNER_WEIGHT 0.02 /* of the newest start, in the mean of calls under way */
#define FQ_INNER_RESERVE 1.3 /* times the mean of calls under way is kept for them */
#define FQ_INNER_RESERVE_MOST 0.6 /* of the room */
#define FQ_NEW_WORK_SHARE 0.1     /* of the room, before calls of running work */
#define FQ_MEAN_WEIGHT 0.1        /* of the newest run */

typedef struct
{
  double mean_us;
} route_time_t;

void
fq_gate_queue_init (fq_waiting_t *waiting)
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

uint32_t
fq_rank_outside (uint32_t priority)
{
  uint32_t rank = FQ_INNER_RANKS + priority;

  return rank < FQ_RANKS ? rank : FQ_RANKS - 1;
}

uint32_t
fq_rank_inner (uint32_t parent)
{
  uint32_t rank = parent < FQ_INNER_RANKS ? parent : parent - FQ_INNER_RANKS;

  return rank < FQ_INNER_RANKS ? rank : FQ_INNER_RANKS - 1;
}

/* The limit of a rank, or of the whole gate where that is lower. */
static uint32_t
limit_of (const fq_waiting_t *waiting, uint32_t rank)
{
  uint32_t limit = fq_pressure_limit (&waiting->pressure[rank]);

  return limit < waiting->limit ? limit : waiting->limit;
}

static uint32_t
inner_in_flight (const fq_waiting_t *waiting)
{
  uint32_t count = 0;

  for (int i = 0; i < FQ_INNER_RANKS; i++)
    count += waiting->rank_in_flight[i];
  return count;
}

/* Room that new work leaves free, since a short call that waits behind long work costs
 * the whole chain that it belongs to. */
static uint32_t
kept_free (const fq_waiting_t *waiting)
{
  double wanted = waiting->inner_mean * FQ_INNER_RESERVE;
  double most = waiting->limit * FQ_INNER_RESERVE_MOST;
  uint32_t reserve = (uint32_t)(wanted < most ? wanted : most);
  uint32_t used = inner_in_flight (waiting);

  return reserve > used ? reserve - used : 0;
}

static bool
has_room (const fq_waiting_t *waiting, uint32_t rank)
{
  uint32_t kept = rank < FQ_INNER_RANKS ? 0 : kept_free (waiting);

  return waiting->in_flight + kept < waiting->limit
         && waiting->rank_in_flight[rank] < limit_of (waiting, rank);
}

bool
fq_waiting_may_start (const fq_waiting_t *waiting, uint32_t rank)
{
  if (!has_room (waiting, rank) || !fq_list_is_empty (&waiting->ranks[rank]))
    return false;
  for (uint32_t i = 0; i < rank; i++)
    {
      if (!fq_list_is_empty (&waiting->ranks[i]) && has_room (waiting, i))
        return false;
    }
  return true;
}

fq_time_t
fq_waiting_time (const fq_waiting_t *waiting, uint32_t rank)
{
  uint32_t limit = limit_of (waiting, rank);
  fq_time_t ahead = waiting->queued_us[rank];

  if (limit == 0 || fq_waiting_may_start (waiting, rank))
    return 0;
  /* What runs is half done on average, and the first to end makes room. */
  ahead = ahead / limit + waiting->in_flight_us / 2 / waiting->limit / waiting->limit;
  for (uint32_t i = 0; i < rank; i++)
    ahead += waiting->queued_us[i] / waiting->limit;
  return ahead;
}

void
fq_waiting_push (fq_waiting_t *waiting, fq_waiting_entry_t *entry)
{
  entry->expected_us = fq_waiting_expect (waiting, entry->route);
  waiting->queued++;
  waiting->queued_us[entry->rank] += entry->expected_us;
  fq_list_append (&waiting->ranks[entry->rank], &entry->link);
}

static fq_waiting_entry_t *
first_of (const fq_waiting_t *waiting, uint32_t from, uint32_t to)
{
  for (uint32_t i = from; i < to; i++)
    {
      fq_list_t *link = fq_list_first (&waiting->ranks[i]);

      if (link != NULL && has_room (waiting, i))
        return FQ_LIST_ENTRY (link, fq_waiting_entry_t, link);
    }
  return NULL;
}

/* Calls of running work go first, but do not take all: work that begins here would else
 * end for good while services above send as much as they like. */
static bool
new_work_has_turn (const fq_waiting_t *waiting)
{
  uint32_t in_flight = 0;

  for (uint32_t i = FQ_INNER_RANKS; i < FQ_RANKS; i++)
    in_flight += waiting->rank_in_flight[i];
  return in_flight < waiting->limit * FQ_NEW_WORK_SHARE;
}

fq_waiting_entry_t *
fq_waiting_next (const fq_waiting_t *waiting)
{
  fq_waiting_entry_t *entry = NULL;

  if (new_work_has_turn (waiting))
    entry = first_of (waiting, FQ_INNER_RANKS, FQ_RANKS);
  return entry != NULL ? entry : first_of (waiting, 0, FQ_RANKS);
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
  waiting->rank_in_flight[entry->rank]++;
  waiting->in_flight_us += entry->expected_us;
  waiting->inner_mean
      += (inner_in_flight (waiting) - waiting->inner_mean) * FQ_INNER_WEIGHT;
  fq_pressure_started (&waiting->pressure[entry->rank],
                       waiting->rank_in_flight[entry->rank]);
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
  waiting->rank_in_flight[entry->rank]--;
  waiting->in_flight_us -= entry->expected_us;
  if (took > 0)
    learn (waiting, entry->route, took);
}

uint32_t
fq_waiting_rank_limit (const fq_waiting_t *waiting, uint32_t rank)
{
  uint32_t limit = fq_pressure_limit (&waiting->pressure[rank]);

  return limit == FQ_PRESSURE_NO_LIMIT ? 0 : limit;
}

/* Calls of work that runs are never held back: the work itself was let in too early. */
void
fq_waiting_learn (
    fq_waiting_t *waiting, fq_time_t now, fq_time_t started, uint32_t rank, bool starved)
{
  if (rank >= FQ_INNER_RANKS)
    fq_pressure_ended (&waiting->pressure[rank], now, started, starved);
}
