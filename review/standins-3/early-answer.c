/**
 * DOC: A server that leaves while it has still to read bodies which it has rejected
 * early.
 *
 * usage: early-answer RECORD TROUBLE. Machine 1 runs service "front", machines 2 to 6 run
 * "back". Clients of machine 2 send uploads, then sales, and its server says that it is
 * draining. With TROUBLE 1 servers reject some of the uploads before they are in, with 0
 * none.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define UPLOAD_BYTES 360000
#define SALE_BYTES 1200
#define UPLOADS 20 /* and as many sales, one of each by turns */
#define SALES 20
#define GAP_MS 8
#define EARLY 400       /* of a thousand uploads */
#define EARLY_SERVERS 3 /* of five */
#define EARLY_PAUSE_MS 2100
#define UNTIL_DRAIN_MS 100
#define SERVED_ON_MS 5000 /* after the acknowledgement */
#define BETWEEN_MS 5000   /* until the next server of machine 2 has warmed up */
#define ROUNDS 5

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
      "{\"name\":\"r-photos\",\"prefix\":\"/photos/"
      "\",\"route_type\":\"upload\",\"timeout\":\"2000ms\","
      "\"target_latency\":\"500ms\",\"priority\":1,\"service\":\"back\",\"max_attempts\":"
      "2},"
      "{\"name\":\"r-sale\",\"prefix\":\"/sale/"
      "\",\"route_type\":\"unsafe\",\"timeout\":\"1000ms\","
      "\"target_latency\":\"1500ms\",\"priority\":0,\"service\":\"back\",\"max_"
      "attempts\":2}]}]}");
}

typedef struct
{
  lab_client_t client;
  lab_request_t request;
} call_t;

static void *
send_upload (void *context)
{
  call_t *call = context;

  lab_request (&call->client, &call->request, "hulo84.example", "/photos/1", UPLOAD_BYTES,
               2000, false, 0);
  return NULL;
}

static void *
send_sale (void *context)
{
  call_t *call = context;

  lab_request (&call->client, &call->request, "hulo84.example", "/sale/1", SALE_BYTES,
               6000, false, 0);
  return NULL;
}

static void
start (pthread_t *thread, call_t *call, int number, lab_machine_t *machine, char kind)
{
  *call = (call_t){ .client = { .machine = machine, .fd = -1 },
                    .request = { .kind = kind } };
  snprintf (call->request.id, sizeof call->request.id, "%s%08x",
            kind == 'l' ? "9c41d07b" : "5a1e0000", number);
  pthread_create (thread, NULL, kind == 'l' ? send_upload : send_sale, call);
  lab_sleep (GAP_MS);
}

static void
join (const pthread_t *threads, const call_t *calls, int count)
{
  for (int i = 0; i < count; i++)
    {
      pthread_join (threads[i], NULL);
      lab_record ("%s: status %d after %lld ms", calls[i].request.id,
                  calls[i].request.status,
                  calls[i].request.ended - calls[i].request.sent);
    }
}

/* Returns whether the leave of @leaving was acknowledged. */
static bool
play (lab_app_t *leaving, int round)
{
  static call_t uploads[UPLOADS], sales[SALES];
  pthread_t upload_threads[UPLOADS], sale_threads[SALES];
  bool acknowledged;

  for (int i = 0; i < UPLOADS; i++)
    {
      start (&upload_threads[i], &uploads[i], round * UPLOADS + i, &lab_machines[1], 'l');
      start (&sale_threads[i], &sales[i], round * SALES + i, &lab_machines[1], 'u');
    }
  lab_sleep (UNTIL_DRAIN_MS);
  leaving->draining = true;
  acknowledged = lab_app_report (leaving);
  lab_sleep (SERVED_ON_MS);
  lab_app_deregister (leaving);
  lab_app_crash (leaving);
  join (upload_threads, uploads, UPLOADS);
  join (sale_threads, sales, SALES);
  return acknowledged;
}

static lab_app_t *
start_server (lab_machine_t *machine, int number, bool early)
{
  char id[32];
  lab_app_t *app;

  snprintf (id, sizeof id, "i-7f3a91%02x", (unsigned int)number);
  app = lab_app_start (machine, machine->service, id, 150);
  app->early = early ? EARLY : 0;
  app->early_pause_ms = EARLY_PAUSE_MS;
  return app;
}

int
main (int argc, char **argv)
{
  lab_app_t *leaving = NULL;
  int acknowledged = 0;
  bool trouble;
  int late = 0, runs = 0;

  if (argc != 3)
    return 2;
  trouble = atoi (argv[2]) != 0;
  lab_open (argv[1]);
  lab_store_start ("127.0.0.29", lab_ports.store);
  put_config ();
  for (int i = 0; i < 6; i++)
    {
      char zone[32];
      lab_app_t *app;
      lab_machine_t *machine;

      snprintf (zone, sizeof zone, "zone-%d", i);
      machine = lab_add_machine (i == 0 ? "front" : "back", zone);
      lab_write_settings (machine);
      lab_node_start (machine);
      app = start_server (machine, i, trouble && i >= 1 && i <= EARLY_SERVERS);
      if (i == 1)
        leaving = app;
    }
  for (int i = 0; i < 100 && !lab_node_ready (&lab_machines[1]); i++)
    lab_sleep (100);
  lab_sleep (2 * lab_heartbeat_ms + 3000);
  for (int round = 0; round < ROUNDS; round++)
    {
      acknowledged += play (leaving, round);
      leaving = start_server (&lab_machines[1], round + 6, trouble);
      lab_sleep (BETWEEN_MS);
    }
  pthread_mutex_lock (&lab_runs_lock);
  for (size_t i = 0; i < lab_run_count; i++)
    {
      const lab_run_t *run = &lab_runs[i];
      long long after = run->at - run->drain_acked;

      runs++;
      if (run->drain_acked == 0 || after <= lab_drain_ms)
        continue;
      late++;
      lab_record ("%s reached %s %lld ms after it was acknowledged that it is draining",
                  run->id, run->app, after);
    }
  pthread_mutex_unlock (&lab_runs_lock);
  lab_record ("runs: %d, later than drain: %d", runs, late);
  printf ("runs %d late %d\n", runs, late);
  lab_end_all ();
  if (runs == 0 || acknowledged == 0)
    return 2;
  return late > 0;
}
