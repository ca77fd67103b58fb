/**
 * DOC: Run-once requests at a gate: what the reducer does around their claims.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/store_ids.h"
#include "fake_store.h"
#include "filbertquay/core.h"

#define MS FQ_MICROSECONDS_PER_MS
#define DEADLINE_MS 2000
#define GRACE_MS 60000
#define KEPT_MAX 64

/* Everything that the core wanted, without what it holds. */
typedef struct
{
  unsigned starts;
  unsigned aborts;
  fq_id_t run;
  unsigned answers;
  fq_answer_t answer; /* the last one to the asker */
} seen_t;

static fq_core_t *core;
static fake_store_t store;
static fq_time_t now;
static seen_t seen;
static unsigned int week = 4;  /* names the idempotency key */
static unsigned int store_ops; /* of claims */
static bool store_waits;       /* operations are kept, not answered */
static fq_store_op_t *kept[KEPT_MAX];
static size_t kept_count;

static void feed (fq_event_t *event);

static void
answer_op (fq_store_op_t *op)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE };

  fake_store_execute (&store, op, &event.store);
  fq_store_op_free (op);
  feed (&event);
  fq_store_answer_clear (&event.store);
}

static void
see (fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_UPSTREAM_START:
      seen.starts++;
      seen.run = effect->upstream_start.run;
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      seen.aborts++;
      break;
    case FQ_EFFECT_PEER_ANSWER:
      seen.answers++;
      seen.answer = effect->peer_answer.answer;
      break;
    case FQ_EFFECT_STORE:
      ck_assert_uint_lt (kept_count, KEPT_MAX);
      kept[kept_count++] = effect->store;
      store_ops += fq_store_op_id_owner (kept[kept_count - 1]->id) == FQ_STORE_OWNER_ONCE;
      effect->store = NULL;
      break;
    default:
      break;
    }
}

static void
answer_kept (void)
{
  while (!store_waits && kept_count > 0)
    answer_op (kept[--kept_count]);
}

static void
feed (fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = now;
  event->wall_ms = now / MS;
  fq_core_reduce (core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    see (&effects.items[i]);
  fq_effects_free (&effects);
}

static void
pass (uint32_t ms)
{
  fq_time_t until = now + (fq_time_t)ms * MS;

  while (now < until)
    {
      fq_event_t tick = { .kind = FQ_EVENT_TICK };

      now += 5 * MS;
      feed (&tick);
      answer_kept ();
    }
}

static void
set_up (void)
{
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
  fq_event_t event = { .kind = FQ_EVENT_ANNOUNCE };

  now = FQ_MICROSECONDS_PER_SECOND;
  options.node = "n1";
  options.address = "127.0.0.1:1";
  options.incarnation = 1;
  options.seed = 7;
  ck_assert_int_eq (fq_core_new (&core, &options, now), FQ_OK);
  pass (3000);
  strcpy (event.announce.service, "wrekin/bulletins");
  strcpy (event.announce.address, "127.0.0.1:2");
  event.announce.incarnation = 1;
  event.announce.slots = 2;
  event.announce.connections = 10;
  feed (&event);
}

static void
tear_down (void)
{
  fq_core_free (core);
  while (kept_count > 0)
    fq_store_op_free (kept[--kept_count]);
  fake_store_clear (&store);
}

static void
ask (const char *path)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CALL };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->member, "wrekin");
  strcpy (request->service, "wrekin/bulletins");
  strcpy (request->method, "POST");
  strcpy (request->path, path);
  snprintf (request->key, sizeof request->key, "week-%u", week);
  request->once = true;
  request->remaining_ms = DEADLINE_MS;
  strcpy (event.peer_call.node, "n2");
  event.peer_call.attempt = 40 + seen.answers;
  event.peer_call.request = request;
  feed (&event);
  fq_request_unref (request);
  answer_kept ();
}

static void
upstream_ends (uint16_t status, fq_outcome_t outcome)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };

  event.upstream_answer.run = seen.run;
  event.upstream_answer.answer.status = status;
  event.upstream_answer.answer.outcome = outcome;
  feed (&event);
  answer_kept ();
}

static void
upstream_answers (void)
{
  upstream_ends (201, FQ_OUTCOME_ANSWERED);
}

static void
upstream_fails (bool sent)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_FAILED };

  event.upstream_failed.run = seen.run;
  event.upstream_failed.sent = sent;
  event.upstream_failed.refused = !sent;
  feed (&event);
  answer_kept ();
}

