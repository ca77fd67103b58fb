/**
 * DOC: The reducer that takes every decision of a node beside its server.
 *
 * A node is the entry of the requests that begin at its machine, and the gate of its
 * server: only the gate reaches the server, so it alone decides what runs there. The
 * reducer reads no clock and opens no socket: a program feeds events and carries out the
 * effects that come back, in order.
 */
#ifndef FQ_MESH_MESH_H
#define FQ_MESH_MESH_H

#include "mesh/config.h"
#include "mesh/frame.h"

typedef struct fq_mesh fq_mesh_t;

/** struct fq_mesh_params_t - what the operators promise and ask for. */
typedef struct
{
  uint32_t report_interval_ms; /* between two reports of a server */
  uint32_t drain_ms;           /* a leaving server takes requests for so long */
  uint32_t grace_ms;           /* from the signal to stop until the process is killed */
  double retry_ratio;          /* repeats allowed, as a share of a service's requests */
  uint32_t retry_window_ms;
  double retry_slack; /* repeats allowed beside the share, for all nodes together */
} fq_mesh_params_t;

/** struct fq_mesh_options_t - strings are copied; see FQ_MESH_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_node_address_t address;
  const char *zone;
  const char *service; /* of the server beside the node, until it says so itself */
  uint64_t seed;       /* of all random choices */
  fq_mesh_params_t bounds;
} fq_mesh_options_t;

#define FQ_MESH_OPTIONS_VERSION 1
#define FQ_MESH_OPTIONS_INIT                                                             \
  {                                                                                      \
    .version = FQ_MESH_OPTIONS_VERSION, .zone = "", .service = "", .bounds = {           \
      .report_interval_ms = 1500,                                                        \
      .drain_ms = 2000,                                                                  \
      .grace_ms = 6000,                                                                  \
      .retry_ratio = 0.2,                                                                \
      .retry_window_ms = 10000,                                                          \
      .retry_slack = 40,                                                                 \
    }                                                                                    \
  }

/** struct fq_server_report_t - what a server says of itself. */
typedef struct
{
  char instance[FQ_INSTANCE_BYTES];
  char service[FQ_NAME_BYTES];
  uint64_t started_ms; /* time of day of its start; grows with each; 0: not stated */
  uint64_t sequence;   /* grows with each report of one start */
  uint32_t slots;      /* requests that it works on at once */
  bool draining;
  uint32_t warmup_ms; /* for how much longer it is slow after its start */
} fq_server_report_t;

/** enum fq_mesh_event_kind_t - which member of the union in fq_mesh_event_t holds. */
typedef enum
{
  FQ_MESH_EVENT_TIMER,               /* time has passed */
  FQ_MESH_EVENT_REQUEST,             /* a whole request that begins at this machine */
  FQ_MESH_EVENT_CLIENT_DISCONNECTED, /* its client closed the connection */
  FQ_MESH_EVENT_LINK_UP,             /* our connection to a gate stands */
  FQ_MESH_EVENT_LINK_DOWN,           /* it ended, or could not be made */
  FQ_MESH_EVENT_ENTRY_DOWN,          /* an entry's connection to us ended */
  FQ_MESH_EVENT_GATE_FRAME,          /* a gate sent a frame */
  FQ_MESH_EVENT_ENTRY_FRAME,         /* an entry sent a frame */
  FQ_MESH_EVENT_SERVER_ANSWER,       /* our server answered a run */
  FQ_MESH_EVENT_SERVER_FAILED,       /* it did not */
  FQ_MESH_EVENT_REPORT,              /* our server reports */
  FQ_MESH_EVENT_DEREGISTER,          /* our server says that it leaves */
  FQ_MESH_EVENT_PROBE_OK, /* our server says that it is well, and which it is */
  FQ_MESH_EVENT_CONFIG,   /* a configuration was read */
  FQ_MESH_EVENT_NODES,    /* the directory names these nodes */
  FQ_MESH_EVENT_STOP,     /* the process is asked to stop */
} fq_mesh_event_kind_t;

/** struct fq_mesh_request_t - a request, with what its fields say decoded. */
typedef struct
{
  fq_id_t id; /* the shell's name; replies go to it */
  char request_id[FQ_REQUEST_ID_BYTES];
  char host[FQ_HOST_BYTES];
  uint32_t remaining_ms;               /* that the client waits; 0: not stated */
  char parent_id[FQ_REQUEST_ID_BYTES]; /* of the request for which a server may have sent
                                          it; empty: none is named */
  fq_http_message_t *message;
} fq_mesh_request_t;

/** enum fq_server_outcome_t - what a server's whole answer says of the request. */
typedef enum
{
  FQ_SERVER_ANSWERED,          /* it ran; this is the answer */
  FQ_SERVER_NOT_EXECUTED,      /* it refused and did not run it */
  FQ_SERVER_INSTANCE_MISMATCH, /* another server has the address; it did not run */
  FQ_SERVER_ANSWER_INVALID,    /* these are not the server's bytes; it may have run */
} fq_server_outcome_t;

/** enum fq_server_failure_t - why a server gave no whole answer. */
typedef enum
{
  FQ_SERVER_CONNECT_FAILED,   /* no connection; nothing was sent */
  FQ_SERVER_CONNECTION_LOST,  /* the connection broke without an answer */
  FQ_SERVER_MALFORMED_ANSWER, /* part of an answer, or bytes that are none */
} fq_server_failure_t;

