/**
 * DOC: Counters and events: bounded, by member, with causes.
 */
#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/counters_private.h"

static fq_counters_t *counters;

static void
set_up (void)
{
  ck_assert_int_eq (fq_counters_new (&counters), FQ_OK);
}

static void
tear_down (void)
{
  fq_counters_free (counters);
}

static void
count (const char *member,
       const char *service,
       fq_class_t request_class,
       fq_outcome_t outcome,
       fq_cause_t cause)
{
  fq_request_t request = { .request_class = request_class };

  strcpy (request.member, member);
  strcpy (request.service, service);
  fq_counters_call (counters, 1000, &request, service[0] != '\0', 1500, outcome, cause);
}

static const fq_node_status_t status = {
  .node = "n1",
  .failure_domain = "mid-a",
  .service = "wrekin/tables",
  .ready = true,
  .load = { .limit = 9, .shed_class = FQ_CLASS_COUNT },
};

static const struct
{
  const char *member;
  const char *part;
  bool shown;
} texts[] = {
  { "wrekin",
    "fq_requests_total{service=\"wrekin/tables\",class=\"lookup\",outcome=\"whole\","
    "cause=\"none\"} 2",
    true },
  { "wrekin",
    "fq_requests_total{service=\"\",class=\"normal\",outcome=\"not-run\","
    "cause=\"no-service\"} 1",
    true },
  { "wrekin", "class=\"lookup\",le=\"0.001\"} 0", true },
  { "wrekin", "class=\"lookup\",le=\"0.002\"} 2", true },
  { "wrekin", "class=\"lookup\",le=\"+Inf\"} 2", true },
  { "wrekin", "fq_gate_limit 9", true },
  { "wrekin", "abyssinia", false },
  { "abyssinia", "wrekin", false },
  { "abyssinia", "fq_gate_limit", false },
  { "abyssinia", "cause=\"connection-lost\"} 1", true },
  { "nobody", "fq_requests_total{", false },
};

static void
count_some (void)
{
  count ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
  count ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
  count ("wrekin", "", FQ_CLASS_NORMAL, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_NO_SERVICE);
  count ("abyssinia", "abyssinia/sales", FQ_CLASS_CRITICAL, FQ_OUTCOME_UNKNOWN,
         FQ_CAUSE_CONNECTION_LOST);
}

START_TEST (test_metrics_show_own_calls_only)
{
  char *text;

  count_some ();
  text = fq_counters_metrics (counters, texts[_i].member, &status);
  ck_assert_msg ((strstr (text, texts[_i].part) != NULL) == texts[_i].shown, "%s: %s",
                 texts[_i].part, text);
  free (text);
}
END_TEST

static json_t *
read_json (char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  ck_assert_ptr_nonnull (json);
  free (text);
  return json;
}

START_TEST (test_status_shows_the_gate_to_its_owner_only)
{
  json_t *own;
  json_t *other;

  count_some ();
  own = read_json (fq_counters_status (counters, "wrekin", &status));
  other = read_json (fq_counters_status (counters, "abyssinia", &status));
  ck_assert_ptr_nonnull (json_object_get (own, "gate"));
  ck_assert_ptr_null (json_object_get (other, "gate"));
  ck_assert_uint_eq (json_array_size (json_object_get (own, "calls")), 2);
  ck_assert_uint_eq (json_array_size (json_object_get (other, "calls")), 1);
  json_decref (own);
  json_decref (other);
}
END_TEST

START_TEST (test_flood_of_one_member_keeps_the_events_of_others)
{
  json_t *json;

  count_some ();
  for (int i = 0; i < 10 * FQ_COUNTERS_EVENTS_MAX; i++)
    fq_counters_event (counters, 5000 + i, "wrekin", FQ_HAPPENING_REFUSAL,
                       "wrekin/tables", FQ_CAUSE_OVERLOAD, "%d", i);
  json = read_json (fq_counters_events (counters, "wrekin"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")),
                     FQ_COUNTERS_EVENTS_MAX);
  json_decref (json);
  json = read_json (fq_counters_events (counters, "abyssinia"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")), 1);
  json_decref (json);
}
END_TEST

START_TEST (test_alike_events_become_one)
{
  json_t *json;
  json_t *first;

  for (int i = 0; i < 100; i++)
    {
      count ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_NOT_RUN,
             FQ_CAUSE_OVERLOAD);
      count ("wrekin", "wrekin/tables", FQ_CLASS_NORMAL, FQ_OUTCOME_NOT_RUN,
             FQ_CAUSE_OVERLOAD);
    }
  json = read_json (fq_counters_events (counters, "wrekin"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")), 2);
  first = json_array_get (json_object_get (json, "events"), 0);
  ck_assert_int_eq (json_integer_value (json_object_get (first, "count")), 100);
  ck_assert_str_eq (json_string_value (json_object_get (first, "cause")), "overload");
  json_decref (json);
}
END_TEST

START_TEST (test_records_are_bounded)
{
  char service[FQ_SERVICE_BYTES];

  for (int i = 0; i < 3 * FQ_COUNTERS_RECORDS_MAX; i++)
    {
      snprintf (service, sizeof service, "wrekin/%d", i);
      count ("wrekin", service, FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
    }
  ck_assert_uint_le (counters->records_by_key.count, FQ_COUNTERS_RECORDS_MAX + 1);
}
END_TEST

/* Limits one after the other, and how many events they make. */
static const struct
{
  uint32_t limits[4];
  size_t events;
} changes[] = {
  { { 10, 10, 10, 10 }, 1 },
  { { 100, 101, 99, 105 }, 1 },
  { { 100, 50, 100, 50 }, 4 },
  { { 100, 110, 120, 130 }, 2 },
};

START_TEST (test_limit_changes_are_events)
{
  json_t *json;

  for (size_t i = 0; i < 4; i++)
    fq_counters_limit (counters, (int64_t)i * 10000, "wrekin/tables",
                       changes[_i].limits[i]);
  json = read_json (fq_counters_events (counters, "wrekin"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")),
                     changes[_i].events);
  json_decref (json);
}
END_TEST

START_TEST (test_values_out_of_range_are_left_out)
{
  count ("wrekin", "wrekin/tables", FQ_CLASS_COUNT, FQ_OUTCOME_ANSWERED, FQ_CAUSE_NONE);
  count ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED, FQ_CAUSE_COUNT);
  ck_assert_uint_eq (counters->records_by_key.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("counters");
  TCase *tcase = tcase_create ("counters");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test_metrics_show_own_calls_only, 0,
                       sizeof texts / sizeof texts[0]);
  tcase_add_test (tcase, test_status_shows_the_gate_to_its_owner_only);
  tcase_add_test (tcase, test_flood_of_one_member_keeps_the_events_of_others);
  tcase_add_test (tcase, test_alike_events_become_one);
  tcase_add_test (tcase, test_records_are_bounded);
  tcase_add_loop_test (tcase, test_limit_changes_are_events, 0,
                       sizeof changes / sizeof changes[0]);
  tcase_add_test (tcase, test_values_out_of_range_are_left_out);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
