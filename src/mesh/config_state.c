/**
 * DOC: The configuration in force, and its propagation between nodes.
 *
 * Configuration versions increase monotonically. Nodes normally read the configuration
 * from the store. A node that sees a newer version in a frame waits
 * FQ_CONFIG_REQUEST_DELAY_US for the store to deliver it and then requests it from the
 * sender of that frame; a node without any configuration requests it at once.
 *
 * The store may fail to deliver a version to some nodes, and in a quiet time no frames
 * tell them of it. Each node that puts one in force therefore tells the next nodes by
 * address, so that every node is told by some others, and those that missed it tell on. A
 * node that finds a version late in the store tells all others, since it may be the only
 * one.
 *
 * Those that would tell a node may be gone by then. Each node therefore also asks another
 * one, chosen at random each time, for its version every FQ_VERSION_INTERVAL_US, and soon
 * more of them while none answers. The question states its own version, so that either of
 * the two learns of the newer one. The cost for a node does not depend on the number of
 * nodes.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

/* Time that the store has to deliver a newer configuration before it is requested
 * from another node, and the interval at which that request is repeated. */
#define FQ_CONFIG_REQUEST_DELAY_US (300 * FQ_MICROSECONDS_PER_MS)

/* Between two questions for the version of another node: several fit into the time after
 * a disruption in which a node has to be up to date again. Up to a quarter of it is
 * random, so that the nodes don't ask at the same time. */
#define FQ_VERSION_INTERVAL_US (700 * FQ_MICROSECONDS_PER_MS)
#define FQ_VERSION_JITTER_DIVISOR 4

/* Without an answer for this long, twice as many nodes are asked, at most so many. */
#define FQ_VERSION_ANSWER_US (250 * FQ_MICROSECONDS_PER_MS)
#define FQ_NODES_ASKED_MAX 8

/* Nodes that each node tells of a version, so that one that is away does not matter. */
#define FQ_NODES_TOLD 2

void
fq_mesh_send_config (fq_mesh_t *mesh, fq_id_t entry_connection, uint64_t known)
{
  fq_frame_t frame = { .kind = FQ_FRAME_CONFIG };

  if (fq_mesh_config_version (mesh) <= known)
    return;
  frame.number = mesh->config->version;
  frame.document_size = mesh->config->document_size;
  frame.document = malloc (frame.document_size);
  if (frame.document == NULL)
    abort ();
  memcpy (frame.document, mesh->config->document, frame.document_size);
  fq_mesh_send_to_entry (mesh, entry_connection, &frame);
}

void
fq_mesh_request_config (fq_mesh_t *mesh)
{
  fq_frame_t frame = { .kind = FQ_FRAME_CONFIG_REQUEST };
  fq_peer_t *peer = fq_map_get (&mesh->peers, mesh->seen_config_node);

  if (mesh->seen_config_version <= fq_mesh_config_version (mesh) || peer == NULL
      || peer->link != FQ_LINK_UP)
    return;
  frame.number = fq_mesh_config_version (mesh);
  fq_mesh_log (mesh, false, "event=config-wanted have=%llu seen=%llu node=%08x",
               (unsigned long long)frame.number,
               (unsigned long long)mesh->seen_config_version, mesh->seen_config_node);
  fq_mesh_send_to_gate (mesh, mesh->seen_config_node, &frame);
  fq_timers_arm (&mesh->timers, &mesh->config_timer,
                 mesh->now + FQ_CONFIG_REQUEST_DELAY_US);
}

void
fq_mesh_record_config_version (fq_mesh_t *mesh, fq_node_address_t node, uint64_t version)
{
  if (version <= fq_mesh_config_version (mesh))
    return;
  mesh->seen_config_version = version;
  mesh->seen_config_node = node;
  /* A request or the delay before it is pending. Every peer reports the new version at
   * about the same time, and one request is enough. */
  if (mesh->config_timer.position != 0)
    return;
  if (mesh->config == NULL)
    fq_mesh_request_config (mesh);
  else
    fq_timers_arm (&mesh->timers, &mesh->config_timer,
                   mesh->now + FQ_CONFIG_REQUEST_DELAY_US);
}

/* Every frame states the version in force, and so does the answer. */
static void
tell_version (fq_mesh_t *mesh, const fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_PING };

  fq_mesh_send_to_gate (mesh, peer->address, &frame);
}

/* The next connected node after the cursor, which goes round all of them. Return: NULL:
 * there is none but this node. */
static const fq_peer_t *
next_node_to_ask (fq_mesh_t *mesh)
{
  const fq_peer_t *peer;

  for (int round = 0; round < 2; round++)
    {
      while ((peer = fq_map_next (&mesh->peers, &mesh->version_asked_cursor)) != NULL)
        {
          if (peer != mesh->self && peer->link == FQ_LINK_UP)
            return peer;
        }
      mesh->version_asked_cursor = 0;
    }
  return NULL;
}

