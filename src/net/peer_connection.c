#include "net/peer_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/address.h"
#include "util/text.h"
#include "wire/codec.h"

#define FQ_PEER_PROTOCOL_VERSION 2
#define FQ_PEER_WRITE_BYTES 65536
#define FQ_PEER_HANDSHAKE_FRAME_BYTES 1024

/* A call without an answer yet. */
typedef struct
{
  fq_id_t attempt;
  uint32_t allowance;
  bool written; /* its last byte was passed to lws_write() */
} fq_pending_attempt_t;

static fq_peer_connection_t *
new_connection (const fq_peer_owner_t *owner, bool incoming, fq_time_t now)
{
  fq_peer_connection_t *connection = calloc (1, sizeof *connection);

  if (connection == NULL || fq_auth_generate_nonce (connection->own_nonce) < 0)
    {
      free (connection);
      return NULL;
    }
  connection->owner = owner;
  connection->incoming = incoming;
  connection->opened_at = now;
  connection->last_received_at = now;
  fq_list_init (&connection->link);
  fq_frame_stream_init (&connection->stream, FQ_PEER_HANDSHAKE_FRAME_BYTES);
  fq_body_transfer_init (&connection->bodies);
  return connection;
}

static void
free_connection (fq_peer_connection_t *connection)
{
  size_t cursor = 0;
  fq_pending_attempt_t *pending;

  while ((pending = fq_map_next (&connection->attempts, &cursor)) != NULL)
    free (pending);
  fq_map_clear (&connection->attempts);
  fq_list_remove (&connection->link);
  fq_frame_stream_clear (&connection->stream);
  fq_body_transfer_clear (&connection->bodies, connection->owner->on_body_dropped);
  free (connection);
}

static void
request_writable (fq_peer_connection_t *connection)
{
  if (connection->wsi != NULL)
    lws_callback_on_writable (connection->wsi);
}

int
fq_peer_connection_send (fq_peer_connection_t *connection, const Fq__Wire__Frame *frame)
{
  uint8_t *data;
  size_t size;
  int rc = fq_frame_pack (&data, &size, frame);

  if (rc < 0)
    return rc;
  fq_frame_stream_queue (&connection->stream, data, size, 0);
  request_writable (connection);
  return FQ_OK;
}

static int
send_hello (fq_peer_connection_t *connection)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Hello hello = FQ__WIRE__HELLO__INIT;

  hello.version = FQ_PEER_PROTOCOL_VERSION;
  hello.node = (char *)connection->owner->node;
  hello.nonce.data = connection->own_nonce;
  hello.nonce.len = FQ_AUTH_NONCE_BYTES;
  frame.kind_case = FQ__WIRE__FRAME__KIND_HELLO;
  frame.hello = &hello;
  return fq_peer_connection_send (connection, &frame);
}

static void
fill_handshake (fq_auth_handshake_t *out, const fq_peer_connection_t *connection)
{
  const char *own = connection->owner->node;

  out->initiator = connection->incoming ? connection->node : own;
  out->responder = connection->incoming ? own : connection->node;
  memcpy (out->initiator_nonce,
          connection->incoming ? connection->peer_nonce : connection->own_nonce,
          FQ_AUTH_NONCE_BYTES);
  memcpy (out->responder_nonce,
          connection->incoming ? connection->own_nonce : connection->peer_nonce,
          FQ_AUTH_NONCE_BYTES);
}

static int
send_proof (fq_peer_connection_t *connection)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Proof proof = FQ__WIRE__PROOF__INIT;
  fq_auth_handshake_t handshake;
  uint8_t mac[FQ_AUTH_PROOF_BYTES];
  int rc;

  fill_handshake (&handshake, connection);
  rc = fq_auth_compute_proof (
      mac, &connection->owner->keys,
      connection->incoming ? FQ_AUTH_RESPONDER : FQ_AUTH_INITIATOR, &handshake);
  if (rc < 0)
    return rc;
  proof.mac.data = mac;
  proof.mac.len = sizeof mac;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PROOF;
  frame.proof = &proof;
  return fq_peer_connection_send (connection, &frame);
}

/* The initiator expects the name of the node that it connects to; the responder accepts
 * any name but its own, since the proof covers it. */
static bool
accept_name (fq_peer_connection_t *connection, const char *name)
{
  if (name[0] == '\0' || strlen (name) >= FQ_NAME_BYTES
      || strcmp (name, connection->owner->node) == 0)
    return false;
  if (!connection->incoming)
    return strcmp (name, connection->node) == 0;
  return fq_text_copy (connection->node, sizeof connection->node, name);
}

