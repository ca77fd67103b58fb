/**
 * DOC: The store is silent for some seconds, during which the nodes' long reads end and
 * are begun again.
 *
 * Rule CONFIG. Clients on machine 1 send requests on a route to service bulletins. The
 * store comes back, and CONTACT_MS later the operator moves the route to service tables.
 * TROUBLE=0: the store is not silent.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "../harness/harness.h"

#define WORK_MS 20
#define TIME_LIMIT_MS 5000
#define PAUSE_MS 100
#define SILENT_AFTER_MS 23000 /* after the first configuration */
#define SILENT_MS 8000
#define CONTACT_MS 3000
#define CONFIG_APPLY_MS 2000
#define WATCHED_MS 20000 /* after the change of the configuration */
#define REQUESTS_MAX 600

static const char config[]
    = "{\"version\":%d,\"services\":["
      "{\"name\":\"tables\",\"health_path\":\"/healthz\",\"max_connections\":346},"
      "{\"name\":\"bulletins\",\"health_path\":\"/healthz\",\"max_connections\":406}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},"
      "\"virtual_hosts\":[{\"host\":\"h\",\"paths\":["
      "{\"name\":\"release-publish\",\"prefix\":\"/bulletins/"
      "\",\"route_type\":\"unsafe\","
      "\"timeout\":\"1200ms\",\"target_latency\":\"1500ms\",\"max_attempts\":2,"
      "\"priority\":0,"
      "\"service\":\"%s\"}]}]}";

static void
put_config (int version, const char *service)
{
  char document[2048];

  snprintf (document, sizeof document, config, version, service);
  rv_store_put_config (document);
  rv_record ("version %d: the route goes to service %s", version, service);
}

static rv_server_t *
start_machine (int machine, const char *service, const char *id)
{
  rv_server_options_t options = { .machine = machine,
                                  .service = service,
                                  .id = id,
                                  .work_ms = WORK_MS,
                                  .answer_bytes = 100 };

  rv_node_start (machine, service);
  return rv_server_start (&options);
}

/* Sends requests until @until_ms. Returns the number of those that were answered with
 * 200. */
static int
send_requests (long until_ms)
{
  static int sent;
  int served = 0;

  while (rv_now_ms () < until_ms && sent < REQUESTS_MAX)
    {
      char id[RV_ID_BYTES];
      rv_answer_t answer;
      rv_call_t call = { .machine = 1,
                         .method = "POST",
                         .target = "/bulletins/7",
                         .id = id,
                         .timeout_ms = TIME_LIMIT_MS };

      snprintf (id, sizeof id, "release-%d", sent++);
      rv_call (&call, &answer);
      served += answer.status == 200;
      rv_sleep_ms (PAUSE_MS);
    }
  return served;
}

/* Counts the requests that the server ran after @from_ms. */
static int
count_runs (rv_server_t *server, long from_ms)
{
  rv_run_t run;
  int count = 0;

  for (size_t i = 0; rv_server_run (server, i, &run); i++)
    count += run.at_ms > from_ms;
  return count;
}

int
main (int argc, char **argv)
{
  rv_server_t *before;
  rv_server_t *after;
  long changed_ms;
  long first_ms;
  int stale;
  int renewed;

  rv_open (argc > 1 ? argv[1] : ".");
  rv_store_start ();
  start_machine (1, "tables", "i-tables-1");
  before = start_machine (2, "bulletins", "i-bulletins-1");
  after = start_machine (3, "tables", "i-tables-2");
  rv_sleep_ms (1000);
  put_config (3, "bulletins");
  first_ms = rv_now_ms ();
  for (int i = 1; i <= 3; i++)
    rv_wait_ready (i);
  rv_sleep_ms (4000);
  if (send_requests (rv_now_ms () + 1000) == 0)
    rv_fail ("nothing is served before the disruption");
  rv_sleep_ms (first_ms + SILENT_AFTER_MS - rv_now_ms ());
  if (rv_with_trouble ())
    rv_store_set_silent (true);
  rv_sleep_ms (SILENT_MS);
  if (rv_with_trouble ())
    rv_store_set_silent (false);
  rv_sleep_ms (CONTACT_MS + 500);
  put_config (5, "tables");
  changed_ms = rv_now_ms ();
  send_requests (changed_ms + WATCHED_MS);
  rv_sleep_ms (500);
  stale = count_runs (before, changed_ms + CONFIG_APPLY_MS + 100);
  renewed = count_runs (after, changed_ms);
  rv_record (
      "runs by the old service later than %d ms after the ack: %d; by the new one: %d",
      CONFIG_APPLY_MS, stale, renewed);
  rv_finish (stale > 0 ? RV_BROKEN : RV_HELD);
}
