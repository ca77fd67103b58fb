/**
 * DOC: A TCP proxy that misbehaves on command, for tests.
 *
 * usage: fq-standin-proxy LISTEN TARGET. Each line on standard input sets how all
 * connections behave from then on: "pass"; "delay MS"; "reset" (breaks those that stand
 * and refuses new ones); "silence" (nothing passes either way, nothing ends); "oneway"
 * (answers do not pass). What was held back while silent is lost.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "io/stream.h"

#define COMMAND_BYTES 64

/** enum mode_t - how connections behave. */
typedef enum
{
  MODE_PASS,
  MODE_DELAY,
  MODE_RESET,
  MODE_SILENCE,
  MODE_ONE_WAY,
} proxy_mode_t;

typedef struct pair pair_t;

/* One end of a connection through the proxy. */
typedef struct
{
  pair_t *pair;
  fq_stream_t *stream; /* NULL: it ended */
  bool is_client;
} end_t;

struct pair
{
  fq_list_t link;
  end_t client;
  end_t target;
};

/* Bytes that pass later. */
typedef struct
{
  ev_timer timer;
  fq_list_t link;
  end_t *to;
  fq_buffer_t bytes;
} delayed_t;

static struct ev_loop *loop;
static fq_io_t io;
static struct sockaddr_in target;
static proxy_mode_t mode;
static double delay_seconds;
static fq_list_t pairs;
static fq_list_t delayed;

static void
drop_delayed (const pair_t *pair)
{
  FQ_LIST_FOREACH_SAFE (link, following, &delayed)
  {
    delayed_t *late = FQ_LIST_ENTRY (link, delayed_t, link);

    if (late->to->pair != pair)
      continue;
    ev_timer_stop (loop, &late->timer);
    fq_list_remove (link);
    fq_buffer_clear (&late->bytes);
    free (late);
  }
}

static void
close_pair (pair_t *pair)
{
  drop_delayed (pair);
  if (pair->client.stream != NULL)
    fq_stream_close (pair->client.stream);
  if (pair->target.stream != NULL)
    fq_stream_close (pair->target.stream);
  fq_list_remove (&pair->link);
  free (pair);
}

static void
on_late (struct ev_loop *running, ev_timer *timer, int events)
{
  delayed_t *late = timer->data;

  (void)running;
  (void)events;
  fq_list_remove (&late->link);
  fq_buffer_add (fq_stream_output (late->to->stream), fq_buffer_bytes (&late->bytes),
                 fq_buffer_size (&late->bytes));
  fq_buffer_clear (&late->bytes);
  free (late);
}

static void
pass_later (end_t *to, const uint8_t *data, size_t size)
{
  delayed_t *late = calloc (1, sizeof *late);

  if (late == NULL)
    abort ();
  late->to = to;
  fq_buffer_add (&late->bytes, data, size);
  fq_list_append (&delayed, &late->link);
  ev_timer_init (&late->timer, on_late, delay_seconds, 0.);
  late->timer.data = late;
  ev_timer_start (loop, &late->timer);
}

static void
on_received (void *context, const uint8_t *data, size_t size)
{
  end_t *from = context;
  end_t *to = from->is_client ? &from->pair->target : &from->pair->client;

  switch (mode)
    {
    case MODE_PASS:
      fq_buffer_add (fq_stream_output (to->stream), data, size);
      break;
    case MODE_DELAY:
      pass_later (to, data, size);
      break;
    case MODE_RESET:
    case MODE_SILENCE:
      break;
    case MODE_ONE_WAY:
      if (from->is_client)
        fq_buffer_add (fq_stream_output (to->stream), data, size);
      break;
    }
}

static void
on_ended (void *context, fq_stream_end_t end)
{
  end_t *ended = context;

  (void)end;
  ended->stream = NULL;
  close_pair (ended->pair);
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
  pair->client = (end_t){ .pair = pair, .is_client = true };
  pair->target = (end_t){ .pair = pair };
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
obey (const char *command)
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
  obey (line);
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
  fq_list_init (&delayed);
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
