/**
 * DOC: Admission control at the gate, through which a node sends requests to its
 * upstream: how many requests run at once, which are queued and which are refused.
 *
 * limiter.h computes the concurrency limit, queue.h orders the queued requests, and
 * shed.h computes the shed level that is reported to the entry nodes, at which call
 * chains start.
 *
 * The caller owns each entry and keeps it valid while it is queued, evicted or running.
 * A slot that was assigned by fq_admission_offer() or fq_admission_start_next() is
 * returned once, by fq_admission_finish().
 */
#ifndef FQ_CORE_ADMISSION_H
#define FQ_CORE_ADMISSION_H

#include "core/admission/limiter.h"
#include "core/admission/queue.h"
#include "core/admission/shed.h"
#include "filbertquay/types.h"

typedef struct fq_admission fq_admission_t;

/**
 * enum fq_admission_policy_t - how the gate limits concurrency.
 *
 * FIXED and NONE are baselines for comparison.
 */
typedef enum
{
  FQ_ADMISSION_ADAPTIVE, /* a limit that follows the latency, and a bounded queue */
  FQ_ADMISSION_FIXED, /* the announced slots as limit; only deadlines bound the queue */
  FQ_ADMISSION_NONE,  /* no limit */
} fq_admission_policy_t;

/** struct fq_admission_options_t - see FQ_ADMISSION_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_admission_policy_t policy;
  uint64_t seed; /* of the random spread of retry delays */
} fq_admission_options_t;

#define FQ_ADMISSION_OPTIONS_VERSION 1
#define FQ_ADMISSION_OPTIONS_INIT                                                        \
  {                                                                                      \
    .version = FQ_ADMISSION_OPTIONS_VERSION, .policy = FQ_ADMISSION_ADAPTIVE             \
  }

/** enum fq_admission_verdict_t - result of an offer. */
typedef enum
{
  FQ_ADMISSION_RUN,     /* it holds a slot: send it to the upstream now */
  FQ_ADMISSION_QUEUED,  /* returned later by fq_admission_start_next() or
                         * fq_admission_refuse_next() */
  FQ_ADMISSION_REFUSED, /* it was not run and is not queued */
} fq_admission_verdict_t;

/** enum fq_admission_result_t - how a request ended in the upstream. */
typedef enum
{
  FQ_ADMISSION_FAILED = FQ_LIMITER_FAILED,     /* no complete answer */
  FQ_ADMISSION_ANSWERED = FQ_LIMITER_ANSWERED, /* a complete answer */
  FQ_ADMISSION_UPSTREAM_REFUSED
  = FQ_LIMITER_UPSTREAM_REFUSED, /* refused for overload by the upstream itself */
} fq_admission_result_t;

/**
 * fq_admission_new() - create a gate, which refuses all requests until
 * fq_admission_announce().
 *
 * Return: 0 and *@out, to be freed with fq_admission_free(), or FQ_ERROR_NOMEM.
 */
int fq_admission_new (fq_admission_t **out, const fq_admission_options_t *options);

/** fq_admission_free() - NULL-safe; entries stay with their owners. */
void fq_admission_free (fq_admission_t *admission);

/**
 * fq_admission_announce() - an upstream started or restarted; resets the limit.
 * @slots: requests that it can run at once, by its own account; 0: there is no upstream,
 * and all requests are refused
 * @connections: connections that it accepts; the adaptive limit never exceeds this number
 */
void fq_admission_announce (fq_admission_t *admission,
                            fq_time_t now,
                            uint32_t slots,
                            uint32_t connections);

/** fq_admission_set_cap() - set an upper bound of the adaptive limit; 0: none. */
void fq_admission_set_cap (fq_admission_t *admission, uint32_t cap);

/**
 * fq_admission_would_refuse() - whether an offer of @entry would be refused now, for lack
 * of an upstream or, under the adaptive policy, because it would miss its deadline.
 * @cause: set only when the return is true
 */
bool fq_admission_would_refuse (fq_admission_t *admission,
                                fq_time_t now,
                                const fq_admission_entry_t *entry,
                                fq_cause_t *cause);

/**
 * fq_admission_offer() - run, queue or refuse @entry.
 * @entry: request_class, member, chain_id, internal and deadline are set by the caller
 * @cause: set when @entry is refused
 */
fq_admission_verdict_t fq_admission_offer (fq_admission_t *admission,
                                           fq_time_t now,
                                           fq_admission_entry_t *entry,
                                           fq_cause_t *cause);

/**
 * fq_admission_start_next() - assign a free slot to the next queued entry.
 *
 * Return: the entry, to be sent to the upstream; NULL: no free slot or no queued entry.
 */
fq_admission_entry_t *fq_admission_start_next (fq_admission_t *admission, fq_time_t now);

/**
 * fq_admission_refuse_next() - remove one queued entry that must be refused: it was
 * evicted, waited too long, or would miss its deadline.
 * @cause: set when an entry is returned
 *
 * Call it after each offer until it returns NULL, so that entries evicted by the arrival
 * are refused at once. Always NULL unless the policy is adaptive.
 */
fq_admission_entry_t *
fq_admission_refuse_next (fq_admission_t *admission, fq_time_t now, fq_cause_t *cause);

/**
 * fq_admission_remove() - remove a queued or evicted entry that its owner cancels; no
 * effect on any other entry.
 */
void fq_admission_remove (fq_admission_t *admission, fq_admission_entry_t *entry);

/**
 * fq_admission_finish() - return the slot of @entry; no effect if it holds none.
 * @result: decides whether the elapsed time is a latency sample
 */
void fq_admission_finish (fq_admission_t *admission,
                          fq_time_t now,
                          fq_admission_entry_t *entry,
                          fq_admission_result_t result);

/**
 * fq_admission_record_downstream_refusal() - a request that was admitted here was refused
 * for overload by a service that its upstream called.
 *
 * It counts as refused for overload here too, so that the shed level of this gate covers
 * the whole chain below it, and chains that would fail further down are not started.
 */
void fq_admission_record_downstream_refusal (fq_admission_t *admission,
                                             fq_time_t now,
                                             const fq_admission_entry_t *entry);

/**
 * fq_admission_load() - fill in the load and shed level of this gate.
 * @out: its limit is at most the connections of the upstream, also without a limit
 */
void fq_admission_load (const fq_admission_t *admission, fq_load_t *out);

/**
 * fq_admission_load_for_member() - fill in the load to report with an answer to @member.
 * @member: fq_map_hash() of its name
 *
 * The shed level is reported only to members that had a request refused for overload
 * within the last two seconds, as these exceed their share.
 */
void fq_admission_load_for_member (const fq_admission_t *admission,
                                   fq_time_t now,
                                   uint64_t member,
                                   fq_load_t *out);

/** fq_admission_retry_after_ms() - delay to suggest with a refusal of a class. */
uint32_t fq_admission_retry_after_ms (fq_admission_t *admission,
                                      fq_time_t now,
                                      fq_class_t request_class);

#endif
