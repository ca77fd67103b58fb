#include "net/http_server.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/http_request.h"
#include "util/map.h"
#include "util/text.h"

/* A body of up to so many times the limit is read before it is refused. */
#define FQ_HTTP_DISCARD_LIMITS 4
#define FQ_HTTP_ANSWER_HEAD_BYTES 4096 /* most for status line and header fields */
#define FQ_HTTP_WRITE_BYTES 32768      /* most body bytes in one write */
#define FQ_HTTP_KEEPALIVE_SECONDS 60
#define FQ_HTTP_BODY_RATE_MIN 65536 /* bytes/s; lowest mean rate of a long body */
/* Share of the memory for bodies that may be in use after a request body is accepted. */
#define FQ_HTTP_REQUESTS_PERCENT 75
#define FQ_HTTP_RETRY_AFTER_SECONDS 1
#define FQ_HTTP_DISCONNECT_CHECK_US 100000 /* interval of check_disconnects() */

/* A connection; libwebsockets allocates it zeroed and keeps it across requests. */
typedef struct
{
  struct lws *wsi;
  fq_http_server_t *server;
  fq_http_inbound_request_t request;
  size_t body_size; /* content-length of the request */
  size_t received;  /* body bytes so far */
  bool busy;        /* a request is being received, processed or answered */
  bool handled;     /* on_request was called, or the listener answers by itself */
  bool answering;   /* an answer is being written */
  bool headers_sent;
  fq_http_reply_t reply;
  char reply_content_type[FQ_HEADER_BYTES];
  char reply_location[FQ_LOCATION_BYTES];
  size_t written;  /* body bytes of the answer so far */
  bool discarding; /* the body is over the limit; it is read and dropped */
} fq_http_connection_t;

struct fq_http_server
{
  fq_http_server_options_t options;
  struct lws_vhost *vhost;
  struct lws_protocols protocols[2];
  fq_map_t pending; /* connections by request id */
  fq_id_t next_id;
  lws_sorted_usec_list_t disconnect_check;
  struct lws_context *context;
  bool keep_alive_disabled;
  bool refusing;
  size_t busy; /* connections whose request is not yet answered in full */
};

static int on_event (struct lws *wsi,
                     enum lws_callback_reasons reason,
                     void *user,
                     void *in,
                     size_t length);

void
fq_http_reply_add (fq_http_reply_t *reply, const char *name, const char *format, ...)
{
  fq_http_header_t *header;
  va_list arguments;

  if (reply->header_count == FQ_HTTP_EXTRA_HEADERS_MAX)
    return;
  header = &reply->headers[reply->header_count++];
  header->name = name;
  va_start (arguments, format);
  vsnprintf (header->value, sizeof header->value, format, arguments);
  va_end (arguments);
}

