/**
 * DOC: Requests of local clients: routing, attempts at gates, the final answer.
 *
 * A failed attempt is retried at another gate when the request certainly did not run, or
 * when it is idempotent. When no attempt is left, the client is answered at once: 503
 * with Retry-After where the request certainly did not run, otherwise 502 or 504. A
 * request that reaches the client's own deadline gets 504 even if it did not run.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "mesh/mesh_private.h"

#define FQ_STATUS_NOT_FOUND 404
#define FQ_STATUS_SERVER_ERROR 500
#define FQ_STATUS_UNAVAILABLE 503
#define FQ_STATUS_TIMEOUT 504

#define FQ_TIMEOUT_DEFAULT_MS 30000 /* where neither client nor route states one */
#define FQ_OFFERS_MAX 4             /* attempts for one request */
#define FQ_INLINE_BODY_BYTES 16384  /* a larger body is sent only after a grant */
/* With less time left, an attempt would be futile, unless the route has little at all. */
#define FQ_ATTEMPT_MIN_LEFT_US (50 * FQ_MICROSECONDS_PER_MS)
/* A request that arrives later than this after the stop signal could not complete before
 * the process ends. */
#define FQ_STOPPING_ACCEPT_US (3 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_RETRY_AFTER_DEFAULT_MS 400
#define FQ_PERCENT 100

static fq_time_t
ms_to_us (uint32_t ms)
{
  return (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;
}

/* Makes the exchange an internal call of the run at the local server that handles the
 * request @parent_id. Without such a run it stays a new request. */
static void
attach_to_parent (fq_mesh_t *mesh, fq_exchange_t *exchange, fq_text_t *parent_id)
{
  const fq_gate_run_t *parent = fq_gate_find_running (mesh, parent_id);

  if (parent == NULL)
    return;
  exchange->parent_id = fq_text_ref (parent_id);
  exchange->rank = fq_rank_of_internal_call (parent->offer.rank);
  exchange->chain = parent->offer.chain;
  exchange->repeat_of_parent = parent->offer.repeat;
}

static void
send_message (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  fq_frame_t frame = {
    .kind = FQ_FRAME_MESSAGE,
    .attempt = exchange->attempt,
    .message = fq_http_message_ref (exchange->message),
  };

  exchange->message_sent = true;
  fq_mesh_send_to_gate (mesh, exchange->peer->address, &frame);
}

static bool
can_inline_message (const fq_exchange_t *exchange)
{
  return exchange->idempotent
         && fq_http_message_body_size (exchange->message) <= FQ_INLINE_BODY_BYTES;
}

static void
fill_offer (const fq_mesh_t *mesh, const fq_exchange_t *exchange, fq_offer_t *offer)
{
  offer->service = fq_text_ref (exchange->service);
  offer->request_id = fq_text_ref (exchange->request_id);
  offer->caller = fq_text_ref (mesh->service);
  offer->rank = exchange->rank;
  offer->remaining_ms
      = (uint32_t)((exchange->deadline - mesh->now) / FQ_MICROSECONDS_PER_MS);
  offer->latency_objective_ms = exchange->latency_objective_ms;
  offer->route = exchange->route_id;
  offer->chain = exchange->chain;
  offer->fingerprint = exchange->fingerprint;
  offer->idempotent = exchange->idempotent;
  offer->body_bytes = fq_http_message_body_size (exchange->message);
  offer->repeat = exchange->servers_reached > 0 || exchange->repeat_of_parent;
}

static void
send_offer (fq_mesh_t *mesh, fq_exchange_t *exchange, fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_OFFER };

  exchange->attempt = fq_mesh_next_id (mesh);
  exchange->peer = peer;
  exchange->sent = mesh->now;
  exchange->message_sent = false;
  exchange->offers++;
  if (exchange->tried_count < FQ_TRIED_MAX)
    exchange->tried[exchange->tried_count++] = peer->address;
  if (fq_map_set (&mesh->attempts, exchange->attempt, exchange) < 0)
    abort ();
  fq_list_append (&peer->exchanges, &exchange->link);
  peer->outstanding++;
  peer->offers_since_report++;
  mesh->metrics.counters[FQ_METRIC_OFFERS]++;
  fq_mesh_log (
      mesh, false,
      "event=attempt id=%s node=%08x offer=%u rank=%u repeat=%d limit=%u "
      "rate_limit=%g in_flight=%u queued=%u told_ms_ago=%lld slow_percent=%d "
      "failing_percent=%d",
      fq_text_label (exchange->request_id), peer->address, exchange->offers,
      exchange->rank, exchange->servers_reached > 0, peer->gate_load.limit,
      peer->gate_load.rate_limit, peer->gate_load.in_flight, peer->gate_load.queued,
      (long long)((mesh->now - peer->load_reported_at) / FQ_MICROSECONDS_PER_MS),
      (int)(peer->latency_ratio * FQ_PERCENT), (int)(peer->failure_rate * FQ_PERCENT));
  frame.attempt = exchange->attempt;
  fill_offer (mesh, exchange, &frame.offer);
  if (can_inline_message (exchange))
    {
      frame.message = fq_http_message_ref (exchange->message);
      exchange->message_sent = true;
    }
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
  fq_peer_watch_silence (mesh, peer);
}

