/**
 * DOC: Tests of calls and health checks to the local server, against a server on a socket
 * that answers one of them twice.
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
#define STEP_SECONDS 0.1

/* A full server rejects a health check like any other request, without an id. */
static const char rejection[] = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: "
                                "1\r\nContent-Length: 0\r\n\r\n";

static int listener;
static fq_server_calls_t *calls;
static int probed_count;
static int answered_count;
static int failed_count;

static void
on_answered (void *context,
             fq_id_t run,
             fq_server_outcome_t outcome,
             const fq_server_notice_t *notice,
             fq_http_message_t *answer)
{
  (void)context;
  (void)run;
  (void)outcome;
  (void)notice;
  (void)answer;
  answered_count++;
}

static void
on_failed (void *context, fq_id_t run, fq_server_failure_t failure)
{
  (void)context;
  (void)run;
  (void)failure;
  failed_count++;
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
  ck_assert_int_eq (outcome, FQ_PROBE_UNHEALTHY);
  probed_count++;
}

static const fq_server_calls_handlers_t handlers
    = { .answered = on_answered, .failed = on_failed, .probed = on_probed };

static void
setup (void)
{
  char text[FQ_ADDRESS_BYTES];

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

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

static void
start_call (void)
{
  fq_mesh_effect_t effect = { .kind = FQ_MESH_EFFECT_SERVER_CALL };

  effect.server_call.run = 1;
  effect.server_call.remaining_ms = 1000;
  effect.server_call.message = fq_http_message_new ();
  strcpy (effect.server_call.message->method, "POST");
  effect.server_call.message->target = strdup ("/once/1");
  effect.server_call.request_id = fq_text_new ("r1");
  effect.server_call.instance = fq_text_new ("i-1");
  effect.server_call.caller = fq_text_new ("front");
  fq_server_calls_start (calls, &effect);
  fq_http_message_unref (effect.server_call.message);
  fq_text_unref (effect.server_call.request_id);
  fq_text_unref (effect.server_call.instance);
  fq_text_unref (effect.server_call.caller);
}

/* Guards against a finding of the review: the second copy of an answer to a health check,
 * late on a kept connection, became the answer to the request there, which ran. */
START_TEST (test_second_answer_to_health_check_is_no_answer_to_a_request)
{
  int fd;

  fq_server_calls_probe (calls, "/health");
  rig_run_for (STEP_SECONDS);
  fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  send_text (fd, rejection);
  rig_run_for (STEP_SECONDS);
  ck_assert_int_eq (probed_count, 1);
  start_call ();
  rig_run_for (STEP_SECONDS);
  /* The connection may be gone. */
  (void)!send (fd, rejection, strlen (rejection), MSG_NOSIGNAL);
  rig_run_for (STEP_SECONDS);
  ck_assert_int_eq (answered_count, 0);
  ck_assert_int_eq (failed_count, 0);
  close (fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server-calls");
  TCase *tcase = tcase_create ("server-calls");
  SRunner *runner = srunner_create (suite);
  int failures;

  suite_add_tcase (suite, tcase);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, test_second_answer_to_health_check_is_no_answer_to_a_request);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
