/**
 * DOC: A randomized soak: real processes on loopback, faults from outside, and the
 * promises checked from what clients and servers see.
 *
 * usage: fq-soak BUILD SEED SECONDS [NODES]. Two machines of service "front", the others
 * of "back"; a proxy stands before each server and before the store. Faults come in
 * series and overlap: processes are killed, stopped gracefully, paused and restarted,
 * servers drain, connections are delayed, reset, cut one way or silenced, the store
 * refuses, the configuration changes. Exit status 0: every promise held. All processes
 * that it started are ended by their ids. The same seed gives the same faults at the same
 * times.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "filbertquay/errors.h"
#include "http/client.h"
#include "util/base64.h"
#include "util/map.h"
#include "util/random.h"
#include "util/text.h"

#define NODES_MAX 64
#define NODES_DEFAULT 5
#define FRONTS 2
#define TEXT_BYTES 512
#define ID_BYTES 32
#define REQUESTS_PER_SECOND 150
#define CALM_SECONDS 6.0     /* after the last fault, before recovery is judged */
#define RECOVERY_SECONDS 2.0 /* over which it is judged */
#define RECOVERY_SHARE 0.95  /* that is served then */
#define CLIENT_TIMEOUT_MS 4000
#define ROUTE_TIMEOUT_MS 1500
#define DRAIN_MS 2000
#define GRACE_SECONDS 6.0

/** port_t - ports of a machine, from the base. */
typedef enum
{
  PORT_REQUESTS = 1,
  PORT_READY,
  PORT_REPORTS,
  PORT_NODES,
  PORT_SERVER, /* the proxy before the server: what the node knows */
  PORT_SERVER_ITSELF,
  PORT_STORE, /* the proxy before the store */
  PORT_STORE_ITSELF,
} port_t;

typedef struct
{
  pid_t pid; /* 0: it does not run */
  int input; /* its standard input, for commands; -1: none */
} process_t;

typedef struct
{
  process_t node;
  process_t server;
  process_t proxy;
  unsigned int server_starts;
  fq_http_client_t *client;
  bool node_paused;
} machine_t;

typedef struct
{
  char id[ID_BYTES];
  size_t machine;
  bool once;
  bool judged;     /* it belongs to the recovery */
  uint16_t status; /* 0: no answer */
  uint32_t runs;
} request_t;

/** fault_kind_t - what may happen. */
typedef enum
{
  FAULT_NODE_KILL,
  FAULT_NODE_STOP, /* SIGTERM */
  FAULT_NODE_PAUSE,
  FAULT_NODE_HANGUP,
  FAULT_SERVER_KILL,
  FAULT_SERVER_DRAIN,
  FAULT_SERVER_PAUSE,
  FAULT_PROXY_DELAY,
  FAULT_PROXY_RESET,
  FAULT_PROXY_SILENCE,
  FAULT_PROXY_ONE_WAY,
  FAULT_STORE_REFUSES,
  FAULT_STORE_SILENT,
  FAULT_CONFIG,
  FAULT_COUNT,
} fault_kind_t;

static const char *const fault_names[FAULT_COUNT] = {
  "node-kill",    "node-stop",     "node-pause",   "node-hangup", "server-kill",
  "server-drain", "server-pause",  "proxy-delay",  "proxy-reset", "proxy-silence",
  "proxy-oneway", "store-refuses", "store-silent", "config",
};

/* A fault that ends at a set time. */
typedef struct
{
  ev_timer timer;
  fault_kind_t kind;
  size_t machine;
} ongoing_t;

static struct ev_loop *loop;
static fq_io_t io;
static fq_random_t chance;
static const char *build;
static char folder[TEXT_BYTES];
static int base_port;
static size_t machine_count;
static machine_t machines[NODES_MAX];
static process_t store;
static process_t store_proxy;
static fq_http_client_t *store_client;
static fq_map_t by_id;
static request_t **requests;
static size_t request_count;
static size_t request_capacity;
static uint64_t config_version;
static double faults_end; /* seconds from the start */
static double all_end;
static double began;
static size_t violations;
static size_t faults;

