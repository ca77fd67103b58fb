/**
 * DOC: The HTTP listeners of a node: client requests, the readiness endpoint, status
 * reports of the local server, and metrics.
 */
#include <string.h>

#include "exchange.h"
#include "filbertquay/errors.h"
#include "filbertquay/memory.h"
#include "node/event_log.h"
#include "node/node_private.h"
#include "server_report.h"

#define FQ_STATUS_OK 200
#define FQ_STATUS_BAD_REQUEST 400
#define FQ_STATUS_NOT_FOUND 404
#define FQ_STATUS_UNAVAILABLE 503
#define FQ_BODY_MAX_DIVISOR 4 /* a body may take a quarter of the memory limit */
#define FQ_MEMORY_PER_CONNECTION_BYTES 65536
#define FQ_RESERVED_DESCRIPTORS 600 /* for node and server connections and files */

/* Some descriptors are left for other connections and for files, and some memory for what
 * each client may send before it counts as holding much. */
static size_t
connection_limit (const fq_node_settings_t *settings)
{
  size_t descriptors = settings->descriptors > 2 * FQ_RESERVED_DESCRIPTORS
                           ? settings->descriptors - FQ_RESERVED_DESCRIPTORS
                           : settings->descriptors / 2;
  size_t by_memory
      = (size_t)(settings->memory_mb * FQ_BYTES_PER_MB) / FQ_MEMORY_PER_CONNECTION_BYTES;

  return descriptors < by_memory ? descriptors : by_memory;
}

void
fq_node_http_set_limits (fq_node_t *node, const fq_request_limits_t *limits)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  size_t body_max
      = (size_t)(node->settings.memory_mb * FQ_BYTES_PER_MB / FQ_BODY_MAX_DIVISOR);

  options.limits.head_bytes = limits->head_bytes;
  options.limits.body_bytes
      = limits->body_bytes < body_max ? limits->body_bytes : body_max;
  options.head_timeout_ms = limits->head_timeout_ms;
  options.idle_timeout_ms = limits->idle_timeout_ms;
  options.connections_max = connection_limit (&node->settings);
  options.memory_percent = FQ_NEW_REQUEST_MEMORY_PERCENT;
  fq_http_server_set_options (node->requests, &options);
}

void
fq_node_http_reply (fq_node_t *node, const fq_mesh_effect_t *effect)
{
  fq_http_message_t *local_answer;

  if (effect->reply.answer != NULL)
    {
      fq_http_server_reply (node->requests, effect->reply.request, effect->reply.answer);
      return;
    }
  local_answer = fq_platform_local_answer (
      effect->reply.status, effect->reply.retry_after_ms, effect->reply.text);
  fq_http_server_reply (node->requests, effect->reply.request, local_answer);
  fq_http_message_unref (local_answer);
}

static void
on_request (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  fq_node_t *node = context;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REQUEST };

  (void)from;
  event.request.id = id;
  event.request.message = message;
  fq_platform_read_request (message, &event.request);
  fq_node_dispatch (node, &event);
  fq_mesh_request_clear (&event.request);
}

static void
on_client_disconnected (void *context, fq_id_t id)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_CLIENT_DISCONNECTED, .request_id = id };

  fq_node_dispatch (context, &event);
}

/* The statuses with which the HTTP server rejects incomplete requests. */
static const uint16_t rejected_statuses[FQ_REJECTED_STATUSES]
    = { 400, 408, 413, 431, 501, 503, 505 };

static void
count_rejected (fq_node_t *node, uint16_t status)
{
  for (size_t i = 0; i < FQ_REJECTED_STATUSES; i++)
    node->rejected[i] += rejected_statuses[i] == status;
}

static void
on_malformed (void *context, uint16_t status, const char *reason)
{
  count_rejected (context, status);
  fq_event_log_printf (true, "event=request-malformed status=%u reason=\"%s\"", status,
                       reason);
}

static const fq_http_server_handlers_t request_handlers = {
  .request = on_request,
  .client_disconnected = on_client_disconnected,
  .malformed = on_malformed,
};

static void
send_reply (fq_http_server_t *server, fq_id_t id, uint16_t status, const char *text)
{
  fq_http_message_t *message = fq_platform_local_answer (status, 0, text);

  fq_http_server_reply (server, id, message);
  fq_http_message_unref (message);
}

static void
on_readiness (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  fq_node_t *node = context;

  (void)from;
  if (!fq_platform_is_readiness (message))
    send_reply (node->readiness, id, FQ_STATUS_NOT_FOUND, NULL);
  else if (fq_mesh_is_ready (node->mesh))
    send_reply (node->readiness, id, FQ_STATUS_OK, NULL);
  else
    send_reply (node->readiness, id, FQ_STATUS_UNAVAILABLE, NULL);
}

static const fq_http_server_handlers_t readiness_handlers = { .request = on_readiness };

