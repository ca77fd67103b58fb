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
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

/* Time that the store has to deliver a newer configuration before it is requested
 * from another node, and the interval at which that request is repeated. */
#define FQ_CONFIG_REQUEST_DELAY_US (300 * FQ_MICROSECONDS_PER_MS)

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

/* Every frame states the version in force. */
static void
tell_version (fq_mesh_t *mesh, const fq_peer_t *peer)
{
  fq_frame_t frame = { .kind = FQ_FRAME_PING };

  fq_mesh_send_to_gate (mesh, peer->address, &frame);
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
