/**
 * DOC: TCP proxy that injects network faults, for tests.
 *
 * usage: fq-standin-proxy LISTEN TARGET. Each line on standard input sets the mode of all
 * connections, open and new:
 *   pass       bytes are forwarded in both directions
 *   delay MS   bytes are forwarded MS milliseconds after they arrive
 *   reset      open connections are closed, and new ones as soon as they are accepted
 *   silence    bytes are discarded in both directions; connections stay open
 *   oneway     bytes from the target to the client are discarded
 * Discarded bytes are not sent after a change of mode. The end of standard input ends the
 * proxy.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "io/stream.h"

#define COMMAND_BYTES 64

/** enum proxy_mode_t - the mode of all connections. */
typedef enum
{
  MODE_PASS,
  MODE_DELAY,
  MODE_RESET,
  MODE_SILENCE,
  MODE_ONE_WAY,
} proxy_mode_t;

typedef struct pair pair_t;

/* The client's or the target's side of a proxied connection. */
typedef struct
{
  pair_t *pair;
  fq_stream_t *stream; /* NULL: closed */
  bool is_client;
} endpoint_t;

/* A client connection and the connection to the target that belongs to it. */
struct pair
{
  fq_list_t link;
  endpoint_t client;
  endpoint_t target;
};

/* Bytes to be forwarded to @to when the timer expires. */
typedef struct
{
  ev_timer timer;
  fq_list_t link;
  endpoint_t *to;
  fq_buffer_t bytes;
} delayed_chunk_t;

static struct ev_loop *loop;
static fq_io_t io;
static struct sockaddr_in target;
static proxy_mode_t mode;
static double delay_seconds;
static fq_list_t pairs;
static fq_list_t delayed_chunks;

static void
discard_delayed_chunks (const pair_t *pair)
{
  FQ_LIST_FOREACH_SAFE (link, following, &delayed_chunks)
  {
    delayed_chunk_t *chunk = FQ_LIST_ENTRY (link, delayed_chunk_t, link);

    if (chunk->to->pair != pair)
      continue;
    ev_timer_stop (loop, &chunk->timer);
    fq_list_remove (link);
    fq_buffer_clear (&chunk->bytes);
    free (chunk);
  }
}

static void
close_pair (pair_t *pair)
{
  discard_delayed_chunks (pair);
  if (pair->client.stream != NULL)
    fq_stream_close (pair->client.stream);
  if (pair->target.stream != NULL)
    fq_stream_close (pair->target.stream);
  fq_list_remove (&pair->link);
  free (pair);
}

static void
on_delay_end (struct ev_loop *running, ev_timer *timer, int events)
{
  delayed_chunk_t *chunk = timer->data;

  (void)running;
  (void)events;
  fq_list_remove (&chunk->link);
  fq_buffer_add (&fq_stream_output (chunk->to->stream)->bytes,
                 fq_buffer_bytes (&chunk->bytes), fq_buffer_size (&chunk->bytes));
  fq_buffer_clear (&chunk->bytes);
  free (chunk);
}

static void
forward_later (endpoint_t *to, const uint8_t *data, size_t size)
{
  delayed_chunk_t *chunk = calloc (1, sizeof *chunk);

  if (chunk == NULL)
    abort ();
  chunk->to = to;
  fq_buffer_add (&chunk->bytes, data, size);
  fq_list_append (&delayed_chunks, &chunk->link);
  ev_timer_init (&chunk->timer, on_delay_end, delay_seconds, 0.);
  chunk->timer.data = chunk;
  ev_timer_start (loop, &chunk->timer);
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  endpoint_t *from = context;
  endpoint_t *to = from->is_client ? &from->pair->target : &from->pair->client;

  switch (mode)
    {
    case MODE_PASS:
      fq_buffer_add (&fq_stream_output (to->stream)->bytes, data, size);
      break;
    case MODE_DELAY:
      forward_later (to, data, size);
      break;
    case MODE_RESET:
    case MODE_SILENCE:
      break;
    case MODE_ONE_WAY:
      if (from->is_client)
        fq_buffer_add (&fq_stream_output (to->stream)->bytes, data, size);
      break;
    }
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  endpoint_t *endpoint = context;

  (void)end;
  endpoint->stream = NULL;
  close_pair (endpoint->pair);
}

static const fq_stream_handlers_t handlers
    = { .received = on_received, .ended = on_ended };

static void
on_accept (void *context, int fd, const struct sockaddr_in *from)
{
  pair_t *pair = calloc (1, sizeof *pair);

  (void)context;
  (void)from;
  if (pair == NULL || mode == MODE_RESET)
    {
      free (pair);
      close (fd);
      return;
    }
  pair->client = (endpoint_t){ .pair = pair, .is_client = true };
  pair->target = (endpoint_t){ .pair = pair };
  fq_list_init (&pair->link);
  if (fq_stream_accept (&pair->client.stream, &io, fd, &handlers, &pair->client) < 0)
    {
      free (pair);
      return;
    }
  if (fq_stream_connect (&pair->target.stream, &io, &target, NULL, &handlers,
                         &pair->target)
      < 0)
    {
      close_pair (pair);
      return;
    }
  fq_list_append (&pairs, &pair->link);
}

static void
run_command (const char *command)
{
  fq_list_t *link;

  if (strncmp (command, "pass", 4) == 0)
    mode = MODE_PASS;
  else if (strncmp (command, "silence", 7) == 0)
    mode = MODE_SILENCE;
  else if (strncmp (command, "oneway", 6) == 0)
    mode = MODE_ONE_WAY;
  else if (strncmp (command, "delay ", 6) == 0)
    {
      mode = MODE_DELAY;
      delay_seconds = strtod (command + 6, NULL) / 1000;
    }
  else if (strncmp (command, "reset", 5) == 0)
    {
      mode = MODE_RESET;
      while ((link = fq_list_first (&pairs)) != NULL)
        close_pair (FQ_LIST_ENTRY (link, pair_t, link));
    }
  else
    fprintf (stderr, "fq-standin-proxy: no such command: %s\n", command);
}

static void
on_command (struct ev_loop *running, ev_io *watcher, int events)
{
  static char line[COMMAND_BYTES];
  static size_t size;
  char byte;

  (void)events;
  if (read (watcher->fd, &byte, 1) <= 0)
    {
      ev_break (running, EVBREAK_ALL);
      return;
    }
  if (byte != '\n' && size < sizeof line - 1)
    {
      line[size++] = byte;
      return;
    }
  line[size] = '\0';
  size = 0;
  run_command (line);
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address;
  fq_listener_t *listener;
  ev_io commands;

  loop = ev_default_loop (0);
  signal (SIGPIPE, SIG_IGN);
  fq_list_init (&pairs);
  fq_list_init (&delayed_chunks);
  if (argc != 3 || fq_address_parse (&address, argv[1]) < 0
      || fq_address_parse (&target, argv[2]) < 0 || fq_io_open (&io, loop) < 0
      || fq_listener_open (&listener, &io, &address, on_accept, NULL) < 0)
    {
      fprintf (stderr, "usage: fq-standin-proxy LISTEN TARGET (%s)\n",
               fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  ev_io_init (&commands, on_command, STDIN_FILENO, EV_READ);
  ev_io_start (loop, &commands);
  ev_run (loop, 0);
  return EXIT_SUCCESS;
}