static int
handle_hello (fq_peer_connection_t *connection, const Fq__Wire__Hello *hello)
{
  if (connection->hello_received || hello->version != FQ_PEER_PROTOCOL_VERSION
      || hello->nonce.len != FQ_AUTH_NONCE_BYTES
      || !accept_name (connection, hello->node))
    return FQ_ERROR_DENIED;
  connection->hello_received = true;
  memcpy (connection->peer_nonce, hello->nonce.data, FQ_AUTH_NONCE_BYTES);
  return send_proof (connection);
}

static int
handle_proof (fq_peer_connection_t *connection, const Fq__Wire__Proof *proof)
{
  fq_auth_handshake_t handshake;
  int rc;

  if (!connection->hello_received)
    return FQ_ERROR_DENIED;
  fill_handshake (&handshake, connection);
  rc = fq_auth_verify_proof (proof->mac.data, proof->mac.len, &connection->owner->keys,
                             connection->incoming ? FQ_AUTH_INITIATOR : FQ_AUTH_RESPONDER,
                             &handshake);
  if (rc < 0)
    return rc;
  connection->ready = true;
  connection->stream.frame_limit = FQ_FRAME_BYTES_MAX;
  connection->owner->on_ready (connection->owner->user, connection);
  return FQ_OK;
}

static int
send_pong (fq_peer_connection_t *connection, const Fq__Wire__Ping *ping)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Pong pong = FQ__WIRE__PONG__INIT;

  pong.sequence = ping->sequence;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PONG;
  frame.pong = &pong;
  return fq_peer_connection_send (connection, &frame);
}

static int
handle_credit (fq_peer_connection_t *connection, const Fq__Wire__Credit *credit)
{
  int rc = fq_body_add_credit (&connection->bodies, credit->bytes);

  if (rc == FQ_OK)
    request_writable (connection);
  return rc;
}

static int
handle_frame (fq_peer_connection_t *connection, const Fq__Wire__Frame *frame)
{
  bool handshake = frame->kind_case == FQ__WIRE__FRAME__KIND_HELLO
                   || frame->kind_case == FQ__WIRE__FRAME__KIND_PROOF;

  if (connection->ready == handshake)
    return FQ_ERROR_DENIED;
  switch (frame->kind_case)
    {
    case FQ__WIRE__FRAME__KIND_HELLO:
      return handle_hello (connection, frame->hello);
    case FQ__WIRE__FRAME__KIND_PROOF:
      return handle_proof (connection, frame->proof);
    case FQ__WIRE__FRAME__KIND_PING:
      return send_pong (connection, frame->ping);
    case FQ__WIRE__FRAME__KIND_PONG:
      return FQ_OK;
    case FQ__WIRE__FRAME__KIND_CREDIT:
      return handle_credit (connection, frame->credit);
    default:
      return connection->owner->on_frame (connection->owner->user, connection, frame);
    }
}

static int
unpack_frame (void *user, const uint8_t *data, size_t size)
{
  Fq__Wire__Frame *frame = fq__wire__frame__unpack (NULL, size, data);
  int rc;

  if (frame == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID, "malformed frame");
  rc = handle_frame (user, frame);
  fq__wire__frame__free_unpacked (frame, NULL);
  return rc;
}

static void
mark_written (void *user, fq_id_t attempt)
{
  fq_peer_connection_t *connection = user;
  fq_pending_attempt_t *pending = fq_map_get (&connection->attempts, attempt);

  if (pending != NULL)
    pending->written = true;
}

static void
queue_body_chunk (fq_peer_connection_t *connection, const fq_body_chunk_t *chunk)
{
  uint8_t *data;
  size_t size;

  /* A chunk is far smaller than a frame may be: this fails only for lack of memory. */
  if (fq_frame_pack_data (&data, &size, chunk->attempt, connection->incoming,
                          chunk->bytes, chunk->size)
      < 0)
    abort ();
  fq_frame_stream_queue (&connection->stream, data, size,
                         chunk->last ? chunk->attempt : 0);
  if (chunk->last)
    fq_body_cancel_send (&connection->bodies, chunk->attempt);
}

static int
write_queued (fq_peer_connection_t *connection)
{
  uint8_t space[LWS_PRE + FQ_PEER_WRITE_BYTES];
  fq_body_chunk_t chunk;
  size_t used;

  /* Frames already queued precede further chunks of bodies, so that large bodies don't
   * delay calls. */
  while (connection->stream.queued_bytes < FQ_PEER_WRITE_BYTES
         && fq_body_next_chunk (&connection->bodies, &chunk))
    queue_body_chunk (connection, &chunk);
  used = fq_frame_stream_dequeue (&connection->stream, space + LWS_PRE,
                                  FQ_PEER_WRITE_BYTES, mark_written, connection);
  if (used == 0)
    return 0;
  if (lws_write (connection->wsi, space + LWS_PRE, used, LWS_WRITE_RAW) < 0)
    return -1;
  if (connection->stream.queued_bytes > 0 || connection->bodies.unsent_bytes > 0)
    request_writable (connection);
  return 0;
}

