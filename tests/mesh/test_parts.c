/**
 * DOC: The parts of a node's reducer, each alone.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/blame.h"
#include "mesh/chain_shed.h"
#include "mesh/config.h"
#include "mesh/pressure.h"
#include "mesh/repeat_budget.h"
#include "mesh/waiting.h"
#include "util/random.h"
#include "util/timers.h"

#define MS FQ_MICROSECONDS_PER_MS
#define SECOND FQ_MICROSECONDS_PER_SECOND

START_TEST (test_timers_fire_in_order)
{
  enum
  {
    COUNT = 500
  };
  static fq_timer_entry_t entries[COUNT];
  fq_timers_t timers = { 0 };
  fq_random_t random = { 7 };
  fq_time_t last = 0;
  fq_timer_entry_t *entry;
  int fired = 0;

  for (int i = 0; i < COUNT; i++)
    fq_timers_arm (&timers, &entries[i], (fq_time_t)fq_random_below (&random, 1000));
  for (int i = 0; i < COUNT; i += 3)
    fq_timers_cancel (&timers, &entries[i]);
  for (int i = 0; i < COUNT; i += 6)
    fq_timers_arm (&timers, &entries[i], (fq_time_t)fq_random_below (&random, 1000));
  while ((entry = fq_timers_pop (&timers, 1000)) != NULL)
    {
      ck_assert_int_ge (entry->when, last);
      last = entry->when;
      fired++;
    }
  ck_assert_int_eq (fired, COUNT - (COUNT + 2) / 3 + (COUNT + 5) / 6);
  ck_assert_int_eq (fq_timers_next (&timers), FQ_TIMERS_NEVER);
  fq_timers_clear (&timers);
}
END_TEST

static fq_config_t *
new_config (void)
{
  fq_config_t *config = fq_config_new ();
  fq_virtual_host_t *host;

  config->hosts = calloc (1, sizeof *config->hosts);
  config->host_count = 1;
  host = &config->hosts[0];
  strcpy (host->host, "one.example");
  host->routes = calloc (2, sizeof *host->routes);
  host->route_count = 2;
  for (size_t i = 0; i < 2; i++)
    {
      fq_route_t *route = &host->routes[i];

      route->prefix = strdup (i == 0 ? "/a/" : "/a/b/");
      route->targets = calloc (2, sizeof *route->targets);
      route->target_count = 2;
      strcpy (route->targets[0].service, "left");
      strcpy (route->targets[1].service, "right");
      route->targets[0].weight = 90;
      route->targets[1].weight = 10;
    }
  fq_config_finalize (config);
  return config;
}

START_TEST (test_route_is_the_longest_prefix_of_its_host)
{
  static const struct
  {
    const char *host;
    const char *target;
    const char *prefix; /* NULL: none */
  } rows[] = {
    { "one.example", "/a/x", "/a/" },       { "ONE.example", "/a/b/x?y=/", "/a/b/" },
    { "one.example:80", "/a/b/", "/a/b/" }, { "one.example", "/a/b", "/a/" },
    { "one.example", "/a", NULL },          { "one.example", "/?/a/", NULL },
    { "two.example", "/a/", NULL },         { "one.exampl", "/a/", NULL },
  };
  fq_config_t *config = new_config ();

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const fq_route_t *route
          = fq_config_find_route (config, rows[i].host, rows[i].target);

      if (rows[i].prefix == NULL)
        ck_assert_ptr_null (route);
      else
        ck_assert_str_eq (route->prefix, rows[i].prefix);
    }
  fq_config_unref (config);
}
END_TEST

START_TEST (test_split_keeps_its_weights_over_any_twenty)
{
  fq_config_t *config = new_config ();
  fq_route_t *route = &config->hosts[0].routes[0];

  for (int round = 0; round < 50; round++)
    {
      int right = 0;

      for (int i = 0; i < 20; i++)
        right += strcmp (fq_route_next_target (route), "right") == 0;
      ck_assert_int_eq (right, 2);
    }
  fq_config_unref (config);
}
END_TEST