static void
violation (const char *format, ...)
{
  va_list arguments;

  violations++;
  printf ("VIOLATION: ");
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  putchar ('\n');
}

static double
elapsed (void)
{
  return ev_now (loop) - began;
}

static void
address_of (char *out, size_t machine, port_t port)
{
  snprintf (out, FQ_ADDRESS_BYTES, "127.0.2.%zu:%d", machine + 1, base_port + (int)port);
}

/* @log: name of the file for its output; @takes_commands: keeps its standard input. */
static process_t
start_process (const char *log, bool takes_commands, char *const *argv)
{
  process_t process = { .input = -1 };
  int commands[2] = { -1, -1 };
  char path[TEXT_BYTES * 2];

  snprintf (path, sizeof path, "%s/%s.log", folder, log);
  if (takes_commands && pipe2 (commands, O_CLOEXEC) < 0)
    abort ();
  fflush (stdout);
  process.pid = fork ();
  if (process.pid < 0)
    abort ();
  if (process.pid == 0)
    {
      int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      if (fd < 0 || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0
          || (takes_commands && dup2 (commands[0], STDIN_FILENO) < 0))
        _exit (127);
      signal (SIGPIPE, SIG_DFL);
      execv (argv[0], argv);
      _exit (127);
    }
  if (takes_commands)
    {
      close (commands[0]);
      process.input = commands[1];
    }
  return process;
}

static void
end_process (process_t *process, int signal_number)
{
  if (process->pid == 0)
    return;
  kill (process->pid, SIGCONT);
  kill (process->pid, signal_number);
  waitpid (process->pid, NULL, 0);
  if (process->input >= 0)
    close (process->input);
  *process = (process_t){ .input = -1 };
}

static void
command (process_t *process, const char *text)
{
  if (process->input >= 0 && write (process->input, text, strlen (text)) < 0)
    printf ("a proxy takes no command: %s\n", strerror (errno));
}

static char *
program (char *out, const char *name)
{
  snprintf (out, TEXT_BYTES, "%s/%s", build, name);
  return out;
}

static const char *
service_of (size_t machine)
{
  return machine < FRONTS ? "front" : "back";
}

static void
start_node (size_t machine)
{
  char path[TEXT_BYTES];
  char settings[TEXT_BYTES * 2];
  char log[ID_BYTES];
  char *argv[] = { program (path, "filbertquay-node"), settings, NULL };

  snprintf (settings, sizeof settings, "%s/node%zu.json", folder, machine);
  snprintf (log, sizeof log, "node%zu", machine);
  machines[machine].node = start_process (log, false, argv);
}

static void
start_server (size_t machine)
{
  char path[TEXT_BYTES];
  char itself[FQ_ADDRESS_BYTES];
  char reports[FQ_ADDRESS_BYTES];
  char reported[FQ_ADDRESS_BYTES];
  char id[ID_BYTES];
  char log[ID_BYTES * 2];
  char *argv[] = { program (path, "fq-standin-server"),
                   itself,
                   reports,
                   (char *)service_of (machine),
                   id,
                   "20",
                   reported,
                   NULL };

  address_of (itself, machine, PORT_SERVER_ITSELF);
  address_of (reports, machine, PORT_REPORTS);
  address_of (reported, machine, PORT_SERVER);
  snprintf (id, sizeof id, "i-%zu-%u", machine, ++machines[machine].server_starts);
  snprintf (log, sizeof log, "server-%s", id);
  machines[machine].server = start_process (log, false, argv);
}

static process_t
start_proxy (const char *log, const char *listen, const char *target)
{
  char path[TEXT_BYTES];
  char *argv[]
      = { program (path, "fq-standin-proxy"), (char *)listen, (char *)target, NULL };

  return start_process (log, true, argv);
}

