/**
 * DOC: The nodes that this one talks to: which connections there are, and what the core's
 * effects send on them. What comes in is taken by peer_frames.c.
 *
 * Attempts go out on our own connection to a node and their answers come back on it.
 * Attempts of that node come in on its connection to us.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/log.h"
#include "net/peers_private.h"
#include "util/text.h"
#include "wire/codec.h"

#define FQ_PEER_RETRY_US 250000
#define FQ_PEER_RETRY_MAX_US 8000000
#define FQ_PEER_RETRY_SHIFT_MAX 5
#define FQ_PEER_REOPEN_US 100000
#define FQ_PEER_VISIT_US 10000000
#define FQ_PEER_READ_BYTES 65536
#define FQ_PEER_QUEUED_SMALL_MAX (320u << 20) /* for calls that fit one frame */
#define FQ_PEER_GUESTS_MAX 256                /* connections without a proof yet */
#define FQ_PEER_LOG_US 1000000                /* refusals are logged at most this often */

static void
log_refusal (fq_peers_t *peers, const char *what, uint64_t count)
{
  char text[FQ_LOG_TEXT_BYTES];
  fq_time_t now = lws_now_usecs ();

  if (peers->logged != 0 && now - peers->logged < FQ_PEER_LOG_US)
    return;
  peers->logged = now;
  snprintf (text, sizeof text, "%s (%llu so far).", what, (unsigned long long)count);
  fq_log_write (FQ_LOG_WARNING, "peers", text);
}

static void
feed_peer (fq_peers_t *peers, fq_event_kind_t kind, const char *node)
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
      peers->guests--;
      replace_incoming (peers, connection);
      if (peers->refusing)
        (void)fq_peers_send_goodbye (connection);
      return;
    }
  peer = fq_map_get (&peers->peers, fq_map_hash (connection->node));
  if (peer == NULL)
    return;
  peer->failures = 0;
  feed_peer (peers, FQ_EVENT_PEER_UP, connection->node);
  if (peer->ask_tickets)
    {
      fq_tickets_effect_t wanted
          = { .kind = FQ_TICKETS_REQUEST, .number = peer->ask_number };

      peer->ask_tickets = false;
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
  fq_answer_t answer = fq_peers_refusal (FQ_CAUSE_CONNECTION_LOST, FQ_OUTCOME_NOT_RUN);

  answer.allowance = allowance;
  fq_peers_feed_answer (peers, connection->node, attempt, &answer);
}

/* Grows with each failure in a row, and is spread so that nodes don't return as one. */
static fq_time_t
retry_delay (fq_peers_t *peers, const fq_peer_t *peer)
{
  unsigned int shift = peer->failures < FQ_PEER_RETRY_SHIFT_MAX ? peer->failures
                                                                : FQ_PEER_RETRY_SHIFT_MAX;
  fq_time_t delay = (fq_time_t)FQ_PEER_RETRY_US << shift;

  if (delay > FQ_PEER_RETRY_MAX_US)
    delay = FQ_PEER_RETRY_MAX_US;
  return delay / 2 + (fq_time_t)fq_random_below (&peers->random, (uint64_t)delay / 2);
}

static void
plan_retry (fq_peers_t *peers, fq_peer_t *peer, bool was_ready, fq_peer_end_t why)
{
  fq_time_t now = lws_now_usecs ();

  if (was_ready && why == FQ_PEER_END_SILENT)
    peer->retry_at = now;
  else if (was_ready)
    peer->retry_at = now + (fq_time_t)fq_random_below (&peers->random, FQ_PEER_REOPEN_US);
  else
    {
      peer->retry_at = now + retry_delay (peers, peer);
      peer->failures++;
    }
}

