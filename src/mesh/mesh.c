#include "mesh/mesh.h"

#include <stdlib.h>

#include "filbertquay/errors.h"
#include "mesh/mesh_private.h"

/* Intervals at which the node directory is read: without and with connected peers. */
#define FQ_DISCOVERY_ISOLATED_INTERVAL_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_DISCOVERY_INTERVAL_US (60 * FQ_MICROSECONDS_PER_SECOND)

/* A node that has found no peer for this long after its start is ready without them. */
#define FQ_READY_WITHOUT_PEERS_US (1 * FQ_MICROSECONDS_PER_SECOND)

fq_id_t
fq_mesh_next_id (fq_mesh_t *mesh)
{
  return ++mesh->next_id;
}

static void
add_nodes (fq_mesh_t *mesh, const fq_node_address_t *addresses, size_t count)
{
  for (size_t i = 0; i < count; i++)
    fq_peer_add (mesh, addresses[i], false);
}

/* Every node registers in the directory before it reads it. Of two nodes that start at
 * the same time, at least one therefore finds the other, and frequent reads are needed
 * only while no peer is connected. */
static void
discover_nodes (fq_mesh_t *mesh)
{
  bool isolated = fq_peer_count_up (mesh) == 0;
  bool due = mesh->now - mesh->last_discovery_at >= FQ_DISCOVERY_INTERVAL_US;

  if (isolated || due)
    {
      fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_DISCOVER_NODES);
      mesh->last_discovery_at = mesh->now;
    }
  fq_timers_arm (&mesh->timers, &mesh->discovery_timer,
                 isolated ? mesh->now + FQ_DISCOVERY_ISOLATED_INTERVAL_US
                          : mesh->last_discovery_at + FQ_DISCOVERY_INTERVAL_US);
}

/* Brings the next read of the directory forward, as no peer is connected any more. */
void
fq_mesh_expedite_discovery (fq_mesh_t *mesh)
{
  fq_time_t latest = mesh->now + FQ_DISCOVERY_ISOLATED_INTERVAL_US;

  if (mesh->discovery_timer.position == 0 || mesh->discovery_timer.when > latest)
    fq_timers_arm (&mesh->timers, &mesh->discovery_timer, latest);
}

static void
send_welcome (fq_mesh_t *mesh, const fq_entry_connection_t *entry_connection)
{
  fq_frame_t frame = { .kind = FQ_FRAME_WELCOME, .zone = fq_text_ref (mesh->zone) };

  fq_server_set (&frame.server, &mesh->gate.server);
  fq_peer_write_sample (mesh, &frame);
  fq_mesh_send_to_entry (mesh, entry_connection->id, &frame);
}

static void
handle_hello (fq_mesh_t *mesh,
              fq_id_t id,
              fq_node_address_t address,
              const fq_frame_t *frame)
{
  fq_entry_connection_t *entry_connection = fq_map_get (&mesh->entry_connections, id);

  if (entry_connection == NULL)
    {
      entry_connection = calloc (1, sizeof *entry_connection);
      if (entry_connection == NULL
          || fq_map_set (&mesh->entry_connections, id, entry_connection) < 0)
        abort ();
    }
  entry_connection->id = id;
  entry_connection->address = address;
  fq_peer_add (mesh, address, true);
  add_nodes (mesh, frame->nodes, frame->node_count);
  fq_server_state_recall (mesh, &frame->recall);
  send_welcome (mesh, entry_connection);
  fq_server_crash_tell_suspects (mesh, id);
}

static void
handle_entry_frame (fq_mesh_t *mesh, const fq_mesh_event_t *event)
{
  const fq_frame_t *frame = event->frame.frame;
  fq_id_t entry_connection = event->frame.entry_connection;

  fq_mesh_record_config_version (mesh, event->frame.entry_address,
                                 frame->gate_load.config_version);
  switch (frame->kind)
    {
    case FQ_FRAME_HELLO:
      handle_hello (mesh, entry_connection, event->frame.entry_address, frame);
      break;
    case FQ_FRAME_CONFIG_REQUEST:
      fq_mesh_send_config (mesh, entry_connection, frame->number);
      break;
    case FQ_FRAME_OFFER:
    case FQ_FRAME_MESSAGE:
    case FQ_FRAME_CANCEL:
    case FQ_FRAME_PING:
      fq_gate_handle_frame (mesh, entry_connection, frame);
      break;
    case FQ_FRAME_WELCOME:
    case FQ_FRAME_SERVER:
    case FQ_FRAME_GRANT:
    case FQ_FRAME_REFUSE:
    case FQ_FRAME_ANSWER:
    case FQ_FRAME_FAILED:
    case FQ_FRAME_PONG:
    case FQ_FRAME_CRASH_SUSPECTS:
    case FQ_FRAME_CONFIG:
    case FQ_FRAME_SUSPECTS_CLEARED:
      fq_mesh_log (mesh, true, "event=frame-ignored kind=%d asker=%llu", frame->kind,
                   (unsigned long long)entry_connection);
      break;
    }
}

