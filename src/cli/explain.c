/**
 * DOC: `filbertquay explain`: what became of one request, from the logs of all nodes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "cli/event_lines.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_ID_BYTES 256
#define FQ_VALUE_BYTES 128
#define FQ_STATUS_SERVER_ERROR 500
#define FQ_LOGS_MAX 4096
#define FQ_DEPTH_MAX 16 /* of calls that a request made */

typedef struct
{
  const char *id;
  const char *paths[FQ_LOGS_MAX];
  size_t path_count;
} options_t;

/* What each cause means, for somebody who is on call. */
static const struct
{
  const char *cause;
  const char *meaning;
} meanings[] = {
  { "no-room",
    "every gate that was asked had no room in time: the service is overloaded" },
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
  { "timeout", "its time was over before an answer came" },
  { "client-gone", "its client left before the answer" },
  { "no-config", "the node had no configuration yet" },
  { "no-route", "no route of the configuration in force matched it" },
  { "stopping", "the node was about to stop" },
};

static const char *
meaning_of (const char *cause)
{
  for (size_t i = 0; i < sizeof meanings / sizeof meanings[0]; i++)
    {
      if (strcmp (meanings[i].cause, cause) == 0)
        return meanings[i].meaning;
    }
  return "the server itself answered so";
}

/* Whether @line is of the request @id, or of a call that was made for it. */
static bool
concerns (const fq_event_line_t *line, const char *id, bool *is_call)
{
  char value[FQ_ID_BYTES];
  size_t length = strlen (id);

  if (!fq_event_line_get (line, "id", value, sizeof value))
    return false;
  *is_call = strncmp (value, id, length) == 0 && value[length] == '.';
  return *is_call || strcmp (value, id) == 0;
}

static const fq_event_line_t *
end_of (const fq_event_lines_t *lines, const char *id)
{
  const fq_event_line_t *end = NULL;

  for (size_t i = 0; i < lines->count; i++)
    {
      bool is_call;

      if (fq_event_line_is (&lines->lines[i], "request-end")
          && concerns (&lines->lines[i], id, &is_call) && !is_call)
        end = &lines->lines[i];
    }
  return end;
}

static bool
has_failed (const fq_event_line_t *end)
{
  char outcome[FQ_VALUE_BYTES];

  fq_event_line_get (end, "outcome", outcome, sizeof outcome);
  return strcmp (outcome, "answered") != 0
         || fq_event_line_number (end, "status") >= FQ_STATUS_SERVER_ERROR;
}

/* The first direct call of @id that failed. */
static const fq_event_line_t *
failed_call_of (const fq_event_lines_t *lines, const char *id)
{
  size_t length = strlen (id);

  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char value[FQ_ID_BYTES];
      bool is_call;

      if (!fq_event_line_is (line, "request-end") || !concerns (line, id, &is_call)
          || !is_call || !has_failed (line))
        continue;
      fq_event_line_get (line, "id", value, sizeof value);
      if (strchr (value + length + 1, '.') == NULL)
        return line;
    }
  return NULL;
}

static void
print_cause (const fq_event_lines_t *lines, const fq_event_line_t *end)
{
  char id[FQ_ID_BYTES];
  char cause[FQ_VALUE_BYTES];
  char service[FQ_VALUE_BYTES];

  for (int depth = 0; depth < FQ_DEPTH_MAX; depth++)
    {
      const fq_event_line_t *call;

      fq_event_line_get (end, "id", id, sizeof id);
      call = failed_call_of (lines, id);
      if (call == NULL)
        break;
      fq_event_line_get (call, "service", service, sizeof service);
      fq_event_line_get (call, "id", id, sizeof id);
      printf ("because a call to %s failed: %s\n", service, id);
      end = call;
    }
  fq_event_line_get (end, "cause", cause, sizeof cause);
  printf ("cause: %s (%s)\n", cause, meaning_of (cause));
}

static void
print_line (const fq_event_line_t *line)
{
  printf ("%s %s %s\n", line->time, line->node, line->fields);
}

