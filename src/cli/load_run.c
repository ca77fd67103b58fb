#define _GNU_SOURCE /* memmem */
#include "cli/load_run.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "util/map.h"

#define FQ_LOAD_TIMEOUT_MS 10000 /* of requests without a deadline */
#define FQ_LOAD_GRACE_MS 2000    /* how long to wait beyond a request's deadline */
/* How long aborted requests have to end after a signal. */
#define FQ_LOAD_ABORT_US (2 * FQ_MICROSECONDS_PER_SECOND)

typedef struct load load_t;

/* A request; it lasts over all its attempts. */
typedef struct
{
  load_t *load;
  lws_sorted_usec_list_t timer; /* timeout of the attempt, or delay of the next one */
  fq_id_t id;
  size_t request_class;
  int64_t intended_us; /* intended send time, from the start */
  fq_time_t sent_at;   /* of the current attempt */
  size_t target;
  uint32_t retries_left;
  char path[FQ_PATH_BYTES];
  char key[FQ_KEY_BYTES];
} request_t;

struct load
{
  fq_load_run_options_t options;
  const fq_load_plan_t *plan;
  struct lws_context *context;
  fq_http_client_t *clients[FQ_LOAD_TARGETS_MAX];
  fq_blob_t *bodies[FQ_LOAD_CLASSES_MAX];
  fq_load_report_t *report;
  fq_random_t random;
  lws_sorted_usec_list_t timer;
  fq_time_t start;
  int64_t next_us;     /* intended send time of the next request; -1: none */
  uint64_t sent_count; /* requests so far; also the id of the last one */
  fq_map_t requests;
  bool aborting; /* interrupted: no further retries */
};

static volatile sig_atomic_t interrupted;

static void send_attempt (request_t *request);

static void
on_signal (int number)
{
  (void)number;
  interrupted = 1;
}

static const fq_load_class_t *
class_of (const request_t *request)
{
  return &request->load->plan->classes[request->request_class];
}

static fq_load_counts_t *
counts_of (const request_t *request)
{
  return fq_load_report_counts (request->load->report, request->request_class,
                                request->intended_us);
}

static void
free_request (request_t *request)
{
  lws_sul_cancel (&request->timer);
  fq_map_remove (&request->load->requests, request->id);
  free (request);
}

static void
on_retry (lws_sorted_usec_list_t *timer)
{
  send_attempt (lws_container_of (timer, request_t, timer));
}

static void
on_timeout (lws_sorted_usec_list_t *timer)
{
  request_t *request = lws_container_of (timer, request_t, timer);

  fq_http_client_abort (request->load->clients[request->target], request->id);
}

static lws_usec_t
timeout_us (const fq_load_class_t *class)
{
  uint32_t ms = class->timeout_ms;

  if (ms == 0)
    ms = class->deadline_ms == 0 ? FQ_LOAD_TIMEOUT_MS
                                 : class->deadline_ms + FQ_LOAD_GRACE_MS;
  return (lws_usec_t)ms * LWS_US_PER_MS;
}

/* The delay before the next attempt; -1: there is none. */
static lws_usec_t
retry_delay_us (const request_t *request,
                fq_load_outcome_t outcome,
                const fq_http_answer_t *answer)
{
  const char *after = answer == NULL ? "" : answer->retry_after_ms;

  if (outcome == FQ_LOAD_ANSWERED || outcome == FQ_LOAD_WRONG_ANSWER
      || request->retries_left == 0 || request->load->aborting)
    return -1;
  switch (class_of (request)->retry)
    {
    case FQ_LOAD_RETRY_NONE:
      return -1;
    case FQ_LOAD_RETRY_NOW:
      return 1;
    case FQ_LOAD_RETRY_AFTER:
      return after[0] == '\0' ? -1
                              : (lws_usec_t)strtoul (after, NULL, 10) * LWS_US_PER_MS + 1;
    }
  return -1;
}

static void
count_refusal (fq_load_counts_t *counts, const char *cause)
{
  for (size_t i = 0; i < FQ_CAUSE_COUNT; i++)
    {
      if (strcmp (cause, fq_cause_name ((fq_cause_t)i)) == 0)
        {
          counts->refused[i]++;
          return;
        }
    }
  counts->refused[FQ_CAUSE_COUNT]++;
}

/*
 * @now is from the start. The deadline counts from the intended send time of the request,
 * whichever of its attempts was answered.
 */
