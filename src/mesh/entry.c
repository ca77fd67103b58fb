/**
 * DOC: Requests that begin at this machine: route, attempts at gates, the final answer.
 *
 * An attempt is made again elsewhere when it is known that the request did not run, or
 * when it may run more than once. A request on which this node has given up gets its
 * final answer at once: 503 with the time to come back where it is certain that it did
 * not run, otherwise 502 or 504.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "mesh/mesh_private.h"
#include "util/text.h"

#define FQ_STATUS_NOT_FOUND 404
#define FQ_STATUS_SERVER_ERROR 500
#define FQ_STATUS_UNAVAILABLE 503
#define FQ_STATUS_TIMEOUT 504

#define FQ_TIMEOUT_DEFAULT_MS 30000 /* where neither client nor route says one */
#define FQ_OFFERS_MAX 4             /* gates that are asked for one request */
#define FQ_INLINE_BODY_BYTES 16384  /* a larger body goes only to a gate with room */
#define FQ_RETRY_MIN_LEFT_US                                                             \
  (50 * FQ_MICROSECONDS_PER_MS) /* with less time left another attempt is in vain */
#define FQ_STOPPING_TAKES_US                                                             \
  (3 * FQ_MICROSECONDS_PER_SECOND) /* requests that begin later could not end in time */
#define FQ_RETRY_AFTER_DEFAULT_MS 400
#define FQ_PERCENT 100

static fq_time_t
ms_to_us (uint32_t ms)
{
  return (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;
}

/* A call belongs to the work that our server does now for the request that it names. */
static void
adopt_parent (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *parent_id)
{
  const fq_gate_run_t *parent = fq_gate_run_of_request (mesh, parent_id);

  if (parent == NULL)
    return;
  memcpy (exchange->parent_id, parent_id, sizeof exchange->parent_id);
  exchange->rank = fq_rank_inner (parent->offer.rank);
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

  exchange->handed = true;
  fq_mesh_send_to_gate (mesh, exchange->peer->address, &frame);
}

static bool
goes_with_offer (const fq_exchange_t *exchange)
{
  return exchange->idempotent
         && fq_http_message_body_size (exchange->message) <= FQ_INLINE_BODY_BYTES;
}

static void
write_offer (const fq_mesh_t *mesh, const fq_exchange_t *exchange, fq_offer_t *offer)
{
  memcpy (offer->service, exchange->service, sizeof offer->service);
  memcpy (offer->request_id, exchange->request_id, sizeof offer->request_id);
  memcpy (offer->caller, mesh->service, sizeof offer->caller);
  offer->rank = exchange->rank;
  offer->remaining_ms
      = (uint32_t)((exchange->deadline - mesh->now) / FQ_MICROSECONDS_PER_MS);
  offer->latency_objective_ms = exchange->latency_objective_ms;
  offer->route = exchange->route_id;
  offer->chain = exchange->chain;
  offer->fingerprint = exchange->fingerprint;
  offer->idempotent = exchange->idempotent;
  offer->repeat = exchange->servers_reached > 0 || exchange->repeat_of_parent;
}

static void
offer_to (fq_mesh_t *mesh, fq_exchange_t *exchange, fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_OFFER };

  exchange->attempt = fq_mesh_next_id (mesh);
  exchange->peer = peer;
  exchange->sent = mesh->now;
  exchange->handed = false;
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
      "in_flight=%u queued=%u told_ms_ago=%lld slow_percent=%d failing_percent=%d",
      exchange->request_id, peer->address, exchange->offers, exchange->rank,
      exchange->servers_reached > 0, peer->room.limit, peer->room.in_flight,
      peer->room.queued,
      (long long)((mesh->now - peer->load_reported_at) / FQ_MICROSECONDS_PER_MS),
      (int)(peer->latency_ratio * FQ_PERCENT), (int)(peer->failure_rate * FQ_PERCENT));
  frame.attempt = exchange->attempt;
  write_offer (mesh, exchange, &frame.offer);
  if (goes_with_offer (exchange))
    {
      frame.message = fq_http_message_ref (exchange->message);
      exchange->handed = true;
    }
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
  fq_peer_watch_silence (mesh, peer);
}

