/**
 * DOC: HTTP client on libwebsockets with keep-alive connections.
 *
 * An exchange is one request and its answer. A client has one slot for each connection.
 * Every slot has a virtual host of its own in libwebsockets and runs one exchange at a
 * time: idle connections are reused, and no request is ever pipelined behind another one
 * on the same connection.
 */
#ifndef FQ_NET_HTTP_CLIENT_H
#define FQ_NET_HTTP_CLIENT_H

#include <libwebsockets.h>

#include "filbertquay/blob.h"
#include "filbertquay/types.h"

#define FQ_HTTP_OUTBOUND_HEADERS_MAX 8

typedef struct fq_http_client fq_http_client_t;

/** struct fq_http_outbound_request_t - a request; strings are copied, with header values
 * truncated to FQ_HEADER_BYTES - 1 bytes; the body is referenced. */
typedef struct
{
  const char *method;
  const char *address;      /* "ip:port" */
  const char *path;         /* percent-encoded, with the query */
  const char *content_type; /* NULL or empty: left out */
  fq_blob_t *body;          /* NULL: empty */
  bool fresh_connection;    /* open a new connection, don't reuse an idle one */
  size_t header_count;
  struct
  {
    const char *name;  /* lower case, with its colon; static */
    const char *value; /* NULL or empty: left out */
  } headers[FQ_HTTP_OUTBOUND_HEADERS_MAX];
} fq_http_outbound_request_t;

/** enum fq_http_result_t - how an exchange ended. */
typedef enum
{
  FQ_HTTP_ANSWERED,    /* a complete answer was received */
  FQ_HTTP_NOT_SENT,    /* no byte of the request left this process */
  FQ_HTTP_ANSWER_LOST, /* the request may have been received; no complete answer came */
} fq_http_result_t;

/** struct fq_http_answer_t - a complete answer; valid during on_done only. */
typedef struct
{
  uint16_t status;
  /* Header fields that the answer does not have are empty strings. */
  char content_type[FQ_HEADER_BYTES];
  char location[FQ_LOCATION_BYTES];
  char outcome[FQ_HEADER_BYTES];
  char cause[FQ_HEADER_BYTES];
  char retry_after_ms[FQ_HEADER_BYTES];
  fq_blob_t *body; /* NULL: empty; take a reference to keep it */
} fq_http_answer_t;

/** struct fq_http_client_options_t - see FQ_HTTP_CLIENT_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *name;    /* prefix of the virtual host names; static */
  size_t connections;  /* most exchanges that may run concurrently */
  size_t answer_limit; /* bytes; an exchange with a larger answer ends as
                          FQ_HTTP_ANSWER_LOST */
  unsigned int connect_timeout_seconds;
  /* @answer is NULL unless @result is FQ_HTTP_ANSWERED. */
  void (*on_done) (void *user,
                   fq_id_t exchange,
                   fq_http_result_t result,
                   const fq_http_answer_t *answer);
  void *user;
} fq_http_client_options_t;

#define FQ_HTTP_CLIENT_OPTIONS_VERSION 1
#define FQ_HTTP_CLIENT_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_CLIENT_OPTIONS_VERSION, .answer_limit = 16u << 20,                \
    .connect_timeout_seconds = 2                                                         \
  }

/**
 * fq_http_client_new() - a client without connections.
 * @out: set to the client, to be freed by fq_http_client_free()
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_http_client_new (fq_http_client_t **out,
                        struct lws_context *context,
                        const fq_http_client_options_t *options);

/** fq_http_client_free() - free the client after its context was destroyed; NULL-safe. */
void fq_http_client_free (fq_http_client_t *client);

/**
 * fq_http_client_start() - start an exchange.
 * @exchange: id chosen by the caller, passed to on_done; not 0 and not the id of an
 * exchange in progress
 *
 * on_done is called once, perhaps before this returns, when the return value is 0.
 *
 * Return: 0; FQ_ERROR_AGAIN when no connection is free or can be created;
 * FQ_ERROR_INVALID for an unusable address; FQ_ERROR_NOMEM. With a negative code, on_done
 * is not called.
 */
int fq_http_client_start (fq_http_client_t *client,
                          fq_id_t exchange,
                          const fq_http_outbound_request_t *request);

/**
 * fq_http_client_abort() - close the connection of @exchange; on_done is called later.
 *
 * Ignored when the exchange is unknown, has ended or has no connection yet.
 */
void fq_http_client_abort (fq_http_client_t *client, fq_id_t exchange);

/** fq_http_client_exchange_count() - number of exchanges in progress. */
size_t fq_http_client_exchange_count (const fq_http_client_t *client);

#endif
