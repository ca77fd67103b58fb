/**
 * DOC: The choice of a node, in virtual time.
 *
 * With a number as its argument the program only makes choices among so many nodes, for
 * tests/process/test_routing_cost.sh to count instructions.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/routing/routing.h"
#include "util/map.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define MS FQ_MICROSECONDS_PER_MS
#define SECOND FQ_MICROSECONDS_PER_SECOND
#define SERVICE "wrekin/tables"
#define NODES_MAX 32
#define SLOTS 10
#define ROUNDS 20000
#define IN_FLIGHT_MAX 4096

static fq_routing_t *routing;
static fq_time_t now;

static uint64_t
seed (void)
{
  const char *text = getenv ("FQ_TEST_SEED");

  return text == NULL ? 1 : strtoull (text, NULL, 10);
}

static const char *
name_of (size_t index)
{
  static char name[FQ_NAME_BYTES];

  snprintf (name, sizeof name, "n%zu", index);
  return name;
}

static size_t
index_of (const fq_routing_choice_t *choice)
{
  return strtoul (choice->node + 1, NULL, 10);
}

static void
set_node (size_t index, fq_node_state_t state, const char *domain)
{
  fq_node_entry_t entry = { .state = state, .slots = SLOTS, .ready = true };

  strcpy (entry.node, name_of (index));
  strcpy (entry.service, SERVICE);
  strcpy (entry.failure_domain, domain);
  strcpy (entry.region, "midlands");
  if (fq_routing_update (routing, now, &entry) < 0)
    abort ();
  fq_routing_connected (routing, now, entry.node, true);
}

static void
set_up_nodes (size_t count, const char *own)
{
  fq_routing_options_t options = FQ_ROUTING_OPTIONS_INIT;

  options.node = own;
  options.failure_domain = "mid-a";
  options.region = "midlands";
  options.seed = seed ();
  now = SECOND;
  if (fq_routing_new (&routing, &options) < 0)
    abort ();
  for (size_t i = 0; i < count; i++)
    set_node (i, FQ_NODE_ALIVE, "mid-b");
}

static void
tell_load (size_t index, uint32_t in_flight, fq_routing_result_t result)
{
  fq_load_t load
      = { .limit = SLOTS, .in_flight = in_flight, .shed_class = FQ_CLASS_COUNT };

  fq_routing_attempt_sent (routing, now, name_of (index));
  fq_routing_attempt_ended (routing, now, name_of (index), result, 10 * MS, &load);
}

static void
count_choices (uint32_t *taken, size_t rounds)
{
  fq_routing_choice_t choice;

  memset (taken, 0, NODES_MAX * sizeof *taken);
  for (size_t i = 0; i < rounds; i++)
    {
      ck_assert_int_eq (fq_routing_choose (routing, now, SERVICE, NULL, &choice), FQ_OK);
      taken[index_of (&choice)]++;
    }
}

typedef struct
{
  const char *name;
  fq_time_t age;      /* of what the first of ten nodes told: that it is idle */
  double share_least; /* of choices that it gets; an equal share is 0.1 */
  double share_most;
} hint_case_t;

static const hint_case_t hint_cases[] = {
  { "fresh: idle", 0, 0.15, 0.21 },
  { "stale: as the average", 5 * SECOND, 0.08, 0.12 },
};

START_TEST (test_hint)
{
  const hint_case_t *one = &hint_cases[_i];
  uint32_t taken[NODES_MAX];
  double share;

  set_up_nodes (10, "elsewhere");
  tell_load (0, 0, FQ_ROUTING_ANSWERED);
  now += one->age;
  for (int round = 0; round < 100; round++)
    {
      for (size_t i = 1; i < 10; i++)
        tell_load (i, SLOTS / 2, FQ_ROUTING_ANSWERED);
    }
  count_choices (taken, ROUNDS);
  share = taken[0] / (double)ROUNDS;
  printf ("hint %s: share %.3f\n", one->name, share);
  ck_assert_double_ge (share, one->share_least);
  ck_assert_double_le (share, one->share_most);
  fq_routing_free (routing);
}
END_TEST

START_TEST (test_never_ejects_more_than_half)
{
  uint32_t taken[NODES_MAX];
  size_t usable = 0;

  set_up_nodes (10, "elsewhere");
  for (size_t i = 0; i < 10; i++)
    {
      for (int round = 0; round < 20; round++)
        tell_load (i, 1, FQ_ROUTING_FAILED);
    }
  count_choices (taken, ROUNDS);
  for (size_t i = 0; i < 10; i++)
    usable += taken[i] > 0;
  ck_assert_uint_eq (usable, 5);
  fq_routing_free (routing);
}
END_TEST

