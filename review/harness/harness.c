#define _GNU_SOURCE /* accept4 */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define RUN_SECONDS_MAX 115 /* a case has 120 s */
#define ROWS_MAX 64
#define ROW_VALUE_BYTES 65536
#define RUNS_MAX 4096
#define CONNECTIONS_MAX 512
#define REPORT_INTERVAL_MS 1500
#define SLOTS 40
#define DRAIN_MS 2000

/** enum port_t - ports of a machine, from the base port. */
typedef enum
{
  PORT_REQUESTS,
  PORT_READY,
  PORT_REPORTS,
  PORT_NODES,
  PORT_SERVER,
  PORT_METRICS,
  PORT_STORE,
  PORT_COUNT,
} port_t;

typedef struct
{
  char table[201];
  char key[201];
  char *value; /* base64; NULL: removed */
  unsigned long version;
} row_t;

struct rv_server
{
  rv_server_options_t options;
  long long born;
  unsigned int sequence;
  bool leaving;
  bool ended;
  int listener;
  int connections[CONNECTIONS_MAX];
  size_t connection_count;
  rv_run_t runs[RUNS_MAX];
  size_t run_count;
  pthread_mutex_t lock;
};

typedef struct
{
  rv_server_t *server; /* NULL: the store */
  int fd;
} connection_t;

static int base_port;
static FILE *record;
static char directory[] = "/tmp/filbertquay-review-XXXXXX";
static struct timespec opened;
static pid_t nodes[RV_MACHINES_MAX];
static row_t rows[ROWS_MAX];
static size_t row_count;
static unsigned long store_version = 1;
static volatile bool store_silent;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

long
rv_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (now.tv_sec - opened.tv_sec) * 1000 + (now.tv_nsec - opened.tv_nsec) / 1000000;
}

long long
rv_unix_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rv_sleep_ms (long ms)
{
  struct timespec left = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  while (nanosleep (&left, &left) < 0 && errno == EINTR)
    ;
}

bool
rv_with_trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

void
rv_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8ld ms  ", rv_now_ms ());
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
rv_finish (rv_exit_t status)
{
  char command[128];

  for (int i = 0; i < RV_MACHINES_MAX; i++)
    {
      if (nodes[i] == 0)
        continue;
      kill (nodes[i], SIGCONT);
      kill (nodes[i], SIGKILL);
      waitpid (nodes[i], NULL, 0);
    }
  rv_record ("end, status %d", status);
  snprintf (command, sizeof command, "rm -rf %s", directory);
  if (system (command) != 0)
    fprintf (stderr, "could not remove %s\n", directory);
  _exit (status);
}

void
rv_fail (const char *reason)
{
  rv_record ("the case could not run: %s", reason);
  fprintf (stderr, "the case could not run: %s\n", reason);
  rv_finish (RV_FAILED);
}

static void
machine_ip (char *out, int machine)
{
  snprintf (out, 16, "127.0.77.%u", (unsigned int)(10 + machine) & 255);
}

static struct sockaddr_in
address_of (int machine, port_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[16];

  machine_ip (ip, machine);
  inet_pton (AF_INET, ip, &address.sin_addr);
  address.sin_port = htons ((uint16_t)(base_port + (int)port));
  return address;
}

