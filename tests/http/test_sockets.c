/**
 * DOC: Tests of the HTTP server and client on sockets, against a peer that sends given
 * bytes.
 */
#define _GNU_SOURCE
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "loop.h"

#define HEAD_TIMEOUT_MS 150
#define RECEIVED_MAX 8192
#define UPLOAD_BYTES ((size_t)32 << 20) /* more than the buffers of a connection */

/* The server under test answers each request with its target as body; it leaves /wait
 * pending. */
static fq_http_server_t *server;
static char targets[256]; /* of all requests received, each followed by a space */
static size_t body_bytes;
static fq_id_t pending_id;
static fq_id_t disconnected_id;

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  fq_http_message_t *answer = fq_http_message_new ();

  (void)context;
  (void)from;
  strcat (targets, message->target);
  strcat (targets, " ");
  body_bytes += fq_http_message_body_size (message);
  answer->status = 200;
  ck_assert_int_eq (
      fq_blob_new (&answer->body, message->target, strlen (message->target)), 0);
  if (strcmp (message->target, "/wait") == 0)
    pending_id = id;
  else
    fq_http_server_reply (server, id, answer);
  fq_http_message_unref (answer);
}

static void
reply_empty (fq_id_t id)
{
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = 200;
  fq_http_server_reply (server, id, answer);
  fq_http_message_unref (answer);
}

static void
on_client_disconnected (void *context, fq_id_t id)
{
  (void)context;
  disconnected_id = id;
}

static const fq_http_server_handlers_t server_handlers
    = { .request = on_request, .client_disconnected = on_client_disconnected };

static void
open_server (void)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;

  options.limits.head_bytes = 256;
  options.head_timeout_ms = HEAD_TIMEOUT_MS;
  targets[0] = '\0';
  body_bytes = 0;
  pending_id = 0;
  disconnected_id = 0;
  choose_port ();
  ck_assert_int_eq (
      fq_http_server_open (&server, &io, &address, &options, &server_handlers, NULL), 0);
}

