#define _GNU_SOURCE /* accept4 */
#include "io/stream_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "io/clock.h"

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
/* Of accepted connections: what a slow peer does not read waits here, where what was sent
 * is freed, and not in the kernel, whose buffers may grow to megabytes. */
#define FQ_SEND_BUFFER_BYTES 131072
#define FQ_LISTEN_BACKLOG 1024
#define FQ_ACCEPTS_PER_ITERATION 64
#define FQ_TCP_FLAGS_OFFSET 13 /* in the header, RFC 9293 */
#define FQ_ACCEPT_RETRY_SECONDS 0.1
/* Counted for each connection: its state here and in the kernel. */
#define FQ_CONNECTION_BYTES 4096

struct fq_listener
{
  fq_io_t *io;
  int fd;
  ev_io readable;
  ev_timer retry; /* until the next accept after there was no descriptor */
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
  fq_output_clear (&stream->output);
  free (stream);
}

/* Size of a buffer of the socket; 0 where the kernel does not tell, so that only what is
 * held in the process counts. */
static size_t
socket_buffer_bytes (const fq_stream_t *stream, int option)
{
  int size = 0;
  socklen_t length = sizeof size;

  if (getsockopt (stream->fd, SOL_SOCKET, option, &size, &length) < 0 || size < 0)
    return 0;
  return (size_t)size;
}

/* Counts what the kernel may hold: output that the peer does not take, and input that is
 * not read. */
static void
count_kernel_bytes (fq_stream_t *stream)
{
  size_t bytes = 0;

  if (stream->blocked)
    bytes += socket_buffer_bytes (stream, SO_SNDBUF);
  if (stream->paused && stream->accepted)
    bytes += socket_buffer_bytes (stream, SO_RCVBUF);
  fq_memory_recount (stream->kernel_bytes, bytes);
  stream->kernel_bytes = bytes;
  fq_shedding_update (stream);
}

static void
set_blocked (fq_stream_t *stream, bool blocked)
{
  blocked = blocked && stream->accepted;
  if (stream->blocked == blocked)
    return;
  stream->blocked = blocked;
  stream->io->blocked += blocked ? 1 : -1;
  count_kernel_bytes (stream);
}

void
fq_stream_close (fq_stream_t *stream)
{
  if (stream->closed)
    return;
  stream->paused = false;
  set_blocked (stream, false);
  count_kernel_bytes (stream);
  stream->closed = true;
  ev_io_stop (stream->io->loop, &stream->readable);
  ev_io_stop (stream->io->loop, &stream->writable);
  ev_timer_stop (stream->io->loop, &stream->timer);
  close (stream->fd);
  fq_output_clear (&stream->output);
  fq_memory_recount (FQ_CONNECTION_BYTES, 0);
  fq_shedding_reserve (stream, 0);
  fq_list_remove (&stream->waiting_link);
  fq_list_remove (&stream->sheddable_link);
  if (stream->group != NULL)
    stream->group->count--;
  fq_list_remove (&stream->link);
  fq_list_append (&stream->io->closed, &stream->link);
}

void
fq_stream_end (fq_stream_t *stream, fq_stream_end_t end)
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
  while (fq_output_size (&stream->output) > 0)
    {
      ssize_t sent = fq_output_send (&stream->output, stream->fd);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
          ev_io_start (stream->io->loop, &stream->writable);
          fq_output_free_sent (&stream->output);
          set_blocked (stream, true);
          fq_shedding_update (stream);
          return;
        }
      if (sent < 0)
        {
          fq_stream_end (stream, FQ_STREAM_END_RESET);
          return;
        }
      fq_shedding_count_moved (stream, (size_t)sent);
      if (stream->shutting_down)
        start_timeout (stream, FQ_SHUTDOWN_TIMEOUT_SECONDS);
    }
  fq_shedding_update (stream);
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
  fq_io_t *io = prepare->data;

  (void)loop;
  (void)events;
  fq_io_flush (io);
  fq_shedding_limit_memory (io);
  fq_waiting_resume (io);
  fq_io_flush (io); /* the last answers to those that were shed */
  free_closed_streams (io);
  io->now = 0;
}

int
fq_io_open (fq_io_t *io, struct ev_loop *loop)
{
  *io = (fq_io_t){ .loop = loop };
  fq_list_init (&io->unsent);
  fq_list_init (&io->closed);
  fq_waiting_open (io);
  fq_list_init (&io->sheddable);
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
  fq_waiting_close (io);
  free (io->read_buffer);
  io->read_buffer = NULL;
}

