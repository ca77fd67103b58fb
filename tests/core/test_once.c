/**
 * DOC: At most once under faults: gates, a store that fails and callers that repeat, in
 * virtual time. FQ_TEST_SEED and FQ_TEST_CASES (per fault) change what is tried.
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
#define RECOVERY (8000 * MS) /* until all gates have written what the store refused */

/* Shares are in percent, of operations, runs or steps. */
typedef struct
{
  const char *name;
  unsigned lost_before;
  unsigned lost_after;
  unsigned late; /* lost, and takes effect after its end was told */
  unsigned busy;
  unsigned slow;
  unsigned pause; /* of grants: the gate stands still before it sends */
  unsigned kill;  /* of claims: some gate is killed and started again meanwhile */
  unsigned not_run;
  unsigned unknown;
  unsigned other_request;
  unsigned forget;
  fq_time_t down_from;
  fq_time_t down_until;
  unsigned cases_percent;
} fault_t;

static const fault_t faults[] = {
  { "none", .cases_percent = 100 },
  { "answer lost before the effect", .lost_before = 30, .cases_percent = 100 },
  { "answer lost after the effect", .lost_after = 30, .cases_percent = 100 },
  { "effect after the loss was told", .late = 30, .cases_percent = 100 },
  { "busy", .busy = 40, .cases_percent = 100 },
  { "slow", .slow = 60, .cases_percent = 100 },
  { "down for a while", .down_from = 1100 * MS, .down_until = 4000 * MS,
    .cases_percent = 100 },
  { "down for ten minutes", .down_from = 1100 * MS, .down_until = 600000 * MS,
    .cases_percent = 5 },
  { "pause between grant and send", .pause = 50, .lost_after = 10, .cases_percent = 100 },
  { "gates killed at any step", .kill = 40, .cases_percent = 100 },
  { "work that was not run", .not_run = 50, .lost_after = 10, .cases_percent = 100 },
  { "upstream lost after sending", .unknown = 50, .cases_percent = 100 },
  { "keys used twice", .other_request = 40, .not_run = 20, .cases_percent = 100 },
  { "all together", .lost_before = 8, .lost_after = 8, .late = 8, .busy = 8, .slow = 20,
    .pause = 20, .kill = 15, .not_run = 20, .unknown = 10, .other_request = 15,
    .forget = 15, .cases_percent = 100 },
};

typedef struct
{
  fq_store_op_t *op; /* NULL: unused */
  size_t gate;
  unsigned epoch;
  fq_time_t effect_at; /* 0: none */
  fq_time_t answer_at; /* 0: answered */
  bool lost;
  fq_store_answer_t answer;
} asked_t;

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
  unsigned epoch;
  size_t key;
  unsigned variant;
  fq_time_t next; /* when it is sent, or ends */
  unsigned verdicts;
  fq_once_verdict_kind_t kind;
  bool forgotten;
} run_t;

typedef struct
{
  unsigned sent;
  unsigned variant; /* of the run that was sent */
  bool finished;
  fq_answer_t answer;
  bool replayed;
} key_t_;

static const fault_t *fault;
static uint64_t seed;
static fq_random_t dice;
static fq_time_t now;
static fq_once_t *gates[GATES];
static unsigned epochs[GATES];
static fq_time_t paused_until[GATES];
static asked_t asked[OPS_MAX];
static size_t asked_top; /* entries from here on are unused */
static fake_store_t store;
static run_t runs[RUNS_MAX];
static size_t run_count;
static key_t_ keys[KEYS];
static bool killed;
static bool calm;
static uint64_t total_sent;
static uint64_t total_replays;
static uint64_t total_kinds[FQ_ONCE_UNAVAILABLE + 1];

static bool
happens (unsigned percent)
{
  return !calm && fq_random_below (&dice, 100) < percent;
}

static fq_time_t
between (fq_time_t low, fq_time_t high)
{
  return low + (fq_time_t)fq_random_below (&dice, (uint64_t)(high - low));
}

/* The store */

static void
take_effect (asked_t *ask)
{
  fake_store_execute (&store, ask->op, &ask->answer);
}

