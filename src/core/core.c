#include "filbertquay/core.h"

#include <stdlib.h>
#include <string.h>

#include "core/core_private.h"
#include "core/store_op_ids.h"
#include "filbertquay/errors.h"
#include "util/text.h"

/* Least time from the shutdown event to the stop, in which peers learn of the drain. */
#define FQ_STOP_DRAIN_MIN_US (2 * FQ_MICROSECONDS_PER_SECOND)
/* The final roll-up of the error budget counters is not waited for later than this after
 * FQ_STOP_DRAIN_MIN_US. */
#define FQ_STOP_ROLLUP_TIMEOUT_US (2 * FQ_MICROSECONDS_PER_SECOND)
/* Identifiers of two starts differ if a start allocates fewer than 2^20 of them for each
 * unit between the two incarnations. */
#define FQ_ID_INCARNATION_SHIFT 20

static int
check_options (const fq_core_options_t *options)
{
  if (options->version != FQ_CORE_OPTIONS_VERSION)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
                         "unsupported core options version %u, expected %d",
                         options->version, FQ_CORE_OPTIONS_VERSION);
  if (options->node == NULL || options->node[0] == '\0'
      || strlen (options->node) >= FQ_NAME_BYTES)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
                         "node name must have 1 to %d characters", FQ_NAME_BYTES - 1);
  if (options->seed_count > FQ_SEEDS_MAX)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID,
                         "at most %d seed addresses are allowed", FQ_SEEDS_MAX);
  return FQ_OK;
}

static int
create_burn (fq_core_t *core, const fq_core_options_t *options)
{
  fq_burn_options_t burn = FQ_BURN_OPTIONS_INIT;

  burn.node = options->node;
  burn.incarnation = options->incarnation;
  burn.seed = fq_random_next (&core->random);
  burn.rollup_ms = options->rollup_ms;
  burn.tickets = core->tickets;
  return fq_burn_new (&core->burn, &burn);
}

static int
create_modules (fq_core_t *core, const fq_core_options_t *options, fq_time_t now)
{
  fq_tickets_options_t tickets = FQ_TICKETS_OPTIONS_INIT;
  fq_routing_options_t routing = FQ_ROUTING_OPTIONS_INIT;
  fq_admission_options_t admission = FQ_ADMISSION_OPTIONS_INIT;
  fq_once_options_t once = FQ_ONCE_OPTIONS_INIT;
  int rc;

  tickets.node = options->node;
  tickets.failure_domain = options->failure_domain;
  tickets.seed = fq_random_next (&core->random);
  tickets.default_deadline_ms = options->default_deadline_ms;
  tickets.default_retries = options->default_retries;
  routing.node = options->node;
  routing.failure_domain = options->failure_domain;
  routing.region = options->region;
  routing.seed = fq_random_next (&core->random);
  admission.policy = (fq_admission_policy_t)options->limit_policy;
  admission.seed = fq_random_next (&core->random);
  once.node = options->node;
  once.incarnation = options->incarnation;
  once.seed = fq_random_next (&core->random);
  if ((rc = fq_tickets_new (&core->tickets, &tickets)) < 0
      || (rc = fq_routing_new (&core->routing, &routing)) < 0
      || (rc = fq_admission_new (&core->admission, &admission)) < 0
      || (rc = fq_once_new (&core->once, &once)) < 0
      || (rc = fq_poison_new (&core->poison)) < 0
      || (rc = fq_counters_new (&core->counters)) < 0
      || (rc = fq_membership_new (&core->membership, options, now)) < 0
      || (rc = fq_connections_new (&core->connections, options->node, options->region,
                                   core->routing))
             < 0
      || (rc = create_burn (core, options)) < 0)
    return rc;
  return FQ_OK;
}

