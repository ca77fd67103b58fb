#include "core/admission/queue.h"

#include <stdlib.h>

/* A queue is standing when the shortest wait of an interval is over the target. */
#define FQ_QUEUE_INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_QUEUE_TARGET_US (20 * FQ_MICROSECONDS_PER_MS)

enum
{
  FQ_FLOW_ADMITTED_CHAINS, /* internal calls */
  FQ_FLOW_NEW_CHAINS,
  FQ_FLOW_KINDS,
};

/* The queued requests of one member in one tier. */
struct fq_queue_flow
{
  fq_list_t link; /* in the active flows of its tier, while a request is queued */
  fq_list_t entries[FQ_CLASS_COUNT][FQ_FLOW_KINDS]; /* oldest first */
  uint32_t class_count[FQ_CLASS_COUNT];
  uint32_t count;
};

void
fq_queue_init (fq_queue_t *queue, bool newest_first)
{
  *queue = (fq_queue_t){ .newest_first = newest_first };
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    fq_list_init (&queue->by_age[i]);
  for (int i = 0; i < FQ_QUEUE_TIERS; i++)
    {
      fq_list_init (&queue->tiers[i].active_flows);
      queue->tiers[i].min_wait = -1;
    }
}

void
fq_queue_clear (fq_queue_t *queue)
{
  for (int i = 0; i < FQ_QUEUE_TIERS; i++)
    {
      size_t cursor = 0;
      void *flow;

      while ((flow = fq_map_next (&queue->tiers[i].flows, &cursor)) != NULL)
        free (flow);
      fq_map_clear (&queue->tiers[i].flows);
    }
}

static int
tier_of (fq_class_t request_class)
{
  return request_class == FQ_CLASS_CRITICAL ? FQ_QUEUE_CRITICAL : FQ_QUEUE_NON_CRITICAL;
}

static fq_queue_flow_t *
new_flow (void)
{
  fq_queue_flow_t *flow = calloc (1, sizeof *flow);

  if (flow == NULL)
    return NULL;
  fq_list_init (&flow->link);
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    {
      for (int kind = 0; kind < FQ_FLOW_KINDS; kind++)
        fq_list_init (&flow->entries[i][kind]);
    }
  return flow;
}

/* Flows are kept until fq_queue_clear(): members are authenticated and few. */
static fq_queue_flow_t *
flow_of (fq_queue_tier_state_t *tier, uint64_t member)
{
  fq_queue_flow_t *flow = fq_map_get (&tier->flows, member);

  if (flow != NULL)
    return flow;
  flow = new_flow ();
  if (flow != NULL && fq_map_set (&tier->flows, member, flow) < 0)
    {
      free (flow);
      return NULL;
    }
  return flow;
}

/* At the end of an interval: the queue is standing when even the shortest wait of the
 * interval was over the target, or no request started. */
static void
update_standing (fq_queue_tier_state_t *tier, fq_time_t now)
{
  if (now - tier->interval_start < FQ_QUEUE_INTERVAL_US)
    return;
  tier->standing = tier->min_wait < 0 || tier->min_wait > FQ_QUEUE_TARGET_US;
  tier->interval_start = now;
  tier->min_wait = -1;
}

int
fq_queue_push (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry)
{
  fq_queue_tier_state_t *tier = &queue->tiers[tier_of (entry->request_class)];
  fq_queue_flow_t *flow = flow_of (tier, entry->member);
  int kind = entry->internal ? FQ_FLOW_ADMITTED_CHAINS : FQ_FLOW_NEW_CHAINS;

  if (flow == NULL)
    return FQ_ERROR_NOMEM;
  if (tier->count == 0)
    {
      tier->interval_start = now;
      tier->min_wait = -1;
      tier->standing = false;
    }
  fq_list_append (&flow->entries[entry->request_class][kind], &entry->link);
  fq_list_append (&queue->by_age[entry->request_class], &entry->age_link);
  entry->flow = flow;
  if (flow->count++ == 0)
    fq_list_append (&tier->active_flows, &flow->link);
  flow->class_count[entry->request_class]++;
  tier->count++;
  queue->count++;
  return FQ_OK;
}

/* The entry of @flow to start next; NULL: none. */
static fq_admission_entry_t *
first_of (const fq_queue_flow_t *flow, bool newest_first)
{
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    {
      for (int kind = 0; kind < FQ_FLOW_KINDS; kind++)
        {
          const fq_list_t *from = &flow->entries[i][kind];
          fq_list_t *link = newest_first ? fq_list_last (from) : fq_list_first (from);

          if (link != NULL)
            return FQ_LIST_ENTRY (link, fq_admission_entry_t, link);
        }
    }
  return NULL;
}

/* The entry of @flow that would start last; NULL: none. */
static fq_admission_entry_t *
last_of (const fq_queue_flow_t *flow, bool newest_first)
{
  for (int i = FQ_CLASS_COUNT - 1; i >= 0; i--)
    {
      for (int kind = FQ_FLOW_KINDS - 1; kind >= 0; kind--)
        {
          const fq_list_t *from = &flow->entries[i][kind];
          fq_list_t *link = newest_first ? fq_list_first (from) : fq_list_last (from);

          if (link != NULL)
            return FQ_LIST_ENTRY (link, fq_admission_entry_t, link);
        }
    }
  return NULL;
}

static bool
serves_newest_first (const fq_queue_t *queue, const fq_queue_tier_state_t *tier)
{
  return queue->newest_first && tier->standing;
}

