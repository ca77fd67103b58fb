/**
 * DOC: Stand-ins of the review's scripts: a server of the platform, its clients, and the
 * network between a node and the store.
 *
 * usage: actor server ADDRESS REPORTS SERVICE ID REPORT_MS WORK_MS
 *        actor proxy ADDRESS TARGET_ADDRESS
 *        actor load ADDRESS TARGET PREFIX SECONDS RATE
 *        actor kept ADDRESS TARGET PREFIX SECONDS CONNECTIONS
 *        actor upload ADDRESS TARGET ID BYTES KIB_PER_SECOND chunked|length
 *        actor call METHOD ADDRESS TARGET [BODY]
 *
 * ADDRESS is "ip:port". All requests go to host "h". Each line of output ends with the
 * monotonic clock in milliseconds.
 *
 * "server" reports itself each REPORT_MS and answers each request WORK_MS after it has
 * read it whole. It prints "beat STATUS", "run ID CALLER", "answered ID" and "broken ID"
 * (the connection was closed before the answer). The line "leave" on standard input makes
 * it deregister; from then on it sends no reports and its health check says 503.
 *
 * "proxy" passes bytes on, and prints "request TARGET" for each request. The line
 * "silence" on standard input makes it drop all bytes, in both directions, until the line
 * "pass". A connection of which bytes were dropped delivers nothing after that, but stays
 * open.
 *
 * "load" sends RATE requests a second, each on a connection of its own; "kept" sends
 * requests one after the other on CONNECTIONS connections. Both print "sent ID" and
 * "answer ID STATUS" or "closed ID". "upload" sends one body at a limited rate. "call"
 * prints the status of one call.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 16384
#define TEXT_BYTES 512
#define PIECE_BYTES 16384
#define SLOTS 104
/* Before a client that was refused sends its next request. */
#define REFUSED_PAUSE_MS 300
#define CLIENT_TIMEOUT_MS 6000
#define UPLOAD_TIMEOUT_MS 60000
#define ANSWER_SECONDS 30 /* that a client waits for more bytes */

static pthread_mutex_t output_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
clock_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
record (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  pthread_mutex_lock (&output_lock);
  vprintf (format, arguments);
  printf (" %lld\n", clock_ms (CLOCK_MONOTONIC));
  fflush (stdout);
  pthread_mutex_unlock (&output_lock);
  va_end (arguments);
}

static void
sleep_ms (long long ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&time, NULL);
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[TEXT_BYTES];
  const char *colon = strrchr (text, ':');

  if (colon == NULL)
    exit (2);
  snprintf (ip, sizeof ip, "%.*s", (int)(colon - text), text);
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  if (inet_pton (AF_INET, ip, &address.sin_addr) != 1)
    exit (2);
  return address;
}

static int
open_connection (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  struct timeval patience = { .tv_sec = ANSWER_SECONDS };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *bytes, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, bytes, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* A message that is being read; @head ends with a NUL. */
typedef struct
{
  int fd;
  char head[HEAD_BYTES];
  size_t have; /* bytes in @head, and of the body after it */
} reader_t;

/* Returns the size of the head; 0: the connection ended. */
static size_t
read_head (reader_t *reader)
{
  for (;;)
    {
      char *end;
      ssize_t count;

      reader->head[reader->have] = '\0';
      end = strstr (reader->head, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - reader->head) + 4;
      if (reader->have + 1 >= sizeof reader->head)
        return 0;
      count = recv (reader->fd, reader->head + reader->have,
                    sizeof reader->head - 1 - reader->have, 0);
      if (count <= 0)
        return 0;
      reader->have += (size_t)count;
    }
}

static bool
get_field (const char *head, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);

  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL && line[2] != '\r';
       line = strstr (line + 2, "\r\n"))
    {
      const char *value = line + 2 + length + 1;

      if (strncasecmp (line + 2, name, length) != 0 || line[2 + length] != ':')
        continue;
      value += strspn (value, " ");
      snprintf (out, size, "%.*s", (int)strcspn (value, "\r"), value);
      return true;
    }
  return false;
}

