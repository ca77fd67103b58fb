/**
 * DOC: Unit tests of the parts of a node's reducer.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/backpressure.h"
#include "mesh/chain_shed.h"
#include "mesh/config.h"
#include "mesh/crash_suspects.h"
#include "mesh/gate_queue.h"
#include "mesh/repeat_budget.h"
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
  /* Every third timer was cancelled, and every sixth armed again. */
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
  host->host = strdup ("one.example");
  host->routes = calloc (2, sizeof *host->routes);
  host->route_count = 2;
  for (size_t i = 0; i < 2; i++)
    {
      fq_route_t *route = &host->routes[i];

      route->prefix = strdup (i == 0 ? "/a/" : "/a/b/");
      route->targets = calloc (2, sizeof *route->targets);
      route->target_count = 2;
      route->targets[0].service = fq_text_new ("left");
      route->targets[1].service = fq_text_new ("right");
      route->targets[0].weight = 90;
      route->targets[1].weight = 10;
    }
  fq_config_finalize (config);
  return config;
}

START_TEST (test_longest_matching_prefix_selects_the_route)
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

START_TEST (test_split_matches_its_weights_in_every_20_requests)
{
  fq_config_t *config = new_config ();
  fq_route_t *route = &config->hosts[0].routes[0];

  for (int round = 0; round < 50; round++)
    {
      int right = 0;

      for (int i = 0; i < 20; i++)
        right += strcmp (fq_text_chars (fq_route_next_target (route)), "right") == 0;
      ck_assert_int_eq (right, 2);
    }
  fq_config_unref (config);
}
END_TEST

START_TEST (test_repeats_stay_within_their_budget)
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
      fq_repeat_budget_count_first (&budget, now);
      repeated[i] = fq_repeat_budget_spend (&budget, now, 0.2, 5);
      all += repeated[i];
      in_window += repeated[i] - (i >= WINDOW ? repeated[i - WINDOW] : 0);
      ck_assert_int_le (in_window, (i < WINDOW ? i + 1 : WINDOW) * 0.2 + 5);
    }
  ck_assert_int_ge (all, COUNT * 0.2 * 0.9);
  /* Repeats and first arrivals both leave the window. */
  now += 20 * SECOND;
  for (int i = 0; i < 5; i++)
    ck_assert (fq_repeat_budget_spend (&budget, now, 0.2, 5));
  ck_assert (!fq_repeat_budget_spend (&budget, now, 0.2, 5));
}
END_TEST

START_TEST (test_crash_counts_once_for_each_suspect)
{
  fq_crash_suspects_t suspects = { 0 };

  fq_crash_suspects_add (&suspects, 0, 5, 100, false);
  fq_crash_suspects_add (&suspects, 0, 5, 100, false);
  ck_assert_uint_eq (fq_crash_suspects_find (&suspects, 5)->count, 1);
  ck_assert (!fq_crash_suspects_is_isolated (&suspects, 5));
  fq_crash_suspects_add (&suspects, 0, 5, 101, false);
  ck_assert (fq_crash_suspects_is_isolated (&suspects, 5));
  fq_crash_suspects_add (&suspects, 0, 5, 102, false);
  fq_crash_suspects_add (&suspects, 0, 6, 102, false);
  ck_assert_uint_eq (fq_crash_suspects_find (&suspects, 5)->count, FQ_CRASHES_REFUSED);
  ck_assert (fq_crash_suspects_clear (&suspects, 6));
  ck_assert_ptr_null (fq_crash_suspects_find (&suspects, 6));
  ck_assert (!fq_crash_suspects_clear (&suspects, 6));
  /* Suspects expire. */
  fq_crash_suspects_add (&suspects, 700 * SECOND, 7, 103, false);
  ck_assert_ptr_null (fq_crash_suspects_find (&suspects, 5));
  fq_crash_suspects_free (&suspects);
}
END_TEST

/* A request that ran in many crashes, but in each beside another isolated one, may have
 * done nothing. */
