/**
 * DOC: Results of a load test: outcomes and latencies, by class and second.
 *
 * Every attempt has exactly one fq_load_outcome_t. Requests and attempts are counted in
 * the second of the request's intended send time.
 */
#ifndef FQ_CLI_LOAD_REPORT_H
#define FQ_CLI_LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "cli/load_plan.h"
#include "util/histogram.h"

/** enum fq_load_outcome_t - the outcome of an attempt. */
typedef enum
{
  FQ_LOAD_ANSWERED,       /* complete answer below 500, and verified with --verify */
  FQ_LOAD_UPSTREAM_ERROR, /* complete answer of the upstream with status 500 or above */
  FQ_LOAD_WRONG_ANSWER,   /* complete answer below 500 that --verify rejected */
  FQ_LOAD_REFUSED,        /* answered with fq-outcome "not-run" */
  FQ_LOAD_UNKNOWN,        /* answered with fq-outcome "unknown" */
  FQ_LOAD_FAILED,         /* no complete answer; the request may have been received */
  FQ_LOAD_NOT_SENT,       /* no connection to send it on */
  FQ_LOAD_OUTCOME_COUNT,
} fq_load_outcome_t;

/** struct fq_load_counts_t - results of one class in one second, or a sum of such. */
typedef struct
{
  uint64_t requests;
  uint64_t attempts;
  uint64_t outcomes[FQ_LOAD_OUTCOME_COUNT];
  uint64_t refused[FQ_CAUSE_COUNT + 1]; /* by cause; the last: unknown cause names */
  uint64_t in_time; /* answered within the deadline after the intended send time */
  uint64_t finished_in_time; /* the same, but counted in the second of the answer */
  /* Of answered requests: */
  fq_histogram_t latency_from_intended; /* from the intended send time */
  fq_histogram_t latency_from_sent;     /* from the send of the answered attempt */
} fq_load_counts_t;

typedef struct fq_load_report fq_load_report_t;

/**
 * fq_load_report_new() - an empty report for the classes of @plan.
 *
 * @plan has to outlive the report.
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_load_report_new (fq_load_report_t **out, const fq_load_plan_t *plan);

/** fq_load_report_free() - NULL-safe. */
void fq_load_report_free (fq_load_report_t *report);

/**
 * fq_load_report_counts() - the counts of @request_class in the second of @time_us.
 *
 * @time_us is from the start; times after the last second count in the last one.
 */
fq_load_counts_t *
fq_load_report_counts (fq_load_report_t *report, size_t request_class, int64_t time_us);

/** fq_load_report_total() - the sum over all classes and seconds. */
void fq_load_report_total (const fq_load_report_t *report, fq_load_counts_t *out);

/** fq_load_counts_unaccounted() - the number of attempts without an outcome. */
uint64_t fq_load_counts_unaccounted (const fq_load_counts_t *counts);

/** fq_load_report_json() - all results; a new reference, or NULL without memory. */
json_t *fq_load_report_json (const fq_load_report_t *report);

/** fq_load_report_print() - write a table with a row for each class and the total. */
void fq_load_report_print (const fq_load_report_t *report, FILE *to);

#endif
