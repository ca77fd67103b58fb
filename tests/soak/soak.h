/**
 * DOC: State of a soak run: its machines, processes and requests.
 */
#ifndef FQ_TESTS_SOAK_SOAK_H
#define FQ_TESTS_SOAK_SOAK_H

#include "http/client.h"
#include "util/map.h"
#include "util/random.h"

#define MACHINES_MAX 64
#define SERVER_STARTS_MAX 64 /* of a machine; statements of later ones are not judged */
#define DISTURBANCES_MAX 4096
#define MACHINES_DEFAULT 5
#define FRONT_MACHINES 2
#define TEXT_BYTES 512
#define ID_BYTES 32
#define REQUESTS_PER_SECOND 150
#define SETTLE_SECONDS 6.0 /* after the end of all faults, before the recovery window */
#define RECOVERY_WINDOW_SECONDS 2.0 /* at the end of the traffic */
#define RECOVERY_SERVED_SHARE 0.95  /* of requests of the window; fewer is a violation */
#define CLIENT_TIMEOUT_MS 4000
#define ROUTE_TIMEOUT_MS 1500
#define DRAIN_MS 2000          /* setting server.drain of the nodes */
#define NODE_GRACE_SECONDS 6.0 /* setting limits.grace of the nodes */

/** port_t - ports of a machine, as offsets from soak.base_port. */
typedef enum
{
  PORT_REQUESTS = 1,
  PORT_READINESS,
  PORT_REPORTS,
  PORT_NODES,
  PORT_SERVER_PROXY,  /* the proxy of the server; the address that the node uses */
  PORT_SERVER_DIRECT, /* the server itself */
  PORT_STORE_PROXY,   /* the proxy of the store; the address that the nodes use */
  PORT_STORE_DIRECT,  /* the store itself */
} port_t;

typedef struct
{
  pid_t pid; /* 0: not running */
  int input; /* write end of a pipe to its standard input; -1: none */
} process_t;

/** told_t - when a client of a machine first got an answer in which a server said
 * something of itself; milliseconds of the monotonic clock, 0: never. */
typedef struct
{
  long long limited_ms;
  long long leaving_ms;
} told_t;

/** disturbance_t - the node of a machine was killed, stopped, paused or started. */
typedef struct
{
  size_t machine;
  long long at_ms;
} disturbance_t;

typedef struct
{
  process_t node;
  process_t server;
  process_t proxy;
  unsigned int server_starts;
  fq_http_client_t *client;
  fq_http_client_t *server_client;  /* to the server itself, for its control calls */
  fq_http_client_t *reports_client; /* to the node, as another writer of reports */
  bool node_paused;
  /* By machine and start of the server: what clients of this machine were told. */
  told_t told[MACHINES_MAX][SERVER_STARTS_MAX];
} machine_t;

typedef struct
{
  char id[ID_BYTES];
  size_t machine;
  bool at_most_once;
  bool in_recovery;   /* sent in the recovery window */
  long long sent_ms;  /* monotonic clock */
  uint16_t status;    /* 0: no answer */
  uint32_t run_count; /* how often servers ran it, from their logs */
} request_t;

/** soak_t - the state of the run. */
typedef struct
{
  struct ev_loop *loop;
  fq_io_t io;
  fq_random_t random;
  const char *build_directory; /* directory of the programs */
  char directory[TEXT_BYTES];  /* of settings and logs */
  int base_port;
  size_t machine_count;
  machine_t machines[MACHINES_MAX];
  process_t store;
  process_t store_proxy;
  fq_http_client_t *store_client;
  fq_map_t requests_by_id; /* key: hash of the id */
  request_t **requests;
  size_t request_count;
  size_t request_capacity;
  uint64_t config_version;
  double faults_end_seconds;  /* no fault is scheduled after this; from started_at */
  double traffic_end_seconds; /* clients stop sending after this; from started_at */
  double started_at;          /* time of the event loop at the first request */
  disturbance_t disturbances[DISTURBANCES_MAX];
  size_t disturbance_count;
  size_t statement_count; /* statements of servers that were judged */
  size_t violation_count;
  size_t fault_count;
} soak_t;

extern soak_t soak;

/** soak_report_violation() - print and count the violation of a guarantee. */
void soak_report_violation (const char *format, ...);

/** soak_elapsed_seconds() - the time since the first request. */
double soak_elapsed_seconds (void);

/** soak_address() - write "ip:port" of @machine to @out, of FQ_ADDRESS_BYTES bytes. */
void soak_address (char *out, size_t machine, port_t port);

/** soak_start_all() - start the store, and node, server and proxy of each machine. */
void soak_start_all (void);

/** soak_end_all() - kill all processes, by their ids. */
void soak_end_all (void);

/** soak_start_node() - start the node of @machine with its settings file. */
void soak_start_node (size_t machine);

/** soak_start_server() - start the server of @machine, with a new instance id. */
void soak_start_server (size_t machine);

/** soak_signal() - send a signal to a process; no-op if it is not running. Process 0
 * would be the whole process group. */
void soak_signal (const process_t *process, int signal_number);

/** soak_end_process() - send a fatal signal and wait; no-op if not running. */
void soak_end_process (process_t *process, int signal_number);

/** soak_send_command() - write a command line to a proxy; no-op if it is not running. */
void soak_send_command (process_t *process, const char *text);

/** soak_monotonic_ms() - the clock of the servers' logs. */
long long soak_monotonic_ms (void);

/** soak_disturb() - record that the node of @machine is being disturbed. */
void soak_disturb (size_t machine);

/** soak_was_disturbed() - whether that of @machine was from @since_ms to @until_ms. */
bool soak_was_disturbed (size_t machine, long long since_ms, long long until_ms);

/** soak_check_node() - report a node that ended by itself, other than by a stop. */
void soak_check_node (size_t machine);

/** soak_control() - send a control call (POST, no body) to a stand-in; its answer is not
 * awaited. */
void soak_control (fq_http_client_t *client, const char *target);

/** soak_report_as_other() - report to the node of @machine that it has a server of
 * another service at the address of its server; the answer is not awaited. */
void soak_report_as_other (size_t machine);

/** soak_service_of() - the service of the server of @machine. */
const char *soak_service_of (size_t machine);

/** soak_write_config() - write a configuration with a higher version to the store. */
void soak_write_config (void);

/** soak_on_send_timer() - timer callback: send a request to a random machine. */
void soak_on_send_timer (struct ev_loop *running, ev_timer *timer, int events);

/** soak_on_fault_timer() - timer callback: begin a random fault. */
void soak_on_fault_timer (struct ev_loop *running, ev_timer *timer, int events);

/** soak_read_server_logs() - count the runs of each request, and check drains. */
void soak_read_server_logs (void);

/** soak_check_requests() - check the outcome of every request, and print a summary. */
void soak_check_requests (void);

#endif
