/**
 * DOC: What a node reads from the platform's store and writes to it: the configuration,
 * followed by a feed, and the directory of nodes.
 */
#ifndef FQ_NODE_STORE_WATCH_H
#define FQ_NODE_STORE_WATCH_H

#include "io/stream.h"
#include "mesh/mesh.h"

typedef struct fq_store_watch fq_store_watch_t;

/** struct fq_store_watch_handlers_t - what the user is told. */
typedef struct
{
  void (*config) (void *context, fq_config_t *config);
  void (*nodes) (void *context, const fq_node_address_t *addresses, size_t count);
} fq_store_watch_handlers_t;

/** fq_store_watch_open() - begin to follow the configuration. */
int fq_store_watch_open (fq_store_watch_t **out,
                         fq_io_t *io,
                         const char *store_address,
                         fq_node_address_t self,
                         const fq_store_watch_handlers_t *handlers,
                         void *context);

/** fq_store_watch_find_nodes() - enter this node in the directory, and read it. */
void fq_store_watch_find_nodes (fq_store_watch_t *watch);

/** fq_store_watch_forget_node() - take a node that is gone out of the directory. */
void fq_store_watch_forget_node (fq_store_watch_t *watch, fq_node_address_t node);

/** fq_store_watch_close() - NULL-safe. */
void fq_store_watch_close (fq_store_watch_t *watch);

/** fq_node_address_text() - "10.1.0.8"; @out has FQ_ADDRESS_BYTES. */
void fq_node_address_text (char *out, fq_node_address_t address);

#endif
