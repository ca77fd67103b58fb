/**
 * DOC: Chains of services in simulated time, with failures at the last service.
 *
 * Each node is a real core (fq_core_t); the upstreams and the network are simulated.
 *
 * Guards against retry amplification. The last service (the bottom) may execute at most
 * (1 + allowance) times the runs that it executes without retries, whatever the depth of
 * the chain and the fan-out of each service.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"

#define NODES_PER_SERVICE 3
#define DEPTH_MAX 9
#define NODES_MAX (DEPTH_MAX * NODES_PER_SERVICE)
#define RETRIES 2
#define HOP_US 500
#define SERVICE_US 2000
#define SLOTS_MAX 200
#define DEADLINE_MS 20000

typedef enum
{
  BOTTOM_HEALTHY,
  BOTTOM_DROPS_CONNECTION,   /* closes the connection after the request was sent */
  BOTTOM_REFUSES_CONNECTION, /* the connection attempt fails */
  BOTTOM_LOSES_ANSWER, /* the request runs, but its answer is lost between the nodes */
} bottom_behavior_t;

/* A run in an upstream above the bottom: it makes its calls, then answers. */
typedef struct
{
  fq_id_t run;
  int node;
  unsigned int waiting; /* calls without an answer yet */
  bool failed;
} job_t;

typedef struct
{
  fq_list_t link;
  fq_time_t when;
  int node;
  fq_event_t event;
} pending_event_t;

static struct
{
  int depth;
  int fan_out;
  bottom_behavior_t bottom;
  int bottom_slots;
  fq_time_t bottom_us;                               /* service time at the bottom */
  fq_time_t slot_free[NODES_PER_SERVICE][SLOTS_MAX]; /* at the bottom */
  unsigned int top_runs;
  fq_core_t *cores[NODES_MAX];
  fq_time_t now;
  fq_random_t random;
  fq_list_t pending; /* pending events, ordered by time */
  fq_map_t jobs;     /* by the ids of the calls that they wait for */
  fq_id_t next_call;
  unsigned int bottom_runs;
  unsigned int replies;
  unsigned int whole;
} mesh;

static int
node_count (void)
{
  return mesh.depth * NODES_PER_SERVICE;
}

static int
level_of (int node)
{
  return node / NODES_PER_SERVICE;
}

static void
name_node (char *out, int node)
{
  snprintf (out, FQ_NAME_BYTES, "n%d", node);
}

static void
name_service (char *out, int level)
{
  snprintf (out, FQ_SERVICE_BYTES, "wrekin/s%d", level);
}

static void
schedule_event (int node, const fq_event_t *event, fq_time_t delay)
{
  pending_event_t *pending = calloc (1, sizeof *pending);
  fq_list_t *position = mesh.pending.prev;

  ck_assert_ptr_nonnull (pending);
  pending->when = mesh.now + delay;
  pending->node = node;
  pending->event = *event;
  while (position != &mesh.pending
         && FQ_LIST_ENTRY (position, pending_event_t, link)->when > pending->when)
    position = position->prev;
  fq_list_prepend (position, &pending->link);
}

/* Service time of a run and, at the bottom, the wait for a slot. */
static fq_time_t
run_duration (int node)
{
  fq_time_t *slots = mesh.slot_free[node % NODES_PER_SERVICE];
  int earliest = 0;

  if (level_of (node) < mesh.depth - 1)
    return SERVICE_US;
  for (int i = 1; i < mesh.bottom_slots; i++)
    {
      if (slots[i] < slots[earliest])
        earliest = i;
    }
  if (slots[earliest] < mesh.now)
    slots[earliest] = mesh.now;
  slots[earliest] += mesh.bottom_us;
  return slots[earliest] - mesh.now;
}

