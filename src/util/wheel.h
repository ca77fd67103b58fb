/**
 * DOC: A timing wheel of intrusive timers.
 *
 * Arming and cancelling take constant time. Time is divided into granules of
 * FQ_WHEEL_GRANULE_US. Granule N uses slot N % FQ_WHEEL_SLOTS, where timers of a later
 * round stay until theirs. A timer becomes due at the first call of fq_wheel_advance()
 * for a granule after that of its time, and thus at most one granule late if the wheel is
 * advanced in each.
 */
#ifndef FQ_UTIL_WHEEL_H
#define FQ_UTIL_WHEEL_H

#include "filbertquay/types.h"
#include "util/list.h"

#define FQ_WHEEL_SLOTS 4096
#define FQ_WHEEL_GRANULE_US 4096

/** struct fq_timer_t - a timer, embedded in a record; see fq_timer_init(). */
typedef struct
{
  fq_list_t link;
  fq_time_t when;
  int kind; /* tag for the user; not interpreted */
} fq_timer_t;

/** struct fq_wheel_t - a wheel; see fq_wheel_init(). */
typedef struct
{
  fq_list_t slots[FQ_WHEEL_SLOTS];
  int64_t granule; /* number of the granule of the last fq_wheel_advance() */
  fq_list_t due;   /* timers for fq_wheel_pop() */
} fq_wheel_t;

/** fq_wheel_init() - initialise an empty wheel at the time @now. */
void fq_wheel_init (fq_wheel_t *wheel, fq_time_t now);

/** fq_timer_init() - initialise an unarmed timer. */
void fq_timer_init (fq_timer_t *timer, int kind);

/** fq_wheel_arm() - (re)arm @timer to be due at @when. */
void fq_wheel_arm (fq_wheel_t *wheel, fq_timer_t *timer, fq_time_t when);

/** fq_timer_cancel() - disarm @timer; no effect when it is not armed. */
void fq_timer_cancel (fq_timer_t *timer);

/** fq_wheel_advance() - collect the timers due by @now for fq_wheel_pop(). */
void fq_wheel_advance (fq_wheel_t *wheel, fq_time_t now);

/** fq_wheel_pop() - disarm and return a collected timer; NULL: none. */
fq_timer_t *fq_wheel_pop (fq_wheel_t *wheel);

#endif
