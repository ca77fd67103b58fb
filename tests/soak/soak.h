/**
 * DOC: What the parts of the soak share: one run, its machines and its requests.
 */
#ifndef FQ_TESTS_SOAK_SOAK_H
#define FQ_TESTS_SOAK_SOAK_H

#include "http/client.h"
#include "util/map.h"
#include "util/random.h"

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

/** soak_t - one run. */
typedef struct
{
  struct ev_loop *loop;
  fq_io_t io;
  fq_random_t chance;
  const char *build;       /* folder of the programs */
  char folder[TEXT_BYTES]; /* of settings and logs */
  int base_port;
  size_t machine_count;
  machine_t machines[NODES_MAX];
  process_t store;
  process_t store_proxy;
  fq_http_client_t *store_client;
  fq_map_t by_id; /* request_t by the hash of its id */
  request_t **requests;
  size_t request_count;
  size_t request_capacity;
  uint64_t config_version;
  double faults_end; /* seconds from the start */
  double all_end;
  double began;
  size_t violations;
  size_t faults;
} soak_t;

extern soak_t soak;

/** soak_violation() - a promise was broken. */
void soak_violation (const char *format, ...);

/** soak_elapsed() - seconds from the start. */
double soak_elapsed (void);

/** soak_address() - the address of a port of a machine; @out has FQ_ADDRESS_BYTES. */
void soak_address (char *out, size_t machine, port_t port);

/** soak_start_all() - the store, and all that belongs to each machine. */
void soak_start_all (void);

/** soak_end_all() - end every process, by its id. */
void soak_end_all (void);

/** soak_start_node() - the node of a machine, with the settings written before. */
void soak_start_node (size_t machine);

/** soak_start_server() - a new start of the server of a machine. */
void soak_start_server (size_t machine);

/** soak_end_process() - send a signal that ends it, and wait until it has. */
void soak_end_process (process_t *process, int signal_number);

/** soak_command() - tell a proxy what to do. */
void soak_command (process_t *process, const char *text);

/** soak_write_config() - put a new configuration into the store. */
void soak_write_config (void);

/** soak_on_send() - timer: a client sends a request. */
void soak_on_send (struct ev_loop *running, ev_timer *timer, int events);

/** soak_on_fault() - timer: a random fault begins. */
void soak_on_fault (struct ev_loop *running, ev_timer *timer, int events);

/** soak_read_server_logs() - count what the servers ran. */
void soak_read_server_logs (void);

/** soak_judge() - check every request, and print the sums. */
void soak_judge (void);

#endif
