/**
 * DOC: Discrete-event simulation of an admission gate, its upstream and open-loop
 * clients.
 *
 * The upstream runs up to @slots requests concurrently and keeps the rest in a FIFO
 * queue. Clients cancel an attempt at its deadline and may retry without regard to
 * Retry-After.
 */
#ifndef FQ_TESTS_GATE_SIMULATION_H
#define FQ_TESTS_GATE_SIMULATION_H

#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "core/admission/admission.h"

#define MS FQ_MICROSECONDS_PER_MS
#define SECOND FQ_MICROSECONDS_PER_SECOND
#define SERVICE_US (10 * MS)
#define DEADLINE_US (500 * MS)
#define RETRY_DELAY_US (20 * MS)
#define BIN_US (100 * MS)
#define BINS_MAX 1200
#define EVENTS_MAX (1 << 20)
/* A bin counts as recovered when at least this share of its requests was answered. */
#define RECOVERED_SHARE 0.95

typedef struct
{
  fq_time_t start;        /* of the surge or slowdown */
  fq_time_t end;          /* of the surge or slowdown */
  double surge_factor;    /* factor on the arrival rate of streams with surges; 0: none */
  double slowdown_factor; /* factor on the service time; 0: none */
  uint32_t slots;         /* requests that the upstream runs concurrently */
  uint32_t announced;     /* slots that the upstream announces */
  uint32_t connections;
  uint32_t queue_max;  /* of the upstream, which answers 503 when full; 0: no bound */
  fq_time_t warmup_us; /* warm-up: the service time falls linearly from 5 times normal */
  uint32_t retries;    /* per request, after a refusal or timeout */
  bool entry_sheds;    /* the entry node applies the shed level of the gate */
  fq_time_t duration_us; /* simulated time */
  fq_admission_policy_t policy;
} gate_scenario_t;

typedef struct
{
  fq_class_t request_class;
  uint64_t member;
  double load; /* share of the upstream's capacity */
  bool surges; /* its rate rises by the surge factor */
} stream_t;

typedef struct
{
  uint32_t requests;    /* that arrived in the bin */
  uint32_t answered;    /* of those, answered in time, in any bin */
  uint32_t completions; /* answered in the bin, whenever they arrived */
} bin_t;

typedef struct attempt attempt_t;

typedef struct
{
  fq_time_t when;
  int stream; /* stream of an arrival; -1: an event of @attempt */
  attempt_t *attempt;
  uint32_t generation; /* the event is stale if @attempt has another one */
} event_t;

struct attempt
{
  fq_admission_entry_t entry; /* has to be first: entries are cast to attempts */
  fq_list_t link;             /* in the queue of the upstream or the free list */
  int stream;
  uint32_t bin; /* of its arrival */
  uint32_t retries_left;
  uint32_t generation;  /* grows with each use, so that older events are ignored */
  fq_time_t service_us; /* service time that it needs */
  bool in_upstream;
  bool in_slot;
  bool waits_to_retry;
};

typedef struct
{
  const gate_scenario_t *world;
  const stream_t *streams;
  size_t stream_count;
  fq_admission_t *gate;
  fq_random_t random;
  fq_time_t now;
  event_t *events; /* binary heap by time */
  size_t event_count;
  fq_list_t upstream_queue;
  fq_list_t free_attempts;
  uint32_t upstream_busy;
  uint32_t upstream_queued;
  bin_t bins[8][BINS_MAX];
  uint32_t critical_refused;        /* for overload */
  uint32_t priority_inversions;     /* of those, after a start of a lower class */
  fq_time_t last_noncritical_start; /* last start of a request below FQ_CLASS_CRITICAL */
  uint32_t starts;
  uint32_t in_flight_max;
  attempt_t *blocks[4096];
  size_t block_count;
} gate_fake_t;

