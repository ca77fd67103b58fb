#define _GNU_SOURCE
#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

lab_store_t lab_store;
lab_ports_t lab_ports;
lab_machine_t lab_machines[LAB_MACHINES_MAX];
int lab_machine_count;
const char *lab_node_program = "target/filbertquay-node";
char lab_folder[LAB_TEXT];
int lab_heartbeat_ms = 1500, lab_drain_ms = 2000, lab_grace_ms = 6000;
double lab_memory_mb = 260;
lab_run_t *lab_runs;
size_t lab_run_count;
static size_t run_capacity;
pthread_mutex_t lab_runs_lock = PTHREAD_MUTEX_INITIALIZER;

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static long long started;

long long
lab_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
lab_sleep (int ms)
{
  struct timespec left = { ms / 1000, (long)(ms % 1000) * 1000000 };

  while (nanosleep (&left, &left) < 0 && errno == EINTR)
    ;
}

uint64_t
lab_random (uint64_t below)
{
  static __thread uint64_t state;

  if (state == 0)
    {
      struct timespec now;

      clock_gettime (CLOCK_REALTIME, &now);
      state = ((uint64_t)now.tv_nsec << 20) ^ (uint64_t)(uintptr_t)&state
              ^ (uint64_t)getpid ();
      state |= 1;
    }
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return below == 0 ? 0 : state % below;
}

void
lab_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", (double)(lab_ms () - started) / 1000);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

void
lab_fail (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  lab_end_all ();
  exit (2);
}

uint64_t
lab_hash (const void *data, size_t size)
{
  const unsigned char *bytes = data;
  uint64_t hash = 1469598103934665603ULL;

  for (size_t i = 0; i < size; i++)
    hash = (hash ^ bytes[i]) * 1099511628211ULL;
  return hash;
}

/* Sockets and messages. */

int
lab_write (int fd, const void *data, size_t size)
{
  const char *at = data;

  while (size > 0)
    {
      ssize_t sent = send (fd, at, size, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return -1;
      at += sent;
      size -= (size_t)sent;
    }
  return 0;
}

static void
set_address (struct sockaddr_in *out, const char *ip, int port)
{
  *out
      = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &out->sin_addr);
}

int
lab_connect (const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int error = 0;
  int one = 1;
  socklen_t length = sizeof error;
  struct pollfd wait = { .fd = fd, .events = POLLOUT };

  set_address (&address, ip, port);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  if (poll (&wait, 1, timeout_ms) <= 0
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error != 0)
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

int
lab_listen (const char *ip, int port)
{
  struct sockaddr_in address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  set_address (&address, ip, port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, 512) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

void
lab_message_clear (lab_message_t *message)
{
  free (message->head);
  free (message->body);
  *message = (lab_message_t){ 0 };
}

const char *
lab_field (const lab_message_t *message, const char *name, char *out, size_t size)
{
  size_t length = strlen (name);

  out[0] = '\0';
  for (const char *line = message->head; line != NULL && *line != '\0';)
    {
      const char *end = strstr (line, "\r\n");

      if (end == NULL)
        break;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;
          size_t value_size;

          while (*value == ' ')
            value++;
          value_size = (size_t)(end - value);
          if (value_size >= size)
            value_size = size - 1;
          memcpy (out, value, value_size);
          out[value_size] = '\0';
          return out;
        }
      line = end + 2;
    }
  return out;
}

/* Returns the bytes read, 0 at a clean end, -1 at a reset, -2 when the time is over. */
static ssize_t
read_some (int fd, char *out, size_t size, long long until)
{
  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      long long left = until - lab_ms ();
      int ready;
      ssize_t count;

      if (left <= 0)
        return -2;
      ready = poll (&wait, 1, (int)(left > 1000000 ? 1000000 : left));
      if (ready < 0 && errno == EINTR)
        continue;
      if (ready == 0)
        return -2;
      count = recv (fd, out, size, 0);
      if (count < 0 && errno == EINTR)
        continue;
      return count;
    }
}

/* Heads are read byte by byte in small pieces by peeking, so that nothing of the next
 * message is taken. */
static ssize_t
read_head (int fd, char *out, size_t size, long long until, bool *read_any)
{
  size_t used = 0;

  for (;;)
    {
      struct pollfd wait = { .fd = fd, .events = POLLIN };
      long long left = until - lab_ms ();
      ssize_t peeked;
      char *end;
      size_t take;
      int ready;

      if (left <= 0 || used >= size - 1)
        return -1;
      ready = poll (&wait, 1, (int)(left > 1000000 ? 1000000 : left));
      if (ready < 0 && errno == EINTR)
        continue;
      if (ready == 0)
        return -1;
      peeked = recv (fd, out + used, size - 1 - used, MSG_PEEK);
      if (peeked == 0)
        return used == 0 ? 0 : -1;
      if (peeked < 0)
        return -1;
      *read_any = true;
      out[used + (size_t)peeked] = '\0';
      end = memmem (out, used + (size_t)peeked, "\r\n\r\n", 4);
      take = end != NULL ? (size_t)(end + 4 - out) - used : (size_t)peeked;
      if (recv (fd, out + used, take, 0) != (ssize_t)take)
        return -1;
      used += take;
      if (end != NULL)
        {
          out[used] = '\0';
          return (ssize_t)used;
        }
    }
}

