/**
 * DOC: Tests of crashes of servers: how a gate finds them when nothing else goes on, who
 * is suspected, and that requests which did nothing are served.
 */
#include <stdio.h>

#include "mesh_fleet.h"

#define CRASHES_MAX (3 + 3) /* three, and as many retries later */
#define REFUSED 503
#define OTHERS 3
#define BACKS                                                                            \
  (FLEET_NODES - 1) /* nodes 1 to 3; a request of node 0 has another caller              \
                     */
#define DOWN_TIMES 4

static fleet_t fleet;
static uint64_t starts; /* of servers */

static void
setup (void)
{
  starts = 1000;
  fleet_setup (&fleet);
}

static void
teardown (void)
{
  fleet_teardown (&fleet);
}

/** evidence_t - what a gate can see of the crash of its server in a quiet time. */
typedef enum
{
  EVIDENCE_REFUSED,       /* it takes no connections */
  EVIDENCE_OTHER_PROCESS, /* another process answers the health check */
  EVIDENCE_SAME_ID,       /* the next process has its id, and is there at once */
  EVIDENCE_HANGS_FIRST,   /* the health check breaks off, the next one is refused */
  EVIDENCE_REPORT,        /* only the report of the next process */
  EVIDENCE_COUNT,
} evidence_t;

/* The runs at the server of @node lose their connections. */
static void
lose_runs (size_t node, fq_server_failure_t failure)
{
  for (size_t i = 0; i < fleet.run_count; i++)
    {
      if (!fleet.runs[i].ended && fleet.runs[i].node == node)
        fleet_fail (&fleet, &fleet.runs[i], failure);
    }
}

static void
crash_server_with (size_t node, evidence_t evidence, fq_server_failure_t failure)
{
  fleet_node_t *at = &fleet.nodes[node];

  at->server_down = evidence == EVIDENCE_REFUSED;
  at->server_silent = evidence == EVIDENCE_HANGS_FIRST || evidence == EVIDENCE_REPORT;
  if (evidence == EVIDENCE_OTHER_PROCESS)
    strcpy (at->instance, "i-other");
  lose_runs (node, failure);
  if (evidence != EVIDENCE_HANGS_FIRST)
    return;
  at->server_silent = false;
  at->server_down = true;
}

static void
crash_server (size_t node, evidence_t evidence)
{
  crash_server_with (node, evidence, FQ_SERVER_CONNECTION_LOST);
}

/* The next process of the server of @node. */
static void
start_server (size_t node, evidence_t evidence)
{
  char instance[FLEET_TEXT_BYTES];

  fleet.nodes[node].server_down = false;
  fleet.nodes[node].server_silent = false;
  fleet.nodes[node].sequence = 0;
  starts++;
  if (evidence == EVIDENCE_SAME_ID)
    snprintf (instance, sizeof instance, "%s", fleet.nodes[node].instance);
  else
    snprintf (instance, sizeof instance, "i-%llu", (unsigned long long)starts);
  fleet_report (&fleet, node, instance, starts, false);
}

/* Sends a request that crashes its server, up to the end of all its attempts; the servers
 * are down for @down_ms. Returns the number of crashes. */
static size_t
send_crashing (size_t entry, evidence_t evidence, uint32_t down_ms)
{
  fq_id_t id = fleet_send_request (&fleet, entry, "/safe/crash", "crash", "");
  size_t crashes = 0;
  fleet_run_t *run;

  fleet_advance (&fleet, 10);
  while ((run = fleet_find_active_run (&fleet, "crash")) != NULL)
    {
      size_t node = run->node;

      crash_server (node, evidence);
      crashes++;
      fleet_advance (&fleet, down_ms);
      start_server (node, evidence);
      fleet_advance (&fleet, 10);
    }
  ck_assert_ptr_nonnull (fleet_find_reply (&fleet, id));
  return crashes;
}

/* Guards against review case 2: without other requests, no crash was found, so that a
 * request that crashes servers was never stopped. */
START_TEST (test_crashing_request_is_stopped_in_a_quiet_time)
{
  static const uint32_t down_ms[] = { 1, 150, 2500, 20000 };
  evidence_t evidence = (evidence_t)(_i % EVIDENCE_COUNT);
  uint32_t down = down_ms[_i / EVIDENCE_COUNT % DOWN_TIMES];
  bool at_all_nodes = _i >= EVIDENCE_COUNT * DOWN_TIMES;
  size_t crashes = 0;

  for (size_t i = 0; i < 10; i++)
    {
      crashes += send_crashing (at_all_nodes ? 1 + i % BACKS : 0, evidence, down);
      fleet_advance (&fleet, 3000);
    }
  ck_assert_uint_ge (crashes, 3);
  ck_assert_uint_le (crashes, CRASHES_MAX);
}
END_TEST

