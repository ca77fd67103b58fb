/**
 * DOC: One gate under overload, against an upstream with a plain queue.
 *
 * Bounds are the targets of docs/design/admission.md. FQ_TEST_SEED sets the seed.
 */
#include <stdio.h>

#include "gate_fake.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define GOODPUT_MIN 0.95 /* of the capacity bound */
#define CRITICAL_MIN 0.999
#define RECOVERY_MAX (2 * SECOND)
#define FAIR_MIN 0.9 /* of a member's own goodput without the other's surge */
#define TRIGGER_START (5 * SECOND)
#define TRIGGER_END (25 * SECOND)
#define SURGE_END (12 * SECOND) /* of surges that cost many events */
#define AFTER_US (9 * SECOND)
#define SLOTS 35
#define CONNECTIONS 300
#define HARD_RETRIES 3

#define WORLD_UNTIL(when)                                                                \
  .start = TRIGGER_START, .end = (when), .run_us = (when) + AFTER_US, .slots = SLOTS,    \
  .connections = CONNECTIONS, .retries = HARD_RETRIES
#define WORLD WORLD_UNTIL (TRIGGER_END)
#define SHORT_WORLD WORLD_UNTIL (SURGE_END)

enum
{
  CRITICAL_A,
  NORMAL_A,
  LOOKUP_A,
  NORMAL_B,
  LOOKUP_B,
};

static const stream_t streams[] = {
  [CRITICAL_A] = { FQ_CLASS_CRITICAL, 1, 0.05, false },
  [NORMAL_A] = { FQ_CLASS_NORMAL, 1, 0.15, true },
  [LOOKUP_A] = { FQ_CLASS_LOOKUP, 1, 0.25, true },
  [NORMAL_B] = { FQ_CLASS_NORMAL, 2, 0.1, true },
  [LOOKUP_B] = { FQ_CLASS_LOOKUP, 2, 0.15, true },
};

static gate_fake_t fake;

static uint64_t
seed (void)
{
  const char *text = getenv ("FQ_TEST_SEED");

  return text == NULL ? 1 : strtoull (text, NULL, 10);
}

typedef struct
{
  const char *name;
  gate_scenario_t world;
  double goodput_min; /* 0: not asserted, as the surge does not fill the capacity */
} overload_case_t;

static const overload_case_t overload_cases[] = {
  { "surge 2x", { SHORT_WORLD, .surge = 2, .announced = 35 }, GOODPUT_MIN },
  { "surge 3x", { WORLD, .surge = 3, .announced = 35 }, GOODPUT_MIN },
  { "surge 5x", { SHORT_WORLD, .surge = 5, .announced = 35 }, GOODPUT_MIN },
  { "surge 10x", { SHORT_WORLD, .surge = 10, .announced = 35 }, GOODPUT_MIN },
  { "surge 3x, entry sheds",
    { SHORT_WORLD, .surge = 3, .announced = 35, .entry_sheds = true },
    GOODPUT_MIN },
  { "surge 10x, entry sheds",
    { SHORT_WORLD, .surge = 10, .announced = 35, .entry_sheds = true },
    GOODPUT_MIN },
  { "slow 10x", { WORLD, .slow = 10, .announced = 35 }, GOODPUT_MIN },
  { "slow 10x, surge 3x",
    { WORLD, .slow = 10, .surge = 3, .announced = 35 },
    GOODPUT_MIN },
  { "cold start, surge 3x",
    { SHORT_WORLD, .warmup_us = 4 * SECOND, .surge = 3, .announced = 35 },
    GOODPUT_MIN },
  { "says 4 times its slots",
    { SHORT_WORLD, .surge = 3, .announced = 140 },
    GOODPUT_MIN },
  { "says a quarter of its slots",
    { SHORT_WORLD, .surge = 3, .announced = 9 },
    GOODPUT_MIN },
  { "sheds by itself",
    { SHORT_WORLD, .surge = 3, .announced = 140, .queue_max = 5 },
    GOODPUT_MIN },
};

static double
capacity (const gate_scenario_t *world)
{
  double rate = (double)world->slots / SERVICE_US;

  if (world->slow > 0)
    rate /= world->slow;
  return rate * (double)(world->end - world->start);
}

static double
whole_share (int stream)
{
  bin_t sum = gate_fake_sum (&fake, stream, SECOND, fake.world->run_us - SECOND);

  return sum.requests == 0 ? 1 : sum.whole / (double)sum.requests;
}

