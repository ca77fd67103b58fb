/**
 * DOC: Crash suspects: requests that may crash the servers which run them.
 *
 * Each request that was running when a server crashed becomes a suspect, identified by a
 * fingerprint of its contents. These are the requests whose connection to the server
 * broke without an answer in the last 1.5 s before the server refused a connection, at
 * most the newest FQ_RECENT_LOSSES_MAX of them. A request that is suspected of
 * FQ_CRASH_SUSPECT_CRASHES_MAX crashes is refused. A request that a server answers is
 * cleared at the node of that server. Crashes are reported to all connected entries,
 * since the client may send the request again through another node.
 */
#ifndef FQ_MESH_CRASH_SUSPECTS_H
#define FQ_MESH_CRASH_SUSPECTS_H

#include "filbertquay/types.h"
#include "util/map.h"

#define FQ_CRASH_SUSPECT_CRASHES_MAX 3 /* crashes after which a request is refused */

/** struct fq_crash_suspects_t - zero-initialise before use. */
typedef struct
{
  fq_map_t entries;   /* by fingerprint */
  fq_time_t swept_at; /* last removal of expired suspects */
} fq_crash_suspects_t;

/**
 * fq_crash_suspects_add() - record that the request @fingerprint was running during a
 * crash.
 * @crash: id of the crash; the same id counts once for each request
 *
 * Has no effect on a new suspect while the maximum number of suspects is recorded.
 */
void fq_crash_suspects_add (fq_crash_suspects_t *suspects,
                            fq_time_t now,
                            uint64_t fingerprint,
                            uint64_t crash);

/** fq_crash_suspects_clear() - remove the suspect, since a server answered it. */
void fq_crash_suspects_clear (fq_crash_suspects_t *suspects, uint64_t fingerprint);

/** fq_crash_suspects_crashes() - crashes that the request is suspected of; 0: none. */
uint32_t fq_crash_suspects_crashes (const fq_crash_suspects_t *suspects,
                                    uint64_t fingerprint);

/** fq_crash_suspects_free() - free all suspects. */
void fq_crash_suspects_free (fq_crash_suspects_t *suspects);

#define FQ_RECENT_LOSSES_MAX 64 /* the newest replace the oldest */

/**
 * struct fq_recent_losses_t - ring of the runs whose server connection broke without an
 * answer; zero-initialise before use.
 */
typedef struct
{
  struct
  {
    uint64_t fingerprint; /* 0: unused */
    fq_time_t at;
  } lost[FQ_RECENT_LOSSES_MAX];
  size_t next;
} fq_recent_losses_t;

/** fq_recent_losses_add() - the server connection of a run broke without an answer. */
void
fq_recent_losses_add (fq_recent_losses_t *losses, fq_time_t now, uint64_t fingerprint);

/**
 * fq_recent_losses_take() - take out all losses, once the server is found to be down.
 * @out: room for FQ_RECENT_LOSSES_MAX fingerprints
 *
 * Return: number of fingerprints in @out, of runs that were lost within the last 1.5 s;
 * older losses are dropped.
 */
size_t fq_recent_losses_take (fq_recent_losses_t *losses, fq_time_t now, uint64_t *out);

#endif
