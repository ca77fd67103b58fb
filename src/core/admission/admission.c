#include "core/admission/admission.h"

#include <stdlib.h>

#include "filbertquay/errors.h"

/* Maximum wait of requests that are not critical, or the mean service time if that is
 * longer. */
#define FQ_QUEUE_WAIT_MAX_US (200 * FQ_MICROSECONDS_PER_MS)
#define FQ_QUEUE_LENGTH_MAX 4096

/* Time after a refusal in which the shed level is reported to a member. */
#define FQ_REFUSAL_RETENTION_US (2 * FQ_MICROSECONDS_PER_SECOND)

typedef struct
{
  fq_time_t expires; /* until then the shed level is reported to the member */
} fq_recent_refusal_t;

struct fq_admission
{
  fq_admission_options_t options;
  fq_random_t random;
  fq_limiter_t limiter;
  fq_shed_t shed;
  fq_queue_t queue;
  fq_map_t refused;  /* fq_recent_refusal_t by member hash */
  fq_list_t evicted; /* entries to be refused by fq_admission_refuse_next() */
};

int
fq_admission_new (fq_admission_t **out, const fq_admission_options_t *options)
{
  fq_admission_t *admission = calloc (1, sizeof *admission);

  if (admission == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for admission");
  admission->options = *options;
  admission->random.state = options->seed;
  fq_shed_init (&admission->shed, 0);
  fq_queue_init (&admission->queue, options->policy == FQ_ADMISSION_ADAPTIVE);
  fq_list_init (&admission->evicted);
  *out = admission;
  return FQ_OK;
}

void
fq_admission_free (fq_admission_t *admission)
{
  size_t cursor = 0;
  void *refused;

  if (admission == NULL)
    return;
  while ((refused = fq_map_next (&admission->refused, &cursor)) != NULL)
    free (refused);
  fq_map_clear (&admission->refused);
  fq_queue_clear (&admission->queue);
  free (admission);
}

void
fq_admission_announce (fq_admission_t *admission,
                       fq_time_t now,
                       uint32_t slots,
                       uint32_t connections)
{
  fq_limiter_announce (&admission->limiter, now, slots, connections);
}

static uint32_t
current_limit (const fq_admission_t *admission)
{
  switch (admission->options.policy)
    {
    case FQ_ADMISSION_ADAPTIVE:
      return fq_limiter_limit (&admission->limiter);
    case FQ_ADMISSION_FIXED:
      return admission->limiter.announced_slots;
    case FQ_ADMISSION_NONE:
      return UINT32_MAX;
    }
  return 0;
}

/* Whether @entry would miss its deadline if it started now. An idle upstream always gets
 * one request that has not expired: its service time would otherwise never be measured
 * again. */
static bool
would_miss_deadline (const fq_admission_t *admission,
                     fq_time_t now,
                     const fq_admission_entry_t *entry)
{
  if (now >= entry->deadline)
    return true;
  if (admission->limiter.in_flight == 0)
    return false;
  return now + (fq_time_t)admission->limiter.service_us > entry->deadline;
}

/* Estimated time until @requests queued requests have run. */
static fq_time_t
drain_time (const fq_admission_t *admission, uint32_t requests)
{
  uint32_t limit = fq_limiter_full_limit (&admission->limiter);

  return (fq_time_t)(admission->limiter.service_us * requests / (limit == 0 ? 1 : limit));
}

static bool
would_miss_deadline_queued (const fq_admission_t *admission,
                            fq_time_t now,
                            const fq_admission_entry_t *entry)
{
  uint32_t ahead;

  if (admission->queue.count == 0)
    return false;
  ahead = fq_queue_count_ahead (&admission->queue, entry);
  return now + drain_time (admission, ahead) + (fq_time_t)admission->limiter.service_us
         > entry->deadline;
}

void
fq_admission_set_cap (fq_admission_t *admission, uint32_t cap)
{
  admission->limiter.cap = cap;
}

bool
fq_admission_would_refuse (fq_admission_t *admission,
                           fq_time_t now,
                           const fq_admission_entry_t *entry,
                           fq_cause_t *cause)
{
  if (admission->limiter.upstream_connections == 0)
    *cause = FQ_CAUSE_NO_UPSTREAM;
  else if (admission->options.policy != FQ_ADMISSION_ADAPTIVE)
    return false;
  else if (would_miss_deadline (admission, now, entry))
    *cause = FQ_CAUSE_DEADLINE;
  else if (would_miss_deadline_queued (admission, now, entry))
    *cause = FQ_CAUSE_OVERLOAD;
  else
    return false;
  return true;
}

static void
take_slot (fq_admission_t *admission, fq_time_t now, fq_admission_entry_t *entry)
{
  fq_limiter_start (&admission->limiter, now);
  entry->started = now;
}

static fq_time_t
max_queue_wait (const fq_admission_t *admission)
{
  fq_time_t service = (fq_time_t)admission->limiter.service_us;

  return service > FQ_QUEUE_WAIT_MAX_US ? service : FQ_QUEUE_WAIT_MAX_US;
}

static bool
queue_is_full (const fq_admission_t *admission)
{
  return admission->queue.count >= FQ_QUEUE_LENGTH_MAX
         || drain_time (admission, admission->queue.count) >= max_queue_wait (admission);
}

static void
evict (fq_admission_t *admission, fq_admission_entry_t *victim)
{
  fq_queue_remove (&admission->queue, victim);
  fq_list_append (&admission->evicted, &victim->link);
}

/* Evicts an entry for @arrival if the queue is full; false: @arrival must be refused.
 * Critical requests are queued beyond the maximum wait if only other critical ones could
 * be evicted: for them only the deadline and the maximum queue length apply. */
static bool
make_room (fq_admission_t *admission, const fq_admission_entry_t *arrival)
{
  fq_admission_entry_t *victim;

  if (!queue_is_full (admission))
    return true;
  victim = fq_queue_victim (&admission->queue, arrival);
  if (arrival->request_class == FQ_CLASS_CRITICAL
      && (victim == NULL || victim->request_class == FQ_CLASS_CRITICAL)
      && admission->queue.count < FQ_QUEUE_LENGTH_MAX)
    return true;
  if (victim == NULL)
    return false;
  evict (admission, victim);
  return true;
}

static fq_admission_verdict_t
enqueue (fq_admission_t *admission, fq_time_t now, fq_admission_entry_t *entry)
{
  fq_limiter_mark_saturated (&admission->limiter);
  if (admission->options.policy == FQ_ADMISSION_ADAPTIVE && !make_room (admission, entry))
    return FQ_ADMISSION_REFUSED;
  if (fq_queue_push (&admission->queue, now, entry) < 0)
    return FQ_ADMISSION_REFUSED;
  return FQ_ADMISSION_QUEUED;
}

static fq_admission_verdict_t
admit_or_queue (fq_admission_t *admission,
                fq_time_t now,
                fq_admission_entry_t *entry,
                fq_cause_t *cause)
{
  if (fq_admission_would_refuse (admission, now, entry, cause))
    return FQ_ADMISSION_REFUSED;
  if (admission->limiter.in_flight < current_limit (admission)
      && admission->queue.count == 0)
    {
      take_slot (admission, now, entry);
      return FQ_ADMISSION_RUN;
    }
  *cause = FQ_CAUSE_OVERLOAD;
  return enqueue (admission, now, entry);
}

static void
record_refusal (fq_admission_t *admission,
                fq_time_t now,
                const fq_admission_entry_t *entry)
{
  fq_recent_refusal_t *refused = fq_map_get (&admission->refused, entry->member);

  fq_shed_record_refusal (&admission->shed, entry->request_class, entry->chain_id);
  if (refused == NULL)
    {
      refused = calloc (1, sizeof *refused);
      if (refused == NULL || fq_map_set (&admission->refused, entry->member, refused) < 0)
        {
          free (refused);
          return;
        }
    }
  refused->expires = now + FQ_REFUSAL_RETENTION_US;
}

fq_admission_verdict_t
fq_admission_offer (fq_admission_t *admission,
                    fq_time_t now,
                    fq_admission_entry_t *entry,
                    fq_cause_t *cause)
{
  fq_admission_verdict_t verdict;

  fq_list_init (&entry->link);
  fq_list_init (&entry->age_link);
  entry->flow = NULL;
  entry->offered = now;
  entry->started = 0;
  fq_shed_record_offer (&admission->shed, now, entry->request_class, entry->chain_id);
  verdict = admit_or_queue (admission, now, entry, cause);
  if (verdict == FQ_ADMISSION_REFUSED && *cause == FQ_CAUSE_OVERLOAD)
    record_refusal (admission, now, entry);
  return verdict;
}

fq_admission_entry_t *
fq_admission_start_next (fq_admission_t *admission, fq_time_t now)
{
  fq_admission_entry_t *entry;

  if (admission->limiter.in_flight >= current_limit (admission))
    return NULL;
  while ((entry = fq_queue_peek (&admission->queue, now)) != NULL)
    {
      if (admission->options.policy != FQ_ADMISSION_ADAPTIVE
          || !would_miss_deadline (admission, now, entry))
        break;
      evict (admission, entry);
    }
  if (entry == NULL)
    return NULL;
  fq_queue_take (&admission->queue, now, entry);
  take_slot (admission, now, entry);
  return entry;
}

/* A queued entry that would miss its deadline or has waited too long; NULL: none. */
static fq_admission_entry_t *
find_overdue (const fq_admission_t *admission, fq_time_t now)
{
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    {
      fq_admission_entry_t *entry = fq_queue_oldest (&admission->queue, (fq_class_t)i);

      if (entry == NULL)
        continue;
      if (would_miss_deadline (admission, now, entry))
        return entry;
      if (i != FQ_CLASS_CRITICAL && now - entry->offered > max_queue_wait (admission))
        return entry;
    }
  return NULL;
}

fq_admission_entry_t *
fq_admission_refuse_next (fq_admission_t *admission, fq_time_t now, fq_cause_t *cause)
{
  fq_list_t *link = fq_list_first (&admission->evicted);
  fq_admission_entry_t *entry;

  if (admission->options.policy != FQ_ADMISSION_ADAPTIVE)
    return NULL;
  if (link != NULL)
    entry = FQ_LIST_ENTRY (link, fq_admission_entry_t, link);
  else
    entry = find_overdue (admission, now);
  if (entry == NULL)
    return NULL;
  fq_admission_remove (admission, entry);
  record_refusal (admission, now, entry);
  *cause = FQ_CAUSE_OVERLOAD;
  return entry;
}

void
fq_admission_remove (fq_admission_t *admission, fq_admission_entry_t *entry)
{
  if (entry->flow != NULL)
    fq_queue_remove (&admission->queue, entry);
  else
    fq_list_remove (&entry->link);
}

void
fq_admission_finish (fq_admission_t *admission,
                     fq_time_t now,
                     fq_admission_entry_t *entry,
                     fq_admission_result_t result)
{
  if (entry->started == 0)
    return;
  fq_limiter_finish (&admission->limiter, now, now - entry->started,
                     (fq_limiter_result_t)result);
  entry->started = 0;
}

void
fq_admission_record_downstream_refusal (fq_admission_t *admission,
                                        fq_time_t now,
                                        const fq_admission_entry_t *entry)
{
  record_refusal (admission, now, entry);
}

void
fq_admission_load (const fq_admission_t *admission, fq_load_t *out)
{
  uint32_t limit = current_limit (admission);

  if (limit > admission->limiter.upstream_connections)
    limit = admission->limiter.upstream_connections;
  *out = (fq_load_t){
    .limit = limit,
    .in_flight = admission->limiter.in_flight,
    .queued = admission->queue.count,
    .service_us = (uint32_t)admission->limiter.service_us,
    .shed_class = FQ_CLASS_COUNT,
  };
  if (admission->options.policy == FQ_ADMISSION_ADAPTIVE)
    fq_shed_level (&admission->shed, out);
}

void
fq_admission_load_for_member (const fq_admission_t *admission,
                              fq_time_t now,
                              uint64_t member,
                              fq_load_t *out)
{
  const fq_recent_refusal_t *refused = fq_map_get (&admission->refused, member);

  fq_admission_load (admission, out);
  if (refused != NULL && now < refused->expires)
    return;
  out->shed_class = FQ_CLASS_COUNT;
  out->shed_percent = 0;
}

uint32_t
fq_admission_retry_after_ms (fq_admission_t *admission,
                             fq_time_t now,
                             fq_class_t request_class)
{
  fq_load_t level;

  (void)now;
  fq_admission_load (admission, &level);
  return fq_shed_retry_after_ms (&level, request_class, &admission->random);
}
