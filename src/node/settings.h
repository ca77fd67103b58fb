/**
 * DOC: Settings of a node beside a server, from a JSON file.
 */
#ifndef FQ_NODE_SETTINGS_H
#define FQ_NODE_SETTINGS_H

#include "filbertquay/types.h"

#define FQ_NODE_SEEDS_MAX 16

/** struct fq_node_settings_t - checked settings. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char zone[FQ_NAME_BYTES];
  char ip[FQ_ADDRESS_BYTES];
  char service[FQ_NAME_BYTES];           /* of the server beside the node */
  char server_address[FQ_ADDRESS_BYTES]; /* where the server takes requests */
  char requests_address[FQ_ADDRESS_BYTES];
  char readiness_address[FQ_ADDRESS_BYTES];
  char reports_address[FQ_ADDRESS_BYTES];
  char nodes_address[FQ_ADDRESS_BYTES];
  char store_address[FQ_ADDRESS_BYTES];
  char seeds[FQ_NODE_SEEDS_MAX][FQ_ADDRESS_BYTES]; /* only their IPs are used */
  size_t seed_count;
  uint32_t metrics_port;
  double memory_mb;     /* that the process may use */
  uint32_t descriptors; /* that it may open */
  uint32_t report_interval_ms;
  uint32_t drain_ms;
  uint32_t grace_ms;
  double retry_ratio;
  uint32_t retry_window_ms;
  double retry_slack;
  int log_level; /* 0: all lines, 1: warnings only */
} fq_node_settings_t;

/** fq_node_settings_load() - read and check; all faults in the last error message. */
int fq_node_settings_load (fq_node_settings_t *out, const char *path);

#endif
