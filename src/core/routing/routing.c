#include "core/routing/routing.h"

#include <stdlib.h>
#include <string.h>

#include "core/admission/shed.h"
#include "core/routing/routing_table.h"
#include "filbertquay/errors.h"

#define FQ_LEVEL_SMOOTHING 0.3                    /* weight of one answer's shed level */
#define FQ_HINT_AGE_US FQ_MICROSECONDS_PER_SECOND /* a load older than this is stale */
#define FQ_SMOOTHING (1.0 / 8)
#define FQ_IDLE_BUSY 0.1       /* added, so that latency counts among idle nodes */
#define FQ_AS_GOOD 1.1         /* costs within this factor are equal */
#define FQ_DRAW_SHARE_MIN 0.05 /* least weight of a slow node */
#define FQ_CAPACITY_FADE 0.999 /* of the greatest capacity, with each load told */
#define FQ_CLOSED_US (2LL * FQ_MICROSECONDS_PER_SECOND)
#define FQ_DRAWS_MAX 16 /* tries to draw a node that may be taken */
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
  return node->load_at > 0 && now - node->load_at < FQ_HINT_AGE_US;
}

static double
limit_of (const fq_routing_node_t *node)
{
  uint32_t limit = node->load_at > 0 ? node->load.limit : node->entry.slots;

  return limit == 0 ? 1 : limit;
}

static double
share_in_use (const fq_load_t *load, uint32_t more)
{
  return (load->in_flight + load->queued + more)
         / (double)(load->limit == 0 ? 1 : load->limit);
}

static double
busy (const fq_routing_node_t *node, fq_time_t now)
{
  double own = node->outstanding / limit_of (node);
  double told = load_is_fresh (node, now)
                    ? share_in_use (&node->load, node->sent_since_load)
                    : node->service->usual_busy;

  return own > told ? own : told;
}

static double
latency_of (const fq_routing_node_t *node)
{
  if (node->latency_us > 0)
    return node->latency_us;
  return node->service->usual_latency_us > 0 ? node->service->usual_latency_us : 1;
}

static int
distance (const fq_routing_t *routing, const fq_routing_node_t *node)
{
  if (strcmp (node->entry.failure_domain, routing->failure_domain) == 0)
    return 0;
  return strcmp (node->entry.region, routing->region) == 0 ? 1 : 2;
}

/* A node with a free slot goes before one without; then the lower product of use and
 * latency; the nearer one when these are as good as equal. */
static bool
is_better (const fq_routing_t *routing,
           fq_time_t now,
           const fq_routing_node_t *node,
           const fq_routing_node_t *other)
{
  double busy_node = busy (node, now);
  double busy_other = busy (other, now);
  double cost = (busy_node + FQ_IDLE_BUSY) * latency_of (node);
  double cost_other = (busy_other + FQ_IDLE_BUSY) * latency_of (other);

  if ((busy_node < 1) != (busy_other < 1))
    return busy_node < 1;
  if (cost * FQ_AS_GOOD < cost_other || cost_other * FQ_AS_GOOD < cost)
    return cost < cost_other;
  return distance (routing, node) < distance (routing, other);
}

/* Requests that it can answer in a microsecond. */
static double
capacity_of (const fq_routing_node_t *node)
{
  double service_us
      = node->load.service_us > 0 ? node->load.service_us : latency_of (node);

  return limit_of (node) / service_us;
}

/* Draws are weighted by capacity, since among nodes of different speed two even draws
 * would often hold no fast one. */
static double
draw_weight (const fq_routing_node_t *node, fq_time_t now)
{
  double share = 1;

  if (capacity_of (node) > 0 && node->service->most_capacity > 0)
    share = capacity_of (node) / node->service->most_capacity;
  if (share < FQ_DRAW_SHARE_MIN)
    share = FQ_DRAW_SHARE_MIN;
  return share * fq_ejection_weight (&node->ejection, now);
}

static bool
may_take (fq_routing_t *routing,
          fq_time_t now,
          const fq_routing_node_t *node,
          const fq_routing_tried_t *tried)
{
  double weight = draw_weight (node, now);

  if (was_tried (tried, node->name_hash) || now < node->closed_until)
    return false;
  return weight >= 1 || fq_random_unit (&routing->random) < weight;
}

static fq_routing_node_t *
draw (fq_routing_t *routing,
      fq_time_t now,
      const fq_routing_service_t *service,
      const fq_routing_tried_t *tried,
      const fq_routing_node_t *but)
{
  for (int i = 0; i < FQ_DRAWS_MAX && service->ready_count > 0; i++)
    {
      fq_routing_node_t *node
          = service->ready[fq_random_below (&routing->random, service->ready_count)];

      if (node != but && may_take (routing, now, node, tried))
        return node;
    }
  return NULL;
}

/* A closed gate is better than none: it may have opened again. At most
 * FQ_ROUTING_TRIED_MAX nodes were tried, so this ends soon unless many are closed. */
