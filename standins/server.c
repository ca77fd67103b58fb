/**
 * DOC: Test double of an application server of the users' platform: it sends reports to
 * the node on its VM and answers each request WORK_MS milliseconds after it arrives.
 *
 * usage: fq-standin-server ADDRESS REPORTS SERVICE ID WORK_MS [REPORTED [DOWN_MS [same]]]
 *   ADDRESS    where it listens
 *   REPORTS    where the node takes reports
 *   REPORTED   the address in its reports, if a proxy listens in front of it; default:
 *              ADDRESS
 *   DOWN_MS    the server starts again this long after a crash, with "same" under its id,
 *              else under an id of its own; default: it does not
 *
 * Standard output has a line "run REQUEST_ID CALLER MS" for each request that it runs, a
 * line "control NAME=VALUE MS" when the fields that it adds change, and
 * a line "draining MS" when the node has acknowledged that it leaves; MS is the monotonic
 * clock in milliseconds. SIGTERM starts the drain: its reports say so. SIGUSR1 makes it
 * deregister instead, with its start time, and SIGUSR2 without; it reports no more.
 *
 * "/control/NAME=VALUE" adds the field NAME with VALUE to all later answers, "/control/"
 * removes all such fields.
 *
 * The end of the path selects a fault: "refuse" answers 503 with X-Not-Executed, "drop"
 * closes the connection, "unsigned" answers without a signature, "never" does not answer,
 * "crash" ends the process at once, after a line "crash REQUEST_ID MS". "large" answers
 * LARGE_BYTES, and "bytes=N" N bytes.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <ev.h>

#include "filbertquay/errors.h"
#include "http/client.h"
#include "http/server.h"
#include "util/text.h"

#define REPORT_INTERVAL_SECONDS 0.5
#define SLOTS 20
#define LARGE_BYTES 12000000
#define NEVER_SECONDS 3600. /* longer than any test, so that the answer is not sent */
#define FIELD_BYTES 4096
#define DESCRIPTORS_MAX 1024
#define ID_ARGUMENT 4
#define REPORTED_ARGUMENT 6
#define DOWN_ARGUMENT 7
#define ARGUMENTS_MAX 9
#define CONTROL_TARGET "/control/"
#define STATUS_OK 200
#define STATUS_WRONG_INSTANCE 421
#define STATUS_UNAVAILABLE 503

/* A request whose answer is sent when the timer expires. */
typedef struct
{
  ev_timer timer;
  fq_id_t id;
  fq_http_message_t *answer;
} work_t;

static char **arguments;
static struct ev_loop *loop;
static fq_io_t io;
static fq_http_server_t *server;
static fq_http_client_t *report_client;
static const char *address_text;
static const char *service;
static const char *instance;
static double work_seconds;
static long long start_time_ms;
static unsigned int sequence;
static bool draining;
static char added_fields[FIELD_BYTES]; /* lines added to each answer */
static bool drain_acknowledged; /* the node has acknowledged that the server leaves */

/* How the server says that it leaves. */
static enum { LEAVE_BY_REPORT, LEAVE_WITH_START, LEAVE_WITHOUT_START } leave_kind;

static bool
path_ends_with (const fq_http_message_t *message, const char *suffix)
{
  size_t size = strlen (message->target);
  size_t suffix_size = strlen (suffix);

  return size >= suffix_size
         && strcmp (message->target + size - suffix_size, suffix) == 0;
}

static long long
monotonic_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
control (fq_id_t id, const char *field)
{
  fq_http_message_t *answer = fq_http_message_new ();
  const char *value = strchr (field, '=');

  added_fields[0] = '\0';
  if (value != NULL)
    snprintf (added_fields, sizeof added_fields, "%.*s: %s\r\n", (int)(value - field),
              field, value + 1);
  printf ("control %s %lld\n", field, monotonic_ms ());
  fflush (stdout);
  answer->status = STATUS_OK;
  fq_http_server_reply (server, id, answer);
  fq_http_message_unref (answer);
}

/* Sends and releases @answer. */
static void
reply (fq_id_t id, fq_http_message_t *answer)
{
  char *fields = malloc (strlen (answer->fields) + sizeof added_fields);

  if (fields == NULL)
    abort ();
  strcpy (fields, answer->fields);
  strcat (fields, added_fields);
  free (answer->fields);
  answer->fields = fields;
  fq_http_server_reply (server, id, answer);
  fq_http_message_unref (answer);
}

static void
on_work_done (struct ev_loop *running, ev_timer *timer, int events)
{
  work_t *work = timer->data;

  (void)running;
  (void)events;
  reply (work->id, work->answer);
  free (work);
}

