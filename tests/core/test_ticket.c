/**
 * DOC: Tickets on three simulated nodes with a fake store: store faults, concurrent
 * filings and lost messages.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/tickets/ticket.h"
#include "fake_store.h"
#include "filbertquay/errors.h"
#include "util/random.h"

#define NODE_COUNT 3
#define STEP_US 10000
#define CALL_OF_NODE(index) (100u + (index))

typedef struct
{
  fq_tickets_t *tickets;
  fq_id_t call;        /* the operator request that was answered last */
  unsigned int status; /* the answer to it; 0: none yet */
  char body[512];
  bool frozen;             /* gets no ticks and no messages */
  bool isolated;           /* exchanges no gossip, gets no messages of nodes */
  uint64_t highest_number; /* highest ticket number seen; must not fall */
} node_t;

static fake_store_t store;
static node_t nodes[NODE_COUNT];
static fq_time_t now;
static fq_random_t random_source;
static unsigned int drop_percent; /* share of store answers that are lost */

static void apply_effects (node_t *node, fq_effects_t *effects);

static void
init_node (node_t *node)
{
  fq_tickets_options_t options = FQ_TICKETS_OPTIONS_INIT;
  char name[FQ_NAME_BYTES];

  snprintf (name, sizeof name, "n%d", (int)(node - nodes));
  options.node = name;
  options.seed = fq_random_next (&random_source);
  options.default_deadline_ms = 1000;
  options.default_retries = 2;
  *node = (node_t){ 0 };
  ck_assert_int_eq (fq_tickets_new (&node->tickets, &options), FQ_OK);
}

static void
set_up (void)
{
  random_source.state = 11;
  drop_percent = 0;
  now = FQ_MICROSECONDS_PER_SECOND;
  for (int i = 0; i < NODE_COUNT; i++)
    init_node (&nodes[i]);
}

static void
tear_down (void)
{
  for (int i = 0; i < NODE_COUNT; i++)
    fq_tickets_free (nodes[i].tickets);
  fake_store_clear (&store);
}

static void
run_store_op (node_t *node, const fq_store_op_t *op)
{
  fq_effects_t effects = { 0 };
  fq_store_answer_t answer;
  fake_mode_t mode = store.mode;

  if (mode == FAKE_WORKS && fq_random_below (&random_source, 100) < drop_percent)
    store.mode = FAKE_DROPS_ANSWER;
  fake_store_execute (&store, op, &answer);
  store.mode = mode;
  fq_tickets_handle_store_answer (node->tickets, now, &answer, &effects);
  fq_store_answer_clear (&answer);
  apply_effects (node, &effects);
}

static void
deliver (const node_t *from, const fq_tickets_effect_t *effect)
{
  fq_effects_t effects = { 0 };
  fq_tickets_event_t event = {
    .kind = effect->kind,
    .number = effect->number,
    .documents = effect->documents,
    .document_count = effect->document_count,
  };
  node_t *to = &nodes[atoi (effect->node + 1)];

  snprintf (event.node, sizeof event.node, "n%d", (int)(from - nodes));
  if (to->frozen || to->isolated)
    return;
  fq_tickets_handle_peer_message (to->tickets, now, &event, &effects);
  apply_effects (to, &effects);
}

static void
record_reply (node_t *node, const fq_operator_reply_effect_t *reply)
{
  node->call = reply->call;
  node->status = reply->status;
  snprintf (node->body, sizeof node->body, "%s", reply->body);
}

static void
apply_effects (node_t *node, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      fq_effect_t *effect = &effects->items[i];

      if (effect->kind == FQ_EFFECT_STORE)
        run_store_op (node, effect->store);
      else if (effect->kind == FQ_EFFECT_TICKETS)
        deliver (node, &effect->tickets);
      else if (effect->kind == FQ_EFFECT_OPERATOR_REPLY)
        record_reply (node, &effect->operator_reply);
    }
  fq_effects_free (effects);
}

