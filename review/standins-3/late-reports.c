/**
 * DOC: A server deregisters, all nodes are killed, and two reports that it had sent
 * before arrive late.
 *
 * usage: late-reports RECORD TROUBLE. Machine 1 runs service "front", machines 2 to 4 run
 * "back". With TROUBLE 0 the nodes are not killed; all else is the same.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LATE_REPORTS 2
#define KILLED_AFTER_MS 300 /* after the acknowledgement */
#define DOWN_MS 300
#define LATE_AFTER_MS 500 /* after the start of the nodes */
#define CONTACT_MS 3000
#define SERVED_ON_MS 10000 /* after the acknowledgement */
#define GAP_MS 20
#define TIME_LIMIT_MS 3000

static volatile bool over;

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
      "{\"name\":\"r-sale\",\"prefix\":\"/sale/"
      "\",\"route_type\":\"unsafe\",\"timeout\":\"1000ms\","
      "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"back\",\"max_"
      "attempts\":2}]}]}");
}

/* Delivers reports that the server sent while it was ready, in their order, on one
 * connection. */
static void
deliver_late (lab_app_t *app)
{
  int fd = lab_connect (app->machine->ip, lab_ports.reports, 1000);

  for (int i = 0; i < LATE_REPORTS && fd >= 0; i++)
    {
      char body[1024], text[2048];
      lab_message_t answer = { 0 };
      bool any = false;

      snprintf (
          body, sizeof body,
          "{\"address\":\"%s:%d\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":"
          "\"v1\","
          "\"zone\":\"%s\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"sequence\":%u,"
          "\"warmup_left\":\"0ms\"}}",
          app->machine->ip, lab_ports.server, app->born, app->service, app->machine->zone,
          app->slots, ++app->sequence);
      snprintf (text, sizeof text,
                "POST /v1/Instances.Heartbeat/%s HTTP/1.1\r\nHost: node\r\nContent-Type: "
                "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                app->id, strlen (body), body);
      if (lab_write (fd, text, strlen (text)) < 0)
        break;
      lab_read (fd, &answer, true, lab_ms () + 1000, &any);
      lab_record ("a report of %s arrives late: status %d", app->id, answer.status);
      lab_message_clear (&answer);
    }
  if (fd >= 0)
    close (fd);
}

static void *
send_requests (void *context)
{
  lab_client_t client = { .machine = context, .fd = -1 };
  unsigned int number = 0;

  while (!over)
    {
      lab_request_t request = { .kind = 'u' };

      snprintf (request.id, sizeof request.id, "5a1e%04x%08x",
                (unsigned int)client.machine->number, ++number);
      lab_request (&client, &request, "hulo84.example", "/sale/1", 1200, TIME_LIMIT_MS,
                   false, 0);
      if (request.status != 200)
        lab_record ("%s: status %d", request.id, request.status);
      lab_sleep (GAP_MS);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  lab_app_t *apps[4];
  lab_app_t *leaving;
  pthread_t threads[2];
  long long restarted;
  bool trouble;
  int late = 0, runs = 0;

  if (argc != 3)
    return 2;
  trouble = atoi (argv[2]) != 0;
  lab_open (argv[1]);
  lab_store_start ("127.0.0.29", lab_ports.store);
  put_config ();
  for (int i = 0; i < 4; i++)
    {
      lab_machine_t *machine = lab_add_machine (i == 0 ? "front" : "back",
                                                i % 2 == 0 ? "gate-yard" : "strip-hall");
      char id[32];

      snprintf (id, sizeof id, "i-7f3a91c%d", i);
      lab_write_settings (machine);
      lab_node_start (machine);
      apps[i] = lab_app_start (machine, machine->service, id, 50);
    }
  leaving = apps[1];
  for (int i = 0; i < 100 && !lab_node_ready (&lab_machines[0]); i++)
    lab_sleep (100);
  lab_sleep (3 * lab_heartbeat_ms);
  leaving->reports = false;
  lab_sleep (lab_heartbeat_ms); /* its reports of this time are under way */
  leaving->draining = true;
  if (!lab_app_deregister (leaving))
    lab_record ("the deregistration was not acknowledged");
  lab_sleep (KILLED_AFTER_MS);
  for (int i = 0; trouble && i < lab_machine_count; i++)
    {
      lab_node_signal (&lab_machines[i], SIGKILL);
      lab_node_wait (&lab_machines[i]);
    }
  lab_record (trouble ? "all nodes are killed" : "no node is killed");
  lab_sleep (DOWN_MS);
  for (int i = 0; trouble && i < lab_machine_count; i++)
    lab_node_start (&lab_machines[i]);
  restarted = lab_ms ();
  lab_sleep (LATE_AFTER_MS);
  deliver_late (leaving);
  lab_sleep (CONTACT_MS - LATE_AFTER_MS + 100);
  for (int i = 0; i < 2; i++)
    pthread_create (&threads[i], NULL, send_requests, &lab_machines[i]);
  while (lab_ms () < leaving->drain_acked + SERVED_ON_MS)
    lab_sleep (50);
  lab_app_crash (leaving);
  lab_sleep (1000);
  over = true;
  for (int i = 0; i < 2; i++)
    pthread_join (threads[i], NULL);
  pthread_mutex_lock (&lab_runs_lock);
  for (size_t i = 0; i < lab_run_count; i++)
    {
      const lab_run_t *run = &lab_runs[i];

      runs++;
      late += run->drain_acked != 0 && run->at > run->drain_acked + lab_drain_ms
              && run->at > restarted + CONTACT_MS;
    }
  pthread_mutex_unlock (&lab_runs_lock);
  lab_record ("runs: %d, at the server that had left, later than drain: %d", runs, late);
  printf ("runs %d late %d\n", runs, late);
  lab_end_all ();
  if (runs == 0 || leaving->drain_acked == 0)
    return 2;
  return late > 0;
}
