/**
 * DOC: A request crashes each server that begins to run it, and comes again, in a quiet
 * time.
 *
 * Rule BUDGET. The service bulletins has three servers, on machines 2 to 4. In each
 * round, clients on machine 1 publish three releases, which must not run twice, and while
 * these run, one client asks for the status of a release; that request crashes the
 * servers. They are back after DOWN_MS. TROUBLE=0: the same, but the request for the
 * status crashes no server.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../harness/harness.h"

#define FIRST_SERVER 2 /* machine */
#define SERVERS 3
#define PUBLISH_MS 800
#define DOWN_MS 2500
#define ROUNDS 16
#define ROUND_MS 5000
#define CRASH_AFTER_MS 300 /* from the beginning of a round */
#define PUBLISHED 3        /* releases a round */
#define TIME_LIMIT_MS 5000
#define CONTACT_MS 3000
#define CRASHES_ALLOWED 3
#define RETRIES_ALLOWED 3
#define CRASH_TARGET "/status/7"

static const char config[]
    = "{\"version\":3,\"services\":["
      "{\"name\":\"tables\",\"health_path\":\"/healthz\",\"max_connections\":346},"
      "{\"name\":\"bulletins\",\"health_path\":\"/healthz\",\"max_connections\":406}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
      "\"virtual_hosts\":[{\"host\":\"h\",\"paths\":["
      "{\"name\":\"release-publish\",\"prefix\":\"/bulletins/"
      "\",\"route_type\":\"unsafe\","
      "\"timeout\":\"2500ms\",\"target_latency\":\"1500ms\",\"max_attempts\":2,"
      "\"priority\":0,"
      "\"service\":\"bulletins\"},"
      "{\"name\":\"release-status\",\"prefix\":\"/status/\",\"route_type\":\"safe\","
      "\"timeout\":\"2500ms\",\"target_latency\":\"1000ms\",\"max_attempts\":2,"
      "\"priority\":2,"
      "\"service\":\"bulletins\"}]}]}";

typedef struct
{
  pthread_t thread;
  char id[RV_ID_BYTES];
  rv_answer_t answer;
} client_t;

static rv_server_t *servers[SERVERS];
static rv_server_t *all_servers[SERVERS * (ROUNDS + 1)];
static int server_count;
static volatile bool stop;

static rv_server_t *
start_server (int machine)
{
  static char ids[SERVERS * (ROUNDS + 1)][RV_ID_BYTES];
  rv_server_options_t options
      = { .machine = machine,
          .service = "bulletins",
          .work_ms = PUBLISH_MS,
          .answer_bytes = 100,
          .crash_target = rv_with_trouble () ? CRASH_TARGET : NULL };

  snprintf (ids[server_count], RV_ID_BYTES, "i-bulletins-%d-%d", machine, server_count);
  options.id = ids[server_count];
  all_servers[server_count] = rv_server_start (&options);
  return all_servers[server_count++];
}

/* Starts each server again DOWN_MS after its crash. */
static void *
restart_servers (void *argument)
{
  long ended_ms[SERVERS] = { 0 };

  (void)argument;
  while (!stop)
    {
      for (int i = 0; i < SERVERS; i++)
        {
          if (!rv_server_has_ended (servers[i]))
            continue;
          if (ended_ms[i] == 0)
            ended_ms[i] = rv_now_ms ();
          if (rv_now_ms () - ended_ms[i] < DOWN_MS)
            continue;
          servers[i] = start_server (FIRST_SERVER + i);
          ended_ms[i] = 0;
        }
      rv_sleep_ms (10);
    }
  return NULL;
}

static void *
publish (void *argument)
{
  client_t *client = argument;
  rv_call_t call = { .machine = 1,
                     .method = "POST",
                     .target = "/bulletins/7",
                     .id = client->id,
                     .timeout_ms = TIME_LIMIT_MS };

  rv_call (&call, &client->answer);
  return NULL;
}

/* Plays a round. Returns how many releases got no 2xx; @asked_ms: when the status was
 * asked for. */
static int
play_round (int round, long *asked_ms)
{
  client_t clients[PUBLISHED];
  rv_answer_t answer;
  char id[RV_ID_BYTES];
  rv_call_t call = { .machine = 1,
                     .method = "GET",
                     .target = CRASH_TARGET,
                     .id = id,
                     .timeout_ms = TIME_LIMIT_MS };
  long begun_ms = rv_now_ms ();
  int lost = 0;

  for (int i = 0; i < PUBLISHED; i++)
    {
      snprintf (clients[i].id, sizeof clients[i].id, "release-%d-%d", round, i);
      pthread_create (&clients[i].thread, NULL, publish, &clients[i]);
    }
  rv_sleep_ms (CRASH_AFTER_MS);
  *asked_ms = rv_now_ms ();
  snprintf (id, sizeof id, "status-%d", round);
  rv_call (&call, &answer);
  for (int i = 0; i < PUBLISHED; i++)
    {
      pthread_join (clients[i].thread, NULL);
      lost += clients[i].answer.status != 200;
    }
  rv_sleep_ms (begun_ms + ROUND_MS - rv_now_ms ());
  return lost;
}

static int
count_crashes (void)
{
  int crashes = 0;

  for (int i = 0; i < server_count; i++)
    crashes += rv_server_has_ended (all_servers[i]);
  return crashes;
}

int
main (int argc, char **argv)
{
  rv_server_options_t tables = { .machine = 1, .service = "tables", .id = "i-tables-1" };
  pthread_t restarter;
  long third_ms = 0;
  int retries = 0;
  int lost = 0;
  int lost_late = 0;

  rv_open (argc > 1 ? argv[1] : ".");
  rv_store_start ();
  rv_store_put_config (config);
  rv_node_start (1, "tables");
  rv_server_start (&tables);
  for (int i = 0; i < SERVERS; i++)
    {
      rv_node_start (FIRST_SERVER + i, "bulletins");
      servers[i] = start_server (FIRST_SERVER + i);
    }
  for (int i = 1; i < FIRST_SERVER + SERVERS; i++)
    rv_wait_ready (i);
  rv_sleep_ms (4000);
  pthread_create (&restarter, NULL, restart_servers, NULL);
  for (int round = 0; round < ROUNDS; round++)
    {
      int crashes = count_crashes ();
      bool late;
      long asked_ms;
      int lost_now = play_round (round, &asked_ms);

      late = third_ms != 0 && asked_ms > third_ms + CONTACT_MS;
      if (late && count_crashes () > crashes)
        retries++;
      lost += lost_now;
      lost_late += late ? lost_now : 0;
      if (third_ms == 0 && count_crashes () >= CRASHES_ALLOWED)
        third_ms = rv_now_ms ();
    }
  stop = true;
  pthread_join (restarter, NULL);
  rv_record (
      "crashes: %d; retries that reached servers later than %d ms after the third "
      "crash: %d, allowed %d; releases without 2xx: %d of %d, %d of them after that",
      count_crashes (), CONTACT_MS, retries, RETRIES_ALLOWED, lost, ROUNDS * PUBLISHED,
      lost_late);
  rv_finish (retries > RETRIES_ALLOWED ? RV_BROKEN : RV_HELD);
}
