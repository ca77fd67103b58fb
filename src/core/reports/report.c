/**
 * DOC: Reports to operators: records ended calls and events, and answers queries.
 */
#include <stdlib.h>
#include <string.h>

#include "core/core_private.h"

#define FQ_REPORT_INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)

void
fq_report_call_ended (fq_core_t *core,
                      const fq_request_t *request,
                      fq_time_t received,
                      fq_outcome_t outcome,
                      fq_cause_t cause)
{
  bool is_service_known = fq_routing_has_service (core->routing, request->service)
                          && cause != FQ_CAUSE_DENIED && cause != FQ_CAUSE_NO_SERVICE;

  fq_counters_record_call (core->counters, core->wall_ms, request, is_service_known,
                           core->now - received, outcome, cause);
  if (is_service_known)
    {
      fq_objective_t objective;

      fq_burn_objective (fq_tickets_objectives (core->tickets, request->service),
                         request->request_class, &objective);
      fq_burn_record_call (core->burn, core->wall_ms, request, core->now - received,
                           outcome, cause, &objective);
    }
}

void
fq_report_upstream_event (fq_core_t *core, const char *text)
{
  char member[FQ_NAME_BYTES];

  if (core->upstream.service[0] == '\0')
    return;
  fq_counters_service_member (member, core->upstream.service);
  fq_counters_record_event (core->counters, core->wall_ms, member,
                            FQ_COUNTERS_EVENT_UPSTREAM, core->upstream.service,
                            FQ_CAUSE_NONE, "%s", text);
}

void
fq_report_ejection_event (fq_core_t *core, const char *service, const char *node)
{
  char member[FQ_NAME_BYTES];

  fq_counters_service_member (member, service);
  fq_counters_record_event (core->counters, core->wall_ms, member,
                            FQ_COUNTERS_EVENT_EJECTION, service, FQ_CAUSE_NONE, "node %s",
                            node);
}

/* Records tickets only of the member that owns the upstream beside this node. */
static void
report_ticket (fq_core_t *core)
{
  char member[FQ_NAME_BYTES];
  uint64_t number;

  fq_counters_service_member (member, core->upstream.service);
  if (member[0] == '\0'
      || fq_tickets_number (core->tickets) == core->checked_ticket_number)
    return;
  core->checked_ticket_number = fq_tickets_number (core->tickets);
  number = fq_tickets_member_number (core->tickets, member);
  if (number <= core->reported_ticket_number)
    return;
  core->reported_ticket_number = number;
  fq_counters_record_event (core->counters, core->wall_ms, member,
                            FQ_COUNTERS_EVENT_TICKET, "", FQ_CAUSE_NONE,
                            "number %llu is in force", (unsigned long long)number);
}

void
fq_report_tick (fq_core_t *core)
{
  fq_load_t load;

  if (core->now < core->next_report)
    return;
  core->next_report = core->now + FQ_REPORT_INTERVAL_US;
  fq_admission_load (core->admission, &load);
  fq_counters_record_limit (core->counters, core->wall_ms, core->upstream.service,
                            load.limit);
  report_ticket (core);
  fq_burn_tick (core->burn, core->now, core->wall_ms, core->upstream.service,
                fq_routing_count_alive (core->routing, core->upstream.service),
                core->effects);
}

static void
fill_status (fq_core_t *core, fq_node_status_t *out)
{
  *out = (fq_node_status_t){
    .node = core->node,
    .failure_domain = core->failure_domain,
    .service = core->upstream.service,
    .ready = core->upstream_ready,
    .stopping = core->stopping,
    .nodes = fq_membership_live_count (core->membership),
    .ticket_number = fq_tickets_number (core->tickets),
    .ticket_confirmed = fq_tickets_confirmed (core->tickets),
  };
  fq_admission_load (core->admission, &out->load);
}

static void
reply_to_operator (fq_core_t *core, fq_id_t call, const char *content_type, char *body)
{
  fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_OPERATOR_REPLY);

  effect->operator_reply.call = call;
  effect->operator_reply.status = body == NULL ? 503 : 200;
  effect->operator_reply.content_type = content_type;
  effect->operator_reply.body = body == NULL ? strdup ("") : body;
}

void
fq_report_handle_operator (fq_core_t *core, const fq_operator_event_t *query)
{
  const char *member = query->member;
  fq_node_status_t status;

  fill_status (core, &status);
  switch (query->kind)
    {
    case FQ_OPERATOR_STATUS:
      reply_to_operator (core, query->call, "application/json",
                         fq_counters_status (core->counters, member, &status));
      break;
    case FQ_OPERATOR_EVENTS:
      reply_to_operator (core, query->call, "application/json",
                         fq_counters_events (core->counters, member));
      break;
    case FQ_OPERATOR_METRICS:
      reply_to_operator (core, query->call, "text/plain; version=0.0.4",
                         fq_counters_metrics (core->counters, member, &status));
      break;
    case FQ_OPERATOR_BURN:
      fq_burn_query (core->burn, core->now, query, core->effects);
      break;
    case FQ_OPERATOR_TICKET_FILE:
    case FQ_OPERATOR_TICKET_SHOW:
    case FQ_OPERATOR_TICKET_LIST:
      fq_tickets_handle_operator_request (core->tickets, core->now, query, core->effects);
      break;
    }
}