static uint64_t
crashes_found_by (size_t node)
{
  static const char name[] = "\nfq_server_crashes_total ";
  fq_buffer_t out = { 0 };
  const char *at;
  uint64_t count;

  fq_mesh_write_metrics (fleet.nodes[node].mesh, &out);
  fq_buffer_add (&out, "", 1);
  at = strstr ((const char *)fq_buffer_bytes (&out), name);
  ck_assert_ptr_nonnull (at);
  count = strtoull (at + strlen (name), NULL, 10);
  fq_buffer_clear (&out);
  return count;
}

/* The server need not be back, nor get another request, for its crash to be found; a
 * connection that it only dropped is none. */
START_TEST (test_crash_is_found_at_once_in_a_quiet_time)
{
  static const struct
  {
    evidence_t evidence;
    fq_server_failure_t failure;
    uint32_t wait_ms;
    uint64_t crashes;
  } cases[] = {
    { EVIDENCE_REFUSED, FQ_SERVER_CONNECTION_LOST, 10, 1 },
    { EVIDENCE_REFUSED, FQ_SERVER_MALFORMED_ANSWER, 10, 1 },
    { EVIDENCE_OTHER_PROCESS, FQ_SERVER_CONNECTION_LOST, 10, 1 },
    { EVIDENCE_HANGS_FIRST, FQ_SERVER_CONNECTION_LOST, 200, 1 },
    { EVIDENCE_SAME_ID, FQ_SERVER_CONNECTION_LOST, 200, 0 },
    { EVIDENCE_SAME_ID, FQ_SERVER_MALFORMED_ANSWER, 200, 0 },
  };
  size_t node;

  fleet_send_request (&fleet, 0, "/once/1", "lost", "");
  fleet_advance (&fleet, 10);
  node = fleet_find_active_run (&fleet, "lost")->node;
  crash_server_with (node, cases[_i].evidence, cases[_i].failure);
  fleet_advance (&fleet, cases[_i].wait_ms);
  ck_assert_uint_eq (crashes_found_by (node), cases[_i].crashes);
}
END_TEST

/* Nodes that are started anew know which requests are refused. */
START_TEST (test_restarted_nodes_refuse_crashing_request)
{
  size_t before = 0;

  for (size_t i = 0; i < 4; i++)
    before += send_crashing (0, EVIDENCE_REFUSED, 500);
  for (size_t node = 0; node < FLEET_NODES; node++)
    {
      fleet_kill (&fleet, node);
      fleet_advance (&fleet, 500);
      fleet_start (&fleet, node);
      fleet_advance (&fleet, 500);
      start_server (node, EVIDENCE_REFUSED);
      fleet_advance (&fleet, 500);
    }
  ck_assert_uint_ge (before, 3);
  for (size_t node = 1; node <= BACKS; node++)
    ck_assert_ptr_null (fleet_find_active_run (&fleet, "crash"));
  ck_assert_uint_eq (send_crashing (0, EVIDENCE_REFUSED, 500), 0);
}
END_TEST

static fq_id_t
send_other (int number, const char *id)
{
  char target[32];

  snprintf (target, sizeof target, "/once/%d", number);
  return fleet_send_request (&fleet, 0, target, id, "");
}

/* Answers what runs and has not crashed its server, for @ms. */
static void
answer_others (uint32_t ms)
{
  for (uint32_t at = 0; at < ms; at += 100)
    {
      fleet_advance (&fleet, 100);
      for (size_t i = 0; i < fleet.run_count; i++)
        {
          if (!fleet.runs[i].ended && strncmp (fleet.runs[i].request_id, "other", 5) == 0)
            fleet_answer (&fleet, &fleet.runs[i], FQ_SERVER_ANSWERED, 200);
        }
    }
}

/* The server beside node 1 is the only one, so that all that runs is beside the request
 * that crashes it, each time. Whoever did nothing is served, in the end and at once after
 * it; the other is refused. */
