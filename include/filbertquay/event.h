/**
 * DOC: Everything that can happen to the core, as data.
 *
 * The shell owns an event and what it points to, unless a field says that the core
 * takes a reference of its own.
 */
#ifndef FQ_EVENT_H
#define FQ_EVENT_H

#include "filbertquay/message.h"
#include "filbertquay/store.h"
#include "filbertquay/types.h"

/** enum fq_event_kind_t - which member of the union in fq_event_t holds. */
typedef enum
{
  FQ_EVENT_TICK,                /* time has passed */
  FQ_EVENT_REQUEST,             /* a whole request from a caller or from our upstream */
  FQ_EVENT_CALLER_DISCONNECTED, /* the asker of @call closed its connection */
  FQ_EVENT_PEER_UP,             /* a connection to a node is ready */
  FQ_EVENT_PEER_DOWN,           /* it ended; all on it is lost */
  FQ_EVENT_ENTRY_DOWN,          /* the connection on which a node asks us ended */
  FQ_EVENT_PEER_CALL,           /* a node asks us to run a request */
  FQ_EVENT_PEER_CANCEL,         /* a node no longer wants the answer */
  FQ_EVENT_PEER_ANSWER,         /* a node answers an attempt of ours */
  FQ_EVENT_UPSTREAM_ANSWER,     /* our upstream answered whole */
  FQ_EVENT_UPSTREAM_FAILED,     /* our upstream did not */
  FQ_EVENT_ANNOUNCE,            /* our upstream says what it is */
  FQ_EVENT_DRAIN,               /* our upstream wants no new work */
  FQ_EVENT_WITHDRAW,            /* our upstream is gone */
  FQ_EVENT_STORE,               /* the platform answered an operation */
  FQ_EVENT_GOSSIP,              /* a datagram of a node, authenticated and decoded */
  FQ_EVENT_TICKETS,             /* a node sent tickets, or asks for them */
  FQ_EVENT_OPERATOR,            /* an operator asks something */
  FQ_EVENT_SHUTDOWN,            /* the node is to stop gracefully */
} fq_event_kind_t;

/** enum fq_source_t - where a request entered the node. */
typedef enum
{
  FQ_SOURCE_CALLER,   /* the caller listener */
  FQ_SOURCE_UPSTREAM, /* the loopback listener of our upstream */
} fq_source_t;

/** struct fq_request_event_t - a whole request; the core takes a reference of it. */
typedef struct
{
  fq_id_t call; /* the shell's name for the asker; replies go to it */
  fq_source_t source;
  char member[FQ_NAME_BYTES]; /* authenticated; empty for our upstream */
  fq_request_t *request;
} fq_request_event_t;

/** struct fq_call_event_t - names a call of the shell. */
typedef struct
{
  fq_id_t call;
} fq_call_event_t;

/** struct fq_peer_event_t - names a connected node. */
typedef struct
{
  char node[FQ_NAME_BYTES];
} fq_peer_event_t;

/** struct fq_peer_call_event_t - an attempt of @node; the core refs @request. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
  fq_request_t *request;
} fq_peer_call_event_t;

/** struct fq_peer_cancel_event_t - @node gives up its attempt. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
} fq_peer_cancel_event_t;

/** struct fq_peer_answer_event_t - the end of our attempt; the core refs the body. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
  fq_answer_t answer;
} fq_peer_answer_event_t;

/**
 * struct fq_upstream_answer_event_t - a whole answer; the core refs the body.
 *
 * Its outcome is whole, or not-run when the upstream says so of its own refusal.
 */
typedef struct
{
  fq_id_t run;
  fq_answer_t answer;
} fq_upstream_answer_event_t;

/** struct fq_upstream_failed_event_t - a run without a whole answer. */
typedef struct
{
  fq_id_t run;
  bool sent;    /* some byte of the request may have reached the upstream */
  bool refused; /* no connection could be opened */
} fq_upstream_failed_event_t;

