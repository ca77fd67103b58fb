/**
 * DOC: The frames of the protocol between nodes, in decoded form.
 *
 * A node has two roles. As entry it accepts the requests that clients on its VM send;
 * as gate it admits requests to the server on its VM. Each entry opens a
 * connection to the gate of every other node. On it, the entry sends HELLO, OFFER,
 * MESSAGE, CANCEL, PING and CONFIG_REQUEST; the gate sends the other kinds.
 *
 * The OFFER of an idempotent request whose body has at most 16 KiB carries the request
 * itself. The OFFER of any other request does not: the gate sends GRANT when the request
 * can start at once, and only then the entry sends it in MESSAGE. If the connection is
 * lost before the grant, the request has certainly not been executed and may go to
 * another gate.
 */
#ifndef FQ_MESH_FRAME_H
#define FQ_MESH_FRAME_H

#include "filbertquay/types.h"
#include "http/message.h"
#include "util/text.h"

/** typedef fq_node_address_t - IPv4 address in host byte order; identifies a node. */
typedef uint32_t fq_node_address_t;

/** enum fq_frame_kind_t - the kind of a frame, after the role that sends it. */
typedef enum
{
  FQ_FRAME_HELLO = 1, /* entry: first frame, with its zone and known nodes */
  FQ_FRAME_WELCOME,   /* gate: answer to HELLO: the same, and the state of its server */
  FQ_FRAME_SERVER,    /* gate: the state of its server changed */
  FQ_FRAME_OFFER,     /* entry: requests the execution of a request */
  FQ_FRAME_GRANT,     /* gate: the offered request can start; requests MESSAGE */
  FQ_FRAME_MESSAGE,   /* entry: the request that was granted */
  FQ_FRAME_REFUSE,    /* gate: the request was not executed and will not be */
  FQ_FRAME_ANSWER,    /* gate: the complete answer of the server */
  FQ_FRAME_FAILED,    /* gate: no answer; the request may have been executed */
  FQ_FRAME_CANCEL,    /* entry: the answer is not needed any more */
  FQ_FRAME_PING,      /* entry: liveness check */
  FQ_FRAME_PONG,      /* gate: answer to PING */
  FQ_FRAME_CRASH_SUSPECTS,   /* gate: requests that ran when its server crashed */
  FQ_FRAME_CONFIG_REQUEST,   /* entry: requests a configuration newer than @number */
  FQ_FRAME_CONFIG,           /* gate: the configuration that was requested */
  FQ_FRAME_SUSPECTS_CLEARED, /* gate: its server answered requests that were suspected */
} fq_frame_kind_t;

/** enum fq_gate_cause_t - why a gate refused a request or got no answer to it. */
typedef enum
{
  FQ_GATE_CAUSE_NONE,
  FQ_GATE_CAUSE_OVERLOADED, /* its wait was or would be too long, or its chain is shed */
  FQ_GATE_CAUSE_NO_SERVER,  /* the gate has no server of the service that accepts work */
  FQ_GATE_CAUSE_REFUSED_BY_SERVER, /* the server refused the request without executing it
                                    */
  FQ_GATE_CAUSE_RETRY_BUDGET,      /* the repeat budget is used up */
  FQ_GATE_CAUSE_EXPIRED, /* no time was left, or the grant expired before MESSAGE */
  FQ_GATE_CAUSE_CONNECT_FAILED,  /* can't connect to the server; nothing was sent */
  FQ_GATE_CAUSE_CONNECTION_LOST, /* the connection to the server broke before the answer
                                  */
  FQ_GATE_CAUSE_INVALID_ANSWER,  /* the server's answer was malformed or another process's
                                  */
  FQ_GATE_CAUSE_CRASHES_SERVERS, /* refused: it ran during several server crashes */
  FQ_GATE_CAUSE_RATE_LIMITED, /* its wait for the server's rate limit was or would be too
                               * long */
  FQ_GATE_CAUSE_ISOLATED,     /* another request that may crash servers was running */
  FQ_GATE_CAUSE_NO_MEMORY,    /* bodies and answers leave no memory for this one */
  FQ_GATE_CAUSE_COUNT,
} fq_gate_cause_t;

/** enum fq_phase_t - whether a server accepts requests. */
typedef enum
{
  FQ_PHASE_ABSENT, /* not known to be up, or its drain has ended */
  FQ_PHASE_READY,
  FQ_PHASE_DRAINING, /* leaving; entries prefer other gates */
} fq_phase_t;

