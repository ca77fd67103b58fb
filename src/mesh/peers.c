/**
 * DOC: The other nodes: which there are, whether they are there, and what their gates
 * say of themselves. All of it is first-hand, from the connection to the gate.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_RECONNECT_FIRST_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_RECONNECT_MAX_US (1 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_RECONNECT_DOUBLINGS 4
#define FQ_SILENCE_US (250 * FQ_MICROSECONDS_PER_MS) /* before a gate is pinged */
#define FQ_PONG_US (650 * FQ_MICROSECONDS_PER_MS)    /* before it is held for dead */
#define FQ_NODES_TOLD_MAX 32                         /* in one greeting */
#define FQ_FAILURES_MAX 600 /* connections in a row, after which a node is forgotten */

fq_peer_t *
fq_peer_get_or_add (fq_mesh_t *mesh, fq_node_address_t address)
{
  fq_peer_t *peer = fq_map_get (&mesh->peers, address);

  if (peer != NULL)
    return peer;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL || fq_map_set (&mesh->peers, address, peer) < 0)
    abort ();
  peer->address = address;
  peer->latency_ratio = 1;
  peer->timer.kind = FQ_MESH_TIMER_PEER;
  fq_list_init (&peer->exchanges);
  return peer;
}

static void
open_link (fq_mesh_t *mesh, fq_peer_t *peer)
{
  peer->link = FQ_LINK_OPENING;
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_LINK_OPEN)->node = peer->address;
}

fq_peer_t *
fq_peer_add (fq_mesh_t *mesh, fq_node_address_t address, bool heard)
{
  fq_peer_t *peer;

  if (address == 0 || address == mesh->address)
    return mesh->self;
  peer = fq_peer_get_or_add (mesh, address);
  if (heard)
    peer->failures = 0;
  if (peer->link == FQ_LINK_DOWN && (heard || peer->timer.position == 0))
    open_link (mesh, peer);
  return peer;
}

size_t
fq_peer_count_up (const fq_mesh_t *mesh)
{
  size_t cursor = 0;
  size_t count = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    count += peer != mesh->self && peer->link == FQ_LINK_UP;
  return count;
}

size_t
fq_peer_count_gates (const fq_mesh_t *mesh, const char *service)
{
  size_t cursor = 0;
  size_t count = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    count += peer->link == FQ_LINK_UP && strcmp (peer->server.service, service) == 0;
  return count;
}

/* All connected nodes, or a random choice of them. Each node greets each other one, so
 * that whole lists would cost bytes with the cube of their number; a newcomer gets
 * another choice from each node that it greets. */
void
fq_peer_write_sample (fq_mesh_t *mesh, fq_frame_t *frame)
{
  size_t cursor = 0;
  size_t seen = 0;
  const fq_peer_t *peer;

  frame->nodes = calloc (FQ_NODES_TOLD_MAX, sizeof *frame->nodes);
  if (frame->nodes == NULL)
    abort ();
  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      size_t place;

      if (peer == mesh->self || peer->link != FQ_LINK_UP)
        continue;
      place = seen < FQ_NODES_TOLD_MAX
                  ? seen
                  : (size_t)fq_random_below (&mesh->random, (uint64_t)seen + 1);
      seen++;
      if (place < FQ_NODES_TOLD_MAX)
        frame->nodes[place] = peer->address;
    }
  frame->node_count = seen < FQ_NODES_TOLD_MAX ? seen : FQ_NODES_TOLD_MAX;
}

void
fq_peer_link_up (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_HELLO };

  peer->link = FQ_LINK_UP;
  peer->handshake_complete = false;
  peer->failures = 0;
  peer->last_frame_at = mesh->now;
  peer->ping_sent_at = 0;
  fq_timers_cancel (&mesh->timers, &peer->timer);
  memcpy (frame.zone, mesh->zone, sizeof frame.zone);
  fq_peer_write_sample (mesh, &frame);
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
}

static void
forget (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_mesh_log (mesh, false, "event=node-forgotten node=%08x failures=%u", peer->address,
               peer->failures);
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REMOVE_NODE)->node = peer->address;
  fq_timers_cancel (&mesh->timers, &peer->timer);
  fq_map_remove (&mesh->peers, peer->address);
  free (peer);
}

static fq_time_t
reconnect_wait (fq_mesh_t *mesh, const fq_peer_t *peer)
{
  uint32_t doublings
      = peer->failures < FQ_RECONNECT_DOUBLINGS ? peer->failures : FQ_RECONNECT_DOUBLINGS;
  fq_time_t wait = (fq_time_t)FQ_RECONNECT_FIRST_US << doublings;

  if (wait > FQ_RECONNECT_MAX_US)
    wait = FQ_RECONNECT_MAX_US;
  return wait / 2 + (fq_time_t)fq_random_below (&mesh->random, (uint64_t)wait);
}

