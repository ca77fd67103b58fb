#include "mesh/gate_queue.h"

#include <stdlib.h>

#define FQ_INITIAL_RUN_TIME_US                                                           \
  (100.0 * FQ_MICROSECONDS_PER_MS)   /* used until the first run has ended */
#define FQ_INTERNAL_MEAN_WEIGHT 0.02 /* of the newest start, in internal_mean */
#define FQ_INTERNAL_RESERVE_FACTOR                                                       \
  1.3 /* reserved slots, as a multiple of internal_mean */
#define FQ_INTERNAL_RESERVE_MAX_SHARE 0.6 /* of the limit */
#define FQ_NEW_REQUESTS_MIN_SHARE 0.1     /* of the limit, served before internal calls */
#define FQ_RUN_TIME_WEIGHT 0.1            /* of the newest run, in mean run times */

typedef struct
{
  double mean_us;
} route_run_time_t;

void
fq_gate_queue_init (fq_gate_queue_t *queue)
{
  *queue = (fq_gate_queue_t){ .mean_us = FQ_INITIAL_RUN_TIME_US };
  for (int i = 0; i < FQ_RANKS; i++)
    fq_list_init (&queue->ranks[i]);
}

void
fq_gate_queue_clear (fq_gate_queue_t *queue)
{
  size_t cursor = 0;
  void *time;

  while ((time = fq_map_next (&queue->run_times, &cursor)) != NULL)
    free (time);
  fq_map_clear (&queue->run_times);
}

fq_time_t
fq_gate_queue_expected_run (const fq_gate_queue_t *queue, uint64_t route)
{
  const route_run_time_t *time = fq_map_get (&queue->run_times, route);

  return (fq_time_t)(time == NULL ? queue->mean_us : time->mean_us);
}

uint32_t
fq_rank_of_new_request (uint32_t priority)
{
  return priority < FQ_RANKS - FQ_INTERNAL_RANKS ? FQ_INTERNAL_RANKS + priority
                                                 : FQ_RANKS - 1;
}

uint32_t
fq_rank_of_internal_call (uint32_t parent)
{
  uint32_t rank = parent < FQ_INTERNAL_RANKS ? parent : parent - FQ_INTERNAL_RANKS;

  return rank < FQ_INTERNAL_RANKS ? rank : FQ_INTERNAL_RANKS - 1;
}

/* The backpressure limit of a rank, or the limit of the gate where that is lower. */
static uint32_t
effective_limit (const fq_gate_queue_t *queue, uint32_t rank)
{
  uint32_t limit = fq_backpressure_limit (&queue->backpressure[rank]);

  return limit < queue->limit ? limit : queue->limit;
}

static uint32_t
internal_in_flight (const fq_gate_queue_t *queue)
{
  uint32_t count = 0;

  for (int i = 0; i < FQ_INTERNAL_RANKS; i++)
    count += queue->rank_in_flight[i];
  return count;
}

/* Slots that new requests leave free for internal calls. A short internal call that waits
 * behind long requests can cost the whole chain that it belongs to. */
static uint32_t
reserved_slots (const fq_gate_queue_t *queue)
{
  double wanted = queue->internal_mean * FQ_INTERNAL_RESERVE_FACTOR;
  double max = queue->limit * FQ_INTERNAL_RESERVE_MAX_SHARE;
  uint32_t reserve = (uint32_t)(wanted < max ? wanted : max);
  uint32_t used = internal_in_flight (queue);

  return reserve > used ? reserve - used : 0;
}

static bool
has_free_slot (const fq_gate_queue_t *queue, uint32_t rank)
{
  uint32_t reserved = rank < FQ_INTERNAL_RANKS ? 0 : reserved_slots (queue);

  return fq_rate_limit_is_open (&queue->rate)
         && queue->in_flight + reserved < queue->limit
         && queue->rank_in_flight[rank] < effective_limit (queue, rank);
}

bool
fq_gate_queue_may_start (const fq_gate_queue_t *queue, uint32_t rank)
{
  if (!has_free_slot (queue, rank) || !fq_list_is_empty (&queue->ranks[rank]))
    return false;
  for (uint32_t i = 0; i < rank; i++)
    {
      if (!fq_list_is_empty (&queue->ranks[i]) && has_free_slot (queue, i))
        return false;
    }
  return true;
}

fq_time_t
fq_gate_queue_rate_wait (const fq_gate_queue_t *queue, uint32_t rank)
{
  uint32_t ahead = 0;

  for (uint32_t i = 0; i <= rank; i++)
    ahead += queue->rank_queued[i];
  return fq_rate_limit_wait (&queue->rate, ahead);
}

fq_time_t
fq_gate_queue_expected_wait (const fq_gate_queue_t *queue, uint32_t rank)
{
  uint32_t limit = effective_limit (queue, rank);
  fq_time_t rate_wait = fq_gate_queue_rate_wait (queue, rank);
  fq_time_t ahead = queue->queued_us[rank];

  if (limit == 0 || fq_gate_queue_may_start (queue, rank))
    return 0;
  /* Current runs are half done on average, and the first to end frees a slot. */
  ahead = ahead / limit + queue->in_flight_us / 2 / queue->limit / queue->limit;
  for (uint32_t i = 0; i < rank; i++)
    ahead += queue->queued_us[i] / queue->limit;
  return ahead > rate_wait ? ahead : rate_wait;
}

