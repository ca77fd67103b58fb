/**
 * DOC: Burn-rate queries of operators.
 *
 * A query scans the rows of the querying member and adds the counts that this node has
 * not rolled up yet.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn_private.h"
#include "util/text.h"

#define FQ_BURN_ROWS_PER_SCAN 32
#define FQ_BURN_QUERIES_MAX 16
#define FQ_BURN_QUERY_TIMEOUT_US (3 * FQ_MICROSECONDS_PER_SECOND)

static void
free_query (fq_burn_t *burn, fq_burn_query_t *query)
{
  fq_list_remove (&query->link);
  burn->query_count--;
  fq_burn_table_clear (&query->data.table);
  free (query);
}

static void
answer_query (fq_burn_t *burn,
              fq_burn_query_t *query,
              const char *missing,
              int64_t wall_ms,
              fq_effects_t *effects)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_OPERATOR_REPLY);
  char *body;

  fq_burn_table_merge (&query->data.table, &burn->pending, query->member, wall_ms);
  if (!query->data.has_own_rollup)
    fq_burn_table_merge (&query->data.table, &burn->rollup, query->member, wall_ms);
  body = fq_burn_report_to_json (&query->data, burn->tickets, missing, wall_ms);
  effect->operator_reply.call = query->call;
  effect->operator_reply.status = body == NULL ? 503 : 200;
  effect->operator_reply.content_type = "application/json";
  effect->operator_reply.body = body == NULL ? strdup ("") : body;
  free_query (burn, query);
}

static int
submit_scan (fq_burn_t *burn,
             fq_burn_query_t *query,
             const char *after,
             fq_effects_t *effects)
{
  char end[FQ_BURN_KEY_BYTES];
  fq_store_op_t *op;
  int rc = fq_store_op_new (&op, FQ_STORE_SCAN, after);

  if (rc < 0)
    return rc;
  /* '0' is the character after '/', so this is the end of all keys "burn/MEMBER/...". */
  snprintf (end, sizeof end, "burn/%s0", query->member);
  op->end = strdup (end);
  op->limit = FQ_BURN_ROWS_PER_SCAN;
  if (op->end == NULL)
    {
      fq_store_op_free (op);
      return FQ_ERROR_NOMEM;
    }
  query->op = fq_burn_submit_store_op (burn, op, effects);
  return FQ_OK;
}

static void
handle_rows (fq_burn_t *burn,
             fq_burn_query_t *query,
             int64_t wall_ms,
             const fq_store_answer_t *answer,
             fq_effects_t *effects)
{
  if (answer->status != FQ_STORE_DONE && answer->status != FQ_STORE_NOT_FOUND)
    {
      answer_query (burn, query,
                    "the platform's store can't be asked: all but what this node has "
                    "not rolled up yet",
                    wall_ms, effects);
      return;
    }
  for (size_t i = 0; i < answer->row_count; i++)
    {
      json_t *row = fq_burn_row_parse (answer->rows[i].value);
      fq_burn_writer_t writer;

      fq_burn_report_add_row (&query->data, row, query->member, wall_ms);
      if (fq_burn_row_find_writer (row, burn->node, &writer)
          && writer.incarnation == burn->incarnation && writer.sequence >= burn->sequence)
        query->data.has_own_rollup = true;
      json_decref (row);
    }
  if (answer->row_count < FQ_BURN_ROWS_PER_SCAN
      || submit_scan (burn, query, answer->rows[answer->row_count - 1].key, effects) < 0)
    answer_query (burn, query, NULL, wall_ms, effects);
}

bool
fq_burn_query_handle_rows (fq_burn_t *burn,
                           int64_t wall_ms,
                           const fq_store_answer_t *answer,
                           fq_effects_t *effects)
{
  FQ_LIST_FOREACH (link, &burn->queries)
  {
    fq_burn_query_t *query = FQ_LIST_ENTRY (link, fq_burn_query_t, link);

    if (query->op == answer->id)
      {
        handle_rows (burn, query, wall_ms, answer, effects);
        return true;
      }
  }
  return false;
}

void
fq_burn_query (fq_burn_t *burn,
               fq_time_t now,
               const fq_operator_event_t *event,
               fq_effects_t *effects)
{
  char start[FQ_BURN_KEY_BYTES];
  fq_burn_query_t *query = NULL;
  fq_effect_t *effect;

  if (burn->query_count < FQ_BURN_QUERIES_MAX)
    query = calloc (1, sizeof *query);
  if (query == NULL)
    {
      effect = fq_effects_add (effects, FQ_EFFECT_OPERATOR_REPLY);
      effect->operator_reply.call = event->call;
      effect->operator_reply.status = 503;
      effect->operator_reply.content_type = "application/json";
      effect->operator_reply.body = strdup ("{\"title\":\"too many questions\"}\n");
      return;
    }
  query->call = event->call;
  query->deadline = now + FQ_BURN_QUERY_TIMEOUT_US;
  fq_text_copy (query->member, sizeof query->member, event->member);
  fq_burn_table_init (&query->data.table);
  fq_list_append (&burn->queries, &query->link);
  burn->query_count++;
  snprintf (start, sizeof start, "burn/%s/", query->member);
  if (submit_scan (burn, query, start, effects) < 0)
    query->deadline = now; /* the next tick answers without rows */
}

void
fq_burn_query_tick (fq_burn_t *burn,
                    fq_time_t now,
                    int64_t wall_ms,
                    fq_effects_t *effects)
{
  FQ_LIST_FOREACH_SAFE (link, following, &burn->queries)
  {
    fq_burn_query_t *query = FQ_LIST_ENTRY (link, fq_burn_query_t, link);

    if (now >= query->deadline)
      answer_query (burn, query,
                    "the platform's store did not answer in time: all but what this "
                    "node has not rolled up yet, and what was read until then",
                    wall_ms, effects);
  }
}

void
fq_burn_query_free_all (fq_burn_t *burn)
{
  FQ_LIST_FOREACH_SAFE (link, following, &burn->queries)
  {
    free_query (burn, FQ_LIST_ENTRY (link, fq_burn_query_t, link));
  }
}