START_TEST (test_suspect_is_refused_only_after_a_crash_alone)
{
  fq_crash_suspects_t suspects = { 0 };

  for (uint64_t crash = 1; crash <= 5; crash++)
    fq_crash_suspects_add (&suspects, 0, 5, crash, false);
  ck_assert (!fq_crash_suspects_is_refused (&suspects, 5));
  fq_crash_suspects_add (&suspects, 0, 5, 6, true);
  ck_assert (fq_crash_suspects_is_refused (&suspects, 5));
  fq_crash_suspects_add (&suspects, 0, 6, 1, true);
  fq_crash_suspects_add (&suspects, 0, 6, 2, true);
  ck_assert (!fq_crash_suspects_is_refused (&suspects, 6));
  fq_crash_suspects_free (&suspects);
}
END_TEST

START_TEST (test_crash_suspects_only_recent_losses)
{
  fq_recent_losses_t losses = { 0 };
  uint64_t lost[FQ_RECENT_LOSSES_MAX];
  bool alone;

  fq_recent_losses_add (&losses, 0, 1, true);
  fq_recent_losses_add (&losses, 10 * SECOND, 2, false);
  fq_recent_losses_add (&losses, 10 * SECOND, 3, false);
  fq_recent_losses_add (&losses, 10 * SECOND, 3, false);
  ck_assert_uint_eq (
      fq_recent_losses_take (&losses, 10 * SECOND + MS, 5 * SECOND, lost, &alone), 2);
  ck_assert (!alone);
  ck_assert_uint_eq (
      fq_recent_losses_take (&losses, 10 * SECOND + MS, 5 * SECOND, lost, &alone), 0);
  /* Losses from before the server was still seen to run. */
  fq_recent_losses_add (&losses, 20 * SECOND, 4, false);
  fq_recent_losses_add (&losses, 21 * SECOND, 5, false);
  fq_recent_losses_forget (&losses, 20 * SECOND + MS);
  ck_assert_uint_eq (losses.count, 1);
  ck_assert_uint_eq (
      fq_recent_losses_take (&losses, 21 * SECOND, 5 * SECOND, lost, &alone), 1);
  ck_assert_uint_eq (lost[0], 5);
}
END_TEST

START_TEST (test_one_isolated_loss_comes_first)
{
  /* Fingerprints in the order of their losses; an isolated one is negative. */
  static const struct
  {
    int lost[4];
    size_t count;
    uint64_t first;
    bool alone;
  } cases[] = {
    { { 1, 2, 3, 4 }, 4, 1, false },   { { 1, 2, -3, 4 }, 4, 3, true },
    { { 1, 3, -3, 3 }, 2, 3, true },   { { -3, 1, 2, -3 }, 3, 3, true },
    { { -3, 1, -2, 1 }, 3, 3, false }, { { -1, -1, -1, -1 }, 1, 1, true },
  };
  fq_recent_losses_t losses = { 0 };
  uint64_t lost[FQ_RECENT_LOSSES_MAX];
  bool alone;

  for (size_t i = 0; i < 4; i++)
    fq_recent_losses_add (&losses, SECOND, (uint64_t)abs (cases[_i].lost[i]),
                          cases[_i].lost[i] < 0);
  ck_assert_uint_eq (fq_recent_losses_take (&losses, SECOND, SECOND, lost, &alone),
                     cases[_i].count);
  ck_assert_uint_eq (lost[0], cases[_i].first);
  ck_assert_int_eq (alone, cases[_i].alone);
}
END_TEST

