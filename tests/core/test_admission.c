/**
 * DOC: Admission control of one gate under overload, with a simulated upstream that has a
 * FIFO queue of its own.
 *
 * The bounds are the targets of docs/design/admission.md. FQ_TEST_SEED sets the seed.
 */
#include <stdio.h>

#include "gate_simulation.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define GOODPUT_SHARE_MIN 0.95   /* of the capacity of the upstream */
#define CRITICAL_SHARE_MIN 0.999 /* of critical requests that are answered */
#define RECOVERY_MAX_US (2 * SECOND)
#define FAIR_SHARE_MIN 0.9 /* of the goodput of a member when the other has no surge */
#define FAULT_START (5 * SECOND)
#define FAULT_END (25 * SECOND)
#define SURGE_END (12 * SECOND)      /* of surges that need many simulated events */
#define RECOVERY_RUN_US (9 * SECOND) /* simulated after the fault */
#define SLOTS 35
#define CONNECTIONS 300
#define CLIENT_RETRIES 3

#define SCENARIO_UNTIL(when)                                                             \
  .start = FAULT_START, .end = (when), .duration_us = (when) + RECOVERY_RUN_US,          \
  .slots = SLOTS, .connections = CONNECTIONS, .retries = CLIENT_RETRIES
#define SCENARIO SCENARIO_UNTIL (FAULT_END)
#define SHORT_SCENARIO SCENARIO_UNTIL (SURGE_END)

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

static gate_simulation_t sim;

static uint64_t
seed (void)
{
  const char *text = getenv ("FQ_TEST_SEED");

  return text == NULL ? 1 : strtoull (text, NULL, 10);
}

typedef struct
{
  const char *name;
  gate_scenario_t scenario;
  double goodput_min; /* as a share of the capacity of the upstream */
} overload_case_t;

static const overload_case_t overload_cases[] = {
  { "surge 2x",
    { SHORT_SCENARIO, .surge_factor = 2, .announced = 35 },
    GOODPUT_SHARE_MIN },
  { "surge 3x", { SCENARIO, .surge_factor = 3, .announced = 35 }, GOODPUT_SHARE_MIN },
  { "surge 5x",
    { SHORT_SCENARIO, .surge_factor = 5, .announced = 35 },
    GOODPUT_SHARE_MIN },
  { "surge 10x",
    { SHORT_SCENARIO, .surge_factor = 10, .announced = 35 },
    GOODPUT_SHARE_MIN },
  { "surge 3x, entry sheds",
    { SHORT_SCENARIO, .surge_factor = 3, .announced = 35, .entry_sheds = true },
    GOODPUT_SHARE_MIN },
  { "surge 10x, entry sheds",
    { SHORT_SCENARIO, .surge_factor = 10, .announced = 35, .entry_sheds = true },
    GOODPUT_SHARE_MIN },
  { "slow 10x", { SCENARIO, .slowdown_factor = 10, .announced = 35 }, GOODPUT_SHARE_MIN },
  { "slow 10x, surge 3x",
    { SCENARIO, .slowdown_factor = 10, .surge_factor = 3, .announced = 35 },
    GOODPUT_SHARE_MIN },
  { "cold start, surge 3x",
    { SHORT_SCENARIO, .warmup_us = 4 * SECOND, .surge_factor = 3, .announced = 35 },
    GOODPUT_SHARE_MIN },
  { "announces 4 times its slots",
    { SHORT_SCENARIO, .surge_factor = 3, .announced = 140 },
    GOODPUT_SHARE_MIN },
  { "announces a quarter of its slots",
    { SHORT_SCENARIO, .surge_factor = 3, .announced = 9 },
    GOODPUT_SHARE_MIN },
  { "upstream refuses by itself",
    { SHORT_SCENARIO, .surge_factor = 3, .announced = 140, .queue_max = 5 },
    GOODPUT_SHARE_MIN },
};

static double
capacity (const gate_scenario_t *scenario)
{
  double rate = (double)scenario->slots / SERVICE_US;

  if (scenario->slowdown_factor > 0)
    rate /= scenario->slowdown_factor;
  return rate * (double)(scenario->end - scenario->start);
}

static double
answered_share (int stream)
{
  bin_t sum
      = gate_simulation_sum (&sim, stream, SECOND, sim.scenario->duration_us - SECOND);

  return sum.requests == 0 ? 1 : sum.answered / (double)sum.requests;
}

