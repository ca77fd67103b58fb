/**
 * DOC: The configuration in force: which requests go to which service, and under what
 * limits.
 *
 * A configuration is immutable once built, except for the credits by which a split
 * keeps its proportions. It is shared by counting references.
 */
#ifndef FQ_MESH_CONFIG_H
#define FQ_MESH_CONFIG_H

#include "filbertquay/types.h"

#define FQ_HOST_BYTES 256 /* a host name, with its NUL */

/** struct fq_route_target_t - one service of a route. */
typedef struct
{
  char service[FQ_NAME_BYTES];
  double weight;
  double credit; /* of smooth weighted round robin */
} fq_route_target_t;

/** struct fq_route_t - requests whose path begins with @prefix. */
typedef struct
{
  char name[FQ_NAME_BYTES];
  uint64_t id; /* hash of host and prefix; never 0 */
  char *prefix;
  bool idempotent;               /* may run more than once */
  uint32_t timeout_ms;           /* a request is answered by then */
  uint32_t latency_objective_ms; /* an answer by then is worth most */
  uint32_t servers_max;          /* servers that one request may be sent to */
  uint32_t priority;             /* 0 is the highest */
  fq_route_target_t *targets;
  size_t target_count;
} fq_route_t;

/** struct fq_virtual_host_t - the routes of one host, the longest prefix first. */
typedef struct
{
  char host[FQ_HOST_BYTES];
  fq_route_t *routes;
  size_t route_count;
} fq_virtual_host_t;

/** struct fq_service_t - a service that routes may name. */
typedef struct
{
  char name[FQ_NAME_BYTES];
  char *probe_path;
  uint32_t connections_max; /* that one server takes from all callers */
} fq_service_t;

/** struct fq_request_limits_t - what a client may send, and how slowly. */
typedef struct
{
  size_t head_bytes;
  size_t body_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} fq_request_limits_t;

/** struct fq_config_t - one version, whole. */
typedef struct
{
  uint32_t references;
  uint64_t version;
  fq_request_limits_t limits;
  fq_service_t *services;
  size_t service_count;
  fq_virtual_host_t *hosts;
  size_t host_count;
  uint8_t *document; /* as it was read, to be handed to other nodes */
  size_t document_size;
} fq_config_t;

/** fq_config_new() - an empty configuration; ends the process without memory. */
fq_config_t *fq_config_new (void);

/** fq_config_ref() - one more reference; NULL stays NULL. */
fq_config_t *fq_config_ref (fq_config_t *config);

/** fq_config_unref() - one reference less; frees at zero; NULL-safe. */
void fq_config_unref (fq_config_t *config);

/** fq_config_finalize() - sort the routes and give them their ids, once all are there. */
void fq_config_finalize (fq_config_t *config);

/** fq_config_find_service() - the service called @name, or NULL. */
const fq_service_t *fq_config_find_service (const fq_config_t *config, const char *name);

/**
 * fq_config_find_route() - the route of a request, or NULL.
 * @host: as the Host field has it; a port is ignored
 * @target: the request target; a query is ignored
 */
fq_route_t *
fq_config_find_route (const fq_config_t *config, const char *host, const char *target);

/** fq_route_next_target() - the service for the next request, by the weights. */
const char *fq_route_next_target (fq_route_t *route);

#endif