START_TEST (test_queue_starts_by_rank_with_a_share_for_new_requests)
{
  /* Ranks in order of arrival, and the indices in the order in which they start: first
   * the minimum share of new requests, then internal calls, then new requests by
   * priority. */
  static const uint32_t ranks[] = { 6, 4, 1, 0, 1 };
  static const size_t order[] = { 1, 3, 2, 4, 0 };
  fq_gate_queue_entry_t entries[5] = { 0 };
  fq_gate_queue_t gate_queue;

  fq_gate_queue_init (&gate_queue);
  gate_queue.limit = 10;
  for (size_t i = 0; i < 5; i++)
    {
      entries[i].rank = ranks[i];
      entries[i].route = 1;
      fq_gate_queue_push (&gate_queue, &entries[i]);
    }
  for (size_t i = 0; i < 5; i++)
    {
      fq_gate_queue_entry_t *next = fq_gate_queue_next (&gate_queue);

      ck_assert_ptr_eq (next, &entries[order[i]]);
      fq_gate_queue_remove (&gate_queue, next);
      fq_gate_queue_run_started (&gate_queue, next);
    }
  ck_assert_ptr_null (fq_gate_queue_next (&gate_queue));
  fq_gate_queue_clear (&gate_queue);
}
END_TEST

START_TEST (test_expected_wait_counts_requests_queued_ahead)
{
  fq_gate_queue_t gate_queue;
  fq_gate_queue_entry_t running[4] = { 0 };
  fq_gate_queue_entry_t queued[8] = { 0 };

  fq_gate_queue_init (&gate_queue);
  gate_queue.limit = 4;
  for (size_t i = 0; i < 4; i++)
    {
      running[i].rank = 5;
      fq_gate_queue_run_started (&gate_queue, &running[i]);
    }
  for (size_t i = 0; i < 8; i++)
    {
      queued[i].rank = 5;
      fq_gate_queue_push (&gate_queue, &queued[i]);
    }
  /* Eight requests of 100 ms in four slots, after the first of four half-done runs. */
  ck_assert_int_ge (fq_gate_queue_expected_wait (&gate_queue, 5), 200 * MS);
  ck_assert_int_le (fq_gate_queue_expected_wait (&gate_queue, 5), 250 * MS);
  /* An internal call waits for none of the queued ones. */
  ck_assert_int_le (fq_gate_queue_expected_wait (&gate_queue, 0), 50 * MS);
  fq_gate_queue_clear (&gate_queue);
}
END_TEST

/* Long new requests and short internal calls overload a gate of 20 slots. Returns the
 * longest wait of an internal call in ms, over the second half of the simulation. */
static int
longest_internal_call_wait_ms (void)
{
  enum
  {
    CALLS_MAX = 8192,
    LONG_MS = 600,
    SHORT_MS = 40,
    ALL_MS = 8000
  };
  static fq_gate_queue_entry_t entries[CALLS_MAX];
  static fq_time_t arrived[CALLS_MAX]; /* arrival, ms */
  static fq_time_t ends[CALLS_MAX];    /* ms; 0: not started, -1: ended */
  fq_gate_queue_t gate_queue;
  fq_gate_queue_entry_t *next;
  size_t count = 0;
  fq_time_t longest = 0;

  memset (entries, 0, sizeof entries);
  memset (ends, 0, sizeof ends);
  fq_gate_queue_init (&gate_queue);
  gate_queue.limit = 20;
  for (int ms = 0; ms < ALL_MS; ms++)
    {
      for (size_t i = 0; i < count; i++)
        {
          if (ends[i] != ms || ends[i] == 0)
            continue;
          ends[i] = -1;
          fq_gate_queue_run_ended (&gate_queue, &entries[i],
                                   (entries[i].rank == 0 ? SHORT_MS : LONG_MS) * MS);
        }
      /* Eight internal calls arrive together each 50 ms, and a new request each 10 ms:
       * the new requests alone would fill 60 slots. */
      for (int i = 0; i < 9; i++)
        {
          if (i < 8 ? ms % 50 != 0 : ms % 10 != 1)
            continue;
          entries[count].rank = i < 8 ? 0 : 6;
          entries[count].route = entries[count].rank + 1;
          arrived[count] = ms;
          fq_gate_queue_push (&gate_queue, &entries[count++]);
        }
      while ((next = fq_gate_queue_next (&gate_queue)) != NULL)
        {
          size_t i = (size_t)(next - entries);

          fq_gate_queue_remove (&gate_queue, next);
          fq_gate_queue_run_started (&gate_queue, next);
          ends[i] = ms + (next->rank == 0 ? SHORT_MS : LONG_MS);
          if (next->rank == 0 && ms > ALL_MS / 2 && ms - arrived[i] > longest)
            longest = ms - arrived[i];
        }
    }
  fq_gate_queue_clear (&gate_queue);
  return (int)longest;
}

