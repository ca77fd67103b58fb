/**
 * DOC: Client of the platform's table service and object store, over HTTP and JSON.
 *
 * docs/design/store.md describes the protocol. Connections and queued operations are
 * bounded, and each operation ends within its timeout. The number of concurrent
 * operations is limited adaptively: the limit is one at the start and after a failure,
 * grows with each answer up to the number of connections, and is halved when the platform
 * refuses an operation because its rate limit is exceeded.
 */
#ifndef FQ_NET_STORE_CLIENT_H
#define FQ_NET_STORE_CLIENT_H

#include <libwebsockets.h>

#include "filbertquay/store.h"

typedef struct fq_store_client fq_store_client_t;

/** struct fq_store_client_options_t - see FQ_STORE_CLIENT_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  struct lws_context *context;
  const char *address; /* "ip:port"; NULL or empty: no store, every operation ends as
                          FQ_STORE_UNAVAILABLE */
  uint64_t seed;       /* of the random jitter of backoff pauses */
  size_t connections;  /* most operations that may run concurrently */
  uint32_t timeout_ms; /* for one operation, including its time in the queue */
  /* @answer is valid during the call only. */
  void (*on_answer) (void *user, const fq_store_answer_t *answer);
  void *user;
} fq_store_client_options_t;

#define FQ_STORE_CLIENT_OPTIONS_VERSION 1
#define FQ_STORE_CLIENT_OPTIONS_INIT                                                     \
  {                                                                                      \
    .version = FQ_STORE_CLIENT_OPTIONS_VERSION, .connections = 16, .timeout_ms = 1000    \
  }

/**
 * fq_store_client_new() - a client without connections.
 * @out: set to the client, to be freed by fq_store_client_free()
 * @options: copied, but not the strings it points to
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_store_client_new (fq_store_client_t **out,
                         const fq_store_client_options_t *options);

/**
 * fq_store_client_stop() - send nothing more; to be called before the context is
 * destroyed.
 *
 * on_answer is not called for operations that are pending. Operations submitted later end
 * at once as FQ_STORE_UNAVAILABLE. NULL-safe.
 */
void fq_store_client_stop (fq_store_client_t *client);

/**
 * fq_store_client_free() - free the client after its context was destroyed; NULL-safe.
 */
void fq_store_client_free (fq_store_client_t *client);

/**
 * fq_store_client_submit() - submit @op; the client takes ownership of it.
 *
 * on_answer is called exactly once, perhaps before this returns, unless the client is
 * stopped first. FQ_STORE_BUSY means that nothing was sent, or that the platform refused
 * the operation because its rate limit is exceeded. FQ_STORE_UNAVAILABLE means that no
 * valid answer came.
 */
void fq_store_client_submit (fq_store_client_t *client, fq_store_op_t *op);

/** fq_store_client_pending_count() - operations, queued or sent, without an answer. */
size_t fq_store_client_pending_count (const fq_store_client_t *client);

#endif
