/**
 * DOC: `filbertquay explain`: the timeline and the cause of the outcome of one request,
 * from the logs of all filbertquay-node processes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "cli/event_lines.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_STATUS_SERVER_ERROR 500
#define FQ_LOGS_MAX 4096
#define FQ_CALL_DEPTH_MAX 16 /* of internal calls that are followed */

typedef struct
{
  const char *id;
  const char *paths[FQ_LOGS_MAX];
  size_t path_count;
} options_t;

/* What each cause means, for the engineer on call. */
static const struct
{
  const char *cause;
  const char *description;
} cause_descriptions[] = {
  { "no-room",
    "every gate that was asked had no room in time: the service is overloaded" },
  { "rate-limit", "the servers that were asked accept only so many requests a second, "
                  "and had too many" },
  { "no-gate", "no gate of the service was known, or none was left to ask" },
  { "no-time", "it came with no time left to ask a gate" },
  { "no-server", "the server was leaving or absent, or another one had its address" },
  { "server-refused", "the server refused it itself" },
  { "retry-budget", "too many repeats of late: it was not tried again" },
  { "expired", "no time was left for it" },
  { "connect", "the server took no connection: it was down" },
  { "connection-lost", "the connection to the server or its node broke while it ran" },
  { "gate-lost", "the node beside the server was lost" },
  { "broken-answer", "what came from the server was no valid answer to it" },
  { "crashes-servers", "it ran when servers crashed, several times" },
  { "no-memory", "what the node held for others, bodies or answers that clients have "
                 "not read, left no memory for this one" },
  { "isolated", "it ran when servers crashed, and so did another one that was running" },
  { "timeout", "its time was over before an answer came" },
  { "client-gone", "its client left before the answer" },
  { "no-config", "the node had no configuration yet" },
  { "no-route", "no route of the configuration in force matched it" },
  { "stopping", "the node was about to stop" },
};

static const char *
describe_cause (const char *cause)
{
  for (size_t i = 0; i < sizeof cause_descriptions / sizeof cause_descriptions[0]; i++)
    {
      if (strcmp (cause_descriptions[i].cause, cause) == 0)
        return cause_descriptions[i].description;
    }
  return "the server itself answered so";
}

/*
 * Whether @line is of the request @id or of a call made on its behalf, whose id is the
 * request's id, a dot and a suffix. @is_call is valid only when true is returned.
 */
static bool
matches_request (const fq_event_line_t *line, const char *id, bool *is_call)
{
  char value[FQ_EVENT_VALUE_BYTES];
  size_t length = strlen (id);

  if (!fq_event_line_get (line, "id", value, sizeof value))
    return false;
  *is_call = strncmp (value, id, length) == 0 && value[length] == '.';
  return *is_call || strcmp (value, id) == 0;
}

/* The line "request-end" of @id itself; NULL: none. */
static const fq_event_line_t *
find_request_end (const fq_event_lines_t *lines, const char *id)
{
  const fq_event_line_t *end = NULL;

  for (size_t i = 0; i < lines->count; i++)
    {
      bool is_call;

      if (fq_event_line_is (&lines->lines[i], "request-end")
          && matches_request (&lines->lines[i], id, &is_call) && !is_call)
        end = &lines->lines[i];
    }
  return end;
}

static bool
has_failed (const fq_event_line_t *end)
{
  char outcome[FQ_EVENT_VALUE_BYTES];

  fq_event_line_get (end, "outcome", outcome, sizeof outcome);
  return strcmp (outcome, "answered") != 0
         || fq_event_line_get_number (end, "status") >= FQ_STATUS_SERVER_ERROR;
}

/* The end of the first failed call that @id made directly; NULL: none. */
static const fq_event_line_t *
find_failed_call (const fq_event_lines_t *lines, const char *id)
{
  size_t length = strlen (id);

  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char value[FQ_EVENT_VALUE_BYTES];
      bool is_call;

      if (!fq_event_line_is (line, "request-end") || !matches_request (line, id, &is_call)
          || !is_call || !has_failed (line))
        continue;
      fq_event_line_get (line, "id", value, sizeof value);
      if (strchr (value + length + 1, '.') == NULL)
        return line;
    }
  return NULL;
}

