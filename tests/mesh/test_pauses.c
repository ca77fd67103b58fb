/**
 * DOC: Tests of nodes that stood still for some seconds. Events that waited meanwhile are
 * processed before the timers that are overdue.
 */
#include <stdio.h>

#include "mesh_fleet.h"

#define SLOTS 9 /* that a gate of the fleet uses */

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

/* Time passes, and no node runs. */
static void
pause_all (uint32_t ms)
{
  fleet.now += (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;
}

static size_t
active_runs (size_t node)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet.run_count; i++)
    count += fleet.runs[i].node == node && !fleet.runs[i].ended;
  return count;
}

START_TEST (test_request_whose_wait_is_over_does_not_start_after_a_pause)
{
  char id[FLEET_TEXT_BYTES];

  for (int i = 0; i < SLOTS + 1; i++)
    {
      snprintf (id, sizeof id, "r%d", i);
      fleet_offer (&fleet, 1, id, false);
    }
  ck_assert_uint_eq (active_runs (1), SLOTS);
  pause_all (3000);
  fleet_answer (&fleet, fleet_find_active_run (&fleet, "r0"), FQ_SERVER_ANSWERED, 200);
  ck_assert_uint_eq (active_runs (1), SLOTS - 1);
}
END_TEST

static void
send_to_gate (const fq_frame_t *frame)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_ENTRY_FRAME };

  event.frame.entry_connection = fleet_connection_id (&fleet, 0);
  event.frame.frame = frame;
  fleet_feed (&fleet, 1, &event);
}

/* Node 0 offers a request to the gate of node 1, which grants it. */
static void
offer_for_grant (void)
{
  fq_frame_t offer = { .kind = FQ_FRAME_OFFER, .attempt = 77 };

  offer.offer.service = fleet_text ("back");
  offer.offer.request_id = fleet_text ("once");
  offer.offer.rank = 6;
  offer.offer.route = 1;
  offer.offer.chain = 1;
  offer.offer.fingerprint = 1;
  offer.offer.remaining_ms = 5000;
  send_to_gate (&offer);
}

static void
send_granted_message (void)
{
  fq_frame_t message = { .kind = FQ_FRAME_MESSAGE, .attempt = 77 };

  message.message = fq_http_message_new ();
  send_to_gate (&message);
  fq_http_message_unref (message.message);
}

/* The request itself comes when its grant has expired. */
START_TEST (test_expired_grant_is_not_used_after_a_pause)
{
  offer_for_grant ();
  pause_all (3000);
  send_granted_message ();
  ck_assert_uint_eq (active_runs (1), 0);
}
END_TEST

/* The server went on reporting while its node stood still. The reports wait behind the
 * timer that finds them overdue, and behind the request itself. */
START_TEST (test_server_is_not_taken_for_silent_after_a_pause)
{
  fq_mesh_event_t timer = { .kind = FQ_MESH_EVENT_TIMER };

  fleet_advance (&fleet, 3000);
  offer_for_grant ();
  pause_all (800);
  fleet_feed (&fleet, 1, &timer);
  pause_all (1500);
  fleet_feed (&fleet, 1, &timer);
  fleet_offer (&fleet, 1, "next", true);
  ck_assert_uint_eq (active_runs (1), 1);
  /* Without any report for as long as before, it is. */
  fleet_answer (&fleet, fleet_find_active_run (&fleet, "next"), FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 7000);
  fleet_offer (&fleet, 1, "last", true);
  ck_assert_uint_eq (active_runs (1), 0);
}
END_TEST

/* Guards against a finding of the review: a gate that wakes from a pause grants an offer
 * for its old server, then hears of the server that has its address now, and sent the
 * request to that one, which may be of another service. */
START_TEST (test_grant_is_not_used_for_the_next_server)
{
  static const char *const services[] = { "front", "back" };
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REPORT };

  pause_all (1000);
  offer_for_grant ();
  event.report.instance = fleet_text ("i-next");
  strcpy (fleet.nodes[1].instance, "i-next"); /* answers health checks too */
  event.report.service = fleet_text (services[_i]);
  event.report.started_ms = 2000;
  event.report.sequence = 1;
  event.report.slots = 10;
  fleet_feed (&fleet, 1, &event);
  send_granted_message ();
  ck_assert_uint_eq (active_runs (1), 0);
  /* The next request of the same entry is granted and run, if there is a server for it.
   */
  fleet_advance (&fleet, 10);
  offer_for_grant ();
  send_granted_message ();
  ck_assert_uint_eq (active_runs (1), (size_t)_i);
}
END_TEST