static int
read_bytes (int fd, char **body, size_t *size, size_t wanted, long long until)
{
  *body = realloc (*body, *size + wanted + 1);
  while (wanted > 0)
    {
      ssize_t count = read_some (fd, *body + *size, wanted, until);

      if (count <= 0)
        return -1;
      *size += (size_t)count;
      wanted -= (size_t)count;
    }
  (*body)[*size] = '\0';
  return 0;
}

static int
read_line (int fd, char *out, size_t size, long long until)
{
  size_t used = 0;

  while (used < size - 1)
    {
      if (read_some (fd, out + used, 1, until) != 1)
        return -1;
      if (out[used++] == '\n')
        {
          out[used] = '\0';
          return 0;
        }
    }
  return -1;
}

static int
read_chunks (int fd, lab_message_t *out, long long until)
{
  char line[256];

  for (;;)
    {
      size_t chunk;

      if (read_line (fd, line, sizeof line, until) < 0)
        return -1;
      chunk = strtoul (line, NULL, 16);
      if (chunk == 0)
        break;
      if (read_bytes (fd, &out->body, &out->size, chunk, until) < 0
          || read_line (fd, line, sizeof line, until) < 0)
        return -1;
    }
  return read_line (fd, line, sizeof line, until);
}

/* Of the server that this thread works for; it may begin to work before it has the body.
 */
static __thread lab_app_t *slow_reader;
static __thread bool has_begun;
static __thread bool was_rejected;
static void begin_at_head (
    lab_app_t *app, int fd, lab_message_t *request, size_t size, long long until);

int
lab_read (int fd, lab_message_t *out, bool answer, long long until, bool *read_any)
{
  static __thread char head[65536];
  char value[LAB_TEXT];
  char *end;
  ssize_t size = read_head (fd, head, sizeof head, until, read_any);

  *out = (lab_message_t){ 0 };
  if (size <= 0)
    return (int)size;
  end = strstr (head, "\r\n");
  snprintf (out->first, sizeof out->first, "%.*s", (int)(end - head), head);
  head[size - 2] = '\0';
  out->head = strdup (end + 2);
  if (answer)
    {
      if (sscanf (out->first, "HTTP/1.%*d %d", &out->status) != 1)
        return -1;
      if (out->status == 204 || out->status == 304)
        {
          out->complete = true;
          return 1;
        }
    }
  lab_field (out, "Transfer-Encoding", value, sizeof value);
  if (strcasecmp (value, "chunked") == 0)
    {
      out->has_length = true;
      if (read_chunks (fd, out, until) < 0)
        return -1;
      out->complete = true;
      return 1;
    }
  lab_field (out, "Content-Length", value, sizeof value);
  out->has_length = value[0] != '\0';
  if (slow_reader != NULL && !answer
      && slow_reader->read_pause_ms + slow_reader->early > 0)
    begin_at_head (slow_reader, fd, out, strtoul (value, NULL, 10), until);
  if (out->has_length
      && read_bytes (fd, &out->body, &out->size, strtoul (value, NULL, 10) - out->size,
                     until)
             < 0)
    return -1;
  out->complete = out->has_length || !answer;
  return 1;
}

/* The store. */

typedef struct
{
  char table[64];
  char key[208];
  char *value; /* base64; NULL: removed */
  long long version;
} row_t;

static row_t rows[512];
static size_t row_count;
static long long version;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static void
put_row (const char *table, const char *key, const char *value)
{
  row_t *row = NULL;

  for (size_t i = 0; i < row_count; i++)
    {
      if (strcmp (rows[i].table, table) == 0 && strcmp (rows[i].key, key) == 0)
        row = &rows[i];
    }
  if (row == NULL)
    row = &rows[row_count++];
  snprintf (row->table, sizeof row->table, "%s", table);
  snprintf (row->key, sizeof row->key, "%s", key);
  free (row->value);
  row->value = value == NULL ? NULL : strdup (value);
  row->version = version;
}

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = malloc (size * 2 + 8);
  size_t used = 0;

  for (size_t i = 0; i < size; i += 3)
    {
      unsigned int bits = (unsigned char)text[i] << 16;

      if (i + 1 < size)
        bits |= (unsigned int)(unsigned char)text[i + 1] << 8;
      if (i + 2 < size)
        bits |= (unsigned char)text[i + 2];
      out[used++] = digits[bits >> 18 & 63];
      out[used++] = digits[bits >> 12 & 63];
      out[used++] = i + 1 < size ? digits[bits >> 6 & 63] : '=';
      out[used++] = i + 2 < size ? digits[bits & 63] : '=';
    }
  out[used] = '\0';
  return out;
}

