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
#define STREAMS_MAX 8
#define ATTEMPT_BLOCKS_MAX 4096
#define ATTEMPTS_PER_BLOCK 1024
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
  const gate_scenario_t *scenario;
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
  bin_t bins[STREAMS_MAX][BINS_MAX];
  uint32_t critical_refused;        /* for overload */
  uint32_t priority_inversions;     /* critical requests refused for overload although one
                                     * of a lower class started after their offer */
  fq_time_t last_noncritical_start; /* last start of a request below FQ_CLASS_CRITICAL */
  uint32_t starts;
  uint32_t in_flight_max;
  attempt_t *attempt_blocks[ATTEMPT_BLOCKS_MAX];
  size_t attempt_block_count;
} gate_simulation_t;

static void
push_event (gate_simulation_t *sim, fq_time_t when, int stream, attempt_t *attempt)
{
  size_t i = sim->event_count++;
  event_t event = { when, stream, attempt, attempt == NULL ? 0 : attempt->generation };

  ck_assert_uint_lt (sim->event_count, EVENTS_MAX);
  for (; i > 0 && sim->events[(i - 1) / 2].when > when; i = (i - 1) / 2)
    sim->events[i] = sim->events[(i - 1) / 2];
  sim->events[i] = event;
}

static event_t
pop_event (gate_simulation_t *sim)
{
  event_t first = sim->events[0];
  event_t last = sim->events[--sim->event_count];
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child + 1 < sim->event_count
          && sim->events[child + 1].when < sim->events[child].when)
        child++;
      if (child >= sim->event_count || sim->events[child].when >= last.when)
        break;
      sim->events[i] = sim->events[child];
      i = child;
    }
  sim->events[i] = last;
  return first;
}

static double
draw_exponential (gate_simulation_t *sim, double mean)
{
  return -mean * log (1 - fq_random_unit (&sim->random));
}

static bool
in_fault_window (const gate_simulation_t *sim)
{
  return sim->now >= sim->scenario->start && sim->now < sim->scenario->end;
}

/* Erlang-4 distribution: the standard deviation is half that of an exponential one. */
static fq_time_t
draw_service_time (gate_simulation_t *sim)
{
  const gate_scenario_t *scenario = sim->scenario;
  double mean = SERVICE_US;
  double sum = 0;

  if (in_fault_window (sim) && scenario->slowdown_factor > 0)
    mean *= scenario->slowdown_factor;
  if (sim->now < scenario->warmup_us)
    mean *= 5 - 4.0 * (double)sim->now / (double)scenario->warmup_us;
  for (int i = 0; i < 4; i++)
    sum += draw_exponential (sim, mean / 4);
  return (fq_time_t)sum + 1;
}

static attempt_t *
new_attempt (gate_simulation_t *sim)
{
  fq_list_t *link = fq_list_first (&sim->free_attempts);

  if (link == NULL)
    {
      attempt_t *block = calloc (ATTEMPTS_PER_BLOCK, sizeof *block);

      ck_assert (block != NULL && sim->attempt_block_count < ATTEMPT_BLOCKS_MAX);
      sim->attempt_blocks[sim->attempt_block_count++] = block;
      for (int i = 0; i < ATTEMPTS_PER_BLOCK; i++)
        {
          fq_list_init (&block[i].entry.link);
          fq_list_append (&sim->free_attempts, &block[i].link);
        }
      link = fq_list_first (&sim->free_attempts);
    }
  fq_list_remove (link);
  return FQ_LIST_ENTRY (link, attempt_t, link);
}

/* Ends @attempt: schedules a retry if it has one left, or releases it. */
static void
retry_or_release_attempt (gate_simulation_t *sim, attempt_t *attempt)
{
  attempt->generation++;
  if (attempt->retries_left > 0)
    {
      attempt->retries_left--;
      attempt->waits_to_retry = true;
      push_event (sim, sim->now + RETRY_DELAY_US, -1, attempt);
      return;
    }
  fq_list_append (&sim->free_attempts, &attempt->link);
}

static void
fill_slots (gate_simulation_t *sim)
{
  fq_list_t *link;

  while (sim->upstream_busy < sim->scenario->slots
         && (link = fq_list_first (&sim->upstream_queue)) != NULL)
    {
      attempt_t *attempt = FQ_LIST_ENTRY (link, attempt_t, link);

      fq_list_remove (link);
      sim->upstream_queued--;
      sim->upstream_busy++;
      attempt->in_slot = true;
      push_event (sim, sim->now + attempt->service_us, -1, attempt);
    }
}

