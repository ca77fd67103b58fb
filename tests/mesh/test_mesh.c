/**
 * DOC: What nodes decide together, in virtual time and without sockets.
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

START_TEST (test_request_is_answered_by_another_node)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");

  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  ck_assert_uint_ne (fleet.runs[0].node, 0);
  ck_assert_str_eq (fleet.runs[0].caller, "front");
  ck_assert_str_eq (fleet.runs[0].instance, "i-1");
  ck_assert_uint_le (fleet.runs[0].remaining_ms, 2000);
  fleet_answer (&fleet, &fleet.runs[0], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
}
END_TEST

START_TEST (test_no_route_is_told_only_with_a_configuration)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/other/1", "r1", "");

  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 404);
  fq_config_unref (fleet.config);
  fleet.config = NULL;
  fleet_kill (&fleet, 0);
  fleet_start (&fleet, 0);
  request = fleet_send_request (&fleet, 0, "/other/1", "r2", "");
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 503);
  ck_assert_uint_gt (fleet_find_reply (&fleet, request)->retry_after_ms, 0);
  ck_assert (!fq_mesh_is_ready (fleet.nodes[0].mesh));
}
END_TEST

START_TEST (test_older_configuration_is_ignored)
{
  fq_config_t *newer = fleet_config (7, 1000);
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_CONFIG, .config = newer };

  fleet_feed (&fleet, 0, &event);
  event.config = fleet.config;
  fleet_feed (&fleet, 0, &event);
  ck_assert_uint_eq (fq_mesh_config_version (fleet.nodes[0].mesh), 7);
  fq_config_unref (newer);
}
END_TEST

/* A gate that is lost before it granted can't have run the request. */
START_TEST (test_once_goes_on_when_its_gate_dies_before_the_grant)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");
  size_t first = 0;

  for (size_t i = 0; i < fleet.message_count; i++)
    {
      if (fleet.messages[i].frame.kind == FQ_FRAME_OFFER)
        first = fleet.messages[i].to;
    }
  ck_assert_uint_ne (first, 0);
  fleet_kill (&fleet, first);
  fleet_advance (&fleet, 20);
  ck_assert_uint_eq (fleet.run_count, 1);
  ck_assert_uint_ne (fleet.runs[0].node, first);
  fleet_answer (&fleet, &fleet.runs[0], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
}
END_TEST

START_TEST (test_once_is_not_repeated_when_its_gate_dies_later)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");

  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  fleet_kill (&fleet, fleet.runs[0].node);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 502);
  fleet_advance (&fleet, 3000);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

START_TEST (test_safe_is_repeated_when_its_gate_dies)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");

  fleet_advance (&fleet, 10);
  fleet_kill (&fleet, fleet.runs[0].node);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 2);
  ck_assert_uint_ne (fleet.runs[1].node, fleet.runs[0].node);
  fleet_answer (&fleet, &fleet.runs[1], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
}
END_TEST

START_TEST (test_silent_gate_is_found_out_within_a_second)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");

  fleet_advance (&fleet, 10);
  fleet.nodes[fleet.runs[0].node].silent = true;
  fleet_advance (&fleet, 1000);
  ck_assert_uint_eq (fleet.run_count, 2);
  fleet_answer (&fleet, &fleet.runs[1], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
}
END_TEST

/* A row: how an attempt at a server ends, and what follows for each kind of request. */
static const struct
{
  const char *name;
  bool failed; /* no whole answer */
  fq_server_outcome_t verdict;
  fq_server_failure_t failure;
  bool safe_again; /* another server gets it */
  bool once_again;
  uint16_t once_status; /* where it is not tried again */
} ends[] = {
  { "did not run", false, FQ_SERVER_NOT_EXECUTED, 0, true, true, 0 },
  { "another server", false, FQ_SERVER_INSTANCE_MISMATCH, 0, true, true, 0 },
  { "bytes of another", false, FQ_SERVER_ANSWER_INVALID, 0, true, false, 502 },
  { "refused", true, 0, FQ_SERVER_CONNECT_FAILED, true, true, 0 },
  { "lost", true, 0, FQ_SERVER_CONNECTION_LOST, true, false, 502 },
  { "broken", true, 0, FQ_SERVER_MALFORMED_ANSWER, true, false, 502 },
};

START_TEST (test_end_of_an_attempt_decides_what_may_follow)
{
  for (int once = 0; once < 2; once++)
    {
      fq_id_t request
          = fleet_send_request (&fleet, 0, once ? "/once/1" : "/safe/1", "r", "");
      size_t before = fleet.run_count;
      bool again = once ? ends[_i].once_again : ends[_i].safe_again;

      fleet_advance (&fleet, 10);
      ck_assert_uint_eq (fleet.run_count, before + 1);
      if (ends[_i].failed)
        fleet_fail (&fleet, &fleet.runs[before], ends[_i].failure);
      else
        fleet_answer (&fleet, &fleet.runs[before], ends[_i].verdict, 503);
      fleet_advance (&fleet, 20);
      ck_assert_msg (fleet.run_count == before + 1 + again, "%s once=%d runs=%zu",
                     ends[_i].name, once, fleet.run_count - before);
      if (!again)
        {
          ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status,
                             ends[_i].once_status);
          continue;
        }
      ck_assert_uint_ne (fleet.runs[before + 1].node, fleet.runs[before].node);
      fleet_answer (&fleet, &fleet.runs[before + 1], FQ_SERVER_ANSWERED, 200);
      fleet_advance (&fleet, 20);
      ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
    }
}
END_TEST

