/**
 * DOC: Change tickets: versioned changes to services, priority classes and limits.
 *
 * An operator of a client account (@member) files a ticket at any node. The node commits
 * it to the table service under the next ticket number, and all nodes apply it: they poll
 * the table service, and exchange tickets with each other. A node is confirmed once it
 * has checked that its tickets are up to date.
 */
#ifndef FQ_CORE_TICKET_H
#define FQ_CORE_TICKET_H

#include <jansson.h>

#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_tickets fq_tickets_t;

/** struct fq_tickets_options_t - initialise with FQ_TICKETS_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;             /* this node's name; copied */
  const char *failure_domain;   /* of this node; not used */
  uint64_t seed;                /* of the random delays and nonces */
  uint32_t default_deadline_ms; /* where no ticket sets a deadline */
  uint32_t default_retries;     /* where no ticket sets a number of retries */
} fq_tickets_options_t;

#define FQ_TICKETS_OPTIONS_VERSION 1
#define FQ_TICKETS_OPTIONS_INIT                                                          \
  {                                                                                      \
    .version = FQ_TICKETS_OPTIONS_VERSION                                                \
  }

/** struct fq_request_policy_t - the access, priority class, deadline and retries of a
 * request. */
typedef struct
{
  bool allowed;      /* the member may call the service */
  bool at_most_once; /* demanded by a rule; @idempotent is then false */
  bool idempotent;   /* may be sent again when it is not known whether it ran */
  fq_class_t request_class;
  uint32_t deadline_ms;
  uint32_t retries;
} fq_request_policy_t;

/** struct fq_service_limit_t - the concurrency limit of a service. */
typedef struct
{
  uint32_t max_concurrent; /* concurrent requests for each upstream; 0: no limit */
} fq_service_limit_t;

/**
 * fq_tickets_new() - create an unconfirmed set of tickets with number 0.
 * @out: to be freed with fq_tickets_free()
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_tickets_new (fq_tickets_t **out, const fq_tickets_options_t *options);

/** fq_tickets_free() - free the tickets; NULL-safe. Unfinished filings get no reply. */
void fq_tickets_free (fq_tickets_t *tickets);

/**
 * fq_tickets_classify() - get the policy for a request of @member to @service.
 * @service: "member/name"; its owner is always allowed to call it
 * @path: a rule of a ticket matches it by prefix
 * @out: filled with the defaults where no ticket says otherwise: GET is of class lookup,
 *   any other method normal; all methods but POST and PATCH are idempotent
 */
void fq_tickets_classify (const fq_tickets_t *tickets,
                          const char *member,
                          const char *service,
                          const char *method,
                          const char *path,
                          fq_request_policy_t *out);

/** fq_tickets_service_limit() - get the limit of @service ("member/name"). */
void fq_tickets_service_limit (const fq_tickets_t *tickets,
                               const char *service,
                               fq_service_limit_t *out);

/** fq_tickets_number() - the highest ticket number that is applied here; 0: none. */
uint64_t fq_tickets_number (const fq_tickets_t *tickets);

/** fq_tickets_member_number() - the last ticket that set an object of @member; 0: none.
 */
uint64_t fq_tickets_member_number (const fq_tickets_t *tickets, const char *member);

/**
 * fq_tickets_confirmed() - whether the tickets were checked to be up to date.
 *
 * True once the number was compared with the table service or a confirmed node since the
 * start or the last pause of the process. Tickets that were committed after the check may
 * still be missing.
 */
bool fq_tickets_confirmed (const fq_tickets_t *tickets);

/**
 * fq_tickets_objectives() - the service level objectives of @service ("member/name").
 *
 * Return: a JSON array, borrowed until the next change of the tickets; NULL: none.
 */
const json_t *fq_tickets_objectives (const fq_tickets_t *tickets, const char *service);

/** fq_tickets_take_number_changed() - whether the number rose since the last call of this
 * function, which resets it. */
bool fq_tickets_take_number_changed (fq_tickets_t *tickets);

/**
 * fq_tickets_tick() - run the timers: polling of the table service, and filings.
 * @now: monotonic; a gap of more than 2 s between calls counts as a pause of the process
 * @live_count: nodes that are alive, among which the polling is shared; 0 counts as 1
 */
void fq_tickets_tick (fq_tickets_t *tickets,
                      fq_time_t now,
                      size_t live_count,
                      fq_effects_t *effects);

/**
 * fq_tickets_handle_peer_number() - handle the ticket number that @node advertises.
 * @address: where @node can be reached; may be empty when it is connected
 * @number: 0 when @node is unconfirmed; then nothing is done
 *
 * A number that is not above this node's confirms it; for a higher one the missing
 * tickets are requested from @node.
 */
void fq_tickets_handle_peer_number (fq_tickets_t *tickets,
                                    fq_time_t now,
                                    const char *node,
                                    const char *address,
                                    uint64_t number,
                                    fq_effects_t *effects);

/**
 * fq_tickets_handle_peer_message() - handle a ticket message of another node.
 *
 * FQ_TICKETS_REQUEST is answered if this node is confirmed and has newer tickets. The
 * objects of FQ_TICKETS_ANSWER are merged; a malformed one ends the handling, and the
 * number stays.
 */
void fq_tickets_handle_peer_message (fq_tickets_t *tickets,
                                     fq_time_t now,
                                     const fq_tickets_event_t *event,
                                     fq_effects_t *effects);

/** fq_tickets_handle_store_answer() - handle the answer to a store operation of the
 * tickets. */
void fq_tickets_handle_store_answer (fq_tickets_t *tickets,
                                     fq_time_t now,
                                     const fq_store_answer_t *answer,
                                     fq_effects_t *effects);

/**
 * fq_tickets_handle_operator_request() - handle an operator's request to file, show or
 * list tickets.
 *
 * The reply is an FQ_EFFECT_OPERATOR_REPLY, in this call or a later one.
 */
void fq_tickets_handle_operator_request (fq_tickets_t *tickets,
                                         fq_time_t now,
                                         const fq_operator_event_t *request,
                                         fq_effects_t *effects);

#endif
