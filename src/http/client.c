#include "http/client.h"

#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"
#include "io/clock.h"

#define FQ_MS_PER_SECOND 1000.0
/* Answers to earlier calls that may come on a connection before the one to this call. */
#define FQ_OTHER_ANSWERS_MAX 8
/* Idle connections are closed this long before the Keep-Alive timeout of the server. */
#define FQ_KEEP_ALIVE_MARGIN_MS 1500
#define FQ_STATUS_SUCCESS_MAX 299
/* A server may answer before it has read a body that is longer, and read on later. */
#define FQ_LONG_BODY_BYTES 16384

/* A connection and its current call, if any. */
struct fq_http_call
{
  fq_http_client_t *client;
  fq_stream_t *stream;
  fq_list_t link; /* in the client's list of calls or of idle connections */
  fq_http_reader_t reader;
  ev_timer timer;                          /* call timeout, or idle timeout */
  const fq_http_call_handlers_t *handlers; /* NULL: the connection is idle */
  void *context;
  fq_time_t idle_since;
  size_t receiving_bytes;     /* of the answer's body; counted by the client */
  unsigned int other_answers; /* answers that did not match the call */
  bool answer_started;
  bool output_sent; /* the kernel has taken it; the server may not have read it yet */
  bool has_long_body;
};

struct fq_http_client
{
  fq_io_t *io;
  struct sockaddr_in address;
  fq_http_client_options_t options;
  fq_list_t calls;
  size_t receiving_bytes;     /* of the bodies of all calls */
  fq_list_t idle_connections; /* without a call; most recently used first */
};

static void
count_receiving (fq_http_call_t *call, size_t bytes)
{
  call->client->receiving_bytes += bytes - call->receiving_bytes;
  call->receiving_bytes = bytes;
}

static void
free_call (fq_http_call_t *call)
{
  count_receiving (call, 0);
  fq_list_remove (&call->link);
  ev_timer_stop (call->client->io->loop, &call->timer);
  fq_http_reader_clear (&call->reader);
  free (call);
}

void
fq_http_call_abort (fq_http_call_t *call)
{
  fq_stream_close (call->stream);
  free_call (call);
}

static void
start_timeout (fq_http_call_t *call, uint32_t ms)
{
  struct ev_loop *loop = call->client->io->loop;

  ev_timer_stop (loop, &call->timer);
  if (ms == 0)
    return;
  ev_timer_set (&call->timer, ms / FQ_MS_PER_SECOND, 0.);
  ev_timer_start (loop, &call->timer);
}

static void
fail_call (fq_http_call_t *call, fq_http_failure_t failure)
{
  const fq_http_call_handlers_t *handlers = call->handlers;
  void *context = call->context;

  fq_http_call_abort (call);
  if (handlers != NULL)
    handlers->failed (context, failure);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  fail_call (timer->data, FQ_HTTP_FAILURE_TIMEOUT);
}

static uint32_t
idle_timeout_ms (const fq_http_call_t *call)
{
  uint32_t configured_ms = call->client->options.idle_ms;
  uint32_t server_ms = call->reader.keep_alive_seconds * (uint32_t)FQ_MS_PER_SECOND;

  if (server_ms == 0)
    return configured_ms;
  if (server_ms <= FQ_KEEP_ALIVE_MARGIN_MS)
    return 1;
  server_ms -= FQ_KEEP_ALIVE_MARGIN_MS;
  return server_ms < configured_ms ? server_ms : configured_ms;
}

static void
move_to_idle (fq_http_call_t *call)
{
  fq_stream_set_held (call->stream, 0);
  call->handlers = NULL;
  call->idle_since = fq_clock_now ();
  fq_list_remove (&call->link);
  fq_list_prepend (&call->client->idle_connections, &call->link);
  start_timeout (call, idle_timeout_ms (call));
}

/* @connection_unusable: the connection ended, or input follows the answer, which belongs
 * to no request; the connection is not reused then. */