void
fq_gate_queue_push (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry)
{
  entry->expected_us = fq_gate_queue_expected_run (queue, entry->route);
  queue->queued++;
  queue->rank_queued[entry->rank]++;
  queue->queued_us[entry->rank] += entry->expected_us;
  fq_list_append (&queue->ranks[entry->rank], &entry->link);
}

static fq_gate_queue_entry_t *
first_startable (const fq_gate_queue_t *queue, uint32_t from, uint32_t to)
{
  for (uint32_t i = from; i < to; i++)
    {
      fq_list_t *link = fq_list_first (&queue->ranks[i]);

      if (link != NULL && has_free_slot (queue, i))
        return FQ_LIST_ENTRY (link, fq_gate_queue_entry_t, link);
    }
  return NULL;
}

/* Internal calls go first, but new requests get a minimum share: without it they would
 * starve for as long as calling services send enough calls to fill the gate. Under a rate
 * limit, slots are not what is scarce, and the share is one of starts. */
static bool
new_requests_below_min_share (const fq_gate_queue_t *queue)
{
  uint32_t in_flight = 0;

  if (queue->rate.active)
    return queue->internal_streak * FQ_NEW_REQUESTS_MIN_SHARE >= 1;
  for (uint32_t i = FQ_INTERNAL_RANKS; i < FQ_RANKS; i++)
    in_flight += queue->rank_in_flight[i];
  return in_flight < queue->limit * FQ_NEW_REQUESTS_MIN_SHARE;
}

fq_gate_queue_entry_t *
fq_gate_queue_next (const fq_gate_queue_t *queue)
{
  fq_gate_queue_entry_t *entry = NULL;

  if (new_requests_below_min_share (queue))
    entry = first_startable (queue, FQ_INTERNAL_RANKS, FQ_RANKS);
  return entry != NULL ? entry : first_startable (queue, 0, FQ_RANKS);
}

void
fq_gate_queue_remove (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry)
{
  queue->queued--;
  queue->rank_queued[entry->rank]--;
  queue->queued_us[entry->rank] -= entry->expected_us;
  fq_list_remove (&entry->link);
}

void
fq_gate_queue_run_started (fq_gate_queue_t *queue, fq_gate_queue_entry_t *entry)
{
  entry->expected_us = fq_gate_queue_expected_run (queue, entry->route);
  fq_rate_limit_take (&queue->rate);
  queue->internal_streak
      = entry->rank < FQ_INTERNAL_RANKS ? queue->internal_streak + 1 : 0;
  queue->in_flight++;
  queue->rank_in_flight[entry->rank]++;
  queue->in_flight_us += entry->expected_us;
  queue->internal_mean
      += (internal_in_flight (queue) - queue->internal_mean) * FQ_INTERNAL_MEAN_WEIGHT;
  fq_backpressure_run_started (&queue->backpressure[entry->rank],
                               queue->rank_in_flight[entry->rank]);
}

static void
record_run_time (fq_gate_queue_t *queue, uint64_t route, fq_time_t elapsed)
{
  route_run_time_t *time = fq_map_get (&queue->run_times, route);

  queue->mean_us += ((double)elapsed - queue->mean_us) * FQ_RUN_TIME_WEIGHT;
  if (time == NULL)
    {
      time = calloc (1, sizeof *time);
      if (time == NULL || fq_map_set (&queue->run_times, route, time) < 0)
        abort ();
      time->mean_us = (double)elapsed;
    }
  time->mean_us += ((double)elapsed - time->mean_us) * FQ_RUN_TIME_WEIGHT;
}

void
fq_gate_queue_run_ended (fq_gate_queue_t *queue,
                         fq_gate_queue_entry_t *entry,
                         fq_time_t elapsed)
{
  queue->in_flight--;
  queue->rank_in_flight[entry->rank]--;
  queue->in_flight_us -= entry->expected_us;
  if (elapsed > 0)
    record_run_time (queue, entry->route, elapsed);
}

uint32_t
fq_gate_queue_rank_limit (const fq_gate_queue_t *queue, uint32_t rank)
{
  uint32_t limit = fq_backpressure_limit (&queue->backpressure[rank]);

  return limit == FQ_BACKPRESSURE_NO_LIMIT ? 0 : limit;
}

/* Internal calls are exempt from backpressure. To refuse one wastes the work that was
 * done for its chain; load has to be refused at the first request of a chain. */
void
fq_gate_queue_record_starvation (
    fq_gate_queue_t *queue, fq_time_t now, fq_time_t started, uint32_t rank, bool starved)
{
  if (rank >= FQ_INTERNAL_RANKS)
    fq_backpressure_run_ended (&queue->backpressure[rank], now, started, starved);
}
