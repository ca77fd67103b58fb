/**
 * DOC: The state that tickets put in force: services, priority classes and limits.
 *
 * Each object keeps the number of the ticket that set it, and only a higher number
 * replaces it. Merging is therefore the same in any order, and never goes back.
 */
#ifndef FQ_CORE_TICKET_STATE_H
#define FQ_CORE_TICKET_STATE_H

#include <jansson.h>

#include "core/tickets/ticket.h"

#define FQ_OBJECT_KEY_BYTES 192 /* "kind/member/name", with its NUL */

typedef struct fq_ticket_state fq_ticket_state_t;

/** enum fq_object_kind_t - what a ticket may touch. */
typedef enum
{
  FQ_OBJECT_SERVICE,
  FQ_OBJECT_CLASS,
  FQ_OBJECT_LIMIT,
  FQ_OBJECT_KIND_COUNT,
} fq_object_kind_t;

/** fq_object_kind_name() - the kind as keys and documents write it ("service"). */
const char *fq_object_kind_name (fq_object_kind_t kind);

/** fq_object_key() - "kind/member/name" at @out (FQ_OBJECT_KEY_BYTES). */
void
fq_object_key (char *out, fq_object_kind_t kind, const char *member, const char *name);

/** fq_ticket_state_new() - no objects. */
int fq_ticket_state_new (fq_ticket_state_t **out);

/** fq_ticket_state_free() - NULL-safe. */
void fq_ticket_state_free (fq_ticket_state_t *state);

/**
 * fq_ticket_state_merge() - set @key to @value if @number is higher than its own.
 * @value: checked before; a reference is taken; JSON null removes the object
 *
 * Return: 1 when it was set, 0 when it was older, or a negative code.
 */
int fq_ticket_state_merge (fq_ticket_state_t *state,
                           const char *key,
                           uint64_t number,
                           json_t *value);

/** fq_ticket_state_number_of() - the ticket that set @key last; 0: none. */
uint64_t fq_ticket_state_number_of (const fq_ticket_state_t *state, const char *key);

/** fq_ticket_state_value_of() - the value of @key, borrowed; NULL: none, or removed. */
const json_t *fq_ticket_state_value_of (const fq_ticket_state_t *state, const char *key);

/** fq_ticket_state_classify() - the rule for a request; @out holds the defaults before.
 */
void fq_ticket_state_classify (const fq_ticket_state_t *state,
                               const char *member,
                               const char *service,
                               const char *method,
                               const char *path,
                               fq_request_policy_t *out);

/** fq_ticket_state_limit() - the limit of @service ("member/name"). */
void fq_ticket_state_limit (const fq_ticket_state_t *state,
                            const char *service,
                            fq_service_limit_t *out);

/**
 * fq_ticket_state_export() - the objects with a higher number than @after, as documents.
 * @documents: array of *@count strings, all to be freed
 */
int fq_ticket_state_export (const fq_ticket_state_t *state,
                            uint64_t after,
                            char ***documents,
                            size_t *count);

/** fq_ticket_state_import() - merge one exported document; FQ_ERROR_INVALID: malformed.
 */
int fq_ticket_state_import (fq_ticket_state_t *state, const char *document);

/** fq_ticket_state_member_number() - the highest number of @member's objects; 0: none. */
uint64_t fq_ticket_state_member_number (const fq_ticket_state_t *state,
                                        const char *member);

/** fq_ticket_state_list() - the objects of @member, as a new JSON array. */
json_t *fq_ticket_state_list (const fq_ticket_state_t *state, const char *member);

#endif
