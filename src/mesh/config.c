#include "mesh/config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "util/map.h"

fq_config_t *
fq_config_new (void)
{
  fq_config_t *config = calloc (1, sizeof *config);

  if (config == NULL)
    abort ();
  config->references = 1;
  return config;
}

fq_config_t *
fq_config_ref (fq_config_t *config)
{
  if (config != NULL)
    config->references++;
  return config;
}

static void
free_host_routes (fq_virtual_host_t *host)
{
  for (size_t i = 0; i < host->route_count; i++)
    {
      fq_route_t *route = &host->routes[i];

      for (size_t j = 0; j < route->target_count; j++)
        fq_text_unref (route->targets[j].service);
      fq_text_unref (route->name);
      free (route->prefix);
      free (route->targets);
    }
  free (host->routes);
  free (host->host);
}

void
fq_config_unref (fq_config_t *config)
{
  if (config == NULL || --config->references > 0)
    return;
  for (size_t i = 0; i < config->host_count; i++)
    free_host_routes (&config->hosts[i]);
  for (size_t i = 0; i < config->service_count; i++)
    {
      fq_text_unref (config->services[i].name);
      fq_text_unref (config->services[i].probe_path);
    }
  free (config->hosts);
  free (config->services);
  free (config->document);
  free (config);
}

static int
compare_prefix_lengths (const void *left, const void *right)
{
  size_t left_size = strlen (((const fq_route_t *)left)->prefix);
  size_t right_size = strlen (((const fq_route_t *)right)->prefix);

  if (left_size == right_size)
    return strcmp (((const fq_route_t *)left)->prefix,
                   ((const fq_route_t *)right)->prefix);
  return left_size > right_size ? -1 : 1;
}

static size_t
count_routes (const fq_config_t *config)
{
  size_t count = 0;

  for (size_t i = 0; i < config->host_count; i++)
    count += config->hosts[i].route_count;
  return count;
}

static int
compare_priorities (const void *left, const void *right)
{
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;

  return (a > b) - (a < b);
}

/* Writes the different priorities of all routes to @out, highest first. Return: their
 * number. */
static size_t
collect_priorities (const fq_config_t *config, uint32_t *out)
{
  size_t count = 0;
  size_t unique = 0;

  for (size_t i = 0; i < config->host_count; i++)
    {
      for (size_t j = 0; j < config->hosts[i].route_count; j++)
        out[count++] = config->hosts[i].routes[j].priority;
    }
  qsort (out, count, sizeof *out, compare_priorities);
  for (size_t i = 0; i < count; i++)
    {
      if (i == 0 || out[i] != out[unique - 1])
        out[unique++] = out[i];
    }
  return unique;
}

static uint32_t
find_level (const uint32_t *priorities, size_t count, uint32_t priority)
{
  size_t level = 0;

  if (count == 0 || priorities[count - 1] < FQ_PRIORITY_LEVELS)
    return priority;
  while (priorities[level] != priority)
    level++;
  return level < FQ_PRIORITY_LEVELS ? (uint32_t)level : FQ_PRIORITY_LEVELS - 1;
}

static void
assign_levels (fq_config_t *config)
{
  uint32_t *priorities = calloc (count_routes (config) + 1, sizeof *priorities);
  size_t count;

  if (priorities == NULL)
    abort ();
  count = collect_priorities (config, priorities);
  for (size_t i = 0; i < config->host_count; i++)
    {
      for (size_t j = 0; j < config->hosts[i].route_count; j++)
        {
          fq_route_t *route = &config->hosts[i].routes[j];

          route->level = find_level (priorities, count, route->priority);
        }
    }
  free (priorities);
}

void
fq_config_finalize (fq_config_t *config)
{
  assign_levels (config);
  for (size_t i = 0; i < config->host_count; i++)
    {
      fq_virtual_host_t *host = &config->hosts[i];

      qsort (host->routes, host->route_count, sizeof *host->routes,
             compare_prefix_lengths);
      for (size_t j = 0; j < host->route_count; j++)
        host->routes[j].id = fq_map_hash_pair (host->host, host->routes[j].prefix, 0);
    }
}

const fq_service_t *
fq_config_find_service (const fq_config_t *config, const fq_text_t *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    {
      if (fq_text_equal (config->services[i].name, name))
        return &config->services[i];
    }
  return NULL;
}

static size_t
host_name_length (const char *host)
{
  const char *colon = strrchr (host, ':');

  return colon == NULL ? strlen (host) : (size_t)(colon - host);
}

/* @name_length: length of @host without its port */
static bool
matches_host (const fq_virtual_host_t *candidate, const char *host, size_t name_length)
{
  if (strcasecmp (candidate->host, host) == 0)
    return true;
  return strlen (candidate->host) == name_length
         && strncasecmp (candidate->host, host, name_length) == 0;
}

static fq_route_t *
find_host_route (const fq_virtual_host_t *host, const char *target)
{
  size_t size = strcspn (target, "?#");

  for (size_t i = 0; i < host->route_count; i++)
    {
      size_t prefix_size = strlen (host->routes[i].prefix);

      if (prefix_size <= size
          && strncmp (target, host->routes[i].prefix, prefix_size) == 0)
        return &host->routes[i];
    }
  return NULL;
}

/* A host may be configured in several places. */
fq_route_t *
fq_config_find_route (const fq_config_t *config, const char *host, const char *target)
{
  size_t name_length = host_name_length (host);
  fq_route_t *longest = NULL;

  for (size_t i = 0; i < config->host_count; i++)
    {
      fq_route_t *route;

      if (!matches_host (&config->hosts[i], host, name_length))
        continue;
      route = find_host_route (&config->hosts[i], target);
      if (longest == NULL
          || (route != NULL && strlen (route->prefix) > strlen (longest->prefix)))
        longest = route;
    }
  return longest;
}

fq_text_t *
fq_route_next_target (fq_route_t *route)
{
  fq_route_target_t *best = &route->targets[0];
  double total = 0;

  if (route->target_count == 1)
    return best->service;
  for (size_t i = 0; i < route->target_count; i++)
    {
      fq_route_target_t *target = &route->targets[i];

      target->credit += target->weight;
      total += target->weight;
      if (target->credit > best->credit)
        best = target;
    }
  best->credit -= total;
  return best->service;
}
