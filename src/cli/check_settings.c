/**
 * DOC: `filbertquay check-settings`: checks a settings file of filbertquayd without
 * starting a node.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cli/cli.h"
#include "filbertquay/settings.h"

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  const char **path = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*path != NULL)
        argp_usage (state);
      *path = argument;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
fq_cli_check_settings (int argc, char **argv)
{
  static const struct argp argp = {
    .parser = parse_option,
    .args_doc = "FILE",
    .doc = "Check a node's settings file and print all faults at once.\v" FQ_CLI_EXIT_DOC,
  };
  static fq_settings_t settings;
  const char *path = NULL;

  argp_parse (&argp, argc, argv, 0, NULL, &path);
  if (fq_settings_load (&settings, path) < 0)
    {
      fprintf (stderr, "%s\n", fq_error_last ()->message);
      return FQ_EXIT_FAILED;
    }
  printf ("%s: no faults\n", path);
  return FQ_EXIT_OK;
}