static void
count_end (fq_peers_t *peers, const fq_peer_connection_t *connection, fq_peer_end_t why)
{
  switch (why)
    {
    case FQ_PEER_END_CLOSED:
      break;
    case FQ_PEER_END_SILENT:
      peers->counts.silent++;
      log_refusal (peers,
                   connection->ready ? "A connection between nodes went silent and is "
                                       "replaced"
                                     : "A connection between nodes brought no proof in "
                                       "time",
                   peers->counts.silent);
      break;
    case FQ_PEER_END_DENIED:
      peers->counts.denied++;
      log_refusal (peers, "A connection between nodes is refused: no valid proof",
                   peers->counts.denied);
      break;
    case FQ_PEER_END_BROKEN:
      peers->counts.broken++;
      log_refusal (peers, "A connection between nodes sent malformed frames",
                   peers->counts.broken);
      break;
    }
}

static void
on_end (void *user, fq_peer_connection_t *connection, fq_peer_end_t why)
{
  fq_peers_t *peers = user;
  uint64_t key = connection->node[0] == '\0' ? 0 : fq_map_hash (connection->node);
  fq_peer_t *peer;

  count_end (peers, connection, why);
  if (connection->incoming)
    {
      if (!connection->ready)
        {
          peers->guests--;
          return;
        }
      if (fq_map_get (&peers->incoming, key) == connection)
        fq_map_remove (&peers->incoming, key);
      feed_peer (peers, FQ_EVENT_ENTRY_DOWN, connection->node);
      return;
    }
  peer = fq_map_get (&peers->peers, key);
  if (peer != NULL && peer->connection == connection)
    {
      peer->connection = NULL;
      plan_retry (peers, peer, connection->ready, why);
    }
  if (connection->ready)
    feed_peer (peers, FQ_EVENT_PEER_DOWN, connection->node);
}

static int
adopt (fq_peers_t *peers, struct lws *wsi)
{
  fq_peer_connection_t *connection;

  if (peers->guests >= FQ_PEER_GUESTS_MAX)
    {
      log_refusal (peers, "Too many connections without a proof", ++peers->counts.denied);
      return -1;
    }
  if (fq_peer_connection_adopt (&connection, &peers->owner, wsi, lws_now_usecs ()) < 0)
    return -1;
  peers->guests++;
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
  return fq_peer_connection_event (connection, wsi, reason, in, length, lws_now_usecs ());
}

