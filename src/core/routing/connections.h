/**
 * DOC: Connections: which nodes this node keeps a connection to.
 *
 * For each service that is used here, a few of its nodes are chosen by rendezvous
 * hashing with our own name, those of our region first, so that the choice is stable,
 * spreads evenly over the nodes of the service, and stays bounded. While few services
 * are known, all count as used; beyond that a service is used from the first request
 * for it until it has been idle for long.
 */
#ifndef FQ_CORE_CONNECTIONS_H
#define FQ_CORE_CONNECTIONS_H

#include "core/routing/routing.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_connections fq_connections_t;

#define FQ_CONNECTIONS_PER_SERVICE 8     /* nodes of one service that are connected */
#define FQ_CONNECTIONS_EAGER_SERVICES 32 /* with more services, only used ones */

/** fq_connections_new() - no nodes known; @routing hears which can be used. */
int fq_connections_new (fq_connections_t **out,
                        const char *node,
                        const char *region,
                        fq_routing_t *routing);

/** fq_connections_free() - NULL-safe. */
void fq_connections_free (fq_connections_t *connections);

/** fq_connections_update() - the entry of a node changed. */
void fq_connections_update (fq_connections_t *connections,
                            fq_time_t now,
                            const fq_node_entry_t *entry,
                            fq_effects_t *effects);

/** fq_connections_mark_used() - a request for @service is at hand. */
void fq_connections_mark_used (fq_connections_t *connections,
                               fq_time_t now,
                               const char *service,
                               fq_effects_t *effects);

/** fq_connections_set_connected() - the connection to @node is ready, or ended. */
void fq_connections_set_connected (fq_connections_t *connections,
                                   fq_time_t now,
                                   const char *node,
                                   bool up);

/** fq_connections_tick() - close what is no longer wanted. */
void
fq_connections_tick (fq_connections_t *connections, fq_time_t now, fq_effects_t *effects);

/** fq_connections_count() - nodes that a connection is kept to. */
size_t fq_connections_count (const fq_connections_t *connections);

#endif
