/**
 * DOC: Tests of burn rates: roll-ups and reports.
 *
 * When the store drops the answer to a write that took effect, or refuses operations, a
 * roll-up is repeated. No call may be counted twice or lost by that.
 */
#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn.h"
#include "fake_store.h"

#define NODES 5
#define ROLLUP_MS 1000
#define TICK_US (100 * FQ_MICROSECONDS_PER_MS)
#define HOUR_MS ((int64_t)3600 * 1000)

static fq_burn_t *burns[NODES];
static fake_store_t store;
static fq_time_t now;
static int64_t wall_ms;
static char *reply; /* the last answer to an operator */

static void
set_up (void)
{
  fake_store_clear (&store);
  now = FQ_MICROSECONDS_PER_SECOND;
  wall_ms = 1000000 * HOUR_MS;
  for (uint64_t i = 0; i < NODES; i++)
    {
      fq_burn_options_t options = FQ_BURN_OPTIONS_INIT;
      char name[FQ_NAME_BYTES];

      snprintf (name, sizeof name, "n%llu", (unsigned long long)i);
      options.node = name;
      options.incarnation = 1;
      options.seed = i;
      options.rollup_ms = ROLLUP_MS;
      ck_assert_int_eq (fq_burn_new (&burns[i], &options), FQ_OK);
    }
}

static void
tear_down (void)
{
  for (size_t i = 0; i < NODES; i++)
    fq_burn_free (burns[i]);
  fake_store_clear (&store);
  free (reply);
  reply = NULL;
}

/* Applies @effects, and those that follow from the store's answers, and frees them. */
static void
apply_effects (fq_burn_t *burn, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      fq_store_answer_t answer;
      fq_effects_t further = { 0 };

      if (effects->items[i].kind == FQ_EFFECT_OPERATOR_REPLY)
        {
          free (reply);
          reply = strdup (effects->items[i].operator_reply.body);
          continue;
        }
      ck_assert_int_eq (effects->items[i].kind, FQ_EFFECT_STORE);
      fake_store_execute (&store, effects->items[i].store, &answer);
      fq_burn_handle_store_answer (burn, now, wall_ms, &answer, &further);
      fq_store_answer_clear (&answer);
      apply_effects (burn, &further);
    }
  fq_effects_free (effects);
}

static void
advance (int64_t ms)
{
  for (fq_time_t end = now + ms * FQ_MICROSECONDS_PER_MS; now < end; now += TICK_US)
    {
      wall_ms += TICK_US / FQ_MICROSECONDS_PER_MS;
      for (size_t i = 0; i < NODES; i++)
        {
          fq_effects_t effects = { 0 };

          fq_burn_tick (burns[i], now, wall_ms, "wrekin/tables", NODES, &effects);
          apply_effects (burns[i], &effects);
        }
    }
}

static void
record_call (size_t node,
             const char *member,
             fq_class_t request_class,
             fq_time_t latency,
             fq_outcome_t outcome,
             fq_cause_t cause)
{
  fq_request_t request = { .request_class = request_class };
  fq_objective_t objective;

  strcpy (request.member, member);
  snprintf (request.service, sizeof request.service, "%s/tables", member);
  fq_burn_objective (NULL, request_class, &objective);
  fq_burn_record_call (burns[node], wall_ms, &request, latency, outcome, cause,
                       &objective);
}

static void
record_good_calls (size_t node, int count)
{
  for (int i = 0; i < count; i++)
    record_call (node, "wrekin", FQ_CLASS_LOOKUP, 1000, FQ_OUTCOME_ANSWERED,
                 FQ_CAUSE_NONE);
}

static void
record_bad_calls (size_t node, int count)
{
  for (int i = 0; i < count; i++)
    record_call (node, "wrekin", FQ_CLASS_LOOKUP, 1000, FQ_OUTCOME_NOT_RUN,
                 FQ_CAUSE_OVERLOAD);
}

static json_t *
query_report (size_t node, const char *member)
{
  fq_operator_event_t query = { .call = 7, .kind = FQ_OPERATOR_BURN };
  fq_effects_t effects = { 0 };
  json_t *json;

  strcpy (query.member, member);
  free (reply);
  reply = NULL;
  fq_burn_query (burns[node], now, &query, &effects);
  apply_effects (burns[node], &effects);
  ck_assert_ptr_nonnull (reply);
  json = json_loads (reply, 0, NULL);
  ck_assert_ptr_nonnull (json);
  return json;
}

static double
report_number (const json_t *json, size_t line, const char *name)
{
  return json_number_value (
      json_object_get (json_array_get (json_object_get (json, "lines"), line), name));
}