static void
end_run (int node, fq_id_t run, bool whole)
{
  fq_event_t event
      = { .kind = whole ? FQ_EVENT_UPSTREAM_ANSWER : FQ_EVENT_UPSTREAM_FAILED };

  if (whole)
    {
      event.upstream_answer.run = run;
      event.upstream_answer.answer.status = 200;
    }
  else
    {
      event.upstream_failed.run = run;
      event.upstream_failed.sent = mesh.bottom != BOTTOM_REFUSES_CONNECTION;
    }
  schedule_event (node, &event, run_duration (node));
}

static void
call_next_level (job_t *job, const fq_upstream_start_effect_t *effect)
{
  for (int i = 0; i < mesh.fan_out; i++)
    {
      fq_event_t event = { .kind = FQ_EVENT_REQUEST };
      fq_request_t *request;

      ck_assert_int_eq (fq_request_new (&request), FQ_OK);
      name_service (request->service, level_of (job->node) + 1);
      strcpy (request->method, "GET");
      snprintf (request->path, FQ_PATH_BYTES, "%.900s.%d", effect->request->path, i);
      strcpy (request->chain, effect->chain);
      request->remaining_ms = effect->remaining_ms;
      event.request.call = ++mesh.next_call;
      event.request.source = FQ_SOURCE_UPSTREAM;
      event.request.request = request;
      ck_assert_int_eq (fq_map_set (&mesh.jobs, event.request.call, job), FQ_OK);
      job->waiting++;
      schedule_event (job->node, &event, 0);
    }
}

static void
start_upstream_run (int node, const fq_upstream_start_effect_t *effect)
{
  job_t *job;

  if (level_of (node) == 0)
    mesh.top_runs++;
  if (level_of (node) == mesh.depth - 1)
    {
      mesh.bottom_runs++;
      end_run (node, effect->run,
               mesh.bottom == BOTTOM_HEALTHY || mesh.bottom == BOTTOM_LOSES_ANSWER);
      return;
    }
  job = calloc (1, sizeof *job);
  ck_assert_ptr_nonnull (job);
  job->run = effect->run;
  job->node = node;
  call_next_level (job, effect);
}

/* An upstream closes its connection without an answer if one of its calls failed. This is
 * the worst case, since the outcome is unknown at each level; only with
 * BOTTOM_REFUSES_CONNECTION it is reported as not run at each level. */
static void
handle_reply (const fq_reply_effect_t *effect)
{
  job_t *job = fq_map_remove (&mesh.jobs, effect->call);
  bool whole = effect->answer.outcome == FQ_OUTCOME_ANSWERED;

  if (job == NULL)
    {
      mesh.replies++;
      mesh.whole += whole ? 1 : 0;
      return;
    }
  job->failed = job->failed || !whole;
  if (--job->waiting > 0)
    return;
  end_run (job->node, job->run, !job->failed);
  free (job);
}

static int
node_index (const char *name)
{
  return atoi (name + 1);
}

static void
send_call (int from, const fq_peer_call_effect_t *effect)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CALL };
  fq_request_t *copy;

  ck_assert_int_eq (fq_request_new (&copy), FQ_OK);
  *copy = *effect->request;
  copy->references = 1;
  copy->remaining_ms = effect->remaining_ms;
  copy->retry_allowance = effect->retry_allowance;
  name_node (event.peer_call.node, from);
  event.peer_call.attempt = effect->attempt;
  event.peer_call.request = copy;
  schedule_event (node_index (effect->node), &event, HOP_US);
}

/* The connection ends before the answer is delivered; a new one is ready at once. */
static void
break_connection (int from, int to)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_DOWN };

  name_node (event.peer.node, from);
  schedule_event (to, &event, HOP_US);
  event.kind = FQ_EVENT_PEER_UP;
  schedule_event (to, &event, HOP_US);
}

