/**
 * DOC: Fuzz target: the platform's documents: configurations, server reports, rows.
 *
 * An accepted configuration has a version, and each of its routes has targets; the
 * service of the next target of each route exists. An accepted report has slots, a
 * service and an address.
 */
#include <stdlib.h>
#include <string.h>

#include "config_document.h"
#include "filbertquay/errors.h"
#include "server_report.h"
#include "store_calls.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
read_as_config (const uint8_t *data, size_t size)
{
  fq_config_t *config;

  if (fq_platform_read_config (&config, data, size) < 0)
    return;
  if (config->version == 0)
    abort ();
  for (size_t i = 0; i < config->host_count; i++)
    {
      for (size_t j = 0; j < config->hosts[i].route_count; j++)
        {
          fq_route_t *route = &config->hosts[i].routes[j];

          if (route->target_count == 0 || route->servers_max == 0
              || fq_config_find_service (config, fq_route_next_target (route)) == NULL)
            abort ();
        }
    }
  fq_config_unref (config);
}

static void
read_as_body (const uint8_t *data, size_t size)
{
  fq_http_message_t *message = fq_http_message_new ();
  fq_platform_server_call_t server_call;
  fq_server_report_t report;
  fq_platform_rows_t rows;
  char address[FQ_ADDRESS_BYTES];

  strcpy (message->method, "POST");
  message->status = 200;
  message->target = strdup ("/v1/Instances.Heartbeat/i-1");
  if (fq_blob_new (&message->body, data, size) < 0)
    abort ();
  if (fq_platform_read_report (&server_call, &report, address, message) == FQ_OK
      && (report.slots == 0 || report.service == NULL || address[0] == '\0'))
    abort ();
  fq_server_report_clear (&report);
  if (fq_platform_parse_rows (&rows, message) == FQ_OK)
    fq_platform_rows_clear (&rows);
  fq_http_message_unref (message);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  read_as_config (data, size);
  read_as_body (data, size);
  return 0;
}
