/**
 * DOC: The shell of a node: translates callbacks of libwebsockets to events of the core,
 * and effects of the core to calls of libwebsockets.
 */
#ifndef FQ_NET_SHELL_H
#define FQ_NET_SHELL_H

#include <libwebsockets.h>

#include "filbertquay/core.h"
#include "filbertquay/settings.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/store_client.h"
#include "net/ticker.h"
#include "util/list.h"

typedef struct fq_peers fq_peers_t;
typedef struct fq_gossip_socket fq_gossip_socket_t;

/** struct fq_shell_t - the state of a node's process. */
typedef struct fq_shell
{
  const fq_settings_t *settings;
  struct lws_context *context;
  fq_core_t *core;
  fq_http_server_t *caller_listener;
  fq_http_server_t *upstream_listener;
  fq_http_server_t *operator_listener;
  fq_http_client_t *upstream_client;
  fq_peers_t *peers;
  fq_gossip_socket_t *gossip;
  fq_store_client_t *store;
  fq_ticker_t *ticker;
  bool slow_ticks;  /* the next tick comes after FQ_CORE_IDLE_TICK_US: the core is idle */
  fq_list_t queued; /* events fed while @reducing */
  bool reducing;    /* an event is being reduced, or its effects carried out */
  bool flushing;    /* the core has stopped; answers are still being sent */
  fq_time_t flushing_since;
  /* While flushing: since when nothing is left to send; 0: something is left. */
  fq_time_t idle_since;
  bool stopped; /* the shutdown is complete */
} fq_shell_t;

/**
 * fq_shell_new() - create the core, open all sockets and start the ticks.
 * @settings: must outlive the shell
 *
 * Return: 0, or a negative code with nothing left open.
 */
int fq_shell_new (fq_shell_t **out, const fq_settings_t *settings);

/** fq_shell_begin_shutdown() - begin a graceful shutdown; sets shell->stopped once it
 * is complete. */
void fq_shell_begin_shutdown (fq_shell_t *shell);

/** fq_shell_log_unfinished() - log the number of requests and runs that a forced shutdown
 * aborts. */
void fq_shell_log_unfinished (fq_shell_t *shell);

/** fq_shell_free() - close all sockets and free the shell; NULL-safe. */
void fq_shell_free (fq_shell_t *shell);

/**
 * fq_shell_feed() - pass @event to the core and carry out the effects.
 *
 * Called while effects are being carried out, it queues a shallow copy of @event, which
 * is reduced after them: the copy references the request or the answer's body, and other
 * pointers in @event must stay valid until then. Sets the times of @event.
 */
void fq_shell_feed (fq_shell_t *shell, fq_event_t *event);

/* callers.c: requests from callers and from the upstream of this node */

/**
 * fq_callers_listen() - open the listeners for callers and for the upstream.
 *
 * Return: 0; FQ_ERROR_IO when it can't listen on a port; FQ_ERROR_NOMEM.
 */
int fq_callers_listen (fq_shell_t *shell);

/** fq_callers_reply() - answer the request of a call. */
void fq_callers_reply (fq_shell_t *shell, const fq_reply_effect_t *effect);

/**
 * fq_member_authenticate() - find the client account of a request.
 * @authorization: value of the HTTP field, "Bearer KEY"; empty: none
 *
 * Return: the account's name, owned by @settings; NULL when no account has the key.
 */
const char *fq_member_authenticate (const fq_settings_t *settings,
                                    const char *authorization);

/* operators.c: requests from operators */

/**
 * fq_operators_listen() - open the listener for operators.
 *
 * Return: 0; FQ_ERROR_IO when it can't listen on the port; FQ_ERROR_NOMEM.
 */
int fq_operators_listen (fq_shell_t *shell);

/** fq_operators_reply() - answer the request of an operator. */
void fq_operators_reply (fq_shell_t *shell, const fq_operator_reply_effect_t *effect);

/* upstream.c: runs at the upstream of this node */

/**
 * fq_upstream_open() - create the HTTP client for the upstream.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_upstream_open (fq_shell_t *shell);

/** fq_upstream_start() - start a run; its end is an event, also when it can't start. */
void fq_upstream_start (fq_shell_t *shell, const fq_upstream_start_effect_t *effect);

