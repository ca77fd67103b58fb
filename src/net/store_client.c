#include "net/store_client.h"

#include <stdlib.h>

#include "net/http_client.h"
#include "net/store_json.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"

#define FQ_STORE_QUEUE_MAX 1024
#define FQ_STORE_CONNECT_TIMEOUT_SECONDS 1
#define FQ_STORE_FIRST_PAUSE_US (50 * LWS_US_PER_MS)
#define FQ_STORE_LAST_PAUSE_US (2 * LWS_US_PER_SEC)
#define FQ_STORE_RATE_PAUSE_US (20 * LWS_US_PER_MS)
#define FQ_STORE_FAILURES_DOWN 2 /* losses in a row after which waiting is no use */

/* One operation, waiting or under way. */
typedef struct
{
  fq_list_t link;
  lws_sorted_usec_list_t timer;
  fq_store_client_t *client;
  fq_store_op_t *op;
  fq_id_t exchange; /* 0: not sent yet */
} fq_asked_t;

struct fq_store_client
{
  fq_store_client_options_t options;
  fq_http_client_t *http;
  fq_list_t queue;
  fq_list_t sent;
  size_t queued;
  size_t under_way;
  fq_map_t by_exchange;
  fq_id_t next_exchange;
  double window;         /* operations that may be under way now */
  unsigned int failures; /* answers lost in a row */
  lws_usec_t paused_until;
  lws_sorted_usec_list_t pause;
  fq_random_t random;
  bool stopped;
};

static void pump (fq_store_client_t *client);

static void
answer (fq_store_client_t *client, fq_asked_t *asked, fq_store_answer_t *answer)
{
  lws_sul_cancel (&asked->timer);
  fq_list_remove (&asked->link);
  fq_map_remove (&client->by_exchange, asked->exchange);
  if (asked->exchange != 0)
    client->under_way--;
  else
    client->queued--;
  answer->id = asked->op->id;
  fq_store_op_free (asked->op);
  free (asked);
  client->options.on_answer (client->options.user, answer);
  fq_store_answer_clear (answer);
}

static void
answer_status (fq_store_client_t *client, fq_asked_t *asked, fq_store_status_t status)
{
  fq_store_answer_t plain = { .status = status };

  answer (client, asked, &plain);
}

static void
on_pause_over (lws_sorted_usec_list_t *timer)
{
  pump (lws_container_of (timer, fq_store_client_t, pause));
}

/* A pause of @most, shortened at random so that many nodes don't return as one. */
static void
pause_for (fq_store_client_t *client, lws_usec_t most)
{
  lws_usec_t length = most / 2 + (lws_usec_t)fq_random_below (&client->random, most / 2);

  client->paused_until = lws_now_usecs () + length;
  lws_sul_schedule (client->options.context, 0, &client->pause, on_pause_over, length);
}

static void
note_loss (fq_store_client_t *client)
{
  lws_usec_t most = FQ_STORE_FIRST_PAUSE_US;

  for (unsigned int i = 0; i < client->failures && most < FQ_STORE_LAST_PAUSE_US; i++)
    most *= 2;
  client->window = 1;
  /* Several that are lost together are one failure. */
  if (lws_now_usecs () < client->paused_until)
    return;
  client->failures++;
  pause_for (client, most < FQ_STORE_LAST_PAUSE_US ? most : FQ_STORE_LAST_PAUSE_US);
}