static void
finish_call (fq_http_call_t *call, bool connection_unusable)
{
  const fq_http_call_handlers_t *handlers = call->handlers;
  void *context = call->context;
  /* The next request must not wait behind a body that the server reads later. */
  bool keep_alive = call->reader.keep_alive && call->output_sent && !call->has_long_body
                    && !connection_unusable;
  fq_http_message_t *answer = fq_http_reader_take (&call->reader);

  count_receiving (call, 0);
  if (keep_alive)
    move_to_idle (call);
  else
    fq_http_call_abort (call);
  handlers->answered (context, answer);
  fq_http_message_unref (answer);
}

static fq_http_match_t
match_answer (const fq_http_call_t *call)
{
  if (call->handlers->match_answer == NULL)
    return FQ_HTTP_MATCH_CALL;
  return call->handlers->match_answer (call->context, call->reader.message);
}

static fq_http_call_t *
find_largest (const fq_http_client_t *client)
{
  fq_http_call_t *largest = NULL;

  FQ_LIST_FOREACH (link, &client->calls)
  {
    fq_http_call_t *call = FQ_LIST_ENTRY (link, fq_http_call_t, link);

    if (largest == NULL || call->receiving_bytes > largest->receiving_bytes)
      largest = call;
  }
  return largest;
}

/* Counts what was received for @call, and fails the call with the largest body when all
 * together receive too much; @call may be gone afterwards. */
static void
limit_receiving (fq_http_call_t *call)
{
  fq_http_client_t *client = call->client;

  count_receiving (call, fq_http_reader_body_bytes (&call->reader));
  fq_stream_set_held (call->stream, fq_http_reader_held (&call->reader));
  if (client->options.receiving_bytes_max != 0
      && client->receiving_bytes > client->options.receiving_bytes_max)
    fail_call (find_largest (client), FQ_HTTP_FAILURE_MALFORMED_ANSWER);
}

/* Drops a complete answer to an earlier call. Returns whether @call may go on. */
static bool
drop_other_answer (fq_http_call_t *call)
{
  fq_http_message_unref (fq_http_reader_take (&call->reader));
  if (++call->other_answers <= FQ_OTHER_ANSWERS_MAX)
    return true;
  fail_call (call, FQ_HTTP_FAILURE_MALFORMED_ANSWER);
  return false;
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  fq_http_call_t *call = context;
  size_t offset = 0;

  if (call->handlers == NULL)
    {
      fq_http_call_abort (call);
      return;
    }
  call->answer_started = true;
  while (offset < size)
    {
      size_t used;
      fq_http_match_t match;
      fq_http_progress_t progress
          = fq_http_reader_feed (&call->reader, data + offset, size - offset, &used);

      offset += used;
      if (progress == FQ_HTTP_REJECTED)
        {
          fail_call (call, FQ_HTTP_FAILURE_MALFORMED_ANSWER);
          return;
        }
      if (progress == FQ_HTTP_INCOMPLETE)
        {
          limit_receiving (call);
          return;
        }
      match = match_answer (call);
      if (match != FQ_HTTP_MATCH_OTHER)
        {
          finish_call (call, offset < size || match == FQ_HTTP_MATCH_LAST);
          return;
        }
      if (!drop_other_answer (call))
        return;
    }
}

/* Whether the end of the connection completes an answer without a length. While the
 * request is still being sent, it may also come from a server that breaks off, so a
 * success counts only if the server has let the request be sent. */
static bool
is_completed_by_end (fq_http_call_t *call)
{
  if (call->handlers == NULL || fq_http_reader_end (&call->reader) != FQ_HTTP_COMPLETE
      || match_answer (call) == FQ_HTTP_MATCH_OTHER)
    return false;
  return call->output_sent || call->reader.message->status > FQ_STATUS_SUCCESS_MAX;
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  fq_http_call_t *call = context;

  switch (end)
    {
    case FQ_STREAM_END_CONNECT_FAILED:
      fail_call (call, FQ_HTTP_FAILURE_CONNECT);
      return;
    case FQ_STREAM_END_RESET:
      fail_call (call, call->answer_started ? FQ_HTTP_FAILURE_MALFORMED_ANSWER
                                            : FQ_HTTP_FAILURE_CONNECTION_LOST);
      return;
    case FQ_STREAM_END_CLEAN:
      break;
    }
  if (is_completed_by_end (call))
    finish_call (call, true);
  else
    fail_call (call, call->answer_started ? FQ_HTTP_FAILURE_MALFORMED_ANSWER
                                          : FQ_HTTP_FAILURE_CONNECTION_LOST);
}

