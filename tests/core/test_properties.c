/**
 * DOC: Random sequences of events on the whole reducer, with what must hold at each step.
 *
 * FQ_TEST_SEED and FQ_TEST_EVENTS in the environment change the run; both are printed.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"
#include "util/map.h"
#include "util/random.h"

#define EVENTS 1000000
#define RETRIES 2
#define OPEN_MAX 4096
#define CONFIRM_TICKS 10000 /* of 10 ms on average: beyond the longest backoff */
#define LAST_DEADLINE_US (20 * FQ_MICROSECONDS_PER_SECOND)

/* Something that the core has opened or that was opened at it, and not yet ended. */
typedef struct
{
  fq_id_t id;
  char node[FQ_NAME_BYTES];
  fq_request_t *request;
  bool aborted;
} open_t;

typedef struct
{
  open_t items[OPEN_MAX];
  size_t count;
} open_set_t;

static fq_core_t *core;
static fq_effects_t effects;
static fq_time_t now;
static fq_random_t chance;
static fq_id_t next_id;
static open_set_t calls;    /* of callers, unanswered */
static open_set_t runs;     /* at our upstream */
static open_set_t attempts; /* at other nodes */
static open_set_t asked;    /* attempts of other nodes at us, unanswered */
static open_set_t store_ops;
static fq_map_t tries_by_chain;
static uint64_t replies;
static bool stopped;

static void
add (open_set_t *set, fq_id_t id, const char *node, fq_request_t *request)
{
  open_t *item = &set->items[set->count++];

  ck_assert_uint_lt (set->count, OPEN_MAX);
  *item = (open_t){ .id = id, .request = fq_request_ref (request) };
  strcpy (item->node, node);
}

static open_t *
find (open_set_t *set, fq_id_t id, const char *node)
{
  for (size_t i = 0; i < set->count; i++)
    {
      if (set->items[i].id == id && strcmp (set->items[i].node, node) == 0)
        return &set->items[i];
    }
  return NULL;
}

static void
take_out (open_set_t *set, open_t *item)
{
  fq_request_unref (item->request);
  *item = set->items[--set->count];
}

static open_t *
any (open_set_t *set)
{
  return set->count == 0 ? NULL : &set->items[fq_random_below (&chance, set->count)];
}

/* A POST without a rule is not sent again once its outcome is unknown. */
static fq_map_t may_have_run;

static void
mark_unknown (const fq_request_t *request)
{
  if (strcmp (request->method, "POST") == 0)
    fq_map_set (&may_have_run, request->chain_id | 1, &may_have_run);
}

/* Every attempt of a chain that entered here, wherever it goes. */
static void
count_try (const fq_request_t *request)
{
  uint64_t key = request->chain_id | 1;
  uintptr_t tries = (uintptr_t)fq_map_get (&tries_by_chain, key) + 1;

  ck_assert_msg (fq_map_get (&may_have_run, key) == NULL, "a POST was sent twice");

  ck_assert_msg (tries <= 1 + RETRIES, "a chain was tried %zu times", (size_t)tries);
  ck_assert_int_eq (fq_map_set (&tries_by_chain, key, (void *)tries), FQ_OK);
}

static bool
entered_here (const fq_request_t *request)
{
  return request->path[1] == 'c';
}

static void
see_reply (const fq_reply_effect_t *effect)
{
  open_t *item = find (&calls, effect->call, "");

  ck_assert_msg (item != NULL, "a call was answered twice, or after its caller left");
  if (effect->answer.outcome != FQ_OUTCOME_ANSWERED)
    ck_assert_msg (effect->answer.retry_after_ms > 0 || effect->answer.status < 500,
                   "a refusal did not say when to come back");
  take_out (&calls, item);
  replies++;
}

