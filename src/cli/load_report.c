#include "cli/load_report.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define FQ_LOAD_UNKNOWN_CAUSE "other"

static const char *const outcome_names[FQ_LOAD_OUTCOME_COUNT] = {
  [FQ_LOAD_ANSWERED] = "whole",     [FQ_LOAD_UPSTREAM_ERROR] = "upstream_error",
  [FQ_LOAD_WRONG_ANSWER] = "wrong", [FQ_LOAD_REFUSED] = "refused",
  [FQ_LOAD_UNKNOWN] = "unknown",    [FQ_LOAD_FAILED] = "failed",
  [FQ_LOAD_NOT_SENT] = "not_sent",
};

struct fq_load_report
{
  const fq_load_plan_t *plan;
  size_t seconds;
  fq_load_counts_t *cells; /* for each second, one for each class */
};

int
fq_load_report_new (fq_load_report_t **out, const fq_load_plan_t *plan)
{
  fq_load_report_t *report = calloc (1, sizeof *report);

  if (report == NULL)
    goto no_memory;
  report->plan = plan;
  report->seconds = (size_t)ceil (fq_load_plan_seconds (plan)) + 1;
  report->cells = calloc (report->seconds * plan->class_count, sizeof *report->cells);
  if (report->cells == NULL)
    goto no_memory;
  *out = report;
  return FQ_OK;

no_memory:
  free (report);
  return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_NOMEM,
                       "out of memory for the load report");
}

void
fq_load_report_free (fq_load_report_t *report)
{
  if (report == NULL)
    return;
  free (report->cells);
  free (report);
}

fq_load_counts_t *
fq_load_report_counts (fq_load_report_t *report, size_t request_class, int64_t time_us)
{
  size_t second = (size_t)(time_us / FQ_MICROSECONDS_PER_SECOND);

  if (second >= report->seconds)
    second = report->seconds - 1;
  return &report->cells[second * report->plan->class_count + request_class];
}

static void
add_counts (fq_load_counts_t *to, const fq_load_counts_t *from)
{
  to->requests += from->requests;
  to->attempts += from->attempts;
  for (size_t i = 0; i < FQ_LOAD_OUTCOME_COUNT; i++)
    to->outcomes[i] += from->outcomes[i];
  for (size_t i = 0; i <= FQ_CAUSE_COUNT; i++)
    to->refused[i] += from->refused[i];
  to->in_time += from->in_time;
  to->finished_in_time += from->finished_in_time;
  fq_histogram_merge (&to->latency_from_intended, &from->latency_from_intended);
  fq_histogram_merge (&to->latency_from_sent, &from->latency_from_sent);
}

static void
sum_class (const fq_load_report_t *report, size_t request_class, fq_load_counts_t *out)
{
  memset (out, 0, sizeof *out);
  for (size_t second = 0; second < report->seconds; second++)
    add_counts (out, &report->cells[second * report->plan->class_count + request_class]);
}

void
fq_load_report_total (const fq_load_report_t *report, fq_load_counts_t *out)
{
  memset (out, 0, sizeof *out);
  for (size_t i = 0; i < report->seconds * report->plan->class_count; i++)
    add_counts (out, &report->cells[i]);
}

uint64_t
fq_load_counts_unaccounted (const fq_load_counts_t *counts)
{
  uint64_t accounted = 0;

  for (size_t i = 0; i < FQ_LOAD_OUTCOME_COUNT; i++)
    accounted += counts->outcomes[i];
  return counts->attempts - accounted;
}

static json_t *
json_from_histogram (const fq_histogram_t *histogram)
{
  return json_pack ("{s:I,s:I,s:I}", "p50_us",
                    (json_int_t)fq_histogram_percentile (histogram, 50), "p99_us",
                    (json_int_t)fq_histogram_percentile (histogram, 99), "max_us",
                    (json_int_t)histogram->max_us);
}

static json_t *
json_from_causes (const fq_load_counts_t *counts)
{
  json_t *causes = json_object ();

  for (size_t i = 0; i <= FQ_CAUSE_COUNT; i++)
    {
      const char *name
          = i == FQ_CAUSE_COUNT ? FQ_LOAD_UNKNOWN_CAUSE : fq_cause_name ((fq_cause_t)i);

      if (counts->refused[i] > 0)
        json_object_set_new (causes, name, json_integer ((json_int_t)counts->refused[i]));
    }
  return causes;
}

