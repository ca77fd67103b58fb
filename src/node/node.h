/**
 * DOC: The shell of a node: sockets, timers and settings around the reducer of src/mesh.
 */
#ifndef FQ_NODE_NODE_H
#define FQ_NODE_NODE_H

#include <ev.h>

#include "node/settings.h"

typedef struct fq_node fq_node_t;

/**
 * fq_node_open() - open the listeners and start to discover other nodes.
 * @settings: copied
 * @settings_path: settings file, for fq_node_reload(); copied
 *
 * The file is also reloaded when a server reports and the file has changed.
 *
 * Return: 0 or a negative error code; close @out with fq_node_close().
 */
int fq_node_open (fq_node_t **out,
                  struct ev_loop *loop,
                  const fq_node_settings_t *settings,
                  const char *settings_path);

/** fq_node_begin_shutdown() - begin a graceful shutdown; breaks the event loop when
 * complete. */
void fq_node_begin_shutdown (fq_node_t *node);

/** fq_node_reload() - read the settings file again and apply its seeds; an invalid file
 * is logged and ignored. */
void fq_node_reload (fq_node_t *node);

/** fq_node_close() - close all sockets and free the node; NULL-safe. */
void fq_node_close (fq_node_t *node);

#endif
