/**
 * DOC: TCP connections between nodes: those that this node as entry opens to the gates of
 * other nodes, and those that the entries of other nodes open to its gate.
 */
#ifndef FQ_NODE_LINKS_H
#define FQ_NODE_LINKS_H

#include "io/stream.h"
#include "mesh/frame.h"

typedef struct fq_links fq_links_t;

/** struct fq_links_handlers_t - callbacks; frames are valid during the call only. */
typedef struct
{
  /* The connection to a gate was established. */
  void (*gate_up) (void *context, fq_node_address_t node);
  /* The connection to a gate was lost, or could not be established. */
  void (*gate_down) (void *context, fq_node_address_t node);
  /* The last retired connection to a gate ended. */
  void (*retired_down) (void *context, fq_node_address_t node);
  /* The connection of an entry was lost. There is no callback for a new connection:
   * entry_frame with a new id announces it. */
  void (*entry_down) (void *context, fq_id_t entry_connection);
  /* A gate sent a frame. */
  void (*gate_frame) (void *context, fq_node_address_t node, const fq_frame_t *frame);
  /* An entry sent a frame. */
  void (*entry_frame) (void *context,
                       fq_id_t entry_connection,
                       fq_node_address_t address,
                       const fq_frame_t *frame);
} fq_links_handlers_t;

/**
 * fq_links_open() - listen for connections of entries.
 * @address: to listen on; gates are reached at the same port of other nodes
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

/** fq_links_retire() - keep the connection to the gate of @node, if there is one, only
 * for the frames that come on it, until it ends; another one may be opened beside it. */
void fq_links_retire (fq_links_t *links, fq_node_address_t node);

/** fq_links_close_retired() - close the retired connections to the gate of @node; no
 * handler is called. */
void fq_links_close_retired (fq_links_t *links, fq_node_address_t node);

/** fq_links_send_to_gate() - send a frame; dropped without an established connection. */
void fq_links_send_to_gate (fq_links_t *links,
                            fq_node_address_t node,
                            const fq_frame_t *frame);

/** fq_links_send_to_entry() - send a frame; dropped if the connection was closed. */
void fq_links_send_to_entry (fq_links_t *links,
                             fq_id_t entry_connection,
                             const fq_frame_t *frame);

/** fq_links_close() - close the listener and all connections without calling handlers;
 * NULL-safe. */
void fq_links_close (fq_links_t *links);

#endif