void
lab_store_put (const char *table, const char *key, const char *value)
{
  char *encoded = encode_base64 (value);

  pthread_mutex_lock (&store_lock);
  version++;
  put_row (table, key, encoded);
  pthread_cond_broadcast (&store_changed);
  pthread_mutex_unlock (&store_lock);
  free (encoded);
}

static void
parameter (const char *target, const char *name, char *out, size_t size)
{
  char wanted[64];
  const char *at;

  snprintf (wanted, sizeof wanted, "%s=", name);
  out[0] = '\0';
  at = strstr (target, wanted);
  if (at == NULL)
    return;
  at += strlen (wanted);
  snprintf (out, size, "%.*s", (int)strcspn (at, "& "), at);
}

static json_t *
row_json (const row_t *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:I}", "table", row->table, "part", "", "key",
                            row->key, "ver", (json_int_t)row->version);

  if (row->value == NULL)
    json_object_set_new (json, "deleted", json_true ());
  else
    json_object_set_new (json, "value", json_string (row->value));
  return json;
}

static json_t *
collect (const char *table, const char *from, long long after, bool feed)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < row_count; i++)
    {
      if (strcmp (rows[i].table, table) != 0)
        continue;
      if (feed ? rows[i].version > after
               : rows[i].value != NULL && strcmp (rows[i].key, from) >= 0)
        json_array_append_new (list, row_json (&rows[i]));
    }
  return list;
}

static int
apply (const lab_message_t *request)
{
  json_t *root
      = json_loadb (request->body == NULL ? "" : request->body, request->size, 0, NULL);
  json_t *entry;
  size_t i;

  if (root == NULL)
    return 400;
  version++;
  json_array_foreach (json_object_get (root, "put"), i, entry)
      put_row (json_string_value (json_object_get (entry, "table")),
               json_string_value (json_object_get (entry, "key")),
               json_string_value (json_object_get (entry, "value")));
  json_array_foreach (json_object_get (root, "remove"), i, entry)
      put_row (json_string_value (json_object_get (entry, "table")),
               json_string_value (json_object_get (entry, "key")), NULL);
  pthread_cond_broadcast (&store_changed);
  json_decref (root);
  return 200;
}

static void
wait_for_change (const char *table, long long after, long long until)
{
  for (;;)
    {
      json_t *list = collect (table, "", after, true);
      size_t count = json_array_size (list);
      struct timespec at;
      long long left = until - lab_ms ();

      json_decref (list);
      if (count > 0 || left <= 0)
        return;
      clock_gettime (CLOCK_REALTIME, &at);
      at.tv_sec += left / 1000;
      at.tv_nsec += left % 1000 * 1000000;
      if (at.tv_nsec >= 1000000000)
        {
          at.tv_sec++;
          at.tv_nsec -= 1000000000;
        }
      pthread_cond_timedwait (&store_changed, &store_lock, &at);
    }
}

/* Returns whether the connection goes on. */
static bool
answer_store_call (int fd, const lab_message_t *request)
{
  char table[64], from[256], number[32], head[256];
  json_t *body = NULL;
  char *text;
  int status = 200;
  int failed;

  pthread_mutex_lock (&store_lock);
  lab_store.calls++;
  if (lab_store.mode == LAB_STORE_BUSY)
    status = 503;
  else if (strncmp (request->first, "POST /v1/rows-tx", 16) == 0)
    status = apply (request);
  else if (strstr (request->first, "/v1/rows-get") != NULL)
    {
      parameter (request->first, "table", table, sizeof table);
      parameter (request->first, "from", from, sizeof from);
      body = json_pack ("{s:o,s:b}", "rows", collect (table, from, 0, false), "has_more",
                        0);
    }
  else if (strstr (request->first, "/v1/rows-feed") != NULL)
    {
      long long after, wait;

      parameter (request->first, "table", table, sizeof table);
      parameter (request->first, "after", number, sizeof number);
      after = strtoll (number, NULL, 10);
      parameter (request->first, "wait_ms", number, sizeof number);
      wait = strtoll (number, NULL, 10);
      wait_for_change (table, after, lab_ms () + wait);
      body = json_pack ("{s:o}", "rows", collect (table, "", after, true));
    }
  else
    status = 404;
  if (body == NULL)
    body = json_object ();
  json_object_set_new (body, "ver", json_integer ((json_int_t)version));
  json_object_set_new (body, "now", json_sprintf ("%lldms", lab_ms ()));
  if (lab_store.mode == LAB_STORE_SILENT || lab_ms () < lab_store.lose_until)
    {
      pthread_mutex_unlock (&store_lock);
      json_decref (body);
      return false;
    }
  pthread_mutex_unlock (&store_lock);
  lab_sleep (4);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  snprintf (head, sizeof head,
            "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: "
            "1\r\nContent-Length: "
            "%zu\r\n\r\n",
            status, strlen (text));
  failed = lab_write (fd, head, strlen (head)) < 0
           || lab_write (fd, text, strlen (text)) < 0;
  free (text);
  return !failed;
}

