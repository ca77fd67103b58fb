/**
 * DOC: Connections to other nodes, and the frames that the core's effects send on them.
 * Received frames are handled in peer_frames.c.
 *
 * Attempts are sent on the outgoing connection to a node, which also carries their
 * answers. Attempts of that node are received on the incoming connection that it opened.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "net/peers_private.h"
#include "util/text.h"
#include "wire/codec.h"

/* Delay until the next attempt to connect, doubled with each consecutive failure. */
#define FQ_PEER_BACKOFF_MIN_US 250000
#define FQ_PEER_BACKOFF_MAX_US 8000000
#define FQ_PEER_BACKOFF_SHIFT_MAX 5
#define FQ_PEER_RECONNECT_JITTER_US 100000 /* after loss of a connection */
#define FQ_PEER_TEMPORARY_US 10000000 /* life of a connection made to request tickets */
#define FQ_PEER_READ_BYTES 65536
/* Limit of queued bytes for calls whose body fits their frame. */
#define FQ_PEER_QUEUED_INLINE_BYTES_MAX (320u << 20)
#define FQ_PEER_UNAUTHENTICATED_MAX 256 /* incoming connections in their handshake */
/* Least time between log lines on failed connections. */
#define FQ_PEER_LOG_INTERVAL_US 1000000

static void
log_rate_limited (fq_peers_t *peers, const char *sentence, uint64_t count)
{
  char text[FQ_LOG_TEXT_BYTES];
  fq_time_t now = lws_now_usecs ();

  if (peers->last_log_at != 0 && now - peers->last_log_at < FQ_PEER_LOG_INTERVAL_US)
    return;
  peers->last_log_at = now;
  snprintf (text, sizeof text, "%s (%llu so far).", sentence, (unsigned long long)count);
  fq_log_write (FQ_LOG_WARNING, "peers", text);
}

static void
feed_peer_event (fq_peers_t *peers, fq_event_kind_t kind, const char *node)
{
  fq_event_t event = { .kind = kind };

  fq_text_copy (event.peer.node, sizeof event.peer.node, node);
  fq_shell_feed (peers->shell, &event);
}

static void
replace_incoming (fq_peers_t *peers, fq_peer_connection_t *connection)
{
  uint64_t key = fq_map_hash (connection->node);
  fq_peer_connection_t *old = fq_map_get (&peers->incoming, key);

  if (old != NULL)
    fq_peer_connection_end (old, FQ_PEER_END_CLOSED);
  fq_map_set (&peers->incoming, key, connection);
}

static void
on_ready (void *user, fq_peer_connection_t *connection)
{
  fq_peers_t *peers = user;
  fq_peer_t *peer;

  if (connection->incoming)
    {
      peers->unauthenticated--;
      replace_incoming (peers, connection);
      if (peers->draining)
        (void)fq_peers_send_goodbye (connection);
      return;
    }
  peer = fq_map_get (&peers->peers, fq_map_hash (connection->node));
  if (peer == NULL)
    return;
  peer->failures = 0;
  feed_peer_event (peers, FQ_EVENT_PEER_UP, connection->node);
  if (peer->request_tickets)
    {
      fq_tickets_effect_t wanted
          = { .kind = FQ_TICKETS_REQUEST, .number = peer->request_number };

      peer->request_tickets = false;
      (void)fq_peers_send_tickets (connection, &wanted);
    }
}

static void
on_not_written (void *user,
                fq_peer_connection_t *connection,
                fq_id_t attempt,
                uint32_t allowance)
{
  fq_peers_t *peers = user;
  fq_answer_t answer
      = fq_peers_error_answer (FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_NOT_RUN);

  answer.retry_allowance = allowance;
  fq_peers_feed_answer (peers, connection->node, attempt, &answer);
}

/* Exponential backoff, jittered so that nodes don't reconnect at the same time. */
static fq_time_t
reconnect_backoff (fq_peers_t *peers, const fq_peer_t *peer)
{
  unsigned int shift = peer->failures < FQ_PEER_BACKOFF_SHIFT_MAX
                           ? peer->failures
                           : FQ_PEER_BACKOFF_SHIFT_MAX;
  fq_time_t delay = (fq_time_t)FQ_PEER_BACKOFF_MIN_US << shift;

  if (delay > FQ_PEER_BACKOFF_MAX_US)
    delay = FQ_PEER_BACKOFF_MAX_US;
  return delay / 2 + (fq_time_t)fq_random_below (&peers->random, (uint64_t)delay / 2);
}

/* Reconnects at once after a timeout, within FQ_PEER_RECONNECT_JITTER_US after any other
 * end of an authenticated connection, and with backoff when none was established. */
