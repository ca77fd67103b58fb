/**
 * DOC: Every order of a few events around one key: two gates, lost and late answers.
 *
 * Each path is a list of choices. The next path changes the last choice that has another
 * way left, until none is left. Two broken variants have to be caught. FQ_TEST_DEPTH
 * changes how many choices a path has.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once.h"
#include "fake_store.h"

#define MS FQ_MICROSECONDS_PER_MS
#define GATES 2
#define CLAIMS 3
#define OPS_MAX 16
#define DEPTH_MAX 16
#define DEPTH_REAL 7 /* choices in a path; then the first way is taken */
#define DEPTH_BROKEN 5
#define FAULTS_MAX 2
#define ACTIONS_MAX 64
#define STEP (25 * MS)
#define END (6000 * MS)

typedef enum
{
  VARIANT_REAL,
  VARIANT_TRUSTS_LOSS, /* a lost answer to a write is taken for a success */
  VARIANT_LEASE,       /* a claim is removed by time while its holder stands still */
} variant_t;

typedef enum
{
  OP_ANSWERED,
  OP_LOST_AFTER,
  OP_LOST_BEFORE,
  OP_LOST_AND_LATE,
  OP_LANDS, /* a late effect happens now */
  RUN_SENT,
  RUN_NOT_RUN,
  RUN_FINISHED,
  LEASE_ENDS,
} kind_t;

typedef struct
{
  kind_t kind;
  size_t index;
} action_t;

typedef struct
{
  fq_store_op_t *op; /* NULL: unused */
  size_t gate;
  bool late;
} asked_t;

typedef enum
{
  IDLE,
  GRANTED,
  SENT,
  ENDED,
} run_t;

static variant_t variant;
static unsigned int path[DEPTH_MAX];
static unsigned int ways[DEPTH_MAX];
static size_t depth;
static size_t depth_limit;
static fq_once_t *gates[GATES];
static fake_store_t store;
static asked_t asked[OPS_MAX];
static run_t runs[CLAIMS];
static unsigned int sent;
static unsigned int faults;
static bool lease_ended;
static fq_time_t now;

/* The first claim at each gate, and a repeat at the first. */
static const size_t gate_of[CLAIMS] = { 0, 1, 0 };

static void
carry_out (size_t gate, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      size_t free_place = 0;

      if (effects->items[i].kind != FQ_EFFECT_STORE)
        continue;
      while (asked[free_place].op != NULL)
        ck_assert_uint_lt (++free_place, OPS_MAX);
      asked[free_place] = (asked_t){ .op = effects->items[i].store, .gate = gate };
      effects->items[i].store = NULL;
    }
  fq_effects_free (effects);
}

static void
take_verdicts (size_t gate)
{
  fq_once_verdict_t verdict;

  while (fq_once_take_verdict (gates[gate], &verdict))
    {
      runs[verdict.run - 1] = verdict.kind == FQ_ONCE_GRANTED ? GRANTED : ENDED;
      fq_blob_unref (verdict.answer.body);
    }
}

static void
tick (void)
{
  now += STEP;
  for (size_t gate = 0; gate < GATES; gate++)
    {
      fq_effects_t effects = { 0 };

      fq_once_tick (gates[gate], now, now / MS, &effects);
      carry_out (gate, &effects);
      take_verdicts (gate);
    }
}

static void
claim (size_t index)
{
  fq_effects_t effects = { 0 };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->member, "wrekin");
  strcpy (request->service, "wrekin/bulletins");
  strcpy (request->method, "POST");
  strcpy (request->path, "/release");
  strcpy (request->key, "k");
  fq_once_claim (gates[gate_of[index]], now, index + 1, request, now + END, &effects);
  fq_request_unref (request);
  carry_out (gate_of[index], &effects);
  take_verdicts (gate_of[index]);
}

static void
tell (asked_t *ask, bool lost)
{
  fq_store_answer_t answer = { 0 };
  fq_effects_t effects = { 0 };
  size_t gate = ask->gate;

  answer.status = FQ_STORE_UNAVAILABLE;
  answer.id = ask->op->id;
  if (!lost)
    fake_store_execute (&store, ask->op, &answer);
  else if (variant == VARIANT_TRUSTS_LOSS && ask->op->kind == FQ_STORE_COMMIT)
    answer.status = FQ_STORE_DONE;
  if (!ask->late)
    {
      fq_store_op_free (ask->op);
      ask->op = NULL;
    }
  fq_once_store_answered (gates[gate], now, &answer, &effects);
  fq_store_answer_clear (&answer);
  carry_out (gate, &effects);
  take_verdicts (gate);
}

static void
land (asked_t *ask)
{
  fq_store_answer_t ignored;

  fake_store_execute (&store, ask->op, &ignored);
  fq_store_answer_clear (&ignored);
}

static void
end_lease (void)
{
  lease_ended = true;
  for (size_t i = 0; i < store.count; i++)
    {
      if (strstr (store.rows[i].value, "\"claimed\"") != NULL)
        fake_remove (&store, store.rows[i].key);
    }
}

static void
finish (size_t index)
{
  fq_answer_t answer = { .outcome = FQ_OUTCOME_ANSWERED, .status = 201 };
  fq_effects_t effects = { 0 };

  runs[index] = ENDED;
  fq_once_finish (gates[gate_of[index]], now, index + 1, &answer, &effects);
  carry_out (gate_of[index], &effects);
}

static void
release (size_t index)
{
  fq_effects_t effects = { 0 };

  runs[index] = ENDED;
  fq_once_release (gates[gate_of[index]], now, index + 1, &effects);
  carry_out (gate_of[index], &effects);
}