START_TEST (test_ejected_node_returns_slowly)
{
  uint32_t taken[NODES_MAX];

  set_up_nodes (10, "elsewhere");
  for (int round = 0; round < 20; round++)
    tell_load (3, 1, FQ_ROUTING_FAILED);
  count_choices (taken, ROUNDS);
  ck_assert_uint_eq (taken[3], 0);
  now += 4 * SECOND;
  count_choices (taken, ROUNDS);
  printf ("just returned: %u of an equal share of %d\n", taken[3], ROUNDS / 10);
  ck_assert_uint_gt (taken[3], 0);
  ck_assert_uint_lt (taken[3], ROUNDS / 10 / 4);
  now += 6 * SECOND;
  count_choices (taken, ROUNDS);
  ck_assert_uint_gt (taken[3], ROUNDS / 10 / 2);
  fq_routing_free (routing);
}
END_TEST

START_TEST (test_refusals_and_drops_do_not_eject)
{
  uint32_t taken[NODES_MAX];

  set_up_nodes (4, "elsewhere");
  for (int round = 0; round < 50; round++)
    {
      tell_load (1, 1, FQ_ROUTING_REFUSED);
      tell_load (2, 1, FQ_ROUTING_CANCELLED);
    }
  count_choices (taken, ROUNDS);
  for (size_t i = 0; i < 4; i++)
    ck_assert_uint_gt (taken[i], 0);
  fq_routing_free (routing);
}
END_TEST

START_TEST (test_own_node_and_near_node_when_as_good)
{
  uint32_t taken[NODES_MAX];

  set_up_nodes (4, "n2");
  set_node (2, FQ_NODE_ALIVE, "mid-a");
  count_choices (taken, ROUNDS);
  ck_assert_uint_eq (taken[2], ROUNDS);
  for (size_t i = 0; i < 4; i++)
    tell_load (i, i == 2 ? SLOTS : 1, FQ_ROUTING_ANSWERED);
  count_choices (taken, ROUNDS);
  ck_assert_uint_eq (taken[2], 0);
  fq_routing_free (routing);
  set_up_nodes (2, "elsewhere");
  set_node (1, FQ_NODE_ALIVE, "mid-a");
  count_choices (taken, ROUNDS);
  ck_assert_uint_eq (taken[1], ROUNDS);
  fq_routing_free (routing);
}
END_TEST

/* How often a node is chosen of 100 times. */
static int
choices_of (const char *name)
{
  fq_routing_choice_t choice;
  int count = 0;

  for (int i = 0; i < 100; i++)
    {
      ck_assert_int_eq (fq_routing_choose (routing, now, SERVICE, NULL, &choice), FQ_OK);
      count += strcmp (choice.node, name) == 0;
    }
  return count;
}

START_TEST (test_closed_gate_is_left_out_for_a_while)
{
  set_up_nodes (2, "n9");
  ck_assert_int_gt (choices_of ("n1"), 10);
  fq_routing_mark_refusing (routing, now, "n1");
  ck_assert_int_eq (choices_of ("n1"), 0);
  now += 3 * FQ_MICROSECONDS_PER_SECOND;
  ck_assert_int_gt (choices_of ("n1"), 10);
  fq_routing_mark_refusing (routing, now, "n0");
  fq_routing_mark_refusing (routing, now, "n1");
  ck_assert_int_gt (choices_of ("n1"), 10);
  fq_routing_free (routing);
}
END_TEST

/* What gossip says of a node whose connection works. */
static const struct
{
  fq_node_state_t state;
  bool is_asked;
} told[] = {
  { FQ_NODE_ALIVE, true }, { FQ_NODE_SUSPECT, true }, { FQ_NODE_UNREACHABLE, false },
  { FQ_NODE_DEAD, false }, { FQ_NODE_LEFT, false },
};

START_TEST (test_suspect_with_a_working_connection_is_asked)
{
  set_up_nodes (2, "n9");
  set_node (1, told[_i].state, "mid-b");
  ck_assert_int_eq (choices_of ("n1") > 0, told[_i].is_asked);
  fq_routing_free (routing);
}
END_TEST

START_TEST (test_tried_nodes_are_avoided)
{
  fq_routing_tried_t tried = { 0 };
  fq_routing_choice_t choice;

  set_up_nodes (3, "n0");
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (fq_routing_choose (routing, now, SERVICE, &tried, &choice),
                        FQ_OK);
      tried.nodes[tried.count++] = fq_map_hash (choice.node);
    }
  ck_assert_int_eq (fq_routing_choose (routing, now, SERVICE, &tried, &choice),
                    FQ_ERROR_NOTFOUND);
  fq_routing_free (routing);
}
END_TEST

