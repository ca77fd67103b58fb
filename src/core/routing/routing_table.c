#include "core/routing/routing_table.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "util/text.h"

int
fq_routing_new (fq_routing_t **out, const fq_routing_options_t *options)
{
  fq_routing_t *routing = calloc (1, sizeof *routing);

  if (routing == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for routing");
  fq_text_copy (routing->node, sizeof routing->node, options->node);
  fq_text_copy (routing->failure_domain, sizeof routing->failure_domain,
                options->failure_domain);
  fq_text_copy (routing->region, sizeof routing->region, options->region);
  routing->random.state = options->seed;
  *out = routing;
  return FQ_OK;
}

static void
free_service (fq_routing_service_t *service)
{
  size_t cursor = 0;
  void *level;

  while ((level = fq_map_next (&service->levels, &cursor)) != NULL)
    free (level);
  fq_map_clear (&service->levels);
  free (service->ready);
  free (service->ejected);
  free (service);
}

void
fq_routing_free (fq_routing_t *routing)
{
  size_t cursor = 0;
  void *value;

  if (routing == NULL)
    return;
  while ((value = fq_map_next (&routing->nodes, &cursor)) != NULL)
    free (value);
  cursor = 0;
  while ((value = fq_map_next (&routing->services, &cursor)) != NULL)
    free_service (value);
  fq_map_clear (&routing->nodes);
  fq_map_clear (&routing->services);
  free (routing);
}

fq_routing_service_t *
fq_routing_find_service (const fq_routing_t *routing, const char *name)
{
  return fq_map_get (&routing->services, fq_map_hash (name));
}

static fq_routing_service_t *
service_of (fq_routing_t *routing, const char *name)
{
  fq_routing_service_t *service = fq_routing_find_service (routing, name);

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  fq_text_copy (service->name, sizeof service->name, name);
  if (fq_map_set (&routing->services, fq_map_hash (name), service) < 0)
    {
      free (service);
      return NULL;
    }
  return service;
}

fq_routing_node_t *
fq_routing_find_node (const fq_routing_t *routing, const char *name)
{
  return fq_map_get (&routing->nodes, fq_map_hash (name));
}

static fq_routing_node_t *
add_node (fq_routing_t *routing, const char *name)
{
  fq_routing_node_t *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  node->name_hash = fq_map_hash (name);
  node->ready_index = FQ_NOT_READY;
  node->connected = strcmp (name, routing->node) == 0;
  if (fq_map_set (&routing->nodes, node->name_hash, node) < 0)
    {
      free (node);
      return NULL;
    }
  return node;
}

static int
grow (fq_routing_node_t ***array, size_t *capacity, size_t count)
{
  size_t wanted = *capacity == 0 ? 8 : *capacity * 2;
  fq_routing_node_t **grown;

  if (count < *capacity)
    return FQ_OK;
  grown = realloc (*array, wanted * sizeof (fq_routing_node_t *));
  if (grown == NULL)
    return FQ_ERROR_NOMEM;
  *array = grown;
  *capacity = wanted;
  return FQ_OK;
}

static int
make_ready (fq_routing_node_t *node)
{
  fq_routing_service_t *service = node->service;

  if (grow (&service->ready, &service->ready_capacity, service->ready_count) < 0)
    return FQ_ERROR_NOMEM;
  node->ready_index = service->ready_count;
  service->ready[service->ready_count++] = node;
  return FQ_OK;
}

static void
make_unready (fq_routing_node_t *node)
{
  fq_routing_service_t *service = node->service;
  fq_routing_node_t *last;

  if (node->ready_index == FQ_NOT_READY)
    return;
  last = service->ready[--service->ready_count];
  service->ready[node->ready_index] = last;
  last->ready_index = node->ready_index;
  node->ready_index = FQ_NOT_READY;
}

static void
forget_ejected (fq_routing_node_t *node)
{
  fq_routing_service_t *service = node->service;

  for (size_t i = 0; i < service->ejected_count; i++)
    {
      if (service->ejected[i] != node)
        continue;
      service->ejected[i] = service->ejected[--service->ejected_count];
      return;
    }
}

/* Puts @node where its state says: among those that may be chosen, or not. */
/* Others may suspect a node for a few lost datagrams; while our own connection to it
 * works, that is what counts. */
static bool
may_be_asked (const fq_routing_node_t *node)
{
  switch (node->entry.state)
    {
    case FQ_NODE_ALIVE:
    case FQ_NODE_SUSPECT:
      return node->entry.ready && node->connected;
    case FQ_NODE_UNREACHABLE:
    case FQ_NODE_DEAD:
    case FQ_NODE_LEFT:
      return false;
    }
  return false;
}

static int
place (fq_routing_node_t *node)
{
  bool usable = node->service != NULL && may_be_asked (node);

  if (node->service == NULL)
    return FQ_OK;
  if (!usable)
    {
      make_unready (node);
      return FQ_OK;
    }
  if (node->ready_index != FQ_NOT_READY || node->ejection.until > 0)
    return FQ_OK;
  return make_ready (node);
}

static void
leave_service (fq_routing_node_t *node)
{
  if (node->service == NULL)
    return;
  make_unready (node);
  forget_ejected (node);
  node->ejection.until = 0;
  node->service = NULL;
}

static void
count_alive (fq_routing_node_t *node, size_t change)
{
  if (node->service != NULL && node->entry.state == FQ_NODE_ALIVE)
    node->service->alive += change;
}

size_t
fq_routing_count_alive (const fq_routing_t *routing, const char *service)
{
  const fq_routing_service_t *known = fq_routing_find_service (routing, service);

  return known == NULL ? 0 : known->alive;
}

int
fq_routing_update (fq_routing_t *routing, fq_time_t now, const fq_node_entry_t *entry)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, entry->node);

  (void)now;
  if (node == NULL)
    node = add_node (routing, entry->node);
  if (node == NULL)
    return FQ_ERROR_NOMEM;
  if (entry->incarnation > node->entry.incarnation)
    node->closed_until = 0;
  count_alive (node, (size_t)-1);
  if (strcmp (node->entry.service, entry->service) != 0)
    leave_service (node);
  node->entry = *entry;
  if (node->service == NULL && entry->service[0] != '\0')
    {
      node->service = service_of (routing, entry->service);
      if (node->service == NULL)
        return FQ_ERROR_NOMEM;
    }
  count_alive (node, 1);
  return place (node);
}

