/**
 * DOC: At-most-once execution under random faults of the store, gates and upstreams.
 *
 * Several gates claim the same keys repeatedly in virtual time, with one kind of fault
 * for each test. No key may be sent to the upstream twice, each claim gets one verdict,
 * and afterwards repeats get the outcome of the run. FQ_TEST_SEED sets the first seed,
 * FQ_TEST_CASES the number of cases for each kind of fault.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/once/once.h"
#include "fake_store.h"
#include "filbertquay/errors.h"
#include "util/random.h"

#define MS FQ_MICROSECONDS_PER_MS
#define GATES 3
#define KEYS 2
#define RUNS_MAX 1024
#define OPS_MAX 512
#define STORE_TIMEOUT (1000 * MS)
#define DEFAULT_CASES 2500
#define LARGE_BODY 9000
#define RECOVERY_TIMEOUT (8000 * MS) /* for gates to retry the writes that failed */

/* Probabilities in percent: of store operations unless the field says otherwise. */
typedef struct
{
  const char *name;
  unsigned lost_before; /* no effect and no answer */
  unsigned lost_after;  /* the operation takes effect, the answer is lost */
  unsigned late;        /* no answer; the effect comes after STORE_TIMEOUT */
  unsigned busy;
  unsigned slow;
  unsigned pause;   /* of grants: the gate pauses before it sends the run */
  unsigned restart; /* before a claim: a random gate is restarted without its state */
  unsigned not_run; /* of grants: the run is released instead of sent */
  unsigned unknown; /* of runs: they end without a complete answer */
  unsigned other_request; /* of claims: for another request with the same key */
  unsigned cancel;        /* of steps of a waiting claim, divided by 10 */
  fq_time_t down_from;
  fq_time_t down_until;
  unsigned cases_percent; /* of the number of cases */
} fault_t;

static const fault_t faults[] = {
  { "none", .cases_percent = 100 },
  { "answer lost before the effect", .lost_before = 30, .cases_percent = 100 },
  { "answer lost after the effect", .lost_after = 30, .cases_percent = 100 },
  { "effect after the store timeout", .late = 30, .cases_percent = 100 },
  { "busy", .busy = 40, .cases_percent = 100 },
  { "slow", .slow = 60, .cases_percent = 100 },
  { "down for a while", .down_from = 1100 * MS, .down_until = 4000 * MS,
    .cases_percent = 100 },
  { "down for ten minutes", .down_from = 1100 * MS, .down_until = 600000 * MS,
    .cases_percent = 5 },
  { "pause between grant and send", .pause = 50, .lost_after = 10, .cases_percent = 100 },
  { "gates restarted at any step", .restart = 40, .cases_percent = 100 },
  { "runs that are not executed", .not_run = 50, .lost_after = 10, .cases_percent = 100 },
  { "upstream lost after sending", .unknown = 50, .cases_percent = 100 },
  { "keys used for two requests", .other_request = 40, .not_run = 20,
    .cases_percent = 100 },
  { "all faults together", .lost_before = 8, .lost_after = 8, .late = 8, .busy = 8,
    .slow = 20, .pause = 20, .restart = 15, .not_run = 20, .unknown = 10,
    .other_request = 15, .cancel = 15, .cases_percent = 100 },
};

typedef struct
{
  fq_store_op_t *op; /* NULL: unused */
  size_t gate;
  unsigned incarnation;
  fq_time_t effect_at; /* 0: no effect, or it has happened */
  fq_time_t answer_at; /* 0: answered, or the gate was restarted */
  bool answer_lost;
  fq_store_answer_t answer;
} pending_op_t;

typedef enum
{
  RUN_WAITING,
  RUN_GRANTED,
  RUN_SENT,
  RUN_ENDED,
} run_state_t;

typedef struct
{
  run_state_t state;
  size_t gate;
  unsigned incarnation;
  size_t key;
  unsigned variant;  /* part of the request's path */
  fq_time_t next_at; /* when the run is sent or ends */
  unsigned verdicts;
  fq_once_verdict_kind_t kind;
  bool cancelled;
} run_t;

