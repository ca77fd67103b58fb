/**
 * DOC: Test double of many clients that don't behave: they stop in the middle of their
 * requests or don't read their answers, and stay connected.
 *
 * usage: fq-standin-crowd ADDRESS [NAME=VALUE...]
 *   clients=N      how many; default: 1
 *   method=NAME, target=PATH   of their requests; default: GET of /safe/crowd
 *   requests=N     each client sends so many requests at once; default: 1
 *   field=TEXT     a further line of each head, such as "Connection: close"
 *   bytes=N        size of each body; default: 0, no body
 *   chunk=N        send the body in chunks of N bytes; default: with its length
 *   extension=N    each chunk has an extension of N bytes
 *   trailer=N      the body in chunks ends with trailers of N bytes
 *   junk=N         N bytes of further requests follow without an end
 *   missing=N      stop so many bytes before the end of all this; default: 0
 *   trickle_ms=N   then send one of the missing bytes every N ms, and read a little of
 *                  the answers; default: 0, neither
 *   gap_ms=N       between the starts of two clients; default: 0
 *   again=1        a client whose connection the other side ends connects again; default:
 *                  it keeps its side of the connection open
 *
 * Answers are not read. Standard output has the line "settled" once each client has sent
 * all that it may, can't send any more, or was disconnected.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "io/stream.h"

#define CLIENTS_MAX 4096
#define HEAD_BYTES 8192
#define RECEIVE_BUFFER_BYTES 8192
#define TIMEOUT_MS 20000 /* that the requests state */
#define POLL_MS 20
#define BLOCKED_MS 1000 /* a client that could send nothing for so long has settled */
#define RECONNECT_MS 100
#define MS_PER_SECOND 1000
#define NANOSECONDS_PER_MS 1000000

typedef struct
{
  size_t clients;
  const char *method;
  const char *target;
  size_t requests;
  const char *field;
  size_t bytes;
  size_t chunk;
  size_t extension;
  size_t trailer;
  size_t junk;
  size_t missing;
  long long trickle_ms;
  long long gap_ms;
  bool again;
} crowd_options_t;

typedef struct
{
  int fd;             /* -1: not connected */
  size_t sent;        /* bytes of the shared text */
  long long start_at; /* when it connects */
  long long moved_at; /* when a byte was sent last */
  bool has_settled;
} crowd_client_t;

static crowd_options_t options
    = { .clients = 1, .method = "GET", .target = "/safe/crowd", .requests = 1 };
static crowd_client_t clients[CLIENTS_MAX];
static struct pollfd polled[CLIENTS_MAX];
static struct sockaddr_in address;
static fq_buffer_t text; /* what each client sends, when it sends all */

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NANOSECONDS_PER_MS;
}

static void
add_filler (size_t size)
{
  if (size == 0)
    return;
  fq_buffer_reserve (&text, size);
  memset (text.data + text.end, 'x', size);
  text.end += size;
}

static void
add_chunks (void)
{
  for (size_t left = options.bytes; left > 0;)
    {
      size_t size = left < options.chunk ? left : options.chunk;

      fq_buffer_printf (&text, "%zx", size);
      if (options.extension > 0)
        fq_buffer_add_text (&text, ";");
      add_filler (options.extension);
      fq_buffer_add_text (&text, "\r\n");
      add_filler (size);
      fq_buffer_add_text (&text, "\r\n");
      left -= size;
    }
  fq_buffer_add_text (&text, "0\r\n");
  if (options.trailer > 0)
    fq_buffer_add_text (&text, "Trailer-Field: ");
  add_filler (options.trailer);
  fq_buffer_add_text (&text, options.trailer > 0 ? "\r\n\r\n" : "\r\n");
}

static void
add_request (size_t number)
{
  fq_buffer_printf (&text,
                    "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd-%d-%zu\r\n"
                    "X-Timeout-Ms: %d\r\n",
                    options.method, options.target, (int)getpid (), number, TIMEOUT_MS);
  if (options.field != NULL)
    fq_buffer_printf (&text, "%s\r\n", options.field);
  if (options.chunk > 0)
    fq_buffer_add_text (&text, "Transfer-Encoding: chunked\r\n");
  else if (options.bytes > 0)
    fq_buffer_printf (&text, "Content-Length: %zu\r\n", options.bytes);
  fq_buffer_add_text (&text, "\r\n");
  if (options.chunk > 0)
    add_chunks ();
  else
    add_filler (options.bytes);
}

static void
write_text (void)
{
  for (size_t i = 0; i < options.requests; i++)
    add_request (i);
  if (options.junk > 0)
    fq_buffer_add_text (&text, "GET /safe/junk HTTP/1.1\r\nHost: h\r\nX-Junk: ");
  add_filler (options.junk);
}

static void
connect_client (crowd_client_t *client)
{
  int size = RECEIVE_BUFFER_BYTES;

  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (client->fd < 0
      || setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size) < 0)
    {
      perror ("fq-standin-crowd");
      exit (EXIT_FAILURE);
    }
  client->sent = 0;
  client->moved_at = now_ms ();
  if (connect (client->fd, (const struct sockaddr *)&address, sizeof address) < 0
      || fcntl (client->fd, F_SETFL, O_NONBLOCK) < 0)
    {
      close (client->fd);
      client->fd = -1;
      client->start_at = now_ms () + RECONNECT_MS;
    }
}

