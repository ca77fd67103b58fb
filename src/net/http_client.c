#include "net/http_client.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "filbertquay/memory.h"
#include "net/address.h"
#include "util/list.h"
#include "util/map.h"
#include "util/text.h"

#define FQ_HTTP_WRITE_BYTES 32768
#define FQ_HTTP_READ_BYTES 8192
#define FQ_HTTP_LENGTH_BYTES 16       /* a content-length, with its NUL */
#define FQ_HTTP_IDLE_SECONDS 30       /* idle connections are closed after it */
#define FQ_HTTP_ANSWER_BYTES_MIN 4096 /* first allocation for the body of an answer */
/* Share of the memory for bodies that may be in use after an answer is received. */
#define FQ_HTTP_ANSWERS_PERCENT 100

/* How the end of an answer is determined. */
typedef enum
{
  FQ_ANSWER_FRAMING_NONE,    /* none: can't be distinguished from a truncated answer */
  FQ_ANSWER_FRAMING_LENGTH,  /* content-length */
  FQ_ANSWER_FRAMING_CHUNKED, /* chunked transfer encoding */
  FQ_ANSWER_FRAMING_NO_BODY, /* it has no body */
} fq_answer_framing_t;

/* A virtual host with at most one connection in use, for one exchange at a time. */
typedef struct
{
  fq_list_t link; /* on the idle or the busy list */
  fq_http_client_t *client;
  char name[FQ_NAME_BYTES]; /* of the virtual host, which does not copy it */
  struct lws_vhost *vhost;
  struct lws *wsi;           /* of the exchange */
  struct lws *idle_wsi;      /* idle connection of the previous exchange, or NULL */
  struct lws *previous_wsi;  /* value of @idle_wsi when the exchange started */
  bool reused;               /* the exchange runs on the connection of the previous one */
  lws_usec_t last_answer_at; /* when the last complete answer was received on @idle_wsi */
  bool connecting;           /* libwebsockets may not have set @wsi yet */
  fq_id_t exchange;          /* 0: idle */
  char method[FQ_METHOD_BYTES];
  char path[FQ_PATH_BYTES];
  char content_type[FQ_HEADER_BYTES];
  fq_blob_t *body;
  size_t body_sent;
  size_t header_count;
  struct
  {
    const char *name;
    char value[FQ_HEADER_BYTES];
  } headers[FQ_HTTP_OUTBOUND_HEADERS_MAX];
  bool sent; /* libwebsockets builds the request head: it may be sent from now on */
  fq_answer_framing_t framing;
  fq_http_answer_t answer;
  uint8_t *received; /* body bytes so far */
  size_t received_size;
  size_t received_capacity;
  size_t content_length;      /* of the answer */
  const char *read_start;     /* buffer of the read in progress, or NULL */
  char *const *read_position; /* end of the bytes that this read has consumed */
} fq_http_slot_t;

struct fq_http_client
{
  fq_http_client_options_t options;
  struct lws_context *context;
  struct lws_protocols protocols[2];
  fq_list_t idle; /* most recently used first */
  fq_list_t busy;
  size_t slot_count;
  size_t finishing; /* slots in on_done, which are on neither list */
  fq_map_t by_exchange;
  /* When a reused connection last ended without an answer. Connections whose last answer
   * is older are not reused. */
  lws_usec_t unanswered_at;
};

static int on_event (struct lws *wsi,
                     enum lws_callback_reasons reason,
                     void *user,
                     void *in,
                     size_t length);

int
fq_http_client_new (fq_http_client_t **out,
                    struct lws_context *context,
                    const fq_http_client_options_t *options)
{
  fq_http_client_t *client = calloc (1, sizeof *client);

  if (client == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "no memory for a client");
  client->options = *options;
  client->context = context;
  client->protocols[0] = (struct lws_protocols){
    .name = "http-client",
    .callback = on_event,
    .rx_buffer_size = FQ_HTTP_READ_BYTES,
  };
  fq_list_init (&client->idle);
  fq_list_init (&client->busy);
  *out = client;
  return FQ_OK;
}

