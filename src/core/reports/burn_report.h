/**
 * DOC: The burn-rate report of one member, as JSON, from stored rows and a node's counts.
 */
#ifndef FQ_CORE_BURN_REPORT_H
#define FQ_CORE_BURN_REPORT_H

#include "core/reports/burn.h"
#include "core/reports/burn_table.h"

/** struct fq_burn_report_data_t - the data of one report, before it is formatted. */
typedef struct
{
  fq_burn_table_t table;
  size_t rows;              /* read from the store */
  size_t rollups;           /* in @rows; each row has the last one of each writer */
  int64_t oldest_rollup_ms; /* wall clock of the oldest of @rollups; 0: there is none */
  bool has_own_rollup;      /* a row has the current roll-up of this node */
} fq_burn_report_data_t;

/** fq_burn_report_add_row() - add the counts and writers of one row of @member. */
void fq_burn_report_add_row (fq_burn_report_data_t *data,
                             const json_t *row,
                             const char *member,
                             int64_t wall_ms);

/**
 * fq_burn_report_to_json() - format the report as JSON.
 * @tickets: source of the objectives; NULL: defaults
 * @missing: text on the data that could not be read; NULL: all rows were read
 *
 * Return: the text, owned by the caller; NULL when out of memory.
 */
char *fq_burn_report_to_json (const fq_burn_report_data_t *data,
                              const fq_tickets_t *tickets,
                              const char *missing,
                              int64_t wall_ms);

#endif