static void
try_next_gate (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause_if_none)
{
  fq_peer_t *peer;

  if (exchange->deadline - mesh->now < exchange->least_time_left)
    {
      fq_exchange_finish_unanswered (mesh, exchange,
                                     exchange->offers == 0 ? "no-time" : cause_if_none);
      return;
    }
  if (exchange->offers >= FQ_OFFERS_MAX
      || exchange->servers_reached >= exchange->servers_max)
    {
      fq_exchange_finish_unanswered (mesh, exchange, cause_if_none);
      return;
    }
  peer = fq_balancer_pick_gate (mesh, exchange);
  if (peer != NULL)
    {
      send_offer (mesh, exchange, peer);
      return;
    }
  /* No gate of the service is available, which is not for lack of capacity. */
  if (exchange->offers == 0)
    exchange->failed_not_for_capacity = true;
  fq_exchange_finish_unanswered (mesh, exchange, cause_if_none);
}

static uint64_t
hash_text (const fq_text_t *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (fq_text_chars (text), fq_text_size (text), seed);
}

/* Never 0, which marks an unused entry in fq_recent_losses_t. */
static uint64_t
request_fingerprint (const fq_mesh_t *mesh, const fq_mesh_request_t *request)
{
  const fq_http_message_t *message = request->message;
  uint64_t hash = XXH3_64bits (message->target, strlen (message->target));

  hash = XXH3_64bits_withSeed (message->method, strlen (message->method), hash);
  hash = hash_text (mesh->service, hash);
  hash = hash_text (request->host, hash);
  if (message->body != NULL)
    hash = XXH3_64bits_withSeed (message->body->data, message->body->size, hash);
  return hash | 1;
}

/* The time that has to be left for an attempt: at most half of what the route allows. */
static fq_time_t
least_time_left (const fq_route_t *route)
{
  fq_time_t half = ms_to_us (route->timeout_ms) / 2;

  return half > 0 && half < FQ_ATTEMPT_MIN_LEFT_US ? half : FQ_ATTEMPT_MIN_LEFT_US;
}

static fq_exchange_t *
new_exchange (fq_mesh_t *mesh, const fq_mesh_request_t *request, fq_route_t *route)
{
  fq_exchange_t *exchange = calloc (1, sizeof *exchange);
  uint32_t client_ms = request->remaining_ms;
  uint32_t allowed_ms = route->timeout_ms;

  if (exchange == NULL || fq_map_set (&mesh->exchanges, request->id, exchange) < 0)
    abort ();
  if (client_ms == 0)
    client_ms = allowed_ms != 0 ? allowed_ms : FQ_TIMEOUT_DEFAULT_MS;
  if (allowed_ms == 0 || allowed_ms > client_ms)
    allowed_ms = client_ms;
  exchange->id = request->id;
  exchange->message = fq_http_message_ref (request->message);
  exchange->config_version = mesh->config->version;
  exchange->route_id = route->id;
  exchange->fingerprint = request_fingerprint (mesh, request);
  exchange->rank = fq_rank_of_new_request (route->level);
  exchange->chain = hash_text (request->request_id, 0) | 1;
  exchange->servers_max = route->servers_max;
  exchange->latency_objective_ms = route->latency_objective_ms;
  exchange->least_time_left = least_time_left (route);
  exchange->idempotent = route->idempotent;
  exchange->received = mesh->now;
  exchange->deadline = mesh->now + ms_to_us (allowed_ms);
  exchange->client_deadline = mesh->now + ms_to_us (client_ms);
  exchange->request_id = fq_text_ref (request->request_id);
  exchange->route = fq_text_ref (route->name);
  exchange->service = fq_text_ref (fq_route_next_target (route));
  attach_to_parent (mesh, exchange, request->parent_id);
  fq_list_init (&exchange->link);
  exchange->timer.kind = FQ_MESH_TIMER_EXCHANGE;
  fq_timers_arm (&mesh->timers, &exchange->timer, exchange->deadline);
  return exchange;
}

