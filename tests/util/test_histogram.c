/**
 * DOC: The log-linear histogram.
 */
#include <check.h>
#include <stdlib.h>

#include "util/histogram.h"

static const int64_t values[]
    = { -5, 0, 1, 31, 32, 33, 63, 64, 100, 999, 1000, 65535, 1000000, 119999999 };

START_TEST (test_percentile_is_near_the_value)
{
  fq_histogram_t histogram = { 0 };
  uint64_t value = values[_i] < 0 ? 0 : (uint64_t)values[_i];
  uint64_t end;

  fq_histogram_add (&histogram, values[_i]);
  fq_histogram_add (&histogram, 1000000000000);
  end = fq_histogram_percentile (&histogram, 50);
  ck_assert_uint_ge (end, value);
  ck_assert_uint_le (end - value, value / FQ_HISTOGRAM_PARTS);
  ck_assert_uint_eq (fq_histogram_count_at_most (&histogram, end), 1);
  ck_assert_uint_eq (histogram.max_us, 1000000000000u);
}
END_TEST

START_TEST (test_merge_is_the_same_as_adding)
{
  fq_histogram_t all = { 0 };
  fq_histogram_t parts[2] = { 0 };

  for (int64_t us = 0; us < 10000; us++)
    {
      fq_histogram_add (&all, us);
      fq_histogram_add (&parts[us % 2], us);
    }
  fq_histogram_merge (&parts[0], &parts[1]);
  ck_assert_mem_eq (&all, &parts[0], sizeof all);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("histogram");
  TCase *tcase = tcase_create ("histogram");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_loop_test (tcase, test_percentile_is_near_the_value, 0,
                       sizeof values / sizeof values[0]);
  tcase_add_test (tcase, test_merge_is_the_same_as_adding);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