/* Size of the body that the path asks for; 0: it asks for none. */
static size_t
wanted_bytes (const fq_http_message_t *message)
{
  const char *wanted = strstr (message->target, "bytes=");

  if (path_ends_with (message, "large"))
    return LARGE_BYTES;
  return wanted == NULL ? 0 : strtoull (wanted + strlen ("bytes="), NULL, 10);
}

static void
start_work (fq_id_t id, const fq_http_message_t *message, const char *request_id)
{
  work_t *work = calloc (1, sizeof *work);
  size_t bytes = wanted_bytes (message);
  char caller[FIELD_BYTES];

  if (work == NULL)
    abort ();
  fq_http_message_get (message, "X-Caller-Service", caller, sizeof caller);
  printf ("run %s %s %lld\n", request_id, caller, monotonic_ms ());
  fflush (stdout);
  work->id = id;
  work->answer = fq_http_message_new ();
  work->answer->status = STATUS_OK;
  fq_http_message_add (work->answer, "X-Attempt-Id", request_id);
  fq_http_message_add (work->answer, "X-Instance-Id", instance);
  if (!path_ends_with (message, "unsigned"))
    fq_http_message_add (work->answer, "X-Response-Signature", "signed");
  if (fq_blob_new (&work->answer->body, bytes > 0 ? NULL : request_id,
                   bytes > 0 ? bytes : strlen (request_id))
      < 0)
    abort ();
  ev_timer_init (&work->timer, on_work_done,
                 path_ends_with (message, "never") ? NEVER_SECONDS : work_seconds, 0.);
  work->timer.data = work;
  ev_timer_start (loop, &work->timer);
}

static void
reply_status (fq_id_t id, uint16_t status)
{
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = status;
  fq_http_message_add (answer, "X-Instance-Id", instance);
  reply (id, answer);
}

static void
reply_not_executed (fq_id_t id)
{
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = STATUS_UNAVAILABLE;
  fq_http_message_add (answer, "X-Not-Executed", "1");
  reply (id, answer);
}

/* Replaces the process by a new one of the same process id, whose sockets are gone. */
static void
start_again (void)
{
  long down_ms = strtol (arguments[DOWN_ARGUMENT], NULL, 10);
  char id[FIELD_BYTES];

  for (int fd = STDERR_FILENO + 1; fd < DESCRIPTORS_MAX; fd++)
    close (fd);
  usleep ((useconds_t)down_ms * 1000);
  if (arguments[DOWN_ARGUMENT + 1] == NULL)
    {
      snprintf (id, sizeof id, "%.*s+%lld", (int)strcspn (instance, "+"), instance,
                monotonic_ms ());
      arguments[ID_ARGUMENT] = id;
    }
  execv ("/proc/self/exe", arguments);
}

static void
crash (const char *request_id)
{
  printf ("crash %s %lld\n", request_id, monotonic_ms ());
  fflush (stdout);
  if (arguments[REPORTED_ARGUMENT] != NULL && arguments[DOWN_ARGUMENT] != NULL)
    start_again ();
  _exit (EXIT_FAILURE);
}

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  char request_id[FIELD_BYTES];
  char wanted[FIELD_BYTES];

  (void)context;
  (void)from;
  if (strncmp (message->target, CONTROL_TARGET, strlen (CONTROL_TARGET)) == 0)
    {
      control (id, message->target + strlen (CONTROL_TARGET));
      return;
    }
  if (strcmp (message->target, "/health") == 0)
    {
      reply_status (id, draining ? STATUS_UNAVAILABLE : STATUS_OK);
      return;
    }
  if (fq_http_message_get (message, "X-Target-Instance", wanted, sizeof wanted)
      && strcmp (wanted, instance) != 0)
    {
      reply_status (id, STATUS_WRONG_INSTANCE);
      return;
    }
  if (path_ends_with (message, "refuse"))
    {
      reply_not_executed (id);
      return;
    }
  if (path_ends_with (message, "drop"))
    {
      fq_http_server_abort_request (server, id);
      return;
    }
  fq_http_message_get (message, "X-Attempt-Id", request_id, sizeof request_id);
  if (path_ends_with (message, "crash"))
    crash (request_id);
  start_work (id, message, request_id);
}

static const fq_http_server_handlers_t handlers = { .request = on_request };

/* @context: not NULL for a call that says that the server leaves */
static void
on_report_answered (void *context, fq_http_message_t *answer)
{
  if (answer->status != STATUS_OK)
    fprintf (stderr, "report refused: %u\n", answer->status);
  else if (context != NULL && !drain_acknowledged)
    {
      drain_acknowledged = true;
      printf ("draining %lld\n", monotonic_ms ());
      fflush (stdout);
    }
}

/* The next report replaces one that failed. */
static void
on_report_failed (void *context, fq_http_failure_t failure)
{
  (void)context;
  (void)failure;
}

static const fq_http_call_handlers_t report_handlers
    = { .answered = on_report_answered, .failed = on_report_failed };

