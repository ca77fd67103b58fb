/**
 * DOC: The HTTP listener for operators: maps requests to queries of the core.
 */
#include <stdlib.h>
#include <string.h>

#include "net/shell.h"
#include "util/text.h"

static const struct
{
  const char *method;
  const char *path;
  fq_operator_kind_t kind;
} routes[] = {
  { "POST", "/v1/tickets", FQ_OPERATOR_TICKET_FILE },
  { "GET", "/v1/tickets/", FQ_OPERATOR_TICKET_SHOW },
  { "GET", "/v1/tickets", FQ_OPERATOR_TICKET_LIST },
  { "GET", "/v1/status", FQ_OPERATOR_STATUS },
  { "GET", "/v1/events", FQ_OPERATOR_EVENTS },
  { "GET", "/metrics", FQ_OPERATOR_METRICS },
  { "GET", "/v1/burn", FQ_OPERATOR_BURN },
};

static void
reply_status (fq_shell_t *shell, fq_id_t id, uint16_t status)
{
  fq_http_reply_t reply = { .status = status };

  fq_http_server_reply (shell->operator_listener, id, &reply);
}

static bool
path_matches (const char *path, const char *route)
{
  size_t length = strlen (route);

  if (strncmp (path, route, length) != 0)
    return false;
  return path[length] == '\0' || path[length] == '?' || route[length - 1] == '/';
}

static void
feed_query (fq_shell_t *shell,
            const fq_http_inbound_request_t *http,
            size_t route,
            const char *member)
{
  fq_event_t event = { .kind = FQ_EVENT_OPERATOR };
  char *argument;

  /* The body of a ticket to file; otherwise what follows the route in the path. */
  if (routes[route].kind == FQ_OPERATOR_TICKET_FILE && http->body != NULL)
    argument = strndup ((const char *)http->body->data, http->body->size);
  else
    argument = strdup (http->path + strlen (routes[route].path));
  if (argument == NULL)
    {
      reply_status (shell, http->id, 503);
      return;
    }
  event.operator_query.call = http->id;
  event.operator_query.kind = routes[route].kind;
  event.operator_query.argument = argument;
  fq_text_copy (event.operator_query.member, FQ_NAME_BYTES, member);
  fq_shell_feed (shell, &event);
  free (argument);
}

static void
on_request (void *user, const fq_http_inbound_request_t *http)
{
  fq_shell_t *shell = user;
  const char *member = fq_member_authenticate (shell->settings, http->authorization);

  if (member == NULL)
    {
      reply_status (shell, http->id, 401);
      return;
    }
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      if (strcmp (routes[i].method, http->method) == 0
          && path_matches (http->path, routes[i].path))
        {
          feed_query (shell, http, i, member);
          return;
        }
    }
  reply_status (shell, http->id, 404);
}

/* Nothing to do: fq_http_server_reply() ignores the answer for a closed connection. */
static void
on_client_disconnected (void *user, fq_id_t id)
{
  (void)user;
  (void)id;
}

int
fq_operators_listen (fq_shell_t *shell)
{
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;

  options.name = "operators";
  options.address = shell->settings->address;
  options.port = shell->settings->operator_port;
  options.on_request = on_request;
  options.on_client_disconnected = on_client_disconnected;
  options.user = shell;
  return fq_http_server_new (&shell->operator_listener, shell->context, &options);
}

void
fq_operators_reply (fq_shell_t *shell, const fq_operator_reply_effect_t *effect)
{
  fq_http_reply_t reply = {
    .status = effect->status,
    .content_type = effect->content_type,
  };

  if (fq_blob_new (&reply.body, effect->body, strlen (effect->body)) < 0)
    reply.body = NULL;
  fq_http_server_reply (shell->operator_listener, effect->call, &reply);
  fq_blob_unref (reply.body);
}
