/**
 * DOC: Calls to the server beside the node.
 */
#ifndef FQ_NODE_SERVER_CALLS_H
#define FQ_NODE_SERVER_CALLS_H

#include "io/stream.h"
#include "mesh/mesh.h"

typedef struct fq_server_calls fq_server_calls_t;

/** struct fq_server_calls_handlers_t - exactly one is called for each run. */
typedef struct
{
  void (*answered) (void *context,
                    fq_id_t run,
                    fq_server_outcome_t verdict,
                    fq_http_message_t *answer);
  void (*failed) (void *context, fq_id_t run, fq_server_failure_t failure);
  void (*probed) (void *context, const char *instance); /* only when it is well */
} fq_server_calls_handlers_t;

/** fq_server_calls_open() - calls to the server at @address. */
int fq_server_calls_open (fq_server_calls_t **out,
                          fq_io_t *io,
                          const char *address,
                          const fq_server_calls_handlers_t *handlers,
                          void *context);

/** fq_server_calls_start() - carry out an effect of kind FQ_MESH_EFFECT_SERVER_CALL. */
void fq_server_calls_start (fq_server_calls_t *calls, const fq_mesh_effect_t *effect);

/** fq_server_calls_probe() - ask the server at @path whether it is well. */
void fq_server_calls_probe (fq_server_calls_t *calls, const char *path);

/** fq_server_calls_abort() - close the connection of a run; no handler is called. */
void fq_server_calls_abort (fq_server_calls_t *calls, fq_id_t run);

/** fq_server_calls_forget() - close the connections that no run uses. */
void fq_server_calls_forget (fq_server_calls_t *calls);

/** fq_server_calls_close() - NULL-safe. */
void fq_server_calls_close (fq_server_calls_t *calls);

#endif