static int
connect_client (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/* Receives what has arrived; returns whether the connection was closed after it. */
static bool
receive (int fd, char *received)
{
  size_t size = 0;
  ssize_t count;

  run_for (0.05);
  while ((count = recv (fd, received + size, RECEIVED_MAX - 1 - size, MSG_DONTWAIT)) > 0)
    size += (size_t)count;
  received[size] = '\0';
  return count == 0;
}

START_TEST (test_pipelined_requests_are_answered_in_order)
{
  char received[RECEIVED_MAX];
  int fd;
  const char *first;

  open_server ();
  fd = connect_client ();
  send_text (fd,
             "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
             "GET /wait HTTP/1.1\r\nHost: a\r\n\r\nGET /4 HTTP/1.1\r\nHost: a\r\n\r\n");
  ck_assert (!receive (fd, received));
  first = strstr (received, "/1");
  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_nonnull (strstr (first, "/2"));
  ck_assert_str_eq (targets, "/1 /2 /wait ");
  reply_empty (pending_id);
  ck_assert (!receive (fd, received));
  ck_assert_ptr_nonnull (strstr (received, "/4"));
  close (fd);
  fq_http_server_close (server);
}
END_TEST

START_TEST (test_bodies_with_length_and_chunked_are_read)
{
  char received[RECEIVED_MAX];
  int fd;

  open_server ();
  fd = connect_client ();
  send_text (fd, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                 "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  receive (fd, received);
  send_text (fd, "4\r\nabcd\r\n0\r\n\r\n");
  ck_assert (!receive (fd, received));
  ck_assert_uint_eq (body_bytes, 7);
  close (fd);
  fq_http_server_close (server);
}
END_TEST

/* A row: a request, and the status line with which it is rejected. */
static const struct
{
  const char *sent;
  const char *status;
} rejected_requests[] = {
  { "GET / HTTP/1.1\r\nHost: a\r\n X: folded\r\n\r\n", "HTTP/1.1 400" },
  { "GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n", "HTTP/1.1 400" },
  { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 413" },
  { "GET / HTTP/1.1\r\nHost: a\r\nX: 0123456789012345678901234567890123456789012345678901"
    "234567890123456789012345678901234567890123456789012345678901234567890123456789012345"
    "678901234567890123456789012345678901234567890123456789012345678901234567890123456789"
    "0123456789012345678901234567890123456789\r\n\r\n",
    "HTTP/1.1 431" },
};

START_TEST (test_bad_request_gets_its_status_and_affects_no_other)
{
  char received[RECEIVED_MAX];
  int bad;
  int good;

  open_server ();
  bad = connect_client ();
  good = connect_client ();
  send_text (bad, rejected_requests[_i].sent);
  send_text (good, "GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
  ck_assert (receive (bad, received));
  ck_assert_int_eq (strncmp (received, rejected_requests[_i].status,
                             strlen (rejected_requests[_i].status)),
                    0);
  ck_assert (!receive (good, received));
  ck_assert_ptr_nonnull (strstr (received, "/good"));
  close (bad);
  close (good);
  fq_http_server_close (server);
}
END_TEST

START_TEST (test_slow_head_gets_408)
{
  char received[RECEIVED_MAX];
  int fd;

  open_server ();
  fd = connect_client ();
  send_text (fd, "GET / HT");
  run_for (HEAD_TIMEOUT_MS / 2000.0);
  send_text (fd, "TP/1.1\r\n");
  run_for (HEAD_TIMEOUT_MS / 1000.0);
  ck_assert (receive (fd, received));
  ck_assert_int_eq (strncmp (received, "HTTP/1.1 408", strlen ("HTTP/1.1 408")), 0);
  close (fd);
  fq_http_server_close (server);
}
END_TEST

START_TEST (test_client_disconnect_is_reported)
{
  char received[RECEIVED_MAX];
  int fd;

  open_server ();
  fd = connect_client ();
  send_text (fd, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  receive (fd, received);
  ck_assert_uint_ne (pending_id, 0);
  close (fd);
  run_for (0.05);
  ck_assert_uint_eq (disconnected_id, pending_id);
  /* A reply to the disconnected client is ignored. */
  reply_empty (pending_id);
  fq_http_server_close (server);
}
END_TEST

static void
send_large_answer (fq_id_t id)
{
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = 200;
  ck_assert_int_eq (fq_blob_new (&answer->body, NULL, 32 << 20), 0);
  fq_http_server_disable_keep_alive (server);
  fq_http_server_reply (server, id, answer);
  fq_http_message_unref (answer);
}

/* A client that does not read its answer may occupy the server's memory only until the
 * shutdown timeout of the stream. */
START_TEST (test_unread_answer_is_dropped_after_timeout)
{
  char received[RECEIVED_MAX];
  size_t size = 0;
  ssize_t count = 0;
  int fd;

  open_server ();
  fd = connect_client ();
  send_text (fd, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  run_for (0.05);
  send_large_answer (pending_id);
  run_for (6);
  /* The connection must have been closed with output unsent, not only blocked. */
  for (int i = 0; i < 20000; i++)
    {
      count = recv (fd, received, sizeof received, MSG_DONTWAIT);
      if (count == 0 || (count < 0 && errno != EAGAIN))
        break;
      if (count > 0)
        size += (size_t)count;
      else
        run_for (0.002);
    }
  ck_assert_uint_lt (size, 32 << 20);
  ck_assert (count <= 0 && (count == 0 || errno != EAGAIN));
  close (fd);
  fq_http_server_close (server);
}
END_TEST

START_TEST (test_expect_100_continue_gets_interim_answer)
{
  char received[RECEIVED_MAX];
  int fd;

  open_server ();
  fd = connect_client ();
  send_text (fd, "POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                 "Content-Length: 1\r\n\r\n");
  receive (fd, received);
  ck_assert_int_eq (strncmp (received, "HTTP/1.1 100", strlen ("HTTP/1.1 100")), 0);
  send_text (fd, "a");
  receive (fd, received);
  ck_assert_ptr_nonnull (strstr (received, "/1"));
  close (fd);
  fq_http_server_close (server);
}
END_TEST

/* The server for the client under test: it sends given bytes on a plain socket. */
static int listen_fd;

static void
open_byte_server (void)
{
  int on = 1;

  choose_port ();
  listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ck_assert_int_eq (bind (listen_fd, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (listen (listen_fd, 8), 0);
}

static size_t request_body_bytes; /* of the next calls */
static char outcome[64]; /* of the last call: body of the answer, or the failure */

static fq_http_match_t
match_by_id (void *context, const fq_http_message_t *answer)
{
  char id[8];

  (void)context;
  fq_http_message_get (answer, "Id", id, sizeof id);
  if (strcmp (id, "old") == 0)
    return FQ_HTTP_MATCH_OTHER;
  return strcmp (id, "none") == 0 ? FQ_HTTP_MATCH_LAST : FQ_HTTP_MATCH_CALL;
}

static void
on_answered (void *context, fq_http_message_t *answer)
{
  (void)context;
  snprintf (outcome, sizeof outcome, "%.*s", (int)fq_http_message_body_size (answer),
            answer->body == NULL ? "" : (const char *)answer->body->data);
}

static void
on_failed (void *context, fq_http_failure_t failure)
{
  static const char *const names[]
      = { "connect", "connection lost", "malformed", "timeout" };

  (void)context;
  strcpy (outcome, names[failure]);
}

static const fq_http_call_handlers_t call_handlers
    = { .match_answer = match_by_id, .answered = on_answered, .failed = on_failed };

static void
start_call (fq_http_client_t *client)
{
  fq_http_message_t *request = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = 400 };
  fq_http_call_t *started;

  strcpy (request->method, request_body_bytes == 0 ? "GET" : "POST");
  request->target = strdup ("/");
  if (request_body_bytes > 0)
    ck_assert_int_eq (fq_blob_new (&request->body, NULL, request_body_bytes), 0);
  strcpy (outcome, "none");
  ck_assert_int_eq (
      fq_http_client_call (&started, client, request, &options, &call_handlers, NULL), 0);
  fq_http_message_unref (request);
  run_for (0.05);
}

static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* A row: what the server sends, how it ends the connection, the outcome of the call, and
 * whether the next call reuses the connection. */
static const struct
{
  const char *name;
  const char *sent;
  char end; /* 'k': stays open, 'c': closed, 'r': reset */
  const char *outcome;
  bool is_reused;
} exchanges[] = {
  { "complete answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 'k', "ab",
    true },
  { "answer to an earlier request first",
    "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\nx"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    'k', "ab", true },
  { "answer that names no request",
    "HTTP/1.1 503 Busy\r\nId: none\r\nContent-Length: 2\r\n\r\nab", 'k', "ab", false },
  { "bytes after the answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP", 'k',
    "ab", false },
  { "Connection: close",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", 'k', "ab",
    false },
  { "Keep-Alive timeout below the margin",
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nab", 'k', "ab",
    false },
  { "body up to the end of the connection", "HTTP/1.1 200 OK\r\n\r\nab", 'c', "ab",
    false },
  { "body up to a reset", "HTTP/1.1 200 OK\r\n\r\nab", 'r', "malformed", false },
  { "truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", 'c', "malformed",
    false },
  { "not HTTP", "nonsense\r\n\r\n", 'k', "malformed", false },
  { "status 000 and a body up to the end", "HTTP/1.1 000 OK\r\n\r\nab", 'c', "malformed",
    false },
  { "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nab", 'k', "malformed",
    false },
  { "status 000 before an answer",
    "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    'k', "malformed", false },
  { "status 99", "HTTP/1.1 99 OK\r\nContent-Length: 2\r\n\r\nab", 'k', "malformed",
    false },
  { "status 600", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nab", 'k', "malformed",
    false },
  { "closed before an answer", "", 'c', "connection lost", false },
  { "reset before an answer", "", 'r', "connection lost", false },
  { "no answer yet", "", 'k', "none", false },
};

START_TEST (test_call_ends_with_answer_or_failure)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client;
  char received[RECEIVED_MAX];
  int fd;

  open_byte_server ();
  ck_assert_int_eq (fq_http_client_new (&client, &io, &address, &options), 0);
  start_call (client);
  fd = accept (listen_fd, NULL, NULL);
  ck_assert (!receive (fd, received));
  ck_assert_int_eq (strncmp (received, "GET / HTTP/1.1\r\n", 16), 0);
  if (exchanges[_i].sent[0] != '\0')
    send_text (fd, exchanges[_i].sent);
  if (exchanges[_i].end == 'r')
    {
      run_for (0.02);
      reset_connection (fd);
    }
  else if (exchanges[_i].end == 'c')
    shutdown (fd, SHUT_WR);
  run_for (0.05);
  ck_assert_msg (strcmp (outcome, exchanges[_i].outcome) == 0, "%s: %s",
                 exchanges[_i].name, outcome);
  start_call (client);
  if (exchanges[_i].is_reused)
    {
      receive (fd, received);
      ck_assert_int_eq (strncmp (received, "GET /", 5), 0);
    }
  else
    ck_assert_int_ge (accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK), 0);
  run_for (0.45);
  ck_assert_str_eq (outcome, "timeout");
  fq_http_client_free (client);
  close (listen_fd);
}
END_TEST

/* How a server that has not read the whole request ends the connection. */
static void
end_early (int fd, char how)
{
  switch (how)
    {
    case 'r': /* resets it */
      reset_connection (fd);
      break;
    case 'c': /* closes it with input unread, which resets it too */
      close (fd);
      break;
    case 'h': /* ends its output, and resets the connection a little later */
      shutdown (fd, SHUT_WR);
      run_for (0.05);
      reset_connection (fd);
      break;
    default:
      ck_abort ();
    }
}

/* The server answers an upload with @answer when it has read some of it, and ends the
 * connection. */
static void
answer_upload_early (const char *answer, int variant)
{
  static const char how[] = "rch";
  static const double read_for[] = { 0, 0.02, 0.1 };
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client;
  char received[RECEIVED_MAX];
  int fd;

  request_body_bytes = UPLOAD_BYTES;
  open_byte_server ();
  ck_assert_int_eq (fq_http_client_new (&client, &io, &address, &options), 0);
  start_call (client);
  fd = accept (listen_fd, NULL, NULL);
  ck_assert_int_gt (recv (fd, received, sizeof received, 0), 0);
  send_text (fd, answer);
  run_for (read_for[variant / 3]);
  end_early (fd, how[variant % 3]);
  run_for (0.2);
  fq_http_client_free (client);
  close (listen_fd);
}

/* Guards against an answer without a length that was cut while the request was still
 * being sent, and was taken for a complete one. */
START_TEST (test_early_answer_that_is_cut_is_not_complete)
{
  answer_upload_early ("HTTP/1.1 200 OK\r\nId: new\r\n\r\nab", _i);
  ck_assert_str_eq (outcome, "malformed");
}
END_TEST

/* A complete one counts, however the connection ends. */
START_TEST (test_early_answer_with_a_length_is_complete)
{
  answer_upload_early ("HTTP/1.1 503 Busy\r\nId: new\r\nContent-Length: 2\r\n\r\nab", _i);
  ck_assert_str_eq (outcome, "ab");
}
END_TEST

START_TEST (test_call_without_listener_fails_to_connect)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client;

  choose_port ();
  ck_assert_int_eq (fq_http_client_new (&client, &io, &address, &options), 0);
  start_call (client);
  ck_assert_str_eq (outcome, "connect");
  fq_http_client_free (client);
}
END_TEST

/* Input on an idle connection answers no request, so the connection is closed. */
START_TEST (test_idle_connection_with_unexpected_bytes_is_not_reused)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client;
  int fd;

  open_byte_server ();
  ck_assert_int_eq (fq_http_client_new (&client, &io, &address, &options), 0);
  start_call (client);
  fd = accept (listen_fd, NULL, NULL);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  run_for (0.05);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy");
  run_for (0.05);
  start_call (client);
  ck_assert_str_eq (outcome, "none");
  ck_assert_int_ge (accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK), 0);
  fq_http_client_free (client);
  close (listen_fd);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sockets");
  TCase *tcase = tcase_create ("sockets");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (tcase, open_loop, close_loop);
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, test_pipelined_requests_are_answered_in_order);
  tcase_add_test (tcase, test_bodies_with_length_and_chunked_are_read);
  tcase_add_loop_test (tcase, test_bad_request_gets_its_status_and_affects_no_other, 0,
                       sizeof rejected_requests / sizeof rejected_requests[0]);
  tcase_add_test (tcase, test_slow_head_gets_408);
  tcase_add_test (tcase, test_client_disconnect_is_reported);
  tcase_add_test (tcase, test_unread_answer_is_dropped_after_timeout);
  tcase_add_test (tcase, test_expect_100_continue_gets_interim_answer);
  tcase_add_loop_test (tcase, test_call_ends_with_answer_or_failure, 0,
                       sizeof exchanges / sizeof exchanges[0]);
  tcase_add_loop_test (tcase, test_early_answer_that_is_cut_is_not_complete, 0, 9);
  tcase_add_loop_test (tcase, test_early_answer_with_a_length_is_complete, 0, 9);
  tcase_add_test (tcase, test_call_without_listener_fails_to_connect);
  tcase_add_test (tcase, test_idle_connection_with_unexpected_bytes_is_not_reused);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
