/**
 * DOC: Reads of the configuration: one read waits in the store for a change, and is
 * followed by the next. A read whose answer is overdue is repeated while it stays open.
 */
#include <string.h>

#include "config_document.h"
#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "node/store_watch_private.h"
#include "store_calls.h"

#define FQ_MS_PER_SECOND 1000.0

/* After the wait that a read of the configuration has asked for. An answer that is not
 * there by then may be lost, so the read is repeated; it may also only be slow, so the
 * first read stays open. */
#define FQ_ANSWER_DUE_MS 1000
#define FQ_OVERDUE_TIMEOUT_MS 28000 /* that an overdue answer is awaited */

/* The store may lose the answer to a read that waits, and a node learns of that when its
 * next read is due. The nodes take turns in the order of their addresses, one in each
 * such interval, so that one of them soon finds what all have missed. */
#define FQ_FEED_SPACING_MS 1250
#define FQ_FEED_PERIOD_SHORTEST_MS 1500 /* between two turns of a node */
#define FQ_FEED_PERIOD_LONGEST_MS 25000
#define FQ_FEED_WAIT_SHORTEST_MS 500
#define FQ_RETRY_JITTER 0.5 /* share of the backoff that is random */

/* Many nodes must not repeat their reads at the same time, nor a large fleet as often as
 * a small one. */
static double
next_config_backoff (fq_store_watch_t *watch)
{
  double longest
      = FQ_STORE_RETRY_MAX_SECONDS + (double)watch->nodes / FQ_STORE_NODES_PER_SECOND;
  double backoff = watch->config_backoff;

  watch->config_backoff = backoff * 2 < longest ? backoff * 2 : longest;
  return backoff * (1 - FQ_RETRY_JITTER * fq_random_unit (&watch->random));
}

static void
retry_config (fq_store_watch_t *watch, const char *reason, unsigned int status)
{
  if (!watch->store_lost)
    fq_event_log_printf (true, "event=store-lost reason=%s status=%u read_up_to=%llu",
                         reason, status, (unsigned long long)watch->version);
  watch->store_lost = true;
  watch->feed_wait_ms = 0;
  ev_timer_stop (watch->io->loop, &watch->config_due);
  fq_store_restart_timer (watch, &watch->config_retry, next_config_backoff (watch));
}

static void
reset_config_backoff (fq_store_watch_t *watch)
{
  if (watch->store_lost)
    fq_event_log_printf (false, "event=store-regained read_up_to=%llu",
                         (unsigned long long)watch->version);
  watch->store_lost = false;
  watch->config_backoff = FQ_STORE_RETRY_FIRST_SECONDS;
}

bool
fq_config_reads_abort (fq_store_watch_t *watch)
{
  bool any = false;

  ev_timer_stop (watch->io->loop, &watch->config_due);
  for (size_t i = 0; i < FQ_CONFIG_READS_MAX; i++)
    {
      any = any || watch->config_reads[i].call != NULL;
      fq_store_abort_call (&watch->config_reads[i].call);
    }
  return any;
}

/* @found_late: a read that came before it should have brought it */
static void
report_config_row (fq_store_watch_t *watch, const fq_platform_row_t *row, bool found_late)
{
  fq_config_t *config;

  if (strcmp (row->key, FQ_PLATFORM_CONFIG_KEY) != 0 || row->value == NULL)
    return;
  if (fq_platform_read_config (&config, row->value->data, row->value->size) < 0)
    {
      fq_event_log_printf (true, "event=config-refused row_version=%llu fault=\"%s\"",
                           (unsigned long long)row->version, fq_error_last ()->message);
      return;
    }
  watch->handlers->config (watch->context, config, found_late);
  fq_config_unref (config);
}

static uint64_t
feed_period_ms (size_t nodes)
{
  uint64_t period = FQ_FEED_SPACING_MS * nodes;

  if (period < FQ_FEED_PERIOD_SHORTEST_MS)
    return FQ_FEED_PERIOD_SHORTEST_MS;
  return period < FQ_FEED_PERIOD_LONGEST_MS ? period : FQ_FEED_PERIOD_LONGEST_MS;
}

/*
 * The wait until the next turn of this node. Changes and failures end the reads of all
 * nodes at the same time, and each node starts at another one, so turns are times of the
 * one clock that all nodes see.
 * @now_ms: the clock of the store; 0: it states none, and turns are random
 */
static uint32_t
choose_feed_wait (fq_store_watch_t *watch, uint64_t now_ms)
{
  fq_fleet_position_t position = watch->handlers->position (watch->context);
  uint64_t period = feed_period_ms (position.count);
  uint64_t turn = period * position.index / position.count;
  uint64_t earliest = now_ms + FQ_FEED_WAIT_SHORTEST_MS;

  if (now_ms == 0)
    turn = fq_random_below (&watch->random, period);
  return FQ_FEED_WAIT_SHORTEST_MS
         + (uint32_t)((turn + period - earliest % period) % period);
}

