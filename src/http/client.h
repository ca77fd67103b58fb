/**
 * DOC: The HTTP/1.1 client side: calls to one address over kept connections.
 *
 * A connection carries one call at a time. What a call's end says of the request is told
 * exactly: whether any byte of it may have reached the server.
 */
#ifndef FQ_HTTP_CLIENT_H
#define FQ_HTTP_CLIENT_H

#include "http/reader.h"
#include "io/stream.h"

typedef struct fq_http_client fq_http_client_t;
typedef struct fq_http_call fq_http_call_t;

/** enum fq_http_failure_t - why a call has no answer. */
typedef enum
{
  FQ_HTTP_FAILURE_CONNECT,         /* no connection: nothing was sent */
  FQ_HTTP_FAILURE_CONNECTION_LOST, /* the connection broke before any byte of an answer */
  FQ_HTTP_FAILURE_MALFORMED_ANSWER, /* part of an answer came, or bytes that are none */
  FQ_HTTP_FAILURE_TIMEOUT,          /* no answer within the time that was given */
} fq_http_failure_t;

/** struct fq_http_call_handlers_t - exactly one of answered and failed is called. */
typedef struct
{
  /* Whether @answer belongs to this call; NULL: it does. Others are dropped. */
  bool (*answer_matches) (void *context, const fq_http_message_t *answer);
  void (*answered) (void *context, fq_http_message_t *answer);
  void (*failed) (void *context, fq_http_failure_t failure);
} fq_http_call_handlers_t;

/** struct fq_http_client_options_t - see FQ_HTTP_CLIENT_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_http_limits_t limits;
  uint32_t idle_ms; /* kept connections are closed after it, or as the server states */
} fq_http_client_options_t;

#define FQ_HTTP_CLIENT_OPTIONS_VERSION 1
#define FQ_HTTP_CLIENT_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_CLIENT_OPTIONS_VERSION,                                           \
    .limits = { .head_bytes = 65536, .body_bytes = 67108864 }, .idle_ms = 4000           \
  }

/** struct fq_http_call_options_t - zero-initialised: any kept connection, no limit. */
typedef struct
{
  uint32_t idle_ms_max; /* use no connection that was idle for longer; 0: any */
  uint32_t timeout_ms;  /* 0: none */
} fq_http_call_options_t;

/** fq_http_client_new() - calls to @address. */
int fq_http_client_new (fq_http_client_t **out,
                        fq_io_t *io,
                        const struct sockaddr_in *address,
                        const fq_http_client_options_t *options);

/**
 * fq_http_client_call() - send a request; it is written out before this returns.
 *
 * Return: 0; FQ_ERROR_IO or FQ_ERROR_NOMEM: nothing was sent and no handler is called.
 */
int fq_http_client_call (fq_http_call_t **out,
                         fq_http_client_t *client,
                         const fq_http_message_t *request,
                         const fq_http_call_options_t *options,
                         const fq_http_call_handlers_t *handlers,
                         void *context);

/** fq_http_call_abort() - close its connection; no handler is called any more. */
void fq_http_call_abort (fq_http_call_t *call);

/** fq_http_client_close_idle() - close the connections that no call uses. */
void fq_http_client_close_idle (fq_http_client_t *client);

/** fq_http_client_free() - calls that are under way are aborted; NULL-safe. */
void fq_http_client_free (fq_http_client_t *client);

#endif