static void
push_event (gate_fake_t *fake, fq_time_t when, int stream, attempt_t *attempt)
{
  size_t i = fake->event_count++;
  event_t event = { when, stream, attempt, attempt == NULL ? 0 : attempt->generation };

  ck_assert_uint_lt (fake->event_count, EVENTS_MAX);
  for (; i > 0 && fake->events[(i - 1) / 2].when > when; i = (i - 1) / 2)
    fake->events[i] = fake->events[(i - 1) / 2];
  fake->events[i] = event;
}

static event_t
pop_event (gate_fake_t *fake)
{
  event_t first = fake->events[0];
  event_t last = fake->events[--fake->event_count];
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child + 1 < fake->event_count
          && fake->events[child + 1].when < fake->events[child].when)
        child++;
      if (child >= fake->event_count || fake->events[child].when >= last.when)
        break;
      fake->events[i] = fake->events[child];
      i = child;
    }
  fake->events[i] = last;
  return first;
}

static double
draw_exponential (gate_fake_t *fake, double mean)
{
  return -mean * log (1 - fq_random_unit (&fake->random));
}

static bool
in_fault_window (const gate_fake_t *fake)
{
  return fake->now >= fake->world->start && fake->now < fake->world->end;
}

/* Erlang-4 distribution: the standard deviation is half that of an exponential one. */
static fq_time_t
draw_service_time (gate_fake_t *fake)
{
  const gate_scenario_t *world = fake->world;
  double mean = SERVICE_US;
  double sum = 0;

  if (in_fault_window (fake) && world->slowdown_factor > 0)
    mean *= world->slowdown_factor;
  if (fake->now < world->warmup_us)
    mean *= 5 - 4.0 * (double)fake->now / (double)world->warmup_us;
  for (int i = 0; i < 4; i++)
    sum += draw_exponential (fake, mean / 4);
  return (fq_time_t)sum + 1;
}

static attempt_t *
new_attempt (gate_fake_t *fake)
{
  fq_list_t *link = fq_list_first (&fake->free_attempts);

  if (link == NULL)
    {
      attempt_t *block = calloc (1024, sizeof *block);

      ck_assert (block != NULL && fake->block_count < 4096);
      fake->blocks[fake->block_count++] = block;
      for (int i = 0; i < 1024; i++)
        {
          fq_list_init (&block[i].entry.link);
          fq_list_append (&fake->free_attempts, &block[i].link);
        }
      link = fq_list_first (&fake->free_attempts);
    }
  fq_list_remove (link);
  return FQ_LIST_ENTRY (link, attempt_t, link);
}

static void
end_attempt (gate_fake_t *fake, attempt_t *attempt)
{
  attempt->generation++;
  if (attempt->retries_left > 0)
    {
      attempt->retries_left--;
      attempt->waits_to_retry = true;
      push_event (fake, fake->now + RETRY_DELAY_US, -1, attempt);
      return;
    }
  fq_list_append (&fake->free_attempts, &attempt->link);
}

static void
fill_slots (gate_fake_t *fake)
{
  fq_list_t *link;

  while (fake->upstream_busy < fake->world->slots
         && (link = fq_list_first (&fake->upstream_queue)) != NULL)
    {
      attempt_t *attempt = FQ_LIST_ENTRY (link, attempt_t, link);

      fq_list_remove (link);
      fake->upstream_queued--;
      fake->upstream_busy++;
      attempt->in_slot = true;
      push_event (fake, fake->now + attempt->service_us, -1, attempt);
    }
}

static void
leave_upstream (gate_fake_t *fake, attempt_t *attempt, fq_admission_result_t result)
{
  if (attempt->in_slot)
    fake->upstream_busy--;
  else if (!fq_list_is_empty (&attempt->link))
    fake->upstream_queued--;
  fq_list_remove (&attempt->link);
  attempt->in_upstream = false;
  attempt->in_slot = false;
  fq_admission_finish (fake->gate, fake->now, &attempt->entry, result);
  fill_slots (fake);
}