static void
gossip_once (void)
{
  node_t *from = &nodes[fq_random_below (&random_source, NODE_COUNT)];
  node_t *to = &nodes[fq_random_below (&random_source, NODE_COUNT)];
  fq_effects_t effects = { 0 };
  char name[FQ_NAME_BYTES];

  if (from == to || from->frozen || to->frozen || from->isolated || to->isolated)
    return;
  snprintf (name, sizeof name, "n%d", (int)(from - nodes));
  fq_tickets_handle_peer_number (
      to->tickets, now, name, "",
      fq_tickets_confirmed (from->tickets) ? fq_tickets_number (from->tickets) : 0,
      &effects);
  apply_effects (to, &effects);
}

static void
check_number_never_falls (node_t *node)
{
  ck_assert_uint_ge (fq_tickets_number (node->tickets), node->highest_number);
  node->highest_number = fq_tickets_number (node->tickets);
}

static void
run_for (unsigned int milliseconds)
{
  fq_time_t end = now + (fq_time_t)milliseconds * FQ_MICROSECONDS_PER_MS;

  while (now < end)
    {
      now += STEP_US;
      gossip_once ();
      for (int i = 0; i < NODE_COUNT; i++)
        {
          fq_effects_t effects = { 0 };

          if (nodes[i].frozen)
            continue;
          fq_tickets_tick (nodes[i].tickets, now, NODE_COUNT, &effects);
          apply_effects (&nodes[i], &effects);
          check_number_never_falls (&nodes[i]);
        }
    }
}

static void
send_operator_request (int index,
                       fq_operator_kind_t kind,
                       const char *member,
                       const char *argument)
{
  fq_effects_t effects = { 0 };
  fq_operator_event_t request = {
    .call = CALL_OF_NODE (index),
    .kind = kind,
    .argument = argument,
  };

  strcpy (request.member, member);
  nodes[index].status = 0;
  fq_tickets_handle_operator_request (nodes[index].tickets, now, &request, &effects);
  apply_effects (&nodes[index], &effects);
}

static void
file_ticket (int index, const char *document)
{
  send_operator_request (index, FQ_OPERATOR_TICKET_FILE, "wrekin", document);
}

/* Files a ticket that sets the deadline of one service. */
static void
file_deadline (int index, const char *id, const char *service, unsigned int deadline_ms)
{
  char document[256];

  snprintf (document, sizeof document,
            "{\"id\":\"%s\",\"services\":{\"%s\":{\"deadline_ms\":%u}}}", id, service,
            deadline_ms);
  file_ticket (index, document);
}

static unsigned int
deadline_at (int index, const char *service)
{
  fq_request_policy_t policy;

  fq_tickets_classify (nodes[index].tickets, "wrekin", service, "GET", "/", &policy);
  return policy.deadline_ms;
}

START_TEST (test_ticket_reaches_every_node)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  ck_assert_uint_eq (nodes[0].status, 201);
  run_for (5000);
  for (int i = 0; i < NODE_COUNT; i++)
    {
      ck_assert_uint_eq (fq_tickets_number (nodes[i].tickets), 1);
      ck_assert_uint_eq (deadline_at (i, "wrekin/tables"), 77);
    }
}
END_TEST

START_TEST (test_first_matching_rule_classifies_request)
{
  fq_request_policy_t policy;

  run_for (1000);
  file_ticket (
      0, "{\"id\":\"a\",\"services\":{\"sales\":{\"members\":[\"abyssinia\"],\"rules\":["
         "{\"method\":\"POST\",\"path\":\"/confirm\",\"class\":\"release\","
         "\"once\":true},{\"class\":\"normal\"}]}},"
         "\"classes\":{\"release\":{\"level\":\"critical\",\"retries\":1}},"
         "\"limits\":{\"sales\":{\"running\":9}}}");
  ck_assert_uint_eq (nodes[0].status, 201);
  fq_tickets_classify (nodes[0].tickets, "abyssinia", "wrekin/sales", "POST",
                       "/confirm/7", &policy);
  ck_assert (policy.allowed && policy.at_most_once);
  ck_assert_int_eq (policy.request_class, FQ_CLASS_CRITICAL);
  ck_assert_uint_eq (policy.retries, 1);
  fq_tickets_classify (nodes[0].tickets, "other", "wrekin/sales", "GET", "/x", &policy);
  ck_assert (!policy.allowed && !policy.at_most_once);
  ck_assert_int_eq (policy.request_class, FQ_CLASS_NORMAL);
}
END_TEST

