/**
 * DOC: Tests of request handling by several nodes, in virtual time and without sockets.
 *
 * Requests to /safe/ are idempotent, those to /once/ are not.
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

START_TEST (test_missing_route_is_404_only_with_a_configuration)
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
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = newer } };

  fleet_feed (&fleet, 0, &event);
  event.config.received = fleet.config;
  fleet_feed (&fleet, 0, &event);
  ck_assert_uint_eq (fq_mesh_config_version (fleet.nodes[0].mesh), 7);
  fq_config_unref (newer);
}
END_TEST

/* A gate that is lost before its GRANT has not received the request, so that the entry
 * may safely offer it to another gate. */
START_TEST (test_non_idempotent_request_is_offered_again_if_gate_dies_before_grant)
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

START_TEST (test_non_idempotent_request_is_not_retried_if_gate_dies_after_grant)
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

START_TEST (test_idempotent_request_is_retried_if_gate_dies)
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

START_TEST (test_silent_gate_is_detected_within_one_second)
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

/* The outcomes of an attempt at a server, and whether the request is retried. */
static const struct
{
  const char *name;
  bool failed; /* no complete answer: @failure counts, else @outcome */
  fq_server_outcome_t outcome;
  fq_server_failure_t failure;
  bool idempotent_retried;
  bool non_idempotent_retried;
  uint16_t non_idempotent_status; /* answer to the client without a retry */
} attempt_outcomes[] = {
  { "did not run", false, FQ_SERVER_NOT_EXECUTED, 0, true, true, 0 },
  { "another server", false, FQ_SERVER_INSTANCE_MISMATCH, 0, true, true, 0 },
  { "answer of another server", false, FQ_SERVER_ANSWER_INVALID, 0, true, false, 502 },
  { "connection refused", true, 0, FQ_SERVER_CONNECT_FAILED, true, true, 0 },
  { "connection lost", true, 0, FQ_SERVER_CONNECTION_LOST, true, false, 502 },
  { "malformed answer", true, 0, FQ_SERVER_MALFORMED_ANSWER, true, false, 502 },
};

START_TEST (test_outcome_of_attempt_decides_on_retry)
{
  for (int once = 0; once < 2; once++)
    {
      fq_id_t request
          = fleet_send_request (&fleet, 0, once ? "/once/1" : "/safe/1", "r", "");
      size_t before = fleet.run_count;
      bool retried = once ? attempt_outcomes[_i].non_idempotent_retried
                          : attempt_outcomes[_i].idempotent_retried;

      fleet_advance (&fleet, 10);
      ck_assert_uint_eq (fleet.run_count, before + 1);
      if (attempt_outcomes[_i].failed)
        fleet_fail (&fleet, &fleet.runs[before], attempt_outcomes[_i].failure);
      else
        fleet_answer (&fleet, &fleet.runs[before], attempt_outcomes[_i].outcome, 503);
      fleet_advance (&fleet, 20);
      ck_assert_msg (fleet.run_count == before + 1 + retried, "%s once=%d runs=%zu",
                     attempt_outcomes[_i].name, once, fleet.run_count - before);
      if (!retried)
        {
          ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status,
                             attempt_outcomes[_i].non_idempotent_status);
          continue;
        }
      ck_assert_uint_ne (fleet.runs[before + 1].node, fleet.runs[before].node);
      fleet_answer (&fleet, &fleet.runs[before + 1], FQ_SERVER_ANSWERED, 200);
      fleet_advance (&fleet, 20);
      ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
    }
}
END_TEST

START_TEST (test_attempts_stay_within_servers_max_of_route)
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

/* All servers refuse every request, so that each request would be retried at a second
 * server: the retries stay below the ratio of 0.2 plus the slack of 40. */
START_TEST (test_retries_stay_within_budget)
{
  size_t asked = 200;
  size_t retries;

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
  retries = fleet.run_count - asked;
  ck_assert_uint_gt (retries, 0);
  ck_assert_double_le ((double)retries, 0.2 * (double)asked + 40);
}
END_TEST

/* The parameters of the fleet. */
#define RETRY_RATIO 0.2
#define RETRY_SLACK 40
#define RETRY_WINDOW_MS 10000

