/**
 * DOC: Tests of counters and events: bounded memory, separate members, causes.
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
record_call (const char *member,
             const char *service,
             fq_class_t request_class,
             fq_outcome_t outcome,
             fq_cause_t cause)
{
  fq_request_t request = { .request_class = request_class };

  strcpy (request.member, member);
  strcpy (request.service, service);
  fq_counters_record_call (counters, 1000, &request, service[0] != '\0', 1500, outcome,
                           cause);
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
  const char *substring;
  bool shown;
} metric_cases[] = {
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
record_sample_calls (void)
{
  record_call ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED,
               FQ_CAUSE_NONE);
  record_call ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED,
               FQ_CAUSE_NONE);
  record_call ("wrekin", "", FQ_CLASS_NORMAL, FQ_OUTCOME_NOT_RUN, FQ_CAUSE_NO_SERVICE);
  record_call ("abyssinia", "abyssinia/sales", FQ_CLASS_CRITICAL, FQ_OUTCOME_UNKNOWN,
               FQ_CAUSE_CONNECTION_LOST);
}

START_TEST (test_metrics_show_own_calls_only)
{
  char *text;

  record_sample_calls ();
  text = fq_counters_metrics (counters, metric_cases[_i].member, &status);
  ck_assert_msg ((strstr (text, metric_cases[_i].substring) != NULL)
                     == metric_cases[_i].shown,
                 "%s: %s", metric_cases[_i].substring, text);
  free (text);
}
END_TEST

static json_t *
parse_json (char *text)
{
  json_t *json = json_loads (text, 0, NULL);

  ck_assert_ptr_nonnull (json);
  free (text);
  return json;
}

START_TEST (test_status_shows_gate_to_its_owner_only)
{
  json_t *own;
  json_t *other;

  record_sample_calls ();
  own = parse_json (fq_counters_status (counters, "wrekin", &status));
  other = parse_json (fq_counters_status (counters, "abyssinia", &status));
  ck_assert_ptr_nonnull (json_object_get (own, "gate"));
  ck_assert_ptr_null (json_object_get (other, "gate"));
  ck_assert_uint_eq (json_array_size (json_object_get (own, "calls")), 2);
  ck_assert_uint_eq (json_array_size (json_object_get (other, "calls")), 1);
  json_decref (own);
  json_decref (other);
}
END_TEST

START_TEST (test_events_of_one_member_do_not_evict_those_of_others)
{
  json_t *json;

  record_sample_calls ();
  for (int i = 0; i < 10 * FQ_COUNTERS_EVENTS_MAX; i++)
    fq_counters_record_event (counters, 5000 + i, "wrekin", FQ_COUNTERS_EVENT_REFUSAL,
                              "wrekin/tables", FQ_CAUSE_OVERLOAD, "%d", i);
  json = parse_json (fq_counters_events (counters, "wrekin"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")),
                     FQ_COUNTERS_EVENTS_MAX);
  json_decref (json);
  json = parse_json (fq_counters_events (counters, "abyssinia"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")), 1);
  json_decref (json);
}
END_TEST

START_TEST (test_repeated_events_are_coalesced)
{
  json_t *json;
  json_t *first;

  for (int i = 0; i < 100; i++)
    {
      record_call ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_NOT_RUN,
                   FQ_CAUSE_OVERLOAD);
      record_call ("wrekin", "wrekin/tables", FQ_CLASS_NORMAL, FQ_OUTCOME_NOT_RUN,
                   FQ_CAUSE_OVERLOAD);
    }
  json = parse_json (fq_counters_events (counters, "wrekin"));
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
      record_call ("wrekin", service, FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED,
                   FQ_CAUSE_NONE);
    }
  ck_assert_uint_le (counters->records_by_key.count, FQ_COUNTERS_RECORDS_MAX + 1);
}
END_TEST

/* Successive limits, and the number of events that they cause. */
static const struct
{
  uint32_t limits[4];
  size_t events;
} limit_cases[] = {
  { { 10, 10, 10, 10 }, 1 },
  { { 100, 101, 99, 105 }, 1 },
  { { 100, 50, 100, 50 }, 4 },
  { { 100, 110, 120, 130 }, 2 },
};

START_TEST (test_large_limit_changes_are_recorded)
{
  json_t *json;

  for (size_t i = 0; i < 4; i++)
    fq_counters_record_limit (counters, (int64_t)i * 10000, "wrekin/tables",
                              limit_cases[_i].limits[i]);
  json = parse_json (fq_counters_events (counters, "wrekin"));
  ck_assert_uint_eq (json_array_size (json_object_get (json, "events")),
                     limit_cases[_i].events);
  json_decref (json);
}
END_TEST

START_TEST (test_out_of_range_values_are_ignored)
{
  record_call ("wrekin", "wrekin/tables", FQ_CLASS_COUNT, FQ_OUTCOME_ANSWERED,
               FQ_CAUSE_NONE);
  record_call ("wrekin", "wrekin/tables", FQ_CLASS_LOOKUP, FQ_OUTCOME_ANSWERED,
               FQ_CAUSE_COUNT);
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
                       sizeof metric_cases / sizeof metric_cases[0]);
  tcase_add_test (tcase, test_status_shows_gate_to_its_owner_only);
  tcase_add_test (tcase, test_events_of_one_member_do_not_evict_those_of_others);
  tcase_add_test (tcase, test_repeated_events_are_coalesced);
  tcase_add_test (tcase, test_records_are_bounded);
  tcase_add_loop_test (tcase, test_large_limit_changes_are_recorded, 0,
                       sizeof limit_cases / sizeof limit_cases[0]);
  tcase_add_test (tcase, test_out_of_range_values_are_ignored);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
