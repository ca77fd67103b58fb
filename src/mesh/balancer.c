/**
 * DOC: Load balancing: the choice of a gate for an attempt.
 *
 * The servers of a service differ in speed, and traffic between zones is expensive. The
 * cost of a gate is its expected answer time, as a multiple of the route's mean, plus
 * penalties for utilisation, recent failures, draining and another zone; the last one
 * grows with the size of the request. The gate of the lowest cost gets the attempt.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_LATENCY_RATIO_WEIGHT 0.15 /* of the newest answer */
#define FQ_FAILURE_RATE_WEIGHT 0.1
#define FQ_SCORE_DECAY_US                                                                \
  (4.0 * FQ_MICROSECONDS_PER_SECOND) /* a score of this age counts half */
#define FQ_LOAD_DECAY_US                                                                 \
  (500.0 * FQ_MICROSECONDS_PER_MS) /* a report of this age counts half */
#define FQ_LATENCY_RATIO_MAX 8.0
#define FQ_UTILISATION_COST 0.6 /* times the square of the utilisation */
#define FQ_OVERLOAD_COST 4.0    /* times the part of the utilisation above 1 */
#define FQ_FAILURE_RATE_COST 4.0
#define FQ_OTHER_ZONE_COST 0.35
#define FQ_OTHER_ZONE_BODY_BYTES 20000.0 /* a body of this size doubles that cost */
#define FQ_DRAINING_COST 50.0            /* far above the usual cost of any other gate */
#define FQ_COST_JITTER 0.1               /* relative; spreads the choices of entries */
#define FQ_ROUTE_MEAN_WEIGHT 0.05

/* Requests that run or wait at the gate: those of the last report, which lose weight with
 * its age, and those that this entry has sent since. */
static double
estimated_load (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  double age = (double)(mesh->now - peer->load_reported_at);
  double reported = peer->gate_load.in_flight + peer->gate_load.queued;

  return reported / (1 + age / FQ_LOAD_DECAY_US) + peer->offers_since_report;
}

/* 1 for a fresh score; old scores lose weight, so that the gate is tried again. */
static double
score_weight (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  return 1 / (1 + (double)(mesh->now - peer->scored_at) / FQ_SCORE_DECAY_US);
}

/* The wait that the gate reported, in microseconds, less what has passed of it. A wait
 * for a rate limit ends at its time; a queue is filled by other entries meanwhile. */
static double
remaining_wait (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  double reported = peer->gate_load.wait_ms * (double)FQ_MICROSECONDS_PER_MS;
  double age = (double)(mesh->now - peer->load_reported_at);

  if (peer->gate_load.rate_limit > 0)
    return fmax (reported - age, 0);
  return reported / (1 + age / FQ_LOAD_DECAY_US);
}

/* The wait as a multiple of the route's mean answer time. It is that of new requests, so
 * it does not apply to internal calls. */
static double
wait_cost (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  const fq_route_time_t *time = fq_map_get (&mesh->route_times, exchange->route_id);

  if (exchange->rank < FQ_INTERNAL_RANKS || time == NULL || time->mean_us <= 0)
    return 0;
  return remaining_wait (mesh, peer) / time->mean_us;
}

/* Runs that the gate can have at once. Under a rate limit these are the requests that it
 * starts in the time that one takes. */
static double
concurrency (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  const fq_route_time_t *time = fq_map_get (&mesh->route_times, exchange->route_id);
  double limit = peer->gate_load.limit;

  if (peer->gate_load.rate_limit > 0 && time != NULL)
    limit = fmin (limit, peer->gate_load.rate_limit * time->mean_us
                             / FQ_MICROSECONDS_PER_SECOND);
  return fmax (limit, 1);
}