typedef struct
{
  unsigned sent_count;
  unsigned variant; /* of the run that was sent */
  bool finished;
  fq_answer_t answer;
  bool replayed;
} key_model_t;

static const fault_t *fault;
static uint64_t seed;
static fq_random_t rng;
static fq_time_t now;
static fq_once_t *gates[GATES];
static unsigned incarnations[GATES];
static fq_time_t paused_until[GATES];
static pending_op_t pending_ops[OPS_MAX];
static size_t pending_ops_end; /* entries from here on are unused */
static fake_store_t store;
static run_t runs[RUNS_MAX];
static size_t run_count;
static key_model_t keys[KEYS];
static bool any_gate_restarted;
static bool faults_disabled;
static uint64_t total_sent;
static uint64_t total_replays;
static uint64_t total_kinds[FQ_ONCE_UNAVAILABLE + 1];

static bool
chance (unsigned percent)
{
  return !faults_disabled && fq_random_below (&rng, 100) < percent;
}

static fq_time_t
random_between (fq_time_t low, fq_time_t high)
{
  return low + (fq_time_t)fq_random_below (&rng, (uint64_t)(high - low));
}

/* The simulated store */

static void
apply_op (pending_op_t *pending)
{
  fake_store_execute (&store, pending->op, &pending->answer);
}

static void
free_pending_op (pending_op_t *pending)
{
  fq_store_answer_clear (&pending->answer);
  fq_store_op_free (pending->op);
  *pending = (pending_op_t){ 0 };
}

static void
schedule_op (pending_op_t *pending)
{
  fq_time_t slow = chance (fault->slow) ? random_between (MS, 900 * MS)
                                        : random_between (MS / 2, 3 * MS);
  bool down = now >= fault->down_from && now < fault->down_until;

  pending->effect_at = now + slow;
  pending->answer_at = pending->effect_at + random_between (1, 2 * MS);
  if (down || chance (fault->lost_before))
    pending->effect_at = 0;
  else if (chance (fault->busy))
    {
      pending->effect_at = 0;
      pending->answer.status = FQ_STORE_BUSY;
      return;
    }
  else if (chance (fault->late))
    pending->effect_at = now + STORE_TIMEOUT + random_between (1, 3000 * MS);
  else if (!chance (fault->lost_after))
    return;
  pending->answer_lost = true;
  pending->answer_at = now + STORE_TIMEOUT;
}

static void
submit_op (size_t gate, fq_store_op_t *op)
{
  for (size_t i = 0; i < OPS_MAX; i++)
    {
      if (pending_ops[i].op != NULL)
        continue;
      pending_ops_end = i < pending_ops_end ? pending_ops_end : i + 1;
      pending_ops[i].op = op;
      pending_ops[i].gate = gate;
      pending_ops[i].incarnation = incarnations[gate];
      schedule_op (&pending_ops[i]);
      return;
    }
  ck_abort_msg ("too many pending store operations, seed %llu", (unsigned long long)seed);
}

static void
apply_effects (size_t gate, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      if (effects->items[i].kind != FQ_EFFECT_STORE)
        continue;
      submit_op (gate, effects->items[i].store);
      effects->items[i].store = NULL;
    }
  fq_effects_free (effects);
}

/* Gates and their runs */

static void
start_gate (size_t gate)
{
  fq_once_options_t options = FQ_ONCE_OPTIONS_INIT;
  char name[8];

  snprintf (name, sizeof name, "n%zu", gate);
  options.node = name;
  options.incarnation = ++incarnations[gate];
  options.seed = fq_random_next (&rng);
  ck_assert_int_eq (fq_once_new (&gates[gate], &options), FQ_OK);
}

static void
restart_gate (size_t gate)
{
  any_gate_restarted = true;
  fq_once_free (gates[gate]);
  paused_until[gate] = 0;
  start_gate (gate);
}