static bool
client_has_closed (const fq_http_connection_t *connection)
{
  char byte;

  return !connection->answering
         && recv (lws_get_socket_fd (connection->wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
                == 0;
}

/* Closes connections that their clients have closed. libwebsockets does not read from a
 * connection while its request is being processed, and so does not notice the end. */
static void
check_disconnects (lws_sorted_usec_list_t *timer)
{
  fq_http_server_t *server = lws_container_of (timer, fq_http_server_t, disconnect_check);
  fq_http_connection_t *connection;
  size_t cursor = 0;

  while ((connection = fq_map_next (&server->pending, &cursor)) != NULL)
    {
      if (client_has_closed (connection))
        lws_set_timeout (connection->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                         LWS_TO_KILL_ASYNC);
    }
  lws_sul_schedule (server->context, 0, timer, check_disconnects,
                    FQ_HTTP_DISCONNECT_CHECK_US);
}

int
fq_http_server_new (fq_http_server_t **out,
                    struct lws_context *context,
                    const fq_http_server_options_t *options)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_server_t *server = calloc (1, sizeof *server);

  if (server == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a listener");
  server->options = *options;
  server->protocols[0] = (struct lws_protocols){
    .name = "http",
    .callback = on_event,
    .per_session_data_size = sizeof (fq_http_connection_t),
    .user = server,
  };
  info.port = options->port;
  info.iface = options->address;
  info.protocols = server->protocols;
  info.vhost_name = options->name;
  info.keepalive_timeout = FQ_HTTP_KEEPALIVE_SECONDS;
  info.timeout_secs = options->head_timeout_seconds;
  info.timeout_secs_ah_idle = options->head_timeout_seconds;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  server->vhost = lws_create_vhost (context, &info);
  if (server->vhost == NULL)
    {
      free (server);
      return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't listen on port %d",
                           options->port);
    }
  server->context = context;
  lws_sul_schedule (context, 0, &server->disconnect_check, check_disconnects,
                    FQ_HTTP_DISCONNECT_CHECK_US);
  *out = server;
  return FQ_OK;
}

int
fq_http_server_port (const fq_http_server_t *server)
{
  return lws_get_vhost_listen_port (server->vhost);
}

void
fq_http_server_free (fq_http_server_t *server)
{
  if (server == NULL)
    return;
  fq_map_clear (&server->pending);
  free (server);
}

size_t
fq_http_server_pending_count (const fq_http_server_t *server)
{
  return server->pending.count;
}

void
fq_http_server_refuse_requests (fq_http_server_t *server)
{
  server->keep_alive_disabled = true;
  server->refusing = true;
}

size_t
fq_http_server_active_count (const fq_http_server_t *server)
{
  return server->busy;
}

static void
set_busy (fq_http_connection_t *connection, bool busy)
{
  if (connection->busy == busy)
    return;
  connection->busy = busy;
  connection->server->busy += busy ? 1 : (size_t)-1;
}

void
fq_http_server_disable_keep_alive (fq_http_server_t *server)
{
  server->keep_alive_disabled = true;
}

static void
reset_connection (fq_http_connection_t *connection)
{
  fq_blob_unref (connection->request.body);
  fq_blob_unref (connection->reply.body);
  memset (&connection->request, 0, sizeof connection->request);
  memset (&connection->reply, 0, sizeof connection->reply);
  connection->body_size = 0;
  connection->received = 0;
  connection->handled = false;
  connection->answering = false;
  connection->headers_sent = false;
  connection->written = 0;
  connection->discarding = false;
}

static void
start_answer (fq_http_connection_t *connection, const fq_http_reply_t *reply)
{
  connection->reply = *reply;
  fq_blob_ref (reply->body);
  fq_text_copy (connection->reply_content_type, FQ_HEADER_BYTES, reply->content_type);
  fq_text_copy (connection->reply_location, FQ_LOCATION_BYTES, reply->location);
  connection->answering = true;
  lws_callback_on_writable (connection->wsi);
}

void
fq_http_server_reply (fq_http_server_t *server, fq_id_t id, const fq_http_reply_t *reply)
{
  fq_http_connection_t *connection = fq_map_get (&server->pending, id);

  if (connection != NULL && !connection->answering)
    start_answer (connection, reply);
}

/* Answers a request that is not delivered to on_request, and closes the connection. */
static void
reject (fq_http_connection_t *connection, uint16_t status, const char *reason)
{
  fq_http_reply_t reply = {
    .status = status,
    .content_type = "application/problem+json",
    .close = true,
  };
  char text[FQ_HEADER_BYTES];
  int length = snprintf (text, sizeof text,
                         "{\"type\":\"about:blank\",\"status\":%u,\"title\":\"%s\","
                         "\"outcome\":\"not-run\"}\n",
                         status, reason);

  fq_http_reply_add (&reply, "fq-outcome:", "not-run");
  if (status == 503)
    fq_http_reply_add (&reply, "retry-after:", "%d", FQ_HTTP_RETRY_AFTER_SECONDS);
  if (fq_blob_new (&reply.body, text, (size_t)length) < 0)
    reply.body = NULL;
  connection->handled = true;
  start_answer (connection, &reply);
  fq_blob_unref (reply.body);
}

static void
deliver_request (fq_http_connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  fq_http_inbound_request_t *request = &connection->request;

  if (connection->handled)
    return;
  if (server->refusing)
    {
      reject (connection, 503, "the node is stopping");
      return;
    }
  connection->handled = true;
  lws_set_timeout (connection->wsi, NO_PENDING_TIMEOUT, 0);
  lws_set_timer_usecs (connection->wsi, LWS_SET_TIMER_USEC_CANCEL);
  request->id = ++server->next_id;
  if (fq_map_set (&server->pending, request->id, connection) < 0)
    {
      reject (connection, 503, "no memory");
      return;
    }
  server->options.on_request (server->options.user, request);
}

static void
start_body_timeout (fq_http_connection_t *connection)
{
  lws_usec_t seconds = connection->server->options.body_timeout_seconds;

  seconds += (lws_usec_t)(connection->body_size / FQ_HTTP_BODY_RATE_MIN);
  lws_set_timeout (connection->wsi, NO_PENDING_TIMEOUT, 0);
  lws_set_timer_usecs (connection->wsi, seconds * LWS_US_PER_SEC);
}

/* Reads a body that is over the limit before it is refused. A connection that is closed
 * with unread input is reset, and a client that sends first then loses the answer. */
static bool
discard_body (fq_http_connection_t *connection)
{
  if (connection->body_size
      > connection->server->options.body_limit * FQ_HTTP_DISCARD_LIMITS)
    return false;
  connection->discarding = true;
  start_body_timeout (connection);
  return true;
}

static void
reject_large_body (fq_http_connection_t *connection)
{
  reject (connection, 413, "the body is too large");
}

static void
begin_request (fq_http_connection_t *connection)
{
  const char *reason;
  uint16_t status;

  reset_connection (connection);
  set_busy (connection, true);
  if (connection->server->refusing)
    {
      reject (connection, 503, "the node is stopping");
      return;
    }
  status = fq_http_request_read (connection->wsi, &connection->request,
                                 &connection->body_size, &reason);
  if (status == 0 && connection->body_size > connection->server->options.body_limit)
    {
      if (!discard_body (connection))
        reject_large_body (connection);
      return;
    }
  if (status != 0)
    {
      reject (connection, status, reason);
      return;
    }
  if (connection->body_size == 0)
    {
      deliver_request (connection);
      return;
    }
  if (fq_blob_reserve (&connection->request.body, connection->body_size,
                       FQ_HTTP_REQUESTS_PERCENT)
      < 0)
    {
      reject (connection, 503, "no room for the body now");
      return;
    }
  start_body_timeout (connection);
}

static void
on_body_timeout (fq_http_connection_t *connection)
{
  if (connection->handled)
    return;
  if (connection->discarding)
    reject_large_body (connection);
  else
    reject (connection, 408, "the body takes too long");
}

static void
receive_body (fq_http_connection_t *connection, const void *data, size_t length)
{
  if (connection->discarding && !connection->handled)
    {
      connection->received += length;
      if (connection->received >= connection->body_size)
        reject_large_body (connection);
      return;
    }
  if (connection->handled || connection->request.body == NULL)
    return;
  if (length > connection->body_size - connection->received)
    length = connection->body_size - connection->received;
  memcpy (connection->request.body->data + connection->received, data, length);
  connection->received += length;
  if (connection->received == connection->body_size)
    deliver_request (connection);
}

static int
add_header (fq_http_connection_t *connection,
            enum lws_token_indexes token,
            const char *value,
            uint8_t **at,
            uint8_t *end)
{
  if (value[0] == '\0')
    return 0;
  return lws_add_http_header_by_token (
      connection->wsi, token, (const unsigned char *)value, (int)strlen (value), at, end);
}

static int
write_headers (fq_http_connection_t *connection)
{
  uint8_t space[LWS_PRE + FQ_HTTP_ANSWER_HEAD_BYTES];
  uint8_t *start = space + LWS_PRE;
  uint8_t *at = start;
  uint8_t *end = space + sizeof space - 1;
  const fq_http_reply_t *reply = &connection->reply;
  size_t size = reply->body == NULL ? 0 : reply->body->size;

  if (lws_add_http_header_status (connection->wsi, reply->status, &at, end) != 0)
    return -1;
  if (add_header (connection, WSI_TOKEN_HTTP_CONTENT_TYPE, connection->reply_content_type,
                  &at, end)
          != 0
      || add_header (connection, WSI_TOKEN_HTTP_LOCATION, connection->reply_location, &at,
                     end)
             != 0)
    return -1;
  for (size_t i = 0; i < reply->header_count; i++)
    {
      const fq_http_header_t *header = &reply->headers[i];

      if (lws_add_http_header_by_name (
              connection->wsi, (const unsigned char *)header->name,
              (const unsigned char *)header->value, (int)strlen (header->value), &at, end)
          != 0)
        return -1;
    }
  if ((reply->close || connection->server->keep_alive_disabled)
      && lws_add_http_header_by_token (connection->wsi, WSI_TOKEN_CONNECTION,
                                       (const unsigned char *)"close", 5, &at, end)
             != 0)
    return -1;
  if (lws_add_http_header_content_length (connection->wsi, size, &at, end) != 0)
    return -1;
  return lws_finalize_write_http_header (connection->wsi, start, &at, end);
}

static int
write_body (fq_http_connection_t *connection)
{
  uint8_t space[LWS_PRE + FQ_HTTP_WRITE_BYTES];
  const fq_blob_t *body = connection->reply.body;
  size_t left = body == NULL ? 0 : body->size - connection->written;
  size_t part = left < FQ_HTTP_WRITE_BYTES ? left : FQ_HTTP_WRITE_BYTES;
  bool final = part == left;

  memcpy (space + LWS_PRE, body->data + connection->written, part);
  if (lws_write (connection->wsi, space + LWS_PRE, part,
                 final ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      != (int)part)
    return -1;
  connection->written += part;
  return 0;
}

static int
complete_answer (fq_http_connection_t *connection)
{
  bool close = connection->reply.close || connection->server->keep_alive_disabled;
  struct lws *wsi = connection->wsi;

  fq_map_remove (&connection->server->pending, connection->request.id);
  reset_connection (connection);
  set_busy (connection, false);
  if (close)
    {
      /* Lets libwebsockets flush its output before it closes the connection. */
      lws_set_timeout (wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, 1);
      return -1;
    }
  return lws_http_transaction_completed (wsi) != 0 ? -1 : 0;
}

static int
continue_answer (fq_http_connection_t *connection)
{
  size_t size = connection->reply.body == NULL ? 0 : connection->reply.body->size;
  bool head = strcmp (connection->request.method, "HEAD") == 0;

  if (!connection->answering)
    return 0;
  if (!connection->headers_sent)
    {
      if (write_headers (connection) != 0)
        return -1;
      connection->headers_sent = true;
      if (size == 0 || head)
        return complete_answer (connection);
      lws_callback_on_writable (connection->wsi);
      return 0;
    }
  if (size > 0 && write_body (connection) != 0)
    return -1;
  if (connection->written == size)
    return complete_answer (connection);
  lws_callback_on_writable (connection->wsi);
  return 0;
}

static void
connection_closed (fq_http_connection_t *connection)
{
  fq_http_server_t *server = connection->server;
  fq_id_t id = connection->request.id;
  bool pending_request = id != 0 && fq_map_get (&server->pending, id) == connection;
  bool answered = connection->answering;

  if (pending_request)
    fq_map_remove (&server->pending, id);
  reset_connection (connection);
  set_busy (connection, false);
  if (pending_request && !answered)
    server->options.on_client_disconnected (server->options.user, id);
}

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  fq_http_connection_t *connection = user;

  switch (reason)
    {
    case LWS_CALLBACK_HTTP:
      connection->wsi = wsi;
      connection->server = lws_get_protocol (wsi)->user;
      begin_request (connection);
      return 0;
    case LWS_CALLBACK_HTTP_BODY:
      receive_body (connection, in, length);
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return 0;
    case LWS_CALLBACK_TIMER:
      if (connection != NULL && connection->server != NULL)
        on_body_timeout (connection);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return continue_answer (connection);
    case LWS_CALLBACK_CLOSED_HTTP:
      if (connection != NULL && connection->server != NULL)
        connection_closed (connection);
      return 0;
    default:
      return 0;
    }
}
