#include "http/server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "filbertquay/errors.h"

#define FQ_STATUS_TIMEOUT 408
#define FQ_STATUS_UNAVAILABLE 503
/* Input buffered while a request is pending; reading is paused above it. */
#define FQ_PENDING_INPUT_MAX_BYTES 65536
#define FQ_RETRY_AFTER "1" /* seconds, until stalled clients have made room */
#define FQ_ROOM_TIMEOUT_MS 2000
#define FQ_FIRST_REQUEST_SECONDS 0.5 /* in which it follows its connection */
#define FQ_MS_PER_SECOND 1000.0
#define FQ_CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct
{
  fq_http_server_t *server;
  fq_stream_t *stream;
  fq_list_t link; /* in the server's list of connections */
  fq_http_reader_t reader;
  fq_buffer_t pending_input; /* received and not parsed yet */
  ev_timer timer; /* of the head, the body, its memory or the idle connection */
  ev_tstamp accepted_at;
  fq_id_t request_id;      /* of the pending request; 0: none */
  uint32_t client_address; /* IPv4, host byte order */
  bool keep_alive;         /* the pending request allows another one after it */
  bool was_used;           /* it had a request */
  bool head_only;          /* the pending request is a HEAD request */
  bool continue_sent;      /* 100 Continue was sent for the current request */
  bool waits_for_room;     /* there is no memory for the body of its request */
  bool in_process_input;   /* process_input() is running */
} connection_t;

struct fq_http_server
{
  fq_io_t *io;
  fq_listener_t *listener;
  fq_http_server_options_t options;
  const fq_http_server_handlers_t *handlers;
  void *context;
  fq_list_t connections;
  fq_stream_group_t streams; /* of the connections, also of those that are shut down */
  fq_map_t pending_requests; /* connections by request id */
  fq_id_t next_id;
  bool keep_alive_disabled;
};

static void
free_connection (connection_t *connection)
{
  fq_http_server_t *server = connection->server;

  fq_map_remove (&server->pending_requests, connection->request_id);
  fq_list_remove (&connection->link);
  ev_timer_stop (server->io->loop, &connection->timer);
  fq_http_reader_clear (&connection->reader);
  fq_buffer_clear (&connection->pending_input);
  free (connection);
}

static void
start_timeout (connection_t *connection, uint32_t ms)
{
  struct ev_loop *loop = connection->server->io->loop;

  ev_timer_stop (loop, &connection->timer);
  ev_timer_set (&connection->timer, ms / FQ_MS_PER_SECOND, 0.);
  ev_timer_start (loop, &connection->timer);
}

static void
shut_down_connection (connection_t *connection)
{
  fq_stream_shutdown (connection->stream);
  free_connection (connection);
}

static void
reject_request (connection_t *connection, uint16_t status, const char *reason)
{
  fq_http_server_t *server = connection->server;
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = status;
  if (status == FQ_STATUS_UNAVAILABLE)
    fq_http_message_add (answer, "Retry-After", FQ_RETRY_AFTER);
  fq_http_write_answer (fq_stream_output (connection->stream), answer, true, false);
  fq_http_message_unref (answer);
  if (server->handlers->malformed != NULL)
    server->handlers->malformed (server->context, status, reason);
  shut_down_connection (connection);
}

static void
reject_without_room (connection_t *connection)
{
  reject_request (connection, FQ_STATUS_UNAVAILABLE, "not enough memory for the body");
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;

  (void)loop;
  (void)events;
  if (fq_http_reader_is_idle (&connection->reader))
    shut_down_connection (connection);
  else if (connection->waits_for_room)
    reject_without_room (connection);
  else
    reject_request (connection, FQ_STATUS_TIMEOUT,
                    "request not received within the timeout");
}

static void
dispatch_request (connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  fq_http_message_t *message;

  connection->keep_alive = connection->reader.keep_alive;
  message = fq_http_reader_take (&connection->reader);
  connection->was_used = true;
  connection->head_only = strcmp (message->method, "HEAD") == 0;
  connection->request_id = ++server->next_id;
  fq_stream_set_pending (connection->stream, true);
  if (fq_map_set (&server->pending_requests, connection->request_id, connection) < 0)
    abort ();
  ev_timer_stop (server->io->loop, &connection->timer);
  server->handlers->request (server->context, connection->request_id, message,
                             connection->client_address);
  fq_http_message_unref (message);
}

static void
wait_for_input (connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  const fq_http_reader_t *reader = &connection->reader;

  if (fq_http_reader_is_idle (reader) || reader->head_is_complete)
    start_timeout (connection, server->options.idle_timeout_ms);
  else if (!ev_is_active (&connection->timer) || fq_buffer_size (&reader->head) == 0)
    start_timeout (connection, server->options.head_timeout_ms);
  if (reader->head_is_complete && reader->expects_continue && !connection->continue_sent)
    {
      connection->continue_sent = true;
      fq_buffer_add_text (&fq_stream_output (connection->stream)->bytes, FQ_CONTINUE);
    }
}