/* Reads the body after a head of @head_size bytes, and drops the message. */
static bool
skip_message (reader_t *reader, size_t head_size)
{
  char text[TEXT_BYTES];
  char piece[PIECE_BYTES];
  size_t left = 0;
  size_t buffered = reader->have - head_size;

  if (get_field (reader->head, "Content-Length", text, sizeof text))
    left = strtoull (text, NULL, 10);
  if (buffered > left)
    {
      memmove (reader->head, reader->head + head_size + left, buffered - left);
      reader->have = buffered - left;
      return true;
    }
  left -= buffered;
  reader->have = 0;
  while (left > 0)
    {
      ssize_t count
          = recv (reader->fd, piece, left < sizeof piece ? left : sizeof piece, 0);

      if (count <= 0)
        return false;
      left -= (size_t)count;
    }
  return true;
}

/* Reads a whole answer. Returns its status; 0: the connection ended before its end. */
static int
read_answer (reader_t *reader, bool *close_after)
{
  char text[TEXT_BYTES];
  size_t size = read_head (reader);
  int status;

  if (size == 0 || sscanf (reader->head, "HTTP/1.1 %d", &status) != 1)
    return 0;
  *close_after = get_field (reader->head, "Connection", text, sizeof text)
                 && strcasecmp (text, "close") == 0;
  return skip_message (reader, size) ? status : 0;
}

/* The server. */

static const char *address_text;
static const char *reports_address;
static const char *service;
static const char *instance;
static long long report_ms;
static long long work_ms;
static long long born;
static volatile bool leaving;
static int sequence;

static int
call_node (const char *target, const char *body)
{
  reader_t reader = { .fd = open_connection (reports_address) };
  char request[HEAD_BYTES];
  bool close_after;
  int status = 0;

  if (reader.fd < 0)
    return 0;
  snprintf (request, sizeof request,
            "POST %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
            target, strlen (body), body);
  if (send_all (reader.fd, request, strlen (request)))
    status = read_answer (&reader, &close_after);
  close (reader.fd);
  return status;
}

static int
send_report (void)
{
  char target[TEXT_BYTES];
  char body[TEXT_BYTES * 2];

  snprintf (target, sizeof target, "/v1/Instances.Heartbeat/%s", instance);
  snprintf (
      body, sizeof body,
      "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\","
      "\"version\":\"v1\",\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"ready\","
      "\"sequence\":%d,\"warmup_left\":\"0ms\"}}",
      address_text, born, service, SLOTS, ++sequence);
  return call_node (target, body);
}

static void *
run_reports (void *unused)
{
  (void)unused;
  while (!leaving)
    {
      record ("beat %d", send_report ());
      sleep_ms (report_ms);
    }
  return NULL;
}

static void
deregister (void)
{
  char target[TEXT_BYTES];
  char body[TEXT_BYTES];

  leaving = true;
  snprintf (target, sizeof target, "/v1/Instances.Deregister/%s", instance);
  snprintf (body, sizeof body, "{\"born\":%lld}", born);
  record ("leave %d", call_node (target, body));
}