static void
free_asked (asked_t *ask)
{
  fq_store_answer_clear (&ask->answer);
  fq_store_op_free (ask->op);
  *ask = (asked_t){ 0 };
}

static void
plan (asked_t *ask)
{
  fq_time_t slow
      = happens (fault->slow) ? between (MS, 900 * MS) : between (MS / 2, 3 * MS);
  bool down = now >= fault->down_from && now < fault->down_until;

  ask->effect_at = now + slow;
  ask->answer_at = ask->effect_at + between (1, 2 * MS);
  if (down || happens (fault->lost_before))
    ask->effect_at = 0;
  else if (happens (fault->busy))
    {
      ask->effect_at = 0;
      ask->answer.status = FQ_STORE_BUSY;
      return;
    }
  else if (happens (fault->late))
    ask->effect_at = now + STORE_TIMEOUT + between (1, 3000 * MS);
  else if (!happens (fault->lost_after))
    return;
  ask->lost = true;
  ask->answer_at = now + STORE_TIMEOUT;
}

static void
ask_store (size_t gate, fq_store_op_t *op)
{
  for (size_t i = 0; i < OPS_MAX; i++)
    {
      if (asked[i].op != NULL)
        continue;
      asked_top = i < asked_top ? asked_top : i + 1;
      asked[i].op = op;
      asked[i].gate = gate;
      asked[i].epoch = epochs[gate];
      plan (&asked[i]);
      return;
    }
  ck_abort_msg ("too many operations, seed %llu", (unsigned long long)seed);
}

static void
carry_out (size_t gate, fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    {
      if (effects->items[i].kind != FQ_EFFECT_STORE)
        continue;
      ask_store (gate, effects->items[i].store);
      effects->items[i].store = NULL;
    }
  fq_effects_free (effects);
}

/* The gates and their runs */

static void
start_gate (size_t gate)
{
  fq_once_options_t options = FQ_ONCE_OPTIONS_INIT;
  char name[8];

  snprintf (name, sizeof name, "n%zu", gate);
  options.node = name;
  options.incarnation = ++epochs[gate];
  options.seed = fq_random_next (&dice);
  ck_assert_int_eq (fq_once_new (&gates[gate], &options), FQ_OK);
}

static void
kill_gate (size_t gate)
{
  killed = true;
  fq_once_free (gates[gate]);
  paused_until[gate] = 0;
  start_gate (gate);
}

static void
check_replay (const run_t *run, const fq_answer_t *answer)
{
  const key_t_ *key = &keys[run->key];

  total_replays++;
  ck_assert_msg (key->finished && key->answer.outcome == FQ_OUTCOME_ANSWERED,
                 "a replay of nothing, seed %llu", (unsigned long long)seed);
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

      ck_assert_msg (!run->forgotten && ++run->verdicts == 1,
                     "a second verdict, seed %llu", (unsigned long long)seed);
      run->kind = verdict.kind;
      run->state = RUN_ENDED;
      total_kinds[verdict.kind]++;
      if (verdict.kind == FQ_ONCE_REPLAY)
        check_replay (run, &verdict.answer);
      fq_blob_unref (verdict.answer.body);
      if (verdict.kind != FQ_ONCE_GRANTED)
        continue;
      run->state = RUN_GRANTED;
      run->next = now + between (0, 20 * MS);
      if (happens (fault->pause))
        {
          paused_until[gate] = now + between (100 * MS, 20000 * MS);
          run->next = paused_until[gate];
        }
    }
}

static size_t
claim (size_t gate, size_t key, unsigned variant, fq_time_t patience)
{
  fq_effects_t effects = { 0 };
  fq_request_t *request;
  run_t *run = &runs[run_count++];

  ck_assert_uint_le (run_count, RUNS_MAX);
  *run = (run_t){ .gate = gate, .epoch = epochs[gate], .key = key, .variant = variant };
  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  snprintf (request->member, sizeof request->member, "wrekin");
  snprintf (request->service, sizeof request->service, "wrekin/bulletins");
  snprintf (request->method, sizeof request->method, "POST");
  snprintf (request->path, sizeof request->path, "/release?v=%u", variant);
  snprintf (request->key, sizeof request->key, "k/%zu", key);
  ck_assert_int_eq (
      fq_once_claim (gates[gate], now, run_count, request, now + patience, &effects),
      FQ_OK);
  fq_request_unref (request);
  carry_out (gate, &effects);
  take_verdicts (gate);
  return run_count - 1;
}

