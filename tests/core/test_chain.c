/**
 * DOC: Chains of services, every node a reducer, with failures at the bottom.
 *
 * What the bottom is asked to do must stay within (1 + allowance) times the work without
 * any retry, however deep the chain and however wide each service calls on.
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
  BOTTOM_WORKS,
  BOTTOM_DROPS,   /* the connection ends after the work was taken */
  BOTTOM_REFUSES, /* no connection can be opened */
  BOTTOM_LOSES,   /* it runs, but the node's answer is lost with its connection */
} bottom_t;

/* What an upstream does for one run: it calls on, then answers. */
typedef struct
{
  fq_id_t run;
  int node;
  unsigned int waiting; /* calls that have not ended */
  bool failed;
} job_t;

typedef struct
{
  fq_list_t link;
  fq_time_t when;
  int node;
  fq_event_t event;
} later_t;

static struct
{
  int depth;
  int fan_out;
  bottom_t bottom;
  int bottom_slots;
  fq_time_t bottom_us;                               /* time of one run at the bottom */
  fq_time_t slot_free[NODES_PER_SERVICE][SLOTS_MAX]; /* of the bottom's nodes */
  unsigned int top_runs;
  fq_core_t *cores[NODES_MAX];
  fq_time_t now;
  fq_random_t chance;
  fq_list_t later; /* in the order of time */
  fq_map_t jobs;   /* by the calls that they wait for */
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
happen_later (int node, const fq_event_t *event, fq_time_t delay)
{
  later_t *later = calloc (1, sizeof *later);
  fq_list_t *place = mesh.later.prev;

  ck_assert_ptr_nonnull (later);
  later->when = mesh.now + delay;
  later->node = node;
  later->event = *event;
  while (place != &mesh.later && FQ_LIST_ENTRY (place, later_t, link)->when > later->when)
    place = place->prev;
  fq_list_prepend (place, &later->link);
}

/* How long a run takes in its upstream, with the wait for a slot at the bottom. */
static fq_time_t
time_of_run (int node)
{
  fq_time_t *slots = mesh.slot_free[node % NODES_PER_SERVICE];
  int first = 0;

  if (level_of (node) < mesh.depth - 1)
    return SERVICE_US;
  for (int i = 1; i < mesh.bottom_slots; i++)
    {
      if (slots[i] < slots[first])
        first = i;
    }
  if (slots[first] < mesh.now)
    slots[first] = mesh.now;
  slots[first] += mesh.bottom_us;
  return slots[first] - mesh.now;
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
      event.upstream_failed.sent = mesh.bottom != BOTTOM_REFUSES;
    }
  happen_later (node, &event, time_of_run (node));
}

static void
call_on (job_t *job, const fq_upstream_start_effect_t *effect)
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
      happen_later (job->node, &event, 0);
    }
}

static void
start_work (int node, const fq_upstream_start_effect_t *effect)
{
  job_t *job;

  if (level_of (node) == 0)
    mesh.top_runs++;
  if (level_of (node) == mesh.depth - 1)
    {
      mesh.bottom_runs++;
      end_run (node, effect->run,
               mesh.bottom == BOTTOM_WORKS || mesh.bottom == BOTTOM_LOSES);
      return;
    }
  job = calloc (1, sizeof *job);
  ck_assert_ptr_nonnull (job);
  job->run = effect->run;
  job->node = node;
  call_on (job, effect);
}

/* An upstream whose call failed drops its own connection as well: the worst manners. */
static void
take_reply (const fq_reply_effect_t *effect)
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
node_called (const char *name)
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
  copy->allowance = effect->allowance;
  name_node (event.peer_call.node, from);
  event.peer_call.attempt = effect->attempt;
  event.peer_call.request = copy;
  happen_later (node_called (effect->node), &event, HOP_US);
}

/* The connection ends with the answer on it; a new one is ready at once. */
static void
lose_connection (int from, int to)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_DOWN };

  name_node (event.peer.node, from);
  happen_later (to, &event, HOP_US);
  event.kind = FQ_EVENT_PEER_UP;
  happen_later (to, &event, HOP_US);
}

