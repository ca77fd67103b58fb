/**
 * DOC: A change of the config that adds a route with a long name.
 *
 * usage: long-name RECORD TROUBLE. Machine 1 runs service "front", machines 2 and 3 run
 * "back", machine 4 runs "other". The operator moves a route from "back" to "other" and
 * adds one; with TROUBLE 1 the name of the new route has NAME_CHARACTERS, with 0 it is
 * short.
 */
#define _GNU_SOURCE
#include "lab.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NAME_CHARACTERS 80
#define CONFIG_APPLY_MS 2000
#define REQUESTS 40
#define GAP_MS 250

static void
put_config (int version, const char *service, const char *added)
{
  char text[4096];
  char route[1024] = "";

  if (added != NULL)
    snprintf (route, sizeof route,
              ",{\"name\":\"%s\",\"prefix\":\"/monthly/"
              "\",\"route_type\":\"safe\",\"timeout\":\"1000ms\","
              "\"target_latency\":\"1500ms\",\"priority\":2,\"service\":\"back\",\"max_"
              "attempts\":2}",
              added);
  snprintf (
      text, sizeof text,
      "{\"version\":%d,\"services\":[{\"name\":\"front\",\"health_path\":\"/healthz\","
      "\"max_connections\":724},{\"name\":\"back\",\"health_path\":\"/"
      "healthz\",\"max_connections\":724},"
      "{\"name\":\"other\",\"health_path\":\"/healthz\",\"max_connections\":724}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_"
      "timeout\":\"3000ms\","
      "\"idle_timeout\":\"15000ms\"},\"virtual_hosts\":[{\"host\":\"hulo84.example\","
      "\"paths\":["
      "{\"name\":\"r-weekly\",\"prefix\":\"/weekly/"
      "\",\"route_type\":\"safe\",\"timeout\":\"1000ms\","
      "\"target_latency\":\"1500ms\",\"priority\":2,\"service\":\"%s\",\"max_attempts\":"
      "2}%s]}]}",
      version, service, route);
  lab_store_put ("op", "config", text);
}

/* Where the request ran, or "". */
static const char *
service_of (const char *id)
{
  const char *found = "";

  pthread_mutex_lock (&lab_runs_lock);
  for (size_t i = 0; i < lab_run_count; i++)
    {
      if (strcmp (lab_runs[i].id, id) == 0)
        found = lab_runs[i].service;
    }
  pthread_mutex_unlock (&lab_runs_lock);
  return found;
}

static int
send_request (lab_machine_t *machine,
              const char *path,
              unsigned int number,
              char *service)
{
  lab_client_t client = { .machine = machine, .fd = -1 };
  lab_request_t request = { .kind = 's' };

  snprintf (request.id, sizeof request.id, "9c41d07b%08x", number);
  lab_request (&client, &request, "hulo84.example", path, 0, 3000, false, 0);
  if (client.fd >= 0)
    close (client.fd);
  strcpy (service, service_of (request.id));
  return request.status;
}

int
main (int argc, char **argv)
{
  static const char *const services[] = { "front", "back", "back", "other" };
  char name[NAME_CHARACTERS + 1] = "r-monthly";
  char service[64];
  unsigned int number = 0;
  int old = 0, new = 0;
  long long acked;

  if (argc != 3)
    return 2;
  if (atoi (argv[2]) != 0)
    snprintf (name, sizeof name, "%s",
              "r-partner-upload-monthly-spreadsheets-midlands-region-statistics-release-"
              "2026-12");
  lab_open (argv[1]);
  lab_store_start ("127.0.0.29", lab_ports.store);
  put_config (3, "back", NULL);
  for (int i = 0; i < 4; i++)
    {
      lab_machine_t *machine
          = lab_add_machine (services[i], i % 2 == 0 ? "gate-yard" : "strip-hall");
      char id[32];

      snprintf (id, sizeof id, "i-7f3a91c%d", i);
      lab_write_settings (machine);
      lab_node_start (machine);
      lab_app_start (machine, machine->service, id, 20);
    }
  for (int i = 0; i < 100 && !lab_node_ready (&lab_machines[0]); i++)
    lab_sleep (100);
  lab_sleep (2 * lab_heartbeat_ms);
  if (send_request (&lab_machines[0], "/weekly/1", ++number, service) != 200
      || strcmp (service, "back") != 0)
    {
      lab_record ("the first version is not served");
      lab_end_all ();
      return 2;
    }
  lab_record ("the operator writes version 5: /weekly/ goes to \"other\", /monthly/ is "
              "added, named %s (%zu)",
              name, strlen (name));
  put_config (5, "other", name);
  acked = lab_ms ();
  lab_sleep (CONFIG_APPLY_MS + 500);
  for (int i = 0; i < REQUESTS; i++)
    {
      lab_machine_t *machine = &lab_machines[i % lab_machine_count];
      bool added = i / lab_machine_count % 2 == 1;
      long long after = lab_ms () - acked;
      int status
          = send_request (machine, added ? "/monthly/1" : "/weekly/1", ++number, service);
      bool is_old = added ? status == 404 : strcmp (service, "back") == 0;
      bool is_new = status == 200 && strcmp (service, added ? "back" : "other") == 0;

      lab_record ("%s at machine %d, %lld ms after the ack: status %d, run by \"%s\"%s",
                  added ? "/monthly/1" : "/weekly/1", machine->number, after, status,
                  service, is_old ? ", as only the older version allows" : "");
      old += is_old;
      new += is_new;
      lab_sleep (GAP_MS);
    }
  lab_record ("as the older version: %d, as the newer one: %d", old, new);
  printf ("older %d newer %d\n", old, new);
  lab_end_all ();
  if (old > 0)
    return 1;
  return new > 0 ? 0 : 2;
}