/** struct fq_mesh_event_t - one event; the shell owns what it points to. */
typedef struct
{
  fq_mesh_event_kind_t kind;
  fq_time_t now; /* monotonic, microseconds */
  union
  {
    fq_mesh_request_t request;
    fq_id_t request_id;     /* client gone */
    fq_node_address_t node; /* link up, link down */
    fq_id_t asker;          /* asker down */
    struct
    {
      fq_node_address_t node; /* gate */
      fq_id_t asker;          /* or entry: a number for its connection, not 0 */
      fq_node_address_t asker_address;
      const fq_frame_t *frame;
    } frame;
    struct
    {
      fq_id_t run;
      fq_server_outcome_t verdict;
      fq_http_message_t *answer;
    } server_answer;
    struct
    {
      fq_id_t run;
      fq_server_failure_t failure;
    } server_failed;
    const char *instance;      /* probed */
    fq_server_report_t report; /* leave: only the instance and the start count */
    fq_config_t *config;
    struct
    {
      const fq_node_address_t *addresses;
      size_t count;
    } nodes;
  };
} fq_mesh_event_t;

/** enum fq_mesh_effect_kind_t - which member of the union in fq_mesh_effect_t holds. */
typedef enum
{
  FQ_MESH_EFFECT_REPLY,             /* the final answer to a request */
  FQ_MESH_EFFECT_LINK_OPEN,         /* connect to a gate */
  FQ_MESH_EFFECT_LINK_CLOSE,        /* end that connection; no event follows */
  FQ_MESH_EFFECT_SEND_TO_GATE,      /* send a frame to a gate */
  FQ_MESH_EFFECT_SEND_TO_ENTRY,     /* send a frame to an entry */
  FQ_MESH_EFFECT_SERVER_CALL,       /* send a request to our server */
  FQ_MESH_EFFECT_SERVER_ABORT,      /* end that call; no event follows */
  FQ_MESH_EFFECT_SERVER_CLOSE_IDLE, /* close kept connections: the server is another one
                                     */
  FQ_MESH_EFFECT_SERVER_PROBE,      /* ask our server whether it is well */
  FQ_MESH_EFFECT_REQUEST_LIMITS,    /* the limits of requests changed */
  FQ_MESH_EFFECT_DISCOVER_NODES,    /* ask the directory which nodes there are */
  FQ_MESH_EFFECT_REMOVE_NODE,       /* take a node that is gone out of the directory */
  FQ_MESH_EFFECT_LOG,
  FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE, /* each further answer is the last of its connection
                                      */
  FQ_MESH_EFFECT_STOPPED,            /* nothing is under way any more: end the process */
} fq_mesh_effect_kind_t;

/** struct fq_mesh_effect_t - one effect. */
typedef struct
{
  fq_mesh_effect_kind_t kind;
  union
  {
    struct
    {
      fq_id_t request;
      fq_http_message_t *answer; /* of a server; NULL: ours, from the fields below */
      uint16_t status;
      uint32_t retry_after_ms; /* 0: not stated */
      const char *text;        /* static */
    } reply;
    fq_node_address_t node; /* link open, link close, forget node */
    struct
    {
      fq_node_address_t node;
      fq_id_t asker;
      fq_frame_t *frame; /* owned by the effect */
    } frame;
    struct
    {
      fq_id_t run;
      uint32_t remaining_ms;
      bool idempotent;
      char instance[FQ_INSTANCE_BYTES];
      char caller[FQ_NAME_BYTES];
      char request_id[FQ_REQUEST_ID_BYTES];
      fq_http_message_t *message; /* counted reference */
    } server_call;
    fq_id_t run;              /* server abort */
    char path[FQ_PATH_BYTES]; /* server probe: where the server tells */
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

/** fq_mesh_effects_clear() - drop all effects and what they own; keeps the array. */
void fq_mesh_effects_clear (fq_mesh_effects_t *effects);

/** fq_mesh_effects_free() - drop all effects and the array. */
void fq_mesh_effects_free (fq_mesh_effects_t *effects);

/** fq_mesh_new() - a node that has seen nothing yet. */
int fq_mesh_new (fq_mesh_t **out, const fq_mesh_options_t *options, fq_time_t now);

/** fq_mesh_free() - NULL-safe. */
void fq_mesh_free (fq_mesh_t *mesh);

/** fq_mesh_reduce() - let the node see one event; what is to be done is appended. */
void fq_mesh_reduce (fq_mesh_t *mesh,
                     const fq_mesh_event_t *event,
                     fq_mesh_effects_t *effects);

/** fq_mesh_next_timer() - when FQ_MESH_EVENT_TIMER is due, or FQ_TIMERS_NEVER. */
fq_time_t fq_mesh_next_timer (const fq_mesh_t *mesh);

/** fq_mesh_is_ready() - whether clients may send requests to this node. */
bool fq_mesh_is_ready (const fq_mesh_t *mesh);

/** fq_mesh_config_version() - of the configuration in force; 0: none. */
uint64_t fq_mesh_config_version (const fq_mesh_t *mesh);

/** fq_mesh_write_metrics() - append all counters and histograms as Prometheus text. */
void fq_mesh_write_metrics (const fq_mesh_t *mesh, fq_buffer_t *out);

#endif