static bool
was_version_stated (const fq_mesh_t *mesh)
{
  return mesh->version_stated_at >= mesh->version_asked_at;
}

/* How many nodes to ask now. Starts anew at some node unless the last ones did not
 * answer, whose successors are asked then. */
static uint32_t
choose_asked_count (fq_mesh_t *mesh)
{
  uint32_t doubled = mesh->version_asked_count * 2;

  if (!was_version_stated (mesh))
    return doubled < FQ_NODES_ASKED_MAX ? doubled : FQ_NODES_ASKED_MAX;
  mesh->version_asked_cursor
      = (size_t)fq_random_below (&mesh->random, mesh->peers.capacity);
  return 1;
}

static void
arm_version_timer (fq_mesh_t *mesh)
{
  uint64_t jitter = FQ_VERSION_INTERVAL_US / FQ_VERSION_JITTER_DIVISOR;

  fq_timers_arm (&mesh->timers, &mesh->version_timer,
                 mesh->now + FQ_VERSION_INTERVAL_US
                     - (fq_time_t)fq_random_below (&mesh->random, jitter));
}

void
fq_mesh_ask_version (fq_mesh_t *mesh)
{
  uint32_t count = choose_asked_count (mesh);
  const fq_peer_t *peer = next_node_to_ask (mesh);

  if (peer == NULL)
    {
      arm_version_timer (mesh);
      return;
    }
  mesh->version_asked_at = mesh->now;
  mesh->version_asked_count = count;
  for (; peer != NULL && count > 0; count--)
    {
      tell_version (mesh, peer);
      peer = next_node_to_ask (mesh);
    }
  fq_timers_arm (&mesh->timers, &mesh->version_timer, mesh->now + FQ_VERSION_ANSWER_US);
}

void
fq_mesh_record_gate_version (fq_mesh_t *mesh, fq_node_address_t node, uint64_t version)
{
  bool answers = !was_version_stated (mesh);

  if (node == mesh->address)
    return;
  mesh->version_stated_at = mesh->now;
  if (answers)
    arm_version_timer (mesh);
  fq_mesh_record_config_version (mesh, node, version);
}

static void
tell_version_to_all (fq_mesh_t *mesh)
{
  size_t cursor = 0;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      if (peer != mesh->self && peer->link == FQ_LINK_UP)
        tell_version (mesh, peer);
    }
}

/* The connected node with the lowest address above @address, or with the lowest of all.
 * Return: NULL: there is none but this node. */
static const fq_peer_t *
next_node (const fq_mesh_t *mesh, fq_node_address_t address)
{
  size_t cursor = 0;
  const fq_peer_t *next = NULL;
  const fq_peer_t *peer;

  while ((peer = fq_map_next (&mesh->peers, &cursor)) != NULL)
    {
      /* Distances are modulo 2^32. */
      if (peer != mesh->self && peer->link == FQ_LINK_UP
          && (next == NULL
              || (fq_node_address_t)(peer->address - address - 1)
                     < (fq_node_address_t)(next->address - address - 1)))
        next = peer;
    }
  return next;
}

static void
tell_version_to_next (fq_mesh_t *mesh)
{
  const fq_peer_t *first = next_node (mesh, mesh->address);
  const fq_peer_t *peer = first;

  for (int i = 0; i < FQ_NODES_TOLD && peer != NULL; i++)
    {
      tell_version (mesh, peer);
      peer = next_node (mesh, peer->address);
      if (peer == first)
        return;
    }
}

void
fq_mesh_apply_config (fq_mesh_t *mesh, fq_config_t *config, bool found_late)
{
  uint64_t old = fq_mesh_config_version (mesh);

  if (config->version <= old)
    {
      fq_mesh_log (mesh, false, "event=config-ignored version=%llu in_force=%llu",
                   (unsigned long long)config->version, (unsigned long long)old);
      return;
    }
  fq_config_unref (mesh->config);
  mesh->config = fq_config_ref (config);
  mesh->metrics.counters[FQ_METRIC_CONFIGS]++;
  fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_REQUEST_LIMITS)->limits = config->limits;
  fq_mesh_log (mesh, false,
               "event=config-in-force version=%llu previous=%llu hosts=%zu "
               "found_late=%d",
               (unsigned long long)config->version, (unsigned long long)old,
               config->host_count, found_late);
  if (found_late && old != 0)
    tell_version_to_all (mesh);
  else
    tell_version_to_next (mesh);
  fq_server_state_config_changed (mesh);
}
