/**
 * DOC: Series by member, service and class, and the row that a roll-up writes of them.
 */
#ifndef FQ_CORE_BURN_TABLE_H
#define FQ_CORE_BURN_TABLE_H

#include "core/reports/burn_series.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_BURN_CELLS_MAX 512 /* beyond: calls are counted as left out */

/** struct fq_burn_cell_t - one series. */
typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES];
  fq_class_t request_class;
  fq_burn_series_t series;
} fq_burn_cell_t;

/** struct fq_burn_table_t - cells in the order in which they came. */
typedef struct
{
  fq_list_t cells;
  fq_map_t by_key;
  uint64_t left_out; /* calls for which there was no cell */
} fq_burn_table_t;

/** struct fq_burn_writer_t - what a row says of a node that wrote to it. */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence; /* of its last roll-up in the row */
  int64_t wall_ms;   /* of that */
} fq_burn_writer_t;

/** fq_burn_table_init() - empty. */
void fq_burn_table_init (fq_burn_table_t *table);

/** fq_burn_table_clear() - free all cells, leaving an empty table. */
void fq_burn_table_clear (fq_burn_table_t *table);

/** fq_burn_table_cell() - found or made; NULL when there are too many. */
fq_burn_cell_t *fq_burn_table_cell (fq_burn_table_t *table,
                                    const char *member,
                                    const char *service,
                                    fq_class_t request_class);

/** fq_burn_table_move() - all of @from, which is left empty, in place of @to. */
void fq_burn_table_move (fq_burn_table_t *to, fq_burn_table_t *from);

/** fq_burn_table_remove() - forget the cells of @member. */
void fq_burn_table_remove (fq_burn_table_t *table, const char *member);

/** fq_burn_table_merge() - add the cells of @member that @from has. */
void fq_burn_table_merge (fq_burn_table_t *to,
                          const fq_burn_table_t *from,
                          const char *member,
                          int64_t wall_ms);

/** fq_burn_row_parse() - a row's JSON, or an empty one when it can't be read. */
json_t *fq_burn_row_parse (const char *text);

/** fq_burn_row_read() - add a row's cells, of @member, to @to. */
void fq_burn_row_read (fq_burn_table_t *to,
                       const json_t *row,
                       const char *member,
                       int64_t wall_ms);

/** fq_burn_row_writer() - what @row says of @node; false: it never wrote. */
bool fq_burn_row_writer (const json_t *row, const char *node, fq_burn_writer_t *out);

/** fq_burn_row_text() - @row with @member's cells of @added and with @writer set. */
char *fq_burn_row_text (const json_t *row,
                        const fq_burn_table_t *added,
                        const char *member,
                        const char *node,
                        const fq_burn_writer_t *writer);

#endif
