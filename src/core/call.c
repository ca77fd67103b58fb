/**
 * DOC: Calls: requests that entered the system at this node, their attempts and retries.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/admission/shed.h"
#include "core/core_private.h"
#include "core/refusal.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_RETRY_AFTER_MIN_MS 1000
#define FQ_DEADLINE_MS_MAX 600000 /* longer deadlines are clamped */
#define FQ_RETRY_AFTER_JITTER_MS 1000

static uint32_t
retry_after_ms (fq_core_t *core)
{
  return FQ_RETRY_AFTER_MIN_MS
         + (uint32_t)fq_random_below (&core->random, FQ_RETRY_AFTER_JITTER_MS);
}

static void
reply (fq_core_t *core, fq_id_t call, const fq_answer_t *answer)
{
  fq_effect_t *effect = fq_effects_add (core->effects, FQ_EFFECT_REPLY);

  effect->reply.call = call;
  effect->reply.answer = *answer;
  if (answer->outcome == FQ_OUTCOME_ANSWERED)
    fq_blob_ref (answer->body);
  else
    fq_answer_write_problem (&effect->reply.answer);
}

static void
reply_error (fq_core_t *core, fq_id_t call, fq_cause_t cause, fq_outcome_t outcome)
{
  fq_answer_t answer;
  bool permanent = cause == FQ_CAUSE_BAD_REQUEST || cause == FQ_CAUSE_DENIED
                   || cause == FQ_CAUSE_NO_SERVICE;

  fq_answer_init_error (&answer, cause, outcome, permanent ? 0 : retry_after_ms (core));
  reply (core, call, &answer);
}

static uint32_t *
allowance_for (fq_call_t *call)
{
  return call->parent != NULL ? &call->parent->retry_allowance : &call->own_allowance;
}

static bool
is_overload_answer (const fq_answer_t *answer)
{
  return answer->cause == FQ_CAUSE_OVERLOAD || answer->refused_downstream;
}

/* The gate counts a run as refused for overload when a call made by it was, so that the
 * shed level of the gate covers the services that its upstream calls. */
static void
mark_parent_refused_downstream (fq_call_t *call, bool overloaded)
{
  if (call->parent != NULL && overloaded)
    call->parent->refused_downstream = true;
}

static void
free_call (fq_core_t *core, fq_call_t *call)
{
  fq_map_remove (&core->calls, call->id);
  fq_map_remove (&core->attempts, call->attempt);
  fq_list_remove (&call->parent_link);
  fq_timer_cancel (&call->timer);
  fq_request_unref (call->request);
  free (call);
}

static void
finish (fq_core_t *core, fq_call_t *call, const fq_answer_t *answer)
{
  mark_parent_refused_downstream (call, is_overload_answer (answer));
  reply (core, call->id, answer);
  fq_report_call_ended (core, call->request, call->received, answer->outcome,
                        answer->cause);
  free_call (core, call);
}

static void
finish_with_error (fq_core_t *core,
                   fq_call_t *call,
                   fq_cause_t cause,
                   fq_outcome_t outcome)
{
  if (call->may_have_run)
    outcome = FQ_OUTCOME_UNKNOWN;
  mark_parent_refused_downstream (call, cause == FQ_CAUSE_OVERLOAD);
  reply_error (core, call->id, cause, outcome);
  fq_report_call_ended (core, call->request, call->received, outcome, cause);
  free_call (core, call);
}

static uint32_t
remaining_ms (const fq_core_t *core, const fq_call_t *call)
{
  fq_time_t left = call->deadline - core->now;

  return left <= 0 ? 0 : (uint32_t)(left / FQ_MICROSECONDS_PER_MS);
}

/* Sends @call to the chosen node. A local attempt can be answered at once: @call may be
 * freed on return. */
static void
send_attempt (fq_core_t *core, fq_call_t *call, const fq_routing_choice_t *choice)
{
  uint32_t *retry_allowance = allowance_for (call);
  fq_effect_t *effect;

  call->attempt = fq_core_next_id (core);
  call->attempt_sent = core->now;
  memcpy (call->node, choice->node, sizeof call->node);
  call->attempt_allowance = fq_retry_attempt_allowance (*retry_allowance);
  *retry_allowance -= call->attempt_allowance;
  if (call->tried.count < FQ_ROUTING_TRIED_MAX)
    call->tried.nodes[call->tried.count++] = fq_map_hash (choice->node);
  fq_map_set (&core->attempts, call->attempt, call);
  fq_routing_attempt_sent (core->routing, core->now, choice->node);
  if (choice->local)
    {
      fq_run_receive (core, core->node, call->attempt, call->request,
                      remaining_ms (core, call), call->attempt_allowance);
      return;
    }
  effect = fq_effects_add (core->effects, FQ_EFFECT_PEER_CALL);
  memcpy (effect->peer_call.node, choice->node, sizeof effect->peer_call.node);
  effect->peer_call.attempt = call->attempt;
  effect->peer_call.remaining_ms = remaining_ms (core, call);
  effect->peer_call.retry_allowance = call->attempt_allowance;
  call->request->ticket_number = fq_core_ticket_number (core);
  effect->peer_call.request = fq_request_ref (call->request);
}