static void
schedule_reconnect (fq_peers_t *peers, fq_peer_t *peer, bool was_ready, fq_peer_end_t why)
{
  fq_time_t now = lws_now_usecs ();

  if (was_ready && why == FQ_PEER_END_TIMEOUT)
    peer->reconnect_at = now;
  else if (was_ready)
    peer->reconnect_at
        = now + (fq_time_t)fq_random_below (&peers->random, FQ_PEER_RECONNECT_JITTER_US);
  else
    {
      peer->reconnect_at = now + reconnect_backoff (peers, peer);
      peer->failures++;
    }
}

static void
record_end (fq_peers_t *peers, const fq_peer_connection_t *connection, fq_peer_end_t why)
{
  switch (why)
    {
    case FQ_PEER_END_CLOSED:
      break;
    case FQ_PEER_END_TIMEOUT:
      peers->counts.timeouts++;
      log_rate_limited (peers,
                        connection->ready
                            ? "A connection between nodes timed out and is closed"
                            : "The handshake of a connection between nodes timed out",
                        peers->counts.timeouts);
      break;
    case FQ_PEER_END_AUTH_FAILED:
      peers->counts.auth_failures++;
      log_rate_limited (peers,
                        "A connection between nodes is refused: its handshake failed",
                        peers->counts.auth_failures);
      break;
    case FQ_PEER_END_PROTOCOL_ERROR:
      peers->counts.protocol_errors++;
      log_rate_limited (peers, "A connection between nodes is closed: invalid frames",
                        peers->counts.protocol_errors);
      break;
    }
}

static void
on_end (void *user, fq_peer_connection_t *connection, fq_peer_end_t why)
{
  fq_peers_t *peers = user;
  uint64_t key = connection->node[0] == '\0' ? 0 : fq_map_hash (connection->node);
  fq_peer_t *peer;

  record_end (peers, connection, why);
  if (connection->incoming)
    {
      if (!connection->ready)
        {
          peers->unauthenticated--;
          return;
        }
      if (fq_map_get (&peers->incoming, key) == connection)
        fq_map_remove (&peers->incoming, key);
      feed_peer_event (peers, FQ_EVENT_ENTRY_DOWN, connection->node);
      return;
    }
  peer = fq_map_get (&peers->peers, key);
  if (peer != NULL && peer->connection == connection)
    {
      peer->connection = NULL;
      schedule_reconnect (peers, peer, connection->ready, why);
    }
  if (connection->ready)
    feed_peer_event (peers, FQ_EVENT_PEER_DOWN, connection->node);
}

static int
adopt (fq_peers_t *peers, struct lws *wsi)
{
  fq_peer_connection_t *connection;

  if (peers->unauthenticated >= FQ_PEER_UNAUTHENTICATED_MAX)
    {
      log_rate_limited (
          peers, "A connection between nodes is refused: too many unauthenticated ones",
          ++peers->counts.auth_failures);
      return -1;
    }
  if (fq_peer_connection_adopt (&connection, &peers->owner, wsi, lws_now_usecs ()) < 0)
    return -1;
  peers->unauthenticated++;
  fq_list_append (&peers->connections, &connection->link);
  return 0;
}

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  fq_peer_connection_t *connection = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);

  (void)user;
  if (connection == NULL)
    {
      if (reason == LWS_CALLBACK_RAW_ADOPT)
        return adopt (lws_get_protocol (wsi)->user, wsi);
      return reason == LWS_CALLBACK_RAW_RX ? -1 : 0;
    }
  return fq_peer_connection_handle_event (connection, wsi, reason, in, length,
                                          lws_now_usecs ());
}

static void
init_owner (fq_peers_t *peers, const fq_settings_t *settings)
{
  peers->owner = (fq_peer_owner_t){
    .node = settings->node,
    .context = peers->shell->context,
    .keys = { { settings->cluster_key, settings->cluster_key_accepted } },
    .on_ready = on_ready,
    .on_frame = fq_peers_on_frame,
    .on_not_written = on_not_written,
    .on_body_dropped = fq_peers_free_pending_body,
    .on_end = on_end,
    .user = peers,
  };
}

