/**
 * DOC: Checking a ticket as an operator files it.
 *
 * A ticket is a JSON object:
 *   id        chosen by the operator, unique for its member
 *   services  name -> whole new state, or null to remove it
 *   classes   name -> whole new state, or null
 *   limits    service name -> whole new state, or null
 *   expects   "kind/name" -> number of the ticket that must have set it last
 */
#ifndef FQ_CORE_TICKET_DOCUMENT_H
#define FQ_CORE_TICKET_DOCUMENT_H

#include "core/tickets/ticket_state.h"

#define FQ_TICKET_OBJECTS_MAX 60        /* objects in one ticket */
#define FQ_TICKET_FAULTS_BYTES 2048     /* all faults of one ticket, with the NUL */
#define FQ_TICKET_BYTES_MAX (256 << 10) /* one ticket as filed */

/** struct fq_ticket_change_t - the new state of one object. */
typedef struct
{
  char key[FQ_OBJECT_KEY_BYTES];
  json_t *value; /* owned */
} fq_ticket_change_t;

/** struct fq_ticket_expect_t - what the operator drew the ticket up from. */
typedef struct
{
  char key[FQ_OBJECT_KEY_BYTES];
  uint64_t number;
} fq_ticket_expect_t;

/** struct fq_ticket_document_t - a checked ticket. */
typedef struct
{
  char id[FQ_NAME_BYTES];
  fq_ticket_change_t *changes;
  size_t change_count;
  fq_ticket_expect_t *expects;
  size_t expect_count;
} fq_ticket_document_t;

/**
 * fq_ticket_document_parse() - check @text, filed by @member.
 *
 * Return: 0; FQ_ERROR_INVALID with every fault, one per line, as "path: fault" in the
 * last error message; FQ_ERROR_TOOBIG; FQ_ERROR_NOMEM.
 */
int fq_ticket_document_parse (fq_ticket_document_t *out,
                              const char *member,
                              const char *text);

/** fq_ticket_document_clear() - free what it holds; NULL-safe. */
void fq_ticket_document_clear (fq_ticket_document_t *document);

#endif
