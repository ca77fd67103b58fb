/**
 * DOC: Tests of what a call makes of the answers of a faulty server: refusals that it
 * writes once more on a kept connection, and heads that break off.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop_rig.h"
#include "node/event_log.h"
#include "node/server_calls.h"

#define MEMORY_BYTES (64u << 20)
#define WAIT_STEPS 400
#define WAIT_STEP_SECONDS 0.005
#define STEP_SECONDS 0.02
#define TIME_LIMIT_MS 1000
#define RUNS_MAX 8
#define REQUEST_BYTES 4096
#define ANSWER_BYTES 4096

/** result_t - how a call ended. */
typedef struct
{
  bool ended;
  bool answered;
  fq_server_outcome_t outcome;
  fq_server_failure_t failure;
  uint16_t status;
  size_t body_bytes;
} result_t;

static int listener;
static fq_server_calls_t *calls;
static result_t results[RUNS_MAX];
static bool probe_ended;
static fq_probe_outcome_t probe_outcome;

static void
on_answered (void *context,
             fq_id_t run,
             fq_server_outcome_t outcome,
             const fq_server_notice_t *notice,
             fq_http_message_t *answer)
{
  (void)context;
  (void)notice;
  ck_assert (!results[run].ended);
  results[run] = (result_t){ .ended = true,
                             .answered = true,
                             .outcome = outcome,
                             .status = answer->status,
                             .body_bytes = fq_http_message_body_size (answer) };
}

static void
on_failed (void *context, fq_id_t run, fq_server_failure_t failure)
{
  (void)context;
  ck_assert (!results[run].ended);
  results[run] = (result_t){ .ended = true, .failure = failure };
}

static void
on_probed (void *context,
           fq_probe_outcome_t outcome,
           fq_text_t *instance,
           const fq_server_notice_t *notice)
{
  (void)context;
  (void)instance;
  (void)notice;
  probe_ended = true;
  probe_outcome = outcome;
}

static const fq_server_calls_handlers_t handlers
    = { .answered = on_answered, .failed = on_failed, .probed = on_probed };

static void
setup (void)
{
  char text[FQ_ADDRESS_BYTES];

  memset (results, 0, sizeof results);
  probe_ended = false;
  rig_open ();
  listener = rig_listen (text);
  ck_assert_int_eq (
      fq_server_calls_open (&calls, &io, text, MEMORY_BYTES, &handlers, NULL), 0);
}

static void
teardown (void)
{
  fq_server_calls_close (calls);
  rig_close ();
  close (listener);
}

/* Runs the loop until @flag is set, or for WAIT_STEPS. */
static void
run_until (const bool *flag)
{
  for (int step = 0; !*flag && step < WAIT_STEPS; step++)
    rig_run_for (WAIT_STEP_SECONDS);
}

/* With a body of @body_bytes. */
static void
start_upload (fq_id_t run,
              const char *id,
              bool idempotent,
              size_t body_bytes,
              uint32_t remaining_ms)
{
  fq_mesh_effect_t effect = { .kind = FQ_MESH_EFFECT_SERVER_CALL };

  effect.server_call.run = run;
  effect.server_call.remaining_ms = remaining_ms;
  effect.server_call.idempotent = idempotent;
  effect.server_call.message = fq_http_message_new ();
  strcpy (effect.server_call.message->method, idempotent ? "GET" : "POST");
  effect.server_call.message->target = strdup ("/a/1");
  if (body_bytes > 0)
    {
      char *body = calloc (body_bytes, 1);

      ck_assert_int_eq (fq_blob_new (&effect.server_call.message->body, body, body_bytes),
                        0);
      free (body);
    }
  fq_http_message_add (effect.server_call.message, "X-Attempt-Id", id);
  effect.server_call.request_id = fq_text_new (id);
  effect.server_call.instance = fq_text_new ("i-1");
  effect.server_call.caller = fq_text_new ("front");
  fq_server_calls_start (calls, &effect);
  fq_http_message_unref (effect.server_call.message);
  fq_text_unref (effect.server_call.request_id);
  fq_text_unref (effect.server_call.instance);
  fq_text_unref (effect.server_call.caller);
}

