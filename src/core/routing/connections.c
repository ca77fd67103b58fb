#include "core/routing/connections.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/list.h"
#include "util/map.h"
#include "util/text.h"

/* Time without a request after which a service is deactivated. */
#define FQ_CONNECTIONS_IDLE_US (600LL * FQ_MICROSECONDS_PER_SECOND)

/* Time that a connection stays open after it is no longer wanted, for the requests that
 * still run on it. */
#define FQ_CONNECTIONS_LINGER_US (120LL * FQ_MICROSECONDS_PER_SECOND)

#define FQ_CONNECTIONS_TICK_US FQ_MICROSECONDS_PER_SECOND

typedef struct fq_connections_service fq_connections_service_t;

/* Another node, whether it serves a service or not. */
typedef struct
{
  fq_list_t link;                    /* in the nodes of its service */
  fq_list_t open_link;               /* in the list of nodes with a connection */
  fq_connections_service_t *service; /* NULL: it serves none */
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES];
  uint64_t hash;
  uint64_t weight; /* of rendezvous hashing; the largest are selected */
  fq_time_t unwanted_since;
  bool same_region; /* as this node */
  bool usable;      /* alive or suspect */
  bool wanted;      /* selected for its service */
  bool up;          /* the connection is established */
} fq_connections_node_t;

struct fq_connections_service
{
  fq_list_t nodes;
  fq_time_t last_used; /* time of the last request for it */
  bool active;         /* nodes of it are selected */
};

struct fq_connections
{
  char region[FQ_NAME_BYTES];
  uint64_t own_hash;
  fq_routing_t *routing;
  fq_map_t nodes;
  fq_map_t services;
  fq_list_t open_nodes;
  size_t open_count;
  fq_time_t next_tick;
};

int
fq_connections_new (fq_connections_t **out,
                    const char *node,
                    const char *region,
                    fq_routing_t *routing)
{
  fq_connections_t *connections = calloc (1, sizeof *connections);

  if (connections == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM,
                         "no memory for connections");
  connections->own_hash = fq_map_hash (node);
  fq_text_copy (connections->region, sizeof connections->region, region);
  connections->routing = routing;
  fq_list_init (&connections->open_nodes);
  *out = connections;
  return FQ_OK;
}

void
fq_connections_free (fq_connections_t *connections)
{
  size_t cursor = 0;
  void *value;

  if (connections == NULL)
    return;
  while ((value = fq_map_next (&connections->nodes, &cursor)) != NULL)
    free (value);
  cursor = 0;
  while ((value = fq_map_next (&connections->services, &cursor)) != NULL)
    free (value);
  fq_map_clear (&connections->nodes);
  fq_map_clear (&connections->services);
  free (connections);
}

size_t
fq_connections_count (const fq_connections_t *connections)
{
  return connections->open_count;
}

static uint64_t
combine_hashes (uint64_t left, uint64_t right)
{
  fq_random_t random = { .state = left ^ (right * 0x9e3779b97f4a7c15u) };

  return fq_random_next (&random);
}

static bool
ranks_before (const fq_connections_node_t *left, const fq_connections_node_t *right)
{
  if (left->same_region != right->same_region)
    return left->same_region;
  return left->weight > right->weight;
}

/* Writes the best usable nodes of @service to @selected; returns their number. */
static size_t
select_nodes (const fq_connections_service_t *service, fq_connections_node_t **selected)
{
  size_t count = 0;

  FQ_LIST_FOREACH (link, &service->nodes)
  {
    fq_connections_node_t *node = FQ_LIST_ENTRY (link, fq_connections_node_t, link);
    size_t at = count;

    if (!node->usable)
      continue;
    while (at > 0 && ranks_before (node, selected[at - 1]))
      at--;
    if (at == FQ_CONNECTIONS_PER_SERVICE)
      continue;
    if (count < FQ_CONNECTIONS_PER_SERVICE)
      count++;
    for (size_t i = count - 1; i > at; i--)
      selected[i] = selected[i - 1];
    selected[at] = node;
  }
  return count;
}

