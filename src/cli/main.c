/**
 * DOC: filbertquay, the command line: picks the command by its first word.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define FQ_COMMAND_NAME_BYTES 64

/* Reports are told apart by the second word: one asks a node, the other reads logs. */
static int
report (int argc, char **argv)
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
  { "report", report },
  { "check-settings", fq_cli_check_settings },
  { "load", fq_cli_load },
  { "explain", fq_cli_explain },
};

typedef struct
{
  int first; /* index of the command's name in argv */
} choice_t;

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  choice_t *choice = state->input;

  (void)argument;
  switch (key)
    {
    case ARGP_KEY_ARG:
      choice->first = state->next - 1;
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
    .doc = "Drive filbertquay's nodes and read what they did."
           "\v"
           "Commands:\n"
           "  ticket file FILE     file a change ticket\n"
           "  ticket show ID       show one ticket\n"
           "  ticket list          list tickets\n"
           "  status               what the node knows and does now\n"
           "  events               recent refusals, ejections and changes, with causes\n"
           "  report burn          service-level burn by service and class\n"
           "  report day LOG...    refusals, retries, drains and configurations by time\n"
           "  check-settings FILE  check a node's settings\n"
           "  load                 send requests at a planned rate\n"
           "  explain ID LOG...    what became of a request, from the logs of nodes\n"
           "\n"
           "COMMAND --help explains each.\n"
           "\n" FQ_CLI_EXIT_DOC,
  };
  choice_t choice = { 0 };

  argp_err_exit_status = FQ_EXIT_USAGE;
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &choice);
  return run_command (argc - choice.first, argv + choice.first);
}
