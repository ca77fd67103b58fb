#include "node/node.h"

#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "config_document.h"
#include "filbertquay/errors.h"
#include "filbertquay/memory.h"
#include "io/clock.h"
#include "node/event_log.h"
#include "node/node_private.h"
#include "util/text.h"
#include "util/timers.h"

#define FQ_GATE_BODIES_DIVISOR 4 /* bodies at the gate: a quarter of the memory limit */
/* No body is admitted to the gate that would let more than this share be held. */
#define FQ_GATE_MEMORY_PERCENT 80
#define FQ_PERCENT 100

/* An event that arose while the effects of another one were carried out. */
typedef struct
{
  fq_list_t link;
  fq_mesh_event_t event;
} queued_event_t;

static void
disable_keep_alive (fq_node_t *node)
{
  fq_http_server_disable_keep_alive (node->requests);
}

static void
refuse_connections (fq_node_t *node)
{
  if (fq_http_server_refuse_connections (node->requests) < 0)
    fq_event_log_printf (true, "event=stopping fault=\"%s\"", fq_error_last ()->message);
}

static void
apply_effect (fq_node_t *node, const fq_mesh_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_MESH_EFFECT_REPLY:
      fq_node_http_reply (node, effect);
      break;
    case FQ_MESH_EFFECT_LINK_OPEN:
      fq_links_connect (node->links, effect->node);
      break;
    case FQ_MESH_EFFECT_LINK_CLOSE:
      fq_links_disconnect (node->links, effect->node);
      break;
    case FQ_MESH_EFFECT_LINK_RETIRE:
      fq_links_retire (node->links, effect->node);
      break;
    case FQ_MESH_EFFECT_RETIRED_LINKS_CLOSE:
      fq_links_close_retired (node->links, effect->node);
      break;
    case FQ_MESH_EFFECT_SEND_TO_GATE:
      fq_links_send_to_gate (node->links, effect->frame.node, effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SEND_TO_ENTRY:
      fq_links_send_to_entry (node->links, effect->frame.entry_connection,
                              effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SERVER_CALL:
      fq_server_calls_start (node->server, effect);
      break;
    case FQ_MESH_EFFECT_SERVER_ABORT:
      fq_server_calls_abort (node->server, effect->run);
      break;
    case FQ_MESH_EFFECT_SERVER_CLOSE_IDLE:
      fq_server_calls_close_idle (node->server);
      break;
    case FQ_MESH_EFFECT_SERVER_PROBE:
      fq_server_calls_probe (node->server, fq_text_chars (effect->path));
      break;
    case FQ_MESH_EFFECT_REQUEST_LIMITS:
      fq_node_http_set_limits (node, &effect->limits);
      break;
    case FQ_MESH_EFFECT_DISCOVER_NODES:
      fq_store_watch_discover_nodes (node->store);
      break;
    case FQ_MESH_EFFECT_REMOVE_NODE:
      fq_store_watch_remove_node (node->store, effect->node);
      break;
    case FQ_MESH_EFFECT_LOG:
      fq_event_log_write (effect->log.warning, effect->log.text);
      break;
    case FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE:
      disable_keep_alive (node);
      break;
    case FQ_MESH_EFFECT_REFUSE_CONNECTIONS:
      refuse_connections (node);
      break;
    case FQ_MESH_EFFECT_STOPPED:
      fq_io_flush (&node->io);
      ev_break (node->io.loop, EVBREAK_ALL);
      break;
    }
}

static void
arm_timer (fq_node_t *node)
{
  fq_time_t next = fq_mesh_next_timer (node->mesh);
  fq_time_t now = fq_clock_now ();

  if (next == FQ_TIMERS_NEVER)
    return;
  if (ev_is_active (&node->timer) && node->timer_at <= next && node->timer_at > now)
    return;
  ev_timer_stop (node->io.loop, &node->timer);
  ev_timer_set (&node->timer,
                next > now ? (double)(next - now) / FQ_MICROSECONDS_PER_SECOND : 0., 0.);
  ev_timer_start (node->io.loop, &node->timer);
  node->timer_at = next;
}

/* Counts the bodies that the gate has admitted before they arrive. */
static void
count_expected (fq_node_t *node)
{
  size_t expected = (size_t)fq_mesh_expected_body_bytes (node->mesh);

  fq_memory_recount (node->expected_bytes, expected);
  node->expected_bytes = expected;
}

static void
reduce (fq_node_t *node, fq_mesh_event_t *event)
{
  fq_mesh_effects_t effects = node->effects;

  node->effects = (fq_mesh_effects_t){ 0 };
  event->now = fq_clock_now ();
  event->output_pending = node->stopping && fq_io_has_unsent (&node->io);
  event->requests_expected = node->stopping && event->kind == FQ_MESH_EVENT_TIMER
                             && fq_http_server_expects_requests (node->requests);
  event->memory_held = fq_memory_held ();
  fq_mesh_reduce (node->mesh, event, &effects);
  count_expected (node);
  for (size_t i = 0; i < effects.count; i++)
    apply_effect (node, &effects.items[i]);
  fq_mesh_effects_clear (&effects);
  node->effects = effects;
}

static void
enqueue_event (fq_node_t *node, const fq_mesh_event_t *event)
{
  queued_event_t *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    abort ();
  pending->event = *event;
  if (event->kind == FQ_MESH_EVENT_REQUEST)
    {
      fq_http_message_ref (event->request.message);
      fq_mesh_request_ref (&pending->event.request);
    }
  fq_list_append (&node->pending, &pending->link);
}

/* Calls to the reducer never nest: events that arise while effects are carried out are
 * queued. Such events contain no borrowed pointers, except for requests, whose message is
 * kept by a reference. */
void
fq_node_dispatch (fq_node_t *node, fq_mesh_event_t *event)
{
  fq_list_t *link;

  if (node->reducing)
    {
      enqueue_event (node, event);
      return;
    }
  node->reducing = true;
  reduce (node, event);
  while ((link = fq_list_first (&node->pending)) != NULL)
    {
      queued_event_t *pending = FQ_LIST_ENTRY (link, queued_event_t, link);

      fq_list_remove (link);
      reduce (node, &pending->event);
      if (pending->event.kind == FQ_MESH_EVENT_REQUEST)
        {
          fq_http_message_unref (pending->event.request.message);
          fq_mesh_request_clear (&pending->event.request);
        }
      free (pending);
    }
  node->reducing = false;
  arm_timer (node);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_TIMER };

  (void)loop;
  (void)events;
  fq_node_dispatch (timer->data, &event);
}