static const struct
{
  fake_mode_t mode;         /* of the store from the filing on */
  unsigned int duration_ms; /* after it the store works again */
  unsigned int status;      /* of the reply to the operator */
  bool in_force;            /* on all nodes, 5 s after the store works again */
} filing_faults[] = {
  { FAKE_WORKS, 0, 201, true },
  { FAKE_DROPS_ANSWER, 500, 201, true },
  { FAKE_DOWN, 500, 201, true },
  { FAKE_BUSY, 500, 201, true },
  { FAKE_BUSY, 12000, 503, false },
  { FAKE_DOWN, 12000, 504, false },
  { FAKE_DROPS_ANSWER, 12000, 504, true },
};

START_TEST (test_filing_during_store_fault)
{
  run_for (1000);
  store.mode = filing_faults[_i].mode;
  file_deadline (0, "a", "tables", 77);
  run_for (filing_faults[_i].duration_ms);
  store.mode = FAKE_WORKS;
  run_for (5000);
  ck_assert_uint_eq (nodes[0].status, filing_faults[_i].status);
  for (int i = 0; i < NODE_COUNT; i++)
    ck_assert_uint_eq (deadline_at (i, "wrekin/tables"),
                       filing_faults[_i].in_force ? 77 : 1000);
}
END_TEST

START_TEST (test_concurrent_filings_converge_on_all_nodes)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  file_deadline (1, "b", "tables", 88);
  run_for (5000);
  ck_assert_uint_eq (nodes[0].status, 201);
  ck_assert_uint_eq (nodes[1].status, 201);
  for (int i = 0; i < NODE_COUNT; i++)
    {
      ck_assert_uint_eq (fq_tickets_number (nodes[i].tickets), 2);
      ck_assert_uint_eq (deadline_at (i, "wrekin/tables"), 88);
    }
}
END_TEST

START_TEST (test_ticket_with_unmet_precondition_is_refused)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  file_ticket (1, "{\"id\":\"b\",\"expects\":{\"service/tables\":0},"
                  "\"services\":{\"tables\":{\"deadline_ms\":88}}}");
  run_for (5000);
  ck_assert_uint_eq (nodes[1].status, 409);
  ck_assert_uint_eq (deadline_at (1, "wrekin/tables"), 77);
}
END_TEST

START_TEST (test_duplicate_ticket_id_is_refused)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  file_deadline (1, "a", "tables", 88);
  run_for (3000);
  ck_assert_uint_eq (nodes[1].status, 409);
  ck_assert_uint_eq (deadline_at (1, "wrekin/tables"), 77);
}
END_TEST

START_TEST (test_restarted_node_syncs_from_peers_while_store_is_down)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  run_for (2000);
  store.mode = FAKE_DOWN;
  fq_tickets_free (nodes[2].tickets);
  init_node (&nodes[2]);
  run_for (3000);
  ck_assert (fq_tickets_confirmed (nodes[2].tickets));
  ck_assert_uint_eq (deadline_at (2, "wrekin/tables"), 77);
}
END_TEST

START_TEST (test_nodes_stay_unconfirmed_while_store_is_down)
{
  store.mode = FAKE_DOWN;
  run_for (60000);
  for (int i = 0; i < NODE_COUNT; i++)
    ck_assert (!fq_tickets_confirmed (nodes[i].tickets));
  store.mode = FAKE_WORKS;
  run_for (12000);
  for (int i = 0; i < NODE_COUNT; i++)
    ck_assert (fq_tickets_confirmed (nodes[i].tickets));
}
END_TEST

