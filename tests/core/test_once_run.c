/**
 * DOC: Requests with an idempotency key at a gate: claims, runs, outcomes and repeats.
 *
 * The core runs against an in-memory store; the tests check the upstream starts, the
 * answers to the sender and the row of the claim for each way in which a run can end.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/store_op_ids.h"
#include "fake_store.h"
#include "filbertquay/core.h"

#define MS FQ_MICROSECONDS_PER_MS
#define DEADLINE_MS 2000
#define GRACE_MS 60000
#define HELD_OPS_MAX 64

/* The effects of the core so far; references in them are not held. */
typedef struct
{
  unsigned starts;
  unsigned aborts;
  fq_id_t run;
  unsigned answers;
  fq_answer_t answer; /* the last one to the sender */
} observed_t;

static fq_core_t *core;
static fake_store_t store;
static fq_time_t now;
static observed_t observed;
static unsigned int key_number = 4; /* part of the idempotency key */
static unsigned int store_ops;      /* store operations for claims */
static bool store_paused;           /* operations are held, not answered */
static fq_store_op_t *held_ops[HELD_OPS_MAX];
static size_t held_op_count;

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
record_effect (fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_UPSTREAM_START:
      observed.starts++;
      observed.run = effect->upstream_start.run;
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      observed.aborts++;
      break;
    case FQ_EFFECT_PEER_ANSWER:
      observed.answers++;
      observed.answer = effect->peer_answer.answer;
      break;
    case FQ_EFFECT_STORE:
      ck_assert_uint_lt (held_op_count, HELD_OPS_MAX);
      held_ops[held_op_count++] = effect->store;
      store_ops += fq_store_op_id_owner (held_ops[held_op_count - 1]->id)
                   == FQ_STORE_OWNER_ONCE;
      effect->store = NULL;
      break;
    default:
      break;
    }
}

static void
answer_held_ops (void)
{
  while (!store_paused && held_op_count > 0)
    answer_op (held_ops[--held_op_count]);
}

static void
feed (fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = now;
  event->wall_ms = now / MS;
  fq_core_reduce (core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    record_effect (&effects.items[i]);
  fq_effects_free (&effects);
}

static void
advance (uint32_t ms)
{
  fq_time_t until = now + (fq_time_t)ms * MS;

  while (now < until)
    {
      fq_event_t tick = { .kind = FQ_EVENT_TICK };

      now += 5 * MS;
      feed (&tick);
      answer_held_ops ();
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
  advance (3000);
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
  while (held_op_count > 0)
    fq_store_op_free (held_ops[--held_op_count]);
  fake_store_clear (&store);
}

static void
send_request (const char *path)
{
  fq_event_t event = { .kind = FQ_EVENT_PEER_CALL };
  fq_request_t *request;

  ck_assert_int_eq (fq_request_new (&request), FQ_OK);
  strcpy (request->member, "wrekin");
  strcpy (request->service, "wrekin/bulletins");
  strcpy (request->method, "POST");
  strcpy (request->path, path);
  snprintf (request->key, sizeof request->key, "week-%u", key_number);
  request->once = true;
  request->remaining_ms = DEADLINE_MS;
  strcpy (event.peer_call.node, "n2");
  event.peer_call.attempt = 40 + observed.answers;
  event.peer_call.request = request;
  feed (&event);
  fq_request_unref (request);
  answer_held_ops ();
}

static void
upstream_answers_with (uint16_t status, fq_outcome_t outcome)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };

  event.upstream_answer.run = observed.run;
  event.upstream_answer.answer.status = status;
  event.upstream_answer.answer.outcome = outcome;
  feed (&event);
  answer_held_ops ();
}

static void
upstream_answers (void)
{
  upstream_answers_with (201, FQ_OUTCOME_ANSWERED);
}

static void
upstream_fails (bool sent)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_FAILED };

  event.upstream_failed.run = observed.run;
  event.upstream_failed.sent = sent;
  event.upstream_failed.connect_failed = !sent;
  feed (&event);
  answer_held_ops ();
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
  answer_held_ops ();
}

