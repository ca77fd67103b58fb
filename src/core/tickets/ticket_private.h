/**
 * DOC: What the parts of tickets share: following the log, and filing.
 *
 * Rows in the table service:
 *   ticket/head             the highest number, in decimal
 *   ticket/log/NUMBER       one ticket, as JSON; NUMBER in 16 hexadecimal digits
 *   ticket/id/MEMBER/ID     who filed that id, and its number
 *   ticket/object/KEY       the present state of one object
 */
#ifndef FQ_CORE_TICKET_PRIVATE_H
#define FQ_CORE_TICKET_PRIVATE_H

#include "core/tickets/ticket.h"
#include "core/tickets/ticket_document.h"
#include "core/tickets/ticket_state.h"
#include "util/list.h"
#include "util/random.h"

#define FQ_TICKET_HEAD_KEY "ticket/head"
#define FQ_TICKET_LOG_PREFIX "ticket/log/"
#define FQ_TICKET_OBJECT_PREFIX "ticket/object/"
#define FQ_TICKET_OBJECT_END "ticket/object0" /* the first key behind the prefix */
#define FQ_TICKET_ROW_KEY_BYTES 256

/** enum fq_follow_step_t - what we are asking the store for. */
typedef enum
{
  FQ_FOLLOW_IDLE,
  FQ_FOLLOW_HEAD,
  FQ_FOLLOW_LOG,
  FQ_FOLLOW_OBJECTS,
} fq_follow_step_t;

/** struct fq_follow_t - reading the log from the store. */
typedef struct
{
  fq_follow_step_t step;
  fq_id_t op;
  uint64_t target;   /* the head when we read it */
  uint32_t failures; /* in a row */
  fq_time_t next;    /* when to read the head again */
} fq_follow_t;

/** struct fq_tickets - all of this part's state. */
struct fq_tickets
{
  fq_random_t random;
  char node[FQ_NAME_BYTES];
  fq_request_policy_t defaults;
  fq_ticket_state_t *state;
  uint64_t number;
  bool confirmed;
  bool news; /* the number rose since fq_tickets_take_number_changed() */
  size_t live_count;
  uint64_t next_op;
  fq_time_t last_tick;
  fq_follow_t follow;
  fq_time_t asked_at; /* when a node was last asked for tickets; 0: never */
  fq_list_t filings;  /* the first one is being filed */
  fq_list_t lookups;  /* questions of operators that the store answers */
};

/** fq_tickets_op() - a new store operation with an identifier of this part. */
fq_store_op_t *
fq_tickets_op (fq_tickets_t *tickets, fq_store_kind_t kind, const char *key);

/** fq_tickets_advance() - all up to @number is in force here. */
void fq_tickets_advance (fq_tickets_t *tickets, uint64_t number, fq_effects_t *effects);

/** fq_tickets_log_key() - the key of ticket @number at @out (FQ_TICKET_ROW_KEY_BYTES). */
void fq_tickets_log_key (char *out, uint64_t number);

/** fq_follow_now() - read the head as soon as possible. */
void fq_follow_now (fq_tickets_t *tickets, fq_time_t now);

/** fq_follow_tick() - read the head when it is time. */
void fq_follow_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects);

/** fq_follow_store() - an answer; false when it is not for us. */
bool fq_follow_store (fq_tickets_t *tickets,
                      fq_time_t now,
                      const fq_store_answer_t *answer,
                      fq_effects_t *effects);

/** fq_filing_start() - an operator files a ticket. */
void fq_filing_start (fq_tickets_t *tickets,
                      fq_time_t now,
                      const fq_operator_event_t *question,
                      fq_effects_t *effects);

/** fq_filing_tick() - go on with the first filing. */
void fq_filing_tick (fq_tickets_t *tickets, fq_time_t now, fq_effects_t *effects);

/** fq_filing_store() - an answer; false when it is not for us. */
bool fq_filing_store (fq_tickets_t *tickets,
                      fq_time_t now,
                      const fq_store_answer_t *answer,
                      fq_effects_t *effects);

/** fq_filing_free_all() - drop all filings. */
void fq_filing_free_all (fq_tickets_t *tickets);

/** fq_tickets_reply() - answer an operator; takes over the reference of @body. */
void
fq_tickets_reply (fq_effects_t *effects, fq_id_t call, uint16_t status, json_t *body);

/** fq_tickets_reply_problem() - answer an operator with what is wrong. */
void fq_tickets_reply_problem (fq_effects_t *effects,
                               fq_id_t call,
                               uint16_t status,
                               const char *title,
                               const char *detail);

#endif