static void
set_socket_options (struct lws *wsi)
{
  int fd = lws_get_socket_fd (wsi);
  unsigned int timeout_ms = 2 * FQ_PEER_PING_US / FQ_MICROSECONDS_PER_MS;
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

int
fq_peer_connection_open (fq_peer_connection_t **out,
                         const fq_peer_owner_t *owner,
                         const char *node,
                         const char *address,
                         fq_time_t now)
{
  struct lws_client_connect_info info = { 0 };
  char ip[FQ_ADDRESS_BYTES];
  fq_peer_connection_t *connection;
  struct lws *wsi;

  info.port = fq_address_split (ip, address);
  if (info.port < 0)
    return info.port;
  connection = new_connection (owner, false, now);
  if (connection == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for a connection");
  fq_text_copy (connection->node, sizeof connection->node, node);
  info.context = owner->context;
  info.vhost = owner->vhost;
  info.address = ip;
  info.host = ip;
  info.method = "RAW";
  info.local_protocol_name = "peers";
  info.opaque_user_data = connection;
  connection->in_connect_call = true;
  wsi = lws_client_connect_via_info (&info);
  connection->in_connect_call = false;
  if (wsi == NULL || connection->ended)
    {
      free_connection (connection);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't connect to %s",
                           address);
    }
  connection->wsi = wsi;
  *out = connection;
  return FQ_OK;
}

int
fq_peer_connection_adopt (fq_peer_connection_t **out,
                          const fq_peer_owner_t *owner,
                          struct lws *wsi,
                          fq_time_t now)
{
  fq_peer_connection_t *connection = new_connection (owner, true, now);

  if (connection == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for a connection");
  connection->wsi = wsi;
  set_socket_options (wsi);
  if (send_hello (connection) < 0)
    {
      free_connection (connection);
      return FQ_ERROR_NOMEM;
    }
  lws_set_opaque_user_data (wsi, connection);
  *out = connection;
  return FQ_OK;
}

/* Attempts that were not written completely can't have run. */
static void
report_not_written (fq_peer_connection_t *connection)
{
  size_t cursor = 0;
  size_t count = 0;
  fq_pending_attempt_t *unwritten
      = calloc (connection->attempts.count + 1, sizeof *unwritten);
  fq_pending_attempt_t *pending;

  if (unwritten == NULL)
    abort ();
  while ((pending = fq_map_next (&connection->attempts, &cursor)) != NULL)
    {
      if (!pending->written)
        unwritten[count++] = *pending;
    }
  for (size_t i = 0; i < count; i++)
    {
      fq_peer_connection_remove_attempt (connection, unwritten[i].attempt);
      connection->owner->on_not_written (connection->owner->user, connection,
                                         unwritten[i].attempt, unwritten[i].allowance);
    }
  free (unwritten);
}

void
fq_peer_connection_end (fq_peer_connection_t *connection, fq_peer_end_t why)
{
  bool was_ready = connection->ready;
  struct lws *wsi = connection->wsi;

  if (connection->ended)
    return;
  connection->ended = true;
  connection->ready = false;
  connection->wsi = NULL;
  if (wsi != NULL)
    {
      lws_set_opaque_user_data (wsi, NULL);
      lws_set_timeout (wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
    }
  report_not_written (connection);
  connection->ready = was_ready;
  connection->owner->on_end (connection->owner->user, connection, why);
  free_connection (connection);
}

static int
handle_input (fq_peer_connection_t *connection, const void *in, size_t length)
{
  int rc
      = fq_frame_stream_feed (&connection->stream, in, length, unpack_frame, connection);

  if (rc == FQ_OK)
    return 0;
  fq_peer_connection_end (connection, rc == FQ_ERROR_DENIED ? FQ_PEER_END_AUTH_FAILED
                                                            : FQ_PEER_END_PROTOCOL_ERROR);
  return -1;
}

int
fq_peer_connection_handle_event (fq_peer_connection_t *connection,
                                 struct lws *wsi,
                                 enum lws_callback_reasons reason,
                                 const void *in,
                                 size_t length,
                                 fq_time_t now)
{
  switch (reason)
    {
    case LWS_CALLBACK_RAW_CONNECTED:
      /* lws_client_connect_via_info() may not have returned yet. */
      connection->wsi = wsi;
      set_socket_options (wsi);
      return send_hello (connection);
    case LWS_CALLBACK_RAW_RX:
      connection->last_received_at = now;
      connection->ping_pending_since = 0;
      return handle_input (connection, in, length);
    case LWS_CALLBACK_RAW_WRITEABLE:
      return write_queued (connection);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (connection->in_connect_call)
        {
          connection->ended = true;
          return 0;
        }
      connection->wsi = NULL;
      fq_peer_connection_end (connection, FQ_PEER_END_CLOSED);
      return 0;
    default:
      return 0;
    }
}

static void
send_ping (fq_peer_connection_t *connection, fq_time_t now)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Ping ping = FQ__WIRE__PING__INIT;

  ping.sequence = ++connection->ping_sequence;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PING;
  frame.ping = &ping;
  connection->ping_pending_since = now;
  (void)fq_peer_connection_send (connection, &frame);
}

static int
queue_with_body (fq_peer_connection_t *connection,
                 uint8_t *data,
                 size_t size,
                 fq_id_t attempt,
                 fq_blob_t *following)
{
  if (following != NULL && fq_body_send (&connection->bodies, attempt, following) < 0)
    {
      free (data);
      return FQ_ERROR_NOMEM;
    }
  fq_frame_stream_queue (&connection->stream, data, size,
                         following == NULL ? attempt : 0);
  request_writable (connection);
  return FQ_OK;
}

int
fq_peer_connection_send_call (fq_peer_connection_t *connection,
                              uint8_t *data,
                              size_t size,
                              fq_id_t attempt,
                              uint32_t allowance,
                              fq_blob_t *following,
                              fq_time_t now)
{
  fq_pending_attempt_t *pending = calloc (1, sizeof *pending);

  if (pending == NULL || fq_map_set (&connection->attempts, attempt, pending) < 0)
    {
      free (pending);
      free (data);
      return FQ_ERROR_NOMEM;
    }
  pending->attempt = attempt;
  pending->allowance = allowance;
  if (queue_with_body (connection, data, size, attempt, following) < 0)
    {
      fq_peer_connection_remove_attempt (connection, attempt);
      return FQ_ERROR_NOMEM;
    }
  if (connection->answers_due_since == 0)
    connection->answers_due_since = now;
  /* After a long silence the connection may be broken without notice; test it. */
  if (connection->ping_pending_since == 0
      && now - connection->last_received_at >= FQ_PEER_PING_US)
    send_ping (connection, now);
  return FQ_OK;
}

int
fq_peer_connection_send_answer (fq_peer_connection_t *connection,
                                uint8_t *data,
                                size_t size,
                                fq_id_t attempt,
                                fq_blob_t *following)
{
  return queue_with_body (connection, data, size, attempt, following);
}

bool
fq_peer_connection_remove_attempt (fq_peer_connection_t *connection, fq_id_t attempt)
{
  fq_pending_attempt_t *pending = fq_map_remove (&connection->attempts, attempt);

  if (pending == NULL)
    return false;
  fq_body_cancel_send (&connection->bodies, attempt);
  free (pending);
  if (connection->attempts.count == 0)
    connection->answers_due_since = 0;
  return true;
}

size_t
fq_peer_connection_queued_bytes (const fq_peer_connection_t *connection)
{
  return connection->stream.queued_bytes + connection->bodies.unsent_bytes;
}

void
fq_peer_connection_send_credit (fq_peer_connection_t *connection)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Credit credit = FQ__WIRE__CREDIT__INIT;

  credit.bytes = fq_body_take_credit (&connection->bodies);
  if (credit.bytes == 0)
    return;
  frame.kind_case = FQ__WIRE__FRAME__KIND_CREDIT;
  frame.credit = &credit;
  (void)fq_peer_connection_send (connection, &frame);
}

/* Silence begins with the last input, or when the first answer became due after it. */
static fq_time_t
silent_since (const fq_peer_connection_t *connection)
{
  return connection->answers_due_since > connection->last_received_at
             ? connection->answers_due_since
             : connection->last_received_at;
}

void
fq_peer_connection_tick (fq_peer_connection_t *connection, fq_time_t now)
{
  bool waiting = connection->answers_due_since != 0
                 || fq_peer_connection_queued_bytes (connection) > 0;
  fq_time_t ping_after = waiting ? FQ_PEER_PING_US : FQ_PEER_IDLE_PING_US;

  if (!connection->ready)
    {
      if (now - connection->opened_at >= FQ_PEER_HANDSHAKE_TIMEOUT_US)
        fq_peer_connection_end (connection, FQ_PEER_END_TIMEOUT);
      return;
    }
  if (connection->ping_pending_since != 0)
    {
      if (now - connection->ping_pending_since >= FQ_PEER_PING_US)
        fq_peer_connection_end (connection, FQ_PEER_END_TIMEOUT);
      return;
    }
  if (now - silent_since (connection) >= ping_after)
    send_ping (connection, now);
}