static void
start_call (fq_id_t run, const char *id, bool idempotent)
{
  start_upload (run, id, idempotent, 0, TIME_LIMIT_MS);
}

/* Waits for the head of a request on a new connection or on @kept (-1: none). Return: the
 * connection. */
static int
await_request (int kept)
{
  char request[REQUEST_BYTES];
  int fd = -1;

  for (int step = 0; step < WAIT_STEPS; step++)
    {
      rig_run_for (WAIT_STEP_SECONDS);
      if (kept >= 0 && recv (kept, request, sizeof request, MSG_DONTWAIT) > 0)
        return kept;
      if (fd < 0)
        fd = accept (listener, NULL, NULL);
      if (fd >= 0 && recv (fd, request, sizeof request, MSG_DONTWAIT) > 0)
        return fd;
    }
  ck_abort_msg ("the server got no request");
  return -1;
}

/* The connection may be gone. */
static void
write_text (int fd, const char *text, size_t size)
{
  (void)!send (fd, text, size, MSG_NOSIGNAL);
}

/* An answer to request @id; NULL: it does not say to which. */
static const char *
format_answer (char *out, const char *status, const char *id, const char *field)
{
  char named[128] = "";

  if (id != NULL)
    snprintf (named, sizeof named, "X-Attempt-Id: %s\r\n", id);
  snprintf (out, ANSWER_BYTES, "HTTP/1.1 %s\r\n%s%s\r\nContent-Length: 2\r\n\r\nab",
            status, named, field);
  return out;
}

/* When the server writes the refusal once more. */
typedef enum
{
  EARLY,        /* before the next request */
  LATE,         /* after the next request, before its answer */
  GLUED_BEFORE, /* in one piece with the answer to the next request, before it */
  GLUED_AFTER,  /* the same, after it */
  TIMES,
} repeat_time_t;

static const char *const refusals[] = {
  "503 Service Unavailable",
  "429 Too Many Requests",
  "421 Misdirected Request",
  "408 Request Timeout",
};

#define REFUSALS (sizeof refusals / sizeof refusals[0])

/** repeat_t - a refusal that is written once more. */
typedef struct
{
  repeat_time_t time;
  const char *status;
  bool named;      /* the refusal states the id of its request */
  bool copy_named; /* and so does the copy */
  bool same_id;    /* the next request has the id of the refused one */
  bool idempotent;
} repeat_t;

static repeat_t
nth_repeat (int number)
{
  repeat_t repeat = { .time = (repeat_time_t)(number % TIMES) };

  number /= TIMES;
  repeat.status = refusals[(size_t)number % REFUSALS];
  number /= (int)REFUSALS;
  repeat.named = number & 1;
  repeat.copy_named = number & 2;
  repeat.same_id = number & 4;
  repeat.idempotent = number & 8;
  return repeat;
}

#define REPEATS (TIMES * (int)REFUSALS * 16)

/* Guards against a refusal that the server writes once more on a kept connection: the
 * next request there ran, and its client was told that it did not, so that it ran twice
 * (REFUSED, TWICE). */