fq_admission_entry_t *
fq_queue_peek (fq_queue_t *queue, fq_time_t now)
{
  for (int i = 0; i < FQ_QUEUE_TIERS; i++)
    {
      fq_queue_tier_state_t *tier = &queue->tiers[i];
      fq_list_t *link = fq_list_first (&tier->active_flows);

      if (link == NULL)
        continue;
      update_standing (tier, now);
      return first_of (FQ_LIST_ENTRY (link, fq_queue_flow_t, link),
                       serves_newest_first (queue, tier));
    }
  return NULL;
}

void
fq_queue_remove (fq_queue_t *queue, fq_admission_entry_t *entry)
{
  fq_queue_flow_t *flow = entry->flow;

  fq_list_remove (&entry->link);
  fq_list_remove (&entry->age_link);
  flow->class_count[entry->request_class]--;
  if (--flow->count == 0)
    fq_list_remove (&flow->link);
  entry->flow = NULL;
  queue->tiers[tier_of (entry->request_class)].count--;
  queue->count--;
}

void
fq_queue_take (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry)
{
  fq_queue_tier_state_t *tier = &queue->tiers[tier_of (entry->request_class)];
  fq_queue_flow_t *flow = entry->flow;
  fq_time_t wait = now - entry->offered;

  if (tier->min_wait < 0 || wait < tier->min_wait)
    tier->min_wait = wait;
  fq_queue_remove (queue, entry);
  if (flow->count == 0)
    return;
  fq_list_remove (&flow->link);
  fq_list_append (&tier->active_flows, &flow->link);
}

fq_admission_entry_t *
fq_queue_oldest (const fq_queue_t *queue, fq_class_t request_class)
{
  fq_list_t *link = fq_list_first (&queue->by_age[request_class]);

  return link == NULL ? NULL : FQ_LIST_ENTRY (link, fq_admission_entry_t, age_link);
}

static fq_queue_flow_t *
longest_flow (const fq_queue_tier_state_t *tier)
{
  fq_queue_flow_t *longest = NULL;

  FQ_LIST_FOREACH (link, &tier->active_flows)
  {
    fq_queue_flow_t *flow = FQ_LIST_ENTRY (link, fq_queue_flow_t, link);

    if (longest == NULL || flow->count > longest->count)
      longest = flow;
  }
  return longest;
}

/* Whether @arrival should be queued in place of @last of the same member. */
static bool
outranks (const fq_admission_entry_t *arrival,
          const fq_admission_entry_t *last,
          bool newest_first)
{
  if (arrival->request_class != last->request_class)
    return arrival->request_class < last->request_class;
  if (arrival->internal != last->internal)
    return arrival->internal;
  return newest_first;
}

fq_admission_entry_t *
fq_queue_victim (const fq_queue_t *queue, const fq_admission_entry_t *arrival)
{
  for (int i = FQ_QUEUE_TIERS - 1; i >= tier_of (arrival->request_class); i--)
    {
      const fq_queue_tier_state_t *tier = &queue->tiers[i];
      bool newest_first = serves_newest_first (queue, tier);
      fq_queue_flow_t *longest = longest_flow (tier);
      fq_queue_flow_t *own = fq_map_get (&tier->flows, arrival->member);
      fq_admission_entry_t *last;

      if (longest == NULL)
        continue;
      if (i > tier_of (arrival->request_class))
        return last_of (longest, newest_first);
      if (own == NULL || own->count < longest->count)
        return last_of (longest, newest_first);
      last = last_of (own, newest_first);
      return outranks (arrival, last, newest_first) ? last : NULL;
    }
  return NULL;
}

/* Estimates how many requests of the arrival's own member start before it: those that
 * wait in more important classes and, unless the newest goes first, in its own class. New
 * chains of its class are counted for an internal call too, although it goes ahead of
 * them. */
static uint32_t
count_own_ahead (const fq_queue_flow_t *flow, fq_class_t request_class, bool newest_first)
{
  uint32_t count = 0;

  if (flow == NULL)
    return 0;
  for (int i = 0; i <= (int)request_class; i++)
    count += flow->class_count[i];
  return newest_first ? count - flow->class_count[request_class] : count;
}

/* Requests of @flow that start before the arrival. Members take turns, so that while
 * @own_before requests of the arrival's member and the arrival itself start, at most
 * @own_before + 1 of @flow do. */
static uint32_t
count_started_before (const fq_queue_flow_t *flow, uint32_t own_before)
{
  return flow->count < own_before + 1 ? flow->count : own_before + 1;
}

uint32_t
fq_queue_count_ahead (const fq_queue_t *queue, const fq_admission_entry_t *arrival)
{
  int own_tier = tier_of (arrival->request_class);
  const fq_queue_tier_state_t *tier = &queue->tiers[own_tier];
  const fq_queue_flow_t *own = fq_map_get (&tier->flows, arrival->member);
  uint32_t own_before
      = count_own_ahead (own, arrival->request_class, serves_newest_first (queue, tier));
  uint32_t ahead
      = own == NULL ? own_before : own_before - count_started_before (own, own_before);

  for (int i = 0; i < own_tier; i++)
    ahead += queue->tiers[i].count;
  FQ_LIST_FOREACH (link, &tier->active_flows)
  ahead += count_started_before (FQ_LIST_ENTRY (link, fq_queue_flow_t, link), own_before);
  return ahead;
}
