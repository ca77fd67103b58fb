/**
 * DOC: Tests of operator reports, through the whole reducer.
 *
 * A member sees the calls, ejections and changes of the upstream that concern it, and
 * nothing of another member.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/core.h"

#define OTHER_NODES 4
#define STEP_US 10000
#define WALL_MS 1700000000000
#define PENDING_MAX 64

static fq_core_t *core;
static fq_time_t now;
static char *last_reply; /* the last answer to an operator */
static fq_effect_t pending[PENDING_MAX];
static size_t pending_count;
static fq_id_t next_call;

static void
collect_effect (fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_OPERATOR_REPLY:
      free (last_reply);
      last_reply = strdup (effect->operator_reply.body);
      break;
    case FQ_EFFECT_STORE:
    case FQ_EFFECT_PEER_CALL:
    case FQ_EFFECT_PEER_CONNECT:
      ck_assert_uint_lt (pending_count, PENDING_MAX);
      pending[pending_count] = *effect;
      /* The pointers in the copy are freed with the effects; so keep the store's id. */
      if (effect->kind == FQ_EFFECT_STORE)
        pending[pending_count].reply.call = effect->store->id;
      pending_count++;
      break;
    default:
      break;
    }
}

static void
reduce (fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = now;
  event->wall_ms = WALL_MS + now / FQ_MICROSECONDS_PER_MS;
  fq_core_reduce (core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    collect_effect (&effects.items[i]);
  fq_effects_free (&effects);
}

/* Every attempt at a node fails with a lost connection; the store has no rows. */
static void
answer_effect (const fq_effect_t *effect)
{
  fq_event_t event = { 0 };

  switch (effect->kind)
    {
    case FQ_EFFECT_PEER_CALL:
      event.kind = FQ_EVENT_PEER_ANSWER;
      event.peer_answer.attempt = effect->peer_call.attempt;
      memcpy (event.peer_answer.node, effect->peer_call.node, FQ_NAME_BYTES);
      event.peer_answer.answer.outcome = FQ_OUTCOME_UNKNOWN;
      event.peer_answer.answer.cause = FQ_CAUSE_CONNECTION_LOST;
      event.peer_answer.answer.status = 502;
      break;
    case FQ_EFFECT_PEER_CONNECT:
      event.kind = FQ_EVENT_PEER_UP;
      memcpy (event.peer.node, effect->peer_connect.node, FQ_NAME_BYTES);
      break;
    default:
      event.kind = FQ_EVENT_STORE;
      event.store.id = effect->reply.call;
      event.store.status = FQ_STORE_NOT_FOUND;
      break;
    }
  reduce (&event);
}

static void
handle_event (fq_event_t *event)
{
  reduce (event);
  while (pending_count > 0)
    {
      fq_effect_t effect = pending[--pending_count];

      answer_effect (&effect);
    }
}

static void
advance (fq_time_t length)
{
  for (fq_time_t end = now + length; now < end; now += STEP_US)
    {
      fq_event_t event = { .kind = FQ_EVENT_TICK };

      handle_event (&event);
    }
}

static void
add_node (const char *node, const char *address)
{
  fq_event_t event = { .kind = FQ_EVENT_GOSSIP };
  fq_node_entry_t *entry = &event.gossip.entries[0];

  event.gossip.kind = FQ_GOSSIP_ACK;
  event.gossip.entry_count = 1;
  strcpy (entry->node, node);
  strcpy (entry->address, address);
  strcpy (entry->service, "wrekin/regions");
  entry->incarnation = 1;
  entry->slots = 4;
  entry->ready = true;
  strcpy (event.gossip.from, node);
  strcpy (event.gossip.from_address, address);
  handle_event (&event);
}

static void
set_up (void)
{
  static const char *const names[OTHER_NODES] = { "n2", "n3", "n4", "n5" };
  static const char *const addresses[OTHER_NODES]
      = { "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5" };
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;

  now = FQ_MICROSECONDS_PER_SECOND;
  pending_count = 0;
  options.node = "n1";
  options.address = "127.0.0.1:1";
  options.incarnation = 1;
  options.seed = 7;
  ck_assert_int_eq (fq_core_new (&core, &options, now), FQ_OK);
  advance (2 * FQ_MICROSECONDS_PER_SECOND);
  for (size_t i = 0; i < OTHER_NODES; i++)
    add_node (names[i], addresses[i]);
}

static void
tear_down (void)
{
  fq_core_free (core);
  free (last_reply);
  last_reply = NULL;
}

static void
send_request (const char *member, const char *service)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->service, service);
  strcpy (request->method, "GET");
  strcpy (request->path, "/weekly");
  strcpy (event.request.member, member);
  event.request.call = ++next_call;
  event.request.request = request;
  handle_event (&event);
  fq_request_unref (request);
}