static void
disconnect_client (crowd_client_t *client)
{
  close (client->fd);
  client->fd = -1;
  client->has_settled = true;
  client->start_at = options.again ? now_ms () + RECONNECT_MS : -1;
}

/* Sends up to byte @end of the text. */
static void
send_text (crowd_client_t *client, size_t end)
{
  while (client->sent < end)
    {
      ssize_t count = send (client->fd, fq_buffer_bytes (&text) + client->sent,
                            end - client->sent, MSG_NOSIGNAL);

      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
      if (count < 0)
        {
          disconnect_client (client);
          return;
        }
      client->sent += (size_t)count;
      client->moved_at = now_ms ();
    }
}

static void
trickle (crowd_client_t *client)
{
  char data[RECEIVE_BUFFER_BYTES];

  /* There may be no answer to read. */
  (void)recv (client->fd, data, sizeof data, MSG_DONTWAIT);
  client->moved_at = now_ms ();
  if (client->sent + 1 < fq_buffer_size (&text))
    send_text (client, client->sent + 1);
}

static void
serve_client (crowd_client_t *client, short events)
{
  size_t at_once = fq_buffer_size (&text) - options.missing;

  if ((events & (POLLERR | POLLHUP)) != 0 || (options.again && (events & POLLRDHUP) != 0))
    {
      disconnect_client (client);
      return;
    }
  if (client->sent < at_once)
    send_text (client, at_once);
  else if (options.trickle_ms > 0 && now_ms () - client->moved_at >= options.trickle_ms)
    trickle (client);
  if (client->sent >= at_once || now_ms () - client->moved_at > BLOCKED_MS)
    client->has_settled = true;
}

static void
wait_for_events (void)
{
  size_t at_once = fq_buffer_size (&text) - options.missing;

  for (size_t i = 0; i < options.clients; i++)
    {
      polled[i].fd = clients[i].fd;
      polled[i].events = (short)(POLLRDHUP | (clients[i].sent < at_once ? POLLOUT : 0));
    }
  if (poll (polled, options.clients, POLL_MS) < 0 && errno != EINTR)
    exit (EXIT_FAILURE);
}

static bool
have_all_settled (void)
{
  for (size_t i = 0; i < options.clients; i++)
    {
      if (!clients[i].has_settled)
        return false;
    }
  return true;
}

static void
run (void)
{
  bool said = false;

  for (size_t i = 0; i < options.clients; i++)
    clients[i] = (crowd_client_t){
      .fd = -1,
      .start_at = now_ms () + (long long)i * options.gap_ms,
    };
  for (;;)
    {
      wait_for_events ();
      for (size_t i = 0; i < options.clients; i++)
        {
          if (clients[i].fd >= 0)
            serve_client (&clients[i], polled[i].revents);
          else if (clients[i].start_at >= 0 && clients[i].start_at <= now_ms ())
            connect_client (&clients[i]);
        }
      if (!said && have_all_settled ())
        {
          puts ("settled");
          fflush (stdout);
          said = true;
        }
    }
}

/* Returns whether @argument is a known option with a value. */
static bool
read_option (const char *argument)
{
  const struct
  {
    const char *name;
    size_t *size;
    long long *duration;
    const char **value;
    bool *flag;
  } known[] = {
    { "clients", .size = &options.clients },
    { "method", .value = &options.method },
    { "target", .value = &options.target },
    { "requests", .size = &options.requests },
    { "field", .value = &options.field },
    { "bytes", .size = &options.bytes },
    { "chunk", .size = &options.chunk },
    { "extension", .size = &options.extension },
    { "trailer", .size = &options.trailer },
    { "junk", .size = &options.junk },
    { "missing", .size = &options.missing },
    { "trickle_ms", .duration = &options.trickle_ms },
    { "gap_ms", .duration = &options.gap_ms },
    { "again", .flag = &options.again },
  };
  const char *value = strchr (argument, '=');

  for (size_t i = 0; value != NULL && i < sizeof known / sizeof known[0]; i++)
    {
      if (strlen (known[i].name) != (size_t)(value - argument)
          || strncmp (known[i].name, argument, (size_t)(value - argument)) != 0)
        continue;
      if (known[i].size != NULL)
        *known[i].size = strtoull (value + 1, NULL, 10);
      else if (known[i].duration != NULL)
        *known[i].duration = strtoll (value + 1, NULL, 10);
      else if (known[i].value != NULL)
        *known[i].value = value + 1;
      else
        *known[i].flag = strcmp (value + 1, "1") == 0;
      return true;
    }
  return false;
}

int
main (int argc, char **argv)
{
  if (argc < 2 || fq_address_parse (&address, argv[1]) < 0)
    {
      fprintf (stderr, "usage: fq-standin-crowd ADDRESS [NAME=VALUE...]\n");
      return EXIT_FAILURE;
    }
  for (int i = 2; i < argc; i++)
    {
      if (read_option (argv[i]))
        continue;
      fprintf (stderr, "fq-standin-crowd: unknown option '%s'\n", argv[i]);
      return EXIT_FAILURE;
    }
  write_text ();
  if (options.clients > CLIENTS_MAX || options.missing > fq_buffer_size (&text))
    {
      fprintf (stderr, "fq-standin-crowd: too many clients, or more missing than sent\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  run ();
  return EXIT_SUCCESS;
}
