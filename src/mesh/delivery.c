/**
 * DOC: Delivery of frames: to other nodes as effects, and between this node's own entry
 * and gate through a queue in memory. What a frame holds passes to the effect or queue.
 */
#include <stdlib.h>

#include "mesh/mesh_private.h"

/* A queued frame between this node's own entry and gate. */
typedef struct
{
  fq_list_t link;
  bool to_gate;
  fq_frame_t frame;
} loopback_frame_t;

static void
queue_loopback (fq_mesh_t *mesh, bool to_gate, fq_frame_t *frame)
{
  loopback_frame_t *loopback = calloc (1, sizeof *loopback);

  if (loopback == NULL)
    abort ();
  loopback->to_gate = to_gate;
  loopback->frame = *frame;
  fq_list_append (&mesh->loopback, &loopback->link);
}

static fq_frame_t *
copy_frame (const fq_frame_t *frame)
{
  fq_frame_t *copy = malloc (sizeof *copy);

  if (copy == NULL)
    abort ();
  *copy = *frame;
  return copy;
}

void
fq_mesh_send_to_gate (fq_mesh_t *mesh, fq_node_address_t node, fq_frame_t *frame)
{
  fq_mesh_effect_t *effect;

  if (node == mesh->address)
    {
      queue_loopback (mesh, true, frame);
      return;
    }
  frame->gate_load.config_version = fq_mesh_config_version (mesh);
  effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SEND_TO_GATE);
  effect->frame.node = node;
  effect->frame.frame = copy_frame (frame);
}

void
fq_mesh_send_to_entry (fq_mesh_t *mesh, fq_id_t entry_connection, fq_frame_t *frame)
{
  fq_mesh_effect_t *effect;

  fq_gate_load (mesh, &frame->gate_load);
  if (entry_connection == FQ_ENTRY_CONNECTION_SELF)
    {
      queue_loopback (mesh, false, frame);
      return;
    }
  effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SEND_TO_ENTRY);
  effect->frame.entry_connection = entry_connection;
  effect->frame.frame = copy_frame (frame);
}

void
fq_mesh_deliver_loopback (fq_mesh_t *mesh)
{
  fq_list_t *link;

  while ((link = fq_list_first (&mesh->loopback)) != NULL)
    {
      loopback_frame_t *loopback = FQ_LIST_ENTRY (link, loopback_frame_t, link);

      fq_list_remove (link);
      if (loopback->to_gate)
        fq_gate_handle_frame (mesh, FQ_ENTRY_CONNECTION_SELF, &loopback->frame);
      else
        fq_peer_handle_frame (mesh, mesh->self, &loopback->frame);
      fq_frame_clear (&loopback->frame);
      free (loopback);
    }
}