static void
mark_wanted (fq_connections_t *connections,
             fq_connections_node_t *node,
             fq_time_t now,
             fq_effects_t *effects)
{
  fq_effect_t *effect;

  if (node->wanted)
    return;
  node->wanted = true;
  if (node->up)
    fq_routing_set_connected (connections->routing, now, node->node, true);
  if (!fq_list_is_empty (&node->open_link))
    return;
  fq_list_append (&connections->open_nodes, &node->open_link);
  connections->open_count++;
  effect = fq_effects_add (effects, FQ_EFFECT_PEER_CONNECT);
  memcpy (effect->peer_connect.node, node->node, FQ_NAME_BYTES);
  memcpy (effect->peer_connect.address, node->address, FQ_ADDRESS_BYTES);
}

/* Stops new attempts to @node; those in progress may still end. */
static void
mark_unwanted (fq_connections_t *connections, fq_connections_node_t *node, fq_time_t now)
{
  if (!node->wanted)
    return;
  node->wanted = false;
  node->unwanted_since = now;
  fq_routing_set_connected (connections->routing, now, node->node, false);
}

static void
close_connection (fq_connections_t *connections,
                  fq_connections_node_t *node,
                  bool left,
                  fq_effects_t *effects)
{
  fq_effect_t *effect;

  if (fq_list_is_empty (&node->open_link))
    return;
  fq_list_remove (&node->open_link);
  connections->open_count--;
  effect = fq_effects_add (effects, FQ_EFFECT_PEER_CLOSE);
  effect->peer_connect.left = left;
  memcpy (effect->peer_connect.node, node->node, FQ_NAME_BYTES);
}

static bool
contains (const fq_connections_node_t *node,
          fq_connections_node_t *const *selected,
          size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (selected[i] == node)
        return true;
    }
  return false;
}

static void
reselect (fq_connections_t *connections,
          fq_connections_service_t *service,
          fq_time_t now,
          fq_effects_t *effects)
{
  fq_connections_node_t *selected[FQ_CONNECTIONS_PER_SERVICE];
  size_t count = service->active ? select_nodes (service, selected) : 0;

  FQ_LIST_FOREACH (link, &service->nodes)
  {
    fq_connections_node_t *node = FQ_LIST_ENTRY (link, fq_connections_node_t, link);

    if (contains (node, selected, count))
      mark_wanted (connections, node, now, effects);
    else
      mark_unwanted (connections, node, now);
  }
}

static fq_connections_service_t *
get_or_add_service (fq_connections_t *connections, const char *name, fq_time_t now)
{
  fq_connections_service_t *service
      = fq_map_get (&connections->services, fq_map_hash (name));

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  fq_list_init (&service->nodes);
  service->last_used = now;
  service->active = connections->services.count < FQ_CONNECTIONS_EAGER_SERVICES_MAX;
  if (fq_map_set (&connections->services, fq_map_hash (name), service) < 0)
    {
      free (service);
      return NULL;
    }
  return service;
}

static fq_connections_node_t *
add_node (fq_connections_t *connections, const fq_node_entry_t *entry)
{
  fq_connections_node_t *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  fq_list_init (&node->link);
  fq_list_init (&node->open_link);
  node->hash = fq_map_hash (entry->node);
  node->weight = combine_hashes (connections->own_hash, node->hash);
  fq_text_copy (node->node, sizeof node->node, entry->node);
  if (fq_map_set (&connections->nodes, node->hash, node) < 0)
    {
      free (node);
      return NULL;
    }
  return node;
}

static void
remove_node (fq_connections_t *connections, fq_connections_node_t *node)
{
  fq_list_remove (&node->link);
  fq_map_remove (&connections->nodes, node->hash);
  free (node);
}