static void
send_answer (int from, const fq_peer_answer_effect_t *effect)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_ANSWER };
  int to = node_index (effect->node);

  if (mesh.bottom == BOTTOM_LOSES_ANSWER && level_of (from) == mesh.depth - 1)
    {
      break_connection (from, to);
      return;
    }
  name_node (event.peer_answer.node, from);
  event.peer_answer.attempt = effect->attempt;
  event.peer_answer.answer = effect->answer;
  event.peer_answer.answer.body = NULL;
  schedule_event (to, &event, HOP_US);
}

static void
schedule_peer_event (int node, fq_event_kind_t kind, const char *peer)
{
  fq_event_t event = { .kind = kind };

  strcpy (event.peer.node, peer);
  schedule_event (node, &event, 0);
}

static void
answer_store (int node, fq_id_t op)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE };

  event.store.id = op;
  event.store.status = FQ_STORE_NOT_FOUND;
  schedule_event (node, &event, HOP_US);
}

static void
carry_out (int node, const fq_effect_t *effect)
{
  fq_event_t event = { 0 };

  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      handle_reply (&effect->reply);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      start_upstream_run (node, &effect->upstream_start);
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      event.kind = FQ_EVENT_UPSTREAM_FAILED;
      event.upstream_failed.run = effect->upstream_abort.run;
      event.upstream_failed.sent = true;
      schedule_event (node, &event, 0);
      break;
    case FQ_EFFECT_PEER_CALL:
      send_call (node, &effect->peer_call);
      break;
    case FQ_EFFECT_PEER_ANSWER:
      send_answer (node, &effect->peer_answer);
      break;
    case FQ_EFFECT_PEER_CONNECT:
      schedule_peer_event (node, FQ_EVENT_PEER_UP, effect->peer_connect.node);
      break;
    case FQ_EFFECT_STORE:
      answer_store (node, effect->store->id);
      break;
    default:
      break;
    }
}

static void
feed (int node, fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = mesh.now;
  fq_core_reduce (mesh.cores[node], event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    carry_out (node, &effects.items[i]);
  fq_effects_free (&effects);
  if (event->kind == FQ_EVENT_REQUEST)
    fq_request_unref (event->request.request);
  if (event->kind == FQ_EVENT_PEER_CALL)
    fq_request_unref (event->peer_call.request);
}

static void
tick_all (void)
{
  for (int i = 0; i < node_count (); i++)
    {
      fq_event_t event = { .kind = FQ_EVENT_TICK };

      feed (i, &event);
    }
}

static void
run_for_us (fq_time_t length_us)
{
  fq_time_t end = mesh.now + length_us;
  fq_time_t next_tick = mesh.now;

  while (mesh.now < end)
    {
      fq_list_t *link = fq_list_first (&mesh.pending);
      pending_event_t *pending
          = link == NULL ? NULL : FQ_LIST_ENTRY (link, pending_event_t, link);

      if (pending == NULL || pending->when > next_tick)
        {
          mesh.now = next_tick;
          next_tick += FQ_CORE_TICK_US;
          tick_all ();
          continue;
        }
      mesh.now = pending->when;
      fq_list_remove (link);
      feed (pending->node, &pending->event);
      free (pending);
    }
}

static void
announce (int node, uint64_t incarnation)
{
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  name_service (event.announce.service, level_of (node));
  strcpy (event.announce.address, "127.0.0.1:1");
  event.announce.incarnation = incarnation;
  event.announce.slots
      = level_of (node) == mesh.depth - 1 ? (uint32_t)mesh.bottom_slots : SLOTS_MAX;
  event.announce.connections = 1000;
  schedule_event (node, &event, 0);
}

static void
add_peer (int node, int other)
{
  fq_event_t event = { .kind = FQ_EVENT_GOSSIP };
  fq_node_entry_t *entry = &event.gossip.entries[0];

  event.gossip.kind = FQ_GOSSIP_ACK;
  event.gossip.entry_count = 1;
  name_node (entry->node, other);
  name_node (event.gossip.from, other);
  snprintf (entry->address, sizeof entry->address, "127.0.0.1:%d", 1000 + other);
  strcpy (event.gossip.from_address, entry->address);
  name_service (entry->service, level_of (other));
  entry->incarnation = 100;
  entry->slots = 200;
  entry->ready = true;
  schedule_event (node, &event, 0);
}

static void
set_up_mesh (int depth, int fan_out, bottom_behavior_t bottom, uint64_t seed)
{
  memset (&mesh, 0, sizeof mesh);
  mesh.depth = depth;
  mesh.fan_out = fan_out;
  mesh.bottom = bottom;
  mesh.bottom_slots = SLOTS_MAX;
  mesh.bottom_us = SERVICE_US;
  mesh.random.state = seed;
  mesh.now = FQ_MICROSECONDS_PER_SECOND;
  fq_list_init (&mesh.pending);
  for (int i = 0; i < node_count (); i++)
    {
      fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
      char name[FQ_NAME_BYTES];
      char address[FQ_ADDRESS_BYTES];

      name_node (name, i);
      snprintf (address, sizeof address, "127.0.0.1:%d", 1000 + i);
      options.node = name;
      options.address = address;
      options.incarnation = 1;
      options.seed = seed + (uint64_t)i;
      options.default_retries = RETRIES;
      ck_assert_int_eq (fq_core_new (&mesh.cores[i], &options, mesh.now), FQ_OK);
      announce (i, 1);
    }
  run_for_us (FQ_MICROSECONDS_PER_SECOND);
  for (int i = 0; i < node_count (); i++)
    {
      for (int j = 0; j < node_count (); j++)
        {
          if (i != j)
            add_peer (i, j);
        }
    }
  run_for_us (FQ_MICROSECONDS_PER_SECOND / 10);
}

static void
tear_down_mesh (void)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh.pending)
  free (FQ_LIST_ENTRY (link, pending_event_t, link));
  for (int i = 0; i < node_count (); i++)
    fq_core_free (mesh.cores[i]);
  fq_map_clear (&mesh.jobs);
}