static void
try_gate (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause_if_none)
{
  fq_peer_t *peer;

  if (exchange->deadline - mesh->now < FQ_RETRY_MIN_LEFT_US)
    {
      fq_exchange_give_up (mesh, exchange,
                           exchange->offers == 0 ? "no-time" : cause_if_none);
      return;
    }
  if (exchange->offers >= FQ_OFFERS_MAX
      || exchange->servers_reached >= exchange->servers_max)
    {
      fq_exchange_give_up (mesh, exchange, cause_if_none);
      return;
    }
  peer = fq_choice_of_gate (mesh, exchange);
  if (peer != NULL)
    {
      offer_to (mesh, exchange, peer);
      return;
    }
  /* No gate of the service is known: less load would not help. */
  if (exchange->offers == 0)
    exchange->lost_otherwise = true;
  fq_exchange_give_up (mesh, exchange, cause_if_none);
}

static uint64_t
fingerprint_of (const fq_mesh_t *mesh, const fq_mesh_request_t *request)
{
  const fq_http_message_t *message = request->message;
  uint64_t hash = XXH3_64bits (message->target, strlen (message->target));

  hash = XXH3_64bits_withSeed (message->method, strlen (message->method), hash);
  hash = XXH3_64bits_withSeed (mesh->service, strlen (mesh->service), hash);
  hash = XXH3_64bits_withSeed (request->host, strlen (request->host), hash);
  if (message->body != NULL)
    hash = XXH3_64bits_withSeed (message->body->data, message->body->size, hash);
  return hash | 1;
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
  exchange->fingerprint = fingerprint_of (mesh, request);
  exchange->rank = fq_rank_outside (route->priority);
  exchange->chain = XXH3_64bits (request->request_id, strlen (request->request_id)) | 1;
  exchange->servers_max = route->servers_max;
  exchange->latency_objective_ms = route->latency_objective_ms;
  exchange->idempotent = route->idempotent;
  exchange->received = mesh->now;
  exchange->deadline = mesh->now + ms_to_us (allowed_ms);
  exchange->client_deadline = mesh->now + ms_to_us (client_ms);
  memcpy (exchange->request_id, request->request_id, sizeof exchange->request_id);
  memcpy (exchange->route, route->name, sizeof exchange->route);
  fq_text_copy (exchange->service, sizeof exchange->service,
                fq_route_next_target (route));
  adopt_parent (mesh, exchange, request->parent_id);
  fq_list_init (&exchange->link);
  exchange->timer.kind = FQ_MESH_TIMER_EXCHANGE;
  fq_timers_arm (&mesh->timers, &exchange->timer, exchange->deadline);
  return exchange;
}

static void
refuse_early (fq_mesh_t *mesh, const fq_mesh_request_t *request, const char *cause)
{
  mesh->metrics.counters[FQ_METRIC_REFUSED]++;
  fq_mesh_log (mesh, true,
               "event=request-end id=%s outcome=not-run status=%d cause=%s config=%llu",
               request->request_id, FQ_STATUS_UNAVAILABLE, cause,
               (unsigned long long)fq_mesh_config_version (mesh));
  fq_exchange_reply_own (mesh, request->id, FQ_STATUS_UNAVAILABLE,
                         fq_exchange_spread_retry_after (mesh, FQ_RETRY_AFTER_DEFAULT_MS),
                         cause);
}