static void
set_service (fq_connections_t *connections,
             fq_connections_node_t *node,
             const char *name,
             fq_time_t now,
             fq_effects_t *effects)
{
  fq_connections_service_t *service
      = name[0] == '\0' ? NULL : get_or_add_service (connections, name, now);

  if (service == node->service)
    return;
  fq_list_remove (&node->link);
  mark_unwanted (connections, node, now);
  if (node->service != NULL)
    reselect (connections, node->service, now, effects);
  node->service = service;
  if (service != NULL)
    fq_list_append (&service->nodes, &node->link);
}

void
fq_connections_update (fq_connections_t *connections,
                       fq_time_t now,
                       const fq_node_entry_t *entry,
                       fq_effects_t *effects)
{
  uint64_t hash = fq_map_hash (entry->node);
  fq_connections_node_t *node = fq_map_get (&connections->nodes, hash);
  bool dead_or_left = entry->state == FQ_NODE_DEAD || entry->state == FQ_NODE_LEFT;

  if (hash == connections->own_hash || (node == NULL && dead_or_left))
    return;
  if (node == NULL)
    node = add_node (connections, entry);
  if (node == NULL)
    return;
  node->same_region = strcmp (entry->region, connections->region) == 0;
  /* A suspect node keeps its connection: whether it accepts requests is decided by its
   * gate, not by gossip. */
  node->usable = entry->state == FQ_NODE_ALIVE || entry->state == FQ_NODE_SUSPECT;
  if (dead_or_left || strcmp (node->address, entry->address) != 0)
    {
      mark_unwanted (connections, node, now);
      close_connection (connections, node, entry->state == FQ_NODE_LEFT, effects);
    }
  fq_text_copy (node->address, sizeof node->address, entry->address);
  set_service (connections, node, entry->service, now, effects);
  if (node->service != NULL)
    reselect (connections, node->service, now, effects);
  if (dead_or_left)
    remove_node (connections, node);
}

void
fq_connections_mark_used (fq_connections_t *connections,
                          fq_time_t now,
                          const char *name,
                          fq_effects_t *effects)
{
  fq_connections_service_t *service
      = fq_map_get (&connections->services, fq_map_hash (name));

  if (service == NULL)
    return;
  service->last_used = now;
  if (service->active)
    return;
  service->active = true;
  reselect (connections, service, now, effects);
}

void
fq_connections_set_connected (fq_connections_t *connections,
                              fq_time_t now,
                              const char *name,
                              bool up)
{
  fq_connections_node_t *node = fq_map_get (&connections->nodes, fq_map_hash (name));

  if (node != NULL)
    node->up = up;
  fq_routing_set_connected (connections->routing, now, name,
                            up && node != NULL && node->wanted);
}

static void
deactivate_idle_services (fq_connections_t *connections,
                          fq_time_t now,
                          fq_effects_t *effects)
{
  size_t cursor = 0;
  fq_connections_service_t *service;

  if (connections->services.count <= FQ_CONNECTIONS_EAGER_SERVICES_MAX)
    return;
  while ((service = fq_map_next (&connections->services, &cursor)) != NULL)
    {
      if (!service->active || now - service->last_used < FQ_CONNECTIONS_IDLE_US)
        continue;
      service->active = false;
      reselect (connections, service, now, effects);
    }
}

void
fq_connections_tick (fq_connections_t *connections, fq_time_t now, fq_effects_t *effects)
{
  if (now < connections->next_tick)
    return;
  connections->next_tick = now + FQ_CONNECTIONS_TICK_US;
  deactivate_idle_services (connections, now, effects);
  FQ_LIST_FOREACH_SAFE (link, following, &connections->open_nodes)
  {
    fq_connections_node_t *node = FQ_LIST_ENTRY (link, fq_connections_node_t, open_link);

    if (!node->wanted && now - node->unwanted_since >= FQ_CONNECTIONS_LINGER_US)
      close_connection (connections, node, false, effects);
  }
}