static int
listen_at (int machine, port_t port)
{
  struct sockaddr_in address = address_of (machine, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, 256) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
ports_are_free (void)
{
  for (int machine = 0; machine < RV_MACHINES_MAX; machine++)
    {
      for (int port = 0; port < PORT_COUNT; port++)
        {
          int fd = listen_at (machine, (port_t)port);

          if (fd < 0)
            return false;
          close (fd);
        }
    }
  return true;
}

static void
on_alarm (int number)
{
  (void)number;
  for (int i = 0; i < RV_MACHINES_MAX; i++)
    {
      if (nodes[i] != 0)
        kill (nodes[i], SIGKILL);
    }
  _exit (RV_FAILED);
}

void
rv_open (const char *case_directory)
{
  char path[512];

  clock_gettime (CLOCK_MONOTONIC, &opened);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (RUN_SECONDS_MAX);
  snprintf (path, sizeof path, "%s/record.txt", case_directory);
  record = fopen (path, "w");
  if (record == NULL || mkdtemp (directory) == NULL)
    {
      fprintf (stderr, "can't write %s or make a temporary folder\n", path);
      _exit (RV_FAILED);
    }
  srand ((unsigned int)(getpid () ^ opened.tv_nsec));
  for (int tries = 0; tries < 100; tries++)
    {
      base_port = 12000 + rand () % 1800 * 10;
      if (ports_are_free ())
        return;
    }
  rv_fail ("no free ports");
}

/* Reads up to the end of a head. Returns the size of the head, 0 at the end of input.
 * @rest: bytes that were read beyond it, at the end of @head. */
static size_t
read_head (int fd, char *head, size_t size, size_t *total)
{
  *total = 0;
  for (;;)
    {
      char *end;
      ssize_t count = recv (fd, head + *total, size - 1 - *total, 0);

      if (count <= 0)
        return 0;
      *total += (size_t)count;
      head[*total] = '\0';
      end = strstr (head, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - head) + 4;
      if (*total == size - 1)
        return 0;
    }
}

/* Copies the value of a field, or an empty text. */
static bool
get_field (const char *head, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);

  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      const char *end;

      line += 2;
      if (strncasecmp (line, name, length) != 0 || line[length] != ':')
        continue;
      line += length + 1;
      while (*line == ' ')
        line++;
      end = strstr (line, "\r\n");
      if (end == NULL || (size_t)(end - line) >= size)
        return false;
      memcpy (out, line, (size_t)(end - line));
      out[end - line] = '\0';
      return true;
    }
  return false;
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t count = send (fd, data, size, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      size -= (size_t)count;
    }
  return true;
}

static bool
send_answer (int fd, int status, const char *fields, const char *body, size_t size)
{
  char head[1024];
  int length
      = snprintf (head, sizeof head, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
                  status, fields, size);

  return send_all (fd, head, (size_t)length) && send_all (fd, body, size);
}

/* Reads a request with its body. @body gets the first bytes of the body. */
static bool
read_request (int fd, rv_request_t *request, char *body, size_t body_size)
{
  size_t total;
  size_t head_size = read_head (fd, request->head, sizeof request->head, &total);
  char length[32];
  size_t have;

  if (head_size == 0)
    return false;
  if (sscanf (request->head, "%15s %255s", request->method, request->target) != 2)
    return false;
  get_field (request->head, "Content-Length", length, sizeof length);
  request->body_bytes = strtoul (length, NULL, 10);
  have = total - head_size;
  if (body_size > 0)
    {
      size_t copied = have < body_size - 1 ? have : body_size - 1;

      memcpy (body, request->head + head_size, copied);
      body[copied] = '\0';
    }
  request->head[head_size] = '\0';
  while (have < request->body_bytes)
    {
      char rest[4096];
      ssize_t count = recv (fd, rest, sizeof rest, 0);

      if (count <= 0)
        return false;
      if (have + (size_t)count < body_size)
        {
          memcpy (body + have, rest, (size_t)count);
          body[have + (size_t)count] = '\0';
        }
      have += (size_t)count;
    }
  return true;
}

static void
start_thread (void *(*function) (void *), void *argument)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, function, argument) != 0)
    rv_fail ("no thread");
  pthread_detach (thread);
}

/* The store. */

/* Copies the text of the JSON field @name after @from. */
static const char *
json_text (const char *from, const char *name, char *out, size_t size)
{
  char pattern[64];
  const char *at;
  const char *end;

  out[0] = '\0';
  snprintf (pattern, sizeof pattern, "\"%s\":\"", name);
  at = from == NULL ? NULL : strstr (from, pattern);
  if (at == NULL)
    return NULL;
  at += strlen (pattern);
  end = strchr (at, '"');
  if (end == NULL || (size_t)(end - at) >= size)
    return NULL;
  memcpy (out, at, (size_t)(end - at));
  out[end - at] = '\0';
  return end;
}

/* Called with the lock held. */
static void
change_row (const char *table, const char *key, const char *value)
{
  size_t i = 0;

  while (i < row_count
         && (strcmp (rows[i].table, table) != 0 || strcmp (rows[i].key, key) != 0))
    i++;
  if (i == ROWS_MAX)
    return;
  if (i == row_count)
    {
      row_count++;
      snprintf (rows[i].table, sizeof rows[i].table, "%s", table);
      snprintf (rows[i].key, sizeof rows[i].key, "%s", key);
    }
  free (rows[i].value);
  rows[i].value = value == NULL ? NULL : strdup (value);
  rows[i].version = ++store_version;
  pthread_cond_broadcast (&store_changed);
}