/* Faults of the store during roll-ups, and how long they last. */
static const struct
{
  fake_mode_t mode;
  int64_t ms;
} store_faults[] = {
  { FAKE_WORKS, 0 },    { FAKE_DROPS_ANSWER, 10000 }, { FAKE_DOWN, 20000 },
  { FAKE_BUSY, 20000 }, { FAKE_DROPS_ANSWER, 60000 },
};

START_TEST (test_every_call_is_counted_once)
{
  for (size_t i = 0; i < NODES; i++)
    {
      record_good_calls (i, 90);
      record_bad_calls (i, 10);
    }
  store.mode = store_faults[_i].mode;
  advance (store_faults[_i].ms);
  record_good_calls (0, 50);
  store.mode = FAKE_WORKS;
  advance (20 * (int64_t)ROLLUP_MS * NODES);
  for (size_t i = 0; i < NODES; i++)
    {
      json_t *json = query_report (i, "wrekin");

      ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 1);
      ck_assert_double_eq (report_number (json, 0, "calls"), 100 * NODES + 50);
      ck_assert_double_eq (report_number (json, 0, "bad"), 10 * NODES);
      ck_assert (json_is_true (json_object_get (json, "complete")));
      json_decref (json);
    }
}
END_TEST

START_TEST (test_report_includes_own_counts_before_rollup)
{
  json_t *json;

  record_good_calls (2, 95);
  record_bad_calls (2, 5);
  json = query_report (2, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "calls"), 100);
  ck_assert_double_eq_tol (report_number (json, 0, "burn_short"), 1, 1e-6);
  ck_assert_double_eq_tol (report_number (json, 0, "budget_left_percent"), 0, 1e-6);
  ck_assert_str_eq (
      json_string_value (json_object_get (
          json_array_get (
              json_object_get (json_array_get (json_object_get (json, "lines"), 0),
                               "causes"),
              0),
          "cause")),
      "overload");
  json_decref (json);
}
END_TEST

START_TEST (test_report_is_incomplete_when_store_is_down)
{
  json_t *json;

  record_good_calls (1, 1);
  record_good_calls (2, 1);
  store.mode = FAKE_DOWN;
  json = query_report (2, "wrekin");
  ck_assert (json_is_false (json_object_get (json, "complete")));
  ck_assert_ptr_nonnull (strstr (json_string_value (json_object_get (json, "missing")),
                                 "store can't be asked"));
  ck_assert_double_eq (report_number (json, 0, "calls"), 1);
  json_decref (json);
}
END_TEST

START_TEST (test_report_is_sent_when_store_never_answers)
{
  fq_operator_event_t query = { .call = 7, .kind = FQ_OPERATOR_BURN };
  fq_effects_t effects = { 0 };

  strcpy (query.member, "wrekin");
  record_good_calls (0, 3);
  fq_burn_query (burns[0], now, &query, &effects);
  fq_effects_free (&effects);
  advance (4000);
  ck_assert_ptr_nonnull (reply);
  ck_assert_ptr_nonnull (strstr (reply, "did not answer in time"));
}
END_TEST

START_TEST (test_report_shows_calls_of_own_member_only)
{
  json_t *json;

  record_good_calls (0, 3);
  record_call (0, "abyssinia", FQ_CLASS_CRITICAL, 10, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
  advance (3 * (int64_t)ROLLUP_MS * NODES);
  json = query_report (1, "abyssinia");
  ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 1);
  ck_assert_double_eq (report_number (json, 0, "calls"), 1);
  ck_assert_ptr_null (strstr (reply, "wrekin"));
  json_decref (json);
  json = query_report (1, "nobody");
  ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 0);
  json_decref (json);
}
END_TEST

/* One call each, and how many calls and bad calls the report is to show for it. */
static const struct
{
  fq_class_t request_class;
  fq_time_t latency_ms;
  fq_outcome_t outcome;
  fq_cause_t cause;
  int calls;
  int bad;
} classified_calls[] = {
  { FQ_CLASS_LOOKUP, 1000, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE, 1, 0 },
  { FQ_CLASS_LOOKUP, 1001, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE, 1, 1 },
  { FQ_CLASS_NORMAL, 2000, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE, 1, 0 },
  { FQ_CLASS_CRITICAL, 1, FQ_OUTCOME_UNKNOWN, FQ_CAUSE_CONNECTION_LOST, 1, 1 },
  { FQ_CLASS_LOOKUP, 1, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_OVERLOAD, 1, 1 },
  { FQ_CLASS_LOOKUP, 1, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_BAD_REQUEST, 0, 0 },
  { FQ_CLASS_LOOKUP, 1, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_DENIED, 0, 0 },
  { FQ_CLASS_LOOKUP, 1, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_KEY_REUSED, 0, 0 },
  { FQ_CLASS_LOOKUP, 1, FQ_OUTCOME_UNKNOWN, FQ_CAUSE_CALLER_GONE, 0, 0 },
};

