#include "http/server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "filbertquay/errors.h"

#define FQ_STATUS_TIMEOUT 408
#define FQ_AHEAD_BYTES 65536 /* that a client may send while its request is under way */
#define FQ_MS_PER_SECOND 1000.0
#define FQ_CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct
{
  fq_http_server_t *server;
  fq_stream_t *stream;
  fq_list_t link; /* among the server's connections */
  fq_http_reader_t reader;
  fq_buffer_t ahead; /* bytes after the request that is under way */
  ev_timer limit;    /* of the head, the body or idleness */
  fq_id_t id;        /* of the request under way; 0: none */
  uint32_t from;     /* host-order IPv4 address of the client */
  bool keep_alive;   /* the request under way allows another one */
  bool head_only;    /* it is a HEAD request */
  bool continued;    /* the client was told to send its body */
  bool reading;      /* read_on() is on the stack */
} connection_t;

struct fq_http_server
{
  fq_io_t *io;
  fq_listener_t *listener;
  fq_http_server_options_t options;
  const fq_http_server_handlers_t *handlers;
  void *context;
  fq_list_t connections;
  size_t connection_count;
  fq_map_t under_way; /* connections by the id of their request */
  fq_id_t next_id;
  bool retired;
};

static void
free_connection (connection_t *connection)
{
  fq_http_server_t *server = connection->server;

  fq_map_remove (&server->under_way, connection->id);
  fq_list_remove (&connection->link);
  server->connection_count--;
  ev_timer_stop (server->io->loop, &connection->limit);
  fq_http_reader_clear (&connection->reader);
  fq_buffer_clear (&connection->ahead);
  free (connection);
}

static void
set_limit (connection_t *connection, uint32_t ms)
{
  struct ev_loop *loop = connection->server->io->loop;

  ev_timer_stop (loop, &connection->limit);
  ev_timer_set (&connection->limit, ms / FQ_MS_PER_SECOND, 0.);
  ev_timer_start (loop, &connection->limit);
}

static void
finish_connection (connection_t *connection)
{
  fq_stream_finish (connection->stream);
  free_connection (connection);
}

static void
refuse_connection (connection_t *connection, uint16_t status, const char *reason)
{
  fq_http_server_t *server = connection->server;
  fq_http_message_t *answer = fq_http_message_new ();

  answer->status = status;
  fq_http_write_answer (fq_stream_output (connection->stream), answer, true, false);
  fq_http_message_unref (answer);
  if (server->handlers->malformed != NULL)
    server->handlers->malformed (server->context, status, reason);
  finish_connection (connection);
}

static void
on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  connection_t *connection = timer->data;

  (void)loop;
  (void)events;
  if (fq_http_reader_is_idle (&connection->reader))
    finish_connection (connection);
  else
    refuse_connection (connection, FQ_STATUS_TIMEOUT, "the request came too slowly");
}

static void
hand_over (connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  fq_http_message_t *message;

  connection->keep_alive = connection->reader.keep_alive;
  message = fq_http_reader_take (&connection->reader);
  connection->head_only = strcmp (message->method, "HEAD") == 0;
  connection->id = ++server->next_id;
  if (fq_map_set (&server->under_way, connection->id, connection) < 0)
    abort ();
  ev_timer_stop (server->io->loop, &connection->limit);
  server->handlers->request (server->context, connection->id, message, connection->from);
  fq_http_message_unref (message);
}

static void
wait_for_more (connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  const fq_http_reader_t *reader = &connection->reader;

  if (fq_http_reader_is_idle (reader) || reader->head_is_whole)
    set_limit (connection, server->options.idle_timeout_ms);
  else if (!ev_is_active (&connection->limit) || fq_buffer_size (&reader->head) == 0)
    set_limit (connection, server->options.head_timeout_ms);
  if (reader->head_is_whole && reader->expects_continue && !connection->continued)
    {
      connection->continued = true;
      fq_buffer_add_text (fq_stream_output (connection->stream), FQ_CONTINUE);
    }
}

