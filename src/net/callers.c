/**
 * DOC: The listeners for callers and for our own upstream.
 */
#include <openssl/crypto.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/announcement.h"
#include "net/shell.h"
#include "util/text.h"

#define FQ_BEARER "Bearer "
#define FQ_DEADLINE_MS_MAX 86400000
#define FQ_PROBLEM_BYTES 512
#define FQ_UPSTREAM_CALL_BIT                                                             \
  ((fq_id_t)1 << 63) /* marks calls of our upstream's listener */

const char *
fq_member_authenticate (const fq_settings_t *settings, const char *authorization)
{
  const char *member = NULL;
  const char *key = authorization + strlen (FQ_BEARER);

  if (strncmp (authorization, FQ_BEARER, strlen (FQ_BEARER)) != 0)
    return NULL;
  /* All members are compared, so that the time tells nothing of which one fits. */
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

/* False when the name is too long to be any service's. */
static bool
fill_service (fq_request_t *request, const char *asked, const char *member)
{
  size_t used;

  if (strchr (asked, '/') != NULL)
    return fq_text_copy (request->service, sizeof request->service, asked);
  fq_text_copy (request->service, FQ_NAME_BYTES, member);
  used = strlen (request->service);
  request->service[used++] = '/';
  return fq_text_copy (request->service + used, sizeof request->service - used, asked);
}

/* 0: not stated. */
static bool
parse_deadline (uint32_t *out, const char *text)
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
  if (!fill_service (request, http->service, member))
    return bad_request ("fq-service", "a service, or a member and a service");
  if (!parse_deadline (&request->remaining_ms, http->deadline_ms))
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
request_of_http (fq_request_t **out,
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

/* @title: static or the last error's message, without a quote in it. */
static void
refuse (fq_http_server_t *server, fq_id_t id, uint16_t status, const char *title)
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
  int rc = request_of_http (&event.request.request, http, member);

  if (rc < 0)
    {
      refuse (source == FQ_SOURCE_CALLER ? shell->caller_listener
                                         : shell->upstream_listener,
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
    refuse (shell->caller_listener, http->id, 401, "a valid key is needed");
  else
    feed_request (shell, http, FQ_SOURCE_CALLER, http->id, member);
}

static void
feed_gone (fq_shell_t *shell, fq_id_t call)
{
  fq_event_t event = { .kind = FQ_EVENT_CALLER_DISCONNECTED };

  event.caller_disconnected.call = call;
  fq_shell_feed (shell, &event);
}

static void
on_caller_gone (void *user, fq_id_t id)
{
  feed_gone (user, id);
}

static void
on_upstream_gone (void *user, fq_id_t id)
{
  feed_gone (user, id | FQ_UPSTREAM_CALL_BIT);
}

/* The upstream's own messages: "/fq/announce?..", "/fq/drain" and "/fq/withdraw". */
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
  fq_http_reply_t accepted = { .status = 204 };

  if (is_command (http->path, "/fq/announce"))
    {
      event.kind = FQ_EVENT_ANNOUNCE;
      if (fq_announcement_parse (&event.announce, http->path) < 0)
        {
          refuse (shell->upstream_listener, http->id, 400, fq_error_last ()->message);
          return;
        }
    }
  else if (is_command (http->path, "/fq/drain"))
    event.kind = FQ_EVENT_DRAIN;
  else if (is_command (http->path, "/fq/withdraw"))
    event.kind = FQ_EVENT_WITHDRAW;
  else
    {
      feed_request (shell, http, FQ_SOURCE_UPSTREAM, http->id | FQ_UPSTREAM_CALL_BIT, "");
      return;
    }
  fq_shell_feed (shell, &event);
  fq_http_server_reply (shell->upstream_listener, http->id, &accepted);
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
  options.on_gone = on_caller_gone;
  options.user = shell;
  rc = fq_http_server_new (&shell->caller_listener, shell->context, &options);
  if (rc < 0)
    return rc;
  options.name = "upstream";
  options.address = "127.0.0.1";
  options.port = shell->settings->upstream_port;
  options.on_request = on_upstream_request;
  options.on_gone = on_upstream_gone;
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
  bool of_upstream = (effect->call & FQ_UPSTREAM_CALL_BIT) != 0;

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
  fq_http_server_reply (of_upstream ? shell->upstream_listener : shell->caller_listener,
                        effect->call & ~FQ_UPSTREAM_CALL_BIT, &reply);
}
