/**
 * DOC: Checks the guarantees: compares what servers ran with the answers of clients.
 */
#include "soak.h"

#include <stdio.h>
#include <string.h>

#define WINDOW_MS 4000
#define TOLD_MS 500 /* a machine counts from so long after it was told */
#define WINDOW_RUNS_MAX 4096

/* What the log of one start of a server says so far. */
typedef struct
{
  size_t machine;
  unsigned int start;
  long long draining_ms;             /* when the drain was acknowledged; 0: not */
  double limit;                      /* requests a second that it states; 0: none */
  bool limit_has_ended;              /* only the first limit of a start is judged */
  long long window[WINDOW_RUNS_MAX]; /* times of runs that count for the limit */
  size_t window_first;
  size_t window_end;
} server_log_t;

/* What the clients of the machine where @request began were told by this server. */
static const told_t *
told_at (const server_log_t *log, const request_t *request)
{
  return &soak.machines[request->machine].told[log->machine][log->start];
}

/* A request counts when its machine was told, and was not disturbed since. */
static bool
counts_since (long long told_ms, const request_t *request, long long until_ms)
{
  return told_ms != 0 && request->sent_ms > told_ms
         && !soak_was_disturbed (request->machine, told_ms, until_ms);
}

static void
judge_limit (server_log_t *log, const request_t *request, long long at)
{
  long long told_ms = told_at (log, request)->limited_ms;
  double allowed = log->limit * WINDOW_MS / 1000 * 1.5 + 5;

  if (log->limit == 0 || log->limit_has_ended || told_ms == 0
      || !counts_since (told_ms + TOLD_MS, request, at)
      || soak_was_disturbed (request->machine, told_ms, at)
      || log->window_end == WINDOW_RUNS_MAX)
    return;
  log->window[log->window_end++] = at;
  while (at - log->window[log->window_first] >= WINDOW_MS)
    log->window_first++;
  if ((double)(log->window_end - log->window_first) > allowed)
    soak_report_violation ("server i-%zu-%u got %zu requests in 4 s at a limit of %.1f",
                           log->machine, log->start, log->window_end - log->window_first,
                           log->limit);
}

static void
judge_leaving (const server_log_t *log, const request_t *request, long long at)
{
  long long told_ms = told_at (log, request)->leaving_ms;

  if (log->draining_ms != 0 && at > log->draining_ms + DRAIN_MS)
    soak_report_violation ("%s ran %lld ms after the drain of i-%zu-%u was acknowledged",
                           request->id, at - log->draining_ms, log->machine, log->start);
  if (told_ms != 0 && request->sent_ms > told_ms + DRAIN_MS
      && !soak_was_disturbed (request->machine, told_ms, at))
    soak_report_violation ("%s ran at i-%zu-%u, %lld ms after it said that it leaves",
                           request->id, log->machine, log->start,
                           request->sent_ms - told_ms);
}

static void
read_control (server_log_t *log, const char *line)
{
  double limit;

  if (sscanf (line, "control Server-Limit=%lf", &limit) == 1)
    {
      log->limit = limit;
      soak.statement_count++;
      return;
    }
  if (log->limit != 0)
    log->limit_has_ended = true;
  if (strncmp (line, "control Server-Leaving", strlen ("control Server-Leaving")) == 0)
    soak.statement_count++;
}

static void
judge_caller (const request_t *request, const char *caller)
{
  const char *service = soak_service_of (request->machine);

  if (strcmp (caller, service) != 0)
    soak_report_violation ("%s ran as a request of '%s', but came from '%s'", request->id,
                           caller, service);
}

static void
read_run (server_log_t *log, const char *id, const char *caller, long long at)
{
  request_t *request = fq_map_get (&soak.requests_by_id, fq_map_hash (id));

  if (request == NULL)
    {
      soak_report_violation ("%s ran, but no client sent it", id);
      return;
    }
  request->run_count++;
  judge_caller (request, caller);
  if (log->start >= SERVER_STARTS_MAX)
    return;
  judge_leaving (log, request, at);
  judge_limit (log, request, at);
}

/* Counts the runs in the log of a server, and checks that it got no more than it said. */
static void
read_server_log (server_log_t *log, const char *path)
{
  FILE *file = fopen (path, "r");
  char line[TEXT_BYTES];

  if (file == NULL)
    {
      printf ("no log %s: its server was killed before it opened the file\n", path);
      return;
    }
  while (fgets (line, sizeof line, file) != NULL)
    {
      char id[ID_BYTES];
      char caller[ID_BYTES];
      long long at;

      if (sscanf (line, "draining %lld", &log->draining_ms) == 1)
        continue;
      if (strncmp (line, "control ", strlen ("control ")) == 0)
        read_control (log, line);
      else if (sscanf (line, "run %31s %31s %lld", id, caller, &at) == 3)
        read_run (log, id, caller, at);
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
          static server_log_t log;
          char path[TEXT_BYTES * 2];

          log = (server_log_t){ .machine = i, .start = start };
          snprintf (path, sizeof path, "%s/server-i-%zu-%u.log", soak.directory, i,
                    start);
          read_server_log (&log, path);
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
  printf ("requests=%zu served=%zu faults=%zu statements=%zu judged=%zu violations=%zu\n",
          soak.request_count, all_served, soak.fault_count, soak.statement_count,
          in_recovery, soak.violation_count);
}
