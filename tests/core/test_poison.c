/**
 * DOC: A poison request and healthy ones at the gates of one service.
 *
 * Guards against a poison request that crashes more than FQ_POISON_CRASHES_MAX upstreams,
 * and against healthy requests that are blocked because they ran concurrently with it.
 * Each request goes to the gates in turn until it is answered or blocked; requests that
 * were running in an upstream when it crashed are retried at the next gate.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/retries/poison.h"
#include "util/random.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define GATES 5
#define REQUESTS_MAX 64
#define POISON_FINGERPRINT 1
#define BATCH_MAX 8 /* requests that one gate runs concurrently */
#define ROUNDS_MAX 200

typedef struct
{
  const char *name;
  int others;            /* healthy requests */
  bool poison;           /* whether there is a poison request */
  bool same_fingerprint; /* all healthy requests have the same fingerprint */
  int unrelated_crashes; /* one per round, at the first gate */
  bool reset; /* in each round, each gate that runs two or more requests loses one
               * connection without a crash */
} scenario_t;

static const scenario_t cases[] = {
  { "alone", 0, true, false, 0, false },
  { "with 30 others", 30, true, false, 0, false },
  { "with 30 others of one fingerprint", 30, true, true, 0, false },
  { "one crash of no request", 30, false, false, 1, false },
  { "three crashes of no request", 30, false, false, 3, false },
  { "three crashes of no request, all of one fingerprint", 30, false, true, 3, false },
  { "with 30 others and lost connections", 30, true, false, 0, true },
  { "lost connections only", 30, false, false, 0, true },
};

typedef struct
{
  uint64_t fingerprint;
  int gate;
  bool running;
  bool finished; /* answered or blocked */
} request_t;

static struct
{
  fq_poison_t *gates[GATES];
  uint64_t upstream_crashes[GATES]; /* of each upstream so far, whatever the cause */
  request_t requests[REQUESTS_MAX];
  int count;
  int crashes; /* caused by the poison request */
  int answered;
  int blocked;
} cluster;

static uint64_t
seed (void)
{
  const char *text = getenv ("FQ_TEST_SEED");

  return text == NULL ? 1 : strtoull (text, NULL, 10);
}

/* Sends a suspicion or clearance to all gates, without delay. */
static void
broadcast (const fq_poison_entry_t *entry)
{
  for (int i = 0; i < GATES; i++)
    fq_poison_add (cluster.gates[i], 1, entry->fingerprint, entry->crash_id,
                   entry->ttl_seconds);
}

static void
crash_upstream (int gate)
{
  uint64_t upstream
      = ((uint64_t)(gate + 1) << 32) | (cluster.upstream_crashes[gate]++ << 1);
  fq_poison_entry_t suspicion;

  while (fq_poison_attribute_crash (cluster.gates[gate], 1, upstream, &suspicion))
    broadcast (&suspicion);
}

static int
start_batch (int gate)
{
  fq_poison_t *poison = cluster.gates[gate];
  int started = 0;

  for (int i = 0; i < cluster.count && started < BATCH_MAX; i++)
    {
      request_t *request = &cluster.requests[i];

      if (request->finished || request->gate != gate)
        continue;
      request->finished = fq_poison_is_blocked (poison, 1, request->fingerprint);
      cluster.blocked += request->finished;
      if (request->finished
          || !fq_poison_acquire_slot (poison, 1, request->fingerprint, i + 1))
        continue;
      request->running = true;
      started++;
    }
  return started;
}

static bool
is_poison_running (int gate)
{
  for (int i = 0; i < cluster.count; i++)
    {
      if (cluster.requests[i].running && cluster.requests[i].gate == gate
          && cluster.requests[i].fingerprint == POISON_FINGERPRINT)
        return true;
    }
  return false;
}

/* If the upstream @crashes, all its runs are lost; if @reset, only the first one is. */
static void
end_batch (int gate, bool crashes, bool reset)
{
  fq_poison_t *poison = cluster.gates[gate];
  fq_poison_entry_t cleared;

  for (int i = 0; i < cluster.count; i++)
    {
      request_t *request = &cluster.requests[i];

      if (!request->running || request->gate != gate)
        continue;
      if (crashes || reset)
        {
          fq_poison_record_loss (poison, 1, request->fingerprint, i + 1);
          request->gate = (gate + 1) % GATES;
        }
      else
        {
          fq_poison_clear_losses (poison);
          if (fq_poison_clear_suspect (poison, request->fingerprint, &cleared))
            broadcast (&cleared);
          request->finished = true;
          cluster.answered++;
        }
      reset = false;
      request->running = false;
      fq_poison_release_slot (poison, i + 1);
    }
  if (crashes)
    crash_upstream (gate);
}

static void
set_up_cluster (const scenario_t *scenario)
{
  fq_random_t random = { seed () };

  for (int i = 0; i < GATES; i++)
    ck_assert_int_eq (fq_poison_new (&cluster.gates[i]), FQ_OK);
  cluster.count = scenario->others + (scenario->poison ? 1 : 0);
  for (int i = 0; i < cluster.count; i++)
    cluster.requests[i].fingerprint = (uint64_t)(scenario->same_fingerprint ? 2 : i + 2);
  if (scenario->poison)
    cluster.requests[fq_random_below (&random, (uint64_t)cluster.count)].fingerprint
        = POISON_FINGERPRINT;
}

START_TEST (test_only_the_poison_request_is_blocked)
{
  const scenario_t *scenario = &cases[_i];

  set_up_cluster (scenario);
  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      for (int gate = 0; gate < GATES; gate++)
        {
          int started = start_batch (gate);
          bool poisoned = is_poison_running (gate);

          cluster.crashes += poisoned;
          end_batch (
              gate,
              poisoned
                  || (started > 0 && gate == 0 && round < scenario->unrelated_crashes),
              scenario->reset && started > 1);
        }
    }
  printf ("%s: %d upstreams lost, %d of %d others answered\n", scenario->name,
          cluster.crashes, cluster.answered, scenario->others);
  ck_assert_int_le (cluster.crashes, FQ_POISON_CRASHES_MAX);
  ck_assert_int_eq (cluster.answered, scenario->others);
  ck_assert_int_eq (cluster.blocked, scenario->poison ? 1 : 0);
  for (int i = 0; i < GATES; i++)
    fq_poison_free (cluster.gates[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("poison");
  TCase *tcase = tcase_create ("poison");
  SRunner *runner;
  int failed;

  printf ("seed %llu\n", (unsigned long long)seed ());
  tcase_add_loop_test (tcase, test_only_the_poison_request_is_blocked, 0, COUNT (cases));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
