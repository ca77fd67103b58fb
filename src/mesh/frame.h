/**
 * DOC: What nodes say to each other, as data.
 *
 * The node at which a request entered opens a connection to each gate. On it, the entry
 * sends HELLO, OFFER, MESSAGE, CANCEL, PING and CONFIG_WANTED; the gate answers with the
 * others.
 *
 * An offer of a request that may not be repeated goes without the request. The gate
 * grants it when there is room to start it, and only then gets the request itself, so
 * that a gate that is lost before its grant cannot have run it.
 */
#ifndef FQ_MESH_FRAME_H
#define FQ_MESH_FRAME_H

#include "filbertquay/types.h"
#include "http/message.h"

#define FQ_REQUEST_ID_BYTES 256 /* a caller's id; calls add to that of their origin */
#define FQ_INSTANCE_BYTES 96    /* an id of one start of a server, with its NUL */

/** typedef fq_node_address_t - the IPv4 address of a node, in host order; names it. */
typedef uint32_t fq_node_address_t;

/** enum fq_frame_kind_t - what a frame is. */
typedef enum
{
  FQ_FRAME_HELLO = 1,      /* entry: who I am, and which nodes I know */
  FQ_FRAME_WELCOME,        /* gate: the same, with its server */
  FQ_FRAME_SERVER,         /* gate: its server changed */
  FQ_FRAME_OFFER,          /* entry: will you run this? */
  FQ_FRAME_GRANT,          /* gate: send the request */
  FQ_FRAME_MESSAGE,        /* entry: here it is */
  FQ_FRAME_REFUSE,         /* gate: it did not run and will not */
  FQ_FRAME_ANSWER,         /* gate: the whole answer of the server */
  FQ_FRAME_FAILED,         /* gate: it may have run; there is no answer */
  FQ_FRAME_CANCEL,         /* entry: nobody waits for it any more */
  FQ_FRAME_PING,           /* entry: are you there? */
  FQ_FRAME_PONG,           /* gate: yes */
  FQ_FRAME_CRASH_SUSPECTS, /* gate: these ran when its server crashed */
  FQ_FRAME_CONFIG_REQUEST, /* either: send a configuration newer than @number */
  FQ_FRAME_CONFIG,         /* either: here it is */
} fq_frame_kind_t;

/** enum fq_refusal_t - why a gate refused or failed. */
typedef enum
{
  FQ_REFUSAL_NONE,
  FQ_REFUSAL_OVERLOADED,      /* it would wait too long */
  FQ_REFUSAL_NO_SERVER,       /* no server of that service is here, or it is leaving */
  FQ_REFUSAL_BY_SERVER,       /* the server itself refused it */
  FQ_REFUSAL_RETRY_BUDGET,    /* too many repeats of late */
  FQ_REFUSAL_EXPIRED,         /* no time is left for it */
  FQ_REFUSAL_CONNECT_FAILED,  /* no connection to the server; nothing was sent */
  FQ_REFUSAL_CONNECTION_LOST, /* the connection to the server broke */
  FQ_REFUSAL_INVALID_ANSWER,  /* the server's answer was none */
  FQ_REFUSAL_CRASHES_SERVERS, /* it crashed servers before */
  FQ_REFUSAL_COUNT,
} fq_refusal_t;

/** enum fq_phase_t - what a server is ready for. */
typedef enum
{
  FQ_PHASE_ABSENT,
  FQ_PHASE_READY,
  FQ_PHASE_DRAINING, /* takes work that is under way, until its drain is over */
} fq_phase_t;

/** struct fq_gate_load_t - how full a gate is. */
typedef struct
{
  uint32_t limit;     /* requests that may run at once */
  uint32_t in_flight; /* requests that run now */
  uint32_t queued;    /* requests that wait */
  uint32_t wait_ms;   /* that new work has to wait, of the rank that waits longest */
  uint64_t config_version;
} fq_gate_load_t;

/** struct fq_server_t - the server beside a gate. */
typedef struct
{
  char service[FQ_NAME_BYTES];
  char instance[FQ_INSTANCE_BYTES];
  fq_phase_t phase;
} fq_server_t;

/** struct fq_offer_t - what a gate has to know of a request before it takes it. */
typedef struct
{
  char service[FQ_NAME_BYTES];
  char request_id[FQ_REQUEST_ID_BYTES];
  char caller[FQ_NAME_BYTES]; /* service at whose machine the request began */
  uint32_t rank;              /* lower starts first */
  uint32_t remaining_ms;
  uint32_t latency_objective_ms;
  uint64_t route;
  uint64_t chain;       /* hash of the request with which all began */
  uint64_t fingerprint; /* of what the server would be asked to do */
  bool idempotent;
  bool repeat; /* it reached a server before */
} fq_offer_t;

/** struct fq_frame_t - one frame; zero what its kind does not use. */
typedef struct
{
  fq_frame_kind_t kind;
  fq_id_t attempt;
  fq_gate_load_t room; /* of every frame from a gate */
  fq_server_t server;
  fq_offer_t offer;
  fq_http_message_t *message; /* counted reference; NULL: none */
  fq_refusal_t cause;
  bool reached_server; /* the server got the request, though it did not run */
  bool lost_otherwise; /* of an answer: its run lost calls, but none for lack of room */
  uint32_t retry_after_ms;
  uint64_t number; /* of a ping; the version of a configuration; the name of a crash */
  char zone[FQ_NAME_BYTES];
  fq_node_address_t *nodes; /* owned */
  size_t node_count;
  uint64_t *fingerprints; /* owned */
  size_t fingerprint_count;
  uint8_t *document; /* owned */
  size_t document_size;
} fq_frame_t;

/** fq_frame_clear() - drop what the frame holds. */
void fq_frame_clear (fq_frame_t *frame);

/** fq_refusal_name() - a cause as logs and counters write it. */
const char *fq_refusal_name (fq_refusal_t refusal);

/** fq_phase_name() - a phase as logs write it. */
const char *fq_phase_name (fq_phase_t phase);

#endif