START_TEST (test_no_more_servers_than_the_route_allows)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");

  for (size_t i = 0; i < 2; i++)
    {
      fleet_advance (&fleet, 10);
      ck_assert_uint_eq (fleet.run_count, i + 1);
      fleet_answer (&fleet, &fleet.runs[i], FQ_SERVER_NOT_EXECUTED, 503);
    }
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 2);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 503);
}
END_TEST

/* The server of every gate fails every request that gets to it. */
START_TEST (test_repeats_stay_within_the_budget)
{
  size_t asked = 200;
  size_t repeats;

  for (size_t i = 0; i < asked; i++)
    {
      size_t done = fleet.run_count;

      fleet_send_request (&fleet, 0, "/safe/1", "r", "");
      fleet_advance (&fleet, 10);
      for (; done < fleet.run_count; done++)
        {
          fleet_answer (&fleet, &fleet.runs[done], FQ_SERVER_NOT_EXECUTED, 503);
          fleet_advance (&fleet, 10);
        }
    }
  repeats = fleet.run_count - asked;
  ck_assert_uint_gt (repeats, 0);
  ck_assert_double_le ((double)repeats, 0.2 * (double)asked + 40);
}
END_TEST

START_TEST (test_client_that_leaves_stops_only_what_may_be_repeated)
{
  fq_mesh_event_t gone = { .kind = FQ_MESH_EVENT_CLIENT_DISCONNECTED };

  gone.request_id = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 0, &gone);
  fleet_advance (&fleet, 10);
  ck_assert (fleet.runs[0].aborted);
  gone.request_id = fleet_send_request (&fleet, 0, "/once/1", "r2", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 0, &gone);
  fleet_advance (&fleet, 10);
  ck_assert (!fleet.runs[1].aborted);
  fleet_answer (&fleet, &fleet.runs[1], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.reply_count, 0);
}
END_TEST

START_TEST (test_route_timeout_ends_the_wait)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fq_time_t asked = fleet.now;

  fleet_advance (&fleet, 2100);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 504);
  ck_assert_int_le (fleet_find_reply (&fleet, request)->at - asked,
                    2050 * FQ_MICROSECONDS_PER_MS);
  fleet_advance (&fleet, 10);
  ck_assert (fleet.runs[0].aborted);
}
END_TEST

/* More than the three gates hold: what is told not to have run has not and will not. */
START_TEST (test_refused_requests_never_run)
{
  enum
  {
    ASKED = 120
  };
  fq_id_t requests[ASKED];
  size_t refused = 0;
  char id[16];

  for (size_t i = 0; i < ASKED; i++)
    {
      snprintf (id, sizeof id, "r%zu", i);
      requests[i] = fleet_send_request (&fleet, 0, "/once/1", id, "");
    }
  for (int round = 0; round < 30; round++)
    {
      fleet_advance (&fleet, 100);
      for (size_t i = 0; i < fleet.run_count; i++)
        {
          if (!fleet.runs[i].ended
              && fleet.now - fleet.runs[i].started >= 500 * FQ_MICROSECONDS_PER_MS)
            fleet_answer (&fleet, &fleet.runs[i], FQ_SERVER_ANSWERED, 200);
        }
    }
  for (size_t i = 0; i < ASKED; i++)
    {
      const fleet_reply_t *reply = fleet_find_reply (&fleet, requests[i]);
      size_t runs = 0;

      snprintf (id, sizeof id, "r%zu", i);
      for (size_t j = 0; j < fleet.run_count; j++)
        runs += strcmp (fleet.runs[j].request_id, id) == 0;
      ck_assert_ptr_nonnull (reply);
      ck_assert_uint_le (runs, 1);
      if (reply->status != 503)
        continue;
      ck_assert_uint_eq (runs, 0);
      ck_assert_uint_gt (reply->retry_after_ms, 0);
      refused++;
    }
  ck_assert_uint_gt (refused, 0);
}
END_TEST

/* Until clients know, a node that stops serves on; then it ends what is under way. */
START_TEST (test_stop_cuts_nothing_and_ends_in_time)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_STOP };
  fq_id_t request;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_feed (&fleet, 1, &stop);
  ck_assert (!fq_mesh_is_ready (fleet.nodes[1].mesh));
  fleet_advance (&fleet, 1500);
  request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  fleet_advance (&fleet, 1500);
  ck_assert (!fleet.nodes[1].stopped);
  fleet_answer (&fleet, &fleet.runs[0], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 200);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
  ck_assert (fleet.nodes[1].stopped);
}
END_TEST