static void
peer_event (fq_event_kind_t kind)
{
  fq_event_t event = { .kind = kind };

  if (kind == FQ_EVENT_PEER_CANCEL)
    {
      strcpy (event.peer_cancel.node, "n2");
      event.peer_cancel.attempt = 40;
    }
  else
    strcpy (event.peer.node, "n2");
  feed (&event);
  answer_kept ();
}

/* The state that the only claim's row has; NULL: there is no claim. */
static const char *
row_state (void)
{
  static const char *const states[] = { "claimed", "free", "done", "unknown" };

  for (size_t i = 0; i < store.count; i++)
    {
      for (size_t j = 0; j < sizeof states / sizeof states[0]; j++)
        {
          char text[64];

          snprintf (text, sizeof text, "\"state\":\"%s\"", states[j]);
          if (strncmp (store.rows[i].key, "once/", 5) == 0
              && strstr (store.rows[i].value, text) != NULL)
            return states[j];
        }
    }
  return NULL;
}

typedef enum
{
  ANSWERED,
  REFUSED,      /* 503, which leaves open whether the work was begun */
  REFUSED_SURE, /* 503, with the upstream's word that it was not run */
  LOST_AFTER_SENDING,
  NOT_SENT,
  LATE,       /* the answer comes after the deadline */
  SILENT,     /* none comes, until the connection is closed */
  CANCELLED,  /* the asker gives up, then the answer comes */
  ASKER_LOST, /* the asker's connection ends, then the answer comes */
} ending_t;

