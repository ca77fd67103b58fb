/**
 * DOC: The state machine of a sidecar node, which runs on the VM of a server.
 *
 * A node is the entry for requests that clients on its VM send, and the gate of the
 * server on its VM. Requests reach the server only through the gate, which alone decides
 * on their admission. A run is an attempt that the gate has accepted, from then until it
 * ends.
 *
 * The state machine is a pure reducer: it reads no clock and opens no socket. The
 * surrounding program (the shell) passes it events and carries out the effects that it
 * returns, in order.
 */
#ifndef FQ_MESH_MESH_H
#define FQ_MESH_MESH_H

#include "mesh/config.h"
#include "mesh/frame.h"

typedef struct fq_mesh fq_mesh_t;

/** struct fq_mesh_params_t - operator settings: intervals, deadlines and retry budget. */
typedef struct
{
  uint32_t report_interval_ms; /* between two status reports of a server */
  uint32_t drain_ms;           /* how long a leaving server still accepts requests */
  uint32_t grace_ms;           /* from the stop signal until the process is killed */
  double retry_ratio; /* retries allowed, as a share of the first arrivals at a service's
                         gates */
  uint32_t retry_window_ms;   /* over which retries are counted; not 0 */
  uint64_t body_bytes_max;    /* of all requests at the gate together; 0: no limit */
  uint64_t memory_bytes;      /* that the process may hold altogether; 0: no limit */
  uint64_t new_request_bytes; /* with more than this held, no request without a body
                                 begins, as its answer may be large; 0: no limit */
  double retry_slack; /* retries allowed in addition to the share, over all nodes */
} fq_mesh_params_t;

/** struct fq_mesh_options_t - start from FQ_MESH_OPTIONS_INIT; strings are copied. */
typedef struct
{
  unsigned int version;
  fq_node_address_t address; /* of this node; not 0 */
  const char *zone;          /* failure domain */
  const char *service; /* of the local server until its first report; empty: unknown */
  uint64_t seed;       /* of the random number generator */
  fq_mesh_params_t params;
} fq_mesh_options_t;

#define FQ_MESH_OPTIONS_VERSION 1
#define FQ_MESH_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_MESH_OPTIONS_VERSION, .zone = "", .service = "", .params = {           \
      .report_interval_ms = 1500,                                                        \
      .drain_ms = 2000,                                                                  \
      .grace_ms = 6000,                                                                  \
      .retry_ratio = 0.2,                                                                \
      .retry_window_ms = 10000,                                                          \
      .retry_slack = 40,                                                                 \
    }                                                                                    \
  }

/** struct fq_server_report_t - the periodic status report of a server. */
typedef struct
{
  fq_text_t *instance;
  fq_text_t *service;
  uint64_t started_ms; /* wall-clock start time, later for each process; 0: not stated */
  uint64_t sequence;   /* increases with each report of one process */
  uint32_t slots;      /* requests that it can execute at once */
  bool draining;
  uint32_t warmup_ms; /* remaining time in which it is slow after its start */
} fq_server_report_t;

/** fq_server_report_ref() - take references for a copy of a report. */
void fq_server_report_ref (fq_server_report_t *report);

/** fq_server_report_clear() - drop the references of @report and zero it. */
void fq_server_report_clear (fq_server_report_t *report);