static void
leave_upstream (gate_simulation_t *sim, attempt_t *attempt, fq_admission_result_t result)
{
  if (attempt->in_slot)
    sim->upstream_busy--;
  else if (!fq_list_is_empty (&attempt->link))
    sim->upstream_queued--;
  fq_list_remove (&attempt->link);
  attempt->in_upstream = false;
  attempt->in_slot = false;
  fq_admission_finish (sim->gate, sim->now, &attempt->entry, result);
  fill_slots (sim);
}

static void
run_in_upstream (gate_simulation_t *sim, attempt_t *attempt)
{
  fq_load_t load;

  sim->starts++;
  if (attempt->entry.request_class != FQ_CLASS_CRITICAL)
    sim->last_noncritical_start = sim->now;
  fq_admission_load (sim->gate, &load);
  if (load.in_flight > sim->in_flight_max)
    sim->in_flight_max = load.in_flight;
  attempt->in_upstream = true;
  attempt->service_us = draw_service_time (sim);
  if (sim->scenario->queue_max > 0 && sim->upstream_queued >= sim->scenario->queue_max)
    {
      leave_upstream (sim, attempt, FQ_ADMISSION_UPSTREAM_REFUSED);
      retry_or_release_attempt (sim, attempt);
      return;
    }
  fq_list_append (&sim->upstream_queue, &attempt->link);
  sim->upstream_queued++;
  fill_slots (sim);
}

/* No request of a lower class may start between the offer of a critical request and its
 * refusal for overload. */
static void
record_refusal (gate_simulation_t *sim, const attempt_t *attempt, fq_cause_t cause)
{
  if (attempt->entry.request_class != FQ_CLASS_CRITICAL || cause != FQ_CAUSE_OVERLOAD)
    return;
  sim->critical_refused++;
  if (sim->last_noncritical_start >= attempt->entry.offered)
    sim->priority_inversions++;
}

static void
process_queues (gate_simulation_t *sim)
{
  fq_admission_entry_t *entry;
  fq_cause_t cause;

  while ((entry = fq_admission_refuse_next (sim->gate, sim->now, &cause)) != NULL)
    {
      record_refusal (sim, (attempt_t *)entry, cause);
      retry_or_release_attempt (sim, (attempt_t *)entry);
    }
  while ((entry = fq_admission_start_next (sim->gate, sim->now)) != NULL)
    run_in_upstream (sim, (attempt_t *)entry);
}

static void
offer (gate_simulation_t *sim, attempt_t *attempt)
{
  const stream_t *stream = &sim->streams[attempt->stream];
  fq_cause_t cause = FQ_CAUSE_NONE;
  fq_load_t level;

  attempt->entry = (fq_admission_entry_t){
    .request_class = stream->request_class,
    .member = stream->member,
    .chain_id = fq_random_next (&sim->random),
    .deadline = sim->now + DEADLINE_US,
  };
  fq_admission_load_for_member (sim->gate, sim->now, stream->member, &level);
  if (sim->scenario->entry_sheds
      && fq_shed_sheds_chain (&level, stream->request_class, attempt->entry.chain_id))
    {
      retry_or_release_attempt (sim, attempt);
      return;
    }
  push_event (sim, attempt->entry.deadline, -1, attempt);
  switch (fq_admission_offer (sim->gate, sim->now, &attempt->entry, &cause))
    {
    case FQ_ADMISSION_RUN:
      run_in_upstream (sim, attempt);
      break;
    case FQ_ADMISSION_QUEUED:
      break;
    case FQ_ADMISSION_REFUSED:
      record_refusal (sim, attempt, cause);
      retry_or_release_attempt (sim, attempt);
      break;
    }
}

static void
handle_arrival (gate_simulation_t *sim, int index)
{
  const stream_t *stream = &sim->streams[index];
  double rate = stream->load * sim->scenario->slots / SERVICE_US;
  attempt_t *attempt = new_attempt (sim);

  if (stream->surges && in_fault_window (sim) && sim->scenario->surge_factor > 0)
    rate *= sim->scenario->surge_factor;
  push_event (sim, sim->now + (fq_time_t)draw_exponential (sim, 1 / rate) + 1, index,
              NULL);
  attempt->stream = index;
  attempt->bin = (uint32_t)(sim->now / BIN_US);
  attempt->retries_left = sim->scenario->retries;
  sim->bins[index][attempt->bin].requests++;
  offer (sim, attempt);
}

