/**
 * DOC: `filbertquay report day`: a summary of the logs of all filbertquay-node
 * processes: requests by outcome, refusals by cause, retries, drains and configurations;
 * as text, JSON, or a gnuplot script with its data.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "cli/cli.h"
#include "cli/event_lines.h"
#include "filbertquay/errors.h"
#include "util/text.h"

#define FQ_LOGS_MAX 4096
#define FQ_SECOND_BYTES 20 /* "2026-12-04T01:02:03" with its NUL */
#define FQ_STATUS_SERVER_ERROR 500

/** enum format_t - output format of the report. */
typedef enum
{
  FORMAT_TEXT,
  FORMAT_JSON,
  FORMAT_PLOT,
} format_t;

typedef struct
{
  format_t format;
  const char *paths[FQ_LOGS_MAX];
  size_t path_count;
} options_t;

typedef struct
{
  char name[FQ_EVENT_VALUE_BYTES * 2];
  size_t count;
} tally_entry_t;

/* Counts of names, in the order of their first occurrence. */
typedef struct
{
  tally_entry_t *entries;
  size_t count;
} tally_t;

typedef struct
{
  char second[FQ_SECOND_BYTES];
  size_t answered;
  size_t refused;
  size_t failed;
} second_counts_t;

typedef struct
{
  tally_t outcomes;
  tally_t causes;   /* of requests with another outcome than answered, and their routes */
  tally_t refusals; /* by gates: node and cause */
  tally_t phases;   /* that servers entered: phase and reason */
  tally_t configs;  /* how often each version came into force at a node */
  size_t retries;   /* sum of the field "repeat" of attempts */
  second_counts_t *seconds; /* seconds with a finished request, by time */
  size_t second_count;
} day_t;

static void
count_name (tally_t *tally, const char *name)
{
  tally_entry_t *grown;

  for (size_t i = 0; i < tally->count; i++)
    {
      if (strcmp (tally->entries[i].name, name) == 0)
        {
          tally->entries[i].count++;
          return;
        }
    }
  grown = realloc (tally->entries, (tally->count + 1) * sizeof *grown);
  if (grown == NULL)
    abort ();
  tally->entries = grown;
  grown[tally->count] = (tally_entry_t){ .count = 1 };
  fq_text_copy (grown[tally->count].name, sizeof grown->name, name);
  tally->count++;
}

static void
count_pair (tally_t *tally, const char *first, const char *second)
{
  char name[FQ_EVENT_VALUE_BYTES * 2];

  snprintf (name, sizeof name, "%s %s", first, second);
  count_name (tally, name);
}

/* The counts of the second of @time, which must not be before that of the last call. */
static second_counts_t *
get_second (day_t *day, const char *time)
{
  char text[FQ_SECOND_BYTES];
  second_counts_t *grown;

  fq_text_copy (text, sizeof text, time);
  if (day->second_count > 0
      && strcmp (day->seconds[day->second_count - 1].second, text) == 0)
    return &day->seconds[day->second_count - 1];
  grown = realloc (day->seconds, (day->second_count + 1) * sizeof *grown);
  if (grown == NULL)
    abort ();
  day->seconds = grown;
  grown[day->second_count] = (second_counts_t){ 0 };
  memcpy (grown[day->second_count].second, text, sizeof text);
  return &grown[day->second_count++];
}

static void
add_request_end (day_t *day, const fq_event_line_t *line)
{
  second_counts_t *second = get_second (day, line->time);
  char outcome[FQ_EVENT_VALUE_BYTES];
  char cause[FQ_EVENT_VALUE_BYTES];
  char route[FQ_EVENT_VALUE_BYTES];

  fq_event_line_get (line, "outcome", outcome, sizeof outcome);
  fq_event_line_get (line, "cause", cause, sizeof cause);
  fq_event_line_get (line, "route", route, sizeof route);
  count_name (&day->outcomes, outcome);
  if (strcmp (outcome, "answered") == 0
      && fq_event_line_get_number (line, "status") < FQ_STATUS_SERVER_ERROR)
    second->answered++;
  else if (strcmp (outcome, "not-run") == 0)
    second->refused++;
  else
    second->failed++;
  if (strcmp (outcome, "answered") != 0)
    count_pair (&day->causes, cause, route);
}

static void
add_line (day_t *day, const fq_event_line_t *line)
{
  char first[FQ_EVENT_VALUE_BYTES];
  char second[FQ_EVENT_VALUE_BYTES];

  if (fq_event_line_is (line, "request-end"))
    add_request_end (day, line);
  else if (fq_event_line_is (line, "attempt"))
    day->retries += (size_t)fq_event_line_get_number (line, "repeat");
  else if (fq_event_line_is (line, "gate-refused"))
    {
      fq_event_line_get (line, "cause", first, sizeof first);
      count_pair (&day->refusals, line->node, first);
    }
  else if (fq_event_line_is (line, "server-phase"))
    {
      fq_event_line_get (line, "to", first, sizeof first);
      fq_event_line_get (line, "reason", second, sizeof second);
      count_pair (&day->phases, first, second);
    }
  else if (fq_event_line_is (line, "config-in-force"))
    {
      fq_event_line_get (line, "version", first, sizeof first);
      count_name (&day->configs, first);
    }
}