static void
clear_slot (fq_http_slot_t *slot)
{
  fq_blob_unref (slot->body);
  fq_blob_unref (slot->answer.body);
  free (slot->received);
  slot->body = NULL;
  slot->received = NULL;
  slot->received_size = 0;
  slot->received_capacity = 0;
  slot->body_sent = 0;
  slot->header_count = 0;
  slot->sent = false;
  slot->framing = FQ_ANSWER_FRAMING_NONE;
  slot->content_length = 0;
  slot->read_start = NULL;
  memset (&slot->answer, 0, sizeof slot->answer);
}

static void
free_slots (fq_list_t *list)
{
  FQ_LIST_FOREACH_SAFE (link, following, list)
  {
    fq_http_slot_t *slot = FQ_LIST_ENTRY (link, fq_http_slot_t, link);

    clear_slot (slot);
    free (slot);
  }
}

void
fq_http_client_free (fq_http_client_t *client)
{
  if (client == NULL)
    return;
  free_slots (&client->idle);
  free_slots (&client->busy);
  fq_map_clear (&client->by_exchange);
  free (client);
}

size_t
fq_http_client_exchange_count (const fq_http_client_t *client)
{
  return client->by_exchange.count;
}

static fq_http_slot_t *
new_slot (fq_http_client_t *client)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_slot_t *slot = calloc (1, sizeof *slot);

  if (slot == NULL)
    return NULL;
  snprintf (slot->name, sizeof slot->name, "%s-%zu", client->options.name,
            client->slot_count);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = client->protocols;
  info.vhost_name = slot->name;
  info.connect_timeout_secs = client->options.connect_timeout_seconds;
  slot->vhost = lws_create_vhost (client->context, &info);
  if (slot->vhost == NULL)
    {
      free (slot);
      return NULL;
    }
  slot->client = client;
  fq_list_init (&slot->link);
  client->slot_count++;
  return slot;
}

static fq_http_slot_t *
acquire_slot (fq_http_client_t *client)
{
  fq_list_t *link = fq_list_first (&client->idle);

  if (link != NULL)
    {
      fq_list_remove (link);
      return FQ_LIST_ENTRY (link, fq_http_slot_t, link);
    }
  if (client->slot_count >= client->options.connections + client->finishing)
    return NULL;
  return new_slot (client);
}

static void
finish_exchange (fq_http_slot_t *slot, fq_http_result_t result)
{
  fq_http_client_t *client = slot->client;
  fq_id_t exchange = slot->exchange;
  fq_http_answer_t answer = slot->answer;

  if (exchange == 0)
    return;
  fq_blob_ref (answer.body);
  fq_map_remove (&client->by_exchange, exchange);
  slot->exchange = 0;
  slot->wsi = NULL;
  clear_slot (slot);
  fq_list_remove (&slot->link);
  /* libwebsockets is still processing this connection. The slot stays off both lists
   * during on_done(), so that an exchange started there is not queued behind this one. */
  client->finishing++;
  client->options.on_done (client->options.user, exchange, result,
                           result == FQ_HTTP_ANSWERED ? &answer : NULL);
  client->finishing--;
  fq_list_prepend (&client->idle, &slot->link);
  fq_blob_unref (answer.body);
}

/* When a reused connection ends without an answer, a device on the network path may have
 * dropped it silently, and other idle connections with it: none of these is reused. */
static void
finish_without_answer (fq_http_slot_t *slot)
{
  if (slot->reused && slot->exchange != 0 && slot->answer.status == 0)
    slot->client->unanswered_at = lws_now_usecs ();
  finish_exchange (slot, slot->sent ? FQ_HTTP_ANSWER_LOST : FQ_HTTP_NOT_SENT);
}

