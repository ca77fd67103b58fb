/**
 * DOC: The HTTP/1.1 server side: listeners whose requests are answered later, in order.
 *
 * One request of a connection is under way at a time. What a client sends meanwhile is
 * kept up to a bound, so that it is seen when it leaves.
 */
#ifndef FQ_HTTP_SERVER_H
#define FQ_HTTP_SERVER_H

#include "http/reader.h"
#include "io/stream.h"
#include "util/map.h"

typedef struct fq_http_server fq_http_server_t;

/** struct fq_http_server_handlers_t - what the user is told. */
typedef struct
{
  /* A whole request, to be answered by fq_http_server_reply(); the user refs it.
   * @from: host-order IPv4 address of the client */
  void (*request) (void *context, fq_id_t id, fq_http_message_t *message, uint32_t from);
  /* The client left before its answer; @id is not known any more. NULL: not told. */
  void (*gone) (void *context, fq_id_t id);
  /* A request was refused before it was whole. NULL: not told. */
  void (*malformed) (void *context, uint16_t status, const char *reason);
} fq_http_server_handlers_t;

/** struct fq_http_server_options_t - see FQ_HTTP_SERVER_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_http_limits_t limits;
  uint32_t head_timeout_ms; /* from the first byte of a head to its end */
  uint32_t idle_timeout_ms; /* between two requests, and between two reads of a body */
  size_t connections_max;
} fq_http_server_options_t;

#define FQ_HTTP_SERVER_OPTIONS_VERSION 1
#define FQ_HTTP_SERVER_OPTIONS_INIT                                                      \
  {                                                                                      \
    .version = FQ_HTTP_SERVER_OPTIONS_VERSION,                                           \
    .limits = { .head_bytes = 16384, .body_bytes = 1048576 }, .head_timeout_ms = 3000,   \
    .idle_timeout_ms = 15000, .connections_max = 256                                     \
  }

/** fq_http_server_open() - listen on @address. */
int fq_http_server_open (fq_http_server_t **out,
                         fq_io_t *io,
                         const struct sockaddr_in *address,
                         const fq_http_server_options_t *options,
                         const fq_http_server_handlers_t *handlers,
                         void *context);

/** fq_http_server_set_options() - for what is read from now on. */
void fq_http_server_set_options (fq_http_server_t *server,
                                 const fq_http_server_options_t *options);

/** fq_http_server_reply() - the final answer to request @id; unknown ids are ignored. */
void fq_http_server_reply (fq_http_server_t *server,
                           fq_id_t id,
                           const fq_http_message_t *answer);

/** fq_http_server_abort_request() - close the connection of request @id without an
 * answer. */
void fq_http_server_abort_request (fq_http_server_t *server, fq_id_t id);

/** fq_http_server_disable_keep_alive() - every answer from now on is the last of its
 * connection. */
void fq_http_server_disable_keep_alive (fq_http_server_t *server);

/** fq_http_server_close() - end all connections; NULL-safe. */
void fq_http_server_close (fq_http_server_t *server);

#endif