static void
run_in_upstream (gate_fake_t *fake, attempt_t *attempt)
{
  fq_load_t load;

  fake->starts++;
  if (attempt->entry.request_class != FQ_CLASS_CRITICAL)
    fake->last_noncritical_start = fake->now;
  fq_admission_load (fake->gate, &load);
  if (load.in_flight > fake->in_flight_max)
    fake->in_flight_max = load.in_flight;
  attempt->in_upstream = true;
  attempt->service_us = draw_service_time (fake);
  if (fake->world->queue_max > 0 && fake->upstream_queued >= fake->world->queue_max)
    {
      leave_upstream (fake, attempt, FQ_ADMISSION_UPSTREAM_REFUSED);
      end_attempt (fake, attempt);
      return;
    }
  fq_list_append (&fake->upstream_queue, &attempt->link);
  fake->upstream_queued++;
  fill_slots (fake);
}

/* No request of a lower class may start between the offer of a critical request and its
 * refusal for overload. */
static void
record_refusal (gate_fake_t *fake, const attempt_t *attempt, fq_cause_t cause)
{
  if (attempt->entry.request_class != FQ_CLASS_CRITICAL || cause != FQ_CAUSE_OVERLOAD)
    return;
  fake->critical_refused++;
  if (fake->last_noncritical_start >= attempt->entry.offered)
    fake->priority_inversions++;
}

static void
process_queues (gate_fake_t *fake)
{
  fq_admission_entry_t *entry;
  fq_cause_t cause;

  while ((entry = fq_admission_refuse_next (fake->gate, fake->now, &cause)) != NULL)
    {
      record_refusal (fake, (attempt_t *)entry, cause);
      end_attempt (fake, (attempt_t *)entry);
    }
  while ((entry = fq_admission_start_next (fake->gate, fake->now)) != NULL)
    run_in_upstream (fake, (attempt_t *)entry);
}

static void
offer (gate_fake_t *fake, attempt_t *attempt)
{
  const stream_t *stream = &fake->streams[attempt->stream];
  fq_cause_t cause = FQ_CAUSE_NONE;
  fq_load_t level;

  attempt->entry = (fq_admission_entry_t){
    .request_class = stream->request_class,
    .member = stream->member,
    .chain_id = fq_random_next (&fake->random),
    .deadline = fake->now + DEADLINE_US,
  };
  fq_admission_load_for_member (fake->gate, fake->now, stream->member, &level);
  if (fake->world->entry_sheds
      && fq_shed_sheds_chain (&level, stream->request_class, attempt->entry.chain_id))
    {
      end_attempt (fake, attempt);
      return;
    }
  push_event (fake, attempt->entry.deadline, -1, attempt);
  switch (fq_admission_offer (fake->gate, fake->now, &attempt->entry, &cause))
    {
    case FQ_ADMISSION_RUN:
      run_in_upstream (fake, attempt);
      break;
    case FQ_ADMISSION_QUEUED:
      break;
    case FQ_ADMISSION_REFUSED:
      record_refusal (fake, attempt, cause);
      end_attempt (fake, attempt);
      break;
    }
}

static void
handle_arrival (gate_fake_t *fake, int index)
{
  const stream_t *stream = &fake->streams[index];
  double rate = stream->load * fake->world->slots / SERVICE_US;
  attempt_t *attempt = new_attempt (fake);

  if (stream->surges && in_fault_window (fake) && fake->world->surge_factor > 0)
    rate *= fake->world->surge_factor;
  push_event (fake, fake->now + (fq_time_t)draw_exponential (fake, 1 / rate) + 1, index,
              NULL);
  attempt->stream = index;
  attempt->bin = (uint32_t)(fake->now / BIN_US);
  attempt->retries_left = fake->world->retries;
  fake->bins[index][attempt->bin].requests++;
  offer (fake, attempt);
}