static void
refuse_before_exchange (fq_mesh_t *mesh,
                        const fq_mesh_request_t *request,
                        const char *cause)
{
  mesh->metrics.counters[FQ_METRIC_REFUSED]++;
  fq_mesh_log (mesh, true,
               "event=request-end id=%s outcome=not-run status=%d cause=%s config=%llu",
               fq_text_label (request->request_id), FQ_STATUS_UNAVAILABLE, cause,
               (unsigned long long)fq_mesh_config_version (mesh));
  fq_exchange_reply_local (
      mesh, request->id, FQ_STATUS_UNAVAILABLE,
      fq_exchange_jitter_retry_after (mesh, FQ_RETRY_AFTER_DEFAULT_MS), cause);
}

static void
refuse_suspect (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  fq_mesh_log (mesh, true, "event=suspect-refused id=%s fingerprint=%016llx",
               fq_text_label (exchange->request_id),
               (unsigned long long)exchange->fingerprint);
  fq_exchange_finish_not_run (mesh, exchange,
                              fq_gate_cause_name (FQ_GATE_CAUSE_CRASHES_SERVERS));
}

/* Whether answers that clients have not read leave no memory for a further one. A body
 * that has arrived had to find room already. */
static bool
is_memory_short (const fq_mesh_t *mesh, const fq_mesh_request_t *request)
{
  uint64_t limit = mesh->params.new_request_bytes;

  return limit != 0 && mesh->memory_held > limit
         && fq_http_message_body_size (request->message) == 0;
}

void
fq_entry_receive (fq_mesh_t *mesh, const fq_mesh_request_t *request)
{
  fq_exchange_t *exchange;
  fq_route_t *route;

  mesh->metrics.counters[FQ_METRIC_REQUESTS]++;
  if (mesh->stopping && mesh->now - mesh->stopping_since > FQ_STOPPING_ACCEPT_US)
    {
      refuse_before_exchange (mesh, request, "stopping");
      return;
    }
  if (mesh->config == NULL)
    {
      refuse_before_exchange (mesh, request, "no-config");
      return;
    }
  route = fq_config_find_route (mesh->config, fq_text_chars (request->host),
                                request->message->target);
  if (route == NULL)
    {
      mesh->metrics.counters[FQ_METRIC_NO_ROUTE]++;
      fq_mesh_log (mesh, false,
                   "event=request-end id=%s outcome=no-route status=404 cause=no-route "
                   "config=%llu",
                   fq_text_label (request->request_id),
                   (unsigned long long)mesh->config->version);
      fq_exchange_reply_local (mesh, request->id, FQ_STATUS_NOT_FOUND, 0, "no-route");
      return;
    }
  if (is_memory_short (mesh, request))
    {
      refuse_before_exchange (mesh, request,
                              fq_gate_cause_name (FQ_GATE_CAUSE_NO_MEMORY));
      return;
    }
  exchange = new_exchange (mesh, request, route);
  if (fq_crash_suspects_is_refused (&mesh->crash_suspects, exchange->fingerprint))
    refuse_suspect (mesh, exchange);
  else
    try_next_gate (mesh, exchange, "no-gate");
}

static void
cancel_attempt (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  fq_frame_t frame = { .kind = FQ_FRAME_CANCEL, .attempt = exchange->attempt };

  if (exchange->peer == NULL)
    return;
  fq_mesh_send_to_gate (mesh, exchange->peer->address, &frame);
  exchange->may_have_run = exchange->may_have_run || exchange->message_sent;
  fq_exchange_detach_gate (mesh, exchange);
}

