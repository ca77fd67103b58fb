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

/* An attempt whose answer is due. */
typedef struct
{
  fq_id_t attempt;
  uint32_t allowance;
  bool written; /* its last byte was handed to the socket */
} fq_due_t;

static fq_peer_connection_t *
new_connection (const fq_peer_owner_t *owner, bool incoming, fq_time_t now)
{
  fq_peer_connection_t *connection = calloc (1, sizeof *connection);

  if (connection == NULL || fq_auth_nonce (connection->own_nonce) < 0)
    {
      free (connection);
      return NULL;
    }
  connection->owner = owner;
  connection->incoming = incoming;
  connection->opened = now;
  connection->heard = now;
  fq_list_init (&connection->link);
  fq_frame_stream_init (&connection->stream, FQ_PEER_HANDSHAKE_FRAME_BYTES);
  fq_body_transfer_init (&connection->bodies);
  return connection;
}

static void
free_connection (fq_peer_connection_t *connection)
{
  size_t cursor = 0;
  fq_due_t *due;

  while ((due = fq_map_next (&connection->attempts, &cursor)) != NULL)
    free (due);
  fq_map_clear (&connection->attempts);
  fq_list_remove (&connection->link);
  fq_frame_stream_clear (&connection->stream);
  fq_body_transfer_clear (&connection->bodies, connection->owner->on_body_dropped);
  free (connection);
}

static void
want_to_write (fq_peer_connection_t *connection)
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
  want_to_write (connection);
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
fill_exchange (fq_auth_exchange_t *out, const fq_peer_connection_t *connection)
{
  const char *own = connection->owner->node;

  out->opener = connection->incoming ? connection->node : own;
  out->accepter = connection->incoming ? own : connection->node;
  memcpy (out->opener_nonce,
          connection->incoming ? connection->other_nonce : connection->own_nonce,
          FQ_AUTH_NONCE_BYTES);
  memcpy (out->accepter_nonce,
          connection->incoming ? connection->own_nonce : connection->other_nonce,
          FQ_AUTH_NONCE_BYTES);
}

static int
send_proof (fq_peer_connection_t *connection)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Proof proof = FQ__WIRE__PROOF__INIT;
  fq_auth_exchange_t exchange;
  uint8_t mac[FQ_AUTH_PROOF_BYTES];
  int rc;

  fill_exchange (&exchange, connection);
  rc = fq_auth_prove (mac, &connection->owner->keys,
                      connection->incoming ? FQ_AUTH_ACCEPTER : FQ_AUTH_OPENER,
                      &exchange);
  if (rc < 0)
    return rc;
  proof.mac.data = mac;
  proof.mac.len = sizeof mac;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PROOF;
  frame.proof = &proof;
  return fq_peer_connection_send (connection, &frame);
}

/* The opener knows whom it means; the accepter takes the name that will be proved. */
static bool
takes_name (fq_peer_connection_t *connection, const char *name)
{
  if (name[0] == '\0' || strlen (name) >= FQ_NAME_BYTES
      || strcmp (name, connection->owner->node) == 0)
    return false;
  if (!connection->incoming)
    return strcmp (name, connection->node) == 0;
  return fq_text_copy (connection->node, sizeof connection->node, name);
}

static int
take_hello (fq_peer_connection_t *connection, const Fq__Wire__Hello *hello)
{
  if (connection->greeted || hello->version != FQ_PEER_PROTOCOL_VERSION
      || hello->nonce.len != FQ_AUTH_NONCE_BYTES || !takes_name (connection, hello->node))
    return FQ_ERROR_DENIED;
  connection->greeted = true;
  memcpy (connection->other_nonce, hello->nonce.data, FQ_AUTH_NONCE_BYTES);
  return send_proof (connection);
}

static int
take_proof (fq_peer_connection_t *connection, const Fq__Wire__Proof *proof)
{
  fq_auth_exchange_t exchange;
  int rc;

  if (!connection->greeted)
    return FQ_ERROR_DENIED;
  fill_exchange (&exchange, connection);
  rc = fq_auth_check (proof->mac.data, proof->mac.len, &connection->owner->keys,
                      connection->incoming ? FQ_AUTH_OPENER : FQ_AUTH_ACCEPTER,
                      &exchange);
  if (rc < 0)
    return rc;
  connection->ready = true;
  connection->stream.frame_limit = FQ_FRAME_BYTES_MAX;
  connection->owner->on_ready (connection->owner->user, connection);
  return FQ_OK;
}

