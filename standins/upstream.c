/**
 * DOC: Test upstream with a fixed number of slots, a queue and a service time.
 *
 * Arguments are name=value:
 *   port, node           port where it listens; port of the node's listener on loopback
 *   service              "member/service" that it announces
 *   slots, connections   requests that run at once; limit of the connections for its own
 *                        calls. Both are announced; the listener doesn't limit its
 *                        connections
 *   says                 number of slots to announce instead of slots; 0: slots
 *   queue                requests that may wait for a slot; further ones are answered 503
 *   service_ms           mean service time of a request
 *   spread               distribution of service times: fixed, or erlang (a sum of four
 *                        exponential times)
 *   seed                 seed of the service times
 *   cold_ms              duration of the cold start, in which service times fall
 *                        linearly from five times the normal ones to the normal ones
 *   call                 service to call before the service time begins; the request
 *                        holds its slot meanwhile
 *   deep_only            1: only requests for /deepN/..., with N above 1, call that
 *                        service, with N-1 in the path; 0: all requests do
 *   crash                path prefix of requests that end the process at once
 *
 * A request for /standin/slow/N, sent to its port directly, multiplies service times by N
 * from then on.
 *
 * Standard output has a line "run KEY PATH" for each request that takes a slot, with "-"
 * for a request without an idempotency key, and a line "cancelled PATH" for each request
 * whose client disconnects before its answer.
 */
#include <limits.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"
#include "util/text.h"

#define ANNOUNCE_PERIOD_US (500 * LWS_US_PER_MS)
#define SLOW_PATH "/standin/slow/"
#define COLD_START_FACTOR 5
#define ERLANG_SHAPE 4

typedef struct
{
  int port;
  int node;
  char service[FQ_SERVICE_BYTES];
  char nested_service[FQ_SERVICE_BYTES];
  int slots;
  int connections;
  int service_ms;
  int deep_only;
  int announced_slots;
  int queue;
  int seed;
  int cold_ms;
  char spread[FQ_METHOD_BYTES];
  char crash[FQ_NAME_BYTES];
} options_t;

/* A request that waits for a slot or runs. */
typedef struct
{
  lws_sorted_usec_list_t timer;
  fq_id_t id;
  fq_list_t link; /* in the queue */
  bool running;   /* holds a slot */
  char key[FQ_KEY_BYTES];
  char path[FQ_PATH_BYTES];
  /* Passed on with the internal call. */
  char chain[FQ_HEADER_BYTES];
  char deadline_ms[FQ_METHOD_BYTES];
} job_t;

static options_t options = {
  .slots = 16,
  .connections = 100,
  .service_ms = 2,
  .queue = INT_MAX,
  .spread = "fixed",
};
static struct lws_context *context;
static fq_http_server_t *server;
static fq_http_client_t *client;
static fq_http_client_t *announcer;
static uint64_t incarnation;
static fq_map_t jobs;
static fq_list_t waiting;
static int waiting_count;
static int running;
static int slow_factor = 1; /* multiplies service times */
static lws_usec_t started;
static fq_random_t random_state;
static volatile sig_atomic_t stopping;

static void
on_signal (int number)
{
  (void)number;
  stopping = 1;
}

static void fill_slots (void);

/* Frees @job and its slot, and starts the requests that fit then. */
static void
remove_job (job_t *job)
{
  lws_sul_cancel (&job->timer);
  fq_map_remove (&jobs, job->id);
  if (job->running)
    running--;
  else if (!fq_list_is_empty (&job->link))
    waiting_count--;
  fq_list_remove (&job->link);
  free (job);
  fill_slots ();
}

static void
answer (job_t *job, uint16_t status, const char *text)
{
  fq_http_reply_t reply = { .status = status, .content_type = "text/plain" };

  if (fq_blob_new (&reply.body, text, strlen (text)) == FQ_OK)
    fq_http_server_reply (server, job->id, &reply);
  fq_blob_unref (reply.body);
  remove_job (job);
}

static void
on_service_end (lws_sorted_usec_list_t *timer)
{
  job_t *job = lws_container_of (timer, job_t, timer);
  char text[FQ_PATH_BYTES + FQ_SERVICE_BYTES + 4];

  snprintf (text, sizeof text, "%s %s\n", options.service, job->path);
  answer (job, 200, text);
}

static double
cold_start_factor (void)
{
  double age_ms = (double)(lws_now_usecs () - started) / LWS_US_PER_MS;

  if (age_ms >= options.cold_ms)
    return 1;
  return COLD_START_FACTOR - (COLD_START_FACTOR - 1) * age_ms / options.cold_ms;
}

