/**
 * DOC: Requests that crash the upstreams which run them.
 *
 * All that runs in an upstream when it crashes becomes suspect. A crash takes all
 * connections, or the next one is refused; one that is lost alone is none. A gate
 * runs one suspect at a time, beside its other work: one that is answered is cleared,
 * and one that runs when the upstream crashes again is blocked. So a request that does
 * crash upstreams costs two of them, and what ran beside it is not blamed.
 *
 * Suspicions go to the other nodes of the service at once and to all by gossip.
 */
#ifndef FQ_CORE_POISON_H
#define FQ_CORE_POISON_H

#include "filbertquay/event.h"
#include "filbertquay/types.h"

typedef struct fq_poison fq_poison_t;

#define FQ_POISON_CRASHES 2 /* upstreams that a request may cost */
#define FQ_POISON_TTL_SECONDS 600

/** FQ_POISON_ALONE - bit of a crash's name: only the named suspect can have caused it. */
#define FQ_POISON_ALONE 1u

/** FQ_POISON_CLEARED - in place of a crash: an upstream has answered the request. */
#define FQ_POISON_CLEARED 0u

/** fq_poison_new() - no suspicions. */
int fq_poison_new (fq_poison_t **out);

/** fq_poison_free() - NULL-safe. */
void fq_poison_free (fq_poison_t *poison);

/** fq_poison_is_empty() - whether there are no suspicions at all. */
bool fq_poison_is_empty (const fq_poison_t *poison);

/** fq_poison_add() - another node suspects the request @fingerprint, or clears it. */
int fq_poison_add (fq_poison_t *poison,
                   fq_time_t now,
                   uint64_t fingerprint,
                   uint64_t crash,
                   uint32_t ttl_seconds);

/** fq_poison_is_blocked() - whether the request is to be refused. */
bool
fq_poison_is_blocked (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint);

/** fq_poison_crash_of() - the last crash for which the request is suspect; 0: none. */
uint64_t
fq_poison_crash_of (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint);

/**
 * fq_poison_enter() - the run @run of the request is about to go to the upstream.
 *
 * Return: false when it is suspect and another suspect runs; it is to wait for
 * fq_poison_is_free().
 */
bool
fq_poison_enter (fq_poison_t *poison, fq_time_t now, uint64_t fingerprint, fq_id_t run);

/** fq_poison_leave() - @run is over or given up; harmless for one that is not suspect. */
void fq_poison_leave (fq_poison_t *poison, fq_id_t run);

/** fq_poison_is_free() - whether the next suspect may enter. */
bool fq_poison_is_free (const fq_poison_t *poison);

/**
 * fq_poison_answered() - the upstream answered the request: it is cleared.
 * @out: for the other nodes of the service
 *
 * Return: whether it was suspect until now.
 */
bool
fq_poison_answered (fq_poison_t *poison, uint64_t fingerprint, fq_poison_entry_t *out);

/**
 * fq_poison_lost() - @run lost its connection to the upstream after it was sent.
 *
 * To be called before fq_poison_leave(). It is not known yet whether the upstream
 * crashed: fq_poison_alive() and fq_poison_crashed() tell.
 */
void
fq_poison_lost (fq_poison_t *poison, fq_time_t now, uint64_t fingerprint, fq_id_t run);

/** fq_poison_alive() - the upstream answered something, so that it did not crash. */
void fq_poison_alive (fq_poison_t *poison);

/**
 * fq_poison_crashed() - the upstream crashed with all that was lost lately.
 * @upstream: names this start of the upstream
 * @out: a new suspicion, for the other nodes of the service
 *
 * To be called until it returns false.
 */
bool fq_poison_crashed (fq_poison_t *poison,
                        fq_time_t now,
                        uint64_t upstream,
                        fq_poison_entry_t *out);

/** fq_poison_pick() - up to @max suspicions to gossip, the least told first. */
size_t
fq_poison_pick (fq_poison_t *poison, fq_time_t now, fq_poison_entry_t *out, size_t max);

/** fq_poison_tick() - forget what has passed its time to live. */
void fq_poison_tick (fq_poison_t *poison, fq_time_t now);

#endif
