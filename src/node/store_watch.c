#include "node/store_watch.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "config_document.h"
#include "filbertquay/errors.h"
#include "http/client.h"
#include "node/event_log.h"
#include "store_calls.h"
#include "util/random.h"
#include "util/text.h"

#define FQ_STATUS_OK 200
#define FQ_MS_PER_SECOND 1000.0
#define FQ_READ_TIMEOUT_MS 2500 /* of calls about the directory */

/* After the wait that a read of the configuration has asked for. An answer that is not
 * there by then may be lost, so the read is repeated; it may also only be slow, so the
 * first read stays open. */
#define FQ_ANSWER_DUE_MS 1000
#define FQ_OVERDUE_TIMEOUT_MS 28000 /* that an overdue answer is awaited */
#define FQ_CONFIG_READS_MAX 2       /* the one that is due, and one overdue */

/* The store may lose the answer to a read that waits, and a node learns of that when its
 * next read is due. All nodes together begin a read in each such interval, so that one of
 * them soon finds what all have missed. */
#define FQ_FEED_SPACING_MS 1500
#define FQ_FEED_WAIT_SHORTEST_MS 4000
#define FQ_FEED_WAIT_LONGEST_MS 25000
#define FQ_RETRY_FIRST_SECONDS 0.1
#define FQ_RETRY_MAX_SECONDS 1.0
#define FQ_RETRY_JITTER 0.5 /* share of the backoff that is random */
/* After a restore of the store, each node reads the directory within this time, longer by
 * 1 s for so many nodes, so that they don't all do so at once. */
#define FQ_RECHECK_SPREAD_SECONDS 0.5
#define FQ_RECHECK_NODES_PER_SECOND 500.0

/** enum directory_step_t - which directory operation is in progress. */
typedef enum
{
  DIRECTORY_IDLE,
  DIRECTORY_REGISTERING, /* writing the row of this node */
  DIRECTORY_READING,     /* reading all rows, page by page */
} directory_step_t;

/* A read of the configuration. */
typedef struct
{
  fq_store_watch_t *watch;
  fq_http_call_t *call; /* NULL: it is not in progress */
} config_read_t;

struct fq_store_watch
{
  fq_io_t *io;
  fq_http_client_t *client;
  char store[FQ_ADDRESS_BYTES];
  char self[FQ_ADDRESS_BYTES];
  const fq_store_watch_handlers_t *handlers;
  void *context;
  config_read_t config_reads[FQ_CONFIG_READS_MAX];
  config_read_t *newest_read;     /* the other one, if in progress, is overdue */
  fq_http_call_t *directory_call; /* in progress, or NULL */
  ev_timer config_due;            /* the answer to the newest read is overdue */
  ev_timer config_retry;
  ev_timer directory_retry;
  double config_backoff; /* backoff before the next attempt, seconds */
  /* Store version up to which the feed was read; 0: read the row of the configuration
   * itself, not the feed. */
  uint64_t version;
  /* That the next read lets the store wait for a change. 0 after a failed call, so that
   * an answer shows at once whether the store is still in the same era. */
  uint32_t feed_wait_ms;
  uint64_t era; /* of the store, to which the version belongs */
  bool era_known;
  size_t nodes; /* rows in the directory when it was read last */
  fq_random_t random;
  bool registered; /* the row of this node was written */
  bool store_lost; /* the last configuration call failed */
  directory_step_t step;
  char next_key[FQ_NAME_BYTES]; /* key from which the next page is read; empty: all */
  bool seen_self;               /* the row of this node is in the pages read so far */
};

static void request_config (fq_store_watch_t *watch);
static void continue_directory (fq_store_watch_t *watch);

void
fq_node_address_format (char *out, fq_node_address_t address)
{
  struct in_addr in = { .s_addr = htonl (address) };

  if (inet_ntop (AF_INET, &in, out, FQ_ADDRESS_BYTES) == NULL)
    out[0] = '\0';
}

/* Starts @timer anew; it expires once. */
static void
restart_timer (fq_store_watch_t *watch, ev_timer *timer, double seconds)
{
  ev_timer_stop (watch->io->loop, timer);
  ev_timer_set (timer, seconds, 0.);
  ev_timer_start (watch->io->loop, timer);
}

/* Many nodes must not repeat their reads at the same time, nor a large fleet as often as
 * a small one. */
