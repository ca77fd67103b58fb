/**
 * DOC: The operators' configuration: routes from host and path to services, and the
 * limits on requests.
 *
 * A configuration is immutable after fq_config_finalize(), except for the current weights
 * of the targets of a route. It is shared by reference counting, within one thread.
 */
#ifndef FQ_MESH_CONFIG_H
#define FQ_MESH_CONFIG_H

#include "filbertquay/types.h"
#include "util/text.h"

/** FQ_PRIORITY_LEVELS - priorities that are told apart. */
#define FQ_PRIORITY_LEVELS 8

/** struct fq_route_target_t - a service that a route sends requests to. */
typedef struct
{
  fq_text_t *service;
  double weight; /* share of the requests, relative to the other targets */
  double credit; /* current weight of the smooth weighted round robin */
} fq_route_target_t;

/** struct fq_route_t - how requests whose path begins with @prefix are handled. */
typedef struct
{
  fq_text_t *name; /* for the log; may be empty */
  uint64_t id;     /* hash of host and prefix; not 0 */
  char *prefix;
  bool idempotent;               /* requests may be executed more than once */
  uint32_t timeout_ms;           /* from arrival to answer; 0: the client's, else 30 s */
  uint32_t latency_objective_ms; /* answer time that operators aim for; 0: none */
  uint32_t servers_max;          /* servers that one request is sent to at most */
  uint32_t priority;             /* 0 is the highest */
  uint32_t level; /* its priority, below FQ_PRIORITY_LEVELS; see fq_config_finalize() */
  fq_route_target_t *targets;
  size_t target_count;
} fq_route_t;

/** struct fq_virtual_host_t - the routes of one host, longest prefix first. */
typedef struct
{
  char *host; /* with or without a port; owned */
  fq_route_t *routes;
  size_t route_count;
} fq_virtual_host_t;

/** struct fq_service_t - a service that routes can refer to. */
typedef struct
{
  fq_text_t *name;
  fq_text_t *probe_path;    /* request target of the health check */
  uint32_t connections_max; /* that one server accepts from all callers together */
} fq_service_t;

/** struct fq_request_limits_t - limits on the size and duration of client requests. */
typedef struct
{
  size_t head_bytes; /* head: request line and header fields */
  size_t body_bytes;
  uint32_t head_timeout_ms; /* from the first to the last byte of the head */
  uint32_t idle_timeout_ms; /* between two requests, and between two reads of a body */
} fq_request_limits_t;

/** struct fq_config_t - one complete version of the configuration. */
typedef struct
{
  uint32_t references;
  uint64_t version;
  fq_request_limits_t limits;
  fq_service_t *services;
  size_t service_count;
  fq_virtual_host_t *hosts;
  size_t host_count;
  uint8_t *document; /* the encoded document, sent to other nodes as it is; owned */
  size_t document_size;
} fq_config_t;

/** fq_config_new() - an empty configuration, one reference; aborts if out of memory. */
fq_config_t *fq_config_new (void);

/** fq_config_ref() - take a reference; returns @config, which may be NULL. */
fq_config_t *fq_config_ref (fq_config_t *config);

/** fq_config_unref() - drop a reference; the last one frees @config; NULL-safe. */
void fq_config_unref (fq_config_t *config);

/**
 * fq_config_finalize() - sort the routes, and assign their ids and levels, once all are
 * added.
 *
 * The level of a route is its priority. Where some priority is not below
 * FQ_PRIORITY_LEVELS, it is the number of different priorities above it, and the lowest
 * ones share the last level.
 */
void fq_config_finalize (fq_config_t *config);

/** fq_config_find_service() - the service named @name, owned by @config; NULL if unknown.
 */
const fq_service_t *fq_config_find_service (const fq_config_t *config,
                                            const fq_text_t *name);

/**
 * fq_config_find_route() - the route with the longest prefix that matches a request.
 * @host: value of the Host field, compared without case; its port only matters to a host
 * that is configured with one
 * @target: request target; query and fragment are ignored
 *
 * Return: the route, owned by @config; NULL: no route matches.
 */
fq_route_t *
fq_config_find_route (const fq_config_t *config, const char *host, const char *target);

/** fq_route_next_target() - the service for the next request, by smooth weighted round
 * robin; owned by @route, which needs at least one target. */
fq_text_t *fq_route_next_target (fq_route_t *route);

#endif
