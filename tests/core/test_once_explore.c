/**
 * DOC: Exhaustive exploration of the order of events for one key.
 *
 * Two gates claim the key, and store operations may lose their answers or take effect
 * late. A path is a sequence of choices between the events that are possible; depth-first
 * search goes through all paths of up to FQ_TEST_DEPTH choices. On no path may the
 * request be executed twice. Two broken variants show that the search finds such paths.
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
#define DEPTH_CORRECT 7 /* choices in a path; then the first event is chosen */
#define DEPTH_BROKEN 5
#define FAULTS_MAX 2
#define ACTIONS_MAX 64
#define STEP_LENGTH (25 * MS)
#define CLAIM_TIMEOUT (6000 * MS)

typedef enum
{
  VARIANT_CORRECT,
  VARIANT_LOSS_AS_SUCCESS, /* a lost answer to a write is taken for success */
  VARIANT_CLAIM_EXPIRES,   /* a claim expires while its holder may still run */
} variant_t;

typedef enum
{
  OP_ANSWERED,
  OP_LOST_AFTER_APPLYING,
  OP_LOST_NOT_APPLIED,
  OP_LOST_APPLIED_LATE, /* the answer is lost; OP_APPLIED_LATE follows */
  OP_APPLIED_LATE,
  RUN_SENT,
  RUN_NOT_RUN,
  RUN_FINISHED,
  CLAIM_EXPIRES,
} action_kind_t;

typedef struct
{
  action_kind_t kind;
  size_t index;
} action_t;

typedef struct
{
  fq_store_op_t *op; /* NULL: unused */
  size_t gate;
  bool late; /* the answer was lost, the effect is still to come */
} pending_op_t;

typedef enum
{
  IDLE,
  GRANTED,
  SENT,
  ENDED,
} run_state_t;

static variant_t variant;
static unsigned int path[DEPTH_MAX];
static unsigned int choice_counts[DEPTH_MAX];
static size_t depth;
static size_t depth_limit;
static fq_once_t *gates[GATES];
static fake_store_t store;
static pending_op_t pending_ops[OPS_MAX];
static run_state_t runs[CLAIMS];
static unsigned int sent_count;
static unsigned int error_count;
static bool claim_expired;
static fq_time_t now;

/* The gate of each claim: one at each gate, and a repeat at the first. */
static const size_t gate_of[CLAIMS] = { 0, 1, 0 };

static void
add_pending_ops (size_t gate, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      size_t index = 0;

      if (effects->items[i].kind != FQ_EFFECT_STORE)
        continue;
      while (pending_ops[index].op != NULL)
        ck_assert_uint_lt (++index, OPS_MAX);
      pending_ops[index] = (pending_op_t){ .op = effects->items[i].store, .gate = gate };
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
advance (void)
{
  now += STEP_LENGTH;
  for (size_t gate = 0; gate < GATES; gate++)
    {
      fq_effects_t effects = { 0 };

      fq_once_tick (gates[gate], now, now / MS, &effects);
      add_pending_ops (gate, &effects);
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
  fq_once_claim (gates[gate_of[index]], now, index + 1, request, now + CLAIM_TIMEOUT,
                 &effects);
  fq_request_unref (request);
  add_pending_ops (gate_of[index], &effects);
  take_verdicts (gate_of[index]);
}

static void
deliver_answer (pending_op_t *pending, bool answer_lost)
{
  fq_store_answer_t answer = { 0 };
  fq_effects_t effects = { 0 };
  size_t gate = pending->gate;

  answer.status = FQ_STORE_UNAVAILABLE;
  answer.id = pending->op->id;
  if (!answer_lost)
    fake_store_execute (&store, pending->op, &answer);
  else if (variant == VARIANT_LOSS_AS_SUCCESS && pending->op->kind == FQ_STORE_COMMIT)
    answer.status = FQ_STORE_DONE;
  if (!pending->late)
    {
      fq_store_op_free (pending->op);
      pending->op = NULL;
    }
  fq_once_handle_store_answer (gates[gate], now, &answer, &effects);
  fq_store_answer_clear (&answer);
  add_pending_ops (gate, &effects);
  take_verdicts (gate);
}

static void
apply_op (pending_op_t *pending)
{
  fq_store_answer_t ignored;

  fake_store_execute (&store, pending->op, &ignored);
  fq_store_answer_clear (&ignored);
}

static void
expire_claims (void)
{
  claim_expired = true;
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
  add_pending_ops (gate_of[index], &effects);
}

static void
release (size_t index)
{
  fq_effects_t effects = { 0 };

  runs[index] = ENDED;
  fq_once_release (gates[gate_of[index]], now, index + 1, &effects);
  add_pending_ops (gate_of[index], &effects);
}

static void
execute_action (const action_t *action)
{
  pending_op_t *pending = &pending_ops[action->index];

  switch (action->kind)
    {
    case OP_ANSWERED:
      deliver_answer (pending, false);
      break;
    case OP_LOST_AFTER_APPLYING:
      error_count++;
      apply_op (pending);
      deliver_answer (pending, true);
      break;
    case OP_LOST_NOT_APPLIED:
      error_count++;
      deliver_answer (pending, true);
      break;
    case OP_LOST_APPLIED_LATE:
      error_count++;
      pending->late = true;
      deliver_answer (pending, true);
      break;
    case OP_APPLIED_LATE:
      apply_op (pending);
      fq_store_op_free (pending->op);
      *pending = (pending_op_t){ 0 };
      break;
    case RUN_SENT:
      runs[action->index] = SENT;
      sent_count++;
      break;
    case RUN_NOT_RUN:
      release (action->index);
      break;
    case RUN_FINISHED:
      finish (action->index);
      break;
    case CLAIM_EXPIRES:
      expire_claims ();
      break;
    }
}

static void
add_action (action_t *actions, size_t *count, action_kind_t kind, size_t index)
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
      if (pending_ops[i].op == NULL)
        continue;
      if (pending_ops[i].late)
        {
          add_action (actions, &count, OP_APPLIED_LATE, i);
          continue;
        }
      add_action (actions, &count, OP_ANSWERED, i);
      if (error_count >= FAULTS_MAX)
        continue;
      add_action (actions, &count, OP_LOST_AFTER_APPLYING, i);
      add_action (actions, &count, OP_LOST_NOT_APPLIED, i);
      if (pending_ops[i].op->kind == FQ_STORE_COMMIT)
        add_action (actions, &count, OP_LOST_APPLIED_LATE, i);
    }
  for (size_t i = 0; i < CLAIMS; i++)
    {
      if (runs[i] == GRANTED)
        {
          add_action (actions, &count, RUN_SENT, i);
          add_action (actions, &count, RUN_NOT_RUN, i);
        }
      else if (runs[i] == SENT)
        add_action (actions, &count, RUN_FINISHED, i);
    }
  if (variant == VARIANT_CLAIM_EXPIRES && !claim_expired)
    add_action (actions, &count, CLAIM_EXPIRES, 0);
  return count;
}