START_TEST (test_repeated_refusal_is_no_answer_to_the_next_request)
{
  repeat_t repeat = nth_repeat (_i);
  const char *next_id = repeat.same_id ? "r1" : "r2";
  char refusal[ANSWER_BYTES];
  char copy[ANSWER_BYTES];
  char answer[ANSWER_BYTES];
  char glued[2 * ANSWER_BYTES];
  int first;
  int second;

  format_answer (refusal, repeat.status, repeat.named ? "r1" : NULL, "X-Not-Executed: 1");
  format_answer (copy, repeat.status, repeat.copy_named ? "r1" : NULL,
                 "X-Not-Executed: 1");
  format_answer (answer, "200 OK", next_id, "X-Response-Signature: s");
  start_call (1, "r1", repeat.idempotent);
  first = await_request (-1);
  write_text (first, refusal, strlen (refusal));
  run_until (&results[1].ended);
  ck_assert (results[1].answered);
  ck_assert_int_ne (results[1].outcome, FQ_SERVER_ANSWERED);
  if (repeat.time == EARLY)
    write_text (first, copy, strlen (copy));
  start_call (2, next_id, repeat.idempotent);
  second = await_request (first);
  if (repeat.time == LATE)
    {
      write_text (first, copy, strlen (copy));
      rig_run_for (STEP_SECONDS);
    }
  snprintf (glued, sizeof glued, "%s%s%s", repeat.time == GLUED_BEFORE ? copy : "",
            answer, repeat.time == GLUED_AFTER ? copy : "");
  /* On another connection, the faulty server writes the copy on the first one. */
  if (second == first)
    write_text (second, glued, strlen (glued));
  else
    {
      write_text (first, copy, strlen (copy));
      write_text (second, answer, strlen (answer));
    }
  run_until (&results[2].ended);
  ck_assert_msg (results[2].answered && results[2].outcome == FQ_SERVER_ANSWERED
                     && results[2].status == 200,
                 "ended %d, answered %d, outcome %d, status %u", results[2].ended,
                 results[2].answered, results[2].outcome, results[2].status);
  close (first);
  if (second != first)
    close (second);
}
END_TEST

/* Guards against a copy of a refusal that is taken for the answer to a health check. */
START_TEST (test_repeated_refusal_is_no_answer_to_a_health_check)
{
  char refusal[ANSWER_BYTES];
  char healthy[ANSWER_BYTES];
  int first;
  int second;

  format_answer (refusal, "503 Service Unavailable", "r1", "X-Not-Executed: 1");
  format_answer (healthy, "200 OK", NULL, "X-Instance-Id: i-1");
  start_call (1, "r1", true);
  first = await_request (-1);
  write_text (first, refusal, strlen (refusal));
  run_until (&results[1].ended);
  fq_server_calls_probe (calls, "/health");
  second = await_request (first);
  write_text (first, refusal, strlen (refusal));
  rig_run_for (STEP_SECONDS);
  ck_assert (!probe_ended);
  write_text (second, healthy, strlen (healthy));
  run_until (&probe_ended);
  ck_assert (probe_ended);
  ck_assert_int_eq (probe_outcome, FQ_PROBE_HEALTHY);
  close (first);
  close (second);
}
END_TEST

/** early_answer_t - an answer to an upload of which the server has not read all. */
typedef struct
{
  const char *status;
  const char *field;
  size_t body_bytes;
} early_answer_t;

static const early_answer_t early_answers[] = {
  { "200 OK", "X-Response-Signature: s", 17000 },
  { "200 OK", "X-Response-Signature: s", 360000 },
  { "400 Bad Request", "X-Not-Executed: 1", 17000 },
  { "500 Internal Server Error", "X-More: 1", 360000 },
  { "503 Service Unavailable", "X-Not-Executed: 1", 360000 },
};

/* Guards against review/10: the server answers before it has read a long body, and reads
 * on later; the next request waited behind the rest of the body, and reached the server
 * long after its drain. */
START_TEST (test_no_request_waits_behind_a_body_that_is_not_read)
{
  const early_answer_t *early = &early_answers[_i];
  char answer[ANSWER_BYTES];
  char part[REQUEST_BYTES];
  int first;
  int second = -1;

  start_upload (1, "r1", false, early->body_bytes, TIME_LIMIT_MS);
  first = await_request (-1);
  (void)!recv (first, part, sizeof part, MSG_DONTWAIT);
  rig_run_for (STEP_SECONDS);
  format_answer (answer, early->status, "r1", early->field);
  write_text (first, answer, strlen (answer));
  run_until (&results[1].ended);
  ck_assert (results[1].answered);
  start_call (2, "r2", false);
  for (int step = 0; second < 0 && step < WAIT_STEPS; step++)
    {
      rig_run_for (WAIT_STEP_SECONDS);
      second = accept (listener, NULL, NULL);
    }
  ck_assert_msg (second >= 0, "the request waits on the first connection");
  close (first);
  close (second);
}
END_TEST

