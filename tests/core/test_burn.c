/**
 * DOC: The burn report: roll-ups count each call once, whatever the store does.
 */
#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn.h"
#include "fake_store.h"

#define NODES 5
#define TURN_MS 1000
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
      options.turn_ms = TURN_MS;
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

/* Carries out the effects, and those that follow from the store's answers. */
static void
carry_out (fq_burn_t *burn, fq_effects_t *effects)
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
      carry_out (burn, &further);
    }
  fq_effects_free (effects);
}

static void
pass (int64_t ms)
{
  for (fq_time_t end = now + ms * FQ_MICROSECONDS_PER_MS; now < end; now += TICK_US)
    {
      wall_ms += TICK_US / FQ_MICROSECONDS_PER_MS;
      for (size_t i = 0; i < NODES; i++)
        {
          fq_effects_t effects = { 0 };

          fq_burn_tick (burns[i], now, wall_ms, "wrekin/tables", NODES, &effects);
          carry_out (burns[i], &effects);
        }
    }
}

static void
call (size_t node,
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
  fq_burn_call (burns[node], wall_ms, &request, latency, outcome, cause, &objective);
}

static void
good (size_t node, int count)
{
  for (int i = 0; i < count; i++)
    call (node, "wrekin", FQ_CLASS_LOOKUP, 1000, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
}

static void
bad (size_t node, int count)
{
  for (int i = 0; i < count; i++)
    call (node, "wrekin", FQ_CLASS_LOOKUP, 1000, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_OVERLOAD);
}

static json_t *
report (size_t node, const char *member)
{
  fq_operator_event_t question = { .call = 7, .kind = FQ_OPERATOR_BURN };
  fq_effects_t effects = { 0 };
  json_t *json;

  strcpy (question.member, member);
  free (reply);
  reply = NULL;
  fq_burn_ask (burns[node], now, &question, &effects);
  carry_out (burns[node], &effects);
  ck_assert_ptr_nonnull (reply);
  json = json_loads (reply, 0, NULL);
  ck_assert_ptr_nonnull (json);
  return json;
}

static double
line_number (const json_t *json, size_t line, const char *name)
{
  return json_number_value (
      json_object_get (json_array_get (json_object_get (json, "lines"), line), name));
}

/* What the store does while the counts are rolled up, and for how long. */
static const struct
{
  fake_mode_t mode;
  int64_t ms;
} faults[] = {
  { FAKE_WORKS, 0 },    { FAKE_DROPS_ANSWER, 10000 }, { FAKE_DOWN, 20000 },
  { FAKE_BUSY, 20000 }, { FAKE_DROPS_ANSWER, 60000 },
};

START_TEST (test_every_call_is_counted_once)
{
  for (size_t i = 0; i < NODES; i++)
    {
      good (i, 90);
      bad (i, 10);
    }
  store.mode = faults[_i].mode;
  pass (faults[_i].ms);
  good (0, 50);
  store.mode = FAKE_WORKS;
  pass (20 * (int64_t)TURN_MS * NODES);
  for (size_t i = 0; i < NODES; i++)
    {
      json_t *json = report (i, "wrekin");

      ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 1);
      ck_assert_double_eq (line_number (json, 0, "calls"), 100 * NODES + 50);
      ck_assert_double_eq (line_number (json, 0, "bad"), 10 * NODES);
      ck_assert (json_is_true (json_object_get (json, "complete")));
      json_decref (json);
    }
}
END_TEST

START_TEST (test_own_counts_show_before_they_are_rolled_up)
{
  json_t *json;

  good (2, 95);
  bad (2, 5);
  json = report (2, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "calls"), 100);
  ck_assert_double_eq_tol (line_number (json, 0, "burn_short"), 1, 1e-6);
  ck_assert_double_eq_tol (line_number (json, 0, "budget_left_percent"), 0, 1e-6);
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

START_TEST (test_report_says_what_is_missing)
{
  json_t *json;

  good (1, 1);
  good (2, 1);
  store.mode = FAKE_DOWN;
  json = report (2, "wrekin");
  ck_assert (json_is_false (json_object_get (json, "complete")));
  ck_assert_ptr_nonnull (strstr (json_string_value (json_object_get (json, "missing")),
                                 "store can't be asked"));
  ck_assert_double_eq (line_number (json, 0, "calls"), 1);
  json_decref (json);
}
END_TEST

START_TEST (test_store_that_never_answers_is_not_waited_for)
{
  fq_operator_event_t question = { .call = 7, .kind = FQ_OPERATOR_BURN };
  fq_effects_t effects = { 0 };

  strcpy (question.member, "wrekin");
  good (0, 3);
  fq_burn_ask (burns[0], now, &question, &effects);
  fq_effects_free (&effects);
  pass (4000);
  ck_assert_ptr_nonnull (reply);
  ck_assert_ptr_nonnull (strstr (reply, "did not answer in time"));
}
END_TEST

