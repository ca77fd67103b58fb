/**
 * DOC: Requests that crash the servers which run them.
 *
 * What ran when a server crashed is blamed, by a fingerprint of what the server was asked
 * to do. A request that was blamed for several crashes is not run any more; one that a
 * server answers is cleared. Crashes are told to all nodes, so that the next machine at
 * which the request comes knows them too.
 */
#ifndef FQ_MESH_BLAME_H
#define FQ_MESH_BLAME_H

#include "filbertquay/types.h"
#include "util/map.h"

#define FQ_BLAME_CRASHES_MAX 3 /* crashes after which a request is not run any more */

/** struct fq_blame_t - zero-initialise before use. */
typedef struct
{
  fq_map_t entries; /* by fingerprint */
  fq_time_t swept_at;
} fq_blame_t;

/** fq_crash_suspects_add() - @fingerprint ran when the crash named @crash happened. */
void fq_crash_suspects_add (fq_blame_t *crash_suspects,
                            fq_time_t now,
                            uint64_t fingerprint,
                            uint64_t crash);

/** fq_blame_clear() - a server answered the request. */
void fq_blame_clear (fq_blame_t *crash_suspects, uint64_t fingerprint);

/** fq_blame_crashes() - crashes that the request is blamed for. */
uint32_t fq_blame_crashes (const fq_blame_t *crash_suspects, uint64_t fingerprint);

/** fq_crash_suspects_free() - forget everything. */
void fq_crash_suspects_free (fq_blame_t *crash_suspects);

#define FQ_RECENT_LOSSES_MAX 64 /* lost runs that are remembered */

/** struct fq_crash_watch_t - runs whose connection broke a moment ago; zeroed at first.
 */
typedef struct
{
  struct
  {
    uint64_t fingerprint;
    fq_time_t at;
  } lost[FQ_RECENT_LOSSES_MAX];
  size_t next;
} fq_crash_watch_t;

/** fq_crash_watch_lost() - the connection of a run broke without an answer. */
void fq_crash_watch_lost (fq_crash_watch_t *watch, fq_time_t now, uint64_t fingerprint);

/**
 * fq_recent_losses_take() - the server is found to be down.
 * @out: FQ_RECENT_LOSSES_MAX entries
 *
 * Return: how many fingerprints of runs that were lost just before are in @out.
 */
size_t fq_recent_losses_take (fq_crash_watch_t *watch, fq_time_t now, uint64_t *out);

#endif