/* Returns false if it may not wait. */
static bool
wait_for_room (connection_t *connection)
{
  if (!fq_stream_wait_for_room (connection->stream))
    return false;
  if (!connection->waits_for_room)
    start_timeout (connection, FQ_ROOM_TIMEOUT_MS);
  connection->waits_for_room = true;
  return true;
}

/* Tells what is held for the client, apart from its pending request. */
static void
count_held (connection_t *connection)
{
  fq_stream_set_held (connection->stream,
                      connection->pending_input.capacity
                          + fq_http_reader_held (&connection->reader));
}

/* A further request is not handled before the last answer was sent: else a client that
 * sends requests and reads no answers would have any number of them held for it. */
static bool
may_process_input (const connection_t *connection)
{
  return connection->request_id == 0 && fq_buffer_size (&connection->pending_input) > 0
         && !fq_stream_has_output (connection->stream);
}

static void
make_room_for_request (connection_t *connection)
{
  const fq_room_t room = { .percent = connection->server->options.memory_percent };

  (void)fq_stream_make_room (connection->stream, &room);
}

/* The handler may reply before it returns. fq_http_server_reply() then leaves the next
 * request to this loop, to avoid recursion. */
static void
process_input (connection_t *connection)
{
  bool was_idle = fq_http_reader_is_idle (&connection->reader);

  connection->in_process_input = true;
  while (may_process_input (connection))
    {
      size_t used;
      fq_http_progress_t progress = fq_http_reader_feed (
          &connection->reader, fq_buffer_bytes (&connection->pending_input),
          fq_buffer_size (&connection->pending_input), &used);

      fq_buffer_consume (&connection->pending_input, used);
      if (connection->stream == NULL)
        {
          free_connection (connection);
          return;
        }
      if (progress == FQ_HTTP_REJECTED)
        {
          reject_request (connection, connection->reader.error_status,
                          connection->reader.error_reason);
          return;
        }
      if (progress == FQ_HTTP_NO_ROOM && !wait_for_room (connection))
        {
          reject_without_room (connection);
          return;
        }
      if (progress == FQ_HTTP_NO_ROOM)
        break;
      connection->waits_for_room = false;
      if (progress == FQ_HTTP_INCOMPLETE)
        {
          if (was_idle && !fq_http_reader_is_idle (&connection->reader))
            ev_timer_stop (connection->server->io->loop, &connection->timer);
          wait_for_input (connection);
          break;
        }
      connection->continue_sent = false;
      make_room_for_request (connection);
      dispatch_request (connection);
      if (connection->request_id == 0 && connection->stream == NULL)
        {
          free_connection (connection);
          return;
        }
    }
  connection->in_process_input = false;
  count_held (connection);
  fq_stream_pause (connection->stream, fq_buffer_size (&connection->pending_input)
                                           > FQ_PENDING_INPUT_MAX_BYTES);
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  connection_t *connection = context;

  fq_buffer_add (&connection->pending_input, data, size);
  if (connection->request_id == 0)
    {
      process_input (connection);
      return;
    }
  count_held (connection);
  if (fq_buffer_size (&connection->pending_input) > FQ_PENDING_INPUT_MAX_BYTES)
    fq_stream_pause (connection->stream, true);
}

static void
on_drained (void *context)
{
  connection_t *connection = context;

  if (!connection->in_process_input)
    process_input (connection);
}

/* While process_input() runs, it frees the connection itself when it finds @stream
 * NULL: a body that makes room for itself may end other requests, and what follows from
 * that may find this connection broken. */
static void
on_ended (void *context, fq_stream_end_t end)
{
  connection_t *connection = context;
  fq_http_server_t *server = connection->server;
  fq_id_t id = connection->request_id;

  (void)end;
  connection->request_id = 0;
  fq_map_remove (&server->pending_requests, id);
  connection->stream = NULL;
  if (!connection->in_process_input)
    free_connection (connection);
  if (id != 0 && server->handlers->client_disconnected != NULL)
    server->handlers->client_disconnected (server->context, id);
}

/* What was not received whole never runs, which the client is told. */
static void
on_shed (void *context)
{
  connection_t *connection = context;

  if (connection->request_id == 0 && !fq_http_reader_is_idle (&connection->reader))
    {
      reject_request (connection, FQ_STATUS_UNAVAILABLE,
                      "what the client holds up is needed for others");
      return;
    }
  fq_stream_close (connection->stream);
  on_ended (connection, FQ_STREAM_END_RESET);
}

static void
on_room (void *context)
{
  process_input (context);
}

static const fq_stream_handlers_t stream_handlers = {
  .received = on_received,
  .ended = on_ended,
  .drained = on_drained,
  .shed = on_shed,
  .room = on_room,
};

static bool
make_room (void *context, const fq_room_t *room)
{
  const connection_t *connection = context;

  if (connection->stream == NULL)
    return false;
  return fq_stream_make_room (connection->stream, room);
}

