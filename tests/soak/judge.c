/**
 * DOC: Checks the guarantees: compares what servers ran with the answers of clients.
 */
#include "soak.h"

#include <stdio.h>

/* Counts the runs in the log of a server, and checks that none began after its drain. */
static void
read_server_log (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[TEXT_BYTES];
  long long draining = 0;

  if (file == NULL)
    {
      printf ("no log %s: its server was killed before it opened the file\n", path);
      return;
    }
  while (fgets (line, sizeof line, file) != NULL)
    {
      char id[ID_BYTES];
      long long at;
      request_t *request;

      if (sscanf (line, "draining %lld", &draining) == 1)
        continue;
      if (sscanf (line, "run %31s %*s %lld", id, &at) != 2)
        continue;
      request = fq_map_get (&soak.requests_by_id, fq_map_hash (id));
      if (request == NULL)
        {
          soak_report_violation ("%s ran, but no client sent it", id);
          continue;
        }
      request->run_count++;
      if (draining != 0 && at > draining + DRAIN_MS)
        soak_report_violation ("%s ran %lld ms after the drain was acknowledged, in %s",
                               id, at - draining, path);
    }
  fclose (file);
}

void
soak_read_server_logs (void)
{
  for (size_t i = 0; i < soak.machine_count; i++)
    {
      for (unsigned int start = 1; start <= soak.machines[i].server_starts; start++)
        {
          char path[TEXT_BYTES * 2];

          snprintf (path, sizeof path, "%s/server-i-%zu-%u.log", soak.directory, i,
                    start);
          read_server_log (path);
        }
    }
}

void
soak_check_requests (void)
{
  size_t in_recovery = 0;
  size_t served_in_recovery = 0;
  size_t all_served = 0;

  for (size_t i = 0; i < soak.request_count; i++)
    {
      const request_t *request = soak.requests[i];

      all_served += request->status == 200;
      in_recovery += request->in_recovery;
      served_in_recovery += request->in_recovery && request->status == 200;
      if (request->at_most_once && request->run_count > 1)
        soak_report_violation ("%s ran %u times", request->id, request->run_count);
      if (request->at_most_once && request->run_count > 0
          && (request->status == 503 || request->status == 429))
        soak_report_violation ("%s was answered as not run, but ran", request->id);
      if (request->status == 200 && request->run_count == 0)
        soak_report_violation ("%s was answered, but did not run", request->id);
      if (request->status == 404)
        soak_report_violation ("%s was answered with status 404, but has a route",
                               request->id);
    }
  if ((double)served_in_recovery < (double)in_recovery * RECOVERY_SERVED_SHARE)
    soak_report_violation ("only %zu of %zu requests were served after the faults",
                           served_in_recovery, in_recovery);
  printf ("requests=%zu served=%zu faults=%zu judged=%zu violations=%zu\n",
          soak.request_count, all_served, soak.fault_count, in_recovery,
          soak.violation_count);
}
