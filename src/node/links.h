/**
 * DOC: TCP connections between nodes: outbound ones, on which this node as entry talks to
 * gates, and inbound ones, on which other entries talk to the gate of this node.
 */
#ifndef FQ_NODE_LINKS_H
#define FQ_NODE_LINKS_H

#include "io/stream.h"
#include "mesh/frame.h"

typedef struct fq_links fq_links_t;

/** struct fq_links_handlers_t - callbacks; frames are valid during the call only. */
typedef struct
{
  /* An outbound connection was established. */
  void (*gate_up) (void *context, fq_node_address_t node);
  /* An outbound connection was lost, or could not be established. */
  void (*gate_down) (void *context, fq_node_address_t node);
  /* An inbound connection was lost; its first frame is the sign of its beginning. */
  void (*inbound_down) (void *context, fq_id_t inbound_id);
  /* A frame was received on an outbound connection. */
  void (*gate_frame) (void *context, fq_node_address_t node, const fq_frame_t *frame);
  /* A frame was received on an inbound connection. */
  void (*inbound_frame) (void *context,
                         fq_id_t inbound_id,
                         fq_node_address_t address,
                         const fq_frame_t *frame);
} fq_links_handlers_t;

/**
 * fq_links_open() - listen for inbound connections.
 * @address: to listen on; outbound connections go to the same port of other nodes
 * @handlers: has to outlive the result
 *
 * Return: 0, FQ_ERROR_NOMEM or FQ_ERROR_IO; close @out with fq_links_close().
 */
int fq_links_open (fq_links_t **out,
                   fq_io_t *io,
                   const struct sockaddr_in *address,
                   const fq_links_handlers_t *handlers,
                   void *context);

/** fq_links_connect() - connect to the gate of @node, to which there is no connection;
 * the result arrives by gate_up or gate_down, which may be called from within. */
void fq_links_connect (fq_links_t *links, fq_node_address_t node);

/** fq_links_disconnect() - close the connection to the gate of @node, if there is one; no
 * handler is called. */
void fq_links_disconnect (fq_links_t *links, fq_node_address_t node);

/** fq_links_send_to_gate() - send a frame; dropped without an established connection. */
void fq_links_send_to_gate (fq_links_t *links,
                            fq_node_address_t node,
                            const fq_frame_t *frame);

/** fq_links_send_to_inbound() - send a frame; dropped if the connection was closed. */
void
fq_links_send_to_inbound (fq_links_t *links, fq_id_t inbound_id, const fq_frame_t *frame);

/** fq_links_close() - close the listener and all connections without calling handlers;
 * NULL-safe. */
void fq_links_close (fq_links_t *links);

#endif
