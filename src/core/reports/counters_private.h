/**
 * DOC: What counters.c keeps, for counters_text.c to show.
 */
#ifndef FQ_CORE_COUNTERS_PRIVATE_H
#define FQ_CORE_COUNTERS_PRIVATE_H

#include "core/reports/counters.h"
#include "util/histogram.h"
#include "util/list.h"
#include "util/map.h"

#define FQ_OUTCOME_COUNT 3
#define FQ_COUNTERS_RECORDS_MAX 1024 /* beyond: counted under an empty service */
#define FQ_COUNTERS_EVENTS_MAX 256   /* of one member */

/* The calls of one member to one service in one class. */
typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES]; /* empty: not known here */
  fq_class_t request_class;
  uint64_t ends[FQ_OUTCOME_COUNT][FQ_CAUSE_COUNT];
  fq_histogram_t latency; /* of whole answers */
} fq_counters_record_t;

typedef struct
{
  uint64_t number; /* counts a member's events from 1 */
  int64_t wall_ms; /* of the first of its like */
  uint64_t count;
  fq_happening_t kind;
  fq_cause_t cause;
  char service[FQ_SERVICE_BYTES];
  char text[FQ_EVENT_TEXT_BYTES];
} fq_counters_event_t;

typedef struct
{
  fq_list_t link;
  char member[FQ_NAME_BYTES];
  uint64_t last; /* the number of the newest event; 0: none */
  fq_counters_event_t events[FQ_COUNTERS_EVENTS_MAX]; /* at number % size */
} fq_counters_ring_t;

struct fq_counters
{
  fq_list_t records;
  fq_map_t records_by_key;
  fq_list_t rings;
  uint32_t limit; /* as last kept as an event */
};

/** fq_counters_ring() - the events of @member, or NULL. */
const fq_counters_ring_t *fq_counters_ring (const fq_counters_t *counters,
                                            const char *member);

#endif
