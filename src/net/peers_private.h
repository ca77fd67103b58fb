/**
 * DOC: What the connections to other nodes (peers.c) and the frames on them
 * (peer_frames.c) share.
 */
#ifndef FQ_NET_PEERS_PRIVATE_H
#define FQ_NET_PEERS_PRIVATE_H

#include "net/peer_connection.h"
#include "net/shell.h"
#include "util/random.h"

#define FQ_PEER_QUEUED_BYTES_MAX (32u << 20) /* on one connection, for more bodies */

/* A node that we open connections to. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  char address[FQ_ADDRESS_BYTES];
  fq_peer_connection_t *connection;
  fq_time_t retry_at;
  unsigned int failures; /* in a row */
  bool wanted;
  fq_time_t visit_until; /* connected for a moment only, to ask for tickets */
  bool ask_tickets;
  uint64_t ask_number;
} fq_peer_t;

/* A call or an answer whose body is still coming. */
typedef struct
{
  bool of_answer;
  fq_id_t attempt;
  fq_time_t announced;
  fq_request_t *request;
  fq_answer_t answer;
} fq_pending_t;

struct fq_peers
{
  fq_shell_t *shell;
  fq_peer_owner_t owner;
  struct lws_protocols protocols[2];
  struct lws_vhost *vhost;
  fq_map_t peers;        /* by node name */
  fq_map_t incoming;     /* proven connections by node name */
  fq_list_t connections; /* all */
  size_t guests;
  fq_random_t random;
  fq_peer_counts_t counts;
  bool refusing;
  fq_time_t logged;
};

/** fq_peers_refusal() - an answer of our own, without a body. */
fq_answer_t fq_peers_refusal (fq_cause_t cause, fq_outcome_t outcome);

/** fq_peers_feed_answer() - tell the core how an attempt at @node ended. */
void fq_peers_feed_answer (fq_peers_t *peers,
                           const char *node,
                           fq_id_t attempt,
                           const fq_answer_t *answer);

/** fq_peers_drop_pending() - free a fq_pending_t. */
void fq_peers_drop_pending (void *user);

/** fq_peers_send_answer() - or end the connection, when that is not possible. */
void fq_peers_send_answer (fq_peers_t *peers,
                           fq_peer_connection_t *connection,
                           fq_id_t attempt,
                           const fq_answer_t *answer);

/** fq_peers_send_goodbye() - no call follows on this connection. */
int fq_peers_send_goodbye (fq_peer_connection_t *connection);

/** fq_peers_send_tickets() - ask for tickets, or send some. */
int fq_peers_send_tickets (fq_peer_connection_t *connection,
                           const fq_tickets_effect_t *effect);

/** fq_peers_on_frame() - act on one frame; a negative code ends the connection. */
int fq_peers_on_frame (void *user,
                       fq_peer_connection_t *connection,
                       const Fq__Wire__Frame *frame);

#endif
