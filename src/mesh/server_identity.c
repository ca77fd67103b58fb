/**
 * DOC: Which process the local server is, by the ids and start times of its reports.
 *
 * Reports arrive late, come from other writers, and may lack a start time; clocks step
 * back. So the values of one report never decide for good: another process than the
 * server is a candidate as long as it reports and the server does not. A health check
 * tells which of the two has the address. Where it can't, because both have the same id,
 * the candidate is the server once its reports have come for longer than any of them can
 * be late.
 */
#include "mesh/mesh_private.h"

bool
fq_server_matches_report (const fq_server_t *server, const fq_server_report_t *report)
{
  return fq_may_be_same_process (server->instance, server->started_ms, report->instance,
                                 report->started_ms);
}

bool
fq_server_states_other_service (const fq_mesh_t *mesh, const fq_server_report_t *report)
{
  return mesh->service != NULL && !fq_text_equal (mesh->service, report->service);
}

/* Whether the server is known to be gone, so that another process may have its address.
 */
static bool
is_gone (const fq_gate_t *gate)
{
  return gate->server.phase == FQ_PHASE_ABSENT
         && (gate->confirmed || gate->drain_until != 0);
}

static fq_report_class_t
classify_other_process (const fq_gate_t *gate, const fq_server_report_t *report)
{
  const fq_server_t *server = &gate->server;

  if (server->started_ms == 0 || report->started_ms == 0)
    return FQ_REPORT_UNPROVEN;
  if (report->started_ms < server->started_ms)
    return FQ_REPORT_STALE;
  return fq_text_equal (server->instance, report->instance) || is_gone (gate)
             ? FQ_REPORT_SUCCESSOR
             : FQ_REPORT_UNPROVEN;
}

fq_report_class_t
fq_server_classify_report (const fq_mesh_t *mesh, const fq_server_report_t *report)
{
  const fq_gate_t *gate = &mesh->gate;

  if (fq_server_states_other_service (mesh, report))
    return FQ_REPORT_UNPROVEN;
  if (gate->server.instance == NULL)
    return FQ_REPORT_SUCCESSOR;
  if (fq_server_matches_report (&gate->server, report))
    return report->sequence > gate->server_sequence ? FQ_REPORT_CURRENT : FQ_REPORT_STALE;
  return classify_other_process (gate, report);
}

void
fq_server_clear_candidate (fq_mesh_t *mesh)
{
  fq_server_report_clear (&mesh->gate.candidate.report);
  mesh->gate.candidate.since = 0;
}

void
fq_server_adopt (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  fq_gate_t *gate = &mesh->gate;

  fq_mesh_log (mesh, false,
               "event=server-start service=%s instance=%s started_ms=%llu slots=%u "
               "warmup_ms=%u previous=%s",
               fq_text_label (report->service), fq_text_label (report->instance),
               (unsigned long long)report->started_ms, report->slots, report->warmup_ms,
               fq_text_label (gate->server.instance));
  fq_server_crash_replaced (mesh);
  if (gate->server.instance != NULL)
    {
      fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SERVER_CLOSE_IDLE);
      fq_gate_refuse_unstarted (mesh, FQ_GATE_CAUSE_NO_SERVER);
    }
  fq_text_set (&gate->server.service, report->service);
  fq_text_set (&gate->server.instance, report->instance);
  gate->server.phase = FQ_PHASE_ABSENT;
  gate->server.started_ms = report->started_ms;
  gate->server_generation++;
  fq_server_clear_candidate (mesh);
  gate->returned_at = 0;
  gate->drain_until = 0;
  fq_server_notice_forget (mesh);
  fq_server_state_apply_recalled (mesh);
}

/* Whether the candidate has the id of a server that left, and it is not known which
 * process of that id was meant. */
static bool
may_have_left (const fq_gate_t *gate)
{
  return gate->drain_until != 0
         && fq_server_matches_report (&gate->server, &gate->candidate.report);
}

/* Whether the latest report of the candidate was sent after the last one of the server:
 * reports of both can be late, but not by this long. */
static bool
is_proven_by_time (const fq_mesh_t *mesh)
{
  return mesh->now - mesh->gate.candidate.since >= FQ_REPORTS_LATE_US;
}

