#include "node/server_calls.h"

#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "filbertquay/errors.h"
#include "http/client.h"
#include "node/event_log.h"
#include "util/map.h"
#include "util/text.h"

/* A request that is not idempotent only uses connections that were idle for at most
 * this time. The server may be about to close one that was idle for longer, which would
 * leave the outcome of the request unknown. */
#define FQ_IDLE_MS_MAX_NON_IDEMPOTENT 1000
#define FQ_PROBE_TIMEOUT_MS 1000

/* Shares of the memory limit: of the head and the body of one answer, and of all bodies
 * that are received at the same time. A body is held up to four times on its way, as
 * buffer, message, frame and output. */
#define FQ_ANSWER_HEAD_MEMORY_DIVISOR 64
#define FQ_ANSWER_MEMORY_DIVISOR 16
#define FQ_ANSWERS_MEMORY_DIVISOR 8

typedef struct
{
  fq_server_calls_t *calls;
  fq_id_t run;
  fq_http_call_t *call;
  fq_text_t *request_id;
} server_call_t;

struct fq_server_calls
{
  fq_http_client_t *client;
  const fq_server_calls_handlers_t *handlers;
  void *context;
  fq_map_t by_run;
  char address[FQ_ADDRESS_BYTES];
};

static void
release_call (server_call_t *call)
{
  fq_text_unref (call->request_id);
  free (call);
}

static void
free_call (server_call_t *call)
{
  fq_map_remove (&call->calls->by_run, call->run);
  release_call (call);
}

static fq_http_match_t
match_answer (void *context, const fq_http_message_t *answer)
{
  const server_call_t *call = context;

  return fq_platform_match_answer (answer, call->request_id);
}

static void
on_answered (void *context, fq_http_message_t *answer)
{
  server_call_t *call = context;
  fq_server_calls_t *calls = call->calls;
  fq_id_t run = call->run;
  fq_server_notice_t notice;

  free_call (call);
  fq_platform_read_notice (answer, &notice);
  calls->handlers->answered (calls->context, run, fq_platform_classify_answer (answer),
                             &notice, answer);
}

static void
on_failed (void *context, fq_http_failure_t failure)
{
  server_call_t *call = context;
  fq_server_calls_t *calls = call->calls;
  fq_id_t run = call->run;
  fq_server_failure_t mapped = FQ_SERVER_CONNECTION_LOST;

  switch (failure)
    {
    case FQ_HTTP_FAILURE_CONNECT:
      mapped = FQ_SERVER_CONNECT_FAILED;
      break;
    case FQ_HTTP_FAILURE_CONNECTION_LOST:
    case FQ_HTTP_FAILURE_TIMEOUT:
      mapped = FQ_SERVER_CONNECTION_LOST;
      break;
    case FQ_HTTP_FAILURE_MALFORMED_ANSWER:
      mapped = FQ_SERVER_MALFORMED_ANSWER;
      break;
    }
  free_call (call);
  calls->handlers->failed (calls->context, run, mapped);
}

static const fq_http_call_handlers_t call_handlers = {
  .match_answer = match_answer,
  .answered = on_answered,
  .failed = on_failed,
};

int
fq_server_calls_open (fq_server_calls_t **out,
                      fq_io_t *io,
                      const char *address,
                      size_t memory_bytes,
                      const fq_server_calls_handlers_t *handlers,
                      void *context)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_server_calls_t *calls = calloc (1, sizeof *calls);
  struct sockaddr_in parsed;
  int error;

  if (memory_bytes / FQ_ANSWER_HEAD_MEMORY_DIVISOR > options.limits.head_bytes)
    options.limits.head_bytes = memory_bytes / FQ_ANSWER_HEAD_MEMORY_DIVISOR;
  options.limits.body_bytes = memory_bytes / FQ_ANSWER_MEMORY_DIVISOR;
  options.receiving_bytes_max = memory_bytes / FQ_ANSWERS_MEMORY_DIVISOR;
  options.peer_is_local = true;
  if (calls == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "no memory for server calls");
  error = fq_address_parse (&parsed, address);
  if (error == FQ_OK)
    error = fq_http_client_new (&calls->client, io, &parsed, &options);
  if (error < 0)
    {
      free (calls);
      return error;
    }
  fq_text_copy (calls->address, sizeof calls->address, address);
  calls->handlers = handlers;
  calls->context = context;
  *out = calls;
  return FQ_OK;
}

