#include "net/shell.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <openssl/rand.h>

#include "filbertquay/memory.h"
#include "net/log.h"
#include "util/text.h"

#define FQ_SHELL_LINGER_US 200000           /* from the last answer sent to the end */
#define FQ_SHELL_GOODBYE_TIMEOUT_US 2000000 /* for all nodes to answer Goodbye */

/* An event fed while the effects of another were being carried out. */
typedef struct
{
  fq_list_t link;
  fq_event_t event;
} fq_queued_event_t;

static fq_time_t
monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (fq_time_t)now.tv_sec * FQ_MICROSECONDS_PER_SECOND + now.tv_nsec / 1000;
}

static int64_t
wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* The core has no work left: refuses new requests while the last answers are sent. */
static void
start_flushing (fq_shell_t *shell)
{
  shell->flushing = true;
  shell->flushing_since = monotonic_us ();
  fq_http_server_refuse_requests (shell->caller_listener);
  fq_http_server_refuse_requests (shell->upstream_listener);
  fq_http_server_refuse_requests (shell->operator_listener);
  fq_peers_begin_shutdown (shell->peers);
}

/* Stops once all answers are sent and none followed for FQ_SHELL_LINGER_US, so that
 * requests refused meanwhile are answered too. */
static void
check_flushed (fq_shell_t *shell, fq_time_t now)
{
  bool quiet = fq_http_server_active_count (shell->caller_listener) == 0
               && fq_http_server_active_count (shell->upstream_listener) == 0
               && fq_http_server_active_count (shell->operator_listener) == 0
               && fq_peers_queued_bytes (shell->peers) == 0
               && (fq_peers_is_idle (shell->peers)
                   || now - shell->flushing_since >= FQ_SHELL_GOODBYE_TIMEOUT_US);

  /* libwebsockets frees only connections that it has begun to establish: an operation
   * that is queued behind another one would be left over. */
  bool store_is_idle = fq_store_client_pending_count (shell->store) == 0
                       || now - shell->flushing_since >= FQ_SHELL_GOODBYE_TIMEOUT_US;

  if (!quiet)
    shell->idle_since = 0;
  else if (shell->idle_since == 0)
    shell->idle_since = now;
  else if (now - shell->idle_since >= FQ_SHELL_LINGER_US && store_is_idle)
    {
      shell->stopped = true;
      fq_store_client_stop (shell->store);
    }
}

static void
apply_effect (fq_shell_t *shell, fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      fq_callers_reply (shell, &effect->reply);
      break;
    case FQ_EFFECT_PEER_CALL:
      fq_peers_call (shell->peers, &effect->peer_call);
      break;
    case FQ_EFFECT_PEER_CANCEL:
      fq_peers_cancel (shell->peers, &effect->peer_cancel);
      break;
    case FQ_EFFECT_PEER_ANSWER:
      fq_peers_answer (shell->peers, &effect->peer_answer);
      break;
    case FQ_EFFECT_PEER_CONNECT:
      fq_peers_connect (shell->peers, &effect->peer_connect);
      break;
    case FQ_EFFECT_PEER_CLOSE:
      fq_peers_close (shell->peers, &effect->peer_connect);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      fq_upstream_start (shell, &effect->upstream_start);
      break;
    case FQ_EFFECT_UPSTREAM_ABORT:
      fq_upstream_abort (shell, &effect->upstream_abort);
      break;
    case FQ_EFFECT_STORE:
      fq_store_client_submit (shell->store, effect->store);
      effect->store = NULL;
      break;
    case FQ_EFFECT_GOSSIP:
      fq_gossip_socket_send (shell->gossip, effect->gossip);
      break;
    case FQ_EFFECT_TICKETS:
      fq_peers_tickets (shell->peers, &effect->tickets);
      break;
    case FQ_EFFECT_OPERATOR_REPLY:
      fq_operators_reply (shell, &effect->operator_reply);
      break;
    case FQ_EFFECT_LOG:
      fq_log_write (effect->log.level, effect->log.component, effect->log.text);
      break;
    case FQ_EFFECT_STOPPED:
      start_flushing (shell);
      break;
    }
}

