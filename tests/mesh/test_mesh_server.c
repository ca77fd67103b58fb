/**
 * DOC: Tests of the state that a gate keeps of its server (status reports, drains,
 * crashes) and of the concurrency limit for new requests.
 */
#include <stdio.h>

#include "mesh_fleet.h"

static fleet_t fleet;

static void
setup (void)
{
  fleet_setup (&fleet);
}

static void
teardown (void)
{
  fleet_teardown (&fleet);
}

START_TEST (test_drained_server_gets_no_requests_until_restart)
{
  size_t drained_runs;

  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_report (&fleet, i, "i-1", 1000, true);
  fleet_advance (&fleet, 1000);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  fleet_advance (&fleet, 1000);
  drained_runs = fleet.run_count;
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_report (&fleet, i, "i-1", 1000, false);
  fleet_send_request (&fleet, 0, "/safe/1", "r2", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, drained_runs);
  /* A restarted server is a new process, which is not drained. */
  fleet_report (&fleet, 1, "i-1", 2000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r3", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, drained_runs + 1);
  ck_assert_uint_eq (fleet.runs[drained_runs].node, 1);
}
END_TEST

START_TEST (test_deregistration_drains_only_the_named_process)
{
  fq_mesh_event_t deregistration = { .kind = FQ_MESH_EVENT_DEREGISTER };

  deregistration.report.instance = fleet_text ("i-0");
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_feed (&fleet, i, &deregistration);
  fleet_advance (&fleet, 2500);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  deregistration.report.instance = fleet_text ("i-1");
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_feed (&fleet, i, &deregistration);
  fleet_advance (&fleet, 2500);
  fleet_send_request (&fleet, 0, "/safe/2", "r2", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* The first event that a restarted node gets from its server is the deregistration. */
START_TEST (test_deregistration_before_first_report_is_recorded)
{
  fq_mesh_event_t deregistration = { .kind = FQ_MESH_EVENT_DEREGISTER };

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  deregistration.report.instance = fleet_text ("i-1");
  deregistration.report.started_ms = 1000;
  fleet_feed (&fleet, 1, &deregistration);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

/* A restarted node does not know that its server drains, and a report from before the
 * drain arrives late. Without confirmation by a health check or a second report, it does
 * not make the server ready. */
START_TEST (test_delayed_report_to_restarted_node_is_not_trusted)
{
  fq_mesh_event_t delayed = { .kind = FQ_MESH_EVENT_REPORT };

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_report (&fleet, 1, "i-1", 1000, true);
  fleet_advance (&fleet, 2500);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  delayed.report.instance = fleet_text ("i-1");
  delayed.report.service = fleet_text ("back");
  delayed.report.started_ms = 1000;
  delayed.report.sequence = 1;
  delayed.report.slots = 10;
  fleet_feed (&fleet, 1, &delayed);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

static void
report_late (size_t node, uint64_t sequence)
{
  fq_mesh_event_t report = { .kind = FQ_MESH_EVENT_REPORT };

  report.report.instance = fleet_text ("i-1");
  report.report.service = fleet_text ("back");
  report.report.started_ms = 1000;
  report.report.sequence = sequence;
  report.report.slots = 10;
  fleet_feed (&fleet, node, &report);
}

/* Guards against a finding of the review: all nodes are restarted while a server drains,
 * so that none remembers it, and two reports from before the drain arrive late. The
 * second one made the server ready, although its health check said otherwise. */
START_TEST (test_late_reports_after_restart_of_all_nodes_are_not_trusted)
{
  static const uint32_t late_ms[][2] = { { 100, 200 }, { 300, 2000 }, { 2000, 4000 } };

  for (size_t node = 1; node < FLEET_NODES; node++)
    fleet_report (&fleet, node, "i-1", 1000, true);
  fleet_advance (&fleet, 300);
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_kill (&fleet, node);
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_start (&fleet, node);
  fleet_advance (&fleet, late_ms[_i][0]);
  for (size_t node = 1; node < FLEET_NODES; node++)
    report_late (node, 1);
  fleet_advance (&fleet, late_ms[_i][1] - late_ms[_i][0]);
  for (size_t node = 1; node < FLEET_NODES; node++)
    report_late (node, 2);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

/* Guards against review/12: as above, but both reports come before the health check is
 * answered, or it never is; then the second one made the server ready for good. */
START_TEST (test_late_reports_before_the_health_check_are_not_trusted)
{
  static const uint32_t late_ms[][2] = { { 100, 100 }, { 300, 500 }, { 2000, 5500 } };
  bool answered = _i < 3;

  for (size_t node = 1; node < FLEET_NODES; node++)
    fleet_report (&fleet, node, "i-1", 1000, true);
  fleet_advance (&fleet, 300);
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_kill (&fleet, node);
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      fleet.nodes[node].probe_held = answered;
      fleet.nodes[node].server_silent = !answered;
      fleet_start (&fleet, node);
    }
  for (int i = 0; i < 2; i++)
    {
      fleet_advance (&fleet, late_ms[_i % 3][i] - (i == 0 ? 0 : late_ms[_i % 3][0]));
      for (size_t node = 1; node < FLEET_NODES; node++)
        report_late (node, (uint64_t)i + 1);
    }
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      fleet.nodes[node].probe_held = false;
      fleet_answer_probe (&fleet, node);
    }
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

/* Guards against review/12: a server whose first health check after a restart is not
 * answered in time is asked again with the next report, and used. */
START_TEST (test_unanswered_health_check_is_repeated)
{
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_kill (&fleet, node);
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      fleet.nodes[node].server_silent = true;
      fleet_start (&fleet, node);
    }
  fleet_advance (&fleet, 300);
  for (size_t node = 1; node < FLEET_NODES; node++)
    fleet_report (&fleet, node, "i-1", 1000, false);
  fleet_advance (&fleet, 1000);
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet.nodes[node].server_silent = false;
  for (size_t node = 1; node < FLEET_NODES; node++)
    fleet_report (&fleet, node, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* A server whose health check says no although it works is used again some seconds after
 * the restart of its node, when no report can be late any more. */
START_TEST (test_server_with_bad_health_check_is_used_after_a_restart)
{
  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_kill (&fleet, 1);
  fleet.nodes[1].draining = true; /* it is not; only its health check says so */
  fleet_start (&fleet, 1);
  for (uint64_t sequence = 1; sequence <= 6; sequence++)
    {
      fleet_advance (&fleet, 1500);
      report_late (1, sequence);
    }
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* A restarted node whose server does not drain: the first report is confirmed by a health
 * check, and the second report is not needed. */
START_TEST (test_first_report_to_restarted_node_is_confirmed_by_health_check)
{
  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

START_TEST (test_delayed_report_does_not_restore_older_process)
{
  fq_mesh_event_t delayed = { .kind = FQ_MESH_EVENT_REPORT };

  fleet_report (&fleet, 1, "i-2", 2000, false);
  delayed.report.instance = fleet_text ("i-1");
  delayed.report.service = fleet_text ("back");
  delayed.report.started_ms = 1000;
  delayed.report.sequence = 99;
  delayed.report.slots = 10;
  fleet_feed (&fleet, 1, &delayed);
  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_str_eq (fleet.runs[0].instance, "i-2");
}
END_TEST

/* Guards against a finding of the review: one report with a service that no configuration
 * names replaced the service of the machine, which its requests state as their caller,
 * and took its server out of use. */
START_TEST (test_report_of_unknown_service_changes_nothing)
{
  fq_mesh_event_t foreign = { .kind = FQ_MESH_EVENT_REPORT };

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  foreign.report.instance = fleet_text ("i-foreign");
  foreign.report.service = fleet_text ("nobody");
  foreign.report.started_ms = 9000;
  foreign.report.sequence = 1;
  foreign.report.slots = 10;
  for (size_t node = 0; node < 2; node++)
    fleet_feed (&fleet, node, &foreign);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  ck_assert_str_eq (fleet.runs[0].caller, "front");
  ck_assert_str_eq (fleet.runs[0].instance, "i-1");
  /* The server itself goes on as before. */
  fleet_report (&fleet, 1, "i-1", 1000, true);
  fleet_advance (&fleet, 2500);
  fleet_send_request (&fleet, 0, "/safe/1", "r2", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* Crashes the server of @run: its connection breaks, the next one is refused, and the
 * server comes up again. */
static void
crash_server_of (fleet_run_t *run)
{
  size_t node = run->node;

  fleet_fail (&fleet, run, FQ_SERVER_CONNECTION_LOST);
  fleet_offer (&fleet, node, "next", false);
  fleet_fail (&fleet, fleet_find_active_run (&fleet, "next"), FQ_SERVER_CONNECT_FAILED);
  fleet_advance (&fleet, 10);
  fleet_report (&fleet, node, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
}

START_TEST (test_request_that_crashes_servers_is_quarantined)
{
  fq_id_t last = 0;
  size_t runs = 0;
  fleet_run_t *run;

  for (int i = 0; i < 8; i++)
    {
      last = fleet_send_request (&fleet, (size_t)i % FLEET_NODES, "/safe/crash", "crash",
                                 "");
      fleet_advance (&fleet, 20);
      while ((run = fleet_find_active_run (&fleet, "crash")) != NULL)
        {
          runs++;
          crash_server_of (run);
        }
    }
  ck_assert_uint_ge (runs, 3);
  ck_assert_uint_le (runs, 3 + 3);
  ck_assert_uint_eq (fleet_find_reply (&fleet, last)->status, 503);
}
END_TEST

/* The internal calls of a run that is a retry are retries too, and rank before new
 * requests. */
START_TEST (test_internal_calls_of_a_retry_are_retries_and_rank_first)
{
  size_t offers = 0;

  fleet_offer (&fleet, 1, "parent", true);
  ck_assert_uint_eq (fleet.run_count, 1);
  for (int i = 0; i < 10; i++)
    fleet_send_request (&fleet, 1, "/safe/1", "parent.1", "parent");
  for (size_t i = 0; i < fleet.message_count; i++)
    {
      const fq_frame_t *sent = &fleet.messages[i].frame;

      if (sent->kind != FQ_FRAME_OFFER)
        continue;
      offers++;
      ck_assert (sent->offer.repeat);
      ck_assert_uint_lt (sent->offer.rank, 4);
    }
  ck_assert_uint_gt (offers, 0);
}
END_TEST

/* The outcomes of internal calls, and whether the gate of the calling server lowers its
 * concurrency limit for new requests. */
static const struct
{
  const char *target; /* request target of the calls */
  fq_server_outcome_t outcome;
  uint16_t status;
  bool lowers_limit;
} call_outcomes[] = {
  { "/safe/1", FQ_SERVER_ANSWERED, 200, false },
  { "/safe/1", FQ_SERVER_NOT_EXECUTED, 503, false }, /* the gate has no queue */
  { "/absent/1", FQ_SERVER_ANSWERED, 500, false },   /* there is no gate of the service */
  { "/safe/1", FQ_SERVER_ANSWERED, 500, true },
};

static bool
is_running_with_prefix (const fleet_run_t *run, const char *prefix)
{
  return !run->ended && strncmp (run->request_id, prefix, strlen (prefix)) == 0;
}

/* For 20 ms, answers all runs whose request id begins with @prefix with @outcome. */
static void
answer_runs_with_prefix (const char *prefix, fq_server_outcome_t outcome, uint16_t status)
{
  for (int ms = 0; ms < 20; ms++)
    {
      for (size_t i = 0; i < fleet.run_count; i++)
        {
          if (is_running_with_prefix (&fleet.runs[i], prefix))
            fleet_answer (&fleet, &fleet.runs[i], outcome, status);
        }
      fleet_advance (&fleet, 1);
    }
}

static void
offer_request (const char *prefix, int number)
{
  char id[FLEET_TEXT_BYTES];

  snprintf (id, sizeof id, "%s-%d", prefix, number);
  fleet_offer (&fleet, 1, id, false);
}

/* Return: how many of twenty new requests the gate of node 1 runs at once. */
static size_t
measure_concurrency (void)
{
  size_t running = 0;

  for (int i = 0; i < 20; i++)
    offer_request ("new", i);
  for (size_t i = 0; i < fleet.run_count; i++)
    running += is_running_with_prefix (&fleet.runs[i], "new");
  answer_runs_with_prefix ("new", FQ_SERVER_ANSWERED, 200);
  return running;
}

START_TEST (test_only_calls_that_may_lack_capacity_lower_concurrency_limit)
{
  bool all_succeed = call_outcomes[_i].status == 200;
  size_t before = measure_concurrency ();
  size_t after;

  for (int round = 0; round < 8; round++)
    {
      for (int i = 0; i < 3; i++)
        {
          char parent[FLEET_TEXT_BYTES];

          snprintf (parent, sizeof parent, "parent-%d", i);
          offer_request ("parent", i);
          fleet_send_request (&fleet, 1, call_outcomes[_i].target, "call", parent);
        }
      fleet_advance (&fleet, 100);
      answer_runs_with_prefix ("call", call_outcomes[_i].outcome,
                               call_outcomes[_i].status);
      answer_runs_with_prefix ("parent", FQ_SERVER_ANSWERED, all_succeed ? 200 : 500);
    }
  after = measure_concurrency ();
  ck_assert_uint_gt (before, 1);
  if (call_outcomes[_i].lowers_limit)
    ck_assert_uint_lt (after, before);
  else
    ck_assert_uint_eq (after, before);
}
END_TEST

/* How each body at the gate ends. */
static void
end_run (fleet_run_t *run, int how)
{
  switch (how)
    {
    case 0:
      fleet_answer (&fleet, run, FQ_SERVER_ANSWERED, 200);
      break;
    case 1:
      fleet_answer (&fleet, run, FQ_SERVER_NOT_EXECUTED, 503);
      break;
    default:
      fleet_fail (&fleet, run, FQ_SERVER_CONNECTION_LOST);
      break;
    }
  fleet_advance (&fleet, 10);
}

/* Guards against review/7 (LOST): uploads of several machines at one gate took its
 * process past its memory, as it admitted them by slots alone. */
START_TEST (test_bodies_of_several_entries_fit_the_memory_of_a_gate)
{
  fq_id_t requests[9];
  size_t refused = 0;
  size_t held = 0;

  fleet_kill (&fleet, 2);
  for (int round = 0; round < 3; round++)
    {
      size_t first = fleet.run_count;
      char id[FLEET_TEXT_BYTES];

      for (int i = 0; i < 9; i++)
        {
          snprintf (id, sizeof id, "up-%d-%d", round, i);
          requests[i] = fleet_send_body (&fleet, i % 2 == 0 ? 0 : 3, "/once/1", id, "",
                                         FLEET_BODY_BYTES_MAX / 4);
        }
      fleet_advance (&fleet, 20);
      held = 0;
      for (size_t i = first; i < fleet.run_count; i++)
        held += fleet.runs[i].node == 1 && !fleet.runs[i].ended;
      ck_assert_uint_gt (held, 0);
      ck_assert_uint_le (held, 4);
      for (int i = 0; i < 9; i++)
        {
          const fleet_reply_t *reply = fleet_find_reply (&fleet, requests[i]);

          refused += reply != NULL && reply->status == 503;
        }
      /* A request without a body still finds room. */
      snprintf (id, sizeof id, "small-%d", round);
      fleet_send_request (&fleet, 0, "/safe/1", id, "");
      fleet_advance (&fleet, 10);
      ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, id));
      for (size_t i = first; i < fleet.run_count; i++)
        {
          if (!fleet.runs[i].ended)
            end_run (&fleet.runs[i], _i);
        }
      fleet_report (&fleet, 1, "i-1", 1000, false);
      fleet_report (&fleet, 3, "i-1", 1000, false);
      fleet_advance (&fleet, 1000);
    }
  ck_assert_uint_gt (refused, 0);
}
END_TEST

/* Guards against review/11: requests began while answers that clients had not read took
 * the memory, and clients were cut in the middle of theirs. */
START_TEST (test_request_without_memory_for_its_answer_is_refused)
{
  const fleet_reply_t *reply;
  fq_id_t request;

  fleet.new_request_bytes = 1000;
  fleet_kill (&fleet, 0);
  fleet_start (&fleet, 0);
  fleet_advance (&fleet, 300);
  fleet.memory_held = 1000;
  fleet_send_request (&fleet, 0, "/safe/1", "fits", "");
  fleet_advance (&fleet, 10);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "fits"));
  fleet.memory_held = 1001;
  request = fleet_send_request (&fleet, 0, "/safe/1", "none", "");
  fleet_advance (&fleet, 10);
  ck_assert_ptr_null (fleet_find_active_run (&fleet, "none"));
  reply = fleet_find_reply (&fleet, request);
  ck_assert_ptr_nonnull (reply);
  ck_assert_uint_eq (reply->status, 503);
}
END_TEST

/* A body is held twice while it arrives. A row: what is held besides, and whether there
 * is room for the body. */
static const struct
{
  uint64_t held;
  bool fits;
} memory_cases[] = {
  { 0, true },
  { FLEET_MEMORY_BYTES - 2 * FLEET_BODY_BYTES_MAX, true },
  { FLEET_MEMORY_BYTES - 2 * FLEET_BODY_BYTES_MAX + 1, false },
  { 2 * FLEET_MEMORY_BYTES, false },
};

START_TEST (test_gate_admits_no_body_that_does_not_fit_beside_all_that_is_held)
{
  const fleet_reply_t *reply;
  fq_id_t request;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet.memory_held = memory_cases[_i].held;
  request = fleet_send_body (&fleet, 0, "/once/1", "body", "", FLEET_BODY_BYTES_MAX);
  fleet_send_request (&fleet, 0, "/safe/1", "none", "");
  fleet_advance (&fleet, 20);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "none"));
  ck_assert_int_eq (fleet_find_active_run (&fleet, "body") != NULL,
                    memory_cases[_i].fits);
  reply = fleet_find_reply (&fleet, request);
  ck_assert_int_eq (reply != NULL && reply->status == 503, !memory_cases[_i].fits);
  ck_assert_uint_eq (fq_mesh_expected_body_bytes (fleet.nodes[1].mesh), 0);
}
END_TEST

/* A body counts at its gate from its admission until it arrives there. */
START_TEST (test_admitted_body_is_expected_until_it_arrives_or_is_given_up)
{
  const fq_mesh_t *gate = fleet.nodes[1].mesh;
  fq_frame_t offer = { .kind = FQ_FRAME_OFFER, .attempt = 5 };
  fq_frame_t message = { .kind = FQ_FRAME_MESSAGE, .attempt = 5 };
  fq_frame_t cancel = { .kind = FQ_FRAME_CANCEL, .attempt = 5 };
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_ENTRY_FRAME };

  offer.offer.service = fleet_text ("back");
  offer.offer.request_id = fleet_text ("r1");
  offer.offer.remaining_ms = 2000;
  offer.offer.route = 1;
  offer.offer.fingerprint = 7;
  offer.offer.body_bytes = 300;
  event.frame.entry_connection = 2000;
  event.frame.entry_address = fleet_address (0);
  event.frame.frame = &offer;
  fleet_feed (&fleet, 1, &event);
  ck_assert_uint_eq (fq_mesh_expected_body_bytes (gate), 300);
  message.message = fq_http_message_new ();
  event.frame.frame = _i == 0 ? &message : &cancel;
  fleet_feed (&fleet, 1, &event);
  ck_assert_uint_eq (fq_mesh_expected_body_bytes (gate), 0);
  fq_http_message_unref (message.message);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mesh server");
  TCase *tcase = tcase_create ("mesh server");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_drained_server_gets_no_requests_until_restart);
  tcase_add_test (tcase, test_deregistration_drains_only_the_named_process);
  tcase_add_test (tcase, test_deregistration_before_first_report_is_recorded);
  tcase_add_test (tcase, test_delayed_report_does_not_restore_older_process);
  tcase_add_test (tcase, test_delayed_report_to_restarted_node_is_not_trusted);
  tcase_add_loop_test (
      tcase, test_late_reports_after_restart_of_all_nodes_are_not_trusted, 0, 3);
  tcase_add_loop_test (tcase, test_late_reports_before_the_health_check_are_not_trusted,
                       0, 6);
  tcase_add_test (tcase, test_unanswered_health_check_is_repeated);
  tcase_add_test (tcase, test_request_without_memory_for_its_answer_is_refused);
  tcase_add_test (tcase, test_server_with_bad_health_check_is_used_after_a_restart);
  tcase_add_test (tcase,
                  test_first_report_to_restarted_node_is_confirmed_by_health_check);
  tcase_add_test (tcase, test_report_of_unknown_service_changes_nothing);
  tcase_add_test (tcase, test_request_that_crashes_servers_is_quarantined);
  tcase_add_test (tcase, test_internal_calls_of_a_retry_are_retries_and_rank_first);
  tcase_add_loop_test (tcase,
                       test_only_calls_that_may_lack_capacity_lower_concurrency_limit, 0,
                       sizeof call_outcomes / sizeof call_outcomes[0]);
  tcase_add_loop_test (tcase, test_bodies_of_several_entries_fit_the_memory_of_a_gate, 0,
                       3);
  tcase_add_loop_test (tcase,
                       test_gate_admits_no_body_that_does_not_fit_beside_all_that_is_held,
                       0, sizeof memory_cases / sizeof memory_cases[0]);
  tcase_add_loop_test (
      tcase, test_admitted_body_is_expected_until_it_arrives_or_is_given_up, 0, 2);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
