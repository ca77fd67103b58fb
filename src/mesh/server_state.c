/**
 * DOC: The state of the local server, from its status reports, health checks and
 * deregistration, and the concurrency limit of the gate that follows from it.
 *
 * A server process that began to drain never becomes ready again; reports that arrive
 * later, possibly delayed or reordered, do not change that. After a restart the node no
 * longer knows that its server drains, and the reports that it receives may be delayed
 * ones. It therefore confirms them with a health check before the server counts as ready.
 * Without one that says so, they count only when none can be a delayed one any more.
 */
#include "mesh/mesh_private.h"

#define FQ_SLOTS_SHARE 0.95 /* of its slots: some servers slow down when nearly full */

/* The drain at the gate ends earlier than at the server by this time, so that the last
 * requests still reach the server while it accepts them. */
#define FQ_DRAIN_MARGIN_US (400 * FQ_MICROSECONDS_PER_MS)

/* Missed reports in a row after which a server that answers no requests is absent. */
#define FQ_REPORTS_MISSED_MAX 3

void
fq_server_state_broadcast (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  const fq_entry_connection_t *entry_connection;
  fq_server_t *server = &mesh->self->server;

  fq_server_set (server, &mesh->gate.server);
  if (mesh->gate_closed)
    server->phase = FQ_PHASE_ABSENT;
  while ((entry_connection = fq_map_next (&mesh->entry_connections, &cursor)) != NULL)
    {
      fq_frame_t frame = { .kind = FQ_FRAME_SERVER };

      fq_server_set (&frame.server, server);
      fq_mesh_send_to_entry (mesh, entry_connection->id, &frame);
    }
}

static void
enter_phase (fq_mesh_t *mesh, fq_phase_t phase, const char *reason)
{
  fq_gate_t *gate = &mesh->gate;

  fq_mesh_log (mesh, phase == FQ_PHASE_ABSENT,
               "event=server-phase service=%s instance=%s from=%s to=%s reason=%s "
               "sequence=%llu in_flight=%u queued=%u",
               fq_text_label (gate->server.service),
               fq_text_label (gate->server.instance), fq_phase_name (gate->server.phase),
               fq_phase_name (phase), reason, (unsigned long long)gate->server_sequence,
               gate->queue.in_flight, gate->queue.queued);
  gate->server.phase = phase;
  if (phase == FQ_PHASE_READY)
    {
      fq_text_set (&mesh->service, gate->server.service);
      fq_server_crash_ready (mesh);
    }
  if (phase == FQ_PHASE_ABSENT)
    fq_gate_refuse_queued (mesh, FQ_GATE_CAUSE_NO_SERVER);
  fq_server_state_broadcast (mesh);
}

static void
arm_report_timer (fq_mesh_t *mesh)
{
  fq_time_t interval
      = (fq_time_t)mesh->params.report_interval_ms * FQ_MICROSECONDS_PER_MS;

  fq_timers_arm (&mesh->timers, &mesh->gate.timer,
                 mesh->now + interval * FQ_REPORTS_MISSED_MAX);
}

static void
begin_drain_since (fq_mesh_t *mesh, fq_time_t since, const char *reason)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->drain_until != 0)
    return;
  gate->drain_until = fq_server_drain_end (mesh, since);
  if (gate->drain_until < mesh->now)
    gate->drain_until = mesh->now;
  fq_timers_arm (&mesh->timers, &gate->timer, gate->drain_until);
  if (gate->server.phase == FQ_PHASE_READY)
    enter_phase (mesh, FQ_PHASE_DRAINING, reason);
  else
    fq_mesh_log (mesh, false, "event=server-drained instance=%s reason=%s left_ms=%lld",
                 fq_text_label (gate->server.instance), reason,
                 (long long)((gate->drain_until - mesh->now) / FQ_MICROSECONDS_PER_MS));
}

void
fq_server_state_begin_drain (fq_mesh_t *mesh, const char *reason)
{
  begin_drain_since (mesh, mesh->now, reason);
}

fq_time_t
fq_server_drain_end (const fq_mesh_t *mesh, fq_time_t since)
{
  return since + (fq_time_t)mesh->params.drain_ms * FQ_MICROSECONDS_PER_MS
         - FQ_DRAIN_MARGIN_US;
}

