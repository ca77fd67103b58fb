/**
 * DOC: Effects: the actions that the core requests, as data.
 *
 * One call of fq_core_reduce() appends effects in the order in which they are to be
 * carried out. An effect owns the requests, bodies and documents that it points to;
 * fq_effects_clear() releases them.
 *
 * An attempt is one try of the entry node (where a request entered) to have the request
 * run at a node with an upstream. A run is the execution of an attempt there.
 */
#ifndef FQ_EFFECT_H
#define FQ_EFFECT_H

#include "filbertquay/event.h"
#include "filbertquay/message.h"
#include "filbertquay/store.h"
#include "filbertquay/types.h"

/** enum fq_effect_kind_t - which member of the union in fq_effect_t holds. */
typedef enum
{
  FQ_EFFECT_REPLY,        /* send the answer of a call to its caller; ends the call */
  FQ_EFFECT_PEER_CALL,    /* send an attempt to another node */
  FQ_EFFECT_PEER_CANCEL,  /* notify a node that the answer of an attempt is not needed */
  FQ_EFFECT_PEER_ANSWER,  /* send the answer of an attempt to its entry node */
  FQ_EFFECT_PEER_CONNECT, /* open a connection to a node, and reopen it when lost */
  FQ_EFFECT_PEER_CLOSE,   /* close the connection to a node and don't reopen it */
  FQ_EFFECT_UPSTREAM_START, /* send the request of a run to this node's upstream */
  FQ_EFFECT_UPSTREAM_ABORT, /* close the upstream connection of a run */
  FQ_EFFECT_STORE,          /* send an operation to the platform's store */
  FQ_EFFECT_GOSSIP,         /* send a membership datagram */
  FQ_EFFECT_TICKETS,        /* send tickets to a node, or request them from it */
  FQ_EFFECT_OPERATOR_REPLY, /* answer an operator */
  FQ_EFFECT_LOG,            /* write one line to the log */
  FQ_EFFECT_STOPPED,        /* the graceful shutdown is complete */
} fq_effect_kind_t;

#define FQ_LOG_TEXT_BYTES 192 /* one log line, with its NUL; longer ones are cut */

/** enum fq_log_level_t - severity of a log line, least severe first. */
typedef enum
{
  FQ_LOG_DEBUG,
  FQ_LOG_INFO,
  FQ_LOG_WARNING,
  FQ_LOG_ERROR,
} fq_log_level_t;

/** struct fq_reply_effect_t - of FQ_EFFECT_REPLY. */
typedef struct
{
  fq_id_t call; /* of the FQ_EVENT_REQUEST */
  fq_answer_t answer;
} fq_reply_effect_t;

/** struct fq_peer_call_effect_t - of FQ_EFFECT_PEER_CALL. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
  uint32_t remaining_ms;    /* until the deadline; in place of that in @request */
  uint32_t retry_allowance; /* retries for internal calls; in place of that in @request */
  fq_request_t *request;
} fq_peer_call_effect_t;

/** struct fq_peer_cancel_effect_t - of FQ_EFFECT_PEER_CANCEL. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  fq_id_t attempt;
} fq_peer_cancel_effect_t;

/** struct fq_peer_answer_effect_t - of FQ_EFFECT_PEER_ANSWER. */
typedef struct
{
  char node[FQ_NAME_BYTES]; /* the entry node of @attempt */
  fq_id_t attempt;
  fq_answer_t answer;
} fq_peer_answer_effect_t;

/** struct fq_peer_connect_effect_t - of FQ_EFFECT_PEER_CONNECT and ..._CLOSE. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES]; /* "ip:port" of its peer listener; empty for a close */
  /* Of a close: the node left in a planned stop. It ends the connection itself after its
   * last answers, which may still be under way. */
  bool left;
} fq_peer_connect_effect_t;