/* Sends @call to a node that it has not tried, or ends it if there is none. @call may be
 * freed on return. */
static void
try_next_node (fq_core_t *core, fq_call_t *call, fq_cause_t default_cause)
{
  fq_routing_choice_t choice;

  if (fq_routing_choose (core->routing, core->now, call->request->service, &call->tried,
                         &choice)
      < 0)
    {
      finish_with_error (core, call, default_cause, FQ_OUTCOME_NOT_RUN);
      return;
    }
  send_attempt (core, call, &choice);
}

static int
join_parent_chain (fq_core_t *core, fq_call_t *call, const char *chain)
{
  fq_run_t *parent = fq_run_find_by_chain (core, chain);

  if (parent == NULL)
    return FQ_ERROR_NOTFOUND;
  call->parent = parent;
  fq_list_append (&parent->internal_calls, &call->parent_link);
  call->request->chain_id = parent->request->chain_id;
  call->request->request_class = parent->request->request_class;
  memcpy (call->request->member, parent->request->member, FQ_NAME_BYTES);
  return FQ_OK;
}

/* An internal call without a chain token is served but not retried, since the chain
 * that caused it, and the allowance of that chain, are not known. */
static fq_cause_t
assign_chain (fq_core_t *core,
              fq_call_t *call,
              const fq_request_event_t *event,
              const fq_request_policy_t *policy)
{
  call->request->request_class = policy->request_class;
  if (event->source == FQ_SOURCE_UPSTREAM && call->request->chain[0] != '\0')
    return join_parent_chain (core, call, call->request->chain) < 0 ? FQ_CAUSE_CALLER_GONE
                                                                    : FQ_CAUSE_NONE;
  call->request->chain_id = fq_random_next (&core->random);
  call->own_allowance = event->source == FQ_SOURCE_CALLER ? policy->retries : 0;
  return FQ_CAUSE_NONE;
}

static void
set_deadline (fq_core_t *core, fq_call_t *call, const fq_request_policy_t *policy)
{
  uint32_t allowed_ms = call->request->remaining_ms;

  if (allowed_ms == 0)
    allowed_ms = policy->deadline_ms;
  if (allowed_ms > FQ_DEADLINE_MS_MAX)
    allowed_ms = FQ_DEADLINE_MS_MAX;
  call->deadline = core->now + (fq_time_t)allowed_ms * FQ_MICROSECONDS_PER_MS;
  if (call->parent != NULL && call->parent->deadline < call->deadline)
    call->deadline = call->parent->deadline;
  fq_wheel_arm (&core->wheel, &call->timer, call->deadline);
}

static void
set_internal_call_member (fq_core_t *core, fq_request_t *request)
{
  const char *slash = strchr (core->upstream.service, '/');
  size_t length = slash == NULL ? 0 : (size_t)(slash - core->upstream.service);

  if (length < sizeof request->member)
    memcpy (request->member, core->upstream.service, length);
}

/* The upstream's listener does not know which member owns the upstream. It passes on a
 * service name without a member as "/name", which is completed here. */
static void
qualify_service (fq_request_t *request)
{
  char name[FQ_SERVICE_BYTES];

  if (request->service[0] != '/')
    return;
  snprintf (name, sizeof name, "%s%.*s", request->member, FQ_NAME_BYTES,
            request->service);
  fq_text_copy (request->service, sizeof request->service, name);
}

static fq_cause_t
check_request (fq_core_t *core,
               const fq_request_t *request,
               const fq_request_policy_t *policy)
{
  if (!fq_tickets_confirmed (core->tickets))
    return FQ_CAUSE_NOT_READY;
  if (!policy->allowed)
    return FQ_CAUSE_DENIED;
  if (!fq_routing_has_service (core->routing, request->service))
    return FQ_CAUSE_NO_SERVICE;
  if (policy->at_most_once && request->key[0] == '\0')
    return FQ_CAUSE_BAD_REQUEST;
  if (fq_poison_is_blocked (core->poison, core->now, fq_request_fingerprint (request)))
    return FQ_CAUSE_POISON;
  return FQ_CAUSE_NONE;
}