void
fq_peer_link_down (fq_mesh_t *mesh, fq_peer_t *peer)
{
  if (peer->link == FQ_LINK_UP)
    {
      mesh->metrics.counters[FQ_METRIC_LINKS_LOST]++;
      fq_mesh_log (
          mesh, true,
          "event=gate-lost node=%08x service=%s outstanding=%u silent_ms=%lld",
          peer->address, peer->server.service, peer->outstanding,
          (long long)((mesh->now - peer->last_frame_at) / FQ_MICROSECONDS_PER_MS));
    }
  peer->link = FQ_LINK_DOWN;
  peer->failures++;
  peer->handshake_complete = false;
  peer->server.phase = FQ_PHASE_ABSENT;
  fq_entry_gate_lost (mesh, peer);
  if (fq_peer_count_up (mesh) == 0)
    fq_mesh_expedite_discovery (mesh);
  if (peer->failures > FQ_FAILURES_MAX)
    {
      forget (mesh, peer);
      return;
    }
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + reconnect_wait (mesh, peer));
}

/* While answers are due, a silent gate is asked whether it is there. */
void
fq_peer_watch_silence (fq_mesh_t *mesh, fq_peer_t *peer)
{
  if (peer == mesh->self || peer->link != FQ_LINK_UP || peer->timer.position != 0)
    return;
  if (peer->last_frame_at < mesh->now - FQ_SILENCE_US)
    peer->last_frame_at = mesh->now;
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + FQ_SILENCE_US);
}

static void
ping (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_PING };

  peer->ping_sent_at = mesh->now;
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + FQ_PONG_US);
}

static void
judge_silence (fq_mesh_t *mesh, fq_peer_t *peer)
{
  if (peer->outstanding == 0)
    {
      peer->ping_sent_at = 0;
      return;
    }
  if (mesh->now - peer->last_frame_at < FQ_SILENCE_US)
    {
      fq_timers_arm (&mesh->timers, &peer->timer, peer->last_frame_at + FQ_SILENCE_US);
      return;
    }
  if (peer->ping_sent_at == 0)
    {
      ping (mesh, peer);
      return;
    }
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_LINK_CLOSE)->node = peer->address;
  fq_peer_link_down (mesh, peer);
}

void
fq_peer_timer (fq_mesh_t *mesh, fq_peer_t *peer)
{
  switch (peer->link)
    {
    case FQ_LINK_DOWN:
      open_link (mesh, peer);
      break;
    case FQ_LINK_OPENING:
      break;
    case FQ_LINK_UP:
      judge_silence (mesh, peer);
      break;
    }
}

static void
take_server (fq_mesh_t *mesh, fq_peer_t *peer, const fq_server_t *server)
{
  bool changed = strcmp (peer->server.service, server->service) != 0
                 || strcmp (peer->server.instance, server->instance) != 0
                 || peer->server.phase != server->phase;

  peer->server = *server;
  if (!changed)
    return;
  peer->latency_ratio = 1;
  peer->failure_rate = 0;
  fq_mesh_log (mesh, false, "event=gate-server node=%08x service=%s instance=%s phase=%s",
               peer->address, server->service, server->instance,
               fq_phase_name (server->phase));
}

static void
take_blame (fq_mesh_t *mesh, const fq_frame_t *frame)
{
  for (size_t i = 0; i < frame->fingerprint_count; i++)
    fq_crash_suspects_add (&mesh->crash_suspects, mesh->now, frame->fingerprints[i],
                           frame->number);
}

void
fq_peer_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame)
{
  peer->last_frame_at = mesh->now;
  peer->ping_sent_at = 0;
  peer->room = frame->room;
  peer->load_reported_at = mesh->now;
  peer->offers_since_report = 0;
  fq_mesh_note_config_version (mesh, peer->address, frame->room.config_version);
  switch (frame->kind)
    {
    case FQ_FRAME_WELCOME:
      memcpy (peer->zone, frame->zone, sizeof peer->zone);
      peer->handshake_complete = true;
      take_server (mesh, peer, &frame->server);
      for (size_t i = 0; i < frame->node_count; i++)
        fq_peer_add (mesh, frame->nodes[i], false);
      fq_server_state_probe_if_uncertain (mesh);
      break;
    case FQ_FRAME_SERVER:
      take_server (mesh, peer, &frame->server);
      break;
    case FQ_FRAME_CRASH_SUSPECTS:
      take_blame (mesh, frame);
      break;
    case FQ_FRAME_GRANT:
    case FQ_FRAME_REFUSE:
    case FQ_FRAME_ANSWER:
    case FQ_FRAME_FAILED:
      fq_entry_frame (mesh, peer, frame);
      break;
    case FQ_FRAME_PONG:
    case FQ_FRAME_CONFIG: /* the shell reads the document and feeds it */
      break;
    case FQ_FRAME_HELLO:
    case FQ_FRAME_OFFER:
    case FQ_FRAME_MESSAGE:
    case FQ_FRAME_CANCEL:
    case FQ_FRAME_PING:
    case FQ_FRAME_CONFIG_REQUEST:
      fq_mesh_log (mesh, true, "event=frame-ignored kind=%d node=%08x", frame->kind,
                   peer->address);
      break;
    }
}

void
fq_peer_free_all (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    free (peer);
  fq_map_clear (&mesh->peers);
}