void
fq_entry_client_disconnected (fq_mesh_t *mesh, fq_id_t id)
{
  fq_exchange_t *exchange = fq_map_get (&mesh->exchanges, id);

  if (exchange == NULL)
    return;
  mesh->metrics.counters[FQ_METRIC_CLIENT_DISCONNECTS]++;
  fq_exchange_log_end (mesh, exchange, 0, "client-gone", "client-gone");
  cancel_attempt (mesh, exchange);
  fq_exchange_free (mesh, exchange);
}

/* When the deadline of the route comes before that of the client, the client still waits,
 * and a request that did not run gets 503 with Retry-After. At the client's own deadline
 * the answer is 504. */
void
fq_entry_expire (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  cancel_attempt (mesh, exchange);
  if (!exchange->may_have_run && exchange->client_deadline > exchange->deadline)
    fq_exchange_finish_not_run (mesh, exchange, "timeout");
  else
    fq_exchange_finish_may_have_run (mesh, exchange, FQ_STATUS_TIMEOUT, "timeout");
}

static void
handle_answer (fq_mesh_t *mesh, fq_exchange_t *exchange, const fq_frame_t *frame)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REPLY);

  effect->reply.request = exchange->id;
  effect->reply.answer = fq_http_message_ref (frame->message);
  mesh->metrics.counters[FQ_METRIC_ANSWERED]++;
  fq_histogram_add (&mesh->metrics.exchange_us, mesh->now - exchange->received);
  exchange->servers_reached++;
  exchange->failed_not_for_capacity = frame->failed_not_for_capacity;
  if (frame->message->status >= FQ_STATUS_SERVER_ERROR)
    fq_exchange_notify_parent (mesh, exchange);
  fq_exchange_log_end (mesh, exchange, frame->message->status, "answered", "none");
  fq_exchange_free (mesh, exchange);
}

static void
log_attempt_end (fq_mesh_t *mesh, const fq_exchange_t *exchange, const fq_frame_t *frame)
{
  fq_mesh_log (mesh, false,
               "event=attempt-end id=%s node=%08x end=%s cause=%s reached=%d "
               "limit=%u in_flight=%u queued=%u took_ms=%lld",
               fq_text_label (exchange->request_id), exchange->peer->address,
               frame->kind == FQ_FRAME_REFUSE ? "not-run" : "may-have-run",
               fq_gate_cause_name (frame->cause), frame->reached_server,
               frame->gate_load.limit, frame->gate_load.in_flight,
               frame->gate_load.queued,
               (long long)((mesh->now - exchange->sent) / FQ_MICROSECONDS_PER_MS));
}

static void
keep_shortest_retry_after (fq_exchange_t *exchange, uint32_t ms)
{
  if (ms != 0 && (exchange->retry_after_ms == 0 || ms < exchange->retry_after_ms))
    exchange->retry_after_ms = ms;
}

/* A server that refuses while no request waits at its gate would refuse as much at
 * a lower load, so this is not for lack of capacity. */
static void
classify_refusal (fq_exchange_t *exchange, const fq_frame_t *refusal)
{
  if (refusal->cause == FQ_GATE_CAUSE_RETRY_BUDGET)
    return; /* the failure before this retry is the cause */
  exchange->failed_not_for_capacity = refusal->cause == FQ_GATE_CAUSE_REFUSED_BY_SERVER
                                      && refusal->gate_load.queued == 0;
}

static void
handle_refusal (fq_mesh_t *mesh, fq_exchange_t *exchange, const fq_frame_t *frame)
{
  log_attempt_end (mesh, exchange, frame);
  fq_exchange_detach_gate (mesh, exchange);
  if (frame->reached_server)
    exchange->servers_reached++;
  keep_shortest_retry_after (exchange, frame->retry_after_ms);
  classify_refusal (exchange, frame);
  if (frame->cause == FQ_GATE_CAUSE_CRASHES_SERVERS
      || frame->cause == FQ_GATE_CAUSE_RETRY_BUDGET)
    fq_exchange_finish_unanswered (mesh, exchange, fq_gate_cause_name (frame->cause));
  else
    try_next_gate (mesh, exchange, fq_gate_cause_name (frame->cause));
}

static void
handle_failure (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause)
{
  fq_exchange_detach_gate (mesh, exchange);
  exchange->servers_reached++;
  exchange->may_have_run = true;
  if (exchange->idempotent
      && fq_crash_suspects_find (&mesh->crash_suspects, exchange->fingerprint) == NULL)
    try_next_gate (mesh, exchange, cause);
  else
    fq_exchange_finish_unanswered (mesh, exchange, cause);
}