bool
fq_node_settings_changed (fq_node_t *node)
{
  struct stat status;

  if (stat (node->settings_path, &status) < 0)
    return false;
  if (status.st_mtim.tv_sec == node->settings_mtime.tv_sec
      && status.st_mtim.tv_nsec == node->settings_mtime.tv_nsec)
    return false;
  node->settings_mtime = status.st_mtim;
  return true;
}

static void
on_gate_up (void *context, fq_node_address_t address)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_LINK_UP, .node = address };

  fq_node_dispatch (context, &event);
}

static void
on_gate_down (void *context, fq_node_address_t address)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_LINK_DOWN, .node = address };

  fq_node_dispatch (context, &event);
}

static void
on_retired_down (void *context, fq_node_address_t address)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_RETIRED_LINKS_DOWN, .node = address };

  fq_node_dispatch (context, &event);
}

static void
on_entry_down (void *context, fq_id_t entry_connection)
{
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_ENTRY_DOWN, .entry_connection = entry_connection };

  fq_node_dispatch (context, &event);
}

static void
dispatch_config (fq_node_t *node, fq_config_t *config, bool found_late)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_CONFIG };

  event.config.received = config;
  event.config.found_late = found_late;
  fq_node_dispatch (node, &event);
}

static void
read_config_frame (fq_node_t *node, const fq_frame_t *frame)
{
  fq_config_t *config;

  if (fq_platform_read_config (&config, frame->document, frame->document_size) < 0)
    {
      fq_event_log_printf (true, "event=config-refused version=%llu fault=\"%s\"",
                           (unsigned long long)frame->number, fq_error_last ()->message);
      return;
    }
  dispatch_config (node, config, false);
  fq_config_unref (config);
  fq_store_watch_expect_change (node->store);
}

static void
on_gate_frame (void *context, fq_node_address_t address, const fq_frame_t *frame)
{
  fq_node_t *node = context;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_GATE_FRAME };

  event.frame.node = address;
  event.frame.frame = frame;
  fq_node_dispatch (node, &event);
  if (frame->kind == FQ_FRAME_CONFIG)
    read_config_frame (node, frame);
}

static void
on_entry_frame (void *context,
                fq_id_t entry_connection,
                fq_node_address_t address,
                const fq_frame_t *frame)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_ENTRY_FRAME };

  event.frame.entry_connection = entry_connection;
  event.frame.entry_address = address;
  event.frame.frame = frame;
  fq_node_dispatch (context, &event);
}

