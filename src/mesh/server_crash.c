/**
 * DOC: Crashes of the local server: how they are found, and which requests are suspected.
 *
 * When a connection breaks without an answer, the server has crashed or has dropped that
 * connection only. In a quiet time no other request would show which, so the gate sends a
 * health check at once, on a new connection. The server has crashed if a connection to it
 * is refused, if another process answers the health check, or if another process reports
 * from its address; unless it was leaving, or this node is being stopped, which the
 * platform does after it has stopped the server.
 *
 * The requests whose connections broke since the server last gave an answer are suspected
 * then; if exactly one of them was isolated when it started, it alone. Suspects go to all
 * connected entries, so that a request that crashes servers is refused there too.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

/* Connections that broke longer ago did not break in the crash, even if nothing has shown
 * since that the server ran. */
#define FQ_LOSS_WINDOW_US (30 * FQ_MICROSECONDS_PER_SECOND)

/* Health checks that get no answer are repeated after this time, doubled each time. */
#define FQ_CHECK_FIRST_DELAY_US (100 * FQ_MICROSECONDS_PER_MS)
#define FQ_CHECKS_MAX 4

/* Least time between the health checks for two losses. */
#define FQ_CHECK_INTERVAL_US (250 * FQ_MICROSECONDS_PER_MS)

#define FQ_SUSPECTS_TOLD_MAX 64 /* to an entry that connects */

/* Whether the end of the server is not on purpose. */
static bool
may_have_crashed (const fq_mesh_t *mesh)
{
  return mesh->gate.drain_until == 0 && !mesh->stopping;
}

/* Whether the process @generation is known to have crashed. */
static bool
is_crash_known (const fq_gate_t *gate, uint64_t generation)
{
  return gate->crash != 0 && gate->crashed_generation == generation;
}

/* @news: its fingerprints are copied */
static void
tell_entry (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *news)
{
  size_t size = news->fingerprint_count * sizeof *news->fingerprints;
  fq_frame_t frame = *news;

  frame.fingerprints = malloc (size);
  if (frame.fingerprints == NULL)
    abort ();
  memcpy (frame.fingerprints, news->fingerprints, size);
  fq_mesh_send_to_entry (mesh, entry_connection, &frame);
}

static void
tell_all_entries (fq_mesh_t *mesh, const fq_frame_t *news)
{
  size_t cursor = 0;
  const fq_entry_connection_t *entry_connection;

  while ((entry_connection = fq_map_next (&mesh->entry_connections, &cursor)) != NULL)
    tell_entry (mesh, entry_connection->id, news);
}

void
fq_server_crash_add_suspect (fq_mesh_t *mesh,
                             uint64_t fingerprint,
                             uint64_t crash,
                             bool alone)
{
  const fq_crash_suspect_t *suspect;

  fq_crash_suspects_add (&mesh->crash_suspects, mesh->now, fingerprint, crash, alone);
  suspect = fq_crash_suspects_find (&mesh->crash_suspects, fingerprint);
  if (suspect != NULL && suspect->count >= FQ_CRASHES_ISOLATED)
    fq_mesh_log (mesh, true,
                 "event=crash-suspect fingerprint=%016llx crash=%016llx crashes=%u "
                 "alone=%d",
                 (unsigned long long)fingerprint, (unsigned long long)crash,
                 suspect->count, suspect->alone);
}

/* @alone: only the first one is suspected */
static void
suspect_requests (fq_mesh_t *mesh, uint64_t *fingerprints, size_t count, bool alone)
{
  fq_frame_t news = {
    .kind = FQ_FRAME_CRASH_SUSPECTS,
    .number = mesh->gate.crash,
    .alone = alone,
    .fingerprints = fingerprints,
    .fingerprint_count = alone ? 1 : count,
  };

  for (size_t i = 0; i < news.fingerprint_count; i++)
    fq_server_crash_add_suspect (mesh, fingerprints[i], mesh->gate.crash, alone);
  tell_all_entries (mesh, &news);
}

/* Records that the present process of the server has ended by itself. */
static void
record_crash (fq_mesh_t *mesh, const char *reason)
{
  fq_gate_t *gate = &mesh->gate;
  uint64_t fingerprints[FQ_RECENT_LOSSES_MAX];
  bool alone;
  size_t count = fq_recent_losses_take (&gate->recent_losses, mesh->now,
                                        FQ_LOSS_WINDOW_US, fingerprints, &alone);

  fq_timers_cancel (&mesh->timers, &gate->crash_timer);
  if (!may_have_crashed (mesh))
    return;
  if (gate->server.phase != FQ_PHASE_ABSENT)
    mesh->metrics.counters[FQ_METRIC_SERVER_CRASHES]++;
  if (!is_crash_known (gate, gate->server_generation))
    gate->crash = fq_random_next (&mesh->random) | 1;
  gate->crashed_generation = gate->server_generation;
  if (count == 0)
    return;
  fq_mesh_log (mesh, true,
               "event=server-crash instance=%s crash=%016llx reason=%s blamed=%zu",
               fq_text_label (gate->server.instance), (unsigned long long)gate->crash,
               reason, count);
  suspect_requests (mesh, fingerprints, count, alone);
}

void
fq_server_crash_detected (fq_mesh_t *mesh, const char *reason)
{
  record_crash (mesh, reason);
  fq_server_state_mark_absent (mesh, reason);
}

