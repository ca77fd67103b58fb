/**
 * DOC: HTTP requests and health checks to the local server.
 */
#ifndef FQ_NODE_SERVER_CALLS_H
#define FQ_NODE_SERVER_CALLS_H

#include "io/stream.h"
#include "mesh/mesh.h"

typedef struct fq_server_calls fq_server_calls_t;

/** struct fq_server_calls_handlers_t - callbacks. Either answered or failed is called
 * once for each call that is not aborted; @answer is valid during the callback only. */
typedef struct
{
  void (*answered) (void *context,
                    fq_id_t run,
                    fq_server_outcome_t outcome,
                    const fq_server_notice_t *notice,
                    fq_http_message_t *answer);
  void (*failed) (void *context, fq_id_t run, fq_server_failure_t failure);
  /* A health check ended. @instance: of the server that answered; empty: not known */
  void (*probed) (void *context,
                  fq_probe_outcome_t outcome,
                  fq_text_t *instance,
                  const fq_server_notice_t *notice);
} fq_server_calls_handlers_t;

/**
 * fq_server_calls_open() - create a client of the local server.
 * @address: "ip:port"; copied
 * @memory_bytes: memory limit of the process, which bounds the size of answers
 * @handlers: has to outlive the result
 *
 * Return: 0, FQ_ERROR_NOMEM or FQ_ERROR_INVALID; close @out with fq_server_calls_close().
 */
int fq_server_calls_open (fq_server_calls_t **out,
                          fq_io_t *io,
                          const char *address,
                          size_t memory_bytes,
                          const fq_server_calls_handlers_t *handlers,
                          void *context);

/** fq_server_calls_start() - carry out an effect of kind FQ_MESH_EFFECT_SERVER_CALL; the
 * handler failed may be called from within. */
void fq_server_calls_start (fq_server_calls_t *calls, const fq_mesh_effect_t *effect);

/** fq_server_calls_probe() - send a health check to @path, on a connection of its own;
 * the handler probed is called, possibly from within. */
void fq_server_calls_probe (fq_server_calls_t *calls, const char *path);

/** fq_server_calls_abort() - close the connection of the call for @run, if it is in
 * progress; no handler is called. */
void fq_server_calls_abort (fq_server_calls_t *calls, fq_id_t run);

/** fq_server_calls_close_idle() - close the connections that no call uses. */
void fq_server_calls_close_idle (fq_server_calls_t *calls);

/** fq_server_calls_close() - abort all calls and free @calls; NULL-safe. */
void fq_server_calls_close (fq_server_calls_t *calls);

#endif