int
fq_peers_new (fq_peers_t **out, fq_shell_t *shell)
{
  struct lws_context_creation_info info = { 0 };
  fq_peers_t *peers = calloc (1, sizeof *peers);

  if (peers == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for nodes");
  peers->shell = shell;
  peers->random.state = (uint64_t)lws_now_usecs () ^ fq_map_hash (shell->settings->node);
  fq_list_init (&peers->connections);
  init_owner (peers, shell->settings);
  peers->protocols[0] = (struct lws_protocols){
    .name = "peers",
    .callback = on_event,
    .rx_buffer_size = FQ_PEER_READ_BYTES,
    .user = peers,
  };
  info.port = shell->settings->peer_port;
  info.iface = shell->settings->address;
  info.protocols = peers->protocols;
  info.vhost_name = "peers";
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = "peers";
  info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG
                 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  peers->vhost = lws_create_vhost (shell->context, &info);
  if (peers->vhost == NULL)
    {
      free (peers);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't listen on port %d",
                           shell->settings->peer_port);
    }
  peers->owner.vhost = peers->vhost;
  *out = peers;
  return FQ_OK;
}

void
fq_peers_free (fq_peers_t *peers)
{
  size_t cursor = 0;
  fq_peer_t *peer;

  if (peers == NULL)
    return;
  while ((peer = fq_map_next (&peers->peers, &cursor)) != NULL)
    free (peer);
  fq_map_clear (&peers->peers);
  fq_map_clear (&peers->incoming);
  free (peers);
}

static fq_peer_t *
get_or_add_peer (fq_peers_t *peers, const char *node, const char *address)
{
  uint64_t key = fq_map_hash (node);
  fq_peer_t *peer = fq_map_get (&peers->peers, key);

  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL || fq_map_set (&peers->peers, key, peer) < 0)
        {
          free (peer);
          return NULL;
        }
    }
  fq_text_copy (peer->node, sizeof peer->node, node);
  fq_text_copy (peer->address, sizeof peer->address, address);
  return peer;
}

void
fq_peers_connect (fq_peers_t *peers, const fq_peer_connect_effect_t *effect)
{
  fq_peer_t *peer = get_or_add_peer (peers, effect->node, effect->address);

  if (peer != NULL)
    peer->keep_connected = true;
}

static void
close_async (const fq_peer_t *peer)
{
  /* Asynchronously, since this may be called while the connection handles an event. */
  if (peer->connection != NULL && peer->connection->wsi != NULL)
    lws_set_timeout (peer->connection->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                     LWS_TO_KILL_ASYNC);
}

void
fq_peers_close (fq_peers_t *peers, const fq_peer_connect_effect_t *effect)
{
  fq_peer_t *peer = fq_map_get (&peers->peers, fq_map_hash (effect->node));

  if (peer == NULL)
    return;
  peer->keep_connected = false;
  if (!effect->left)
    close_async (peer);
}

static void
open_connection (fq_peers_t *peers, fq_peer_t *peer, fq_time_t now)
{
  fq_peer_connection_t *connection;

  if (fq_peer_connection_open (&connection, &peers->owner, peer->node, peer->address, now)
      < 0)
    {
      schedule_reconnect (peers, peer, false, FQ_PEER_END_CLOSED);
      return;
    }
  peer->connection = connection;
  fq_list_append (&peers->connections, &connection->link);
}

static void
tick_peer (fq_peers_t *peers, fq_peer_t *peer, fq_time_t now)
{
  bool wanted = peer->keep_connected || now < peer->temporary_until;

  if (!wanted && peer->connection != NULL && peer->temporary_until != 0)
    {
      peer->temporary_until = 0;
      close_async (peer);
    }
  if (wanted && peer->connection == NULL && now >= peer->reconnect_at)
    open_connection (peers, peer, now);
}

void
fq_peers_tick (fq_peers_t *peers, fq_time_t now)
{
  size_t cursor = 0;
  fq_peer_t *peer;

  FQ_LIST_FOREACH_SAFE (link, following, &peers->connections)
  fq_peer_connection_tick (FQ_LIST_ENTRY (link, fq_peer_connection_t, link), now);
  while ((peer = fq_map_next (&peers->peers, &cursor)) != NULL)
    tick_peer (peers, peer, now);
}

static fq_peer_connection_t *
ready_connection (fq_peers_t *peers, const char *node)
{
  fq_peer_t *peer = fq_map_get (&peers->peers, fq_map_hash (node));

  if (peer == NULL || peer->connection == NULL || !peer->connection->ready
      || peer->connection->ended)
    return NULL;
  return peer->connection;
}

static void
feed_call_not_sent (fq_peers_t *peers,
                    const fq_peer_call_effect_t *effect,
                    fq_cause_t cause)
{
  fq_answer_t answer = fq_peers_error_answer (cause, FQ_OUTCOME_NOT_RUN);

  answer.retry_allowance = effect->retry_allowance;
  fq_peers_feed_answer (peers, effect->node, effect->attempt, &answer);
}