static void
send_answer (int from, const fq_peer_answer_effect_t *effect)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_ANSWER };
  int to = node_called (effect->node);

  if (mesh.bottom == BOTTOM_LOSES && level_of (from) == mesh.depth - 1)
    {
      lose_connection (from, to);
      return;
    }
  name_node (event.peer_answer.node, from);
  event.peer_answer.attempt = effect->attempt;
  event.peer_answer.answer = effect->answer;
  event.peer_answer.answer.body = NULL;
  happen_later (to, &event, HOP_US);
}

static void
answer_event (int node, fq_event_kind_t kind, const char *peer)
{
  fq_event_t event = { .kind = kind };

  strcpy (event.peer.node, peer);
  happen_later (node, &event, 0);
}

static void
answer_store (int node, fq_id_t op)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE };

  event.store.id = op;
  event.store.status = FQ_STORE_NOT_FOUND;
  happen_later (node, &event, HOP_US);
}

static void
carry_out (int node, const fq_effect_t *effect)
{
  fq_event_t event = { 0 };

  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      take_reply (&effect->reply);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      start_work (node, &effect->upstream_start);
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      event.kind = FQ_EVENT_UPSTREAM_FAILED;
      event.upstream_failed.run = effect->upstream_abort.run;
      event.upstream_failed.sent = true;
      happen_later (node, &event, 0);
      break;
    case FQ_EFFECT_PEER_CALL:
      send_call (node, &effect->peer_call);
      break;
    case FQ_EFFECT_PEER_ANSWER:
      send_answer (node, &effect->peer_answer);
      break;
    case FQ_EFFECT_PEER_CONNECT:
      answer_event (node, FQ_EVENT_PEER_UP, effect->peer_connect.node);
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
run_for (fq_time_t length)
{
  fq_time_t end = mesh.now + length;
  fq_time_t next_tick = mesh.now;

  while (mesh.now < end)
    {
      fq_list_t *link = fq_list_first (&mesh.later);
      later_t *later = link == NULL ? NULL : FQ_LIST_ENTRY (link, later_t, link);

      if (later == NULL || later->when > next_tick)
        {
          mesh.now = next_tick;
          next_tick += FQ_CORE_TICK_US;
          tick_all ();
          continue;
        }
      mesh.now = later->when;
      fq_list_remove (link);
      feed (later->node, &later->event);
      free (later);
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
  happen_later (node, &event, 0);
}

static void
introduce (int node, int other)
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
  happen_later (node, &event, 0);
}

static void
set_up_mesh (int depth, int fan_out, bottom_t bottom, uint64_t seed)
{
  memset (&mesh, 0, sizeof mesh);
  mesh.depth = depth;
  mesh.fan_out = fan_out;
  mesh.bottom = bottom;
  mesh.bottom_slots = SLOTS_MAX;
  mesh.bottom_us = SERVICE_US;
  mesh.chance.state = seed;
  mesh.now = FQ_MICROSECONDS_PER_SECOND;
  fq_list_init (&mesh.later);
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
  run_for (FQ_MICROSECONDS_PER_SECOND);
  for (int i = 0; i < node_count (); i++)
    {
      for (int j = 0; j < node_count (); j++)
        {
          if (i != j)
            introduce (i, j);
        }
    }
  run_for (FQ_MICROSECONDS_PER_SECOND / 10);
}

static void
tear_down_mesh (void)
{
  FQ_LIST_FOREACH_SAFE (link, following, &mesh.later)
  free (FQ_LIST_ENTRY (link, later_t, link));
  for (int i = 0; i < node_count (); i++)
    fq_core_free (mesh.cores[i]);
  fq_map_clear (&mesh.jobs);
}

static void
ask (int number)
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
  happen_later ((int)fq_random_below (&mesh.chance, NODES_PER_SERVICE), &event, 0);
}

static const struct
{
  int depth;
  int fan_out;
  bottom_t bottom;
  int requests;
} chains[] = {
  { 5, 1, BOTTOM_WORKS, 50 },   { 5, 1, BOTTOM_DROPS, 50 },  { 5, 1, BOTTOM_REFUSES, 50 },
  { 5, 1, BOTTOM_LOSES, 50 },   { 9, 1, BOTTOM_WORKS, 50 },  { 9, 1, BOTTOM_DROPS, 50 },
  { 9, 1, BOTTOM_REFUSES, 50 }, { 9, 1, BOTTOM_LOSES, 50 },  { 5, 3, BOTTOM_WORKS, 5 },
  { 5, 3, BOTTOM_DROPS, 5 },    { 5, 3, BOTTOM_REFUSES, 5 }, { 5, 3, BOTTOM_LOSES, 5 },
};