void
fq_entry_receive (fq_mesh_t *mesh, const fq_mesh_request_t *request)
{
  fq_exchange_t *exchange;
  fq_route_t *route;

  mesh->metrics.counters[FQ_METRIC_REQUESTS]++;
  if (mesh->stopping && mesh->now - mesh->stopping_since > FQ_STOPPING_TAKES_US)
    {
      refuse_early (mesh, request, "stopping");
      return;
    }
  if (mesh->config == NULL)
    {
      refuse_early (mesh, request, "no-config");
      return;
    }
  route = fq_config_find_route (mesh->config, request->host, request->message->target);
  if (route == NULL)
    {
      mesh->metrics.counters[FQ_METRIC_NO_ROUTE]++;
      fq_mesh_log (mesh, false,
                   "event=request-end id=%s outcome=no-route status=404 cause=no-route "
                   "config=%llu",
                   request->request_id, (unsigned long long)mesh->config->version);
      fq_exchange_reply_own (mesh, request->id, FQ_STATUS_NOT_FOUND, 0, "no-route");
      return;
    }
  exchange = new_exchange (mesh, request, route);
  if (fq_blame_crashes (&mesh->crash_suspects, exchange->fingerprint)
      >= FQ_BLAME_CRASHES_MAX)
    fq_exchange_finish_not_run (mesh, exchange,
                                fq_refusal_name (FQ_REFUSAL_CRASHES_SERVERS));
  else
    try_gate (mesh, exchange, "no-gate");
}

static void
cancel_attempt (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  fq_frame_t frame = { .kind = FQ_FRAME_CANCEL, .attempt = exchange->attempt };

  if (exchange->peer == NULL)
    return;
  fq_mesh_send_to_gate (mesh, exchange->peer->address, &frame);
  exchange->may_have_run = exchange->may_have_run || exchange->handed;
  fq_exchange_leave_gate (mesh, exchange);
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

void
fq_entry_expire (fq_mesh_t *mesh, fq_exchange_t *exchange)
{
  cancel_attempt (mesh, exchange);
  if (!exchange->may_have_run && exchange->client_deadline > exchange->deadline)
    fq_exchange_finish_not_run (mesh, exchange, "timeout");
  else
    fq_exchange_finish_unknown (mesh, exchange, FQ_STATUS_TIMEOUT, "timeout");
}

static void
take_answer (fq_mesh_t *mesh, fq_exchange_t *exchange, const fq_frame_t *frame)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REPLY);

  effect->reply.request = exchange->id;
  effect->reply.answer = fq_http_message_ref (frame->message);
  mesh->metrics.counters[FQ_METRIC_ANSWERED]++;
  fq_histogram_add (&mesh->metrics.exchange_us, mesh->now - exchange->received);
  exchange->servers_reached++;
  exchange->lost_otherwise = frame->lost_otherwise;
  if (frame->message->status >= FQ_STATUS_SERVER_ERROR)
    fq_exchange_tell_parent (mesh, exchange);
  fq_exchange_log_end (mesh, exchange, frame->message->status, "answered", "none");
  fq_exchange_free (mesh, exchange);
}

static void
log_attempt (fq_mesh_t *mesh, const fq_exchange_t *exchange, const fq_frame_t *frame)
{
  fq_mesh_log (mesh, false,
               "event=attempt-end id=%s node=%08x end=%s cause=%s reached=%d "
               "limit=%u in_flight=%u queued=%u took_ms=%lld",
               exchange->request_id, exchange->peer->address,
               frame->kind == FQ_FRAME_REFUSE ? "not-run" : "may-have-run",
               fq_refusal_name (frame->cause), frame->reached_server, frame->room.limit,
               frame->room.in_flight, frame->room.queued,
               (long long)((mesh->now - exchange->sent) / FQ_MICROSECONDS_PER_MS));
}

static void
note_retry_after (fq_exchange_t *exchange, uint32_t ms)
{
  if (ms != 0 && (exchange->retry_after_ms == 0 || ms < exchange->retry_after_ms))
    exchange->retry_after_ms = ms;
}

/* A server that refuses while nothing waits at its gate would refuse as much at a lower
 * load. */