static void
on_drained (void *context)
{
  fq_http_call_t *call = context;

  call->output_sent = true;
}

static const fq_stream_handlers_t stream_handlers = {
  .received = on_received,
  .ended = on_ended,
  .drained = on_drained,
};

int
fq_http_client_new (fq_http_client_t **out,
                    fq_io_t *io,
                    const struct sockaddr_in *address,
                    const fq_http_client_options_t *options)
{
  fq_http_client_t *client = calloc (1, sizeof *client);

  if (client == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for an HTTP client");
  client->io = io;
  client->address = *address;
  client->options = *options;
  fq_list_init (&client->calls);
  fq_list_init (&client->idle_connections);
  *out = client;
  return FQ_OK;
}

static fq_http_call_t *
find_idle_connection (fq_http_client_t *client, const fq_http_call_options_t *options)
{
  fq_list_t *link = fq_list_first (&client->idle_connections);
  fq_http_call_t *call;
  fq_time_t idle;

  if (link == NULL || options->new_connection)
    return NULL;
  call = FQ_LIST_ENTRY (link, fq_http_call_t, link);
  idle = fq_clock_now () - call->idle_since;
  if (options->idle_ms_max > 0
      && idle > (fq_time_t)options->idle_ms_max * FQ_MICROSECONDS_PER_MS)
    return NULL;
  return call;
}

static int
open_connection (fq_http_call_t **out, fq_http_client_t *client)
{
  fq_http_call_t *call = calloc (1, sizeof *call);
  int error;

  if (call == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for an HTTP call");
  error = fq_stream_connect (&call->stream, client->io, &client->address, NULL,
                             &stream_handlers, call);
  if (error < 0)
    {
      free (call);
      return error;
    }
  if (client->options.peer_is_local)
    fq_stream_allow_unread_output (call->stream);
  call->client = client;
  fq_list_init (&call->link);
  fq_http_reader_init (&call->reader, FQ_HTTP_ANSWERS, &client->options.limits);
  ev_timer_init (&call->timer, on_timeout, 0., 0.);
  call->timer.data = call;
  *out = call;
  return FQ_OK;
}

int
fq_http_client_call (fq_http_call_t **out,
                     fq_http_client_t *client,
                     const fq_http_message_t *request,
                     const fq_http_call_options_t *options,
                     const fq_http_call_handlers_t *handlers,
                     void *context)
{
  fq_http_call_t *call = find_idle_connection (client, options);
  int error;

  if (call == NULL)
    {
      error = open_connection (&call, client);
      if (error < 0)
        return error;
    }
  call->handlers = handlers;
  call->context = context;
  call->answer_started = false;
  call->other_answers = 0;
  call->output_sent = false;
  call->has_long_body = fq_http_message_body_size (request) > FQ_LONG_BODY_BYTES;
  call->reader.answers_head_request = strcmp (request->method, "HEAD") == 0;
  fq_list_remove (&call->link);
  fq_list_append (&client->calls, &call->link);
  start_timeout (call, options->timeout_ms);
  fq_http_write_request (fq_stream_output (call->stream), request);
  *out = call;
  return FQ_OK;
}

void
fq_http_client_close_idle (fq_http_client_t *client)
{
  fq_list_t *link;

  while ((link = fq_list_first (&client->idle_connections)) != NULL)
    fq_http_call_abort (FQ_LIST_ENTRY (link, fq_http_call_t, link));
}

void
fq_http_client_free (fq_http_client_t *client)
{
  fq_list_t *link;

  if (client == NULL)
    return;
  fq_http_client_close_idle (client);
  while ((link = fq_list_first (&client->calls)) != NULL)
    fq_http_call_abort (FQ_LIST_ENTRY (link, fq_http_call_t, link));
  free (client);
}