void
fq_peers_call (fq_peers_t *peers, const fq_peer_call_effect_t *effect)
{
  fq_peer_connection_t *connection = ready_connection (peers, effect->node);
  fq_blob_t *body = effect->request->body;
  fq_blob_t *following
      = body != NULL && body->size > FQ_FRAME_INLINE_BODY_MAX ? body : NULL;
  uint8_t *data;
  size_t size;

  if (connection == NULL || connection->goodbye_received)
    {
      feed_call_not_sent (peers, effect,
                          connection == NULL ? FQ_CAUSE_CONNECT_FAILED
                                             : FQ_CAUSE_DRAINING);
      return;
    }
  if (fq_peer_connection_queued_bytes (connection)
          > (following != NULL ? FQ_PEER_QUEUED_BYTES_MAX
                               : FQ_PEER_QUEUED_INLINE_BYTES_MAX)
      || fq_frame_pack_call (&data, &size, effect) < 0
      || fq_peer_connection_send_call (connection, data, size, effect->attempt,
                                       effect->retry_allowance, following,
                                       lws_now_usecs ())
             < 0)
    feed_call_not_sent (peers, effect, FQ_CAUSE_OVERLOAD);
}

void
fq_peers_cancel (fq_peers_t *peers, const fq_peer_cancel_effect_t *effect)
{
  fq_peer_connection_t *connection = ready_connection (peers, effect->node);
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Cancel cancel = FQ__WIRE__CANCEL__INIT;
  fq_pending_body_t *pending;

  if (connection == NULL
      || !fq_peer_connection_remove_attempt (connection, effect->attempt))
    return;
  pending = fq_body_cancel_receive (&connection->bodies, effect->attempt);
  if (pending != NULL)
    fq_peers_free_pending_body (pending);
  cancel.attempt = effect->attempt;
  frame.kind_case = FQ__WIRE__FRAME__KIND_CANCEL;
  frame.cancel = &cancel;
  (void)fq_peer_connection_send (connection, &frame);
}

void
fq_peers_answer (fq_peers_t *peers, const fq_peer_answer_effect_t *effect)
{
  fq_peer_connection_t *connection
      = fq_map_get (&peers->incoming, fq_map_hash (effect->node));

  /* When its connection ended, the entry node has ended the attempt already. */
  if (connection != NULL && !connection->ended)
    fq_peers_send_answer (peers, connection, effect->attempt, &effect->answer);
}

static void
connect_temporarily (fq_peers_t *peers, const fq_tickets_effect_t *effect)
{
  fq_peer_t *peer = get_or_add_peer (peers, effect->node, effect->address);

  if (peer == NULL)
    return;
  peer->temporary_until = lws_now_usecs () + FQ_PEER_TEMPORARY_US;
  peer->request_tickets = true;
  peer->request_number = effect->number;
}

void
fq_peers_tickets (fq_peers_t *peers, const fq_tickets_effect_t *effect)
{
  fq_peer_connection_t *connection = ready_connection (peers, effect->node);

  if (connection == NULL)
    connection = fq_map_get (&peers->incoming, fq_map_hash (effect->node));
  if (connection == NULL && effect->kind == FQ_TICKETS_REQUEST
      && effect->address[0] != '\0')
    connect_temporarily (peers, effect);
  if (connection == NULL || connection->ended)
    return;
  if (fq_peers_send_tickets (connection, effect) < 0)
    fq_log_write (FQ_LOG_ERROR, "peers", "Tickets are too large for one frame.");
}

void
fq_peers_begin_shutdown (fq_peers_t *peers)
{
  peers->draining = true;
  FQ_LIST_FOREACH (link, &peers->connections)
  {
    fq_peer_connection_t *connection = FQ_LIST_ENTRY (link, fq_peer_connection_t, link);

    if (connection->incoming && connection->ready)
      (void)fq_peers_send_goodbye (connection);
  }
}

bool
fq_peers_is_idle (const fq_peers_t *peers)
{
  FQ_LIST_FOREACH (link, &peers->connections)
  {
    fq_peer_connection_t *connection = FQ_LIST_ENTRY (link, fq_peer_connection_t, link);

    if (connection->incoming && connection->ready && !connection->goodbye_received)
      return false;
  }
  return fq_peers_queued_bytes (peers) == 0;
}

size_t
fq_peers_queued_bytes (const fq_peers_t *peers)
{
  size_t queued = 0;

  FQ_LIST_FOREACH (link, &peers->connections)
  queued += fq_peer_connection_queued_bytes (
      FQ_LIST_ENTRY (link, fq_peer_connection_t, link));
  return queued;
}

const fq_peer_counts_t *
fq_peers_counts (const fq_peers_t *peers)
{
  return &peers->counts;
}
