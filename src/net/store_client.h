/**
 * DOC: The platform's table service and object store, by HTTP and JSON.
 *
 * docs/design/store.md states the protocol. Connections and waiting operations are
 * bounded, each operation ends within its timeout, and after an outage the number of
 * operations under way rises from one.
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
  const char *address; /* "ip:port"; empty: every operation ends as unavailable */
  uint64_t seed;       /* of the spread of pauses */
  size_t connections;  /* operations that may be under way at once */
  uint32_t timeout_ms; /* for one operation, from the time that it is asked */
  void (*on_answer) (void *user, const fq_store_answer_t *answer);
  void *user;
} fq_store_client_options_t;

#define FQ_STORE_CLIENT_OPTIONS_VERSION 1
#define FQ_STORE_CLIENT_OPTIONS_INIT                                                     \
  {                                                                                      \
    .version = FQ_STORE_CLIENT_OPTIONS_VERSION, .connections = 16, .timeout_ms = 1000    \
  }

/** fq_store_client_new() - a client without connections. */
int fq_store_client_new (fq_store_client_t **out,
                         const fq_store_client_options_t *options);

/** fq_store_client_stop() - no more is sent or answered; for use before the context ends.
 */
void fq_store_client_stop (fq_store_client_t *client);

/** fq_store_client_free() - forget the client after its context was destroyed. */
void fq_store_client_free (fq_store_client_t *client);

/**
 * fq_store_client_submit() - carry out @op, which is taken over.
 *
 * on_answer follows exactly once, perhaps before this returns. FQ_STORE_BUSY means that
 * nothing was sent, or that the platform refused it over its rate.
 */
void fq_store_client_submit (fq_store_client_t *client, fq_store_op_t *op);

/** fq_store_client_waiting() - operations that have no answer yet. */
size_t fq_store_client_waiting (const fq_store_client_t *client);

#endif