static void
handle_attempt_event (gate_fake_t *fake, attempt_t *attempt)
{
  if (attempt->waits_to_retry)
    {
      attempt->waits_to_retry = false;
      offer (fake, attempt);
      return;
    }
  if (attempt->in_slot && fake->now < attempt->entry.deadline)
    {
      leave_upstream (fake, attempt, FQ_ADMISSION_ANSWERED);
      fake->bins[attempt->stream][attempt->bin].answered++;
      fake->bins[attempt->stream][fake->now / BIN_US].completions++;
      attempt->retries_left = 0;
      end_attempt (fake, attempt);
      return;
    }
  if (attempt->in_upstream)
    leave_upstream (fake, attempt, FQ_ADMISSION_FAILED);
  else
    fq_admission_remove (fake->gate, &attempt->entry);
  end_attempt (fake, attempt);
}

static void
gate_fake_run (gate_fake_t *fake,
               const gate_scenario_t *world,
               const stream_t *streams,
               size_t stream_count,
               uint64_t seed)
{
  fq_admission_options_t options = FQ_ADMISSION_OPTIONS_INIT;

  *fake = (gate_fake_t){ .world = world, .streams = streams };
  fake->stream_count = stream_count;
  fake->random.state = seed;
  fake->events = calloc (EVENTS_MAX, sizeof *fake->events);
  fq_list_init (&fake->upstream_queue);
  fq_list_init (&fake->free_attempts);
  options.policy = world->policy;
  options.seed = seed;
  ck_assert_int_eq (fq_admission_new (&fake->gate, &options), FQ_OK);
  fq_admission_announce (fake->gate, 0, world->announced, world->connections);
  for (size_t i = 0; i < stream_count; i++)
    push_event (fake, 1 + (fq_time_t)i, (int)i, NULL);
  while (fake->event_count > 0)
    {
      event_t event = pop_event (fake);

      if (event.when >= world->duration_us)
        break;
      fake->now = event.when;
      if (event.attempt == NULL)
        handle_arrival (fake, event.stream);
      else if (event.generation == event.attempt->generation)
        handle_attempt_event (fake, event.attempt);
      process_queues (fake);
    }
  fq_admission_free (fake->gate);
  for (size_t i = 0; i < fake->block_count; i++)
    free (fake->blocks[i]);
  free (fake->events);
}

/* Requests of @stream that arrived in [from, to), and how many of them were answered. */
static bin_t
gate_fake_sum (const gate_fake_t *fake, int stream, fq_time_t from, fq_time_t to)
{
  bin_t sum = { 0 };

  for (fq_time_t bin = from / BIN_US; bin < to / BIN_US; bin++)
    {
      sum.requests += fake->bins[stream][bin].requests;
      sum.answered += fake->bins[stream][bin].answered;
      sum.completions += fake->bins[stream][bin].completions;
    }
  return sum;
}

static bin_t
gate_fake_sum_all (const gate_fake_t *fake, fq_time_t from, fq_time_t to)
{
  bin_t sum = { 0 };

  for (size_t i = 0; i < fake->stream_count; i++)
    {
      bin_t stream_sum = gate_fake_sum (fake, (int)i, from, to);

      sum.requests += stream_sum.requests;
      sum.answered += stream_sum.answered;
      sum.completions += stream_sum.completions;
    }
  return sum;
}

/* Time from @from to the end of the last bin that had not recovered. */
static fq_time_t
gate_fake_recovery (const gate_fake_t *fake, fq_time_t from)
{
  fq_time_t end = fake->world->duration_us - SECOND;
  fq_time_t recovered = from;

  for (fq_time_t bin = from; bin < end; bin += BIN_US)
    {
      bin_t sum = gate_fake_sum_all (fake, bin, bin + BIN_US);

      if (sum.answered < RECOVERED_SHARE * sum.requests)
        recovered = bin + BIN_US;
    }
  return recovered - from;
}

#endif