typedef struct
{
  const char *node;
  fq_class_t told; /* the class that it sheds by half */
  int answers;     /* that tell it, in a row */
  fq_time_t later;
  fq_class_t level; /* that holds then */
} level_case_t;

/* In order: the first level holds as it was told, each later answer counts alike, and
 * nothing holds for long. */
static const level_case_t level_cases[] = {
  { "n0", FQ_CLASS_NORMAL, 1, 0, FQ_CLASS_NORMAL },
  { "n1", FQ_CLASS_LOOKUP, 1, 0, FQ_CLASS_NORMAL },
  { "n0", FQ_CLASS_NORMAL, 9, 0, FQ_CLASS_NORMAL },
  { "n1", FQ_CLASS_LOOKUP, 10, 0, FQ_CLASS_LOOKUP },
  { "n1", FQ_CLASS_NORMAL, 10, 0, FQ_CLASS_NORMAL },
  { "n1", FQ_CLASS_NORMAL, 1, 2 * SECOND, FQ_CLASS_COUNT },
};

START_TEST (test_each_answer_counts_alike_in_the_level)
{
  fq_load_t load = { .limit = SLOTS, .shed_percent = 50 };
  fq_load_t level;

  set_up_nodes (2, "elsewhere");
  for (size_t i = 0; i < COUNT (level_cases); i++)
    {
      load.shed_class = (uint8_t)level_cases[i].told;
      for (int answer = 0; answer < level_cases[i].answers; answer++)
        fq_routing_record_shed_level (routing, now, level_cases[i].node, "wrekin", &load);
      now += level_cases[i].later;
      fq_routing_shed_level (routing, now, SERVICE, "wrekin", &level);
      ck_assert_int_eq (level.shed_class, level_cases[i].level);
      fq_routing_shed_level (routing, now, SERVICE, "abyssinia", &level);
      ck_assert_int_eq (level.shed_class, FQ_CLASS_COUNT);
    }
  fq_routing_free (routing);
}
END_TEST

/* A gate with one answer in twenty has room; the others have none for half of it. */
START_TEST (test_gate_with_little_load_does_not_speak_for_the_others)
{
  fq_load_t full = { .limit = SLOTS, .shed_class = FQ_CLASS_NORMAL, .shed_percent = 50 };
  fq_load_t idle = { .limit = SLOTS, .shed_class = FQ_CLASS_COUNT };
  uint32_t percent = 0;
  fq_load_t level;

  set_up_nodes (3, "elsewhere");
  for (int i = 0; i < 200; i++)
    {
      const char *node = i % 20 == 0 ? "n2" : name_of (i % 2);

      fq_routing_record_shed_level (routing, now, node, "wrekin",
                                    i % 20 == 0 ? &idle : &full);
      fq_routing_shed_level (routing, now, SERVICE, "wrekin", &level);
      percent += level.shed_class == FQ_CLASS_NORMAL ? level.shed_percent : 0;
    }
  ck_assert_uint_ge (percent / 200, 40);
  fq_routing_free (routing);
}
END_TEST

/* Nodes that hold each request for a time of their own; no queue. */
typedef struct
{
  fq_time_t ends[IN_FLIGHT_MAX];
  size_t node[IN_FLIGHT_MAX];
  size_t count;
  uint32_t in_flight[NODES_MAX];
} pool_t;

static void
end_due (pool_t *pool, const fq_time_t *hold)
{
  for (size_t i = 0; i < pool->count;)
    {
      size_t node = pool->node[i];
      fq_load_t load = { .limit = SLOTS, .shed_class = FQ_CLASS_COUNT };

      if (pool->ends[i] > now)
        {
          i++;
          continue;
        }
      load.service_us = (uint32_t)hold[node];
      load.in_flight = --pool->in_flight[node];
      fq_routing_attempt_ended (routing, now, name_of (node), FQ_ROUTING_ANSWERED,
                                hold[node], &load);
      pool->ends[i] = pool->ends[--pool->count];
      pool->node[i] = pool->node[pool->count];
    }
}

/* Sends one request every @period for @length; counts in @taken where they went. */
static void
run_pool (const fq_time_t *hold,
          fq_time_t period,
          fq_time_t length,
          uint32_t *taken,
          uint32_t *over_slots)
{
  static pool_t pool;
  fq_time_t end = now + length;
  fq_routing_choice_t choice;

  memset (&pool, 0, sizeof pool);
  memset (taken, 0, NODES_MAX * sizeof *taken);
  for (; now < end; now += period)
    {
      size_t node;

      end_due (&pool, hold);
      ck_assert_int_eq (fq_routing_choose (routing, now, SERVICE, NULL, &choice), FQ_OK);
      node = index_of (&choice);
      taken[node]++;
      *over_slots += pool.in_flight[node]++ >= SLOTS;
      fq_routing_attempt_sent (routing, now, choice.node);
      ck_assert_uint_lt (pool.count, IN_FLIGHT_MAX);
      pool.ends[pool.count] = now + hold[node];
      pool.node[pool.count++] = node;
    }
  now += SECOND;
  end_due (&pool, hold);
}