START_TEST (test_requests_beside_a_crash_are_served_when_they_come_again)
{
  bool crashing_is_first = _i == 1;
  fq_id_t last[OTHERS];
  size_t crashes = 0;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  for (int round = 0; round < 8; round++)
    {
      fq_id_t crashing = 0;

      if (crashing_is_first)
        crashing = fleet_send_request (&fleet, 0, "/safe/crash", "crash", "");
      for (int i = 0; i < OTHERS; i++)
        last[i] = send_other (i, "other");
      if (!crashing_is_first)
        crashing = fleet_send_request (&fleet, 0, "/safe/crash", "crash", "");
      fleet_advance (&fleet, 20);
      for (int step = 0; step < 10; step++)
        {
          if (fleet_find_active_run (&fleet, "crash") != NULL)
            {
              crashes++;
              crash_server (1, EVIDENCE_REFUSED);
              fleet_advance (&fleet, 300);
              start_server (1, EVIDENCE_REFUSED);
            }
          answer_others (200);
        }
      ck_assert_ptr_nonnull (fleet_find_reply (&fleet, crashing));
    }
  ck_assert_uint_ge (crashes, 3);
  ck_assert_uint_le (crashes, CRASHES_MAX);
  for (int i = 0; i < OTHERS; i++)
    ck_assert_uint_eq (fleet_find_reply (&fleet, last[i])->status, 200);
}
END_TEST

/* Copies of a request that crash all servers at the same moment, each beside the same
 * other request, are three crashes for both. */
START_TEST (test_request_beside_three_crashes_at_once_is_served)
{
  fq_id_t id;

  for (size_t node = 1; node < FLEET_NODES; node++)
    {
      fleet_offer (&fleet, node, "crash", false);
      send_other (1, "other");
      send_other (1, "other");
      fleet_advance (&fleet, 10);
    }
  for (size_t node = 1; node < FLEET_NODES; node++)
    crash_server (node, EVIDENCE_REFUSED);
  fleet_advance (&fleet, 300);
  for (size_t node = 1; node < FLEET_NODES; node++)
    start_server (node, EVIDENCE_REFUSED);
  fleet_advance (&fleet, 300);
  id = send_other (1, "other");
  answer_others (500);
  ck_assert_uint_eq (fleet_find_reply (&fleet, id)->status, 200);
}
END_TEST

/* All servers of the service are lost at the same moment, for a cause of their own, while
 * the same request runs at each: it ran in three crashes, and nothing else did. */
START_TEST (test_request_that_ran_when_all_servers_were_lost_is_served)
{
  bool at[FLEET_NODES] = { true };
  fq_id_t id;

  while (!at[1] || !at[2] || !at[3])
    {
      send_other (1, "other");
      fleet_advance (&fleet, 10);
      at[fleet.runs[fleet.run_count - 1].node] = true;
    }
  for (size_t node = 1; node < FLEET_NODES; node++)
    {
      crash_server (node, EVIDENCE_REFUSED);
      fleet_advance (&fleet, _i == 0 ? 0 : 50);
    }
  fleet_advance (&fleet, 300);
  for (size_t node = 1; node < FLEET_NODES; node++)
    start_server (node, EVIDENCE_REFUSED);
  fleet_advance (&fleet, 300);
  id = send_other (1, "other");
  answer_others (500);
  ck_assert_uint_eq (fleet_find_reply (&fleet, id)->status, 200);
  /* It is no suspect any more. */
  id = fleet_send_request (&fleet, 0, "/once/1", "other", "");
  fleet_advance (&fleet, 10);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "other"));
  ck_assert_ptr_null (fleet_find_reply (&fleet, id));
}
END_TEST

/** end_t - how a server ends, or only a connection to it, without a crash. */
typedef enum
{
  END_DRAINED,      /* it reported that it drains */
  END_DEREGISTERED, /* it deregistered */
  END_SAID_LEAVING, /* it said so in an answer */
  END_NODE_STOPS,   /* its VM is removed: the node is stopped too */
  END_DROPPED,      /* it drops the connections and goes on */
  END_COUNT,
} end_t;