static void
print_tally (const char *title, const tally_t *tally)
{
  printf ("%s\n", title);
  for (size_t i = 0; i < tally->count; i++)
    printf ("  %8zu  %s\n", tally->entries[i].count, tally->entries[i].name);
}

static void
print_text (const day_t *day)
{
  print_tally ("requests, by outcome", &day->outcomes);
  print_tally ("not answered, by cause and route", &day->causes);
  print_tally ("refused by gates, by node and cause", &day->refusals);
  printf ("repeats at servers\n  %8zu\n", day->retries);
  print_tally ("servers, by phase entered and reason", &day->phases);
  print_tally ("configurations, by nodes that took each version", &day->configs);
}

static json_t *
json_from_tally (const tally_t *tally)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < tally->count; i++)
    json_object_set_new (object, tally->entries[i].name,
                         json_integer ((json_int_t)tally->entries[i].count));
  return object;
}

static void
print_json (const day_t *day)
{
  json_t *seconds = json_array ();
  json_t *root;

  for (size_t i = 0; i < day->second_count; i++)
    json_array_append_new (
        seconds, json_pack ("{s:s,s:I,s:I,s:I}", "second", day->seconds[i].second,
                            "answered", (json_int_t)day->seconds[i].answered, "refused",
                            (json_int_t)day->seconds[i].refused, "failed",
                            (json_int_t)day->seconds[i].failed));
  root = json_pack ("{s:o,s:o,s:o,s:I,s:o,s:o,s:o}", "outcomes",
                    json_from_tally (&day->outcomes), "causes",
                    json_from_tally (&day->causes), "refusals",
                    json_from_tally (&day->refusals), "repeats", (json_int_t)day->retries,
                    "servers", json_from_tally (&day->phases), "configurations",
                    json_from_tally (&day->configs), "seconds", seconds);
  json_dumpf (root, stdout, JSON_INDENT (1));
  putchar ('\n');
  json_decref (root);
}

static void
print_plot (const day_t *day)
{
  printf (
      "set terminal svg size 900,400\nset key outside\nset ylabel 'requests a second'\n"
      "set xlabel 'seconds from the first line'\n$seconds << END\n");
  for (size_t i = 0; i < day->second_count; i++)
    printf ("%zu %zu %zu %zu\n", i, day->seconds[i].answered, day->seconds[i].refused,
            day->seconds[i].failed);
  printf ("END\nplot $seconds using 1:2 with lines title 'answered', "
          "$seconds using 1:3 with lines title 'refused', "
          "$seconds using 1:4 with lines title 'failed'\n");
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'j':
      options->format = FORMAT_JSON;
      return 0;
    case 'p':
      options->format = FORMAT_PLOT;
      return 0;
    case ARGP_KEY_ARG:
      if (options->path_count == FQ_LOGS_MAX)
        argp_error (state, "more than %d log files", FQ_LOGS_MAX);
      options->paths[options->path_count++] = argument;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_day (const day_t *day, format_t format)
{
  switch (format)
    {
    case FORMAT_TEXT:
      print_text (day);
      break;
    case FORMAT_JSON:
      print_json (day);
      break;
    case FORMAT_PLOT:
      print_plot (day);
      break;
    }
}

static void
clear_day (day_t *day)
{
  free (day->outcomes.entries);
  free (day->causes.entries);
  free (day->refusals.entries);
  free (day->phases.entries);
  free (day->configs.entries);
  free (day->seconds);
}

int
fq_cli_report_day (int argc, char **argv)
{
  static const struct argp_option table[] = {
    { "json", 'j', NULL, 0, "Write JSON", 0 },
    { "plot", 'p', NULL, 0, "Write a gnuplot script that plots requests per second", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = table,
    .parser = parse_option,
    .args_doc = "LOG...",
    .doc = "Summarize the logs of nodes.\v" FQ_CLI_EXIT_DOC,
  };
  static options_t options;
  static day_t day;
  fq_event_lines_t lines = { 0 };
  int rc = FQ_EXIT_FAILED;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  for (size_t i = 0; i < options.path_count; i++)
    {
      if (fq_event_lines_read (&lines, options.paths[i]) < 0)
        {
          fprintf (stderr, "filbertquay report day: %s\n", fq_error_last ()->message);
          goto done;
        }
    }
  fq_event_lines_sort (&lines);
  for (size_t i = 0; i < lines.count; i++)
    add_line (&day, &lines.lines[i]);
  print_day (&day, options.format);
  rc = FQ_EXIT_OK;
done:
  clear_day (&day);
  fq_event_lines_clear (&lines);
  return rc;
}
