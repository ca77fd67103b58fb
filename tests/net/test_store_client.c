/**
 * DOC: The contract of the store port, which any store has to keep: the store client
 * against the platform stand-in, without faults and with them.
 */
#include <check.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

#include "net/http_client.h"
#include "net/store_client.h"

#define TIMEOUT_MS 300
#define WAIT_US (5 * LWS_US_PER_SEC)

extern char **environ;

static struct lws_context *context;
static fq_store_client_t *client;
static fq_http_client_t *control_client;
static char address[FQ_ADDRESS_BYTES];
static pid_t platform_pid;
static fq_store_answer_t last_answer;
static char last_value[FQ_KEY_BYTES];
static size_t answer_count;
static bool control_done;
static json_t *control_json;

/* Above the ephemeral ports, which any connection on the machine may take before the
 * stand-in has the port. */
#define PORT_FIRST 61000
#define PORT_COUNT 4000
#define PORT_TRIES 20

static bool
is_free (int port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int rc;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  rc = bind (fd, (struct sockaddr *)&at, sizeof at);
  close (fd);
  return rc == 0;
}

static int
find_free_port (void)
{
  static int offset;

  for (int tries = 0; tries < PORT_COUNT; tries++)
    {
      int port = PORT_FIRST + (getpid () + offset++) % PORT_COUNT;

      if (is_free (port))
        return port;
    }
  ck_abort_msg ("no free port");
}

static void
on_answer (void *user, const fq_store_answer_t *answer)
{
  (void)user;
  answer_count++;
  last_answer = *answer;
  last_value[0] = '\0';
  if (answer->row_count > 0)
    snprintf (last_value, sizeof last_value, "%s", answer->rows[0].value);
}

static void
on_control_done (void *user,
                 fq_id_t exchange,
                 fq_http_result_t result,
                 const fq_http_answer_t *answer)
{
  (void)user;
  (void)exchange;
  control_done = true;
  json_decref (control_json);
  control_json
      = result == FQ_HTTP_ANSWERED && answer->body != NULL
            ? json_loadb ((char *)answer->body->data, answer->body->size, 0, NULL)
            : NULL;
}

static void
post_control (const char *path, const char *body)
{
  fq_http_outbound_request_t http
      = { .method = "POST", .address = address, .path = path };
  static fq_id_t exchange;
  lws_usec_t until = lws_now_usecs () + WAIT_US;

  control_done = false;
  ck_assert_int_eq (fq_blob_new (&http.body, body, strlen (body)), FQ_OK);
  ck_assert_int_eq (fq_http_client_start (control_client, ++exchange, &http), FQ_OK);
  fq_blob_unref (http.body);
  while (!control_done && lws_now_usecs () < until)
    lws_service (context, 0);
  ck_assert (control_done);
}

static bool
is_listening (int port)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int rc;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  rc = connect (fd, (struct sockaddr *)&at, sizeof at);
  close (fd);
  return rc == 0;
}

/* Whether the stand-in serves @port; false: it ended, as another process has the port. */
static bool
start_platform_at (int port)
{
  char argument[FQ_NAME_BYTES];
  char *arguments[] = { "fq-standin-platform", argument, NULL };

  snprintf (argument, sizeof argument, "port=%d", port);
  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  ck_assert_int_eq (posix_spawn (&platform_pid, "./fq-standin-platform", NULL, NULL,
                                 arguments, environ),
                    0);
  for (int tries = 0; tries < 200 && !is_listening (port); tries++)
    {
      if (waitpid (platform_pid, NULL, WNOHANG) != 0)
        return false;
      usleep (20000);
    }
  return true;
}

/* A free port may be taken before the stand-in has it. */
static void
start_platform (void)
{
  for (int tries = 0; tries < PORT_TRIES; tries++)
    {
      if (start_platform_at (find_free_port ()))
        return;
    }
  ck_abort_msg ("the stand-in of the platform finds no free port");
}

static void
set_up (void)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_client_options_t http = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_store_client_options_t options = FQ_STORE_CLIENT_OPTIONS_INIT;

  start_platform ();
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  context = lws_create_context (&info);
  ck_assert_ptr_nonnull (context);
  http.name = "control";
  http.connections = 1;
  http.on_done = on_control_done;
  ck_assert_int_eq (fq_http_client_new (&control_client, context, &http), FQ_OK);
  options.context = context;
  options.address = address;
  options.seed = 7;
  options.connections = 4;
  options.timeout_ms = TIMEOUT_MS;
  options.on_answer = on_answer;
  ck_assert_int_eq (fq_store_client_new (&client, &options), FQ_OK);
}

static void
tear_down (void)
{
  fq_store_client_stop (client);
  lws_context_destroy (context);
  fq_store_client_free (client);
  fq_http_client_free (control_client);
  json_decref (control_json);
  kill (platform_pid, SIGKILL);
  waitpid (platform_pid, NULL, 0);
}