static void
apply_transaction (const char *body)
{
  const char *put = strstr (body, "\"put\":[{");
  const char *removal = strstr (body, "\"remove\":[{");
  char table[201];
  char key[201];
  char value[ROW_VALUE_BYTES];

  pthread_mutex_lock (&store_lock);
  if (put != NULL && json_text (put, "table", table, sizeof table) != NULL
      && json_text (put, "key", key, sizeof key) != NULL
      && json_text (put, "value", value, sizeof value) != NULL)
    change_row (table, key, value);
  if (removal != NULL && json_text (removal, "table", table, sizeof table) != NULL
      && json_text (removal, "key", key, sizeof key) != NULL)
    change_row (table, key, NULL);
  pthread_mutex_unlock (&store_lock);
}

static void
query_text (const char *target, const char *name, char *out, size_t size)
{
  char pattern[64];
  const char *at;
  size_t length;

  out[0] = '\0';
  snprintf (pattern, sizeof pattern, "%s=", name);
  at = strstr (target, pattern);
  if (at == NULL)
    return;
  at += strlen (pattern);
  length = strcspn (at, "& ");
  if (length >= size)
    return;
  memcpy (out, at, length);
  out[length] = '\0';
}

static int
compare_rows (const void *left, const void *right)
{
  return strcmp ((*(row_t *const *)left)->key, (*(row_t *const *)right)->key);
}

/* Called with the lock held. Returns the number of rows. */
static size_t
write_rows (
    char *out, size_t size, const char *table, const char *from, unsigned long after)
{
  row_t *found[ROWS_MAX];
  size_t count = 0;
  size_t used;

  for (size_t i = 0; i < row_count; i++)
    {
      bool is_feed = after > 0;

      if (strcmp (rows[i].table, table) == 0 && rows[i].version > after
          && (is_feed || rows[i].value != NULL) && strcmp (rows[i].key, from) >= 0)
        found[count++] = &rows[i];
    }
  qsort (found, count, sizeof found[0], compare_rows);
  used = (size_t)snprintf (out, size, "{\"rows\":[");
  for (size_t i = 0; i < count; i++)
    {
      used += (size_t)snprintf (
          out + used, size - used,
          "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"ver\":%lu,",
          i > 0 ? "," : "", table, found[i]->key, found[i]->version);
      if (found[i]->value == NULL)
        used += (size_t)snprintf (out + used, size - used, "\"deleted\":true}");
      else
        used += (size_t)snprintf (out + used, size - used, "\"value\":\"%s\"}",
                                  found[i]->value);
    }
  snprintf (out + used, size - used,
            "],\"has_more\":false,\"ver\":%lu,\"now\":\"%ldms\"}", store_version,
            rv_now_ms ());
  return count;
}

static void
wait_for_change (
    const char *table, unsigned long after, long wait_ms, char *out, size_t size)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  while (write_rows (out, size, table, "", after) == 0)
    {
      if (pthread_cond_timedwait (&store_changed, &store_lock, &until) != 0)
        return;
    }
}

/* The connection stays open, and nothing comes on it any more. */
static void __attribute__ ((noreturn)) never_answer (void)
{
  for (;;)
    rv_sleep_ms (1000);
}

static bool
answer_store_call (int fd, const rv_request_t *request, const char *body)
{
  static const char fields[] = "Content-Type: application/json\r\nStore-Era: 1\r\n";
  size_t size = 2 * ROW_VALUE_BYTES;
  char *out = malloc (size);
  char table[201];
  char text[201];
  bool sent;

  if (out == NULL)
    return false;
  if (store_silent)
    never_answer ();
  query_text (request->target, "table", table, sizeof table);
  pthread_mutex_lock (&store_lock);
  if (strncmp (request->target, "/v1/rows-get", 12) == 0)
    {
      query_text (request->target, "from", text, sizeof text);
      write_rows (out, size, table, text, 0);
    }
  else if (strncmp (request->target, "/v1/rows-feed", 13) == 0)
    {
      unsigned long after;

      query_text (request->target, "after", text, sizeof text);
      after = strtoul (text, NULL, 10);
      query_text (request->target, "wait_ms", text, sizeof text);
      wait_for_change (table, after, strtol (text, NULL, 10), out, size);
    }
  else
    {
      pthread_mutex_unlock (&store_lock);
      apply_transaction (body);
      pthread_mutex_lock (&store_lock);
      snprintf (out, size, "{\"ver\":%lu,\"now\":\"%ldms\"}", store_version,
                rv_now_ms ());
    }
  pthread_mutex_unlock (&store_lock);
  if (store_silent)
    never_answer ();
  sent = send_answer (fd, 200, fields, out, strlen (out));
  free (out);
  return sent;
}

