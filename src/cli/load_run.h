/**
 * DOC: Runs a load test: sends the requests of a plan and records their outcomes.
 */
#ifndef FQ_CLI_LOAD_RUN_H
#define FQ_CLI_LOAD_RUN_H

#include "cli/load_report.h"

/** struct fq_load_run_options_t - initialise with FQ_LOAD_RUN_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const fq_load_plan_t *plan;
  const char *authorization; /* "Bearer KEY"; empty: none */
  uint64_t seed;             /* of send times, classes and targets */
  uint64_t max_requests; /* maximum, 0 acts as 1; the plan may end before it is reached */
  size_t connections;    /* maximum to each target */
  bool verify;           /* check that each body contains the requested path */
} fq_load_run_options_t;

#define FQ_LOAD_RUN_OPTIONS_VERSION 1
#define FQ_LOAD_CONNECTIONS 256
#define FQ_LOAD_REQUESTS_MAX 10000000
#define FQ_LOAD_RUN_OPTIONS_INIT                                                         \
  {                                                                                      \
    .version = FQ_LOAD_RUN_OPTIONS_VERSION, .seed = 1,                                   \
    .max_requests = FQ_LOAD_REQUESTS_MAX, .connections = FQ_LOAD_CONNECTIONS             \
  }

/**
 * fq_load_run() - send all requests, and wait for their outcomes.
 *
 * SIGINT and SIGTERM end it early: attempts in flight are aborted, and counted with the
 * outcome that this gives them; no more requests and retries are sent.
 * Return: 0, FQ_ERROR_IO when libwebsockets can't be started, or FQ_ERROR_NOMEM.
 */
int fq_load_run (fq_load_report_t *report, const fq_load_run_options_t *options);

#endif