/** struct fq_upstream_start_effect_t - of FQ_EFFECT_UPSTREAM_START. */
typedef struct
{
  fq_id_t run;
  char address[FQ_ADDRESS_BYTES];
  char chain[FQ_HEADER_BYTES]; /* token that the upstream sends with its own calls */
  uint32_t remaining_ms;       /* until the deadline */
  fq_request_t *request;
} fq_upstream_start_effect_t;

/** struct fq_upstream_abort_effect_t - of FQ_EFFECT_UPSTREAM_ABORT. */
typedef struct
{
  fq_id_t run;
} fq_upstream_abort_effect_t;

/** struct fq_gossip_effect_t - of FQ_EFFECT_GOSSIP. */
typedef struct
{
  char address[FQ_ADDRESS_BYTES];
  fq_gossip_t message;
} fq_gossip_effect_t;

/** struct fq_tickets_effect_t - of FQ_EFFECT_TICKETS. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  /* Address of the node, to connect to for an FQ_TICKETS_REQUEST without a connection.
   * Empty: the node is expected to be connected; the message is dropped if it is not. */
  char address[FQ_ADDRESS_BYTES];
  fq_tickets_kind_t kind;
  uint64_t number;  /* highest ticket that this node has */
  char **documents; /* JSON texts, owned by the effect; NULL: none */
  size_t document_count;
} fq_tickets_effect_t;

/** struct fq_operator_reply_effect_t - of FQ_EFFECT_OPERATOR_REPLY. */
typedef struct
{
  fq_id_t call;             /* of the FQ_EVENT_OPERATOR */
  uint16_t status;          /* HTTP status */
  const char *content_type; /* static */
  char *body;               /* owned by the effect; never NULL */
} fq_operator_reply_effect_t;

/** struct fq_log_effect_t - of FQ_EFFECT_LOG. */
typedef struct
{
  fq_log_level_t level;
  const char *component; /* static: the component that logs, written before the text */
  char text[FQ_LOG_TEXT_BYTES];
} fq_log_effect_t;

/** struct fq_effect_t - one effect; owns what it points to. */
typedef struct
{
  fq_effect_kind_t kind;
  union
  {
    fq_reply_effect_t reply;
    fq_peer_call_effect_t peer_call;
    fq_peer_cancel_effect_t peer_cancel;
    fq_peer_answer_effect_t peer_answer;
    fq_peer_connect_effect_t peer_connect; /* also of FQ_EFFECT_PEER_CLOSE */
    fq_upstream_start_effect_t upstream_start;
    fq_upstream_abort_effect_t upstream_abort;
    fq_store_op_t *store; /* a shell that takes it over sets this to NULL */
    fq_gossip_effect_t *gossip;
    fq_tickets_effect_t tickets;
    fq_operator_reply_effect_t operator_reply;
    fq_log_effect_t log;
  };
} fq_effect_t;

/** struct fq_effects_t - a growing array of effects; zero-initialise before use. */
typedef struct
{
  fq_effect_t *items;
  size_t count;
  size_t capacity;
} fq_effects_t;

/**
 * fq_effects_add() - append a zeroed effect of @kind.
 *
 * Aborts the process when memory runs out, since a lost effect would break a guarantee of
 * the core.
 *
 * Return: the effect, never NULL; valid until the next effect is added.
 */
fq_effect_t *fq_effects_add (fq_effects_t *effects, fq_effect_kind_t kind);

/**
 * fq_effects_log() - append an FQ_EFFECT_LOG.
 * @component: static; the component that logs
 * @format: a printf format; the text is cut to FQ_LOG_TEXT_BYTES
 */
void fq_effects_log (fq_effects_t *effects,
                     fq_log_level_t level,
                     const char *component,
                     const char *format,
                     ...) __attribute__ ((format (printf, 4, 5)));

/** fq_effects_clear() - release all effects and what they own, and keep the array. */
void fq_effects_clear (fq_effects_t *effects);

/** fq_effects_free() - release all effects and the array. */
void fq_effects_free (fq_effects_t *effects);

#endif