static void
close_idle_connection (fq_http_slot_t *slot)
{
  if (slot->idle_wsi != NULL)
    lws_set_timeout (slot->idle_wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

/* False when the idle connection must not be reused: since its last answer, a reused
 * connection has ended without an answer, or data can be read from it, which is its end
 * or an answer without a request. True when there is no idle connection. */
static bool
idle_connection_is_usable (const fq_http_slot_t *slot)
{
  char byte;

  if (slot->idle_wsi == NULL)
    return true;
  if (slot->last_answer_at <= slot->client->unanswered_at)
    return false;
  return recv (lws_get_socket_fd (slot->idle_wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static int
set_request (fq_http_slot_t *slot,
             const fq_http_outbound_request_t *request,
             int *port,
             char *ip)
{
  int found = fq_address_split (ip, request->address);

  if (found < 0)
    return found;
  *port = found;
  fq_text_copy (slot->method, sizeof slot->method, request->method);
  fq_text_copy (slot->path, sizeof slot->path, request->path);
  fq_text_copy (slot->content_type, sizeof slot->content_type, request->content_type);
  slot->body = fq_blob_ref (request->body);
  for (size_t i = 0; i < request->header_count; i++)
    {
      if (request->headers[i].value == NULL || request->headers[i].value[0] == '\0')
        continue;
      slot->headers[slot->header_count].name = request->headers[i].name;
      fq_text_copy (slot->headers[slot->header_count].value, FQ_HEADER_BYTES,
                    request->headers[i].value);
      slot->header_count++;
    }
  return FQ_OK;
}

int
fq_http_client_start (fq_http_client_t *client,
                      fq_id_t exchange,
                      const fq_http_outbound_request_t *request)
{
  struct lws_client_connect_info info = { 0 };
  char ip[FQ_ADDRESS_BYTES];
  int port = 0;
  bool started;
  fq_http_slot_t *slot = acquire_slot (client);
  int rc;

  if (slot == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_AGAIN,
                         "all connections are in use");
  rc = set_request (slot, request, &port, ip);
  if (rc < 0 || (rc = fq_map_set (&client->by_exchange, exchange, slot)) < 0)
    {
      clear_slot (slot);
      fq_list_prepend (&client->idle, &slot->link);
      return rc;
    }
  slot->exchange = exchange;
  fq_list_append (&client->busy, &slot->link);
  info.context = client->context;
  info.vhost = slot->vhost;
  info.address = ip;
  info.port = port;
  info.path = slot->path;
  /* libwebsockets finds the idle connection only when host and address are equal. */
  info.host = ip;
  info.origin = ip;
  info.method = slot->method;
  info.local_protocol_name = "http-client";
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  slot->reused = slot->idle_wsi != NULL && !request->fresh_connection
                 && idle_connection_is_usable (slot);
  if (slot->idle_wsi != NULL && !slot->reused)
    close_idle_connection (slot);
  else if (!request->fresh_connection)
    info.ssl_connection |= LCCSCF_PIPELINE;
  slot->previous_wsi = slot->idle_wsi;
  slot->idle_wsi = NULL;
  slot->connecting = true;
  info.keep_warm_secs = FQ_HTTP_IDLE_SECONDS;
  info.opaque_user_data = slot;
  info.pwsi = &slot->wsi;
  started = lws_client_connect_via_info (&info) != NULL;
  slot->connecting = false;
  if (!started && slot->exchange == exchange)
    finish_without_answer (slot);
  return FQ_OK;
}

void
fq_http_client_abort (fq_http_client_t *client, fq_id_t exchange)
{
  fq_http_slot_t *slot = fq_map_get (&client->by_exchange, exchange);

  if (slot != NULL && slot->wsi != NULL)
    lws_set_timeout (slot->wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

static int
append_header (
    struct lws *wsi, const char *name, const char *value, uint8_t **at, uint8_t *end)
{
  return lws_add_http_header_by_name (wsi, (const unsigned char *)name,
                                      (const unsigned char *)value, (int)strlen (value),
                                      at, end);
}

static int
append_headers (fq_http_slot_t *slot, struct lws *wsi, uint8_t **at, uint8_t *end)
{
  char length[FQ_HTTP_LENGTH_BYTES];
  bool may_have_body = strcmp (slot->method, "GET") != 0
                       && strcmp (slot->method, "HEAD") != 0
                       && strcmp (slot->method, "DELETE") != 0;

  slot->sent = true;
  for (size_t i = 0; i < slot->header_count; i++)
    {
      if (append_header (wsi, slot->headers[i].name, slot->headers[i].value, at, end)
          != 0)
        return -1;
    }
  if (slot->content_type[0] != '\0'
      && append_header (wsi, "content-type:", slot->content_type, at, end) != 0)
    return -1;
  if (slot->body == NULL && !may_have_body)
    return 0;
  snprintf (length, sizeof length, "%zu", slot->body == NULL ? 0 : slot->body->size);
  if (append_header (wsi, "content-length:", length, at, end) != 0)
    return -1;
  if (slot->body != NULL && slot->body->size > 0)
    {
      lws_client_http_body_pending (wsi, 1);
      lws_callback_on_writable (wsi);
    }
  return 0;
}

static int
write_body (fq_http_slot_t *slot, struct lws *wsi)
{
  uint8_t space[LWS_PRE + FQ_HTTP_WRITE_BYTES];
  size_t left;
  size_t part;

  if (slot->body == NULL || slot->body_sent == slot->body->size)
    return 0;
  left = slot->body->size - slot->body_sent;
  part = left < FQ_HTTP_WRITE_BYTES ? left : FQ_HTTP_WRITE_BYTES;
  memcpy (space + LWS_PRE, slot->body->data + slot->body_sent, part);
  if (lws_write (wsi, space + LWS_PRE, part,
                 part == left ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
      != (int)part)
    return -1;
  slot->body_sent += part;
  if (part == left)
    lws_client_http_body_pending (wsi, 0);
  else
    lws_callback_on_writable (wsi);
  return 0;
}

static void
copy_custom_field (struct lws *wsi, const char *name, char *to, size_t size)
{
  if (lws_hdr_custom_copy (wsi, to, (int)size, name, (int)strlen (name)) < 0)
    to[0] = '\0';
}

static bool
parse_length (size_t *out, const char *text)
{
  char *end = NULL;

  if (text[0] < '0' || text[0] > '9')
    return false;
  errno = 0;
  *out = strtoull (text, &end, 10);
  return errno == 0 && *end == '\0';
}

/* Determines how the end of the answer is found. False when the header fields on it are
 * malformed or contradict each other. */
static bool
read_framing (fq_http_slot_t *slot, struct lws *wsi)
{
  char text[FQ_HTTP_LENGTH_BYTES * 2];
  uint16_t status = slot->answer.status;
  bool chunked = lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;

  if (lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0)
    {
      if (chunked
          || lws_hdr_copy (wsi, text, sizeof text, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0
          || !parse_length (&slot->content_length, text))
        return false;
      slot->framing = FQ_ANSWER_FRAMING_LENGTH;
    }
  else if (chunked)
    slot->framing = FQ_ANSWER_FRAMING_CHUNKED;
  if (status == 204 || status == 304 || strcmp (slot->method, "HEAD") == 0)
    slot->framing = FQ_ANSWER_FRAMING_NO_BODY;
  return true;
}

static bool
read_answer_headers (fq_http_answer_t *answer, struct lws *wsi)
{
  if (lws_hdr_copy (wsi, answer->content_type, sizeof answer->content_type,
                    WSI_TOKEN_HTTP_CONTENT_TYPE)
      < 0)
    return false;
  if (lws_hdr_total_length (wsi, WSI_TOKEN_HTTP_LOCATION) > 0
      && lws_hdr_copy (wsi, answer->location, sizeof answer->location,
                       WSI_TOKEN_HTTP_LOCATION)
             < 0)
    return false;
  copy_custom_field (wsi, "fq-outcome:", answer->outcome, sizeof answer->outcome);
  copy_custom_field (wsi, "fq-cause:", answer->cause, sizeof answer->cause);
  copy_custom_field (wsi, "fq-retry-after-ms:", answer->retry_after_ms,
                     sizeof answer->retry_after_ms);
  return true;
}

/* Returns 0, or -1 to close the connection. An interim answer (1xx) ends the exchange as
 * lost: libwebsockets takes it for the final one and never reports the next. */
static int
on_answer_headers (fq_http_slot_t *slot, struct lws *wsi)
{
  fq_http_answer_t *answer = &slot->answer;

  answer->status = (uint16_t)lws_http_client_http_response (wsi);
  if (answer->status < 200 || !read_answer_headers (answer, wsi)
      || !read_framing (slot, wsi)
      || slot->content_length > slot->client->options.answer_limit
      || !fq_memory_fits (slot->content_length, FQ_HTTP_ANSWERS_PERCENT))
    {
      finish_exchange (slot, FQ_HTTP_ANSWER_LOST);
      return -1;
    }
  if (slot->framing == FQ_ANSWER_FRAMING_NO_BODY)
    {
      /* libwebsockets would wait for a body when there is a content-length. */
      finish_exchange (slot, FQ_HTTP_ANSWERED);
      return -1;
    }
  return 0;
}

static int
append_body (fq_http_slot_t *slot, const void *data, size_t length)
{
  size_t needed = slot->received_size + length;

  if (length == 0)
    return 0;
  if (needed > slot->client->options.answer_limit
      || !fq_memory_fits (needed, FQ_HTTP_ANSWERS_PERCENT))
    return -1;
  if (needed > slot->received_capacity)
    {
      size_t capacity = slot->received_capacity == 0 ? FQ_HTTP_ANSWER_BYTES_MIN
                                                     : slot->received_capacity * 2;
      uint8_t *grown;

      if (capacity < needed)
        capacity = needed;
      grown = realloc (slot->received, capacity);
      if (grown == NULL)
        return -1;
      slot->received = grown;
      slot->received_capacity = capacity;
    }
  memcpy (slot->received + slot->received_size, data, length);
  slot->received_size = needed;
  return 0;
}

static int
read_available (fq_http_slot_t *slot, struct lws *wsi)
{
  char space[LWS_PRE + FQ_HTTP_READ_BYTES];
  char *at = space + LWS_PRE;
  int length = FQ_HTTP_READ_BYTES;
  int rc;

  slot->read_start = at;
  slot->read_position = &at;
  rc = lws_http_client_read (wsi, &at, &length);
  slot->read_start = NULL;
  return rc < 0 ? -1 : 0;
}

/* libwebsockets reports a chunked answer as complete also when the connection ended
 * before the final chunk. The read in progress distinguishes the two: it consumes bytes
 * at the final chunk, and none at the end of the connection. */
static bool
has_final_chunk (const fq_http_slot_t *slot)
{
  return slot->read_start != NULL && *slot->read_position != slot->read_start;
}

/* Whether the framing of the answer shows that it was received in full. */
static bool
is_complete (const fq_http_slot_t *slot)
{
  switch (slot->framing)
    {
    case FQ_ANSWER_FRAMING_NONE:
      return false;
    case FQ_ANSWER_FRAMING_LENGTH:
      return slot->received_size == slot->content_length;
    case FQ_ANSWER_FRAMING_CHUNKED:
      return has_final_chunk (slot);
    case FQ_ANSWER_FRAMING_NO_BODY:
      return true;
    }
  return false;
}

static void
on_answer_complete (fq_http_slot_t *slot, struct lws *wsi)
{
  slot->idle_wsi = wsi;
  slot->last_answer_at = lws_now_usecs ();
  if (!is_complete (slot)
      || (slot->received_size > 0
          && fq_blob_new (&slot->answer.body, slot->received, slot->received_size) < 0))
    {
      finish_exchange (slot, FQ_HTTP_ANSWER_LOST);
      return;
    }
  finish_exchange (slot, FQ_HTTP_ANSWERED);
}

/* Events of connections whose exchange has ended. */
static int
on_idle_event (fq_http_slot_t *slot, struct lws *wsi, enum lws_callback_reasons reason)
{
  switch (reason)
    {
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (wsi == slot->idle_wsi)
        slot->idle_wsi = NULL;
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return -1;
    default:
      return 0;
    }
}

static int
on_event (struct lws *wsi,
          enum lws_callback_reasons reason,
          void *user,
          void *in,
          size_t length)
{
  fq_http_slot_t *slot = wsi == NULL ? NULL : lws_get_opaque_user_data (wsi);

  (void)user;
  if (slot == NULL)
    return 0;
  /* On a reused connection, events come before lws_client_connect_via_info() returns. */
  if (slot->connecting && slot->wsi == NULL && wsi != slot->previous_wsi)
    slot->wsi = wsi;
  if (wsi != slot->wsi)
    return on_idle_event (slot, wsi, reason);
  switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return append_headers (slot, wsi, (uint8_t **)in, *(uint8_t **)in + length - 1);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return write_body (slot, wsi);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      return on_answer_headers (slot, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return read_available (slot, wsi);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return append_body (slot, in, length);
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      on_answer_complete (slot, wsi);
      return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      finish_without_answer (slot);
      return 0;
    default:
      return 0;
    }
}