START_TEST (test_goodput_and_recovery_under_overload)
{
  const overload_case_t *test_case = &overload_cases[_i];
  const gate_scenario_t *scenario = &test_case->scenario;
  bin_t during;
  double goodput;
  double critical;
  fq_time_t recovery;

  gate_simulation_run (&sim, scenario, streams, COUNT (streams), seed ());
  during = gate_simulation_sum_all (&sim, scenario->start, scenario->end);
  goodput = during.completions / capacity (scenario);
  critical = answered_share (CRITICAL_A);
  recovery = gate_simulation_recovery (&sim, scenario->end);
  printf ("%-28s seed %llu: goodput %.3f of capacity, critical %.4f, recovery %.1f s, "
          "in flight at most %u\n",
          test_case->name, (unsigned long long)seed (), goodput, critical,
          (double)recovery / SECOND, sim.in_flight_max);
  ck_assert_double_ge (goodput, test_case->goodput_min);
  ck_assert_double_ge (critical, CRITICAL_SHARE_MIN);
  ck_assert_int_le (recovery, RECOVERY_MAX_US);
  ck_assert_uint_eq (sim.priority_inversions, 0);
  ck_assert_uint_le (sim.in_flight_max, CONNECTIONS);
}
END_TEST

static const gate_scenario_t baseline_cases[] = {
  { SCENARIO, .surge_factor = 3, .announced = 35, .policy = FQ_ADMISSION_NONE },
  { SCENARIO, .slowdown_factor = 10, .announced = 35, .policy = FQ_ADMISSION_NONE },
};

/* The baseline: without admission control the retries alone keep the upstream overloaded
 * after the fault has ended. */
START_TEST (test_without_control_overload_persists)
{
  const gate_scenario_t *scenario = &baseline_cases[_i];
  bin_t after;

  gate_simulation_run (&sim, scenario, streams, COUNT (streams), seed ());
  after
      = gate_simulation_sum_all (&sim, scenario->end, sim.scenario->duration_us - SECOND);
  printf ("no control, case %d: share answered after the fault %.3f, recovery %.1f s\n",
          _i, after.answered / (double)after.requests,
          (double)gate_simulation_recovery (&sim, scenario->end) / SECOND);
  ck_assert_int_gt (gate_simulation_recovery (&sim, scenario->end), 3 * RECOVERY_MAX_US);
}
END_TEST

/* Critical requests alone are 1.5 times the capacity: some must be refused, but only
 * while no request of another class starts. */
START_TEST (test_no_critical_request_is_refused_while_others_start)
{
  static const stream_t critical_surges[] = {
    { FQ_CLASS_CRITICAL, 1, 0.05, true },
    { FQ_CLASS_NORMAL, 2, 0.3, false },
    { FQ_CLASS_LOOKUP, 1, 0.3, false },
  };
  const gate_scenario_t scenario
      = { SHORT_SCENARIO, .surge_factor = 30, .announced = 35 };

  gate_simulation_run (&sim, &scenario, critical_surges, COUNT (critical_surges),
                       seed ());
  printf ("critical 1.5x: %u refused for overload, %u of them while others started\n",
          sim.critical_refused, sim.priority_inversions);
  ck_assert_uint_gt (sim.critical_refused, 0);
  ck_assert_uint_eq (sim.priority_inversions, 0);
}
END_TEST

static const double one_member_surges[] = { 2, 5, 10 };

START_TEST (test_surge_of_one_member_leaves_the_others_goodput)
{
  gate_scenario_t scenario = { SHORT_SCENARIO, .surge_factor = 1, .announced = 35 };
  stream_t one_surges[COUNT (streams)];
  bin_t calm[COUNT (streams)];

  for (size_t i = 0; i < COUNT (streams); i++)
    {
      one_surges[i] = streams[i];
      one_surges[i].surges = streams[i].member == 1 && streams[i].surges;
    }
  gate_simulation_run (&sim, &scenario, one_surges, COUNT (streams), seed ());
  for (size_t i = 0; i < COUNT (streams); i++)
    calm[i] = gate_simulation_sum (&sim, (int)i, FAULT_START, SURGE_END);
  scenario.surge_factor = one_member_surges[_i];
  gate_simulation_run (&sim, &scenario, one_surges, COUNT (streams), seed ());
  for (size_t i = NORMAL_B; i <= LOOKUP_B; i++)
    {
      bin_t sum = gate_simulation_sum (&sim, (int)i, FAULT_START, SURGE_END);
      double share = (sum.answered / (double)sum.requests)
                     / (calm[i].answered / (double)calm[i].requests);

      printf ("surge %gx of the other member: class %d has %.3f of its goodput\n",
              scenario.surge_factor, (int)streams[i].request_class, share);
      ck_assert_double_ge (share, FAIR_SHARE_MIN);
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
  tcase_add_loop_test (tcase, test_goodput_and_recovery_under_overload, 0,
                       COUNT (overload_cases));
  tcase_add_loop_test (tcase, test_without_control_overload_persists, 0,
                       COUNT (baseline_cases));
  tcase_add_test (tcase, test_no_critical_request_is_refused_while_others_start);
  tcase_add_loop_test (tcase, test_surge_of_one_member_leaves_the_others_goodput, 0,
                       COUNT (one_member_surges));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
