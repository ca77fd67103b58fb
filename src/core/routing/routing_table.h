/**
 * DOC: The routing table: nodes by name, and for each service an array of the candidates,
 * that is the nodes that may be selected, so that a random one is found in constant time.
 */
#ifndef FQ_CORE_ROUTING_TABLE_H
#define FQ_CORE_ROUTING_TABLE_H

#include "core/routing/ejection.h"
#include "core/routing/routing.h"
#include "util/map.h"

#define FQ_ROUTING_NOT_CANDIDATE SIZE_MAX /* see candidate_index */

typedef struct fq_routing_service fq_routing_service_t;

/** struct fq_routing_node_t - a node: its membership entry and what was measured. */
typedef struct
{
  fq_node_entry_t entry;
  uint64_t name_hash;
  fq_routing_service_t *service; /* NULL: it serves none */
  size_t candidate_index;        /* in its service; FQ_ROUTING_NOT_CANDIDATE: none */
  bool connected;
  fq_time_t
      refusing_until;   /* its gate accepts no requests; see fq_routing_mark_refusing() */
  uint32_t outstanding; /* attempts of this node in progress there */
  uint32_t sent_since_load; /* attempts sent since @load was received */
  fq_load_t load;
  fq_time_t load_received; /* 0: no load was reported */
  double latency_us;       /* smoothed; 0: not measured */
  fq_ejection_t ejection;
} fq_routing_node_t;

/** struct fq_routing_service_t - a service, its candidates and their mean load. */
struct fq_routing_service
{
  char name[FQ_SERVICE_BYTES];
  size_t alive;                   /* nodes that are alive in the membership view */
  fq_routing_node_t **candidates; /* nodes that may be selected */
  size_t candidate_count;
  size_t candidate_capacity;
  fq_routing_node_t **ejected; /* nodes that would be candidates but are ejected */
  size_t ejected_count;
  size_t ejected_capacity;
  double mean_utilisation; /* smoothed over all reported loads */
  double max_capacity;     /* largest of one node, in requests per microsecond */
  double mean_latency_us;  /* smoothed over all answers; 0: not measured */
  fq_map_t shed_levels;    /* fq_routing_shed_level_t by member hash */
};

/** struct fq_routing_shed_level_t - the mean shed level reported to a member. */
typedef struct
{
  double shed_classes; /* see fq_shed_to_classes() */
  fq_time_t updated;   /* 0: no level was reported */
} fq_routing_shed_level_t;

/** struct fq_routing - the whole table, with the location of this node. */
struct fq_routing
{
  char node[FQ_NAME_BYTES];
  char failure_domain[FQ_NAME_BYTES];
  char region[FQ_NAME_BYTES];
  fq_random_t random;
  fq_map_t nodes;
  fq_map_t services;
};

/** fq_routing_find_service() - the service called @name; NULL: unknown. */
fq_routing_service_t *fq_routing_find_service (const fq_routing_t *routing,
                                               const char *name);

/** fq_routing_find_node() - the node called @name; NULL: unknown. */
fq_routing_node_t *fq_routing_find_node (const fq_routing_t *routing, const char *name);

/**
 * fq_routing_eject() - eject @node, unless less than half of the nodes of its service
 * that are candidates or ejected would be left. Return: whether it was ejected.
 */
bool fq_routing_eject (fq_routing_t *routing, fq_routing_node_t *node, fq_time_t now);

/**
 * fq_routing_reinstate_ejected() - make an ejected node a candidate again if its ejection
 * has ended.
 *
 * Looks at one random ejected node only, so that the cost of a choice is constant.
 */
void fq_routing_reinstate_ejected (fq_routing_t *routing,
                                   fq_routing_service_t *service,
                                   fq_time_t now);

#endif
