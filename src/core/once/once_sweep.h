/**
 * DOC: Removal of claims whose retention is over, within a budget of store operations.
 *
 * A gate looks through the rows of the service that it claims for, one page at a time,
 * beginning in a bucket chosen at random, so that gates seldom do the same work.
 */
#ifndef FQ_CORE_ONCE_SWEEP_H
#define FQ_CORE_ONCE_SWEEP_H

#include "core/once/once_row.h"
#include "filbertquay/effect.h"
#include "util/random.h"

/** struct fq_once_sweep_t - zeroed: nothing to sweep yet. */
typedef struct
{
  bool active; /* @service is set */
  fq_request_t service;
  char from[FQ_ONCE_KEY_BYTES]; /* the last row that was looked at */
  char to[FQ_ONCE_KEY_BYTES];
  fq_id_t op;
  fq_time_t next;
} fq_once_sweep_t;

/** fq_once_sweep_note() - a claim for the service of @request was made here. */
void fq_once_sweep_note (fq_once_sweep_t *sweep,
                         fq_time_t now,
                         const fq_request_t *request,
                         fq_random_t *random);

/** fq_once_sweep_tick() - ask for a page when it is time; *@number counts operations. */
void fq_once_sweep_tick (fq_once_sweep_t *sweep,
                         fq_time_t now,
                         uint64_t *number,
                         fq_random_t *random,
                         fq_effects_t *effects);

/** fq_once_sweep_store() - take the answer to an operation; false: not one of ours. */
bool fq_once_sweep_store (fq_once_sweep_t *sweep,
                          fq_time_t now,
                          int64_t wall_ms,
                          const fq_store_answer_t *answer,
                          uint64_t *number,
                          fq_effects_t *effects);

#endif
