/**
 * DOC: Counters of calls that entered here, and a ring of recent events with causes.
 *
 * Everything is kept by member, and shown to that member only. Memory is bounded: calls
 * of services that the node does not know count under an empty name, and every member
 * has a ring of events of its own, so that no member can push out another's.
 */
#ifndef FQ_CORE_COUNTERS_H
#define FQ_CORE_COUNTERS_H

#include "filbertquay/message.h"

typedef struct fq_counters fq_counters_t;

#define FQ_EVENT_TEXT_BYTES 96 /* the detail of an event, with its NUL */

/** enum fq_happening_t - kinds of events that are kept. */
typedef enum
{
  FQ_HAPPENING_REFUSAL,  /* a call was answered "not run" */
  FQ_HAPPENING_UNKNOWN,  /* a call was answered "unknown" */
  FQ_HAPPENING_EJECTION, /* a node gets no attempts for a while */
  FQ_HAPPENING_LIMIT,    /* the gate's limit changed */
  FQ_HAPPENING_UPSTREAM, /* our upstream announced, drains or is gone */
  FQ_HAPPENING_TICKET,   /* a ticket is in force here */
} fq_happening_t;

/** struct fq_node_status_t - what a node tells of itself besides counters. */
typedef struct
{
  const char *node;
  const char *failure_domain;
  const char *service; /* of our upstream; empty: none announced */
  bool ready;          /* our upstream takes new work */
  bool stopping;
  size_t nodes; /* in the view */
  uint64_t ticket_number;
  bool ticket_confirmed;
  fq_load_t load; /* of our gate */
} fq_node_status_t;

/** fq_counters_new() - nothing counted yet. */
int fq_counters_new (fq_counters_t **out);

/** fq_counters_free() - NULL-safe. */
void fq_counters_free (fq_counters_t *counters);

/**
 * fq_counters_call() - a call ended.
 * @service_known: whether its service may be shown by name
 * @latency: from its arrival until its answer
 */
void fq_counters_call (fq_counters_t *counters,
                       int64_t wall_ms,
                       const fq_request_t *request,
                       bool service_known,
                       fq_time_t latency,
                       fq_outcome_t outcome,
                       fq_cause_t cause);

/** fq_counters_event() - keep an event; alike ones within a second become one. */
void fq_counters_event (fq_counters_t *counters,
                        int64_t wall_ms,
                        const char *member,
                        fq_happening_t kind,
                        const char *service,
                        fq_cause_t cause,
                        const char *format,
                        ...) __attribute__ ((format (printf, 7, 8)));

/** fq_counters_limit() - the gate of @service has this limit now. */
void fq_counters_limit (fq_counters_t *counters,
                        int64_t wall_ms,
                        const char *service,
                        uint32_t limit);

/** fq_counters_member_of() - the member whose service this is, at @member. */
void fq_counters_member_of (char member[FQ_NAME_BYTES], const char *service);

/** fq_counters_metrics() - in the Prometheus text format; owned by the caller. */
char *fq_counters_metrics (const fq_counters_t *counters,
                           const char *member,
                           const fq_node_status_t *status);

/** fq_counters_status() - as JSON; owned by the caller. */
char *fq_counters_status (const fq_counters_t *counters,
                          const char *member,
                          const fq_node_status_t *status);

/** fq_counters_events() - oldest first, as JSON; owned by the caller. */
char *fq_counters_events (const fq_counters_t *counters, const char *member);

#endif