START_TEST (test_calls_are_classified_by_objective_and_cause)
{
  json_t *json;

  record_call (0, "wrekin", classified_calls[_i].request_class,
               classified_calls[_i].latency_ms * FQ_MICROSECONDS_PER_MS,
               classified_calls[_i].outcome, classified_calls[_i].cause);
  json = query_report (0, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "calls"), classified_calls[_i].calls);
  ck_assert_double_eq (report_number (json, 0, "bad"), classified_calls[_i].bad);
  json_decref (json);
}
END_TEST

START_TEST (test_windows_exclude_older_calls)
{
  json_t *json;

  record_bad_calls (0, 10);
  wall_ms += HOUR_MS / 4;
  record_good_calls (0, 10);
  json = query_report (0, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "burn_short"), 0);
  ck_assert_double_eq_tol (report_number (json, 0, "burn_long"), 10, 1e-6);
  json_decref (json);
  wall_ms += 2 * HOUR_MS;
  json = query_report (0, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "burn_long"), 0);
  ck_assert_double_eq (report_number (json, 0, "calls"), 20);
  json_decref (json);
  wall_ms += 26 * HOUR_MS;
  json = query_report (0, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "calls"), 0);
  json_decref (json);
}
END_TEST

START_TEST (test_store_load_per_service_is_bounded)
{
  unsigned int before;

  advance (10 * (int64_t)ROLLUP_MS);
  before = store.reads + store.writes;
  for (int second = 0; second < 100; second++)
    {
      for (size_t node = 0; node < NODES; node++)
        record_good_calls (node, 1);
      advance (ROLLUP_MS);
    }
  /* 100 intervals, one read and one write each; the half more allows for jitter. */
  ck_assert_uint_le (store.reads + store.writes - before, 100 * 2 * 3 / 2);
  ck_assert_uint_ge (store.reads + store.writes - before, 100);
}
END_TEST

START_TEST (test_stop_rolls_up_at_once)
{
  record_good_calls (0, 3);
  advance (TICK_US / FQ_MICROSECONDS_PER_MS);
  fq_burn_begin_shutdown (burns[0]);
  advance (2 * TICK_US / FQ_MICROSECONDS_PER_MS);
  ck_assert (fq_burn_is_idle (burns[0]));
  ck_assert_uint_eq (store.writes, 1);
}
END_TEST

START_TEST (test_stop_does_not_wait_for_unavailable_store)
{
  record_good_calls (0, 3);
  store.mode = FAKE_DOWN;
  advance (TICK_US / FQ_MICROSECONDS_PER_MS);
  fq_burn_begin_shutdown (burns[0]);
  advance (2 * TICK_US / FQ_MICROSECONDS_PER_MS);
  ck_assert (fq_burn_is_idle (burns[0]));
}
END_TEST

static const char malformed_cells[]
    = "{\"cells\":[{\"service\":\"wrekin/tables\",\"class\":\"lookup\",\"slow\":[[0,1,1],"
      "[-5,1,1],[9000000000,5,5],7],\"causes\":[[1],{}]}],\"writers\":{\"n0\":7}}";

static const char *const malformed_rows[] = {
  "",
  "{",
  "[]",
  "{\"cells\":7,\"writers\":[]}",
  "{\"cells\":[{\"service\":\"x\"}]}",
  malformed_cells,
};

START_TEST (test_malformed_row_is_replaced)
{
  json_t *json;

  fake_put (&store, "burn/wrekin/wrekin/tables", malformed_rows[_i]);
  record_good_calls (0, 3);
  advance (5 * (int64_t)ROLLUP_MS * NODES);
  json = query_report (1, "wrekin");
  ck_assert_double_eq (report_number (json, 0, "calls"), 3);
  json_decref (json);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("burn");
  TCase *tcase = tcase_create ("burn");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test_every_call_is_counted_once, 0,
                       sizeof store_faults / sizeof store_faults[0]);
  tcase_add_test (tcase, test_report_includes_own_counts_before_rollup);
  tcase_add_test (tcase, test_report_is_incomplete_when_store_is_down);
  tcase_add_test (tcase, test_report_is_sent_when_store_never_answers);
  tcase_add_test (tcase, test_report_shows_calls_of_own_member_only);
  tcase_add_loop_test (tcase, test_calls_are_classified_by_objective_and_cause, 0,
                       sizeof classified_calls / sizeof classified_calls[0]);
  tcase_add_test (tcase, test_windows_exclude_older_calls);
  tcase_add_test (tcase, test_store_load_per_service_is_bounded);
  tcase_add_test (tcase, test_stop_rolls_up_at_once);
  tcase_add_test (tcase, test_stop_does_not_wait_for_unavailable_store);
  tcase_add_loop_test (tcase, test_malformed_row_is_replaced, 0,
                       sizeof malformed_rows / sizeof malformed_rows[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
