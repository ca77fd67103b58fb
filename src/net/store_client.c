#include "net/store_client.h"

#include <stdlib.h>

#include "net/http_client.h"
#include "net/store_json.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"

#define FQ_STORE_QUEUE_MAX 1024
#define FQ_STORE_CONNECT_TIMEOUT_SECONDS 1
#define FQ_STORE_BACKOFF_MIN_US (50 * LWS_US_PER_MS)
#define FQ_STORE_BACKOFF_MAX_US (2 * LWS_US_PER_SEC)
#define FQ_STORE_THROTTLE_PAUSE_US (20 * LWS_US_PER_MS)
/* Consecutive failures after which it is of no use to wait for the store: during a pause,
 * operations are then refused, not queued. */
#define FQ_STORE_DOWN_AFTER_FAILURES 2

/* An operation that is queued or sent. */
typedef struct
{
  fq_list_t link;
  lws_sorted_usec_list_t timer;
  fq_store_client_t *client;
  fq_store_op_t *op;
  fq_id_t exchange; /* 0: not sent yet */
} fq_pending_op_t;

struct fq_store_client
{
  fq_store_client_options_t options;
  fq_http_client_t *http;
  fq_list_t queue;
  fq_list_t sent;
  size_t queued_count;
  size_t sent_count;
  fq_map_t by_exchange;
  fq_id_t next_exchange;
  double concurrency_limit; /* operations that may run concurrently now */
  unsigned int failures;    /* consecutive failures, see record_failure() */
  lws_usec_t paused_until;
  lws_sorted_usec_list_t pause_timer;
  fq_random_t random;
  bool stopped;
};

static void send_queued (fq_store_client_t *client);

static void
finish_op (fq_store_client_t *client, fq_pending_op_t *pending, fq_store_answer_t *answer)
{
  lws_sul_cancel (&pending->timer);
  fq_list_remove (&pending->link);
  fq_map_remove (&client->by_exchange, pending->exchange);
  if (pending->exchange != 0)
    client->sent_count--;
  else
    client->queued_count--;
  answer->id = pending->op->id;
  fq_store_op_free (pending->op);
  free (pending);
  client->options.on_answer (client->options.user, answer);
  fq_store_answer_clear (answer);
}

static void
finish_op_with_status (fq_store_client_t *client,
                       fq_pending_op_t *pending,
                       fq_store_status_t status)
{
  fq_store_answer_t empty = { .status = status };

  finish_op (client, pending, &empty);
}

static void
on_pause_ended (lws_sorted_usec_list_t *timer)
{
  send_queued (lws_container_of (timer, fq_store_client_t, pause_timer));
}

/* Sends nothing for a random time between half of @max_us and @max_us, so that many nodes
 * don't retry at the same time. */
static void
start_pause (fq_store_client_t *client, lws_usec_t max_us)
{
  lws_usec_t pause_us
      = max_us / 2 + (lws_usec_t)fq_random_below (&client->random, max_us / 2);

  client->paused_until = lws_now_usecs () + pause_us;
  lws_sul_schedule (client->options.context, 0, &client->pause_timer, on_pause_ended,
                    pause_us);
}

static void
record_failure (fq_store_client_t *client)
{
  lws_usec_t max_us = FQ_STORE_BACKOFF_MIN_US;

  for (unsigned int i = 0; i < client->failures && max_us < FQ_STORE_BACKOFF_MAX_US; i++)
    max_us *= 2;
  client->concurrency_limit = 1;
  /* Operations that are lost together count as one failure: the first starts the pause
   * during which the others fail. */
  if (lws_now_usecs () < client->paused_until)
    return;
  client->failures++;
  start_pause (client,
               max_us < FQ_STORE_BACKOFF_MAX_US ? max_us : FQ_STORE_BACKOFF_MAX_US);
}

static void
adjust_limit (fq_store_client_t *client, fq_store_status_t status)
{
  switch (status)
    {
    case FQ_STORE_DONE:
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_CONFLICT:
      client->failures = 0;
      client->concurrency_limit += 1 / client->concurrency_limit;
      if (client->concurrency_limit > (double)client->options.connections)
        client->concurrency_limit = (double)client->options.connections;
      break;
    case FQ_STORE_BUSY:
      client->failures = 0;
      client->concurrency_limit
          = client->concurrency_limit > 2 ? client->concurrency_limit / 2 : 1;
      start_pause (client, FQ_STORE_THROTTLE_PAUSE_US);
      break;
    case FQ_STORE_UNAVAILABLE:
      record_failure (client);
      break;
    }
}

static void
on_done (void *user,
         fq_id_t exchange,
         fq_http_result_t result,
         const fq_http_answer_t *http)
{
  fq_store_client_t *client = user;
  fq_pending_op_t *pending = fq_map_get (&client->by_exchange, exchange);
  fq_store_answer_t answer = { .status = FQ_STORE_UNAVAILABLE };

  if (client->stopped)
    return;
  if (pending != NULL)
    {
      if (result == FQ_HTTP_ANSWERED)
        fq_store_json_parse_answer (&answer, pending->op, http->status, http->body);
      adjust_limit (client, answer.status);
      finish_op (client, pending, &answer);
    }
  send_queued (client);
}

static void
on_timeout (lws_sorted_usec_list_t *timer)
{
  fq_pending_op_t *pending = lws_container_of (timer, fq_pending_op_t, timer);
  fq_store_client_t *client = pending->client;
  fq_id_t exchange = pending->exchange;

  if (exchange == 0)
    {
      finish_op_with_status (client, pending, FQ_STORE_BUSY);
      return;
    }
  record_failure (client);
  finish_op_with_status (client, pending, FQ_STORE_UNAVAILABLE);
  fq_http_client_abort (client->http, exchange);
}