static void
ref_event (fq_event_t *event)
{
  switch (event->kind)
    {
    case FQ_EVENT_REQUEST:
      fq_request_ref (event->request.request);
      break;
    case FQ_EVENT_PEER_CALL:
      fq_request_ref (event->peer_call.request);
      break;
    case FQ_EVENT_PEER_ANSWER:
      fq_blob_ref (event->peer_answer.answer.body);
      break;
    case FQ_EVENT_UPSTREAM_ANSWER:
      fq_blob_ref (event->upstream_answer.answer.body);
      break;
    default:
      break;
    }
}

static void
unref_event (fq_event_t *event)
{
  switch (event->kind)
    {
    case FQ_EVENT_REQUEST:
      fq_request_unref (event->request.request);
      break;
    case FQ_EVENT_PEER_CALL:
      fq_request_unref (event->peer_call.request);
      break;
    case FQ_EVENT_PEER_ANSWER:
      fq_blob_unref (event->peer_answer.answer.body);
      break;
    case FQ_EVENT_UPSTREAM_ANSWER:
      fq_blob_unref (event->upstream_answer.answer.body);
      break;
    default:
      break;
    }
}

static void
queue_event (fq_shell_t *shell, const fq_event_t *event)
{
  fq_queued_event_t *queued = calloc (1, sizeof *queued);

  if (queued == NULL)
    abort ();
  queued->event = *event;
  ref_event (&queued->event);
  fq_list_append (&shell->queued, &queued->link);
}

