/**
 * DOC: Counters of calls that entered the system at this node, and recent events.
 *
 * Everything is kept by member, and reported to that member only. Memory is bounded:
 * calls of services that the node does not know count under an empty service name. Each
 * member has its own ring buffer of events, so that no member can evict the events of
 * another.
 */
#ifndef FQ_CORE_COUNTERS_H
#define FQ_CORE_COUNTERS_H

#include "filbertquay/message.h"

typedef struct fq_counters fq_counters_t;

#define FQ_COUNTERS_EVENT_TEXT_BYTES 96 /* the text of an event, with its NUL */

/** enum fq_counters_event_kind_t - kinds of recorded events. */
typedef enum
{
  FQ_COUNTERS_EVENT_REFUSAL,  /* a call ended with FQ_OUTCOME_NOT_RUN */
  FQ_COUNTERS_EVENT_UNKNOWN,  /* a call ended with FQ_OUTCOME_UNKNOWN */
  FQ_COUNTERS_EVENT_EJECTION, /* a node was ejected: no attempts for some time */
  FQ_COUNTERS_EVENT_LIMIT,    /* the concurrency limit of the gate changed */
  FQ_COUNTERS_EVENT_UPSTREAM, /* the upstream announced itself, drains or withdrew */
  FQ_COUNTERS_EVENT_TICKET,   /* a ticket came into force at this node */
} fq_counters_event_kind_t;

/** struct fq_node_status_t - state of the node that is reported with the counters. */
typedef struct
{
  const char *node;
  const char *failure_domain;
  const char *service; /* of the upstream beside the node; empty: none announced */
  bool ready;          /* the upstream takes new work */
  bool stopping;
  size_t nodes;           /* live nodes in the membership view */
  uint64_t ticket_number; /* the highest ticket in force */
  bool ticket_confirmed;  /* compared with other nodes since start */
  fq_load_t load;         /* of the gate of this node */
} fq_node_status_t;

/**
 * fq_counters_new() - create counters, all zero, and no events.
 *
 * Return: 0 or FQ_ERROR_NOMEM. The caller frees @out with fq_counters_free().
 */
int fq_counters_new (fq_counters_t **out);

/** fq_counters_free() - NULL-safe. */
void fq_counters_free (fq_counters_t *counters);

/**
 * fq_counters_record_call() - count a call that ended.
 * @service_known: false: count it under the empty service name
 * @latency: from the arrival of the call until its answer
 *
 * A call without a complete answer is recorded as an event too. Calls with an outcome,
 * cause or class out of range are ignored.
 */
void fq_counters_record_call (fq_counters_t *counters,
                              int64_t wall_ms,
                              const fq_request_t *request,
                              bool service_known,
                              fq_time_t latency,
                              fq_outcome_t outcome,
                              fq_cause_t cause);

/**
 * fq_counters_record_event() - add an event to the ring buffer of @member.
 * @service: may be empty
 * @format: of the text, which is cut to FQ_COUNTERS_EVENT_TEXT_BYTES
 *
 * An event that equals a recent one of the last second adds to the count of that one.
 */
void fq_counters_record_event (fq_counters_t *counters,
                               int64_t wall_ms,
                               const char *member,
                               fq_counters_event_kind_t kind,
                               const char *service,
                               fq_cause_t cause,
                               const char *format,
                               ...) __attribute__ ((format (printf, 7, 8)));

/**
 * fq_counters_record_limit() - record the concurrency limit of the gate.
 * @service: of the upstream behind the gate; empty: nothing is recorded
 *
 * Adds an event when the limit changed by at least an eighth of the last one recorded.
 */
void fq_counters_record_limit (fq_counters_t *counters,
                               int64_t wall_ms,
                               const char *service,
                               uint32_t limit);

/** fq_counters_service_member() - write the member part of @service ("member/name"). */
void fq_counters_service_member (char member[FQ_NAME_BYTES], const char *service);

/**
 * fq_counters_metrics() - the metrics of @member in the Prometheus text format.
 *
 * The gate is included only when the upstream of the node belongs to @member.
 *
 * Return: the text, owned by the caller; NULL when out of memory.
 */
char *fq_counters_metrics (const fq_counters_t *counters,
                           const char *member,
                           const fq_node_status_t *status);

/**
 * fq_counters_status() - the state of the node and the calls of @member, as JSON.
 *
 * The gate is included only when the upstream of the node belongs to @member.
 *
 * Return: the text, owned by the caller; NULL when out of memory.
 */
char *fq_counters_status (const fq_counters_t *counters,
                          const char *member,
                          const fq_node_status_t *status);

/**
 * fq_counters_events() - the events of @member, oldest first, as JSON.
 *
 * Return: the text, owned by the caller; NULL when out of memory.
 */
char *fq_counters_events (const fq_counters_t *counters, const char *member);

#endif
