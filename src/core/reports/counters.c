#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/counters_private.h"
#include "util/text.h"

/* Members that events are kept for; events of further members are dropped. */
#define FQ_COUNTERS_RINGS_MAX 64
/* An event is coalesced with an equal one that is less than FQ_EVENT_COALESCE_MS older
 * and among the FQ_EVENT_COALESCE_LOOKBACK newest events of the member. */
#define FQ_EVENT_COALESCE_MS 1000
#define FQ_EVENT_COALESCE_LOOKBACK 8
/* A change of the limit by less than this fraction, 1/8, is not recorded. */
#define FQ_LIMIT_CHANGE_DIVISOR 8

int
fq_counters_new (fq_counters_t **out)
{
  fq_counters_t *counters = calloc (1, sizeof *counters);

  if (counters == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for counters");
  fq_list_init (&counters->records);
  fq_list_init (&counters->rings);
  *out = counters;
  return FQ_OK;
}

void
fq_counters_free (fq_counters_t *counters)
{
  if (counters == NULL)
    return;
  FQ_LIST_FOREACH_SAFE (link, following, &counters->records)
  {
    free (FQ_LIST_ENTRY (link, fq_counters_record_t, link));
  }
  FQ_LIST_FOREACH_SAFE (link, following, &counters->rings)
  {
    free (FQ_LIST_ENTRY (link, fq_counters_ring_t, link));
  }
  fq_map_clear (&counters->records_by_key);
  free (counters);
}

static fq_counters_record_t *
new_record (fq_counters_t *counters,
            uint64_t key,
            const char *member,
            const char *service,
            fq_class_t request_class)
{
  fq_counters_record_t *record = calloc (1, sizeof *record);

  if (record == NULL || fq_map_set (&counters->records_by_key, key, record) < 0)
    {
      free (record);
      return NULL;
    }
  fq_text_copy (record->member, sizeof record->member, member);
  fq_text_copy (record->service, sizeof record->service, service);
  record->request_class = request_class;
  fq_list_append (&counters->records, &record->link);
  return record;
}

static fq_counters_record_t *
get_or_add_record (fq_counters_t *counters,
                   const char *member,
                   const char *service,
                   fq_class_t request_class)
{
  uint64_t key = fq_map_hash_pair (member, service, request_class);
  fq_counters_record_t *record = fq_map_get (&counters->records_by_key, key);

  if (record != NULL)
    return record;
  if (counters->records_by_key.count >= FQ_COUNTERS_RECORDS_MAX && service[0] != '\0')
    return get_or_add_record (counters, member, "", request_class);
  return new_record (counters, key, member, service, request_class);
}

void
fq_counters_record_call (fq_counters_t *counters,
                         int64_t wall_ms,
                         const fq_request_t *request,
                         bool service_known,
                         fq_time_t latency,
                         fq_outcome_t outcome,
                         fq_cause_t cause)
{
  const char *service = service_known ? request->service : "";
  fq_counters_record_t *record;

  if (outcome >= FQ_OUTCOME_COUNT || cause >= FQ_CAUSE_COUNT
      || request->request_class >= FQ_CLASS_COUNT)
    return;
  record = get_or_add_record (counters, request->member, service, request->request_class);
  if (record != NULL)
    {
      record->counts[outcome][cause]++;
      if (outcome == FQ_OUTCOME_ANSWERED)
        fq_histogram_add (&record->latency, latency);
    }
  if (outcome != FQ_OUTCOME_ANSWERED)
    fq_counters_record_event (counters, wall_ms, request->member,
                              outcome == FQ_OUTCOME_NOT_RUN ? FQ_COUNTERS_EVENT_REFUSAL
                                                            : FQ_COUNTERS_EVENT_UNKNOWN,
                              service, cause, "%s",
                              fq_class_name (request->request_class));
}

const fq_counters_ring_t *
fq_counters_find_ring (const fq_counters_t *counters, const char *member)
{
  FQ_LIST_FOREACH (link, &counters->rings)
  {
    fq_counters_ring_t *ring = FQ_LIST_ENTRY (link, fq_counters_ring_t, link);

    if (strcmp (ring->member, member) == 0)
      return ring;
  }
  return NULL;
}

static fq_counters_ring_t *
get_or_add_ring (fq_counters_t *counters, const char *member)
{
  fq_counters_ring_t *ring
      = (fq_counters_ring_t *)fq_counters_find_ring (counters, member);
  size_t count = 0;

  if (ring != NULL)
    return ring;
  FQ_LIST_FOREACH (link, &counters->rings)
  {
    count++;
  }
  if (count >= FQ_COUNTERS_RINGS_MAX || (ring = calloc (1, sizeof *ring)) == NULL)
    return NULL;
  fq_text_copy (ring->member, sizeof ring->member, member);
  fq_list_append (&counters->rings, &ring->link);
  return ring;
}

static bool
is_repeat (const fq_counters_event_t *event, const fq_counters_event_t *other)
{
  return other->wall_ms - event->wall_ms < FQ_EVENT_COALESCE_MS
         && event->kind == other->kind && event->cause == other->cause
         && strcmp (event->service, other->service) == 0
         && strcmp (event->text, other->text) == 0;
}

static fq_counters_event_t *
find_repeat (fq_counters_ring_t *ring, const fq_counters_event_t *event)
{
  for (uint64_t back = 0; back < FQ_EVENT_COALESCE_LOOKBACK && back < ring->last_number;
       back++)
    {
      fq_counters_event_t *other
          = &ring->events[(ring->last_number - back) % FQ_COUNTERS_EVENTS_MAX];

      if (is_repeat (other, event))
        return other;
    }
  return NULL;
}

void
fq_counters_record_event (fq_counters_t *counters,
                          int64_t wall_ms,
                          const char *member,
                          fq_counters_event_kind_t kind,
                          const char *service,
                          fq_cause_t cause,
                          const char *format,
                          ...)
{
  fq_counters_ring_t *ring = get_or_add_ring (counters, member);
  fq_counters_event_t event
      = { .wall_ms = wall_ms, .count = 1, .kind = kind, .cause = cause };
  fq_counters_event_t *earlier;
  va_list arguments;

  if (ring == NULL)
    return;
  fq_text_copy (event.service, sizeof event.service, service);
  va_start (arguments, format);
  vsnprintf (event.text, sizeof event.text, format, arguments);
  va_end (arguments);
  earlier = find_repeat (ring, &event);
  if (earlier != NULL)
    {
      earlier->count++;
      return;
    }
  event.number = ++ring->last_number;
  ring->events[event.number % FQ_COUNTERS_EVENTS_MAX] = event;
}

void
fq_counters_record_limit (fq_counters_t *counters,
                          int64_t wall_ms,
                          const char *service,
                          uint32_t limit)
{
  char member[FQ_NAME_BYTES];
  uint32_t change = limit > counters->reported_limit ? limit - counters->reported_limit
                                                     : counters->reported_limit - limit;

  if (service[0] == '\0' || change == 0
      || change * FQ_LIMIT_CHANGE_DIVISOR < counters->reported_limit)
    return;
  fq_counters_service_member (member, service);
  fq_counters_record_event (counters, wall_ms, member, FQ_COUNTERS_EVENT_LIMIT, service,
                            FQ_CAUSE_NONE, "from %u to %u", counters->reported_limit,
                            limit);
  counters->reported_limit = limit;
}

void
fq_counters_service_member (char member[FQ_NAME_BYTES], const char *service)
{
  size_t length = strcspn (service, "/");

  if (length >= FQ_NAME_BYTES)
    length = FQ_NAME_BYTES - 1;
  memcpy (member, service, length);
  member[length] = '\0';
}
