#include "mesh/config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "util/map.h"
#include "util/text.h"

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
free_host (fq_virtual_host_t *host)
{
  for (size_t i = 0; i < host->route_count; i++)
    {
      free (host->routes[i].prefix);
      free (host->routes[i].targets);
    }
  free (host->routes);
}

void
fq_config_unref (fq_config_t *config)
{
  if (config == NULL || --config->references > 0)
    return;
  for (size_t i = 0; i < config->host_count; i++)
    free_host (&config->hosts[i]);
  for (size_t i = 0; i < config->service_count; i++)
    free (config->services[i].probe_path);
  free (config->hosts);
  free (config->services);
  free (config->document);
  free (config);
}

static int
compare_prefixes (const void *left, const void *right)
{
  size_t left_size = strlen (((const fq_route_t *)left)->prefix);
  size_t right_size = strlen (((const fq_route_t *)right)->prefix);

  if (left_size == right_size)
    return strcmp (((const fq_route_t *)left)->prefix,
                   ((const fq_route_t *)right)->prefix);
  return left_size > right_size ? -1 : 1;
}

void
fq_config_finalize (fq_config_t *config)
{
  for (size_t i = 0; i < config->host_count; i++)
    {
      fq_virtual_host_t *host = &config->hosts[i];

      qsort (host->routes, host->route_count, sizeof *host->routes, compare_prefixes);
      for (size_t j = 0; j < host->route_count; j++)
        host->routes[j].id = fq_map_hash_pair (host->host, host->routes[j].prefix, 0);
    }
}

const fq_service_t *
fq_config_find_service (const fq_config_t *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    {
      if (strcmp (config->services[i].name, name) == 0)
        return &config->services[i];
    }
  return NULL;
}

static size_t
host_size (const char *host)
{
  const char *colon = strrchr (host, ':');

  return colon == NULL ? strlen (host) : (size_t)(colon - host);
}

static fq_route_t *
route_of_host (const fq_virtual_host_t *host, const char *target)
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

fq_route_t *
fq_config_find_route (const fq_config_t *config, const char *host, const char *target)
{
  size_t size = host_size (host);

  for (size_t i = 0; i < config->host_count; i++)
    {
      const fq_virtual_host_t *candidate = &config->hosts[i];

      if (strlen (candidate->host) == size
          && strncasecmp (candidate->host, host, size) == 0)
        return route_of_host (candidate, target);
    }
  return NULL;
}

const char *
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