START_TEST (test_overload)
{
  const overload_case_t *one = &overload_cases[_i];
  const gate_scenario_t *world = &one->world;
  bin_t during;
  double goodput;
  double critical;
  fq_time_t recovery;

  gate_fake_run (&fake, world, streams, COUNT (streams), seed ());
  during = gate_fake_sum_all (&fake, world->start, world->end);
  goodput = during.finished / capacity (world);
  critical = whole_share (CRITICAL_A);
  recovery = gate_fake_recovery (&fake, world->end);
  printf ("%-28s seed %llu: goodput %.3f of capacity, critical %.4f, recovery %.1f s, "
          "in flight at most %u\n",
          one->name, (unsigned long long)seed (), goodput, critical,
          (double)recovery / SECOND, fake.in_flight_max);
  ck_assert_double_ge (goodput, one->goodput_min);
  ck_assert_double_ge (critical, CRITICAL_MIN);
  ck_assert_int_le (recovery, RECOVERY_MAX);
  ck_assert_uint_eq (fake.priority_inversions, 0);
  ck_assert_uint_le (fake.in_flight_max, CONNECTIONS);
}
END_TEST

static const gate_scenario_t baseline_cases[] = {
  { WORLD, .surge = 3, .announced = 35, .policy = FQ_ADMISSION_NONE },
  { WORLD, .slow = 10, .announced = 35, .policy = FQ_ADMISSION_NONE },
};

/* Without control the retries alone keep the upstream overloaded after the trigger. */
START_TEST (test_no_control_stays_collapsed)
{
  const gate_scenario_t *world = &baseline_cases[_i];
  bin_t after;

  gate_fake_run (&fake, world, streams, COUNT (streams), seed ());
  after = gate_fake_sum_all (&fake, world->end, fake.world->run_us - SECOND);
  printf ("no control, case %d: whole after the trigger %.3f, recovery %.1f s\n", _i,
          after.whole / (double)after.requests,
          (double)gate_fake_recovery (&fake, world->end) / SECOND);
  ck_assert_int_gt (gate_fake_recovery (&fake, world->end), 3 * RECOVERY_MAX);
}
END_TEST

/* Critical requests alone ask for 1.5 times the capacity. */
START_TEST (test_no_critical_is_refused_while_others_start)
{
  static const stream_t critical_surges[] = {
    { FQ_CLASS_CRITICAL, 1, 0.05, true },
    { FQ_CLASS_NORMAL, 2, 0.3, false },
    { FQ_CLASS_LOOKUP, 1, 0.3, false },
  };
  const gate_scenario_t world = { SHORT_WORLD, .surge = 30, .announced = 35 };

  gate_fake_run (&fake, &world, critical_surges, COUNT (critical_surges), seed ());
  printf ("critical 1.5x: %u refused for load, %u of them while others started\n",
          fake.critical_refused, fake.priority_inversions);
  ck_assert_uint_gt (fake.critical_refused, 0);
  ck_assert_uint_eq (fake.priority_inversions, 0);
}
END_TEST

static const double surges_of_one[] = { 2, 5, 10 };

START_TEST (test_a_members_surge_costs_its_own_calls)
{
  gate_scenario_t world = { SHORT_WORLD, .surge = 1, .announced = 35 };
  stream_t one_surges[COUNT (streams)];
  bin_t calm[COUNT (streams)];

  for (size_t i = 0; i < COUNT (streams); i++)
    {
      one_surges[i] = streams[i];
      one_surges[i].surges = streams[i].member == 1 && streams[i].surges;
    }
  gate_fake_run (&fake, &world, one_surges, COUNT (streams), seed ());
  for (size_t i = 0; i < COUNT (streams); i++)
    calm[i] = gate_fake_sum (&fake, (int)i, TRIGGER_START, SURGE_END);
  world.surge = surges_of_one[_i];
  gate_fake_run (&fake, &world, one_surges, COUNT (streams), seed ());
  for (size_t i = NORMAL_B; i <= LOOKUP_B; i++)
    {
      bin_t sum = gate_fake_sum (&fake, (int)i, TRIGGER_START, SURGE_END);
      double share = (sum.whole / (double)sum.requests)
                     / (calm[i].whole / (double)calm[i].requests);

      printf ("surge %gx of the other member: class %d has %.3f of its goodput\n",
              world.surge, (int)streams[i].request_class, share);
      ck_assert_double_ge (share, FAIR_MIN);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tcase = tcase_create ("admission");
  SRunner *runner;
  int failed;

  tcase_set_timeout (tcase, 100);
  tcase_add_loop_test (tcase, test_overload, 0, COUNT (overload_cases));
  tcase_add_loop_test (tcase, test_no_control_stays_collapsed, 0, COUNT (baseline_cases));
  tcase_add_test (tcase, test_no_critical_is_refused_while_others_start);
  tcase_add_loop_test (tcase, test_a_members_surge_costs_its_own_calls, 0,
                       COUNT (surges_of_one));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