static void
handle_config_rows (fq_store_watch_t *watch, const fq_platform_rows_t *rows)
{
  bool found_late = watch->store_lost;

  watch->feed_wait_ms = choose_feed_wait (watch, rows->now_ms);
  watch->version = rows->version;
  reset_config_backoff (watch);
  for (size_t i = 0; i < rows->count; i++)
    report_config_row (watch, &rows->rows[i], found_late);
}

static void
on_config_answered (void *context, fq_http_message_t *answer)
{
  fq_config_read_t *read = context;
  fq_store_watch_t *watch = read->watch;
  fq_platform_rows_t rows;

  read->call = NULL;
  fq_config_reads_abort (watch);
  ev_timer_stop (watch->io->loop, &watch->config_retry);
  if (!fq_store_is_of_present_era (watch, answer))
    {
      watch->version = 0;
      retry_config (watch, "other-era", answer->status);
      return;
    }
  if (fq_platform_feed_expired (answer))
    {
      fq_event_log_printf (true, "event=feed-broken read_up_to=%llu",
                           (unsigned long long)watch->version);
      watch->version = 0;
      fq_config_reads_begin (watch);
      return;
    }
  if (fq_platform_parse_rows (&rows, answer) < 0)
    {
      retry_config (watch, "refused", answer->status);
      return;
    }
  handle_config_rows (watch, &rows);
  fq_platform_rows_clear (&rows);
  fq_config_reads_begin (watch);
}

static void
on_config_failed (void *context, fq_http_failure_t failure)
{
  fq_config_read_t *read = context;

  read->call = NULL;
  if (read == read->watch->newest_read)
    retry_config (read->watch,
                  failure == FQ_HTTP_FAILURE_CONNECT ? "connect" : "no-answer", 0);
}

static const fq_http_call_handlers_t config_handlers = {
  .answered = on_config_answered,
  .failed = on_config_failed,
};

/* Of two reads without an answer the older one stays open, as a slow store answers it
 * first. */
static void
on_config_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  fq_store_watch_t *watch = timer->data;

  (void)loop;
  (void)events;
  for (size_t i = 0; i < FQ_CONFIG_READS_MAX; i++)
    {
      if (&watch->config_reads[i] != watch->newest_read
          && watch->config_reads[i].call != NULL)
        fq_store_abort_call (&watch->newest_read->call);
    }
  retry_config (watch, "overdue", 0);
}

static fq_config_read_t *
unused_read (fq_store_watch_t *watch)
{
  fq_config_read_t *read = watch->config_reads;

  while (read->call != NULL)
    read++;
  return read;
}

void
fq_config_reads_begin (fq_store_watch_t *watch)
{
  bool is_feed = watch->version != 0;
  uint32_t wait_ms = is_feed ? watch->feed_wait_ms : 0;
  fq_http_call_options_t options = { .timeout_ms = wait_ms + FQ_OVERDUE_TIMEOUT_MS };
  fq_http_message_t *request;

  if (is_feed)
    request = fq_platform_feed_request (FQ_PLATFORM_TABLE_OPERATORS, watch->store,
                                        watch->version, wait_ms);
  else
    request = fq_platform_rows_request (FQ_PLATFORM_TABLE_OPERATORS, watch->store,
                                        FQ_PLATFORM_CONFIG_KEY);
  watch->newest_read = unused_read (watch);
  fq_store_restart_timer (watch, &watch->config_due,
                          (wait_ms + FQ_ANSWER_DUE_MS) / FQ_MS_PER_SECOND);
  if (fq_http_client_call (&watch->newest_read->call, watch->client, request, &options,
                           &config_handlers, watch->newest_read)
      < 0)
    {
      watch->newest_read->call = NULL;
      retry_config (watch, "connect", 0);
    }
  fq_http_message_unref (request);
}

void
fq_store_watch_expect_change (fq_store_watch_t *watch)
{
  const double due = FQ_ANSWER_DUE_MS / FQ_MS_PER_SECOND;

  if (ev_is_active (&watch->config_due)
      && ev_timer_remaining (watch->io->loop, &watch->config_due) > due)
    fq_store_restart_timer (watch, &watch->config_due, due);
}

static void
on_config_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  fq_config_reads_begin (timer->data);
}

void
fq_config_reads_init (fq_store_watch_t *watch)
{
  watch->config_backoff = FQ_STORE_RETRY_FIRST_SECONDS;
  for (size_t i = 0; i < FQ_CONFIG_READS_MAX; i++)
    watch->config_reads[i].watch = watch;
  ev_timer_init (&watch->config_due, on_config_due, 0., 0.);
  ev_timer_init (&watch->config_retry, on_config_retry, 0., 0.);
  watch->config_due.data = watch;
  watch->config_retry.data = watch;
}

void
fq_config_reads_stop_timers (fq_store_watch_t *watch)
{
  ev_timer_stop (watch->io->loop, &watch->config_due);
  ev_timer_stop (watch->io->loop, &watch->config_retry);
}
