/**
 * DOC: One gate, one upstream with a plain queue and open-loop clients in virtual time.
 *
 * The upstream runs @slots jobs at once and keeps the rest in its own queue. Clients
 * give up an attempt at its deadline and may try again without heeding Retry-After.
 */
#ifndef FQ_TESTS_GATE_FAKE_H
#define FQ_TESTS_GATE_FAKE_H

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
#define WHOLE_SHARE                                                                      \
  0.95 /* of a bin's requests; below it the bin is not back to normal                    \
        */

typedef struct
{
  fq_time_t start;
  fq_time_t end;
  double surge;       /* factor on the rate of the streams that surge */
  double slow;        /* factor on the service time */
  uint32_t slots;     /* that the upstream has */
  uint32_t announced; /* that it says it has */
  uint32_t connections;
  uint32_t queue_max;  /* its own; above it it refuses with 503 */
  fq_time_t warmup_us; /* five times slower at first, falling to normal */
  uint32_t retries;    /* of each client, on a refusal or timeout */
  bool entry_sheds;    /* clients sit behind an entry that applies the level */
  fq_time_t run_us;    /* length of the whole */
  fq_admission_policy_t policy;
} gate_scenario_t;

typedef struct
{
  fq_class_t request_class;
  uint64_t member;
  double load; /* share of the upstream's capacity */
  bool surges;
} stream_t;

typedef struct
{
  uint32_t requests;
  uint32_t whole;    /* of those requests */
  uint32_t finished; /* answered whole in the bin, whenever they came */
} bin_t;

typedef struct attempt attempt_t;

typedef struct
{
  fq_time_t when;
  int stream; /* an arrival of it; -1: it is about @attempt */
  attempt_t *attempt;
  uint32_t generation;
} event_t;

