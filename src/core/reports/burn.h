/**
 * DOC: Service-level burn: how fast services use up their error budgets.
 *
 * A node counts the calls that entered at it. The live nodes of a service take turns to
 * add their counts to a row of the platform's table, so that a service costs one read
 * and one write in a turn, however many nodes it has. A report adds up the rows of the
 * asking member and what this node has not rolled up yet.
 */
#ifndef FQ_CORE_BURN_H
#define FQ_CORE_BURN_H

#include <jansson.h>

#include "core/tickets/ticket.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_burn fq_burn_t;

/** struct fq_burn_options_t - see FQ_BURN_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;
  uint64_t incarnation;
  uint64_t seed;
  uint32_t turn_ms;            /* between two roll-ups of one service */
  const fq_tickets_t *tickets; /* for objectives; has to outlive it */
} fq_burn_options_t;

#define FQ_BURN_OPTIONS_VERSION 1
#define FQ_BURN_TURN_MS 30000
#define FQ_BURN_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_BURN_OPTIONS_VERSION, .turn_ms = FQ_BURN_TURN_MS                       \
  }

/** struct fq_objective_t - what a service promises for a class. */
typedef struct
{
  double target_percent; /* of calls that are answered whole in time */
  uint32_t latency_ms;
} fq_objective_t;

/** fq_burn_new() - nothing counted yet. */
int fq_burn_new (fq_burn_t **out, const fq_burn_options_t *options);

/** fq_burn_free() - NULL-safe. */
void fq_burn_free (fq_burn_t *burn);

/**
 * fq_burn_objective() - what is promised for a class.
 * @objectives: of the service, as tickets have them; NULL: none
 */
void fq_burn_objective (const json_t *objectives,
                        fq_class_t request_class,
                        fq_objective_t *out);

/**
 * fq_burn_call() - a call ended.
 *
 * Calls that fail by the caller's own doing are not counted.
 */
void fq_burn_call (fq_burn_t *burn,
                   int64_t wall_ms,
                   const fq_request_t *request,
                   fq_time_t latency,
                   fq_outcome_t outcome,
                   fq_cause_t cause,
                   const fq_objective_t *objective);

/**
 * fq_burn_tick() - time has passed.
 * @service: of our upstream; empty: this node does not roll up
 * @nodes: live nodes of that service, ourselves included
 */
void fq_burn_tick (fq_burn_t *burn,
                   fq_time_t now,
                   int64_t wall_ms,
                   const char *service,
                   size_t nodes,
                   fq_effects_t *effects);

/** fq_burn_handle_store_answer() - the platform answered an operation of this part. */
void fq_burn_handle_store_answer (fq_burn_t *burn,
                                  fq_time_t now,
                                  int64_t wall_ms,
                                  const fq_store_answer_t *answer,
                                  fq_effects_t *effects);

/** fq_burn_ask() - an operator wants the report of its member. */
void fq_burn_ask (fq_burn_t *burn,
                  fq_time_t now,
                  const fq_operator_event_t *question,
                  fq_effects_t *effects);

/** fq_burn_stop() - roll up at once, for the last time. */
void fq_burn_stop (fq_burn_t *burn);

/** fq_burn_is_idle() - whether nothing is left to roll up, or it can't be. */
bool fq_burn_is_idle (const fq_burn_t *burn);

#endif