static lws_usec_t
service_time (void)
{
  double mean
      = (double)options.service_ms * LWS_US_PER_MS * slow_factor * cold_start_factor ();
  double sum = 0;

  if (strcmp (options.spread, "erlang") != 0)
    return (lws_usec_t)mean;
  for (int i = 0; i < ERLANG_SHAPE; i++)
    sum -= mean / ERLANG_SHAPE * log (1 - fq_random_unit (&random_state));
  return (lws_usec_t)sum;
}

static void
schedule_answer (job_t *job)
{
  lws_sul_schedule (context, 0, &job->timer, on_service_end, service_time ());
}

#define DEEP_PREFIX "/deep"

/* Returns the number of services in the chain of calls for @path, this one included. */
static int
call_depth (const char *path)
{
  size_t length = strlen (DEEP_PREFIX);

  return strncmp (path, DEEP_PREFIX, length) == 0 ? path[length] - '0' : 1;
}

static bool
makes_nested_call (const job_t *job)
{
  if (options.nested_service[0] == '\0')
    return false;
  return !options.deep_only || call_depth (job->path) > 1;
}

static void
write_nested_path (char to[FQ_PATH_BYTES], const char *path)
{
  fq_text_copy (to, FQ_PATH_BYTES, path);
  if (options.deep_only)
    to[strlen (DEEP_PREFIX)]--;
}

static void
start_nested_call (job_t *job)
{
  char path[FQ_PATH_BYTES];
  char address[FQ_ADDRESS_BYTES];
  fq_http_outbound_request_t request = {
    .method = "GET",
    .address = address,
    .path = path,
    .header_count = 3,
    .headers = { { "fq-service:", options.nested_service },
                 { "fq-chain:", job->chain },
                 { "fq-deadline-ms:", job->deadline_ms } },
  };

  write_nested_path (path, job->path);
  snprintf (address, sizeof address, "127.0.0.1:%d", options.node);
  if (fq_http_client_start (client, job->id, &request) < 0)
    answer (job, 503, "no connection\n");
}

static void
on_nested_call_done (void *user,
                     fq_id_t exchange,
                     fq_http_result_t result,
                     const fq_http_answer_t *nested_answer)
{
  job_t *job = fq_map_get (&jobs, exchange);

  (void)user;
  if (job == NULL)
    return;
  if (result != FQ_HTTP_ANSWERED || nested_answer->status != 200)
    answer (job, 502, "a further call failed\n");
  else
    schedule_answer (job);
}

static void
start_job (job_t *job)
{
  job->running = true;
  running++;
  printf ("run %s %s\n", job->key[0] == '\0' ? "-" : job->key, job->path);
  fflush (stdout);
  if (options.crash[0] != '\0'
      && strncmp (job->path, options.crash, strlen (options.crash)) == 0)
    _exit (EXIT_FAILURE);
  if (makes_nested_call (job))
    start_nested_call (job);
  else
    schedule_answer (job);
}

static void
fill_slots (void)
{
  fq_list_t *link;

  while (running < options.slots && (link = fq_list_first (&waiting)) != NULL)
    {
      fq_list_remove (link);
      waiting_count--;
      start_job (FQ_LIST_ENTRY (link, job_t, link));
    }
}

static job_t *
new_job (const fq_http_inbound_request_t *http)
{
  job_t *job = calloc (1, sizeof *job);

  if (job == NULL)
    abort ();
  job->id = http->id;
  fq_list_init (&job->link);
  fq_text_copy (job->key, sizeof job->key, http->key);
  fq_text_copy (job->path, sizeof job->path, http->path);
  fq_text_copy (job->chain, sizeof job->chain, http->chain);
  fq_text_copy (job->deadline_ms, sizeof job->deadline_ms, http->deadline_ms);
  fq_map_set (&jobs, job->id, job);
  return job;
}

static void
on_request (void *user, const fq_http_inbound_request_t *http)
{
  job_t *job = new_job (http);

  (void)user;
  if (strncmp (job->path, SLOW_PATH, strlen (SLOW_PATH)) == 0)
    {
      slow_factor = (int)strtol (job->path + strlen (SLOW_PATH), NULL, 10);
      answer (job, 200, "changed\n");
    }
  else if (running >= options.slots && waiting_count >= options.queue)
    answer (job, 503, "no room\n");
  else
    {
      fq_list_append (&waiting, &job->link);
      waiting_count++;
      fill_slots ();
    }
}

