/**
 * DOC: State of the counters, shared by counters.c and counters_text.c.
 */
#ifndef FQ_CORE_COUNTERS_PRIVATE_H
#define FQ_CORE_COUNTERS_PRIVATE_H

#include "core/reports/counters.h"
#include "util/histogram.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_OUTCOME_COUNT 3
#define FQ_COUNTERS_RECORDS_MAX 1024 /* calls beyond count under the empty service */
#define FQ_COUNTERS_EVENTS_MAX 256   /* of one member */

/* The calls of one member to one service in one class. */
typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES]; /* empty: unknown, or beyond FQ_COUNTERS_RECORDS_MAX */
  fq_class_t request_class;
  uint64_t counts[FQ_OUTCOME_COUNT][FQ_CAUSE_COUNT];
  fq_histogram_t latency; /* of calls with a complete answer */
} fq_counters_record_t;

/* An event, or several equal ones that were coalesced. */
typedef struct
{
  uint64_t number; /* from 1 for each member */
  int64_t wall_ms; /* of the first one */
  uint64_t count;  /* of coalesced events */
  fq_counters_event_kind_t kind;
  fq_cause_t cause;
  char service[FQ_SERVICE_BYTES];
  char text[FQ_COUNTERS_EVENT_TEXT_BYTES];
} fq_counters_event_t;

/* The ring buffer of one member's events. */
typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  uint64_t last_number;                               /* of the newest event; 0: none */
  fq_counters_event_t events[FQ_COUNTERS_EVENTS_MAX]; /* at number % size */
} fq_counters_ring_t;

struct fq_counters
{
  fq_list_t records;
  fq_map_t records_by_key;
  fq_list_t rings;
  uint32_t reported_limit; /* of the last event FQ_COUNTERS_EVENT_LIMIT; 0: none */
};

/** fq_counters_find_ring() - the events of @member; NULL when it has none. */
const fq_counters_ring_t *fq_counters_find_ring (const fq_counters_t *counters,
                                                 const char *member);

#endif