static void
set_owner (fq_peers_t *peers, const fq_settings_t *settings)
{
  peers->owner = (fq_peer_owner_t){
    .node = settings->node,
    .context = peers->shell->context,
    .keys = { { settings->cluster_key, settings->cluster_key_accepted } },
    .on_ready = on_ready,
    .on_frame = fq_peers_on_frame,
    .on_not_written = on_not_written,
    .on_body_dropped = fq_peers_drop_pending,
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
  set_owner (peers, shell->settings);
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
peer_of (fq_peers_t *peers, const char *node, const char *address)
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
  fq_peer_t *peer = peer_of (peers, effect->node, effect->address);

  if (peer != NULL)
    peer->wanted = true;
}

static void
close_soon (const fq_peer_t *peer)
{
  /* Not at once: the connection may be at work on the event that led here. */
  if (peer->connection != NULL && peer->connection->wsi != NULL)
    lws_set_timeout (peer->connection->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                     LWS_TO_KILL_ASYNC);
}

void
fq_peers_close (fq_peers_t *peers, const char *node)
{
  fq_peer_t *peer = fq_map_get (&peers->peers, fq_map_hash (node));

  if (peer == NULL)
    return;
  peer->wanted = false;
  close_soon (peer);
}

static void
open_connection (fq_peers_t *peers, fq_peer_t *peer, fq_time_t now)
{
  fq_peer_connection_t *connection;

  if (fq_peer_connection_open (&connection, &peers->owner, peer->node, peer->address, now)
      < 0)
    {
      plan_retry (peers, peer, false, FQ_PEER_END_CLOSED);
      return;
    }
  peer->connection = connection;
  fq_list_append (&peers->connections, &connection->link);
}

static void
tick_peer (fq_peers_t *peers, fq_peer_t *peer, fq_time_t now)
{
  bool wanted = peer->wanted || now < peer->visit_until;

  if (!wanted && peer->connection != NULL && peer->visit_until != 0)
    {
      peer->visit_until = 0;
      close_soon (peer);
    }
  if (wanted && peer->connection == NULL && now >= peer->retry_at)
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
feed_not_sent (fq_peers_t *peers, const fq_peer_call_effect_t *effect, fq_cause_t cause)
{
  fq_answer_t answer = fq_peers_refusal (cause, FQ_OUTCOME_NOT_RUN);

  answer.allowance = effect->allowance;
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

  if (connection == NULL || connection->leaving)
    {
      feed_not_sent (peers, effect,
                     connection == NULL ? FQ_CAUSE_CONNECT_FAILED : FQ_CAUSE_DRAINING);
      return;
    }
  if (fq_peer_connection_queued (connection)
          > (following != NULL ? FQ_PEER_QUEUED_BYTES_MAX : FQ_PEER_QUEUED_SMALL_MAX)
      || fq_frame_pack_call (&data, &size, effect) < 0
      || fq_peer_connection_send_call (connection, data, size, effect->attempt,
                                       effect->allowance, following, lws_now_usecs ())
             < 0)
    feed_not_sent (peers, effect, FQ_CAUSE_OVERLOAD);
}

void
fq_peers_cancel (fq_peers_t *peers, const fq_peer_cancel_effect_t *effect)
{
  fq_peer_connection_t *connection = ready_connection (peers, effect->node);
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Cancel cancel = FQ__WIRE__CANCEL__INIT;
  fq_pending_t *pending;

  if (connection == NULL || !fq_peer_connection_settle (connection, effect->attempt))
    return;
  pending = fq_body_cancel_receive (&connection->bodies, effect->attempt);
  if (pending != NULL)
    fq_peers_drop_pending (pending);
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

  /* Without its connection the asker has judged the attempt already. */
  if (connection != NULL && !connection->ended)
    fq_peers_send_answer (peers, connection, effect->attempt, &effect->answer);
}

static void
visit (fq_peers_t *peers, const fq_tickets_effect_t *effect)
{
  fq_peer_t *peer = peer_of (peers, effect->node, effect->address);

  if (peer == NULL)
    return;
  peer->visit_until = lws_now_usecs () + FQ_PEER_VISIT_US;
  peer->ask_tickets = true;
  peer->ask_number = effect->number;
}

void
fq_peers_tickets (fq_peers_t *peers, const fq_tickets_effect_t *effect)
{
  fq_peer_connection_t *connection = ready_connection (peers, effect->node);

  if (connection == NULL)
    connection = fq_map_get (&peers->incoming, fq_map_hash (effect->node));
  if (connection == NULL && effect->kind == FQ_TICKETS_REQUEST
      && effect->address[0] != '\0')
    visit (peers, effect);
  if (connection == NULL || connection->ended)
    return;
  if (fq_peers_send_tickets (connection, effect) < 0)
    fq_log_write (FQ_LOG_ERROR, "peers", "Tickets are too large for one frame.");
}

void
fq_peers_refuse (fq_peers_t *peers)
{
  peers->refusing = true;
  FQ_LIST_FOREACH (link, &peers->connections)
  {
    fq_peer_connection_t *connection = FQ_LIST_ENTRY (link, fq_peer_connection_t, link);

    if (connection->incoming && connection->ready)
      (void)fq_peers_send_goodbye (connection);
  }
}

bool
fq_peers_have_left (const fq_peers_t *peers)
{
  FQ_LIST_FOREACH (link, &peers->connections)
  {
    fq_peer_connection_t *connection = FQ_LIST_ENTRY (link, fq_peer_connection_t, link);

    if (connection->incoming && connection->ready && !connection->leaving)
      return false;
  }
  return fq_peers_queued (peers) == 0;
}

size_t
fq_peers_queued (const fq_peers_t *peers)
{
  size_t queued = 0;

  FQ_LIST_FOREACH (link, &peers->connections)
  queued += fq_peer_connection_queued (FQ_LIST_ENTRY (link, fq_peer_connection_t, link));
  return queued;
}

const fq_peer_counts_t *
fq_peers_counts (const fq_peers_t *peers)
{
  return &peers->counts;
}