static json_t *
json_from_counts (const fq_load_counts_t *counts)
{
  json_t *json = json_object ();

  json_object_set_new (json, "requests", json_integer ((json_int_t)counts->requests));
  json_object_set_new (json, "attempts", json_integer ((json_int_t)counts->attempts));
  for (size_t i = 0; i < FQ_LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (json, outcome_names[i],
                         json_integer ((json_int_t)counts->outcomes[i]));
  json_object_set_new (json, "refused_by_cause", json_from_causes (counts));
  json_object_set_new (json, "unaccounted",
                       json_integer ((json_int_t)fq_load_counts_unaccounted (counts)));
  json_object_set_new (json, "in_time", json_integer ((json_int_t)counts->in_time));
  json_object_set_new (json, "finished_in_time",
                       json_integer ((json_int_t)counts->finished_in_time));
  json_object_set_new (json, "latency",
                       json_from_histogram (&counts->latency_from_intended));
  json_object_set_new (json, "latency_from_sending",
                       json_from_histogram (&counts->latency_from_sent));
  return json;
}

static json_t *
json_from_second (const fq_load_report_t *report, size_t second)
{
  json_t *classes = json_object ();

  for (size_t i = 0; i < report->plan->class_count; i++)
    json_object_set_new (
        classes, report->plan->classes[i].name,
        json_from_counts (&report->cells[second * report->plan->class_count + i]));
  return json_pack ("{s:i,s:o}", "second", (int)second, "classes", classes);
}

json_t *
fq_load_report_json (const fq_load_report_t *report)
{
  json_t *classes = json_object ();
  json_t *seconds = json_array ();
  fq_load_counts_t counts;

  for (size_t i = 0; i < report->plan->class_count; i++)
    {
      sum_class (report, i, &counts);
      json_object_set_new (classes, report->plan->classes[i].name,
                           json_from_counts (&counts));
    }
  for (size_t second = 0; second < report->seconds; second++)
    json_array_append_new (seconds, json_from_second (report, second));
  fq_load_report_total (report, &counts);
  return json_pack ("{s:o,s:o,s:o}", "total", json_from_counts (&counts), "classes",
                    classes, "seconds", seconds);
}

static void
print_row (const char *name, const fq_load_counts_t *counts, FILE *to)
{
  fprintf (to, "%-14s %9llu %9llu", name, (unsigned long long)counts->requests,
           (unsigned long long)counts->attempts);
  for (size_t i = 0; i < FQ_LOAD_OUTCOME_COUNT; i++)
    fprintf (to, " %8llu", (unsigned long long)counts->outcomes[i]);
  fprintf (to, " %9.2f %9.2f %9.2f\n",
           (double)fq_histogram_percentile (&counts->latency_from_intended, 50) / 1000,
           (double)fq_histogram_percentile (&counts->latency_from_intended, 99) / 1000,
           (double)counts->latency_from_intended.max_us / 1000);
}

void
fq_load_report_print (const fq_load_report_t *report, FILE *to)
{
  fq_load_counts_t counts;

  fprintf (to, "%-14s %9s %9s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "class",
           "requests", "attempts", "whole", "up_error", "wrong", "refused", "unknown",
           "failed", "not_sent", "p50_ms", "p99_ms", "max_ms");
  for (size_t i = 0; i < report->plan->class_count; i++)
    {
      sum_class (report, i, &counts);
      print_row (report->plan->classes[i].name, &counts, to);
    }
  fq_load_report_total (report, &counts);
  print_row ("total", &counts, to);
  for (size_t i = 0; i <= FQ_CAUSE_COUNT; i++)
    {
      if (counts.refused[i] > 0)
        fprintf (to, "refused, %s: %llu\n",
                 i == FQ_CAUSE_COUNT ? FQ_LOAD_UNKNOWN_CAUSE
                                     : fq_cause_name ((fq_cause_t)i),
                 (unsigned long long)counts.refused[i]);
    }
}