static unsigned int
choose (size_t count)
{
  unsigned int choice;

  if (depth == depth_limit)
    return 0;
  choice = path[depth];
  choice_counts[depth++] = (unsigned int)count;
  return choice;
}

static void
start_path (void)
{
  depth = 0;
  sent_count = 0;
  error_count = 0;
  claim_expired = false;
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
      fq_store_op_free (pending_ops[i].op);
      pending_ops[i] = (pending_op_t){ 0 };
    }
  fake_store_clear (&store);
}

/* The repeat is claimed after the first claim at its gate has ended. */
static void
run_path (void)
{
  bool repeated = false;

  claim (0);
  claim (1);
  while (now < CLAIM_TIMEOUT && sent_count < 2)
    {
      action_t actions[ACTIONS_MAX];
      size_t count;

      advance ();
      if (!repeated && runs[0] == ENDED)
        {
          repeated = true;
          claim (2);
          advance ();
        }
      count = list_actions (actions);
      if (count > 0)
        execute_action (&actions[choose (count)]);
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
      if (++path[depth] < choice_counts[depth])
        return true;
      path[depth] = 0;
    }
  return false;
}

/* Returns the number of paths on which the request was executed twice. */
static uint64_t
explore (variant_t which, size_t limit)
{
  uint64_t paths = 0;
  uint64_t executed_twice = 0;

  variant = which;
  depth_limit = limit;
  memset (path, 0, sizeof path);
  do
    {
      start_path ();
      run_path ();
      paths++;
      executed_twice += sent_count > 1;
      end_path ();
    }
  while (next_path ());
  printf ("variant %d depth %zu: %llu paths, executed twice on %llu\n", (int)which, limit,
          (unsigned long long)paths, (unsigned long long)executed_twice);
  return executed_twice;
}

START_TEST (test_no_event_order_executes_a_request_twice)
{
  const char *text = getenv ("FQ_TEST_DEPTH");
  size_t limit = text == NULL ? DEPTH_CORRECT : strtoull (text, NULL, 10);

  ck_assert_uint_le (limit, DEPTH_MAX);
  ck_assert_uint_eq (explore (VARIANT_CORRECT, limit), 0);
}
END_TEST

START_TEST (test_detects_a_lost_answer_taken_for_success)
{
  ck_assert_uint_gt (explore (VARIANT_LOSS_AS_SUCCESS, DEPTH_BROKEN), 0);
}
END_TEST

START_TEST (test_detects_a_claim_that_expires_while_held)
{
  ck_assert_uint_gt (explore (VARIANT_CLAIM_EXPIRES, DEPTH_BROKEN), 0);
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
  tcase_add_test (tcase, test_no_event_order_executes_a_request_twice);
  tcase_add_test (tcase, test_detects_a_lost_answer_taken_for_success);
  tcase_add_test (tcase, test_detects_a_claim_that_expires_while_held);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