static unsigned int
work_without_retries (int depth, int fan_out, int requests)
{
  unsigned int work = (unsigned int)requests;

  for (int i = 1; i < depth; i++)
    work *= (unsigned int)fan_out;
  return work;
}

START_TEST (test_work_at_the_bottom_is_bounded)
{
  int requests = chains[_i].requests;
  unsigned int least
      = work_without_retries (chains[_i].depth, chains[_i].fan_out, requests);

  set_up_mesh (chains[_i].depth, chains[_i].fan_out, chains[_i].bottom,
               500u + (uint64_t)_i);
  for (int i = 0; i < requests; i++)
    {
      ask (i);
      run_for (20000);
    }
  run_for ((fq_time_t)DEADLINE_MS * FQ_MICROSECONDS_PER_MS);
  printf ("depth %d, fan-out %d, fault %d: %u runs at the bottom, %u without retries, "
          "%u of %d whole\n",
          chains[_i].depth, chains[_i].fan_out, chains[_i].bottom, mesh.bottom_runs,
          least, mesh.whole, requests);
  ck_assert_uint_eq (mesh.replies, (unsigned int)requests);
  ck_assert_uint_le (mesh.bottom_runs, least * (1 + RETRIES));
  if (chains[_i].bottom == BOTTOM_WORKS)
    ck_assert_uint_eq (mesh.whole, (unsigned int)requests);
  if (chains[_i].bottom == BOTTOM_WORKS)
    ck_assert_uint_eq (mesh.bottom_runs, least);
  tear_down_mesh ();
}
END_TEST

#define OVERLOAD_PERIOD_US 500 /* 2,000 requests a second from outside */
#define OVERLOAD_SLOTS 5       /* 3 nodes, 5 slots, 20 ms: 750 a second at the bottom */
#define OVERLOAD_BOTTOM_US 20000
#define OVERLOAD_SECONDS 10
#define OVERLOAD_SETTLE_SECONDS 2

static void
ask_for (int seconds, int *number)
{
  for (int i = 0; i < seconds * FQ_MICROSECONDS_PER_SECOND / OVERLOAD_PERIOD_US; i++)
    {
      ask ((*number)++);
      run_for (OVERLOAD_PERIOD_US);
    }
}

/* Work at the top for chains that end without an answer is lost; at most a tenth of it
 * may be, once the level is known at the entry. */
START_TEST (test_entry_sheds_what_the_bottom_has_no_room_for)
{
  int number = 0;
  unsigned int top_before;
  unsigned int whole_before;
  unsigned int top;
  unsigned int whole;

  const char *seed = getenv ("FQ_TEST_SEED");

  set_up_mesh (4, 1, BOTTOM_WORKS, seed == NULL ? 900 : strtoull (seed, NULL, 10));
  mesh.bottom_slots = OVERLOAD_SLOTS;
  mesh.bottom_us = OVERLOAD_BOTTOM_US;
  for (int i = 0; i < node_count (); i++)
    announce (i, 2);
  ask_for (OVERLOAD_SETTLE_SECONDS, &number);
  top_before = mesh.top_runs;
  whole_before = mesh.whole;
  ask_for (OVERLOAD_SECONDS, &number);
  top = mesh.top_runs - top_before;
  whole = mesh.whole - whole_before;
  printf ("overloaded bottom, seed %s: %u runs at the top, %u whole answers, capacity "
          "%d\n",
          seed == NULL ? "900" : seed, top, whole, 750 * OVERLOAD_SECONDS);
  fflush (stdout);
  ck_assert_uint_ge (whole, 750 * OVERLOAD_SECONDS * 95 / 100);
  ck_assert_uint_le (top, whole + whole / 10);
  run_for ((fq_time_t)DEADLINE_MS * FQ_MICROSECONDS_PER_MS);
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
  tcase_add_loop_test (tcase, test_work_at_the_bottom_is_bounded, 0,
                       (int)(sizeof chains / sizeof chains[0]));
  tcase_add_test (tcase, test_entry_sheds_what_the_bottom_has_no_room_for);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
