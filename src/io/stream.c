#define _GNU_SOURCE /* accept4 */
#include "io/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "filbertquay/errors.h"

/* Maximum duration of fq_stream_connect(); clients allow as long for a connection. */
#define FQ_CONNECT_TIMEOUT_SECONDS 1.0
#define FQ_SHUTDOWN_TIMEOUT_SECONDS 5.0 /* without any output being sent */
#define FQ_LINGER_TIMEOUT_SECONDS 1.0   /* for the peer to read the last bytes */
#define FQ_KEEPALIVE_IDLE_SECONDS 1
#define FQ_KEEPALIVE_INTERVAL_SECONDS 1
#define FQ_KEEPALIVE_PROBES 2
/* TCP_USER_TIMEOUT: how long sent data may stay unacknowledged. */
#define FQ_USER_TIMEOUT_CONNECT_MS 2500
#define FQ_USER_TIMEOUT_ACCEPT_MS 10000 /* longer, as the peer may read slowly */
#define FQ_LISTEN_BACKLOG 1024
#define FQ_ACCEPTS_PER_ITERATION 64

struct fq_stream
{
  fq_io_t *io;
  int fd;
  ev_io readable;
  ev_io writable;
  ev_timer timer; /* timeout of connect, shutdown or linger */
  const fq_stream_handlers_t *handlers;
  void *context;
  fq_buffer_t output;
  fq_list_t link; /* in the unsent or the closed list of io */
  bool accepted;  /* by a listener */
  bool blocked;   /* accepted, and the socket takes no more output at present */
  bool connecting;
  bool paused;
  bool shutting_down; /* no handlers are called; closes after its output */
  bool closed;
};

struct fq_listener
{
  fq_io_t *io;
  int fd;
  ev_io readable;
  fq_listener_accept_t accept;
  void *context;
};

static const fq_stream_handlers_t no_handlers;

int
fq_address_parse (struct sockaddr_in *out, const char *text)
{
  char ip[INET_ADDRSTRLEN];
  unsigned int port;
  char rest;

  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  if (sscanf (text, "%15[0-9.]:%u%c", ip, &port, &rest) != 2 || port > UINT16_MAX
      || inet_pton (AF_INET, ip, &out->sin_addr) != 1)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID,
                         "'%.60s' is not an address \"ip:port\"", text);
  out->sin_port = htons ((uint16_t)port);
  return FQ_OK;
}

static void
free_stream (fq_stream_t *stream)
{
  fq_list_remove (&stream->link);
  fq_buffer_clear (&stream->output);
  free (stream);
}

static void
set_blocked (fq_stream_t *stream, bool blocked)
{
  blocked = blocked && stream->accepted;
  if (stream->blocked == blocked)
    return;
  stream->blocked = blocked;
  stream->io->blocked += blocked ? 1 : -1;
}

void
fq_stream_close (fq_stream_t *stream)
{
  if (stream->closed)
    return;
  set_blocked (stream, false);
  stream->closed = true;
  ev_io_stop (stream->io->loop, &stream->readable);
  ev_io_stop (stream->io->loop, &stream->writable);
  ev_timer_stop (stream->io->loop, &stream->timer);
  close (stream->fd);
  fq_list_remove (&stream->link);
  fq_list_append (&stream->io->closed, &stream->link);
}

static void
end_stream (fq_stream_t *stream, fq_stream_end_t end)
{
  const fq_stream_handlers_t *handlers = stream->handlers;
  void *context = stream->context;

  if (stream->closed)
    return;
  if (stream->connecting)
    end = FQ_STREAM_END_CONNECT_FAILED;
  fq_stream_close (stream);
  if (handlers->ended != NULL)
    handlers->ended (context, end);
}

static void
start_timeout (fq_stream_t *stream, double seconds)
{
  ev_timer_stop (stream->io->loop, &stream->timer);
  ev_timer_set (&stream->timer, seconds, 0.);
  ev_timer_start (stream->io->loop, &stream->timer);
}

static void
begin_linger (fq_stream_t *stream)
{
  shutdown (stream->fd, SHUT_WR);
  start_timeout (stream, FQ_LINGER_TIMEOUT_SECONDS);
  fq_stream_pause (stream, false);
}

static void
on_output_sent (fq_stream_t *stream)
{
  ev_io_stop (stream->io->loop, &stream->writable);
  set_blocked (stream, false);
  if (stream->shutting_down)
    begin_linger (stream);
  else if (stream->handlers->drained != NULL)
    stream->handlers->drained (stream->context);
}

