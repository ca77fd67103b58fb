/**
 * DOC: Whether the store answers: claims are refused while it does not, and one read now
 * and then finds out when it does again.
 */
#include "core/once/once_private.h"
#include "core/store_ids.h"

#define FQ_ONCE_LOSSES_DOWN 2 /* lost answers in a row after which the store is down */
#define FQ_ONCE_FIRST_PAUSE_US (20 * FQ_MICROSECONDS_PER_MS)
#define FQ_ONCE_PROBE_KEY "once"
#define FQ_ONCE_UNTRIED_US (2 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_ONCE_FIRST_PROBE_US (250 * FQ_MICROSECONDS_PER_MS)
#define FQ_ONCE_LAST_PROBE_US (2 * FQ_MICROSECONDS_PER_SECOND)

bool
fq_once_is_down (const fq_once_t *once)
{
  return once->losses >= FQ_ONCE_LOSSES_DOWN;
}

/* A pause of @most, shortened at random so that many gates don't return as one. */
static fq_time_t
spread (fq_once_t *once, fq_time_t most)
{
  return most / 2 + (fq_time_t)fq_random_below (&once->random, (uint64_t)most / 2);
}

fq_time_t
fq_once_backoff (fq_once_t *once, unsigned int tries, fq_time_t most)
{
  fq_time_t pause = FQ_ONCE_FIRST_PAUSE_US;

  for (unsigned int i = 0; i < tries && pause < most; i++)
    pause += pause / 2;
  return spread (once, pause < most ? pause : most);
}

static fq_time_t
probe_pause (fq_once_t *once)
{
  fq_time_t pause = FQ_ONCE_FIRST_PROBE_US;

  for (unsigned int i = FQ_ONCE_LOSSES_DOWN; i < once->losses; i++)
    {
      if (pause < FQ_ONCE_LAST_PROBE_US)
        pause *= 2;
    }
  return spread (once, pause);
}

static void
note_down (fq_once_t *once)
{
  fq_effects_log (once->effects, FQ_LOG_WARNING, "once",
                  "The store does not answer: claims are refused.");
}

void
fq_once_note (fq_once_t *once, fq_store_status_t status)
{
  bool was_down = fq_once_is_down (once);

  switch (status)
    {
    case FQ_STORE_DONE:
    case FQ_STORE_NOT_FOUND:
    case FQ_STORE_CONFLICT:
      if (was_down)
        fq_effects_log (once->effects, FQ_LOG_INFO, "once", "The store answers again.");
      once->losses = 0;
      break;
    case FQ_STORE_UNAVAILABLE:
      once->losses++;
      once->probe_at = once->now + probe_pause (once);
      if (!was_down && fq_once_is_down (once))
        note_down (once);
      break;
    case FQ_STORE_BUSY:
      break;
    }
}

/*
 * With the store down, refused claims make the gate try it by a read. Where none was
 * refused for long, nobody tried, and the first claim is let through.
 */
bool
fq_once_may_ask (fq_once_t *once)
{
  if (!fq_once_is_down (once))
    return true;
  if (once->probe == 0 && once->now >= once->probe_at + FQ_ONCE_UNTRIED_US)
    {
      once->probe_at = once->now + probe_pause (once);
      return true;
    }
  once->probe_wanted = true;
  return false;
}

void
fq_once_probe (fq_once_t *once)
{
  fq_store_op_t *op;

  if (!fq_once_is_down (once) || !once->probe_wanted || once->probe != 0
      || once->now < once->probe_at)
    return;
  if (fq_store_op_new (&op, FQ_STORE_GET, FQ_ONCE_PROBE_KEY) < 0)
    return;
  op->id = fq_store_op_id (FQ_STORE_OWNER_ONCE, ++once->ops);
  once->probe = op->id;
  once->probe_wanted = false;
  fq_effects_add (once->effects, FQ_EFFECT_STORE)->store = op;
}

/* Busy mostly means that this process still waits out a pause: nothing was sent. */
void
fq_once_probed (fq_once_t *once, fq_store_status_t status)
{
  once->probe = 0;
  fq_once_note (once, status);
  if (status != FQ_STORE_BUSY)
    return;
  once->probe_wanted = true;
  once->probe_at = once->now + spread (once, FQ_ONCE_FIRST_PROBE_US);
}