static void
on_accept (void *context, int fd, const struct sockaddr_in *from)
{
  fq_http_server_t *server = context;
  connection_t *connection;

  if (server->streams.count >= server->options.connections_max
      && !fq_io_shed_connection (server->io, &server->streams))
    {
      fq_io_report_refused (server->io);
      close (fd);
      return;
    }
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    {
      close (fd);
      return;
    }
  if (fq_stream_accept (&connection->stream, server->io, fd, &stream_handlers, connection)
      < 0)
    {
      free (connection);
      return;
    }
  connection->server = server;
  connection->accepted_at = ev_now (server->io->loop);
  connection->client_address = ntohl (from->sin_addr.s_addr);
  fq_stream_allow_shedding (connection->stream, &server->streams);
  fq_http_reader_init (&connection->reader, FQ_HTTP_REQUESTS, &server->options.limits);
  connection->reader.make_room = make_room;
  connection->reader.context = connection;
  ev_timer_init (&connection->timer, on_timeout, 0., 0.);
  connection->timer.data = connection;
  fq_list_append (&server->connections, &connection->link);
  start_timeout (connection, server->options.idle_timeout_ms);
}

int
fq_http_server_open (fq_http_server_t **out,
                     fq_io_t *io,
                     const struct sockaddr_in *address,
                     const fq_http_server_options_t *options,
                     const fq_http_server_handlers_t *handlers,
                     void *context)
{
  fq_http_server_t *server = calloc (1, sizeof *server);
  int error;

  if (server == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for an HTTP server");
  server->io = io;
  server->options = *options;
  server->handlers = handlers;
  server->context = context;
  fq_list_init (&server->connections);
  error = fq_listener_open (&server->listener, io, address, on_accept, server);
  if (error < 0)
    {
      free (server);
      return error;
    }
  *out = server;
  return FQ_OK;
}

void
fq_http_server_set_options (fq_http_server_t *server,
                            const fq_http_server_options_t *options)
{
  server->options = *options;
  FQ_LIST_FOREACH (link, &server->connections)
  {
    FQ_LIST_ENTRY (link, connection_t, link)->reader.limits = options->limits;
  }
}

/* While process_input() runs, it frees the connection itself when it finds @stream
 * NULL. */
static void
shut_down_after_answer (connection_t *connection)
{
  fq_stream_shutdown (connection->stream);
  if (connection->in_process_input)
    connection->stream = NULL;
  else
    free_connection (connection);
}

void
fq_http_server_reply (fq_http_server_t *server,
                      fq_id_t id,
                      const fq_http_message_t *answer)
{
  connection_t *connection = fq_map_remove (&server->pending_requests, id);
  bool close;

  if (connection == NULL)
    return;
  close = !connection->keep_alive || server->keep_alive_disabled;
  fq_http_write_answer (fq_stream_output (connection->stream), answer, close,
                        connection->head_only);
  connection->request_id = 0;
  fq_stream_set_pending (connection->stream, false);
  if (close)
    {
      shut_down_after_answer (connection);
      return;
    }
  start_timeout (connection, server->options.idle_timeout_ms);
  if (!connection->in_process_input)
    process_input (connection);
}

void
fq_http_server_abort_request (fq_http_server_t *server, fq_id_t id)
{
  connection_t *connection = fq_map_remove (&server->pending_requests, id);

  if (connection == NULL)
    return;
  connection->request_id = 0;
  fq_stream_close (connection->stream);
  if (connection->in_process_input)
    connection->stream = NULL;
  else
    free_connection (connection);
}

void
fq_http_server_disable_keep_alive (fq_http_server_t *server)
{
  server->keep_alive_disabled = true;
}

int
fq_http_server_refuse_connections (fq_http_server_t *server)
{
  return fq_listener_refuse (server->listener);
}

static bool
expects_request (const connection_t *connection)
{
  ev_tstamp age = ev_now (connection->server->io->loop) - connection->accepted_at;

  if (connection->request_id != 0)
    return false;
  return !fq_http_reader_is_idle (&connection->reader)
         || (!connection->was_used && age < FQ_FIRST_REQUEST_SECONDS);
}

bool
fq_http_server_expects_requests (const fq_http_server_t *server)
{
  FQ_LIST_FOREACH (link, &server->connections)
  {
    if (expects_request (FQ_LIST_ENTRY (link, connection_t, link)))
      return true;
  }
  return false;
}

void
fq_http_server_close (fq_http_server_t *server)
{
  if (server == NULL)
    return;
  fq_listener_close (server->listener);
  FQ_LIST_FOREACH_SAFE (link, following, &server->connections)
  {
    connection_t *connection = FQ_LIST_ENTRY (link, connection_t, link);

    fq_stream_close (connection->stream);
    free_connection (connection);
  }
  fq_io_close_group (server->io, &server->streams);
  fq_map_clear (&server->pending_requests);
  free (server);
}
