/**
 * DOC: The other nodes: connections to their gates, liveness, and the state that they
 * report. Only what a gate itself reports on its connection is used; nodes pass on the
 * addresses of other nodes, but not their state.
 */
#include <stdlib.h>

#include "mesh/mesh_private.h"

#define FQ_RECONNECT_FIRST_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_RECONNECT_MAX_US (1 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_RECONNECT_DOUBLINGS 4
#define FQ_PING_IDLE_US (250 * FQ_MICROSECONDS_PER_MS)    /* silence before a ping */
#define FQ_PONG_TIMEOUT_US (650 * FQ_MICROSECONDS_PER_MS) /* then the gate is lost */
#define FQ_NODE_SAMPLE_MAX 32                             /* in a HELLO or WELCOME */

/* Failed connections in a row after which a node is removed from the directory. */
#define FQ_CONNECT_FAILURES_MAX 600

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
  fq_list_init (&peer->retired_exchanges);
  return peer;
}

static void
open_link (fq_mesh_t *mesh, fq_peer_t *peer)
{
  peer->link = FQ_LINK_OPENING;
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_LINK_OPEN)->node = peer->address;
}

fq_peer_t *
fq_peer_add (fq_mesh_t *mesh, fq_node_address_t address, bool from_peer)
{
  fq_peer_t *peer;

  if (address == 0 || address == mesh->address)
    return mesh->self;
  peer = fq_peer_get_or_add (mesh, address);
  if (from_peer)
    peer->failures = 0;
  if (peer->link == FQ_LINK_DOWN && (from_peer || peer->timer.position == 0))
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
fq_peer_count_gates (const fq_mesh_t *mesh, const fq_text_t *service)
{
  size_t cursor = 0;
  size_t count = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    count += peer->link == FQ_LINK_UP && fq_text_equal (peer->server.service, service);
  return count;
}

/* Fills a HELLO or WELCOME with a random sample of the connected nodes, by reservoir
 * sampling. Every node exchanges these frames with every other one, so that full lists
 * would cost O(n^3) bytes. A new node gets a different sample from each peer. */
void
fq_peer_write_sample (fq_mesh_t *mesh, fq_frame_t *frame)
{
  size_t cursor = 0;
  size_t connected = 0;
  const fq_peer_t *peer;

  frame->nodes = calloc (FQ_NODE_SAMPLE_MAX, sizeof *frame->nodes);
  if (frame->nodes == NULL)
    abort ();
  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      size_t slot;

      if (peer == mesh->self || peer->link != FQ_LINK_UP)
        continue;
      slot = connected < FQ_NODE_SAMPLE_MAX
                 ? connected
                 : (size_t)fq_random_below (&mesh->random, (uint64_t)connected + 1);
      connected++;
      if (slot < FQ_NODE_SAMPLE_MAX)
        frame->nodes[slot] = peer->address;
    }
  frame->node_count = connected < FQ_NODE_SAMPLE_MAX ? connected : FQ_NODE_SAMPLE_MAX;
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
  frame.zone = fq_text_ref (mesh->zone);
  fq_peer_write_sample (mesh, &frame);
  fq_server_memory_to_recall (&peer->memory, mesh->now, &frame.recall);
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
}

static void
release_peer (fq_peer_t *peer)
{
  fq_text_unref (peer->zone);
  fq_server_clear (&peer->server);
  fq_server_memory_clear (&peer->memory);
  free (peer);
}

static void
remove_peer (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_mesh_log (mesh, false, "event=node-forgotten node=%08x failures=%u", peer->address,
               peer->failures);
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REMOVE_NODE)->node = peer->address;
  fq_entry_retired_lost (mesh, peer);
  fq_timers_cancel (&mesh->timers, &peer->timer);
  fq_map_remove (&mesh->peers, peer->address);
  release_peer (peer);
}

static fq_time_t
reconnect_delay (fq_mesh_t *mesh, const fq_peer_t *peer)
{
  uint32_t doublings
      = peer->failures < FQ_RECONNECT_DOUBLINGS ? peer->failures : FQ_RECONNECT_DOUBLINGS;
  fq_time_t delay = (fq_time_t)FQ_RECONNECT_FIRST_US << doublings;

  if (delay > FQ_RECONNECT_MAX_US)
    delay = FQ_RECONNECT_MAX_US;
  return delay / 2 + (fq_time_t)fq_random_below (&mesh->random, (uint64_t)delay);
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
          peer->address, fq_text_label (peer->server.service), peer->outstanding,
          (long long)((mesh->now - peer->last_frame_at) / FQ_MICROSECONDS_PER_MS));
    }
  peer->link = FQ_LINK_DOWN;
  peer->failures++;
  peer->handshake_complete = false;
  peer->server.phase = FQ_PHASE_ABSENT;
  fq_entry_gate_lost (mesh, peer);
  if (fq_peer_count_up (mesh) == 0)
    fq_mesh_expedite_discovery (mesh);
  if (peer->failures > FQ_CONNECT_FAILURES_MAX)
    {
      remove_peer (mesh, peer);
      return;
    }
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + reconnect_delay (mesh, peer));
}

/* Starts liveness checks of a gate, which last while attempts at it are outstanding. */
void
fq_peer_watch_silence (fq_mesh_t *mesh, fq_peer_t *peer)
{
  if (peer == mesh->self || peer->link != FQ_LINK_UP || peer->timer.position != 0)
    return;
  if (peer->last_frame_at < mesh->now - FQ_PING_IDLE_US)
    peer->last_frame_at = mesh->now;
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + FQ_PING_IDLE_US);
}