static void
write_settings (size_t machine)
{
  char path[TEXT_BYTES * 2];
  char texts[PORT_STORE_ITSELF + 1][FQ_ADDRESS_BYTES];
  char seed[FQ_ADDRESS_BYTES];
  char store_address[FQ_ADDRESS_BYTES];
  FILE *file;

  for (int port = PORT_REQUESTS; port <= PORT_STORE_ITSELF; port++)
    address_of (texts[port], machine, (port_t)port);
  address_of (seed, machine == 0 ? 1 : 0, PORT_REPORTS);
  address_of (store_address, 0, PORT_STORE);
  snprintf (path, sizeof path, "%s/node%zu.json", folder, machine);
  file = fopen (path, "w");
  if (file == NULL)
    abort ();
  fprintf (file,
           "{\"node\":\"n%zu\",\"zone\":\"z%zu\",\"ip\":\"127.0.2.%zu\",\"store\":\"%s\","
           "\"seeds\":[\"%s\"],\"listen\":{\"requests\":\"%s\",\"readiness\":\"%s\","
           "\"reports\":\"%s\",\"nodes\":\"%s\"},\"server\":{\"service\":\"%s\","
           "\"address\":\"%s\",\"report_interval\":\"500ms\",\"drain\":\"%dms\"},"
           "\"retries\":{\"ratio\":0.2,\"window\":\"10s\",\"slack\":40},"
           "\"limits\":{\"memory_mb\":256,\"descriptors\":1024,\"grace\":\"6s\"}}\n",
           machine, machine % 2, machine + 1, store_address, seed, texts[PORT_REQUESTS],
           texts[PORT_READY], texts[PORT_REPORTS], texts[PORT_NODES],
           service_of (machine), texts[PORT_SERVER], DRAIN_MS);
  fclose (file);
}

static void
on_store_answered (void *context, fq_http_message_t *answer)
{
  (void)context;
  if (answer->status != 200)
    printf ("the store refused a configuration: %u\n", answer->status);
}

static void
on_store_failed (void *context, fq_http_failure_t failure)
{
  (void)context;
  printf ("the store did not take a configuration: %d\n", failure);
}

static const fq_http_call_handlers_t store_handlers
    = { .answered = on_store_answered, .failed = on_store_failed };

static void
write_config (void)
{
  fq_http_message_t *request = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = 1000 };
  fq_http_call_t *call;
  fq_buffer_t text = { 0 };
  fq_buffer_t body = { 0 };
  char *value;

  config_version += 1 + fq_random_below (&chance, 3);
  fq_buffer_printf (
      &text,
      "{\"version\":%llu,\"services\":["
      "{\"name\":\"front\",\"health_path\":\"/health\",\"max_connections\":99},"
      "{\"name\":\"back\",\"health_path\":\"/health\",\"max_connections\":99}],"
      "\"limits\":{\"max_header_bytes\":8192,\"max_body_bytes\":1048576,"
      "\"header_timeout\":\"1s\",\"idle_timeout\":\"15s\"},\"virtual_hosts\":[{"
      "\"host\":\"h\",\"paths\":[{\"name\":\"safe\",\"prefix\":\"/safe/\","
      "\"route_type\":\"safe\",\"timeout\":\"%dms\",\"target_latency\":\"1s\","
      "\"max_attempts\":3,\"priority\":1,\"service\":\"back\"},{\"name\":\"once\","
      "\"prefix\":\"/once/\",\"route_type\":\"unsafe\",\"timeout\":\"%dms\","
      "\"target_latency\":\"1s\",\"max_attempts\":3,\"priority\":0,"
      "\"service\":\"back\"}]}]}",
      (unsigned long long)config_version, ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS);
  fq_buffer_add (&text, "", 1);
  value = fq_base64_encode (fq_buffer_bytes (&text), fq_buffer_size (&text) - 1);
  fq_buffer_printf (&body,
                    "{\"precondition\":[],\"put\":[{\"table\":\"op\",\"part\":\"\","
                    "\"key\":\"config\",\"value\":\"%s\"}],\"remove\":[]}",
                    value);
  strcpy (request->method, "POST");
  request->target = strdup ("/v1/rows-tx");
  fq_http_message_add (request, "Host", "store");
  if (fq_blob_new (&request->body, fq_buffer_bytes (&body), fq_buffer_size (&body)) < 0
      || fq_http_client_call (&call, store_client, request, &options, &store_handlers,
                              NULL)
             < 0)
    printf ("no configuration was sent: %s\n", fq_error_last ()->message);
  fq_http_message_unref (request);
  free (value);
  fq_buffer_clear (&text);
  fq_buffer_clear (&body);
}

