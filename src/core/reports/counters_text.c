/**
 * DOC: The counters as operators read them: Prometheus text and JSON.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/counters_private.h"

/* Upper ends of the buckets that are shown, in microseconds. */
static const uint64_t bounds_us[]
    = { 500,    1000,   2000,    5000,    10000,   20000,    50000,   100000,
        200000, 500000, 1000000, 2000000, 5000000, 10000000, 30000000 };

static const char *const happening_names[] = {
  [FQ_HAPPENING_REFUSAL] = "refusal",   [FQ_HAPPENING_UNKNOWN] = "unknown",
  [FQ_HAPPENING_EJECTION] = "ejection", [FQ_HAPPENING_LIMIT] = "limit",
  [FQ_HAPPENING_UPSTREAM] = "upstream", [FQ_HAPPENING_TICKET] = "ticket",
};

static bool
owns (const char *member, const char *service)
{
  char owner[FQ_NAME_BYTES];

  fq_counters_member_of (owner, service);
  return service[0] != '\0' && strcmp (owner, member) == 0;
}

static void
write_label (FILE *to, const char *name, const char *value)
{
  fprintf (to, "%s=\"", name);
  for (; *value != '\0'; value++)
    {
      if (*value == '"' || *value == '\\')
        fputc ('\\', to);
      if (*value == '\n')
        fputs ("\\n", to);
      else
        fputc (*value, to);
    }
  fputc ('"', to);
}

static void
write_labels (FILE *to, const fq_counters_record_t *record)
{
  fputc ('{', to);
  write_label (to, "service", record->service);
  fputc (',', to);
  write_label (to, "class", fq_class_name (record->request_class));
}

static void
write_ends (FILE *to, const fq_counters_record_t *record)
{
  for (int outcome = 0; outcome < FQ_OUTCOME_COUNT; outcome++)
    {
      for (int cause = 0; cause < FQ_CAUSE_COUNT; cause++)
        {
          if (record->ends[outcome][cause] == 0)
            continue;
          fputs ("fq_requests_total", to);
          write_labels (to, record);
          fprintf (to, ",outcome=\"%s\",cause=\"%s\"} %llu\n",
                   fq_outcome_name ((fq_outcome_t)outcome),
                   fq_cause_name ((fq_cause_t)cause),
                   (unsigned long long)record->ends[outcome][cause]);
        }
    }
}

static void
write_histogram (FILE *to, const fq_counters_record_t *record)
{
  const fq_histogram_t *latency = &record->latency;

  for (size_t i = 0; i < sizeof bounds_us / sizeof bounds_us[0]; i++)
    {
      fputs ("fq_request_duration_seconds_bucket", to);
      write_labels (to, record);
      fprintf (to, ",le=\"%g\"} %llu\n",
               (double)bounds_us[i] / FQ_MICROSECONDS_PER_SECOND,
               (unsigned long long)fq_histogram_count_at_most (latency, bounds_us[i]));
    }
  fputs ("fq_request_duration_seconds_bucket", to);
  write_labels (to, record);
  fprintf (to, ",le=\"+Inf\"} %llu\n", (unsigned long long)latency->count);
  fputs ("fq_request_duration_seconds_sum", to);
  write_labels (to, record);
  fprintf (to, "} %g\n", (double)latency->sum_us / FQ_MICROSECONDS_PER_SECOND);
  fputs ("fq_request_duration_seconds_count", to);
  write_labels (to, record);
  fprintf (to, "} %llu\n", (unsigned long long)latency->count);
}

static void
write_records (FILE *to,
               const fq_counters_t *counters,
               const char *member,
               void (*write) (FILE *to, const fq_counters_record_t *record))
{
  FQ_LIST_FOREACH (link, &counters->records)
  {
    const fq_counters_record_t *record = FQ_LIST_ENTRY (link, fq_counters_record_t, link);

    if (strcmp (record->member, member) == 0)
      write (to, record);
  }
}

static void
write_gauge (FILE *to, const char *name, const char *help, uint64_t value)
{
  fprintf (to, "# HELP %s %s\n# TYPE %s gauge\n%s %llu\n", name, help, name, name,
           (unsigned long long)value);
}