/* Chains of five consecutive calls of 30 ms arrive at a gate of 10 slots, twice as many
 * as it can serve. A chain completes if all its calls end within 400 ms. Returns the
 * number of completed chains, as a share of those that the gate could serve. */
static double
completed_chain_share (bool shed_by_chain)
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
  static fq_gate_queue_entry_t entries[CHAINS];
  static int
      calls_left[CHAINS]; /* calls to be made; -1: the chain was refused or too late */
  static int arrived[CHAINS];
  static int ends[CHAINS]; /* of the call that runs; 0: none runs */
  fq_chain_shed_t shed = { 0 };
  fq_random_t random = { 3 };
  fq_gate_queue_t gate_queue;
  fq_gate_queue_entry_t *next;
  size_t count = 0;
  size_t completed = 0;
  int all_ms = CHAINS * EACH_MS;

  memset (entries, 0, sizeof entries);
  memset (ends, 0, sizeof ends);
  fq_gate_queue_init (&gate_queue);
  gate_queue.limit = SLOTS;
  for (int ms = 1; ms < all_ms; ms++)
    {
      size_t first = count > 200 ? count - 200 : 0;
      bool arrives = ms % EACH_MS == 0 && count < CHAINS;

      if (arrives)
        {
          calls_left[count] = CALLS;
          arrived[count++] = ms;
        }
      for (size_t i = first; i < count; i++)
        {
          bool calls = arrives && i == count - 1;

          if (ends[i] == ms)
            {
              fq_gate_queue_run_ended (&gate_queue, &entries[i], RUN_MS * MS);
              ends[i] = 0;
              calls_left[i]--;
              completed += calls_left[i] == 0;
              calls = calls_left[i] > 0;
            }
          if (!calls)
            continue;
          if (ms - arrived[i] > LIMIT_MS - RUN_MS
              || (shed_by_chain
                  && !fq_chain_shed_admits (
                      &shed, ms * MS, (i * 0x9E3779B97F4A7C15ULL) | 1,
                      fq_gate_queue_expected_wait (&gate_queue, 0), RUN_MS * MS)))
            {
              calls_left[i] = -1;
              continue;
            }
          entries[i].rank = 0;
          entries[i].route = 1;
          fq_gate_queue_push (&gate_queue, &entries[i]);
        }
      while ((next = fq_gate_queue_next (&gate_queue)) != NULL)
        {
          size_t i = (size_t)(next - entries);

          fq_gate_queue_remove (&gate_queue, next);
          if (ms - arrived[i] > LIMIT_MS - RUN_MS)
            {
              calls_left[i] = -1;
              continue;
            }
          fq_gate_queue_run_started (&gate_queue, next);
          ends[i] = ms + RUN_MS + (int)fq_random_below (&random, 2);
        }
    }
  fq_gate_queue_clear (&gate_queue);
  return (double)completed / (all_ms / 15.0);
}

START_TEST (test_shedding_by_chain_completes_more_chains)
{
  double unshed = completed_chain_share (false);
  double shed_by_chain = completed_chain_share (true);

  ck_assert_msg (shed_by_chain >= 0.85,
                 "completed share: %.3f with shedding, %.3f without", shed_by_chain,
                 unshed);
  ck_assert_msg (shed_by_chain >= 1.3 * unshed,
                 "completed share: %.3f with shedding, %.3f without", shed_by_chain,
                 unshed);
}
END_TEST

START_TEST (test_internal_calls_wait_briefly_beside_long_requests)
{
  /* A chain makes five such calls in a row, and has about 300 ms for all of them. */
  ck_assert_int_le (longest_internal_call_wait_ms (), 60);
}
END_TEST

/* A downstream service serves @capacity concurrent runs; the share of runs beyond it
 * starves. Each run takes 250 ms, and up to @wanted run at once as far as the limit
 * allows. Returns the share of runs that starved after the first 20 of 60 seconds, and
 * the mean number of concurrent runs in that time. */
