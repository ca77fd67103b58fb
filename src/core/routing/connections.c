#include "core/routing/connections.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/list.h"
#include "util/map.h"
#include "util/text.h"

#define FQ_CONNECTIONS_IDLE_US (600LL * FQ_MICROSECONDS_PER_SECOND)
#define FQ_CONNECTIONS_LINGER_US (120LL * FQ_MICROSECONDS_PER_SECOND)
#define FQ_CONNECTIONS_TICK_US FQ_MICROSECONDS_PER_SECOND

typedef struct fq_served fq_served_t;

/* A node of some service, other than ourselves. */
typedef struct
{
  fq_list_t link; /* in its service */
  fq_list_t open; /* on the list of nodes that a connection is kept to */
  fq_served_t *service;
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES];
  uint64_t hash;
  uint64_t weight; /* the larger, the sooner it is chosen */
  fq_time_t unwanted_since;
  bool near;   /* in our region */
  bool usable; /* alive */
  bool wanted;
  bool up;
} fq_connected_t;

struct fq_served
{
  fq_list_t nodes;
  fq_time_t used; /* the last request for it */
  bool active;    /* nodes of it are connected */
};

struct fq_connections
{
  char region[FQ_NAME_BYTES];
  uint64_t self;
  fq_routing_t *routing;
  fq_map_t nodes;
  fq_map_t services;
  fq_list_t open;
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
  connections->self = fq_map_hash (node);
  fq_text_copy (connections->region, sizeof connections->region, region);
  connections->routing = routing;
  fq_list_init (&connections->open);
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
mix (uint64_t left, uint64_t right)
{
  fq_random_t random = { .state = left ^ (right * 0x9e3779b97f4a7c15u) };

  return fq_random_next (&random);
}

static bool
goes_first (const fq_connected_t *left, const fq_connected_t *right)
{
  if (left->near != right->near)
    return left->near;
  return left->weight > right->weight;
}

/* The best usable nodes of @service in @chosen; their number. */
static size_t
choose (const fq_served_t *service, fq_connected_t **chosen)
{
  size_t count = 0;

  FQ_LIST_FOREACH (link, &service->nodes)
  {
    fq_connected_t *node = FQ_LIST_ENTRY (link, fq_connected_t, link);
    size_t at = count;

    if (!node->usable)
      continue;
    while (at > 0 && goes_first (node, chosen[at - 1]))
      at--;
    if (at == FQ_CONNECTIONS_PER_SERVICE)
      continue;
    if (count < FQ_CONNECTIONS_PER_SERVICE)
      count++;
    for (size_t i = count - 1; i > at; i--)
      chosen[i] = chosen[i - 1];
    chosen[at] = node;
  }
  return count;
}

static void
want (fq_connections_t *connections,
      fq_connected_t *node,
      fq_time_t now,
      fq_effects_t *effects)
{
  fq_effect_t *effect;

  if (node->wanted)
    return;
  node->wanted = true;
  if (node->up)
    fq_routing_connected (connections->routing, now, node->node, true);
  if (!fq_list_is_empty (&node->open))
    return;
  fq_list_append (&connections->open, &node->open);
  connections->open_count++;
  effect = fq_effects_add (effects, FQ_EFFECT_PEER_CONNECT);
  memcpy (effect->peer_connect.node, node->node, FQ_NAME_BYTES);
  memcpy (effect->peer_connect.address, node->address, FQ_ADDRESS_BYTES);
}

/* No new attempt goes there; those that run may still end. */
static void
unwant (fq_connections_t *connections, fq_connected_t *node, fq_time_t now)
{
  if (!node->wanted)
    return;
  node->wanted = false;
  node->unwanted_since = now;
  fq_routing_connected (connections->routing, now, node->node, false);
}

static void
close_now (fq_connections_t *connections, fq_connected_t *node, fq_effects_t *effects)
{
  fq_effect_t *effect;

  if (fq_list_is_empty (&node->open))
    return;
  fq_list_remove (&node->open);
  connections->open_count--;
  effect = fq_effects_add (effects, FQ_EFFECT_PEER_CLOSE);
  memcpy (effect->peer_connect.node, node->node, FQ_NAME_BYTES);
}

static bool
is_among (const fq_connected_t *node, fq_connected_t *const *chosen, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (chosen[i] == node)
        return true;
    }
  return false;
}

static void
balance (fq_connections_t *connections,
         fq_served_t *service,
         fq_time_t now,
         fq_effects_t *effects)
{
  fq_connected_t *chosen[FQ_CONNECTIONS_PER_SERVICE];
  size_t count = service->active ? choose (service, chosen) : 0;

  FQ_LIST_FOREACH (link, &service->nodes)
  {
    fq_connected_t *node = FQ_LIST_ENTRY (link, fq_connected_t, link);

    if (is_among (node, chosen, count))
      want (connections, node, now, effects);
    else
      unwant (connections, node, now);
  }
}