static void
note_status (fq_store_client_t *client, fq_store_status_t status)
{
  switch (status)
    {
    case FQ_STORE_DONE:
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_CONFLICT:
      client->failures = 0;
      client->window += 1 / client->window;
      if (client->window > (double)client->options.connections)
        client->window = (double)client->options.connections;
      break;
    case FQ_STORE_BUSY:
      client->failures = 0;
      client->window = client->window > 2 ? client->window / 2 : 1;
      pause_for (client, FQ_STORE_RATE_PAUSE_US);
      break;
    case FQ_STORE_UNAVAILABLE:
      note_loss (client);
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
  fq_asked_t *asked = fq_map_get (&client->by_exchange, exchange);
  fq_store_answer_t got = { .status = FQ_STORE_UNAVAILABLE };

  if (client->stopped)
    return;
  if (asked != NULL)
    {
      if (result == FQ_HTTP_COMPLETE)
        fq_store_json_answer (&got, asked->op, http->status, http->body);
      note_status (client, got.status);
      answer (client, asked, &got);
    }
  pump (client);
}

static void
on_timeout (lws_sorted_usec_list_t *timer)
{
  fq_asked_t *asked = lws_container_of (timer, fq_asked_t, timer);
  fq_store_client_t *client = asked->client;
  fq_id_t exchange = asked->exchange;

  if (exchange == 0)
    {
      answer_status (client, asked, FQ_STORE_BUSY);
      return;
    }
  note_loss (client);
  answer_status (client, asked, FQ_STORE_UNAVAILABLE);
  fq_http_client_abort (client->http, exchange);
}

static const char *
method_of (const fq_store_op_t *op)
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
send_op (fq_store_client_t *client, fq_asked_t *asked)
{
  char path[FQ_PATH_BYTES];
  fq_http_outbound_request_t http = { .address = client->options.address, .path = path };
  fq_id_t exchange = ++client->next_exchange;

  fq_list_remove (&asked->link);
  fq_list_append (&client->sent, &asked->link);
  asked->exchange = exchange;
  client->queued--;
  client->under_way++;
  http.method = method_of (asked->op);
  http.content_type = asked->op->kind == FQ_STORE_COMMIT ? "application/json" : NULL;
  if (fq_store_json_path (path, sizeof path, asked->op) < 0
      || fq_store_json_body (&http.body, asked->op) < 0
      || fq_map_set (&client->by_exchange, exchange, asked) < 0
      || fq_http_client_start (client->http, exchange, &http) < 0)
    answer_status (client, asked, FQ_STORE_UNAVAILABLE);
  fq_blob_unref (http.body);
}

static void
pump (fq_store_client_t *client)
{
  fq_list_t *link;

  while ((link = fq_list_first (&client->queue)) != NULL)
    {
      if (lws_now_usecs () < client->paused_until)
        return;
      if (fq_http_client_exchange_count (client->http) >= (size_t)client->window)
        return;
      send_op (client, FQ_LIST_ENTRY (link, fq_asked_t, link));
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
  client->window = 1;
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
  lws_sul_cancel (&client->pause);
  FQ_LIST_FOREACH (link, &client->queue)
  lws_sul_cancel (&FQ_LIST_ENTRY (link, fq_asked_t, link)->timer);
  FQ_LIST_FOREACH (link, &client->sent)
  lws_sul_cancel (&FQ_LIST_ENTRY (link, fq_asked_t, link)->timer);
}

static void
free_asked (fq_list_t *list)
{
  FQ_LIST_FOREACH_SAFE (link, following, list)
  {
    fq_asked_t *asked = FQ_LIST_ENTRY (link, fq_asked_t, link);

    fq_store_op_free (asked->op);
    free (asked);
  }
}

void
fq_store_client_free (fq_store_client_t *client)
{
  if (client == NULL)
    return;
  free_asked (&client->queue);
  free_asked (&client->sent);
  fq_map_clear (&client->by_exchange);
  fq_http_client_free (client->http);
  free (client);
}

/* Why @client can't take an operation now; FQ_STORE_DONE when it can. */
static fq_store_status_t
refusal_of (const fq_store_client_t *client)
{
  if (client->stopped || client->options.address == NULL
      || client->options.address[0] == '\0')
    return FQ_STORE_UNAVAILABLE;
  if (client->queued >= FQ_STORE_QUEUE_MAX)
    return FQ_STORE_BUSY;
  if (client->failures >= FQ_STORE_FAILURES_DOWN
      && lws_now_usecs () < client->paused_until)
    return FQ_STORE_BUSY;
  return FQ_STORE_DONE;
}

void
fq_store_client_submit (fq_store_client_t *client, fq_store_op_t *op)
{
  fq_store_answer_t refused = { .id = op->id, .status = refusal_of (client) };
  fq_asked_t *asked = calloc (1, sizeof *asked);

  if (asked == NULL)
    refused.status = FQ_STORE_BUSY;
  if (refused.status != FQ_STORE_DONE)
    {
      free (asked);
      fq_store_op_free (op);
      client->options.on_answer (client->options.user, &refused);
      return;
    }
  asked->client = client;
  asked->op = op;
  fq_list_append (&client->queue, &asked->link);
  client->queued++;
  lws_sul_schedule (client->options.context, 0, &asked->timer, on_timeout,
                    (lws_usec_t)client->options.timeout_ms * LWS_US_PER_MS);
  pump (client);
}

size_t
fq_store_client_waiting (const fq_store_client_t *client)
{
  return client->queued + client->under_way;
}
