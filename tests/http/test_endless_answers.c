/**
 * DOC: Answers without end: a server sends a head, a body, chunk sizes, trailers, interim
 * answers or answers to other requests until the client closes the connection.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <check.h>
#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"

#define CALLS 64
#define HEALTHY_INTERVAL 8           /* endless calls for each healthy one */
#define SENT_MAX ((size_t)256 << 20) /* the server gives up after so many bytes */
#define ANSWER_MAX ((size_t)1 << 20) /* of the client's options */
#define ANSWERS_MAX ((size_t)8 << 20)
#define HEAP_MAX ((size_t)48 << 20)
#define TIMEOUT_SECONDS 20.
#define HEALTHY_TARGET "/healthy"

/* What the server sends first, and then again and again. */
typedef struct
{
  const char *first;
  const char *again;
} endless_t;

static const endless_t endless[] = {
  { "HTTP/1.1 200 OK\r\n", "X-Field: value value value value value value\r\n" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "20\r\n................................\r\n" },
  { "HTTP/1.1 200 OK\r\n\r\n", "................................" },
  { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "................" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1", ";extension=value" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Trailer: value value value value value\r\n" },
  { "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" },
  { "", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 4\r\n\r\nbody" },
  { "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n" },
  { "", "no line end" },
  { "HTTP/1.1 200 OK\r\nX-Field: ", "value" },
  { "HTTP/1.1 000 OK\r\n\r\n", "................" },
};

static struct ev_loop *loop;
static fq_io_t io;
static struct sockaddr_in address;
static int listener;
static pthread_t acceptor;
static const endless_t *variant;
static size_t failed;
static size_t answered;
static size_t heap_peak;

static bool
send_all (int fd, const char *text, size_t *sent)
{
  size_t size = strlen (text);

  *sent += size;
  return send (fd, text, size, MSG_NOSIGNAL) == (ssize_t)size;
}

static void *
serve (void *argument)
{
  static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
  int fd = (int)(intptr_t)argument;
  char block[4096];
  char request[4096];
  size_t sent = 0;
  ssize_t got;

  block[0] = '\0';
  while (strlen (block) + strlen (variant->again) < sizeof block)
    strcat (block, variant->again);
  while ((got = recv (fd, request, sizeof request - 1, 0)) > 0)
    {
      request[got] = '\0';
      if (strstr (request, HEALTHY_TARGET) != NULL)
        {
          send_all (fd, whole, &sent);
          continue;
        }
      if (!send_all (fd, variant->first, &sent))
        break;
      while (sent < SENT_MAX && send_all (fd, block, &sent))
        ;
      break;
    }
  close (fd);
  return NULL;
}

static void *
accept_all (void *argument)
{
  int fd;

  (void)argument;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_t thread;

      if (pthread_create (&thread, NULL, serve, (void *)(intptr_t)fd) != 0)
        abort ();
      pthread_detach (thread);
    }
  return NULL;
}

static void
setup (void)
{
  socklen_t size = sizeof address;

  loop = ev_loop_new (EVFLAG_AUTO);
  ck_assert_int_eq (fq_io_open (&io, loop), 0);
  address = (struct sockaddr_in){ .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&address, size), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *)&address, &size), 0);
  ck_assert_int_eq (listen (listener, 2 * CALLS), 0);
  ck_assert_int_eq (pthread_create (&acceptor, NULL, accept_all, NULL), 0);
  failed = 0;
  answered = 0;
  heap_peak = 0;
}

static void
teardown (void)
{
  shutdown (listener, SHUT_RDWR);
  pthread_join (acceptor, NULL);
  close (listener);
  ev_run (loop, EVRUN_NOWAIT);
  fq_io_close (&io);
  ev_loop_destroy (loop);
}

static fq_http_match_t
match_answer (void *context, const fq_http_message_t *answer)
{
  char value[8];

  (void)context;
  return fq_http_message_get (answer, "X-Other", value, sizeof value)
             ? FQ_HTTP_MATCH_OTHER
             : FQ_HTTP_MATCH_CALL;
}

static void
on_answered (void *context, fq_http_message_t *answer)
{
  (void)answer;
  ck_assert_ptr_nonnull (context); /* an answer without end is never complete */
  answered++;
}

static void
on_failed (void *context, fq_http_failure_t failure)
{
  ck_assert_ptr_null (context);
  ck_assert_int_ne (failure, FQ_HTTP_FAILURE_CONNECT);
  failed++;
}

static const fq_http_call_handlers_t handlers
    = { .match_answer = match_answer, .answered = on_answered, .failed = on_failed };

static void
call (fq_http_client_t *client, const char *target, void *context)
{
  fq_http_message_t *request = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = 0 };
  fq_http_call_t *made;

  strcpy (request->method, "GET");
  request->target = strdup (target);
  fq_http_message_add (request, "Host", "h");
  ck_assert_int_eq (
      fq_http_client_call (&made, client, request, &options, &handlers, context), 0);
  fq_http_message_unref (request);
}

static void
on_tick (struct ev_loop *running, ev_timer *timer, int events)
{
  struct mallinfo2 heap = mallinfo2 ();
  size_t used = heap.uordblks + heap.hblkhd;

  (void)timer;
  (void)events;
  if (used > heap_peak)
    heap_peak = used;
  if (failed == CALLS)
    ev_break (running, EVBREAK_ALL);
}

/* Runs until all endless calls have failed and all healthy ones were answered. */
static void
run_until_all_have_ended (void)
{
  ev_timer tick;
  ev_tstamp end;

  ev_now_update (loop);
  end = ev_now (loop) + TIMEOUT_SECONDS;
  ev_timer_init (&tick, on_tick, 0.005, 0.005);
  ev_timer_start (loop, &tick);
  while ((failed < CALLS || answered < CALLS / HEALTHY_INTERVAL) && ev_now (loop) < end)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &tick);
}

START_TEST (test_endless_answer_fails_its_call_alone_in_bounded_memory)
{
  static int healthy;
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client;

  variant = &endless[_i];
  options.limits.body_bytes = ANSWER_MAX;
  options.receiving_bytes_max = ANSWERS_MAX;
  ck_assert_int_eq (fq_http_client_new (&client, &io, &address, &options), 0);
  for (int i = 0; i < CALLS; i++)
    {
      call (client, "/endless", NULL);
      if (i % HEALTHY_INTERVAL == 0)
        call (client, HEALTHY_TARGET, &healthy);
    }
  run_until_all_have_ended ();
  ck_assert_uint_eq (failed, CALLS);
  ck_assert_uint_eq (answered, CALLS / HEALTHY_INTERVAL);
  ck_assert_uint_le (heap_peak, HEAP_MAX);
  fq_http_client_free (client);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("endless-answers");
  TCase *tcase = tcase_create ("endless-answers");
  SRunner *runner = srunner_create (suite);
  int failures;

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_endless_answer_fails_its_call_alone_in_bounded_memory,
                       0, sizeof endless / sizeof endless[0]);
  suite_add_tcase (suite, tcase);
  srunner_run_all (runner, CK_NORMAL);
  failures = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
