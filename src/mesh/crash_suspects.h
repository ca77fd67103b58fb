/**
 * DOC: Crash suspects: requests that may crash the servers which run them.
 *
 * A request that was running when a server crashed becomes a suspect, identified by a
 * fingerprint of its contents. It is cleared when a server answers it: a request that
 * crashes servers is never answered.
 *
 * Requests that run beside it become suspects too. A request that is suspected of
 * FQ_CRASHES_ISOLATED crashes is therefore isolated: no gate runs two of those at the
 * same time. The next crash is then blamed on the isolated request alone, and one that
 * did nothing is answered and cleared. A request is refused once it is suspected of
 * FQ_CRASHES_REFUSED crashes, of at least one alone. Only a run that started when its
 * request was isolated counts for that: servers that are lost at the same time for
 * another cause are several crashes for whatever ran at them.
 *
 * Suspects, and that they are cleared, are told to all connected entries, since the
 * client may send the request again through another node.
 */
#ifndef FQ_MESH_CRASH_SUSPECTS_H
#define FQ_MESH_CRASH_SUSPECTS_H

#include "filbertquay/types.h"
#include "util/map.h"

#define FQ_CRASHES_ISOLATED 2
#define FQ_CRASHES_REFUSED 3

/** struct fq_crash_suspect_t - a request that may crash servers. */
typedef struct
{
  uint64_t fingerprint;
  uint64_t crashes[FQ_CRASHES_REFUSED]; /* their ids; later ones are not kept */
  uint32_t count;                       /* number of these */
  bool alone; /* in one crash it was the only isolated request of the server */
  fq_time_t last_crash_at;
} fq_crash_suspect_t;

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
 * @alone: no other isolated request was running
 *
 * Has no effect on a new suspect while the maximum number of suspects is recorded.
 */
void fq_crash_suspects_add (fq_crash_suspects_t *suspects,
                            fq_time_t now,
                            uint64_t fingerprint,
                            uint64_t crash,
                            bool alone);

/** fq_crash_suspects_clear() - remove the suspect, since a server answered it. Return:
 * whether there was one. */
bool fq_crash_suspects_clear (fq_crash_suspects_t *suspects, uint64_t fingerprint);

/** fq_crash_suspects_find() - the suspect; NULL: the request is not suspected. */
const fq_crash_suspect_t *fq_crash_suspects_find (const fq_crash_suspects_t *suspects,
                                                  uint64_t fingerprint);

/** fq_crash_suspects_is_isolated() - whether the request has to run without another one
 * for which this is true. */
bool fq_crash_suspects_is_isolated (const fq_crash_suspects_t *suspects,
                                    uint64_t fingerprint);

/** fq_crash_suspects_is_refused() - whether the request crashes servers. */
bool fq_crash_suspects_is_refused (const fq_crash_suspects_t *suspects,
                                   uint64_t fingerprint);

/** fq_crash_suspects_next() - iterate over all suspects as with fq_map_next(). */
const fq_crash_suspect_t *fq_crash_suspects_next (const fq_crash_suspects_t *suspects,
                                                  size_t *cursor);

/** fq_crash_suspects_free() - free all suspects. */
void fq_crash_suspects_free (fq_crash_suspects_t *suspects);

#define FQ_RECENT_LOSSES_MAX 512 /* the newest replace the oldest */

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
    bool isolated; /* it was isolated when it started */
  } lost[FQ_RECENT_LOSSES_MAX];
  size_t next;
  size_t count; /* losses in @lost */
} fq_recent_losses_t;

/**
 * fq_recent_losses_add() - the server connection of a run broke without an answer.
 * @isolated: its request was isolated when the run started, so that no other isolated one
 * ran beside it
 */
void fq_recent_losses_add (fq_recent_losses_t *losses,
                           fq_time_t now,
                           uint64_t fingerprint,
                           bool isolated);

/** fq_recent_losses_forget() - drop the losses before @alive_at, when the server was
 * still running. */
void fq_recent_losses_forget (fq_recent_losses_t *losses, fq_time_t alive_at);

/**
 * fq_recent_losses_take() - take out all losses, once the server is found to have
 * crashed.
 * @window: older losses are dropped, microseconds
 * @out: room for FQ_RECENT_LOSSES_MAX fingerprints
 * @alone: receives whether exactly one of these requests was isolated; it is the first
 *
 * Return: number of fingerprints in @out, each once.
 */
size_t fq_recent_losses_take (fq_recent_losses_t *losses,
                              fq_time_t now,
                              fq_time_t window,
                              uint64_t *out,
                              bool *alone);

#endif