START_TEST (test_resumed_node_is_unconfirmed_until_synced)
{
  fq_effects_t effects = { 0 };

  run_for (1000);
  nodes[2].frozen = true;
  file_deadline (0, "a", "tables", 77);
  run_for (30000);
  store.mode = FAKE_DOWN;
  nodes[2].frozen = false;
  fq_tickets_tick (nodes[2].tickets, now, NODE_COUNT, &effects);
  apply_effects (&nodes[2], &effects);
  ck_assert (!fq_tickets_confirmed (nodes[2].tickets));
  run_for (3000);
  ck_assert (fq_tickets_confirmed (nodes[2].tickets));
  ck_assert_uint_eq (deadline_at (2, "wrekin/tables"), 77);
}
END_TEST

START_TEST (test_node_far_behind_reads_objects_instead_of_log)
{
  char id[32];

  run_for (1000);
  nodes[2].isolated = true;
  nodes[2].frozen = true;
  for (unsigned int i = 0; i < 300; i++)
    {
      snprintf (id, sizeof id, "t%u", i);
      file_deadline (0, id, i % 2 == 0 ? "tables" : "regions", 100 + i);
    }
  ck_assert_uint_eq (fq_tickets_number (nodes[0].tickets), 300);
  nodes[2].frozen = false;
  store.reads = 0;
  run_for (5000);
  ck_assert_uint_eq (fq_tickets_number (nodes[2].tickets), 300);
  ck_assert_uint_eq (deadline_at (2, "wrekin/tables"), 398);
  ck_assert_uint_eq (deadline_at (2, "wrekin/regions"), 399);
}
END_TEST

START_TEST (test_late_message_does_not_revert_state)
{
  char *documents[] = {
    "{\"key\":\"service/wrekin/tables\",\"number\":1,\"value\":{\"deadline_ms\":77}}"
  };
  fq_tickets_effect_t late = {
    .node = "n2",
    .kind = FQ_TICKETS_ANSWER,
    .number = 1,
    .documents = documents,
    .document_count = 1,
  };

  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  file_deadline (0, "b", "tables", 88);
  run_for (5000);
  deliver (&nodes[0], &late);
  ck_assert_uint_eq (deadline_at (2, "wrekin/tables"), 88);
  ck_assert_uint_eq (fq_tickets_number (nodes[2].tickets), 2);
}
END_TEST

/* Random store failures, lost answers, frozen and isolated nodes during 60 filings. */
START_TEST (test_nodes_converge_after_random_faults)
{
  char id[32];

  random_source.state = 1000u + (uint64_t)_i;
  drop_percent = 30;
  for (unsigned int i = 0; i < 60; i++)
    {
      int index = (int)fq_random_below (&random_source, NODE_COUNT);
      node_t *other = &nodes[fq_random_below (&random_source, NODE_COUNT)];

      store.mode = fq_random_below (&random_source, 5) == 0 ? FAKE_DOWN : FAKE_WORKS;
      other->frozen = fq_random_below (&random_source, 4) == 0;
      other->isolated = fq_random_below (&random_source, 4) == 0;
      snprintf (id, sizeof id, "t%u", i);
      if (!nodes[index].frozen)
        file_deadline (index, id, "tables", 100 + i);
      run_for ((unsigned int)fq_random_below (&random_source, 3000));
    }
  store.mode = FAKE_WORKS;
  drop_percent = 0;
  for (int i = 0; i < NODE_COUNT; i++)
    nodes[i].frozen = nodes[i].isolated = false;
  run_for (20000);
  for (int i = 1; i < NODE_COUNT; i++)
    {
      ck_assert_msg (fq_tickets_number (nodes[i].tickets)
                         == fq_tickets_number (nodes[0].tickets),
                     "seed %d", 1000 + _i);
      ck_assert_uint_eq (deadline_at (i, "wrekin/tables"),
                         deadline_at (0, "wrekin/tables"));
    }
}
END_TEST

