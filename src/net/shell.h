/**
 * DOC: The shell of a node: turns what libwebsockets reports to events of the core, and
 * the core's effects to calls of libwebsockets.
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

/** struct fq_shell_t - all that a node's process holds. */
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
  bool ticks_slowly; /* the next tick was put off, since nothing was under way */
  fq_list_t queued;  /* events that came while effects were being carried out */
  bool reducing;
  bool leaving; /* the core is done; what was answered is still being sent */
  fq_time_t leaving_since;
  fq_time_t quiet_since; /* nothing was under way since; 0: something is */
  bool stopped;
} fq_shell_t;

/** fq_shell_new() - open all listeners and start the core. */
int fq_shell_new (fq_shell_t **out, const fq_settings_t *settings);

/** fq_shell_begin_shutdown() - begin a graceful shutdown. */
void fq_shell_begin_shutdown (fq_shell_t *shell);

/** fq_shell_log_unfinished() - log what a shutdown cuts that can't be graceful. */
void fq_shell_log_unfinished (fq_shell_t *shell);

/** fq_shell_free() - NULL-safe. */
void fq_shell_free (fq_shell_t *shell);

/** fq_shell_feed() - let the core see @event now, or right after the one at hand. */
void fq_shell_feed (fq_shell_t *shell, fq_event_t *event);

/* callers.c: requests from callers and from our upstream. */
int fq_callers_listen (fq_shell_t *shell);
void fq_callers_reply (fq_shell_t *shell, const fq_reply_effect_t *effect);

/* operators.c */
int fq_operators_listen (fq_shell_t *shell);
void fq_operators_reply (fq_shell_t *shell, const fq_operator_reply_effect_t *effect);

/** fq_member_authenticate() - the member that @authorization proves, or NULL. */
const char *fq_member_authenticate (const fq_settings_t *settings,
                                    const char *authorization);

/* upstream.c */
int fq_upstream_open (fq_shell_t *shell);
void fq_upstream_start (fq_shell_t *shell, const fq_upstream_start_effect_t *effect);
void fq_upstream_abort (fq_shell_t *shell, const fq_upstream_abort_effect_t *effect);

/* peers.c, peer_frames.c */
int fq_peers_new (fq_peers_t **out, fq_shell_t *shell);
void fq_peers_free (fq_peers_t *peers);
void fq_peers_connect (fq_peers_t *peers, const fq_peer_connect_effect_t *effect);
void fq_peers_close (fq_peers_t *peers, const char *node);
void fq_peers_call (fq_peers_t *peers, const fq_peer_call_effect_t *effect);
void fq_peers_cancel (fq_peers_t *peers, const fq_peer_cancel_effect_t *effect);
void fq_peers_answer (fq_peers_t *peers, const fq_peer_answer_effect_t *effect);
void fq_peers_tickets (fq_peers_t *peers, const fq_tickets_effect_t *effect);
void fq_peers_tick (fq_peers_t *peers, fq_time_t now);

/** struct fq_peer_counts_t - what went wrong between nodes, since the start. */
typedef struct
{
  uint64_t silent;               /* connections given up in silence */
  uint64_t denied;               /* connections without a valid proof */
  uint64_t broken;               /* connections with malformed frames */
  uint64_t calls_refused;        /* calls of nodes that had no room, or came too late */
  uint64_t answers_without_body; /* answers that had no room */
} fq_peer_counts_t;

/** fq_peers_counts() - valid as long as @peers. */
const fq_peer_counts_t *fq_peers_counts (const fq_peers_t *peers);

/** fq_peers_refuse() - refuse calls of other nodes, not run, from now on. */
void fq_peers_refuse (fq_peers_t *peers);

/** fq_peers_have_left() - all nodes send no more calls, and nothing waits for them. */
bool fq_peers_have_left (const fq_peers_t *peers);

/** fq_peers_queued() - bytes that wait to be written to other nodes. */
size_t fq_peers_queued (const fq_peers_t *peers);

/* gossip_socket.c */
int fq_gossip_socket_new (fq_gossip_socket_t **out, fq_shell_t *shell);
void fq_gossip_socket_free (fq_gossip_socket_t *socket);
void fq_gossip_socket_send (fq_gossip_socket_t *socket, const fq_gossip_effect_t *effect);

#endif
