/**
 * DOC: Whether a node has failed us too often to be tried, and for how long.
 *
 * Only attempts of our own count. The table of routing sets the floor, below which no
 * node of a service is ejected.
 */
#ifndef FQ_CORE_EJECTION_H
#define FQ_CORE_EJECTION_H

#include "filbertquay/types.h"
#include "util/random.h"

/** struct fq_ejection_t - what we saw of one node; zero-initialise. */
typedef struct
{
  double failure_share; /* smoothed */
  uint32_t results;     /* since it was ejected or came back */
  uint32_t ejections;   /* without a quiet time between them */
  fq_time_t until;      /* ejected until then; 0: it is not */
  fq_time_t returned;   /* when it came back; 0: it was never away */
} fq_ejection_t;

/** fq_ejection_note() - an attempt ended; true: the node ought to be ejected. */
bool fq_ejection_note (fq_ejection_t *ejection, bool failed);

/** fq_ejection_start() - eject it, for longer with each time. */
void fq_ejection_start (fq_ejection_t *ejection, fq_time_t now, fq_random_t *random);

/** fq_ejection_return() - it takes part again, slowly at first. */
void fq_ejection_return (fq_ejection_t *ejection, fq_time_t now);

/** fq_ejection_weight() - the share of its choices that a node may take, above 0. */
double fq_ejection_weight (const fq_ejection_t *ejection, fq_time_t now);

#endif