static void
check_replay (const run_t *run, const fq_answer_t *answer)
{
  const key_model_t *key = &keys[run->key];

  total_replays++;
  ck_assert_msg (key->finished && key->answer.outcome == FQ_OUTCOME_ANSWERED,
                 "replay without a stored answer, seed %llu", (unsigned long long)seed);
  ck_assert_uint_eq (run->variant, key->variant);
  ck_assert_uint_eq (answer->status, key->answer.status);
  ck_assert_str_eq (answer->content_type, key->answer.content_type);
  ck_assert ((answer->body == NULL) == (key->answer.body == NULL));
  if (answer->body == NULL)
    return;
  ck_assert_uint_eq (answer->body->size, key->answer.body->size);
  ck_assert_int_eq (
      memcmp (answer->body->data, key->answer.body->data, answer->body->size), 0);
}

static void
take_verdicts (size_t gate)
{
  fq_once_verdict_t verdict;

  while (fq_once_take_verdict (gates[gate], &verdict))
    {
      run_t *run = &runs[verdict.run - 1];

      ck_assert_msg (!run->cancelled && ++run->verdicts == 1,
                     "verdict for a cancelled claim or second verdict, seed %llu",
                     (unsigned long long)seed);
      run->kind = verdict.kind;
      run->state = RUN_ENDED;
      total_kinds[verdict.kind]++;
      if (verdict.kind == FQ_ONCE_REPLAY)
        check_replay (run, &verdict.answer);
      fq_blob_unref (verdict.answer.body);
      if (verdict.kind != FQ_ONCE_GRANTED)
        continue;
      run->state = RUN_GRANTED;
      run->next_at = now + random_between (0, 20 * MS);
      if (chance (fault->pause))
        {
          paused_until[gate] = now + random_between (100 * MS, 20000 * MS);
          run->next_at = paused_until[gate];
        }
    }
}

static size_t
claim (size_t gate, size_t key, unsigned variant, fq_time_t timeout)
{
  fq_effects_t effects = { 0 };
  fq_request_t *request;
  run_t *run = &runs[run_count++];

  ck_assert_uint_le (run_count, RUNS_MAX);
  *run = (run_t){
    .gate = gate, .incarnation = incarnations[gate], .key = key, .variant = variant
  };
  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  snprintf (request->member, sizeof request->member, "wrekin");
  snprintf (request->service, sizeof request->service, "wrekin/bulletins");
  snprintf (request->method, sizeof request->method, "POST");
  snprintf (request->path, sizeof request->path, "/release?v=%u", variant);
  snprintf (request->key, sizeof request->key, "k/%zu", key);
  ck_assert_int_eq (
      fq_once_claim (gates[gate], now, run_count, request, now + timeout, &effects),
      FQ_OK);
  fq_request_unref (request);
  apply_effects (gate, &effects);
  take_verdicts (gate);
  return run_count - 1;
}

static void
send_run (run_t *run)
{
  key_model_t *key = &keys[run->key];

  ck_assert_msg (++key->sent_count == 1, "executed twice: %s, seed %llu", fault->name,
                 (unsigned long long)seed);
  total_sent++;
  key->variant = run->variant;
  run->state = RUN_SENT;
  run->next_at = now + random_between (MS, 300 * MS);
}

static void
make_answer (fq_answer_t *out, bool unknown)
{
  size_t size = fq_random_below (&rng, 4) == 0 ? LARGE_BODY : fq_random_below (&rng, 40);

  *out = (fq_answer_t){ .outcome = unknown ? FQ_OUTCOME_UNKNOWN : FQ_OUTCOME_ANSWERED };
  out->status = (uint16_t)random_between (200, 600);
  snprintf (out->content_type, sizeof out->content_type, "text/x-%d\xff", out->status);
  if (unknown || size == 0)
    return;
  ck_assert_int_eq (fq_blob_new (&out->body, NULL, size), FQ_OK);
  for (size_t i = 0; i < size; i++)
    out->body->data[i] = (uint8_t)fq_random_next (&rng);
}

