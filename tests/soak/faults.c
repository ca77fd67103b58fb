/**
 * DOC: The faults of the soak: what happens, to which machine, and its end.
 */
#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/** fault_kind_t - what may happen. */
typedef enum
{
  FAULT_NODE_KILL,
  FAULT_NODE_STOP, /* SIGTERM */
  FAULT_NODE_PAUSE,
  FAULT_NODE_HANGUP,
  FAULT_SERVER_KILL,
  FAULT_SERVER_DRAIN,
  FAULT_SERVER_PAUSE,
  FAULT_PROXY_DELAY,
  FAULT_PROXY_RESET,
  FAULT_PROXY_SILENCE,
  FAULT_PROXY_ONE_WAY,
  FAULT_STORE_REFUSES,
  FAULT_STORE_SILENT,
  FAULT_CONFIG,
  FAULT_COUNT,
} fault_kind_t;

static const char *const fault_names[FAULT_COUNT] = {
  "node-kill",    "node-stop",     "node-pause",   "node-hangup", "server-kill",
  "server-drain", "server-pause",  "proxy-delay",  "proxy-reset", "proxy-silence",
  "proxy-oneway", "store-refuses", "store-silent", "config",
};

/* A fault that ends at a set time. */
typedef struct
{
  ev_timer timer;
  fault_kind_t kind;
  size_t machine;
} ongoing_t;