static void
judge_refusal (fq_exchange_t *exchange, const fq_frame_t *refusal)
{
  if (refusal->cause == FQ_REFUSAL_RETRY_BUDGET)
    return; /* the refusal before it tells why the call failed */
  exchange->lost_otherwise
      = refusal->cause == FQ_REFUSAL_BY_SERVER && refusal->room.queued == 0;
}

static void
take_refusal (fq_mesh_t *mesh, fq_exchange_t *exchange, const fq_frame_t *frame)
{
  log_attempt (mesh, exchange, frame);
  fq_exchange_leave_gate (mesh, exchange);
  if (frame->reached_server)
    exchange->servers_reached++;
  note_retry_after (exchange, frame->retry_after_ms);
  judge_refusal (exchange, frame);
  if (frame->cause == FQ_REFUSAL_CRASHES_SERVERS
      || frame->cause == FQ_REFUSAL_RETRY_BUDGET)
    fq_exchange_give_up (mesh, exchange, fq_refusal_name (frame->cause));
  else
    try_gate (mesh, exchange, fq_refusal_name (frame->cause));
}

static void
take_failure (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause)
{
  fq_exchange_leave_gate (mesh, exchange);
  exchange->servers_reached++;
  exchange->may_have_run = true;
  if (exchange->idempotent
      && fq_blame_crashes (&mesh->crash_suspects, exchange->fingerprint) == 0)
    try_gate (mesh, exchange, cause);
  else
    fq_exchange_give_up (mesh, exchange, cause);
}

void
fq_entry_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame)
{
  fq_exchange_t *exchange = fq_map_get (&mesh->attempts, frame->attempt);
  bool failed;

  /* The end of an attempt that was cancelled meanwhile. */
  if (exchange == NULL || exchange->peer != peer)
    return;
  switch (frame->kind)
    {
    case FQ_FRAME_GRANT:
      if (!exchange->handed)
        send_message (mesh, exchange);
      break;
    case FQ_FRAME_ANSWER:
      fq_choice_judge (mesh, peer, exchange->route_id, mesh->now - exchange->sent, false);
      if (frame->message != NULL)
        take_answer (mesh, exchange, frame);
      break;
    case FQ_FRAME_REFUSE:
      failed = frame->cause == FQ_REFUSAL_BY_SERVER
               || frame->cause == FQ_REFUSAL_CONNECT_FAILED;
      fq_choice_judge (mesh, peer, exchange->route_id, 0, failed);
      take_refusal (mesh, exchange, frame);
      break;
    case FQ_FRAME_FAILED:
      fq_choice_judge (mesh, peer, exchange->route_id, 0, true);
      log_attempt (mesh, exchange, frame);
      take_failure (mesh, exchange, fq_refusal_name (frame->cause));
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

/* A gate that never got the request can't have run it. */
void
fq_entry_gate_lost (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_list_t *link;

  while ((link = fq_list_first (&peer->exchanges)) != NULL)
    {
      fq_exchange_t *exchange = FQ_LIST_ENTRY (link, fq_exchange_t, link);

      fq_mesh_log (mesh, false,
                   "event=attempt-end id=%s node=%08x end=%s cause=gate-lost",
                   exchange->request_id, peer->address,
                   exchange->handed ? "may-have-run" : "not-run");
      if (exchange->handed)
        {
          take_failure (mesh, exchange, "gate-lost");
          continue;
        }
      fq_exchange_leave_gate (mesh, exchange);
      try_gate (mesh, exchange, "gate-lost");
    }
}

void
fq_entry_free_all (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  fq_exchange_t *exchange;

  while ((exchange = fq_map_next (&mesh->exchanges, &cursor)) != NULL)
    {
      fq_http_message_unref (exchange->message);
      free (exchange);
    }
  fq_map_clear (&mesh->exchanges);
  fq_map_clear (&mesh->attempts);
}
