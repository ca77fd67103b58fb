/**
 * DOC: filbertquay-node, the sidecar process that runs on the VM of each server of
 * the users' platform.
 *
 * SIGTERM and SIGINT begin a graceful shutdown; SIGHUP reloads the settings.
 */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <ev.h>

#include "filbertquay/errors.h"
#include "node/event_log.h"
#include "node/node.h"

#define FQ_EXIT_USAGE 2
#define FQ_SETTINGS_VARIABLE "FILBERTQUAY_NODE_FILE"

/* Larger blocks are mappings of their own, which end when they are freed. */
#define FQ_MMAP_BYTES (128 * 1024)
#define FQ_TRIM_BYTES                                                                    \
  (2 * 1024 * 1024) /* free memory that the heap may keep at its end */

typedef struct
{
  const char *path;
  bool check;
} options_t;

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
      if (state->arg_num > 0)
        argp_usage (state);
      options->path = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
parse_arguments (options_t *options, int argc, char **argv)
{
  static const struct argp_option table[] = {
    { "check", 'c', NULL, 0, "Check the settings, print all faults and exit", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = table,
    .parser = parse_option,
    .args_doc = "[SETTINGS]",
    .doc = "The node that runs beside a server. Without SETTINGS, reads the file named "
           "by FILBERTQUAY_NODE_FILE."
           "\vExit status: 0 after a graceful shutdown or a check without faults, 1 on "
           "failure, 2 on wrong usage.",
  };

  argp_err_exit_status = FQ_EXIT_USAGE;
  options->path = getenv (FQ_SETTINGS_VARIABLE);
  argp_parse (&argp, argc, argv, 0, NULL, options);
}

static void
on_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)loop;
  (void)events;
  fq_node_begin_shutdown (signal->data);
}

static void
on_reload (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)loop;
  (void)events;
  fq_node_reload (signal->data);
}

/* Before the event loop handles signals and after it, their default action would kill the
 * process: a hangup is not needed yet, and a stop is already under way. */
static void
ignore_signals (bool stop_signals)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGHUP, SIG_IGN);
  if (!stop_signals)
    return;
  signal (SIGTERM, SIG_IGN);
  signal (SIGINT, SIG_IGN);
}

/* Lets the allocator give large blocks back when they are freed, as their memory is
 * counted as free then. By default it raises this size with each block. */
static void
set_up_allocator (void)
{
  if (mallopt (M_MMAP_THRESHOLD, FQ_MMAP_BYTES) == 0
      || mallopt (M_TRIM_THRESHOLD, FQ_TRIM_BYTES) == 0)
    fprintf (stderr, "filbertquay-node: the allocator may keep freed memory\n");
}

static void
run_node (struct ev_loop *loop, fq_node_t *node)
{
  static ev_signal terminate;
  static ev_signal interrupt;
  static ev_signal hangup;

  ev_signal_init (&terminate, on_stop, SIGTERM);
  ev_signal_init (&interrupt, on_stop, SIGINT);
  ev_signal_init (&hangup, on_reload, SIGHUP);
  terminate.data = node;
  interrupt.data = node;
  hangup.data = node;
  ev_signal_start (loop, &terminate);
  ev_signal_start (loop, &interrupt);
  ev_signal_start (loop, &hangup);
  ev_run (loop, 0);
  ignore_signals (true);
}

int
main (int argc, char **argv)
{
  static fq_node_settings_t settings;
  options_t options = { 0 };
  struct ev_loop *loop;
  fq_node_t *node = NULL;

  ignore_signals (false);
  set_up_allocator ();
  parse_arguments (&options, argc, argv);
  if (options.path == NULL)
    {
      fprintf (stderr, "filbertquay-node: no settings file given, see --help\n");
      return FQ_EXIT_USAGE;
    }
  if (fq_node_settings_load (&settings, options.path) < 0)
    goto fail;
  if (options.check)
    {
      printf ("%s: no faults\n", options.path);
      fq_node_settings_clear (&settings);
      return EXIT_SUCCESS;
    }
  loop = ev_default_loop (EVBACKEND_EPOLL);
  if (loop == NULL)
    {
      fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_IO, "can't create an epoll event loop");
      goto fail;
    }
  if (fq_event_log_open (loop, fq_text_label (settings.node), settings.log_level > 0) < 0
      || fq_node_open (&node, loop, &settings, options.path) < 0)
    goto fail;
  run_node (loop, node);
  fq_node_close (node);
  fq_event_log_printf (false, "event=end");
  fq_event_log_close ();
  fq_node_settings_clear (&settings);
  return EXIT_SUCCESS;

fail:
  fprintf (stderr, "filbertquay-node: %s\n", fq_error_last ()->message);
  return EXIT_FAILURE;
}