int
fq_core_new (fq_core_t **out, const fq_core_options_t *options, fq_time_t now)
{
  fq_core_t *core;
  int rc = check_options (options);

  if (rc < 0)
    return rc;
  core = calloc (1, sizeof *core);
  if (core == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a core");
  fq_text_copy (core->node, sizeof core->node, options->node);
  fq_text_copy (core->failure_domain, sizeof core->failure_domain,
                options->failure_domain);
  core->random.state = options->seed;
  core->next_id = options->incarnation << FQ_ID_INCARNATION_SHIFT;
  core->incarnation = options->incarnation;
  fq_wheel_init (&core->wheel, now);
  fq_list_init (&core->lost_runs);
  fq_list_init (&core->waiting_suspects);
  rc = create_modules (core, options, now);
  if (rc < 0)
    {
      fq_core_free (core);
      return rc;
    }
  *out = core;
  return FQ_OK;
}

void
fq_core_free (fq_core_t *core)
{
  if (core == NULL)
    return;
  fq_call_free_all (core);
  fq_run_free_all (core);
  fq_retry_budgets_clear (&core->retry_budgets);
  fq_tickets_free (core->tickets);
  fq_routing_free (core->routing);
  fq_admission_free (core->admission);
  fq_once_free (core->once);
  fq_poison_free (core->poison);
  fq_counters_free (core->counters);
  fq_burn_free (core->burn);
  fq_membership_free (core->membership);
  fq_connections_free (core->connections);
  free (core);
}

fq_id_t
fq_core_next_id (fq_core_t *core)
{
  return ++core->next_id;
}

static void
update_own_entry (fq_core_t *core)
{
  fq_membership_set_self (
      core->membership, core->now, core->upstream.service, core->upstream.slots,
      core->upstream_ready && !core->stopping && fq_tickets_confirmed (core->tickets));
}

static void
log_node_state (fq_core_t *core, const fq_node_entry_t *entry)
{
  static const char *const states[]
      = { "alive", "suspect", "unreachable", "dead", "gone" };

  fq_effects_log (core->effects, FQ_LOG_DEBUG, "membership", "Node %s is %s.",
                  entry->node, states[entry->state]);
}

static void
apply_membership_changes (fq_core_t *core)
{
  fq_node_entry_t entry;

  while (fq_membership_take_change (core->membership, &entry))
    {
      log_node_state (core, &entry);
      fq_routing_update (core->routing, core->now, &entry);
      fq_connections_update (core->connections, core->now, &entry, core->effects);
    }
}

/* Applies the concurrency limit that tickets set for the service of the upstream. */
static void
apply_limit (fq_core_t *core)
{
  fq_service_limit_t limit = { 0 };

  fq_tickets_service_limit (core->tickets, core->upstream.service, &limit);
  fq_admission_set_cap (core->admission, limit.max_concurrent);
}

static void
handle_announce (fq_core_t *core, const fq_announce_event_t *event)
{
  bool restarted = core->upstream.service[0] != '\0'
                   && event->incarnation > core->upstream.incarnation;

  if (restarted)
    fq_run_upstream_restarted (core);
  if (core->upstream_ready && !restarted
      && event->incarnation == core->upstream.incarnation)
    return;
  core->upstream = *event;
  core->upstream_ready = true;
  fq_admission_announce (core->admission, core->now, event->slots, event->connections);
  apply_limit (core);
  fq_effects_log (core->effects, FQ_LOG_INFO, "gate",
                  "The upstream announced %s with %u slots.", event->service,
                  event->slots);
  fq_report_upstream_event (core, restarted ? "announced after a restart" : "announced");
  update_own_entry (core);
}

static void
handle_drain (fq_core_t *core)
{
  if (!core->upstream_ready)
    return;
  core->upstream_ready = false;
  fq_effects_log (core->effects, FQ_LOG_INFO, "gate", "The upstream takes no new work.");
  fq_report_upstream_event (core, "takes no new work");
  update_own_entry (core);
}

static void
fire_timers (fq_core_t *core)
{
  fq_timer_t *timer;

  fq_wheel_advance (&core->wheel, core->now);
  while ((timer = fq_wheel_pop (&core->wheel)) != NULL)
    {
      switch ((fq_timer_kind_t)timer->kind)
        {
        case FQ_TIMER_CALL:
          fq_call_expire (core, FQ_LIST_ENTRY (timer, fq_call_t, timer));
          break;
        case FQ_TIMER_RUN:
          fq_run_expire (core, FQ_LIST_ENTRY (timer, fq_run_t, timer));
          break;
        }
    }
}

/* Stops once all requests have ended and their outcomes are stored, but not before
 * FQ_STOP_DRAIN_MIN_US. Waits for the final roll-up until FQ_STOP_ROLLUP_TIMEOUT_US after
 * that; both times count from the shutdown event, so that the roll-up is not waited for
 * if the requests end later. */
static void
check_stopped (fq_core_t *core)
{
  if (!core->stopping || core->stopped)
    return;
  if (core->now - core->stopping_since < FQ_STOP_DRAIN_MIN_US)
    return;
  if (core->calls.count > 0 || core->runs.count > 0 || !fq_once_is_idle (core->once))
    return;
  fq_burn_begin_shutdown (core->burn);
  if (!fq_burn_is_idle (core->burn)
      && core->now - core->stopping_since
             < FQ_STOP_DRAIN_MIN_US + FQ_STOP_ROLLUP_TIMEOUT_US)
    return;
  core->stopped = true;
  fq_membership_leave (core->membership, core->now, core->effects);
  fq_effects_add (core->effects, FQ_EFFECT_STOPPED);
}

/* A node that is not confirmed sends 0, so that its number can't confirm another node. */
uint64_t
fq_core_ticket_number (const fq_core_t *core)
{
  return fq_tickets_confirmed (core->tickets) ? fq_tickets_number (core->tickets) : 0;
}

static void
tick (fq_core_t *core)
{
  fq_poison_entry_t poison[FQ_GOSSIP_POISON_MAX] = { 0 };
  size_t poison_count = fq_poison_select_for_gossip (core->poison, core->now, poison,
                                                     FQ_GOSSIP_POISON_MAX);

  fire_timers (core);
  fq_run_tick (core);
  fq_membership_set_piggyback (core->membership, fq_core_ticket_number (core), poison,
                               poison_count);
  fq_membership_tick (core->membership, core->now, core->effects);
  fq_tickets_tick (core->tickets, core->now, fq_membership_live_count (core->membership),
                   core->effects);
  fq_once_tick (core->once, core->now, core->wall_ms, core->effects);
  fq_poison_tick (core->poison, core->now);
  fq_report_tick (core);
  fq_connections_tick (core->connections, core->now, core->effects);
  check_stopped (core);
}

static void
handle_gossip (fq_core_t *core, const fq_gossip_t *message)
{
  fq_membership_handle_datagram (core->membership, core->now, message, core->effects);
  fq_tickets_handle_peer_number (core->tickets, core->now, message->from,
                                 message->from_address, message->ticket_number,
                                 core->effects);
  for (size_t i = 0; i < message->poison_count; i++)
    fq_poison_add (core->poison, core->now, message->poison[i].fingerprint,
                   message->poison[i].crash_id, message->poison[i].ttl_seconds);
}

static void
handle_store_answer (fq_core_t *core, const fq_store_answer_t *answer)
{
  switch (fq_store_op_id_owner (answer->id))
    {
    case FQ_STORE_OWNER_TICKETS:
      fq_tickets_handle_store_answer (core->tickets, core->now, answer, core->effects);
      break;
    case FQ_STORE_OWNER_ONCE:
      fq_once_handle_store_answer (core->once, core->now, answer, core->effects);
      break;
    case FQ_STORE_OWNER_BURN:
      fq_burn_handle_store_answer (core->burn, core->now, core->wall_ms, answer,
                                   core->effects);
      break;
    case FQ_STORE_OWNER_MEMBERSHIP:
      /* Membership issues no store operations. */
      break;
    }
}

static void
handle_peer_down (fq_core_t *core, const char *node)
{
  fq_connections_set_connected (core->connections, core->now, node, false);
  fq_call_node_lost (core, node);
}

static void
dispatch (fq_core_t *core, const fq_event_t *event)
{
  switch (event->kind)
    {
    case FQ_EVENT_TICK:
      tick (core);
      break;
    case FQ_EVENT_REQUEST:
      fq_connections_mark_used (core->connections, core->now,
                                event->request.request->service, core->effects);
      fq_call_receive (core, &event->request);
      break;
    case FQ_EVENT_CALLER_DISCONNECTED:
      fq_call_caller_disconnected (core, event->caller_disconnected.call);
      break;
    case FQ_EVENT_PEER_UP:
      fq_connections_set_connected (core->connections, core->now, event->peer.node, true);
      break;
    case FQ_EVENT_PEER_DOWN:
      handle_peer_down (core, event->peer.node);
      break;
    case FQ_EVENT_ENTRY_DOWN:
      fq_run_node_lost (core, event->peer.node);
      break;
    case FQ_EVENT_PEER_CALL:
      fq_tickets_handle_peer_number (core->tickets, core->now, event->peer_call.node, "",
                                     event->peer_call.request->ticket_number,
                                     core->effects);
      fq_membership_add_requester (core->membership, event->peer_call.node);
      fq_run_receive (core, event->peer_call.node, event->peer_call.attempt,
                      event->peer_call.request, event->peer_call.request->remaining_ms,
                      event->peer_call.request->retry_allowance);
      break;
    case FQ_EVENT_PEER_CANCEL:
      fq_run_cancel (core, event->peer_cancel.node, event->peer_cancel.attempt);
      break;
    case FQ_EVENT_PEER_ANSWER:
      fq_call_attempt_ended (core, event->peer_answer.attempt,
                             &event->peer_answer.answer);
      break;
    case FQ_EVENT_UPSTREAM_ANSWER:
      fq_run_upstream_answered (core, &event->upstream_answer);
      break;
    case FQ_EVENT_UPSTREAM_FAILED:
      fq_run_upstream_failed (core, &event->upstream_failed);
      break;
    case FQ_EVENT_ANNOUNCE:
      handle_announce (core, &event->announce);
      break;
    case FQ_EVENT_DRAIN:
    case FQ_EVENT_WITHDRAW:
      handle_drain (core);
      break;
    case FQ_EVENT_STORE:
      handle_store_answer (core, &event->store);
      break;
    case FQ_EVENT_GOSSIP:
      handle_gossip (core, &event->gossip);
      break;
    case FQ_EVENT_TICKETS:
      fq_tickets_handle_peer_message (core->tickets, core->now, &event->tickets,
                                      core->effects);
      break;
    case FQ_EVENT_OPERATOR:
      fq_report_handle_operator (core, &event->operator_query);
      break;
    case FQ_EVENT_SHUTDOWN:
      core->stopping = true;
      core->stopping_since = core->now;
      update_own_entry (core);
      break;
    }
}

/* Announces the readiness of this node as soon as its tickets gain or lose confirmation,
 * since it admits requests only while they are confirmed. */
static void
publish_confirmation (fq_core_t *core)
{
  bool confirmed = fq_tickets_confirmed (core->tickets);

  if (confirmed == core->tickets_were_confirmed)
    return;
  core->tickets_were_confirmed = confirmed;
  update_own_entry (core);
}

bool
fq_core_is_busy (const fq_core_t *core)
{
  return core->calls.count > 0 || core->runs.count > 0 || core->stopping
         || !fq_once_is_idle (core->once);
}

void
fq_core_reduce (fq_core_t *core, const fq_event_t *event, fq_effects_t *effects)
{
  core->now = event->now;
  core->wall_ms = event->wall_ms;
  core->effects = effects;
  dispatch (core, event);
  publish_confirmation (core);
  if (fq_tickets_take_number_changed (core->tickets))
    {
      apply_limit (core);
      if (fq_tickets_confirmed (core->tickets))
        fq_membership_push_ticket_number (core->membership, fq_core_ticket_number (core),
                                          core->effects);
    }
  fq_run_process_queues (core);
  apply_membership_changes (core);
  core->effects = NULL;
}
