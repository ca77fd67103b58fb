/**
 * DOC: How much new work a gate starts when services further down have no room.
 *
 * Answers the load under which a deep service is the narrow place: work that was started
 * here fails when one of its calls finds no room there, and all that was done for it is
 * wasted. A gate sees this first-hand, since its server's calls go through its own node.
 * It lowers the number of runs at once, for each rank on its own, until few of them
 * starve, and raises it again while none does.
 */
#ifndef FQ_UTIL_PRESSURE_H
#define FQ_UTIL_PRESSURE_H

#include "filbertquay/types.h"

#define FQ_PRESSURE_NO_LIMIT UINT32_MAX

/** struct fq_pressure_t - of one rank; zero-initialise before use. */
typedef struct
{
  double limit; /* runs at once; 0: none is set */
  fq_time_t epoch_start;
  fq_time_t cut_at; /* runs that started before tell nothing of the limit in force */
  uint32_t ended;   /* runs that ended in the epoch */
  uint32_t starved;
  uint32_t most; /* runs at once in the epoch, at most */
} fq_pressure_t;

/** fq_pressure_started() - @in_flight runs of the rank are under way. */
void fq_pressure_started (fq_pressure_t *pressure, uint32_t in_flight);

/** fq_pressure_ended() - a run ended. @starved: a call of it found no room. */
void fq_pressure_ended (fq_pressure_t *pressure,
                        fq_time_t now,
                        fq_time_t started,
                        bool starved);

/** fq_pressure_limit() - runs at once that the rank may have. */
uint32_t fq_pressure_limit (const fq_pressure_t *pressure);

#endif
