/**
 * DOC: Isolation of crash suspects: a request that is suspected of several crashes does
 * not run beside another one of these, so that the next crash, or the next answer, tells
 * which of them crashes servers. See crash_suspects.h.
 */
#include "mesh/mesh_private.h"

/* Times the expected run time: what has to be left when a held request starts. */
#define FQ_HELD_RUN_SPREAD 1.5

static bool
is_isolated (const fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  return fq_crash_suspects_is_isolated (&mesh->crash_suspects, run->offer.fingerprint);
}

bool
fq_gate_must_hold (const fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  if (!is_isolated (mesh, run))
    return false;
  FQ_LIST_FOREACH (link, &mesh->gate.runs)
  {
    const fq_gate_run_t *other = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (other->stage != FQ_STAGE_HELD
        && other->offer.fingerprint != run->offer.fingerprint
        && is_isolated (mesh, other))
      return true;
  }
  return false;
}

/* It may wait for longer than for a slot: it would be held at the other gates too. */
void
fq_gate_hold (fq_mesh_t *mesh, fq_gate_run_t *run)
{
  fq_time_t expected = fq_gate_queue_expected_run (&mesh->gate.queue, run->offer.route);
  fq_time_t latest = run->deadline - (fq_time_t)(FQ_HELD_RUN_SPREAD * (double)expected);

  run->stage = FQ_STAGE_HELD;
  mesh->gate.held++;
  run->start_by = run->arrived + fq_gate_max_wait (mesh, &run->offer);
  if (latest > run->start_by)
    run->start_by = latest;
  fq_timers_arm (&mesh->timers, &run->timer, run->start_by);
  fq_mesh_log (mesh, false, "event=run-held id=%s fingerprint=%016llx",
               fq_text_label (run->offer.request_id),
               (unsigned long long)run->offer.fingerprint);
}

fq_gate_run_t *
fq_gate_next_released (const fq_mesh_t *mesh)
{
  if (mesh->gate.held == 0)
    return NULL;
  FQ_LIST_FOREACH (link, &mesh->gate.runs)
  {
    fq_gate_run_t *run = FQ_LIST_ENTRY (link, fq_gate_run_t, link);

    if (run->stage == FQ_STAGE_HELD && !fq_gate_must_hold (mesh, run))
      return run;
  }
  return NULL;
}
