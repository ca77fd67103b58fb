/**
 * DOC: The shed level: which classes, and what share of one, a gate has no room for.
 *
 * A gate works the level out from what it refuses and tells it with every answer. The
 * node at which a chain enters applies it by a hash of the chain's id, before any work
 * is spent. A chain that passes at one level passes at the same level everywhere.
 *
 * Use at the entry: only for a call without a parent run, since an internal call
 * belongs to a chain that was admitted already.
 */
#ifndef FQ_CORE_SHED_H
#define FQ_CORE_SHED_H

#include "filbertquay/types.h"
#include "util/random.h"

/** struct fq_shed_t - set up with fq_shed_init(). */
typedef struct
{
  double keep[FQ_CLASS_COUNT]; /* share of each class for which there is room */
  uint32_t offered[FQ_CLASS_COUNT];
  uint32_t refused[FQ_CLASS_COUNT]; /* for load */
  fq_time_t interval_start;
} fq_shed_t;

/** fq_shed_init() - nothing is shed. */
void fq_shed_init (fq_shed_t *shed, fq_time_t now);

/**
 * fq_shed_offered() - a request of a class came to the gate.
 *
 * Requests of chains that the present level sheds do not count, here and in
 * fq_shed_refused().
 */
void fq_shed_offered (fq_shed_t *shed,
                      fq_time_t now,
                      fq_class_t request_class,
                      uint64_t chain_id);

/** fq_shed_refused() - the gate refused it for load, now or after a wait. */
void fq_shed_refused (fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id);

/** fq_shed_level() - fill in the shed fields of @out. */
void fq_shed_level (const fq_shed_t *shed, fq_load_t *out);

/** fq_shed_sheds_chain() - whether @level sheds the chain @chain_id of a class. */
bool
fq_shed_sheds_chain (const fq_load_t *level, fq_class_t request_class, uint64_t chain_id);

/** fq_shed_classes() - how many classes @level sheds; a part of one as a fraction. */
double fq_shed_classes (const fq_load_t *level);

/** fq_shed_set_classes() - fill in the shed fields of @out; see fq_shed_classes(). */
void fq_shed_set_classes (fq_load_t *out, double classes);

/**
 * fq_shed_retry_after_ms() - when a refused request of a class should come back.
 *
 * It grows with the level and is spread, so that a refused crowd does not return as one.
 */
uint32_t fq_shed_retry_after_ms (const fq_load_t *level,
                                 fq_class_t request_class,
                                 fq_random_t *random);

#endif