static void
step_run (size_t index)
{
  run_t *run = &runs[index];
  fq_effects_t effects = { 0 };
  key_model_t *key = &keys[run->key];

  if (run->incarnation != incarnations[run->gate] || now < run->next_at
      || now < paused_until[run->gate])
    return;
  if (run->state == RUN_WAITING && chance (fault->cancel / 10))
    {
      run->cancelled = true;
      run->state = RUN_ENDED;
      fq_once_cancel (gates[run->gate], now, index + 1, &effects);
    }
  else if (run->state == RUN_GRANTED && chance (fault->not_run))
    {
      run->state = RUN_ENDED;
      fq_once_release (gates[run->gate], now, index + 1, &effects);
    }
  else if (run->state == RUN_GRANTED)
    send_run (run);
  else if (run->state == RUN_SENT)
    {
      run->state = RUN_ENDED;
      key->finished = true;
      make_answer (&key->answer, chance (fault->unknown));
      fq_once_finish (gates[run->gate], now, index + 1, &key->answer, &effects);
    }
  apply_effects (run->gate, &effects);
  take_verdicts (run->gate);
}

static void
deliver (pending_op_t *pending)
{
  fq_effects_t effects = { 0 };
  fq_store_answer_t answer = pending->answer;
  size_t gate = pending->gate;

  answer.id = pending->op->id;
  if (pending->answer_lost)
    answer = (fq_store_answer_t){ .id = pending->op->id, .status = FQ_STORE_UNAVAILABLE };
  pending->answer_at = 0;
  fq_once_handle_store_answer (gates[gate], now, &answer, &effects);
  apply_effects (gate, &effects);
  take_verdicts (gate);
}

static void
step_store (void)
{
  for (size_t i = 0; i < pending_ops_end; i++)
    {
      pending_op_t *pending = &pending_ops[i];

      if (pending->op == NULL)
        continue;
      if (pending->effect_at != 0 && now >= pending->effect_at)
        {
          pending->effect_at = 0;
          apply_op (pending);
        }
      if (pending->incarnation != incarnations[pending->gate])
        pending->answer_at = 0;
      else if (pending->answer_at != 0 && now >= pending->answer_at
               && now >= paused_until[pending->gate])
        deliver (pending);
      if (pending->effect_at == 0 && pending->answer_at == 0)
        free_pending_op (pending);
    }
}

static void
step (fq_time_t length)
{
  now += length;
  step_store ();
  for (size_t i = 0; i < run_count; i++)
    step_run (i);
  for (size_t gate = 0; gate < GATES; gate++)
    {
      fq_effects_t effects = { 0 };

      if (now < paused_until[gate])
        continue;
      fq_once_tick (gates[gate], now, now / MS, &effects);
      apply_effects (gate, &effects);
      take_verdicts (gate);
    }
}

static bool
is_idle (void)
{
  for (size_t i = 0; i < pending_ops_end; i++)
    {
      if (pending_ops[i].op != NULL)
        return false;
    }
  for (size_t i = 0; i < run_count; i++)
    {
      if (runs[i].state != RUN_ENDED && runs[i].incarnation == incarnations[runs[i].gate])
        return false;
    }
  for (size_t gate = 0; gate < GATES; gate++)
    {
      if (now < paused_until[gate] || !fq_once_is_idle (gates[gate]))
        return false;
    }
  return true;
}

static void
run_until_idle (fq_time_t max_time)
{
  fq_time_t until = now + max_time;

  do
    step (random_between (2 * MS, 30 * MS));
  while (now < until && !is_idle ());
}

/* The verdict for a repeat after the faults, unless a restarted gate left a claim. */
static fq_once_verdict_kind_t
expected_verdict (const key_model_t *key)
{
  if (!key->finished)
    return key->sent_count > 0 ? FQ_ONCE_IN_PROGRESS : FQ_ONCE_GRANTED;
  return key->answer.outcome == FQ_OUTCOME_ANSWERED ? FQ_ONCE_REPLAY : FQ_ONCE_UNKNOWN;
}

static void
check_key (size_t index)
{
  const key_model_t *key = &keys[index];
  fq_once_verdict_kind_t expected = expected_verdict (key);
  fq_time_t until = now + RECOVERY_TIMEOUT;
  size_t run;

  for (;;)
    {
      run = claim (1, index, key->sent_count > 0 ? key->variant : 0, 4000 * MS);
      run_until_idle (10000 * MS);
      if (runs[run].kind == expected || now >= until)
        break;
      for (size_t i = 0; i < 50; i++)
        step (20 * MS);
    }
  ck_assert_msg (runs[run].verdicts == 1, "no verdict: %s, seed %llu", fault->name,
                 (unsigned long long)seed);
  if (any_gate_restarted
      && (runs[run].kind == FQ_ONCE_IN_PROGRESS || key->sent_count == 0))
    return;
  ck_assert_msg (runs[run].kind == expected, "expected verdict %d, got %d: %s, seed %llu",
                 expected, runs[run].kind, fault->name, (unsigned long long)seed);
}

