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

  while ((level = fq_map_next (&service->shed_levels, &cursor)) != NULL)
    free (level);
  fq_map_clear (&service->shed_levels);
  free (service->candidates);
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
get_or_add_service (fq_routing_t *routing, const char *name)
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
  node->candidate_index = FQ_ROUTING_NOT_CANDIDATE;
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
add_candidate (fq_routing_node_t *node)
{
  fq_routing_service_t *service = node->service;

  if (grow (&service->candidates, &service->candidate_capacity, service->candidate_count)
      < 0)
    return FQ_ERROR_NOMEM;
  node->candidate_index = service->candidate_count;
  service->candidates[service->candidate_count++] = node;
  return FQ_OK;
}

static void
remove_candidate (fq_routing_node_t *node)
{
  fq_routing_service_t *service = node->service;
  fq_routing_node_t *last;

  if (node->candidate_index == FQ_ROUTING_NOT_CANDIDATE)
    return;
  last = service->candidates[--service->candidate_count];
  service->candidates[node->candidate_index] = last;
  last->candidate_index = node->candidate_index;
  node->candidate_index = FQ_ROUTING_NOT_CANDIDATE;
}

static void
remove_ejected (fq_routing_node_t *node)
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

/* A suspect node may be selected too: other nodes may suspect it after a few lost
 * datagrams, but the connection of this node to it works. */
static bool
is_selectable (const fq_routing_node_t *node)
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

/* Makes @node a candidate of its service, or not, as its state requires.
 *
 * Return: 0; or FQ_ERROR_NOMEM, and it is no candidate then. */
static int
update_candidacy (fq_routing_node_t *node)
{
  bool selectable = node->service != NULL && is_selectable (node);

  if (node->service == NULL)
    return FQ_OK;
  if (!selectable)
    {
      remove_candidate (node);
      return FQ_OK;
    }
  if (node->candidate_index != FQ_ROUTING_NOT_CANDIDATE || node->ejection.until > 0)
    return FQ_OK;
  return add_candidate (node);
}

static void
leave_service (fq_routing_node_t *node)
{
  if (node->service == NULL)
    return;
  remove_candidate (node);
  remove_ejected (node);
  node->ejection.until = 0;
  node->service = NULL;
}

/* @change: 1, or (size_t)-1, which decrements the count by wrap-around. */
static void
adjust_alive_count (fq_routing_node_t *node, size_t change)
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
    node->refusing_until = 0;
  adjust_alive_count (node, (size_t)-1);
  if (strcmp (node->entry.service, entry->service) != 0)
    leave_service (node);
  node->entry = *entry;
  if (node->service == NULL && entry->service[0] != '\0')
    {
      node->service = get_or_add_service (routing, entry->service);
      if (node->service == NULL)
        return FQ_ERROR_NOMEM;
    }
  adjust_alive_count (node, 1);
  return update_candidacy (node);
}

void
fq_routing_set_connected (fq_routing_t *routing,
                          fq_time_t now,
                          const char *name,
                          bool connected)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);

  (void)now;
  if (node == NULL)
    return;
  node->connected = connected;
  update_candidacy (node);
}

bool
fq_routing_has_service (const fq_routing_t *routing, const char *service)
{
  return fq_routing_find_service (routing, service) != NULL;
}

void
fq_routing_reinstate_ejected (fq_routing_t *routing,
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
  fq_ejection_end (&node->ejection, now);
  update_candidacy (node);
}

bool
fq_routing_eject (fq_routing_t *routing, fq_routing_node_t *node, fq_time_t now)
{
  fq_routing_service_t *service = node->service;
  size_t selectable = service->candidate_count + service->ejected_count;

  if (node->candidate_index == FQ_ROUTING_NOT_CANDIDATE
      || 2 * (service->ejected_count + 1) > selectable)
    return false;
  if (grow (&service->ejected, &service->ejected_capacity, service->ejected_count) < 0)
    return false;
  remove_candidate (node);
  service->ejected[service->ejected_count++] = node;
  fq_ejection_start (&node->ejection, now, &routing->random);
  return true;
}

/* Scans all nodes, connected or not: it is called rarely. */
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