/* Follows failed calls down to the innermost one, and prints its cause. */
static void
print_cause (const fq_event_lines_t *lines, const fq_event_line_t *end)
{
  char id[FQ_EVENT_VALUE_BYTES];
  char cause[FQ_EVENT_VALUE_BYTES];
  char service[FQ_EVENT_VALUE_BYTES];

  for (int depth = 0; depth < FQ_CALL_DEPTH_MAX; depth++)
    {
      const fq_event_line_t *call;

      fq_event_line_get (end, "id", id, sizeof id);
      call = find_failed_call (lines, id);
      if (call == NULL)
        break;
      fq_event_line_get (call, "service", service, sizeof service);
      fq_event_line_get (call, "id", id, sizeof id);
      printf ("because a call to %s failed: %s\n", service, id);
      end = call;
    }
  fq_event_line_get (end, "cause", cause, sizeof cause);
  printf ("cause: %s (%s)\n", cause, describe_cause (cause));
}

static void
print_line (const fq_event_line_t *line)
{
  printf ("%s %s %s\n", line->time, line->node, line->fields);
}

/*
 * The last line of @node with @event, up to and including the time @until; NULL: none.
 * With a @key other than NULL, only lines in which it has @value count.
 */
static const fq_event_line_t *
find_last_event (const fq_event_lines_t *lines,
                 const char *node,
                 const char *event,
                 const char *key,
                 const char *value,
                 const char *until)
{
  const fq_event_line_t *last = NULL;
  char found[FQ_EVENT_VALUE_BYTES];

  for (size_t i = 0; i < lines->count && strcmp (lines->lines[i].time, until) <= 0; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];

      if (strcmp (line->node, node) != 0 || !fq_event_line_is (line, event))
        continue;
      if (key != NULL
          && (!fq_event_line_get (line, key, found, sizeof found)
              || strcmp (found, value) != 0))
        continue;
      last = line;
    }
  return last;
}

/* The name of the node that logged its start with @address; NULL: none did. */
static const char *
find_node_name (const fq_event_lines_t *lines, const char *address)
{
  char found[FQ_EVENT_VALUE_BYTES];
  const char *node = NULL;

  for (size_t i = 0; i < lines->count; i++)
    {
      if (fq_event_line_is (&lines->lines[i], "start")
          && fq_event_line_get (&lines->lines[i], "address", found, sizeof found)
          && strcmp (found, address) == 0)
        node = lines->lines[i].node;
    }
  return node;
}

/* Whether @node, as a gate, logged how its part in the request @id ended. */
static bool
gate_logged_request (const fq_event_lines_t *lines, const char *node, const char *id)
{
  static const char *const events[]
      = { "run-end", "run-failed", "run-aborted", "gate-refused" };
  char found[FQ_EVENT_VALUE_BYTES];

  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];

      if (strcmp (line->node, node) != 0
          || !fq_event_line_get (line, "id", found, sizeof found)
          || strcmp (found, id) != 0)
        continue;
      for (size_t j = 0; j < sizeof events / sizeof events[0]; j++)
        {
          if (fq_event_line_is (line, events[j]))
            return true;
        }
    }
  return false;
}

/* Reports each attempt whose gate has no log here, or no line about the request in it. */
static void
print_missing (const fq_event_lines_t *lines, const char *id)
{
  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char address[FQ_EVENT_VALUE_BYTES];
      const char *node;
      bool is_call;

      if (!fq_event_line_is (line, "attempt") || !matches_request (line, id, &is_call)
          || is_call)
        continue;
      fq_event_line_get (line, "node", address, sizeof address);
      node = find_node_name (lines, address);
      if (node == NULL)
        printf ("missing: the log of node %s, which was asked at %s\n", address,
                line->time);
      else if (!gate_logged_request (lines, node, id))
        printf ("missing: a line of node %s about this request; it was lost, or its "
                "log is cut\n",
                node);
    }
}