/* @healthy: its reports are confirmed */
static void
accept_candidate (fq_mesh_t *mesh, bool healthy, const char *reason)
{
  fq_gate_t *gate = &mesh->gate;
  fq_server_report_t report = gate->candidate.report;
  bool returned = may_have_left (gate);

  fq_server_report_ref (&report);
  fq_mesh_log (
      mesh, false,
      "event=candidate-accepted instance=%s started_ms=%llu reason=%s known_ms=%lld",
      fq_text_label (report.instance), (unsigned long long)report.started_ms, reason,
      (long long)((mesh->now - gate->candidate.since) / FQ_MICROSECONDS_PER_MS));
  if (returned)
    fq_server_memories_forget (&gate->recalled, report.instance);
  fq_server_adopt (mesh, &report);
  if (returned)
    gate->returned_at = mesh->now;
  gate->confirmed = healthy;
  fq_server_state_accept_report (mesh, &report);
  fq_server_report_clear (&report);
}

static void
record_candidate (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  fq_server_candidate_t *candidate = &mesh->gate.candidate;

  if (!fq_may_be_same_process (candidate->report.instance, candidate->report.started_ms,
                               report->instance, report->started_ms))
    candidate->since = mesh->now;
  else if (report->sequence <= candidate->report.sequence)
    return;
  fq_server_report_clear (&candidate->report);
  candidate->report = *report;
  fq_server_report_ref (&candidate->report);
}

bool
fq_server_drop_candidate (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  const fq_server_report_t *known = &mesh->gate.candidate.report;

  if (!fq_may_be_same_process (known->instance, known->started_ms, report->instance,
                               report->started_ms))
    return false;
  fq_server_clear_candidate (mesh);
  return true;
}

bool
fq_server_is_disputed (const fq_mesh_t *mesh, const fq_text_t *instance)
{
  const fq_server_report_t *report = &mesh->gate.candidate.report;

  return fq_text_equal (report->instance, instance)
         && fq_server_states_other_service (mesh, report);
}

/* Whether only a health check can decide for the candidate: it may have left, or be of
 * another service. Reports for long enough decide for any other. */
static bool
needs_check (const fq_mesh_t *mesh)
{
  return may_have_left (&mesh->gate)
         || fq_server_states_other_service (mesh, &mesh->gate.candidate.report);
}

static bool
has_id_of_server (const fq_gate_t *gate)
{
  return fq_text_equal (gate->candidate.report.instance, gate->server.instance);
}

void
fq_server_consider_candidate (fq_mesh_t *mesh, const fq_server_report_t *report)
{
  bool is_proven;

  record_candidate (mesh, report);
  is_proven = is_proven_by_time (mesh);
  if (is_proven && !needs_check (mesh))
    accept_candidate (mesh, true, "reports");
  else if (is_proven || !has_id_of_server (&mesh->gate))
    fq_server_state_send_probe (mesh, report->service);
}

/* The server does not have its address any more, and what has it is not known to be of
 * the service of this VM. */
static void
mark_server_replaced (fq_mesh_t *mesh)
{
  fq_server_state_mark_absent (mesh, "another-server");
  fq_gate_refuse_unstarted (mesh, FQ_GATE_CAUSE_NO_SERVER);
}

/* Whether the candidate is the server, after it answered a health check. */
static bool
is_proven_by_answer (const fq_mesh_t *mesh, bool healthy)
{
  const fq_gate_t *gate = &mesh->gate;

  if (!is_proven_by_time (mesh))
    return !has_id_of_server (gate) && !needs_check (mesh);
  return healthy || !may_have_left (gate);
}

static void
handle_answer_of_candidate (fq_mesh_t *mesh, bool healthy)
{
  if (is_proven_by_answer (mesh, healthy))
    accept_candidate (mesh, healthy, "health-check");
  else if (!has_id_of_server (&mesh->gate))
    mark_server_replaced (mesh);
}

void
fq_server_candidate_probed (fq_mesh_t *mesh, const fq_text_t *instance, bool healthy)
{
  const fq_gate_t *gate = &mesh->gate;
  const fq_text_t *candidate = gate->candidate.report.instance;

  if (instance == NULL || candidate == NULL)
    return;
  if (fq_text_equal (candidate, instance))
    {
      handle_answer_of_candidate (mesh, healthy);
      return;
    }
  if (!fq_text_equal (gate->server.instance, instance))
    return;
  fq_mesh_log (mesh, false, "event=candidate-rejected instance=%s by=%s",
               fq_text_label (candidate), fq_text_label (instance));
  fq_server_clear_candidate (mesh);
}

void
fq_server_recheck_candidate (fq_mesh_t *mesh)
{
  const fq_server_report_t *report = &mesh->gate.candidate.report;

  if (report->instance == NULL)
    return;
  if (!fq_server_state_send_probe (mesh, report->service))
    fq_server_clear_candidate (mesh);
}
