#include "core/tickets/ticket.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/store_op_ids.h"
#include "core/tickets/ticket_private.h"
#include "util/map.h"
#include "util/text.h"

/* The head is first read after this delay and a random part of the jitter. */
#define FQ_FIRST_READ_DELAY_MIN_US 100000
#define FQ_FIRST_READ_JITTER_US 400000
/* Minimum time between requests for tickets to other nodes while none is answered. */
#define FQ_PEER_REQUEST_INTERVAL_US 300000
/* A longer gap between ticks counts as a pause of the process. */
#define FQ_PAUSE_THRESHOLD_US (2 * FQ_MICROSECONDS_PER_SECOND)

/* An operator's request for one ticket: reads the id's row, then the ticket's log row. */
typedef struct
{
  fq_list_t link;
  fq_id_t call;
  fq_id_t op;
  bool reading_log_row; /* false: @op reads the id's row */
} fq_ticket_lookup_t;

int
fq_tickets_new (fq_tickets_t **out, const fq_tickets_options_t *options)
{
  fq_tickets_t *tickets = calloc (1, sizeof *tickets);

  if (tickets == NULL || fq_ticket_state_new (&tickets->state) < 0)
    {
      free (tickets);
      return fq_error_set (FQ_ERROR_CLASS_TICKET, FQ_ERROR_NOMEM,
                           "no memory for tickets");
    }
  tickets->random.state = options->seed;
  tickets->live_count = 1;
  tickets->defaults.deadline_ms = options->default_deadline_ms;
  tickets->defaults.retries = options->default_retries;
  fq_text_copy (tickets->node, sizeof tickets->node, options->node);
  fq_list_init (&tickets->filings);
  fq_list_init (&tickets->lookups);
  *out = tickets;
  return FQ_OK;
}

void
fq_tickets_free (fq_tickets_t *tickets)
{
  if (tickets == NULL)
    return;
  fq_ticket_filing_free_all (tickets);
  FQ_LIST_FOREACH_SAFE (link, following, &tickets->lookups)
  free (FQ_LIST_ENTRY (link, fq_ticket_lookup_t, link));
  fq_ticket_state_free (tickets->state);
  free (tickets);
}

/* The default by HTTP method; a rule of a ticket can override it. */
static bool
method_is_idempotent (const char *method)
{
  return strcmp (method, "POST") != 0 && strcmp (method, "PATCH") != 0;
}

static bool
member_owns_service (const char *member, const char *service)
{
  size_t length = strlen (member);

  return strncmp (member, service, length) == 0 && service[length] == '/';
}

void
fq_tickets_classify (const fq_tickets_t *tickets,
                     const char *member,
                     const char *service,
                     const char *method,
                     const char *path,
                     fq_request_policy_t *out)
{
  *out = tickets->defaults;
  out->allowed = member_owns_service (member, service);
  out->request_class = strcmp (method, "GET") == 0 ? FQ_CLASS_LOOKUP : FQ_CLASS_NORMAL;
  out->idempotent = method_is_idempotent (method);
  fq_ticket_state_classify (tickets->state, member, service, method, path, out);
}

void
fq_tickets_service_limit (const fq_tickets_t *tickets,
                          const char *service,
                          fq_service_limit_t *out)
{
  fq_ticket_state_limit (tickets->state, service, out);
}

const json_t *
fq_tickets_objectives (const fq_tickets_t *tickets, const char *service)
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];

  snprintf (key, sizeof key, "service/%s", service);
  return json_object_get (fq_ticket_state_value_of (tickets->state, key), "objectives");
}

uint64_t
fq_tickets_number (const fq_tickets_t *tickets)
{
  return tickets->number;
}

uint64_t
fq_tickets_member_number (const fq_tickets_t *tickets, const char *member)
{
  return fq_ticket_state_member_number (tickets->state, member);
}

bool
fq_tickets_confirmed (const fq_tickets_t *tickets)
{
  return tickets->confirmed;
}

bool
fq_tickets_take_number_changed (fq_tickets_t *tickets)
{
  bool number_changed = tickets->number_changed;

  tickets->number_changed = false;
  return number_changed;
}

fq_store_op_t *
fq_tickets_new_store_op (fq_tickets_t *tickets, fq_store_kind_t kind, const char *key)
{
  fq_store_op_t *op;

  if (fq_store_op_new (&op, kind, key) < 0)
    abort ();
  op->id = fq_store_op_id (FQ_STORE_OWNER_TICKETS, ++tickets->op_count);
  return op;
}

void
fq_tickets_log_key (char *out, uint64_t number)
{
  snprintf (out, FQ_TICKET_ROW_KEY_BYTES, FQ_TICKET_LOG_ROW_PREFIX "%016llx",
            (unsigned long long)number);
}

