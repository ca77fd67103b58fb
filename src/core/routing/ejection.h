/**
 * DOC: Outlier ejection: a node at which attempts fail too often is excluded from
 * routing for a while, and returns with a slow start.
 *
 * Only attempts that the local node sent count. fq_routing_eject() limits how many nodes
 * of a service are ejected at once.
 */
#ifndef FQ_CORE_EJECTION_H
#define FQ_CORE_EJECTION_H

#include "filbertquay/types.h"
#include "util/random.h"

/** struct fq_ejection_t - ejection state of one node; zero-initialise. */
typedef struct
{
  double failure_share; /* exponential moving average of the share of failed attempts */
  uint32_t results;     /* attempts ended since the last ejection ended */
  uint32_t ejections;   /* consecutive ones; reset after a minute without an ejection */
  fq_time_t until;      /* end of the present ejection; 0: not ejected */
  fq_time_t last_ended; /* end of the last ejection; 0: it was never ejected */
} fq_ejection_t;

/** fq_ejection_record() - an attempt ended. Return: whether to eject the node. */
bool fq_ejection_record (fq_ejection_t *ejection, bool failed);

/**
 * fq_ejection_start() - eject the node, with exponential backoff.
 *
 * The time starts at two seconds, doubles up to four times and has a random part of up to
 * a half, so that nodes do not end an ejection together.
 */
void fq_ejection_start (fq_ejection_t *ejection, fq_time_t now, fq_random_t *random);

/** fq_ejection_end() - end the ejection and begin the slow start. */
void fq_ejection_end (fq_ejection_t *ejection, fq_time_t now);

/**
 * fq_ejection_weight() - share of its usual load that the node gets now: it rises to 1
 * within five seconds after an ejection, and is never 0.
 */
double fq_ejection_weight (const fq_ejection_t *ejection, fq_time_t now);

#endif