/** enum fq_mesh_event_kind_t - selects the union member of fq_mesh_event_t. */
typedef enum
{
  FQ_MESH_EVENT_TIMER,               /* a timer is due, see fq_mesh_next_timer() */
  FQ_MESH_EVENT_REQUEST,             /* a client on this VM sent a complete request */
  FQ_MESH_EVENT_CLIENT_DISCONNECTED, /* the client of a request closed its connection */
  FQ_MESH_EVENT_LINK_UP,             /* this node's connection to a gate is established */
  FQ_MESH_EVENT_LINK_DOWN, /* this node's connection to a gate was lost or failed */
  FQ_MESH_EVENT_RETIRED_LINKS_DOWN, /* the last retired connection to a gate ended */
  FQ_MESH_EVENT_ENTRY_DOWN,    /* an entry's connection to this node's gate was closed */
  FQ_MESH_EVENT_GATE_FRAME,    /* a gate sent a frame */
  FQ_MESH_EVENT_ENTRY_FRAME,   /* an entry sent a frame */
  FQ_MESH_EVENT_SERVER_ANSWER, /* the local server answered a request in full */
  FQ_MESH_EVENT_SERVER_FAILED, /* the local server gave no complete answer */
  FQ_MESH_EVENT_REPORT,        /* the local server sent a status report */
  FQ_MESH_EVENT_DEREGISTER,    /* the local server deregistered: it is about to stop */
  FQ_MESH_EVENT_PROBE,         /* a health check of the local server ended */
  FQ_MESH_EVENT_CONFIG,        /* a configuration was received and parsed */
  FQ_MESH_EVENT_NODES,         /* nodes were read from the directory or settings */
  FQ_MESH_EVENT_SHUTDOWN,      /* the process got the signal to stop */
} fq_mesh_event_kind_t;

/** struct fq_mesh_request_t - a client request with its decoded header fields. */
typedef struct
{
  fq_id_t id; /* assigned by the shell, which gets the reply under it */
  fq_text_t *request_id;
  fq_text_t *host;
  uint32_t remaining_ms; /* until the client stops waiting; 0: not stated */
  fq_text_t *parent_id;  /* of the request that the local server executes when it makes
                          * this call; empty: none */
  fq_http_message_t *message; /* owned by the shell */
} fq_mesh_request_t;

/** fq_mesh_request_ref() - take references for a copy of a request. */
void fq_mesh_request_ref (fq_mesh_request_t *request);

/** fq_mesh_request_clear() - drop the references of @request and zero it. */
void fq_mesh_request_clear (fq_mesh_request_t *request);

/** enum fq_server_outcome_t - what a server's complete answer implies for the request. */
typedef enum
{
  FQ_SERVER_ANSWERED,          /* executed */
  FQ_SERVER_NOT_EXECUTED,      /* refused and not executed */
  FQ_SERVER_INSTANCE_MISMATCH, /* not executed: another server process has the address */
  FQ_SERVER_ANSWER_INVALID,    /* not from the addressed server; may have been executed */
} fq_server_outcome_t;

/** enum fq_rate_statement_t - whether an answer states a rate limit of its server. */
typedef enum
{
  FQ_RATE_UNSTATED,  /* the server has no rate limit */
  FQ_RATE_STATED,    /* see fq_server_notice_t.rate_limit */
  FQ_RATE_MALFORMED, /* the statement can't be read; what was known before holds */
} fq_rate_statement_t;

/** struct fq_server_notice_t - what a server says of itself in an answer. */
typedef struct
{
  fq_rate_statement_t rate_statement;
  double rate_limit; /* requests a second that it accepts from all VMs; 0: not stated */
  bool leaving;      /* it is about to stop and accepts no new requests */
} fq_server_notice_t;

/** enum fq_server_failure_t - why there is no complete answer of a server. */
typedef enum
{
  FQ_SERVER_CONNECT_FAILED,   /* no connection could be made; nothing was sent */
  FQ_SERVER_CONNECTION_LOST,  /* the connection broke, or timed out, before an answer */
  FQ_SERVER_MALFORMED_ANSWER, /* the answer was truncated or malformed */
} fq_server_failure_t;

/** enum fq_probe_outcome_t - how a health check of the local server ended. */
typedef enum
{
  FQ_PROBE_HEALTHY,
  FQ_PROBE_UNHEALTHY,  /* it answered something else */
  FQ_PROBE_REFUSED,    /* no connection could be made */
  FQ_PROBE_UNANSWERED, /* the connection broke, or no answer came in time */
} fq_probe_outcome_t;

