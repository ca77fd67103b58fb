/**
 * DOC: HTTP/1.1 server whose requests are answered asynchronously.
 *
 * Each connection has one pending request at a time, so that answers are sent in the
 * order of requests, and one answer at a time: the next request is handled when the last
 * answer was sent. Input received meanwhile is buffered up to a limit, as reading has to
 * go on for a disconnect of the client to be noticed.
 */
#ifndef FQ_HTTP_SERVER_H
#define FQ_HTTP_SERVER_H

#include "http/reader.h"
#include "io/stream.h"
#include "util/map.h"

typedef struct fq_http_server fq_http_server_t;

/** struct fq_http_server_handlers_t - callbacks of a server. */
typedef struct
{
  /* A complete request, to be answered with fq_http_server_reply(). @message is released
   * after the callback; take a reference to keep it.
   * @from: IPv4 address of the client in host byte order */
  void (*request) (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from);
  /* The client disconnected before its answer; @id is no longer valid. The
   * handler may be NULL. */
  void (*client_disconnected) (void *context, fq_id_t id);
  /* An incomplete request was rejected with @status, as malformed, too large, too
   * slow or for lack of memory; @reason is static. The handler may be NULL. */
  void (*malformed) (void *context, uint16_t status, const char *reason);
} fq_http_server_handlers_t;

/** struct fq_http_server_options_t - see FQ_HTTP_SERVER_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_http_limits_t limits;
  /* From the first byte of a head to its end; on expiry the answer is 408 and the
   * connection is closed. Not 0, which expires at once. */
  uint32_t head_timeout_ms;
  /* Before and between requests: on expiry the connection is closed. Between two reads of
   * a body: on expiry the answer is 408 and the connection is closed. Not 0, which
   * expires at once. */
  uint32_t idle_timeout_ms;
  /* Also of those that wait for their clients to close them. One more takes the place of
   * a connection that is idle or stalls, or is closed on accept if there is none. */
  size_t connections_max;
  /* Share of the memory limit. As a request comes while more is held, clients that stall
   * end; the handler sees what can't be freed so. */
  unsigned int memory_percent;
} fq_http_server_options_t;

#define FQ_HTTP_SERVER_OPTIONS_VERSION 1
#define FQ_HTTP_SERVER_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_SERVER_OPTIONS_VERSION,                                           \
    .limits = { .head_bytes = 16384, .body_bytes = 1048576 }, .head_timeout_ms = 3000,   \
    .idle_timeout_ms = 15000, .connections_max = 256, .memory_percent = 100              \
  }

/**
 * fq_http_server_open() - listen on @address.
 * @io: has to outlive the server
 * @handlers: have to stay valid as long as the server
 *
 * Return: 0, FQ_ERROR_IO or FQ_ERROR_NOMEM.
 */
int fq_http_server_open (fq_http_server_t **out,
                         fq_io_t *io,
                         const struct sockaddr_in *address,
                         const fq_http_server_options_t *options,
                         const fq_http_server_handlers_t *handlers,
                         void *context);

/**
 * fq_http_server_set_options() - change the options, for existing connections too.
 *
 * Timers that are running keep their duration, and a lower connections_max closes no
 * existing connection.
 */
void fq_http_server_set_options (fq_http_server_t *server,
                                 const fq_http_server_options_t *options);

/** fq_http_server_reply() - send the final answer to request @id; ignores unknown ids. */
void fq_http_server_reply (fq_http_server_t *server,
                           fq_id_t id,
                           const fq_http_message_t *answer);

/** fq_http_server_abort_request() - close the connection of request @id without an
 * answer. */
void fq_http_server_abort_request (fq_http_server_t *server, fq_id_t id);

/** fq_http_server_disable_keep_alive() - close each connection after its next answer. */
void fq_http_server_disable_keep_alive (fq_http_server_t *server);

/** fq_http_server_refuse_connections() - see fq_listener_refuse(). */
int fq_http_server_refuse_connections (fq_http_server_t *server);

/** fq_http_server_expects_requests() - whether a client has connected shortly before and
 * sent no request yet, or sent a part of one. */
bool fq_http_server_expects_requests (const fq_http_server_t *server);

/**
 * fq_http_server_close() - stop listening, close all connections without callbacks, and
 * free the server; NULL-safe.
 */
void fq_http_server_close (fq_http_server_t *server);

#endif
