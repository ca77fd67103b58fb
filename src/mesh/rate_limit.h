/**
 * DOC: A rate limit, kept by a token bucket: each request takes a token, and tokens come
 * back at the stated rate. The bucket is small, so that in any span of time hardly more
 * requests pass than the rate allows in it.
 */
#ifndef FQ_MESH_RATE_LIMIT_H
#define FQ_MESH_RATE_LIMIT_H

#include "filbertquay/types.h"

/** FQ_RETURN_MAX_US - the longest time for which a refused request is sent away. */
#define FQ_RETURN_MAX_US (3 * FQ_MICROSECONDS_PER_SECOND)

/** struct fq_rate_limit_t - zero-initialised, it limits nothing. */
typedef struct
{
  bool active;
  double per_second; /* tokens that come back, while active */
  double tokens;     /* as of @refilled_at; below 0: some were taken ahead of time */
  fq_time_t refilled_at;
  fq_time_t next_return; /* when the next refused request may come back */
} fq_rate_limit_t;

/** fq_rate_limit_set() - limit to @per_second requests a second from now on. */
void fq_rate_limit_set (fq_rate_limit_t *limit, fq_time_t now, double per_second);

/** fq_rate_limit_lift() - limit nothing any more. */
void fq_rate_limit_lift (fq_rate_limit_t *limit);

/** fq_rate_limit_refill() - add the tokens that came back until @now. The functions below
 * see the state as of the last refill. */
void fq_rate_limit_refill (fq_rate_limit_t *limit, fq_time_t now);

/** fq_rate_limit_is_open() - whether a request may pass. */
bool fq_rate_limit_is_open (const fq_rate_limit_t *limit);

/** fq_rate_limit_take() - a request passes. */
void fq_rate_limit_take (fq_rate_limit_t *limit);

/** fq_rate_limit_put_back() - a request that took a token was not sent after all. */
void fq_rate_limit_put_back (fq_rate_limit_t *limit);

/** fq_rate_limit_wait() - time until a request may pass that has @ahead others before it,
 * microseconds; 0: it may pass now. */
fq_time_t fq_rate_limit_wait (const fq_rate_limit_t *limit, uint32_t ahead);

/**
 * fq_rate_limit_assign_return() - when a refused request should come back.
 * @ahead: requests that wait now
 *
 * Refused requests are sent back one after the other at the rate, so that they don't all
 * come, and are refused, together.
 *
 * Return: the time from @now, microseconds; at most FQ_RETURN_MAX_US.
 */
fq_time_t
fq_rate_limit_assign_return (fq_rate_limit_t *limit, fq_time_t now, uint32_t ahead);

#endif