static void
on_answered (void *context, fq_http_message_t *answer)
{
  request_t *request = context;
  size_t length = strlen (request->id);

  request->status = answer->status;
  if (answer->status != 200)
    return;
  if (fq_http_message_body_size (answer) != length
      || memcmp (answer->body->data, request->id, length) != 0)
    violation ("%s got the answer of another request", request->id);
}

static void
on_failed (void *context, fq_http_failure_t failure)
{
  request_t *request = context;

  (void)failure;
  request->status = 0;
}

static const fq_http_call_handlers_t request_handlers
    = { .answered = on_answered, .failed = on_failed };

static request_t *
new_request (size_t machine, bool once)
{
  request_t *request = calloc (1, sizeof *request);

  if (request_count == request_capacity)
    {
      request_capacity = request_capacity == 0 ? 1024 : request_capacity * 2;
      requests = realloc (requests, request_capacity * sizeof *requests);
    }
  if (request == NULL || requests == NULL)
    abort ();
  request->machine = machine;
  request->once = once;
  request->judged = elapsed () > all_end - RECOVERY_SECONDS;
  snprintf (request->id, sizeof request->id, "%s%zu", once ? "once" : "safe",
            request_count);
  requests[request_count++] = request;
  if (fq_map_set (&by_id, fq_map_hash (request->id), request) < 0)
    abort ();
  return request;
}

/* Clients go on with the connections that they have until the process is gone. */
static void
on_send (struct ev_loop *running, ev_timer *timer, int events)
{
  size_t machine = fq_random_below (&chance, machine_count);
  request_t *request = new_request (machine, fq_random_below (&chance, 2) == 0);
  fq_http_message_t *message = fq_http_message_new ();
  fq_http_call_options_t options = { .timeout_ms = CLIENT_TIMEOUT_MS };
  fq_http_call_t *call;
  char target[TEXT_BYTES];

  (void)events;
  strcpy (message->method, request->once ? "POST" : "GET");
  snprintf (target, sizeof target, "/%s/x", request->once ? "once" : "safe");
  message->target = strdup (target);
  fq_http_message_add (message, "Host", "h");
  fq_http_message_add (message, "X-Attempt-Id", request->id);
  fq_http_message_add (message, "X-Timeout-Ms", "3000");
  if (fq_http_client_call (&call, machines[machine].client, message, &options,
                           &request_handlers, request)
      < 0)
    request->status = 0;
  fq_http_message_unref (message);
  if (elapsed () > all_end)
    ev_timer_stop (running, timer);
}