#define REQUEST_GAP_MS 40
#define REPORT_GAP_MS 1000

static void
report_all (void)
{
  for (size_t node = 1; node < FLEET_NODES; node++)
    fleet_report (&fleet, node, "i-1", 1000, false);
}

/* Sends a request each REQUEST_GAP_MS until @until_ms; from @refused_from_ms on all
 * servers refuse, so that each request would be retried. The times of arrivals beyond the
 * first of a request go to @repeats. Return: their number. */
static size_t
send_requests (int until_ms, int refused_from_ms, int *repeats, size_t count)
{
  for (int at = 0; at < until_ms; at += REQUEST_GAP_MS)
    {
      size_t done = fleet.run_count;
      size_t first = done;

      if (at % REPORT_GAP_MS == 0)
        report_all ();
      fleet_send_request (&fleet, 0, "/safe/1", "r", "");
      fleet_advance (&fleet, 10);
      for (; done < fleet.run_count; done++)
        {
          if (done > first)
            repeats[count++] = (int)(fleet.now / FQ_MICROSECONDS_PER_MS);
          fleet_answer (&fleet, &fleet.runs[done],
                        at < refused_from_ms ? FQ_SERVER_ANSWERED
                                             : FQ_SERVER_NOT_EXECUTED,
                        at < refused_from_ms ? 200 : 503);
          fleet_advance (&fleet, 10);
        }
      fleet_advance (&fleet, REQUEST_GAP_MS - 10 * (uint32_t)(done - first + 1));
    }
  return count;
}

/* Guards against found-3/budget of the review: all nodes are restarted while servers
 * refuse, their gates forget what they have spent, and retries exceed the budget in the
 * window over the restart. */
START_TEST (test_retries_over_a_restart_of_all_nodes_stay_within_budget)
{
  static const int refused_from_ms[] = { 6000, 7000, 8000, 9000 };
  int repeats[FLEET_RUNS_MAX];
  size_t count = send_requests (RETRY_WINDOW_MS, refused_from_ms[_i], repeats, 0);
  size_t most = 0;

  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_kill (&fleet, node);
  for (size_t node = 0; node < FLEET_NODES; node++)
    fleet_start (&fleet, node);
  fleet_advance (&fleet, 300);
  report_all ();
  fleet_advance (&fleet, 100);
  count = send_requests (RETRY_WINDOW_MS, 0, repeats, count);
  for (size_t i = 0, first = 0; i < count; i++)
    {
      while (repeats[i] - repeats[first] >= RETRY_WINDOW_MS)
        first++;
      most = i - first + 1 > most ? i - first + 1 : most;
    }
  ck_assert_uint_gt (most, 0);
  ck_assert_double_le ((double)most,
                       RETRY_RATIO * RETRY_WINDOW_MS / REQUEST_GAP_MS + RETRY_SLACK);
}
END_TEST

START_TEST (test_client_disconnect_aborts_only_idempotent_requests)
{
  fq_mesh_event_t disconnect = { .kind = FQ_MESH_EVENT_CLIENT_DISCONNECTED };

  disconnect.request_id = fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 0, &disconnect);
  fleet_advance (&fleet, 10);
  ck_assert (fleet.runs[0].aborted);
  disconnect.request_id = fleet_send_request (&fleet, 0, "/once/1", "r2", "");
  fleet_advance (&fleet, 10);
  fleet_feed (&fleet, 0, &disconnect);
  fleet_advance (&fleet, 10);
  ck_assert (!fleet.runs[1].aborted);
  fleet_answer (&fleet, &fleet.runs[1], FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.reply_count, 0);
}
END_TEST

START_TEST (test_request_gets_504_at_route_timeout)
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

/* Overload of the three gates: a request that the client sees refused with 503 has not
 * been executed and never is. */
START_TEST (test_refused_requests_never_run)
{
  enum
  {
    REQUESTS = 120
  };
  fq_id_t requests[REQUESTS];
  size_t refused = 0;
  char id[16];

  for (size_t i = 0; i < REQUESTS; i++)
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
  for (size_t i = 0; i < REQUESTS; i++)
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

/* A node that shuts down still admits requests until clients have noticed, and then
 * completes the requests in progress before it stops. */
START_TEST (test_shutdown_completes_requests_in_progress)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_SHUTDOWN };
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

