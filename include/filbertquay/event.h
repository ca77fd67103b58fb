/**
 * DOC: Events: all inputs of the core, as data.
 *
 * The shell owns an event and all that it points to, and may release them when
 * fq_core_reduce() has returned. What the core keeps it copies, or takes a reference of.
 */
#ifndef FQ_EVENT_H
#define FQ_EVENT_H

#include "filbertquay/message.h"
#include "filbertquay/store.h"
#include "filbertquay/types.h"

/** enum fq_event_kind_t - which member of the union in fq_event_t holds. */
typedef enum
{
  FQ_EVENT_TICK,                /* time has passed: see FQ_CORE_TICK_US */
  FQ_EVENT_REQUEST,             /* a complete request from a caller or the upstream */
  FQ_EVENT_CALLER_DISCONNECTED, /* the caller of @call closed its connection */
  FQ_EVENT_PEER_UP,             /* the outgoing connection to a node is authenticated */
  FQ_EVENT_PEER_DOWN,           /* that connection ended; attempts sent on it are lost */
  FQ_EVENT_ENTRY_DOWN,          /* the connection on which a node sent attempts ended */
  FQ_EVENT_PEER_CALL,           /* a node sent an attempt, to be run at this gate */
  FQ_EVENT_PEER_CANCEL,         /* a node no longer wants the answer of its attempt */
  FQ_EVENT_PEER_ANSWER,         /* a node answered an attempt of this node */
  FQ_EVENT_UPSTREAM_ANSWER,     /* the upstream sent the complete answer of a run */
  FQ_EVENT_UPSTREAM_FAILED,     /* a run ended without a complete answer */
  FQ_EVENT_ANNOUNCE,            /* the upstream announced its service and address */
  FQ_EVENT_DRAIN,               /* the upstream accepts no new requests */
  FQ_EVENT_WITHDRAW,            /* the upstream withdrew its announcement */
  FQ_EVENT_STORE,               /* the store answered an operation */
  FQ_EVENT_GOSSIP,              /* a membership datagram, authenticated and decoded */
  FQ_EVENT_TICKETS,             /* a node sent tickets, or requests them */
  FQ_EVENT_OPERATOR,            /* an operator sent a query */
  FQ_EVENT_SHUTDOWN,            /* the node is to shut down gracefully */
} fq_event_kind_t;

/** enum fq_source_t - where a request entered the node. */
typedef enum
{
  FQ_SOURCE_CALLER,   /* the caller listener */
  FQ_SOURCE_UPSTREAM, /* the loopback listener for this node's upstream */
} fq_source_t;

/**
 * struct fq_request_event_t - a request received completely.
 *
 * The core takes a reference to @request and sets its member, chain_id, request_class,
 * once and ticket_number. A service that an upstream names as "/service" becomes
 * "member/service".
 */
typedef struct
{
  fq_id_t call; /* chosen by the shell; identifies the request in FQ_EFFECT_REPLY */
  fq_source_t source;
  char member[FQ_NAME_BYTES]; /* authenticated caller; empty for FQ_SOURCE_UPSTREAM */
  fq_request_t *request;
} fq_request_event_t;

/** struct fq_call_event_t - the @call of an earlier fq_request_event_t. */
typedef struct
{
  fq_id_t call;
} fq_call_event_t;

/** struct fq_peer_event_t - the node at the other end of a connection. */
typedef struct
{
  char node[FQ_NAME_BYTES];
} fq_peer_event_t;

/** struct fq_peer_call_event_t - an attempt that @node sent; the core refs @request. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
  fq_request_t *request;
} fq_peer_call_event_t;

/** struct fq_peer_cancel_event_t - @node cancels its attempt. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
} fq_peer_cancel_event_t;

/** struct fq_peer_answer_event_t - answer to a sent attempt; the core refs the body. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
  fq_answer_t answer;
} fq_peer_answer_event_t;

/**
 * struct fq_upstream_answer_event_t - a complete answer; the core refs the body.
 *
 * Its outcome is FQ_OUTCOME_ANSWERED, or FQ_OUTCOME_NOT_RUN when the upstream refused the
 * request and states that it did not execute it.
 */
typedef struct
{
  fq_id_t run;
  fq_answer_t answer;
} fq_upstream_answer_event_t;

/** struct fq_upstream_failed_event_t - a run without a complete answer. */
typedef struct
{
  fq_id_t run;
  bool sent;           /* the upstream may have received some of the request */
  bool connect_failed; /* no connection could be opened */
} fq_upstream_failed_event_t;

/** struct fq_announce_event_t - what an upstream declares about itself. */
typedef struct
{
  char service[FQ_SERVICE_BYTES]; /* "member/service" */
  char address[FQ_ADDRESS_BYTES]; /* "ip:port" at which it accepts requests */
  uint64_t incarnation;           /* grows with each start of the upstream */
  uint32_t slots;                 /* requests that it can run at once; 0 admits none */
  uint32_t connections; /* that it accepts; a concurrency limit never exceeds this;
                           0 admits none */
} fq_announce_event_t;

