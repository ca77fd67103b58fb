/**
 * DOC: Intrusive timers in a binary heap, for code that is told the time.
 *
 * Nothing has to be done between two timers: fq_timers_next() says when the next is due.
 */
#ifndef FQ_UTIL_TIMERS_H
#define FQ_UTIL_TIMERS_H

#include "filbertquay/types.h"

#define FQ_TIMERS_NEVER INT64_MAX

/** struct fq_timer_entry_t - embed it in a record; zero-initialise; tag it with @kind. */
typedef struct
{
  fq_time_t when;
  size_t position; /* in the heap, from 1; 0: not armed */
  int kind;        /* the user's own tag */
} fq_timer_entry_t;

/** struct fq_timers_t - zero-initialise before use. */
typedef struct
{
  fq_timer_entry_t **heap;
  size_t count;
  size_t capacity;
} fq_timers_t;

/** fq_timers_arm() - (re)arm @entry to be due at @when. */
void fq_timers_arm (fq_timers_t *timers, fq_timer_entry_t *entry, fq_time_t when);

/** fq_timers_cancel() - harmless when it is not armed. */
void fq_timers_cancel (fq_timers_t *timers, fq_timer_entry_t *entry);

/** fq_timers_pop() - one entry that is due at @now, no longer armed; NULL: none. */
fq_timer_entry_t *fq_timers_pop (fq_timers_t *timers, fq_time_t now);

/** fq_timers_next() - when the next is due, or FQ_TIMERS_NEVER. */
fq_time_t fq_timers_next (const fq_timers_t *timers);

/** fq_timers_clear() - free the heap; entries are their owners'. */
void fq_timers_clear (fq_timers_t *timers);

#endif
