/**
 * DOC: Which gate gets an attempt.
 *
 * Answers servers of one service that differ in speed, and zones between which bytes are
 * dear: the cost of a gate is the answer time that it is expected to give, and a gate of
 * another zone has to be better by a margin that grows with the size of the request.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_SLOWNESS_WEIGHT 0.15 /* of the newest answer */
#define FQ_FAILING_WEIGHT 0.1
#define FQ_FORGIVE_US (4.0 * FQ_MICROSECONDS_PER_SECOND)  /* old judgements fade */
#define FQ_ROOM_FADES_US (500.0 * FQ_MICROSECONDS_PER_MS) /* halves what a gate told */
#define FQ_SLOWNESS_MAX 8.0
#define FQ_FULLNESS_COST 0.6 /* of a full gate, against an empty one */
#define FQ_OVERFULL_COST 4.0 /* for each time that the load goes into the room again */
#define FQ_FAILING_COST 4.0
#define FQ_OTHER_ZONE_COST 0.35
#define FQ_OTHER_ZONE_BYTES 20000.0 /* a body of this size doubles it */
#define FQ_DRAINING_COST 50.0       /* only where no other gate is left */
#define FQ_JITTER 0.1               /* so that entries don't all choose the same gate */
#define FQ_ROUTE_MEAN_WEIGHT 0.05

static double
load_of (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  double age = (double)(mesh->now - peer->load_reported_at);
  double known = peer->room.in_flight + peer->room.queued;

  return known / (1 + age / FQ_ROOM_FADES_US) + peer->offers_since_report;
}

static double
fading (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  return 1 / (1 + (double)(mesh->now - peer->judged_at) / FQ_FORGIVE_US);
}

/* The wait that a gate told, in answer times of the route. */
static double
wait_cost (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  const fq_route_time_t *time = fq_map_get (&mesh->route_times, exchange->route_id);
  double age = (double)(mesh->now - peer->load_reported_at);

  if (exchange->rank < FQ_INNER_RANKS || time == NULL || time->mean_us <= 0)
    return 0;
  return peer->room.wait_ms * (double)FQ_MICROSECONDS_PER_MS / time->mean_us
         / (1 + age / FQ_ROOM_FADES_US);
}

static double
cost_of (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  size_t bytes = fq_http_message_body_size (exchange->message);
  double limit = peer->room.limit > 0 ? peer->room.limit : 1;
  double full = load_of (mesh, peer) / limit;
  double trust = fading (mesh, peer);
  double cost = 1 + (peer->latency_ratio - 1) * trust;

  cost += FQ_FULLNESS_COST * full * full;
  if (full > 1)
    cost += (full - 1) * FQ_OVERFULL_COST;
  cost += wait_cost (mesh, peer, exchange);
  cost += FQ_FAILING_COST * peer->failure_rate * trust;
  if (strcmp (peer->zone, mesh->zone) != 0)
    cost += FQ_OTHER_ZONE_COST * (1 + (double)bytes / FQ_OTHER_ZONE_BYTES);
  if (peer->server.phase == FQ_PHASE_DRAINING)
    cost += FQ_DRAINING_COST;
  return cost;
}

static bool
is_candidate (const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  if (peer->link != FQ_LINK_UP || !peer->handshake_complete
      || peer->server.phase == FQ_PHASE_ABSENT
      || strcmp (peer->server.service, exchange->service) != 0)
    return false;
  for (size_t i = 0; i < exchange->tried_count; i++)
    {
      if (exchange->tried[i] == peer->address)
        return false;
    }
  return true;
}

fq_peer_t *
fq_choice_of_gate (fq_mesh_t *mesh, const fq_exchange_t *exchange)
{
  fq_peer_t *best = NULL;
  double best_cost = 0;
  size_t cursor = 0;
  fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      double cost;

      if (!is_candidate (peer, exchange))
        continue;
      cost = cost_of (mesh, peer, exchange)
             * (1 + fq_random_unit (&mesh->random) * FQ_JITTER);
      if (best != NULL && cost >= best_cost)
        continue;
      best = peer;
      best_cost = cost;
    }
  return best;
}

static fq_route_time_t *
route_time (fq_mesh_t *mesh, uint64_t route, fq_time_t took)
{
  fq_route_time_t *time = fq_map_get (&mesh->route_times, route);

  if (time != NULL)
    return time;
  time = calloc (1, sizeof *time);
  if (time == NULL || fq_map_set (&mesh->route_times, route, time) < 0)
    abort ();
  time->mean_us = (double)took;
  return time;
}

void
fq_choice_judge (
    fq_mesh_t *mesh, fq_peer_t *peer, uint64_t route, fq_time_t took, bool failed)
{
  double trust = fading (mesh, peer);
  fq_route_time_t *time;
  double ratio;

  peer->failure_rate = peer->failure_rate * trust;
  peer->latency_ratio = 1 + (peer->latency_ratio - 1) * trust;
  peer->judged_at = mesh->now;
  peer->failure_rate += ((failed ? 1 : 0) - peer->failure_rate) * FQ_FAILING_WEIGHT;
  if (failed || took <= 0)
    return;
  time = route_time (mesh, route, took);
  ratio = (double)took / time->mean_us;
  time->mean_us += ((double)took - time->mean_us) * FQ_ROUTE_MEAN_WEIGHT;
  if (ratio > FQ_SLOWNESS_MAX)
    ratio = FQ_SLOWNESS_MAX;
  peer->latency_ratio += (ratio - peer->latency_ratio) * FQ_SLOWNESS_WEIGHT;
}