/* What is still under way then gets an answer, and is not cut off without one. */
START_TEST (test_stop_ends_before_the_process_is_killed)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_STOP };
  fq_id_t request;

  fq_config_unref (fleet.config);
  fleet.config = fleet_config (2, 60000);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 500);
  request = fleet_send_request (&fleet, 1, "/once/1", "r1", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 1, &stop);
  fleet_advance (&fleet, 5900);
  ck_assert (fleet.nodes[1].stopped);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 504);
}
END_TEST

/* A request that comes too late to end before the process does is refused while it has
 * not run. */
START_TEST (test_stop_takes_no_request_that_could_not_end)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_STOP };
  fq_id_t request;

  fleet_send_request (&fleet, 0, "/once/1", "r1", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 0, &stop);
  fleet_advance (&fleet, 4000);
  request = fleet_send_request (&fleet, 0, "/safe/1", "r2", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 503);
}
END_TEST

/* A node that starts without a configuration hears of it from each node that it greets,
 * and asks one of them. */
START_TEST (test_new_process_asks_one_node_for_the_configuration)
{
  fq_config_t *config = fleet.config;
  size_t asked = 0;

  fleet_kill (&fleet, 0);
  fleet.config = NULL;
  fleet_start (&fleet, 0);
  fleet.config = config;
  for (int ms = 0; ms < 250; ms++)
    {
      fleet_advance (&fleet, 1);
      for (size_t i = 0; i < fleet.message_count; i++)
        asked += fleet.messages[i].frame.kind == FQ_FRAME_CONFIG_REQUEST
                 && fleet.messages[i].due > fleet.now;
    }
  ck_assert_uint_eq (asked, 1);
}
END_TEST

#define MANY_NODES 200
#define TOLD_MAX 32 /* nodes in one greeting */

/* Greetings of many nodes stay small, and together they still tell of all that came in
 * the first half; the last ones greet the others themselves. */
START_TEST (test_greetings_stay_small_and_tell_of_all_nodes)
{
  fq_mesh_options_t options = FQ_MESH_OPTIONS_INIT;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_LINK_UP };
  bool told[MANY_NODES] = { false };
  fq_mesh_t *mesh;

  options.address = fleet_address (MANY_NODES);
  options.zone = "z";
  options.service = "back";
  options.seed = 7;
  ck_assert_int_eq (fq_mesh_new (&mesh, &options, fleet.now), 0);
  for (size_t i = 0; i < MANY_NODES; i++)
    {
      fq_mesh_effects_t effects = { 0 };
      fq_node_address_t address = fleet_address (i);
      fq_mesh_event_t nodes = { .kind = FQ_MESH_EVENT_NODES };

      nodes.now = event.now = fleet.now;
      nodes.nodes.addresses = &address;
      nodes.nodes.count = 1;
      fq_mesh_reduce (mesh, &nodes, &effects);
      event.node = address;
      fq_mesh_reduce (mesh, &event, &effects);
      for (size_t j = 0; j < effects.count; j++)
        {
          const fq_frame_t *frame = effects.items[j].frame.frame;

          if (effects.items[j].kind != FQ_MESH_EFFECT_SEND_TO_GATE)
            continue;
          ck_assert_uint_le (frame->node_count, TOLD_MAX);
          for (size_t k = 0; k < frame->node_count; k++)
            told[fleet_node_of (frame->nodes[k])] = true;
        }
      fq_mesh_effects_free (&effects);
    }
  for (size_t i = 0; i < MANY_NODES / 2; i++)
    ck_assert (told[i]);
  fq_mesh_free (mesh);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("mesh");
  TCase *tcase = tcase_create ("mesh");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_request_is_answered_by_another_node);
  tcase_add_test (tcase, test_no_route_is_told_only_with_a_configuration);
  tcase_add_test (tcase, test_older_configuration_is_ignored);
  tcase_add_test (tcase, test_once_goes_on_when_its_gate_dies_before_the_grant);
  tcase_add_test (tcase, test_once_is_not_repeated_when_its_gate_dies_later);
  tcase_add_test (tcase, test_safe_is_repeated_when_its_gate_dies);
  tcase_add_test (tcase, test_silent_gate_is_found_out_within_a_second);
  tcase_add_loop_test (tcase, test_end_of_an_attempt_decides_what_may_follow, 0,
                       sizeof ends / sizeof ends[0]);
  tcase_add_test (tcase, test_no_more_servers_than_the_route_allows);
  tcase_add_test (tcase, test_repeats_stay_within_the_budget);
  tcase_add_test (tcase, test_client_that_leaves_stops_only_what_may_be_repeated);
  tcase_add_test (tcase, test_route_timeout_ends_the_wait);
  tcase_add_test (tcase, test_refused_requests_never_run);
  tcase_add_test (tcase, test_stop_cuts_nothing_and_ends_in_time);
  tcase_add_test (tcase, test_stop_ends_before_the_process_is_killed);
  tcase_add_test (tcase, test_stop_takes_no_request_that_could_not_end);
  tcase_add_test (tcase, test_new_process_asks_one_node_for_the_configuration);
  tcase_add_test (tcase, test_greetings_stay_small_and_tell_of_all_nodes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