/* Whether @memory tells that the present server, or one before it with its id, left. */
static bool
tells_of_leaving (const fq_gate_t *gate, const fq_server_memory_t *memory)
{
  bool is_of_earlier = memory->started_ms == 0 && gate->returned_at != 0
                       && memory->leaving_since <= gate->returned_at;

  return memory->leaving && gate->drain_until == 0 && !is_of_earlier;
}

void
fq_server_state_apply_recalled (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    {
      const fq_server_memory_t *memory = &gate->recalled.items[i];

      if (!fq_server_memory_is_of (memory, gate->server.instance,
                                   gate->server.started_ms))
        continue;
      fq_server_notice_recall (mesh, memory);
      if (!tells_of_leaving (gate, memory))
        continue;
      /* If it does not tell which process of that id left, it is not known any more. */
      gate->server.started_ms = memory->started_ms;
      begin_drain_since (mesh, memory->leaving_since, "recalled");
    }
}

void
fq_server_state_recall (fq_mesh_t *mesh, const fq_server_recall_t *recall)
{
  fq_server_memory_t memory;

  if (recall->instance == NULL)
    return;
  fq_server_memory_from_recall (recall, mesh->now, &memory);
  fq_server_memories_add (&mesh->gate.recalled, &memory);
  fq_server_memory_clear (&memory);
  fq_server_state_apply_recalled (mesh);
}

/* Records that a process left that is not the server as far as this node knows, so that
 * it gets no work if it turns out to be. */
static void
record_leaving (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  fq_time_t drain = (fq_time_t)mesh->params.drain_ms * FQ_MICROSECONDS_PER_MS;
  const fq_server_memory_t memory = {
    .instance = report->instance,
    .started_ms = report->started_ms,
    .leaving = true,
    .leaving_since = mesh->now - drain,
  };

  fq_server_memories_add (&mesh->gate.recalled, &memory);
  fq_mesh_log (mesh, false, "event=leave-recorded instance=%s started_ms=%llu known=%s",
               fq_text_label (report->instance), (unsigned long long)report->started_ms,
               fq_text_label (mesh->gate.server.instance));
}

static void
set_concurrency_limit (fq_gate_t *gate, uint32_t slots)
{
  uint32_t limit = (uint32_t)(slots * FQ_SLOTS_SHARE);

  gate->queue.limit = limit > 0 ? limit : 1;
}

/* Whether @report may be of the server of this VM: of the service that the settings or
 * the last server in use state, or of one that the configuration names. Without a
 * configuration, that is not known yet. */
static bool
is_of_known_service (const fq_mesh_t *mesh, const fq_server_report_t *report)
{
  return mesh->config == NULL || !fq_server_states_other_service (mesh, report)
         || fq_config_find_service (mesh->config, report->service) != NULL;
}

/* Whether it is known of which service the server is: the settings say so, or did an
 * earlier server, or the configuration names the service that it reports. */
static bool
is_service_known (const fq_mesh_t *mesh)
{
  return mesh->service != NULL
         || (mesh->config != NULL
             && fq_config_find_service (mesh->config, mesh->gate.server.service) != NULL);
}

/* Whether a report that arrives now may be from before the start of this node. */
static bool
may_be_from_before (const fq_mesh_t *mesh)
{
  return mesh->now - mesh->started < FQ_REPORTS_LATE_US;
}

/* Takes the start time of the server from its report; a health check does not tell it,
 * and the other nodes need it to tell the process from the next one. */
static void
record_start_time (fq_mesh_t *mesh, uint64_t started_ms)
{
  fq_gate_t *gate = &mesh->gate;

  if (started_ms == 0 || gate->server.started_ms == started_ms)
    return;
  gate->server.started_ms = started_ms;
  fq_server_state_broadcast (mesh);
}

/* Handles a report of the server after it began to leave. One that says "ready" was
 * delayed, unless it is of the next process with that id. */
static void
handle_report_of_leaving (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  const fq_server_t *server = &mesh->gate.server;

  if (report->draining)
    record_start_time (mesh, report->started_ms);
  else if (server->started_ms == 0 || report->started_ms == 0)
    fq_server_consider_candidate (mesh, report);
}

void
fq_server_state_accept_report (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  fq_gate_t *gate = &mesh->gate;

  fq_server_clear_candidate (mesh);
  /* Also a process that was adopted just now may be remembered as leaving. */
  if (gate->drain_until != 0)
    {
      handle_report_of_leaving (mesh, report);
      return;
    }
  gate->server_sequence = report->sequence;
  record_start_time (mesh, report->started_ms);
  set_concurrency_limit (gate, report->slots);
  if (report->draining)
    {
      fq_server_state_begin_drain (mesh, "reported");
      return;
    }
  arm_report_timer (mesh);
  if (!gate->confirmed)
    fq_server_state_probe_if_uncertain (mesh);
  else if (gate->server.phase != FQ_PHASE_READY)
    enter_phase (mesh, FQ_PHASE_READY, "reported");
  fq_gate_start_queued (mesh);
}