static double
next_config_backoff (fq_store_watch_t *watch)
{
  double longest
      = FQ_RETRY_MAX_SECONDS + (double)watch->nodes / FQ_RECHECK_NODES_PER_SECOND;
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
  restart_timer (watch, &watch->config_retry, next_config_backoff (watch));
}

static void
reset_config_backoff (fq_store_watch_t *watch)
{
  if (watch->store_lost)
    fq_event_log_printf (false, "event=store-regained read_up_to=%llu",
                         (unsigned long long)watch->version);
  watch->store_lost = false;
  watch->config_backoff = FQ_RETRY_FIRST_SECONDS;
}

static void
abort_call (fq_http_call_t **call)
{
  if (*call != NULL)
    fq_http_call_abort (*call);
  *call = NULL;
}

/* Returns whether a read was in progress. */
static bool
abort_config_reads (fq_store_watch_t *watch)
{
  bool any = false;

  ev_timer_stop (watch->io->loop, &watch->config_due);
  for (size_t i = 0; i < FQ_CONFIG_READS_MAX; i++)
    {
      any = any || watch->config_reads[i].call != NULL;
      abort_call (&watch->config_reads[i].call);
    }
  return any;
}

/* Reads the directory again at a random time: the row of this node, or of others, may be
 * lost. finish_directory_read() writes a lost row again. */
static void
recheck_directory (fq_store_watch_t *watch)
{
  double spread
      = FQ_RECHECK_SPREAD_SECONDS + (double)watch->nodes / FQ_RECHECK_NODES_PER_SECOND;

  abort_call (&watch->directory_call);
  watch->step = DIRECTORY_READING;
  watch->next_key[0] = '\0';
  watch->seen_self = false;
  restart_timer (watch, &watch->directory_retry,
                 fq_random_unit (&watch->random) * spread);
}

/* The store has come back from an older copy. What was read up to the version says
 * nothing about the present rows, so all of them are read again. */
static void
enter_era (fq_store_watch_t *watch, uint64_t era)
{
  fq_event_log_printf (true,
                       "event=store-restored era=%llu previous=%llu read_up_to=%llu",
                       (unsigned long long)era, (unsigned long long)watch->era,
                       (unsigned long long)watch->version);
  watch->era = era;
  watch->version = 0;
  recheck_directory (watch);
  if (abort_config_reads (watch))
    request_config (watch);
}

/* Returns whether @answer is of the era that this node knows; if it is of a later one,
 * all reads begin anew. An answer of an earlier era was late. */
static bool
is_of_present_era (fq_store_watch_t *watch, const fq_http_message_t *answer)
{
  uint64_t era;

  if (!fq_platform_store_era (answer, &era))
    return true;
  if (!watch->era_known)
    {
      watch->era_known = true;
      watch->era = era;
    }
  if (era == watch->era)
    return true;
  if (era > watch->era)
    enter_era (watch, era);
  else
    fq_event_log_printf (true, "event=store-answer-stale era=%llu known=%llu",
                         (unsigned long long)era, (unsigned long long)watch->era);
  return false;
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

/* After a change, or a failure, all nodes begin a read at the same time; a random wait
 * spreads their later ones. */
static uint32_t
choose_feed_wait (fq_store_watch_t *watch, bool waited_in_full)
{
  uint64_t longest = FQ_FEED_SPACING_MS * watch->handlers->count_nodes (watch->context);

  if (longest < FQ_FEED_WAIT_SHORTEST_MS)
    longest = FQ_FEED_WAIT_SHORTEST_MS;
  if (longest > FQ_FEED_WAIT_LONGEST_MS)
    longest = FQ_FEED_WAIT_LONGEST_MS;
  if (waited_in_full)
    return (uint32_t)longest;
  return FQ_ANSWER_DUE_MS
         + (uint32_t)fq_random_below (&watch->random, longest - FQ_ANSWER_DUE_MS);
}

static void
handle_config_rows (fq_store_watch_t *watch, const fq_platform_rows_t *rows)
{
  bool found_late = watch->store_lost;

  watch->feed_wait_ms
      = choose_feed_wait (watch, watch->feed_wait_ms != 0 && rows->count == 0);
  watch->version = rows->version;
  reset_config_backoff (watch);
  for (size_t i = 0; i < rows->count; i++)
    report_config_row (watch, &rows->rows[i], found_late);
}

static void
on_config_answered (void *context, fq_http_message_t *answer)
{
  config_read_t *read = context;
  fq_store_watch_t *watch = read->watch;
  fq_platform_rows_t rows;

  read->call = NULL;
  abort_config_reads (watch);
  ev_timer_stop (watch->io->loop, &watch->config_retry);
  if (!is_of_present_era (watch, answer))
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
      request_config (watch);
      return;
    }
  if (fq_platform_parse_rows (&rows, answer) < 0)
    {
      retry_config (watch, "refused", answer->status);
      return;
    }
  handle_config_rows (watch, &rows);
  fq_platform_rows_clear (&rows);
  request_config (watch);
}

