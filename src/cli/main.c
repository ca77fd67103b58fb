/**
 * DOC: filbertquay, the command line: runs the command that the first argument names.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define FQ_COMMAND_NAME_BYTES 64

/* "report burn" queries a node, "report day" reads log files. */
static int
run_report (int argc, char **argv)
{
  static char name[] = "filbertquay report day";

  if (argc < 2 || strcmp (argv[1], "day") != 0)
    return fq_cli_report_burn (argc, argv);
  argv[1] = name;
  return fq_cli_report_day (argc - 1, argv + 1);
}

static const fq_cli_command_t commands[] = {
  { "ticket", fq_cli_ticket },
  { "status", fq_cli_status },
  { "events", fq_cli_events },
  { "report", run_report },
  { "check-settings", fq_cli_check_settings },
  { "load", fq_cli_load },
  { "explain", fq_cli_explain },
};

typedef struct
{
  int command_index; /* of the command's name in argv */
} command_line_t;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  command_line_t *command_line = state->input;

  (void)argument;
  switch (key)
    {
    case ARGP_KEY_ARG:
      command_line->command_index = state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
run_command (int argc, char **argv)
{
  char name[FQ_COMMAND_NAME_BYTES];

  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    {
      if (strcmp (commands[i].name, argv[0]) != 0)
        continue;
      snprintf (name, sizeof name, "filbertquay %s", argv[0]);
      argv[0] = name;
      return commands[i].run (argc, argv);
    }
  fprintf (stderr, "filbertquay: no such command: %s\n", argv[0]);
  return FQ_EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse_option,
    .args_doc = "COMMAND [OPTION...]",
    .doc
    = "Query and operate the nodes of filbertquay, and read their logs."
      "\v"
      "Commands:\n"
      "  ticket file FILE     file a change ticket\n"
      "  ticket show ID       show one ticket\n"
      "  ticket list          list tickets\n"
      "  status               the state of the node\n"
      "  events               recent refusals, ejections and changes, with causes\n"
      "  report burn          error-budget burn rate by service and class\n"
      "  report day LOG...    requests, refusals, retries, drains and configurations,\n"
      "                       from the logs of nodes\n"
      "  check-settings FILE  check a node's settings file\n"
      "  load                 send requests at a planned rate\n"
      "  explain ID LOG...    timeline and cause of one request, from the logs of\n"
      "                       nodes\n"
      "\n"
      "COMMAND --help describes a command.\n"
      "\n" FQ_CLI_EXIT_DOC,
  };
  command_line_t command_line = { 0 };

  argp_err_exit_status = FQ_EXIT_USAGE;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &command_line);
  return run_command (argc - command_line.command_index,
                      argv + command_line.command_index);
}