static void
read_input (fq_stream_t *stream)
{
  uint8_t *read_buffer = stream->io->read_buffer;
  ssize_t count = recv (stream->fd, read_buffer, FQ_IO_READ_BUFFER_BYTES, 0);

  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (count < 0)
    {
      fq_stream_end (stream, FQ_STREAM_END_RESET);
      return;
    }
  if (count == 0)
    {
      fq_stream_end (stream, FQ_STREAM_END_CLEAN);
      return;
    }
  fq_shedding_count_moved (stream, (size_t)count);
  if (stream->handlers->received != NULL)
    stream->handlers->received (stream->context, read_buffer, (size_t)count);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  fq_stream_t *stream = watcher->data;
  fq_io_t *io = stream->io;

  (void)loop;
  (void)events;
  if (fq_waiting_throttle (stream))
    return;
  read_input (stream);
  fq_shedding_limit_memory (io);
}

static void
finish_connecting (fq_stream_t *stream)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (stream->fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
    {
      fq_stream_end (stream, FQ_STREAM_END_CONNECT_FAILED);
      return;
    }
  stream->connecting = false;
  ev_timer_stop (stream->io->loop, &stream->timer);
  ev_io_stop (stream->io->loop, &stream->writable);
  if (!stream->paused)
    ev_io_start (stream->io->loop, &stream->readable);
  if (stream->handlers->connected != NULL)
    stream->handlers->connected (stream->context);
  if (!stream->closed && fq_output_size (&stream->output) > 0)
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
  fq_stream_end (timer->data, FQ_STREAM_END_RESET);
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
  fq_list_init (&stream->waiting_link);
  fq_list_init (&stream->sheddable_link);
  fq_output_init (&stream->output);
  fq_memory_recount (0, FQ_CONNECTION_BYTES);
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

void
fq_stream_allow_unread_output (fq_stream_t *stream)
{
  set_socket_option (stream->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
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
  set_socket_option (fd, SOL_SOCKET, SO_SNDBUF, FQ_SEND_BUFFER_BYTES);
  ev_io_start (io->loop, &(*out)->readable);
  return FQ_OK;
}

fq_output_t *
fq_stream_output (fq_stream_t *stream)
{
  if (!stream->closed && !ev_is_active (&stream->writable)
      && fq_list_is_empty (&stream->link))
    fq_list_append (&stream->io->unsent, &stream->link);
  return &stream->output;
}

bool
fq_stream_has_output (const fq_stream_t *stream)
{
  return fq_output_size (&stream->output) > 0;
}

void
fq_stream_pause (fq_stream_t *stream, bool paused)
{
  if (stream->closed || stream->paused == paused)
    return;
  stream->paused = paused;
  count_kernel_bytes (stream);
  if (stream->connecting)
    return;
  if (paused)
    ev_io_stop (stream->io->loop, &stream->readable);
  else if (fq_list_is_empty (&stream->waiting_link))
    ev_io_start (stream->io->loop, &stream->readable);
}

void
fq_stream_shutdown (fq_stream_t *stream)
{
  if (stream->closed || stream->shutting_down)
    return;
  stream->handlers = &no_handlers;
  stream->shutting_down = true;
  stream->pending = false;
  fq_stream_set_held (stream, 0);
  fq_shedding_reserve (stream, 0);
  fq_waiting_leave (stream);
  if (stream->connecting)
    {
      fq_stream_close (stream);
      return;
    }
  start_timeout (stream, FQ_SHUTDOWN_TIMEOUT_SECONDS);
  fq_stream_output (stream);
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  fq_listener_t *listener = timer->data;

  (void)events;
  ev_io_start (loop, &listener->readable);
}

/* The connection stays in the backlog. Without a pause the loop would report it again at
 * once, without end. */
static void
wait_for_descriptor (fq_listener_t *listener)
{
  fq_io_report_refused (listener->io);
  if (fq_io_shed_connection (listener->io, NULL))
    return;
  ev_io_stop (listener->io->loop, &listener->readable);
  ev_timer_set (&listener->retry, FQ_ACCEPT_RETRY_SECONDS, 0.);
  ev_timer_start (listener->io->loop, &listener->retry);
}

static bool
lacks_descriptor (int error)
{
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
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

      if (fd < 0 && lacks_descriptor (errno))
        wait_for_descriptor (listener);
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
  ev_timer_init (&listener->retry, on_retry, 0., 0.);
  listener->retry.data = listener;
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

/* Closing the listener would reset connections that wait to be accepted. So the kernel is
 * told to drop the segments that open connections. */
int
fq_listener_refuse (fq_listener_t *listener)
{
  struct sock_filter drop_syn[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, FQ_TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  const struct sock_fprog program = {
    .len = sizeof drop_syn / sizeof drop_syn[0],
    .filter = drop_syn,
  };

  if (setsockopt (listener->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
      < 0)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't refuse connections: %s",
                         strerror (errno));
  return FQ_OK;
}

void
fq_listener_close (fq_listener_t *listener)
{
  if (listener == NULL)
    return;
  ev_io_stop (listener->io->loop, &listener->readable);
  ev_timer_stop (listener->io->loop, &listener->retry);
  close (listener->fd);
  free (listener);
}