static int
answer_ping (fq_peer_connection_t *connection, const Fq__Wire__Ping *ping)
{
  Fq__Wire__Frame frame = FQ__WIRE__FRAME__INIT;
  Fq__Wire__Pong pong = FQ__WIRE__PONG__INIT;

  pong.sequence = ping->sequence;
  frame.kind_case = FQ__WIRE__FRAME__KIND_PONG;
  frame.pong = &pong;
  return fq_peer_connection_send (connection, &frame);
}

static int
take_credit (fq_peer_connection_t *connection, const Fq__Wire__Credit *credit)
{
  int rc = fq_body_add_credit (&connection->bodies, credit->bytes);

  if (rc == FQ_OK)
    want_to_write (connection);
  return rc;
}

static int
take_frame (fq_peer_connection_t *connection, const Fq__Wire__Frame *frame)
{
  bool handshake = frame->kind_case == FQ__WIRE__FRAME__KIND_HELLO
                   || frame->kind_case == FQ__WIRE__FRAME__KIND_PROOF;

  if (connection->ready == handshake)
    return FQ_ERROR_DENIED;
  switch (frame->kind_case)
    {
    case FQ__WIRE__FRAME__KIND_HELLO:
      return take_hello (connection, frame->hello);
    case FQ__WIRE__FRAME__KIND_PROOF:
      return take_proof (connection, frame->proof);
    case FQ__WIRE__FRAME__KIND_PING:
      return answer_ping (connection, frame->ping);
    case FQ__WIRE__FRAME__KIND_PONG:
      return FQ_OK;
    case FQ__WIRE__FRAME__KIND_CREDIT:
      return take_credit (connection, frame->credit);
    default:
      return connection->owner->on_frame (connection->owner->user, connection, frame);
    }
}

static int
take_packed (void *user, const uint8_t *data, size_t size)
{
  Fq__Wire__Frame *frame = fq__wire__frame__unpack (NULL, size, data);
  int rc;

  if (frame == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID, "a malformed frame");
  rc = take_frame (user, frame);
  fq__wire__frame__free_unpacked (frame, NULL);
  return rc;
}

static void
mark_written (void *user, fq_id_t attempt)
{
  fq_peer_connection_t *connection = user;
  fq_due_t *due = fq_map_get (&connection->attempts, attempt);

  if (due != NULL)
    due->written = true;
}

static void
queue_part (fq_peer_connection_t *connection, const fq_body_chunk_t *part)
{
  uint8_t *data;
  size_t size;

  /* A part is far below the limit of a frame: only memory can be short. */
  if (fq_frame_pack_data (&data, &size, part->attempt, connection->incoming, part->bytes,
                          part->size)
      < 0)
    abort ();
  fq_frame_stream_queue (&connection->stream, data, size, part->last ? part->attempt : 0);
  if (part->last)
    fq_body_cancel_send (&connection->bodies, part->attempt);
}

