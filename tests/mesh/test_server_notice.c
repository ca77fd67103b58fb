/**
 * DOC: Tests of what follows from a server's statements about itself: the rate limit that
 * its gate keeps, alone and with the other nodes.
 */
#include <stdio.h>

#include "mesh/gate_queue.h"
#include "mesh/rate_limit.h"
#include "mesh_fleet.h"

#define WINDOW_US (4 * FQ_MICROSECONDS_PER_SECOND)
#define REQUESTS_PER_SECOND 50

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

static fq_server_notice_t
limited_to (double rate)
{
  return (fq_server_notice_t){ .rate_statement = FQ_RATE_STATED, .rate_limit = rate };
}

static const double rates[] = { 0, 0.5, 2.5, 26.3, 400 };

/* A bucket that is asked for as much as it gives, in spans of four seconds. */
START_TEST (test_rate_limit_passes_hardly_more_than_the_rate_in_any_window)
{
  static fq_time_t passed[8192];
  double allowed = rates[_i] * 4 * 1.5 + 5;
  fq_rate_limit_t limit = { 0 };
  size_t count = 0;
  size_t first = 0;

  fq_rate_limit_set (&limit, FQ_MICROSECONDS_PER_SECOND, rates[_i]);
  for (fq_time_t now = FQ_MICROSECONDS_PER_SECOND; now < 16 * FQ_MICROSECONDS_PER_SECOND;
       now += 500)
    {
      /* A long pause must not save up tokens. */
      if (now > 6 * FQ_MICROSECONDS_PER_SECOND && now < 9 * FQ_MICROSECONDS_PER_SECOND)
        continue;
      fq_rate_limit_refill (&limit, now);
      if (!fq_rate_limit_is_open (&limit))
        continue;
      fq_rate_limit_take (&limit);
      passed[count++] = now;
      while (now - passed[first] >= WINDOW_US)
        first++;
      ck_assert_double_le ((double)(count - first), allowed);
    }
  ck_assert_double_ge ((double)count, 11 * rates[_i]);
  ck_assert_uint_ge (count, 1);
}
END_TEST

START_TEST (test_rate_limit_wait_counts_requests_ahead)
{
  fq_rate_limit_t limit = { 0 };

  ck_assert_int_eq (fq_rate_limit_wait (&limit, 1000), 0);
  fq_rate_limit_set (&limit, 1, 10);
  ck_assert_int_eq (fq_rate_limit_wait (&limit, 0), 0);
  ck_assert_int_eq (fq_rate_limit_wait (&limit, 3), 300000);
  fq_rate_limit_take (&limit);
  ck_assert_int_eq (fq_rate_limit_wait (&limit, 0), 100000);
  fq_rate_limit_put_back (&limit);
  ck_assert (fq_rate_limit_is_open (&limit));
}
END_TEST

/* Under a rate limit slots are free all the time. */
START_TEST (test_new_requests_keep_a_share_of_a_limited_rate)
{
  fq_gate_queue_t queue;
  fq_gate_queue_entry_t entries[100] = { 0 };
  uint32_t started_new = 0;

  fq_gate_queue_init (&queue);
  queue.limit = 100;
  fq_rate_limit_set (&queue.rate, 1, 10);
  fq_rate_limit_take (&queue.rate);
  for (size_t i = 0; i < 100; i++)
    {
      entries[i].rank = i % 2 == 0 ? 0 : FQ_INTERNAL_RANKS;
      entries[i].route = 1;
      fq_gate_queue_push (&queue, &entries[i]);
    }
  for (fq_time_t step = 1; step <= 40; step++)
    {
      fq_gate_queue_entry_t *entry;

      fq_rate_limit_refill (&queue.rate, 1 + step * 100 * FQ_MICROSECONDS_PER_MS);
      entry = fq_gate_queue_next (&queue);
      ck_assert_ptr_nonnull (entry);
      fq_gate_queue_remove (&queue, entry);
      fq_gate_queue_run_started (&queue, entry);
      ck_assert_ptr_null (fq_gate_queue_next (&queue));
      started_new += entry->rank >= FQ_INTERNAL_RANKS;
      fq_gate_queue_run_ended (&queue, entry, 1000);
    }
  ck_assert_uint_ge (started_new, 3);
  ck_assert_uint_le (started_new, 6);
  fq_gate_queue_clear (&queue);
}
END_TEST

/* Node 0 sends requests for @seconds at a steady rate; every server answers after 20 ms,
 * that of node 1 with @notice. Returns the number of requests that node 1's server got.
 */