/* A request that is still in progress shortly before the process is killed gets an error
 * answer, and is not dropped without one. */
START_TEST (test_shutdown_ends_before_process_is_killed)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_SHUTDOWN };
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

/* A request that arrives late in the shutdown might not complete before the process is
 * killed, and is refused without being executed. */
START_TEST (test_shutdown_refuses_requests_that_could_not_complete)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_SHUTDOWN };
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

/* Counts the requests for a configuration that are sent within @ms. */
static size_t
count_config_requests (int ms)
{
  size_t count = 0;

  for (int i = 0; i < ms; i++)
    {
      fleet_advance (&fleet, 1);
      for (size_t j = 0; j < fleet.message_count; j++)
        count += fleet.messages[j].frame.kind == FQ_FRAME_CONFIG_REQUEST
                 && fleet.messages[j].due > fleet.now;
    }
  return count;
}

/* Guards against review case 3: the node ended while clients still read their answers,
 * which were cut. */
START_TEST (test_shutdown_waits_for_output_within_the_grace)
{
  fq_mesh_event_t stop = { .kind = FQ_MESH_EVENT_SHUTDOWN };
  uint32_t sent_ms[] = { 0, 2500, 4900, 100000 };
  uint32_t ended_ms = 0;

  fleet.nodes[1].output_pending = sent_ms[_i] > 0;
  fleet_feed (&fleet, 1, &stop);
  while (!fleet.nodes[1].stopped)
    {
      fleet.nodes[1].output_pending = ended_ms < sent_ms[_i];
      fleet_advance (&fleet, 10);
      ended_ms += 10;
      ck_assert_uint_lt (ended_ms, 6000);
    }
  if (sent_ms[_i] < 6000)
    {
      ck_assert_uint_ge (ended_ms, sent_ms[_i]);
      ck_assert_uint_le (ended_ms, (sent_ms[_i] > 2200 ? sent_ms[_i] : 2200) + 200);
    }
}
END_TEST

/* A node that starts without a configuration sees its version in the WELCOME of every
 * peer, but requests the document from one peer only. */
START_TEST (test_new_node_requests_configuration_from_one_peer)
{
  fq_config_t *config = fleet.config;

  fleet_kill (&fleet, 0);
  fleet.config = NULL;
  fleet_start (&fleet, 0);
  fleet.config = config;
  ck_assert_uint_eq (count_config_requests (250), 1);
}
END_TEST

/* Guards against review case 1 on a related path: all nodes missed a change while the
 * store was silent, and without requests between them none told the others of it. */
START_TEST (test_configuration_found_late_is_told_to_others_in_a_quiet_time)
{
  fq_config_t *newer = fleet_config (7, 1000);
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = newer } };

  fleet_advance (&fleet, 5000);
  fleet_feed (&fleet, 0, &event);
  /* What the store delivers in time needs no telling: it delivers it to all. */
  ck_assert_uint_eq (count_config_requests (290), 0);
  fq_config_unref (newer);
  newer = fleet_config (8, 1000);
  event.config.received = newer;
  event.config.found_late = true;
  fleet_feed (&fleet, 0, &event);
  ck_assert_uint_ge (count_config_requests (400), FLEET_NODES - 1);
  fq_config_unref (newer);
}
END_TEST

/* Guards against review/8 (CONFIG): the store delivers a change to some nodes only, and
 * in a quiet time nothing told the others of it, which acted on the old version for many
 * seconds. Each bit of the loop is a node that the store serves. */
START_TEST (test_change_that_the_store_delivers_to_some_reaches_all_in_a_quiet_time)
{
  fq_config_t *newer = fleet_config (7, 1000);
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = newer } };

  fleet_advance (&fleet, 5000);
  fleet.newer_config = newer;
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      if ((_i >> node & 1) != 0)
        fleet_feed (&fleet, node, &event);
    }
  fleet_advance (&fleet, 1500);
  for (size_t node = 0; node < FLEET_NODES; node++)
    ck_assert_uint_eq (fq_mesh_config_version (fleet.nodes[node].mesh), 7);
  fleet.newer_config = NULL;
  fq_config_unref (newer);
}
END_TEST

