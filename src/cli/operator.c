/**
 * DOC: The commands that query a node's operator listener: ticket, status, events,
 * report burn.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cli/cli.h"
#include "cli/operator_print.h"
#include "util/text.h"

#define FQ_CLI_DEFAULT_NODE "127.0.0.1:7404"
#define FQ_CLI_TIMEOUT_US (10 * FQ_MICROSECONDS_PER_SECOND)
#define FQ_CLI_ARGUMENTS_MAX 2

/* The parsed command line. */
typedef struct
{
  fq_cli_node_t node;
  const char *key_file;
  const char *arguments[FQ_CLI_ARGUMENTS_MAX];
  unsigned int argument_count;
  unsigned int argument_limit;
} options_t;

typedef struct
{
  bool done;
  fq_http_result_t result;
  uint16_t status;
  char *body; /* NUL-terminated, owned; NULL: none */
} exchange_t;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'n':
      if (!fq_text_copy (options->node.address, sizeof options->node.address, argument))
        argp_error (state, "the address of the node is too long");
      return 0;
    case 'k':
      options->key_file = argument;
      return 0;
    case 'j':
      options->node.json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->argument_count == options->argument_limit)
        argp_usage (state);
      options->arguments[options->argument_count++] = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option option_table[] = {
  { "node", 'n', "IP:PORT", 0, "The node's operator listener (" FQ_CLI_DEFAULT_NODE ")",
    0 },
  { "key-file", 'k', "FILE", 0,
    "File with the member's key (default: environment variable FILBERTQUAY_KEY)", 0 },
  { "json", 'j', NULL, 0, "Print the node's JSON answer unchanged", 0 },
  { 0 },
};

static void
on_done (void *user,
         fq_id_t exchange_id,
         fq_http_result_t result,
         const fq_http_answer_t *answer)
{
  exchange_t *exchange = user;

  (void)exchange_id;
  exchange->done = true;
  exchange->result = result;
  if (answer == NULL)
    return;
  exchange->status = answer->status;
  if (answer->body != NULL)
    exchange->body = strndup ((const char *)answer->body->data, answer->body->size);
}

/* Makes lws_service() return, so that the caller can check its own time limit. */
static void
on_poll_timer (lws_sorted_usec_list_t *timer)
{
  (void)timer;
}

static void
wait_for_answer (struct lws_context *context, const exchange_t *exchange)
{
  fq_time_t end = fq_cli_now_us () + FQ_CLI_TIMEOUT_US;
  lws_sorted_usec_list_t timer = { 0 };

  while (!exchange->done && fq_cli_now_us () < end)
    {
      lws_sul_schedule (context, 0, &timer, on_poll_timer, 100 * LWS_US_PER_MS);
      lws_service (context, 0);
    }
  lws_sul_cancel (&timer);
}

/* Sends a request and waits for the answer. Return: FQ_EXIT_OK or FQ_EXIT_UNREACHABLE. */
static int
query_node (exchange_t *exchange,
            const fq_cli_node_t *node,
            const char *method,
            const char *path,
            fq_blob_t *body)
{
  struct lws_context *context = fq_cli_new_context ();
  fq_http_client_options_t options = FQ_HTTP_CLIENT_OPTIONS_INIT;
  fq_http_client_t *client = NULL;
  fq_http_outbound_request_t request = {
    .method = method,
    .address = node->address,
    .path = path,
    .content_type = body == NULL ? NULL : "application/json",
    .body = body,
    .header_count = 1,
    .headers = { { "authorization:", node->authorization } },
  };
  int rc = FQ_EXIT_UNREACHABLE;

  options.name = "operator";
  options.connections = 1;
  options.on_done = on_done;
  options.user = exchange;
  if (context == NULL || fq_http_client_new (&client, context, &options) < 0
      || fq_http_client_start (client, 1, &request) < 0)
    goto done;
  wait_for_answer (context, exchange);
  if (exchange->done && exchange->result == FQ_HTTP_ANSWERED)
    rc = FQ_EXIT_OK;

done:
  if (context != NULL)
    lws_context_destroy (context);
  fq_http_client_free (client);
  return rc;
}

static void
print_answer (const fq_cli_node_t *node, const char *body, fq_cli_print_t print)
{
  json_t *json = node->json ? NULL : json_loads (body, 0, NULL);

  if (json == NULL)
    fputs (body, stdout);
  else
    print (json, stdout);
  json_decref (json);
}

static void
print_refusal (const exchange_t *exchange)
{
  json_t *json = exchange->body == NULL ? NULL : json_loads (exchange->body, 0, NULL);
  const char *title = json_string_value (json_object_get (json, "title"));
  const char *detail = json_string_value (json_object_get (json, "detail"));

  fprintf (stderr, "filbertquay: the node refused (%u)%s%s%s%s\n", exchange->status,
           title == NULL ? "" : ": ", title == NULL ? "" : title,
           detail == NULL ? "" : ": ", detail == NULL ? "" : detail);
  json_decref (json);
}