void
fq_entry_handle_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame)
{
  fq_exchange_t *exchange = fq_map_get (&mesh->attempts, frame->attempt);
  bool failed;

  /* The attempt was cancelled meanwhile. */
  if (exchange == NULL || exchange->peer != peer)
    return;
  switch (frame->kind)
    {
    case FQ_FRAME_GRANT:
      if (!exchange->message_sent)
        send_message (mesh, exchange);
      break;
    case FQ_FRAME_ANSWER:
      fq_balancer_record_result (mesh, peer, exchange->route_id,
                                 mesh->now - exchange->sent, false);
      if (frame->message != NULL)
        handle_answer (mesh, exchange, frame);
      break;
    case FQ_FRAME_REFUSE:
      failed = frame->cause == FQ_GATE_CAUSE_REFUSED_BY_SERVER
               || frame->cause == FQ_GATE_CAUSE_CONNECT_FAILED;
      fq_balancer_record_result (mesh, peer, exchange->route_id, 0, failed);
      handle_refusal (mesh, exchange, frame);
      break;
    case FQ_FRAME_FAILED:
      fq_balancer_record_result (mesh, peer, exchange->route_id, 0, true);
      log_attempt_end (mesh, exchange, frame);
      handle_failure (mesh, exchange, fq_gate_cause_name (frame->cause));
      break;
    default:
      break;
    }
}

void
fq_entry_end_all (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  fq_exchange_t *exchange;

  while ((exchange = fq_map_next (&mesh->exchanges, &cursor)) != NULL)
    {
      fq_entry_expire (mesh, exchange);
      cursor = 0;
    }
}

bool
fq_entry_retire_sent (fq_mesh_t *mesh, fq_peer_t *peer)
{
  FQ_LIST_FOREACH_SAFE (link, following, &peer->exchanges)
  {
    fq_exchange_t *exchange = FQ_LIST_ENTRY (link, fq_exchange_t, link);

    if (exchange->idempotent || !exchange->message_sent)
      continue;
    fq_mesh_log (mesh, false, "event=attempt-retired id=%s node=%08x sent_ms_ago=%lld",
                 fq_text_label (exchange->request_id), peer->address,
                 (long long)((mesh->now - exchange->sent) / FQ_MICROSECONDS_PER_MS));
    fq_list_remove (link);
    fq_list_append (&peer->retired_exchanges, link);
    exchange->retired = true;
    peer->outstanding--;
  }
  return !fq_list_is_empty (&peer->retired_exchanges);
}

static void
log_gate_lost (fq_mesh_t *mesh, const fq_exchange_t *exchange)
{
  fq_mesh_log (mesh, false, "event=attempt-end id=%s node=%08x end=%s cause=gate-lost",
               fq_text_label (exchange->request_id), exchange->peer->address,
               exchange->message_sent ? "may-have-run" : "not-run");
}

void
fq_entry_retired_lost (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_list_t *link;

  while ((link = fq_list_first (&peer->retired_exchanges)) != NULL)
    {
      fq_exchange_t *exchange = FQ_LIST_ENTRY (link, fq_exchange_t, link);

      log_gate_lost (mesh, exchange);
      handle_failure (mesh, exchange, "gate-lost");
    }
}

/* A gate that was not sent the request can't have run it. */
void
fq_entry_gate_lost (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_list_t *link;

  while ((link = fq_list_first (&peer->exchanges)) != NULL)
    {
      fq_exchange_t *exchange = FQ_LIST_ENTRY (link, fq_exchange_t, link);

      log_gate_lost (mesh, exchange);
      if (exchange->message_sent)
        {
          handle_failure (mesh, exchange, "gate-lost");
          continue;
        }
      fq_exchange_detach_gate (mesh, exchange);
      try_next_gate (mesh, exchange, "gate-lost");
    }
}

void
fq_entry_free_all (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  fq_exchange_t *exchange;

  while ((exchange = fq_map_next (&mesh->exchanges, &cursor)) != NULL)
    fq_exchange_release (exchange);
  fq_map_clear (&mesh->exchanges);
  fq_map_clear (&mesh->attempts);
}