static bool
answer (int fd, const char *status, const char *request_id, const char *body)
{
  char text[HEAD_BYTES];
  int size = snprintf (text, sizeof text, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n", status,
                       instance);

  if (request_id[0] != '\0')
    size += snprintf (text + size, sizeof text - (size_t)size,
                      "X-Attempt-Id: %s\r\nX-Response-Signature: signed\r\n", request_id);
  snprintf (text + size, sizeof text - (size_t)size, "Content-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  return send_all (fd, text, strlen (text));
}

/* Works for work_ms; returns whether the connection was still open at the end. */
static bool
work (int fd)
{
  struct pollfd input = { .fd = fd, .events = POLLRDHUP };

  return poll (&input, 1, (int)work_ms) == 0;
}

static bool
serve_request (reader_t *reader, size_t head_size)
{
  char id[TEXT_BYTES];
  char caller[TEXT_BYTES];
  char wanted[TEXT_BYTES];
  bool is_health = strncmp (reader->head, "GET /health ", 12) == 0;

  get_field (reader->head, "X-Attempt-Id", id, sizeof id);
  get_field (reader->head, "X-Caller-Service", caller, sizeof caller);
  get_field (reader->head, "X-Target-Instance", wanted, sizeof wanted);
  if (!skip_message (reader, head_size))
    return false;
  if (is_health)
    return answer (reader->fd, leaving ? "503 Service Unavailable" : "200 OK", "", "");
  if (wanted[0] != '\0' && strcmp (wanted, instance) != 0)
    return answer (reader->fd, "421 Misdirected Request", "", "");
  record ("run %s %s", id, caller);
  if (!work (reader->fd))
    {
      record ("broken %s", id);
      return false;
    }
  record ("answered %s", id);
  return answer (reader->fd, "200 OK", id, id);
}

static void *
run_server_connection (void *argument)
{
  reader_t *reader = argument;
  size_t size;

  while ((size = read_head (reader)) > 0 && serve_request (reader, size))
    ;
  close (reader->fd);
  free (reader);
  return NULL;
}

static void
start_thread (void *(*function) (void *), void *argument)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, function, argument) != 0)
    exit (2);
  pthread_detach (thread);
}

static void *
run_listener (void *argument)
{
  int listener = *(int *)argument;

  for (;;)
    {
      reader_t *reader = calloc (1, sizeof *reader);

      if (reader == NULL)
        exit (2);
      reader->fd = accept (listener, NULL, NULL);
      if (reader->fd >= 0)
        start_thread (run_server_connection, reader);
      else
        free (reader);
    }
  return NULL;
}

/* Returns -1 on failure. */
static int
open_listener (const char *text)
{
  struct sockaddr_in address = parse_address (text);
  int one = 1;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *)&address, sizeof address) < 0
      || listen (listener, 512) < 0)
    return -1;
  return listener;
}

static int
run_server (char **arguments)
{
  static int listener;
  char line[TEXT_BYTES];

  address_text = arguments[0];
  reports_address = arguments[1];
  service = arguments[2];
  instance = arguments[3];
  report_ms = atoll (arguments[4]);
  work_ms = atoll (arguments[5]);
  born = clock_ms (CLOCK_REALTIME);
  listener = open_listener (arguments[0]);
  if (listener < 0)
    return 2;
  start_thread (run_listener, &listener);
  start_thread (run_reports, NULL);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      if (strcmp (line, "leave\n") == 0)
        deregister ();
    }
  for (;;)
    pause ();
}

/* The proxy. */

static volatile bool silent;

typedef struct
{
  int fds[2]; /* of the client, of the target */
} pair_t;

static void
record_request (const char *bytes, size_t size)
{
  char line[TEXT_BYTES];
  const char *space = memchr (bytes, ' ', size);

  if (space == NULL)
    return;
  snprintf (line, sizeof line, "%.*s", (int)(size - (size_t)(space - bytes) - 1),
            space + 1);
  line[strcspn (line, " \r\n")] = '\0';
  record ("request %s", line);
}

static void *
run_pair (void *argument)
{
  pair_t *pair = argument;
  static const int poll_ms = 20;
  bool dead = false;

  for (;;)
    {
      struct pollfd inputs[2] = { { .fd = pair->fds[0], .events = POLLIN },
                                  { .fd = pair->fds[1], .events = POLLIN } };
      char piece[PIECE_BYTES];

      if (poll (inputs, 2, poll_ms) <= 0)
        continue;
      for (int i = 0; i < 2; i++)
        {
          ssize_t count;

          if (inputs[i].revents == 0)
            continue;
          count = recv (pair->fds[i], piece, sizeof piece, 0);
          if (count <= 0)
            goto ended;
          if (i == 0)
            record_request (piece, (size_t)count);
          dead = dead || silent;
          if (!dead && !send_all (pair->fds[1 - i], piece, (size_t)count))
            goto ended;
        }
    }
ended:
  close (pair->fds[0]);
  close (pair->fds[1]);
  free (pair);
  return NULL;
}

