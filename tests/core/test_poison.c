/**
 * DOC: Gates of one service, a request that crashes upstreams, and others beside it.
 *
 * Each request goes to the gates in turn until it is answered or blocked. What runs at a
 * gate together is sent to the next one when its upstream crashes.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/retries/poison.h"
#include "util/random.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define GATES 5
#define REQUESTS_MAX 64
#define POISON 1  /* fingerprint of the request that crashes upstreams */
#define AT_ONCE 8 /* requests that one gate runs together */
#define ROUNDS_MAX 200

typedef struct
{
  const char *name;
  int others;     /* requests that run beside it */
  bool poison;    /* the first request crashes its upstreams */
  bool alike;     /* all others have one fingerprint */
  int unprovoked; /* crashes that no request causes, one a round at the first gate */
  bool reset;     /* a lost connection of one request, without a crash, in each round */
} poison_case_t;

static const poison_case_t cases[] = {
  { "alone", 0, true, false, 0, false },
  { "with 30 others", 30, true, false, 0, false },
  { "with 30 others alike", 30, true, true, 0, false },
  { "one crash of no request", 30, false, false, 1, false },
  { "three crashes of no request", 30, false, false, 3, false },
  { "three crashes of no request, all alike", 30, false, true, 3, false },
  { "with 30 others and lost connections", 30, true, false, 0, true },
  { "lost connections only", 30, false, false, 0, true },
};

typedef struct
{
  uint64_t fingerprint;
  int gate;
  bool running;
  bool over;
} request_t;

static struct
{
  fq_poison_t *gates[GATES];
  uint64_t starts[GATES]; /* of the upstreams */
  request_t requests[REQUESTS_MAX];
  int count;
  int crashes; /* caused by the request */
  int answered;
  int blocked;
} world;

static uint64_t
seed (void)
{
  const char *text = getenv ("FQ_TEST_SEED");

  return text == NULL ? 1 : strtoull (text, NULL, 10);
}

/* All nodes of the service hear of it at once. */
static void
tell (const fq_poison_entry_t *entry)
{
  for (int i = 0; i < GATES; i++)
    fq_poison_add (world.gates[i], 1, entry->fingerprint, entry->crash,
                   entry->ttl_seconds);
}

static void
crash (int gate)
{
  uint64_t upstream = ((uint64_t)(gate + 1) << 32) | (world.starts[gate]++ << 1);
  fq_poison_entry_t suspicion;

  while (fq_poison_crashed (world.gates[gate], 1, upstream, &suspicion))
    tell (&suspicion);
}

static int
start_batch (int gate)
{
  fq_poison_t *poison = world.gates[gate];
  int started = 0;

  for (int i = 0; i < world.count && started < AT_ONCE; i++)
    {
      request_t *request = &world.requests[i];

      if (request->over || request->gate != gate)
        continue;
      request->over = fq_poison_is_blocked (poison, 1, request->fingerprint);
      world.blocked += request->over;
      if (request->over || !fq_poison_enter (poison, 1, request->fingerprint, i + 1))
        continue;
      request->running = true;
      started++;
    }
  return started;
}

static bool
runs_poison (int gate)
{
  for (int i = 0; i < world.count; i++)
    {
      if (world.requests[i].running && world.requests[i].gate == gate
          && world.requests[i].fingerprint == POISON)
        return true;
    }
  return false;
}

/* The first of @count runs is lost alone when @reset; all are when the upstream crashes.
 */
static void
end_batch (int gate, bool crashes, bool reset)
{
  fq_poison_t *poison = world.gates[gate];
  fq_poison_entry_t cleared;

  for (int i = 0; i < world.count; i++)
    {
      request_t *request = &world.requests[i];

      if (!request->running || request->gate != gate)
        continue;
      if (crashes || reset)
        {
          fq_poison_lost (poison, 1, request->fingerprint, i + 1);
          request->gate = (gate + 1) % GATES;
        }
      else
        {
          fq_poison_alive (poison);
          if (fq_poison_answered (poison, request->fingerprint, &cleared))
            tell (&cleared);
          request->over = true;
          world.answered++;
        }
      reset = false;
      request->running = false;
      fq_poison_leave (poison, i + 1);
    }
  if (crashes)
    crash (gate);
}

static void
set_up_world (const poison_case_t *one)
{
  fq_random_t random = { seed () };

  for (int i = 0; i < GATES; i++)
    ck_assert_int_eq (fq_poison_new (&world.gates[i]), FQ_OK);
  world.count = one->others + (one->poison ? 1 : 0);
  for (int i = 0; i < world.count; i++)
    world.requests[i].fingerprint = (uint64_t)(one->alike ? 2 : i + 2);
  if (one->poison)
    world.requests[fq_random_below (&random, (uint64_t)world.count)].fingerprint = POISON;
}

START_TEST (test_poison)
{
  const poison_case_t *one = &cases[_i];

  set_up_world (one);
  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      for (int gate = 0; gate < GATES; gate++)
        {
          int started = start_batch (gate);
          bool poisoned = runs_poison (gate);

          world.crashes += poisoned;
          end_batch (gate,
                     poisoned || (started > 0 && gate == 0 && round < one->unprovoked),
                     one->reset && started > 1);
        }
    }
  printf ("%s: %d upstreams lost, %d of %d others answered\n", one->name, world.crashes,
          world.answered, one->others);
  ck_assert_int_le (world.crashes, FQ_POISON_CRASHES);
  ck_assert_int_eq (world.answered, one->others);
  ck_assert_int_eq (world.blocked, one->poison ? 1 : 0);
  for (int i = 0; i < GATES; i++)
    fq_poison_free (world.gates[i]);
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
  tcase_add_loop_test (tcase, test_poison, 0, COUNT (cases));
  suite_add_tcase (suite, tcase);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