static void
announce_end (size_t node, end_t end)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_DEREGISTER };
  fq_server_notice_t notice = { .leaving = true };
  char instance[FLEET_TEXT_BYTES];
  fleet_run_t *run;

  memcpy (instance, fleet.nodes[node].instance, sizeof instance);
  switch (end)
    {
    case END_DRAINED:
      fleet_report (&fleet, node, instance, starts, true);
      break;
    case END_DEREGISTERED:
      event.report.instance = fleet_text (instance);
      fleet_feed (&fleet, node, &event);
      break;
    case END_SAID_LEAVING:
      fleet_offer (&fleet, node, "said", false);
      run = fleet_find_active_run (&fleet, "said");
      fleet_answer_with_notice (&fleet, run, FQ_SERVER_ANSWERED, 200, notice);
      break;
    case END_NODE_STOPS:
      event.kind = FQ_MESH_EVENT_SHUTDOWN;
      fleet_feed (&fleet, node, &event);
      break;
    case END_DROPPED:
    case END_COUNT:
      break;
    }
}

static void
report_again (size_t node)
{
  char instance[FLEET_TEXT_BYTES];

  memcpy (instance, fleet.nodes[node].instance, sizeof instance);
  fleet_report (&fleet, node, instance, starts, false);
}

/* Nobody is suspected for a server that ends on purpose, or that only drops connections:
 * the request that ran then is retried, and served. */
START_TEST (test_nobody_is_blamed_for_a_server_that_ends_on_purpose)
{
  end_t end = (end_t)_i;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  start_server (1, EVIDENCE_REFUSED);
  for (int time = 0; time < 5; time++)
    {
      fq_id_t id = fleet_send_request (&fleet, 0, "/once/1", "other", "");

      fleet_advance (&fleet, 10);
      ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "other"));
      announce_end (1, end);
      fleet_advance (&fleet, 100);
      fleet.nodes[1].server_down = end != END_DROPPED;
      lose_runs (1, FQ_SERVER_CONNECTION_LOST);
      fleet_advance (&fleet, 8000);
      if (end == END_NODE_STOPS)
        {
          fleet_kill (&fleet, 1);
          fleet_start (&fleet, 1);
          fleet_advance (&fleet, 500);
        }
      if (end == END_DROPPED)
        report_again (1);
      else
        start_server (1, EVIDENCE_REFUSED);
      fleet_advance (&fleet, 500);
      ck_assert_uint_ne (fleet_find_reply (&fleet, id)->status, REFUSED);
    }
  fleet_send_request (&fleet, 0, "/once/1", "other", "");
  fleet_advance (&fleet, 10);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "other"));
  /* Not even one crash is known: a safe request that is lost now is tried again. */
  fleet_send_request (&fleet, 0, "/safe/1", "again", "");
  fleet_advance (&fleet, 10);
  ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, "again"));
}
END_TEST

/* A request that was answered between two crashes did not cause them, also if another
 * gate's server answered it. */
START_TEST (test_answer_clears_suspect_at_all_nodes)
{
  for (int time = 0; time < 6; time++)
    {
      size_t node;
      fq_id_t id;

      fleet_send_request (&fleet, 0, "/once/1", "lost", "");
      fleet_advance (&fleet, 10);
      node = fleet_find_active_run (&fleet, "lost")->node;
      crash_server (node, EVIDENCE_REFUSED);
      fleet_advance (&fleet, 100);
      id = send_other (1, "other");
      fleet_advance (&fleet, 10);
      ck_assert_uint_ne (fleet_find_active_run (&fleet, "other")->node, node);
      answer_others (200);
      ck_assert_uint_eq (fleet_find_reply (&fleet, id)->status, 200);
      start_server (node, EVIDENCE_REFUSED);
      fleet_advance (&fleet, 100);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server crash");
  TCase *tcase = tcase_create ("server crash");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_crashing_request_is_stopped_in_a_quiet_time, 0,
                       2 * DOWN_TIMES * EVIDENCE_COUNT);
  tcase_add_loop_test (tcase, test_crash_is_found_at_once_in_a_quiet_time, 0, 6);
  tcase_add_test (tcase, test_restarted_nodes_refuse_crashing_request);
  tcase_add_loop_test (
      tcase, test_requests_beside_a_crash_are_served_when_they_come_again, 0, 2);
  tcase_add_test (tcase, test_request_beside_three_crashes_at_once_is_served);
  tcase_add_loop_test (tcase, test_request_that_ran_when_all_servers_were_lost_is_served,
                       0, 2);
  tcase_add_loop_test (tcase, test_nobody_is_blamed_for_a_server_that_ends_on_purpose, 0,
                       END_COUNT);
  tcase_add_test (tcase, test_answer_clears_suspect_at_all_nodes);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