static fq_routing_node_t *
first_untried (fq_routing_t *routing,
               fq_time_t now,
               const fq_routing_service_t *service,
               const fq_routing_tried_t *tried)
{
  size_t start = fq_random_below (&routing->random, service->ready_count);
  fq_routing_node_t *closed = NULL;

  for (size_t i = 0; i < service->ready_count; i++)
    {
      fq_routing_node_t *node = service->ready[(start + i) % service->ready_count];

      if (was_tried (tried, node->name_hash))
        continue;
      if (now >= node->closed_until)
        return node;
      closed = node;
    }
  return closed;
}

static fq_routing_node_t *
prefer_own (fq_routing_t *routing,
            fq_time_t now,
            const fq_routing_service_t *service,
            const fq_routing_tried_t *tried,
            fq_routing_node_t *best)
{
  fq_routing_node_t *own = fq_routing_find_node (routing, routing->node);

  if (own == NULL || own == best || own->service != service
      || own->ready_index == FQ_NOT_READY || was_tried (tried, own->name_hash)
      || now < own->closed_until
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
  fq_routing_return_ejected (routing, service, now);
  best = draw (routing, now, service, tried, NULL);
  if (best == NULL)
    best = first_untried (routing, now, service, tried);
  if (best == NULL)
    return FQ_ERROR_NOTFOUND;
  second = draw (routing, now, service, tried, best);
  if (second != NULL && is_better (routing, now, second, best))
    best = second;
  best = prefer_own (routing, now, service, tried, best);
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
smooth (double *value, double sample)
{
  *value = *value == 0 ? sample : *value + FQ_SMOOTHING * (sample - *value);
}

static void
take_capacity (fq_routing_service_t *service, double capacity)
{
  service->most_capacity *= FQ_CAPACITY_FADE;
  if (capacity > service->most_capacity)
    service->most_capacity = capacity;
}

static void
take_load (fq_routing_node_t *node, fq_time_t now, const fq_load_t *load)
{
  node->load = *load;
  node->load_at = now;
  node->sent_since_load = 0;
  if (node->service == NULL)
    return;
  smooth (&node->service->usual_busy, share_in_use (load, 0));
  take_capacity (node->service, capacity_of (node));
}

/* An attempt that was given up took at least so long. */
static void
take_latency (fq_routing_node_t *node, fq_routing_result_t result, fq_time_t latency)
{
  if (result == FQ_ROUTING_CANCELLED && (double)latency < node->latency_us)
    return;
  if (result != FQ_ROUTING_ANSWERED && result != FQ_ROUTING_CANCELLED)
    return;
  smooth (&node->latency_us, (double)latency);
  if (node->service != NULL)
    smooth (&node->service->usual_latency_us, (double)latency);
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
  take_latency (node, result, latency);
  if (load != NULL)
    take_load (node, now, load);
  /* A connection that ended says nothing of the node behind it: a new one will tell. */
  if (failed && !node->connected)
    return false;
  if (result == FQ_ROUTING_CANCELLED || !fq_ejection_note (&node->ejection, failed))
    return false;
  return node->service != NULL && fq_routing_eject (routing, node, now);
}

void
fq_routing_mark_refusing (fq_routing_t *routing, fq_time_t now, const char *name)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);

  if (node != NULL)
    node->closed_until = now + FQ_CLOSED_US;
}

static fq_routing_level_t *
level_of (fq_routing_service_t *service, uint64_t member)
{
  fq_routing_level_t *level = fq_map_get (&service->levels, member);

  if (level != NULL)
    return level;
  level = calloc (1, sizeof *level);
  if (level != NULL && fq_map_set (&service->levels, member, level) < 0)
    {
      free (level);
      return NULL;
    }
  return level;
}

/* A gate that gets little of the load must not speak for the others: each answer counts
 * alike, so that a gate counts by what it is sent. */
void
fq_routing_record_shed_level (fq_routing_t *routing,
                              fq_time_t now,
                              const char *name,
                              const char *member,
                              const fq_load_t *load)
{
  fq_routing_node_t *node = fq_routing_find_node (routing, name);
  fq_routing_level_t *level;
  double shed = fq_shed_classes (load);

  if (node == NULL || node->service == NULL || load->limit == 0)
    return;
  level = level_of (node->service, fq_map_hash (member));
  if (level == NULL)
    return;
  if (level->at == 0 || now - level->at >= FQ_HINT_AGE_US)
    level->shed_classes = shed;
  else
    level->shed_classes += FQ_LEVEL_SMOOTHING * (shed - level->shed_classes);
  level->at = now;
}

void
fq_routing_shed_level (const fq_routing_t *routing,
                       fq_time_t now,
                       const char *name,
                       const char *member,
                       fq_load_t *out)
{
  const fq_routing_service_t *service = fq_routing_find_service (routing, name);
  const fq_routing_level_t *level
      = service == NULL ? NULL : fq_map_get (&service->levels, fq_map_hash (member));

  *out = (fq_load_t){ .shed_class = FQ_CLASS_COUNT };
  if (level != NULL && now - level->at < FQ_HINT_AGE_US)
    fq_shed_set_classes (out, level->shed_classes);
}