/** struct fq_gate_load_t - the load of a gate. */
typedef struct
{
  uint32_t limit;     /* concurrency limit */
  uint32_t in_flight; /* requests that are executed, or granted and not yet received */
  uint32_t queued;    /* requests in the admission queue */
  uint32_t wait_ms;   /* longest expected wait of a new request, over their ranks */
  uint64_t config_version; /* in force at the sender; 0: none */
  double rate_limit;       /* requests a second that the server accepts; 0: no limit */
} fq_gate_load_t;

/** struct fq_server_t - the server on the VM of a gate; names may be empty. */
typedef struct
{
  fq_text_t *service;
  fq_text_t *instance;
  uint64_t started_ms; /* as reported by the server; 0: not known */
  fq_phase_t phase;
} fq_server_t;

/** struct fq_server_recall_t - what an entry was told earlier of the server beside a
 * gate; see server_memory.h. Ages are in milliseconds at the time of sending. */
typedef struct
{
  fq_text_t *instance; /* empty: it was told nothing */
  uint64_t started_ms;
  bool leaving;
  uint64_t leaving_ms; /* since it learned that the server is leaving */
  double rate_limit;
  uint64_t rate_age_ms; /* since it was told the rate limit, or that there is none */
} fq_server_recall_t;

/** struct fq_offer_t - what a gate needs to know of a request to decide on admission. */
typedef struct
{
  fq_text_t *service;
  fq_text_t *request_id;
  fq_text_t *caller;     /* service on the VM of the entry */
  uint32_t rank;         /* order in the admission queue; lower ranks start first */
  uint32_t remaining_ms; /* until the deadline */
  uint32_t latency_objective_ms; /* answer time that operators aim for; 0: none */
  uint64_t route;                /* id of the route; not 0 */
  uint64_t chain;       /* hash of the client request at the root of the call tree */
  uint64_t fingerprint; /* hash of what the server is asked to do; not 0 */
  bool idempotent;
  /* An earlier attempt reached a server, or the run that makes this call is a repeat. */
  bool repeat;
  uint64_t body_bytes; /* of its body, which the gate has to hold */
} fq_offer_t;

/** struct fq_frame_t - one frame; fields that its kind does not use are zero. */
typedef struct
{
  fq_frame_kind_t kind;
  fq_id_t attempt; /* number that the entry gave to the attempt */
  /* Load of the gate, in every frame from a gate; frames from an entry carry only
   * config_version in it. */
  fq_gate_load_t gate_load;
  fq_server_t server;
  fq_server_recall_t recall; /* HELLO */
  fq_offer_t offer;
  fq_http_message_t *message; /* counted reference, or NULL */
  fq_gate_cause_t cause;
  bool reached_server; /* REFUSE: the server got the request but did not execute it */
  /* ANSWER: internal calls of the run failed, none for lack of capacity or time. */
  bool failed_not_for_capacity;
  uint32_t retry_after_ms; /* REFUSE, FAILED: wait before a retry */
  uint64_t number; /* CONFIG_REQUEST, CONFIG: version; CRASH_SUSPECTS: id of the crash */
  fq_text_t *zone;
  fq_node_address_t *nodes; /* owned */
  size_t node_count;
  bool alone;             /* CRASH_SUSPECTS: no other isolated request was running */
  uint64_t *fingerprints; /* owned */
  size_t fingerprint_count;
  uint8_t *document; /* owned */
  size_t document_size;
} fq_frame_t;

/** fq_server_set() - let @server be equal to @from, with references of its own. */
void fq_server_set (fq_server_t *server, const fq_server_t *from);

/** fq_server_clear() - drop the references of @server and zero it. */
void fq_server_clear (fq_server_t *server);

/** fq_offer_ref() - take references for a copy of an offer. */
void fq_offer_ref (fq_offer_t *offer);

/** fq_offer_clear() - drop the references of @offer and zero it. */
void fq_offer_clear (fq_offer_t *offer);

/** fq_frame_clear() - free what the frame owns and zero it; not the frame itself. */
void fq_frame_clear (fq_frame_t *frame);

/** fq_gate_cause_name() - the name of a cause in logs and metrics; a static string. */
const char *fq_gate_cause_name (fq_gate_cause_t refusal);

/** fq_phase_name() - the name of a phase in logs; a static string. */
const char *fq_phase_name (fq_phase_t phase);

#endif
