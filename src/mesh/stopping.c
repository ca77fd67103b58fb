/**
 * DOC: The graceful shutdown of a node.
 *
 * First the node still serves as entry and as gate while clients learn from its readiness
 * endpoint that it stops. Then its gate closes and requests in progress are completed.
 * When none is left and all answers are sent, new connections are refused, and those that
 * were made shortly before get their answer. Then the process ends, or shortly before it
 * would be killed.
 */
#include "mesh/mesh_private.h"

#define FQ_STOP_CHECK_US (100 * FQ_MICROSECONDS_PER_MS)

/* Time in which clients notice that the node is not ready any more. */
#define FQ_STOP_SERVE_US (2200 * FQ_MICROSECONDS_PER_MS)

/* In which a client sends its request after it has connected. */
#define FQ_STOP_AWAIT_US (500 * FQ_MICROSECONDS_PER_MS)

/* The shutdown completes this long before the process would be killed. */
#define FQ_STOP_MARGIN_US (700 * FQ_MICROSECONDS_PER_MS)

static void
refuse_connections (fq_mesh_t *mesh)
{
  mesh->refusing_since = mesh->now;
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REFUSE_CONNECTIONS);
}

/* Whether requests may come that are better answered than cut. */
static bool
awaits_requests (const fq_mesh_t *mesh)
{
  return mesh->requests_expected && mesh->now - mesh->refusing_since < FQ_STOP_AWAIT_US;
}

/* New connections are refused some time before the end, so that those which are there
 * have been accepted, and their requests answered. */
static bool
is_complete (fq_mesh_t *mesh, bool idle, fq_time_t left)
{
  if (mesh->refusing_since == 0)
    {
      if ((idle && mesh->gate_closed) || left <= FQ_STOP_AWAIT_US)
        refuse_connections (mesh);
      return false;
    }
  return left <= 0 || (idle && mesh->gate_closed && !awaits_requests (mesh));
}

void
fq_mesh_continue_shutdown (fq_mesh_t *mesh)
{
  fq_time_t elapsed = mesh->now - mesh->stopping_since;
  fq_time_t grace = (fq_time_t)mesh->params.grace_ms * FQ_MICROSECONDS_PER_MS;
  bool idle = mesh->exchanges.count == 0 && mesh->gate.runs_by_id.count == 0
              && !mesh->output_pending;

  if (elapsed >= FQ_STOP_SERVE_US && !mesh->gate_closed)
    {
      mesh->gate_closed = true;
      fq_server_state_broadcast (mesh);
      fq_gate_refuse_queued (mesh, FQ_GATE_CAUSE_NO_SERVER);
    }
  if (is_complete (mesh, idle, grace - FQ_STOP_MARGIN_US - elapsed))
    {
      fq_mesh_log (mesh, !idle,
                   "event=stopped exchanges=%zu runs=%zu output_pending=%d after_ms=%lld",
                   mesh->exchanges.count, mesh->gate.runs_by_id.count,
                   mesh->output_pending, (long long)(elapsed / FQ_MICROSECONDS_PER_MS));
      fq_entry_end_all (mesh);
      fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_STOPPED);
      return;
    }
  fq_timers_arm (&mesh->timers, &mesh->shutdown_timer, mesh->now + FQ_STOP_CHECK_US);
}

void
fq_mesh_begin_shutdown (fq_mesh_t *mesh)
{
  if (mesh->stopping)
    return;
  mesh->stopping = true;
  mesh->stopping_since = mesh->now;
  fq_mesh_log (mesh, false, "event=stopping exchanges=%zu runs=%zu",
               mesh->exchanges.count, mesh->gate.runs_by_id.count);
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE);
  fq_mesh_continue_shutdown (mesh);
}