static void *
serve_store (void *context)
{
  int fd = (int)(intptr_t)context;
  bool any;

  for (;;)
    {
      lab_message_t request;
      bool go_on;

      if (lab_read (fd, &request, false, lab_ms () + 600000, &any) <= 0)
        break;
      go_on = answer_store_call (fd, &request);
      lab_message_clear (&request);
      if (!go_on)
        {
          char rest[64];

          /* This connection delivers nothing any more. */
          while (read_some (fd, rest, sizeof rest, lab_ms () + 600000) > 0)
            ;
          break;
        }
    }
  close (fd);
  return NULL;
}

typedef struct
{
  int listener;
  void *(*serve) (void *context);
} acceptor_t;

static void
start_thread (void *(*run) (void *context), void *context)
{
  pthread_t thread;
  pthread_attr_t attributes;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, 512 * 1024);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    lab_fail ("no thread");
  pthread_detach (thread);
}

static void *
accept_all (void *context)
{
  acceptor_t *acceptor = context;
  int fd;
  int one = 1;

  while ((fd = accept4 (acceptor->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (acceptor->serve, (void *)(intptr_t)fd);
    }
  return NULL;
}

void
lab_store_start (const char *ip, int port)
{
  acceptor_t *acceptor = calloc (1, sizeof *acceptor);

  snprintf (lab_store.ip, sizeof lab_store.ip, "%s", ip);
  lab_store.port = port;
  acceptor->listener = lab_listen (ip, port);
  acceptor->serve = serve_store;
  if (acceptor->listener < 0)
    lab_fail ("can't listen as the store");
  start_thread (accept_all, acceptor);
}

/* Machines and nodes. */

static bool
port_is_free (int port)
{
  for (int i = 1; i <= LAB_MACHINES_MAX + 1; i++)
    {
      char ip[32];
      int fd;

      snprintf (ip, sizeof ip, "127.0.0.%d", 20 + i);
      fd = lab_listen (ip, port);
      if (fd < 0)
        return false;
      close (fd);
    }
  return true;
}

void
lab_open (const char *record_path)
{
  int base = 0;

  signal (SIGPIPE, SIG_IGN);
  started = lab_ms ();
  record = fopen (record_path, "w");
  if (record == NULL)
    {
      perror (record_path);
      exit (2);
    }
  snprintf (lab_folder, sizeof lab_folder, "%s/fq-review-XXXXXX",
            getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  if (mkdtemp (lab_folder) == NULL)
    lab_fail ("no temporary folder");
  for (int tries = 0; tries < 50 && base == 0; tries++)
    {
      int candidate = 11000 + (int)lab_random (1900) * 10;

      base = candidate;
      for (int i = 0; i < 7 && base != 0; i++)
        {
          if (!port_is_free (candidate + i))
            base = 0;
        }
    }
  if (base == 0)
    lab_fail ("no free ports");
  lab_ports
      = (lab_ports_t){ base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6 };
}

lab_machine_t *
lab_add_machine (const char *service, const char *zone)
{
  lab_machine_t *machine = &lab_machines[lab_machine_count++];

  machine->number = lab_machine_count;
  snprintf (machine->ip, sizeof machine->ip, "127.0.0.%d", 20 + machine->number);
  snprintf (machine->service, sizeof machine->service, "%s", service);
  snprintf (machine->zone, sizeof machine->zone, "%s", zone);
  snprintf (machine->settings, sizeof machine->settings, "%.200s/m%d.json", lab_folder,
            machine->number);
  snprintf (machine->log, sizeof machine->log, "%.200s/m%d.log", lab_folder,
            machine->number);
  return machine;
}

void
lab_write_settings (lab_machine_t *machine)
{
  FILE *file = fopen (machine->settings, "w");

  if (file == NULL)
    lab_fail ("can't write settings");
  fprintf (file,
           "{ \"node\": \"sidecar-%d\", \"zone\": \"%s\", \"ip\": \"%s\", \"store\": "
           "\"%s:%d\",\n"
           "  \"seeds\": [],\n"
           "  \"listen\": { \"requests\": \"%s:%d\", \"readiness\": \"%s:%d\", "
           "\"reports\": \"%s:%d\",\n"
           "    \"nodes\": \"%s:%d\", \"metrics_port\": %d },\n"
           "  \"server\": { \"service\": \"%s\", \"address\": \"%s:%d\",\n"
           "    \"report_interval\": \"%dms\", \"drain\": \"%dms\" },\n"
           "  \"retries\": { \"ratio\": 0.2, \"window\": \"10s\", \"slack\": 48 },\n"
           "  \"limits\": { \"memory_mb\": %g, \"descriptors\": 4100, \"grace\": "
           "\"%dms\" } }\n",
           machine->number, machine->zone, machine->ip, lab_store.ip, lab_store.port,
           machine->ip, lab_ports.requests, machine->ip, lab_ports.readiness, machine->ip,
           lab_ports.reports, machine->ip, lab_ports.nodes, lab_ports.metrics,
           machine->service, machine->ip, lab_ports.server, lab_heartbeat_ms,
           lab_drain_ms, lab_memory_mb, lab_grace_ms);
  fclose (file);
}

void
lab_node_start (lab_machine_t *machine)
{
  char variable[LAB_TEXT + 64];
  char log[LAB_TEXT + 16];
  const char *search = getenv ("PATH");
  char path[4096];
  pid_t pid;

  snprintf (variable, sizeof variable, "FILBERTQUAY_NODE_FILE=%s", machine->settings);
  snprintf (path, sizeof path, "PATH=%s", search == NULL ? "/usr/bin:/bin" : search);
  snprintf (log, sizeof log, "%s.%u", machine->log, ++machine->starts);
  machine->expected_end = false;
  pid = fork ();
  if (pid == 0)
    {
      char *const arguments[] = { (char *)lab_node_program, NULL };
      char *const environment[] = { variable, path, "LANG=C.UTF-8", NULL };
      int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL); /* also when this process is killed */
      dup2 (fd, 1);
      dup2 (fd, 2);
      execve (lab_node_program, arguments, environment);
      _exit (127);
    }
  machine->pid = pid;
}

void
lab_node_signal (lab_machine_t *machine, int number)
{
  if (machine->pid > 0)
    kill (machine->pid, number);
}

int
lab_node_wait (lab_machine_t *machine)
{
  int status = 0;

  if (machine->pid > 0)
    waitpid (machine->pid, &status, 0);
  machine->pid = 0;
  return status;
}

bool
lab_node_ended (lab_machine_t *machine)
{
  int status;

  if (machine->pid <= 0 || waitpid (machine->pid, &status, WNOHANG) != machine->pid)
    return false;
  lab_record ("node %d ended by itself, status %x", machine->number,
              (unsigned int)status);
  machine->pid = 0;
  return true;
}

bool
lab_node_ready (lab_machine_t *machine)
{
  lab_message_t answer = { 0 };
  bool any = false;
  bool ready = false;
  int fd = lab_connect (machine->ip, lab_ports.readiness, 500);
  static const char request[]
      = "GET /v1/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";

  if (fd < 0)
    return false;
  if (lab_write (fd, request, strlen (request)) == 0
      && lab_read (fd, &answer, true, lab_ms () + 1000, &any) == 1)
    ready = answer.status == 200;
  lab_message_clear (&answer);
  close (fd);
  return ready;
}

/* KEEP_LOGS=1 keeps the settings and logs of the nodes. */
static void
remove_folder (void)
{
  char path[LAB_TEXT + 32];

  if (getenv ("KEEP_LOGS") != NULL || lab_folder[0] == '\0')
    return;
  for (int i = 0; i < lab_machine_count; i++)
    {
      unlink (lab_machines[i].settings);
      for (unsigned int start = 1; start <= lab_machines[i].starts; start++)
        {
          snprintf (path, sizeof path, "%s.%u", lab_machines[i].log, start);
          unlink (path);
        }
    }
  rmdir (lab_folder);
}

void
lab_end_all (void)
{
  for (int i = 0; i < lab_machine_count; i++)
    {
      if (lab_machines[i].pid > 0)
        {
          kill (lab_machines[i].pid, SIGKILL);
          waitpid (lab_machines[i].pid, NULL, 0);
        }
      lab_machines[i].pid = 0;
    }
  remove_folder ();
}

/* Application servers. */

size_t
lab_answer_body (const char *id, char *out, size_t size)
{
  size_t wanted = 1000 + lab_hash (id, strlen (id)) % 30000;
  size_t used = (size_t)snprintf (out, size, "answer to %s:", id);

  if (wanted > size)
    wanted = size;
  while (used < wanted)
    {
      out[used] = (char)('a' + used % 23);
      used++;
    }
  return used;
}

static void
record_run (lab_app_t *app, const lab_message_t *request, const char *id)
{
  lab_run_t *run;

  pthread_mutex_lock (&lab_runs_lock);
  if (lab_run_count == run_capacity)
    {
      run_capacity = run_capacity == 0 ? 4096 : run_capacity * 2;
      lab_runs = realloc (lab_runs, run_capacity * sizeof *lab_runs);
    }
  run = &lab_runs[lab_run_count++];
  *run = (lab_run_t){ .at = lab_ms (), .drain_acked = app->drain_acked };
  snprintf (run->id, sizeof run->id, "%s", id);
  snprintf (run->app, sizeof run->app, "%s", app->id);
  snprintf (run->service, sizeof run->service, "%s", app->service);
  lab_field (request, "X-Caller-Service", run->caller, sizeof run->caller);
  run->body_hash = lab_hash (request->body == NULL ? "" : request->body, request->size);
  pthread_mutex_unlock (&lab_runs_lock);
  lab_record ("run %s at %s of %s for %s", id, app->id, app->service, run->caller);
  if (app->on_run != NULL)
    app->on_run (app, request, id);
}

static bool
chance (int of_thousand)
{
  return of_thousand > 0 && lab_random (1000) < (uint64_t)of_thousand;
}

static bool
send_status (int fd, int status, const char *id, const char *fields)
{
  char text[1024];

  snprintf (text, sizeof text, "HTTP/1.1 %d X\r\n%s%s%s%sContent-Length: 0\r\n\r\n",
            status, id[0] == '\0' ? "" : "X-Attempt-Id: ", id,
            id[0] == '\0' ? "" : "\r\n", fields);
  return lab_write (fd, text, strlen (text)) == 0;
}

static void
reject_early (lab_app_t *app,
              int fd,
              lab_message_t *request,
              const char *id,
              size_t size,
              long long until)
{
  was_rejected = true;
  if (read_bytes (fd, &request->body, &request->size, 16384, until) < 0
      || !send_status (fd, 503, id, "X-Not-Executed: 1\r\n"))
    return;
  lab_record ("%s rejects %s early and keeps its connection", app->id, id);
  lab_sleep (app->early_pause_ms);
  if (read_bytes (fd, &request->body, &request->size, (size - 16384) / 2, until) < 0)
    return;
  lab_sleep (app->early_pause_ms);
  lab_record ("%s reads the rest of the body of %s", app->id, id);
}

static void
begin_at_head (
    lab_app_t *app, int fd, lab_message_t *request, size_t size, long long until)
{
  char id[64];

  if (size < 100000)
    return;
  lab_field (request, "X-Attempt-Id", id, sizeof id);
  if (chance (app->early))
    {
      reject_early (app, fd, request, id, size, until);
      return;
    }
  if (app->read_pause_ms == 0)
    return;
  has_begun = true;
  record_run (app, request, id);
  if (read_bytes (fd, &request->body, &request->size, 16384, until) < 0)
    return;
  lab_sleep (app->read_pause_ms);
  lab_record ("%s reads on the body of %s", app->id, id);
}

/* Returns whether the connection goes on. */
static bool
send_large_answer (const lab_app_t *app, int fd, const char *id)
{
  char head[512];
  char *body = malloc (app->answer_bytes);
  bool sent;

  if (body == NULL)
    return false;
  memset (body, 'a', app->answer_bytes);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
            "Content-Length: %zu\r\n\r\n",
            id, id, app->answer_bytes);
  sent = lab_write (fd, head, strlen (head)) == 0
         && lab_write (fd, body, app->answer_bytes) == 0;
  free (body);
  return sent;
}

/* Returns whether the connection goes on. */
static bool
send_answer (lab_app_t *app, int fd, const char *id)
{
  static __thread char body[65536];
  char head[512];
  size_t size = lab_answer_body (id, body, sizeof body);
  bool unframed = chance (app->unframed);
  char length[64] = "";

  if (!unframed)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", size);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n%s\r\n",
            id, id, length);
  if (chance (app->drop))
    return false;
  if (chance (app->junk))
    {
      lab_write (fd, "junk that is no answer\r\n\r\n", 26);
      return false;
    }
  if (chance (app->truncate))
    size /= 2;
  if (lab_write (fd, head, strlen (head)) < 0 || lab_write (fd, body, size) < 0)
    return false;
  if (unframed)
    return false;
  if (size < 500 || strlen (length) == 0)
    return false;
  {
    size_t whole = lab_answer_body (id, body, sizeof body);

    if (whole != size)
      return false;
    if (chance (app->extra_late))
      {
        lab_sleep ((int)lab_random (120));
        return lab_write (fd, head, strlen (head)) == 0
               && lab_write (fd, body, size) == 0;
      }
    if (chance (app->extra))
      return lab_write (fd, head, strlen (head)) == 0 && lab_write (fd, body, size) == 0;
  }
  return true;
}

