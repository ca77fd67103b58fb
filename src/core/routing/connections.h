/**
 * DOC: Connection pool: which other nodes this node keeps a connection to.
 *
 * For each active service, up to FQ_CONNECTIONS_PER_SERVICE of its nodes are selected by
 * rendezvous hashing with the name of this node, those of its region first. So the
 * selection is stable and bounded, and the connections of all nodes spread evenly over
 * the nodes of a service. The first FQ_CONNECTIONS_EAGER_SERVICES_MAX services are active
 * as soon as they are known; with more services, one is active from the first request
 * for it until it has had no request for ten minutes.
 */
#ifndef FQ_CORE_CONNECTIONS_H
#define FQ_CORE_CONNECTIONS_H

#include "core/routing/routing.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_connections fq_connections_t;

#define FQ_CONNECTIONS_PER_SERVICE 8 /* selected nodes of one service */

/* With more services known, only those in use are active. */
#define FQ_CONNECTIONS_EAGER_SERVICES_MAX 32

/**
 * fq_connections_new() - create a pool without nodes.
 * @node: name of this node
 * @region: its region
 * @routing: is notified which nodes are connected; must outlive the pool
 *
 * Return: 0 and *@out, to be freed with fq_connections_free(), or FQ_ERROR_NOMEM.
 */
int fq_connections_new (fq_connections_t **out,
                        const char *node,
                        const char *region,
                        fq_routing_t *routing);

/** fq_connections_free() - NULL-safe. */
void fq_connections_free (fq_connections_t *connections);

/**
 * fq_connections_update() - the membership entry of a node changed; ignores this node's
 * own.
 * @effects: receives the connections to open and to close
 */
void fq_connections_update (fq_connections_t *connections,
                            fq_time_t now,
                            const fq_node_entry_t *entry,
                            fq_effects_t *effects);

/**
 * fq_connections_mark_used() - a request for @service arrived; activates the service.
 *
 * No effect for an unknown service.
 */
void fq_connections_mark_used (fq_connections_t *connections,
                               fq_time_t now,
                               const char *service,
                               fq_effects_t *effects);

/** fq_connections_set_connected() - the connection to @node was established or has ended.
 */
void fq_connections_set_connected (fq_connections_t *connections,
                                   fq_time_t now,
                                   const char *node,
                                   bool up);

/**
 * fq_connections_tick() - deactivate idle services, and close connections that have not
 * been wanted for two minutes.
 *
 * Acts at most once a second.
 */
void
fq_connections_tick (fq_connections_t *connections, fq_time_t now, fq_effects_t *effects);

/** fq_connections_count() - nodes to which a connection is open or requested. */
size_t fq_connections_count (const fq_connections_t *connections);

#endif
