/**
 * DOC: Test double of clients that read their answers at a steady pace.
 *
 * usage: fq-standin-steady_readers ADDRESS TARGET CLIENTS GAP_MS BYTES_PER_SECOND
 *
 * The clients begin GAP_MS after each other. Each sends a request for /safe/short, reads
 * its answer, and sends one for TARGET on the same connection, whose answer it reads at
 * the pace. Standard output has a line "STATUS READ SIZE" for each answer to TARGET: its
 * status, the bytes of its body that came, and its Content-Length; "0 0 0" if there was
 * no answer.
 */
#define _GNU_SOURCE /* strcasestr */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "io/stream.h"

#define CLIENTS_MAX 256
#define HEAD_BYTES 8192
#define PART_BYTES 16384
#define RECEIVE_BUFFER_BYTES 32768
#define TIME_LIMIT_MS 8000
#define STEP_MS 10
#define MS_PER_SECOND 1000
#define NANOSECONDS_PER_MS 1000000

static struct sockaddr_in address;
static const char *target;
static size_t bytes_per_second;

/** answer_t - what came of an answer. */
typedef struct
{
  int status;
  size_t size; /* that its head states */
  size_t read; /* of its body */
} answer_t;

static long long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * MS_PER_SECOND + now.tv_nsec / NANOSECONDS_PER_MS;
}

static void
sleep_ms (long long ms)
{
  const struct timespec span = { .tv_sec = ms / MS_PER_SECOND,
                                 .tv_nsec = ms % MS_PER_SECOND * NANOSECONDS_PER_MS };

  nanosleep (&span, NULL);
}

static bool
send_request (int fd, const char *path, int client, char part)
{
  char text[HEAD_BYTES];
  int size = snprintf (text, sizeof text,
                       "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: steady%d%c\r\n"
                       "X-Timeout-Ms: %d\r\n\r\n",
                       path, client, part, TIME_LIMIT_MS);

  return send (fd, text, (size_t)size, MSG_NOSIGNAL) == size;
}

static bool
read_head (int fd, answer_t *answer)
{
  char head[HEAD_BYTES];
  const char *length;

  for (size_t used = 0; used + 1 < sizeof head && recv (fd, head + used, 1, 0) == 1;)
    {
      head[++used] = '\0';
      if (strstr (head, "\r\n\r\n") == NULL)
        continue;
      length = strcasestr (head, "Content-Length:");
      answer->status = atoi (head + strlen ("HTTP/1.1 "));
      answer->size = length == NULL ? 0 : strtoull (strchr (length, ':') + 1, NULL, 10);
      return true;
    }
  return false;
}

static void
read_body (int fd, answer_t *answer)
{
  char part[PART_BYTES];
  long long begun = now_ms ();

  while (answer->read < answer->size && now_ms () - begun < TIME_LIMIT_MS)
    {
      size_t due = (size_t)(now_ms () - begun) * bytes_per_second / MS_PER_SECOND;
      size_t left = answer->size - answer->read;
      ssize_t size;

      if (due <= answer->read)
        {
          sleep_ms (STEP_MS);
          continue;
        }
      size = recv (fd, part, left < sizeof part ? left : sizeof part, 0);
      if (size <= 0)
        return;
      answer->read += (size_t)size;
    }
}

static void *
run_client (void *context)
{
  int client = (int)(intptr_t)context;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int buffer = RECEIVE_BUFFER_BYTES;
  answer_t first = { 0 };
  answer_t answer = { 0 };

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && send_request (fd, "/safe/short", client, 'a') && read_head (fd, &first))
    {
      read_body (fd, &first);
      if (send_request (fd, target, client, 'b') && read_head (fd, &answer))
        read_body (fd, &answer);
    }
  close (fd);
  printf ("%d %zu %zu\n", answer.status, answer.read, answer.size);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t threads[CLIENTS_MAX];
  int clients;

  if (argc != 6 || fq_address_parse (&address, argv[1]) < 0)
    return EXIT_FAILURE;
  target = argv[2];
  clients = atoi (argv[3]);
  bytes_per_second = strtoull (argv[5], NULL, 10);
  if (clients < 1 || clients > CLIENTS_MAX)
    return EXIT_FAILURE;
  for (int i = 0; i < clients; i++)
    {
      if (pthread_create (&threads[i], NULL, run_client, (void *)(intptr_t)i) != 0)
        return EXIT_FAILURE;
      sleep_ms (atoll (argv[4]));
    }
  for (int i = 0; i < clients; i++)
    pthread_join (threads[i], NULL);
  return EXIT_SUCCESS;
}
