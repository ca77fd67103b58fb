#include "mesh/chain_shed.h"

#define FQ_JUDGE_US (20 * FQ_MICROSECONDS_PER_MS)
#define FQ_WAIT_LEAST_US (40 * FQ_MICROSECONDS_PER_MS) /* shorter waits do no harm */
#define FQ_STEP_UP 0.02
#define FQ_STEP_UP_FAST 0.08 /* while calls wait more than twice too long */
#define FQ_STEP_DOWN 0.04
#define FQ_GIVEN_UP_MOST 0.95
#define FQ_HASH_BITS 32

static void
judge (fq_chain_shed_t *shed, fq_time_t wait, fq_time_t run)
{
  fq_time_t allowed = run > FQ_WAIT_LEAST_US ? run : FQ_WAIT_LEAST_US;

  if (wait > 2 * allowed)
    shed->given_up += FQ_STEP_UP_FAST;
  else if (wait > allowed)
    shed->given_up += FQ_STEP_UP;
  else
    shed->given_up -= FQ_STEP_DOWN;
  if (shed->given_up > FQ_GIVEN_UP_MOST)
    shed->given_up = FQ_GIVEN_UP_MOST;
  if (shed->given_up < 0)
    shed->given_up = 0;
}

bool
fq_chain_shed_keeps (
    fq_chain_shed_t *shed, fq_time_t now, uint64_t chain, fq_time_t wait, fq_time_t run)
{
  double position = (double)(chain >> FQ_HASH_BITS) / (double)(1ULL << FQ_HASH_BITS);

  if (now - shed->judged_at >= FQ_JUDGE_US)
    {
      judge (shed, wait, run);
      shed->judged_at = now;
    }
  return position < 1 - shed->given_up;
}