static void
write_deregistration (fq_buffer_t *target, fq_buffer_t *body)
{
  fq_buffer_printf (target, "/v1/Instances.Deregister/%s", instance);
  if (leave_kind == LEAVE_WITH_START)
    fq_buffer_printf (body, "{\"born\":%lld}", start_time_ms);
  else
    fq_buffer_printf (body, "{}");
}

static void
write_report (fq_buffer_t *target, fq_buffer_t *body)
{
  fq_buffer_printf (target, "/v1/Instances.Heartbeat/%s", instance);
  fq_buffer_printf (
      body,
      "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
      "\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%u,"
      "\"warmup_left\":\"0ms\"}}",
      address_text, start_time_ms, service, SLOTS, draining ? "draining" : "ready",
      ++sequence);
}

/* Sends a report or, once the server has left without one, its deregistration until that
 * is acknowledged. */
static void
report (void)
{
  fq_http_message_t *request;
  fq_http_call_options_t options = { .timeout_ms = 1000 };
  fq_buffer_t body = { 0 };
  fq_buffer_t target = { 0 };
  fq_http_call_t *call;

  if (leave_kind != LEAVE_BY_REPORT && drain_acknowledged)
    return;
  if (leave_kind == LEAVE_BY_REPORT)
    write_report (&target, &body);
  else
    write_deregistration (&target, &body);
  fq_buffer_add (&target, "", 1);
  request = fq_http_message_new ();
  strcpy (request->method, "POST");
  request->target = strdup ((const char *)fq_buffer_bytes (&target));
  fq_http_message_add (request, "Host", "node");
  fq_http_message_add (request, "Content-Type", "application/json");
  if (fq_blob_new (&request->body, fq_buffer_bytes (&body), fq_buffer_size (&body)) < 0
      || fq_http_client_call (&call, report_client, request, &options, &report_handlers,
                              draining ? &draining : NULL)
             < 0)
    fprintf (stderr, "report not sent: %s\n", fq_error_last ()->message);
  fq_http_message_unref (request);
  fq_buffer_clear (&body);
  fq_buffer_clear (&target);
}

static void
on_report_timer (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)timer;
  (void)events;
  report ();
}

static void
on_sigterm (struct ev_loop *running, ev_signal *signal_watcher, int events)
{
  (void)running;
  (void)signal_watcher;
  (void)events;
  draining = true;
  report ();
}

static void
on_sigusr (struct ev_loop *running, ev_signal *signal_watcher, int events)
{
  (void)running;
  (void)events;
  leave_kind = signal_watcher->signum == SIGUSR1 ? LEAVE_WITH_START : LEAVE_WITHOUT_START;
  draining = true;
  report ();
}

int
main (int argc, char **argv)
{
  fq_http_server_options_t server_options = FQ_HTTP_SERVER_OPTIONS_INIT;
  fq_http_client_options_t client_options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  struct sockaddr_in address;
  struct sockaddr_in reports_address;
  struct timespec now;
  ev_timer report_timer;
  ev_signal sigterm;
  ev_signal sigusr1;
  ev_signal sigusr2;

  if (argc <= REPORTED_ARGUMENT - 1 || argc > ARGUMENTS_MAX
      || fq_address_parse (&address, argv[1]) < 0
      || fq_address_parse (&reports_address, argv[2]) < 0)
    {
      fprintf (stderr, "usage: fq-standin-server ADDRESS REPORTS SERVICE ID WORK_MS "
                       "[REPORTED [DOWN_MS [same]]]\n");
      return EXIT_FAILURE;
    }
  arguments = argv;
  address_text = argc > REPORTED_ARGUMENT ? argv[REPORTED_ARGUMENT] : argv[1];
  service = argv[3];
  instance = argv[ID_ARGUMENT];
  work_seconds = strtod (argv[5], NULL) / 1000;
  clock_gettime (CLOCK_REALTIME, &now);
  start_time_ms = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  loop = ev_default_loop (0);
  server_options.limits.body_bytes = 1 << 26;
  if (fq_io_open (&io, loop) < 0
      || fq_http_server_open (&server, &io, &address, &server_options, &handlers, NULL)
             < 0
      || fq_http_client_new (&report_client, &io, &reports_address, &client_options) < 0)
    {
      fprintf (stderr, "fq-standin-server: %s\n", fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  ev_timer_init (&report_timer, on_report_timer, 0., REPORT_INTERVAL_SECONDS);
  ev_timer_start (loop, &report_timer);
  ev_signal_init (&sigterm, on_sigterm, SIGTERM);
  ev_signal_start (loop, &sigterm);
  ev_signal_init (&sigusr1, on_sigusr, SIGUSR1);
  ev_signal_start (loop, &sigusr1);
  ev_signal_init (&sigusr2, on_sigusr, SIGUSR2);
  ev_signal_start (loop, &sigusr2);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