/* Speeds 1, 2, 4 and 8: at 0.8 of all capacity no node may be asked beyond its slots
 * while another has room. */
START_TEST (test_mixed_speeds)
{
  const fq_time_t hold[] = { 80 * MS, 40 * MS, 20 * MS, 10 * MS };
  double capacity = 0;
  uint32_t taken[NODES_MAX];
  uint32_t over = 0;

  for (size_t i = 0; i < COUNT (hold); i++)
    capacity += SLOTS / (double)hold[i];
  set_up_nodes (COUNT (hold), "elsewhere");
  run_pool (hold, (fq_time_t)(1 / (0.8 * capacity)), 20 * SECOND, taken, &over);
  for (size_t i = 0; i < COUNT (hold); i++)
    printf ("node of %lld ms: %.2f of its capacity\n", (long long)(hold[i] / MS),
            taken[i] * (double)hold[i] / (SLOTS * 20.0 * SECOND));
  printf ("sent to a node without a free slot: %u\n", over);
  for (size_t i = 0; i < COUNT (hold); i++)
    ck_assert_double_le (taken[i] * (double)hold[i] / (SLOTS * 20.0 * SECOND), 1);
  ck_assert_double_le (over, 0.05 * taken[3]);
  fq_routing_free (routing);
}
END_TEST

/* The load of a lost node goes to all others alike. */
START_TEST (test_lost_nodes_load_spreads)
{
  fq_time_t hold[20];
  uint32_t before[NODES_MAX];
  uint32_t after[NODES_MAX];
  uint32_t over = 0;
  uint32_t most = 0;
  uint32_t sum = 0;

  for (size_t i = 0; i < COUNT (hold); i++)
    hold[i] = 10 * MS;
  set_up_nodes (COUNT (hold), "elsewhere");
  run_pool (hold, 100, 20 * SECOND, before, &over);
  set_node (7, FQ_NODE_DEAD, "mid-b");
  run_pool (hold, 100, 20 * SECOND, after, &over);
  ck_assert_uint_eq (after[7], 0);
  for (size_t i = 0; i < COUNT (hold); i++)
    {
      sum += after[i];
      if (after[i] > most)
        most = after[i];
    }
  printf ("most loaded of the 19 that are left: %.3f of the mean\n", most * 19.0 / sum);
  ck_assert_double_le (most * 19.0 / sum, 1.1);
  fq_routing_free (routing);
}
END_TEST

static int
make_choices (size_t count)
{
  uint32_t taken = 0;
  fq_routing_choice_t choice;

  set_up_nodes (count, "elsewhere");
  for (size_t i = 0; i < count; i++)
    tell_load (i, (uint32_t)(i % SLOTS), FQ_ROUTING_ANSWERED);
  for (int i = 0; i < 1000; i++)
    taken += fq_routing_choose (routing, now, SERVICE, NULL, &choice) == FQ_OK;
  fq_routing_free (routing);
  return taken == 1000 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  Suite *suite = suite_create ("routing");
  TCase *tcase = tcase_create ("routing");
  SRunner *runner;
  int failed;

  if (argc == 2)
    return make_choices (strtoul (argv[1], NULL, 10));
  printf ("seed %llu\n", (unsigned long long)seed ());
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_hint, 0, COUNT (hint_cases));
  tcase_add_test (tcase, test_never_ejects_more_than_half);
  tcase_add_test (tcase, test_ejected_node_returns_slowly);
  tcase_add_test (tcase, test_refusals_and_drops_do_not_eject);
  tcase_add_test (tcase, test_own_node_and_near_node_when_as_good);
  tcase_add_test (tcase, test_closed_gate_is_left_out_for_a_while);
  tcase_add_loop_test (tcase, test_suspect_with_a_working_connection_is_asked, 0,
                       (int)(sizeof told / sizeof told[0]));
  tcase_add_test (tcase, test_tried_nodes_are_avoided);
  tcase_add_test (tcase, test_each_answer_counts_alike_in_the_level);
  tcase_add_test (tcase, test_gate_with_little_load_does_not_speak_for_the_others);
  tcase_add_test (tcase, test_mixed_speeds);
  tcase_add_test (tcase, test_lost_nodes_load_spreads);
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
