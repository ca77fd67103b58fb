/**
 * DOC: Fault injection of the soak: begins random faults on random machines, and ends
 * them.
 */
#include "soak.h"

#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#define GROUP_FAULTS_MAX 6
#define NODE_START_MS 200
#define LEAVE_AFTER_RESTART_ONE_IN 2 /* restarts of nodes */
#define LEAVE_AFTER_RESTART_SECONDS 0.15
#define LIMIT_SECONDS 8.0 /* longer than the window in which a limit is judged */

/** fault_kind_t - what soak_on_fault_timer() may begin; in the order of fault_names. */
typedef enum
{
  FAULT_NODE_KILL,
  FAULT_NODE_STOP, /* SIGTERM */
  FAULT_NODE_PAUSE,
  FAULT_NODE_HANGUP, /* SIGHUP: the node reloads its settings */
  FAULT_SERVER_KILL,
  FAULT_SERVER_DRAIN,
  FAULT_SERVER_PAUSE,
  FAULT_SERVER_LIMIT,      /* the server states a rate limit */
  FAULT_SERVER_LEAVING,    /* it says that it leaves, in its answers alone */
  FAULT_SERVER_DEREGISTER, /* it leaves without a report, with or without a start time */
  FAULT_OTHER_REPORT,      /* of another writer, which names another service */
  FAULT_PROXY_DELAY,
  FAULT_PROXY_RESET,
  FAULT_PROXY_SILENCE,
  FAULT_PROXY_ONE_WAY,
  FAULT_STORE_REFUSES,
  FAULT_STORE_SILENT,
  FAULT_STORE_RESTORE, /* it comes back from a copy of the beginning of the fault */
  FAULT_CONFIG,
  FAULT_COUNT,
} fault_kind_t;

static const char *const fault_names[FAULT_COUNT] = {
  "node-kill",     "node-stop",    "node-pause",    "node-hangup",    "server-kill",
  "server-drain",  "server-pause", "server-limit",  "server-leaving", "server-deregister",
  "other-report",  "proxy-delay",  "proxy-reset",   "proxy-silence",  "proxy-oneway",
  "store-refuses", "store-silent", "store-restore", "config",
};

/* A fault that has begun; the timer ends it. */
typedef struct
{
  ev_timer timer;
  fault_kind_t kind;
  size_t machine;
} active_fault_t;

static void start_fault (fault_kind_t kind, size_t machine);

static void
on_leave_timer (struct ev_loop *running, ev_timer *timer, int events)
{
  (void)running;
  (void)events;
  start_fault (FAULT_SERVER_DEREGISTER, (size_t)(uintptr_t)timer->data);
  free (timer);
}

/* Some servers leave when the node has found them by a health check, and has had no
 * report of them yet. */
static void
restart_node (size_t machine)
{
  ev_timer *timer;

  soak_start_node (machine);
  if (soak_elapsed_seconds () >= soak.faults_end_seconds
      || fq_random_below (&soak.random, LEAVE_AFTER_RESTART_ONE_IN) != 0)
    return;
  timer = malloc (sizeof *timer);
  if (timer == NULL)
    abort ();
  ev_timer_init (timer, on_leave_timer, LEAVE_AFTER_RESTART_SECONDS, 0.);
  timer->data = (void *)(uintptr_t)machine;
  ev_timer_start (soak.loop, timer);
}