/* Guards against review/9: a server that reads nothing of an upload for some seconds, and
 * then reads on, counted as gone, and its client got 502. */
START_TEST (test_server_that_reads_slowly_is_not_given_up)
{
  static const double pauses[] = { 1, 2.9, 4.5 };
  const size_t body_bytes = 8u << 20;
  char part[REQUEST_BYTES];
  char answer[ANSWER_BYTES];
  size_t received = 0;
  int fd;

  start_upload (1, "r1", false, body_bytes, 8000);
  fd = await_request (-1);
  rig_run_for (pauses[_i]);
  ck_assert_msg (!results[1].ended, "failure %d", results[1].failure);
  for (int step = 0; received < body_bytes && step < WAIT_STEPS; step++)
    {
      ssize_t size;

      rig_run_for (WAIT_STEP_SECONDS);
      while ((size = recv (fd, part, sizeof part, MSG_DONTWAIT)) > 0)
        received += (size_t)size;
    }
  ck_assert_uint_ge (received + REQUEST_BYTES, body_bytes);
  format_answer (answer, "200 OK", "r1", "X-Response-Signature: s");
  write_text (fd, answer, strlen (answer));
  run_until (&results[1].ended);
  ck_assert (results[1].answered);
  ck_assert_uint_eq (results[1].status, 200);
  close (fd);
}
END_TEST

/* What comes before an answer that breaks off. */
typedef enum
{
  NOTHING,
  INTERIM,      /* an interim answer */
  OTHER_ANSWER, /* an answer to an earlier request */
  KEPT,         /* an earlier request and its answer, on the same connection */
  PRECEDINGS,
} preceding_t;

static const char whole_answer[] = "HTTP/1.1 200 OK\r\n"
                                   "Server: s\r\n"
                                   "X-Attempt-Id: r2\r\n"
                                   "X-Response-Signature: 3e1b.07\r\n"
                                   "Content-Length: 5\r\n"
                                   "\r\n"
                                   "hello";

static int
begin_answer (preceding_t preceding)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\nX-Attempt-Id: r2\r\n\r\n";
  char other[ANSWER_BYTES];
  int fd = -1;

  format_answer (other, "200 OK", "r1", "X-Response-Signature: s");
  if (preceding == KEPT)
    {
      start_call (1, "r1", true);
      fd = await_request (-1);
      write_text (fd, other, strlen (other));
      run_until (&results[1].ended);
      ck_assert_int_eq (results[1].outcome, FQ_SERVER_ANSWERED);
    }
  start_call (2, "r2", true);
  fd = await_request (fd);
  if (preceding == INTERIM)
    write_text (fd, interim, strlen (interim));
  if (preceding == OTHER_ANSWER)
    write_text (fd, other, strlen (other));
  return fd;
}

/* Guards against an answer that breaks off in its head, or in its body, and reaches the
 * client as a whole one that is empty or short (MIXED). Each loop breaks off after one
 * byte more. */
START_TEST (test_answer_that_breaks_off_is_no_answer)
{
  size_t sent = (size_t)_i;

  for (int preceding = NOTHING; preceding < PRECEDINGS; preceding++)
    {
      for (int resets = 0; resets < 2; resets++)
        {
          const struct linger reset = { .l_onoff = 1 };
          int fd;

          setup ();
          fd = begin_answer ((preceding_t)preceding);
          write_text (fd, whole_answer, sent);
          rig_run_for (STEP_SECONDS / 4);
          if (resets)
            setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
          close (fd);
          run_until (&results[2].ended);
          ck_assert (results[2].ended);
          ck_assert_msg (!results[2].answered,
                         "cut after %zu bytes: status %u, body of %zu bytes", sent,
                         results[2].status, results[2].body_bytes);
          ck_assert_int_ne (results[2].failure, FQ_SERVER_CONNECT_FAILED);
          teardown ();
        }
    }
}
END_TEST