static size_t
offer_load (uint32_t seconds, fq_server_notice_t notice)
{
  size_t first = fleet.run_count;
  size_t count = 0;

  for (uint32_t i = 0; i < seconds * REQUESTS_PER_SECOND; i++)
    {
      char id[FLEET_TEXT_BYTES];

      snprintf (id, sizeof id, "r%u-%zu", i, first);
      fleet_send_request (&fleet, 0, "/safe/x", id, "");
      fleet_advance (&fleet, 1000 / REQUESTS_PER_SECOND);
      for (size_t j = 0; j < fleet.run_count; j++)
        {
          fleet_run_t *run = &fleet.runs[j];

          if (run->ended || fleet.now - run->started < 20 * FQ_MICROSECONDS_PER_MS)
            continue;
          if (run->node == 1)
            fleet_answer_with_notice (&fleet, run, FQ_SERVER_ANSWERED, 200, notice);
          else
            fleet_answer (&fleet, run, FQ_SERVER_ANSWERED, 200);
        }
    }
  for (size_t j = first; j < fleet.run_count; j++)
    count += fleet.runs[j].node == 1;
  return count;
}

START_TEST (test_limited_server_gets_its_rate_and_others_the_rest)
{
  size_t limited;
  size_t lifted;

  fleet_kill (&fleet, 3);
  offer_load (1, limited_to (5));
  limited = offer_load (4, limited_to (5));
  ck_assert_uint_le (limited, 5 * 4 * 3 / 2 + 5);
  ck_assert_uint_ge (limited, 5 * 4 / 2);
  for (size_t i = 0; i < fleet.reply_count; i++)
    ck_assert_uint_eq (fleet.replies[i].status, 200);
  offer_load (2, (fq_server_notice_t){ 0 });
  lifted = offer_load (2, (fq_server_notice_t){ 0 });
  ck_assert_uint_ge (lifted, REQUESTS_PER_SECOND / 2);
}
END_TEST

/* With no other server, what doesn't fit the rate is refused as not run, with the time
 * after which to try again. */
START_TEST (test_requests_beyond_the_rate_are_refused_at_once)
{
  size_t refused = 0;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  offer_load (1, limited_to (2));
  fleet.reply_count = 0;
  ck_assert_uint_le (offer_load (4, limited_to (2)), 2 * 4 * 3 / 2 + 5);
  for (size_t i = 0; i < fleet.reply_count; i++)
    {
      if (fleet.replies[i].status == 200)
        continue;
      ck_assert_uint_eq (fleet.replies[i].status, 503);
      ck_assert_uint_ge (fleet.replies[i].retry_after_ms, 100);
      refused++;
    }
  ck_assert_uint_ge (refused, 4 * (REQUESTS_PER_SECOND - 2) * 9 / 10);
}
END_TEST

/* Sixty requests at once, of which the server takes ten a second. */
START_TEST (test_refused_requests_are_sent_back_spread_over_time)
{
  size_t by_half_second[10] = { 0 };
  size_t refused = 0;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  offer_load (1, limited_to (10));
  fleet.reply_count = 0;
  for (int i = 0; i < 60; i++)
    {
      char id[FLEET_TEXT_BYTES];

      snprintf (id, sizeof id, "burst-%d", i);
      fleet_send_request (&fleet, 0, "/safe/x", id, "");
    }
  fleet_advance (&fleet, 20);
  for (size_t i = 0; i < fleet.reply_count; i++)
    {
      size_t slot = fleet.replies[i].retry_after_ms / 500;

      if (fleet.replies[i].status != 503)
        continue;
      refused++;
      ck_assert_uint_lt (slot, 10);
      by_half_second[slot]++;
    }
  ck_assert_uint_ge (refused, 30);
  for (size_t i = 0; i < 10; i++)
    ck_assert_uint_le (by_half_second[i], refused / 3);
}
END_TEST

static fq_server_notice_t
last_notice (size_t node, const char *id, fq_server_notice_t notice)
{
  fleet_run_t *run;

  fleet_offer (&fleet, node, id, false);
  run = fleet_find_active_run (&fleet, id);
  ck_assert_ptr_nonnull (run);
  fleet_answer_with_notice (&fleet, run, FQ_SERVER_ANSWERED, 200, notice);
  return notice;
}

static bool
has_limit (size_t node)
{
  fq_buffer_t text = { 0 };
  bool limited;

  fq_mesh_write_metrics (fleet.nodes[node].mesh, &text);
  fq_buffer_add (&text, "", 1);
  limited = strstr ((const char *)fq_buffer_bytes (&text), "fq_server_rate_limit 0\n")
            == NULL;
  fq_buffer_clear (&text);
  return limited;
}

START_TEST (test_limit_holds_until_answers_come_without_it)
{
  fq_server_notice_t malformed = { .rate_statement = FQ_RATE_MALFORMED };

  last_notice (1, "a", limited_to (100));
  ck_assert (has_limit (1));
  last_notice (1, "b", malformed);
  ck_assert (has_limit (1));
  last_notice (1, "c", (fq_server_notice_t){ 0 });
  ck_assert (has_limit (1));
  last_notice (1, "d", limited_to (100));
  last_notice (1, "e", (fq_server_notice_t){ 0 });
  last_notice (1, "f", (fq_server_notice_t){ 0 });
  ck_assert (!has_limit (1));
  last_notice (1, "g", limited_to (100));
  fleet_advance (&fleet, 600);
  last_notice (1, "h", (fq_server_notice_t){ 0 });
  ck_assert (!has_limit (1));
}
END_TEST

