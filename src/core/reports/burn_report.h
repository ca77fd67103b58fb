/**
 * DOC: The burn report of one member, from the rows that were read and a node's counts.
 */
#ifndef FQ_CORE_BURN_REPORT_H
#define FQ_CORE_BURN_REPORT_H

#include "core/reports/burn.h"
#include "core/reports/burn_table.h"

/** struct fq_burn_view_t - what is known when the report is made. */
typedef struct
{
  fq_burn_table_t table;
  size_t rows;
  size_t writers;
  int64_t oldest_ms; /* wall clock of the writer that has been silent longest */
  bool has_sending;  /* a row has what this node was rolling up */
} fq_burn_view_t;

/** fq_burn_view_add() - add one row. */
void fq_burn_view_add (fq_burn_view_t *view,
                       const json_t *row,
                       const char *member,
                       int64_t wall_ms);

/**
 * fq_burn_report() - the report as JSON; owned by the caller; NULL without memory.
 * @tickets: have the objectives; NULL: the defaults
 * @missing: what could not be had; NULL: all rows were read
 */
char *fq_burn_report (const fq_burn_view_t *view,
                      const fq_tickets_t *tickets,
                      const char *missing,
                      int64_t wall_ms);

#endif