char *
fq_counters_metrics (const fq_counters_t *counters,
                     const char *member,
                     const fq_node_status_t *status)
{
  char *text = NULL;
  size_t size;
  FILE *to = open_memstream (&text, &size);

  if (to == NULL)
    return NULL;
  fputs ("# HELP fq_requests_total Requests that entered here, by how they ended.\n"
         "# TYPE fq_requests_total counter\n",
         to);
  write_records (to, counters, member, write_ends);
  fputs ("# HELP fq_request_duration_seconds Time until a whole answer.\n"
         "# TYPE fq_request_duration_seconds histogram\n",
         to);
  write_records (to, counters, member, write_histogram);
  write_gauge (to, "fq_ticket_number", "The highest ticket in force here.",
               status->ticket_number);
  if (owns (member, status->service))
    {
      write_gauge (to, "fq_gate_limit", "Requests that may run at once.",
                   status->load.limit);
      write_gauge (to, "fq_gate_in_flight", "Requests that run now.",
                   status->load.in_flight);
      write_gauge (to, "fq_gate_queued", "Requests that wait.", status->load.queued);
    }
  fclose (to);
  return text;
}

static json_t *
json_of_gate (const fq_node_status_t *status)
{
  const fq_load_t *load = &status->load;

  return json_pack ("{s:s,s:b,s:I,s:I,s:I,s:I,s:s,s:i}", "service", status->service,
                    "ready", status->ready, "limit", (json_int_t)load->limit, "in_flight",
                    (json_int_t)load->in_flight, "queued", (json_int_t)load->queued,
                    "service_us", (json_int_t)load->service_us, "sheds",
                    load->shed_class < FQ_CLASS_COUNT
                        ? fq_class_name ((fq_class_t)load->shed_class)
                        : "none",
                    "shed_percent", load->shed_percent);
}

static json_t *
json_of_causes (const fq_counters_record_t *record, fq_outcome_t outcome)
{
  json_t *json = json_object ();

  for (int cause = 0; cause < FQ_CAUSE_COUNT; cause++)
    {
      if (record->ends[outcome][cause] > 0)
        json_object_set_new (json, fq_cause_name ((fq_cause_t)cause),
                             json_integer ((json_int_t)record->ends[outcome][cause]));
    }
  return json;
}

static json_t *
json_of_record (const fq_counters_record_t *record)
{
  return json_pack ("{s:s,s:s,s:I,s:o,s:o,s:I,s:I}", "service", record->service, "class",
                    fq_class_name (record->request_class), "whole",
                    (json_int_t)record->latency.count, "not_run",
                    json_of_causes (record, FQ_OUTCOME_NOT_RUN), "unknown",
                    json_of_causes (record, FQ_OUTCOME_UNKNOWN), "p50_us",
                    (json_int_t)fq_histogram_percentile (&record->latency, 50), "p99_us",
                    (json_int_t)fq_histogram_percentile (&record->latency, 99));
}

static char *
dump (json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

char *
fq_counters_status (const fq_counters_t *counters,
                    const char *member,
                    const fq_node_status_t *status)
{
  json_t *calls = json_array ();
  json_t *json = json_pack ("{s:s,s:s,s:b,s:I,s:{s:I,s:b},s:o}", "node", status->node,
                            "failure_domain", status->failure_domain, "stopping",
                            status->stopping, "nodes", (json_int_t)status->nodes,
                            "ticket", "number", (json_int_t)status->ticket_number,
                            "confirmed", status->ticket_confirmed, "calls", calls);

  if (owns (member, status->service))
    json_object_set_new (json, "gate", json_of_gate (status));
  FQ_LIST_FOREACH (link, &counters->records)
  {
    const fq_counters_record_t *record = FQ_LIST_ENTRY (link, fq_counters_record_t, link);

    if (strcmp (record->member, member) == 0)
      json_array_append_new (calls, json_of_record (record));
  }
  return dump (json);
}

static json_t *
json_of_event (const fq_counters_event_t *event)
{
  return json_pack ("{s:I,s:I,s:s,s:s,s:s,s:I,s:s}", "number", (json_int_t)event->number,
                    "wall_ms", (json_int_t)event->wall_ms, "kind",
                    happening_names[event->kind], "service", event->service, "cause",
                    fq_cause_name (event->cause), "count", (json_int_t)event->count,
                    "text", event->text);
}

char *
fq_counters_events (const fq_counters_t *counters, const char *member)
{
  const fq_counters_ring_t *ring = fq_counters_ring (counters, member);
  json_t *events = json_array ();
  uint64_t first = 1;

  if (ring != NULL && ring->last > FQ_COUNTERS_EVENTS_MAX)
    first = ring->last - FQ_COUNTERS_EVENTS_MAX + 1;
  for (uint64_t number = first; ring != NULL && number <= ring->last; number++)
    json_array_append_new (
        events, json_of_event (&ring->events[number % FQ_COUNTERS_EVENTS_MAX]));
  return dump (json_pack ("{s:o}", "events", events));
}