void
fq_server_calls_start (fq_server_calls_t *calls, const fq_mesh_effect_t *effect)
{
  fq_http_call_options_t options
      = { .idle_ms_max
          = effect->server_call.idempotent ? 0 : FQ_IDLE_MS_MAX_NON_IDEMPOTENT };
  fq_http_message_t *request = fq_platform_server_request (
      effect->server_call.message, effect->server_call.remaining_ms,
      effect->server_call.instance, effect->server_call.caller);
  server_call_t *call = calloc (1, sizeof *call);

  if (call == NULL || fq_map_set (&calls->by_run, effect->server_call.run, call) < 0)
    abort ();
  call->calls = calls;
  call->run = effect->server_call.run;
  call->request_id = fq_text_ref (effect->server_call.request_id);
  if (fq_http_client_call (&call->call, calls->client, request, &options, &call_handlers,
                           call)
      < 0)
    on_failed (call, FQ_HTTP_FAILURE_CONNECT);
  fq_http_message_unref (request);
}

/* Not every answer to a health check names what it answers, so its connection is not used
 * again: a second copy could be taken for the answer to the next request. */
static fq_http_match_t
match_probe_answer (void *context, const fq_http_message_t *answer)
{
  (void)context;
  (void)answer;
  return FQ_HTTP_MATCH_LAST;
}

static void
on_probe_answered (void *context, fq_http_message_t *answer)
{
  fq_server_calls_t *calls = context;
  fq_text_t *instance;
  fq_server_notice_t notice;
  bool healthy = fq_platform_read_probe_answer (answer, &instance);

  fq_platform_read_notice (answer, &notice);
  if (!healthy)
    fq_event_log_printf (true, "event=probe-refused status=%u", answer->status);
  calls->handlers->probed (
      calls->context, healthy ? FQ_PROBE_HEALTHY : FQ_PROBE_UNHEALTHY, instance, &notice);
  fq_text_unref (instance);
}

static void
on_probe_failed (void *context, fq_http_failure_t failure)
{
  static const fq_server_notice_t no_notice = { 0 };
  fq_server_calls_t *calls = context;

  fq_event_log_printf (true, "event=probe-failed failure=%d", failure);
  calls->handlers->probed (calls->context,
                           failure == FQ_HTTP_FAILURE_CONNECT ? FQ_PROBE_REFUSED
                                                              : FQ_PROBE_UNANSWERED,
                           NULL, &no_notice);
}

static const fq_http_call_handlers_t probe_handlers = {
  .match_answer = match_probe_answer,
  .answered = on_probe_answered,
  .failed = on_probe_failed,
};

void
fq_server_calls_probe (fq_server_calls_t *calls, const char *path)
{
  fq_http_call_options_t options
      = { .timeout_ms = FQ_PROBE_TIMEOUT_MS, .new_connection = true };
  fq_http_message_t *request = fq_platform_probe_request (calls->address, path);
  fq_http_call_t *call;

  if (fq_http_client_call (&call, calls->client, request, &options, &probe_handlers,
                           calls)
      < 0)
    on_probe_failed (calls, FQ_HTTP_FAILURE_CONNECT);
  fq_http_message_unref (request);
}

void
fq_server_calls_abort (fq_server_calls_t *calls, fq_id_t run)
{
  server_call_t *call = fq_map_get (&calls->by_run, run);

  if (call == NULL)
    return;
  fq_http_call_abort (call->call);
  free_call (call);
}

void
fq_server_calls_close_idle (fq_server_calls_t *calls)
{
  fq_http_client_close_idle (calls->client);
}

void
fq_server_calls_close (fq_server_calls_t *calls)
{
  size_t cursor = 0;
  server_call_t *call;

  if (calls == NULL)
    return;
  fq_http_client_free (calls->client);
  while ((call = fq_map_next (&calls->by_run, &cursor)) != NULL)
    release_call (call);
  fq_map_clear (&calls->by_run);
  free (calls);
}