static void
handle_gate_frame (fq_mesh_t *mesh, const fq_mesh_event_t *event)
{
  fq_peer_t *peer = fq_map_get (&mesh->peers, event->frame.node);

  if (peer != NULL)
    fq_peer_handle_frame (mesh, peer, event->frame.frame);
}

static void
remove_entry_connection (fq_mesh_t *mesh, fq_id_t id)
{
  fq_entry_connection_t *entry_connection = fq_map_remove (&mesh->entry_connections, id);

  free (entry_connection);
  fq_gate_entry_lost (mesh, id);
}

static void
dispatch_timer (fq_mesh_t *mesh, fq_timer_entry_t *timer)
{
  switch ((fq_mesh_timer_t)timer->kind)
    {
    case FQ_MESH_TIMER_EXCHANGE:
      fq_entry_expire (mesh, FQ_LIST_ENTRY (timer, fq_exchange_t, timer));
      break;
    case FQ_MESH_TIMER_RUN:
      fq_gate_handle_run_timer (mesh, FQ_LIST_ENTRY (timer, fq_gate_run_t, timer));
      break;
    case FQ_MESH_TIMER_PEER:
      fq_peer_handle_timer (mesh, FQ_LIST_ENTRY (timer, fq_peer_t, timer));
      break;
    case FQ_MESH_TIMER_SERVER:
      fq_server_state_handle_timer (mesh);
      break;
    case FQ_MESH_TIMER_RATE:
      fq_gate_start_queued (mesh);
      break;
    case FQ_MESH_TIMER_CRASH:
      fq_server_crash_handle_timer (mesh);
      break;
    case FQ_MESH_TIMER_DISCOVERY:
      discover_nodes (mesh);
      break;
    case FQ_MESH_TIMER_CONFIG:
      fq_mesh_request_config (mesh);
      break;
    case FQ_MESH_TIMER_VERSION:
      fq_mesh_ask_version (mesh);
      break;
    case FQ_MESH_TIMER_SHUTDOWN:
      fq_mesh_continue_shutdown (mesh);
      break;
    }
}

