/**
 * DOC: Whether the promises were held: what servers ran against what clients got.
 */
#include "soak.h"

#include <stdio.h>

/* What the servers ran, and whether one did so after its drain. */
static void
read_server_log (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[TEXT_BYTES];
  long long draining = 0;

  if (file == NULL)
    {
      printf ("no log %s: its server was ended before it began\n", path);
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
      request = fq_map_get (&soak.by_id, fq_map_hash (id));
      if (request == NULL)
        {
          soak_violation ("%s ran, which no client sent", id);
          continue;
        }
      request->runs++;
      if (draining != 0 && at > draining + DRAIN_MS)
        soak_violation ("%s ran %lld ms after the drain was acknowledged, in %s", id,
                        at - draining, path);
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

          snprintf (path, sizeof path, "%s/server-i-%zu-%u.log", soak.folder, i, start);
          read_server_log (path);
        }
    }
}

void
soak_judge (void)
{
  size_t judged = 0;
  size_t served = 0;
  size_t all_served = 0;

  for (size_t i = 0; i < soak.request_count; i++)
    {
      const request_t *request = soak.requests[i];

      all_served += request->status == 200;
      judged += request->judged;
      served += request->judged && request->status == 200;
      if (request->once && request->runs > 1)
        soak_violation ("%s ran %u times", request->id, request->runs);
      if (request->once && request->runs > 0
          && (request->status == 503 || request->status == 429))
        soak_violation ("%s was told not to have run, but ran", request->id);
      if (request->status == 200 && request->runs == 0)
        soak_violation ("%s was answered, but did not run", request->id);
      if (request->status == 404)
        soak_violation ("%s was told that there is no route", request->id);
    }
  if ((double)served < (double)judged * RECOVERY_SHARE)
    soak_violation ("only %zu of %zu requests were served after the faults", served,
                    judged);
  printf ("requests=%zu served=%zu faults=%zu judged=%zu violations=%zu\n",
          soak.request_count, all_served, soak.faults, judged, soak.violations);
}