START_TEST (test_members_see_their_own_only)
{
  json_t *json;

  good (0, 3);
  call (0, "abyssinia", FQ_CLASS_CRITICAL, 10, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
  pass (3 * (int64_t)TURN_MS * NODES);
  json = report (1, "abyssinia");
  ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 1);
  ck_assert_double_eq (line_number (json, 0, "calls"), 1);
  ck_assert_ptr_null (strstr (reply, "wrekin"));
  json_decref (json);
  json = report (1, "nobody");
  ck_assert_uint_eq (json_array_size (json_object_get (json, "lines")), 0);
  json_decref (json);
}
END_TEST

/* One call, and whether it counts, and as what. */
static const struct
{
  fq_class_t request_class;
  fq_time_t latency_ms;
  fq_outcome_t outcome;
  fq_cause_t cause;
  int calls;
  int bad;
} judged[] = {
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

START_TEST (test_call_is_judged)
{
  json_t *json;

  call (0, "wrekin", judged[_i].request_class,
        judged[_i].latency_ms * FQ_MICROSECONDS_PER_MS, judged[_i].outcome,
        judged[_i].cause);
  json = report (0, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "calls"), judged[_i].calls);
  ck_assert_double_eq (line_number (json, 0, "bad"), judged[_i].bad);
  json_decref (json);
}
END_TEST

START_TEST (test_windows_forget)
{
  json_t *json;

  bad (0, 10);
  wall_ms += HOUR_MS / 4;
  good (0, 10);
  json = report (0, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "burn_short"), 0);
  ck_assert_double_eq_tol (line_number (json, 0, "burn_long"), 10, 1e-6);
  json_decref (json);
  wall_ms += 2 * HOUR_MS;
  json = report (0, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "burn_long"), 0);
  ck_assert_double_eq (line_number (json, 0, "calls"), 20);
  json_decref (json);
  wall_ms += 26 * HOUR_MS;
  json = report (0, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "calls"), 0);
  json_decref (json);
}
END_TEST

START_TEST (test_store_load_is_bounded_by_service)
{
  unsigned int before;

  pass (10 * (int64_t)TURN_MS);
  before = store.reads + store.writes;
  for (int second = 0; second < 100; second++)
    {
      for (size_t node = 0; node < NODES; node++)
        good (node, 1);
      pass (TURN_MS);
    }
  /* One read and one write in a turn of the service, and a half more by jitter. */
  ck_assert_uint_le (store.reads + store.writes - before, 100 * 2 * 3 / 2);
  ck_assert_uint_ge (store.reads + store.writes - before, 100);
}
END_TEST

START_TEST (test_stop_rolls_up_at_once)
{
  good (0, 3);
  pass (TICK_US / FQ_MICROSECONDS_PER_MS);
  fq_burn_stop (burns[0]);
  pass (2 * TICK_US / FQ_MICROSECONDS_PER_MS);
  ck_assert (fq_burn_is_idle (burns[0]));
  ck_assert_uint_eq (store.writes, 1);
}
END_TEST

START_TEST (test_stop_does_not_wait_for_a_store_that_is_down)
{
  good (0, 3);
  store.mode = FAKE_DOWN;
  pass (TICK_US / FQ_MICROSECONDS_PER_MS);
  fq_burn_stop (burns[0]);
  pass (2 * TICK_US / FQ_MICROSECONDS_PER_MS);
  ck_assert (fq_burn_is_idle (burns[0]));
}
END_TEST

static const char odd_cell[]
    = "{\"cells\":[{\"service\":\"wrekin/tables\",\"class\":\"lookup\",\"slow\":[[0,1,1],"
      "[-5,1,1],[9000000000,5,5],7],\"causes\":[[1],{}]}],\"writers\":{\"n0\":7}}";

static const char *const rows[] = {
  "",
  "{",
  "[]",
  "{\"cells\":7,\"writers\":[]}",
  "{\"cells\":[{\"service\":\"x\"}]}",
  odd_cell,
};

START_TEST (test_malformed_row_is_replaced)
{
  json_t *json;

  fake_put (&store, "burn/wrekin/wrekin/tables", rows[_i]);
  good (0, 3);
  pass (5 * (int64_t)TURN_MS * NODES);
  json = report (1, "wrekin");
  ck_assert_double_eq (line_number (json, 0, "calls"), 3);
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
                       sizeof faults / sizeof faults[0]);
  tcase_add_test (tcase, test_own_counts_show_before_they_are_rolled_up);
  tcase_add_test (tcase, test_report_says_what_is_missing);
  tcase_add_test (tcase, test_store_that_never_answers_is_not_waited_for);
  tcase_add_test (tcase, test_members_see_their_own_only);
  tcase_add_loop_test (tcase, test_call_is_judged, 0, sizeof judged / sizeof judged[0]);
  tcase_add_test (tcase, test_windows_forget);
  tcase_add_test (tcase, test_store_load_is_bounded_by_service);
  tcase_add_test (tcase, test_stop_rolls_up_at_once);
  tcase_add_test (tcase, test_stop_does_not_wait_for_a_store_that_is_down);
  tcase_add_loop_test (tcase, test_malformed_row_is_replaced, 0,
                       sizeof rows / sizeof rows[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