START_TEST (test_limit_ends_with_the_process_that_stated_it)
{
  last_notice (1, "a", limited_to (0.5));
  ck_assert (has_limit (1));
  fleet_report (&fleet, 1, "i-2", 2000, false);
  ck_assert (!has_limit (1));
}
END_TEST

static const fq_server_notice_t leaving = { .leaving = true };

/* The server says so in an answer alone; its reports say that it is ready. */
START_TEST (test_server_that_says_it_leaves_gets_no_requests_after_the_drain)
{
  size_t before;

  fleet_kill (&fleet, 3);
  last_notice (1, "a", leaving);
  fleet_advance (&fleet, 1000);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 1000);
  before = fleet.run_count;
  ck_assert_uint_eq (offer_load (2, (fq_server_notice_t){ 0 }), 0);
  ck_assert_uint_gt (fleet.run_count, before);
  fleet_report (&fleet, 1, "i-1", 2000, false);
  fleet_advance (&fleet, 10);
  ck_assert_uint_gt (offer_load (2, (fq_server_notice_t){ 0 }), 0);
}
END_TEST

/* An answer to a request that the process before it got. */
START_TEST (test_late_answer_of_earlier_process_does_not_drain_the_next)
{
  fleet_run_t *run;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  fleet_offer (&fleet, 1, "a", false);
  fleet_report (&fleet, 1, "i-2", 2000, false);
  run = fleet_find_active_run (&fleet, "a");
  ck_assert_ptr_nonnull (run);
  fleet_answer_with_notice (&fleet, run, FQ_SERVER_ANSWERED, 200, leaving);
  fleet_advance (&fleet, 2500);
  ck_assert_uint_gt (offer_load (1, (fq_server_notice_t){ 0 }), 0);
}
END_TEST

START_TEST (test_restarted_gate_keeps_the_limit_that_others_were_told)
{
  size_t before;

  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  offer_load (1, limited_to (5));
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 1000);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  before = fleet.run_count;
  for (int i = 0; i < 30; i++)
    {
      char id[FLEET_TEXT_BYTES];

      snprintf (id, sizeof id, "after-%d", i);
      fleet_send_request (&fleet, 0, "/safe/x", id, "");
    }
  fleet_advance (&fleet, 100);
  ck_assert_uint_ge (fleet.run_count - before, 1);
  ck_assert_uint_le (fleet.run_count - before, 2);
}
END_TEST

/* Its health check and its reports, late ones, say that it is ready. */
START_TEST (test_restarted_gate_keeps_its_server_drained)
{
  fleet_kill (&fleet, 2);
  fleet_kill (&fleet, 3);
  last_notice (1, "a", leaving);
  fleet_advance (&fleet, 2500);
  fleet_kill (&fleet, 1);
  fleet_start (&fleet, 1);
  fleet_advance (&fleet, 300);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_report (&fleet, 1, "i-1", 1000, false);
  fleet_advance (&fleet, 10);
  ck_assert_uint_eq (offer_load (1, (fq_server_notice_t){ 0 }), 0);
  fleet_report (&fleet, 1, "i-1", 2000, false);
  fleet_advance (&fleet, 10);
  ck_assert_uint_gt (offer_load (1, (fq_server_notice_t){ 0 }), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server-notice");
  TCase *tcase = tcase_create ("server-notice");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_loop_test (tcase,
                       test_rate_limit_passes_hardly_more_than_the_rate_in_any_window, 0,
                       sizeof rates / sizeof rates[0]);
  tcase_add_test (tcase, test_rate_limit_wait_counts_requests_ahead);
  tcase_add_test (tcase, test_new_requests_keep_a_share_of_a_limited_rate);
  tcase_add_test (tcase, test_limited_server_gets_its_rate_and_others_the_rest);
  tcase_add_test (tcase, test_requests_beyond_the_rate_are_refused_at_once);
  tcase_add_test (tcase, test_limit_holds_until_answers_come_without_it);
  tcase_add_test (tcase, test_limit_ends_with_the_process_that_stated_it);
  tcase_add_test (tcase,
                  test_server_that_says_it_leaves_gets_no_requests_after_the_drain);
  tcase_add_test (tcase, test_late_answer_of_earlier_process_does_not_drain_the_next);
  tcase_add_test (tcase, test_restarted_gate_keeps_the_limit_that_others_were_told);
  tcase_add_test (tcase, test_restarted_gate_keeps_its_server_drained);
  tcase_add_test (tcase, test_refused_requests_are_sent_back_spread_over_time);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
