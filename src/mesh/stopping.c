/**
 * DOC: The graceful shutdown of a node.
 */
#include "mesh/mesh_private.h"

#define FQ_STOP_CHECK_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_STOP_SERVE_US                                                                 \
  (2200 * FQ_MICROSECONDS_PER_MS) /* clients learn in this time that it is not ready */
#define FQ_STOP_MARGIN_US                                                                \
  (700 * FQ_MICROSECONDS_PER_MS) /* before the process is killed */

/* Until clients know that the node leaves, it serves on as entry and as gate. Then what
 * is under way ends; at last the process ends before it would be killed. */
void
fq_mesh_continue_shutdown (fq_mesh_t *mesh)
{
  fq_time_t since = mesh->now - mesh->stopping_since;
  fq_time_t grace = (fq_time_t)mesh->bounds.grace_ms * FQ_MICROSECONDS_PER_MS;
  bool idle = mesh->exchanges.count == 0 && mesh->gate.runs_by_id.count == 0;

  if (since >= FQ_STOP_SERVE_US && !mesh->closing)
    {
      mesh->closing = true;
      fq_server_state_broadcast (mesh);
      fq_gate_refuse_queued (mesh, FQ_REFUSAL_NO_SERVER);
    }
  if ((idle && mesh->closing) || since >= grace - FQ_STOP_MARGIN_US)
    {
      fq_mesh_log (mesh, !idle, "event=stopped exchanges=%zu runs=%zu after_ms=%lld",
                   mesh->exchanges.count, mesh->gate.runs_by_id.count,
                   (long long)(since / FQ_MICROSECONDS_PER_MS));
      fq_entry_end_all (mesh);
      fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_STOPPED);
      return;
    }
  fq_timers_arm (&mesh->timers, &mesh->stop_timer, mesh->now + FQ_STOP_CHECK_US);
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