static void
on_config_failed (void *context, fq_http_failure_t failure)
{
  config_read_t *read = context;

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
        abort_call (&watch->newest_read->call);
    }
  retry_config (watch, "overdue", 0);
}

static config_read_t *
unused_config_read (fq_store_watch_t *watch)
{
  config_read_t *read = watch->config_reads;

  while (read->call != NULL)
    read++;
  return read;
}

static void
request_config (fq_store_watch_t *watch)
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
  watch->newest_read = unused_config_read (watch);
  restart_timer (watch, &watch->config_due,
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
    restart_timer (watch, &watch->config_due, due);
}

static void
on_config_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  request_config (timer->data);
}

static void
retry_directory (fq_store_watch_t *watch)
{
  restart_timer (watch, &watch->directory_retry, FQ_RETRY_MAX_SECONDS);
}

/* Continues after @key: "!" sorts before every character of an address, so that the new
 * start lies between @key and any key that can follow it. */
static void
set_next_key (fq_store_watch_t *watch, const char *key)
{
  fq_text_copy (watch->next_key, sizeof watch->next_key - 1, key);
  strcat (watch->next_key, "!");
}

static void
report_nodes (fq_store_watch_t *watch, const fq_platform_rows_t *rows)
{
  fq_node_address_t *addresses = calloc (rows->count + 1, sizeof *addresses);
  size_t count = 0;

  if (addresses == NULL)
    abort ();
  for (size_t i = 0; i < rows->count; i++)
    {
      struct in_addr in;

      if (strcmp (rows->rows[i].key, watch->self) == 0)
        watch->seen_self = true;
      if (inet_pton (AF_INET, rows->rows[i].key, &in) == 1)
        addresses[count++] = ntohl (in.s_addr);
    }
  fq_event_log_printf (false, "event=directory-read nodes=%zu store_version=%llu", count,
                       (unsigned long long)rows->version);
  watch->nodes = rows->count;
  watch->handlers->nodes (watch->context, addresses, count);
  free (addresses);
}

/* If the row of this node is missing, another node took this one for unreachable and
 * removed the row; it is written again. */
static void
finish_directory_read (fq_store_watch_t *watch)
{
  watch->step = watch->seen_self ? DIRECTORY_IDLE : DIRECTORY_REGISTERING;
  watch->next_key[0] = '\0';
  watch->seen_self = false;
}

static void
on_directory_answered (void *context, fq_http_message_t *answer)
{
  fq_store_watch_t *watch = context;
  fq_platform_rows_t rows;

  watch->directory_call = NULL;
  if (!is_of_present_era (watch, answer))
    {
      recheck_directory (watch);
      return;
    }
  if (watch->step == DIRECTORY_REGISTERING)
    {
      if (answer->status != FQ_STATUS_OK)
        {
          retry_directory (watch);
          return;
        }
      watch->registered = true;
      watch->step = DIRECTORY_READING;
      continue_directory (watch);
      return;
    }
  if (fq_platform_parse_rows (&rows, answer) < 0)
    {
      retry_directory (watch);
      return;
    }
  report_nodes (watch, &rows);
  if (rows.more_available && rows.count > 0)
    set_next_key (watch, rows.rows[rows.count - 1].key);
  else
    finish_directory_read (watch);
  fq_platform_rows_clear (&rows);
  if (watch->step != DIRECTORY_IDLE)
    continue_directory (watch);
}

static void
on_directory_failed (void *context, fq_http_failure_t failure)
{
  fq_store_watch_t *watch = context;

  (void)failure;
  watch->directory_call = NULL;
  retry_directory (watch);
}

static const fq_http_call_handlers_t directory_handlers = {
  .answered = on_directory_answered,
  .failed = on_directory_failed,
};

