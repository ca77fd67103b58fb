#include "core/routing/routing.h"

#include <stdlib.h>
#include <string.h>

#include "core/admission/shed.h"
#include "core/routing/routing_table.h"
#include "filbertquay/errors.h"

/* Weights of a new sample in the exponential moving averages: a shed level, and the load
 * and latency of an answer. */
#define FQ_SHED_LEVEL_WEIGHT 0.3
#define FQ_MEAN_WEIGHT (1.0 / 8)

/* A reported load or shed level that is older than this is stale. */
#define FQ_LOAD_MAX_AGE_US FQ_MICROSECONDS_PER_SECOND

/* Added to the utilisation in the cost of a node, so that latency counts among idle
 * nodes. */
#define FQ_IDLE_UTILISATION 0.1

#define FQ_COST_TIE_FACTOR 1.1    /* costs within this factor count as equal */
#define FQ_SAMPLE_WEIGHT_MIN 0.05 /* least weight of a node without slow start */
#define FQ_CAPACITY_DECAY 0.999   /* of the maximum capacity, with each reported load */

/* Time without attempts after the gate of a node refused all requests. */
#define FQ_REFUSING_US (2LL * FQ_MICROSECONDS_PER_SECOND)

#define FQ_SAMPLES_MAX 16 /* random samples before sample_node() gives up */

static bool
was_tried (const fq_routing_tried_t *tried, uint64_t name_hash)
{
  if (tried == NULL)
    return false;
  for (size_t i = 0; i < tried->count; i++)
    {
      if (tried->nodes[i] == name_hash)
        return true;
    }
  return false;
}

static bool
load_is_fresh (const fq_routing_node_t *node, fq_time_t now)
{
  return node->load_received > 0 && now - node->load_received < FQ_LOAD_MAX_AGE_US;
}

static double
concurrency_limit (const fq_routing_node_t *node)
{
  uint32_t limit = node->load_received > 0 ? node->load.limit : node->entry.slots;

  return limit == 0 ? 1 : limit;
}

/* Requests in the node per slot of its limit, with @more that it did not report. */
static double
reported_utilisation (const fq_load_t *load, uint32_t more)
{
  return (load->in_flight + load->queued + more)
         / (double)(load->limit == 0 ? 1 : load->limit);
}

/* The higher of two estimates: from the attempts of this node alone, and from the load
 * that the node reported, or the mean of its service if that is stale. */
static double
utilisation (const fq_routing_node_t *node, fq_time_t now)
{
  double own = node->outstanding / concurrency_limit (node);
  double reported = load_is_fresh (node, now)
                        ? reported_utilisation (&node->load, node->sent_since_load)
                        : node->service->mean_utilisation;

  return own > reported ? own : reported;
}

static double
latency_of (const fq_routing_node_t *node)
{
  if (node->latency_us > 0)
    return node->latency_us;
  return node->service->mean_latency_us > 0 ? node->service->mean_latency_us : 1;
}

/* 0: same failure domain, 1: same region, 2: another region. */
static int
distance (const fq_routing_t *routing, const fq_routing_node_t *node)
{
  if (strcmp (node->entry.failure_domain, routing->failure_domain) == 0)
    return 0;
  return strcmp (node->entry.region, routing->region) == 0 ? 1 : 2;
}

/* A node with a free slot is preferred to one without, then the one with the lower cost,
 * which is utilisation times latency, and the nearer one when the costs are about equal.
 */
static bool
is_better (const fq_routing_t *routing,
           fq_time_t now,
           const fq_routing_node_t *node,
           const fq_routing_node_t *other)
{
  double utilisation_node = utilisation (node, now);
  double utilisation_other = utilisation (other, now);
  double cost = (utilisation_node + FQ_IDLE_UTILISATION) * latency_of (node);
  double cost_other = (utilisation_other + FQ_IDLE_UTILISATION) * latency_of (other);

  if ((utilisation_node < 1) != (utilisation_other < 1))
    return utilisation_node < 1;
  if (cost * FQ_COST_TIE_FACTOR < cost_other || cost_other * FQ_COST_TIE_FACTOR < cost)
    return cost < cost_other;
  return distance (routing, node) < distance (routing, other);
}

/* In requests per microsecond. */
static double
capacity_of (const fq_routing_node_t *node)
{
  double service_us
      = node->load.service_us > 0 ? node->load.service_us : latency_of (node);

  return concurrency_limit (node) / service_us;
}

