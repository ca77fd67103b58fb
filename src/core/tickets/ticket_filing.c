/**
 * DOC: Filing a ticket: one conditional transaction that increments the head.
 *
 * The transaction succeeds only if the head is the number that this node has applied and
 * the id is unused. When its answer is lost, the outcome is found by reading the id's
 * row, which holds a random nonce of the filing that wrote it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/tickets/ticket_private.h"
#include "util/text.h"

#define FQ_FILING_TIMEOUT_US (10 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_FILING_RETRY_DELAY_MIN_US 50000
#define FQ_FILING_RETRY_JITTER_US 250000
#define FQ_FILINGS_PENDING_MAX 32     /* filings queued at one node */
#define FQ_TICKET_LOG_ROWS_KEPT 4096u /* log rows; older ones are deleted */
#define FQ_NONCE_BYTES 40

typedef enum
{
  FILING_READY,       /* to be committed at @retry_at */
  FILING_COMMITTING,  /* waits for the answer to the transaction */
  FILING_VERIFYING,   /* that answer was lost; waits for the id's row */
  FILING_CATCHING_UP, /* another ticket was first; waits until it is applied here */
} fq_filing_step_t;

typedef struct
{
  fq_list_t link;
  fq_id_t call;
  char member[FQ_NAME_BYTES];
  char nonce[FQ_NONCE_BYTES];
  fq_ticket_document_t document;
  fq_filing_step_t step;
  bool outcome_unknown; /* a transaction whose answer was lost may have taken effect */
  uint64_t base_number; /* the head on which the transaction is conditional */
  uint64_t catch_up_number; /* in FILING_CATCHING_UP: the ticket to wait for */
  fq_id_t op;               /* the store operation in progress; 0: none */
  fq_time_t retry_at;       /* in FILING_READY; 0: at once */
  fq_time_t deadline;
} fq_filing_t;

static fq_filing_t *
first_filing (fq_tickets_t *tickets)
{
  fq_list_t *link = fq_list_first (&tickets->filings);

  return link == NULL ? NULL : FQ_LIST_ENTRY (link, fq_filing_t, link);
}

static void
free_filing (fq_filing_t *filing)
{
  fq_list_remove (&filing->link);
  fq_ticket_document_clear (&filing->document);
  free (filing);
}

void
fq_ticket_filing_free_all (fq_tickets_t *tickets)
{
  fq_filing_t *filing;

  while ((filing = first_filing (tickets)) != NULL)
    free_filing (filing);
}

static void
id_key (char *out, const fq_filing_t *filing)
{
  snprintf (out, FQ_TICKET_ROW_KEY_BYTES, "ticket/id/%s/%s", filing->member,
            filing->document.id);
}

static void
reply_accepted (fq_filing_t *filing, uint64_t number, fq_effects_t *effects)
{
  fq_tickets_reply (
      effects, filing->call, 201,
      json_pack ("{s:s, s:I}", "id", filing->document.id, "number", (json_int_t)number));
  free_filing (filing);
}

static void
reply_refused (fq_filing_t *filing,
               uint16_t status,
               const char *title,
               const char *detail,
               fq_effects_t *effects)
{
  fq_tickets_reply_problem (effects, filing->call, status, title, detail);
  free_filing (filing);
}

static void
apply_filing (fq_tickets_t *tickets,
              const fq_filing_t *filing,
              uint64_t number,
              fq_effects_t *effects)
{
  for (size_t i = 0; i < filing->document.change_count; i++)
    fq_ticket_state_merge (tickets->state, filing->document.changes[i].key, number,
                           filing->document.changes[i].value);
  fq_tickets_advance (tickets, number, effects);
}

/* False when a precondition fails: the filing is then refused and freed. */
static bool
check_preconditions (fq_tickets_t *tickets, fq_filing_t *filing, fq_effects_t *effects)
{
  char detail[FQ_TICKET_OBJECT_KEY_BYTES + FQ_NAME_BYTES];

  for (size_t i = 0; i < filing->document.precondition_count; i++)
    {
      const fq_ticket_precondition_t *precondition = &filing->document.preconditions[i];
      uint64_t present = fq_ticket_state_number_of (tickets->state, precondition->key);

      if (present == precondition->number)
        continue;
      snprintf (detail, sizeof detail, "%s was set by ticket %llu", precondition->key,
                (unsigned long long)present);
      reply_refused (filing, 409, "drawn up from an older state", detail, effects);
      return false;
    }
  return true;
}

static void
add_write (fq_store_op_t *op,
           const char *key,
           char *value,
           fq_store_condition_t condition,
           const char *expected)
{
  if (fq_store_op_add_write (op, key, value, condition, expected) < 0)
    abort ();
}

/* Takes over the reference of @value. */
static void
add_json_write (fq_store_op_t *op,
                const char *key,
                json_t *value,
                fq_store_condition_t condition)
{
  char *text = json_dumps (value, JSON_COMPACT);

  add_write (op, key, text, condition, NULL);
  free (text);
  json_decref (value);
}

