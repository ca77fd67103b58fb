/**
 * DOC: The state of a node's shell, shared by the files of this folder.
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
/* Requests without a body begin while no more than this share is held. */
#define FQ_NEW_REQUEST_MEMORY_PERCENT 50

/** FQ_REJECTED_STATUSES - with how many statuses incomplete requests are rejected. */
#define FQ_REJECTED_STATUSES 7

struct fq_node
{
  fq_io_t io;
  fq_node_settings_t settings;
  char settings_path[FQ_PATH_MAX_BYTES];
  struct timespec settings_mtime; /* modification time of the file, last checked */
  fq_mesh_t *mesh;
  fq_mesh_effects_t effects; /* empty array, kept for reuse */
  fq_list_t pending;         /* events that arose while @reducing */
  bool stopping;             /* the shutdown has begun */
  size_t expected_bytes;     /* of bodies, counted before they arrive */
  bool reducing;             /* an event is being reduced or its effects carried out */
  ev_timer timer;
  fq_time_t timer_at; /* when @timer is due */
  fq_http_server_t *requests;
  uint64_t rejected[FQ_REJECTED_STATUSES]; /* incomplete requests, by status */
  fq_http_server_t *readiness;
  fq_http_server_t *reports;
  fq_http_server_t *metrics; /* NULL: no port is set */
  fq_links_t *links;
  fq_server_calls_t *server;
  fq_store_watch_t *store;
  fq_node_address_t address;
};

/* node.c */

/** fq_node_dispatch() - reduce an event and carry out its effects; sets @event->now. */
void fq_node_dispatch (fq_node_t *node, fq_mesh_event_t *event);

/** fq_node_limit_action_name() - as in logs and metrics. */
const char *fq_node_limit_action_name (fq_limit_action_t action);

/** fq_node_settings_changed() - whether the settings file changed since the last call;
 * false if it can't be accessed. */
bool fq_node_settings_changed (fq_node_t *node);

/* node_http.c: the HTTP listeners. */
int fq_node_http_open (fq_node_t *node);
void fq_node_http_set_limits (fq_node_t *node, const fq_request_limits_t *limits);
void fq_node_http_reply (fq_node_t *node, const fq_mesh_effect_t *effect);

#endif