/* Samples are weighted by capacity: of nodes with different speeds, two uniform samples
 * would often include no fast one. */
static double
sample_weight (const fq_routing_node_t *node, fq_time_t now)
{
  double share = 1;

  if (capacity_of (node) > 0 && node->service->max_capacity > 0)
    share = capacity_of (node) / node->service->max_capacity;
  if (share < FQ_SAMPLE_WEIGHT_MIN)
    share = FQ_SAMPLE_WEIGHT_MIN;
  return share * fq_ejection_weight (&node->ejection, now);
}

static bool
accepts_sample (fq_routing_t *routing,
                fq_time_t now,
                const fq_routing_node_t *node,
                const fq_routing_tried_t *tried)
{
  double weight = sample_weight (node, now);

  if (was_tried (tried, node->name_hash) || now < node->refusing_until)
    return false;
  return weight >= 1 || fq_random_unit (&routing->random) < weight;
}

/* A random candidate other than @except that was not tried; NULL: none was found. */
static fq_routing_node_t *
sample_node (fq_routing_t *routing,
             fq_time_t now,
             const fq_routing_service_t *service,
             const fq_routing_tried_t *tried,
             const fq_routing_node_t *except)
{
  for (int i = 0; i < FQ_SAMPLES_MAX && service->candidate_count > 0; i++)
    {
      fq_routing_node_t *node = service->candidates[fq_random_below (
          &routing->random, service->candidate_count)];

      if (node != except && accepts_sample (routing, now, node, tried))
        return node;
    }
  return NULL;
}

/* The first candidate that was not tried, from a random start; NULL: none. A node whose
 * gate refuses all requests is returned only if there is no other, as it may accept
 * requests again. At most FQ_ROUTING_TRIED_MAX nodes are excluded, so the loop is short
 * unless many nodes refuse. */
static fq_routing_node_t *
find_untried (fq_routing_t *routing,
              fq_time_t now,
              const fq_routing_service_t *service,
              const fq_routing_tried_t *tried)
{
  size_t start = fq_random_below (&routing->random, service->candidate_count);
  fq_routing_node_t *refusing = NULL;

  for (size_t i = 0; i < service->candidate_count; i++)
    {
      fq_routing_node_t *node
          = service->candidates[(start + i) % service->candidate_count];

      if (was_tried (tried, node->name_hash))
        continue;
      if (now >= node->refusing_until)
        return node;
      refusing = node;
    }
  return refusing;
}

/* This node if it is a candidate and not worse than @best, else @best. */
static fq_routing_node_t *
prefer_local (fq_routing_t *routing,
              fq_time_t now,
              const fq_routing_service_t *service,
              const fq_routing_tried_t *tried,
              fq_routing_node_t *best)
{
  fq_routing_node_t *own = fq_routing_find_node (routing, routing->node);

  if (own == NULL || own == best || own->service != service
      || own->candidate_index == FQ_ROUTING_NOT_CANDIDATE
      || was_tried (tried, own->name_hash) || now < own->refusing_until
      || fq_random_unit (&routing->random) >= fq_ejection_weight (&own->ejection, now))
    return best;
  return is_better (routing, now, best, own) ? best : own;
}

int
fq_routing_choose (fq_routing_t *routing,
                   fq_time_t now,
                   const char *service_name,
                   const fq_routing_tried_t *tried,
                   fq_routing_choice_t *out)
{
  fq_routing_service_t *service = fq_routing_find_service (routing, service_name);
  fq_routing_node_t *best;
  fq_routing_node_t *second;

  if (service == NULL)
    return FQ_ERROR_NOTFOUND;
  fq_routing_reinstate_ejected (routing, service, now);
  best = sample_node (routing, now, service, tried, NULL);
  if (best == NULL)
    best = find_untried (routing, now, service, tried);
  if (best == NULL)
    return FQ_ERROR_NOTFOUND;
  second = sample_node (routing, now, service, tried, best);
  if (second != NULL && is_better (routing, now, second, best))
    best = second;
  best = prefer_local (routing, now, service, tried, best);
  memcpy (out->node, best->entry.node, sizeof out->node);
  out->local = strcmp (best->entry.node, routing->node) == 0;
  return FQ_OK;
}

