/**
 * DOC: Change tickets: filing, spreading and the state that they put in force.
 */
#ifndef FQ_CORE_TICKET_H
#define FQ_CORE_TICKET_H

#include <jansson.h>

#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_tickets fq_tickets_t;

/** struct fq_tickets_options_t - see FQ_TICKETS_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;
  const char *failure_domain;
  uint64_t seed;
  uint32_t default_deadline_ms;
  uint32_t default_retries;
} fq_tickets_options_t;

#define FQ_TICKETS_OPTIONS_VERSION 1
#define FQ_TICKETS_OPTIONS_INIT                                                          \
  {                                                                                      \
    .version = FQ_TICKETS_OPTIONS_VERSION                                                \
  }

/** struct fq_request_policy_t - how a request is to be treated. */
typedef struct
{
  bool allowed; /* the member may call the service */
  bool once;
  bool idempotent; /* may be sent again when it is not known whether it ran */
  fq_class_t request_class;
  uint32_t deadline_ms;
  uint32_t retries;
} fq_request_policy_t;

/** struct fq_service_limit_t - a limit on the gates of a service. */
typedef struct
{
  uint32_t running; /* requests that each upstream may run at once; 0: no cap */
} fq_service_limit_t;

/** fq_tickets_new() - no tickets yet. */
int fq_tickets_new (fq_tickets_t **out, const fq_tickets_options_t *options);

/** fq_tickets_free() - NULL-safe. */
void fq_tickets_free (fq_tickets_t *tickets);

/** fq_tickets_classify() - the rule in force for a request of @member. */
void fq_tickets_classify (const fq_tickets_t *tickets,
                          const char *member,
                          const char *service,
                          const char *method,
                          const char *path,
                          fq_request_policy_t *out);

/** fq_tickets_service_limit() - the limit in force for @service ("member/name"). */
void fq_tickets_service_limit (const fq_tickets_t *tickets,
                               const char *service,
                               fq_service_limit_t *out);

/** fq_tickets_number() - the highest ticket that is in force here. */
uint64_t fq_tickets_number (const fq_tickets_t *tickets);

/** fq_tickets_member_number() - the highest ticket that set an object of @member. */
uint64_t fq_tickets_member_number (const fq_tickets_t *tickets, const char *member);

/** fq_tickets_confirmed() - whether the number has been compared with others' since
 * start. */
bool fq_tickets_confirmed (const fq_tickets_t *tickets);

/** fq_tickets_objectives() - the objectives of @service, borrowed; NULL: none. */
const json_t *fq_tickets_objectives (const fq_tickets_t *tickets, const char *service);

/** fq_tickets_take_number_changed() - whether the number rose since the last call. */
bool fq_tickets_take_number_changed (fq_tickets_t *tickets);

/**
 * fq_tickets_tick() - time has passed.
 * @live_count: nodes that are alive, among which reading the store is shared
 */
void fq_tickets_tick (fq_tickets_t *tickets,
                      fq_time_t now,
                      size_t live_count,
                      fq_effects_t *effects);

/**
 * fq_tickets_handle_peer_number() - @node says that ticket @number is in force there.
 * @address: where it can be asked; may be empty when it is connected
 * @number: 0 when that node has not confirmed its own
 */
void fq_tickets_handle_peer_number (fq_tickets_t *tickets,
                                    fq_time_t now,
                                    const char *node,
                                    const char *address,
                                    uint64_t number,
                                    fq_effects_t *effects);

/** fq_tickets_handle_peer_message() - a ticket message of a node. */
void fq_tickets_handle_peer_message (fq_tickets_t *tickets,
                                     fq_time_t now,
                                     const fq_tickets_event_t *event,
                                     fq_effects_t *effects);

/** fq_tickets_handle_store_answer() - the platform answered an operation of this part. */
void fq_tickets_handle_store_answer (fq_tickets_t *tickets,
                                     fq_time_t now,
                                     const fq_store_answer_t *answer,
                                     fq_effects_t *effects);

/** fq_tickets_handle_operator_request() - an operator files, shows or lists tickets. */
void fq_tickets_handle_operator_request (fq_tickets_t *tickets,
                                         fq_time_t now,
                                         const fq_operator_event_t *question,
                                         fq_effects_t *effects);

#endif
