/**
 * DOC: Clients of the soak: they send requests to the nodes, and configurations to the
 * store.
 */
#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/base64.h"

static void
on_store_answered (void *context, fq_http_message_t *answer)
{
  (void)context;
  if (answer->status != 200)
    printf ("the store refused a configuration with status %u\n", answer->status);
}

static void
on_store_failed (void *context, fq_http_failure_t failure)
{
  (void)context;
  printf ("writing a configuration to the store failed: error %d\n", failure);
}

static const fq_http_call_handlers_t store_handlers
    = { .answered = on_store_answered, .failed = on_store_failed };

void
soak_write_config (void)
{
  fq_http_message_t *request = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = 1000 };
  fq_http_call_t *call;
  fq_buffer_t text = { 0 };
  fq_buffer_t body = { 0 };
  char *value;

  soak.config_version += 1 + fq_random_below (&soak.random, 3);
  fq_buffer_printf (
      &text,
      "{\"version\":%llu,\"services\":["
      "{\"name\":\"front\",\"health_path\":\"/health\",\"max_connections\":99},"
      "{\"name\":\"back\",\"health_path\":\"/health\",\"max_connections\":99}],"
      "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1048576,"
      "\"header_timeout\":\"1s\",\"idle_timeout\":\"15s\"},\"virtual_hosts\":[{"
      "\"host\":\"h\",\"paths\":[{\"name\":\"safe\",\"prefix\":\"/safe/\","
      "\"route_type\":\"safe\",\"timeout\":\"%dms\",\"target_latency\":\"1s\","
      "\"max_attempts\":3,\"priority\":1,\"service\":\"back\"},{\"name\":\"once\","
      "\"prefix\":\"/once/\",\"route_type\":\"unsafe\",\"timeout\":\"%dms\","
      "\"target_latency\":\"1s\",\"max_attempts\":3,\"priority\":0,"
      "\"service\":\"back\"}]}]}",
      (unsigned long long)soak.config_version, ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS);
  fq_buffer_add (&text, "", 1);
  value = fq_base64_encode (fq_buffer_bytes (&text), fq_buffer_size (&text) - 1);
  fq_buffer_printf (&body,
                    "{\"precondition\":[],\"put\":[{\"table\":\"op\",\"part\":\"\","
                    "\"key\":\"config\",\"value\":\"%s\"}],\"remove\":[]}",
                    value);
  strcpy (request->method, "POST");
  request->target = strdup ("/v1/rows-tx");
  fq_http_message_add (request, "Host", "store");
  if (fq_blob_new (&request->body, fq_buffer_bytes (&body), fq_buffer_size (&body)) < 0
      || fq_http_client_call (&call, soak.store_client, request, &options,
                              &store_handlers, NULL)
             < 0)
    printf ("can't send a configuration: %s\n", fq_error_last ()->message);
  fq_http_message_unref (request);
  free (value);
  fq_buffer_clear (&text);
  fq_buffer_clear (&body);
}

static void
on_control_answered (void *context, fq_http_message_t *answer)
{
  (void)context;
  if (answer->status != 200)
    printf ("a control call was answered with status %u\n", answer->status);
}

static void
on_control_failed (void *context, fq_http_failure_t failure)
{
  (void)context;
  printf ("a control call failed: error %d\n", failure);
}

static const fq_http_call_handlers_t control_handlers
    = { .answered = on_control_answered, .failed = on_control_failed };

static void
post (fq_http_client_t *client, const char *target, const char *body)
{
  fq_http_message_t *request = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = 1000 };
  fq_http_call_t *call;

  strcpy (request->method, "POST");
  request->target = strdup (target);
  fq_http_message_add (request, "Host", "control");
  if (body != NULL && fq_blob_new (&request->body, body, strlen (body)) < 0)
    abort ();
  if (fq_http_client_call (&call, client, request, &options, &control_handlers, NULL) < 0)
    printf ("can't send a control call: %s\n", fq_error_last ()->message);
  fq_http_message_unref (request);
}

void
soak_control (fq_http_client_t *client, const char *target)
{
  post (client, target, NULL);
}

/* The service is one that no configuration names, or that of other machines; the id is
 * that of the server or another one; the start time is missing, or later than any. */