static void
see_effect (const fq_effect_t *effect)
{
  open_t *item;

  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      see_reply (&effect->reply);
      break;
    case FQ_EFFECT_PEER_CALL:
      ck_assert_ptr_null (find (&attempts, effect->peer_call.attempt, ""));
      add (&attempts, effect->peer_call.attempt, "", effect->peer_call.request);
      count_try (effect->peer_call.request);
      break;
    case FQ_EFFECT_PEER_CANCEL:
      item = find (&attempts, effect->peer_cancel.attempt, "");
      ck_assert_msg (item != NULL, "an ended attempt was cancelled");
      take_out (&attempts, item);
      break;
    case FQ_EFFECT_PEER_ANSWER:
      item = find (&asked, effect->peer_answer.attempt, effect->peer_answer.node);
      ck_assert_msg (item != NULL, "an attempt was answered twice, or after its end");
      take_out (&asked, item);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      ck_assert_ptr_null (find (&runs, effect->upstream_start.run, ""));
      add (&runs, effect->upstream_start.run, "", effect->upstream_start.request);
      if (entered_here (effect->upstream_start.request))
        count_try (effect->upstream_start.request);
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      item = find (&runs, effect->upstream_abort.run, "");
      ck_assert_msg (item != NULL && !item->aborted, "a run was aborted after its end");
      item->aborted = true;
      break;
    case FQ_EFFECT_STORE:
      add (&store_ops, effect->store->id, "", NULL);
      break;
    case FQ_EFFECT_STOPPED:
      ck_assert_uint_eq (calls.count + runs.count + asked.count, 0);
      stopped = true;
      break;
    default:
      break;
    }
}

static void
feed (fq_event_t *event)
{
  event->now = now;
  fq_effects_clear (&effects);
  fq_core_reduce (core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    see_effect (&effects.items[i]);
}

static void
feed_kind (fq_event_kind_t kind)
{
  fq_event_t event = { .kind = kind };

  feed (&event);
}

static const char *
some_node (void)
{
  static const char *const names[] = { "n2", "n3", "n4", "n5", "n6", "n7" };

  return names[fq_random_below (&chance, 6)];
}

static fq_request_t *
new_request (const char *path)
{
  static const char *const methods[] = { "GET", "POST" };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->member, "wrekin");
  strcpy (request->service, "wrekin/tables");
  strcpy (request->method, methods[fq_random_below (&chance, 2)]);
  snprintf (request->path, sizeof request->path, "%s/%llu", path,
            (unsigned long long)next_id);
  request->remaining_ms = 1 + (uint32_t)fq_random_below (&chance, 3000);
  return request;
}

static void
caller_asks (void)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };

  event.request.call = ++next_id;
  event.request.request = new_request ("/caller");
  strcpy (event.request.member, "wrekin");
  add (&calls, event.request.call, "", NULL);
  feed (&event);
  fq_request_unref (event.request.request);
}

static void
caller_leaves (void)
{
  fq_event_t event = { .kind = FQ_EVENT_CALLER_DISCONNECTED };
  open_t *item = any (&calls);

  if (item == NULL)
    return;
  event.caller_disconnected.call = item->id;
  take_out (&calls, item);
  feed (&event);
}

static void
node_asks (void)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CALL };

  event.peer_call.attempt = ++next_id;
  event.peer_call.request = new_request ("/node");
  event.peer_call.request->chain_id = fq_random_next (&chance);
  event.peer_call.request->request_class = (fq_class_t)fq_random_below (&chance, 3);
  strcpy (event.peer_call.node, some_node ());
  add (&asked, event.peer_call.attempt, event.peer_call.node, NULL);
  feed (&event);
  fq_request_unref (event.peer_call.request);
}

static void
node_cancels (void)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CANCEL };
  open_t *item = any (&asked);

  if (item == NULL)
    return;
  event.peer_cancel.attempt = item->id;
  strcpy (event.peer_cancel.node, item->node);
  take_out (&asked, item);
  feed (&event);
}