static void
continue_directory (fq_store_watch_t *watch)
{
  fq_http_call_options_t options = { .timeout_ms = FQ_READ_TIMEOUT_MS };
  fq_http_message_t *request;

  if (watch->step == DIRECTORY_REGISTERING)
    request = fq_platform_put_row_request (FQ_PLATFORM_TABLE_NODES, watch->store,
                                           watch->self, "{}");
  else
    request = fq_platform_rows_request (FQ_PLATFORM_TABLE_NODES, watch->store,
                                        watch->next_key);
  if (fq_http_client_call (&watch->directory_call, watch->client, request, &options,
                           &directory_handlers, watch)
      < 0)
    {
      watch->directory_call = NULL;
      retry_directory (watch);
    }
  fq_http_message_unref (request);
}

static void
on_directory_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  continue_directory (timer->data);
}

void
fq_store_watch_discover_nodes (fq_store_watch_t *watch)
{
  if (watch->step != DIRECTORY_IDLE)
    return;
  watch->step = watch->registered ? DIRECTORY_READING : DIRECTORY_REGISTERING;
  continue_directory (watch);
}

static void
on_remove_answered (void *context, fq_http_message_t *answer)
{
  (void)context;
  if (answer->status != FQ_STATUS_OK)
    fq_event_log_printf (true, "event=directory-not-changed status=%u", answer->status);
}

static void
on_remove_failed (void *context, fq_http_failure_t failure)
{
  (void)context;
  fq_event_log_printf (true, "event=directory-not-changed failure=%d", failure);
}

static const fq_http_call_handlers_t remove_handlers = {
  .answered = on_remove_answered,
  .failed = on_remove_failed,
};

void
fq_store_watch_remove_node (fq_store_watch_t *watch, fq_node_address_t node)
{
  fq_http_call_options_t options = { .timeout_ms = FQ_READ_TIMEOUT_MS };
  char key[FQ_ADDRESS_BYTES];
  fq_http_message_t *request;
  fq_http_call_t *call;

  fq_node_address_format (key, node);
  request = fq_platform_remove_row_request (FQ_PLATFORM_TABLE_NODES, watch->store, key);
  if (fq_http_client_call (&call, watch->client, request, &options, &remove_handlers,
                           watch)
      < 0)
    on_remove_failed (watch, FQ_HTTP_FAILURE_CONNECT);
  fq_http_message_unref (request);
}

int
fq_store_watch_open (fq_store_watch_t **out,
                     fq_io_t *io,
                     const char *store_address,
                     fq_node_address_t self,
                     const fq_store_watch_handlers_t *handlers,
                     void *context)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_store_watch_t *watch = calloc (1, sizeof *watch);
  struct sockaddr_in address;
  int error;

  if (watch == NULL)
    return fq_error_set (FQ_ERROR_CLASS_STORE, FQ_ERROR_NOMEM,
                         "no memory for the store client");
  error = fq_address_parse (&address, store_address);
  if (error == FQ_OK)
    error = fq_http_client_new (&watch->client, io, &address, &options);
  if (error < 0)
    {
      free (watch);
      return error;
    }
  watch->io = io;
  watch->handlers = handlers;
  watch->context = context;
  watch->config_backoff = FQ_RETRY_FIRST_SECONDS;
  watch->random.state = ((uint64_t)self << 32) ^ (uint64_t)(ev_time () * 1e6);
  fq_text_copy (watch->store, sizeof watch->store, store_address);
  fq_node_address_format (watch->self, self);
  for (size_t i = 0; i < FQ_CONFIG_READS_MAX; i++)
    watch->config_reads[i].watch = watch;
  ev_timer_init (&watch->config_due, on_config_due, 0., 0.);
  ev_timer_init (&watch->config_retry, on_config_retry, 0., 0.);
  ev_timer_init (&watch->directory_retry, on_directory_retry, 0., 0.);
  watch->config_due.data = watch;
  watch->config_retry.data = watch;
  watch->directory_retry.data = watch;
  request_config (watch);
  *out = watch;
  return FQ_OK;
}

void
fq_store_watch_close (fq_store_watch_t *watch)
{
  if (watch == NULL)
    return;
  ev_timer_stop (watch->io->loop, &watch->config_due);
  ev_timer_stop (watch->io->loop, &watch->config_retry);
  ev_timer_stop (watch->io->loop, &watch->directory_retry);
  fq_http_client_free (watch->client);
  free (watch);
}