static void
count_in_time (const request_t *request, fq_time_t now)
{
  const fq_load_class_t *class = class_of (request);
  fq_time_t allowed = (fq_time_t) class->deadline_ms * FQ_MICROSECONDS_PER_MS;

  if (class->deadline_ms != 0 && now - request->intended_us > allowed)
    return;
  counts_of (request)->in_time++;
  fq_load_report_counts (request->load->report, request->request_class, now)
      ->finished_in_time++;
}

static void
end_attempt (request_t *request,
             fq_load_outcome_t outcome,
             const fq_http_answer_t *answer)
{
  fq_load_counts_t *counts = counts_of (request);
  fq_time_t now = fq_cli_now_us ();
  lws_usec_t delay = retry_delay_us (request, outcome, answer);

  counts->outcomes[outcome]++;
  if (outcome == FQ_LOAD_REFUSED)
    count_refusal (counts, answer->cause);
  if (outcome == FQ_LOAD_ANSWERED)
    {
      fq_histogram_add (&counts->latency_from_intended,
                        now - request->load->start - request->intended_us);
      count_in_time (request, now - request->load->start);
      fq_histogram_add (&counts->latency_from_sent, now - request->sent_at);
    }
  lws_sul_cancel (&request->timer);
  if (delay < 0)
    {
      free_request (request);
      return;
    }
  request->retries_left--;
  request->target = (request->target + 1) % request->load->plan->target_count;
  lws_sul_schedule (request->load->context, 0, &request->timer, on_retry, delay);
}

static bool
is_verified (const request_t *request, const fq_http_answer_t *answer)
{
  if (!request->load->options.verify)
    return true;
  return answer->body != NULL
         && memmem (answer->body->data, answer->body->size, request->path,
                    strlen (request->path))
                != NULL;
}

static fq_load_outcome_t
classify_answer (const request_t *request, const fq_http_answer_t *answer)
{
  if (strcmp (answer->outcome, "not-run") == 0)
    return FQ_LOAD_REFUSED;
  if (strcmp (answer->outcome, "unknown") == 0)
    return FQ_LOAD_UNKNOWN;
  if (answer->status >= 500)
    return FQ_LOAD_UPSTREAM_ERROR;
  return is_verified (request, answer) ? FQ_LOAD_ANSWERED : FQ_LOAD_WRONG_ANSWER;
}

static void
on_done (void *user,
         fq_id_t exchange,
         fq_http_result_t result,
         const fq_http_answer_t *answer)
{
  load_t *load = user;
  request_t *request = fq_map_get (&load->requests, exchange);

  if (request == NULL)
    return;
  switch (result)
    {
    case FQ_HTTP_ANSWERED:
      end_attempt (request, classify_answer (request, answer), answer);
      break;
    case FQ_HTTP_NOT_SENT:
      end_attempt (request, FQ_LOAD_NOT_SENT, NULL);
      break;
    case FQ_HTTP_ANSWER_LOST:
      end_attempt (request, FQ_LOAD_FAILED, NULL);
      break;
    }
}

static void
send_attempt (request_t *request)
{
  load_t *load = request->load;
  const fq_load_class_t *class = class_of (request);
  char deadline[FQ_METHOD_BYTES] = "";
  fq_http_outbound_request_t outbound = {
    .method = class->method,
    .address = load->plan->targets[request->target],
    .path = request->path,
    .body = load->bodies[request->request_class],
    .header_count = 4,
    .headers = {
      { "authorization:", load->options.authorization },
      { "fq-service:", class->service },
      { "fq-deadline-ms:", deadline },
      { "idempotency-key:", request->key },
    },
  };

  if (class->deadline_ms > 0)
    snprintf (deadline, sizeof deadline, "%u", class->deadline_ms);
  counts_of (request)->attempts++;
  request->sent_at = fq_cli_now_us ();
  lws_sul_schedule (load->context, 0, &request->timer, on_timeout, timeout_us (class));
  /* on_done() may run, and free the request, before this returns 0. */
  if (fq_http_client_start (load->clients[request->target], request->id, &outbound) < 0)
    end_attempt (request, FQ_LOAD_NOT_SENT, NULL);
}

