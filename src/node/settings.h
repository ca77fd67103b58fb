/**
 * DOC: The settings of a node, from a JSON file.
 */
#ifndef FQ_NODE_SETTINGS_H
#define FQ_NODE_SETTINGS_H

#include "filbertquay/types.h"
#include "util/text.h"

#define FQ_NODE_SEEDS_MAX 16

/** struct fq_node_settings_t - validated settings; addresses are "ip:port". */
typedef struct
{
  fq_text_t *node;
  fq_text_t *zone;
  char ip[FQ_ADDRESS_BYTES];
  fq_text_t *service;                    /* of the local server; empty: not stated */
  char server_address[FQ_ADDRESS_BYTES]; /* on which the local server listens */
  char requests_address[FQ_ADDRESS_BYTES];
  char readiness_address[FQ_ADDRESS_BYTES];
  char reports_address[FQ_ADDRESS_BYTES];
  char nodes_address[FQ_ADDRESS_BYTES]; /* for connections of other nodes */
  char store_address[FQ_ADDRESS_BYTES];
  char seeds[FQ_NODE_SEEDS_MAX][FQ_ADDRESS_BYTES]; /* nodes; ports are ignored */
  size_t seed_count;
  uint32_t metrics_port;       /* 0: no metrics endpoint */
  double memory_mb;            /* memory limit of the process, MiB */
  uint32_t descriptors;        /* limit on open file descriptors */
  uint32_t report_interval_ms; /* this and the next five: see fq_mesh_params_t */
  uint32_t drain_ms;
  uint32_t grace_ms;
  double retry_ratio;
  uint32_t retry_window_ms;
  double retry_slack;
  int log_level; /* 0: info, 1: warnings only */
} fq_node_settings_t;

/**
 * fq_node_settings_load() - read and validate the settings file @path.
 * @out: for fq_node_settings_clear(), also on failure
 *
 * Return: 0; FQ_ERROR_IO: not readable; FQ_ERROR_INVALID: all errors of the file are in
 * the last error message.
 */
int fq_node_settings_load (fq_node_settings_t *out, const char *path);

/** fq_node_settings_clear() - drop the references of @settings and zero it. */
void fq_node_settings_clear (fq_node_settings_t *settings);

#endif