static double
gate_cost (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  size_t bytes = fq_http_message_body_size (exchange->message);
  double utilisation = estimated_load (mesh, peer) / concurrency (mesh, peer, exchange);
  double weight = score_weight (mesh, peer);
  double cost = 1 + (peer->latency_ratio - 1) * weight;

  cost += FQ_UTILISATION_COST * utilisation * utilisation;
  if (utilisation > 1)
    cost += (utilisation - 1) * FQ_OVERLOAD_COST;
  cost += wait_cost (mesh, peer, exchange);
  cost += FQ_FAILURE_RATE_COST * peer->failure_rate * weight;
  if (!fq_text_equal (peer->zone, mesh->zone))
    cost += FQ_OTHER_ZONE_COST * (1 + (double)bytes / FQ_OTHER_ZONE_BODY_BYTES);
  if (peer->server.phase == FQ_PHASE_DRAINING)
    cost += FQ_DRAINING_COST;
  return cost;
}

/* Whether this node has known for the whole drain that the gate's server is leaving. The
 * gate refuses requests then, unless its node has restarted and does not know it. */
static bool
is_past_drain (const fq_mesh_t *mesh, const fq_peer_t *peer)
{
  const fq_server_memory_t *memory = &peer->memory;

  return memory->leaving
         && fq_server_memory_is_of (memory, peer->server.instance,
                                    peer->server.started_ms)
         && mesh->now >= fq_server_drain_end (mesh, memory->leaving_since);
}

static bool
is_candidate (const fq_mesh_t *mesh, const fq_peer_t *peer, const fq_exchange_t *exchange)
{
  if (is_past_drain (mesh, peer))
    return false;
  if (peer->link != FQ_LINK_UP || !peer->handshake_complete
      || peer->server.phase == FQ_PHASE_ABSENT
      || !fq_text_equal (peer->server.service, exchange->service))
    return false;
  for (size_t i = 0; i < exchange->tried_count; i++)
    {
      if (exchange->tried[i] == peer->address)
        return false;
    }
  return true;
}

fq_peer_t *
fq_balancer_pick_gate (fq_mesh_t *mesh, const fq_exchange_t *exchange)
{
  fq_peer_t *best = NULL;
  double best_cost = 0;
  size_t cursor = 0;
  fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      double cost;

      if (!is_candidate (mesh, peer, exchange))
        continue;
      cost = gate_cost (mesh, peer, exchange)
             * (1 + fq_random_unit (&mesh->random) * FQ_COST_JITTER);
      if (best != NULL && cost >= best_cost)
        continue;
      best = peer;
      best_cost = cost;
    }
  return best;
}

static fq_route_time_t *
get_or_add_route_time (fq_mesh_t *mesh, uint64_t route, fq_time_t elapsed)
{
  fq_route_time_t *time = fq_map_get (&mesh->route_times, route);

  if (time != NULL)
    return time;
  time = calloc (1, sizeof *time);
  if (time == NULL || fq_map_set (&mesh->route_times, route, time) < 0)
    abort ();
  time->mean_us = (double)elapsed;
  return time;
}

void
fq_balancer_record_result (
    fq_mesh_t *mesh, fq_peer_t *peer, uint64_t route, fq_time_t elapsed, bool failed)
{
  double weight = score_weight (mesh, peer);
  fq_route_time_t *time;
  double ratio;

  peer->failure_rate = peer->failure_rate * weight;
  peer->latency_ratio = 1 + (peer->latency_ratio - 1) * weight;
  peer->scored_at = mesh->now;
  peer->failure_rate += ((failed ? 1 : 0) - peer->failure_rate) * FQ_FAILURE_RATE_WEIGHT;
  /* Under a rate limit the answer time is mostly wait, which the gate reports itself. */
  if (failed || elapsed <= 0 || peer->gate_load.rate_limit > 0)
    return;
  time = get_or_add_route_time (mesh, route, elapsed);
  ratio = (double)elapsed / time->mean_us;
  time->mean_us += ((double)elapsed - time->mean_us) * FQ_ROUTE_MEAN_WEIGHT;
  if (ratio > FQ_LATENCY_RATIO_MAX)
    ratio = FQ_LATENCY_RATIO_MAX;
  peer->latency_ratio += (ratio - peer->latency_ratio) * FQ_LATENCY_RATIO_WEIGHT;
}