static const struct
{
  const char *name;
  ending_t ending;
  const char *row;
  unsigned answers;
  fq_outcome_t outcome; /* of the answer to the asker */
  unsigned aborts;
  fq_outcome_t repeat; /* of the answer to a repeat */
  unsigned starts;     /* with the repeat */
} endings[] = {
  { "answered", ANSWERED, "done", 1, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "refused", REFUSED, "done", 1, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "refused for sure", REFUSED_SURE, "free", 1, FQ_OUTCOME_NOT_RUN, 0,
    FQ_OUTCOME_ANSWERED, 2 },
  { "connection lost", LOST_AFTER_SENDING, "unknown", 1, FQ_OUTCOME_UNKNOWN, 0,
    FQ_OUTCOME_UNKNOWN, 1 },
  { "not sent", NOT_SENT, "free", 1, FQ_OUTCOME_NOT_RUN, 0, FQ_OUTCOME_ANSWERED, 2 },
  { "late answer", LATE, "done", 1, FQ_OUTCOME_UNKNOWN, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "silence", SILENT, "unknown", 1, FQ_OUTCOME_UNKNOWN, 1, FQ_OUTCOME_UNKNOWN, 1 },
  { "cancelled", CANCELLED, "done", 0, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "asker lost", ASKER_LOST, "done", 0, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
};

static void
play (ending_t ending)
{
  switch (ending)
    {
    case ANSWERED:
      upstream_answers ();
      break;
    case REFUSED:
      upstream_ends (503, FQ_OUTCOME_ANSWERED);
      break;
    case REFUSED_SURE:
      upstream_ends (503, FQ_OUTCOME_NOT_RUN);
      break;
    case LOST_AFTER_SENDING:
      upstream_fails (true);
      break;
    case NOT_SENT:
      upstream_fails (false);
      break;
    case LATE:
      pass (DEADLINE_MS + 1000);
      upstream_answers ();
      break;
    case SILENT:
      pass (DEADLINE_MS + GRACE_MS + 100);
      upstream_fails (true);
      break;
    case CANCELLED:
      peer_event (FQ_EVENT_PEER_CANCEL);
      upstream_answers ();
      break;
    case ASKER_LOST:
      peer_event (FQ_EVENT_ENTRY_DOWN);
      upstream_answers ();
      break;
    }
  pass (100);
}

START_TEST (test_how_a_run_ends)
{
  ask ("/release");
  pass (50);
  ck_assert_uint_eq (seen.starts, 1);
  ck_assert_str_eq (row_state (), "claimed");
  play (endings[_i].ending);
  ck_assert_uint_eq (seen.answers, endings[_i].answers);
  if (seen.answers > 0)
    ck_assert_int_eq (seen.answer.outcome, endings[_i].outcome);
  ck_assert_uint_eq (seen.aborts, endings[_i].aborts);
  ck_assert_str_eq (row_state (), endings[_i].row);
  seen.answers += 100;
  ask ("/release");
  pass (50);
  if (seen.starts == 2)
    upstream_answers ();
  ck_assert_uint_eq (seen.starts, endings[_i].starts);
  ck_assert_int_eq (seen.answer.outcome, endings[_i].repeat);
}
END_TEST

START_TEST (test_a_key_used_for_another_request_is_refused)
{
  ask ("/release");
  pass (50);
  upstream_answers ();
  pass (50);
  ask ("/release?draft");
  pass (50);
  ck_assert_uint_eq (seen.starts, 1);
  ck_assert_int_eq (seen.answer.cause, FQ_CAUSE_KEY_REUSED);
  ck_assert_int_eq (seen.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_uint_eq (seen.answer.status, 422);
  ck_assert_uint_eq (seen.answer.retry_after_ms, 0);
}
END_TEST

/* A repeat that waits until its deadline for the first can't be told "not run". */
START_TEST (test_a_repeat_of_unfinished_work_ends_unknown)
{
  ask ("/release");
  pass (1000);
  seen.answers++;
  ask ("/release");
  pass (DEADLINE_MS + 100);
  ck_assert_uint_eq (seen.starts, 1);
  ck_assert_int_eq (seen.answer.outcome, FQ_OUTCOME_UNKNOWN);
  ck_assert_int_eq (seen.answer.cause, FQ_CAUSE_IN_PROGRESS);
}
END_TEST

/* The process stood still while the claim was with the store. */
START_TEST (test_a_grant_after_the_deadline_is_not_used)
{
  store_waits = true;
  ask ("/release");
  pass (10);
  now += (fq_time_t)(DEADLINE_MS + 500) * MS;
  store_waits = false;
  answer_kept ();
  pass (100);
  ck_assert_uint_eq (seen.starts, 0);
  ck_assert_int_eq (seen.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_str_eq (row_state (), "free");
}
END_TEST

START_TEST (test_a_store_that_is_down_refuses_before_anything_runs)
{
  store.mode = FAKE_DOWN;
  for (size_t i = 0; i < 5; i++)
    {
      ask ("/release");
      pass (600);
    }
  ck_assert_uint_eq (seen.starts, 0);
  ck_assert_uint_eq (seen.answers, 5);
  ck_assert_int_eq (seen.answer.cause, FQ_CAUSE_STORE_UNAVAILABLE);
  ck_assert_int_eq (seen.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_uint_gt (seen.answer.retry_after_ms, 0);
}
END_TEST

/* Claims go on during an outage of ten minutes, each for a key of its own. */
START_TEST (test_an_outage_costs_little_and_ends_soon)
{
  fq_time_t back;

  store.mode = FAKE_DOWN;
  store_ops = 0;
  for (; now < 600 * FQ_MICROSECONDS_PER_SECOND; week++)
    {
      unsigned int before = seen.answers;

      ask ("/release");
      pass (250);
      ck_assert_uint_eq (seen.answers, before + 1);
      ck_assert_int_eq (seen.answer.outcome, FQ_OUTCOME_NOT_RUN);
    }
  ck_assert_uint_eq (seen.starts, 0);
  ck_assert_msg (store_ops <= 600, "%u operations in 600 s", store_ops);
  store.mode = FAKE_WORKS;
  back = now;
  for (; seen.starts == 0; week++)
    {
      ask ("/release");
      pass (50);
      ck_assert_int_lt (now - back, 2500 * MS);
    }
}
END_TEST

static void
stop (void)
{
  fq_event_t event = { .kind = FQ_EVENT_SHUTDOWN };

  feed (&event);
  answer_kept ();
}

/* The outcome is tried for a while before the process ends; the claim stays anyway. */
START_TEST (test_a_stop_waits_for_the_outcome_but_not_for_ever)
{
  ask ("/release");
  pass (50);
  store.mode = FAKE_DOWN;
  upstream_answers ();
  stop ();
  pass (1000);
  store.mode = FAKE_WORKS;
  pass (2500);
  ck_assert_str_eq (row_state (), "done");
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("once_run");
  TCase *tcase = tcase_create ("gate");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, test_how_a_run_ends, 0,
                       (int)(sizeof endings / sizeof endings[0]));
  tcase_add_test (tcase, test_a_key_used_for_another_request_is_refused);
  tcase_add_test (tcase, test_a_repeat_of_unfinished_work_ends_unknown);
  tcase_add_test (tcase, test_a_grant_after_the_deadline_is_not_used);
  tcase_add_test (tcase, test_a_store_that_is_down_refuses_before_anything_runs);
  tcase_add_test (tcase, test_an_outage_costs_little_and_ends_soon);
  tcase_add_test (tcase, test_a_stop_waits_for_the_outcome_but_not_for_ever);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
