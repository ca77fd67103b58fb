/**
 * DOC: Test double of a server that answers without end. It sends no reports.
 *
 * usage: fq-standin-endless IP:PORT INSTANCE
 *
 * A request whose target ends with "endless-head", "endless-body", "endless-chunks",
 * "endless-trailers" or "endless-interim" gets that without end, until the connection is
 * closed; any other request gets a complete answer, which names INSTANCE, as the answer
 * to a health check has to.
 */
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "io/stream.h"

#define BLOCK_BYTES 4096
#define REQUEST_BYTES 16384
#define ID_FIELD "X-Attempt-Id: "

static const char *instance;

typedef struct
{
  const char *name;
  const char *first;
  const char *again;
} endless_t;

static const endless_t variants[] = {
  { "endless-head", "HTTP/1.1 200 OK\r\n", "X-Field: value value value value\r\n" },
  { "endless-body", "HTTP/1.1 200 OK\r\n\r\n", "................................" },
  { "endless-chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "20\r\n................................\r\n" },
  { "endless-trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Trailer: value value value\r\n" },
  { "endless-interim", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" },
};

static bool
send_text (int fd, const char *text)
{
  size_t size = strlen (text);

  return send (fd, text, size, MSG_NOSIGNAL) == (ssize_t)size;
}

static void
send_without_end (int fd, const endless_t *variant)
{
  char block[BLOCK_BYTES];

  block[0] = '\0';
  while (strlen (block) + strlen (variant->again) < sizeof block)
    strcat (block, variant->again);
  if (!send_text (fd, variant->first))
    return;
  while (send_text (fd, block))
    ;
}

static const endless_t *
find_variant (const char *request)
{
  for (size_t i = 0; i < sizeof variants / sizeof variants[0]; i++)
    {
      if (strstr (request, variants[i].name) != NULL)
        return &variants[i];
    }
  return NULL;
}

static bool
send_whole (int fd, const char *request)
{
  char answer[REQUEST_BYTES];
  const char *id = strstr (request, ID_FIELD);

  id = id == NULL ? "" : id + strlen (ID_FIELD);
  snprintf (answer, sizeof answer,
            "HTTP/1.1 200 OK\r\n" ID_FIELD
            "%.*s\r\nX-Instance-Id: %s\r\nX-Response-Signature: s\r\n"
            "Content-Length: 4\r\n\r\nfine",
            (int)strcspn (id, "\r"), id, instance);
  return send_text (fd, answer);
}

/* Requests are expected without a body, and one at a time. */
static void *
serve (void *argument)
{
  int fd = (int)(intptr_t)argument;
  char request[REQUEST_BYTES];
  ssize_t got;

  while ((got = recv (fd, request, sizeof request - 1, 0)) > 0)
    {
      const endless_t *variant;

      request[got] = '\0';
      variant = find_variant (request);
      if (variant != NULL)
        send_without_end (fd, variant);
      if (variant != NULL || !send_whole (fd, request))
        break;
    }
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address;
  int one = 1;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int fd;

  if (argc != 3 || fq_address_parse (&address, argv[1]) < 0
      || setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0
      || bind (listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener, SOMAXCONN) != 0)
    {
      fprintf (stderr, "usage: fq-standin-endless IP:PORT INSTANCE (%s)\n",
               fq_error_last ()->message);
      return EXIT_FAILURE;
    }
  instance = argv[2];
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_t thread;

      if (pthread_create (&thread, NULL, serve, (void *)(intptr_t)fd) != 0)
        abort ();
      pthread_detach (thread);
    }
  return EXIT_SUCCESS;
}
