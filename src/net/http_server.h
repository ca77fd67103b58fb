/**
 * DOC: HTTP listeners on libwebsockets that hand over whole requests.
 *
 * A request is handed over once its body is complete; it is answered once, by
 * fq_http_server_reply(), at any later time.
 */
#ifndef FQ_NET_HTTP_SERVER_H
#define FQ_NET_HTTP_SERVER_H

#include <libwebsockets.h>

#include "filbertquay/blob.h"
#include "filbertquay/types.h"

#define FQ_HTTP_EXTRA_HEADERS_MAX 8
#define FQ_HTTP_REQUEST_HEAD_BYTES                                                       \
  16384 /* of a request; contexts are to be made with it */

typedef struct fq_http_server fq_http_server_t;

/** struct fq_http_inbound_request_t - a whole request; valid during the callback only. */
typedef struct
{
  fq_id_t id; /* for fq_http_server_reply() */
  char method[FQ_METHOD_BYTES];
  char path[FQ_PATH_BYTES]; /* percent-encoded, with the query */
  char authorization[FQ_HEADER_BYTES];
  char content_type[FQ_HEADER_BYTES];
  char service[FQ_SERVICE_BYTES];
  char key[FQ_KEY_BYTES];
  char chain[FQ_HEADER_BYTES];
  char traceparent[FQ_HEADER_BYTES];
  char deadline_ms[FQ_METHOD_BYTES];
  fq_blob_t *body; /* NULL: none; take a reference to keep it */
} fq_http_inbound_request_t;

/** struct fq_http_header_t - a header field of an answer. */
typedef struct
{
  const char *name; /* lower case, with its colon */
  char value[FQ_HEADER_BYTES];
} fq_http_header_t;

/** struct fq_http_reply_t - an answer; the body is referenced until it is sent. */
typedef struct
{
  uint16_t status;
  const char *content_type; /* NULL: none */
  const char *location;     /* NULL: none */
  fq_blob_t *body;
  fq_http_header_t headers[FQ_HTTP_EXTRA_HEADERS_MAX];
  size_t header_count;
  bool close; /* end the connection afterwards */
} fq_http_reply_t;

/** struct fq_http_server_options_t - see FQ_HTTP_SERVER_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *name;    /* of the listener, for logs; static */
  const char *address; /* NULL: all */
  int port;
  size_t body_limit;                 /* bytes; a larger body is answered 413 */
  unsigned int head_timeout_seconds; /* a request's headers take at most */
  unsigned int body_timeout_seconds; /* its body may stand still at most */
  void (*on_request) (void *user, const fq_http_inbound_request_t *request);
  void (*on_gone) (void *user, fq_id_t id); /* the asker left before its answer */
  void *user;
} fq_http_server_options_t;

#define FQ_HTTP_SERVER_OPTIONS_VERSION 1
#define FQ_HTTP_BODY_LIMIT (16u << 20)
#define FQ_HTTP_SERVER_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_SERVER_OPTIONS_VERSION, .body_limit = FQ_HTTP_BODY_LIMIT,         \
    .head_timeout_seconds = 5, .body_timeout_seconds = 10                                \
  }

/** fq_http_server_new() - start to listen; FQ_ERROR_IO when the port can't be had. */
int fq_http_server_new (fq_http_server_t **out,
                        struct lws_context *context,
                        const fq_http_server_options_t *options);

/** fq_http_server_free() - forget the server after its context was destroyed. */
void fq_http_server_free (fq_http_server_t *server);

/** fq_http_server_reply() - answer request @id; ignored when its asker has gone. */
void
fq_http_server_reply (fq_http_server_t *server, fq_id_t id, const fq_http_reply_t *reply);

/** fq_http_server_close_idle() - answer from now on with `connection: close`. */
void fq_http_server_close_idle (fq_http_server_t *server);

/** fq_http_server_refuse_requests() - answer new requests 503, not run, from now on. */
void fq_http_server_refuse_requests (fq_http_server_t *server);

/** fq_http_server_active_count() - requests that are being read, worked on or answered.
 */
size_t fq_http_server_active_count (const fq_http_server_t *server);

/** fq_http_server_pending_count() - requests that are not yet answered in full. */
size_t fq_http_server_pending_count (const fq_http_server_t *server);

/** fq_http_reply_add() - add a header field; too many are left out. */
void fq_http_reply_add (fq_http_reply_t *reply, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
