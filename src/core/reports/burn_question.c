/**
 * DOC: Burn reports: reads the rows of the asking member, adds what this node has.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/reports/burn_private.h"
#include "util/text.h"

#define FQ_BURN_ROWS_PER_SCAN 32
#define FQ_BURN_QUESTIONS_MAX 16
#define FQ_BURN_QUESTION_US (3 * FQ_MICROSECONDS_PER_SECOND)

static void
free_question (fq_burn_t *burn, fq_burn_question_t *question)
{
  fq_list_remove (&question->link);
  burn->question_count--;
  fq_burn_table_clear (&question->view.table);
  free (question);
}

static void
answer_question (fq_burn_t *burn,
                 fq_burn_question_t *question,
                 const char *missing,
                 int64_t wall_ms,
                 fq_effects_t *effects)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_OPERATOR_REPLY);
  char *body;

  fq_burn_table_merge (&question->view.table, &burn->unsent, question->member, wall_ms);
  if (!question->view.has_sending)
    fq_burn_table_merge (&question->view.table, &burn->sending, question->member,
                         wall_ms);
  body = fq_burn_report (&question->view, burn->tickets, missing, wall_ms);
  effect->operator_reply.call = question->call;
  effect->operator_reply.status = body == NULL ? 503 : 200;
  effect->operator_reply.content_type = "application/json";
  effect->operator_reply.body = body == NULL ? strdup ("") : body;
  free_question (burn, question);
}

static int
scan_on (fq_burn_t *burn,
         fq_burn_question_t *question,
         const char *after,
         fq_effects_t *effects)
{
  char end[FQ_BURN_KEY_BYTES];
  fq_store_op_t *op;
  int rc = fq_store_op_new (&op, FQ_STORE_SCAN, after);

  if (rc < 0)
    return rc;
  /* '0' follows '/'. */
  snprintf (end, sizeof end, "burn/%s0", question->member);
  op->end = strdup (end);
  op->limit = FQ_BURN_ROWS_PER_SCAN;
  if (op->end == NULL)
    {
      fq_store_op_free (op);
      return FQ_ERROR_NOMEM;
    }
  question->store = fq_burn_ask_store (burn, op, effects);
  return FQ_OK;
}

static void
rows_were_read (fq_burn_t *burn,
                fq_burn_question_t *question,
                int64_t wall_ms,
                const fq_store_answer_t *answer,
                fq_effects_t *effects)
{
  if (answer->status != FQ_STORE_DONE && answer->status != FQ_STORE_NOT_FOUND)
    {
      answer_question (burn, question,
                       "the platform's store can't be asked: all but what this node has "
                       "not rolled up yet",
                       wall_ms, effects);
      return;
    }
  for (size_t i = 0; i < answer->row_count; i++)
    {
      json_t *row = fq_burn_row_parse (answer->rows[i].value);
      fq_burn_writer_t writer;

      fq_burn_view_add (&question->view, row, question->member, wall_ms);
      if (fq_burn_row_writer (row, burn->node, &writer)
          && writer.incarnation == burn->incarnation && writer.sequence >= burn->sequence)
        question->view.has_sending = true;
      json_decref (row);
    }
  if (answer->row_count < FQ_BURN_ROWS_PER_SCAN
      || scan_on (burn, question, answer->rows[answer->row_count - 1].key, effects) < 0)
    answer_question (burn, question, NULL, wall_ms, effects);
}

bool
fq_burn_question_store (fq_burn_t *burn,
                        int64_t wall_ms,
                        const fq_store_answer_t *answer,
                        fq_effects_t *effects)
{
  FQ_LIST_FOREACH (link, &burn->questions)
  {
    fq_burn_question_t *question = FQ_LIST_ENTRY (link, fq_burn_question_t, link);

    if (question->store == answer->id)
      {
        rows_were_read (burn, question, wall_ms, answer, effects);
        return true;
      }
  }
  return false;
}

void
fq_burn_ask (fq_burn_t *burn,
             fq_time_t now,
             const fq_operator_event_t *asked,
             fq_effects_t *effects)
{
  char start[FQ_BURN_KEY_BYTES];
  fq_burn_question_t *question = NULL;
  fq_effect_t *effect;

  if (burn->question_count < FQ_BURN_QUESTIONS_MAX)
    question = calloc (1, sizeof *question);
  if (question == NULL)
    {
      effect = fq_effects_add (effects, FQ_EFFECT_OPERATOR_REPLY);
      effect->operator_reply.call = asked->call;
      effect->operator_reply.status = 503;
      effect->operator_reply.content_type = "application/json";
      effect->operator_reply.body = strdup ("{\"title\":\"too many questions\"}\n");
      return;
    }
  question->call = asked->call;
  question->deadline = now + FQ_BURN_QUESTION_US;
  fq_text_copy (question->member, sizeof question->member, asked->member);
  fq_burn_table_init (&question->view.table);
  fq_list_append (&burn->questions, &question->link);
  burn->question_count++;
  snprintf (start, sizeof start, "burn/%s/", question->member);
  if (scan_on (burn, question, start, effects) < 0)
    question->deadline = now;
}

void
fq_burn_question_tick (fq_burn_t *burn,
                       fq_time_t now,
                       int64_t wall_ms,
                       fq_effects_t *effects)
{
  FQ_LIST_FOREACH_SAFE (link, following, &burn->questions)
  {
    fq_burn_question_t *question = FQ_LIST_ENTRY (link, fq_burn_question_t, link);

    if (now >= question->deadline)
      answer_question (burn, question,
                       "the platform's store did not answer in time: all but what this "
                       "node has not rolled up yet, and what was read until then",
                       wall_ms, effects);
  }
}

void
fq_burn_question_free_all (fq_burn_t *burn)
{
  FQ_LIST_FOREACH_SAFE (link, following, &burn->questions)
  {
    free_question (burn, FQ_LIST_ENTRY (link, fq_burn_question_t, link));
  }
}