static void
dispatch_event (fq_mesh_t *mesh, const fq_mesh_event_t *event)
{
  fq_peer_t *peer;

  switch (event->kind)
    {
    case FQ_MESH_EVENT_TIMER:
      break;
    case FQ_MESH_EVENT_REQUEST:
      fq_entry_receive (mesh, &event->request);
      break;
    case FQ_MESH_EVENT_CLIENT_DISCONNECTED:
      fq_entry_client_disconnected (mesh, event->request_id);
      break;
    case FQ_MESH_EVENT_LINK_UP:
    case FQ_MESH_EVENT_LINK_DOWN:
      peer = fq_map_get (&mesh->peers, event->node);
      if (peer != NULL && event->kind == FQ_MESH_EVENT_LINK_UP)
        fq_peer_link_up (mesh, peer);
      else if (peer != NULL)
        fq_peer_link_down (mesh, peer);
      break;
    case FQ_MESH_EVENT_RETIRED_LINKS_DOWN:
      peer = fq_map_get (&mesh->peers, event->node);
      if (peer != NULL)
        fq_entry_retired_lost (mesh, peer);
      break;
    case FQ_MESH_EVENT_ENTRY_DOWN:
      remove_entry_connection (mesh, event->entry_connection);
      break;
    case FQ_MESH_EVENT_GATE_FRAME:
      handle_gate_frame (mesh, event);
      break;
    case FQ_MESH_EVENT_ENTRY_FRAME:
      handle_entry_frame (mesh, event);
      break;
    case FQ_MESH_EVENT_SERVER_ANSWER:
      fq_gate_run_answered (mesh, event->server_answer.run, event->server_answer.outcome,
                            &event->server_answer.notice, event->server_answer.answer);
      break;
    case FQ_MESH_EVENT_SERVER_FAILED:
      fq_gate_run_failed (mesh, event->server_failed.run, event->server_failed.failure);
      break;
    case FQ_MESH_EVENT_REPORT:
      fq_server_state_handle_report (mesh, &event->report);
      break;
    case FQ_MESH_EVENT_DEREGISTER:
      fq_server_state_handle_deregistration (mesh, &event->report);
      break;
    case FQ_MESH_EVENT_PROBE:
      if (event->probe.outcome == FQ_PROBE_HEALTHY)
        fq_server_state_probe_succeeded (mesh, event->probe.instance,
                                         &event->probe.notice);
      else if (event->probe.outcome == FQ_PROBE_UNHEALTHY)
        fq_server_candidate_probed (mesh, event->probe.instance, false);
      fq_server_crash_probed (mesh, event->probe.outcome, event->probe.instance);
      break;
    case FQ_MESH_EVENT_CONFIG:
      fq_mesh_apply_config (mesh, event->config.received, event->config.found_late);
      break;
    case FQ_MESH_EVENT_NODES:
      add_nodes (mesh, event->nodes.addresses, event->nodes.count);
      break;
    case FQ_MESH_EVENT_SHUTDOWN:
      fq_mesh_begin_shutdown (mesh);
      break;
    }
}

void
fq_mesh_reduce (fq_mesh_t *mesh, const fq_mesh_event_t *event, fq_mesh_effects_t *effects)
{
  fq_timer_entry_t *timer;

  mesh->now = event->now;
  mesh->effects = effects;
  mesh->output_pending = event->output_pending;
  mesh->requests_expected = event->requests_expected;
  mesh->memory_held = event->memory_held;
  fq_rate_limit_refill (&mesh->gate.queue.rate, mesh->now);
  dispatch_event (mesh, event);
  fq_mesh_deliver_loopback (mesh);
  while ((timer = fq_timers_pop (&mesh->timers, mesh->now)) != NULL)
    {
      dispatch_timer (mesh, timer);
      fq_mesh_deliver_loopback (mesh);
    }
  mesh->effects = NULL;
}

uint64_t
fq_mesh_expected_body_bytes (const fq_mesh_t *mesh)
{
  return mesh->gate.expected_body_bytes;
}

fq_time_t
fq_mesh_next_timer (const fq_mesh_t *mesh)
{
  return fq_timers_next (&mesh->timers);
}

bool
fq_mesh_is_ready (const fq_mesh_t *mesh)
{
  if (mesh->stopping || mesh->config == NULL)
    return false;
  return fq_peer_count_up (mesh) > 0
         || mesh->now - mesh->started >= FQ_READY_WITHOUT_PEERS_US;
}

uint64_t
fq_mesh_config_version (const fq_mesh_t *mesh)
{
  return mesh->config == NULL ? 0 : mesh->config->version;
}

fq_fleet_position_t
fq_mesh_position (const fq_mesh_t *mesh)
{
  fq_fleet_position_t position = { .count = 1 };
  size_t cursor = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      if (peer == mesh->self || peer->link != FQ_LINK_UP)
        continue;
      position.count++;
      position.index += peer->address < mesh->address;
    }
  return position;
}

void
fq_mesh_write_metrics (const fq_mesh_t *mesh, fq_buffer_t *out)
{
  fq_mesh_metrics_write (&mesh->metrics, out);
  fq_buffer_printf (out, "# TYPE fq_config_version gauge\nfq_config_version %llu\n",
                    (unsigned long long)fq_mesh_config_version (mesh));
  fq_buffer_printf (out, "# TYPE fq_gates_up gauge\nfq_gates_up %zu\n",
                    fq_peer_count_up (mesh));
  fq_buffer_printf (out, "# TYPE fq_gate_in_flight gauge\nfq_gate_in_flight %u\n",
                    mesh->gate.queue.in_flight);
  fq_buffer_printf (out, "# TYPE fq_gate_queued gauge\nfq_gate_queued %u\n",
                    mesh->gate.queue.queued);
  fq_buffer_printf (out, "# TYPE fq_server_rate_limit gauge\nfq_server_rate_limit %g\n",
                    mesh->gate.notice.rate_limit);
  fq_buffer_printf (out, "# TYPE fq_server_leaving gauge\nfq_server_leaving %d\n",
                    mesh->gate.notice.leaving);
}