static void
node_answers (void)
{
  static const fq_cause_t causes[] = { FQ_CAUSE_OVERLOAD, FQ_CAUSE_DRAINING,
                                       FQ_CAUSE_CONNECT_FAILED, FQ_CAUSE_DEADLINE };
  fq_event_t event = { .kind = FQ_EVENT_PEER_ANSWER };
  open_t *item = any (&attempts);

  if (item == NULL)
    return;
  event.peer_answer.attempt = item->id;
  event.peer_answer.answer.status = 200;
  event.peer_answer.answer.allowance = (uint32_t)fq_random_below (&chance, 5);
  event.peer_answer.answer.outcome = (fq_outcome_t)fq_random_below (&chance, 3);
  if (event.peer_answer.answer.outcome == FQ_OUTCOME_UNKNOWN)
    mark_unknown (item->request);
  if (event.peer_answer.answer.outcome != FQ_OUTCOME_ANSWERED)
    {
      event.peer_answer.answer.status = 503;
      event.peer_answer.answer.retry_after_ms = 1;
      event.peer_answer.answer.cause = causes[fq_random_below (&chance, 4)];
    }
  take_out (&attempts, item);
  feed (&event);
}

static void
upstream_answers (void)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };
  open_t *item = any (&runs);

  if (item == NULL)
    return;
  event.upstream_answer.run = item->id;
  event.upstream_answer.answer.status = 200;
  take_out (&runs, item);
  feed (&event);
}

static void
upstream_fails (void)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_FAILED };
  open_t *item = any (&runs);

  if (item == NULL)
    return;
  event.upstream_failed.run = item->id;
  event.upstream_failed.sent = fq_random_below (&chance, 2) == 0;
  if (event.upstream_failed.sent && entered_here (item->request))
    mark_unknown (item->request);
  take_out (&runs, item);
  feed (&event);
}

/* A late answer: to an attempt that ended long ago. */
static void
late_answer (void)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_ANSWER };

  event.peer_answer.attempt = fq_random_below (&chance, 1u << 22);
  event.peer_answer.answer.status = 200;
  if (find (&attempts, event.peer_answer.attempt, "") == NULL)
    feed (&event);
}

static void
store_answers (void)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE };
  open_t *item = any (&store_ops);

  if (item == NULL)
    return;
  event.store.id = item->id;
  event.store.status
      = fq_random_below (&chance, 4) == 0 ? FQ_STORE_UNAVAILABLE : FQ_STORE_NOT_FOUND;
  take_out (&store_ops, item);
  feed (&event);
}

static void
upstream_announces (void)
{
  static uint64_t incarnation = 1;
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  if (fq_random_below (&chance, 10) == 0)
    incarnation++;
  strcpy (event.announce.service, "wrekin/tables");
  strcpy (event.announce.address, "127.0.0.1:2");
  event.announce.incarnation = incarnation;
  event.announce.slots = 8;
  event.announce.connections = 40;
  feed (&event);
}

/* The other nodes serve the same service, and come and go. */
static void
node_gossips (void)
{
  static uint64_t incarnation = 1;
  fq_event_t event = { .kind = FQ_EVENT_GOSSIP };
  fq_node_entry_t *entry = &event.gossip.entries[0];

  event.gossip.kind = FQ_GOSSIP_ACK;
  strcpy (event.gossip.from, some_node ());
  strcpy (event.gossip.from_address, "127.0.0.1:3");
  event.gossip.entry_count = 1;
  strcpy (entry->node, event.gossip.from);
  strcpy (entry->address, event.gossip.from_address);
  strcpy (entry->service, "wrekin/tables");
  entry->incarnation = ++incarnation;
  entry->slots = 8;
  entry->ready = fq_random_below (&chance, 8) > 0;
  feed (&event);
  event = (fq_event_t){ .kind = FQ_EVENT_PEER_UP };
  strcpy (event.peer.node, some_node ());
  feed (&event);
}

static void
lose_where (open_set_t *set, const char *node)
{
  for (size_t i = set->count; i > 0; i--)
    {
      if (strcmp (set->items[i - 1].node, node) == 0)
        take_out (set, &set->items[i - 1]);
    }
}

