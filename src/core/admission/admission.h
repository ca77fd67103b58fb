/**
 * DOC: Admission at the gate: how many requests run in the upstream, which wait, and
 * which are refused.
 *
 * The limit comes from limiter.h, the order of those that wait from queue.h, and what is
 * told to the nodes at which chains enter from shed.h.
 *
 * A request offers an entry that lives in its own record. A slot that was given by
 * fq_admission_offer() or fq_admission_start_next() is returned once, by
 * fq_admission_finish().
 */
#ifndef FQ_CORE_ADMISSION_H
#define FQ_CORE_ADMISSION_H

#include "core/admission/limiter.h"
#include "core/admission/queue.h"
#include "core/admission/shed.h"
#include "filbertquay/types.h"

typedef struct fq_admission fq_admission_t;

/** enum fq_admission_policy_t - how the gate limits; all but ADAPTIVE are baselines. */
typedef enum
{
  FQ_ADMISSION_ADAPTIVE,
  FQ_ADMISSION_FIXED, /* the announced slots, a queue bounded only by deadlines */
  FQ_ADMISSION_NONE,  /* all is sent on */
} fq_admission_policy_t;

/** struct fq_admission_options_t - see FQ_ADMISSION_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  fq_admission_policy_t policy;
  uint64_t seed;
} fq_admission_options_t;

#define FQ_ADMISSION_OPTIONS_VERSION 1
#define FQ_ADMISSION_OPTIONS_INIT                                                        \
  {                                                                                      \
    .version = FQ_ADMISSION_OPTIONS_VERSION, .policy = FQ_ADMISSION_ADAPTIVE             \
  }

/** enum fq_admission_verdict_t - what becomes of an offer. */
typedef enum
{
  FQ_ADMISSION_RUN,     /* a slot was taken: send it to the upstream now */
  FQ_ADMISSION_QUEUED,  /* it waits; fq_admission_start_next() will return it */
  FQ_ADMISSION_REFUSED, /* not run, and never will be */
} fq_admission_verdict_t;

/** enum fq_admission_result_t - how a request left the upstream. */
typedef enum
{
  FQ_ADMISSION_FAILED = FQ_LIMITER_FAILED,         /* no whole answer */
  FQ_ADMISSION_ANSWERED = FQ_LIMITER_ANSWERED,     /* a whole answer */
  FQ_ADMISSION_UPSTREAM_REFUSED = FQ_LIMITER_SHED, /* the upstream refused it itself */
} fq_admission_result_t;

/** fq_admission_new() - a gate without an upstream; it refuses all until announced. */
int fq_admission_new (fq_admission_t **out, const fq_admission_options_t *options);

/** fq_admission_free() - NULL-safe; entries are their owners'. */
void fq_admission_free (fq_admission_t *admission);

/**
 * fq_admission_announce() - an upstream (re)started.
 * @slots: requests that it says it can run at once; 0 stops the gate
 * @connections: connections that it takes; the limit never exceeds it
 */
void fq_admission_announce (fq_admission_t *admission,
                            fq_time_t now,
                            uint32_t slots,
                            uint32_t connections);

/** fq_admission_set_cap() - never run more than @cap at once; 0: no cap. */
void fq_admission_set_cap (fq_admission_t *admission, uint32_t cap);

/** fq_admission_would_refuse() - whether an offer of @entry would be refused now. */
bool fq_admission_would_refuse (fq_admission_t *admission,
                                fq_time_t now,
                                const fq_admission_entry_t *entry,
                                fq_cause_t *cause);

/** fq_admission_offer() - offer @entry; @cause is set when it is refused. */
fq_admission_verdict_t fq_admission_offer (fq_admission_t *admission,
                                           fq_time_t now,
                                           fq_admission_entry_t *entry,
                                           fq_cause_t *cause);

/** fq_admission_start_next() - give a free slot to a waiting entry; NULL: none. */
fq_admission_entry_t *fq_admission_start_next (fq_admission_t *admission, fq_time_t now);

/**
 * fq_admission_refuse_next() - take out one entry that should wait no longer.
 *
 * To be called until it returns NULL after each offer, so that what an arrival pushed
 * out is refused at once.
 */
fq_admission_entry_t *
fq_admission_refuse_next (fq_admission_t *admission, fq_time_t now, fq_cause_t *cause);

/** fq_admission_remove() - a waiting entry is given up by its owner. */
void fq_admission_remove (fq_admission_t *admission, fq_admission_entry_t *entry);

/**
 * fq_admission_finish() - return the slot of @entry.
 * @result: says whether the time taken is a sample of the upstream's speed
 */
void fq_admission_finish (fq_admission_t *admission,
                          fq_time_t now,
                          fq_admission_entry_t *entry,
                          fq_admission_result_t result);

/**
 * fq_admission_record_downstream_refusal() - a run that was admitted here found no room
 * further down.
 *
 * It counts as refused for load, so that the level published here holds for the whole
 * chain below and work for chains that can't end well is not begun.
 */
void fq_admission_record_downstream_refusal (fq_admission_t *admission,
                                             fq_time_t now,
                                             const fq_admission_entry_t *entry);

/** fq_admission_load() - what to tell others of this gate. */
void fq_admission_load (const fq_admission_t *admission, fq_load_t *out);

/**
 * fq_admission_load_for_member() - what to tell with an answer to a request of @member.
 * @member: fq_map_hash() of its name
 *
 * The shed level is told only to members that were refused for load within the last two
 * seconds: they are the ones that ask for more than their share.
 */
void fq_admission_load_for_member (const fq_admission_t *admission,
                                   fq_time_t now,
                                   uint64_t member,
                                   fq_load_t *out);

/** fq_admission_retry_after_ms() - when a refused request of a class should come back. */
uint32_t fq_admission_retry_after_ms (fq_admission_t *admission,
                                      fq_time_t now,
                                      fq_class_t request_class);

#endif