static void
end_fault (const ongoing_t *fault)
{
  machine_t *machine = &machines[fault->machine];

  switch (fault->kind)
    {
    case FAULT_NODE_KILL:
      start_node (fault->machine);
      break;
    case FAULT_NODE_STOP:
      end_process (&machine->node, SIGKILL);
      start_node (fault->machine);
      break;
    case FAULT_NODE_PAUSE:
      if (machine->node.pid != 0)
        kill (machine->node.pid, SIGCONT);
      machine->node_paused = false;
      break;
    case FAULT_SERVER_KILL:
    case FAULT_SERVER_DRAIN:
      end_process (&machine->server, SIGKILL);
      start_server (fault->machine);
      break;
    case FAULT_SERVER_PAUSE:
      if (machine->server.pid != 0)
        kill (machine->server.pid, SIGCONT);
      break;
    case FAULT_PROXY_DELAY:
    case FAULT_PROXY_RESET:
    case FAULT_PROXY_SILENCE:
    case FAULT_PROXY_ONE_WAY:
      command (&machine->proxy, "pass\n");
      break;
    case FAULT_STORE_REFUSES:
      kill (store.pid, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      command (&store_proxy, "pass\n");
      break;
    case FAULT_NODE_HANGUP:
    case FAULT_CONFIG:
    case FAULT_COUNT:
      break;
    }
}

static size_t ongoing_count;
static bool busy[FAULT_COUNT][NODES_MAX]; /* the same fault of a machine is not nested */

static void
on_fault_end (struct ev_loop *running, ev_timer *timer, int events)
{
  ongoing_t *fault = timer->data;

  (void)running;
  (void)events;
  end_fault (fault);
  busy[fault->kind][fault->machine] = false;
  ongoing_count--;
  free (fault);
}

/* Faults of one process exclude each other; those of different ones overlap. */
static bool
is_excluded (fault_kind_t kind, size_t machine)
{
  static const fault_kind_t groups[][4] = {
    { FAULT_NODE_KILL, FAULT_NODE_STOP, FAULT_NODE_PAUSE, FAULT_NODE_HANGUP },
    { FAULT_SERVER_KILL, FAULT_SERVER_DRAIN, FAULT_SERVER_PAUSE, FAULT_SERVER_PAUSE },
    { FAULT_PROXY_DELAY, FAULT_PROXY_RESET, FAULT_PROXY_SILENCE, FAULT_PROXY_ONE_WAY },
    { FAULT_STORE_REFUSES, FAULT_STORE_SILENT, FAULT_STORE_SILENT, FAULT_STORE_SILENT },
  };

  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    {
      bool is_in = false;
      bool is_busy = false;

      for (size_t j = 0; j < 4; j++)
        {
          is_in = is_in || groups[i][j] == kind;
          is_busy = is_busy || busy[groups[i][j]][machine];
        }
      if (is_in && is_busy)
        return true;
    }
  return false;
}

static void
apply_fault (fault_kind_t kind, size_t machine)
{
  machine_t *victim = &machines[machine];
  char text[ID_BYTES];

  switch (kind)
    {
    case FAULT_NODE_KILL:
      end_process (&victim->node, SIGKILL);
      break;
    case FAULT_NODE_STOP:
      kill (victim->node.pid, SIGTERM);
      break;
    case FAULT_NODE_PAUSE:
      kill (victim->node.pid, SIGSTOP);
      victim->node_paused = true;
      break;
    case FAULT_NODE_HANGUP:
      kill (victim->node.pid, SIGHUP);
      break;
    case FAULT_SERVER_KILL:
      end_process (&victim->server, SIGKILL);
      break;
    case FAULT_SERVER_DRAIN:
      kill (victim->server.pid, SIGTERM);
      break;
    case FAULT_SERVER_PAUSE:
      kill (victim->server.pid, SIGSTOP);
      break;
    case FAULT_PROXY_DELAY:
      snprintf (text, sizeof text, "delay %u\n",
                50 + (unsigned int)fq_random_below (&chance, 400));
      command (&victim->proxy, text);
      break;
    case FAULT_PROXY_RESET:
      command (&victim->proxy, "reset\n");
      break;
    case FAULT_PROXY_SILENCE:
      command (&victim->proxy, "silence\n");
      break;
    case FAULT_PROXY_ONE_WAY:
      command (&victim->proxy, "oneway\n");
      break;
    case FAULT_STORE_REFUSES:
      kill (store.pid, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      command (&store_proxy, "silence\n");
      break;
    case FAULT_CONFIG:
      write_config ();
      break;
    case FAULT_COUNT:
      break;
    }
}

static double
length_of (fault_kind_t kind)
{
  switch (kind)
    {
    case FAULT_NODE_STOP:
      return GRACE_SECONDS;
    case FAULT_SERVER_DRAIN:
      return DRAIN_MS / 1000.0 + 1;
    default:
      return 0.2 + fq_random_unit (&chance) * 2.5;
    }
}

static void
on_fault (struct ev_loop *running, ev_timer *timer, int events)
{
  fault_kind_t kind = (fault_kind_t)fq_random_below (&chance, FAULT_COUNT);
  size_t machine
      = kind >= FAULT_STORE_REFUSES ? 0 : fq_random_below (&chance, machine_count);
  double length = length_of (kind);
  ongoing_t *fault;

  (void)events;
  ev_timer_set (timer, 0.05 + fq_random_unit (&chance) * 1.2, 0.);
  if (elapsed () < faults_end)
    ev_timer_start (running, timer);
  if (is_excluded (kind, machine))
    return;
  printf ("%7.3f %s machine=%zu for=%.2f\n", elapsed (), fault_names[kind], machine,
          length);
  faults++;
  apply_fault (kind, machine);
  fault = calloc (1, sizeof *fault);
  if (fault == NULL)
    abort ();
  fault->kind = kind;
  fault->machine = machine;
  busy[kind][machine] = true;
  ongoing_count++;
  ev_timer_init (&fault->timer, on_fault_end, length, 0.);
  fault->timer.data = fault;
  ev_timer_start (running, &fault->timer);
}

/* What the servers ran, and whether one did so after its drain. */
static void
read_server_log (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[TEXT_BYTES];
  long long draining = 0;

  if (file == NULL)
    return;
  while (fgets (line, sizeof line, file) != NULL)
    {
      char id[ID_BYTES];
      long long at;
      request_t *request;

      if (sscanf (line, "draining %lld", &draining) == 1)
        continue;
      if (sscanf (line, "run %31s %*s %lld", id, &at) != 2)
        continue;
      request = fq_map_get (&by_id, fq_map_hash (id));
      if (request == NULL)
        {
          violation ("%s ran, which no client sent", id);
          continue;
        }
      request->runs++;
      if (draining != 0 && at > draining + DRAIN_MS)
        violation ("%s ran %lld ms after the drain was acknowledged, in %s", id,
                   at - draining, path);
    }
  fclose (file);
}

static void
read_server_logs (void)
{
  for (size_t i = 0; i < machine_count; i++)
    {
      for (unsigned int start = 1; start <= machines[i].server_starts; start++)
        {
          char path[TEXT_BYTES * 2];

          snprintf (path, sizeof path, "%s/server-i-%zu-%u.log", folder, i, start);
          read_server_log (path);
        }
    }
}

static void
judge (void)
{
  size_t judged = 0;
  size_t served = 0;
  size_t all_served = 0;

  for (size_t i = 0; i < request_count; i++)
    {
      const request_t *request = requests[i];

      all_served += request->status == 200;
      judged += request->judged;
      served += request->judged && request->status == 200;
      if (request->once && request->runs > 1)
        violation ("%s ran %u times", request->id, request->runs);
      if (request->once && request->runs > 0
          && (request->status == 503 || request->status == 429))
        violation ("%s was told not to have run, but ran", request->id);
      if (request->status == 200 && request->runs == 0)
        violation ("%s was answered, but did not run", request->id);
      if (request->status == 404)
        violation ("%s was told that there is no route", request->id);
    }
  if ((double)served < (double)judged * RECOVERY_SHARE)
    violation ("only %zu of %zu requests were served after the faults", served, judged);
  printf ("requests=%zu served=%zu faults=%zu judged=%zu violations=%zu\n", request_count,
          all_served, faults, judged, violations);
}

static void
open_client (fq_http_client_t **out, size_t machine, port_t port)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  struct sockaddr_in address;
  char text[FQ_ADDRESS_BYTES];

  address_of (text, machine, port);
  if (fq_address_parse (&address, text) < 0
      || fq_http_client_new (out, &io, &address, &options) < 0)
    abort ();
}

static void
start_all (void)
{
  char path[TEXT_BYTES];
  char itself[FQ_ADDRESS_BYTES];
  char proxied[FQ_ADDRESS_BYTES];
  char *argv[] = { program (path, "fq-standin-store"), itself, NULL };

  address_of (itself, 0, PORT_STORE_ITSELF);
  address_of (proxied, 0, PORT_STORE);
  store = start_process ("store", false, argv);
  store_proxy = start_proxy ("store-proxy", proxied, itself);
  for (size_t i = 0; i < machine_count; i++)
    {
      char log[ID_BYTES];

      snprintf (log, sizeof log, "proxy%zu", i);
      address_of (itself, i, PORT_SERVER_ITSELF);
      address_of (proxied, i, PORT_SERVER);
      machines[i].proxy = start_proxy (log, proxied, itself);
      write_settings (i);
      start_node (i);
      start_server (i);
      open_client (&machines[i].client, i, PORT_REQUESTS);
    }
  open_client (&store_client, 0, PORT_STORE_ITSELF);
}

static void
end_all (void)
{
  for (size_t i = 0; i < machine_count; i++)
    {
      end_process (&machines[i].node, SIGKILL);
      end_process (&machines[i].server, SIGKILL);
      end_process (&machines[i].proxy, SIGKILL);
    }
  end_process (&store, SIGKILL);
  end_process (&store_proxy, SIGKILL);
}

static void
on_time_up (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (running, EVBREAK_ALL);
}

static void
run_for (double seconds)
{
  ev_timer timer;

  ev_now_update (loop);
  ev_timer_init (&timer, on_time_up, seconds, 0.);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}

/* SIGCHLD is not used: a process that ended by itself is a finding. */
static void
check_alive (void)
{
  for (size_t i = 0; i < machine_count; i++)
    {
      pid_t pid = machines[i].node.pid;

      if (pid != 0 && waitpid (pid, NULL, WNOHANG) == pid)
        {
          violation ("node %zu ended by itself", i);
          machines[i].node.pid = 0;
        }
    }
}

static void
run (double seconds)
{
  ev_timer sender;
  ev_timer fault;

  faults_end = seconds;
  all_end = seconds + GRACE_SECONDS + CALM_SECONDS + RECOVERY_SECONDS;
  run_for (0.5);
  write_config ();
  run_for (2);
  began = ev_now (loop);
  ev_timer_init (&sender, on_send, 0., 1.0 / REQUESTS_PER_SECOND);
  ev_timer_start (loop, &sender);
  ev_timer_init (&fault, on_fault, 1., 0.);
  ev_timer_start (loop, &fault);
  run_for (all_end + CLIENT_TIMEOUT_MS / 1000.0 + 0.5);
  ev_timer_stop (loop, &sender);
  check_alive ();
}

int
main (int argc, char **argv)
{
  if (argc < 4 || argc > 5)
    {
      fprintf (stderr, "usage: fq-soak BUILD SEED SECONDS [NODES]\n");
      return 2;
    }
  build = argv[1];
  chance.state = strtoull (argv[2], NULL, 10);
  machine_count = argc == 5 ? strtoull (argv[4], NULL, 10) : NODES_DEFAULT;
  if (machine_count < FRONTS + 2 || machine_count > NODES_MAX)
    {
      fprintf (stderr, "fq-soak: %d to %d nodes\n", FRONTS + 2, NODES_MAX);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  base_port = 20000 + (int)((getpid () * 10) % 10000);
  snprintf (folder, sizeof folder, "/tmp/fq-soak-%d", (int)getpid ());
  if (mkdir (folder, 0700) < 0)
    return 1;
  loop = ev_default_loop (0);
  if (fq_io_open (&io, loop) < 0)
    return 1;
  printf ("seed=%s seconds=%s nodes=%zu logs=%s\n", argv[2], argv[3], machine_count,
          folder);
  start_all ();
  run (strtod (argv[3], NULL));
  end_all ();
  read_server_logs ();
  judge ();
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