/** struct fq_mesh_event_t - one event; the shell owns what its pointers refer to. */
typedef struct
{
  fq_mesh_event_kind_t kind;
  fq_time_t now;        /* see fq_clock_now() */
  uint64_t memory_held; /* bytes that the process holds, with those that are expected */
  bool output_pending;  /* in a shutdown: clients or entries have not taken all output */
  bool requests_expected; /* in a shutdown, of a timer: clients have connected shortly
                           * before, or sent a part of a request */
  union
  {
    fq_mesh_request_t request;
    fq_id_t request_id;       /* client disconnected */
    fq_node_address_t node;   /* link up, link down, retired links down */
    fq_id_t entry_connection; /* entry down: id of its connection */
    struct
    {
      fq_node_address_t node;          /* gate frame: sender */
      fq_id_t entry_connection;        /* entry frame: id of its connection; not 0 */
      fq_node_address_t entry_address; /* entry frame: sender */
      const fq_frame_t *frame;
    } frame;
    struct
    {
      fq_id_t run;
      fq_server_outcome_t outcome;
      fq_server_notice_t notice;
      fq_http_message_t *answer;
    } server_answer;
    struct
    {
      fq_id_t run;
      fq_server_failure_t failure;
    } server_failed;
    struct
    {
      fq_probe_outcome_t outcome;
      fq_text_t *instance; /* of the server process that answered; empty: not known */
      fq_server_notice_t notice;
    } probe;
    fq_server_report_t report; /* deregister: only instance and started_ms are used */
    struct
    {
      fq_config_t *received;
      bool found_late; /* the store did not deliver it when it was written */
    } config;
    struct
    {
      const fq_node_address_t *addresses;
      size_t count;
    } nodes;
  };
} fq_mesh_event_t;

/** enum fq_mesh_effect_kind_t - selects the union member of fq_mesh_effect_t. */
typedef enum
{
  FQ_MESH_EFFECT_REPLY,      /* send the answer to a client */
  FQ_MESH_EFFECT_LINK_OPEN,  /* connect to the gate of a node */
  FQ_MESH_EFFECT_LINK_CLOSE, /* close the connection to a gate; no event follows */
  /* Keep the connection to a gate only for answers that may still come on it, until it
   * ends. No event for the link follows; a new one may be opened beside it. */
  FQ_MESH_EFFECT_LINK_RETIRE,
  FQ_MESH_EFFECT_RETIRED_LINKS_CLOSE, /* close the retired connections; no event follows
                                       */
  FQ_MESH_EFFECT_SEND_TO_GATE,  /* send a frame on this node's connection to a gate */
  FQ_MESH_EFFECT_SEND_TO_ENTRY, /* send a frame on the connection of an entry */
  FQ_MESH_EFFECT_SERVER_CALL,   /* send a request to the local server */
  FQ_MESH_EFFECT_SERVER_ABORT, /* abort a request at the local server; no event follows */
  FQ_MESH_EFFECT_SERVER_CLOSE_IDLE, /* close idle connections: the server restarted */
  FQ_MESH_EFFECT_SERVER_PROBE,      /* send a health check to the local server */
  FQ_MESH_EFFECT_REQUEST_LIMITS,    /* apply the limits on client requests */
  FQ_MESH_EFFECT_DISCOVER_NODES,    /* read the nodes from the directory */
  FQ_MESH_EFFECT_REMOVE_NODE,       /* remove an unreachable node from the directory */
  FQ_MESH_EFFECT_LOG,
  FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE, /* close each client connection after its next answer
                                      */
  FQ_MESH_EFFECT_REFUSE_CONNECTIONS, /* of clients that are not connected yet */
  FQ_MESH_EFFECT_STOPPED,            /* the shutdown is complete: end the process */
} fq_mesh_effect_kind_t;