/** fq_upstream_abort() - close the connection of a run. */
void fq_upstream_abort (fq_shell_t *shell, const fq_upstream_abort_effect_t *effect);

/* peers.c, peer_frames.c: connections to other nodes */

/**
 * fq_peers_new() - listen for other nodes on the TCP peer port.
 * @out: to be freed by fq_peers_free(); unchanged on failure
 *
 * Return: 0; FQ_ERROR_IO when it can't listen on the port; FQ_ERROR_NOMEM.
 */
int fq_peers_new (fq_peers_t **out, fq_shell_t *shell);

/** fq_peers_free() - only after the context was destroyed; NULL-safe. */
void fq_peers_free (fq_peers_t *peers);

/** fq_peers_connect() - connect to a node, and reconnect until fq_peers_close(). */
void fq_peers_connect (fq_peers_t *peers, const fq_peer_connect_effect_t *effect);

/** fq_peers_close() - close the outgoing connection to the node of @effect, unless that
 * has left and will close it itself, and don't reconnect. */
void fq_peers_close (fq_peers_t *peers, const fq_peer_connect_effect_t *effect);

/** fq_peers_call() - send an attempt; on failure feed an answer that it was not run. */
void fq_peers_call (fq_peers_t *peers, const fq_peer_call_effect_t *effect);

/** fq_peers_cancel() - drop an attempt, and notify its node if its answer is due. */
void fq_peers_cancel (fq_peers_t *peers, const fq_peer_cancel_effect_t *effect);

/** fq_peers_answer() - answer an attempt of a node, if its connection is still open. */
void fq_peers_answer (fq_peers_t *peers, const fq_peer_answer_effect_t *effect);

/** fq_peers_tickets() - send or request tickets; connect for a request if needed. */
void fq_peers_tickets (fq_peers_t *peers, const fq_tickets_effect_t *effect);

/** fq_peers_tick() - send pings, detect timeouts and reconnect; call with each tick. */
void fq_peers_tick (fq_peers_t *peers, fq_time_t now);

/** struct fq_peer_counts_t - errors on connections between nodes, since the start. */
typedef struct
{
  uint64_t timeouts;         /* connections ended by a timeout */
  uint64_t auth_failures;    /* failed handshakes, and incoming connections refused
                                since too many others are in their handshake */
  uint64_t protocol_errors;  /* connections ended by an invalid frame */
  uint64_t calls_refused;    /* received calls refused before the core saw them: no room
                                for the body, deadline passed, or draining */
  uint64_t answers_replaced; /* answers replaced by an error answer, since too
                                many bytes were queued or the body was refused */
} fq_peer_counts_t;

/** fq_peers_counts() - valid as long as @peers. */
const fq_peer_counts_t *fq_peers_counts (const fq_peers_t *peers);

/** fq_peers_begin_shutdown() - send Goodbye, and from now on refuse calls of other nodes.
 */
void fq_peers_begin_shutdown (fq_peers_t *peers);

/** fq_peers_is_idle() - whether all nodes answered Goodbye and no bytes are queued. */
bool fq_peers_is_idle (const fq_peers_t *peers);

/** fq_peers_queued_bytes() - bytes to be written to other nodes. */
size_t fq_peers_queued_bytes (const fq_peers_t *peers);

/* gossip_socket.c: datagrams of membership */

/**
 * fq_gossip_socket_new() - bind the UDP peer port.
 * @out: to be freed by fq_gossip_socket_free(); unchanged on failure
 *
 * Return: 0; FQ_ERROR_IO when it can't bind the port; FQ_ERROR_NOMEM.
 */
int fq_gossip_socket_new (fq_gossip_socket_t **out, fq_shell_t *shell);

/** fq_gossip_socket_free() - log the traffic and free; only after the context was
 * destroyed; NULL-safe. */
void fq_gossip_socket_free (fq_gossip_socket_t *socket);

/** fq_gossip_socket_send() - send a datagram; errors count as its loss. */
void fq_gossip_socket_send (fq_gossip_socket_t *socket, const fq_gossip_effect_t *effect);

#endif
