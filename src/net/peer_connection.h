/**
 * DOC: One authenticated connection between two nodes.
 *
 * Both sides send Hello, then Proof; any other frame before a valid Proof of the other
 * side ends the connection. A connection on which nothing is received is pinged, and
 * ended when nothing is received after the ping either.
 */
#ifndef FQ_NET_PEER_CONNECTION_H
#define FQ_NET_PEER_CONNECTION_H

#include <libwebsockets.h>

#include "net/auth.h"
#include "net/body_transfer.h"
#include "net/frame_stream.h"
#include "wire/peer.pb-c.h"

/**
 * FQ_PEER_PING_US - silence until a ping while answers are due or bytes are queued; also
 * the timeout of a ping.
 */
#define FQ_PEER_PING_US 1000000
#define FQ_PEER_IDLE_PING_US 10000000 /* silence until a ping on an idle connection */
#define FQ_PEER_HANDSHAKE_TIMEOUT_US 2000000

typedef struct fq_peer_connection fq_peer_connection_t;

/** enum fq_peer_end_t - why a connection ended. */
typedef enum
{
  FQ_PEER_END_CLOSED,         /* by the other side or the system */
  FQ_PEER_END_TIMEOUT,        /* of the handshake or a ping */
  FQ_PEER_END_AUTH_FAILED,    /* invalid handshake or proof, or a frame out of turn */
  FQ_PEER_END_PROTOCOL_ERROR, /* malformed, oversized or invalid frames; no memory */
} fq_peer_end_t;

/** struct fq_peer_owner_t - callbacks and settings of all connections of a node. */
typedef struct
{
  const char *node; /* name of this node */
  struct lws_context *context;
  struct lws_vhost *vhost; /* of outgoing connections */
  fq_auth_keys_t keys;
  /* The other side is authenticated. */
  void (*on_ready) (void *user, fq_peer_connection_t *connection);
  /* A frame other than those of handshake, keep-alive and credit. Return: 0, or a
   * negative code that ends the connection. */
  int (*on_frame) (void *user,
                   fq_peer_connection_t *connection,
                   const Fq__Wire__Frame *frame);
  /* The connection ended before @attempt was written to the socket completely: it can't
   * have run. @allowance is that of fq_peer_connection_send_call(). */
  void (*on_not_written) (void *user,
                          fq_peer_connection_t *connection,
                          fq_id_t attempt,
                          uint32_t allowance);
  /* The connection ended before a body was complete; @user as in fq_body_expect(). */
  void (*on_body_dropped) (void *user);
  /* Called before the connection is freed; only on_body_dropped() may follow. */
  void (*on_end) (void *user, fq_peer_connection_t *connection, fq_peer_end_t why);
  void *user;
} fq_peer_owner_t;

/**
 * struct fq_peer_connection - one connection, incoming or outgoing.
 *
 * The owner may read all fields and change @link, @bodies and @goodbye_received.
 */
struct fq_peer_connection
{
  fq_list_t link;
  const fq_peer_owner_t *owner;
  struct lws *wsi;
  char node[FQ_NAME_BYTES]; /* the other node; if incoming, as its Hello says */
  bool incoming;
  bool ready;            /* the other side is authenticated */
  bool goodbye_received; /* no calls follow on this connection */
  bool hello_received;
  bool in_connect_call; /* inside the libwebsockets call that opens the connection */
  bool ended;           /* closed; freed as soon as the callbacks have returned */
  uint8_t own_nonce[FQ_AUTH_NONCE_BYTES];
  uint8_t peer_nonce[FQ_AUTH_NONCE_BYTES];
  fq_frame_stream_t stream;
  fq_body_transfer_t bodies;
  fq_map_t attempts; /* calls without an answer yet, by attempt */
  fq_time_t opened_at;
  fq_time_t last_received_at;
  fq_time_t answers_due_since;  /* 0: no answers are due */
  fq_time_t ping_pending_since; /* 0: no ping is pending; any input clears it */
  uint64_t ping_sequence;
};

/**
 * fq_peer_connection_open() - start to connect to @node.
 * @address: "ip:port"
 *
 * Return: 0; FQ_ERROR_INVALID, FQ_ERROR_IO or FQ_ERROR_NOMEM, without a call of on_end().
 */
int fq_peer_connection_open (fq_peer_connection_t **out,
                             const fq_peer_owner_t *owner,
                             const char *node,
                             const char *address,
                             fq_time_t now);

/**
 * fq_peer_connection_adopt() - set up an accepted connection and send Hello.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_peer_connection_adopt (fq_peer_connection_t **out,
                              const fq_peer_owner_t *owner,
                              struct lws *wsi,
                              fq_time_t now);

/**
 * fq_peer_connection_end() - close, call on_not_written(), on_end() and
 * on_body_dropped(), and free.
 *
 * Does nothing when called from these callbacks.
 */
void fq_peer_connection_end (fq_peer_connection_t *connection, fq_peer_end_t why);

/**
 * fq_peer_connection_handle_event() - handle a libwebsockets callback of incoming and
 * outgoing connections; may end the connection.
 *
 * Return: what the callback has to return.
 */
int fq_peer_connection_handle_event (fq_peer_connection_t *connection,
                                     struct lws *wsi,
                                     enum lws_callback_reasons reason,
                                     const void *in,
                                     size_t length,
                                     fq_time_t now);

/** fq_peer_connection_send() - queue a frame; FQ_ERROR_TOOBIG when it can't be packed. */
int fq_peer_connection_send (fq_peer_connection_t *connection,
                             const Fq__Wire__Frame *frame);

/**
 * fq_peer_connection_send_call() - queue a packed Call, and the body that follows it.
 * @data: owned by the connection from now on, also after an error
 * @allowance: retries that the attempt may use, given back by on_not_written()
 * @following: the body to be sent in Data frames; NULL: none
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_peer_connection_send_call (fq_peer_connection_t *connection,
                                  uint8_t *data,
                                  size_t size,
                                  fq_id_t attempt,
                                  uint32_t allowance,
                                  fq_blob_t *following,
                                  fq_time_t now);

/** fq_peer_connection_send_answer() - the same for an Answer. */
int fq_peer_connection_send_answer (fq_peer_connection_t *connection,
                                    uint8_t *data,
                                    size_t size,
                                    fq_id_t attempt,
                                    fq_blob_t *following);

/**
 * fq_peer_connection_remove_attempt() - stop waiting for the answer to @attempt and
 * sending its body.
 *
 * Return: false when no answer to @attempt was due on this connection.
 */
bool fq_peer_connection_remove_attempt (fq_peer_connection_t *connection,
                                        fq_id_t attempt);

/** fq_peer_connection_queued_bytes() - bytes of frames and bodies to be written. */
size_t fq_peer_connection_queued_bytes (const fq_peer_connection_t *connection);

/**
 * fq_peer_connection_send_credit() - credit received bytes of bodies to the sender,
 * unless they are too few for a frame.
 */
void fq_peer_connection_send_credit (fq_peer_connection_t *connection);

/** fq_peer_connection_tick() - send a ping, or end the connection on a timeout. */
void fq_peer_connection_tick (fq_peer_connection_t *connection, fq_time_t now);

#endif