static void *
serve_store_connection (void *argument)
{
  connection_t *connection = argument;
  rv_request_t *request = malloc (sizeof *request);
  char *body = malloc (ROW_VALUE_BYTES);

  while (request != NULL && body != NULL
         && read_request (connection->fd, request, body, ROW_VALUE_BYTES)
         && answer_store_call (connection->fd, request, body))
    ;
  close (connection->fd);
  free (request);
  free (body);
  free (connection);
  return NULL;
}

static void *
accept_store_connections (void *argument)
{
  int listener = *(int *)argument;

  for (;;)
    {
      connection_t *connection = calloc (1, sizeof *connection);

      connection->fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (connection->fd < 0)
        return NULL;
      start_thread (serve_store_connection, connection);
    }
}

void
rv_store_start (void)
{
  static int listener;

  listener = listen_at (0, PORT_STORE);
  if (listener < 0)
    rv_fail ("no port for the store");
  start_thread (accept_store_connections, &listener);
}

void
rv_store_set_silent (bool silent)
{
  store_silent = silent;
  rv_record ("the store is %s", silent ? "silent" : "back");
}

static char *
base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = calloc (1, size * 4 / 3 + 8);
  size_t used = 0;

  for (size_t i = 0; i < size; i += 3)
    {
      unsigned int left = (unsigned int)(size - i);
      unsigned int bits = (unsigned char)text[i] << 16;

      bits |= left > 1 ? (unsigned int)(unsigned char)text[i + 1] << 8 : 0;
      bits |= left > 2 ? (unsigned char)text[i + 2] : 0;
      out[used++] = digits[bits >> 18];
      out[used++] = digits[bits >> 12 & 63];
      out[used++] = left > 1 ? digits[bits >> 6 & 63] : '=';
      out[used++] = left > 2 ? digits[bits & 63] : '=';
    }
  return out;
}

void
rv_store_put_config (const char *document)
{
  char *value = base64 (document);

  pthread_mutex_lock (&store_lock);
  change_row ("op", "config", value);
  pthread_mutex_unlock (&store_lock);
  free (value);
  rv_record ("the operator has written a configuration");
}

/* Nodes. */

static void
write_settings (const char *path, int machine, const char *service)
{
  FILE *file = fopen (path, "w");
  char ip[16];
  char store_ip[16];
  char seed_ip[16];

  if (file == NULL)
    rv_fail ("can't write settings");
  machine_ip (ip, machine);
  machine_ip (store_ip, 0);
  machine_ip (seed_ip, 1);
  fprintf (file,
           "{ \"node\": \"m%d\", \"zone\": \"z\", \"ip\": \"%s\", \"store\": \"%s:%d\",\n"
           "  \"seeds\": [ \"%s:%d\" ],\n"
           "  \"listen\": { \"requests\": \"%s:%d\", \"readiness\": \"%s:%d\",\n"
           "    \"reports\": \"%s:%d\", \"nodes\": \"%s:%d\", \"metrics_port\": %d },\n"
           "  \"server\": { \"service\": \"%s\", \"address\": \"%s:%d\",\n"
           "    \"report_interval\": \"%dms\", \"drain\": \"%dms\" },\n"
           "  \"retries\": { \"ratio\": 0.2, \"window\": \"10s\", \"slack\": 49 },\n"
           "  \"limits\": { \"memory_mb\": 260, \"descriptors\": 4100, \"grace\": \"6s\" "
           "} }\n",
           machine, ip, store_ip, base_port + PORT_STORE, seed_ip,
           base_port + PORT_REPORTS, ip, base_port + PORT_REQUESTS, ip,
           base_port + PORT_READY, ip, base_port + PORT_REPORTS, ip,
           base_port + PORT_NODES, base_port + PORT_METRICS, service, ip,
           base_port + PORT_SERVER, REPORT_INTERVAL_MS, DRAIN_MS);
  fclose (file);
}