/* The answer to a request may come while it is handed over; then the next is read in
 * this loop and not from within the answer. */
static void
read_on (connection_t *connection)
{
  bool was_idle = fq_http_reader_is_idle (&connection->reader);

  connection->reading = true;
  while (connection->id == 0 && fq_buffer_size (&connection->ahead) > 0)
    {
      size_t used;
      fq_http_progress_t progress = fq_http_reader_feed (
          &connection->reader, fq_buffer_bytes (&connection->ahead),
          fq_buffer_size (&connection->ahead), &used);

      fq_buffer_consume (&connection->ahead, used);
      if (progress == FQ_HTTP_REJECTED)
        {
          refuse_connection (connection, connection->reader.status,
                             connection->reader.reason);
          return;
        }
      if (progress == FQ_HTTP_INCOMPLETE)
        {
          if (was_idle && !fq_http_reader_is_idle (&connection->reader))
            ev_timer_stop (connection->server->io->loop, &connection->limit);
          wait_for_more (connection);
          break;
        }
      connection->continued = false;
      hand_over (connection);
      if (connection->id == 0 && connection->stream == NULL)
        {
          free_connection (connection);
          return;
        }
    }
  connection->reading = false;
  fq_stream_pause (connection->stream,
                   fq_buffer_size (&connection->ahead) > FQ_AHEAD_BYTES);
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  connection_t *connection = context;

  fq_buffer_add (&connection->ahead, data, size);
  if (connection->id == 0)
    read_on (connection);
  else if (fq_buffer_size (&connection->ahead) > FQ_AHEAD_BYTES)
    fq_stream_pause (connection->stream, true);
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  connection_t *connection = context;
  fq_http_server_t *server = connection->server;
  fq_id_t id = connection->id;

  (void)end;
  free_connection (connection);
  if (id != 0 && server->handlers->gone != NULL)
    server->handlers->gone (server->context, id);
}

static const fq_stream_handlers_t stream_handlers = {
  .received = on_received,
  .ended = on_ended,
};

static void
on_accept (void *context, int fd, const struct sockaddr_in *from)
{
  fq_http_server_t *server = context;
  connection_t *connection;

  if (server->connection_count >= server->options.connections_max)
    {
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
  connection->from = ntohl (from->sin_addr.s_addr);
  fq_http_reader_init (&connection->reader, FQ_HTTP_REQUESTS, &server->options.limits);
  ev_timer_init (&connection->limit, on_limit, 0., 0.);
  connection->limit.data = connection;
  fq_list_append (&server->connections, &connection->link);
  server->connection_count++;
  set_limit (connection, server->options.idle_timeout_ms);
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
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a server");
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

/* From within hand_over() the connection is freed by read_on(). */
static void
end_after_answer (connection_t *connection)
{
  fq_stream_finish (connection->stream);
  if (connection->reading)
    connection->stream = NULL;
  else
    free_connection (connection);
}

void
fq_http_server_reply (fq_http_server_t *server,
                      fq_id_t id,
                      const fq_http_message_t *answer)
{
  connection_t *connection = fq_map_remove (&server->under_way, id);
  bool close;

  if (connection == NULL)
    return;
  close = !connection->keep_alive || server->retired;
  fq_http_write_answer (fq_stream_output (connection->stream), answer, close,
                        connection->head_only);
  connection->id = 0;
  if (close)
    {
      end_after_answer (connection);
      return;
    }
  set_limit (connection, server->options.idle_timeout_ms);
  if (!connection->reading)
    read_on (connection);
}

void
fq_http_server_abort_request (fq_http_server_t *server, fq_id_t id)
{
  connection_t *connection = fq_map_remove (&server->under_way, id);

  if (connection == NULL)
    return;
  connection->id = 0;
  fq_stream_close (connection->stream);
  if (connection->reading)
    connection->stream = NULL;
  else
    free_connection (connection);
}

void
fq_http_server_disable_keep_alive (fq_http_server_t *server)
{
  server->retired = true;
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
  fq_map_clear (&server->under_way);
  free (server);
}
