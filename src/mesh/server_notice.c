/**
 * DOC: What the local server says of itself in its answers: the rate of requests that it
 * accepts from all VMs together, and whether it is about to stop.
 *
 * All requests to the server pass this node's gate, so a rate limit that the gate keeps
 * holds for the sum over all VMs. It holds until answers come that do not state it. A
 * server that says that it is leaving drains as if it had reported so.
 */
#include "mesh/mesh_private.h"

/* An answer without the limit lifts it if the limit was stated longer ago than this, and
 * otherwise only together with the next one: a single answer may have been written by
 * another part of the server, such as the one that refuses connections. */
#define FQ_RATE_FRESH_US (500 * FQ_MICROSECONDS_PER_MS)
#define FQ_RATE_UNSTATED_MAX 2

/* Logs the first of several malformed statements in a row. */
static void
record_malformed (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->notice_malformed)
    return;
  gate->notice_malformed = true;
  fq_mesh_log (mesh, true, "event=server-notice-malformed instance=%s rate_limit=%g",
               fq_text_label (gate->server.instance), gate->notice.rate_limit);
}

/* Whether an answer that does not state the limit lifts it. */
static bool
lifts_limit (const fq_mesh_t *mesh)
{
  const fq_gate_t *gate = &mesh->gate;

  return gate->rate_unstated >= FQ_RATE_UNSTATED_MAX
         || mesh->now - gate->rate_stated_at > FQ_RATE_FRESH_US;
}

static void
record_rate (fq_mesh_t *mesh, const fq_server_notice_t *notice)
{
  fq_gate_t *gate = &mesh->gate;

  switch (notice->rate_statement)
    {
    case FQ_RATE_MALFORMED:
      record_malformed (mesh);
      return;
    case FQ_RATE_STATED:
      gate->rate_stated_at = mesh->now;
      gate->rate_unstated = 0;
      gate->notice.rate_statement = FQ_RATE_STATED;
      gate->notice.rate_limit = notice->rate_limit;
      break;
    case FQ_RATE_UNSTATED:
      gate->rate_unstated++;
      if (lifts_limit (mesh))
        {
          gate->notice.rate_statement = FQ_RATE_UNSTATED;
          gate->notice.rate_limit = 0;
        }
      break;
    }
  gate->notice_malformed = false;
}

/* The other nodes are told at once that the server has a limit, or has none any more, so
 * that they send more to other gates, or send to this one again. */
static void
apply_rate (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;
  bool was_limited = gate->queue.rate.active;

  if (gate->notice.rate_statement == FQ_RATE_STATED)
    fq_rate_limit_set (&gate->queue.rate, mesh->now, gate->notice.rate_limit);
  else
    fq_rate_limit_lift (&gate->queue.rate);
  if (was_limited != gate->queue.rate.active)
    fq_server_state_broadcast (mesh);
  fq_gate_start_queued (mesh);
}

void
fq_server_notice_record (fq_mesh_t *mesh, const fq_server_notice_t *notice)
{
  fq_gate_t *gate = &mesh->gate;
  fq_server_notice_t previous = gate->notice;

  gate->notice_heard = true;
  record_rate (mesh, notice);
  /* It does not change its mind: an answer may have been written before. */
  gate->notice.leaving = gate->notice.leaving || notice->leaving;
  if (gate->notice.rate_statement != previous.rate_statement
      || gate->notice.rate_limit != previous.rate_limit)
    apply_rate (mesh);
  else if (gate->notice.leaving == previous.leaving)
    return;
  fq_mesh_log (mesh, false,
               "event=server-notice instance=%s rate_limit=%g previous=%g leaving=%d "
               "phase=%s in_flight=%u queued=%u",
               fq_text_label (gate->server.instance), gate->notice.rate_limit,
               previous.rate_limit, gate->notice.leaving,
               fq_phase_name (gate->server.phase), gate->queue.in_flight,
               gate->queue.queued);
  if (gate->notice.leaving)
    fq_server_state_begin_drain (mesh, "said-leaving");
}

void
fq_server_notice_recall (fq_mesh_t *mesh, const fq_server_memory_t *memory)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->notice_heard || memory->rate_limit <= 0
      || gate->notice.rate_limit == memory->rate_limit)
    return;
  gate->notice.rate_statement = FQ_RATE_STATED;
  gate->notice.rate_limit = memory->rate_limit;
  gate->rate_stated_at = memory->rate_stated_at;
  fq_mesh_log (mesh, false, "event=server-notice-recalled instance=%s rate_limit=%g",
               fq_text_label (gate->server.instance), memory->rate_limit);
  apply_rate (mesh);
}

void
fq_server_notice_forget (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  gate->notice_heard = false;

  gate->notice = (fq_server_notice_t){ 0 };
  gate->notice_malformed = false;
  fq_rate_limit_lift (&gate->queue.rate);
}
