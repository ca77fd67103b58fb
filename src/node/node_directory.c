/**
 * DOC: The directory of nodes in the store: this node writes its row, and reads those of
 * all others.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "node/event_log.h"
#include "node/store_watch_private.h"
#include "store_calls.h"
#include "util/text.h"

#define FQ_STATUS_OK 200
#define FQ_CALL_TIMEOUT_MS 2500

/* After a restore of the store, each node reads the directory within this time, longer in
 * a large fleet, so that they don't all do so at once. */
#define FQ_RECHECK_SPREAD_SECONDS 0.5

static void continue_directory (fq_store_watch_t *watch);

/* The next page is the first one. */
static void
begin_reading (fq_store_watch_t *watch)
{
  watch->step = FQ_DIRECTORY_READING;
  fq_text_clear (&watch->next_key);
  watch->nodes_read = 0;
  watch->seen_self = false;
}

void
fq_node_directory_recheck (fq_store_watch_t *watch)
{
  double spread
      = FQ_RECHECK_SPREAD_SECONDS + (double)watch->nodes / FQ_STORE_NODES_PER_SECOND;

  fq_store_abort_call (&watch->directory_call);
  begin_reading (watch);
  fq_store_restart_timer (watch, &watch->directory_retry,
                          fq_random_unit (&watch->random) * spread);
}

static void
retry_directory (fq_store_watch_t *watch)
{
  fq_store_restart_timer (watch, &watch->directory_retry, FQ_STORE_RETRY_MAX_SECONDS);
}

/* The next page begins with the last row of this one: there is no key that certainly
 * sorts right after another and is not too long itself. Return: whether that leads
 * further. */
static bool
set_next_key (fq_store_watch_t *watch, const fq_platform_rows_t *rows)
{
  fq_text_t *last = fq_text_new (rows->last_key);
  bool advances = !fq_text_equal (last, watch->next_key);

  if (advances)
    fq_text_set (&watch->next_key, last);
  else
    {
      fq_event_log_printf (true, "event=directory-cut after=\"%s\"",
                           fq_text_label (last));
      watch->seen_self = true; /* it may be in the rows that were not read */
    }
  fq_text_unref (last);
  return advances;
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
      const char *key = rows->rows[i].key;
      struct in_addr in;

      if (strcmp (key, watch->self) == 0)
        watch->seen_self = true;
      if (inet_pton (AF_INET, key, &in) != 1)
        continue;
      addresses[count++] = ntohl (in.s_addr);
      watch->nodes_read += strcmp (key, fq_text_chars (watch->next_key)) != 0;
    }
  fq_event_log_printf (false, "event=directory-read nodes=%zu store_version=%llu", count,
                       (unsigned long long)rows->version);
  watch->handlers->nodes (watch->context, addresses, count);
  free (addresses);
}

/* If the row of this node is missing, another node took this one for unreachable and
 * removed the row; it is written again. */
static void
finish_directory_read (fq_store_watch_t *watch)
{
  bool registered = watch->seen_self;

  watch->nodes = watch->nodes_read;
  begin_reading (watch);
  watch->step = registered ? FQ_DIRECTORY_IDLE : FQ_DIRECTORY_REGISTERING;
}

static void
on_directory_answered (void *context, fq_http_message_t *answer)
{
  fq_store_watch_t *watch = context;
  fq_platform_rows_t rows;

  watch->directory_call = NULL;
  if (!fq_store_is_of_present_era (watch, answer))
    {
      fq_node_directory_recheck (watch);
      return;
    }
  if (watch->step == FQ_DIRECTORY_REGISTERING)
    {
      if (answer->status != FQ_STATUS_OK)
        {
          retry_directory (watch);
          return;
        }
      watch->registered = true;
      watch->step = FQ_DIRECTORY_READING;
      continue_directory (watch);
      return;
    }
  if (fq_platform_parse_rows (&rows, answer) < 0)
    {
      retry_directory (watch);
      return;
    }
  report_nodes (watch, &rows);
  if (!rows.more_available || !set_next_key (watch, &rows))
    finish_directory_read (watch);
  fq_platform_rows_clear (&rows);
  if (watch->step != FQ_DIRECTORY_IDLE)
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
  fq_http_call_options_t options = { .timeout_ms = FQ_CALL_TIMEOUT_MS };
  fq_http_message_t *request;

  if (watch->step == FQ_DIRECTORY_REGISTERING)
    request = fq_platform_put_row_request (FQ_PLATFORM_TABLE_NODES, watch->store,
                                           watch->self, "{}");
  else
    request = fq_platform_rows_request (FQ_PLATFORM_TABLE_NODES, watch->store,
                                        fq_text_chars (watch->next_key));
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
  if (watch->step != FQ_DIRECTORY_IDLE)
    return;
  watch->step = watch->registered ? FQ_DIRECTORY_READING : FQ_DIRECTORY_REGISTERING;
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
  fq_http_call_options_t options = { .timeout_ms = FQ_CALL_TIMEOUT_MS };
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

void
fq_node_directory_init (fq_store_watch_t *watch)
{
  ev_timer_init (&watch->directory_retry, on_directory_retry, 0., 0.);
  watch->directory_retry.data = watch;
}

void
fq_node_directory_close (fq_store_watch_t *watch)
{
  ev_timer_stop (watch->io->loop, &watch->directory_retry);
  fq_text_clear (&watch->next_key);
}