static fq_call_t *
new_call (fq_core_t *core, const fq_request_event_t *event)
{
  fq_call_t *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->id = event->call;
  call->request = fq_request_ref (event->request);
  call->received = core->now;
  fq_list_init (&call->parent_link);
  fq_timer_init (&call->timer, FQ_TIMER_CALL);
  if (fq_map_set (&core->calls, call->id, call) < 0)
    {
      fq_request_unref (call->request);
      free (call);
      return NULL;
    }
  return call;
}

/* Refuses a new chain before any work is spent on it when the service sheds its class.
 * Internal calls pass, since their chain was admitted already.
 *
 * Return: true if @call was refused; it is freed then. */
static bool
shed_at_entry (fq_core_t *core, fq_call_t *call)
{
  fq_request_t *request = call->request;
  fq_answer_t answer;
  fq_load_t level;

  if (call->parent != NULL)
    return false;
  fq_routing_shed_level (core->routing, core->now, request->service, request->member,
                         &level);
  if (!fq_shed_sheds_chain (&level, request->request_class, request->chain_id))
    return false;
  fq_answer_init_error (
      &answer, FQ_CAUSE_OVERLOAD, FQ_OUTCOME_NOT_RUN,
      fq_shed_retry_after_ms (&level, request->request_class, &core->random));
  finish (core, call, &answer);
  return true;
}

void
fq_call_receive (fq_core_t *core, const fq_request_event_t *event)
{
  fq_request_t *request = event->request;
  fq_request_policy_t policy;
  fq_cause_t cause;
  fq_call_t *call;

  if (event->source == FQ_SOURCE_UPSTREAM)
    {
      set_internal_call_member (core, request);
      qualify_service (request);
    }
  else
    memcpy (request->member, event->member, sizeof request->member);
  fq_tickets_classify (core->tickets, request->member, request->service, request->method,
                       request->path, &policy);
  request->once = policy.at_most_once;
  request->request_class = policy.request_class;
  cause = check_request (core, request, &policy);
  if (cause != FQ_CAUSE_NONE)
    {
      reply_error (core, event->call, cause, FQ_OUTCOME_NOT_RUN);
      fq_report_call_ended (core, request, core->now, FQ_OUTCOME_NOT_RUN, cause);
      return;
    }
  call = new_call (core, event);
  if (call == NULL)
    {
      reply_error (core, event->call, FQ_CAUSE_OVERLOAD, FQ_OUTCOME_NOT_RUN);
      fq_report_call_ended (core, request, core->now, FQ_OUTCOME_NOT_RUN,
                            FQ_CAUSE_OVERLOAD);
      return;
    }
  call->idempotent = policy.idempotent;
  cause = assign_chain (core, call, event, &policy);
  if (cause != FQ_CAUSE_NONE)
    {
      finish_with_error (core, call, cause, FQ_OUTCOME_NOT_RUN);
      return;
    }
  if (shed_at_entry (core, call))
    return;
  set_deadline (core, call, &policy);
  try_next_node (core, call, FQ_CAUSE_NO_UPSTREAM);
}

static fq_routing_result_t
routing_result (const fq_answer_t *answer)
{
  switch (answer->outcome)
    {
    case FQ_OUTCOME_ANSWERED:
      return FQ_ROUTING_ANSWERED;
    case FQ_OUTCOME_NOT_RUN:
      return answer->cause == FQ_CAUSE_CONNECT_FAILED ? FQ_ROUTING_FAILED
                                                      : FQ_ROUTING_REFUSED;
    case FQ_OUTCOME_UNKNOWN:
      return FQ_ROUTING_FAILED;
    }
  return FQ_ROUTING_FAILED;
}

/* Charges a retry of @call to the chain's allowance and, unless the gate was closed, to
 * the budget of the service.
 *
 * Return: whether to retry; false: nothing was charged. */
static bool
charge_retry (fq_core_t *core, fq_call_t *call, const fq_answer_t *answer)
{
  uint32_t *retry_allowance = allowance_for (call);

  if (!fq_cause_is_retryable (answer->cause) || *retry_allowance == 0)
    return false;
  /* The only suspect of a crash is blocked, so that a retry would be refused. */
  if (answer->crash_id & FQ_POISON_SOLE_SUSPECT)
    return false;
  if (answer->outcome == FQ_OUTCOME_UNKNOWN && !call->idempotent)
    return false;
  /* A closed gate did no work for the attempt, so that a retry adds no load and is not
   * charged to the budget. */
  if (!fq_cause_is_gate_closed (answer->cause)
      && !fq_retry_budget_withdraw (&core->retry_budgets, call->request->service))
    return false;
  *retry_allowance -= 1;
  return true;
}

static void
record_suspicion (fq_core_t *core, fq_call_t *call, uint64_t crash_id)
{
  if (crash_id == 0)
    return;
  call->request->crash_id = crash_id;
  fq_poison_add (core->poison, core->now, fq_request_fingerprint (call->request),
                 crash_id, FQ_POISON_TTL_SECONDS);
}