/** struct fq_announce_event_t - what an upstream says of itself. */
typedef struct
{
  char service[FQ_SERVICE_BYTES]; /* "member/service" */
  char address[FQ_ADDRESS_BYTES]; /* where it takes requests */
  uint64_t incarnation;           /* grows with each start of the upstream */
  uint32_t slots;
  uint32_t connections;
} fq_announce_event_t;

/** enum fq_gossip_kind_t - the datagrams of membership. */
typedef enum
{
  FQ_GOSSIP_PING,
  FQ_GOSSIP_ACK,
  FQ_GOSSIP_PING_REQUEST, /* asks the receiver to ping @target for the sender */
  FQ_GOSSIP_SYNC,         /* asks for entries whose hash is above @sequence */
  FQ_GOSSIP_STATE,        /* these are; @sequence is the hash of the last, 0: no more */
} fq_gossip_kind_t;

/** enum fq_node_state_t - what membership says of a node. */
typedef enum
{
  FQ_NODE_ALIVE,
  FQ_NODE_SUSPECT,
  FQ_NODE_UNREACHABLE, /* silent, with its whole failure domain or region; kept */
  FQ_NODE_DEAD,
  FQ_NODE_LEFT,
} fq_node_state_t;

/** struct fq_node_entry_t - one node as gossip carries it. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES]; /* peer TCP and UDP */
  char failure_domain[FQ_NAME_BYTES];
  char region[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES]; /* empty when its upstream has not announced */
  uint64_t incarnation;
  fq_node_state_t state;
  uint32_t slots;
  bool ready; /* its upstream takes new work */
} fq_node_entry_t;

/** struct fq_poison_entry_t - a suspicion against a request, as gossip carries it. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t crash; /* names one crash of one upstream */
  uint32_t ttl_seconds;
} fq_poison_entry_t;

#define FQ_GOSSIP_ENTRIES_MAX 8 /* node entries in one datagram */
#define FQ_GOSSIP_POISON_MAX 4  /* suspicions in one datagram */

/** struct fq_gossip_t - one datagram, decoded. */
typedef struct
{
  fq_gossip_kind_t kind;
  uint64_t sequence;
  char from[FQ_NAME_BYTES];
  char from_address[FQ_ADDRESS_BYTES];
  char target[FQ_NAME_BYTES];
  char target_address[FQ_ADDRESS_BYTES];
  uint64_t ticket_number; /* the highest ticket that the sender knows */
  uint64_t digest;        /* of all nodes that the sender knows and their incarnations */
  size_t entry_count;
  fq_node_entry_t entries[FQ_GOSSIP_ENTRIES_MAX];
  size_t poison_count;
  fq_poison_entry_t poison[FQ_GOSSIP_POISON_MAX];
} fq_gossip_t;

/** enum fq_tickets_kind_t - how nodes exchange tickets. */
typedef enum
{
  FQ_TICKETS_REQUEST,  /* send me all after @number */
  FQ_TICKETS_RESPONSE, /* here are some, in order, as JSON documents */
} fq_tickets_kind_t;

/** struct fq_tickets_event_t - a ticket message of a node. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_tickets_kind_t kind;
  uint64_t number;
  char **documents; /* for FQ_TICKETS_RESPONSE; owned by the shell */
  size_t document_count;
} fq_tickets_event_t;

/** enum fq_operator_kind_t - what operators may ask. */
typedef enum
{
  FQ_OPERATOR_TICKET_FILE,
  FQ_OPERATOR_TICKET_SHOW,
  FQ_OPERATOR_TICKET_LIST,
  FQ_OPERATOR_STATUS,
  FQ_OPERATOR_EVENTS,
  FQ_OPERATOR_METRICS,
  FQ_OPERATOR_BURN,
} fq_operator_kind_t;

/** struct fq_operator_event_t - a question of an operator of @member. */
typedef struct
{
  fq_id_t call; /* the answer goes to it by FQ_EFFECT_OPERATOR_REPLY */
  char member[FQ_NAME_BYTES];
  fq_operator_kind_t kind;
  const char *argument; /* a ticket id or number, or the document that is filed */
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
    fq_operator_event_t operator_question;
  };
} fq_event_t;

#endif
