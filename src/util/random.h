/**
 * DOC: A seeded pseudo-random generator: the same seed gives the same sequence.
 *
 * Not for cryptographic use.
 */
#ifndef FQ_UTIL_RANDOM_H
#define FQ_UTIL_RANDOM_H

#include <stdint.h>

/** struct fq_random_t - state of a splitmix64 generator; set @state to the seed. */
typedef struct
{
  uint64_t state;
} fq_random_t;

/** fq_random_next() - 64 pseudo-random bits. */
uint64_t fq_random_next (fq_random_t *random);

/** fq_random_below() - an integer in [0, @bound); 0 when @bound is 0. */
uint64_t fq_random_below (fq_random_t *random, uint64_t bound);

/** fq_random_unit() - a number in [0, 1). */
double fq_random_unit (fq_random_t *random);

#endif
