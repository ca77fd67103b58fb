/**
 * DOC: Types and functions shared by peers.c (connections to other nodes) and
 * peer_frames.c (frames on them).
 */
#ifndef FQ_NET_PEERS_PRIVATE_H
#define FQ_NET_PEERS_PRIVATE_H

#include "net/peer_connection.h"
#include "net/shell.h"
#include "util/random.h"

/* Above this many queued bytes on a connection, calls whose body follows in Data frames
 * are not sent, and answers are replaced by error answers. */
#define FQ_PEER_QUEUED_BYTES_MAX (32u << 20)

/* A node that this node opens connections to. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES];
  fq_peer_connection_t *connection; /* NULL: none */
  fq_time_t reconnect_at;           /* earliest time of the next attempt to connect */
  unsigned int failures;            /* consecutive failed attempts to connect */
  bool keep_connected;              /* the core wants a connection */
  fq_time_t temporary_until;        /* stay connected for a ticket request; 0: no */
  bool request_tickets;             /* request tickets once connected */
  uint64_t request_number;          /* request the tickets after this number */
} fq_peer_t;

/* A call or an answer whose body is not received completely. */
typedef struct
{
  bool of_answer; /* true: @answer is set, @request is NULL; false: the reverse */
  fq_id_t attempt;
  fq_time_t announced_at; /* when the Call was received; 0 for an answer */
  fq_request_t *request;
  fq_answer_t answer;
} fq_pending_body_t;

struct fq_peers
{
  fq_shell_t *shell;
  fq_peer_owner_t owner;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  fq_map_t peers;         /* by node name */
  fq_map_t incoming;      /* authenticated incoming connections by node name */
  fq_list_t connections;  /* all */
  size_t unauthenticated; /* incoming connections in their handshake */
  fq_random_t random;
  fq_peer_counts_t counts;
  bool draining;         /* refuse calls of other nodes */
  fq_time_t last_log_at; /* 0: never */
};

/** fq_peers_error_answer() - an answer without a body that this node makes itself. */
fq_answer_t fq_peers_error_answer (fq_cause_t cause, fq_outcome_t outcome);

/** fq_peers_feed_answer() - pass the answer to an attempt sent to @node to the core. */
void fq_peers_feed_answer (fq_peers_t *peers,
                           const char *node,
                           fq_id_t attempt,
                           const fq_answer_t *answer);

/** fq_peers_free_pending_body() - free an fq_pending_body_t. */
void fq_peers_free_pending_body (void *user);

/**
 * fq_peers_send_answer() - send @answer, or an error answer with FQ_OUTCOME_UNKNOWN when
 * it can't be packed or too many bytes are queued; closes the connection when no answer
 * can be queued.
 */
void fq_peers_send_answer (fq_peers_t *peers,
                           fq_peer_connection_t *connection,
                           fq_id_t attempt,
                           const fq_answer_t *answer);

/**
 * fq_peers_send_goodbye() - on an incoming connection, request the other node to send no
 * more calls; on an outgoing one, confirm that none follow.
 *
 * Return: as fq_peer_connection_send().
 */
int fq_peers_send_goodbye (fq_peer_connection_t *connection);

/**
 * fq_peers_send_tickets() - send a ticket request or tickets.
 *
 * Return: 0; FQ_ERROR_TOOBIG when the tickets don't fit into one frame.
 */
int fq_peers_send_tickets (fq_peer_connection_t *connection,
                           const fq_tickets_effect_t *effect);

/** fq_peers_on_frame() - handle one frame; a negative code ends the connection. */
int fq_peers_on_frame (void *user,
                       fq_peer_connection_t *connection,
                       const Fq__Wire__Frame *frame);

#endif
