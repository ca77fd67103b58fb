/**
 * DOC: Connections between nodes: ours to gates, and those of other entries to us.
 */
#ifndef FQ_NODE_LINKS_H
#define FQ_NODE_LINKS_H

#include "io/stream.h"
#include "mesh/frame.h"

typedef struct fq_links fq_links_t;

/** struct fq_links_handlers_t - what the user is told; frames are the links' own. */
typedef struct
{
  void (*up) (void *context, fq_node_address_t node);
  void (*down) (void *context, fq_node_address_t node);
  void (*asker_down) (void *context, fq_id_t asker);
  void (*from_gate) (void *context, fq_node_address_t node, const fq_frame_t *frame);
  void (*from_asker) (void *context,
                      fq_id_t asker,
                      fq_node_address_t address,
                      const fq_frame_t *frame);
} fq_links_handlers_t;

/** fq_links_open() - listen on @address; gates are reached at the same port. */
int fq_links_open (fq_links_t **out,
                   fq_io_t *io,
                   const struct sockaddr_in *address,
                   const fq_links_handlers_t *handlers,
                   void *context);

/** fq_links_connect() - connect to the gate of @node; up or down follows later. */
void fq_links_connect (fq_links_t *links, fq_node_address_t node);

/** fq_links_disconnect() - end it; no handler is called. */
void fq_links_disconnect (fq_links_t *links, fq_node_address_t node);

/** fq_links_to_gate() - send; nothing happens when it is not connected. */
void
fq_links_to_gate (fq_links_t *links, fq_node_address_t node, const fq_frame_t *frame);

/** fq_links_to_asker() - send; nothing happens when it has left. */
void fq_links_to_asker (fq_links_t *links, fq_id_t asker, const fq_frame_t *frame);

/** fq_links_close() - end all; NULL-safe. */
void fq_links_close (fq_links_t *links);

#endif
