/**
 * DOC: Parsing and validation of a ticket as an operator files it.
 *
 * A ticket is a JSON object:
 *   id        chosen by the operator, unique in its client account
 *   services  name -> complete new value, or null to remove the service
 *   classes   name -> complete new value, or null
 *   limits    service name -> complete new value, or null
 *   expects   "kind/name" -> number of the ticket that must have set the object last;
 *             0: the object was never set
 */
#ifndef FQ_CORE_TICKET_DOCUMENT_H
#define FQ_CORE_TICKET_DOCUMENT_H

#include "core/tickets/ticket_state.h"

#define FQ_TICKET_OBJECTS_MAX 60        /* objects that one ticket may change */
#define FQ_TICKET_ERRORS_BYTES 2048     /* all errors of one ticket, with the NUL */
#define FQ_TICKET_BYTES_MAX (256 << 10) /* one ticket as filed, without the NUL */

/** struct fq_ticket_change_t - the new value of one object. */
typedef struct
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  json_t *value; /* owned; JSON null removes the object */
} fq_ticket_change_t;

/** struct fq_ticket_precondition_t - the ticket that must have set an object last. */
typedef struct
{
  char key[FQ_TICKET_OBJECT_KEY_BYTES];
  uint64_t number; /* 0: the object was never set */
} fq_ticket_precondition_t;

/** struct fq_ticket_document_t - a validated ticket. */
typedef struct
{
  char id[FQ_NAME_BYTES];
  fq_ticket_change_t *changes;
  size_t change_count;
  fq_ticket_precondition_t *preconditions;
  size_t precondition_count;
} fq_ticket_document_t;

/**
 * fq_ticket_document_parse() - parse and validate @text, filed by @member.
 * @out: to be freed with fq_ticket_document_clear(); empty after an error
 *
 * Return: 0; FQ_ERROR_INVALID with all errors, one per line, as "path: error" in the last
 * error message (cut to FQ_TICKET_ERRORS_BYTES); FQ_ERROR_TOOBIG above
 * FQ_TICKET_BYTES_MAX; FQ_ERROR_NOMEM.
 */
int fq_ticket_document_parse (fq_ticket_document_t *out,
                              const char *member,
                              const char *text);

/** fq_ticket_document_clear() - free the contents and zero @document; NULL-safe. */
void fq_ticket_document_clear (fq_ticket_document_t *document);

#endif
