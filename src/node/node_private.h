/**
 * DOC: The state of a node as a process, shared by its parts.
 */
#ifndef FQ_NODE_NODE_PRIVATE_H
#define FQ_NODE_NODE_PRIVATE_H

#include <time.h>

#include "http/server.h"
#include "mesh/mesh.h"
#include "node/links.h"
#include "node/node.h"
#include "node/server_calls.h"
#include "node/store_watch.h"

#define FQ_PATH_MAX_BYTES 1024
#define FQ_BYTES_PER_MB (1024u * 1024u)

struct fq_node
{
  fq_io_t io;
  fq_node_settings_t settings;
  char path[FQ_PATH_MAX_BYTES];
  struct timespec changed; /* when the settings file was last changed */
  fq_mesh_t *mesh;
  fq_mesh_effects_t effects;
  fq_list_t pending;
  bool busy;
  ev_timer timer;
  fq_time_t timer_at;
  fq_http_server_t *requests;
  fq_http_server_t *readiness;
  fq_http_server_t *reports;
  fq_http_server_t *metrics;
  fq_links_t *links;
  fq_server_calls_t *server;
  fq_store_watch_t *store;
  fq_node_address_t address;
};

/* node.c */
void fq_node_feed (fq_node_t *node, fq_mesh_event_t *event);
bool fq_node_file_changed (fq_node_t *node);

/* node_http.c: the listeners for HTTP. */
int fq_node_http_open (fq_node_t *node);
void fq_node_http_set_limits (fq_node_t *node, const fq_request_limits_t *limits);
void fq_node_http_reply (fq_node_t *node, const fq_mesh_effect_t *effect);

#endif