static int
query_and_print (options_t *options,
                 const char *method,
                 const char *path,
                 fq_blob_t *body,
                 fq_cli_print_t print)
{
  fq_cli_node_t *node = &options->node;
  exchange_t exchange = { 0 };
  int rc;

  if (fq_cli_read_key (node->authorization, sizeof node->authorization, options->key_file)
      < 0)
    {
      fprintf (stderr, "filbertquay: %s\n", fq_error_last ()->message);
      return FQ_EXIT_USAGE;
    }
  rc = query_node (&exchange, node, method, path, body);
  if (rc != FQ_EXIT_OK)
    fprintf (stderr, "filbertquay: no answer from the node at %s\n", node->address);
  else if (exchange.status >= 300)
    {
      print_refusal (&exchange);
      rc = FQ_EXIT_FAILED;
    }
  else
    print_answer (node, exchange.body == NULL ? "" : exchange.body, print);
  free (exchange.body);
  return rc;
}

static void
parse_arguments (options_t *options,
                 const struct argp *argp,
                 unsigned int argument_limit,
                 int argc,
                 char **argv)
{
  *options = (options_t){ .argument_limit = argument_limit };
  fq_text_copy (options->node.address, sizeof options->node.address, FQ_CLI_DEFAULT_NODE);
  argp_parse (argp, argc, argv, 0, NULL, options);
}

static int
read_json_file (fq_blob_t **out, const char *path)
{
  json_error_t error;
  json_t *json = json_load_file (path, JSON_REJECT_DUPLICATES, &error);
  char *text;
  int rc;

  if (json == NULL)
    {
      fprintf (stderr, "filbertquay: %s:%d: %s\n", path, error.line, error.text);
      return FQ_EXIT_USAGE;
    }
  text = json_dumps (json, JSON_COMPACT);
  rc = text == NULL ? FQ_ERROR_NOMEM : fq_blob_new (out, text, strlen (text));
  free (text);
  json_decref (json);
  return rc < 0 ? FQ_EXIT_FAILED : FQ_EXIT_OK;
}

static int
file_ticket (options_t *options)
{
  fq_blob_t *body = NULL;
  int rc = read_json_file (&body, options->arguments[1]);

  if (rc == FQ_EXIT_OK)
    rc = query_and_print (options, "POST", "/v1/tickets", body, fq_cli_print_ticket);
  fq_blob_unref (body);
  return rc;
}

static int
show_ticket (options_t *options)
{
  char path[FQ_PATH_BYTES];
  int length = snprintf (path, sizeof path, "/v1/tickets/%s", options->arguments[1]);

  if ((size_t)length >= sizeof path || strpbrk (options->arguments[1], "/?# %") != NULL)
    {
      fprintf (stderr, "filbertquay: not a ticket ID: %s\n", options->arguments[1]);
      return FQ_EXIT_USAGE;
    }
  return query_and_print (options, "GET", path, NULL, fq_cli_print_ticket);
}

int
fq_cli_ticket (int argc, char **argv)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = parse_option,
    .args_doc = "file FILE\nshow ID\nlist",
    .doc = "File a change ticket, or show those in force.\v" FQ_CLI_EXIT_DOC,
  };
  options_t options;
  const char *action;

  parse_arguments (&options, &argp, 2, argc, argv);
  action = options.arguments[0] == NULL ? "" : options.arguments[0];
  if (strcmp (action, "file") == 0 && options.argument_count == 2)
    return file_ticket (&options);
  if (strcmp (action, "show") == 0 && options.argument_count == 2)
    return show_ticket (&options);
  if (strcmp (action, "list") == 0 && options.argument_count == 1)
    return query_and_print (&options, "GET", "/v1/tickets", NULL, fq_cli_print_tickets);
  argp_help (&argp, stderr, ARGP_HELP_USAGE, argv[0]);
  return FQ_EXIT_USAGE;
}

int
fq_cli_status (int argc, char **argv)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = parse_option,
    .doc = "Show the state of the node, for one member.\v" FQ_CLI_EXIT_DOC,
  };
  options_t options;

  parse_arguments (&options, &argp, 0, argc, argv);
  return query_and_print (&options, "GET", "/v1/status", NULL, fq_cli_print_status);
}

int
fq_cli_events (int argc, char **argv)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = parse_option,
    .doc = "Show the node's recent refusals, ejections, limit changes and tickets, each "
           "with its cause, for one member.\v" FQ_CLI_EXIT_DOC,
  };
  options_t options;

  parse_arguments (&options, &argp, 0, argc, argv);
  return query_and_print (&options, "GET", "/v1/events", NULL, fq_cli_print_events);
}

int
fq_cli_report_burn (int argc, char **argv)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = parse_option,
    .args_doc = "burn\nday LOG...",
    .doc = "Show the burn rate of the error budget by service and class, for one member; "
           "or summarize requests and events from logs.\v" FQ_CLI_EXIT_DOC,
  };
  options_t options;

  parse_arguments (&options, &argp, 1, argc, argv);
  if (options.argument_count != 1 || strcmp (options.arguments[0], "burn") != 0)
    {
      argp_help (&argp, stderr, ARGP_HELP_USAGE, argv[0]);
      return FQ_EXIT_USAGE;
    }
  return query_and_print (&options, "GET", "/v1/burn", NULL, fq_cli_print_burn);
}