static void
send_output (fq_stream_t *stream)
{
  while (fq_buffer_size (&stream->output) > 0)
    {
      ssize_t sent = send (stream->fd, fq_buffer_bytes (&stream->output),
                           fq_buffer_size (&stream->output), MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          ev_io_start (stream->io->loop, &stream->writable);
          set_blocked (stream, true);
          return;
        }
      if (sent < 0)
        {
          end_stream (stream, FQ_STREAM_END_RESET);
          return;
        }
      fq_buffer_consume (&stream->output, (size_t)sent);
      if (stream->shutting_down)
        start_timeout (stream, FQ_SHUTDOWN_TIMEOUT_SECONDS);
    }
  on_output_sent (stream);
}

void
fq_io_flush (fq_io_t *io)
{
  fq_list_t *link;

  while ((link = fq_list_first (&io->unsent)) != NULL)
    {
      fq_stream_t *stream = FQ_LIST_ENTRY (link, fq_stream_t, link);

      fq_list_remove (link);
      if (!stream->connecting)
        send_output (stream);
    }
}

bool
fq_io_has_unsent (fq_io_t *io)
{
  fq_io_flush (io);
  return io->blocked > 0;
}

static void
free_closed_streams (fq_io_t *io)
{
  fq_list_t *link;

  while ((link = fq_list_first (&io->closed)) != NULL)
    free_stream (FQ_LIST_ENTRY (link, fq_stream_t, link));
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)loop;
  (void)events;
  fq_io_flush (prepare->data);
  free_closed_streams (prepare->data);
}

int
fq_io_open (fq_io_t *io, struct ev_loop *loop)
{
  *io = (fq_io_t){ .loop = loop };
  fq_list_init (&io->unsent);
  fq_list_init (&io->closed);
  io->read_buffer = malloc (FQ_IO_READ_BUFFER_BYTES);
  if (io->read_buffer == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for the read buffer");
  ev_prepare_init (&io->prepare, on_prepare);
  io->prepare.data = io;
  ev_prepare_start (loop, &io->prepare);
  return FQ_OK;
}

void
fq_io_close (fq_io_t *io)
{
  free_closed_streams (io);
  ev_prepare_stop (io->loop, &io->prepare);
  free (io->read_buffer);
  io->read_buffer = NULL;
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  fq_stream_t *stream = watcher->data;
  uint8_t *read_buffer = stream->io->read_buffer;
  ssize_t count = recv (stream->fd, read_buffer, FQ_IO_READ_BUFFER_BYTES, 0);

  (void)loop;
  (void)events;
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (count < 0)
    {
      end_stream (stream, FQ_STREAM_END_RESET);
      return;
    }
  if (count == 0)
    {
      end_stream (stream, FQ_STREAM_END_CLEAN);
      return;
    }
  if (stream->handlers->received != NULL)
    stream->handlers->received (stream->context, read_buffer, (size_t)count);
}

static void
finish_connecting (fq_stream_t *stream)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
    {
      end_stream (stream, FQ_STREAM_END_CONNECT_FAILED);
      return;
    }
  stream->connecting = false;
  ev_timer_stop (stream->io->loop, &stream->timer);
  ev_io_stop (stream->io->loop, &stream->writable);
  if (!stream->paused)
    ev_io_start (stream->io->loop, &stream->readable);
  if (stream->handlers->connected != NULL)
    stream->handlers->connected (stream->context);
  if (!stream->closed && fq_buffer_size (&stream->output) > 0)
    send_output (stream);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  fq_stream_t *stream = watcher->data;

  (void)loop;
  (void)events;
  if (stream->connecting)
    finish_connecting (stream);
  else
    send_output (stream);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  end_stream (timer->data, FQ_STREAM_END_RESET);
}

static void
set_socket_option (int fd, int level, int option, int value)
{
  /* Errors are ignored: the options only improve latency and detection of dead peers. */
  (void)setsockopt (fd, level, option, &value, sizeof value);
}

static void
set_socket_options (int fd, int user_timeout_ms)
{
  set_socket_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_socket_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, FQ_KEEPALIVE_IDLE_SECONDS);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, FQ_KEEPALIVE_INTERVAL_SECONDS);
  set_socket_option (fd, IPPROTO_TCP, TCP_KEEPCNT, FQ_KEEPALIVE_PROBES);
  set_socket_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

static int
new_stream (fq_stream_t **out,
            fq_io_t *io,
            int fd,
            const fq_stream_handlers_t *handlers,
            void *context)
{
  fq_stream_t *stream = calloc (1, sizeof *stream);

  if (stream == NULL)
    {
      close (fd);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                           "no memory for a connection");
    }
  stream->io = io;
  stream->fd = fd;
  stream->handlers = handlers;
  stream->context = context;
  fq_list_init (&stream->link);
  ev_io_init (&stream->readable, on_readable, fd, EV_READ);
  ev_io_init (&stream->writable, on_writable, fd, EV_WRITE);
  ev_timer_init (&stream->timer, on_timeout, FQ_CONNECT_TIMEOUT_SECONDS, 0.);
  stream->readable.data = stream;
  stream->writable.data = stream;
  stream->timer.data = stream;
  *out = stream;
  return FQ_OK;
}