START_TEST (test_repeats_stay_within_their_share)
{
  enum
  {
    COUNT = 40000, /* a request each ms */
    WINDOW = 10000
  };
  static bool repeated[COUNT];
  fq_repeat_budget_t budget;
  fq_time_t now = 0;
  int in_window = 0;
  int all = 0;

  fq_repeat_budget_init (&budget, WINDOW);
  for (int i = 0; i < COUNT; i++, now += MS)
    {
      fq_repeat_budget_first (&budget, now);
      repeated[i] = fq_repeat_budget_spend (&budget, now, 0.2, 5);
      all += repeated[i];
      in_window += repeated[i] - (i >= WINDOW ? repeated[i - WINDOW] : 0);
      ck_assert_int_le (in_window, (i < WINDOW ? i + 1 : WINDOW) * 0.2 + 5);
    }
  ck_assert_int_ge (all, COUNT * 0.2 * 0.9);
  /* The window forgets what is past, repeats and requests alike. */
  now += 20 * SECOND;
  for (int i = 0; i < 5; i++)
    ck_assert (fq_repeat_budget_spend (&budget, now, 0.2, 5));
  ck_assert (!fq_repeat_budget_spend (&budget, now, 0.2, 5));
}
END_TEST

START_TEST (test_request_is_blamed_for_each_crash_once)
{
  fq_blame_t crash_suspects = { 0 };

  fq_crash_suspects_add (&crash_suspects, 0, 5, 100);
  fq_crash_suspects_add (&crash_suspects, 0, 5, 100);
  ck_assert_uint_eq (fq_blame_crashes (&crash_suspects, 5), 1);
  fq_crash_suspects_add (&crash_suspects, 0, 5, 101);
  fq_crash_suspects_add (&crash_suspects, 0, 5, 102);
  fq_crash_suspects_add (&crash_suspects, 0, 6, 102);
  ck_assert_uint_eq (fq_blame_crashes (&crash_suspects, 5), FQ_BLAME_CRASHES_MAX);
  fq_blame_clear (&crash_suspects, 6);
  ck_assert_uint_eq (fq_blame_crashes (&crash_suspects, 6), 0);
  /* Old blame is forgotten. */
  fq_crash_suspects_add (&crash_suspects, 300 * SECOND, 7, 103);
  ck_assert_uint_eq (fq_blame_crashes (&crash_suspects, 5), 0);
  fq_crash_suspects_free (&crash_suspects);
}
END_TEST

START_TEST (test_crash_blames_what_was_lost_just_before)
{
  fq_crash_watch_t watch = { 0 };
  uint64_t blamed[FQ_RECENT_LOSSES_MAX];

  fq_crash_watch_lost (&watch, 0, 1);
  fq_crash_watch_lost (&watch, 10 * SECOND, 2);
  fq_crash_watch_lost (&watch, 10 * SECOND, 3);
  ck_assert_uint_eq (fq_recent_losses_take (&watch, 10 * SECOND + MS, blamed), 2);
  ck_assert_uint_eq (fq_recent_losses_take (&watch, 10 * SECOND + MS, blamed), 0);
}
END_TEST

START_TEST (test_order_of_those_that_wait)
{
  /* Ranks in the order of arrival, and the order in which they start: new work has a
   * share of the room, then calls of running work, then new work by its priority. */
  static const uint32_t ranks[] = { 6, 4, 1, 0, 1 };
  static const size_t order[] = { 1, 3, 2, 4, 0 };
  fq_waiting_entry_t entries[5] = { 0 };
  fq_waiting_t waiting;

  fq_gate_queue_init (&waiting);
  waiting.limit = 10;
  for (size_t i = 0; i < 5; i++)
    {
      entries[i].rank = ranks[i];
      entries[i].route = 1;
      fq_waiting_push (&waiting, &entries[i]);
    }
  for (size_t i = 0; i < 5; i++)
    {
      fq_waiting_entry_t *next = fq_waiting_next (&waiting);

      ck_assert_ptr_eq (next, &entries[order[i]]);
      fq_waiting_remove (&waiting, next);
      fq_waiting_start (&waiting, next);
    }
  ck_assert_ptr_null (fq_waiting_next (&waiting));
  fq_waiting_clear (&waiting);
}
END_TEST

START_TEST (test_wait_is_what_stands_ahead)
{
  fq_waiting_t waiting;
  fq_waiting_entry_t running[4] = { 0 };
  fq_waiting_entry_t queued[8] = { 0 };

  fq_gate_queue_init (&waiting);
  waiting.limit = 4;
  for (size_t i = 0; i < 4; i++)
    {
      running[i].rank = 5;
      fq_waiting_start (&waiting, &running[i]);
    }
  for (size_t i = 0; i < 8; i++)
    {
      queued[i].rank = 5;
      fq_waiting_push (&waiting, &queued[i]);
    }
  /* Eight of 100 ms at four at once, and the first of four that are half done. */
  ck_assert_int_ge (fq_waiting_time (&waiting, 5), 200 * MS);
  ck_assert_int_le (fq_waiting_time (&waiting, 5), 250 * MS);
  /* A call of running work waits for none of them. */
  ck_assert_int_le (fq_waiting_time (&waiting, 0), 50 * MS);
  fq_waiting_clear (&waiting);
}
END_TEST