static void
connection_ends (void)
{
  fq_event_t event = { .kind = FQ_EVENT_ENTRY_DOWN };

  strcpy (event.peer.node, some_node ());
  lose_where (&asked, event.peer.node);
  feed (&event);
}

static void
time_passes (void)
{
  now += 1 + (fq_time_t)fq_random_below (&chance, 20000);
  feed_kind (FQ_EVENT_TICK);
}

static const struct
{
  unsigned int weight;
  void (*happens) (void);
} happenings[] = {
  { 200, caller_asks },      { 20, caller_leaves }, { 100, node_asks },
  { 10, node_cancels },      { 180, node_answers }, { 260, upstream_answers },
  { 30, upstream_fails },    { 20, late_answer },   { 40, store_answers },
  { 3, upstream_announces }, { 4, node_gossips },   { 1, connection_ends },
  { 130, time_passes },
};

static void
something_happens (void)
{
  unsigned int total = 0;
  unsigned int pick;
  size_t i = 0;

  for (size_t j = 0; j < sizeof happenings / sizeof happenings[0]; j++)
    total += happenings[j].weight;
  pick = (unsigned int)fq_random_below (&chance, total);
  while (pick >= happenings[i].weight)
    pick -= happenings[i++].weight;
  happenings[i].happens ();
}

static uint64_t
number_from (const char *name, uint64_t otherwise)
{
  const char *text = getenv (name);

  return text == NULL ? otherwise : strtoull (text, NULL, 10);
}

/* Slots that were lost on the way would add up until none is left. Some requests ask for
 * too short a time, hence the tries. */
static void
check_slots (void)
{
  while (runs.count > 0)
    upstream_answers ();
  now += LAST_DEADLINE_US;
  feed_kind (FQ_EVENT_TICK);
  /* That silence was a pause: tickets are confirmed anew, by a store that fails at
   * times, before anything is admitted. */
  for (int tries = 0; tries < CONFIRM_TICKS; tries++)
    {
      time_passes ();
      while (store_ops.count > 0)
        store_answers ();
    }
  upstream_announces ();
  while (runs.count > 0)
    upstream_answers ();
  for (int tries = 0; tries < 100 && runs.count == 0; tries++)
    node_asks ();
  ck_assert_msg (runs.count == 1, "the idle gate did not start a request");
}

static void
wind_down (void)
{
  fq_time_t end = now + LAST_DEADLINE_US;

  while (runs.count > 0)
    upstream_answers ();
  feed_kind (FQ_EVENT_SHUTDOWN);
  while (now < end)
    {
      time_passes ();
      store_answers ();
      while (runs.count > 0)
        upstream_answers ();
    }
}

START_TEST (test_random_events)
{
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
  uint64_t seed = number_from ("FQ_TEST_SEED", 20261);
  uint64_t events = number_from ("FQ_TEST_EVENTS", EVENTS);

  printf ("seed %llu, %llu events\n", (unsigned long long)seed,
          (unsigned long long)events);
  fflush (stdout);
  chance.state = seed;
  now = FQ_MICROSECONDS_PER_SECOND;
  options.node = "n1";
  options.address = "127.0.0.1:1";
  options.incarnation = 1;
  options.seed = seed;
  options.default_retries = RETRIES;
  ck_assert_int_eq (fq_core_new (&core, &options, now), FQ_OK);
  for (uint64_t i = 0; i < events; i++)
    something_happens ();
  ck_assert_uint_gt (replies, events / 20);
  check_slots ();
  wind_down ();
  ck_assert_msg (stopped, "%zu calls, %zu runs, %zu asked are left", calls.count,
                 runs.count, asked.count);
  ck_assert_uint_eq (calls.count, 0);
  fq_effects_free (&effects);
  fq_core_free (core);
  fq_map_clear (&tries_by_chain);
  fq_map_clear (&may_have_run);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("properties");
  TCase *tcase = tcase_create ("properties");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 100);
  tcase_add_test (tcase, test_random_events);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