static void
end_fault (const active_fault_t *fault)
{
  machine_t *machine = &soak.machines[fault->machine];

  switch (fault->kind)
    {
    case FAULT_NODE_KILL:
      restart_node (fault->machine);
      break;
    case FAULT_NODE_STOP:
      soak_end_process (&machine->node, SIGKILL);
      restart_node (fault->machine);
      break;
    case FAULT_NODE_PAUSE:
      soak_signal (&machine->node, SIGCONT);
      machine->node_paused = false;
      soak_disturb (fault->machine);
      break;
    case FAULT_SERVER_LIMIT:
      soak_control (machine->server_client, "/control/");
      break;
    case FAULT_STORE_RESTORE:
      soak_control (soak.store_client, "/standin/restore");
      break;
    case FAULT_SERVER_KILL:
    case FAULT_SERVER_DRAIN:
    case FAULT_SERVER_LEAVING:
    case FAULT_SERVER_DEREGISTER:
      soak_end_process (&machine->server, SIGKILL);
      soak_start_server (fault->machine);
      break;
    case FAULT_SERVER_PAUSE:
      soak_signal (&machine->server, SIGCONT);
      break;
    case FAULT_PROXY_DELAY:
    case FAULT_PROXY_RESET:
    case FAULT_PROXY_SILENCE:
    case FAULT_PROXY_ONE_WAY:
      soak_send_command (&machine->proxy, "pass\n");
      break;
    case FAULT_STORE_REFUSES:
      soak_signal (&soak.store, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      soak_send_command (&soak.store_proxy, "pass\n");
      break;
    case FAULT_NODE_HANGUP:
    case FAULT_OTHER_REPORT:
    case FAULT_CONFIG:
    case FAULT_COUNT:
      break;
    }
}

static size_t active_fault_count;

/* By kind and machine; a kind is not begun on a machine while it is active there. */
static bool is_active[FAULT_COUNT][MACHINES_MAX];

static void
on_fault_end (struct ev_loop *running, ev_timer *timer, int events)
{
  active_fault_t *fault = timer->data;

  (void)running;
  (void)events;
  end_fault (fault);
  is_active[fault->kind][fault->machine] = false;
  active_fault_count--;
  free (fault);
}

/* Faults of the same process exclude each other; those of different ones may overlap. */
static bool
conflicts_with_active_fault (fault_kind_t kind, size_t machine)
{
  static const fault_kind_t groups[][GROUP_FAULTS_MAX] = {
    { FAULT_NODE_KILL, FAULT_NODE_STOP, FAULT_NODE_PAUSE, FAULT_NODE_HANGUP,
      FAULT_NODE_HANGUP, FAULT_NODE_HANGUP },
    { FAULT_SERVER_KILL, FAULT_SERVER_DRAIN, FAULT_SERVER_PAUSE, FAULT_SERVER_LIMIT,
      FAULT_SERVER_LEAVING, FAULT_SERVER_DEREGISTER },
    { FAULT_PROXY_DELAY, FAULT_PROXY_RESET, FAULT_PROXY_SILENCE, FAULT_PROXY_ONE_WAY,
      FAULT_PROXY_ONE_WAY, FAULT_PROXY_ONE_WAY },
    { FAULT_STORE_REFUSES, FAULT_STORE_SILENT, FAULT_STORE_RESTORE, FAULT_STORE_RESTORE,
      FAULT_STORE_RESTORE, FAULT_STORE_RESTORE },
  };

  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    {
      bool is_member = false;
      bool is_group_active = false;

      for (size_t j = 0; j < GROUP_FAULTS_MAX; j++)
        {
          is_member = is_member || groups[i][j] == kind;
          is_group_active = is_group_active || is_active[groups[i][j]][machine];
        }
      if (is_member && is_group_active)
        return true;
    }
  return false;
}

static void
begin_fault (fault_kind_t kind, size_t machine)
{
  machine_t *target = &soak.machines[machine];
  char text[TEXT_BYTES];

  if (kind <= FAULT_NODE_PAUSE)
    {
      soak_check_node (machine);
      soak_disturb (machine);
    }
  switch (kind)
    {
    case FAULT_NODE_KILL:
      soak_end_process (&target->node, SIGKILL);
      break;
    case FAULT_NODE_STOP:
      soak_signal (&target->node, SIGTERM);
      break;
    case FAULT_NODE_PAUSE:
      soak_signal (&target->node, SIGSTOP);
      target->node_paused = true;
      break;
    case FAULT_NODE_HANGUP:
      /* Until a new process has reached its main function, the signal kills it. */
      if (!soak_was_disturbed (machine, soak_monotonic_ms () - NODE_START_MS,
                               soak_monotonic_ms ()))
        soak_signal (&target->node, SIGHUP);
      break;
    case FAULT_SERVER_KILL:
      soak_end_process (&target->server, SIGKILL);
      break;
    case FAULT_SERVER_DRAIN:
      soak_signal (&target->server, SIGTERM);
      break;
    case FAULT_SERVER_PAUSE:
      soak_signal (&target->server, SIGSTOP);
      break;
    case FAULT_SERVER_LIMIT:
      snprintf (text, sizeof text, "/control/Server-Limit=%.1f",
                1 + fq_random_unit (&soak.random) * 9);
      soak_control (target->server_client, text);
      break;
    case FAULT_SERVER_LEAVING:
      soak_control (target->server_client, "/control/Server-Leaving=1");
      break;
    case FAULT_SERVER_DEREGISTER:
      soak_signal (&target->server,
                   fq_random_below (&soak.random, 2) == 0 ? SIGUSR1 : SIGUSR2);
      break;
    case FAULT_OTHER_REPORT:
      soak_report_as_other (machine);
      break;
    case FAULT_STORE_RESTORE:
      soak_control (soak.store_client, "/standin/copy");
      break;
    case FAULT_PROXY_DELAY:
      snprintf (text, sizeof text, "delay %u\n",
                50 + (unsigned int)fq_random_below (&soak.random, 400));
      soak_send_command (&target->proxy, text);
      break;
    case FAULT_PROXY_RESET:
      soak_send_command (&target->proxy, "reset\n");
      break;
    case FAULT_PROXY_SILENCE:
      soak_send_command (&target->proxy, "silence\n");
      break;
    case FAULT_PROXY_ONE_WAY:
      soak_send_command (&target->proxy, "oneway\n");
      break;
    case FAULT_STORE_REFUSES:
      soak_signal (&soak.store, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      soak_send_command (&soak.store_proxy, "silence\n");
      break;
    case FAULT_CONFIG:
      soak_write_config ();
      break;
    case FAULT_COUNT:
      break;
    }
}

static double
fault_seconds (fault_kind_t kind)
{
  switch (kind)
    {
    case FAULT_NODE_STOP:
      return NODE_GRACE_SECONDS;
    case FAULT_SERVER_DRAIN:
      return DRAIN_MS / 1000.0 + 1;
    case FAULT_SERVER_DEREGISTER:
      return DRAIN_MS / 1000.0 + 3;
    case FAULT_SERVER_LEAVING:
      return DRAIN_MS / 1000.0 + 2;
    case FAULT_SERVER_LIMIT:
      return LIMIT_SECONDS;
    default:
      return 0.2 + fq_random_unit (&soak.random) * 2.5;
    }
}

/* Begins a fault, unless one that excludes it is active, and arms the timer that ends it.
 */
static void
start_fault (fault_kind_t kind, size_t machine)
{
  double seconds = fault_seconds (kind);
  active_fault_t *fault;

  if (conflicts_with_active_fault (kind, machine))
    return;
  printf ("%7.3f %s machine=%zu for=%.2f\n", soak_elapsed_seconds (), fault_names[kind],
          machine, seconds);
  soak.fault_count++;
  begin_fault (kind, machine);
  fault = calloc (1, sizeof *fault);
  if (fault == NULL)
    abort ();
  fault->kind = kind;
  fault->machine = machine;
  is_active[kind][machine] = true;
  active_fault_count++;
  ev_timer_init (&fault->timer, on_fault_end, seconds, 0.);
  fault->timer.data = fault;
  ev_timer_start (soak.loop, &fault->timer);
}

void
soak_on_fault_timer (struct ev_loop *running, ev_timer *timer, int events)
{
  fault_kind_t kind = (fault_kind_t)fq_random_below (&soak.random, FAULT_COUNT);
  size_t machine = kind >= FAULT_STORE_REFUSES
                       ? 0
                       : fq_random_below (&soak.random, soak.machine_count);

  (void)events;
  ev_timer_set (timer, 0.05 + fq_random_unit (&soak.random) * 1.2, 0.);
  if (soak_elapsed_seconds () < soak.faults_end_seconds)
    ev_timer_start (running, timer);
  start_fault (kind, machine);
}