struct attempt
{
  fq_admission_entry_t entry; /* first: an entry is its attempt */
  fq_list_t link;             /* in the queue of the upstream, or among the unused */
  int stream;
  uint32_t bin;
  uint32_t tries_left;
  uint32_t generation; /* events of earlier uses are void */
  fq_time_t left_us;   /* service time that it needs */
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
  event_t *events;
  size_t event_count;
  fq_list_t upstream_queue;
  fq_list_t unused;
  uint32_t upstream_busy;
  uint32_t upstream_queued;
  bin_t bins[8][BINS_MAX];
  uint32_t critical_refused; /* for load */
  uint32_t priority_inversions;
  fq_time_t lower_started; /* when one that is not critical went to the upstream last */
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
in_trigger (const gate_fake_t *fake)
{
  return fake->now >= fake->world->start && fake->now < fake->world->end;
}

/* A sum of four exponential times: half as spread as one. */
static fq_time_t
draw_service (gate_fake_t *fake)
{
  const gate_scenario_t *world = fake->world;
  double mean = SERVICE_US;
  double sum = 0;

  if (in_trigger (fake) && world->slow > 0)
    mean *= world->slow;
  if (fake->now < world->warmup_us)
    mean *= 5 - 4.0 * (double)fake->now / (double)world->warmup_us;
  for (int i = 0; i < 4; i++)
    sum += draw_exponential (fake, mean / 4);
  return (fq_time_t)sum + 1;
}

static attempt_t *
new_attempt (gate_fake_t *fake)
{
  fq_list_t *link = fq_list_first (&fake->unused);

  if (link == NULL)
    {
      attempt_t *block = calloc (1024, sizeof *block);

      ck_assert (block != NULL && fake->block_count < 4096);
      fake->blocks[fake->block_count++] = block;
      for (int i = 0; i < 1024; i++)
        {
          fq_list_init (&block[i].entry.link);
          fq_list_append (&fake->unused, &block[i].link);
        }
      link = fq_list_first (&fake->unused);
    }
  fq_list_remove (link);
  return FQ_LIST_ENTRY (link, attempt_t, link);
}

static void
end_attempt (gate_fake_t *fake, attempt_t *attempt)
{
  attempt->generation++;
  if (attempt->tries_left > 0)
    {
      attempt->tries_left--;
      attempt->waits_to_retry = true;
      push_event (fake, fake->now + RETRY_DELAY_US, -1, attempt);
      return;
    }
  fq_list_append (&fake->unused, &attempt->link);
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
      push_event (fake, fake->now + attempt->left_us, -1, attempt);
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
    fake->lower_started = fake->now;
  fq_admission_load (fake->gate, &load);
  if (load.in_flight > fake->in_flight_max)
    fake->in_flight_max = load.in_flight;
  attempt->in_upstream = true;
  attempt->left_us = draw_service (fake);
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

/* While a critical request was offered and refused for load no other may have started. */
static void
note_refusal (gate_fake_t *fake, const attempt_t *attempt, fq_cause_t cause)
{
  if (attempt->entry.request_class != FQ_CLASS_CRITICAL || cause != FQ_CAUSE_OVERLOAD)
    return;
  fake->critical_refused++;
  if (fake->lower_started >= attempt->entry.offered)
    fake->priority_inversions++;
}

static void
progress (gate_fake_t *fake)
{
  fq_admission_entry_t *entry;
  fq_cause_t cause;

  while ((entry = fq_admission_refuse_next (fake->gate, fake->now, &cause)) != NULL)
    {
      note_refusal (fake, (attempt_t *)entry, cause);
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
      note_refusal (fake, attempt, cause);
      end_attempt (fake, attempt);
      break;
    }
}

static void
arrive (gate_fake_t *fake, int index)
{
  const stream_t *stream = &fake->streams[index];
  double rate = stream->load * fake->world->slots / SERVICE_US;
  attempt_t *attempt = new_attempt (fake);

  if (stream->surges && in_trigger (fake) && fake->world->surge > 0)
    rate *= fake->world->surge;
  push_event (fake, fake->now + (fq_time_t)draw_exponential (fake, 1 / rate) + 1, index,
              NULL);
  attempt->stream = index;
  attempt->bin = (uint32_t)(fake->now / BIN_US);
  attempt->tries_left = fake->world->retries;
  fake->bins[index][attempt->bin].requests++;
  offer (fake, attempt);
}

static void
attempt_event (gate_fake_t *fake, attempt_t *attempt)
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
      fake->bins[attempt->stream][attempt->bin].whole++;
      fake->bins[attempt->stream][fake->now / BIN_US].finished++;
      attempt->tries_left = 0;
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
  fq_list_init (&fake->unused);
  options.policy = world->policy;
  options.seed = seed;
  ck_assert_int_eq (fq_admission_new (&fake->gate, &options), FQ_OK);
  fq_admission_announce (fake->gate, 0, world->announced, world->connections);
  for (size_t i = 0; i < stream_count; i++)
    push_event (fake, 1 + (fq_time_t)i, (int)i, NULL);
  while (fake->event_count > 0)
    {
      event_t event = pop_event (fake);

      if (event.when >= world->run_us)
        break;
      fake->now = event.when;
      if (event.attempt == NULL)
        arrive (fake, event.stream);
      else if (event.generation == event.attempt->generation)
        attempt_event (fake, event.attempt);
      progress (fake);
    }
  fq_admission_free (fake->gate);
  for (size_t i = 0; i < fake->block_count; i++)
    free (fake->blocks[i]);
  free (fake->events);
}

/* Requests that came in [from, to), and how many of them were answered whole. */
static bin_t
gate_fake_sum (const gate_fake_t *fake, int stream, fq_time_t from, fq_time_t to)
{
  bin_t sum = { 0 };

  for (fq_time_t bin = from / BIN_US; bin < to / BIN_US; bin++)
    {
      sum.requests += fake->bins[stream][bin].requests;
      sum.whole += fake->bins[stream][bin].whole;
      sum.finished += fake->bins[stream][bin].finished;
    }
  return sum;
}

static bin_t
gate_fake_sum_all (const gate_fake_t *fake, fq_time_t from, fq_time_t to)
{
  bin_t sum = { 0 };

  for (size_t i = 0; i < fake->stream_count; i++)
    {
      bin_t one = gate_fake_sum (fake, (int)i, from, to);

      sum.requests += one.requests;
      sum.whole += one.whole;
      sum.finished += one.finished;
    }
  return sum;
}

/* From @from until the last bin in which requests were not answered as before. */
static fq_time_t
gate_fake_recovery (const gate_fake_t *fake, fq_time_t from)
{
  fq_time_t end = fake->world->run_us - SECOND;
  fq_time_t recovered = from;

  for (fq_time_t bin = from; bin < end; bin += BIN_US)
    {
      bin_t sum = gate_fake_sum_all (fake, bin, bin + BIN_US);

      if (sum.whole < WHOLE_SHARE * sum.requests)
        recovered = bin + BIN_US;
    }
  return recovered - from;
}

#endif