static void
send_run (run_t *run)
{
  key_t_ *key = &keys[run->key];

  ck_assert_msg (++key->sent == 1, "run twice: %s, seed %llu", fault->name,
                 (unsigned long long)seed);
  total_sent++;
  key->variant = run->variant;
  run->state = RUN_SENT;
  run->next = now + between (MS, 300 * MS);
}

static void
make_answer (fq_answer_t *out, bool unknown)
{
  size_t size
      = fq_random_below (&dice, 4) == 0 ? LARGE_BODY : fq_random_below (&dice, 40);

  *out = (fq_answer_t){ .outcome = unknown ? FQ_OUTCOME_UNKNOWN : FQ_OUTCOME_ANSWERED };
  out->status = (uint16_t)between (200, 600);
  snprintf (out->content_type, sizeof out->content_type, "text/x-%d\xff", out->status);
  if (unknown || size == 0)
    return;
  ck_assert_int_eq (fq_blob_new (&out->body, NULL, size), FQ_OK);
  for (size_t i = 0; i < size; i++)
    out->body->data[i] = (uint8_t)fq_random_next (&dice);
}

static void
advance_run (size_t index)
{
  run_t *run = &runs[index];
  fq_effects_t effects = { 0 };
  key_t_ *key = &keys[run->key];

  if (run->epoch != epochs[run->gate] || now < run->next || now < paused_until[run->gate])
    return;
  if (run->state == RUN_WAITING && happens (fault->forget / 10))
    {
      run->forgotten = true;
      run->state = RUN_ENDED;
      fq_once_cancel (gates[run->gate], now, index + 1, &effects);
    }
  else if (run->state == RUN_GRANTED && happens (fault->not_run))
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
      make_answer (&key->answer, happens (fault->unknown));
      fq_once_finish (gates[run->gate], now, index + 1, &key->answer, &effects);
    }
  carry_out (run->gate, &effects);
  take_verdicts (run->gate);
}

static void
deliver (asked_t *ask)
{
  fq_effects_t effects = { 0 };
  fq_store_answer_t answer = ask->answer;
  size_t gate = ask->gate;

  answer.id = ask->op->id;
  if (ask->lost)
    answer = (fq_store_answer_t){ .id = ask->op->id, .status = FQ_STORE_UNAVAILABLE };
  ask->answer_at = 0;
  fq_once_store_answered (gates[gate], now, &answer, &effects);
  carry_out (gate, &effects);
  take_verdicts (gate);
}

static void
advance_store (void)
{
  for (size_t i = 0; i < asked_top; i++)
    {
      asked_t *ask = &asked[i];

      if (ask->op == NULL)
        continue;
      if (ask->effect_at != 0 && now >= ask->effect_at)
        {
          ask->effect_at = 0;
          take_effect (ask);
        }
      if (ask->epoch != epochs[ask->gate])
        ask->answer_at = 0;
      else if (ask->answer_at != 0 && now >= ask->answer_at
               && now >= paused_until[ask->gate])
        deliver (ask);
      if (ask->effect_at == 0 && ask->answer_at == 0)
        free_asked (ask);
    }
}

static void
step (fq_time_t length)
{
  now += length;
  advance_store ();
  for (size_t i = 0; i < run_count; i++)
    advance_run (i);
  for (size_t gate = 0; gate < GATES; gate++)
    {
      fq_effects_t effects = { 0 };

      if (now < paused_until[gate])
        continue;
      fq_once_tick (gates[gate], now, now / MS, &effects);
      carry_out (gate, &effects);
      take_verdicts (gate);
    }
}

