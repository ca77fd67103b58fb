/**
 * DOC: Planned stop of a machine while a server reads an upload slowly.
 *
 * usage: slow-reader RECORD TROUBLE. Machine 1 runs service "front", machines 2 and 3 run
 * "back". A client of machine 1 sends an upload of 360,000 bytes, and SIGTERM follows
 * while the server works on it. With TROUBLE 1 the server pauses in the body, with 0 it
 * reads the body at once and works for as long in all.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define BODY_BYTES 360000 /* the largest upload of the sheets */
#define PAUSE_MS 2900
#define REST_MS 300
#define TIME_LIMIT_MS 4000 /* of an upload at the grown installation */
#define DRAIN_MS 2500      /* of that installation */
#define ROUNDS 4
#define SLOTS_MS 1500 /* after the start of a node, until clients come */

static void
put_config (void)
{
  lab_store_put (
      "op", "config",
      "{\"version\":3,\"services\":[{\"name\":\"front\",\"health_path\":\"/"
      "healthz\",\"max_connections\":724},"
      "{\"name\":\"back\",\"health_path\":\"/healthz\",\"max_connections\":724}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_"
      "timeout\":\"3000ms\","
      "\"idle_timeout\":\"15000ms\"},\"virtual_hosts\":[{\"host\":\"hulo84.example\","
      "\"paths\":["
      "{\"name\":\"r-upload\",\"prefix\":\"/up/"
      "\",\"route_type\":\"upload\",\"timeout\":\"4000ms\","
      "\"target_latency\":\"1000ms\",\"priority\":1,\"service\":\"back\",\"max_"
      "attempts\":2}]}]}");
}

typedef struct
{
  lab_client_t client;
  lab_request_t request;
} call_t;

static void *
upload (void *context)
{
  call_t *call = context;

  lab_request (&call->client, &call->request, "hulo84.example", "/up/1", BODY_BYTES,
               TIME_LIMIT_MS, false, 0);
  return NULL;
}

static bool
has_run (const char *id)
{
  bool found = false;

  pthread_mutex_lock (&lab_runs_lock);
  for (size_t i = 0; i < lab_run_count; i++)
    found = found || strcmp (lab_runs[i].id, id) == 0;
  pthread_mutex_unlock (&lab_runs_lock);
  return found;
}

/* Returns whether the rule held; -1: the round could not run. */
static int
play (lab_machine_t *machine, int round)
{
  call_t call = { .client = { .machine = machine, .fd = -1 } };
  pthread_t thread;
  long long term;
  bool own;

  snprintf (call.request.id, sizeof call.request.id, "9c41d07be2a35f%02x", round);
  call.request.kind = 'l';
  pthread_create (&thread, NULL, upload, &call);
  for (int i = 0; i < 100 && !has_run (call.request.id); i++)
    lab_sleep (5);
  if (!has_run (call.request.id))
    {
      lab_record ("%s did not reach a server", call.request.id);
      pthread_join (thread, NULL);
      return -1;
    }
  lab_record ("SIGTERM to the node of machine %d", machine->number);
  term = lab_ms ();
  lab_node_signal (machine, SIGTERM);
  pthread_join (thread, NULL);
  own = call.request.status != 200;
  lab_record ("%s: sent %lld ms before SIGTERM, ended %lld ms after it, status %d%s",
              call.request.id, term - call.request.sent, call.request.ended - term,
              call.request.status,
              own ? ", not that of the server, which was at work"
                  : ", that of the server");
  lab_node_wait (machine);
  lab_record ("the node has ended %lld ms after SIGTERM", lab_ms () - term);
  lab_node_start (machine);
  if (call.request.ended - call.request.sent >= TIME_LIMIT_MS
      || call.request.ended - term >= lab_grace_ms * 5 / 6)
    return -1;
  return !own;
}

int
main (int argc, char **argv)
{
  bool trouble;
  int broken = 0, held = 0;

  if (argc != 3)
    return 2;
  lab_drain_ms = DRAIN_MS;
  trouble = atoi (argv[2]) != 0;
  lab_open (argv[1]);
  lab_store_start ("127.0.0.29", lab_ports.store);
  put_config ();
  lab_add_machine ("front", "mid-a");
  lab_add_machine ("back", "mid-a");
  lab_add_machine ("back", "mid-b");
  for (int i = 0; i < lab_machine_count; i++)
    {
      lab_machine_t *machine = &lab_machines[i];
      char id[32];
      lab_app_t *app;

      snprintf (id, sizeof id, "i-7f3a91c%d", i);
      lab_write_settings (machine);
      lab_node_start (machine);
      app = lab_app_start (machine, machine->service, id,
                           trouble ? REST_MS : PAUSE_MS + REST_MS);
      app->read_pause_ms = trouble ? PAUSE_MS : 0;
    }
  for (int round = 1; round <= ROUNDS; round++)
    {
      int result;

      for (int i = 0; i < 100 && !lab_node_ready (&lab_machines[0]); i++)
        lab_sleep (100);
      lab_sleep (SLOTS_MS + lab_heartbeat_ms);
      result = play (&lab_machines[0], round);
      broken += result == 0;
      held += result == 1;
    }
  lab_record ("rounds in which the rule held: %d, broken: %d", held, broken);
  printf ("held %d broken %d\n", held, broken);
  lab_end_all ();
  if (broken > 0)
    return 1;
  return held > 0 ? 0 : 2;
}
