/**
 * DOC: Requests of the core to the upstream of this node, over persistent HTTP
 * connections.
 */
#include <stdio.h>
#include <string.h>

#include "net/shell.h"
#include "util/text.h"

#define FQ_HTTP_TOO_MANY_REQUESTS 429
#define FQ_HTTP_UNAVAILABLE 503
#define FQ_UPSTREAM_CONNECTIONS_MAX 1024

static void
feed_failed (fq_shell_t *shell, fq_id_t run, bool sent)
{
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_FAILED };

  event.upstream_failed.run = run;
  event.upstream_failed.sent = sent;
  event.upstream_failed.connect_failed = !sent;
  fq_shell_feed (shell, &event);
}

/* A 503 or 429 alone does not tell whether the work was started; the upstream can say
 * that it was not by the header fq-outcome. */
static fq_outcome_t
outcome_of (const fq_http_answer_t *http)
{
  bool refuses
      = http->status == FQ_HTTP_UNAVAILABLE || http->status == FQ_HTTP_TOO_MANY_REQUESTS;

  if (refuses && strcmp (http->outcome, fq_outcome_name (FQ_OUTCOME_NOT_RUN)) == 0)
    return FQ_OUTCOME_NOT_RUN;
  return FQ_OUTCOME_ANSWERED;
}

static void
on_done (void *user, fq_id_t run, fq_http_result_t result, const fq_http_answer_t *http)
{
  fq_shell_t *shell = user;
  fq_event_t event = { .kind = FQ_EVENT_UPSTREAM_ANSWER };

  if (result != FQ_HTTP_ANSWERED)
    {
      feed_failed (shell, run, result == FQ_HTTP_ANSWER_LOST);
      return;
    }
  event.upstream_answer.run = run;
  event.upstream_answer.answer.status = http->status;
  event.upstream_answer.answer.outcome = outcome_of (http);
  event.upstream_answer.answer.body = http->body;
  fq_text_copy (event.upstream_answer.answer.content_type, FQ_HEADER_BYTES,
                http->content_type);
  fq_text_copy (event.upstream_answer.answer.location, FQ_LOCATION_BYTES, http->location);
  fq_shell_feed (shell, &event);
}

int
fq_upstream_open (fq_shell_t *shell)
{
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;

  options.name = "to-upstream";
  options.connections = FQ_UPSTREAM_CONNECTIONS_MAX;
  options.on_done = on_done;
  if (shell->settings->body_bytes > options.answer_limit)
    options.answer_limit = shell->settings->body_bytes;
  options.user = shell;
  return fq_http_client_new (&shell->upstream_client, shell->context, &options);
}

void
fq_upstream_start (fq_shell_t *shell, const fq_upstream_start_effect_t *effect)
{
  const fq_request_t *request = effect->request;
  char deadline[FQ_HTTP_NUMBER_BYTES];
  fq_http_outbound_request_t http = {
    .method = request->method,
    .address = effect->address,
    .path = request->path,
    .content_type = request->content_type,
    .body = request->body,
    .fresh_connection = request->once,
    .header_count = 6,
    .headers = {
      { "fq-chain:", effect->chain },
      { "fq-deadline-ms:", deadline },
      { "fq-class:", fq_class_name (request->request_class) },
      { "fq-member:", request->member },
      { "idempotency-key:", request->key },
      { "traceparent:", request->traceparent },
    },
  };

  snprintf (deadline, sizeof deadline, "%u", effect->remaining_ms);
  if (fq_http_client_start (shell->upstream_client, effect->run, &http) < 0)
    feed_failed (shell, effect->run, false);
}

void
fq_upstream_abort (fq_shell_t *shell, const fq_upstream_abort_effect_t *effect)
{
  fq_http_client_abort (shell->upstream_client, effect->run);
}
