/**
 * DOC: The configuration objects that tickets set: services, priority classes and limits.
 *
 * Each object keeps the number of the ticket that set it, and only a higher number
 * replaces it. Merging therefore gives the same result in any order, and an older ticket
 * never reverts a newer one.
 */
#ifndef FQ_CORE_TICKET_STATE_H
#define FQ_CORE_TICKET_STATE_H

#include <jansson.h>

#include "core/tickets/ticket.h"

#define FQ_TICKET_OBJECT_KEY_BYTES 192 /* "kind/member/name", with its NUL */

typedef struct fq_ticket_state fq_ticket_state_t;

/** enum fq_ticket_object_kind_t - the kinds of objects that a ticket can change. */
typedef enum
{
  FQ_TICKET_OBJECT_SERVICE,
  FQ_TICKET_OBJECT_CLASS,
  FQ_TICKET_OBJECT_LIMIT,
  FQ_TICKET_OBJECT_KIND_COUNT,
} fq_ticket_object_kind_t;

/** fq_ticket_object_kind_name() - the name in keys and documents ("service"); static. */
const char *fq_ticket_object_kind_name (fq_ticket_object_kind_t kind);

/** fq_ticket_object_key() - "kind/member/name" to @out (FQ_TICKET_OBJECT_KEY_BYTES). */
void fq_ticket_object_key (char *out,
                           fq_ticket_object_kind_t kind,
                           const char *member,
                           const char *name);

/** fq_ticket_state_new() - create a state without objects; 0 or FQ_ERROR_NOMEM. */
int fq_ticket_state_new (fq_ticket_state_t **out);

/** fq_ticket_state_free() - free the state and its objects; NULL-safe. */
void fq_ticket_state_free (fq_ticket_state_t *state);

/**
 * fq_ticket_state_merge() - set @key to @value if ticket @number is newer.
 * @value: already validated; a reference is taken; JSON null removes the object, but its
 *   ticket number is kept
 *
 * Return: 1 when it was set, 0 when @key was set by @number or a later ticket, or
 * FQ_ERROR_NOMEM, also for a key that is too long.
 */
int fq_ticket_state_merge (fq_ticket_state_t *state,
                           const char *key,
                           uint64_t number,
                           json_t *value);

/** fq_ticket_state_number_of() - the ticket that set or removed @key last; 0: none. */
uint64_t fq_ticket_state_number_of (const fq_ticket_state_t *state, const char *key);

/** fq_ticket_state_value_of() - the value of @key, borrowed; NULL: none, or removed. */
const json_t *fq_ticket_state_value_of (const fq_ticket_state_t *state, const char *key);

/**
 * fq_ticket_state_classify() - apply @service's values and its first matching rule.
 * @service: "member/name"
 * @out: holds the defaults on entry; what no ticket sets is left as it is
 */
void fq_ticket_state_classify (const fq_ticket_state_t *state,
                               const char *member,
                               const char *service,
                               const char *method,
                               const char *path,
                               fq_request_policy_t *out);

/** fq_ticket_state_limit() - get the limit of @service ("member/name"); 0: none. */
void fq_ticket_state_limit (const fq_ticket_state_t *state,
                            const char *service,
                            fq_service_limit_t *out);

/**
 * fq_ticket_state_export() - get the objects that tickets after @after set, as documents.
 * @documents: array of *@count JSON strings; the caller frees the strings and the array
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_ticket_state_export (const fq_ticket_state_t *state,
                            uint64_t after,
                            char ***documents,
                            size_t *count);

/**
 * fq_ticket_state_import() - merge one exported document.
 *
 * Return: 0, also when the object here is newer; FQ_ERROR_INVALID when @document is
 * malformed; FQ_ERROR_NOMEM.
 */
int fq_ticket_state_import (fq_ticket_state_t *state, const char *document);

/** fq_ticket_state_member_number() - the highest number of @member's objects; 0: none. */
uint64_t fq_ticket_state_member_number (const fq_ticket_state_t *state,
                                        const char *member);

/** fq_ticket_state_list() - a new JSON array of @member's objects, removed ones included,
 * each with key, number and value; owned by the caller. */
json_t *fq_ticket_state_list (const fq_ticket_state_t *state, const char *member);

#endif
