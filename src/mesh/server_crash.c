/**
 * DOC: The handling of a crash of the local server.
 *
 * The requests that ran when it crashed are suspected. Their fingerprints go to all
 * connected entries, so that a request that crashes servers is refused there too.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

static void
broadcast_suspects (fq_mesh_t *mesh, const uint64_t *fingerprints, size_t count)
{
  uint64_t crash = fq_random_next (&mesh->random);
  size_t cursor = 0;
  const fq_entry_connection_t *entry_connection;

  for (size_t i = 0; i < count; i++)
    fq_crash_suspects_add (&mesh->crash_suspects, mesh->now, fingerprints[i], crash);
  while ((entry_connection = fq_map_next (&mesh->entry_connections, &cursor)) != NULL)
    {
      fq_frame_t frame = { .kind = FQ_FRAME_CRASH_SUSPECTS, .number = crash };

      frame.fingerprints = malloc (count * sizeof *fingerprints);
      if (frame.fingerprints == NULL)
        abort ();
      memcpy (frame.fingerprints, fingerprints, count * sizeof *fingerprints);
      frame.fingerprint_count = count;
      fq_mesh_send_to_entry (mesh, entry_connection->id, &frame);
    }
}

void
fq_server_crash_detected (fq_mesh_t *mesh)
{
  uint64_t fingerprints[FQ_RECENT_LOSSES_MAX];
  size_t count
      = fq_recent_losses_take (&mesh->gate.recent_losses, mesh->now, fingerprints);

  if (mesh->gate.server.phase != FQ_PHASE_ABSENT)
    mesh->metrics.counters[FQ_METRIC_SERVER_CRASHES]++;
  if (count > 0)
    {
      fq_mesh_log (mesh, true, "event=server-crash instance=%s blamed=%zu",
                   mesh->gate.server.instance, count);
      broadcast_suspects (mesh, fingerprints, count);
    }
  fq_server_state_mark_absent (mesh, "connection-refused");
}
