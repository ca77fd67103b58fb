/**
 * DOC: A node as a process: sockets and timers around the reducer.
 */
#ifndef FQ_NODE_NODE_H
#define FQ_NODE_NODE_H

#include <ev.h>

#include "node/settings.h"

typedef struct fq_node fq_node_t;

/**
 * fq_node_open() - begin to listen and to find the others.
 * @path: of the settings file, which is read again when it changes
 */
int fq_node_open (fq_node_t **out,
                  struct ev_loop *loop,
                  const fq_node_settings_t *settings,
                  const char *path);

/** fq_node_stop() - begin a graceful shutdown; the loop is left when it is complete. */
void fq_node_stop (fq_node_t *node);

/** fq_node_reload() - read the settings again. */
void fq_node_reload (fq_node_t *node);

/** fq_node_close() - NULL-safe. */
void fq_node_close (fq_node_t *node);

#endif
