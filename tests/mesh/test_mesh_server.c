/**
 * DOC: What a gate believes of its server: reports, drains, crashes, and how much new
 * work it takes.
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

START_TEST (test_drained_server_gets_nothing_and_stays_drained)
{
  size_t late;

  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_report (&fleet, i, "i-1", 1000, true);
  fleet_advance (&fleet, 1000);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  fleet_advance (&fleet, 1000);
  late = fleet.run_count;
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_report (&fleet, i, "i-1", 1000, false);
  fleet_send_request (&fleet, 0, "/safe/1", "r2", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, late);
  /* Another start of it is another server. */
  fleet_report (&fleet, 1, "i-1", 2000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r3", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, late + 1);
  ck_assert_uint_eq (fleet.runs[late].node, 1);
}
END_TEST

START_TEST (test_leave_drains_and_an_old_leave_does_not)
{
  fq_mesh_event_t leave = { .kind = FQ_MESH_EVENT_DEREGISTER };

  strcpy (leave.report.instance, "i-0");
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_feed (&fleet, i, &leave);
  fleet_advance (&fleet, 2500);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (fleet.run_count, 1);
  strcpy (leave.report.instance, "i-1");
  for (size_t i = 1; i < FLEET_NODES; i++)
    fleet_feed (&fleet, i, &leave);
  fleet_advance (&fleet, 2500);
  fleet_send_request (&fleet, 0, "/safe/2", "r2", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* A node that was started again hears first that its server leaves. */
START_TEST (test_leave_of_an_unknown_server_is_kept)
{
  fq_mesh_event_t leave = { .kind = FQ_MESH_EVENT_DEREGISTER };

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  strcpy (leave.report.instance, "i-1");
  leave.report.started_ms = 1000;
  fleet_feed (&fleet, 1, &leave);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

/* A node that was started again has forgotten that its server leaves, and a report from
 * before comes late. The next report, or the server's own word, would be believed. */
START_TEST (test_late_report_to_a_new_process_is_not_believed)
{
  fq_mesh_event_t late = { .kind = FQ_MESH_EVENT_REPORT };

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_report (&fleet, 1, "i-1", 1000, true);
  fleet_advance (&fleet, 2500);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  strcpy (late.report.instance, "i-1");
  strcpy (late.report.service, "back");
  late.report.started_ms = 1000;
  late.report.sequence = 1;
  late.report.slots = 10;
  fleet_feed (&fleet, 1, &late);
  fleet_advance (&fleet, 10);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 100);
  ck_assert_uint_eq (fleet.run_count, 0);
}
END_TEST

/* The same node beside a server that stays: its first report is enough if it is well. */
START_TEST (test_first_report_to_a_new_process_is_confirmed_by_the_server)
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

START_TEST (test_late_report_does_not_bring_back_an_older_state)
{
  fq_mesh_event_t late = { .kind = FQ_MESH_EVENT_REPORT };

  fleet_report (&fleet, 1, "i-2", 2000, false);
  strcpy (late.report.instance, "i-1");
  strcpy (late.report.service, "back");
  late.report.started_ms = 1000;
  late.report.sequence = 99;
  late.report.slots = 10;
  fleet_feed (&fleet, 1, &late);
  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_send_request (&fleet, 0, "/safe/1", "r1", "");
  fleet_advance (&fleet, 10);
  ck_assert_str_eq (fleet.runs[0].instance, "i-2");
}
END_TEST

/* The server of @run ends: its connections break, and a next one is refused. */
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

START_TEST (test_request_that_crashes_servers_is_stopped)
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

/* The calls of a run that is a repeat are repeats, and go before new work. */
START_TEST (test_calls_of_running_work_are_known)
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

/* What the servers below do with the calls of running work, and whether the gate above
 * should take less new work for it. */
static const struct
{
  const char *target; /* of the calls */
  fq_server_outcome_t verdict;
  uint16_t status;
  bool takes_less;
} calls_below[] = {
  { "/safe/1", FQ_SERVER_ANSWERED, 200, false },
  { "/safe/1", FQ_SERVER_NOT_EXECUTED, 503, false }, /* though it has room */
  { "/absent/1", FQ_SERVER_ANSWERED, 500, false },   /* no gate is there to be asked */
  { "/safe/1", FQ_SERVER_ANSWERED, 500, true },
};

static bool
is_of_kind (const fleet_run_t *run, const char *kind)
{
  return !run->ended && strncmp (run->request_id, kind, strlen (kind)) == 0;
}

/* The runs whose ids begin with @kind get @verdict as soon as they come. */
static void
end_runs_of (const char *kind, fq_server_outcome_t verdict, uint16_t status)
{
  for (int ms = 0; ms < 20; ms++)
    {
      for (size_t i = 0; i < fleet.run_count; i++)
        {
          if (is_of_kind (&fleet.runs[i], kind))
            fleet_answer (&fleet, &fleet.runs[i], verdict, status);
        }
      fleet_advance (&fleet, 1);
    }
}

static void
offer_new_work (const char *kind, int number)
{
  char id[FQ_REQUEST_ID_BYTES];

  snprintf (id, sizeof id, "%s-%d", kind, number);
  fleet_offer (&fleet, 1, id, false);
}

/* How many of twenty requests for new work the gate of node 1 runs at once. */
static size_t
runs_at_once (void)
{
  size_t running = 0;

  for (int i = 0; i < 20; i++)
    offer_new_work ("new", i);
  for (size_t i = 0; i < fleet.run_count; i++)
    running += is_of_kind (&fleet.runs[i], "new");
  end_runs_of ("new", FQ_SERVER_ANSWERED, 200);
  return running;
}

START_TEST (test_only_calls_without_room_hold_back_new_work)
{
  bool all_end_well = calls_below[_i].status == 200;
  size_t before = runs_at_once ();
  size_t after;

  for (int round = 0; round < 8; round++)
    {
      for (int i = 0; i < 3; i++)
        {
          char parent[FQ_REQUEST_ID_BYTES];

          snprintf (parent, sizeof parent, "parent-%d", i);
          offer_new_work ("parent", i);
          fleet_send_request (&fleet, 1, calls_below[_i].target, "call", parent);
        }
      fleet_advance (&fleet, 100);
      end_runs_of ("call", calls_below[_i].verdict, calls_below[_i].status);
      end_runs_of ("parent", FQ_SERVER_ANSWERED, all_end_well ? 200 : 500);
    }
  after = runs_at_once ();
  ck_assert_uint_gt (before, 1);
  if (calls_below[_i].takes_less)
    ck_assert_uint_lt (after, before);
  else
    ck_assert_uint_eq (after, before);
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
  tcase_add_test (tcase, test_drained_server_gets_nothing_and_stays_drained);
  tcase_add_test (tcase, test_leave_drains_and_an_old_leave_does_not);
  tcase_add_test (tcase, test_leave_of_an_unknown_server_is_kept);
  tcase_add_test (tcase, test_late_report_does_not_bring_back_an_older_state);
  tcase_add_test (tcase, test_late_report_to_a_new_process_is_not_believed);
  tcase_add_test (tcase, test_first_report_to_a_new_process_is_confirmed_by_the_server);
  tcase_add_test (tcase, test_request_that_crashes_servers_is_stopped);
  tcase_add_test (tcase, test_calls_of_running_work_are_known);
  tcase_add_loop_test (tcase, test_only_calls_without_room_hold_back_new_work, 0,
                       sizeof calls_below / sizeof calls_below[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