static fq_served_t *
service_of (fq_connections_t *connections, const char *name, fq_time_t now)
{
  fq_served_t *service = fq_map_get (&connections->services, fq_map_hash (name));

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  fq_list_init (&service->nodes);
  service->used = now;
  service->active = connections->services.count < FQ_CONNECTIONS_EAGER_SERVICES;
  if (fq_map_set (&connections->services, fq_map_hash (name), service) < 0)
    {
      free (service);
      return NULL;
    }
  return service;
}

static fq_connected_t *
add_node (fq_connections_t *connections, const fq_node_entry_t *entry)
{
  fq_connected_t *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  fq_list_init (&node->link);
  fq_list_init (&node->open);
  node->hash = fq_map_hash (entry->node);
  node->weight = mix (connections->self, node->hash);
  fq_text_copy (node->node, sizeof node->node, entry->node);
  if (fq_map_set (&connections->nodes, node->hash, node) < 0)
    {
      free (node);
      return NULL;
    }
  return node;
}

static void
forget_node (fq_connections_t *connections, fq_connected_t *node)
{
  fq_list_remove (&node->link);
  fq_map_remove (&connections->nodes, node->hash);
  free (node);
}

static void
move_node (fq_connections_t *connections,
           fq_connected_t *node,
           const char *name,
           fq_time_t now,
           fq_effects_t *effects)
{
  fq_served_t *service = name[0] == '\0' ? NULL : service_of (connections, name, now);

  if (service == node->service)
    return;
  fq_list_remove (&node->link);
  unwant (connections, node, now);
  if (node->service != NULL)
    balance (connections, node->service, now, effects);
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
  fq_connected_t *node = fq_map_get (&connections->nodes, hash);
  bool gone = entry->state == FQ_NODE_DEAD || entry->state == FQ_NODE_LEFT;

  if (hash == connections->self || (node == NULL && gone))
    return;
  if (node == NULL)
    node = add_node (connections, entry);
  if (node == NULL)
    return;
  node->near = strcmp (entry->region, connections->region) == 0;
  /* A suspect keeps its connection: the gate at the other end knows best. */
  node->usable = entry->state == FQ_NODE_ALIVE || entry->state == FQ_NODE_SUSPECT;
  if (gone || strcmp (node->address, entry->address) != 0)
    {
      unwant (connections, node, now);
      close_now (connections, node, effects);
    }
  fq_text_copy (node->address, sizeof node->address, entry->address);
  move_node (connections, node, entry->service, now, effects);
  if (node->service != NULL)
    balance (connections, node->service, now, effects);
  if (gone)
    forget_node (connections, node);
}

void
fq_connections_mark_used (fq_connections_t *connections,
                          fq_time_t now,
                          const char *name,
                          fq_effects_t *effects)
{
  fq_served_t *service = fq_map_get (&connections->services, fq_map_hash (name));

  if (service == NULL)
    return;
  service->used = now;
  if (service->active)
    return;
  service->active = true;
  balance (connections, service, now, effects);
}

void
fq_connections_set_connected (fq_connections_t *connections,
                              fq_time_t now,
                              const char *name,
                              bool up)
{
  fq_connected_t *node = fq_map_get (&connections->nodes, fq_map_hash (name));

  if (node != NULL)
    node->up = up;
  fq_routing_connected (connections->routing, now, name,
                        up && node != NULL && node->wanted);
}

static void
rest_services (fq_connections_t *connections, fq_time_t now, fq_effects_t *effects)
{
  size_t cursor = 0;
  fq_served_t *service;

  if (connections->services.count <= FQ_CONNECTIONS_EAGER_SERVICES)
    return;
  while ((service = fq_map_next (&connections->services, &cursor)) != NULL)
    {
      if (!service->active || now - service->used < FQ_CONNECTIONS_IDLE_US)
        continue;
      service->active = false;
      balance (connections, service, now, effects);
    }
}

void
fq_connections_tick (fq_connections_t *connections, fq_time_t now, fq_effects_t *effects)
{
  if (now < connections->next_tick)
    return;
  connections->next_tick = now + FQ_CONNECTIONS_TICK_US;
  rest_services (connections, now, effects);
  FQ_LIST_FOREACH_SAFE (link, following, &connections->open)
  {
    fq_connected_t *node = FQ_LIST_ENTRY (link, fq_connected_t, open);

    if (!node->wanted && now - node->unwanted_since >= FQ_CONNECTIONS_LINGER_US)
      close_now (connections, node, effects);
  }
}