/* The last line before @until of node @node that tells of @event; NULL: none. */
static const fq_event_line_t *
belief (const fq_event_lines_t *lines,
        const char *node,
        const char *event,
        const char *key,
        const char *value,
        const char *until)
{
  const fq_event_line_t *last = NULL;
  char found[FQ_VALUE_BYTES];

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

/* The name of the node with this address; empty when its start is in none of the logs. */
static void
name_of_address (const fq_event_lines_t *lines,
                 const char *address,
                 char *out,
                 size_t size)
{
  char found[FQ_VALUE_BYTES];

  out[0] = '\0';
  for (size_t i = 0; i < lines->count; i++)
    {
      if (fq_event_line_is (&lines->lines[i], "start")
          && fq_event_line_get (&lines->lines[i], "address", found, sizeof found)
          && strcmp (found, address) == 0)
        fq_text_copy (out, size, lines->lines[i].node);
    }
}

static bool
gate_tells_of (const fq_event_lines_t *lines, const char *node, const char *id)
{
  static const char *const events[]
      = { "run-end", "run-failed", "run-aborted", "gate-refused" };
  char found[FQ_ID_BYTES];

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

static void
print_missing (const fq_event_lines_t *lines, const char *id)
{
  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char address[FQ_VALUE_BYTES];
      char node[FQ_NAME_BYTES];
      bool is_call;

      if (!fq_event_line_is (line, "attempt") || !concerns (line, id, &is_call)
          || is_call)
        continue;
      fq_event_line_get (line, "node", address, sizeof address);
      name_of_address (lines, address, node, sizeof node);
      if (node[0] == '\0')
        printf ("missing: the log of node %s, which was asked at %s\n", address,
                line->time);
      else if (!gate_tells_of (lines, node, id))
        printf ("missing: a line of node %s about this request; it was lost, or its "
                "log is cut\n",
                node);
    }
}

static void
print_beliefs (const fq_event_lines_t *lines, const fq_event_line_t *end)
{
  const fq_event_line_t *config
      = belief (lines, end->node, "config-in-force", NULL, NULL, end->time);

  printf ("what %s believed then:\n", end->node);
  if (config != NULL)
    print_line (config);
  for (size_t i = 0; i < lines->count; i++)
    {
      const fq_event_line_t *line = &lines->lines[i];
      char address[FQ_VALUE_BYTES];
      char id[FQ_ID_BYTES];
      char wanted[FQ_ID_BYTES];
      const fq_event_line_t *last;

      fq_event_line_get (end, "id", wanted, sizeof wanted);
      if (!fq_event_line_is (line, "attempt")
          || !fq_event_line_get (line, "id", id, sizeof id) || strcmp (id, wanted) != 0)
        continue;
      fq_event_line_get (line, "node", address, sizeof address);
      last = belief (lines, end->node, "gate-server", "node", address, end->time);
      if (last != NULL)
        print_line (last);
      last = belief (lines, end->node, "gate-lost", "node", address, end->time);
      if (last != NULL)
        print_line (last);
    }
}

static int
explain (const fq_event_lines_t *lines, const char *id)
{
  const fq_event_line_t *end = end_of (lines, id);
  char outcome[FQ_VALUE_BYTES] = "";
  size_t count = 0;

  for (size_t i = 0; i < lines->count; i++)
    {
      bool is_call;

      if (!concerns (&lines->lines[i], id, &is_call))
        continue;
      print_line (&lines->lines[i]);
      count++;
    }
  if (count == 0)
    {
      fprintf (stderr, "filbertquay explain: no line names request %s, in %zu lines\n",
               id, lines->count);
      return FQ_EXIT_REFUSED;
    }
  if (end == NULL)
    {
      printf ("missing: the end of the request; the log of the node where it began is "
              "not here, or is cut\n");
      return FQ_EXIT_REFUSED;
    }
  fq_event_line_get (end, "outcome", outcome, sizeof outcome);
  printf ("outcome: %s, status %ld, after %ld ms, from node %s\n", outcome,
          fq_event_line_number (end, "status"), fq_event_line_number (end, "took_ms"),
          end->node);
  if (has_failed (end))
    print_cause (lines, end);
  print_beliefs (lines, end);
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
        argp_error (state, "more than %d logs", FQ_LOGS_MAX);
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
    .doc = "Join the lines of all nodes about one request to a timeline, and name the "
           "cause of its end.\v" FQ_CLI_EXIT_DOC,
  };
  static options_t options;
  fq_event_lines_t lines = { 0 };
  int rc = FQ_EXIT_REFUSED;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  for (size_t i = 0; i < options.path_count; i++)
    {
      if (fq_event_lines_read (&lines, options.paths[i]) < 0)
        {
          fprintf (stderr, "filbertquay explain: %s\n", fq_error_last ()->message);
          goto done;
        }
    }
  if (lines.foreign > 0)
    fprintf (stderr, "filbertquay explain: %zu lines are cut or no node's\n",
             lines.foreign);
  fq_event_lines_sort (&lines);
  rc = explain (&lines, options.id);
done:
  fq_event_lines_clear (&lines);
  return rc;
}
