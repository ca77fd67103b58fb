/**
 * DOC: The HTTP listeners for callers and for this node's own upstream.
 */
#include <openssl/crypto.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/announcement.h"
#include "net/shell.h"
#include "util/text.h"

#define FQ_BEARER_PREFIX "Bearer "
#define FQ_DEADLINE_MS_MAX 86400000
#define FQ_PROBLEM_BYTES 512
/* Set in the ids of calls from the upstream's listener, since both listeners count their
 * request ids from 1. */
#define FQ_CALL_FROM_UPSTREAM ((fq_id_t)1 << 63)

const char *
fq_member_authenticate (const fq_settings_t *settings, const char *authorization)
{
  const char *member = NULL;
  const char *key = authorization + strlen (FQ_BEARER_PREFIX);

  if (strncmp (authorization, FQ_BEARER_PREFIX, strlen (FQ_BEARER_PREFIX)) != 0)
    return NULL;
  /* The loop compares the keys of all members, so that the time it takes does not reveal
   * which member matched. */
  for (size_t i = 0; i < settings->member_count; i++)
    {
      const fq_settings_member_t *candidate = &settings->members[i];
      size_t length = strlen (candidate->key);

      if (length > 0 && length == strlen (key)
          && CRYPTO_memcmp (candidate->key, key, length) == 0)
        member = candidate->name;
    }
  return member;
}

/* Sets the service of @request; @member and "/" are put before a @service that has no
 * "/". False when the name is too long for any service. */
static bool
set_service (fq_request_t *request, const char *service, const char *member)
{
  size_t used;

  if (strchr (service, '/') != NULL)
    return fq_text_copy (request->service, sizeof request->service, service);
  fq_text_copy (request->service, FQ_NAME_BYTES, member);
  used = strlen (request->service);
  request->service[used++] = '/';
  return fq_text_copy (request->service + used, sizeof request->service - used, service);
}

/* Sets @out to the deadline in ms, to 0 when @text is empty; false when it is invalid. */
static bool
parse_deadline_ms (uint32_t *out, const char *text)
{
  char *end = NULL;
  unsigned long long ms;

  *out = 0;
  if (text[0] == '\0')
    return true;
  if (text[0] < '0' || text[0] > '9')
    return false;
  ms = strtoull (text, &end, 10);
  if (*end != '\0' || ms == 0 || ms > FQ_DEADLINE_MS_MAX)
    return false;
  *out = (uint32_t)ms;
  return true;
}

static int
bad_request (const char *field, const char *allowed)
{
  return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_INVALID, "%s: allowed: %s", field,
                       allowed);
}

static int
fill_request (fq_request_t *request,
              const fq_http_inbound_request_t *http,
              const char *member)
{
  if (!set_service (request, http->service, member))
    return bad_request ("fq-service", "a service, or a member and a service");
  if (!parse_deadline_ms (&request->remaining_ms, http->deadline_ms))
    return bad_request ("fq-deadline-ms", "1 to 86400000");
  fq_text_copy (request->method, sizeof request->method, http->method);
  fq_text_copy (request->path, sizeof request->path, http->path);
  fq_text_copy (request->content_type, sizeof request->content_type, http->content_type);
  fq_text_copy (request->key, sizeof request->key, http->key);
  fq_text_copy (request->traceparent, sizeof request->traceparent, http->traceparent);
  fq_text_copy (request->chain, sizeof request->chain, http->chain);
  request->body = fq_blob_ref (http->body);
  return FQ_OK;
}

static int
request_from_http (fq_request_t **out,
                   const fq_http_inbound_request_t *http,
                   const char *member)
{
  fq_request_t *request;
  int rc = fq_request_new (&request);

  if (rc < 0)
    return rc;
  rc = fill_request (request, http, member);
  if (rc < 0)
    {
      fq_request_unref (request);
      return rc;
    }
  *out = request;
  return FQ_OK;
}

/* Answers with a problem document (RFC 9457) and outcome not-run. @title must not need
 * JSON escapes: a literal or the last error's message. */
static void
reply_problem (fq_http_server_t *server, fq_id_t id, uint16_t status, const char *title)
{
  fq_http_reply_t reply
      = { .status = status, .content_type = "application/problem+json" };
  char text[FQ_PROBLEM_BYTES];
  int length = snprintf (text, sizeof text,
                         "{\"type\":\"about:blank\",\"status\":%u,\"title\":\"%.160s\","
                         "\"outcome\":\"not-run\"}\n",
                         status, title);

  fq_http_reply_add (&reply, "fq-outcome:", "not-run");
  if (fq_blob_new (&reply.body, text, (size_t)length) < 0)
    reply.body = NULL;
  fq_http_server_reply (server, id, &reply);
  fq_blob_unref (reply.body);
}

