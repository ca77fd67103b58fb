/**
 * DOC: Detection of an unavailable store, and backoff.
 *
 * While the store is down, claims of new keys are refused. Probe reads, sent with
 * exponential backoff, find out when it answers again.
 */
#include "core/once/once_private.h"
#include "core/store_op_ids.h"

/* After so many operations in a row without an answer the store is taken to be down. */
#define FQ_ONCE_DOWN_AFTER_LOSSES 2
#define FQ_ONCE_BACKOFF_MIN_US (20 * FQ_MICROSECONDS_PER_MS)
#define FQ_ONCE_PROBE_KEY "once"
/* When a probe is overdue by this, the next claim is admitted in its place. */
#define FQ_ONCE_PROBE_IDLE_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_ONCE_PROBE_DELAY_MIN_US (250 * FQ_MICROSECONDS_PER_MS)
#define FQ_ONCE_PROBE_DELAY_MAX_US (2 * FQ_MICROSECONDS_PER_SECOND)

bool
fq_once_store_is_down (const fq_once_t *once)
{
  return once->consecutive_losses >= FQ_ONCE_DOWN_AFTER_LOSSES;
}

/* Between half of @max_delay and all of it, so that gates don't retry together. */
static fq_time_t
add_jitter (fq_once_t *once, fq_time_t max_delay)
{
  return max_delay / 2
         + (fq_time_t)fq_random_below (&once->random, (uint64_t)max_delay / 2);
}

fq_time_t
fq_once_backoff (fq_once_t *once, unsigned int retry_count, fq_time_t max_delay)
{
  fq_time_t delay = FQ_ONCE_BACKOFF_MIN_US;

  for (unsigned int i = 0; i < retry_count && delay < max_delay; i++)
    delay += delay / 2;
  return add_jitter (once, delay < max_delay ? delay : max_delay);
}

static fq_time_t
probe_delay (fq_once_t *once)
{
  fq_time_t delay = FQ_ONCE_PROBE_DELAY_MIN_US;

  for (unsigned int i = FQ_ONCE_DOWN_AFTER_LOSSES; i < once->consecutive_losses; i++)
    {
      if (delay < FQ_ONCE_PROBE_DELAY_MAX_US)
        delay *= 2;
    }
  return add_jitter (once, delay);
}

static void
log_store_down (fq_once_t *once)
{
  fq_effects_log (
      once->effects, FQ_LOG_WARNING, "once",
      "The store does not answer; requests with new idempotency keys are refused.");
}

void
fq_once_record_store_status (fq_once_t *once, fq_store_status_t status)
{
  bool was_down = fq_once_store_is_down (once);

  switch (status)
    {
    case FQ_STORE_DONE:
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_CONFLICT:
      if (was_down)
        fq_effects_log (once->effects, FQ_LOG_INFO, "once", "The store answers again.");
      once->consecutive_losses = 0;
      break;
    case FQ_STORE_UNAVAILABLE:
      once->consecutive_losses++;
      once->next_probe_at = once->now + probe_delay (once);
      if (!was_down && fq_once_store_is_down (once))
        log_store_down (once);
      break;
    case FQ_STORE_BUSY:
      break;
    }
}

/*
 * With the store down, a refused claim requests a probe read. After a time without any
 * probe the state may be out of date, and the first claim is admitted.
 */
bool
fq_once_admit_claim (fq_once_t *once)
{
  if (!fq_once_store_is_down (once))
    return true;
  if (once->probe_op == 0 && once->now >= once->next_probe_at + FQ_ONCE_PROBE_IDLE_US)
    {
      once->next_probe_at = once->now + probe_delay (once);
      return true;
    }
  once->probe_requested = true;
  return false;
}

void
fq_once_send_probe (fq_once_t *once)
{
  fq_store_op_t *op;

  if (!fq_once_store_is_down (once) || !once->probe_requested || once->probe_op != 0
      || once->now < once->next_probe_at)
    return;
  if (fq_store_op_new (&op, FQ_STORE_GET, FQ_ONCE_PROBE_KEY) < 0)
    return;
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++once->op_count);
  once->probe_op = op->id;
  once->probe_requested = false;
  fq_effects_add (once->effects, FQ_EFFECT_STORE)->store = op;
}

/*
 * FQ_STORE_BUSY mostly means that this process is still in a backoff delay and has sent
 * nothing, so it does not say whether the store answers: the probe is repeated soon.
 */
void
fq_once_handle_probe_answer (fq_once_t *once, fq_store_status_t status)
{
  once->probe_op = 0;
  fq_once_record_store_status (once, status);
  if (status != FQ_STORE_BUSY)
    return;
  once->probe_requested = true;
  once->next_probe_at = once->now + add_jitter (once, FQ_ONCE_PROBE_DELAY_MIN_US);
}
