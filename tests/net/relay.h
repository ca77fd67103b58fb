/**
 * DOC: A TCP relay for tests that can discard the traffic of its open connections.
 *
 * After relay_discard_traffic() bytes received on connections that are open are
 * discarded, as by a firewall or NAT that lost its connection state; new connections
 * work.
 */
#ifndef FQ_TESTS_RELAY_H
#define FQ_TESTS_RELAY_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RELAY_BYTES 65536

typedef struct
{
  int listener;
  int port;
  int target; /* port */
  pthread_t thread;
  atomic_int generation; /* traffic of connections accepted in an earlier generation
                               is discarded */
} relay_t;

typedef struct
{
  relay_t *relay;
  int generation;
  int ends[2];
} relay_pair_t;

static inline int
relay_listen (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&address, length) != 0 || listen (fd, 64) != 0
      || getsockname (fd, (struct sockaddr *)&address, &length) != 0)
    abort ();
  *port = ntohs (address.sin_port);
  return fd;
}

static inline int
relay_connect (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static inline bool
relay_forward (relay_pair_t *pair, int from, char *buffer)
{
  ssize_t got = recv (pair->ends[from], buffer, RELAY_BYTES, 0);

  if (got <= 0)
    return false;
  if (atomic_load (&pair->relay->generation) != pair->generation)
    return true;
  for (ssize_t at = 0; at < got;)
    {
      ssize_t sent
          = send (pair->ends[1 - from], buffer + at, (size_t)(got - at), MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
    }
  return true;
}

static inline void *
relay_pair_thread (void *argument)
{
  relay_pair_t *pair = argument;
  char *buffer = malloc (RELAY_BYTES);
  bool open = true;

  while (open)
    {
      struct pollfd fds[2] = { { .fd = pair->ends[0], .events = POLLIN },
                               { .fd = pair->ends[1], .events = POLLIN } };

      if (poll (fds, 2, -1) < 0)
        break;
      for (int i = 0; i < 2 && open; i++)
        open = fds[i].revents == 0 || relay_forward (pair, i, buffer);
    }
  close (pair->ends[0]);
  close (pair->ends[1]);
  free (buffer);
  free (pair);
  return NULL;
}

static inline void *
relay_accept_thread (void *argument)
{
  relay_t *relay = argument;
  int fd;

  while ((fd = accept (relay->listener, NULL, NULL)) >= 0)
    {
      relay_pair_t *pair = malloc (sizeof *pair);
      pthread_t thread;

      *pair = (relay_pair_t){ .relay = relay,
                              .generation = atomic_load (&relay->generation),
                              .ends = { fd, relay_connect (relay->target) } };
      pthread_create (&thread, NULL, relay_pair_thread, pair);
      pthread_detach (thread);
    }
  return NULL;
}

static inline void
relay_start (relay_t *relay, int target)
{
  memset (relay, 0, sizeof *relay);
  relay->target = target;
  relay->listener = relay_listen (&relay->port);
  pthread_create (&relay->thread, NULL, relay_accept_thread, relay);
}

static inline void
relay_discard_traffic (relay_t *relay)
{
  atomic_fetch_add (&relay->generation, 1);
}

static inline void
relay_stop (relay_t *relay)
{
  shutdown (relay->listener, SHUT_RDWR);
  pthread_join (relay->thread, NULL);
  close (relay->listener);
}

#endif