void
fq_routing_attempt_sent (fq_routing_t *routing, fq_time_t now, const char *name)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);

  (void)now;
  if (node == NULL)
    return;
  node->outstanding++;
  node->sent_since_load++;
}

static void
update_mean (double *value, double sample)
{
  *value = *value == 0 ? sample : *value + FQ_MEAN_WEIGHT * (sample - *value);
}

static void
update_max_capacity (fq_routing_service_t *service, double capacity)
{
  service->max_capacity *= FQ_CAPACITY_DECAY;
  if (capacity > service->max_capacity)
    service->max_capacity = capacity;
}

static void
record_load (fq_routing_node_t *node, fq_time_t now, const fq_load_t *load)
{
  node->load = *load;
  node->load_received = now;
  node->sent_since_load = 0;
  if (node->service == NULL)
    return;
  update_mean (&node->service->mean_utilisation, reported_utilisation (load, 0));
  update_max_capacity (node->service, capacity_of (node));
}

/* A cancelled attempt gives a lower bound: it counts only if it took longer than the
 * mean. */
static void
record_latency (fq_routing_node_t *node, fq_routing_result_t result, fq_time_t latency)
{
  if (result == FQ_ROUTING_CANCELLED && (double)latency < node->latency_us)
    return;
  if (result != FQ_ROUTING_ANSWERED && result != FQ_ROUTING_CANCELLED)
    return;
  update_mean (&node->latency_us, (double)latency);
  if (node->service != NULL)
    update_mean (&node->service->mean_latency_us, (double)latency);
}

bool
fq_routing_attempt_ended (fq_routing_t *routing,
                          fq_time_t now,
                          const char *name,
                          fq_routing_result_t result,
                          fq_time_t latency,
                          const fq_load_t *load)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);
  bool failed = result == FQ_ROUTING_FAILED;

  if (node == NULL)
    return false;
  if (node->outstanding > 0)
    node->outstanding--;
  record_latency (node, result, latency);
  if (load != NULL)
    record_load (node, now, load);
  /* A lost connection is no evidence against the node: whether it has failed shows when a
   * new connection is opened. */
  if (failed && !node->connected)
    return false;
  if (result == FQ_ROUTING_CANCELLED || !fq_ejection_record (&node->ejection, failed))
    return false;
  return node->service != NULL && fq_routing_eject (routing, node, now);
}

void
fq_routing_mark_refusing (fq_routing_t *routing, fq_time_t now, const char *name)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);

  if (node != NULL)
    node->refusing_until = now + FQ_REFUSING_US;
}

static fq_routing_shed_level_t *
get_or_add_level (fq_routing_service_t *service, uint64_t member)
{
  fq_routing_shed_level_t *level = fq_map_get (&service->shed_levels, member);

  if (level != NULL)
    return level;
  level = calloc (1, sizeof *level);
  if (level != NULL && fq_map_set (&service->shed_levels, member, level) < 0)
    {
      free (level);
      return NULL;
    }
  return level;
}

/* All answers have the same weight, so that a gate counts by the requests that it gets,
 * and one with little load does not dominate the level of the service. */
void
fq_routing_record_shed_level (fq_routing_t *routing,
                              fq_time_t now,
                              const char *name,
                              const char *member,
                              const fq_load_t *load)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);
  fq_routing_shed_level_t *level;
  double shed = fq_shed_to_classes (load);

  if (node == NULL || node->service == NULL || load->limit == 0)
    return;
  level = get_or_add_level (node->service, fq_map_hash (member));
  if (level == NULL)
    return;
  if (level->updated == 0 || now - level->updated >= FQ_LOAD_MAX_AGE_US)
    level->shed_classes = shed;
  else
    level->shed_classes += FQ_SHED_LEVEL_WEIGHT * (shed - level->shed_classes);
  level->updated = now;
}

void
fq_routing_shed_level (const fq_routing_t *routing,
                       fq_time_t now,
                       const char *name,
                       const char *member,
                       fq_load_t *out)
{
  const fq_routing_service_t *service = fq_routing_find_service (routing, name);
  const fq_routing_shed_level_t *level
      = service == NULL ? NULL : fq_map_get (&service->shed_levels, fq_map_hash (member));

  *out = (fq_load_t){ .shed_class = FQ_CLASS_COUNT };
  if (level != NULL && now - level->updated < FQ_LOAD_MAX_AGE_US)
    fq_shed_from_classes (out, level->shed_classes);
}