static void
send_ping (fq_mesh_t *mesh, fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_PING };

  peer->ping_sent_at = mesh->now;
  fq_mesh_send_to_gate (mesh, peer->address, &frame);
  fq_timers_arm (&mesh->timers, &peer->timer, mesh->now + FQ_PONG_TIMEOUT_US);
}

/* The gate does not answer. It may stand still and go on later, so a connection with work
 * that must not be done twice is kept for its answers; when the VM itself is gone, the
 * transport ends that connection. */
static void
give_up_link (fq_mesh_t *mesh, fq_peer_t *peer)
{
  bool retire = fq_entry_retire_sent (mesh, peer);

  fq_mesh_add_effect (mesh,
                      retire ? FQ_MESH_EFFECT_LINK_RETIRE : FQ_MESH_EFFECT_LINK_CLOSE)
      ->node
      = peer->address;
  fq_peer_link_down (mesh, peer);
}

static void
check_liveness (fq_mesh_t *mesh, fq_peer_t *peer)
{
  if (peer->outstanding == 0)
    {
      peer->ping_sent_at = 0;
      return;
    }
  if (mesh->now - peer->last_frame_at < FQ_PING_IDLE_US)
    {
      fq_timers_arm (&mesh->timers, &peer->timer, peer->last_frame_at + FQ_PING_IDLE_US);
      return;
    }
  if (peer->ping_sent_at == 0 || mesh->now - peer->timer.when > FQ_CHECK_LATE_US)
    {
      send_ping (mesh, peer);
      return;
    }
  give_up_link (mesh, peer);
}

void
fq_peer_handle_timer (fq_mesh_t *mesh, fq_peer_t *peer)
{
  switch (peer->link)
    {
    case FQ_LINK_DOWN:
      open_link (mesh, peer);
      break;
    case FQ_LINK_OPENING:
      break;
    case FQ_LINK_UP:
      check_liveness (mesh, peer);
      break;
    }
}

static void
update_server (fq_mesh_t *mesh, fq_peer_t *peer, const fq_server_t *server)
{
  bool changed = !fq_text_equal (peer->server.service, server->service)
                 || !fq_text_equal (peer->server.instance, server->instance)
                 || peer->server.started_ms != server->started_ms
                 || peer->server.phase != server->phase;

  fq_server_set (&peer->server, server);
  if (!changed)
    return;
  peer->latency_ratio = 1;
  peer->failure_rate = 0;
  fq_mesh_log (mesh, false, "event=gate-server node=%08x service=%s instance=%s phase=%s",
               peer->address, fq_text_label (server->service),
               fq_text_label (server->instance), fq_phase_name (server->phase));
}

static void
record_suspects (fq_mesh_t *mesh, const fq_frame_t *frame)
{
  for (size_t i = 0; i < frame->fingerprint_count; i++)
    fq_server_crash_add_suspect (mesh, frame->fingerprints[i], frame->number,
                                 frame->alone);
}

/* A run that was held beside one of them may run now. */
static void
clear_suspects (fq_mesh_t *mesh, const fq_frame_t *frame)
{
  for (size_t i = 0; i < frame->fingerprint_count; i++)
    fq_crash_suspects_clear (&mesh->crash_suspects, frame->fingerprints[i]);
  fq_gate_start_queued (mesh);
}

static bool
has_server (const fq_frame_t *frame)
{
  return frame->kind == FQ_FRAME_WELCOME || frame->kind == FQ_FRAME_SERVER;
}

void
fq_peer_handle_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame)
{
  peer->last_frame_at = mesh->now;
  peer->ping_sent_at = 0;
  peer->gate_load = frame->gate_load;
  peer->load_reported_at = mesh->now;
  peer->offers_since_report = 0;
  fq_server_memory_record (&peer->memory, mesh->now,
                           has_server (frame) ? &frame->server : &peer->server,
                           frame->gate_load.rate_limit);
  fq_mesh_record_gate_version (mesh, peer->address, frame->gate_load.config_version);
  switch (frame->kind)
    {
    case FQ_FRAME_WELCOME:
      fq_text_set (&peer->zone, frame->zone);
      peer->handshake_complete = true;
      update_server (mesh, peer, &frame->server);
      for (size_t i = 0; i < frame->node_count; i++)
        fq_peer_add (mesh, frame->nodes[i], false);
      fq_server_state_probe_if_uncertain (mesh);
      break;
    case FQ_FRAME_SERVER:
      update_server (mesh, peer, &frame->server);
      break;
    case FQ_FRAME_CRASH_SUSPECTS:
      record_suspects (mesh, frame);
      break;
    case FQ_FRAME_SUSPECTS_CLEARED:
      clear_suspects (mesh, frame);
      break;
    case FQ_FRAME_GRANT:
    case FQ_FRAME_REFUSE:
    case FQ_FRAME_ANSWER:
    case FQ_FRAME_FAILED:
      fq_entry_handle_frame (mesh, peer, frame);
      break;
    case FQ_FRAME_PONG:
    case FQ_FRAME_CONFIG: /* the shell parses it and sends FQ_MESH_EVENT_CONFIG */
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
    release_peer (peer);
  fq_map_clear (&mesh->peers);
}