static void
write_limits (const fq_node_t *node, fq_buffer_t *out)
{
  fq_buffer_printf (out, "# TYPE fq_memory_held_bytes gauge\nfq_memory_held_bytes %zu\n",
                    fq_memory_held ());
  fq_buffer_printf (out,
                    "# TYPE fq_memory_limit_bytes gauge\nfq_memory_limit_bytes %zu\n",
                    fq_memory_limit ());
  fq_buffer_add_text (out, "# TYPE fq_limit_actions_total counter\n");
  for (int i = 0; i < FQ_LIMIT_ACTIONS; i++)
    fq_buffer_printf (out, "fq_limit_actions_total{action=\"%s\"} %llu\n",
                      fq_node_limit_action_name ((fq_limit_action_t)i),
                      (unsigned long long)node->io.limits.actions[i]);
}

static void
write_rejected (const fq_node_t *node, fq_buffer_t *out)
{
  fq_buffer_add_text (out, "# TYPE fq_requests_rejected_total counter\n");
  for (size_t i = 0; i < FQ_REJECTED_STATUSES; i++)
    fq_buffer_printf (out, "fq_requests_rejected_total{status=\"%u\"} %llu\n",
                      rejected_statuses[i], (unsigned long long)node->rejected[i]);
}

static void
on_metrics (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  fq_node_t *node = context;
  fq_buffer_t text = { 0 };

  (void)message;
  (void)from;
  fq_mesh_write_metrics (node->mesh, &text);
  fq_buffer_printf (&text,
                    "# TYPE fq_log_dropped_total counter\n"
                    "fq_log_dropped_total %llu\n",
                    (unsigned long long)fq_event_log_dropped ());
  write_limits (node, &text);
  write_rejected (node, &text);
  fq_buffer_add (&text, "", 1);
  send_reply (node->metrics, id, FQ_STATUS_OK, (const char *)fq_buffer_bytes (&text));
  fq_buffer_clear (&text);
}

static const fq_http_server_handlers_t metrics_handlers = { .request = on_metrics };

static void
on_report (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from)
{
  fq_node_t *node = context;
  fq_mesh_event_t event = { 0 };
  fq_platform_server_call_t call_kind;
  char address[FQ_ADDRESS_BYTES];
  int error = fq_platform_read_report (&call_kind, &event.report, address, message);

  (void)from;
  if (fq_node_settings_changed (node))
    fq_node_reload (node);
  if (error == FQ_OK && call_kind == FQ_PLATFORM_REPORT
      && strcmp (address, node->settings.server_address) != 0)
    error = fq_error_set (
        FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
        "report: '%s' is not the address of the server beside this node", address);
  if (error < 0)
    {
      fq_event_log_printf (true, "event=report-refused fault=\"%s\"",
                           fq_error_last ()->message);
      fq_server_report_clear (&event.report);
      send_reply (
          node->reports, id,
          error == FQ_ERROR_NOTFOUND ? FQ_STATUS_NOT_FOUND : FQ_STATUS_BAD_REQUEST, NULL);
      return;
    }
  event.kind
      = call_kind == FQ_PLATFORM_REPORT ? FQ_MESH_EVENT_REPORT : FQ_MESH_EVENT_DEREGISTER;
  fq_node_dispatch (node, &event);
  fq_server_report_clear (&event.report);
  send_reply (node->reports, id, FQ_STATUS_OK, "{}");
}

static const fq_http_server_handlers_t report_handlers = { .request = on_report };

static int
open_listener (fq_node_t *node,
               fq_http_server_t **out,
               const char *address_text,
               const fq_http_server_handlers_t *handlers)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  struct sockaddr_in address;
  int error = fq_address_parse (&address, address_text);

  if (error < 0)
    return error;
  return fq_http_server_open (out, &node->io, &address, &options, handlers, node);
}

static int
open_metrics_listener (fq_node_t *node)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  struct sockaddr_in address = { .sin_family = AF_INET };

  if (node->settings.metrics_port == 0)
    return FQ_OK;
  address.sin_addr.s_addr = htonl (node->address);
  address.sin_port = htons ((uint16_t)node->settings.metrics_port);
  return fq_http_server_open (&node->metrics, &node->io, &address, &options,
                              &metrics_handlers, node);
}

/* Without a configuration no request is too large for the operators' limits: each is
 * answered 503, which clients repeat, unlike 413 and 431. */
static void
set_unknown_limits (fq_node_t *node)
{
  const fq_http_server_options_t usual = FQ_HTTP_SERVER_OPTIONS_INIT;
  const fq_request_limits_t limits = {
    .head_bytes = SIZE_MAX / 2,
    .body_bytes = SIZE_MAX / 2,
    .head_timeout_ms = usual.head_timeout_ms,
    .idle_timeout_ms = usual.idle_timeout_ms,
  };

  fq_node_http_set_limits (node, &limits);
}

int
fq_node_http_open (fq_node_t *node)
{
  const fq_node_settings_t *settings = &node->settings;
  int error = open_listener (node, &node->requests, settings->requests_address,
                             &request_handlers);

  if (error == FQ_OK)
    set_unknown_limits (node);
  if (error == FQ_OK)
    error = open_listener (node, &node->readiness, settings->readiness_address,
                           &readiness_handlers);
  if (error == FQ_OK)
    error = open_listener (node, &node->reports, settings->reports_address,
                           &report_handlers);
  if (error == FQ_OK)
    error = open_metrics_listener (node);
  return error;
}
