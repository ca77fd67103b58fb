/**
 * DOC: filbertquayd, the node that runs beside each upstream.
 *
 * The first SIGTERM or SIGINT begins a graceful shutdown; a second one, or the limit in
 * the settings, ends the process with what was still in flight.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "net/log.h"
#include "net/shell.h"

#define FQ_EXIT_USAGE 2

typedef struct
{
  const char *path;
  bool check;
} options_t;

static volatile sig_atomic_t stop_requests;

static void
on_signal (int number)
{
  (void)number;
  stop_requests++;
}

static void
catch_signals (void)
{
  struct sigaction action = { .sa_handler = on_signal };

  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static time_t
seconds_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec;
}

static int
serve (fq_shell_t *shell)
{
  time_t limit = 0;

  while (!shell->stopped)
    {
      if (lws_service (shell->context, 0) < 0)
        return EXIT_FAILURE;
      if (stop_requests > 0 && limit == 0)
        {
          limit = seconds_now () + (time_t)shell->settings->stop_seconds;
          fq_shell_begin_shutdown (shell);
        }
      if (stop_requests > 1 || (limit > 0 && seconds_now () > limit))
        {
          fq_shell_log_unfinished (shell);
          return EXIT_FAILURE;
        }
    }
  return EXIT_SUCCESS;
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  options_t *options = state->input;

  switch (key)
    {
    case 'c':
      options->check = true;
      return 0;
    case ARGP_KEY_ARG:
      if (options->path != NULL)
        argp_usage (state);
      options->path = argument;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
read_arguments (options_t *options, int argc, char **argv)
{
  static const struct argp_option table[] = {
    { "check", 'c', NULL, 0, "Check the settings, print all faults, and end", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = table,
    .parser = parse_option,
    .args_doc = "SETTINGS",
    .doc = "The node that runs beside an upstream."
           "\vExit status: 0 after a graceful shutdown or a check without faults, 1 when "
           "it failed or was cut short, 2 wrong usage.",
  };

  argp_err_exit_status = FQ_EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, options);
}

int
main (int argc, char **argv)
{
  static fq_settings_t settings;
  options_t options = { 0 };
  fq_shell_t *shell = NULL;
  int rc;

  read_arguments (&options, argc, argv);
  catch_signals ();
  if (fq_settings_load (&settings, options.path) < 0)
    goto fail;
  if (options.check)
    {
      printf ("%s: no faults\n", options.path);
      return EXIT_SUCCESS;
    }
  if (fq_log_open ((fq_log_level_t)settings.log_level) < 0
      || fq_shell_new (&shell, &settings) < 0)
    goto fail;
  rc = serve (shell);
  fq_shell_free (shell);
  fq_log_close ();
  return rc;

fail:
  fprintf (stderr, "filbertquayd: %s\n", fq_error_last ()->message);
  return EXIT_FAILURE;
}
