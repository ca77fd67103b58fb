/**
 * DOC: Whether a gate takes a request, and how long it lets one wait.
 */
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_WAIT_SHARE 0.35       /* of the time left, that waiting may take */
#define FQ_WAIT_SHARE_LEAST 0.05 /* even when an answer will come late */
#define FQ_SPREAD 1.5 /* most runs take no longer than that many times the mean */
#define FQ_RETRY_RATIO_SHARE 0.85 /* of the allowed ratio */
#define FQ_RETRY_SLACK_SHARE 0.4  /* of the allowed slack: a restart begins it anew */

/* How long new work waits, of the rank that waits longest. */
static fq_time_t
longest_wait (const fq_waiting_t *waiting)
{
  fq_time_t longest = 0;

  for (uint32_t rank = FQ_INNER_RANKS; rank < FQ_RANKS; rank++)
    {
      fq_time_t wait = fq_waiting_time (waiting, rank);

      longest = wait > longest ? wait : longest;
    }
  return longest;
}

void
fq_gate_room (const fq_mesh_t *mesh, fq_gate_load_t *out)
{
  const fq_waiting_t *waiting = &mesh->gate.waiting;

  *out = (fq_gate_load_t){
    .limit = waiting->limit,
    .in_flight = waiting->in_flight,
    .queued = waiting->queued,
    .wait_ms = (uint32_t)(longest_wait (waiting) / FQ_MICROSECONDS_PER_MS),
    .config_version = fq_mesh_config_version (mesh),
  };
}

/* How long a request may wait: it has to be answered before its time is over, and should
 * be while its answer is worth most. */
fq_time_t
fq_gate_wait_max (const fq_mesh_t *mesh, const fq_offer_t *offer)
{
  double left = (double)offer->remaining_ms * FQ_MICROSECONDS_PER_MS;
  double target = (double)offer->latency_objective_ms * FQ_MICROSECONDS_PER_MS;
  double run = (double)fq_waiting_expect (&mesh->gate.waiting, offer->route);
  double longest = left * FQ_WAIT_SHARE;

  if (left - FQ_SPREAD * run < longest)
    longest = left - FQ_SPREAD * run;
  if (target > 0 && target - run < longest)
    longest = target - run;
  if (longest < left * FQ_WAIT_SHARE_LEAST)
    longest = left * FQ_WAIT_SHARE_LEAST;
  return (fq_time_t)longest;
}

static bool
keeps_chain (fq_mesh_t *mesh, const fq_offer_t *offer, fq_time_t wait)
{
  fq_time_t run = fq_waiting_expect (&mesh->gate.waiting, offer->route);

  if (offer->rank >= FQ_INNER_RANKS)
    return true;
  return fq_chain_shed_keeps (&mesh->gate.chain_shed[offer->rank], mesh->now,
                              offer->chain, wait, run);
}

static fq_refusal_t
check_room (fq_mesh_t *mesh, const fq_offer_t *offer)
{
  const fq_waiting_t *waiting = &mesh->gate.waiting;
  fq_time_t wait = fq_waiting_time (waiting, offer->rank);

  if (offer->remaining_ms == 0)
    return FQ_REFUSAL_EXPIRED;
  if ((wait > 0 && wait > fq_gate_wait_max (mesh, offer))
      || !keeps_chain (mesh, offer, wait))
    return FQ_REFUSAL_OVERLOADED;
  return FQ_REFUSAL_NONE;
}

static bool
may_repeat (fq_mesh_t *mesh)
{
  const fq_mesh_params_t *bounds = &mesh->bounds;
  size_t gates = fq_peer_count_gates (mesh, mesh->gate.server.service);
  double slack = bounds->retry_slack / (double)(gates > 0 ? gates : 1);

  return fq_repeat_budget_spend (&mesh->gate.budget, mesh->now,
                                 bounds->retry_ratio * FQ_RETRY_RATIO_SHARE,
                                 slack * FQ_RETRY_SLACK_SHARE);
}

fq_refusal_t
fq_gate_check_offer (fq_mesh_t *mesh, const fq_offer_t *offer)
{
  fq_refusal_t cause;

  if (!fq_gate_takes_work (mesh)
      || strcmp (mesh->gate.server.service, offer->service) != 0)
    return FQ_REFUSAL_NO_SERVER;
  if (fq_blame_crashes (&mesh->crash_suspects, offer->fingerprint)
      >= FQ_BLAME_CRASHES_MAX)
    return FQ_REFUSAL_CRASHES_SERVERS;
  cause = check_room (mesh, offer);
  if (cause != FQ_REFUSAL_NONE)
    return cause;
  if (!offer->repeat)
    {
      fq_repeat_budget_first (&mesh->gate.budget, mesh->now);
      return FQ_REFUSAL_NONE;
    }
  if (!may_repeat (mesh))
    return FQ_REFUSAL_RETRY_BUDGET;
  mesh->metrics.counters[FQ_METRIC_REPEATS]++;
  return FQ_REFUSAL_NONE;
}