/* The state in the row of the only key; NULL: no row. */
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
  REFUSED,      /* 503, which does not say whether the request was executed */
  NOT_EXECUTED, /* 503, and the upstream states that it did not execute the request */
  LOST_AFTER_SENDING,
  NOT_SENT,
  ANSWERED_LATE,       /* the answer comes after the deadline */
  SILENT,              /* no answer until the run is aborted */
  SENDER_CANCELLED,    /* the sender cancels, then the answer comes */
  SENDER_DISCONNECTED, /* the sender's connection ends, then the answer comes */
} ending_t;

static const struct
{
  const char *name;
  ending_t ending;
  const char *row;
  unsigned answers;
  fq_outcome_t outcome; /* of the answer to the sender */
  unsigned aborts;
  fq_outcome_t repeat; /* of the answer to a repeat */
  unsigned starts;     /* upstream starts, including the repeat's */
} endings[] = {
  { "answered", ANSWERED, "done", 1, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "refused", REFUSED, "done", 1, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED, 1 },
  { "refused, not executed", NOT_EXECUTED, "free", 1, FQ_OUTCOME_NOT_RUN, 0,
    FQ_OUTCOME_ANSWERED, 2 },
  { "connection lost", LOST_AFTER_SENDING, "unknown", 1, FQ_OUTCOME_UNKNOWN, 0,
    FQ_OUTCOME_UNKNOWN, 1 },
  { "not sent", NOT_SENT, "free", 1, FQ_OUTCOME_NOT_RUN, 0, FQ_OUTCOME_ANSWERED, 2 },
  { "late answer", ANSWERED_LATE, "done", 1, FQ_OUTCOME_UNKNOWN, 0, FQ_OUTCOME_ANSWERED,
    1 },
  { "silence", SILENT, "unknown", 1, FQ_OUTCOME_UNKNOWN, 1, FQ_OUTCOME_UNKNOWN, 1 },
  { "cancelled", SENDER_CANCELLED, "done", 0, FQ_OUTCOME_ANSWERED, 0, FQ_OUTCOME_ANSWERED,
    1 },
  { "sender disconnected", SENDER_DISCONNECTED, "done", 0, FQ_OUTCOME_ANSWERED, 0,
    FQ_OUTCOME_ANSWERED, 1 },
};

static void
apply_ending (ending_t ending)
{
  switch (ending)
    {
    case ANSWERED:
      upstream_answers ();
      break;
    case REFUSED:
      upstream_answers_with (503, FQ_OUTCOME_ANSWERED);
      break;
    case NOT_EXECUTED:
      upstream_answers_with (503, FQ_OUTCOME_NOT_RUN);
      break;
    case LOST_AFTER_SENDING:
      upstream_fails (true);
      break;
    case NOT_SENT:
      upstream_fails (false);
      break;
    case ANSWERED_LATE:
      advance (DEADLINE_MS + 1000);
      upstream_answers ();
      break;
    case SILENT:
      advance (DEADLINE_MS + GRACE_MS + 100);
      upstream_fails (true);
      break;
    case SENDER_CANCELLED:
      peer_event (FQ_EVENT_PEER_CANCEL);
      upstream_answers ();
      break;
    case SENDER_DISCONNECTED:
      peer_event (FQ_EVENT_ENTRY_DOWN);
      upstream_answers ();
      break;
    }
  advance (100);
}

START_TEST (test_row_answer_and_repeat_for_each_run_ending)
{
  send_request ("/release");
  advance (50);
  ck_assert_uint_eq (observed.starts, 1);
  ck_assert_str_eq (row_state (), "claimed");
  apply_ending (endings[_i].ending);
  ck_assert_uint_eq (observed.answers, endings[_i].answers);
  if (observed.answers > 0)
    ck_assert_int_eq (observed.answer.outcome, endings[_i].outcome);
  ck_assert_uint_eq (observed.aborts, endings[_i].aborts);
  ck_assert_str_eq (row_state (), endings[_i].row);
  observed.answers += 100;
  send_request ("/release");
  advance (50);
  if (observed.starts == 2)
    upstream_answers ();
  ck_assert_uint_eq (observed.starts, endings[_i].starts);
  ck_assert_int_eq (observed.answer.outcome, endings[_i].repeat);
}
END_TEST