/*
 * Prints the configuration that the entry node had at the end of the request, and what it
 * had last logged about each gate that it sent an attempt to.
 */
static void
print_node_view (const fq_event_lines_t *lines, const fq_event_line_t *end)
{
  const fq_event_line_t *config
      = find_last_event (lines, end->node, "config-in-force", NULL, NULL, end->time);

  printf ("what %s believed then:\n", end->node);
  if (config != NULL)
    print_line (config);
  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char address[FQ_EVENT_VALUE_BYTES];
      char id[FQ_EVENT_VALUE_BYTES];
      char request_id[FQ_EVENT_VALUE_BYTES];
      const fq_event_line_t *gate_event;

      fq_event_line_get (end, "id", request_id, sizeof request_id);
      if (!fq_event_line_is (line, "attempt")
          || !fq_event_line_get (line, "id", id, sizeof id)
          || strcmp (id, request_id) != 0)
        continue;
      fq_event_line_get (line, "node", address, sizeof address);
      gate_event
          = find_last_event (lines, end->node, "gate-server", "node", address, end->time);
      if (gate_event != NULL)
        print_line (gate_event);
      gate_event
          = find_last_event (lines, end->node, "gate-lost", "node", address, end->time);
      if (gate_event != NULL)
        print_line (gate_event);
    }
}

static int
explain (const fq_event_lines_t *lines, const char *id)
{
  const fq_event_line_t *end = find_request_end (lines, id);
  char outcome[FQ_EVENT_VALUE_BYTES] = "";
  size_t count = 0;

  for (size_t i = 0; i < lines->count; i++)
    {
      bool is_call;

      if (!matches_request (&lines->lines[i], id, &is_call))
        continue;
      print_line (&lines->lines[i]);
      count++;
    }
  if (count == 0)
    {
      fprintf (stderr, "filbertquay explain: no line names request %s (%zu lines read)\n",
               id, lines->count);
      return FQ_EXIT_FAILED;
    }
  if (end == NULL)
    {
      printf ("missing: the end of the request; the log of the node where it began is "
              "not here, or is cut\n");
      return FQ_EXIT_FAILED;
    }
  fq_event_line_get (end, "outcome", outcome, sizeof outcome);
  printf ("outcome: %s, status %ld, after %ld ms, from node %s\n", outcome,
          fq_event_line_get_number (end, "status"),
          fq_event_line_get_number (end, "took_ms"), end->node);
  if (has_failed (end))
    print_cause (lines, end);
  print_node_view (lines, end);
  print_missing (lines, id);
  return FQ_EXIT_OK;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (state->arg_num == 0)
        options->id = argument;
      else if (options->path_count < FQ_LOGS_MAX)
        options->paths[options->path_count++] = argument;
      else
        argp_error (state, "more than %d log files", FQ_LOGS_MAX);
      return 0;
    case ARGP_KEY_END:
      if (options->path_count == 0)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
fq_cli_explain (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse_option,
    .args_doc = "ID LOG...",
    .doc = "Merge the lines of all nodes about one request into a timeline, and name the "
           "cause of its outcome.\v" FQ_CLI_EXIT_DOC,
  };
  static options_t options;
  fq_event_lines_t lines = { 0 };
  fq_text_t *id = NULL;
  int rc = FQ_EXIT_FAILED;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  for (size_t i = 0; i < options.path_count; i++)
    {
      if (fq_event_lines_read (&lines, options.paths[i]) < 0)
        {
          fprintf (stderr, "filbertquay explain: %s\n", fq_error_last ()->message);
          goto done;
        }
    }
  if (lines.skipped > 0)
    fprintf (stderr,
             "filbertquay explain: skipped %zu lines that are incomplete or not of a "
             "node's log\n",
             lines.skipped);
  fq_event_lines_sort (&lines);
  /* Lines name the request as its label. */
  id = fq_text_new (options.id);
  rc = explain (&lines, fq_text_label (id));
done:
  fq_text_unref (id);
  fq_event_lines_clear (&lines);
  return rc;
}