void
fq_tickets_advance (fq_tickets_t *tickets, uint64_t number, fq_effects_t *effects)
{
  if (number <= tickets->number)
    return;
  tickets->number = number;
  tickets->number_changed = true;
  fq_effects_log (effects, FQ_LOG_INFO, "ticket", "Ticket %llu is in force.",
                  (unsigned long long)number);
}

/* After a pause, tickets may have been committed that this node has not seen: it is
 * unconfirmed until it has synced again. */
static void
detect_pause (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects)
{
  fq_time_t gap = now - tickets->last_tick;

  if (tickets->last_tick == 0)
    tickets->sync.next
        = now + FQ_FIRST_READ_DELAY_MIN_US
          + (fq_time_t)fq_random_below (&tickets->random, FQ_FIRST_READ_JITTER_US);
  else if (gap > FQ_PAUSE_THRESHOLD_US)
    {
      fq_effects_log (effects, FQ_LOG_WARNING, "ticket",
                      "The node was paused for %lld ms; its tickets may be outdated.",
                      (long long)(gap / FQ_MICROSECONDS_PER_MS));
      tickets->confirmed = false;
      fq_ticket_sync_schedule_now (tickets, now);
    }
  tickets->last_tick = now;
}

void
fq_tickets_tick (fq_tickets_t *tickets,
                 fq_time_t now,
                 size_t live_count,
                 fq_effects_t *effects)
{
  tickets->live_count = live_count == 0 ? 1 : live_count;
  detect_pause (tickets, now, effects);
  fq_ticket_sync_tick (tickets, now, effects);
  fq_ticket_filing_tick (tickets, now, effects);
}

static fq_tickets_effect_t *
add_tickets_message (fq_effects_t *effects,
                     const char *node,
                     const char *address,
                     fq_tickets_kind_t kind,
                     uint64_t number)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_TICKETS);

  fq_text_copy (effect->tickets.node, FQ_NAME_BYTES, node);
  fq_text_copy (effect->tickets.address, FQ_ADDRESS_BYTES, address);
  effect->tickets.kind = kind;
  effect->tickets.number = number;
  return &effect->tickets;
}

void
fq_tickets_handle_peer_number (fq_tickets_t *tickets,
                               fq_time_t now,
                               const char *node,
                               const char *address,
                               uint64_t number,
                               fq_effects_t *effects)
{
  /* An unconfirmed node advertises 0. */
  if (number == 0)
    return;
  if (number <= tickets->number)
    {
      tickets->confirmed = true;
      return;
    }
  if (tickets->requested_at != 0
      && now - tickets->requested_at < FQ_PEER_REQUEST_INTERVAL_US)
    return;
  tickets->requested_at = now;
  add_tickets_message (effects, node, address, FQ_TICKETS_REQUEST, tickets->number);
}

static void
send_newer_objects (fq_tickets_t *tickets,
                    const fq_tickets_event_t *event,
                    fq_effects_t *effects)
{
  fq_tickets_effect_t *effect;
  char **documents;
  size_t count;

  if (!tickets->confirmed || event->number >= tickets->number
      || fq_ticket_state_export (tickets->state, event->number, &documents, &count) < 0)
    return;
  effect = add_tickets_message (effects, event->node, "", FQ_TICKETS_ANSWER,
                                tickets->number);
  effect->documents = documents;
  effect->document_count = count;
}

void
fq_tickets_handle_peer_message (fq_tickets_t *tickets,
                                fq_time_t now,
                                const fq_tickets_event_t *event,
                                fq_effects_t *effects)
{
  (void)now;
  switch (event->kind)
    {
    case FQ_TICKETS_REQUEST:
      send_newer_objects (tickets, event, effects);
      break;
    case FQ_TICKETS_ANSWER:
      tickets->requested_at = 0;
      for (size_t i = 0; i < event->document_count; i++)
        {
          if (fq_ticket_state_import (tickets->state, event->documents[i]) < 0)
            return;
        }
      fq_tickets_advance (tickets, event->number, effects);
      if (event->number >= tickets->number)
        tickets->confirmed = true;
      break;
    }
}

void
fq_tickets_reply (fq_effects_t *effects, fq_id_t call, uint16_t status, json_t *body)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_OPERATOR_REPLY);

  effect->operator_reply.call = call;
  effect->operator_reply.status = status;
  effect->operator_reply.content_type
      = status < 400 ? "application/json" : "application/problem+json";
  effect->operator_reply.body = json_dumps (body, JSON_COMPACT);
  if (effect->operator_reply.body == NULL)
    abort ();
  json_decref (body);
}