static bool
is_quiet (void)
{
  for (size_t i = 0; i < asked_top; i++)
    {
      if (asked[i].op != NULL)
        return false;
    }
  for (size_t i = 0; i < run_count; i++)
    {
      if (runs[i].state != RUN_ENDED && runs[i].epoch == epochs[runs[i].gate])
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
run_until_quiet (fq_time_t most)
{
  fq_time_t until = now + most;

  do
    step (between (2 * MS, 30 * MS));
  while (now < until && !is_quiet ());
}

/* What a key deserves after all faults; nodes that were killed may have left a claim. */
static fq_once_verdict_kind_t
deserved (const key_t_ *key)
{
  if (!key->finished)
    return key->sent > 0 ? FQ_ONCE_IN_PROGRESS : FQ_ONCE_GRANTED;
  return key->answer.outcome == FQ_OUTCOME_ANSWERED ? FQ_ONCE_REPLAY : FQ_ONCE_UNKNOWN;
}

static void
check_key (size_t index)
{
  const key_t_ *key = &keys[index];
  fq_once_verdict_kind_t wanted = deserved (key);
  fq_time_t until = now + RECOVERY;
  size_t run;

  for (;;)
    {
      run = claim (1, index, key->sent > 0 ? key->variant : 0, 4000 * MS);
      run_until_quiet (10000 * MS);
      if (runs[run].kind == wanted || now >= until)
        break;
      for (size_t i = 0; i < 50; i++)
        step (20 * MS);
    }
  ck_assert_msg (runs[run].verdicts == 1, "no verdict: %s, seed %llu", fault->name,
                 (unsigned long long)seed);
  if (killed && (runs[run].kind == FQ_ONCE_IN_PROGRESS || key->sent == 0))
    return;
  ck_assert_msg (runs[run].kind == wanted, "%d deserved but %d: %s, seed %llu", wanted,
                 runs[run].kind, fault->name, (unsigned long long)seed);
}

static void
start_case (uint64_t case_seed)
{
  seed = case_seed;
  dice.state = case_seed;
  now = FQ_MICROSECONDS_PER_SECOND;
  run_count = 0;
  asked_top = 0;
  killed = false;
  calm = false;
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
  for (size_t i = 0; i < asked_top; i++)
    free_asked (&asked[i]);
  fake_store_clear (&store);
  for (size_t key = 0; key < KEYS; key++)
    fq_blob_unref (keys[key].answer.body);
}

static void
play_case (void)
{
  size_t claims = 2 + fq_random_below (&dice, 10);

  for (size_t i = 0; i < claims; i++)
    {
      size_t gate = fq_random_below (&dice, GATES);

      if (happens (fault->kill))
        kill_gate (fq_random_below (&dice, GATES));
      if (now >= paused_until[gate])
        claim (gate, fq_random_below (&dice, KEYS),
               happens (fault->other_request) ? 1 : 0, between (200 * MS, 5000 * MS));
      for (size_t steps = fq_random_below (&dice, 6); steps > 0; steps--)
        step (between (1, 30 * MS));
    }
  while (now < fault->down_until)
    step (between (2 * MS, fault->down_until > 60000 * MS ? 400 * MS : 30 * MS));
  run_until_quiet (30000 * MS);
  calm = true;
  run_until_quiet (30000 * MS);
  for (size_t i = 0; i < run_count; i++)
    {
      if (!runs[i].forgotten && runs[i].epoch == epochs[runs[i].gate])
        ck_assert_msg (runs[i].verdicts == 1, "no verdict: %s, seed %llu", fault->name,
                       (unsigned long long)seed);
    }
  for (size_t key = 0; key < KEYS; key++)
    check_key (key);
}

static uint64_t
number_from (const char *name, uint64_t otherwise)
{
  const char *text = getenv (name);

  return text == NULL ? otherwise : strtoull (text, NULL, 10);
}

START_TEST (test_at_most_once)
{
  uint64_t first = number_from ("FQ_TEST_SEED", 1);
  uint64_t cases = number_from ("FQ_TEST_CASES", DEFAULT_CASES);

  fault = &faults[_i];
  cases = cases * fault->cases_percent / 100;
  for (uint64_t i = 0; i < cases; i++)
    {
      start_case ((first + i) * 1000 + (uint64_t)_i);
      play_case ();
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
