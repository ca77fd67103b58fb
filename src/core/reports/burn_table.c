#include "core/reports/burn_table.h"

#include <stdlib.h>
#include <string.h>

#include "util/text.h"

#define FQ_BURN_WRITER_KEPT_MS ((int64_t)24 * 60 * 60 * 1000)

void
fq_burn_table_init (fq_burn_table_t *table)
{
  fq_list_init (&table->cells);
  table->by_key = (fq_map_t){ 0 };
  table->left_out = 0;
}

void
fq_burn_table_clear (fq_burn_table_t *table)
{
  FQ_LIST_FOREACH_SAFE (link, following, &table->cells)
  {
    free (FQ_LIST_ENTRY (link, fq_burn_cell_t, link));
  }
  fq_map_clear (&table->by_key);
  fq_burn_table_init (table);
}

static fq_burn_cell_t *
new_cell (fq_burn_table_t *table,
          uint64_t key,
          const char *member,
          const char *service,
          fq_class_t request_class)
{
  fq_burn_cell_t *cell;

  if (table->by_key.count >= FQ_BURN_CELLS_MAX)
    return NULL;
  cell = calloc (1, sizeof *cell);
  if (cell == NULL || fq_map_set (&table->by_key, key, cell) < 0)
    {
      free (cell);
      return NULL;
    }
  fq_text_copy (cell->member, sizeof cell->member, member);
  fq_text_copy (cell->service, sizeof cell->service, service);
  cell->request_class = request_class;
  fq_list_append (&table->cells, &cell->link);
  return cell;
}

fq_burn_cell_t *
fq_burn_table_cell (fq_burn_table_t *table,
                    const char *member,
                    const char *service,
                    fq_class_t request_class)
{
  uint64_t key = fq_map_hash_pair (member, service, request_class);
  fq_burn_cell_t *cell = fq_map_get (&table->by_key, key);

  return cell != NULL ? cell : new_cell (table, key, member, service, request_class);
}

void
fq_burn_table_move (fq_burn_table_t *to, fq_burn_table_t *from)
{
  fq_list_t *link;

  fq_burn_table_clear (to);
  while ((link = fq_list_first (&from->cells)) != NULL)
    {
      fq_list_remove (link);
      fq_list_append (&to->cells, link);
    }
  to->by_key = from->by_key;
  to->left_out = from->left_out;
  fq_burn_table_init (from);
}

void
fq_burn_table_remove (fq_burn_table_t *table, const char *member)
{
  FQ_LIST_FOREACH_SAFE (link, following, &table->cells)
  {
    fq_burn_cell_t *cell = FQ_LIST_ENTRY (link, fq_burn_cell_t, link);

    if (strcmp (cell->member, member) != 0)
      continue;
    fq_map_remove (&table->by_key,
                   fq_map_hash_pair (cell->member, cell->service, cell->request_class));
    fq_list_remove (link);
    free (cell);
  }
}

void
fq_burn_table_merge (fq_burn_table_t *to,
                     const fq_burn_table_t *from,
                     const char *member,
                     int64_t wall_ms)
{
  FQ_LIST_FOREACH (link, &from->cells)
  {
    const fq_burn_cell_t *cell = FQ_LIST_ENTRY (link, fq_burn_cell_t, link);
    fq_burn_cell_t *own;

    if (strcmp (cell->member, member) != 0)
      continue;
    own = fq_burn_table_cell (to, member, cell->service, cell->request_class);
    if (own != NULL)
      fq_burn_series_merge (&own->series, &cell->series, wall_ms);
  }
  to->left_out += from->left_out;
}

json_t *
fq_burn_row_parse (const char *text)
{
  json_t *row = text == NULL ? NULL : json_loads (text, 0, NULL);

  if (json_is_object (row))
    return row;
  json_decref (row);
  return json_object ();
}

void
fq_burn_row_read (fq_burn_table_t *to,
                  const json_t *row,
                  const char *member,
                  int64_t wall_ms)
{
  size_t index;
  const json_t *json;

  json_array_foreach (json_object_get (row, "cells"), index, json)
  {
    const char *service = json_string_value (json_object_get (json, "service"));
    const char *class_name = json_string_value (json_object_get (json, "class"));
    fq_burn_series_t series;
    fq_class_t request_class;
    fq_burn_cell_t *cell;

    if (service == NULL || class_name == NULL
        || fq_class_parse (&request_class, class_name) < 0)
      continue;
    fq_burn_series_read (&series, json, wall_ms);
    if (fq_burn_series_is_empty (&series))
      continue;
    cell = fq_burn_table_cell (to, member, service, request_class);
    if (cell != NULL)
      fq_burn_series_merge (&cell->series, &series, wall_ms);
  }
}

static void
read_writer (const json_t *json, fq_burn_writer_t *out)
{
  out->incarnation = (uint64_t)json_integer_value (json_array_get (json, 0));
  out->sequence = (uint64_t)json_integer_value (json_array_get (json, 1));
  out->wall_ms = json_integer_value (json_array_get (json, 2));
}

bool
fq_burn_row_writer (const json_t *row, const char *node, fq_burn_writer_t *out)
{
  const json_t *json = json_object_get (json_object_get (row, "writers"), node);

  read_writer (json, out);
  return json != NULL;
}

static json_t *
json_of_writers (const json_t *row, const char *node, const fq_burn_writer_t *writer)
{
  json_t *writers = json_object ();
  const char *name;
  json_t *json;

  json_object_foreach (json_object_get (row, "writers"), name, json)
  {
    fq_burn_writer_t other;

    read_writer (json, &other);
    if (other.wall_ms + FQ_BURN_WRITER_KEPT_MS > writer->wall_ms)
      json_object_set (writers, name, json);
  }
  json_object_set_new (writers, node,
                       json_pack ("[I,I,I]", (json_int_t)writer->incarnation,
                                  (json_int_t)writer->sequence,
                                  (json_int_t)writer->wall_ms));
  return writers;
}

static json_t *
json_of_cell (const fq_burn_cell_t *cell, int64_t wall_ms)
{
  json_t *json = fq_burn_series_json (&cell->series, wall_ms);

  json_object_set_new (json, "service", json_string (cell->service));
  json_object_set_new (json, "class", json_string (fq_class_name (cell->request_class)));
  return json;
}

char *
fq_burn_row_text (const json_t *row,
                  const fq_burn_table_t *added,
                  const char *member,
                  const char *node,
                  const fq_burn_writer_t *writer)
{
  fq_burn_table_t all;
  json_t *cells = json_array ();
  json_t *json;
  char *text;

  fq_burn_table_init (&all);
  fq_burn_row_read (&all, row, member, writer->wall_ms);
  fq_burn_table_merge (&all, added, member, writer->wall_ms);
  FQ_LIST_FOREACH (link, &all.cells)
  {
    json_array_append_new (
        cells,
        json_of_cell (FQ_LIST_ENTRY (link, fq_burn_cell_t, link), writer->wall_ms));
  }
  json = json_pack ("{s:o,s:o}", "writers", json_of_writers (row, node, writer), "cells",
                    cells);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  fq_burn_table_clear (&all);
  return text;
}
