/**
 * DOC: Counters and latency histograms of a node, for operators.
 */
#ifndef FQ_MESH_METRICS_H
#define FQ_MESH_METRICS_H

#include "io/buffer.h"
#include "mesh/frame.h"
#include "util/histogram.h"

/** enum fq_metric_t - the plain counters. */
typedef enum
{
  FQ_METRIC_REQUESTS,           /* requests that began at this machine */
  FQ_METRIC_ANSWERED,           /* with a server's answer */
  FQ_METRIC_REFUSED,            /* not run, and the client was told so */
  FQ_METRIC_FAILED,             /* no answer, and it may have run */
  FQ_METRIC_CLIENT_DISCONNECTS, /* clients that left before their answer */
  FQ_METRIC_NO_ROUTE,           /* no route matched */
  FQ_METRIC_OFFERS,             /* offers to gates, this node's own included */
  FQ_METRIC_REPEATS,            /* requests that reached a server again */
  FQ_METRIC_RUNS,               /* requests that were sent to our server */
  FQ_METRIC_LINKS_LOST,         /* connections to gates that ended */
  FQ_METRIC_SERVER_CRASHES,     /* times that our server was found down */
  FQ_METRIC_STALE_REPORTS,      /* reports of our server that came too late */
  FQ_METRIC_CONFIGS,            /* configurations taken */
  FQ_METRIC_COUNT,
} fq_metric_t;

/** struct fq_mesh_metrics_t - zero-initialise before use. */
typedef struct
{
  uint64_t counters[FQ_METRIC_COUNT];
  uint64_t refusals[FQ_REFUSAL_COUNT]; /* by our gate */
  fq_histogram_t exchange_us;          /* from a request's arrival to its answer */
  fq_histogram_t run_us;               /* at our server */
  fq_histogram_t wait_us;              /* for room at our gate */
} fq_mesh_metrics_t;

/** fq_mesh_metrics_write() - append all as Prometheus text. */
void fq_mesh_metrics_write (const fq_mesh_metrics_t *metrics, fq_buffer_t *out);

#endif
