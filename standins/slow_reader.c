/**
 * DOC: Test double of a client that reads its answer slowly.
 *
 * usage: fq-standin-slow_reader ADDRESS TARGET ID BYTES_PER_S [FIELD]
 *   FIELD   a further line of the request's head, such as "Connection: close"
 *
 * It sends one GET request of host h on a connection with a small receive buffer, so that
 * the answer waits in its sender, and reads at a steady pace. Standard output has the
 * number of bytes of the body that came; the exit status is 0 if that is all of them.
 */
#define _GNU_SOURCE /* strcasestr */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "io/stream.h"

#define HEAD_BYTES 8192
#define READ_BYTES 65536
#define RECEIVE_BUFFER_BYTES 32768
#define READS_PER_SECOND 250
#define TIMEOUT_MS 20000
#define NANOSECONDS_PER_SECOND 1000000000L

typedef struct
{
  char head[HEAD_BYTES + 1];
  size_t head_bytes;
  size_t length; /* of the body, as stated */
  size_t got;    /* bytes of the body */
  bool head_complete;
} answer_t;

static int
open_connection (const struct sockaddr_in *address)
{
  int size = RECEIVE_BUFFER_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size) < 0
      || connect (fd, (const struct sockaddr *)address, sizeof *address) < 0)
    {
      perror ("fq-standin-slow_reader");
      exit (EXIT_FAILURE);
    }
  return fd;
}

static void
send_request (int fd, const char *target, const char *id, const char *field)
{
  char request[HEAD_BYTES];
  int size = snprintf (request, sizeof request,
                       "GET %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n"
                       "X-Timeout-Ms: %d\r\n%s%s\r\n",
                       target, id, TIMEOUT_MS, field, field[0] == '\0' ? "" : "\r\n");

  if (write (fd, request, (size_t)size) != size)
    exit (EXIT_FAILURE);
}

/* Takes up to the end of the head; returns how many bytes that were. */
static size_t
take_head (answer_t *answer, const char *data, size_t size)
{
  size_t used = 0;
  const char *length;

  while (used < size && !answer->head_complete && answer->head_bytes < HEAD_BYTES)
    {
      answer->head[answer->head_bytes++] = data[used++];
      answer->head_complete
          = answer->head_bytes >= 4
            && memcmp (answer->head + answer->head_bytes - 4, "\r\n\r\n", 4) == 0;
    }
  length = strcasestr (answer->head, "\r\nContent-Length:");
  if (answer->head_complete && length != NULL)
    answer->length = strtoull (length + strlen ("\r\nContent-Length:"), NULL, 10);
  return used;
}

static bool
is_complete (const answer_t *answer)
{
  return answer->head_complete && answer->got >= answer->length;
}

static double
seconds_since (const struct timespec *begun)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - begun->tv_sec)
         + (double)(now.tv_nsec - begun->tv_nsec) / NANOSECONDS_PER_SECOND;
}

/* Bytes that may be read now for a pace of @bytes_per_s since @begun. A reader that was
 * held up catches up, so that an answer takes as long on a busy machine. */
static size_t
due_bytes (const struct timespec *begun, size_t bytes_per_s, size_t got)
{
  size_t allowed
      = (size_t)((seconds_since (begun) + 1. / READS_PER_SECOND) * (double)bytes_per_s);

  if (allowed <= got)
    return 0;
  return allowed - got < READ_BYTES ? allowed - got : READ_BYTES;
}

static void
read_answer (int fd, size_t bytes_per_s, answer_t *answer)
{
  static char data[READ_BYTES];
  const struct timespec pause = { .tv_nsec = NANOSECONDS_PER_SECOND / READS_PER_SECOND };
  struct timespec begun;
  size_t got = 0;

  clock_gettime (CLOCK_MONOTONIC, &begun);
  while (!is_complete (answer))
    {
      size_t due = due_bytes (&begun, bytes_per_s, got);
      ssize_t count;

      if (due == 0)
        {
          nanosleep (&pause, NULL);
          continue;
        }
      count = read (fd, data, due);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        perror ("fq-standin-slow_reader: read");
      if (count <= 0)
        return;
      got += (size_t)count;
      answer->got += (size_t)count - take_head (answer, data, (size_t)count);
    }
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address;
  answer_t answer = { 0 };
  int fd;

  if (argc < 5 || argc > 6 || fq_address_parse (&address, argv[1]) < 0)
    {
      fprintf (stderr, "usage: fq-standin-slow_reader ADDRESS TARGET ID BYTES_PER_S "
                       "[FIELD]\n");
      return EXIT_FAILURE;
    }
  fd = open_connection (&address);
  send_request (fd, argv[2], argv[3], argc == 6 ? argv[5] : "");
  read_answer (fd, strtoull (argv[4], NULL, 10), &answer);
  close (fd);
  printf ("%zu\n", answer.got);
  return is_complete (&answer) ? EXIT_SUCCESS : EXIT_FAILURE;
}