/** struct fq_mesh_effect_t - an action for the shell to carry out. */
typedef struct
{
  fq_mesh_effect_kind_t kind;
  union
  {
    struct
    {
      fq_id_t request;
      fq_http_message_t *answer; /* of a server; NULL: build one from the fields below */
      uint16_t status;
      uint32_t retry_after_ms; /* 0: not stated */
      const char *text;        /* body; static string */
    } reply;
    fq_node_address_t node; /* link open, close and retire, retired links close, remove
                             * node */
    struct
    {
      fq_node_address_t node;
      fq_id_t entry_connection;
      fq_frame_t *frame; /* owned by the effect */
    } frame;
    struct
    {
      fq_id_t run;           /* id by which events refer to the call */
      uint32_t remaining_ms; /* until the deadline of the request */
      bool idempotent;
      fq_text_t *instance;
      fq_text_t *caller;
      fq_text_t *request_id;
      fq_http_message_t *message; /* counted reference */
    } server_call;
    fq_id_t run;     /* server abort: run of the server call */
    fq_text_t *path; /* server probe: request target of the health check */
    fq_request_limits_t limits;
    struct
    {
      bool warning;
      char *text; /* owned by the effect */
    } log;
  };
} fq_mesh_effect_t;

/** struct fq_mesh_effects_t - zero-initialise before use. */
typedef struct
{
  fq_mesh_effect_t *items;
  size_t count;
  size_t capacity;
} fq_mesh_effects_t;

/** fq_mesh_effects_clear() - free what the effects own and empty the array for reuse. */
void fq_mesh_effects_clear (fq_mesh_effects_t *effects);

/** fq_mesh_effects_free() - free the effects, what they own, and the array. */
void fq_mesh_effects_free (fq_mesh_effects_t *effects);

/**
 * fq_mesh_new() - create a node at time @now; free it with fq_mesh_free().
 *
 * Return: 0; FQ_ERROR_INVALID: unknown options version, no address or no retry window;
 * FQ_ERROR_NOMEM.
 */
int fq_mesh_new (fq_mesh_t **out, const fq_mesh_options_t *options, fq_time_t now);

/** fq_mesh_free() - free a node; @mesh may be NULL. */
void fq_mesh_free (fq_mesh_t *mesh);

/** fq_mesh_reduce() - handle one event and all due timers; appends to @effects. */
void fq_mesh_reduce (fq_mesh_t *mesh,
                     const fq_mesh_event_t *event,
                     fq_mesh_effects_t *effects);

/** fq_mesh_expected_body_bytes() - size of the bodies that the gate has admitted and that
 * have not arrived yet. */
uint64_t fq_mesh_expected_body_bytes (const fq_mesh_t *mesh);

/** fq_mesh_next_timer() - when FQ_MESH_EVENT_TIMER is due, or FQ_TIMERS_NEVER. */
fq_time_t fq_mesh_next_timer (const fq_mesh_t *mesh);

/**
 * fq_mesh_is_ready() - whether clients should send requests to this node.
 *
 * It is ready with a configuration and a connected peer (no peer is needed 1 s after its
 * start), until it gets the signal to stop. It still accepts requests for 3 s after that.
 */
bool fq_mesh_is_ready (const fq_mesh_t *mesh);

/** fq_mesh_config_version() - version of the configuration in force; 0: none yet. */
uint64_t fq_mesh_config_version (const fq_mesh_t *mesh);

/** struct fq_fleet_position_t - the place of this node among those that are connected, in
 * the order of their addresses. */
typedef struct
{
  size_t index; /* below @count */
  size_t count; /* with this node */
} fq_fleet_position_t;

/** fq_mesh_position() - the place of this node among those that are connected now. */
fq_fleet_position_t fq_mesh_position (const fq_mesh_t *mesh);

/** fq_mesh_write_metrics() - append all metrics in the Prometheus text format. */
void fq_mesh_write_metrics (const fq_mesh_t *mesh, fq_buffer_t *out);

#endif
