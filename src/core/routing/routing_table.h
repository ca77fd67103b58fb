/**
 * DOC: The table behind routing: nodes by name, and the nodes of a service that may be
 * chosen as an array, so that a random one is drawn in constant time.
 */
#ifndef FQ_CORE_ROUTING_TABLE_H
#define FQ_CORE_ROUTING_TABLE_H

#include "core/routing/ejection.h"
#include "core/routing/routing.h"
#include "util/map.h"

#define FQ_NOT_READY SIZE_MAX

typedef struct fq_routing_service fq_routing_service_t;

/** struct fq_routing_node_t - what we know and saw of a node. */
typedef struct
{
  fq_node_entry_t entry;
  uint64_t name_hash;
  fq_routing_service_t *service; /* NULL: it serves none */
  size_t ready_index;            /* in its service's nodes; FQ_NOT_READY: not there */
  bool connected;
  fq_time_t closed_until;   /* its gate said that it takes no new work */
  uint32_t outstanding;     /* our attempts that run there */
  uint32_t sent_since_load; /* of them, those that its load can't know */
  fq_load_t load;
  fq_time_t load_at; /* 0: it told none */
  double latency_us; /* smoothed; 0: not measured */
  fq_ejection_t ejection;
} fq_routing_node_t;

/** struct fq_routing_service_t - the nodes of a service, and what they tell. */
struct fq_routing_service
{
  char name[FQ_SERVICE_BYTES];
  size_t alive;              /* nodes that membership calls alive, chosen or not */
  fq_routing_node_t **ready; /* those that may be chosen */
  size_t ready_count;
  size_t ready_capacity;
  fq_routing_node_t **ejected;
  size_t ejected_count;
  size_t ejected_capacity;
  double usual_busy;       /* smoothed over all loads told */
  double most_capacity;    /* of one node, in requests per microsecond */
  double usual_latency_us; /* smoothed over all answers */
  fq_map_t levels;         /* fq_routing_level_t by member */
};

/** struct fq_routing_level_t - the mean shed level that a member was told. */
typedef struct
{
  double shed_classes; /* see fq_shed_classes() */
  fq_time_t at;        /* 0: nothing was told yet */
} fq_routing_level_t;

/** struct fq_routing - all of it. */
struct fq_routing
{
  char node[FQ_NAME_BYTES];
  char failure_domain[FQ_NAME_BYTES];
  char region[FQ_NAME_BYTES];
  fq_random_t random;
  fq_map_t nodes;
  fq_map_t services;
};

/** fq_routing_find_service() - or NULL. */
fq_routing_service_t *fq_routing_find_service (const fq_routing_t *routing,
                                               const char *name);

/** fq_routing_find_node() - or NULL. */
fq_routing_node_t *fq_routing_find_node (const fq_routing_t *routing, const char *name);

/** fq_routing_eject() - unless less than half of the service's nodes would be left. */
bool fq_routing_eject (fq_routing_t *routing, fq_routing_node_t *node, fq_time_t now);

/**
 * fq_routing_return_ejected() - take back an ejected node whose time is over.
 *
 * Looks at one only, so that the cost of a choice stays the same.
 */
void fq_routing_return_ejected (fq_routing_t *routing,
                                fq_routing_service_t *service,
                                fq_time_t now);

#endif