START_TEST (test_a_key_used_for_another_request_is_refused)
{
  send_request ("/release");
  advance (50);
  upstream_answers ();
  advance (50);
  send_request ("/release?draft");
  advance (50);
  ck_assert_uint_eq (observed.starts, 1);
  ck_assert_int_eq (observed.answer.cause, FQ_CAUSE_KEY_REUSED);
  ck_assert_int_eq (observed.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_uint_eq (observed.answer.status, 422);
  ck_assert_uint_eq (observed.answer.retry_after_ms, 0);
}
END_TEST

/* The first run may have been executed, so the outcome "not run" would be wrong. */
START_TEST (test_a_repeat_of_an_unfinished_run_ends_unknown)
{
  send_request ("/release");
  advance (1000);
  observed.answers++;
  send_request ("/release");
  advance (DEADLINE_MS + 100);
  ck_assert_uint_eq (observed.starts, 1);
  ck_assert_int_eq (observed.answer.outcome, FQ_OUTCOME_UNKNOWN);
  ck_assert_int_eq (observed.answer.cause, FQ_CAUSE_IN_PROGRESS);
}
END_TEST

/* The process was suspended while the claim was pending at the store. */
START_TEST (test_a_grant_after_the_deadline_is_released)
{
  store_paused = true;
  send_request ("/release");
  advance (10);
  now += (fq_time_t)(DEADLINE_MS + 500) * MS;
  store_paused = false;
  answer_held_ops ();
  advance (100);
  ck_assert_uint_eq (observed.starts, 0);
  ck_assert_int_eq (observed.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_str_eq (row_state (), "free");
}
END_TEST

START_TEST (test_requests_are_refused_unexecuted_while_the_store_is_down)
{
  store.mode = FAKE_DOWN;
  for (size_t i = 0; i < 5; i++)
    {
      send_request ("/release");
      advance (600);
    }
  ck_assert_uint_eq (observed.starts, 0);
  ck_assert_uint_eq (observed.answers, 5);
  ck_assert_int_eq (observed.answer.cause, FQ_CAUSE_STORE_UNAVAILABLE);
  ck_assert_int_eq (observed.answer.outcome, FQ_OUTCOME_NOT_RUN);
  ck_assert_uint_gt (observed.answer.retry_after_ms, 0);
}
END_TEST

/* Requests with new keys arrive throughout an outage of the store of ten minutes. */
START_TEST (test_few_store_operations_in_an_outage_and_quick_recovery)
{
  fq_time_t restored_at;

  store.mode = FAKE_DOWN;
  store_ops = 0;
  for (; now < 600 * FQ_MICROSECONDS_PER_SECOND; key_number++)
    {
      unsigned int before = observed.answers;

      send_request ("/release");
      advance (250);
      ck_assert_uint_eq (observed.answers, before + 1);
      ck_assert_int_eq (observed.answer.outcome, FQ_OUTCOME_NOT_RUN);
    }
  ck_assert_uint_eq (observed.starts, 0);
  ck_assert_msg (store_ops <= 600, "%u operations in 600 s", store_ops);
  store.mode = FAKE_WORKS;
  restored_at = now;
  for (; observed.starts == 0; key_number++)
    {
      send_request ("/release");
      advance (50);
      ck_assert_int_lt (now - restored_at, 2500 * MS);
    }
}
END_TEST

static void
request_shutdown (void)
{
  fq_event_t event = { .kind = FQ_EVENT_SHUTDOWN };

  feed (&event);
  answer_held_ops ();
}

/*
 * A shutdown waits for the outcome to be written, for a limited time. Without it the
 * claim stays, and no repeat is executed.
 */
START_TEST (test_shutdown_retries_the_outcome_write)
{
  send_request ("/release");
  advance (50);
  store.mode = FAKE_DOWN;
  upstream_answers ();
  request_shutdown ();
  advance (1000);
  store.mode = FAKE_WORKS;
  advance (2500);
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
  tcase_add_loop_test (tcase, test_row_answer_and_repeat_for_each_run_ending, 0,
                       (int)(sizeof endings / sizeof endings[0]));
  tcase_add_test (tcase, test_a_key_used_for_another_request_is_refused);
  tcase_add_test (tcase, test_a_repeat_of_an_unfinished_run_ends_unknown);
  tcase_add_test (tcase, test_a_grant_after_the_deadline_is_released);
  tcase_add_test (tcase, test_requests_are_refused_unexecuted_while_the_store_is_down);
  tcase_add_test (tcase, test_few_store_operations_in_an_outage_and_quick_recovery);
  tcase_add_test (tcase, test_shutdown_retries_the_outcome_write);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
