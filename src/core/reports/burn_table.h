/**
 * DOC: Series by member, service and class, and the stored rows that roll-ups write.
 */
#ifndef FQ_CORE_BURN_TABLE_H
#define FQ_CORE_BURN_TABLE_H

#include "core/reports/burn_series.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_BURN_CELLS_MAX 512 /* of a table; calls beyond them count as left out */

/** struct fq_burn_cell_t - the series of one member, called service and class. */
typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES];
  fq_class_t request_class;
  fq_burn_series_t series;
} fq_burn_cell_t;

/** struct fq_burn_table_t - cells in the order in which they were added. */
typedef struct
{
  fq_list_t cells;
  fq_map_t by_key;         /* by hash of member, service and class */
  uint64_t calls_left_out; /* calls that no cell could be added for */
} fq_burn_table_t;

/** struct fq_burn_writer_t - the last roll-up of a node into a row, as the row has it. */
typedef struct
{
  uint64_t incarnation; /* of the node */
  uint64_t sequence;    /* of the roll-up; counts up in one incarnation */
  int64_t wall_ms;      /* wall clock of the node at the roll-up */
} fq_burn_writer_t;

/** fq_burn_table_init() - make @table empty; frees nothing. */
void fq_burn_table_init (fq_burn_table_t *table);

/** fq_burn_table_clear() - free all cells, leaving an empty table. */
void fq_burn_table_clear (fq_burn_table_t *table);

/** fq_burn_table_get_or_add() - the cell, owned by @table; NULL at FQ_BURN_CELLS_MAX or
 * when out of memory. */
fq_burn_cell_t *fq_burn_table_get_or_add (fq_burn_table_t *table,
                                          const char *member,
                                          const char *service,
                                          fq_class_t request_class);

/** fq_burn_table_move() - replace the contents of @to by those of @from, which is left
 * empty. */
void fq_burn_table_move (fq_burn_table_t *to, fq_burn_table_t *from);

/** fq_burn_table_remove_member() - free the cells of @member. */
void fq_burn_table_remove_member (fq_burn_table_t *table, const char *member);

/** fq_burn_table_merge() - add the cells of @member in @from, and the calls left out of
 * @from, which are not split by member. */
void fq_burn_table_merge (fq_burn_table_t *to,
                          const fq_burn_table_t *from,
                          const char *member,
                          int64_t wall_ms);

/** fq_burn_row_parse() - a new reference to the row's JSON; an empty object when @text is
 * NULL or malformed. */
json_t *fq_burn_row_parse (const char *text);

/** fq_burn_table_merge_row() - add the cells of @row, which is one of @member. */
void fq_burn_table_merge_row (fq_burn_table_t *to,
                              const json_t *row,
                              const char *member,
                              int64_t wall_ms);

/** fq_burn_row_find_writer() - the last roll-up of @node into @row; false, with @out
 * zeroed, when the row has none. */
bool fq_burn_row_find_writer (const json_t *row, const char *node, fq_burn_writer_t *out);

/**
 * fq_burn_row_merged_text() - the text of @row after a roll-up.
 * @added: its cells of @member are added
 * @writer: stored as the last roll-up of @node
 *
 * Return: the text, owned by the caller; NULL when out of memory.
 */
char *fq_burn_row_merged_text (const json_t *row,
                               const fq_burn_table_t *added,
                               const char *member,
                               const char *node,
                               const fq_burn_writer_t *writer);

#endif