static const fq_links_handlers_t link_handlers = {
  .gate_up = on_gate_up,
  .gate_down = on_gate_down,
  .retired_down = on_retired_down,
  .entry_down = on_entry_down,
  .gate_frame = on_gate_frame,
  .entry_frame = on_entry_frame,
};

static void
on_server_answered (void *context,
                    fq_id_t run,
                    fq_server_outcome_t outcome,
                    const fq_server_notice_t *notice,
                    fq_http_message_t *message)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_ANSWER };

  event.server_answer.run = run;
  event.server_answer.outcome = outcome;
  event.server_answer.notice = *notice;
  event.server_answer.answer = message;
  fq_node_dispatch (context, &event);
}

static void
on_server_failed (void *context, fq_id_t run, fq_server_failure_t failure)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_FAILED };

  event.server_failed.run = run;
  event.server_failed.failure = failure;
  fq_node_dispatch (context, &event);
}

static void
on_probed (void *context,
           fq_probe_outcome_t outcome,
           fq_text_t *instance,
           const fq_server_notice_t *notice)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_PROBE };

  event.probe.outcome = outcome;
  event.probe.instance = instance;
  event.probe.notice = *notice;
  fq_node_dispatch (context, &event);
}

static const fq_server_calls_handlers_t server_handlers = {
  .answered = on_server_answered,
  .failed = on_server_failed,
  .probed = on_probed,
};

static void
on_config (void *context, fq_config_t *config, bool found_late)
{
  dispatch_config (context, config, found_late);
}

static void
on_nodes (void *context, const fq_node_address_t *addresses, size_t count)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_NODES };

  event.nodes.addresses = addresses;
  event.nodes.count = count;
  fq_node_dispatch (context, &event);
}

static fq_fleet_position_t
position (void *context)
{
  const fq_node_t *node = context;

  return fq_mesh_position (node->mesh);
}

static const fq_store_watch_handlers_t store_handlers = {
  .config = on_config,
  .nodes = on_nodes,
  .position = position,
};

static void
add_seeds (fq_node_t *node)
{
  fq_node_address_t addresses[FQ_NODE_SEEDS_MAX];
  size_t count = 0;
  struct sockaddr_in address;

  for (size_t i = 0; i < node->settings.seed_count; i++)
    {
      if (fq_address_parse (&address, node->settings.seeds[i]) == FQ_OK)
        addresses[count++] = ntohl (address.sin_addr.s_addr);
    }
  on_nodes (node, addresses, count);
}

static int
open_links (fq_node_t *node)
{
  struct sockaddr_in address;
  int error = fq_address_parse (&address, node->settings.nodes_address);

  if (error < 0)
    return error;
  return fq_links_open (&node->links, &node->io, &address, &link_handlers, node);
}

static int
open_mesh (fq_node_t *node)
{
  fq_mesh_options_t options = FQ_MESH_OPTIONS_INIT;
  fq_time_t now = fq_clock_now ();

  options.address = node->address;
  options.zone = fq_text_chars (node->settings.zone);
  options.service = fq_text_chars (node->settings.service);
  options.seed = ((uint64_t)node->address << 32) ^ (uint64_t)now;
  options.params = (fq_mesh_params_t){
    .report_interval_ms = node->settings.report_interval_ms,
    .drain_ms = node->settings.drain_ms,
    .grace_ms = node->settings.grace_ms,
    .body_bytes_max
    = (uint64_t)(node->settings.memory_mb * FQ_BYTES_PER_MB / FQ_GATE_BODIES_DIVISOR),
    .memory_bytes = fq_memory_limit () / FQ_PERCENT * FQ_GATE_MEMORY_PERCENT,
    .new_request_bytes = fq_memory_limit () / FQ_PERCENT * FQ_NEW_REQUEST_MEMORY_PERCENT,
    .retry_ratio = node->settings.retry_ratio,
    .retry_window_ms = node->settings.retry_window_ms,
    .retry_slack = node->settings.retry_slack,
  };
  return fq_mesh_new (&node->mesh, &options, now);
}

static int
parse_node_address (fq_node_address_t *out, const char *ip)
{
  char text[FQ_ADDRESS_BYTES + 3];
  struct sockaddr_in address;
  int error;

  fq_text_copy (text, FQ_ADDRESS_BYTES, ip);
  strcat (text, ":1"); /* fq_address_parse() needs a port, which is not used */
  error = fq_address_parse (&address, text);
  *out = ntohl (address.sin_addr.s_addr);
  return error;
}