static void
feed_request (fq_shell_t *shell,
              const fq_http_inbound_request_t *http,
              fq_source_t source,
              fq_id_t call,
              const char *member)
{
  fq_event_t event = { .kind = FQ_EVENT_REQUEST };

  event.request.call = call;
  event.request.source = source;
  fq_text_copy (event.request.member, sizeof event.request.member, member);
  int rc = request_from_http (&event.request.request, http, member);

  if (rc < 0)
    {
      reply_problem (
          source == FQ_SOURCE_CALLER ? shell->caller_listener : shell->upstream_listener,
          http->id, rc == FQ_ERROR_INVALID ? 400 : 503, fq_error_last ()->message);
      return;
    }
  fq_shell_feed (shell, &event);
  fq_request_unref (event.request.request);
}

static void
on_caller_request (void *user, const fq_http_inbound_request_t *http)
{
  fq_shell_t *shell = user;
  const char *member = fq_member_authenticate (shell->settings, http->authorization);

  if (member == NULL)
    reply_problem (shell->caller_listener, http->id, 401, "a valid key is needed");
  else
    feed_request (shell, http, FQ_SOURCE_CALLER, http->id, member);
}

static void
feed_caller_disconnected (fq_shell_t *shell, fq_id_t call)
{
  fq_event_t event = { .kind = FQ_EVENT_CALLER_DISCONNECTED };

  event.caller_disconnected.call = call;
  fq_shell_feed (shell, &event);
}

static void
on_caller_disconnected (void *user, fq_id_t id)
{
  feed_caller_disconnected (user, id);
}

static void
on_upstream_disconnected (void *user, fq_id_t id)
{
  feed_caller_disconnected (user, id | FQ_CALL_FROM_UPSTREAM);
}

/* Whether @path is @command, with or without a query. The commands of an upstream to its
 * node are "/fq/announce?...", "/fq/drain" and "/fq/withdraw". */
static bool
is_command (const char *path, const char *command)
{
  size_t length = strlen (command);

  return strncmp (path, command, length) == 0
         && (path[length] == '\0' || path[length] == '?');
}

static void
on_upstream_request (void *user, const fq_http_inbound_request_t *http)
{
  fq_shell_t *shell = user;
  fq_event_t event = { 0 };
  fq_http_reply_t no_content = { .status = 204 };

  if (is_command (http->path, "/fq/announce"))
    {
      event.kind = FQ_EVENT_ANNOUNCE;
      if (fq_announcement_parse (&event.announce, http->path) < 0)
        {
          reply_problem (shell->upstream_listener, http->id, 400,
                         fq_error_last ()->message);
          return;
        }
    }
  else if (is_command (http->path, "/fq/drain"))
    event.kind = FQ_EVENT_DRAIN;
  else if (is_command (http->path, "/fq/withdraw"))
    event.kind = FQ_EVENT_WITHDRAW;
  else
    {
      feed_request (shell, http, FQ_SOURCE_UPSTREAM, http->id | FQ_CALL_FROM_UPSTREAM,
                    "");
      return;
    }
  fq_shell_feed (shell, &event);
  fq_http_server_reply (shell->upstream_listener, http->id, &no_content);
}

int
fq_callers_listen (fq_shell_t *shell)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;
  int rc;

  options.name = "callers";
  options.address = shell->settings->address;
  options.port = shell->settings->caller_port;
  options.body_limit = shell->settings->body_bytes;
  options.on_request = on_caller_request;
  options.on_client_disconnected = on_caller_disconnected;
  options.user = shell;
  rc = fq_http_server_new (&shell->caller_listener, shell->context, &options);
  if (rc < 0)
    return rc;
  options.name = "upstream";
  options.address = "127.0.0.1";
  options.port = shell->settings->upstream_port;
  options.on_request = on_upstream_request;
  options.on_client_disconnected = on_upstream_disconnected;
  return fq_http_server_new (&shell->upstream_listener, shell->context, &options);
}

void
fq_callers_reply (fq_shell_t *shell, const fq_reply_effect_t *effect)
{
  const fq_answer_t *answer = &effect->answer;
  fq_http_reply_t reply = {
    .status = answer->status,
    .content_type = answer->content_type[0] == '\0' ? NULL : answer->content_type,
    .location = answer->location[0] == '\0' ? NULL : answer->location,
    .body = answer->body,
  };
  bool from_upstream = (effect->call & FQ_CALL_FROM_UPSTREAM) != 0;

  fq_http_reply_add (&reply, "fq-outcome:", "%s", fq_outcome_name (answer->outcome));
  if (answer->replayed)
    fq_http_reply_add (&reply, "fq-replayed:", "true");
  if (answer->cause != FQ_CAUSE_NONE)
    fq_http_reply_add (&reply, "fq-cause:", "%s", fq_cause_name (answer->cause));
  if (answer->retry_after_ms > 0)
    {
      fq_http_reply_add (&reply, "retry-after:", "%u",
                         (answer->retry_after_ms + 999) / 1000);
      fq_http_reply_add (&reply, "fq-retry-after-ms:", "%u", answer->retry_after_ms);
    }
  fq_http_server_reply (from_upstream ? shell->upstream_listener : shell->caller_listener,
                        effect->call & ~FQ_CALL_FROM_UPSTREAM, &reply);
}