static void
end_fault (const ongoing_t *fault)
{
  machine_t *machine = &soak.machines[fault->machine];

  switch (fault->kind)
    {
    case FAULT_NODE_KILL:
      soak_start_node (fault->machine);
      break;
    case FAULT_NODE_STOP:
      soak_end_process (&machine->node, SIGKILL);
      soak_start_node (fault->machine);
      break;
    case FAULT_NODE_PAUSE:
      if (machine->node.pid != 0)
        kill (machine->node.pid, SIGCONT);
      machine->node_paused = false;
      break;
    case FAULT_SERVER_KILL:
    case FAULT_SERVER_DRAIN:
      soak_end_process (&machine->server, SIGKILL);
      soak_start_server (fault->machine);
      break;
    case FAULT_SERVER_PAUSE:
      if (machine->server.pid != 0)
        kill (machine->server.pid, SIGCONT);
      break;
    case FAULT_PROXY_DELAY:
    case FAULT_PROXY_RESET:
    case FAULT_PROXY_SILENCE:
    case FAULT_PROXY_ONE_WAY:
      soak_command (&machine->proxy, "pass\n");
      break;
    case FAULT_STORE_REFUSES:
      kill (soak.store.pid, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      soak_command (&soak.store_proxy, "pass\n");
      break;
    case FAULT_NODE_HANGUP:
    case FAULT_CONFIG:
    case FAULT_COUNT:
      break;
    }
}

static size_t ongoing_count;

static bool busy[FAULT_COUNT][NODES_MAX]; /* the same fault of a machine is not nested */

static void
on_fault_end (struct ev_loop *running, ev_timer *timer, int events)
{
  ongoing_t *fault = timer->data;

  (void)running;
  (void)events;
  end_fault (fault);
  busy[fault->kind][fault->machine] = false;
  ongoing_count--;
  free (fault);
}

/* Faults of one process exclude each other; those of different ones overlap. */
static bool
is_excluded (fault_kind_t kind, size_t machine)
{
  static const fault_kind_t groups[][4] = {
    { FAULT_NODE_KILL, FAULT_NODE_STOP, FAULT_NODE_PAUSE, FAULT_NODE_HANGUP },
    { FAULT_SERVER_KILL, FAULT_SERVER_DRAIN, FAULT_SERVER_PAUSE, FAULT_SERVER_PAUSE },
    { FAULT_PROXY_DELAY, FAULT_PROXY_RESET, FAULT_PROXY_SILENCE, FAULT_PROXY_ONE_WAY },
    { FAULT_STORE_REFUSES, FAULT_STORE_SILENT, FAULT_STORE_SILENT, FAULT_STORE_SILENT },
  };

  for (size_t i = 0; i < sizeof groups / sizeof groups[0]; i++)
    {
      bool is_in = false;
      bool is_busy = false;

      for (size_t j = 0; j < 4; j++)
        {
          is_in = is_in || groups[i][j] == kind;
          is_busy = is_busy || busy[groups[i][j]][machine];
        }
      if (is_in && is_busy)
        return true;
    }
  return false;
}

static void
apply_fault (fault_kind_t kind, size_t machine)
{
  machine_t *victim = &soak.machines[machine];
  char text[ID_BYTES];

  switch (kind)
    {
    case FAULT_NODE_KILL:
      soak_end_process (&victim->node, SIGKILL);
      break;
    case FAULT_NODE_STOP:
      kill (victim->node.pid, SIGTERM);
      break;
    case FAULT_NODE_PAUSE:
      kill (victim->node.pid, SIGSTOP);
      victim->node_paused = true;
      break;
    case FAULT_NODE_HANGUP:
      kill (victim->node.pid, SIGHUP);
      break;
    case FAULT_SERVER_KILL:
      soak_end_process (&victim->server, SIGKILL);
      break;
    case FAULT_SERVER_DRAIN:
      kill (victim->server.pid, SIGTERM);
      break;
    case FAULT_SERVER_PAUSE:
      kill (victim->server.pid, SIGSTOP);
      break;
    case FAULT_PROXY_DELAY:
      snprintf (text, sizeof text, "delay %u\n",
                50 + (unsigned int)fq_random_below (&soak.chance, 400));
      soak_command (&victim->proxy, text);
      break;
    case FAULT_PROXY_RESET:
      soak_command (&victim->proxy, "reset\n");
      break;
    case FAULT_PROXY_SILENCE:
      soak_command (&victim->proxy, "silence\n");
      break;
    case FAULT_PROXY_ONE_WAY:
      soak_command (&victim->proxy, "oneway\n");
      break;
    case FAULT_STORE_REFUSES:
      kill (soak.store.pid, SIGUSR1);
      break;
    case FAULT_STORE_SILENT:
      soak_command (&soak.store_proxy, "silence\n");
      break;
    case FAULT_CONFIG:
      soak_write_config ();
      break;
    case FAULT_COUNT:
      break;
    }
}

static double
length_of (fault_kind_t kind)
{
  switch (kind)
    {
    case FAULT_NODE_STOP:
      return GRACE_SECONDS;
    case FAULT_SERVER_DRAIN:
      return DRAIN_MS / 1000.0 + 1;
    default:
      return 0.2 + fq_random_unit (&soak.chance) * 2.5;
    }
}

void
soak_on_fault (struct ev_loop *running, ev_timer *timer, int events)
{
  fault_kind_t kind = (fault_kind_t)fq_random_below (&soak.chance, FAULT_COUNT);
  size_t machine = kind >= FAULT_STORE_REFUSES
                       ? 0
                       : fq_random_below (&soak.chance, soak.machine_count);
  double length = length_of (kind);
  ongoing_t *fault;

  (void)events;
  ev_timer_set (timer, 0.05 + fq_random_unit (&soak.chance) * 1.2, 0.);
  if (soak_elapsed () < soak.faults_end)
    ev_timer_start (running, timer);
  if (is_excluded (kind, machine))
    return;
  printf ("%7.3f %s machine=%zu for=%.2f\n", soak_elapsed (), fault_names[kind], machine,
          length);
  soak.faults++;
  apply_fault (kind, machine);
  fault = calloc (1, sizeof *fault);
  if (fault == NULL)
    abort ();
  fault->kind = kind;
  fault->machine = machine;
  busy[kind][machine] = true;
  ongoing_count++;
  ev_timer_init (&fault->timer, on_fault_end, length, 0.);
  fault->timer.data = fault;
  ev_timer_start (running, &fault->timer);
}
