#include "core/reports/burn_report.h"

#include <stdio.h>
#include <stdlib.h>

#define FQ_BURN_REPORT_CAUSES_MAX 3
#define FQ_BURN_MISSING_BYTES 256

void
fq_burn_report_add_row (fq_burn_report_data_t *data,
                        const json_t *row,
                        const char *member,
                        int64_t wall_ms)
{
  const char *node;
  json_t *ignored;

  fq_burn_table_merge_row (&data->table, row, member, wall_ms);
  data->rows++;
  json_object_foreach (json_object_get (row, "writers"), node, ignored)
  {
    fq_burn_writer_t writer;

    fq_burn_row_find_writer (row, node, &writer);
    if (data->rollups == 0 || writer.wall_ms < data->oldest_rollup_ms)
      data->oldest_rollup_ms = writer.wall_ms;
    data->rollups++;
  }
}

/*
 * The share of bad calls divided by the share that the objective allows. At a rate of 1
 * the error budget is used up exactly at the end of its period. A target of 100 % allows
 * none; the number of bad calls is then the rate.
 */
static double
burn_rate (const fq_burn_bucket_t *calls, const fq_objective_t *objective)
{
  double allowed = 1 - objective->target_percent / 100;
  double total = (double)(calls->good + calls->bad);

  if (calls->bad == 0 || allowed <= 0)
    return calls->bad == 0 ? 0 : (double)calls->bad;
  return (double)calls->bad / total / allowed;
}

static json_t *
json_of_main_causes (const fq_burn_series_t *series, int64_t wall_ms)
{
  uint64_t counts[FQ_CAUSE_COUNT];
  json_t *json = json_array ();

  fq_burn_series_sum_causes (series, wall_ms, counts);
  for (size_t listed = 0; listed < FQ_BURN_REPORT_CAUSES_MAX; listed++)
    {
      size_t most = 0;

      for (size_t i = 1; i < FQ_CAUSE_COUNT; i++)
        {
          if (counts[i] > counts[most])
            most = i;
        }
      if (counts[most] == 0)
        break;
      json_array_append_new (
          json,
          json_pack ("{s:s,s:I}", "cause",
                     most == FQ_CAUSE_NONE ? "late" : fq_cause_name ((fq_cause_t)most),
                     "count", (json_int_t)counts[most]));
      counts[most] = 0;
    }
  return json;
}

static json_t *
json_of_cell (const fq_burn_cell_t *cell, const fq_tickets_t *tickets, int64_t wall_ms)
{
  const json_t *objectives
      = tickets == NULL ? NULL : fq_tickets_objectives (tickets, cell->service);
  fq_objective_t objective;
  fq_burn_bucket_t budget_window;
  fq_burn_bucket_t short_window;
  fq_burn_bucket_t long_window;
  uint64_t calls;

  fq_burn_objective (objectives, cell->request_class, &objective);
  fq_burn_series_sum_coarse (&cell->series, wall_ms, FQ_BURN_BUDGET_WINDOW_BUCKETS,
                             &budget_window);
  fq_burn_series_sum_fine (&cell->series, wall_ms, FQ_BURN_SHORT_WINDOW_BUCKETS,
                           &short_window);
  fq_burn_series_sum_fine (&cell->series, wall_ms, FQ_BURN_LONG_WINDOW_BUCKETS,
                           &long_window);
  calls = budget_window.good + budget_window.bad;
  return json_pack ("{s:s,s:s,s:f,s:I,s:I,s:I,s:f,s:f,s:f,s:o}", "service", cell->service,
                    "class", fq_class_name (cell->request_class), "target_percent",
                    objective.target_percent, "latency_ms",
                    (json_int_t)objective.latency_ms, "calls", (json_int_t)calls, "bad",
                    (json_int_t)budget_window.bad, "budget_left_percent",
                    100 * (1 - burn_rate (&budget_window, &objective)), "burn_short",
                    burn_rate (&short_window, &objective), "burn_long",
                    burn_rate (&long_window, &objective), "causes",
                    json_of_main_causes (&cell->series, wall_ms));
}

static void
describe_missing (char *to,
                  const fq_burn_report_data_t *data,
                  const char *missing,
                  int64_t wall_ms)
{
  if (missing != NULL)
    snprintf (to, FQ_BURN_MISSING_BYTES, "%s.", missing);
  else if (data->rollups == 0)
    snprintf (to, FQ_BURN_MISSING_BYTES,
              "what other nodes counted: none has rolled up yet.");
  else
    snprintf (to, FQ_BURN_MISSING_BYTES,
              "what other nodes counted since their last roll-up; the oldest is %lld s "
              "ago.",
              (long long)((wall_ms - data->oldest_rollup_ms) / 1000));
}

char *
fq_burn_report_to_json (const fq_burn_report_data_t *data,
                        const fq_tickets_t *tickets,
                        const char *missing,
                        int64_t wall_ms)
{
  char text[FQ_BURN_MISSING_BYTES];
  json_t *lines = json_array ();
  json_t *json;
  char *body;

  FQ_LIST_FOREACH (link, &data->table.cells)
  {
    json_array_append_new (
        lines,
        json_of_cell (FQ_LIST_ENTRY (link, fq_burn_cell_t, link), tickets, wall_ms));
  }
  describe_missing (text, data, missing, wall_ms);
  json = json_pack ("{s:o,s:I,s:I,s:b,s:s,s:I}", "lines", lines, "rows",
                    (json_int_t)data->rows, "roll_ups", (json_int_t)data->rollups,
                    "complete", missing == NULL, "missing", text, "calls_left_out",
                    (json_int_t)data->table.calls_left_out);
  body = json == NULL ? NULL : json_dumps (json, JSON_COMPACT | JSON_REAL_PRECISION (6));
  json_decref (json);
  return body;
}