void
fq_server_crash_replaced (fq_mesh_t *mesh)
{
  if (mesh->gate.server.instance != NULL)
    record_crash (mesh, "another-start");
}

void
fq_server_crash_ready (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  if (is_crash_known (gate, gate->server_generation))
    gate->crash = 0;
}

static void
check_server (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->recent_losses.count == 0 || !may_have_crashed (mesh)
      || !fq_server_state_send_probe (mesh, mesh->gate.server.service))
    return;
  gate->crash_check_pending = true;
  gate->crash_checks++;
  gate->crash_checked_at = mesh->now;
}

void
fq_server_crash_handle_timer (fq_mesh_t *mesh)
{
  check_server (mesh);
}

static void
begin_checks (fq_mesh_t *mesh)
{
  fq_gate_t *gate = &mesh->gate;

  if (gate->crash_check_pending || gate->crash_timer.position != 0)
    return;
  gate->crash_checks = 0;
  if (mesh->now - gate->crash_checked_at >= FQ_CHECK_INTERVAL_US)
    check_server (mesh);
  else
    fq_timers_arm (&mesh->timers, &gate->crash_timer,
                   gate->crash_checked_at + FQ_CHECK_INTERVAL_US);
}

void
fq_server_crash_run_lost (fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  fq_gate_t *gate = &mesh->gate;
  uint64_t fingerprint = run->offer.fingerprint;

  /* The crash of the process that it was sent to has been found already. */
  if (is_crash_known (gate, run->server_generation))
    {
      suspect_requests (mesh, &fingerprint, 1, run->isolated);
      return;
    }
  if (run->server_generation != gate->server_generation || !may_have_crashed (mesh))
    return;
  fq_recent_losses_add (&gate->recent_losses, mesh->now, fingerprint, run->isolated);
  begin_checks (mesh);
}

void
fq_server_crash_run_answered (fq_mesh_t *mesh, const fq_gate_run_t *run)
{
  fq_gate_t *gate = &mesh->gate;
  uint64_t fingerprint = run->offer.fingerprint;
  fq_frame_t news = {
    .kind = FQ_FRAME_SUSPECTS_CLEARED,
    .fingerprints = &fingerprint,
    .fingerprint_count = 1,
  };

  if (gate->recent_losses.count > 0 && run->server_generation == gate->server_generation)
    fq_recent_losses_forget (&gate->recent_losses, run->started);
  if (!fq_crash_suspects_clear (&mesh->crash_suspects, fingerprint))
    return;
  fq_mesh_log (mesh, false, "event=suspect-cleared id=%s fingerprint=%016llx",
               fq_text_label (run->offer.request_id), (unsigned long long)fingerprint);
  tell_all_entries (mesh, &news);
}

/* An answer of the same process, or of the next one under the same id, decides nothing;
 * the next report tells which it was. */
static void
handle_check (fq_mesh_t *mesh, fq_probe_outcome_t outcome, const fq_text_t *instance)
{
  fq_gate_t *gate = &mesh->gate;

  switch (outcome)
    {
    case FQ_PROBE_REFUSED:
      fq_server_crash_detected (mesh, "connection-refused");
      break;
    case FQ_PROBE_HEALTHY:
    case FQ_PROBE_UNHEALTHY:
      if (instance != NULL && !fq_text_equal (instance, gate->server.instance))
        fq_server_crash_detected (mesh, "another-server");
      break;
    case FQ_PROBE_UNANSWERED:
      if (gate->crash_checks < FQ_CHECKS_MAX)
        fq_timers_arm (
            &mesh->timers, &gate->crash_timer,
            mesh->now + ((fq_time_t)FQ_CHECK_FIRST_DELAY_US << (gate->crash_checks - 1)));
      break;
    }
}

void
fq_server_crash_probed (fq_mesh_t *mesh,
                        fq_probe_outcome_t outcome,
                        const fq_text_t *instance)
{
  if (!mesh->gate.crash_check_pending)
    return;
  mesh->gate.crash_check_pending = false;
  if (mesh->gate.recent_losses.count > 0)
    handle_check (mesh, outcome, instance);
}

static void
tell_suspect (fq_mesh_t *mesh,
              fq_id_t entry_connection,
              const fq_crash_suspect_t *suspect)
{
  uint64_t fingerprint = suspect->fingerprint;
  fq_frame_t news = {
    .kind = FQ_FRAME_CRASH_SUSPECTS,
    .alone = suspect->alone,
    .fingerprints = &fingerprint,
    .fingerprint_count = 1,
  };

  for (uint32_t i = 0; i < suspect->count; i++)
    {
      news.number = suspect->crashes[i];
      tell_entry (mesh, entry_connection, &news);
    }
}

void
fq_server_crash_tell_suspects (fq_mesh_t *mesh, fq_id_t entry_connection)
{
  size_t cursor = 0;
  size_t told = 0;
  const fq_crash_suspect_t *suspect;

  while (told < FQ_SUSPECTS_TOLD_MAX
         && (suspect = fq_crash_suspects_next (&mesh->crash_suspects, &cursor)) != NULL)
    {
      if (suspect->count < FQ_CRASHES_ISOLATED)
        continue;
      tell_suspect (mesh, entry_connection, suspect);
      told++;
    }
}