static void
act (const action_t *action)
{
  asked_t *ask = &asked[action->index];

  switch (action->kind)
    {
    case OP_ANSWERED:
      tell (ask, false);
      break;
    case OP_LOST_AFTER:
      faults++;
      land (ask);
      tell (ask, true);
      break;
    case OP_LOST_BEFORE:
      faults++;
      tell (ask, true);
      break;
    case OP_LOST_AND_LATE:
      faults++;
      ask->late = true;
      tell (ask, true);
      break;
    case OP_LANDS:
      land (ask);
      fq_store_op_free (ask->op);
      *ask = (asked_t){ 0 };
      break;
    case RUN_SENT:
      runs[action->index] = SENT;
      sent++;
      break;
    case RUN_NOT_RUN:
      release (action->index);
      break;
    case RUN_FINISHED:
      finish (action->index);
      break;
    case LEASE_ENDS:
      end_lease ();
      break;
    }
}

static void
add (action_t *actions, size_t *count, kind_t kind, size_t index)
{
  ck_assert_uint_lt (*count, ACTIONS_MAX);
  actions[(*count)++] = (action_t){ .kind = kind, .index = index };
}

static size_t
list_actions (action_t *actions)
{
  size_t count = 0;

  for (size_t i = 0; i < OPS_MAX; i++)
    {
      if (asked[i].op == NULL)
        continue;
      if (asked[i].late)
        {
          add (actions, &count, OP_LANDS, i);
          continue;
        }
      add (actions, &count, OP_ANSWERED, i);
      if (faults >= FAULTS_MAX)
        continue;
      add (actions, &count, OP_LOST_AFTER, i);
      add (actions, &count, OP_LOST_BEFORE, i);
      if (asked[i].op->kind == FQ_STORE_COMMIT)
        add (actions, &count, OP_LOST_AND_LATE, i);
    }
  for (size_t i = 0; i < CLAIMS; i++)
    {
      if (runs[i] == GRANTED)
        {
          add (actions, &count, RUN_SENT, i);
          add (actions, &count, RUN_NOT_RUN, i);
        }
      else if (runs[i] == SENT)
        add (actions, &count, RUN_FINISHED, i);
    }
  if (variant == VARIANT_LEASE && !lease_ended)
    add (actions, &count, LEASE_ENDS, 0);
  return count;
}

static unsigned int
choose (size_t count)
{
  unsigned int choice;

  if (depth == depth_limit)
    return 0;
  choice = path[depth];
  ways[depth++] = (unsigned int)count;
  return choice;
}

static void
start_path (void)
{
  depth = 0;
  sent = 0;
  faults = 0;
  lease_ended = false;
  now = FQ_MICROSECONDS_PER_SECOND;
  memset (runs, 0, sizeof runs);
  for (size_t gate = 0; gate < GATES; gate++)
    {
      fq_once_options_t options = FQ_ONCE_OPTIONS_INIT;

      options.node = gate == 0 ? "n0" : "n1";
      options.incarnation = 1;
      options.seed = gate + 1;
      ck_assert_int_eq (fq_once_new (&gates[gate], &options), FQ_OK);
    }
}

static void
end_path (void)
{
  for (size_t gate = 0; gate < GATES; gate++)
    fq_once_free (gates[gate]);
  for (size_t i = 0; i < OPS_MAX; i++)
    {
      fq_store_op_free (asked[i].op);
      asked[i] = (asked_t){ 0 };
    }
  fake_store_clear (&store);
}

/* The repeat comes once the first claim at its gate has ended. */
static void
play_path (void)
{
  bool repeated = false;

  claim (0);
  claim (1);
  while (now < END && sent < 2)
    {
      action_t actions[ACTIONS_MAX];
      size_t count;

      tick ();
      if (!repeated && runs[0] == ENDED)
        {
          repeated = true;
          claim (2);
          tick ();
        }
      count = list_actions (actions);
      if (count > 0)
        act (&actions[choose (count)]);
      else if (repeated && runs[1] == ENDED && runs[2] == ENDED)
        break;
    }
}

static bool
next_path (void)
{
  while (depth > 0)
    {
      depth--;
      if (++path[depth] < ways[depth])
        return true;
      path[depth] = 0;
    }
  return false;
}

/* Paths on which the work ran twice. */
static uint64_t
explore (variant_t which, size_t limit)
{
  uint64_t paths = 0;
  uint64_t twice = 0;

  variant = which;
  depth_limit = limit;
  memset (path, 0, sizeof path);
  do
    {
      start_path ();
      play_path ();
      paths++;
      twice += sent > 1;
      end_path ();
    }
  while (next_path ());
  printf ("variant %d depth %zu: %llu paths, run twice on %llu\n", (int)which, limit,
          (unsigned long long)paths, (unsigned long long)twice);
  return twice;
}

START_TEST (test_no_order_runs_twice)
{
  const char *text = getenv ("FQ_TEST_DEPTH");
  size_t limit = text == NULL ? DEPTH_REAL : strtoull (text, NULL, 10);

  ck_assert_uint_le (limit, DEPTH_MAX);
  ck_assert_uint_eq (explore (VARIANT_REAL, limit), 0);
}
END_TEST

START_TEST (test_trusting_a_lost_answer_is_caught)
{
  ck_assert_uint_gt (explore (VARIANT_TRUSTS_LOSS, DEPTH_BROKEN), 0);
}
END_TEST

START_TEST (test_a_lease_is_caught)
{
  ck_assert_uint_gt (explore (VARIANT_LEASE, DEPTH_BROKEN), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once_explore");
  TCase *tcase = tcase_create ("orders");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 600);
  tcase_add_test (tcase, test_no_order_runs_twice);
  tcase_add_test (tcase, test_trusting_a_lost_answer_is_caught);
  tcase_add_test (tcase, test_a_lease_is_caught);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