static void
run_node (int machine, const char *settings)
{
  char log[256];
  int fd;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  snprintf (log, sizeof log, "%s/m%d.log", directory, machine);
  fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (fd >= 0)
    {
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
    }
  setenv ("FILBERTQUAY_NODE_FILE", settings, 1);
  execl ("target/filbertquay-node", "target/filbertquay-node", (char *)NULL);
  _exit (127);
}

void
rv_node_start (int machine, const char *service)
{
  char settings[256];
  pid_t pid;

  snprintf (settings, sizeof settings, "%s/m%d.json", directory, machine);
  write_settings (settings, machine, service);
  pid = fork ();
  if (pid < 0)
    rv_fail ("no process");
  if (pid == 0)
    run_node (machine, settings);
  nodes[machine] = pid;
  rv_record ("node of machine %d starts", machine);
}

void
rv_node_change_settings (int machine, const char *service)
{
  char settings[256];

  snprintf (settings, sizeof settings, "%s/m%d.json", directory, machine);
  write_settings (settings, machine, service);
  rv_record ("the settings of machine %d name service %s", machine, service);
}

void
rv_node_signal (int machine, int signal_number)
{
  rv_record ("node of machine %d gets signal %d (%s)", machine, signal_number,
             strsignal (signal_number));
  kill (nodes[machine], signal_number);
}

void
rv_node_wait (int machine)
{
  int status = 0;

  waitpid (nodes[machine], &status, 0);
  nodes[machine] = 0;
  if (WIFEXITED (status))
    rv_record ("node of machine %d has ended with status %d", machine,
               WEXITSTATUS (status));
  else
    rv_record ("node of machine %d has ended by signal %d", machine, WTERMSIG (status));
}