#define MANY_NODES 200
#define NODE_SAMPLE_MAX 32 /* nodes in one HELLO */

/* The node samples in HELLO frames are bounded. Together they still contain all nodes of
 * the first half; the nodes that joined last send their own HELLO to the others. */
START_TEST (test_node_samples_are_bounded_and_cover_all_nodes)
{
  fq_mesh_options_t options = FQ_MESH_OPTIONS_INIT;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_LINK_UP };
  bool announced[MANY_NODES] = { false };
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
          ck_assert_uint_le (frame->node_count, NODE_SAMPLE_MAX);
          for (size_t k = 0; k < frame->node_count; k++)
            announced[fleet_node_of (frame->nodes[k])] = true;
        }
      fq_mesh_effects_free (&effects);
    }
  for (size_t i = 0; i < MANY_NODES / 2; i++)
    ck_assert (announced[i]);
  fq_mesh_free (mesh);
}
END_TEST

/* Guards against a route of which every request is refused for lack of time, because the
 * operators allow less than some least time. */
START_TEST (test_route_with_a_short_timeout_is_served)
{
  static const uint32_t timeouts_ms[] = { 1, 20, 49, 60 };
  fq_mesh_event_t config = { .kind = FQ_MESH_EVENT_CONFIG };
  fq_id_t request;

  config.config.received = fleet_config (2, timeouts_ms[_i]);
  fleet_feed (&fleet, 0, &config);
  request = fleet_send_request (&fleet, 0, "/safe/1", "short", "");
  for (int i = 0; i < 10 && fleet_find_active_run (&fleet, "short") == NULL; i++)
    fleet_advance (&fleet, 1);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "short"));
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 504);
  fq_config_unref (config.config.received);
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
  tcase_add_loop_test (tcase, test_route_with_a_short_timeout_is_served, 0, 4);
  tcase_add_test (tcase, test_request_is_answered_by_another_node);
  tcase_add_test (tcase, test_missing_route_is_404_only_with_a_configuration);
  tcase_add_test (tcase, test_older_configuration_is_ignored);
  tcase_add_test (tcase,
                  test_non_idempotent_request_is_offered_again_if_gate_dies_before_grant);
  tcase_add_test (tcase,
                  test_non_idempotent_request_is_not_retried_if_gate_dies_after_grant);
  tcase_add_test (tcase, test_idempotent_request_is_retried_if_gate_dies);
  tcase_add_test (tcase, test_silent_gate_is_detected_within_one_second);
  tcase_add_loop_test (tcase, test_outcome_of_attempt_decides_on_retry, 0,
                       sizeof attempt_outcomes / sizeof attempt_outcomes[0]);
  tcase_add_test (tcase, test_attempts_stay_within_servers_max_of_route);
  tcase_add_test (tcase, test_retries_stay_within_budget);
  tcase_add_loop_test (tcase, test_retries_over_a_restart_of_all_nodes_stay_within_budget,
                       0, 4);
  tcase_add_test (tcase, test_client_disconnect_aborts_only_idempotent_requests);
  tcase_add_test (tcase, test_request_gets_504_at_route_timeout);
  tcase_add_test (tcase, test_refused_requests_never_run);
  tcase_add_test (tcase, test_shutdown_completes_requests_in_progress);
  tcase_add_test (tcase, test_shutdown_ends_before_process_is_killed);
  tcase_add_test (tcase, test_shutdown_refuses_requests_that_could_not_complete);
  tcase_add_loop_test (tcase, test_shutdown_waits_for_output_within_the_grace, 0, 4);
  tcase_add_test (tcase, test_new_node_requests_configuration_from_one_peer);
  tcase_add_test (tcase, test_configuration_found_late_is_told_to_others_in_a_quiet_time);
  tcase_add_loop_test (
      tcase, test_change_that_the_store_delivers_to_some_reaches_all_in_a_quiet_time, 1,
      1 << FLEET_NODES);
  tcase_add_test (tcase, test_node_samples_are_bounded_and_cover_all_nodes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