static void *
run_proxy_listener (void *argument)
{
  int listener = *(int *)argument;

  for (;;)
    {
      pair_t *pair = calloc (1, sizeof *pair);

      if (pair == NULL)
        exit (2);
      pair->fds[0] = accept (listener, NULL, NULL);
      pair->fds[1] = pair->fds[0] < 0 ? -1 : open_connection (reports_address);
      if (pair->fds[1] >= 0)
        start_thread (run_pair, pair);
      else
        {
          close (pair->fds[0]);
          free (pair);
        }
    }
  return NULL;
}

static int
run_proxy (char **arguments)
{
  static int listener;
  char line[TEXT_BYTES];

  reports_address = arguments[1];
  listener = open_listener (arguments[0]);
  if (listener < 0)
    return 2;
  start_thread (run_proxy_listener, &listener);
  while (fgets (line, sizeof line, stdin) != NULL)
    {
      silent = strcmp (line, "silence\n") == 0;
      record ("%s", silent ? "silent" : "passing");
    }
  return 0;
}

/* Clients. */

static const char *target;
static const char *prefix;
static long long end_ms;

static bool
send_request (int fd, const char *id)
{
  char request[HEAD_BYTES];

  snprintf (
      request, sizeof request,
      "GET %s%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n\r\n",
      target, id, id, CLIENT_TIMEOUT_MS);
  record ("sent %s", id);
  return send_all (fd, request, strlen (request));
}

static void
record_answer (const char *id, int status)
{
  if (status == 0)
    record ("closed %s", id);
  else
    record ("answer %s %d", id, status);
}

static void *
run_load_request (void *argument)
{
  reader_t reader = { .fd = open_connection (address_text) };
  bool close_after;
  char *id = argument;

  if (reader.fd < 0)
    record ("unreached %s", id);
  else
    record_answer (id, send_request (reader.fd, id) ? read_answer (&reader, &close_after)
                                                    : 0);
  if (reader.fd >= 0)
    close (reader.fd);
  free (id);
  return NULL;
}

static int
run_load (char **arguments)
{
  long long count = atoll (arguments[3]) * atoll (arguments[4]);

  address_text = arguments[0];
  target = arguments[1];
  prefix = arguments[2];
  for (long long i = 1; i <= count; i++)
    {
      char *id = malloc (TEXT_BYTES);

      if (id == NULL)
        return 2;
      snprintf (id, TEXT_BYTES, "%s%lld", prefix, i);
      start_thread (run_load_request, id);
      sleep_ms (1000 / atoll (arguments[4]));
    }
  sleep_ms (CLIENT_TIMEOUT_MS);
  return 0;
}

static void *
run_kept_connection (void *argument)
{
  static const int pause_ms = 100;
  static const int spread_ms = 70; /* between the starts of two connections */
  long long number = (long long)(size_t)argument;
  long long sent = 0;

  sleep_ms (number * spread_ms);
  while (clock_ms (CLOCK_MONOTONIC) < end_ms)
    {
      reader_t reader = { .fd = open_connection (address_text) };
      bool close_after = false;
      int status = 1;

      while (reader.fd >= 0 && status != 0 && !close_after
             && clock_ms (CLOCK_MONOTONIC) < end_ms)
        {
          char id[TEXT_BYTES];

          snprintf (id, sizeof id, "%s%lld-%lld", prefix, number, ++sent);
          status = send_request (reader.fd, id) ? read_answer (&reader, &close_after) : 0;
          record_answer (id, status);
          if (status != 200)
            sleep_ms (REFUSED_PAUSE_MS);
        }
      if (reader.fd >= 0)
        close (reader.fd);
      sleep_ms (pause_ms);
    }
  return NULL;
}