static int
connect_to (int machine, port_t port, int segment_bytes, int window_bytes)
{
  struct sockaddr_in address = address_of (machine, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;

  if (segment_bytes > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
  if (window_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof window_bytes);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return fd;
}

/* Sends a call to an interface of a node. Returns the status, 0 without an answer. */
static int
call_node (
    int machine, port_t port, const char *method, const char *target, const char *body)
{
  struct timeval timeout = { .tv_sec = 1 };
  int fd = connect_to (machine, port, 0, 0);
  char text[RV_HEAD_BYTES];
  size_t total;
  int status = 0;

  if (fd < 0)
    return 0;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            method, target, strlen (body), body);
  if (send_all (fd, text, strlen (text)) && read_head (fd, text, sizeof text, &total) > 0)
    status = atoi (text + strlen ("HTTP/1.1 "));
  close (fd);
  return status;
}

void
rv_wait_ready (int machine)
{
  for (int i = 0; i < 100; i++)
    {
      if (call_node (machine, PORT_READY, "GET", "/v1/readiness", "") == 200)
        {
          rv_record ("node of machine %d is ready", machine);
          return;
        }
      rv_sleep_ms (50);
    }
  rv_fail ("a node does not become ready");
}

/* Servers. */

void
rv_report_body (char *out,
                size_t size,
                int machine,
                const char *service,
                long long born,
                const char *state,
                unsigned int sequence)
{
  char ip[16];

  machine_ip (ip, machine);
  snprintf (out, size,
            "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":\"%s\","
            "\"version\":\"v1\","
            "\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%u,"
            "\"warmup_left\":\"0ms\"}}",
            ip, base_port + PORT_SERVER, born, service, SLOTS, state, sequence);
}

int
rv_report (int machine, const char *id, const char *body)
{
  char target[128];
  int status;

  snprintf (target, sizeof target, "/v1/Instances.Heartbeat/%s", id);
  status = call_node (machine, PORT_REPORTS, "POST", target, body);
  rv_record ("status report of %s to machine %d: %s -> %d", id, machine, body, status);
  return status;
}

long long
rv_server_born (const rv_server_t *server)
{
  return server->born;
}

unsigned int
rv_server_sequence (const rv_server_t *server)
{
  return server->sequence;
}

static void *
send_reports (void *argument)
{
  rv_server_t *server = argument;

  while (!server->leaving && !server->ended)
    {
      char body[512];

      rv_report_body (body, sizeof body, server->options.machine, server->options.service,
                      server->born, "ready", ++server->sequence);
      rv_report (server->options.machine, server->options.id, body);
      rv_sleep_ms (REPORT_INTERVAL_MS);
    }
  return NULL;
}

static void
record_run (rv_server_t *server, const rv_request_t *request, rv_run_t *run)
{
  get_field (request->head, "X-Attempt-Id", run->id, sizeof run->id);
  get_field (request->head, "X-Caller-Service", run->caller, sizeof run->caller);
  snprintf (run->target, sizeof run->target, "%.*s", (int)sizeof run->target - 1,
            request->target);
  run->at_ms = rv_now_ms ();
  rv_record ("server %s runs %s %s %s, X-Caller-Service %s", server->options.id, run->id,
             request->method, request->target, run->caller);
  pthread_mutex_lock (&server->lock);
  if (server->run_count < RUNS_MAX)
    server->runs[server->run_count++] = *run;
  pthread_mutex_unlock (&server->lock);
}

static bool
answer_request (rv_server_t *server, int fd, const rv_request_t *request)
{
  char wanted[RV_ID_BYTES];
  char fields[512];
  rv_run_t run = { 0 };
  char *body;
  bool sent;

  if (strcmp (request->target, "/healthz") == 0)
    {
      snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", server->options.id);
      rv_record ("server %s answers a health check: %d", server->options.id,
                 server->leaving ? 503 : 200);
      return send_answer (fd, server->leaving ? 503 : 200, fields, "", 0);
    }
  if (get_field (request->head, "X-Target-Instance", wanted, sizeof wanted)
      && strcmp (wanted, server->options.id) != 0)
    {
      snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", server->options.id);
      rv_record ("server %s answers 421 to a request for %s", server->options.id, wanted);
      return send_answer (fd, 421, fields, "", 0);
    }
  record_run (server, request, &run);
  if (server->options.crash_target != NULL
      && strcmp (request->target, server->options.crash_target) == 0)
    {
      rv_record ("server %s crashes", server->options.id);
      rv_server_end (server);
      return false;
    }
  rv_sleep_ms (server->options.work_ms);
  if (server->ended)
    return false;
  body = malloc (server->options.answer_bytes + 1);
  if (body == NULL)
    return false;
  memset (body, 'a', server->options.answer_bytes);
  snprintf (
      fields, sizeof fields,
      "X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Response-Signature: 3e1b.07.%s\r\n",
      run.id, server->options.id, run.id);
  sent = send_answer (fd, 200, fields, body, server->options.answer_bytes);
  rv_record ("server %s has answered %s with 200, %zu bytes", server->options.id, run.id,
             server->options.answer_bytes);
  free (body);
  return sent;
}

static void *
serve_connection (void *argument)
{
  connection_t *connection = argument;
  rv_request_t *request = malloc (sizeof *request);

  while (request != NULL && read_request (connection->fd, request, NULL, 0)
         && answer_request (connection->server, connection->fd, request))
    ;
  shutdown (connection->fd, SHUT_RDWR);
  free (request);
  free (connection);
  return NULL;
}

static void *
accept_connections (void *argument)
{
  rv_server_t *server = argument;

  for (;;)
    {
      connection_t *connection = calloc (1, sizeof *connection);

      connection->server = server;
      connection->fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (connection->fd < 0)
        {
          free (connection);
          return NULL;
        }
      pthread_mutex_lock (&server->lock);
      if (server->connection_count < CONNECTIONS_MAX)
        server->connections[server->connection_count++] = connection->fd;
      pthread_mutex_unlock (&server->lock);
      start_thread (serve_connection, connection);
    }
}

rv_server_t *
rv_server_start (const rv_server_options_t *options)
{
  rv_server_t *server = calloc (1, sizeof *server);

  if (server == NULL)
    rv_fail ("no memory");
  server->options = *options;
  server->born = rv_unix_ms ();
  pthread_mutex_init (&server->lock, NULL);
  server->listener = listen_at (options->machine, PORT_SERVER);
  if (server->listener < 0)
    rv_fail ("no port for a server");
  rv_record ("server %s of service %s starts on machine %d", options->id,
             options->service, options->machine);
  start_thread (accept_connections, server);
  if (!options->silent)
    start_thread (send_reports, server);
  return server;
}

long
rv_server_leave (rv_server_t *server)
{
  char target[128];
  char body[64];
  int status;

  server->leaving = true;
  snprintf (target, sizeof target, "/v1/Instances.Deregister/%s", server->options.id);
  snprintf (body, sizeof body, "{\"born\":%lld}", server->born);
  status = call_node (server->options.machine, PORT_REPORTS, "POST", target, body);
  rv_record ("server %s deregisters -> %d", server->options.id, status);
  if (status != 200)
    rv_fail ("the deregistration is not acknowledged");
  return rv_now_ms ();
}

void
rv_server_end (rv_server_t *server)
{
  server->ended = true;
  shutdown (server->listener, SHUT_RDWR);
  close (server->listener);
  pthread_mutex_lock (&server->lock);
  for (size_t i = 0; i < server->connection_count; i++)
    shutdown (server->connections[i], SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
  rv_record ("server %s ends", server->options.id);
}

bool
rv_server_has_ended (const rv_server_t *server)
{
  return server->ended;
}

bool
rv_server_run (rv_server_t *server, size_t index, rv_run_t *out)
{
  bool found;

  pthread_mutex_lock (&server->lock);
  found = index < server->run_count;
  if (found)
    *out = server->runs[index];
  pthread_mutex_unlock (&server->lock);
  return found;
}

/* Clients. */

/* Reads the rest of a body, at most @call->read_bytes_per_s. */
static void
read_body (int fd, const rv_call_t *call, rv_answer_t *answer)
{
  char buffer[16384];
  size_t step = sizeof buffer;

  if (call->read_bytes_per_s > 0 && (size_t)call->read_bytes_per_s / 50 < step)
    step = (size_t)call->read_bytes_per_s / 50;
  while (answer->received < answer->length)
    {
      ssize_t count = recv (fd, buffer, step, 0);

      if (count <= 0)
        return;
      answer->received += (size_t)count;
      if (call->read_bytes_per_s > 0)
        rv_sleep_ms ((long)count * 1000 / call->read_bytes_per_s);
    }
}

static bool
send_body (int fd, size_t size)
{
  char part[4096];

  memset (part, 'b', sizeof part);
  while (size > 0)
    {
      size_t next = size < sizeof part ? size : sizeof part;

      if (!send_all (fd, part, next))
        return false;
      size -= next;
    }
  return true;
}

void
rv_call (const rv_call_t *call, rv_answer_t *answer)
{
  struct timeval timeout
      = { .tv_sec = call->timeout_ms / 1000, .tv_usec = call->timeout_ms % 1000 * 1000 };
  int fd = connect_to (call->machine, PORT_REQUESTS, call->segment_bytes,
                       call->window_bytes);
  char head[RV_HEAD_BYTES];
  char length[32];
  size_t used;
  size_t head_size;
  size_t total;

  *answer = (rv_answer_t){ 0 };
  answer->sent_ms = rv_now_ms ();
  answer->ended_ms = answer->sent_ms;
  if (fd < 0)
    {
      rv_record ("client: %s %s %s to machine %d: no connection", call->id, call->method,
                 call->target, call->machine);
      return;
    }
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  used = (size_t)snprintf (
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n",
      call->method, call->target, call->id, call->timeout_ms);
  if (strcmp (call->method, "POST") == 0)
    used += (size_t)snprintf (head + used, sizeof head - used, "Content-Length: %zu\r\n",
                              call->body_bytes);
  snprintf (head + used, sizeof head - used, "\r\n");
  rv_record ("client: %s %s %s sent to machine %d", call->id, call->method, call->target,
             call->machine);
  if (send_all (fd, head, strlen (head)) && send_body (fd, call->body_bytes))
    {
      head_size = read_head (fd, head, sizeof head, &total);
      if (head_size > 0)
        {
          answer->status = atoi (head + strlen ("HTTP/1.1 "));
          get_field (head, "Content-Length", length, sizeof length);
          answer->length = strtoul (length, NULL, 10);
          answer->received = total - head_size;
          read_body (fd, call, answer);
          answer->complete = answer->received == answer->length;
        }
    }
  answer->ended_ms = rv_now_ms ();
  close (fd);
  rv_record ("client: %s ends after %ld ms: status %d, %zu of %zu bytes of the body, %s",
             call->id, answer->ended_ms - answer->sent_ms, answer->status,
             answer->received, answer->length,
             answer->status == 0 ? "no answer"
             : answer->complete  ? "complete"
                                 : "NOT complete");
}