static void
send_request (int number)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  name_service (request->service, 0);
  strcpy (request->method, "GET");
  snprintf (request->path, sizeof request->path, "/%d", number);
  request->remaining_ms = DEADLINE_MS;
  event.request.call = ++mesh.next_call;
  event.request.source = FQ_SOURCE_CALLER;
  event.request.request = request;
  strcpy (event.request.member, "wrekin");
  schedule_event ((int)fq_random_below (&mesh.random, NODES_PER_SERVICE), &event, 0);
}

static const struct
{
  int depth;
  int fan_out;
  bottom_behavior_t bottom;
  int requests;
} chains[] = {
  { 5, 1, BOTTOM_HEALTHY, 50 },
  { 5, 1, BOTTOM_DROPS_CONNECTION, 50 },
  { 5, 1, BOTTOM_REFUSES_CONNECTION, 50 },
  { 5, 1, BOTTOM_LOSES_ANSWER, 50 },
  { 9, 1, BOTTOM_HEALTHY, 50 },
  { 9, 1, BOTTOM_DROPS_CONNECTION, 50 },
  { 9, 1, BOTTOM_REFUSES_CONNECTION, 50 },
  { 9, 1, BOTTOM_LOSES_ANSWER, 50 },
  { 5, 3, BOTTOM_HEALTHY, 5 },
  { 5, 3, BOTTOM_DROPS_CONNECTION, 5 },
  { 5, 3, BOTTOM_REFUSES_CONNECTION, 5 },
  { 5, 3, BOTTOM_LOSES_ANSWER, 5 },
};

static unsigned int
runs_without_retries (int depth, int fan_out, int requests)
{
  unsigned int work = (unsigned int)requests;

  for (int i = 1; i < depth; i++)
    work *= (unsigned int)fan_out;
  return work;
}