/* Freezes the gate that runs @id for @ms; its server answers meanwhile, and the gate
 * hears of it when it runs again. */
static void
freeze_gate_and_answer (const char *id, uint32_t ms)
{
  fleet_run_t *run = fleet_find_active_run (&fleet, id);
  size_t gate;

  ck_assert_ptr_nonnull (run);
  gate = run->node;
  fleet.nodes[gate].frozen = true;
  fleet_advance (&fleet, ms);
  fleet.nodes[gate].frozen = false;
  fleet_advance (&fleet, 5);
  if (!run->ended)
    fleet_answer (&fleet, run, FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 100);
}

START_TEST (test_work_of_a_gate_that_is_silent_for_a_while_is_not_given_up)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");

  fleet_advance (&fleet, 50);
  freeze_gate_and_answer ("r1", 1500);
  ck_assert_ptr_nonnull (fleet_find_reply (&fleet, request));
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
  ck_assert_uint_eq (fleet.run_count, 1);
}
END_TEST

/* Work that may be repeated goes elsewhere meanwhile, and new requests don't go there. */
START_TEST (test_silent_gate_gets_no_requests_until_it_answers)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");
  size_t gate;

  fleet_advance (&fleet, 50);
  gate = fleet_find_active_run (&fleet, "r1")->node;
  fleet.nodes[gate].frozen = true;
  fleet_advance (&fleet, 1000);
  for (int i = 0; i < 10; i++)
    {
      char id[FLEET_TEXT_BYTES];

      snprintf (id, sizeof id, "new-%d", i);
      fleet_send_request (&fleet, 0, "/safe/1", id, "");
      fleet_advance (&fleet, 5);
      ck_assert_ptr_nonnull (fleet_find_active_run (&fleet, id));
    }
  /* Silent for too long: the outcome is unknown. */
  fleet_advance (&fleet, 900);
  ck_assert_ptr_nonnull (fleet_find_reply (&fleet, request));
  ck_assert_uint_ge (fleet_find_reply (&fleet, request)->status, 502);
}
END_TEST

/* In one of the loops, a ping is under way when the pause begins. */
START_TEST (test_node_that_was_paused_does_not_take_others_for_lost)
{
  fq_id_t request = fleet_send_request (&fleet, 0, "/once/1", "r1", "");
  fq_mesh_event_t timer = { .kind = FQ_MESH_EVENT_TIMER };

  fleet_advance (&fleet, (uint32_t)_i);
  fleet.nodes[0].frozen = true;
  fleet_answer (&fleet, fleet_find_active_run (&fleet, "r1"), FQ_SERVER_ANSWERED, 200);
  fleet_advance (&fleet, 1400);
  fleet.nodes[0].frozen = false;
  fleet_feed (&fleet, 0, &timer);
  fleet_advance (&fleet, 100);
  ck_assert_ptr_nonnull (fleet_find_reply (&fleet, request));
  ck_assert_uint_eq (fleet_find_reply (&fleet, request)->status, 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("pauses");
  TCase *tcase = tcase_create ("pauses");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_request_whose_wait_is_over_does_not_start_after_a_pause);
  tcase_add_test (tcase, test_expired_grant_is_not_used_after_a_pause);
  tcase_add_test (tcase, test_server_is_not_taken_for_silent_after_a_pause);
  tcase_add_loop_test (tcase, test_grant_is_not_used_for_the_next_server, 0, 2);
  tcase_add_test (tcase, test_work_of_a_gate_that_is_silent_for_a_while_is_not_given_up);
  tcase_add_test (tcase, test_silent_gate_gets_no_requests_until_it_answers);
  tcase_add_loop_test (tcase, test_node_that_was_paused_does_not_take_others_for_lost,
                       245, 265);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
