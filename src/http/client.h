/**
 * DOC: HTTP/1.1 client: calls to one address over persistent connections.
 *
 * A connection carries one call at a time, without pipelining. Of the failures of a call
 * only FQ_HTTP_FAILURE_CONNECT guarantees that no byte of the request reached the server.
 */
#ifndef FQ_HTTP_CLIENT_H
#define FQ_HTTP_CLIENT_H

#include "http/reader.h"
#include "io/stream.h"

typedef struct fq_http_client fq_http_client_t;
typedef struct fq_http_call fq_http_call_t;

/**
 * enum fq_http_failure_t - why a call got no answer.
 *
 * After any failure but FQ_HTTP_FAILURE_CONNECT the server may have received the request.
 */
typedef enum
{
  FQ_HTTP_FAILURE_CONNECT,         /* no connection was established; nothing was sent */
  FQ_HTTP_FAILURE_CONNECTION_LOST, /* the connection ended before any byte of an answer */
  FQ_HTTP_FAILURE_MALFORMED_ANSWER, /* the answer is truncated or malformed */
  FQ_HTTP_FAILURE_TIMEOUT, /* no complete answer, or no connection, within timeout_ms */
} fq_http_failure_t;

/** enum fq_http_match_t - whether an answer belongs to a call. */
typedef enum
{
  FQ_HTTP_MATCH_OTHER, /* to an earlier call; it is dropped, and the call goes on waiting
                        */
  FQ_HTTP_MATCH_LAST,  /* to this call, but a second copy of it could be taken for the
                        * answer to a later call, so the connection is not used again */
  FQ_HTTP_MATCH_CALL,
} fq_http_match_t;

/**
 * struct fq_http_call_handlers_t - callbacks of a call.
 *
 * Unless the call is aborted, either answered or failed is called, once.
 */
typedef struct
{
  /* Whether @answer is the answer to this call. NULL: every answer is. */
  fq_http_match_t (*match_answer) (void *context, const fq_http_message_t *answer);
  /* @answer is released after the callback; take a reference to keep it. */
  void (*answered) (void *context, fq_http_message_t *answer);
  void (*failed) (void *context, fq_http_failure_t failure);
} fq_http_call_handlers_t;

/** struct fq_http_client_options_t - see FQ_HTTP_CLIENT_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_http_limits_t limits;
  /* Bytes of bodies that are being received, over all calls; beyond it the call with the
   * largest body fails. 0: no limit */
  size_t receiving_bytes_max;
  uint32_t idle_ms;   /* idle connections are closed after it, or shortly before the
                         Keep-Alive timeout of the server if that is earlier; 0: never */
  bool peer_is_local; /* it can't be cut off, so it may read nothing for any time */
} fq_http_client_options_t;

#define FQ_HTTP_CLIENT_OPTIONS_VERSION 1
#define FQ_HTTP_CLIENT_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_CLIENT_OPTIONS_VERSION,                                           \
    .limits = { .head_bytes = 65536, .body_bytes = 67108864 }, .idle_ms = 4000           \
  }

/** struct fq_http_call_options_t - zero-initialised: any idle connection, no timeout. */
typedef struct
{
  uint32_t idle_ms_max; /* reuse no connection that was idle for longer; 0: any */
  uint32_t timeout_ms;  /* until the answer is complete; 0: no timeout */
  bool new_connection;  /* reuse none */
} fq_http_call_options_t;

/**
 * fq_http_client_new() - create a client for @address.
 * @io: has to outlive the client
 *
 * Return: 0 or FQ_ERROR_NOMEM. Connections are opened by calls.
 */
int fq_http_client_new (fq_http_client_t **out,
                        fq_io_t *io,
                        const struct sockaddr_in *address,
                        const fq_http_client_options_t *options);

/**
 * fq_http_client_call() - send a request.
 * @out: receives the call, valid until answered or failed is called or it is aborted
 * @request: copied to the output buffer; not used after the return
 * @handlers: have to stay valid as long as the call
 *
 * Return: 0; FQ_ERROR_IO or FQ_ERROR_NOMEM: nothing was sent and no handler is called.
 */
int fq_http_client_call (fq_http_call_t **out,
                         fq_http_client_t *client,
                         const fq_http_message_t *request,
                         const fq_http_call_options_t *options,
                         const fq_http_call_handlers_t *handlers,
                         void *context);

/** fq_http_call_abort() - close the call's connection and free it, without a callback. */
void fq_http_call_abort (fq_http_call_t *call);

/** fq_http_client_close_idle() - close all idle connections. */
void fq_http_client_close_idle (fq_http_client_t *client);

/** fq_http_client_free() - close all connections and abort pending calls; NULL-safe. */
void fq_http_client_free (fq_http_client_t *client);

#endif