START_TEST (test_retries_of_a_chain_are_bounded)
{
  int requests = chains[_i].requests;
  unsigned int without_retries
      = runs_without_retries (chains[_i].depth, chains[_i].fan_out, requests);

  set_up_mesh (chains[_i].depth, chains[_i].fan_out, chains[_i].bottom,
               500u + (uint64_t)_i);
  for (int i = 0; i < requests; i++)
    {
      send_request (i);
      run_for_us (20000);
    }
  run_for_us ((fq_time_t)DEADLINE_MS * FQ_MICROSECONDS_PER_MS);
  printf ("depth %d, fan-out %d, fault %d: %u runs at the bottom, %u without retries, "
          "%u of %d whole\n",
          chains[_i].depth, chains[_i].fan_out, chains[_i].bottom, mesh.bottom_runs,
          without_retries, mesh.whole, requests);
  ck_assert_uint_eq (mesh.replies, (unsigned int)requests);
  ck_assert_uint_le (mesh.bottom_runs, without_retries * (1 + RETRIES));
  if (chains[_i].bottom == BOTTOM_HEALTHY)
    ck_assert_uint_eq (mesh.whole, (unsigned int)requests);
  if (chains[_i].bottom == BOTTOM_HEALTHY)
    ck_assert_uint_eq (mesh.bottom_runs, without_retries);
  tear_down_mesh ();
}
END_TEST

#define OVERLOAD_PERIOD_US 500 /* 2,000 requests per second from callers */
#define OVERLOAD_SLOTS 5       /* 3 nodes, 5 slots, 20 ms: 750 per second at the bottom */
#define OVERLOAD_BOTTOM_US 20000
#define OVERLOAD_SECONDS 10
#define OVERLOAD_SETTLE_SECONDS 2

static void
send_requests_for (int seconds, int *number)
{
  for (int i = 0; i < seconds * FQ_MICROSECONDS_PER_SECOND / OVERLOAD_PERIOD_US; i++)
    {
      send_request ((*number)++);
      run_for_us (OVERLOAD_PERIOD_US);
    }
}

/* Runs of the first service are wasted when the overloaded last service refuses the
 * chain. Once the entry knows the shed level, at most one wasted run per ten answers may
 * occur, and the answers must reach 95 % of the capacity. */
START_TEST (test_entry_sheds_load_of_an_overloaded_bottom)
{
  int number = 0;
  unsigned int top_before;
  unsigned int whole_before;
  unsigned int top;
  unsigned int whole;

  const char *seed = getenv ("FQ_TEST_SEED");

  set_up_mesh (4, 1, BOTTOM_HEALTHY, seed == NULL ? 900 : strtoull (seed, NULL, 10));
  mesh.bottom_slots = OVERLOAD_SLOTS;
  mesh.bottom_us = OVERLOAD_BOTTOM_US;
  for (int i = 0; i < node_count (); i++)
    announce (i, 2);
  send_requests_for (OVERLOAD_SETTLE_SECONDS, &number);
  top_before = mesh.top_runs;
  whole_before = mesh.whole;
  send_requests_for (OVERLOAD_SECONDS, &number);
  top = mesh.top_runs - top_before;
  whole = mesh.whole - whole_before;
  printf ("overloaded bottom, seed %s: %u runs at the top, %u whole answers, capacity "
          "%d\n",
          seed == NULL ? "900" : seed, top, whole, 750 * OVERLOAD_SECONDS);
  fflush (stdout);
  ck_assert_uint_ge (whole, 750 * OVERLOAD_SECONDS * 95 / 100);
  ck_assert_uint_le (top, whole + whole / 10);
  run_for_us ((fq_time_t)DEADLINE_MS * FQ_MICROSECONDS_PER_MS);
  tear_down_mesh ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("chain");
  TCase *tcase = tcase_create ("chain");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_retries_of_a_chain_are_bounded, 0,
                       (int)(sizeof chains / sizeof chains[0]));
  tcase_add_test (tcase, test_entry_sheds_load_of_an_overloaded_bottom);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