static const struct
{
  const char *document;
  const char *expected_text; /* a part of the reply */
} invalid_documents[] = {
  { "", "line" },
  { "[]", "a JSON object" },
  { "{\"id\":\"a\"}", "touches nothing" },
  { "{\"services\":{\"t\":{}}}", "id: must be a name" },
  { "{\"id\":\"a/b\",\"services\":{\"t\":{}}}", "id: must be a name" },
  { "{\"id\":\"a\",\"services\":{\"t/u\":{}}}", "services.t/u: is not a name" },
  { "{\"id\":\"a\",\"services\":{\"t\":{\"x\":1}}}", "services.t.x: is not known" },
  { "{\"id\":\"a\",\"services\":{\"t\":{\"retries\":99}}}", "99 is not between" },
  { "{\"id\":\"a\",\"services\":{\"t\":{\"rules\":[{}]}}}", "rules[0]: needs 'class'" },
  { "{\"id\":\"a\",\"classes\":{\"c\":{\"level\":\"top\"}}}", "must be critical" },
  { "{\"id\":\"a\",\"limits\":{\"t\":{}}}", "limits.t: needs 'running'" },
  { "{\"id\":\"a\",\"services\":{\"t\":{}},\"expects\":{\"t\":1}}", "expects: 't'" },
  { "{\"id\":\"a\",\"services\":{\"t\":{}},\"more\":1}", "more: is not known" },
  { "{\"id\":\"a\",\"id\":\"b\"}", "line" },
};

START_TEST (test_invalid_document_is_refused)
{
  run_for (1000);
  file_ticket (0, invalid_documents[_i].document);
  ck_assert_uint_eq (nodes[0].status, 400);
  ck_assert_msg (strstr (nodes[0].body, invalid_documents[_i].expected_text) != NULL,
                 "%s", nodes[0].body);
  ck_assert_uint_eq (store.writes, 0);
}
END_TEST

START_TEST (test_members_see_only_their_own_tickets)
{
  run_for (1000);
  file_deadline (0, "a", "tables", 77);
  send_operator_request (0, FQ_OPERATOR_TICKET_SHOW, "wrekin", "a");
  ck_assert_uint_eq (nodes[0].status, 200);
  ck_assert_ptr_nonnull (strstr (nodes[0].body, "\"in_force_here\":true"));
  send_operator_request (0, FQ_OPERATOR_TICKET_SHOW, "abyssinia", "a");
  ck_assert_uint_eq (nodes[0].status, 404);
  send_operator_request (0, FQ_OPERATOR_TICKET_LIST, "abyssinia", "");
  ck_assert_ptr_null (strstr (nodes[0].body, "wrekin"));
  send_operator_request (0, FQ_OPERATOR_TICKET_LIST, "wrekin", "");
  ck_assert_ptr_nonnull (strstr (nodes[0].body, "service/wrekin/tables"));
}
END_TEST

#define COUNT(table) ((int)(sizeof (table) / sizeof (table)[0]))

int
main (void)
{
  Suite *suite = suite_create ("ticket");
  TCase *tcase = tcase_create ("ticket");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_test (tcase, test_ticket_reaches_every_node);
  tcase_add_test (tcase, test_first_matching_rule_classifies_request);
  tcase_add_loop_test (tcase, test_filing_during_store_fault, 0, COUNT (filing_faults));
  tcase_add_test (tcase, test_concurrent_filings_converge_on_all_nodes);
  tcase_add_test (tcase, test_ticket_with_unmet_precondition_is_refused);
  tcase_add_test (tcase, test_duplicate_ticket_id_is_refused);
  tcase_add_test (tcase, test_restarted_node_syncs_from_peers_while_store_is_down);
  tcase_add_test (tcase, test_nodes_stay_unconfirmed_while_store_is_down);
  tcase_add_test (tcase, test_resumed_node_is_unconfirmed_until_synced);
  tcase_add_test (tcase, test_node_far_behind_reads_objects_instead_of_log);
  tcase_add_test (tcase, test_late_message_does_not_revert_state);
  tcase_add_loop_test (tcase, test_nodes_converge_after_random_faults, 0, 20);
  tcase_add_loop_test (tcase, test_invalid_document_is_refused, 0,
                       COUNT (invalid_documents));
  tcase_add_test (tcase, test_members_see_only_their_own_tickets);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
