/**
 * DOC: Removal of expired rows at a limited rate of store operations.
 *
 * A gate scans the rows of the service that it claims for, one page at a time. It begins
 * in a bucket chosen at random, so that gates seldom scan the same rows.
 */
#ifndef FQ_CORE_ONCE_SWEEP_H
#define FQ_CORE_ONCE_SWEEP_H

#include "core/once/once_row.h"
#include "filbertquay/effect.h"
#include "util/random.h"

/** struct fq_once_sweep_t - the state of the scan; zero-initialise before use. */
typedef struct
{
  bool has_service;                  /* @service is set; until then nothing is scanned */
  fq_request_t service;              /* only its member and service are used */
  char scan_from[FQ_ONCE_KEY_BYTES]; /* the page's keys follow it; empty: none */
  char scan_end[FQ_ONCE_KEY_BYTES];  /* the first key after the bucket */
  fq_id_t scan_op;                   /* the pending scan; 0: none */
  fq_time_t next_scan_at;
} fq_once_sweep_t;

/** fq_once_sweep_set_service() - from now on scan the service of @request. */
void fq_once_sweep_set_service (fq_once_sweep_t *sweep,
                                fq_time_t now,
                                const fq_request_t *request,
                                fq_random_t *random);

/**
 * fq_once_sweep_tick() - scan the next page when it is due.
 * @op_count: counter for the identifiers of store operations; incremented
 */
void fq_once_sweep_tick (fq_once_sweep_t *sweep,
                         fq_time_t now,
                         uint64_t *op_count,
                         fq_random_t *random,
                         fq_effects_t *effects);

/**
 * fq_once_sweep_handle_store_answer() - handle the answer to a scan.
 *
 * Return: false if @answer is not to a scan of @sweep.
 */
bool fq_once_sweep_handle_store_answer (fq_once_sweep_t *sweep,
                                        fq_time_t now,
                                        int64_t wall_ms,
                                        const fq_store_answer_t *answer,
                                        uint64_t *op_count,
                                        fq_effects_t *effects);

#endif
