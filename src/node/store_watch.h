/**
 * DOC: The node's client of the platform's store: watches the configuration through the
 * store's change feed, and registers the node in the node directory and reads it.
 *
 * Failed reads and the failed registration are retried.
 */
#ifndef FQ_NODE_STORE_WATCH_H
#define FQ_NODE_STORE_WATCH_H

#include "io/stream.h"
#include "mesh/mesh.h"

typedef struct fq_store_watch fq_store_watch_t;

/** struct fq_store_watch_handlers_t - callbacks; arguments are valid during the call
 * only; nodes is called for each page of the directory. */
typedef struct
{
  /* @found_late: the store failed to deliver it when it was written */
  void (*config) (void *context, fq_config_t *config, bool found_late);
  void (*nodes) (void *context, const fq_node_address_t *addresses, size_t count);
  fq_fleet_position_t (*position) (void *context); /* among the nodes that read */
} fq_store_watch_handlers_t;

/**
 * fq_store_watch_open() - connect to the store and start to watch the configuration.
 * @store_address: "ip:port"; copied
 * @self: address of this node
 * @handlers: has to outlive the result
 *
 * Return: 0, FQ_ERROR_NOMEM or FQ_ERROR_INVALID; close @out with fq_store_watch_close().
 */
int fq_store_watch_open (fq_store_watch_t **out,
                         fq_io_t *io,
                         const char *store_address,
                         fq_node_address_t self,
                         const fq_store_watch_handlers_t *handlers,
                         void *context);

/** fq_store_watch_discover_nodes() - read the directory, after registering this node in
 * it if that has not been done; does nothing while a read is in progress. */
void fq_store_watch_discover_nodes (fq_store_watch_t *watch);

/** fq_store_watch_expect_change() - another node has a change of the configuration that
 * the store has not delivered: the read that waits for it is repeated soon. */
void fq_store_watch_expect_change (fq_store_watch_t *watch);

/** fq_store_watch_remove_node() - remove an unreachable node from the directory; a
 * failure is logged and not retried. */
void fq_store_watch_remove_node (fq_store_watch_t *watch, fq_node_address_t node);

/** fq_store_watch_close() - abort all calls and free @watch; NULL-safe. */
void fq_store_watch_close (fq_store_watch_t *watch);

/** fq_node_address_format() - write "10.1.0.8" to @out, of FQ_ADDRESS_BYTES; empty on
 * failure. */
void fq_node_address_format (char *out, fq_node_address_t address);

#endif