static int
open_all (fq_node_t *node)
{
  const fq_node_settings_t *settings = &node->settings;
  int error;

  if ((error = parse_node_address (&node->address, settings->ip)) < 0
      || (error = open_mesh (node)) < 0 || (error = open_links (node)) < 0
      || (error = fq_node_http_open (node)) < 0)
    return error;
  error = fq_server_calls_open (&node->server, &node->io, settings->server_address,
                                (size_t)(settings->memory_mb * FQ_BYTES_PER_MB),
                                &server_handlers, node);
  if (error < 0)
    return error;
  return fq_store_watch_open (&node->store, &node->io, settings->store_address,
                              node->address, &store_handlers, node);
}

static const char *const limit_actions[FQ_LIMIT_ACTIONS] = {
  [FQ_LIMIT_SHED_STALLED] = "shed-stalled", [FQ_LIMIT_SHED_LARGEST] = "shed-largest",
  [FQ_LIMIT_SHED_IDLE] = "shed-idle",       [FQ_LIMIT_REFUSED] = "refused",
  [FQ_LIMIT_THROTTLED] = "throttled",
};

const char *
fq_node_limit_action_name (fq_limit_action_t action)
{
  return limit_actions[action];
}

static void
on_limit (void *context, const fq_limit_report_t *report)
{
  (void)context;
  fq_event_log_printf (
      true,
      "event=limit-reached action=%s held=%zu moved_ms_ago=%lld pending=%d "
      "memory_held=%zu memory=%zu",
      fq_node_limit_action_name (report->action), report->held, report->moved_ms_ago,
      report->pending, fq_memory_held (), fq_memory_limit ());
}

int
fq_node_open (fq_node_t **out,
              struct ev_loop *loop,
              const fq_node_settings_t *settings,
              const char *settings_path)
{
  fq_node_t *node = calloc (1, sizeof *node);
  int error;

  if (node == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a node");
  error = fq_io_open (&node->io, loop);
  if (error < 0)
    {
      free (node);
      return error;
    }
  node->settings = *settings;
  fq_text_ref (settings->node);
  fq_text_ref (settings->zone);
  fq_text_ref (settings->service);
  node->io.limits.report = on_limit;
  fq_list_init (&node->pending);
  ev_timer_init (&node->timer, on_timer, 0., 0.);
  node->timer.data = node;
  fq_text_copy (node->settings_path, sizeof node->settings_path, settings_path);
  fq_node_settings_changed (node);
  fq_memory_set_limit ((size_t)(settings->memory_mb * FQ_BYTES_PER_MB));
  error = open_all (node);
  if (error < 0)
    {
      fq_node_close (node);
      return error;
    }
  fq_event_log_printf (
      false, "event=start address=%08x zone=%s service=%s server=%s store=%s",
      node->address, fq_text_label (settings->zone), fq_text_label (settings->service),
      settings->server_address, settings->store_address);
  add_seeds (node);
  *out = node;
  return FQ_OK;
}

void
fq_node_begin_shutdown (fq_node_t *node)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SHUTDOWN };

  node->stopping = true;
  fq_node_dispatch (node, &event);
}

/* Only the seeds are reloaded; other settings take effect at the next start. */
void
fq_node_reload (fq_node_t *node)
{
  fq_node_settings_t settings;

  if (fq_node_settings_load (&settings, node->settings_path) < 0)
    {
      fq_event_log_printf (true, "event=reload-refused fault=\"%s\"",
                           fq_error_last ()->message);
      goto done;
    }
  memcpy (node->settings.seeds, settings.seeds, sizeof settings.seeds);
  node->settings.seed_count = settings.seed_count;
  fq_event_log_printf (false, "event=reload seeds=%zu", settings.seed_count);
  add_seeds (node);

done:
  fq_node_settings_clear (&settings);
}

void
fq_node_close (fq_node_t *node)
{
  if (node == NULL)
    return;
  ev_timer_stop (node->io.loop, &node->timer);
  fq_store_watch_close (node->store);
  fq_server_calls_close (node->server);
  fq_links_close (node->links);
  fq_http_server_close (node->requests);
  fq_http_server_close (node->readiness);
  fq_http_server_close (node->reports);
  fq_http_server_close (node->metrics);
  fq_mesh_free (node->mesh);
  fq_mesh_effects_free (&node->effects);
  fq_io_close (&node->io);
  fq_node_settings_clear (&node->settings);
  free (node);
}