static json_t *
objects_json (const fq_filing_t *filing)
{
  json_t *objects = json_object ();

  for (size_t i = 0; i < filing->document.change_count; i++)
    json_object_set (objects, filing->document.changes[i].key,
                     filing->document.changes[i].value);
  return objects;
}

static void
add_object_writes (fq_store_op_t *op, const fq_filing_t *filing, uint64_t number)
{
  char key[FQ_TICKET_ROW_KEY_BYTES];

  for (size_t i = 0; i < filing->document.change_count; i++)
    {
      const fq_ticket_change_t *change = &filing->document.changes[i];

      snprintf (key, sizeof key, FQ_TICKET_OBJECT_ROW_PREFIX "%s", change->key);
      add_json_write (op, key,
                      json_pack ("{s:s, s:I, s:O}", "key", change->key, "number",
                                 (json_int_t)number, "value", change->value),
                      FQ_STORE_ANY);
    }
}

static void
commit (fq_tickets_t *tickets, fq_filing_t *filing, fq_effects_t *effects)
{
  fq_store_op_t *op = fq_tickets_new_store_op (tickets, FQ_STORE_COMMIT, NULL);
  uint64_t number = tickets->number + 1;
  char base_number[FQ_NAME_BYTES];
  char head[FQ_NAME_BYTES];
  char key[FQ_TICKET_ROW_KEY_BYTES];

  snprintf (base_number, sizeof base_number, "%llu", (unsigned long long)tickets->number);
  snprintf (head, sizeof head, "%llu", (unsigned long long)number);
  add_write (op, FQ_TICKET_HEAD_ROW_KEY, head,
             tickets->number == 0 ? FQ_STORE_ABSENT : FQ_STORE_EQUALS,
             tickets->number == 0 ? NULL : base_number);
  id_key (key, filing);
  add_json_write (
      op, key,
      json_pack ("{s:I, s:s}", "number", (json_int_t)number, "nonce", filing->nonce),
      FQ_STORE_ABSENT);
  fq_tickets_log_key (key, number);
  add_json_write (op, key,
                  json_pack ("{s:I, s:s, s:s, s:o}", "number", (json_int_t)number,
                             "member", filing->member, "id", filing->document.id,
                             "objects", objects_json (filing)),
                  FQ_STORE_ABSENT);
  if (number > FQ_TICKET_LOG_ROWS_KEPT)
    {
      fq_tickets_log_key (key, number - FQ_TICKET_LOG_ROWS_KEPT);
      add_write (op, key, NULL, FQ_STORE_ANY, NULL);
    }
  add_object_writes (op, filing, number);
  filing->base_number = tickets->number;
  filing->step = FILING_COMMITTING;
  filing->op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
read_id_row (fq_tickets_t *tickets, fq_filing_t *filing, fq_effects_t *effects)
{
  char key[FQ_TICKET_ROW_KEY_BYTES];
  fq_store_op_t *op;

  id_key (key, filing);
  op = fq_tickets_new_store_op (tickets, FQ_STORE_GET, key);
  filing->step = FILING_VERIFYING;
  filing->op = op->id;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
schedule_retry (fq_tickets_t *tickets, fq_filing_t *filing, fq_time_t now)
{
  filing->step = FILING_READY;
  filing->retry_at
      = now + FQ_FILING_RETRY_DELAY_MIN_US
        + (fq_time_t)fq_random_below (&tickets->random, FQ_FILING_RETRY_JITTER_US);
}

/* The id's row exists: written by this filing, or by another one with the same id. */
static void
handle_id_row (fq_tickets_t *tickets,
               fq_filing_t *filing,
               const char *text,
               fq_effects_t *effects)
{
  json_t *row = json_loads (text, 0, NULL);
  const char *nonce = json_string_value (json_object_get (row, "nonce"));
  json_int_t number = json_integer_value (json_object_get (row, "number"));
  char detail[FQ_NAME_BYTES];

  if (nonce != NULL && strcmp (nonce, filing->nonce) == 0)
    {
      /* If earlier tickets are not applied here yet, the sync from the store applies them
       * and this one. */
      if ((uint64_t)number == tickets->number + 1)
        apply_filing (tickets, filing, (uint64_t)number, effects);
      reply_accepted (filing, (uint64_t)number, effects);
    }
  else
    {
      snprintf (detail, sizeof detail, "it is ticket %lld", (long long)number);
      reply_refused (filing, 409, "the id is taken", detail, effects);
    }
  json_decref (row);
}

static const char *
find_row (const fq_store_answer_t *answer, const char *key)
{
  for (size_t i = 0; i < answer->row_count; i++)
    {
      if (strcmp (answer->rows[i].key, key) == 0)
        return answer->rows[i].value;
    }
  return NULL;
}

static void
handle_conflict (fq_tickets_t *tickets,
                 fq_time_t now,
                 fq_filing_t *filing,
                 const fq_store_answer_t *answer,
                 fq_effects_t *effects)
{
  char key[FQ_TICKET_ROW_KEY_BYTES];
  const char *row;

  id_key (key, filing);
  row = find_row (answer, key);
  if (row != NULL)
    {
      handle_id_row (tickets, filing, row, effects);
      fq_ticket_sync_schedule_now (tickets, now);
      return;
    }
  row = find_row (answer, FQ_TICKET_HEAD_ROW_KEY);
  filing->step = FILING_CATCHING_UP;
  filing->catch_up_number
      = row == NULL ? filing->base_number + 1 : strtoull (row, NULL, 10);
  fq_ticket_sync_schedule_now (tickets, now);
}

static void
handle_commit_answer (fq_tickets_t *tickets,
                      fq_time_t now,
                      fq_filing_t *filing,
                      const fq_store_answer_t *answer,
                      fq_effects_t *effects)
{
  switch (answer->status)
    {
    case FQ_STORE_DONE:
      apply_filing (tickets, filing, filing->base_number + 1, effects);
      reply_accepted (filing, filing->base_number + 1, effects);
      break;
    case FQ_STORE_CONFLICT:
      handle_conflict (tickets, now, filing, answer, effects);
      break;
    case FQ_STORE_UNAVAILABLE:
      filing->outcome_unknown = true;
      read_id_row (tickets, filing, effects);
      break;
    case FQ_STORE_BUSY:
    case FQ_STORE_NOT_FOUND:
      schedule_retry (tickets, filing, now);
      break;
    }
}

static void
handle_id_row_answer (fq_tickets_t *tickets,
                      fq_time_t now,
                      fq_filing_t *filing,
                      const fq_store_answer_t *answer,
                      fq_effects_t *effects)
{
  switch (answer->status)
    {
    case FQ_STORE_DONE:
      handle_id_row (tickets, filing, answer->rows[0].value, effects);
      fq_ticket_sync_schedule_now (tickets, now);
      break;
    default:
      /* The id's row does not exist (yet), or could not be read. The transaction can be
       * retried safely: it succeeds only if the id is unused. */
      schedule_retry (tickets, filing, now);
      break;
    }
}

bool
fq_ticket_filing_handle_store_answer (fq_tickets_t *tickets,
                                      fq_time_t now,
                                      const fq_store_answer_t *answer,
                                      fq_effects_t *effects)
{
  fq_filing_t *filing = first_filing (tickets);

  if (filing == NULL || answer->id != filing->op)
    return false;
  filing->op = 0;
  switch (filing->step)
    {
    case FILING_COMMITTING:
      handle_commit_answer (tickets, now, filing, answer, effects);
      break;
    case FILING_VERIFYING:
      handle_id_row_answer (tickets, now, filing, answer, effects);
      break;
    case FILING_READY:
    case FILING_CATCHING_UP:
      break;
    }
  return true;
}

static void
expire_filing (fq_filing_t *filing, fq_effects_t *effects)
{
  if (filing->outcome_unknown || filing->step == FILING_COMMITTING)
    reply_refused (filing, 504, "not known whether it was accepted",
                   "show the id, or file the same ticket again", effects);
  else
    reply_refused (filing, 503, "not accepted", "the platform's store does not answer",
                   effects);
}

void
fq_ticket_filing_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  fq_filing_t *filing = first_filing (tickets);

  if (filing == NULL)
    return;
  if (now >= filing->deadline)
    {
      expire_filing (filing, effects);
      return;
    }
  if (filing->step == FILING_CATCHING_UP && tickets->number >= filing->catch_up_number)
    filing->step = FILING_READY;
  if (filing->step != FILING_READY || now < filing->retry_at || !tickets->confirmed)
    return;
  if (check_preconditions (tickets, filing, effects))
    commit (tickets, filing, effects);
}

static size_t
count_filings (const fq_tickets_t *tickets)
{
  size_t count = 0;

  FQ_LIST_FOREACH (link, &tickets->filings)
  count++;
  return count;
}

void
fq_ticket_filing_start (fq_tickets_t *tickets,
                        fq_time_t now,
                        const fq_operator_event_t *request,
                        fq_effects_t *effects)
{
  fq_filing_t *filing;

  if (count_filings (tickets) >= FQ_FILINGS_PENDING_MAX)
    {
      fq_tickets_reply_problem (effects, request->call, 503, "not accepted",
                                "too many tickets are being filed here");
      return;
    }
  filing = calloc (1, sizeof *filing);
  if (filing == NULL)
    abort ();
  if (fq_ticket_document_parse (&filing->document, request->member, request->argument)
      < 0)
    {
      fq_tickets_reply_problem (effects, request->call, 400, "the ticket has faults",
                                fq_error_last ()->message);
      free (filing);
      return;
    }
  filing->call = request->call;
  fq_text_copy (filing->member, sizeof filing->member, request->member);
  snprintf (filing->nonce, sizeof filing->nonce, "%016llx%016llx",
            (unsigned long long)fq_random_next (&tickets->random),
            (unsigned long long)fq_random_next (&tickets->random));
  filing->deadline = now + FQ_FILING_TIMEOUT_US;
  fq_list_append (&tickets->filings, &filing->link);
  fq_ticket_filing_tick (tickets, now, effects);
}
