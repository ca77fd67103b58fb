#include "mesh/metrics.h"

#define FQ_US_PER_S 1e6

static const char *const counter_names[FQ_METRIC_COUNT] = {
  [FQ_METRIC_REQUESTS] = "requests_total",
  [FQ_METRIC_ANSWERED] = "answered_total",
  [FQ_METRIC_REFUSED] = "refused_total",
  [FQ_METRIC_FAILED] = "failed_total",
  [FQ_METRIC_CLIENT_DISCONNECTS] = "clients_gone_total",
  [FQ_METRIC_NO_ROUTE] = "no_route_total",
  [FQ_METRIC_OFFERS] = "offers_total",
  [FQ_METRIC_REPEATS] = "repeats_total",
  [FQ_METRIC_RUNS] = "runs_total",
  [FQ_METRIC_LINKS_LOST] = "links_lost_total",
  [FQ_METRIC_SERVER_CRASHES] = "server_crashes_total",
  [FQ_METRIC_STALE_REPORTS] = "stale_reports_total",
  [FQ_METRIC_CONFIGS] = "configs_total",
};

/* Upper bounds of the exported histogram buckets, in microseconds. */
static const uint64_t bucket_bounds[]
    = { 1000, 5000, 20000, 50000, 100000, 250000, 500000, 1000000, 2500000, 5000000 };

static void
write_histogram (const fq_histogram_t *histogram, const char *name, fq_buffer_t *out)
{
  fq_buffer_printf (out, "# TYPE fq_%s_seconds histogram\n", name);
  for (size_t i = 0; i < sizeof bucket_bounds / sizeof bucket_bounds[0]; i++)
    fq_buffer_printf (
        out, "fq_%s_seconds_bucket{le=\"%g\"} %llu\n", name,
        (double)bucket_bounds[i] / FQ_US_PER_S,
        (unsigned long long)fq_histogram_count_at_most (histogram, bucket_bounds[i]));
  fq_buffer_printf (out, "fq_%s_seconds_bucket{le=\"+Inf\"} %llu\n", name,
                    (unsigned long long)histogram->count);
  fq_buffer_printf (out, "fq_%s_seconds_sum %g\nfq_%s_seconds_count %llu\n", name,
                    (double)histogram->sum_us / FQ_US_PER_S, name,
                    (unsigned long long)histogram->count);
}

void
fq_mesh_metrics_write (const fq_mesh_metrics_t *metrics, fq_buffer_t *out)
{
  for (int i = 0; i < FQ_METRIC_COUNT; i++)
    fq_buffer_printf (out, "# TYPE fq_%s counter\nfq_%s %llu\n", counter_names[i],
                      counter_names[i], (unsigned long long)metrics->counters[i]);
  fq_buffer_add_text (out, "# TYPE fq_gate_refusals_total counter\n");
  for (int i = FQ_GATE_CAUSE_NONE + 1; i < FQ_GATE_CAUSE_COUNT; i++)
    fq_buffer_printf (out, "fq_gate_refusals_total{cause=\"%s\"} %llu\n",
                      fq_gate_cause_name ((fq_gate_cause_t)i),
                      (unsigned long long)metrics->ends_by_cause[i]);
  write_histogram (&metrics->exchange_us, "exchange", out);
  write_histogram (&metrics->run_us, "run", out);
  write_histogram (&metrics->wait_us, "wait", out);
}