static void
announce_upstream (void)
{
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  strcpy (event.announce.service, "wrekin/tables");
  strcpy (event.announce.address, "127.0.0.1:9");
  event.announce.incarnation = 1;
  event.announce.slots = 4;
  event.announce.connections = 10;
  handle_event (&event);
  advance (FQ_MICROSECONDS_PER_SECOND);
}

static void
call_failing_nodes (void)
{
  for (int i = 0; i < 100; i++)
    {
      send_request ("wrekin", "wrekin/regions");
      advance (STEP_US);
    }
}

static void
call_unknown_service (void)
{
  send_request ("wrekin", "wrekin/none");
}

static void
call_service_of_other_member (void)
{
  send_request ("abyssinia", "wrekin/regions");
}

static const char *
query_as_operator (const char *member, fq_operator_kind_t kind)
{
  fq_event_t event = { .kind = FQ_EVENT_OPERATOR };

  strcpy (event.operator_query.member, member);
  event.operator_query.kind = kind;
  event.operator_query.argument = "";
  handle_event (&event);
  ck_assert_ptr_nonnull (last_reply);
  return last_reply;
}

/* What happens, the member and kind of report, and whether the report has @text. */
static const struct
{
  void (*trigger) (void);
  const char *member;
  fq_operator_kind_t kind;
  const char *text;
  bool shown;
} cases[] = {
  { call_failing_nodes, "wrekin", FQ_OPERATOR_EVENTS, "\"kind\":\"ejection\"", true },
  { call_failing_nodes, "wrekin", FQ_OPERATOR_EVENTS, "\"cause\":\"connection-lost\"",
    true },
  { call_failing_nodes, "abyssinia", FQ_OPERATOR_EVENTS, "\"kind\"", false },
  { call_failing_nodes, "wrekin", FQ_OPERATOR_BURN, "\"bad\":100", true },
  { call_failing_nodes, "wrekin", FQ_OPERATOR_METRICS, "cause=\"connection-lost\"} 100",
    true },
  { call_unknown_service, "wrekin", FQ_OPERATOR_EVENTS, "\"cause\":\"no-service\"",
    true },
  { call_unknown_service, "wrekin", FQ_OPERATOR_METRICS, "wrekin/none", false },
  { call_service_of_other_member, "abyssinia", FQ_OPERATOR_STATUS, "wrekin", false },
  { call_service_of_other_member, "abyssinia", FQ_OPERATOR_EVENTS, "wrekin", false },
  { call_service_of_other_member, "wrekin", FQ_OPERATOR_EVENTS, "denied", false },
  { call_service_of_other_member, "abyssinia", FQ_OPERATOR_BURN, "wrekin", false },
  { announce_upstream, "wrekin", FQ_OPERATOR_EVENTS, "\"kind\":\"upstream\"", true },
  { announce_upstream, "wrekin", FQ_OPERATOR_EVENTS, "\"kind\":\"limit\"", true },
  { announce_upstream, "abyssinia", FQ_OPERATOR_EVENTS, "\"kind\"", false },
};

START_TEST (test_operator_reports_show_own_member_only)
{
  const char *text;

  cases[_i].trigger ();
  text = query_as_operator (cases[_i].member, cases[_i].kind);
  ck_assert_msg ((strstr (text, cases[_i].text) != NULL) == cases[_i].shown, "%s: %s",
                 cases[_i].text, text);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("report");
  TCase *tcase = tcase_create ("report");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test_operator_reports_show_own_member_only, 0,
                       sizeof cases / sizeof cases[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
