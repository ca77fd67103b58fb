/**
 * DOC: Admission control: whether a gate admits a request, and how long it may wait.
 */
#include <string.h>

#include "mesh/mesh_private.h"

/* Largest and smallest share of the time left that a request may wait in the queue; the
 * smallest one is allowed even when the answer will be late. */
#define FQ_WAIT_SHARE_MAX 0.35
#define FQ_WAIT_SHARE_MIN 0.05
#define FQ_RUN_TIME_SPREAD 1.5 /* times the mean: most runs take no longer */
#define FQ_BODY_COPIES 2       /* as a frame that arrives, and as the message in it */

/* A restart of the node empties the window of the retry budget: what was spent before is
 * not known any more. So within a window after the start only the rest of the allowed
 * ratio can be spent, and the slack again. */
#define FQ_RETRY_RATIO_SHARE 0.85 /* of the allowed ratio */
#define FQ_RETRY_SLACK_SHARE 0.4  /* of the allowed slack */

/* The expected wait of new requests, of the rank that waits longest. */
static fq_time_t
longest_expected_wait (const fq_gate_queue_t *queue)
{
  fq_time_t longest = 0;

  for (uint32_t rank = FQ_INTERNAL_RANKS; rank < FQ_RANKS; rank++)
    {
      fq_time_t wait = fq_gate_queue_expected_wait (queue, rank);

      longest = wait > longest ? wait : longest;
    }
  return longest;
}

void
fq_gate_load (const fq_mesh_t *mesh, fq_gate_load_t *out)
{
  const fq_gate_queue_t *queue = &mesh->gate.queue;

  *out = (fq_gate_load_t){
    .limit = queue->limit,
    .in_flight = queue->in_flight,
    .queued = queue->queued,
    .wait_ms = (uint32_t)(longest_expected_wait (queue) / FQ_MICROSECONDS_PER_MS),
    .config_version = fq_mesh_config_version (mesh),
    .rate_limit = queue->rate.per_second,
  };
}

/* The longest time that a request may wait: it has to be answered before its deadline,
 * and should be within its latency objective. */
fq_time_t
fq_gate_max_wait (const fq_mesh_t *mesh, const fq_offer_t *offer)
{
  double left = (double)offer->remaining_ms * FQ_MICROSECONDS_PER_MS;
  double target = (double)offer->latency_objective_ms * FQ_MICROSECONDS_PER_MS;
  double run = (double)fq_gate_queue_expected_run (&mesh->gate.queue, offer->route);
  double longest = left * FQ_WAIT_SHARE_MAX;

  if (left - FQ_RUN_TIME_SPREAD * run < longest)
    longest = left - FQ_RUN_TIME_SPREAD * run;
  if (target > 0 && target - run < longest)
    longest = target - run;
  if (longest < left * FQ_WAIT_SHARE_MIN)
    longest = left * FQ_WAIT_SHARE_MIN;
  return (fq_time_t)longest;
}

static bool
admits_chain (fq_mesh_t *mesh, const fq_offer_t *offer, fq_time_t wait)
{
  fq_time_t run = fq_gate_queue_expected_run (&mesh->gate.queue, offer->route);

  if (offer->rank >= FQ_INTERNAL_RANKS)
    return true;
  return fq_chain_shed_admits (&mesh->gate.chain_shed[offer->rank], mesh->now,
                               offer->chain, wait, run);
}

/* @most: 0: no limit */
static bool
fits (uint64_t size, uint64_t held, uint64_t most)
{
  return most == 0 || (held <= most && size <= most - held);
}

/* Whether the bodies of all admitted requests fit into the memory that is left to them.
 * Those that wait count too: their entries send them as soon as they are granted. */
static bool
has_memory (const fq_mesh_t *mesh, const fq_offer_t *offer)
{
  const fq_mesh_params_t *params = &mesh->params;

  return offer->body_bytes == 0
         || (fits (offer->body_bytes, mesh->gate.body_bytes, params->body_bytes_max)
             && fits (offer->body_bytes * FQ_BODY_COPIES, mesh->memory_held,
                      params->memory_bytes));
}

static fq_gate_cause_t
check_capacity (fq_mesh_t *mesh, const fq_offer_t *offer)
{
  const fq_gate_queue_t *queue = &mesh->gate.queue;
  fq_time_t wait = fq_gate_queue_expected_wait (queue, offer->rank);

  if (offer->remaining_ms == 0)
    return FQ_GATE_CAUSE_EXPIRED;
  if (!has_memory (mesh, offer))
    return FQ_GATE_CAUSE_NO_MEMORY;
  if ((wait > 0 && wait > fq_gate_max_wait (mesh, offer))
      || !admits_chain (mesh, offer, wait))
    return fq_gate_queue_rate_wait (queue, offer->rank) == wait && wait > 0
               ? FQ_GATE_CAUSE_RATE_LIMITED
               : FQ_GATE_CAUSE_OVERLOADED;
  return FQ_GATE_CAUSE_NONE;
}

/* The retries that the gate allows for each first arrival. */
static double
retry_ratio (const fq_mesh_t *mesh)
{
  const fq_mesh_params_t *params = &mesh->params;
  fq_time_t window = (fq_time_t)params->retry_window_ms * FQ_MICROSECONDS_PER_MS;
  bool knows_window = mesh->now - mesh->started >= window;

  return params->retry_ratio
         * (knows_window ? FQ_RETRY_RATIO_SHARE : 1 - FQ_RETRY_RATIO_SHARE);
}

static bool
spend_repeat (fq_mesh_t *mesh)
{
  const fq_mesh_params_t *params = &mesh->params;
  size_t gates = fq_peer_count_gates (mesh, mesh->gate.server.service);
  double slack = params->retry_slack / (double)(gates > 0 ? gates : 1);

  return fq_repeat_budget_spend (&mesh->gate.budget, mesh->now, retry_ratio (mesh),
                                 slack * FQ_RETRY_SLACK_SHARE);
}

fq_gate_cause_t
fq_gate_check_offer (fq_mesh_t *mesh, const fq_offer_t *offer)
{
  fq_gate_cause_t cause;

  if (!fq_gate_accepts_requests (mesh)
      || !fq_text_equal (mesh->gate.server.service, offer->service))
    return FQ_GATE_CAUSE_NO_SERVER;
  if (fq_crash_suspects_is_refused (&mesh->crash_suspects, offer->fingerprint))
    return FQ_GATE_CAUSE_CRASHES_SERVERS;
  cause = check_capacity (mesh, offer);
  if (cause != FQ_GATE_CAUSE_NONE)
    return cause;
  if (!offer->repeat)
    {
      fq_repeat_budget_count_first (&mesh->gate.budget, mesh->now);
      return FQ_GATE_CAUSE_NONE;
    }
  if (!spend_repeat (mesh))
    return FQ_GATE_CAUSE_RETRY_BUDGET;
  mesh->metrics.counters[FQ_METRIC_REPEATS]++;
  return FQ_GATE_CAUSE_NONE;
}
