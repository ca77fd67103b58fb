/**
 * DOC: Test upstream that echoes requests; the path selects the answer.
 *
 * usage: fq-standin-echo port=PORT
 *   /wait/MS         as other paths, after MS milliseconds
 *   /large/BYTES     status 200 with a body of BYTES bytes
 *   /redirect?to=X   status 302 with location X
 *   other paths      status 200 with the request body, or the path if there is none
 *
 * Standard output has a line "run PATH" for each request and a line "cancelled ID" for
 * each request whose client disconnects before its answer.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/http_server.h"
#include "util/text.h"

#define BODY_LIMIT (64u << 20)
#define WAIT "/wait/"
#define REDIRECT "/redirect?to="
#define LARGE "/large/"

/* A request whose answer is sent when the timer expires. */
typedef struct
{
  lws_sorted_usec_list_t timer;
  fq_id_t id;
  char path[FQ_PATH_BYTES];
  fq_blob_t *body; /* NULL: the request has none */
} job_t;

static struct lws_context *context;
static fq_http_server_t *server;
static volatile sig_atomic_t stopping;

static void
on_signal (int number)
{
  (void)number;
  stopping = 1;
}

static void
on_delay_end (lws_sorted_usec_list_t *timer)
{
  job_t *job = lws_container_of (timer, job_t, timer);
  fq_http_reply_t reply = { .status = 200, .content_type = "application/octet-stream" };

  reply.body = fq_blob_ref (job->body);
  if (strncmp (job->path, REDIRECT, strlen (REDIRECT)) == 0)
    {
      reply.status = 302;
      reply.location = job->path + strlen (REDIRECT);
    }
  else if (strncmp (job->path, LARGE, strlen (LARGE)) == 0)
    fq_blob_new (&reply.body, NULL, strtoul (job->path + strlen (LARGE), NULL, 10));
  else if (reply.body == NULL)
    fq_blob_new (&reply.body, job->path, strlen (job->path));
  fq_http_server_reply (server, job->id, &reply);
  fq_blob_unref (reply.body);
  fq_blob_unref (job->body);
  free (job);
}

static void
on_request (void *user, const fq_http_inbound_request_t *http)
{
  job_t *job = calloc (1, sizeof *job);
  long wait_ms = 0;

  (void)user;
  if (job == NULL)
    abort ();
  job->id = http->id;
  job->body = fq_blob_ref (http->body);
  fq_text_copy (job->path, sizeof job->path, http->path);
  if (strncmp (http->path, WAIT, strlen (WAIT)) == 0)
    wait_ms = strtol (http->path + strlen (WAIT), NULL, 10);
  printf ("run %s\n", http->path);
  fflush (stdout);
  lws_sul_schedule (context, 0, &job->timer, on_delay_end,
                    (lws_usec_t)wait_ms * LWS_US_PER_MS);
}

static void
on_client_disconnected (void *user, fq_id_t id)
{
  (void)user;
  printf ("cancelled %llu\n", (unsigned long long)id);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  struct lws_context_creation_info info = { 0 };
  fq_http_server_options_t options = FQ_HTTP_SERVER_OPTIONS_INIT;

  if (argc != 2 || strncmp (argv[1], "port=", 5) != 0)
    return EXIT_FAILURE;
  signal (SIGTERM, on_signal);
  signal (SIGPIPE, SIG_IGN);
  lws_set_log_level (LLL_ERR, NULL);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.pt_serv_buf_size = 65536;
  context = lws_create_context (&info);
  options.name = "echo";
  options.address = "127.0.0.1";
  options.port = (int)strtol (argv[1] + 5, NULL, 10);
  options.body_limit = BODY_LIMIT;
  options.on_request = on_request;
  options.on_client_disconnected = on_client_disconnected;
  if (context == NULL || fq_http_server_new (&server, context, &options) < 0)
    return EXIT_FAILURE;
  while (!stopping)
    lws_service (context, 0);
  lws_context_destroy (context);
  fq_http_server_free (server);
  return EXIT_SUCCESS;
}