static double
starved_share (double capacity, uint32_t wanted, double *mean_running)
{
  enum
  {
    RUN_MS = 250,
    ALL_MS = 60000,
    RUNS_MAX = 100
  };
  fq_time_t starts[RUNS_MAX]; /* of the current runs, the oldest first */
  uint32_t running = 0;
  fq_backpressure_t backpressure = { 0 };
  fq_random_t random = { 11 };
  double starved = 0;
  double ended = 0;
  double sum = 0;

  for (int ms = 0; ms < ALL_MS; ms++)
    {
      fq_time_t now = (fq_time_t)ms * MS;
      uint32_t limit = fq_backpressure_limit (&backpressure);

      while (running > 0 && starts[0] + RUN_MS * MS <= now)
        {
          bool is_starved
              = running > capacity && fq_random_unit (&random) > capacity / running;

          fq_backpressure_run_ended (&backpressure, now, starts[0], is_starved);
          starved += is_starved && ms > ALL_MS / 3;
          ended += ms > ALL_MS / 3;
          memmove (starts, starts + 1, --running * sizeof *starts);
        }
      /* At most one starts each 2 ms, so that their starts don't synchronise. */
      if (ms % 2 == 0 && running < limit && running < wanted)
        {
          starts[running++] = now;
          fq_backpressure_run_started (&backpressure, running);
        }
      sum += ms > ALL_MS / 3 ? running : 0;
    }
  *mean_running = sum / (ALL_MS - ALL_MS / 3.0);
  return starved / ended;
}

START_TEST (test_backpressure_limit_converges_to_downstream_capacity)
{
  double mean_running;

  /* Without a limit, starting three times the capacity wastes all the work. */
  ck_assert_double_le (starved_share (20, 60, &mean_running), 0.15);
  ck_assert_double_ge (mean_running, 20 * 0.85);
}
END_TEST

START_TEST (test_backpressure_sets_no_limit_without_starvation)
{
  double mean_running;

  ck_assert_double_eq (starved_share (20, 15, &mean_running), 0);
  ck_assert_double_ge (mean_running, 15 * 0.98);
}
END_TEST

/* Guards against a priority so low that its rank was the highest. */
START_TEST (test_lowest_priority_has_the_last_rank)
{
  ck_assert_uint_eq (fq_rank_of_new_request (0), FQ_INTERNAL_RANKS);
  ck_assert_uint_eq (fq_rank_of_new_request (1000000), FQ_RANKS - 1);
  ck_assert_uint_eq (fq_rank_of_new_request (UINT32_MAX), FQ_RANKS - 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("parts");
  TCase *tcase = tcase_create ("parts");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_test (tcase, test_lowest_priority_has_the_last_rank);
  tcase_add_test (tcase, test_timers_fire_in_order);
  tcase_add_test (tcase, test_longest_matching_prefix_selects_the_route);
  tcase_add_test (tcase, test_split_matches_its_weights_in_every_20_requests);
  tcase_add_test (tcase, test_repeats_stay_within_their_budget);
  tcase_add_test (tcase, test_crash_counts_once_for_each_suspect);
  tcase_add_test (tcase, test_suspect_is_refused_only_after_a_crash_alone);
  tcase_add_test (tcase, test_crash_suspects_only_recent_losses);
  tcase_add_loop_test (tcase, test_one_isolated_loss_comes_first, 0, 6);
  tcase_add_test (tcase, test_queue_starts_by_rank_with_a_share_for_new_requests);
  tcase_add_test (tcase, test_expected_wait_counts_requests_queued_ahead);
  tcase_add_test (tcase, test_internal_calls_wait_briefly_beside_long_requests);
  tcase_add_test (tcase, test_shedding_by_chain_completes_more_chains);
  tcase_add_test (tcase, test_backpressure_limit_converges_to_downstream_capacity);
  tcase_add_test (tcase, test_backpressure_sets_no_limit_without_starvation);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