static void
reduce_event (fq_shell_t *shell, fq_event_t *event)
{
  fq_effects_t effects = { 0 };

  event->now = monotonic_us ();
  event->wall_ms = wall_ms ();
  shell->reducing = true;
  fq_core_reduce (shell->core, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    apply_effect (shell, &effects.items[i]);
  shell->reducing = false;
  fq_effects_free (&effects);
}

/* Ticks are most of the cost of an idle node, so they come less often while the core is
 * idle. */
static void
schedule_tick (fq_shell_t *shell)
{
  shell->slow_ticks = !fq_core_is_busy (shell->core);
  fq_ticker_set (shell->ticker,
                 shell->slow_ticks ? FQ_CORE_IDLE_TICK_US : FQ_CORE_TICK_US);
}

void
fq_shell_feed (fq_shell_t *shell, fq_event_t *event)
{
  fq_list_t *link;

  if (shell->reducing)
    {
      queue_event (shell, event);
      return;
    }
  reduce_event (shell, event);
  while ((link = fq_list_first (&shell->queued)) != NULL)
    {
      fq_queued_event_t *queued = FQ_LIST_ENTRY (link, fq_queued_event_t, link);

      fq_list_remove (link);
      reduce_event (shell, &queued->event);
      unref_event (&queued->event);
      free (queued);
    }
  if (shell->slow_ticks && fq_core_is_busy (shell->core))
    schedule_tick (shell);
}

static void
on_tick (void *user)
{
  fq_shell_t *shell = user;
  fq_event_t event = { .kind = FQ_EVENT_TICK };

  fq_shell_feed (shell, &event);
  fq_peers_tick (shell->peers, monotonic_us ());
  if (shell->flushing)
    check_flushed (shell, monotonic_us ());
  schedule_tick (shell);
}

static int
new_context (fq_shell_t *shell)
{
  struct lws_context_creation_info info = { 0 };

  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.pt_serv_buf_size = 65536;
  info.max_http_header_data = FQ_HTTP_REQUEST_HEAD_BYTES;
  shell->context = lws_create_context (&info);
  if (shell->context == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't start libwebsockets");
  return FQ_OK;
}

static int
new_core (fq_shell_t *shell)
{
  const fq_settings_t *settings = shell->settings;
  fq_core_options_t options = FQ_CORE_OPTIONS_INIT;
  char address[FQ_ADDRESS_BYTES * 2];

  snprintf (address, sizeof address, "%s:%d", settings->address, settings->peer_port);
  options.node = settings->node;
  options.address = address;
  options.failure_domain = settings->failure_domain;
  options.region = settings->region;
  options.incarnation = (uint64_t)wall_ms ();
  options.default_deadline_ms = settings->default_deadline_ms;
  options.default_retries = settings->default_retries;
  options.limit_policy = (fq_limit_policy_t)settings->limit_policy;
  options.rollup_ms = settings->rollup_ms;
  options.seed_count = settings->seed_count;
  for (size_t i = 0; i < settings->seed_count; i++)
    options.seeds[i] = settings->seeds[i];
  if (RAND_bytes ((unsigned char *)&options.seed, sizeof options.seed) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "the random generator failed");
  return fq_core_new (&shell->core, &options, monotonic_us ());
}

static void
on_store_answer (void *user, const fq_store_answer_t *answer)
{
  fq_event_t event = { .kind = FQ_EVENT_STORE, .store = *answer };

  fq_shell_feed (user, &event);
}

static int
open_store (fq_shell_t *shell)
{
  fq_store_client_options_t options = FQ_STORE_CLIENT_OPTIONS_INIT;

  options.context = shell->context;
  options.address = shell->settings->platform;
  options.on_answer = on_store_answer;
  options.user = shell;
  if (RAND_bytes ((unsigned char *)&options.seed, sizeof options.seed) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "the random generator failed");
  return fq_store_client_new (&shell->store, &options);
}

int
fq_shell_new (fq_shell_t **out, const fq_settings_t *settings)
{
  fq_shell_t *shell = calloc (1, sizeof *shell);
  int rc;

  if (shell == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a node");
  shell->settings = settings;
  fq_memory_set_limit (settings->buffer_bytes);
  fq_list_init (&shell->queued);
  if ((rc = new_context (shell)) < 0 || (rc = new_core (shell)) < 0
      || (rc = fq_ticker_new (&shell->ticker, shell->context, on_tick, shell)) < 0
      || (rc = fq_upstream_open (shell)) < 0
      || (rc = fq_peers_new (&shell->peers, shell)) < 0
      || (rc = fq_gossip_socket_new (&shell->gossip, shell)) < 0
      || (rc = open_store (shell)) < 0 || (rc = fq_callers_listen (shell)) < 0
      || (rc = fq_operators_listen (shell)) < 0)
    {
      fq_shell_free (shell);
      return rc;
    }
  schedule_tick (shell);
  *out = shell;
  return FQ_OK;
}

void
fq_shell_begin_shutdown (fq_shell_t *shell)
{
  fq_event_t event = { .kind = FQ_EVENT_SHUTDOWN };

  fq_http_server_disable_keep_alive (shell->caller_listener);
  fq_shell_feed (shell, &event);
}

void
fq_shell_log_unfinished (fq_shell_t *shell)
{
  char text[FQ_LOG_TEXT_BYTES];

  snprintf (text, sizeof text,
            "The shutdown is cut short with %zu requests of callers and %zu runs in "
            "flight.",
            fq_http_server_pending_count (shell->caller_listener),
            fq_http_client_exchange_count (shell->upstream_client));
  fq_log_write (FQ_LOG_ERROR, "node", text);
}

void
fq_shell_free (fq_shell_t *shell)
{
  fq_list_t *link;

  if (shell == NULL)
    return;
  /* Events fed while the shell is torn down are queued and dropped. */
  shell->reducing = true;
  fq_store_client_stop (shell->store);
  if (shell->context != NULL)
    lws_context_destroy (shell->context);
  fq_ticker_free (shell->ticker);
  fq_http_server_free (shell->caller_listener);
  fq_http_server_free (shell->upstream_listener);
  fq_http_server_free (shell->operator_listener);
  fq_http_client_free (shell->upstream_client);
  fq_peers_free (shell->peers);
  fq_gossip_socket_free (shell->gossip);
  fq_store_client_free (shell->store);
  while ((link = fq_list_first (&shell->queued)) != NULL)
    {
      fq_queued_event_t *queued = FQ_LIST_ENTRY (link, fq_queued_event_t, link);

      fq_list_remove (link);
      unref_event (&queued->event);
      free (queued);
    }
  fq_core_free (shell->core);
  free (shell);
}