/* The same for a health check: what breaks off does not say that the server is healthy.
 */
START_TEST (test_health_check_that_breaks_off_is_unanswered)
{
  static const char healthy[]
      = "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 1\r\n\r\n1";
  int fd;

  if ((size_t)_i >= strlen (healthy))
    return;
  fq_server_calls_probe (calls, "/health");
  fd = await_request (-1);
  write_text (fd, healthy, (size_t)_i);
  rig_run_for (STEP_SECONDS / 4);
  close (fd);
  run_until (&probe_ended);
  ck_assert (probe_ended);
  ck_assert_int_eq (probe_outcome, FQ_PROBE_UNANSWERED);
}
END_TEST

/* Guards against a check that can't fail: the whole answer is one. */
START_TEST (test_whole_answer_is_an_answer)
{
  for (int preceding = NOTHING; preceding < PRECEDINGS; preceding++)
    {
      int fd;

      setup ();
      fd = begin_answer ((preceding_t)preceding);
      write_text (fd, whole_answer, strlen (whole_answer));
      run_until (&results[2].ended);
      ck_assert (results[2].answered);
      ck_assert_int_eq (results[2].outcome, FQ_SERVER_ANSWERED);
      ck_assert_uint_eq (results[2].body_bytes, 5);
      close (fd);
      teardown ();
    }
}
END_TEST

#define LARGE_FIELD_BYTES 200000

/* Guards against an answer that is taken for malformed, as its head is larger than some
 * size that no page sets. */
START_TEST (test_answer_with_a_large_head_is_an_answer)
{
  char *answer = malloc (LARGE_FIELD_BYTES + ANSWER_BYTES);
  size_t size;
  int fd;

  size = (size_t)sprintf (answer,
                          "HTTP/1.1 200 OK\r\nX-Attempt-Id: r2\r\n"
                          "X-Response-Signature: s\r\nX-Large: %0*d\r\n"
                          "Content-Length: 2\r\n\r\nab",
                          LARGE_FIELD_BYTES, 7);
  fd = begin_answer (NOTHING);
  for (size_t sent = 0; sent < size; sent += ANSWER_BYTES)
    {
      size_t left = size - sent;

      write_text (fd, answer + sent, left < ANSWER_BYTES ? left : ANSWER_BYTES);
      ev_run (loop, EVRUN_NOWAIT);
    }
  run_until (&results[2].ended);
  ck_assert (results[2].answered);
  ck_assert_int_eq (results[2].outcome, FQ_SERVER_ANSWERED);
  close (fd);
  free (answer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server-answers");
  TCase *repeats = tcase_create ("repeated refusals");
  TCase *breaks = tcase_create ("answers that break off");
  SRunner *runner = srunner_create (suite);
  int failures;

  suite_add_tcase (suite, repeats);
  tcase_add_checked_fixture (repeats, setup, teardown);
  tcase_add_loop_test (repeats, test_repeated_refusal_is_no_answer_to_the_next_request, 0,
                       REPEATS);
  tcase_add_test (repeats, test_repeated_refusal_is_no_answer_to_a_health_check);
  tcase_add_loop_test (repeats, test_server_that_reads_slowly_is_not_given_up, 0, 3);
  tcase_set_timeout (repeats, 20);
  tcase_add_loop_test (repeats, test_no_request_waits_behind_a_body_that_is_not_read, 0,
                       (int)(sizeof early_answers / sizeof early_answers[0]));
  tcase_add_loop_test (repeats, test_health_check_that_breaks_off_is_unanswered, 0,
                       (int)sizeof whole_answer);
  tcase_add_test (repeats, test_answer_with_a_large_head_is_an_answer);
  suite_add_tcase (suite, breaks);
  tcase_add_loop_test (breaks, test_answer_that_breaks_off_is_no_answer, 0,
                       (int)sizeof whole_answer - 1);
  tcase_add_test (breaks, test_whole_answer_is_an_answer);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
