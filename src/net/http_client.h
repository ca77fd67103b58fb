/**
 * DOC: HTTP exchanges with other processes, over kept connections.
 *
 * Every slot of a client has a virtual host of its own in libwebsockets, and runs one
 * exchange at a time: a kept connection is used again, and no request is ever queued
 * behind another one on the same connection.
 */
#ifndef FQ_NET_HTTP_CLIENT_H
#define FQ_NET_HTTP_CLIENT_H

#include <libwebsockets.h>

#include "filbertquay/blob.h"
#include "filbertquay/types.h"

#define FQ_HTTP_OUTBOUND_HEADERS_MAX 8

typedef struct fq_http_client fq_http_client_t;

/** struct fq_http_outbound_request_t - a request; strings are copied, the body
 * referenced. */
typedef struct
{
  const char *method;
  const char *address; /* "ip:port" */
  const char *path;    /* percent-encoded, with the query */
  const char *content_type;
  fq_blob_t *body;
  bool fresh; /* open a new connection rather than use a kept one */
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
  FQ_HTTP_COMPLETE,    /* a whole answer */
  FQ_HTTP_NOT_SENT,    /* no byte of the request left this process */
  FQ_HTTP_ANSWER_LOST, /* it may have been received; no whole answer came */
} fq_http_result_t;

/** struct fq_http_answer_t - a whole answer; valid during the callback only. */
typedef struct
{
  uint16_t status;
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
  const char *name;    /* for virtual host names; static */
  size_t connections;  /* exchanges that may run at once */
  size_t answer_limit; /* bytes; a larger answer counts as lost */
  unsigned int connect_timeout_seconds;
  void (*on_done) (void *user,
                   fq_id_t exchange,
                   fq_http_result_t result,
                   const fq_http_answer_t *answer); /* @answer: NULL unless whole */
  void *user;
} fq_http_client_options_t;

#define FQ_HTTP_CLIENT_OPTIONS_VERSION 1
#define FQ_HTTP_CLIENT_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_CLIENT_OPTIONS_VERSION, .answer_limit = 16u << 20,                \
    .connect_timeout_seconds = 2                                                         \
  }

/** fq_http_client_new() - a client without connections. */
int fq_http_client_new (fq_http_client_t **out,
                        struct lws_context *context,
                        const fq_http_client_options_t *options);

/** fq_http_client_free() - forget the client after its context was destroyed. */
void fq_http_client_free (fq_http_client_t *client);

/**
 * fq_http_client_start() - start an exchange.
 * @exchange: the caller's name for it, not 0, given back by on_done
 *
 * Return: 0; FQ_ERROR_AGAIN when all connections are in use and FQ_ERROR_INVALID for an
 * unusable address: then on_done is not called.
 */
int fq_http_client_start (fq_http_client_t *client,
                          fq_id_t exchange,
                          const fq_http_outbound_request_t *request);

/** fq_http_client_abort() - close the connection of an exchange; on_done follows. */
void fq_http_client_abort (fq_http_client_t *client, fq_id_t exchange);

/** fq_http_client_exchange_count() - exchanges under way. */
size_t fq_http_client_exchange_count (const fq_http_client_t *client);

#endif