static void
start_case (uint64_t case_seed)
{
  seed = case_seed;
  rng.state = case_seed;
  now = FQ_MICROSECONDS_PER_SECOND;
  run_count = 0;
  pending_ops_end = 0;
  any_gate_restarted = false;
  faults_disabled = false;
  memset (keys, 0, sizeof keys);
  memset (paused_until, 0, sizeof paused_until);
  for (size_t gate = 0; gate < GATES; gate++)
    start_gate (gate);
}

static void
end_case (void)
{
  for (size_t gate = 0; gate < GATES; gate++)
    fq_once_free (gates[gate]);
  for (size_t i = 0; i < pending_ops_end; i++)
    free_pending_op (&pending_ops[i]);
  fake_store_clear (&store);
  for (size_t key = 0; key < KEYS; key++)
    fq_blob_unref (keys[key].answer.body);
}

static void
run_case (void)
{
  size_t claims = 2 + fq_random_below (&rng, 10);

  for (size_t i = 0; i < claims; i++)
    {
      size_t gate = fq_random_below (&rng, GATES);

      if (chance (fault->restart))
        restart_gate (fq_random_below (&rng, GATES));
      if (now >= paused_until[gate])
        claim (gate, fq_random_below (&rng, KEYS), chance (fault->other_request) ? 1 : 0,
               random_between (200 * MS, 5000 * MS));
      for (size_t steps = fq_random_below (&rng, 6); steps > 0; steps--)
        step (random_between (1, 30 * MS));
    }
  while (now < fault->down_until)
    step (random_between (2 * MS, fault->down_until > 60000 * MS ? 400 * MS : 30 * MS));
  run_until_idle (30000 * MS);
  faults_disabled = true;
  run_until_idle (30000 * MS);
  for (size_t i = 0; i < run_count; i++)
    {
      if (!runs[i].cancelled && runs[i].incarnation == incarnations[runs[i].gate])
        ck_assert_msg (runs[i].verdicts == 1, "no verdict: %s, seed %llu", fault->name,
                       (unsigned long long)seed);
    }
  for (size_t key = 0; key < KEYS; key++)
    check_key (key);
}

static uint64_t
env_number (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);

  return text == NULL ? fallback : strtoull (text, NULL, 10);
}

START_TEST (test_at_most_once)
{
  uint64_t first = env_number ("FQ_TEST_SEED", 1);
  uint64_t cases = env_number ("FQ_TEST_CASES", DEFAULT_CASES);

  fault = &faults[_i];
  cases = cases * fault->cases_percent / 100;
  for (uint64_t i = 0; i < cases; i++)
    {
      start_case ((first + i) * 1000 + (uint64_t)_i);
      run_case ();
      end_case ();
    }
  printf ("%-32s seed %llu cases %llu sent %llu granted %llu replayed %llu busy %llu "
          "unknown %llu mismatch %llu unavailable %llu\n",
          fault->name, (unsigned long long)first, (unsigned long long)cases,
          (unsigned long long)total_sent,
          (unsigned long long)total_kinds[FQ_ONCE_GRANTED],
          (unsigned long long)total_kinds[FQ_ONCE_REPLAY],
          (unsigned long long)total_kinds[FQ_ONCE_IN_PROGRESS],
          (unsigned long long)total_kinds[FQ_ONCE_UNKNOWN],
          (unsigned long long)total_kinds[FQ_ONCE_KEY_REUSED],
          (unsigned long long)total_kinds[FQ_ONCE_UNAVAILABLE]);
  ck_assert_uint_gt (total_sent, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once");
  TCase *tcase = tcase_create ("faults");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_set_timeout (tcase, 100);
  tcase_add_loop_test (tcase, test_at_most_once, 0,
                       (int)(sizeof faults / sizeof faults[0]));
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