static void
on_client_disconnected (void *user, fq_id_t id)
{
  job_t *job = fq_map_get (&jobs, id);

  (void)user;
  if (job == NULL)
    return;
  printf ("cancelled %s\n", job->path);
  fflush (stdout);
  fq_http_client_abort (client, id);
  remove_job (job);
}

static void
on_announce_done (void *user,
                  fq_id_t exchange,
                  fq_http_result_t result,
                  const fq_http_answer_t *ignored)
{
  (void)user;
  (void)exchange;
  (void)ignored;
  if (result != FQ_HTTP_ANSWERED)
    fprintf (stderr, "announcement to the node failed\n");
}

static void
post_to_node (const char *path)
{
  static fq_id_t exchange;
  char address[FQ_ADDRESS_BYTES];
  fq_http_outbound_request_t request
      = { .method = "POST", .address = address, .path = path };

  snprintf (address, sizeof address, "127.0.0.1:%d", options.node);
  fq_http_client_start (announcer, ++exchange, &request);
}

static void
announce (lws_sorted_usec_list_t *timer)
{
  char path[FQ_PATH_BYTES];

  snprintf (path, sizeof path,
            "/fq/announce?service=%s&address=127.0.0.1:%d&incarnation=%llu&slots=%d"
            "&connections=%d",
            options.service, options.port, (unsigned long long)incarnation,
            options.announced_slots > 0 ? options.announced_slots : options.slots,
            options.connections);
  post_to_node (path);
  lws_sul_schedule (context, 0, timer, announce, ANNOUNCE_PERIOD_US);
}

static const struct
{
  const char *name;
  int *number; /* NULL: the option is a text */
  char *text;
  size_t size; /* of @text */
} settings[] = {
  { "port", &options.port },
  { "node", &options.node },
  { "slots", &options.slots },
  { "connections", &options.connections },
  { "says", &options.announced_slots },
  { "queue", &options.queue },
  { "service_ms", &options.service_ms },
  { "seed", &options.seed },
  { "cold_ms", &options.cold_ms },
  { "deep_only", &options.deep_only },
  { "service", NULL, options.service, sizeof options.service },
  { "call", NULL, options.nested_service, sizeof options.nested_service },
  { "spread", NULL, options.spread, sizeof options.spread },
  { "crash", NULL, options.crash, sizeof options.crash },
};

static bool
set_option (const char *text)
{
  const char *value = strchr (text, '=');
  size_t length = value == NULL ? 0 : (size_t)(value - text);

  for (size_t i = 0; value != NULL && i < sizeof settings / sizeof *settings; i++)
    {
      if (strlen (settings[i].name) != length
          || strncmp (text, settings[i].name, length) != 0)
        continue;
      if (settings[i].number != NULL)
        *settings[i].number = (int)strtol (value + 1, NULL, 10);
      else
        fq_text_copy (settings[i].text, settings[i].size, value + 1);
      return true;
    }
  fprintf (stderr, "fq-standin-upstream: unknown setting: %s\n", text);
  return false;
}

int
main (int argc, char **argv)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_server_options_t server_options = FQ_HTTP_SERVER_OPTIONS_INIT;
  fq_http_client_options_t client_options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  lws_sorted_usec_list_t announce_timer = { 0 };

  for (int i = 1; i < argc; i++)
    {
      if (!set_option (argv[i]))
        return EXIT_FAILURE;
    }
  random_state.state = (uint64_t)options.seed;
  started = lws_now_usecs ();
  fq_list_init (&waiting);
  signal (SIGTERM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  context = lws_create_context (&info);
  server_options.name = "upstream";
  server_options.address = "127.0.0.1";
  server_options.port = options.port;
  server_options.on_request = on_request;
  server_options.on_client_disconnected = on_client_disconnected;
  client_options.name = "further";
  client_options.connections = (size_t)options.connections;
  client_options.on_done = on_nested_call_done;
  if (context == NULL || fq_http_server_new (&server, context, &server_options) < 0
      || fq_http_client_new (&client, context, &client_options) < 0)
    {
      fprintf (stderr, "fq-standin-upstream: %s\n", fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  client_options.name = "announce";
  client_options.connections = 2;
  client_options.on_done = on_announce_done;
  if (fq_http_client_new (&announcer, context, &client_options) < 0)
    return EXIT_FAILURE;
  incarnation = (uint64_t)time (NULL);
  announce (&announce_timer);
  while (!stopping)
    lws_service (context, 0);
  lws_context_destroy (context);
  fq_http_server_free (server);
  fq_http_client_free (client);
  fq_http_client_free (announcer);
  fq_map_clear (&jobs);
  return EXIT_SUCCESS;
}