static int
run_kept (char **arguments)
{
  long long count = atoll (arguments[4]);
  pthread_t threads[256];

  address_text = arguments[0];
  target = arguments[1];
  prefix = arguments[2];
  end_ms = clock_ms (CLOCK_MONOTONIC) + atoll (arguments[3]) * 1000;
  if (count > 256)
    return 2;
  for (long long i = 0; i < count; i++)
    {
      if (pthread_create (&threads[i], NULL, run_kept_connection, (void *)(size_t)(i + 1))
          != 0)
        return 2;
    }
  for (long long i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
  return 0;
}

/* Sends @size bytes of body at @rate bytes a second. */
static bool
send_body (int fd, size_t size, double rate, bool chunked)
{
  static char piece[PIECE_BYTES];
  long long began = clock_ms (CLOCK_MONOTONIC);
  size_t done = 0;
  char line[TEXT_BYTES];

  memset (piece, 'x', sizeof piece);
  while (done < size)
    {
      size_t count = size - done < sizeof piece ? size - done : sizeof piece;
      long long due = began + (long long)((double)done / rate * 1000);
      long long now = clock_ms (CLOCK_MONOTONIC);

      if (due > now)
        sleep_ms (due - now);
      snprintf (line, sizeof line, "%zx\r\n", count);
      if ((chunked && !send_all (fd, line, strlen (line))) || !send_all (fd, piece, count)
          || (chunked && !send_all (fd, "\r\n", 2)))
        return false;
      done += count;
    }
  return !chunked || send_all (fd, "0\r\n\r\n", 5);
}

static int
run_upload (char **arguments)
{
  reader_t reader = { .fd = open_connection (arguments[0]) };
  const char *id = arguments[2];
  size_t size = strtoull (arguments[3], NULL, 10);
  bool chunked = strcmp (arguments[5], "chunked") == 0;
  bool close_after;
  char head[HEAD_BYTES];
  char length[TEXT_BYTES];

  snprintf (length, sizeof length, "Content-Length: %zu", size);
  snprintf (head, sizeof head,
            "POST %s%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n"
            "%s\r\n\r\n",
            arguments[1], id, id, UPLOAD_TIMEOUT_MS,
            chunked ? "Transfer-Encoding: chunked" : length);
  record ("sent %s", id);
  if (reader.fd >= 0 && send_all (reader.fd, head, strlen (head)))
    send_body (reader.fd, size, atof (arguments[4]) * 1024, chunked);
  record_answer (id, reader.fd < 0 ? 0 : read_answer (&reader, &close_after));
  return 0;
}

static int
run_call (char **arguments, int count)
{
  reader_t reader = { .fd = open_connection (arguments[1]) };
  const char *body = count > 3 ? arguments[3] : "";
  bool close_after;
  char head[HEAD_BYTES];

  snprintf (
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n",
      arguments[0], arguments[2], strlen (body));
  if (reader.fd < 0 || !send_all (reader.fd, head, strlen (head))
      || !send_all (reader.fd, body, strlen (body)))
    {
      printf ("0\n");
      return 1;
    }
  printf ("%d\n", read_answer (&reader, &close_after));
  return 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc == 8 && strcmp (argv[1], "server") == 0)
    return run_server (argv + 2);
  if (argc == 4 && strcmp (argv[1], "proxy") == 0)
    return run_proxy (argv + 2);
  if (argc == 7 && strcmp (argv[1], "load") == 0)
    return run_load (argv + 2);
  if (argc == 7 && strcmp (argv[1], "kept") == 0)
    return run_kept (argv + 2);
  if (argc == 8 && strcmp (argv[1], "upload") == 0)
    return run_upload (argv + 2);
  if (argc >= 5 && strcmp (argv[1], "call") == 0)
    return run_call (argv + 2, argc - 2);
  fprintf (stderr, "usage: see actor.c\n");
  return 2;
}