void
fq_routing_connected (fq_routing_t *routing,
                      fq_time_t now,
                      const char *name,
                      bool connected)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);

  (void)now;
  if (node == NULL)
    return;
  node->connected = connected;
  place (node);
}

bool
fq_routing_has_service (const fq_routing_t *routing, const char *service)
{
  return fq_routing_find_service (routing, service) != NULL;
}

void
fq_routing_return_ejected (fq_routing_t *routing,
                           fq_routing_service_t *service,
                           fq_time_t now)
{
  size_t i = fq_random_below (&routing->random, service->ejected_count);
  fq_routing_node_t *node;

  if (service->ejected_count == 0)
    return;
  node = service->ejected[i];
  if (now < node->ejection.until)
    return;
  service->ejected[i] = service->ejected[--service->ejected_count];
  fq_ejection_return (&node->ejection, now);
  place (node);
}

/* Never leaves less than half of a service's usable nodes to be chosen. */
bool
fq_routing_eject (fq_routing_t *routing, fq_routing_node_t *node, fq_time_t now)
{
  fq_routing_service_t *service = node->service;
  size_t usable = service->ready_count + service->ejected_count;

  if (node->ready_index == FQ_NOT_READY || 2 * (service->ejected_count + 1) > usable)
    return false;
  if (grow (&service->ejected, &service->ejected_capacity, service->ejected_count) < 0)
    return false;
  make_unready (node);
  service->ejected[service->ejected_count++] = node;
  fq_ejection_start (&node->ejection, now, &routing->random);
  return true;
}

/* Looks at all nodes, connected or not, which the rare use allows. */
size_t
fq_routing_list_addresses (const fq_routing_t *routing,
                           const char *name,
                           const char **out,
                           size_t max)
{
  const fq_routing_service_t *service = fq_routing_find_service (routing, name);
  const fq_routing_node_t *node;
  size_t cursor = 0;
  size_t count = 0;

  while (service != NULL && count < max
         && (node = fq_map_next (&routing->nodes, &cursor)) != NULL)
    {
      if ((node->service == service || node->service == NULL)
          && node->entry.state == FQ_NODE_ALIVE
          && strcmp (node->entry.node, routing->node) != 0)
        out[count++] = node->entry.address;
    }
  return count;
}