void
fq_tickets_reply_problem (fq_effects_t *effects,
                          fq_id_t call,
                          uint16_t status,
                          const char *title,
                          const char *detail)
{
  fq_tickets_reply (effects, call, status,
                    json_pack ("{s:s, s:i, s:s, s:s}", "type", "about:blank", "status",
                               (int)status, "title", title, "detail", detail));
}

static void
start_lookup (fq_tickets_t *tickets,
              const fq_operator_event_t *request,
              fq_effects_t *effects)
{
  char key[FQ_TICKET_ROW_KEY_BYTES];
  fq_ticket_lookup_t *lookup = calloc (1, sizeof *lookup);
  fq_store_op_t *op;

  if (lookup == NULL)
    abort ();
  snprintf (key, sizeof key, "ticket/id/%s/%.*s", request->member, FQ_NAME_BYTES,
            request->argument);
  op = fq_tickets_new_store_op (tickets, FQ_STORE_GET, key);
  lookup->call = request->call;
  lookup->op = op->id;
  fq_list_append (&tickets->lookups, &lookup->link);
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
free_lookup (fq_ticket_lookup_t *lookup)
{
  fq_list_remove (&lookup->link);
  free (lookup);
}

static void
read_log_row (fq_tickets_t *tickets,
              fq_ticket_lookup_t *lookup,
              const char *id_row,
              fq_effects_t *effects)
{
  char key[FQ_TICKET_ROW_KEY_BYTES];
  json_t *row = json_loads (id_row, 0, NULL);
  fq_store_op_t *op;

  fq_tickets_log_key (key,
                      (uint64_t)json_integer_value (json_object_get (row, "number")));
  json_decref (row);
  op = fq_tickets_new_store_op (tickets, FQ_STORE_GET, key);
  lookup->op = op->id;
  lookup->reading_log_row = true;
  fq_effects_add (effects, FQ_EFFECT_STORE)->store = op;
}

static void
handle_lookup_answer (fq_tickets_t *tickets,
                      fq_ticket_lookup_t *lookup,
                      const fq_store_answer_t *answer,
                      fq_effects_t *effects)
{
  json_t *ticket;

  switch (answer->status)
    {
    case FQ_STORE_DONE:
      if (!lookup->reading_log_row)
        {
          read_log_row (tickets, lookup, answer->rows[0].value, effects);
          return;
        }
      ticket = json_loads (answer->rows[0].value, 0, NULL);
      json_object_set_new (
          ticket, "in_force_here",
          json_boolean (json_integer_value (json_object_get (ticket, "number"))
                        <= (json_int_t)tickets->number));
      fq_tickets_reply (effects, lookup->call, 200, ticket);
      break;
    case FQ_STORE_NOT_FOUND:
      fq_tickets_reply_problem (effects, lookup->call, 404, "no such ticket",
                                "no ticket of yours has this id, or it was pruned");
      break;
    default:
      fq_tickets_reply_problem (effects, lookup->call, 503, "not known now",
                                "the platform's store does not answer");
      break;
    }
  free_lookup (lookup);
}

static fq_ticket_lookup_t *
find_lookup (fq_tickets_t *tickets, fq_id_t op)
{
  FQ_LIST_FOREACH (link, &tickets->lookups)
  {
    fq_ticket_lookup_t *lookup = FQ_LIST_ENTRY (link, fq_ticket_lookup_t, link);

    if (lookup->op == op)
      return lookup;
  }
  return NULL;
}

void
fq_tickets_handle_store_answer (fq_tickets_t *tickets,
                                fq_time_t now,
                                const fq_store_answer_t *answer,
                                fq_effects_t *effects)
{
  fq_ticket_lookup_t *lookup;

  if (fq_ticket_sync_handle_store_answer (tickets, now, answer, effects)
      || fq_ticket_filing_handle_store_answer (tickets, now, answer, effects))
    return;
  lookup = find_lookup (tickets, answer->id);
  if (lookup != NULL)
    handle_lookup_answer (tickets, lookup, answer, effects);
}

void
fq_tickets_handle_operator_request (fq_tickets_t *tickets,
                                    fq_time_t now,
                                    const fq_operator_event_t *request,
                                    fq_effects_t *effects)
{
  switch (request->kind)
    {
    case FQ_OPERATOR_TICKET_FILE:
      fq_ticket_filing_start (tickets, now, request, effects);
      break;
    case FQ_OPERATOR_TICKET_SHOW:
      start_lookup (tickets, request, effects);
      break;
    case FQ_OPERATOR_TICKET_LIST:
      fq_tickets_reply (
          effects, request->call, 200,
          json_pack ("{s:I, s:o}", "number", (json_int_t)tickets->number, "objects",
                     fq_ticket_state_list (tickets->state, request->member)));
      break;
    default:
      fq_tickets_reply_problem (effects, request->call, 404, "no such page", "");
      break;
    }
}