static void
record_unused (fq_mesh_t *mesh, const fq_server_report_t *report, fq_report_class_t class)
{
  bool stale = class == FQ_REPORT_STALE;

  if (stale)
    mesh->metrics.counters[FQ_METRIC_STALE_REPORTS]++;
  fq_mesh_log (mesh, false,
               "event=report-%s service=%s instance=%s started_ms=%llu sequence=%llu "
               "draining=%d known_instance=%s known_started_ms=%llu known=%llu",
               stale ? "stale" : "unproven", fq_text_label (report->service),
               fq_text_label (report->instance), (unsigned long long)report->started_ms,
               (unsigned long long)report->sequence, report->draining,
               fq_text_label (mesh->gate.server.instance),
               (unsigned long long)mesh->gate.server.started_ms,
               (unsigned long long)mesh->gate.server_sequence);
}

/* A process says that it leaves, and gets an acknowledgement, which binds this node
 * whether or not that process is taken for the server. */
static void
handle_leaving (fq_mesh_t *mesh, const fq_server_report_t *report, const char *reason)
{
  const fq_server_t *server = &mesh->gate.server;
  bool was_candidate = fq_server_drop_candidate (mesh, report);
  bool has_id = fq_text_equal (server->instance, report->instance);

  if (!fq_server_matches_report (server, report) && !(was_candidate && has_id))
    {
      record_leaving (mesh, report);
      return;
    }
  record_start_time (mesh, report->started_ms);
  fq_server_state_begin_drain (mesh, reason);
}

/* Handles a report that is not of the server, or not the latest of it. One of another
 * service that says "draining" is of no use to any request. */
static void
handle_unused_report (fq_mesh_t *mesh,
                      const fq_server_report_t *report,
                      fq_report_class_t class)
{
  record_unused (mesh, report, class);
  if (!report->draining)
    fq_server_consider_candidate (mesh, report);
  else if (fq_server_states_other_service (mesh, report))
    fq_server_drop_candidate (mesh, report);
  else
    handle_leaving (mesh, report, "reported");
}

void
fq_server_state_handle_report (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  fq_gate_t *gate = &mesh->gate;
  bool is_first = gate->server.instance == NULL;
  fq_report_class_t class;

  if (!is_of_known_service (mesh, report))
    {
      fq_mesh_log (mesh, true, "event=report-refused instance=%s unknown_service=%s",
                   fq_text_label (report->instance), fq_text_label (report->service));
      return;
    }
  if (gate->drain_until != 0 && fq_server_matches_report (&gate->server, report)
      && !fq_server_states_other_service (mesh, report))
    {
      handle_report_of_leaving (mesh, report);
      return;
    }
  class = fq_server_classify_report (mesh, report);
  switch (class)
    {
    case FQ_REPORT_CURRENT:
      break;
    case FQ_REPORT_SUCCESSOR:
      fq_server_adopt (mesh, report);
      break;
    case FQ_REPORT_STALE:
    case FQ_REPORT_UNPROVEN:
      handle_unused_report (mesh, report, class);
      return;
    }
  /* The first report that this node gets needs a health check to confirm it, also when
   * one was sent before, and so does one that may be from before its start. Any later
   * report confirms the server, also that of a new process. */
  if (is_first || may_be_from_before (mesh))
    gate->probed = false;
  else if (is_service_known (mesh))
    gate->confirmed = true;
  fq_server_state_accept_report (mesh, report);
}

/* Servers of one service have equally many slots, so that the limit of a peer's gate
 * serves until the local server reports. Return: 0: no peer of the service has one. */
static uint32_t
lowest_peer_limit (const fq_mesh_t *mesh)
{
  size_t cursor = 0;
  uint32_t limit = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      if (peer != mesh->self && peer->link == FQ_LINK_UP
          && fq_text_equal (peer->server.service, mesh->service)
          && (limit == 0 || peer->gate_load.limit < limit))
        limit = peer->gate_load.limit;
    }
  return limit;
}

