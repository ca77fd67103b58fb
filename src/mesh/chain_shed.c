#include "mesh/chain_shed.h"

#define FQ_ADJUST_INTERVAL_US (20 * FQ_MICROSECONDS_PER_MS)
#define FQ_ALLOWED_WAIT_MIN_US                                                           \
  (40 * FQ_MICROSECONDS_PER_MS) /* shorter waits do no harm */
/* Steps of shed_share at each adjustment, which is made at most once in
 * FQ_ADJUST_INTERVAL_US. */
#define FQ_STEP_UP 0.02
#define FQ_STEP_UP_FAST 0.08 /* while calls wait more than twice the allowed time */
#define FQ_STEP_DOWN 0.04
#define FQ_SHED_SHARE_MAX 0.95
#define FQ_HASH_LOW_BITS 32

/* The allowed wait of a call is its expected run time, but at least
 * FQ_ALLOWED_WAIT_MIN_US. */
static void
adjust_share (fq_chain_shed_t *shed, fq_time_t wait, fq_time_t run)
{
  fq_time_t allowed = run > FQ_ALLOWED_WAIT_MIN_US ? run : FQ_ALLOWED_WAIT_MIN_US;

  if (wait > 2 * allowed)
    shed->shed_share += FQ_STEP_UP_FAST;
  else if (wait > allowed)
    shed->shed_share += FQ_STEP_UP;
  else
    shed->shed_share -= FQ_STEP_DOWN;
  if (shed->shed_share > FQ_SHED_SHARE_MAX)
    shed->shed_share = FQ_SHED_SHARE_MAX;
  if (shed->shed_share < 0)
    shed->shed_share = 0;
}

bool
fq_chain_shed_admits (
    fq_chain_shed_t *shed, fq_time_t now, uint64_t chain, fq_time_t wait, fq_time_t run)
{
  double position
      = (double)(chain >> FQ_HASH_LOW_BITS) / (double)(1ULL << FQ_HASH_LOW_BITS);

  if (now - shed->adjusted_at >= FQ_ADJUST_INTERVAL_US)
    {
      adjust_share (shed, wait, run);
      shed->adjusted_at = now;
    }
  return position < 1 - shed->shed_share;
}