static void
handle_attempt_event (gate_simulation_t *sim, attempt_t *attempt)
{
  if (attempt->waits_to_retry)
    {
      attempt->waits_to_retry = false;
      offer (sim, attempt);
      return;
    }
  if (attempt->in_slot && sim->now < attempt->entry.deadline)
    {
      leave_upstream (sim, attempt, FQ_ADMISSION_ANSWERED);
      sim->bins[attempt->stream][attempt->bin].answered++;
      sim->bins[attempt->stream][sim->now / BIN_US].completions++;
      attempt->retries_left = 0;
      retry_or_release_attempt (sim, attempt);
      return;
    }
  if (attempt->in_upstream)
    leave_upstream (sim, attempt, FQ_ADMISSION_FAILED);
  else
    fq_admission_remove (sim->gate, &attempt->entry);
  retry_or_release_attempt (sim, attempt);
}

/* Runs @scenario with @streams, at most STREAMS_MAX. The results are in @sim until the
 * next run; @scenario and @streams are borrowed. */
static void
gate_simulation_run (gate_simulation_t *sim,
                     const gate_scenario_t *scenario,
                     const stream_t *streams,
                     size_t stream_count,
                     uint64_t seed)
{
  fq_admission_options_t options = FQ_ADMISSION_OPTIONS_INIT;

  *sim = (gate_simulation_t){ .scenario = scenario, .streams = streams };
  sim->stream_count = stream_count;
  sim->random.state = seed;
  sim->events = calloc (EVENTS_MAX, sizeof *sim->events);
  fq_list_init (&sim->upstream_queue);
  fq_list_init (&sim->free_attempts);
  options.policy = scenario->policy;
  options.seed = seed;
  ck_assert_int_eq (fq_admission_new (&sim->gate, &options), FQ_OK);
  fq_admission_announce (sim->gate, 0, scenario->announced, scenario->connections);
  for (size_t i = 0; i < stream_count; i++)
    push_event (sim, 1 + (fq_time_t)i, (int)i, NULL);
  while (sim->event_count > 0)
    {
      event_t event = pop_event (sim);

      if (event.when >= scenario->duration_us)
        break;
      sim->now = event.when;
      if (event.attempt == NULL)
        handle_arrival (sim, event.stream);
      else if (event.generation == event.attempt->generation)
        handle_attempt_event (sim, event.attempt);
      process_queues (sim);
    }
  fq_admission_free (sim->gate);
  for (size_t i = 0; i < sim->attempt_block_count; i++)
    free (sim->attempt_blocks[i]);
  free (sim->events);
}

/* Requests of @stream that arrived in [from, to), and how many of them were answered. */
static bin_t
gate_simulation_sum (const gate_simulation_t *sim,
                     int stream,
                     fq_time_t from,
                     fq_time_t to)
{
  bin_t sum = { 0 };

  for (fq_time_t bin = from / BIN_US; bin < to / BIN_US; bin++)
    {
      sum.requests += sim->bins[stream][bin].requests;
      sum.answered += sim->bins[stream][bin].answered;
      sum.completions += sim->bins[stream][bin].completions;
    }
  return sum;
}

static bin_t
gate_simulation_sum_all (const gate_simulation_t *sim, fq_time_t from, fq_time_t to)
{
  bin_t sum = { 0 };

  for (size_t i = 0; i < sim->stream_count; i++)
    {
      bin_t stream_sum = gate_simulation_sum (sim, (int)i, from, to);

      sum.requests += stream_sum.requests;
      sum.answered += stream_sum.answered;
      sum.completions += stream_sum.completions;
    }
  return sum;
}

/* Time from @from to the end of the last bin that had not recovered. */
static fq_time_t
gate_simulation_recovery (const gate_simulation_t *sim, fq_time_t from)
{
  fq_time_t end = sim->scenario->duration_us - SECOND;
  fq_time_t recovered = from;

  for (fq_time_t bin = from; bin < end; bin += BIN_US)
    {
      bin_t sum = gate_simulation_sum_all (sim, bin, bin + BIN_US);

      if (sum.answered < RECOVERED_SHARE * sum.requests)
        recovered = bin + BIN_US;
    }
  return recovered - from;
}

#endif
