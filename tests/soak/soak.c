/**
 * DOC: A randomized soak: real processes on loopback, faults from outside, and the
 * promises checked from what clients and servers see.
 *
 * usage: fq-soak BUILD SEED SECONDS [NODES]. Two machines of service "front", the others
 * of "back"; a proxy stands before each server and before the store. Faults come in
 * series and overlap: processes are killed, stopped gracefully, paused and restarted,
 * servers drain, connections are delayed, reset, cut one way or silenced, the store
 * refuses, the configuration changes. Exit status 0: every promise held. All processes
 * that it started are ended by their ids. The same seed gives the same faults at the same
 * times.
 */
#include "soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

soak_t soak;

void
soak_violation (const char *format, ...)
{
  va_list arguments;

  soak.violations++;
  printf ("VIOLATION: ");
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  putchar ('\n');
}

double
soak_elapsed (void)
{
  return ev_now (soak.loop) - soak.began;
}

static void
on_time_up (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (running, EVBREAK_ALL);
}

static void
run_for (double seconds)
{
  ev_timer timer;

  ev_now_update (soak.loop);
  ev_timer_init (&timer, on_time_up, seconds, 0.);
  ev_timer_start (soak.loop, &timer);
  ev_run (soak.loop, 0);
  ev_timer_stop (soak.loop, &timer);
}

/* SIGCHLD is not used: a process that ended by itself is a finding. */
static void
check_alive (void)
{
  for (size_t i = 0; i < soak.machine_count; i++)
    {
      pid_t pid = soak.machines[i].node.pid;

      if (pid != 0 && waitpid (pid, NULL, WNOHANG) == pid)
        {
          soak_violation ("node %zu ended by itself", i);
          soak.machines[i].node.pid = 0;
        }
    }
}

static void
run (double seconds)
{
  ev_timer sender;
  ev_timer fault;

  soak.faults_end = seconds;
  soak.all_end = seconds + GRACE_SECONDS + CALM_SECONDS + RECOVERY_SECONDS;
  run_for (0.5);
  soak_write_config ();
  run_for (2);
  soak.began = ev_now (soak.loop);
  ev_timer_init (&sender, soak_on_send, 0., 1.0 / REQUESTS_PER_SECOND);
  ev_timer_start (soak.loop, &sender);
  ev_timer_init (&fault, soak_on_fault, 1., 0.);
  ev_timer_start (soak.loop, &fault);
  run_for (soak.all_end + CLIENT_TIMEOUT_MS / 1000.0 + 0.5);
  ev_timer_stop (soak.loop, &sender);
  check_alive ();
}

int
main (int argc, char **argv)
{
  if (argc < 4 || argc > 5)
    {
      fprintf (stderr, "usage: fq-soak BUILD SEED SECONDS [NODES]\n");
      return 2;
    }
  soak.build = argv[1];
  soak.chance.state = strtoull (argv[2], NULL, 10);
  soak.machine_count = argc == 5 ? strtoull (argv[4], NULL, 10) : NODES_DEFAULT;
  if (soak.machine_count < FRONTS + 2 || soak.machine_count > NODES_MAX)
    {
      fprintf (stderr, "fq-soak: %d to %d nodes\n", FRONTS + 2, NODES_MAX);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  soak.base_port = 20000 + (int)((getpid () * 10) % 10000);
  snprintf (soak.folder, sizeof soak.folder, "/tmp/fq-soak-%d", (int)getpid ());
  if (mkdir (soak.folder, 0700) < 0)
    return 1;
  soak.loop = ev_default_loop (0);
  if (fq_io_open (&soak.io, soak.loop) < 0)
    return 1;
  printf ("seed=%s seconds=%s nodes=%zu logs=%s\n", argv[2], argv[3], soak.machine_count,
          soak.folder);
  soak_start_all ();
  run (strtod (argv[3], NULL));
  soak_end_all ();
  soak_read_server_logs ();
  soak_judge ();
  return soak.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