static void
wait_for_answers (size_t expected_count)
{
  lws_usec_t until = lws_now_usecs () + WAIT_US;

  while (answer_count < expected_count && lws_now_usecs () < until)
    lws_service (context, 0);
  ck_assert_uint_eq (answer_count, expected_count);
}

static fq_store_status_t
run_op (fq_store_op_t *op)
{
  static fq_id_t id;

  answer_count = 0;
  op->id = ++id;
  fq_store_client_submit (client, op);
  wait_for_answers (1);
  ck_assert_uint_eq (last_answer.id, id);
  return last_answer.status;
}

static fq_store_status_t
commit_write (const char *key,
              const char *value,
              fq_store_condition_t condition,
              const char *expected)
{
  fq_store_op_t *op;

  ck_assert_int_eq (fq_store_op_new (&op, FQ_STORE_COMMIT, NULL), FQ_OK);
  ck_assert_int_eq (fq_store_op_add_write (op, key, value, condition, expected), FQ_OK);
  return run_op (op);
}

static fq_store_status_t
read_key (fq_store_kind_t kind, const char *key)
{
  fq_store_op_t *op;

  ck_assert_int_eq (fq_store_op_new (&op, kind, key), FQ_OK);
  return run_op (op);
}

/* Writes in this order on one store, with the expected status and value of each. */
static const struct
{
  const char *key;
  const char *value;
  fq_store_condition_t condition;
  const char *expected;
  fq_store_status_t status;
  const char *value_after; /* value of the row afterwards; NULL: no row */
} condition_steps[] = {
  { "t/a", "1", FQ_STORE_ABSENT, NULL, FQ_STORE_DONE, "1" },
  { "t/a", "2", FQ_STORE_ABSENT, NULL, FQ_STORE_CONFLICT, "1" },
  { "t/a", "3", FQ_STORE_EQUALS, "2", FQ_STORE_CONFLICT, "1" },
  { "t/a", "4", FQ_STORE_EQUALS, "1", FQ_STORE_DONE, "4" },
  { "t/a", "5 \"\\\n\xc3\xa9", FQ_STORE_ANY, NULL, FQ_STORE_DONE, "5 \"\\\n\xc3\xa9" },
  { "t/a", NULL, FQ_STORE_EQUALS, "4", FQ_STORE_CONFLICT, "5 \"\\\n\xc3\xa9" },
  { "t/a", NULL, FQ_STORE_ANY, NULL, FQ_STORE_DONE, NULL },
  { "t/a", "6", FQ_STORE_EQUALS, "5", FQ_STORE_CONFLICT, NULL },
  { "t/b c/%25~", "7", FQ_STORE_ABSENT, NULL, FQ_STORE_DONE, "7" },
};

START_TEST (test_write_conditions)
{
  for (size_t i = 0; i < sizeof condition_steps / sizeof condition_steps[0]; i++)
    {
      ck_assert_msg (commit_write (condition_steps[i].key, condition_steps[i].value,
                                   condition_steps[i].condition,
                                   condition_steps[i].expected)
                         == condition_steps[i].status,
                     "step %zu: status %d", i, last_answer.status);
      if (last_answer.status == FQ_STORE_CONFLICT
          && condition_steps[i].value_after != NULL)
        ck_assert_str_eq (last_value, condition_steps[i].value_after);
      ck_assert_int_eq (read_key (FQ_STORE_GET, condition_steps[i].key),
                        condition_steps[i].value_after == NULL ? FQ_STORE_NOT_FOUND
                                                               : FQ_STORE_DONE);
      if (condition_steps[i].value_after != NULL)
        ck_assert_str_eq (last_value, condition_steps[i].value_after);
    }
}
END_TEST

START_TEST (test_conflict_writes_nothing)
{
  fq_store_op_t *op;

  ck_assert_int_eq (commit_write ("t/a", "1", FQ_STORE_ANY, NULL), FQ_STORE_DONE);
  ck_assert_int_eq (fq_store_op_new (&op, FQ_STORE_COMMIT, NULL), FQ_OK);
  fq_store_op_add_write (op, "t/b", "2", FQ_STORE_ABSENT, NULL);
  fq_store_op_add_write (op, "t/a", "3", FQ_STORE_ABSENT, NULL);
  ck_assert_int_eq (run_op (op), FQ_STORE_CONFLICT);
  ck_assert_uint_eq (last_answer.row_count, 1);
  ck_assert_int_eq (read_key (FQ_STORE_GET, "t/b"), FQ_STORE_NOT_FOUND);
}
END_TEST

START_TEST (test_scan_excludes_both_ends)
{
  static const char *const keys[] = { "s/d", "s/a", "s/c", "s/b", "t/a" };
  fq_store_op_t *op;

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    ck_assert_int_eq (commit_write (keys[i], keys[i], FQ_STORE_ANY, NULL), FQ_STORE_DONE);
  ck_assert_int_eq (fq_store_op_new (&op, FQ_STORE_SCAN, "s/a"), FQ_OK);
  op->end = strdup ("s/d");
  op->limit = 10;
  ck_assert_int_eq (run_op (op), FQ_STORE_DONE);
  ck_assert_uint_eq (last_answer.row_count, 2);
  ck_assert_str_eq (last_value, "s/b");
}
END_TEST