typedef struct
{
  lab_app_t *app;
  int fd;
} app_connection_t;

static bool
serve_app_request (lab_app_t *app, int fd, const lab_message_t *request)
{
  char id[64], target[64], fields[128];

  if (strncmp (request->first, "GET /healthz", 12) == 0)
    {
      snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", app->id);
      return send_status (fd, app->draining && !app->health_lies ? 503 : 200, "", fields);
    }
  lab_field (request, "X-Attempt-Id", id, sizeof id);
  lab_field (request, "X-Target-Instance", target, sizeof target);
  if (id[0] == '\0')
    return send_status (fd, 400, "", "X-Not-Executed: 1\r\n");
  if (target[0] != '\0' && strcmp (target, app->id) != 0)
    {
      lab_record ("421 %s at %s, meant for %s", id, app->id, target);
      return send_status (fd, 421, id, "X-Not-Executed: 1\r\n");
    }
  if (!has_begun && chance (app->refuse))
    return send_status (fd, 503, id, "X-Not-Executed: 1\r\n");
  if (!has_begun)
    record_run (app, request, id);
  lab_sleep (app->work_ms);
  if (chance (app->lose))
    {
      char rest[64];

      while (read_some (fd, rest, sizeof rest, lab_ms () + 60000) > 0)
        ;
      return false;
    }
  if (app->answer_bytes > 0)
    return send_large_answer (app, fd, id);
  return send_answer (app, fd, id);
}

