/**
 * DOC: Error-budget burn rates of services, measured against their objectives.
 *
 * A node counts the calls that entered the system at it, as good or bad. From time to
 * time it rolls its counts up into the platform's store, where the nodes of one service
 * share one row for each calling member. The delay between two roll-ups of a node grows
 * with the number of live nodes of its service, so that a service costs on average one
 * read and one write for each member and roll-up interval, however many nodes it has. A
 * report adds the rows of the querying member to what this node has not rolled up yet.
 */
#ifndef FQ_CORE_BURN_H
#define FQ_CORE_BURN_H

#include <jansson.h>

#include "core/tickets/ticket.h"
#include "filbertquay/effect.h"
#include "filbertquay/event.h"

typedef struct fq_burn fq_burn_t;

/** struct fq_burn_options_t - initialise with FQ_BURN_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;     /* unique name of this node; copied */
  uint64_t incarnation; /* greater than that of any earlier start */
  uint64_t seed;        /* of the random delays */
  uint32_t rollup_ms;   /* mean interval between roll-ups of one service */
  const fq_tickets_t
      *tickets; /* has the objectives; outlives the fq_burn_t; NULL: defaults */
} fq_burn_options_t;

#define FQ_BURN_OPTIONS_VERSION 1
#define FQ_BURN_ROLLUP_MS 30000
#define FQ_BURN_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_BURN_OPTIONS_VERSION, .rollup_ms = FQ_BURN_ROLLUP_MS                   \
  }

/** struct fq_objective_t - the service-level objective for one class of a service. */
typedef struct
{
  double target_percent; /* share of calls that are to get a complete answer in time */
  uint32_t latency_ms;   /* longest time of an answer that is in time */
} fq_objective_t;

/**
 * fq_burn_new() - create an empty set of counts.
 *
 * Return: 0 or FQ_ERROR_NOMEM. The caller frees @out with fq_burn_free().
 */
int fq_burn_new (fq_burn_t **out, const fq_burn_options_t *options);

/** fq_burn_free() - free @burn and all open queries, unanswered; NULL-safe. */
void fq_burn_free (fq_burn_t *burn);

/**
 * fq_burn_objective() - look up the objective for a class.
 * @objectives: the service's objectives, as JSON from its ticket; NULL: none
 * @out: the objective, or a default where the service has none for the class
 */
void fq_burn_objective (const json_t *objectives,
                        fq_class_t request_class,
                        fq_objective_t *out);

/**
 * fq_burn_record_call() - count a call that ended.
 * @wall_ms: time of the end; chooses the bucket
 * @latency: from the arrival of the call until its answer
 *
 * A call is good when it got a complete answer within the latency of @objective, else
 * bad. Calls that fail because of an error of the caller, or that are cancelled since the
 * caller disconnected, are not counted.
 */
void fq_burn_record_call (fq_burn_t *burn,
                          int64_t wall_ms,
                          const fq_request_t *request,
                          fq_time_t latency,
                          fq_outcome_t outcome,
                          fq_cause_t cause,
                          const fq_objective_t *objective);

/**
 * fq_burn_tick() - start the next roll-up when it is due, and expire queries.
 * @service: the service of the upstream beside this node; empty: no roll-up
 * @nodes: live nodes of @service, this one included
 */
void fq_burn_tick (fq_burn_t *burn,
                   fq_time_t now,
                   int64_t wall_ms,
                   const char *service,
                   size_t nodes,
                   fq_effects_t *effects);

/** fq_burn_handle_store_answer() - handle the store's answer to an operation of a roll-up
 * or query. */
void fq_burn_handle_store_answer (fq_burn_t *burn,
                                  fq_time_t now,
                                  int64_t wall_ms,
                                  const fq_store_answer_t *answer,
                                  fq_effects_t *effects);

/**
 * fq_burn_query() - start a report for an operator.
 * @query: its member is the one that the report covers
 *
 * The report follows as FQ_EFFECT_OPERATOR_REPLY once the rows are read or the query
 * times out. Beyond the limit of open queries, or when out of memory, the reply
 * has status 503 and comes at once.
 */
void fq_burn_query (fq_burn_t *burn,
                    fq_time_t now,
                    const fq_operator_event_t *query,
                    fq_effects_t *effects);

/**
 * fq_burn_begin_shutdown() - roll up without further delay, as this node shuts down.
 *
 * The delay before a retry after a conflict stays. A failed roll-up is not repeated.
 */
void fq_burn_begin_shutdown (fq_burn_t *burn);

/**
 * fq_burn_is_idle() - whether a shutdown need not wait for a roll-up.
 *
 * Return: true when nothing is left to roll up, when no tick has named a service yet, or
 * when a roll-up failed after fq_burn_begin_shutdown().
 */
bool fq_burn_is_idle (const fq_burn_t *burn);

#endif