static void
record_attempt_end (fq_core_t *core, fq_call_t *call, const fq_answer_t *answer)
{
  uint32_t returned = answer->retry_allowance < call->attempt_allowance
                          ? answer->retry_allowance
                          : call->attempt_allowance;

  *allowance_for (call) += returned;
  record_suspicion (core, call, answer->crash_id);
  fq_routing_record_shed_level (core->routing, core->now, call->node,
                                call->request->member, &answer->load);
  if (fq_routing_attempt_ended (core->routing, core->now, call->node,
                                routing_result (answer), core->now - call->attempt_sent,
                                answer->load.limit > 0 ? &answer->load : NULL))
    fq_report_ejection_event (core, call->request->service, call->node);
  if (fq_cause_is_gate_closed (answer->cause))
    fq_routing_mark_refusing (core->routing, core->now, call->node);
  fq_map_remove (&core->attempts, call->attempt);
  call->attempt = 0;
  if (answer->outcome == FQ_OUTCOME_UNKNOWN)
    call->may_have_run = true;
}

void
fq_call_attempt_ended (fq_core_t *core, fq_id_t attempt, const fq_answer_t *answer)
{
  fq_call_t *call = fq_map_get (&core->attempts, attempt);

  /* A late answer to an attempt that was cancelled. */
  if (call == NULL)
    return;
  record_attempt_end (core, call, answer);
  if (answer->outcome == FQ_OUTCOME_ANSWERED)
    {
      fq_retry_budget_deposit (&core->retry_budgets, call->request->service);
      finish (core, call, answer);
      return;
    }
  if (charge_retry (core, call, answer))
    {
      try_next_node (core, call, answer->cause);
      return;
    }
  if (answer->outcome == FQ_OUTCOME_NOT_RUN && call->may_have_run)
    {
      finish_with_error (core, call, answer->cause, FQ_OUTCOME_UNKNOWN);
      return;
    }
  finish (core, call, answer);
}

static void
cancel_attempt (fq_core_t *core, fq_call_t *call)
{
  fq_effect_t *effect;
  fq_id_t attempt = call->attempt;

  if (attempt == 0)
    return;
  fq_map_remove (&core->attempts, attempt);
  call->attempt = 0;
  call->may_have_run = true;
  fq_routing_attempt_ended (core->routing, core->now, call->node, FQ_ROUTING_CANCELLED,
                            core->now - call->attempt_sent, NULL);
  if (strcmp (call->node, core->node) == 0)
    {
      fq_run_cancel (core, core->node, attempt);
      return;
    }
  effect = fq_effects_add (core->effects, FQ_EFFECT_PEER_CANCEL);
  memcpy (effect->peer_cancel.node, call->node, sizeof call->node);
  effect->peer_cancel.attempt = attempt;
}

void
fq_call_caller_disconnected (fq_core_t *core, fq_id_t id)
{
  fq_call_t *call = fq_map_get (&core->calls, id);

  if (call == NULL)
    return;
  cancel_attempt (core, call);
  fq_report_call_ended (core, call->request, call->received, FQ_OUTCOME_UNKNOWN,
                        FQ_CAUSE_CALLER_GONE);
  free_call (core, call);
}

void
fq_call_cancel (fq_core_t *core, fq_call_t *call, fq_cause_t cause)
{
  cancel_attempt (core, call);
  finish_with_error (core, call, cause, FQ_OUTCOME_NOT_RUN);
}

void
fq_call_expire (fq_core_t *core, fq_call_t *call)
{
  fq_call_cancel (core, call, FQ_CAUSE_DEADLINE);
}

void
fq_call_node_lost (fq_core_t *core, const char *node)
{
  fq_answer_t lost;
  fq_id_t *attempts = calloc (core->attempts.count + 1, sizeof *attempts);
  size_t count = 0;
  size_t cursor = 0;
  fq_call_t *call;

  if (attempts == NULL)
    abort ();
  while ((call = fq_map_next (&core->attempts, &cursor)) != NULL)
    {
      if (strcmp (call->node, node) == 0)
        attempts[count++] = call->attempt;
    }
  fq_answer_init_error (&lost, FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_UNKNOWN,
                        retry_after_ms (core));
  for (size_t i = 0; i < count; i++)
    fq_call_attempt_ended (core, attempts[i], &lost);
  free (attempts);
}

void
fq_call_free_all (fq_core_t *core)
{
  size_t cursor = 0;
  fq_call_t *call;

  while ((call = fq_map_next (&core->calls, &cursor)) != NULL)
    {
      fq_request_unref (call->request);
      free (call);
    }
  fq_map_clear (&core->calls);
  fq_map_clear (&core->attempts);
}
