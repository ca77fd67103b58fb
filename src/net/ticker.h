/**
 * DOC: A timer of the event loop, armed by fq_ticker_set() for one tick at a time.
 *
 * It uses a timerfd, which wakes the loop once and on time. libwebsockets rounds the time
 * to its next timer down to whole milliseconds and then busy-loops until the timer is
 * due.
 */
#ifndef FQ_NET_TICKER_H
#define FQ_NET_TICKER_H

#include <libwebsockets.h>

#include "filbertquay/types.h"

typedef struct fq_ticker fq_ticker_t;

/**
 * fq_ticker_new() - create a timer that is not armed.
 * @on_tick: called with @user each time the timer expires
 *
 * Return: 0, FQ_ERROR_NOMEM, or FQ_ERROR_IO.
 */
int fq_ticker_new (fq_ticker_t **out,
                   struct lws_context *context,
                   void (*on_tick) (void *user),
                   void *user);

/** fq_ticker_set() - arm the timer to expire in @delay microseconds; 0 disarms it. */
void fq_ticker_set (fq_ticker_t *ticker, fq_time_t delay);

/** fq_ticker_free() - free the timer; only after its context was destroyed. NULL-safe. */
void fq_ticker_free (fq_ticker_t *ticker);

#endif