/* Long new work and short calls of running work share one gate of 20 slots; both together
 * ask for more than it can do. Returns how long the calls waited at most, in ms. */
static int
longest_wait_of_calls (void)
{
  enum
  {
    CALLS_MAX = 8192,
    LONG_MS = 600,
    SHORT_MS = 40,
    ALL_MS = 8000
  };
  static fq_waiting_entry_t entries[CALLS_MAX];
  static fq_time_t begun[CALLS_MAX]; /* arrival, then start */
  static fq_time_t ends[CALLS_MAX];  /* 0: not started, -1: ended */
  fq_waiting_t waiting;
  fq_waiting_entry_t *next;
  size_t count = 0;
  fq_time_t longest = 0;

  memset (entries, 0, sizeof entries);
  memset (ends, 0, sizeof ends);
  fq_gate_queue_init (&waiting);
  waiting.limit = 20;
  for (int ms = 0; ms < ALL_MS; ms++)
    {
      for (size_t i = 0; i < count; i++)
        {
          if (ends[i] != ms || ends[i] == 0)
            continue;
          ends[i] = -1;
          fq_waiting_end (&waiting, &entries[i],
                          (entries[i].rank == 0 ? SHORT_MS : LONG_MS) * MS);
        }
      /* Eight calls come together each 50 ms; new work would fill any number of slots. */
      for (int i = 0; i < 9; i++)
        {
          if (i < 8 ? ms % 50 != 0 : ms % 10 != 1)
            continue;
          entries[count].rank = i < 8 ? 0 : 6;
          entries[count].route = entries[count].rank + 1;
          begun[count] = ms;
          fq_waiting_push (&waiting, &entries[count++]);
        }
      while ((next = fq_waiting_next (&waiting)) != NULL)
        {
          size_t i = (size_t)(next - entries);

          fq_waiting_remove (&waiting, next);
          fq_waiting_start (&waiting, next);
          ends[i] = ms + (next->rank == 0 ? SHORT_MS : LONG_MS);
          if (next->rank == 0 && ms > ALL_MS / 2 && ms - begun[i] > longest)
            longest = ms - begun[i];
        }
    }
  fq_waiting_clear (&waiting);
  return (int)longest;
}

/* Chains of five calls of 30 ms in a row come to a gate of 10 slots, twice as many as it
 * can serve, and each is worth something only if all its calls end within 400 ms. Returns
 * the whole chains, as a share of those that the gate could serve. */
static double
whole_chains (bool by_chain)
{
  enum
  {
    CHAINS = 4000,
    CALLS = 5,
    RUN_MS = 30,
    LIMIT_MS = 400,
    SLOTS = 10,
    EACH_MS = 7 /* the gate could serve one each 15 ms */
  };
  static fq_waiting_entry_t entries[CHAINS];
  static int left[CHAINS]; /* calls to be made; -1: given up */
  static int begun[CHAINS];
  static int ends[CHAINS]; /* of the call that runs; 0: none runs */
  fq_chain_shed_t shed = { 0 };
  fq_random_t random = { 3 };
  fq_waiting_t waiting;
  fq_waiting_entry_t *next;
  size_t count = 0;
  size_t whole = 0;
  int all_ms = CHAINS * EACH_MS;

  memset (entries, 0, sizeof entries);
  memset (ends, 0, sizeof ends);
  fq_gate_queue_init (&waiting);
  waiting.limit = SLOTS;
  for (int ms = 1; ms < all_ms; ms++)
    {
      size_t first = count > 200 ? count - 200 : 0;
      bool arrives = ms % EACH_MS == 0 && count < CHAINS;

      if (arrives)
        {
          left[count] = CALLS;
          begun[count++] = ms;
        }
      for (size_t i = first; i < count; i++)
        {
          bool calls = arrives && i == count - 1;

          if (ends[i] == ms)
            {
              fq_waiting_end (&waiting, &entries[i], RUN_MS * MS);
              ends[i] = 0;
              left[i]--;
              whole += left[i] == 0;
              calls = left[i] > 0;
            }
          if (!calls)
            continue;
          if (ms - begun[i] > LIMIT_MS - RUN_MS
              || (by_chain
                  && !fq_chain_shed_keeps (&shed, ms * MS,
                                           (i * 0x9E3779B97F4A7C15ULL) | 1,
                                           fq_waiting_time (&waiting, 0), RUN_MS * MS)))
            {
              left[i] = -1;
              continue;
            }
          entries[i].rank = 0;
          entries[i].route = 1;
          fq_waiting_push (&waiting, &entries[i]);
        }
      while ((next = fq_waiting_next (&waiting)) != NULL)
        {
          size_t i = (size_t)(next - entries);

          fq_waiting_remove (&waiting, next);
          if (ms - begun[i] > LIMIT_MS - RUN_MS)
            {
              left[i] = -1;
              continue;
            }
          fq_waiting_start (&waiting, next);
          ends[i] = ms + RUN_MS + (int)fq_random_below (&random, 2);
        }
    }
  fq_waiting_clear (&waiting);
  return (double)whole / (all_ms / 15.0);
}