static const char *
http_method (const fq_store_op_t *op)
{
  switch (op->kind)
    {
    case FQ_STORE_COMMIT:
      return "POST";
    case FQ_STORE_OBJECT_PUT:
      return "PUT";
    case FQ_STORE_GET:
    case FQ_STORE_SCAN:
    case FQ_STORE_OBJECT_GET:
      return "GET";
    }
  return "GET";
}

static void
send_op (fq_store_client_t *client, fq_pending_op_t *pending)
{
  char path[FQ_PATH_BYTES];
  fq_http_outbound_request_t http = { .address = client->options.address, .path = path };
  fq_id_t exchange = ++client->next_exchange;

  fq_list_remove (&pending->link);
  fq_list_append (&client->sent, &pending->link);
  pending->exchange = exchange;
  client->queued_count--;
  client->sent_count++;
  http.method = http_method (pending->op);
  http.content_type = pending->op->kind == FQ_STORE_COMMIT ? "application/json" : NULL;
  if (fq_store_json_path (path, sizeof path, pending->op) < 0
      || fq_store_json_body (&http.body, pending->op) < 0
      || fq_map_set (&client->by_exchange, exchange, pending) < 0
      || fq_http_client_start (client->http, exchange, &http) < 0)
    finish_op_with_status (client, pending, FQ_STORE_UNAVAILABLE);
  fq_blob_unref (http.body);
}

static void
send_queued (fq_store_client_t *client)
{
  fq_list_t *link;

  while ((link = fq_list_first (&client->queue)) != NULL)
    {
      if (lws_now_usecs () < client->paused_until)
        return;
      if (fq_http_client_exchange_count (client->http)
          >= (size_t)client->concurrency_limit)
        return;
      send_op (client, FQ_LIST_ENTRY (link, fq_pending_op_t, link));
    }
}

int
fq_store_client_new (fq_store_client_t **out, const fq_store_client_options_t *options)
{
  fq_http_client_options_t http = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_store_client_t *client = calloc (1, sizeof *client);
  int rc;

  if (client == NULL)
    return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_NOMEM, "no memory for the store");
  client->options = *options;
  client->concurrency_limit = 1;
  client->random.state = options->seed;
  fq_list_init (&client->queue);
  fq_list_init (&client->sent);
  http.name = "to-store";
  http.connections = options->connections;
  http.connect_timeout_seconds = FQ_STORE_CONNECT_TIMEOUT_SECONDS;
  http.on_done = on_done;
  http.user = client;
  rc = fq_http_client_new (&client->http, options->context, &http);
  if (rc < 0)
    {
      free (client);
      return rc;
    }
  *out = client;
  return FQ_OK;
}

void
fq_store_client_stop (fq_store_client_t *client)
{
  if (client == NULL)
    return;
  client->stopped = true;
  lws_sul_cancel (&client->pause_timer);
  FQ_LIST_FOREACH (link, &client->queue)
  lws_sul_cancel (&FQ_LIST_ENTRY (link, fq_pending_op_t, link)->timer);
  FQ_LIST_FOREACH (link, &client->sent)
  lws_sul_cancel (&FQ_LIST_ENTRY (link, fq_pending_op_t, link)->timer);
}

static void
free_pending (fq_list_t *list)
{
  FQ_LIST_FOREACH_SAFE (link, following, list)
  {
    fq_pending_op_t *pending = FQ_LIST_ENTRY (link, fq_pending_op_t, link);

    fq_store_op_free (pending->op);
    free (pending);
  }
}

void
fq_store_client_free (fq_store_client_t *client)
{
  if (client == NULL)
    return;
  free_pending (&client->queue);
  free_pending (&client->sent);
  fq_map_clear (&client->by_exchange);
  fq_http_client_free (client->http);
  free (client);
}

/* FQ_STORE_DONE when @client accepts operations now, else the status of the refusal. */
static fq_store_status_t
admission_status (const fq_store_client_t *client)
{
  if (client->stopped || client->options.address == NULL
      || client->options.address[0] == '\0')
    return FQ_STORE_UNAVAILABLE;
  if (client->queued_count >= FQ_STORE_QUEUE_MAX)
    return FQ_STORE_BUSY;
  if (client->failures >= FQ_STORE_DOWN_AFTER_FAILURES
      && lws_now_usecs () < client->paused_until)
    return FQ_STORE_BUSY;
  return FQ_STORE_DONE;
}

void
fq_store_client_submit (fq_store_client_t *client, fq_store_op_t *op)
{
  fq_store_answer_t refusal = { .id = op->id, .status = admission_status (client) };
  fq_pending_op_t *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    refusal.status = FQ_STORE_BUSY;
  if (refusal.status != FQ_STORE_DONE)
    {
      free (pending);
      fq_store_op_free (op);
      client->options.on_answer (client->options.user, &refusal);
      return;
    }
  pending->client = client;
  pending->op = op;
  fq_list_append (&client->queue, &pending->link);
  client->queued_count++;
  lws_sul_schedule (client->options.context, 0, &pending->timer, on_timeout,
                    (lws_usec_t)client->options.timeout_ms * LWS_US_PER_MS);
  send_queued (client);
}

size_t
fq_store_client_pending_count (const fq_store_client_t *client)
{
  return client->queued_count + client->sent_count;
}
