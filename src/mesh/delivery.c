/**
 * DOC: Frames on their way: to other nodes as effects, and between this node's own entry
 * and gate directly.
 */
#include <stdlib.h>

#include "mesh/mesh_private.h"

/* A frame between our own entry and gate, which needs no connection. */
typedef struct
{
  fq_list_t link;
  bool to_gate;
  fq_frame_t frame;
} loopback_t;

static void
loop_back (fq_mesh_t *mesh, bool to_gate, fq_frame_t *frame)
{
  loopback_t *loopback = calloc (1, sizeof *loopback);

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
      loop_back (mesh, true, frame);
      return;
    }
  frame->room.config_version = fq_mesh_config_version (mesh);
  effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SEND_TO_GATE);
  effect->frame.node = node;
  effect->frame.frame = copy_frame (frame);
}

void
fq_mesh_send_to_entry (fq_mesh_t *mesh, fq_id_t asker, fq_frame_t *frame)
{
  fq_mesh_effect_t *effect;

  fq_gate_room (mesh, &frame->room);
  if (asker == FQ_ENTRY_CONNECTION_SELF)
    {
      loop_back (mesh, false, frame);
      return;
    }
  effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_SEND_TO_ENTRY);
  effect->frame.asker = asker;
  effect->frame.frame = copy_frame (frame);
}

void
fq_mesh_deliver_loopback (fq_mesh_t *mesh)
{
  fq_list_t *link;

  while ((link = fq_list_first (&mesh->loopback)) != NULL)
    {
      loopback_t *loopback = FQ_LIST_ENTRY (link, loopback_t, link);

      fq_list_remove (link);
      if (loopback->to_gate)
        fq_gate_frame (mesh, FQ_ENTRY_CONNECTION_SELF, &loopback->frame);
      else
        fq_peer_frame (mesh, mesh->self, &loopback->frame);
      fq_frame_clear (&loopback->frame);
      free (loopback);
    }
}