/* Before the first report, the limit has to come from peers; see lowest_peer_limit(). */
static bool
should_probe (const fq_mesh_t *mesh)
{
  const fq_gate_t *gate = &mesh->gate;

  if (gate->probed || gate->confirmed || gate->drain_until != 0 || mesh->config == NULL)
    return false;
  return gate->server.instance != NULL || lowest_peer_limit (mesh) != 0;
}

bool
fq_server_state_send_probe (fq_mesh_t *mesh, const fq_text_t *service)
{
  const fq_service_t *known = NULL;
  fq_mesh_effect_t *effect;

  if (mesh->config != NULL)
    known = fq_config_find_service (mesh->config, service);
  if (known == NULL)
    return false;
  effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_PROBE);
  effect->path = fq_text_ref (known->probe_path);
  return true;
}

/* Sends a health check, so that a node that starts while its server runs need not wait
 * for the next report. */
void
fq_server_state_probe_if_uncertain (fq_mesh_t *mesh)
{
  const fq_server_t *server = &mesh->gate.server;
  const fq_text_t *service = server->instance != NULL ? server->service : mesh->service;

  if (should_probe (mesh))
    mesh->gate.probed = fq_server_state_send_probe (mesh, service);
}

/* The health check was answered by the process that the first report named. */
static void
confirm_process (fq_mesh_t *mesh, const fq_text_t *instance)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->confirmed || gate->drain_until != 0
      || !fq_text_equal (gate->server.instance, instance))
    return;
  gate->confirmed = true;
  enter_phase (mesh, FQ_PHASE_READY, "confirmed");
  fq_gate_start_queued (mesh);
}

/* An answer to a health check need not state the rate limit, so only what it does state
 * counts. */
static void
record_probe_notice (fq_mesh_t *mesh, const fq_server_notice_t *notice)
{
  if (notice->rate_statement != FQ_RATE_UNSTATED || notice->leaving)
    fq_server_notice_record (mesh, notice);
}

void
fq_server_state_probe_succeeded (fq_mesh_t *mesh,
                                 fq_text_t *instance,
                                 const fq_server_notice_t *notice)
{
  fq_gate_t *gate = &mesh->gate;
  uint32_t limit = lowest_peer_limit (mesh);

  fq_server_candidate_probed (mesh, instance, true);
  if (gate->server.instance != NULL)
    {
      if (fq_text_equal (gate->server.instance, instance))
        record_probe_notice (mesh, notice);
      confirm_process (mesh, instance);
      return;
    }
  if (limit == 0 || fq_server_is_disputed (mesh, instance))
    return;
  gate->confirmed = true;
  fq_text_set (&gate->server.instance, instance);
  fq_text_set (&gate->server.service, mesh->service);
  gate->queue.limit = limit;
  arm_report_timer (mesh);
  fq_server_state_apply_recalled (mesh);
  record_probe_notice (mesh, notice);
  if (gate->drain_until != 0)
    return;
  enter_phase (mesh, FQ_PHASE_READY, "probed");
}

void
fq_server_state_handle_deregistration (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  handle_leaving (mesh, report, "left");
}

void
fq_server_state_config_changed (fq_mesh_t *mesh)
{
  fq_server_t *server = &mesh->gate.server;

  if (server->instance != NULL && !mesh->gate.confirmed && !is_service_known (mesh))
    {
      fq_mesh_log (mesh, true, "event=server-refused instance=%s unknown_service=%s",
                   fq_text_label (server->instance), fq_text_label (server->service));
      fq_server_clear (server);
      mesh->gate.drain_until = 0;
    }
  fq_server_recheck_candidate (mesh);
  fq_server_state_probe_if_uncertain (mesh);
}

void
fq_server_state_mark_absent (fq_mesh_t *mesh, const char *reason)
{
  if (mesh->gate.server.phase == FQ_PHASE_ABSENT)
    return;
  enter_phase (mesh, FQ_PHASE_ABSENT, reason);
}

void
fq_server_state_handle_timer (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;
  fq_time_t interval
      = (fq_time_t)mesh->params.report_interval_ms * FQ_MICROSECONDS_PER_MS;

  if (gate->drain_until != 0)
    {
      fq_server_state_mark_absent (mesh, "drained");
      return;
    }
  if (mesh->now - gate->answered_at < interval
      || mesh->now - gate->timer.when > FQ_CHECK_LATE_US)
    {
      arm_report_timer (mesh);
      return;
    }
  fq_server_state_mark_absent (mesh, "silent");
}