/** enum fq_gossip_kind_t - kinds of membership datagram. */
typedef enum
{
  FQ_GOSSIP_PING,
  FQ_GOSSIP_ACK,          /* answers a ping; repeats its @sequence */
  FQ_GOSSIP_PING_REQUEST, /* asks the receiver to ping @target for the sender */
  FQ_GOSSIP_SYNC,  /* requests entries of nodes whose name hash exceeds @sequence */
  FQ_GOSSIP_STATE, /* answers a sync; @sequence: hash of the last entry, 0: complete */
} fq_gossip_kind_t;

/** enum fq_node_state_t - state of a node in the membership. */
typedef enum
{
  FQ_NODE_ALIVE,
  /* It did not answer probes; becomes dead or unreachable unless it answers or refutes
   * the suspicion in time. */
  FQ_NODE_SUSPECT,
  /* It does not answer, and neither does any node of its failure domain or region. It
   * stays in the membership for six hours (FQ_RETENTION_US), then it is dead. */
  FQ_NODE_UNREACHABLE,
  FQ_NODE_DEAD,
  FQ_NODE_LEFT, /* shut down gracefully */
} fq_node_state_t;

/** struct fq_node_entry_t - one node, as in gossip. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES]; /* "ip:port" of its peer listener, TCP and UDP */
  char failure_domain[FQ_NAME_BYTES];
  char region[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES]; /* of its upstream; empty: none has announced itself */
  uint64_t incarnation;
  fq_node_state_t state;
  uint32_t slots; /* announced by its upstream */
  bool ready;     /* node and upstream accept new requests */
} fq_node_entry_t;

/** struct fq_poison_entry_t - a request suspected of crashing upstreams, as in gossip. */
typedef struct
{
  uint64_t fingerprint; /* of the request: see fq_request_fingerprint() */
  uint64_t crash_id;    /* id of one crash of one upstream; 0: the request is cleared */
  uint32_t ttl_seconds; /* time until the suspicion expires */
} fq_poison_entry_t;

#define FQ_GOSSIP_ENTRIES_MAX 8 /* node entries in one datagram */
#define FQ_GOSSIP_POISON_MAX 4  /* suspected requests in one datagram */

/** struct fq_gossip_t - one membership datagram, decoded. */
typedef struct
{
  fq_gossip_kind_t kind;
  uint64_t sequence; /* see fq_gossip_kind_t */
  char from[FQ_NAME_BYTES];
  char from_address[FQ_ADDRESS_BYTES];
  char target[FQ_NAME_BYTES];
  char target_address[FQ_ADDRESS_BYTES];
  uint64_t ticket_number; /* highest ticket in force at the sender; 0: the sender has not
                             yet confirmed that its tickets are current */
  uint64_t digest;        /* hash of the names and incarnations of all nodes that are
                             neither dead nor left in the sender's view */
  size_t entry_count;
  fq_node_entry_t entries[FQ_GOSSIP_ENTRIES_MAX];
  size_t poison_count;
  fq_poison_entry_t poison[FQ_GOSSIP_POISON_MAX];
} fq_gossip_t;

/**
 * enum fq_tickets_kind_t - messages by which nodes exchange tickets.
 *
 * A ticket is a numbered change of the rules in force, filed by an operator.
 */
typedef enum
{
  FQ_TICKETS_REQUEST, /* requests all tickets after @number */
  FQ_TICKETS_ANSWER,  /* sends them as JSON documents, in order */
} fq_tickets_kind_t;

/** struct fq_tickets_event_t - a message of @node about tickets. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_tickets_kind_t kind;
  uint64_t number;  /* highest ticket that the sender has */
  char **documents; /* for FQ_TICKETS_ANSWER; owned by the shell */
  size_t document_count;
} fq_tickets_event_t;

/** enum fq_operator_kind_t - queries and commands of operators. */
typedef enum
{
  FQ_OPERATOR_TICKET_FILE, /* file a new ticket */
  FQ_OPERATOR_TICKET_SHOW,
  FQ_OPERATOR_TICKET_LIST,
  FQ_OPERATOR_STATUS,
  FQ_OPERATOR_EVENTS,
  FQ_OPERATOR_METRICS,
  FQ_OPERATOR_BURN, /* report of error-budget burn */
} fq_operator_kind_t;

/** struct fq_operator_event_t - a query of an operator of @member. */
typedef struct
{
  fq_id_t call; /* chosen by the shell; identifies it in FQ_EFFECT_OPERATOR_REPLY */
  char member[FQ_NAME_BYTES];
  fq_operator_kind_t kind;
  const char *argument; /* ticket id or number, or the document to file; never
                           NULL; "" when the query has none */
} fq_operator_event_t;

/** struct fq_event_t - one event. */
typedef struct
{
  fq_event_kind_t kind;
  fq_time_t now;   /* monotonic, microseconds */
  int64_t wall_ms; /* wall clock, milliseconds since 1970; only for reports */
  union
  {
    fq_request_event_t request;
    fq_call_event_t caller_disconnected;
    fq_peer_event_t peer;
    fq_peer_call_event_t peer_call;
    fq_peer_cancel_event_t peer_cancel;
    fq_peer_answer_event_t peer_answer;
    fq_upstream_answer_event_t upstream_answer;
    fq_upstream_failed_event_t upstream_failed;
    fq_announce_event_t announce;
    fq_store_answer_t store;
    fq_gossip_t gossip;
    fq_tickets_event_t tickets;
    fq_operator_event_t operator_query;
  };
} fq_event_t;

#endif