static int
bind_from (int fd, const struct sockaddr_in *from)
{
  struct sockaddr_in address = *from;

  address.sin_port = 0;
  return bind (fd, (const struct sockaddr *)&address, sizeof address);
}

int
fq_stream_connect (fq_stream_t **out,
                   fq_io_t *io,
                   const struct sockaddr_in *address,
                   const struct sockaddr_in *from,
                   const fq_stream_handlers_t *handlers,
                   void *context)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't create a socket: %s",
                         strerror (errno));
  if ((from != NULL && bind_from (fd, from) < 0)
      || (connect (fd, (const struct sockaddr *)address, sizeof *address) < 0
          && errno != EINPROGRESS))
    {
      fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't connect: %s",
                    strerror (errno));
      close (fd);
      return FQ_ERROR_IO;
    }
  if (new_stream (out, io, fd, handlers, context) < 0)
    return FQ_ERROR_NOMEM;
  set_socket_options (fd, FQ_USER_TIMEOUT_CONNECT_MS);
  io->connections_opened++;
  (*out)->connecting = true;
  ev_io_start (io->loop, &(*out)->writable);
  ev_timer_start (io->loop, &(*out)->timer);
  return FQ_OK;
}

int
fq_stream_accept (fq_stream_t **out,
                  fq_io_t *io,
                  int fd,
                  const fq_stream_handlers_t *handlers,
                  void *context)
{
  if (new_stream (out, io, fd, handlers, context) < 0)
    return FQ_ERROR_NOMEM;
  (*out)->accepted = true;
  set_socket_options (fd, FQ_USER_TIMEOUT_ACCEPT_MS);
  ev_io_start (io->loop, &(*out)->readable);
  return FQ_OK;
}

fq_buffer_t *
fq_stream_output (fq_stream_t *stream)
{
  if (!stream->closed && !ev_is_active (&stream->writable)
      && fq_list_is_empty (&stream->link))
    fq_list_append (&stream->io->unsent, &stream->link);
  return &stream->output;
}

void
fq_stream_pause (fq_stream_t *stream, bool paused)
{
  stream->paused = paused;
  if (stream->closed || stream->connecting)
    return;
  if (paused)
    ev_io_stop (stream->io->loop, &stream->readable);
  else
    ev_io_start (stream->io->loop, &stream->readable);
}

void
fq_stream_shutdown (fq_stream_t *stream)
{
  if (stream->closed || stream->shutting_down)
    return;
  stream->handlers = &no_handlers;
  stream->shutting_down = true;
  if (stream->connecting)
    {
      fq_stream_close (stream);
      return;
    }
  start_timeout (stream, FQ_SHUTDOWN_TIMEOUT_SECONDS);
  fq_stream_output (stream);
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  fq_listener_t *listener = watcher->data;

  (void)loop;
  (void)events;
  for (int i = 0; i < FQ_ACCEPTS_PER_ITERATION; i++)
    {
      struct sockaddr_in from = { 0 };
      socklen_t size = sizeof from;
      int fd = accept4 (listener->fd, (struct sockaddr *)&from, &size,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0)
        return;
      listener->accept (listener->context, fd, &from);
    }
}

int
fq_listener_open (fq_listener_t **out,
                  fq_io_t *io,
                  const struct sockaddr_in *address,
                  fq_listener_accept_t accept,
                  void *context)
{
  fq_listener_t *listener = calloc (1, sizeof *listener);
  int error = FQ_ERROR_NOMEM;

  if (listener == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, error, "no memory for a listener");
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener->fd < 0)
    goto failed;
  set_socket_option (listener->fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind (listener->fd, (const struct sockaddr *)address, sizeof *address) < 0
      || listen (listener->fd, FQ_LISTEN_BACKLOG) < 0)
    goto failed;
  listener->io = io;
  listener->accept = accept;
  listener->context = context;
  ev_io_init (&listener->readable, on_connection, listener->fd, EV_READ);
  listener->readable.data = listener;
  ev_io_start (io->loop, &listener->readable);
  *out = listener;
  return FQ_OK;
failed:
  error = fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't listen on port %u: %s",
                        ntohs (address->sin_port), strerror (errno));
  if (listener->fd >= 0)
    close (listener->fd);
  free (listener);
  return error;
}

void
fq_listener_close (fq_listener_t *listener)
{
  if (listener == NULL)
    return;
  ev_io_stop (listener->io->loop, &listener->readable);
  close (listener->fd);
  free (listener);
}