static void *
serve_app (void *context)
{
  app_connection_t *connection = context;
  lab_app_t *app = connection->app;
  int fd = connection->fd;
  bool any;

  free (connection);
  for (;;)
    {
      lab_message_t request;
      bool go_on;
      int result;

      slow_reader = app;
      has_begun = false;
      was_rejected = false;
      result = lab_read (fd, &request, false, lab_ms () + 10000, &any);
      if (result < 0 && has_begun)
        lab_record ("%s: the connection broke before the body was read, after %zu bytes",
                    app->id, request.size);
      if (result <= 0)
        break;
      go_on = !app->stopped && (was_rejected || serve_app_request (app, fd, &request));
      lab_message_clear (&request);
      if (!go_on)
        break;
    }
  pthread_mutex_lock (&app->lock);
  for (int i = 0; i < app->fd_count; i++)
    {
      if (app->fds[i] == fd)
        app->fds[i] = app->fds[--app->fd_count];
    }
  close (fd);
  pthread_mutex_unlock (&app->lock);
  return NULL;
}

static void *
accept_app (void *context)
{
  lab_app_t *app = context;
  int fd;
  int one = 1;

  while ((fd = accept4 (app->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      app_connection_t *connection = calloc (1, sizeof *connection);

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      connection->app = app;
      connection->fd = fd;
      pthread_mutex_lock (&app->lock);
      if (app->stopped || app->fd_count == 4096)
        {
          close (fd);
          pthread_mutex_unlock (&app->lock);
          free (connection);
          continue;
        }
      app->fds[app->fd_count++] = fd;
      pthread_mutex_unlock (&app->lock);
      start_thread (serve_app, connection);
    }
  return NULL;
}

static bool
post (lab_machine_t *machine, const char *target, const char *body)
{
  char text[2048];
  lab_message_t answer = { 0 };
  bool any = false;
  bool acked = false;
  int fd = lab_connect (machine->ip, lab_ports.reports, 1000);

  if (fd < 0)
    return false;
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: node\r\nContent-Type: "
            "application/json\r\nContent-Length: "
            "%zu\r\nConnection: close\r\n\r\n%s",
            target, strlen (body), body);
  if (lab_write (fd, text, strlen (text)) == 0
      && lab_read (fd, &answer, true, lab_ms () + 1000, &any) == 1)
    acked = answer.status / 100 == 2;
  lab_message_clear (&answer);
  close (fd);
  return acked;
}

bool
lab_app_report (lab_app_t *app)
{
  char target[128], body[1024];
  bool draining = app->draining;

  snprintf (target, sizeof target, "/v1/Instances.Heartbeat/%s", app->id);
  snprintf (body, sizeof body,
            "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":\"%s\","
            "\"version\":\"v1\","
            "\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%u,"
            "\"warmup_left\":\"0ms\"}}",
            app->machine->ip, lab_ports.server, app->born, app->service,
            app->machine->zone, app->slots, draining ? "draining" : "ready",
            ++app->sequence);
  if (!post (app->machine, target, body))
    return false;
  if (draining && app->drain_acked == 0)
    {
      app->drain_acked = lab_ms ();
      lab_record ("%s: draining acknowledged", app->id);
    }
  return true;
}

bool
lab_app_deregister (lab_app_t *app)
{
  char target[128], body[64];

  snprintf (target, sizeof target, "/v1/Instances.Deregister/%s", app->id);
  snprintf (body, sizeof body, "{\"born\":%lld}", app->born);
  if (!post (app->machine, target, body))
    return false;
  if (app->drain_acked == 0)
    app->drain_acked = lab_ms ();
  lab_record ("%s: deregistration acknowledged", app->id);
  return true;
}

static void *
report_all (void *context)
{
  lab_app_t *app = context;

  while (!app->stopped)
    {
      if (app->reports)
        lab_app_report (app);
      for (int i = 0; i < lab_heartbeat_ms / 50 && !app->stopped; i++)
        lab_sleep (50);
    }
  return NULL;
}

lab_app_t *
lab_app_start (lab_machine_t *machine, const char *service, const char *id, int work_ms)
{
  lab_app_t *app = calloc (1, sizeof *app);
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  app->machine = machine;
  snprintf (app->service, sizeof app->service, "%s", service);
  snprintf (app->id, sizeof app->id, "%s", id);
  app->born = (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  app->slots = 100;
  app->work_ms = work_ms;
  app->reports = true;
  pthread_mutex_init (&app->lock, NULL);
  app->listener = lab_listen (machine->ip, lab_ports.server);
  if (app->listener < 0)
    lab_fail ("can't listen as server %s", id);
  lab_record ("server %s of %s starts at machine %d", id, service, machine->number);
  start_thread (accept_app, app);
  start_thread (report_all, app);
  return app;
}

void
lab_app_crash (lab_app_t *app)
{
  struct linger reset = { 1, 0 };

  pthread_mutex_lock (&app->lock);
  app->stopped = true;
  shutdown (app->listener, SHUT_RDWR);
  close (app->listener);
  for (int i = 0; i < app->fd_count; i++)
    {
      setsockopt (app->fds[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown (app->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&app->lock);
  lab_record ("server %s ends", app->id);
}

/* Clients. */

static int
send_body (int fd, const char *body, size_t size, bool chunked, int pace_ms)
{
  size_t part = pace_ms > 0 ? 8192 : 65536;

  for (size_t at = 0; at < size; at += part)
    {
      size_t now = size - at < part ? size - at : part;
      char line[32];

      if (chunked)
        {
          snprintf (line, sizeof line, "%zx\r\n", now);
          if (lab_write (fd, line, strlen (line)) < 0)
            return -1;
        }
      if (lab_write (fd, body + at, now) < 0
          || (chunked && lab_write (fd, "\r\n", 2) < 0))
        return -1;
      if (pace_ms > 0)
        lab_sleep (pace_ms);
    }
  return chunked ? lab_write (fd, "0\r\n\r\n", 5) : 0;
}

void
lab_request (lab_client_t *client,
             lab_request_t *request,
             const char *host,
             const char *path,
             size_t size,
             int time_limit_ms,
             bool chunked,
             int pace_ms)
{
  static __thread char wanted[65536];
  char head[1024], framing[64] = "", value[LAB_TEXT];
  char *body = malloc (size + 1);
  lab_message_t answer = { 0 };
  long long until;
  int result = -1;
  bool failed;

  for (size_t i = 0; i < size; i++)
    body[i] = (char)('A' + (i + (size_t)request->id[0]) % 26);
  request->body_hash = lab_hash (body, size);
  request->machine = client->machine->number;
  request->status = 0;
  request->kept = client->fd >= 0 && client->used;
  if (client->fd < 0)
    {
      client->fd = lab_connect (client->machine->ip, lab_ports.requests, 1000);
      client->used = false;
    }
  request->connected = client->fd >= 0;
  request->sent = lab_ms ();
  until = request->sent + time_limit_ms;
  if (!request->connected)
    {
      request->ended = lab_ms ();
      free (body);
      return;
    }
  if (size > 0 && chunked)
    snprintf (framing, sizeof framing, "Transfer-Encoding: chunked\r\n");
  else if (request->kind != 's')
    snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", size);
  snprintf (
      head, sizeof head,
      "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
      request->kind == 's' ? "GET" : "POST", path, host, request->id, time_limit_ms,
      framing);
  failed = lab_write (client->fd, head, strlen (head)) < 0
           || (size > 0 && send_body (client->fd, body, size, chunked, pace_ms) < 0);
  request->whole = failed ? 0 : lab_ms ();
  free (body);
  result = lab_read (client->fd, &answer, true, until, &request->read_any);
  request->ended = lab_ms ();
  client->used = true;
  if (result == 1 && answer.complete)
    {
      size_t wanted_size = lab_answer_body (request->id, wanted, sizeof wanted);
      char signature[LAB_TEXT];

      request->status = answer.status;
      snprintf (signature, sizeof signature, "s.%s", request->id);
      request->right
          = answer.size == wanted_size && memcmp (answer.body, wanted, wanted_size) == 0
            && strcmp (lab_field (&answer, "X-Response-Signature", value, sizeof value),
                       signature)
                   == 0;
      lab_field (&answer, "Connection", value, sizeof value);
    }
  if (result != 1 || !answer.complete || strcasecmp (value, "close") == 0)
    {
      close (client->fd);
      client->fd = -1;
    }
  lab_message_clear (&answer);
}
