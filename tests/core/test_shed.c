/**
 * DOC: The shed level: it follows refusals, but each excess only once.
 */
#include <check.h>
#include <stdlib.h>

#include "core/admission/shed.h"
#include "util/random.h"

#define INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)
#define OFFERED 1000 /* in one interval */
#define COUNT(array) ((int)(sizeof (array) / sizeof *(array)))

static fq_random_t chance;
static fq_shed_t shed;
static fq_time_t now;

static void
set_up (void)
{
  chance.state = 900;
  now = FQ_MICROSECONDS_PER_SECOND;
  fq_shed_init (&shed, now);
}

static void
offer (uint64_t *chains, int count)
{
  for (int i = 0; i < count; i++)
    {
      chains[i] = fq_random_next (&chance);
      fq_shed_offered (&shed, now, FQ_CLASS_LOOKUP, chains[i]);
    }
}

static void
refuse (const uint64_t *chains, int count)
{
  for (int i = 0; i < count; i++)
    fq_shed_refused (&shed, FQ_CLASS_LOOKUP, chains[i]);
}

static double
kept (void)
{
  return shed.keep[FQ_CLASS_LOOKUP];
}

/* The excess of one interval is refused in the next two: the first of them lowers the
 * level, and what it sheds now does not lower it again. */
START_TEST (test_late_refusals_of_what_is_shed_already_do_not_count)
{
  static uint64_t chains[OFFERED];
  double before;
  fq_load_t level;

  set_up ();
  offer (chains, OFFERED);
  refuse (chains, OFFERED);
  now += INTERVAL_US;
  fq_shed_offered (&shed, now, FQ_CLASS_LOOKUP, chains[0]);
  before = kept ();
  ck_assert_double_lt (before, 1);
  fq_shed_level (&shed, &level);
  for (int i = 0; i < OFFERED; i++)
    {
      if (fq_shed_sheds_chain (&level, FQ_CLASS_LOOKUP, chains[i]))
        fq_shed_refused (&shed, FQ_CLASS_LOOKUP, chains[i]);
    }
  now += INTERVAL_US;
  fq_shed_offered (&shed, now, FQ_CLASS_LOOKUP, chains[0]);
  ck_assert_double_ge (kept (), before);
}
END_TEST

/* Refusals of chains that the level would let in still lower it. */
START_TEST (test_refusals_of_what_is_let_in_count)
{
  static uint64_t chains[OFFERED];
  double before;

  set_up ();
  offer (chains, OFFERED);
  refuse (chains, OFFERED);
  now += INTERVAL_US;
  offer (chains, OFFERED);
  before = kept ();
  refuse (chains, OFFERED);
  now += INTERVAL_US;
  offer (chains, OFFERED);
  ck_assert_double_lt (kept (), before);
}
END_TEST

static const struct
{
  double classes;
  fq_load_t level;
} levels[] = {
  { 0, { .shed_class = FQ_CLASS_COUNT, .shed_percent = 0 } },
  { 0.5, { .shed_class = FQ_CLASS_COUNT - 1, .shed_percent = 50 } },
  { 1, { .shed_class = FQ_CLASS_COUNT - 2, .shed_percent = 0 } },
  { 1.25, { .shed_class = FQ_CLASS_COUNT - 2, .shed_percent = 25 } },
  { FQ_CLASS_COUNT, { .shed_class = 0, .shed_percent = 100 } },
};

START_TEST (test_level_is_a_number_of_classes_and_back)
{
  fq_load_t level = { 0 };

  fq_shed_set_classes (&level, levels[_i].classes);
  ck_assert_uint_eq (level.shed_class, levels[_i].level.shed_class);
  ck_assert_uint_eq (level.shed_percent, levels[_i].level.shed_percent);
  ck_assert_double_eq_tol (fq_shed_classes (&level), levels[_i].classes, 1e-9);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("shed");
  TCase *tcase = tcase_create ("shed");
  SRunner *runner;
  int failed;

  tcase_add_test (tcase, test_late_refusals_of_what_is_shed_already_do_not_count);
  tcase_add_test (tcase, test_refusals_of_what_is_let_in_count);
  tcase_add_loop_test (tcase, test_level_is_a_number_of_classes_and_back, 0,
                       COUNT (levels));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
