/**
 * DOC: Intrusive timers in a binary heap.
 *
 * The user passes in the time. Unlike fq_wheel_t, the heap needs no regular ticks:
 * fq_timers_next() returns the time at which the next timer is due.
 */
#ifndef FQ_UTIL_TIMERS_H
#define FQ_UTIL_TIMERS_H

#include "filbertquay/types.h"

#define FQ_TIMERS_NEVER INT64_MAX /* no timer is armed */

/** struct fq_timer_entry_t - a timer, embedded in a record; zero-initialise. */
typedef struct
{
  fq_time_t when;  /* time at which the timer is due */
  size_t position; /* in the heap, from 1; 0: not armed */
  int kind;        /* tag for the user; not interpreted */
} fq_timer_entry_t;

/** struct fq_timers_t - a heap of timers; zero-initialise before use. */
typedef struct
{
  fq_timer_entry_t **heap;
  size_t count;
  size_t capacity;
} fq_timers_t;

/** fq_timers_arm() - (re)arm @entry to be due at @when; aborts when out of memory. */
void fq_timers_arm (fq_timers_t *timers, fq_timer_entry_t *entry, fq_time_t when);

/** fq_timers_cancel() - disarm @entry; no effect when it is not armed. */
void fq_timers_cancel (fq_timers_t *timers, fq_timer_entry_t *entry);

/** fq_timers_pop() - disarm and return the earliest timer due by @now; NULL: none. */
fq_timer_entry_t *fq_timers_pop (fq_timers_t *timers, fq_time_t now);

/** fq_timers_next() - when the next timer is due, or FQ_TIMERS_NEVER. */
fq_time_t fq_timers_next (const fq_timers_t *timers);

/** fq_timers_clear() - free the heap; the timers in it are left as they are. */
void fq_timers_clear (fq_timers_t *timers);

#endif
