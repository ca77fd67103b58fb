/**
 * DOC: The shed level: which priority classes, and what share of one, exceed the capacity
 * of a gate.
 *
 * A gate computes the level from the requests that it refuses and reports it with its
 * answers. The entry node, at which a call chain starts, applies it to a hash of the
 * chain's id, before any work is done. So a chain that is admitted at a level is admitted
 * at the same level on every node.
 *
 * An entry node applies the level only to calls without a parent request: an internal
 * call belongs to a chain that was admitted before.
 */
#ifndef FQ_CORE_SHED_H
#define FQ_CORE_SHED_H

#include "filbertquay/types.h"
#include "util/random.h"

/** struct fq_shed_t - set up with fq_shed_init(). */
typedef struct
{
  double admitted_share[FQ_CLASS_COUNT]; /* share of each class that is not shed */
  uint32_t offered[FQ_CLASS_COUNT];      /* in the interval */
  uint32_t refused[FQ_CLASS_COUNT];      /* in the interval, for overload */
  fq_time_t interval_start;
} fq_shed_t;

/** fq_shed_init() - start with a level that sheds nothing. */
void fq_shed_init (fq_shed_t *shed, fq_time_t now);

/**
 * fq_shed_record_offer() - a request of a class was offered to the gate.
 *
 * Requests of chains that the current level sheds are not counted, here and in
 * fq_shed_record_refusal().
 */
void fq_shed_record_offer (fq_shed_t *shed,
                           fq_time_t now,
                           fq_class_t request_class,
                           uint64_t chain_id);

/**
 * fq_shed_record_refusal() - the gate refused a request for overload, either when it was
 * offered or after it was queued.
 */
void
fq_shed_record_refusal (fq_shed_t *shed, fq_class_t request_class, uint64_t chain_id);

/** fq_shed_level() - set shed_class and shed_percent of @out to the current level. */
void fq_shed_level (const fq_shed_t *shed, fq_load_t *out);

/** fq_shed_sheds_chain() - whether @level sheds the chain @chain_id of a class. */
bool
fq_shed_sheds_chain (const fq_load_t *level, fq_class_t request_class, uint64_t chain_id);

/** fq_shed_to_classes() - @level as the number of classes it sheds, with a fraction. */
double fq_shed_to_classes (const fq_load_t *level);

/**
 * fq_shed_from_classes() - set shed_class and shed_percent of @out; inverse of
 * fq_shed_to_classes().
 */
void fq_shed_from_classes (fq_load_t *out, double classes);

/**
 * fq_shed_retry_after_ms() - delay to suggest with a refusal of a class.
 *
 * It grows with the level, and is random so that refused requests are not all retried at
 * the same time.
 */
uint32_t fq_shed_retry_after_ms (const fq_load_t *level,
                                 fq_class_t request_class,
                                 fq_random_t *random);

#endif
