#include "core/admission/queue.h"

#include <stdlib.h>

#define FQ_QUEUE_INTERVAL_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_QUEUE_TARGET_US (20 * FQ_MICROSECONDS_PER_MS)

enum
{
  FQ_FLOW_INNER, /* calls of chains that were admitted before */
  FQ_FLOW_FRESH,
  FQ_FLOW_KINDS,
};

/* What one member has waiting in one tier. */
struct fq_queue_flow
{
  fq_list_t link; /* in its tier's turns, while anything waits */
  fq_list_t entries[FQ_CLASS_COUNT][FQ_FLOW_KINDS]; /* oldest first */
  uint32_t class_count[FQ_CLASS_COUNT];
  uint32_t count;
};

void
fq_queue_init (fq_queue_t *queue, bool newest_first)
{
  *queue = (fq_queue_t){ .newest_first = newest_first };
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    fq_list_init (&queue->ages[i]);
  for (int i = 0; i < FQ_QUEUE_TIERS; i++)
    {
      fq_list_init (&queue->tiers[i].turns);
      queue->tiers[i].least_wait = -1;
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
  return request_class == FQ_CLASS_CRITICAL ? FQ_QUEUE_CRITICAL : FQ_QUEUE_OTHERS;
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

/* Members are authenticated and few, so a flow stays once it was made. */
static fq_queue_flow_t *
flow_of (fq_queue_turns_t *tier, uint64_t member)
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

/* A queue is standing when even the shortest wait of an interval was over the target. */
static void
end_interval (fq_queue_turns_t *tier, fq_time_t now)
{
  if (now - tier->interval_start < FQ_QUEUE_INTERVAL_US)
    return;
  tier->standing = tier->least_wait < 0 || tier->least_wait > FQ_QUEUE_TARGET_US;
  tier->interval_start = now;
  tier->least_wait = -1;
}

int
fq_queue_push (fq_queue_t *queue, fq_time_t now, fq_admission_entry_t *entry)
{
  fq_queue_turns_t *tier = &queue->tiers[tier_of (entry->request_class)];
  fq_queue_flow_t *flow = flow_of (tier, entry->member);
  int kind = entry->inner ? FQ_FLOW_INNER : FQ_FLOW_FRESH;

  if (flow == NULL)
    return FQ_ERROR_NOMEM;
  if (tier->count == 0)
    {
      tier->interval_start = now;
      tier->least_wait = -1;
      tier->standing = false;
    }
  fq_list_append (&flow->entries[entry->request_class][kind], &entry->link);
  fq_list_append (&queue->ages[entry->request_class], &entry->age);
  entry->flow = flow;
  if (flow->count++ == 0)
    fq_list_append (&tier->turns, &flow->link);
  flow->class_count[entry->request_class]++;
  tier->count++;
  queue->count++;
  return FQ_OK;
}

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

/* The one that would start last. */
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
goes_newest_first (const fq_queue_t *queue, const fq_queue_turns_t *tier)
{
  return queue->newest_first && tier->standing;
}

fq_admission_entry_t *
fq_queue_next (fq_queue_t *queue, fq_time_t now)
{
  for (int i = 0; i < FQ_QUEUE_TIERS; i++)
    {
      fq_queue_turns_t *tier = &queue->tiers[i];
      fq_list_t *link = fq_list_first (&tier->turns);

      if (link == NULL)
        continue;
      end_interval (tier, now);
      return first_of (FQ_LIST_ENTRY (link, fq_queue_flow_t, link),
                       goes_newest_first (queue, tier));
    }
  return NULL;
}

void
fq_queue_remove (fq_queue_t *queue, fq_admission_entry_t *entry)
{
  fq_queue_flow_t *flow = entry->flow;

  fq_list_remove (&entry->link);
  fq_list_remove (&entry->age);
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
  fq_queue_turns_t *tier = &queue->tiers[tier_of (entry->request_class)];
  fq_queue_flow_t *flow = entry->flow;
  fq_time_t wait = now - entry->offered;

  if (tier->least_wait < 0 || wait < tier->least_wait)
    tier->least_wait = wait;
  fq_queue_remove (queue, entry);
  if (flow->count == 0)
    return;
  fq_list_remove (&flow->link);
  fq_list_append (&tier->turns, &flow->link);
}

fq_admission_entry_t *
fq_queue_oldest (const fq_queue_t *queue, fq_class_t request_class)
{
  fq_list_t *link = fq_list_first (&queue->ages[request_class]);

  return link == NULL ? NULL : FQ_LIST_ENTRY (link, fq_admission_entry_t, age);
}

static fq_queue_flow_t *
longest_flow (const fq_queue_turns_t *tier)
{
  fq_queue_flow_t *longest = NULL;

  FQ_LIST_FOREACH (link, &tier->turns)
  {
    fq_queue_flow_t *flow = FQ_LIST_ENTRY (link, fq_queue_flow_t, link);

    if (longest == NULL || flow->count > longest->count)
      longest = flow;
  }
  return longest;
}

/* Whether @arrival of the same member is worth more than @last. */
static bool
is_better (const fq_admission_entry_t *arrival,
           const fq_admission_entry_t *last,
           bool newest_first)
{
  if (arrival->request_class != last->request_class)
    return arrival->request_class < last->request_class;
  if (arrival->inner != last->inner)
    return arrival->inner;
  return newest_first;
}

fq_admission_entry_t *
fq_queue_victim (const fq_queue_t *queue, const fq_admission_entry_t *arrival)
{
  for (int i = FQ_QUEUE_TIERS - 1; i >= tier_of (arrival->request_class); i--)
    {
      const fq_queue_turns_t *tier = &queue->tiers[i];
      bool newest_first = goes_newest_first (queue, tier);
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
      return is_better (arrival, last, newest_first) ? last : NULL;
    }
  return NULL;
}

/* Of the arrival's own member: what waits in its class and in more important ones. */
static uint32_t
own_ahead (const fq_queue_flow_t *flow, fq_class_t request_class, bool newest_first)
{
  uint32_t count = 0;

  if (flow == NULL)
    return 0;
  for (int i = 0; i <= (int)request_class; i++)
    count += flow->class_count[i];
  return newest_first ? count - flow->class_count[request_class] : count;
}

/* A member may start this many while the arrival's member starts @in_turn. */
static uint32_t
share_of (const fq_queue_flow_t *flow, uint32_t in_turn)
{
  return flow->count < in_turn + 1 ? flow->count : in_turn + 1;
}

uint32_t
fq_queue_ahead (const fq_queue_t *queue, const fq_admission_entry_t *arrival)
{
  int own_tier = tier_of (arrival->request_class);
  const fq_queue_turns_t *tier = &queue->tiers[own_tier];
  const fq_queue_flow_t *own = fq_map_get (&tier->flows, arrival->member);
  uint32_t in_turn
      = own_ahead (own, arrival->request_class, goes_newest_first (queue, tier));
  uint32_t ahead = own == NULL ? in_turn : in_turn - share_of (own, in_turn);

  for (int i = 0; i < own_tier; i++)
    ahead += queue->tiers[i].count;
  FQ_LIST_FOREACH (link, &tier->turns)
  ahead += share_of (FQ_LIST_ENTRY (link, fq_queue_flow_t, link), in_turn);
  return ahead;
}
