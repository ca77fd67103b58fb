#include "util/random.h"

uint64_t
fq_random_next (fq_random_t *random)
{
  uint64_t mixed = random->state += 0x9e3779b97f4a7c15u;

  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
  return mixed ^ (mixed >> 31);
}

uint64_t
fq_random_below (fq_random_t *random, uint64_t bound)
{
  return bound == 0 ? 0 : fq_random_next (random) % bound;
}

double
fq_random_unit (fq_random_t *random)
{
  return (double)(fq_random_next (random) >> 11) * 0x1.0p-53;
}