static int
write_some (fq_peer_connection_t *connection)
{
  uint8_t space[LWS_PRE + FQ_PEER_WRITE_BYTES];
  fq_body_chunk_t part;
  size_t used;

  /* Frames that wait go before bodies, so that calls pass large bodies by. */
  while (connection->stream.queued < FQ_PEER_WRITE_BYTES
         && fq_body_next_chunk (&connection->bodies, &part))
    queue_part (connection, &part);
  used = fq_frame_stream_take (&connection->stream, space + LWS_PRE, FQ_PEER_WRITE_BYTES,
                               mark_written, connection);
  if (used == 0)
    return 0;
  if (lws_write (connection->wsi, space + LWS_PRE, used, LWS_WRITE_RAW) < 0)
    return -1;
  if (connection->stream.queued > 0 || connection->bodies.waiting > 0)
    want_to_write (connection);
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
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a node");
  fq_text_copy (connection->node, sizeof connection->node, node);
  info.context = owner->context;
  info.vhost = owner->vhost;
  info.address = ip;
  info.host = ip;
  info.method = "RAW";
  info.local_protocol_name = "peers";
  info.opaque_user_data = connection;
  connection->opening = true;
  wsi = lws_client_connect_via_info (&info);
  connection->opening = false;
  if (wsi == NULL || connection->ended)
    {
      free_connection (connection);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't reach %s", address);
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
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a node");
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

/* What never left whole can't have run. */
static void
tell_not_written (fq_peer_connection_t *connection)
{
  size_t cursor = 0;
  size_t count = 0;
  fq_due_t *unwritten = calloc (connection->attempts.count + 1, sizeof *unwritten);
  fq_due_t *due;

  if (unwritten == NULL)
    abort ();
  while ((due = fq_map_next (&connection->attempts, &cursor)) != NULL)
    {
      if (!due->written)
        unwritten[count++] = *due;
    }
  for (size_t i = 0; i < count; i++)
    {
      fq_peer_connection_settle (connection, unwritten[i].attempt);
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
  tell_not_written (connection);
  connection->ready = was_ready;
  connection->owner->on_end (connection->owner->user, connection, why);
  free_connection (connection);
}

static int
take_input (fq_peer_connection_t *connection, const void *in, size_t length)
{
  int rc
      = fq_frame_stream_feed (&connection->stream, in, length, take_packed, connection);

  if (rc == FQ_OK)
    return 0;
  fq_peer_connection_end (connection, rc == FQ_ERROR_DENIED ? FQ_PEER_END_DENIED
                                                            : FQ_PEER_END_BROKEN);
  return -1;
}

int
fq_peer_connection_event (fq_peer_connection_t *connection,
                          struct lws *wsi,
                          enum lws_callback_reasons reason,
                          const void *in,
                          size_t length,
                          fq_time_t now)
{
  switch (reason)
    {
    case LWS_CALLBACK_RAW_CONNECTED:
      /* This may come before the call that opens the connection returns. */
      connection->wsi = wsi;
      set_socket_options (wsi);
      return send_hello (connection);
    case LWS_CALLBACK_RAW_RX:
      connection->heard = now;
      connection->pinged = 0;
      return take_input (connection, in, length);
    case LWS_CALLBACK_RAW_WRITEABLE:
      return write_some (connection);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (connection->opening)
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
  connection->pinged = now;
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
  want_to_write (connection);
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
  fq_due_t *due = calloc (1, sizeof *due);

  if (due == NULL || fq_map_set (&connection->attempts, attempt, due) < 0)
    {
      free (due);
      free (data);
      return FQ_ERROR_NOMEM;
    }
  due->attempt = attempt;
  due->allowance = allowance;
  if (queue_with_body (connection, data, size, attempt, following) < 0)
    {
      fq_peer_connection_settle (connection, attempt);
      return FQ_ERROR_NOMEM;
    }
  if (connection->waiting_since == 0)
    connection->waiting_since = now;
  /* After a long silence nobody knows whether the connection still carries anything. */
  if (connection->pinged == 0 && now - connection->heard >= FQ_PEER_PING_US)
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
fq_peer_connection_settle (fq_peer_connection_t *connection, fq_id_t attempt)
{
  fq_due_t *due = fq_map_remove (&connection->attempts, attempt);

  if (due == NULL)
    return false;
  fq_body_cancel_send (&connection->bodies, attempt);
  free (due);
  if (connection->attempts.count == 0)
    connection->waiting_since = 0;
  return true;
}

size_t
fq_peer_connection_queued (const fq_peer_connection_t *connection)
{
  return connection->stream.queued + connection->bodies.waiting;
}

void
fq_peer_connection_credit (fq_peer_connection_t *connection)
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

/* When silence began to say something: the last word, or the first thing due after it. */
static fq_time_t
silent_since (const fq_peer_connection_t *connection)
{
  return connection->waiting_since > connection->heard ? connection->waiting_since
                                                       : connection->heard;
}

void
fq_peer_connection_tick (fq_peer_connection_t *connection, fq_time_t now)
{
  bool waiting
      = connection->waiting_since != 0 || fq_peer_connection_queued (connection) > 0;
  fq_time_t patience = waiting ? FQ_PEER_PING_US : FQ_PEER_IDLE_PING_US;

  if (!connection->ready)
    {
      if (now - connection->opened >= FQ_PEER_HANDSHAKE_US)
        fq_peer_connection_end (connection, FQ_PEER_END_SILENT);
      return;
    }
  if (connection->pinged != 0)
    {
      if (now - connection->pinged >= FQ_PEER_PING_US)
        fq_peer_connection_end (connection, FQ_PEER_END_SILENT);
      return;
    }
  if (now - silent_since (connection) >= patience)
    send_ping (connection, now);
}