void
soak_report_as_other (size_t machine)
{
  static const char *const services[] = { "nobody", "front", "back" };
  const char *other = services[fq_random_below (&soak.random, 3)];
  bool has_id = fq_random_below (&soak.random, 2) == 0;
  bool has_start = fq_random_below (&soak.random, 2) == 0;
  char address[FQ_ADDRESS_BYTES];
  char target[TEXT_BYTES];
  char body[TEXT_BYTES * 2];

  if (strcmp (other, soak_service_of (machine)) == 0)
    other = "nobody";
  soak_address (address, machine, PORT_SERVER_PROXY);
  snprintf (target, sizeof target, "/v1/Instances.Heartbeat/i-%zu-%u", machine,
            has_id ? soak.machines[machine].server_starts : SERVER_STARTS_MAX);
  snprintf (body, sizeof body,
            "{\"address\":\"%s\",%s\"info\":{\"service\":\"%s\",\"version\":\"v1\","
            "\"zone\":\"z\",\"slots\":20},\"status\":{\"state\":\"ready\","
            "\"sequence\":999999,\"warmup_left\":\"0ms\"}}",
            address, has_start ? "\"born\":4102444800000," : "", other);
  post (soak.machines[machine].reports_client, target, body);
}

/* Records what the server that answered said of itself. */
static void
record_statements (const request_t *request, const fq_http_message_t *answer)
{
  char text[ID_BYTES];
  size_t machine;
  unsigned int start;
  told_t *told;

  if (!fq_http_message_get (answer, "X-Instance-Id", text, sizeof text)
      || sscanf (text, "i-%zu-%u", &machine, &start) != 2 || machine >= MACHINES_MAX
      || start >= SERVER_STARTS_MAX)
    return;
  told = &soak.machines[request->machine].told[machine][start];
  if (told->limited_ms == 0 && fq_http_message_count (answer, "Server-Limit") > 0)
    told->limited_ms = soak_monotonic_ms ();
  if (told->leaving_ms == 0 && fq_http_message_count (answer, "Server-Leaving") > 0)
    told->leaving_ms = soak_monotonic_ms ();
}

static void
on_answered (void *context, fq_http_message_t *answer)
{
  request_t *request = context;
  size_t length = strlen (request->id);

  request->status = answer->status;
  record_statements (request, answer);
  if (answer->status != 200)
    return;
  if (fq_http_message_body_size (answer) != length
      || memcmp (answer->body->data, request->id, length) != 0)
    soak_report_violation ("%s got the answer of another request", request->id);
}

static void
on_failed (void *context, fq_http_failure_t failure)
{
  request_t *request = context;

  (void)failure;
  request->status = 0;
}

static const fq_http_call_handlers_t request_handlers
    = { .answered = on_answered, .failed = on_failed };

static request_t *
new_request (size_t machine, bool at_most_once)
{
  request_t *request = calloc (1, sizeof *request);

  if (soak.request_count == soak.request_capacity)
    {
      soak.request_capacity
          = soak.request_capacity == 0 ? 1024 : soak.request_capacity * 2;
      soak.requests
          = realloc (soak.requests, soak.request_capacity * sizeof *soak.requests);
    }
  if (request == NULL || soak.requests == NULL)
    abort ();
  request->machine = machine;
  request->at_most_once = at_most_once;
  request->sent_ms = soak_monotonic_ms ();
  request->in_recovery
      = soak_elapsed_seconds () > soak.traffic_end_seconds - RECOVERY_WINDOW_SECONDS;
  snprintf (request->id, sizeof request->id, "%s%zu", at_most_once ? "once" : "safe",
            soak.request_count);
  soak.requests[soak.request_count++] = request;
  if (fq_map_set (&soak.requests_by_id, fq_map_hash (request->id), request) < 0)
    abort ();
  return request;
}

/* Sends a request to a random node. Nodes that are paused or stopping are picked too, as
 * clients keep using their connections to a node until its process ends; so are killed
 * nodes. */
void
soak_on_send_timer (struct ev_loop *running, ev_timer *timer, int events)
{
  size_t machine = fq_random_below (&soak.random, soak.machine_count);
  request_t *request = new_request (machine, fq_random_below (&soak.random, 2) == 0);
  fq_http_message_t *message = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = CLIENT_TIMEOUT_MS };
  fq_http_call_t *call;
  char target[TEXT_BYTES];

  (void)events;
  strcpy (message->method, request->at_most_once ? "POST" : "GET");
  snprintf (target, sizeof target, "/%s/x", request->at_most_once ? "once" : "safe");
  message->target = strdup (target);
  fq_http_message_add (message, "Host", "h");
  fq_http_message_add (message, "X-Attempt-Id", request->id);
  fq_http_message_add (message, "X-Timeout-Ms", "3000");
  if (fq_http_client_call (&call, soak.machines[machine].client, message, &options,
                           &request_handlers, request)
      < 0)
    request->status = 0;
  fq_http_message_unref (message);
  if (soak_elapsed_seconds () > soak.traffic_end_seconds)
    ev_timer_stop (running, timer);
}