START_TEST (test_chains_are_kept_or_given_up_whole)
{
  double plain = whole_chains (false);
  double by_chain = whole_chains (true);

  ck_assert_msg (by_chain >= 0.85, "%.3f, %.3f without", by_chain, plain);
  ck_assert_msg (by_chain >= 1.3 * plain, "%.3f, %.3f without", by_chain, plain);
}
END_TEST

START_TEST (test_calls_of_running_work_find_room_beside_long_work)
{
  /* A chain makes five such calls in a row, and has some 300 ms for all of them. */
  ck_assert_int_le (longest_wait_of_calls (), 60);
}
END_TEST

/* A chain whose narrow place lets @capacity of its runs at once through: with more at
 * once, the part beyond it starves. Each run takes 250 ms, and as many start as may.
 * Returns the share of all runs that starved after the first 20 seconds of 60. */
static double
starved_share (double capacity, uint32_t wanted, double *mean_running)
{
  enum
  {
    RUN_MS = 250,
    ALL_MS = 60000,
    RUNS_MAX = 100
  };
  fq_time_t starts[RUNS_MAX]; /* of the runs under way, the oldest first */
  uint32_t running = 0;
  fq_pressure_t pressure = { 0 };
  fq_random_t random = { 11 };
  double starved = 0;
  double ended = 0;
  double sum = 0;

  for (int ms = 0; ms < ALL_MS; ms++)
    {
      fq_time_t now = (fq_time_t)ms * MS;
      uint32_t limit = fq_pressure_limit (&pressure);

      while (running > 0 && starts[0] + RUN_MS * MS <= now)
        {
          bool is_starved
              = running > capacity && fq_random_unit (&random) > capacity / running;

          fq_pressure_ended (&pressure, now, starts[0], is_starved);
          starved += is_starved && ms > ALL_MS / 3;
          ended += ms > ALL_MS / 3;
          memmove (starts, starts + 1, --running * sizeof *starts);
        }
      /* One starts each 2 ms at most, so that they do not march in step. */
      if (ms % 2 == 0 && running < limit && running < wanted)
        {
          starts[running++] = now;
          fq_pressure_started (&pressure, running);
        }
      sum += ms > ALL_MS / 3 ? running : 0;
    }
  *mean_running = sum / (ALL_MS - ALL_MS / 3.0);
  return starved / ended;
}

START_TEST (test_pressure_finds_the_narrow_place)
{
  double limit;

  /* All the work is wasted without a limit when three times too much is started. */
  ck_assert_double_le (starved_share (20, 60, &limit), 0.15);
  ck_assert_double_ge (limit, 20 * 0.85);
}
END_TEST

START_TEST (test_pressure_leaves_work_alone_that_finds_room)
{
  double limit;

  ck_assert_double_eq (starved_share (20, 15, &limit), 0);
  ck_assert_double_ge (limit, 15 * 0.98);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("parts");
  TCase *tcase = tcase_create ("parts");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_timers_fire_in_order);
  tcase_add_test (tcase, test_route_is_the_longest_prefix_of_its_host);
  tcase_add_test (tcase, test_split_keeps_its_weights_over_any_twenty);
  tcase_add_test (tcase, test_repeats_stay_within_their_share);
  tcase_add_test (tcase, test_request_is_blamed_for_each_crash_once);
  tcase_add_test (tcase, test_crash_blames_what_was_lost_just_before);
  tcase_add_test (tcase, test_order_of_those_that_wait);
  tcase_add_test (tcase, test_wait_is_what_stands_ahead);
  tcase_add_test (tcase, test_calls_of_running_work_find_room_beside_long_work);
  tcase_add_test (tcase, test_chains_are_kept_or_given_up_whole);
  tcase_add_test (tcase, test_pressure_finds_the_narrow_place);
  tcase_add_test (tcase, test_pressure_leaves_work_alone_that_finds_room);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
