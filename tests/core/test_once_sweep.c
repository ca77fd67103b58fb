/**
 * DOC: Expired rows are removed after their retention, not before, at a limited rate.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once.h"
#include "fake_store.h"

#define SECOND_MS 1000LL
#define HOUR_MS (3600 * SECOND_MS)
#define KEYS 300
#define START_MS (1000 * HOUR_MS)

static fq_once_t *once;
static fake_store_t store;
static fq_time_t now;
static int64_t wall_ms;
static unsigned int op_count;

static void
apply_effects (fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      fq_effects_t next_effects = { 0 };
      fq_store_answer_t answer;

      if (effects->items[i].kind != FQ_EFFECT_STORE)
        continue;
      op_count++;
      fake_store_execute (&store, effects->items[i].store, &answer);
      fq_once_handle_store_answer (once, now, &answer, &next_effects);
      fq_store_answer_clear (&answer);
      apply_effects (&next_effects);
    }
  fq_effects_free (effects);
}

static void
advance (int64_t duration_ms, int64_t step_ms)
{
  for (int64_t elapsed = 0; elapsed < duration_ms; elapsed += step_ms)
    {
      fq_effects_t effects = { 0 };

      now += step_ms * FQ_MICROSECONDS_PER_MS;
      wall_ms += step_ms;
      fq_once_tick (once, now, wall_ms, &effects);
      apply_effects (&effects);
    }
}

/* Claims and finishes KEYS keys that begin with @name. */
static void
execute_requests (const char *name)
{
  fq_answer_t answer = { .outcome = FQ_OUTCOME_ANSWERED, .status = 201 };
  fq_once_verdict_t verdict;
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->member, "wrekin");
  strcpy (request->service, "wrekin/bulletins");
  strcpy (request->method, "POST");
  for (fq_id_t run = 1; run <= KEYS; run++)
    {
      fq_effects_t effects = { 0 };

      snprintf (request->key, sizeof request->key, "%s-%u", name, (unsigned)run);
      fq_once_claim (once, now, run, request, now + FQ_MICROSECONDS_PER_SECOND, &effects);
      apply_effects (&effects);
    }
  fq_request_unref (request);
  advance (100, 5);
  while (fq_once_take_verdict (once, &verdict))
    {
      fq_effects_t effects = { 0 };

      ck_assert_int_eq (verdict.kind, FQ_ONCE_GRANTED);
      fq_once_finish (once, now, verdict.run, &answer, &effects);
      apply_effects (&effects);
    }
  advance (100, 5);
}

static size_t
count_rows (const char *name)
{
  size_t count = 0;

  for (size_t i = 0; i < store.count; i++)
    count += strstr (store.rows[i].key, name) != NULL;
  return count;
}

static void
set_up (void)
{
  fq_once_options_t options = FQ_ONCE_OPTIONS_INIT;

  options.node = "n1";
  options.incarnation = 1;
  options.seed = 7;
  now = FQ_MICROSECONDS_PER_SECOND;
  wall_ms = START_MS;
  ck_assert_int_eq (fq_once_new (&once, &options), FQ_OK);
  advance (10, 5);
}

static void
tear_down (void)
{
  fq_once_free (once);
  fake_store_clear (&store);
}

START_TEST (test_rows_are_removed_after_their_retention_not_before)
{
  execute_requests ("old");
  advance (12 * HOUR_MS, SECOND_MS);
  execute_requests ("young");
  advance (11 * HOUR_MS, SECOND_MS);
  ck_assert_uint_eq (count_rows ("/old-"), KEYS);
  op_count = 0;
  advance (13 * HOUR_MS, SECOND_MS);
  ck_assert_uint_lt (count_rows ("/old-"), KEYS / 10);
  ck_assert_uint_eq (count_rows ("/young-"), KEYS);
  ck_assert_uint_lt (op_count, 13 * 120); /* one scan and one removal a minute */
  advance (72 * HOUR_MS, SECOND_MS);
  ck_assert_uint_eq (store.count, 0);
}
END_TEST

START_TEST (test_rows_of_unknown_age_are_kept)
{
  wall_ms = -200;
  advance (200, 200);
  ck_assert_int_eq (wall_ms, 0);
  execute_requests ("ageless");
  wall_ms = START_MS;
  advance (48 * HOUR_MS, SECOND_MS);
  ck_assert_uint_eq (count_rows ("/ageless-"), KEYS);
}
END_TEST

START_TEST (test_a_busy_store_is_scanned_at_a_low_rate)
{
  execute_requests ("old");
  store.mode = FAKE_BUSY;
  op_count = 0;
  advance (30 * HOUR_MS, SECOND_MS);
  ck_assert_uint_eq (count_rows ("/old-"), KEYS);
  ck_assert_uint_lt (op_count, 30 * 120);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once_sweep");
  TCase *tcase = tcase_create ("retention");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_rows_are_removed_after_their_retention_not_before);
  tcase_add_test (tcase, test_rows_of_unknown_age_are_kept);
  tcase_add_test (tcase, test_a_busy_store_is_scanned_at_a_low_rate);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
