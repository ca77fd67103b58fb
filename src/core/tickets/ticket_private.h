/**
 * DOC: Shared by the files of the tickets: the row layout, the sync from the table
 * service (ticket_sync.c) and the filing of new tickets (ticket_filing.c).
 *
 * Rows in the table service:
 *   ticket/head             the highest ticket number, in decimal
 *   ticket/log/NUMBER       one ticket, as JSON; NUMBER in 16 hexadecimal digits
 *   ticket/id/MEMBER/ID     the ticket's number, and the nonce of its filing
 *   ticket/object/KEY       the current state of one object
 */
#ifndef FQ_CORE_TICKET_PRIVATE_H
#define FQ_CORE_TICKET_PRIVATE_H

#include "core/tickets/ticket.h"
#include "core/tickets/ticket_document.h"
#include "core/tickets/ticket_state.h"
#include "util/list.h"
#include "util/random.h"

#define FQ_TICKET_HEAD_ROW_KEY "ticket/head"
#define FQ_TICKET_LOG_ROW_PREFIX "ticket/log/"
#define FQ_TICKET_OBJECT_ROW_PREFIX "ticket/object/"
#define FQ_TICKET_OBJECT_ROW_END "ticket/object0" /* first key after the prefix */
#define FQ_TICKET_ROW_KEY_BYTES 256

/** enum fq_ticket_sync_step_t - which read of the store is in progress. */
typedef enum
{
  FQ_TICKET_SYNC_IDLE,
  FQ_TICKET_SYNC_HEAD,
  FQ_TICKET_SYNC_LOG,
  FQ_TICKET_SYNC_OBJECTS,
} fq_ticket_sync_step_t;

/** struct fq_ticket_sync_t - the state of the sync from the store. */
typedef struct
{
  fq_ticket_sync_step_t step;
  fq_id_t op;        /* the operation in progress, unless @step is idle */
  uint64_t target;   /* the head that was read last */
  uint32_t failures; /* consecutive; stops at the longest backoff */
  fq_time_t next;    /* when to read the head again */
} fq_ticket_sync_t;

/** struct fq_tickets - the tickets of one node. */
struct fq_tickets
{
  fq_random_t random;
  char node[FQ_NAME_BYTES];
  fq_request_policy_t defaults;
  fq_ticket_state_t *state;
  uint64_t number;     /* the highest ticket that is applied; 0: none */
  bool confirmed;      /* see fq_tickets_confirmed() */
  bool number_changed; /* @number rose since fq_tickets_take_number_changed() */
  size_t live_count;   /* nodes that share the polling; at least 1 */
  uint64_t op_count;   /* store operations so far */
  fq_time_t last_tick; /* 0: none yet */
  fq_ticket_sync_t sync;
  fq_time_t requested_at; /* last request for tickets to a node; 0: none is open */
  fq_list_t filings;      /* processed in order; only the first one is active */
  fq_list_t lookups;      /* reads of single tickets for operators */
};

/** fq_tickets_new_store_op() - create a store operation with an identifier of the
 * tickets; owned by the caller, never NULL. */
fq_store_op_t *
fq_tickets_new_store_op (fq_tickets_t *tickets, fq_store_kind_t kind, const char *key);

/** fq_tickets_advance() - raise the number to @number: all tickets up to it are applied.
 * Does nothing when @number is not higher. */
void fq_tickets_advance (fq_tickets_t *tickets, uint64_t number, fq_effects_t *effects);

/** fq_tickets_log_key() - write the log row key of ticket @number to @out
 * (FQ_TICKET_ROW_KEY_BYTES). */
void fq_tickets_log_key (char *out, uint64_t number);

/** fq_ticket_sync_schedule_now() - make the next tick read the head, if the sync is idle.
 */
void fq_ticket_sync_schedule_now (fq_tickets_t *tickets, fq_time_t now);

/** fq_ticket_sync_tick() - start reading the head when it is due. */
void fq_ticket_sync_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects);

/** fq_ticket_sync_handle_store_answer() - handle a store answer; false when it
 * answers no operation of the sync. */
bool fq_ticket_sync_handle_store_answer (fq_tickets_t *tickets,
                                         fq_time_t now,
                                         const fq_store_answer_t *answer,
                                         fq_effects_t *effects);

/** fq_ticket_filing_start() - check an operator's ticket and queue it, or reply with the
 * reason for the refusal. */
void fq_ticket_filing_start (fq_tickets_t *tickets,
                             fq_time_t now,
                             const fq_operator_event_t *request,
                             fq_effects_t *effects);

/** fq_ticket_filing_tick() - commit the first filing when it is due, or expire it. */
void fq_ticket_filing_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects);

/** fq_ticket_filing_handle_store_answer() - handle a store answer; false when it
 * answers no operation of a filing. */
bool fq_ticket_filing_handle_store_answer (fq_tickets_t *tickets,
                                           fq_time_t now,
                                           const fq_store_answer_t *answer,
                                           fq_effects_t *effects);

/** fq_ticket_filing_free_all() - free all filings without a reply. */
void fq_ticket_filing_free_all (fq_tickets_t *tickets);

/** fq_tickets_reply() - reply to an operator; takes over the reference of @body. */
void
fq_tickets_reply (fq_effects_t *effects, fq_id_t call, uint16_t status, json_t *body);

/** fq_tickets_reply_problem() - reply to an operator with an error, as
 * application/problem+json; @title and @detail are copied. */
void fq_tickets_reply_problem (fq_effects_t *effects,
                               fq_id_t call,
                               uint16_t status,
                               const char *title,
                               const char *detail);

#endif