static void
init_gate (fq_gate_t *gate, const fq_mesh_params_t *params)
{
  gate->timer.kind = FQ_MESH_TIMER_SERVER;
  gate->rate_timer.kind = FQ_MESH_TIMER_RATE;
  gate->crash_timer.kind = FQ_MESH_TIMER_CRASH;
  fq_gate_queue_init (&gate->queue);
  fq_list_init (&gate->runs);
  fq_repeat_budget_init (&gate->budget, params->retry_window_ms);
}

void
fq_server_report_ref (fq_server_report_t *report)
{
  fq_text_ref (report->instance);
  fq_text_ref (report->service);
}

void
fq_server_report_clear (fq_server_report_t *report)
{
  fq_text_unref (report->instance);
  fq_text_unref (report->service);
  *report = (fq_server_report_t){ 0 };
}

void
fq_mesh_request_ref (fq_mesh_request_t *request)
{
  fq_text_ref (request->request_id);
  fq_text_ref (request->host);
  fq_text_ref (request->parent_id);
}

void
fq_mesh_request_clear (fq_mesh_request_t *request)
{
  fq_text_unref (request->request_id);
  fq_text_unref (request->host);
  fq_text_unref (request->parent_id);
  *request = (fq_mesh_request_t){ 0 };
}

int
fq_mesh_new (fq_mesh_t **out, const fq_mesh_options_t *options, fq_time_t now)
{
  fq_mesh_t *mesh;

  if (options->version != FQ_MESH_OPTIONS_VERSION || options->address == 0
      || options->params.retry_window_ms == 0)
    return fq_error_set (
        FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
        "invalid node options: unknown version, or no address or retry window");
  mesh = calloc (1, sizeof *mesh);
  if (mesh == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a node");
  mesh->address = options->address;
  mesh->params = options->params;
  mesh->random.state = options->seed;
  mesh->now = now;
  mesh->started = now;
  mesh->next_id = FQ_ENTRY_CONNECTION_SELF;
  mesh->zone = fq_text_new (options->zone);
  mesh->service = fq_text_new (options->service);
  fq_list_init (&mesh->loopback);
  init_gate (&mesh->gate, &mesh->params);
  mesh->config_timer.kind = FQ_MESH_TIMER_CONFIG;
  mesh->version_timer.kind = FQ_MESH_TIMER_VERSION;
  mesh->discovery_timer.kind = FQ_MESH_TIMER_DISCOVERY;
  mesh->shutdown_timer.kind = FQ_MESH_TIMER_SHUTDOWN;
  mesh->self = fq_peer_get_or_add (mesh, mesh->address);
  mesh->self->link = FQ_LINK_UP;
  mesh->self->handshake_complete = true;
  mesh->self->zone = fq_text_ref (mesh->zone);
  fq_timers_arm (&mesh->timers, &mesh->discovery_timer, now);
  fq_timers_arm (&mesh->timers, &mesh->version_timer, now);
  *out = mesh;
  return FQ_OK;
}

static void
free_entry_connections (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  fq_entry_connection_t *entry_connection;

  while ((entry_connection = fq_map_next (&mesh->entry_connections, &cursor)) != NULL)
    free (entry_connection);
  fq_map_clear (&mesh->entry_connections);
}

void
fq_mesh_free (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  void *time;

  if (mesh == NULL)
    return;
  fq_entry_free_all (mesh);
  fq_gate_free_all (mesh);
  fq_peer_free_all (mesh);
  free_entry_connections (mesh);
  while ((time = fq_map_next (&mesh->route_times, &cursor)) != NULL)
    free (time);
  fq_map_clear (&mesh->route_times);
  fq_crash_suspects_free (&mesh->crash_suspects);
  fq_timers_clear (&mesh->timers);
  fq_config_unref (mesh->config);
  fq_text_unref (mesh->zone);
  fq_text_unref (mesh->service);
  free (mesh);
}
