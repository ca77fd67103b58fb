#include "cli/operator_print.h"

#include <stdlib.h>
#include <time.h>

#define FQ_PRINT_TIME_BYTES 32

/* The text of the field @name; empty when there is none. */
static const char *
get_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text == NULL ? "" : text;
}

/* The integer of the field @name; 0 when there is none. */
static long long
get_integer (const json_t *object, const char *name)
{
  return (long long)json_integer_value (json_object_get (object, name));
}

void
fq_cli_print_ticket (const json_t *answer, FILE *to)
{
  json_dumpf (answer, to, JSON_INDENT (2));
  fputc ('\n', to);
}

void
fq_cli_print_tickets (const json_t *answer, FILE *to)
{
  fq_cli_print_ticket (answer, to);
}

static void
print_gate (const json_t *gate, FILE *to)
{
  if (gate == NULL)
    return;
  fprintf (to, "gate of %s: %s, limit %lld, in flight %lld, queued %lld, sheds %s\n",
           get_text (gate, "service"),
           json_is_true (json_object_get (gate, "ready")) ? "ready" : "not ready",
           get_integer (gate, "limit"), get_integer (gate, "in_flight"),
           get_integer (gate, "queued"), get_text (gate, "sheds"));
}

/* The sum of an object of counts by cause. */
static long long
sum_counts (const json_t *causes)
{
  const char *cause;
  const json_t *count;
  long long sum = 0;

  json_object_foreach ((json_t *)causes, cause, count)
  {
    sum += (long long)json_integer_value (count);
  }
  return sum;
}

void
fq_cli_print_status (const json_t *answer, FILE *to)
{
  const json_t *ticket = json_object_get (answer, "ticket");
  size_t index;
  const json_t *call;

  fprintf (to, "node %s in %s%s; %lld nodes known; ticket %lld%s\n",
           get_text (answer, "node"), get_text (answer, "failure_domain"),
           json_is_true (json_object_get (answer, "stopping")) ? ", stopping" : "",
           get_integer (answer, "nodes"), get_integer (ticket, "number"),
           json_is_true (json_object_get (ticket, "confirmed")) ? ""
                                                                : " (not confirmed)");
  print_gate (json_object_get (answer, "gate"), to);
  fprintf (to, "%-32s %-10s %10s %10s %10s %10s %10s\n", "service", "class", "whole",
           "not-run", "unknown", "p50_ms", "p99_ms");
  json_array_foreach (json_object_get (answer, "calls"), index, call)
  {
    fprintf (to, "%-32s %-10s %10lld %10lld %10lld %10.2f %10.2f\n",
             get_text (call, "service"), get_text (call, "class"),
             get_integer (call, "whole"), sum_counts (json_object_get (call, "not_run")),
             sum_counts (json_object_get (call, "unknown")),
             (double)get_integer (call, "p50_us") / 1000,
             (double)get_integer (call, "p99_us") / 1000);
  }
}

static void
print_time (long long wall_ms, FILE *to)
{
  time_t seconds = (time_t)(wall_ms / 1000);
  char text[FQ_PRINT_TIME_BYTES];
  struct tm utc;

  gmtime_r (&seconds, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  fprintf (to, "%s", text);
}

void
fq_cli_print_events (const json_t *answer, FILE *to)
{
  size_t index;
  const json_t *event;

  json_array_foreach (json_object_get (answer, "events"), index, event)
  {
    print_time (get_integer (event, "wall_ms"), to);
    fprintf (to, " %-9s %-28s %-16s %6lld  %s\n", get_text (event, "kind"),
             get_text (event, "service"), get_text (event, "cause"),
             get_integer (event, "count"), get_text (event, "text"));
  }
}

static void
print_burn (const json_t *line, FILE *to)
{
  size_t index;
  const json_t *cause;

  fprintf (to, "%-28s %-9s %6.2f%% in %-6lld %10lld %8.2f%% %8.2f %8.2f ",
           get_text (line, "service"), get_text (line, "class"),
           json_number_value (json_object_get (line, "target_percent")),
           get_integer (line, "latency_ms"), get_integer (line, "calls"),
           json_number_value (json_object_get (line, "budget_left_percent")),
           json_number_value (json_object_get (line, "burn_short")),
           json_number_value (json_object_get (line, "burn_long")));
  json_array_foreach (json_object_get (line, "causes"), index, cause)
  {
    fprintf (to, " %s:%lld", get_text (cause, "cause"), get_integer (cause, "count"));
  }
  fputc ('\n', to);
}

void
fq_cli_print_burn (const json_t *answer, FILE *to)
{
  size_t index;
  const json_t *line;
  const char *missing = json_string_value (json_object_get (answer, "missing"));

  fprintf (to, "%-28s %-9s %17s %10s %9s %8s %8s  %s\n", "service", "class",
           "objective (ms)", "calls_24h", "budget", "burn_10m", "burn_1h", "main causes");
  json_array_foreach (json_object_get (answer, "lines"), index, line)
  {
    print_burn (line, to);
  }
  if (missing != NULL)
    fprintf (to, "Missing: %s\n", missing);
}
