/**
 * DOC: Blocking of poison requests, which crash the upstreams that run them.
 *
 * Every request that is running in an upstream when it crashes becomes a suspect, unless
 * a suspect is among them. A crash is detected when all connections are lost, a new one
 * is refused or the upstream announces a restart; the loss of one connection among
 * several is no crash. A gate runs at most one suspect at a time, concurrently with other
 * requests. A suspect that is answered is cleared; one that is running when the upstream
 * crashes again is blocked. A poison request therefore crashes two upstreams, and
 * requests that ran concurrently with it are not blocked.
 *
 * Suspicions are sent to the other nodes of the service directly and to all nodes by
 * gossip.
 */
#ifndef FQ_CORE_POISON_H
#define FQ_CORE_POISON_H

#include "filbertquay/event.h"
#include "filbertquay/types.h"

typedef struct fq_poison fq_poison_t;

#define FQ_POISON_CRASHES_MAX 2   /* upstreams that one request can crash */
#define FQ_POISON_TTL_SECONDS 600 /* lifetime of a suspicion */

/**
 * FQ_POISON_SOLE_SUSPECT - flag in a crash id: the request was the suspect that was
 * running.
 *
 * A gate runs one suspect at a time, so that only this request can have caused the crash;
 * it is blocked.
 */
#define FQ_POISON_SOLE_SUSPECT 1u

/** FQ_POISON_CLEARED - in place of a crash id: an upstream has answered the request. */
#define FQ_POISON_CLEARED 0u

/**
 * fq_poison_new() - create an empty set of suspicions.
 *
 * Return: 0 and *@out, to be freed with fq_poison_free(), or FQ_ERROR_NOMEM.
 */
int fq_poison_new (fq_poison_t **out);

/** fq_poison_free() - NULL-safe. */
void fq_poison_free (fq_poison_t *poison);

/**
 * fq_poison_is_empty() - whether no suspicion is held; a cleared one is held until it
 * expires.
 */
bool fq_poison_is_empty (const fq_poison_t *poison);

/**
 * fq_poison_add() - record a suspicion of the request @fingerprint, or its clearance.
 * @crash_id: id of the crash; FQ_POISON_CLEARED: clears the suspect unless it is blocked
 * @ttl_seconds: lifetime of the suspicion from @now on
 *
 * Return: 0, also if the crash is known already; or FQ_ERROR_NOMEM.
 */
int fq_poison_add (fq_poison_t *poison,
                   fq_time_t now,
                   uint64_t fingerprint,
                   uint64_t crash_id,
                   uint32_t ttl_seconds);

/** fq_poison_is_blocked() - whether the request has to be refused. */
bool
fq_poison_is_blocked (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint);

/**
 * fq_poison_last_crash() - id of the last crash for which the request @fingerprint is
 * suspected; 0: it is not suspected, or was cleared.
 */
uint64_t
fq_poison_last_crash (const fq_poison_t *poison, fq_time_t now, uint64_t fingerprint);

/**
 * fq_poison_acquire_slot() - take the suspect slot for @run, if the request is a suspect.
 *
 * Return: false if another suspect holds the slot; @run then has to wait until
 * fq_poison_slot_is_free(). Always true for a request that is not suspected.
 */
bool fq_poison_acquire_slot (fq_poison_t *poison,
                             fq_time_t now,
                             uint64_t fingerprint,
                             fq_id_t run);

/** fq_poison_release_slot() - release the suspect slot if @run holds it. */
void fq_poison_release_slot (fq_poison_t *poison, fq_id_t run);

/** fq_poison_slot_is_free() - whether no run holds the suspect slot. */
bool fq_poison_slot_is_free (const fq_poison_t *poison);

/**
 * fq_poison_clear_suspect() - clear a request that the upstream answered.
 * @out: clearance to send to the other nodes of the service
 *
 * Return: whether the request was a suspect and is cleared now; false if it was not, was
 * cleared before, or is blocked.
 */
bool fq_poison_clear_suspect (fq_poison_t *poison,
                              uint64_t fingerprint,
                              fq_poison_entry_t *out);

/**
 * fq_poison_record_loss() - record that @run lost its connection to the upstream.
 *
 * Call it before fq_poison_release_slot(). Whether the upstream crashed is decided later,
 * by fq_poison_clear_losses() or fq_poison_attribute_crash().
 */
void fq_poison_record_loss (fq_poison_t *poison,
                            fq_time_t now,
                            uint64_t fingerprint,
                            fq_id_t run);

/** fq_poison_clear_losses() - the upstream answered: discard the recorded losses. */
void fq_poison_clear_losses (fq_poison_t *poison);

/**
 * fq_poison_attribute_crash() - attribute a crash of the upstream to the recorded losses.
 * @upstream: identifies this incarnation of the upstream
 * @out: one new suspicion, to send to the other nodes of the service
 *
 * A call takes one loss, or all of them if a suspect is among them; call it until it
 * returns false.
 *
 * Return: true and *@out; false: no loss is left to attribute, or no memory.
 */
bool fq_poison_attribute_crash (fq_poison_t *poison,
                                fq_time_t now,
                                uint64_t upstream,
                                fq_poison_entry_t *out);

/**
 * fq_poison_select_for_gossip() - select the suspect that was gossiped least often.
 * @out: an entry for each of its crashes, up to @max
 *
 * Return: number of entries in @out; 0 without suspects.
 */
size_t fq_poison_select_for_gossip (fq_poison_t *poison,
                                    fq_time_t now,
                                    fq_poison_entry_t *out,
                                    size_t max);

/** fq_poison_tick() - remove suspicions whose lifetime has expired. */
void fq_poison_tick (fq_poison_t *poison, fq_time_t now);

#endif