START_TEST (test_object_is_read_back)
{
  fq_store_op_t *op;

  ck_assert_int_eq (read_key (FQ_STORE_OBJECT_GET, "o/1"), FQ_STORE_NOT_FOUND);
  ck_assert_int_eq (fq_store_op_new (&op, FQ_STORE_OBJECT_PUT, "o/1"), FQ_OK);
  op->value = strdup ("whole");
  ck_assert_int_eq (run_op (op), FQ_STORE_DONE);
  ck_assert_int_eq (read_key (FQ_STORE_OBJECT_GET, "o/1"), FQ_STORE_DONE);
  ck_assert_str_eq (last_value, "whole");
}
END_TEST

/* A write during a fault: its status, and whether it took effect in the end. */
static const struct
{
  const char *fault;
  fq_store_status_t status;
  bool written;
} fault_cases[] = {
  { "{}", FQ_STORE_DONE, true },
  { "{\"delay_ms\":50}", FQ_STORE_DONE, true },
  { "{\"delay_ms\":500}", FQ_STORE_UNAVAILABLE, true },
  { "{\"drop_answers\":1}", FQ_STORE_UNAVAILABLE, true },
  { "{\"down_ms\":600}", FQ_STORE_UNAVAILABLE, false },
  { "{\"refuse_ms\":200}", FQ_STORE_UNAVAILABLE, false },
  { "{\"writes_per_second\":0.001}", FQ_STORE_BUSY, false },
};

static void
run_for (lws_usec_t duration)
{
  lws_usec_t until = lws_now_usecs () + duration;

  while (lws_now_usecs () < until)
    {
      static lws_sorted_usec_list_t wake;

      lws_sul_schedule (context, 0, &wake, (sul_cb_t)lws_sul_cancel, LWS_US_PER_MS);
      lws_service (context, 0);
    }
}

START_TEST (test_write_with_platform_fault)
{
  ck_assert_int_eq (commit_write ("f/first", "1", FQ_STORE_ANY, NULL), FQ_STORE_DONE);
  post_control ("/fault", fault_cases[_i].fault);
  ck_assert_int_eq (commit_write ("f/a", "1", FQ_STORE_ABSENT, NULL),
                    fault_cases[_i].status);
  post_control ("/fault", "{\"delay_ms\":0,\"writes_per_second\":0}");
  run_for (700 * LWS_US_PER_MS);
  ck_assert_int_eq (read_key (FQ_STORE_GET, "f/a"),
                    fault_cases[_i].written ? FQ_STORE_DONE : FQ_STORE_NOT_FOUND);
}
END_TEST

START_TEST (test_dead_platform_is_unavailable)
{
  kill (platform_pid, SIGKILL);
  waitpid (platform_pid, NULL, 0);
  ck_assert_int_eq (commit_write ("t/a", "1", FQ_STORE_ANY, NULL), FQ_STORE_UNAVAILABLE);
}
END_TEST

/* While the platform is down, only a few of many operations are sent to it, and all are
 * answered within WAIT_US. */
START_TEST (test_few_requests_are_sent_during_outage)
{
  json_int_t dropped; /* requests that the platform dropped */

  post_control ("/fault", "{\"down_ms\":1500}");
  answer_count = 0;
  for (size_t i = 0; i < 300; i++)
    {
      fq_store_op_t *op;

      ck_assert_int_eq (fq_store_op_new (&op, FQ_STORE_GET, "t/a"), FQ_OK);
      op->id = i + 1;
      fq_store_client_submit (client, op);
      run_for (4 * LWS_US_PER_MS);
    }
  wait_for_answers (300);
  post_control ("/counters", "");
  dropped = json_integer_value (json_object_get (control_json, "dropped"));
  ck_assert_int_gt (dropped, 0);
  ck_assert_int_le (dropped, 15);
  run_for (2 * LWS_US_PER_SEC);
  ck_assert_int_eq (read_key (FQ_STORE_GET, "t/a"), FQ_STORE_NOT_FOUND);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store_client");
  TCase *tcase = tcase_create ("contract");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, test_write_conditions);
  tcase_add_test (tcase, test_conflict_writes_nothing);
  tcase_add_test (tcase, test_scan_excludes_both_ends);
  tcase_add_test (tcase, test_object_is_read_back);
  tcase_add_loop_test (tcase, test_write_with_platform_fault, 0,
                       (int)(sizeof fault_cases / sizeof fault_cases[0]));
  tcase_add_test (tcase, test_dead_platform_is_unavailable);
  tcase_add_test (tcase, test_few_requests_are_sent_during_outage);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