static void
send_request (load_t *load, int64_t intended_us)
{
  request_t *request = calloc (1, sizeof *request);
  const fq_load_class_t *class;

  if (request == NULL)
    abort ();
  request->load = load;
  request->id = ++load->sent_count;
  request->intended_us = intended_us;
  request->request_class = fq_load_plan_pick_class (load->plan, &load->random);
  request->target = fq_random_below (&load->random, load->plan->target_count);
  class = class_of (request);
  request->retries_left = class->retries;
  fq_load_expand_number (request->path, sizeof request->path, class->path, request->id);
  fq_load_expand_number (request->key, sizeof request->key, class->key, request->id);
  if (fq_map_set (&load->requests, request->id, request) < 0)
    abort ();
  counts_of (request)->requests++;
  send_attempt (request);
}

static void
on_send_timer (lws_sorted_usec_list_t *timer)
{
  load_t *load = lws_container_of (timer, load_t, timer);
  int64_t elapsed = fq_cli_now_us () - load->start;

  while (load->next_us >= 0 && load->next_us <= elapsed)
    {
      send_request (load, load->next_us);
      load->next_us
          = fq_load_plan_next_arrival (load->plan, load->next_us, &load->random);
      if (load->sent_count >= load->options.max_requests)
        load->next_us = -1;
    }
  if (load->next_us >= 0)
    lws_sul_schedule (load->context, 0, timer, on_send_timer, load->next_us - elapsed);
}

/* Aborts attempts in flight, and frees requests that wait for a retry. */
static void
abort_all (load_t *load)
{
  size_t count = 0;
  size_t cursor = 0;
  request_t **all = calloc (load->requests.count + 1, sizeof (request_t *));
  request_t *request;

  if (all == NULL)
    abort ();
  load->aborting = true;
  while ((request = fq_map_next (&load->requests, &cursor)) != NULL)
    all[count++] = request;
  for (size_t i = 0; i < count; i++)
    {
      if (all[i]->timer.cb == on_retry)
        free_request (all[i]);
      else
        fq_http_client_abort (load->clients[all[i]->target], all[i]->id);
    }
  free (all);
}

static void
run_plan (load_t *load)
{
  fq_time_t abort_end = 0;

  load->start = fq_cli_now_us ();
  load->next_us = fq_load_plan_next_arrival (load->plan, 0, &load->random);
  lws_sul_schedule (load->context, 0, &load->timer, on_send_timer, 1);
  while (load->next_us >= 0 || load->requests.count > 0)
    {
      lws_service (load->context, 0);
      if (interrupted && !load->aborting)
        {
          load->next_us = -1;
          abort_all (load);
          abort_end = fq_cli_now_us () + FQ_LOAD_ABORT_US;
        }
      if (load->aborting && fq_cli_now_us () > abort_end)
        break;
    }
}

static int
open_clients (load_t *load)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;

  load->context = fq_cli_new_context ();
  if (load->context == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_IO,
                         "can't create a libwebsockets context");
  options.name = "load";
  options.connections = load->options.connections;
  options.on_done = on_done;
  options.user = load;
  for (size_t i = 0; i < load->plan->target_count; i++)
    {
      int rc = fq_http_client_new (&load->clients[i], load->context, &options);

      if (rc < 0)
        return rc;
    }
  return FQ_OK;
}

static int
make_bodies (load_t *load)
{
  for (size_t i = 0; i < load->plan->class_count; i++)
    {
      size_t size = load->plan->classes[i].body_bytes;
      int rc = size == 0 ? FQ_OK : fq_blob_new (&load->bodies[i], NULL, size);

      if (rc < 0)
        return rc;
      if (size > 0)
        memset (load->bodies[i]->data, 'x', size);
    }
  return FQ_OK;
}

static void
close_load (load_t *load)
{
  size_t cursor = 0;
  request_t *request;

  if (load->context != NULL)
    lws_context_destroy (load->context);
  for (size_t i = 0; i < load->plan->target_count; i++)
    fq_http_client_free (load->clients[i]);
  for (size_t i = 0; i < load->plan->class_count; i++)
    fq_blob_unref (load->bodies[i]);
  while ((request = fq_map_next (&load->requests, &cursor)) != NULL)
    free (request);
  fq_map_clear (&load->requests);
}

int
fq_load_run (fq_load_report_t *report, const fq_load_run_options_t *options)
{
  load_t load = { .options = *options, .plan = options->plan, .report = report };
  int rc;

  signal (SIGINT, on_signal);
  signal (SIGTERM, on_signal);
  load.random.state = options->seed;
  if ((rc = make_bodies (&load)) == FQ_OK && (rc = open_clients (&load)) == FQ_OK)
    run_plan (&load);
  close_load (&load);
  return rc;
}
