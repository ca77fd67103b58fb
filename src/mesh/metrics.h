/**
 * DOC: Counters and latency histograms of a node, for operators.
 */
#ifndef FQ_MESH_METRICS_H
#define FQ_MESH_METRICS_H

#include "io/buffer.h"
#include "mesh/frame.h"
#include "util/histogram.h"

/** enum fq_metric_t - the counters without labels. */
typedef enum
{
  FQ_METRIC_REQUESTS,           /* requests from clients on this VM */
  FQ_METRIC_ANSWERED,           /* requests that got a server's answer */
  FQ_METRIC_REFUSED,            /* requests that were refused and not executed */
  FQ_METRIC_FAILED,             /* requests without answer that may have been executed */
  FQ_METRIC_CLIENT_DISCONNECTS, /* clients that disconnected before their answer */
  FQ_METRIC_NO_ROUTE,           /* requests that no route matched */
  FQ_METRIC_OFFERS,             /* offers sent to gates, including this node's own */
  FQ_METRIC_REPEATS,            /* repeats that this node's gate admitted */
  FQ_METRIC_RUNS,               /* requests sent to the local server */
  FQ_METRIC_LINKS_LOST,         /* established connections to gates that were lost */
  FQ_METRIC_SERVER_CRASHES,     /* crashes of the server that were found */
  FQ_METRIC_STALE_REPORTS,      /* status reports discarded as outdated */
  FQ_METRIC_CONFIGS,            /* configurations that came into force */
  FQ_METRIC_COUNT,
} fq_metric_t;

/** struct fq_mesh_metrics_t - zero-initialise before use. */
typedef struct
{
  uint64_t counters[FQ_METRIC_COUNT];
  /* Refusals and failures at this node's gate. */
  uint64_t ends_by_cause[FQ_GATE_CAUSE_COUNT];
  fq_histogram_t exchange_us; /* client requests, from arrival to answer */
  fq_histogram_t run_us;      /* run times at the local server */
  fq_histogram_t wait_us;     /* waits at this node's gate */
} fq_mesh_metrics_t;

/** fq_mesh_metrics_write() - append all metrics in the Prometheus text format. */
void fq_mesh_metrics_write (const fq_mesh_metrics_t *metrics, fq_buffer_t *out);

#endif
