/**
 * DOC: HTTP listeners on libwebsockets that deliver complete requests.
 *
 * A request is passed to on_request once its body is complete. It is answered once, by
 * fq_http_server_reply(), during that call or at any later time. Requests that are
 * malformed, too large or too slow are rejected by the listener itself.
 */
#ifndef FQ_NET_HTTP_SERVER_H
#define FQ_NET_HTTP_SERVER_H

#include <libwebsockets.h>

#include "filbertquay/blob.h"
#include "filbertquay/types.h"

#define FQ_HTTP_EXTRA_HEADERS_MAX 8
#define FQ_HTTP_NUMBER_BYTES 16 /* a number in a header field, with its NUL */
/* Largest request line and header fields together; to be set as max_http_header_data of
 * the libwebsockets context. */
#define FQ_HTTP_REQUEST_HEAD_BYTES 16384

typedef struct fq_http_server fq_http_server_t;

/** struct fq_http_inbound_request_t - a complete request; valid during on_request only.
 */
typedef struct
{
  fq_id_t id; /* for fq_http_server_reply() */
  /* Header fields that the request does not have are empty strings. */
  char method[FQ_METHOD_BYTES];
  char path[FQ_PATH_BYTES]; /* percent-encoded, with the query */
  char authorization[FQ_HEADER_BYTES];
  char content_type[FQ_HEADER_BYTES];
  char service[FQ_SERVICE_BYTES];
  char key[FQ_KEY_BYTES];
  char chain[FQ_HEADER_BYTES];
  char traceparent[FQ_HEADER_BYTES];
  char deadline_ms[FQ_HTTP_NUMBER_BYTES];
  fq_blob_t *body; /* NULL: empty; take a reference to keep it */
} fq_http_inbound_request_t;

/** struct fq_http_header_t - a header field of an answer. */
typedef struct
{
  const char *name; /* lower case, with its colon; static */
  char value[FQ_HEADER_BYTES];
} fq_http_header_t;

/** struct fq_http_reply_t - an answer; the server copies it and references its body. */
typedef struct
{
  uint16_t status;
  const char *content_type; /* NULL: none */
  const char *location;     /* NULL: none */
  fq_blob_t *body;          /* NULL: empty */
  fq_http_header_t headers[FQ_HTTP_EXTRA_HEADERS_MAX];
  size_t header_count;
  bool close; /* close the connection after the answer */
} fq_http_reply_t;

/** struct fq_http_server_options_t - see FQ_HTTP_SERVER_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *name;    /* of the listener, its virtual host name; static */
  const char *address; /* local IP address to listen on; NULL: all */
  int port;
  size_t body_limit;                 /* bytes; a larger body is answered 413 */
  unsigned int head_timeout_seconds; /* time limit for the headers of a request */
  unsigned int
      body_timeout_seconds; /* time limit for its body, plus 1 s for each 64 KiB */
  void (*on_request) (void *user, const fq_http_inbound_request_t *request);
  /* The client of request @id disconnected before its answer was started; no reply is
   * expected. */
  void (*on_client_disconnected) (void *user, fq_id_t id);
  void *user;
} fq_http_server_options_t;

#define FQ_HTTP_SERVER_OPTIONS_VERSION 1
#define FQ_HTTP_BODY_LIMIT (16u << 20)
#define FQ_HTTP_SERVER_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_SERVER_OPTIONS_VERSION, .body_limit = FQ_HTTP_BODY_LIMIT,         \
    .head_timeout_seconds = 5, .body_timeout_seconds = 10                                \
  }

/**
 * fq_http_server_new() - start to listen.
 * @out: set to the server, to be freed by fq_http_server_free()
 * @options: copied, but not the strings it points to
 *
 * Return: 0; FQ_ERROR_IO when it can't listen on the port; FQ_ERROR_NOMEM.
 */
int fq_http_server_new (fq_http_server_t **out,
                        struct lws_context *context,
                        const fq_http_server_options_t *options);

/** fq_http_server_port() - the port that it listens on, also if the options had port 0.
 */
int fq_http_server_port (const fq_http_server_t *server);

/** fq_http_server_free() - free the server after its context was destroyed; NULL-safe. */
void fq_http_server_free (fq_http_server_t *server);

/**
 * fq_http_server_reply() - answer request @id; ignored when @id is unknown, its client
 * has disconnected or it was answered before.
 */
void
fq_http_server_reply (fq_http_server_t *server, fq_id_t id, const fq_http_reply_t *reply);

/**
 * fq_http_server_disable_keep_alive() - from now on, each answer has `connection: close`
 * and is the last of its connection.
 */
void fq_http_server_disable_keep_alive (fq_http_server_t *server);

/**
 * fq_http_server_refuse_requests() - from now on, refuse new requests with status 503 and
 * outcome not-run; also disables keep-alive.
 */
void fq_http_server_refuse_requests (fq_http_server_t *server);

/** fq_http_server_active_count() - number of requests being received, processed or
 * answered. */
size_t fq_http_server_active_count (const fq_http_server_t *server);

/** fq_http_server_pending_count() - number of delivered requests not yet answered in
 * full. */
size_t fq_http_server_pending_count (const fq_http_server_t *server);

/**
 * fq_http_reply_add() - add a header field to @reply.
 *
 * Ignored when the reply has FQ_HTTP_EXTRA_HEADERS_MAX fields; a value longer than
 * FQ_HEADER_BYTES is truncated.
 */
void fq_http_reply_add (fq_http_reply_t *reply, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
