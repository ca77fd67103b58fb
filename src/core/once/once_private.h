/**
 * DOC: Internal state of claims, shared by the files of src/core/once.
 *
 * An entry is an idempotency key with a claim, a waiter or a pending write at this gate.
 * A waiter is a run that waits for a verdict on the key. The holder is the waiter whose
 * claim was granted. An attempt is one claim of a key by one gate; its name is unique
 * among all gates.
 */
#ifndef FQ_CORE_ONCE_PRIVATE_H
#define FQ_CORE_ONCE_PRIVATE_H

#include "core/once/once.h"
#include "core/once/once_row.h"
#include "core/once/once_sweep.h"
#include "core/once/once_writer.h"
#include "util/map.h"
#include "util/random.h"
#include "util/wheel.h"

/* The maximum delay before a read or a claim is retried, or a claimed row polled. */
#define FQ_ONCE_POLL_BACKOFF_MAX_US (500 * FQ_MICROSECONDS_PER_MS)
/* The maximum delay before the write of an outcome or a release is retried. */
#define FQ_ONCE_WRITE_BACKOFF_MAX_US (2 * FQ_MICROSECONDS_PER_SECOND)

/** enum fq_once_timer_kind_t - the owner of a timer. */
typedef enum
{
  FQ_ONCE_TIMER_ENTRY,  /* the next poll or retry of an entry */
  FQ_ONCE_TIMER_WAITER, /* the deadline of a waiter */
} fq_once_timer_kind_t;

/** enum fq_once_state_t - the state of an entry. */
typedef enum
{
  FQ_ONCE_CLAIMING, /* the claim of this gate is being written, or will be retried */
  FQ_ONCE_POLLING,  /* another attempt holds the key; its row is read again and again */
  FQ_ONCE_FETCHING_OBJECT, /* the body of another attempt's answer is being read */
  FQ_ONCE_HELD,            /* this gate holds the key; the holder may be sent */
  FQ_ONCE_STORING_OBJECT,  /* the body of the holder's answer is being written */
  FQ_ONCE_RECORDING,       /* the row with the holder's outcome is being written */
  FQ_ONCE_RELEASING,       /* the claim is being replaced by a free row */
} fq_once_state_t;

typedef struct fq_once_entry fq_once_entry_t;

/** struct fq_once_waiter_t - a run that waits for its verdict, or the holder. */
typedef struct
{
  fq_list_t link;
  fq_once_entry_t *entry;
  fq_id_t run;
  fq_once_hash_t request_hash;
  fq_timer_t timer;
} fq_once_waiter_t;

/**
 * struct fq_once_entry - one idempotency key; owns its strings.
 *
 * Some fields are valid in some states only: @holder in FQ_ONCE_HELD, @op in
 * FQ_ONCE_POLLING, FQ_ONCE_FETCHING_OBJECT and FQ_ONCE_STORING_OBJECT, @answer and
 * @record_value in FQ_ONCE_STORING_OBJECT and FQ_ONCE_RECORDING, @object_row in
 * FQ_ONCE_FETCHING_OBJECT.
 */
struct fq_once_entry
{
  fq_once_t *once;
  char *key;
  uint64_t hash; /* of @key */
  fq_once_state_t state;
  fq_timer_t timer;
  fq_once_write_t write;
  fq_id_t op; /* the pending read, or object operation; 0: none */
  fq_list_t waiters;
  fq_once_waiter_t *holder; /* NULL: none */
  fq_once_row_t claim_row;  /* the claim of the current attempt */
  char *claim_value;        /* @claim_row encoded; NULL: no attempt yet */
  char *release_value;      /* the free row that replaces @claim_value on release */
  char *replaced_value;     /* the free row that the claim replaces; NULL: no row */
  bool ambiguous; /* an answer to the claim was lost: it may still take effect */
  bool is_bound;  /* a row that is not free is known: @bound_hash is valid */
  fq_once_hash_t bound_hash; /* the request for which the key was used */
  fq_time_t state_since;     /* when @state began */
  unsigned int retry_count;  /* in @state */
  fq_answer_t answer;        /* of the holder, until it is stored; owns the body */
  char *record_value;        /* the encoded row with the outcome of the holder */
  fq_once_row_t object_row;  /* in FQ_ONCE_FETCHING_OBJECT: the row of that object */
};

/** struct fq_once - all claims of a gate. */
struct fq_once
{
  char node[FQ_NAME_BYTES];
  uint64_t incarnation;
  fq_random_t random;
  uint64_t attempt_count; /* attempts so far; part of their names */
  uint64_t op_count;      /* store operations so far; part of their identifiers */
  fq_time_t now;
  int64_t wall_ms;
  fq_effects_t *effects;
  fq_map_t entries;       /* by the hash of their key */
  fq_map_t waiters;       /* by run */
  fq_map_t entries_by_op; /* by the identifier of their pending operation */
  fq_list_t verdicts;
  fq_once_writer_t writer;
  fq_once_sweep_t sweep;
  fq_wheel_t wheel;
  unsigned int consecutive_losses; /* operations in a row without an answer */
  fq_time_t next_probe_at; /* while the store is down: when it may be probed next */
  fq_id_t probe_op;        /* the pending probe read; 0: none */
  bool probe_requested;    /* a claim was refused or an operation postponed */
  size_t pending_bytes;    /* size of all answers that are not stored yet */
};

/* once.c */
void fq_once_add_verdict (fq_once_waiter_t *waiter,
                          fq_once_verdict_kind_t kind,
                          const fq_answer_t *answer);
void fq_once_waiter_free (fq_once_waiter_t *waiter);

/* once_probe.c */
bool fq_once_store_is_down (const fq_once_t *once);
/** fq_once_admit_claim() - whether a new key may be claimed; if not, request a probe. */
bool fq_once_admit_claim (fq_once_t *once);
/** fq_once_record_store_status() - update the state of the store by a result. */
void fq_once_record_store_status (fq_once_t *once, fq_store_status_t status);
/** fq_once_send_probe() - send a probe read when one is requested and due. */
void fq_once_send_probe (fq_once_t *once);
void fq_once_handle_probe_answer (fq_once_t *once, fq_store_status_t status);
/** fq_once_backoff() - the delay before the next retry: exponential, with jitter. */
fq_time_t
fq_once_backoff (fq_once_t *once, unsigned int retry_count, fq_time_t max_delay);

/* once_entry.c */
/**
 * fq_once_entry_new() - add an entry for @key, a row key with this @hash, to @once.
 *
 * Return: the entry, owned by @once until fq_once_entry_free(); NULL: no memory.
 */
fq_once_entry_t *fq_once_entry_new (fq_once_t *once, const char *key, uint64_t hash);
/** fq_once_value_equal() - whether two row values are equal; NULL (no row) never is. */
bool fq_once_value_equal (const char *a, const char *b);
/** fq_once_entry_clear_attempt() - remove the attempt; the next claim gets a new name. */
void fq_once_entry_clear_attempt (fq_once_entry_t *entry);
void fq_once_entry_free (fq_once_entry_t *entry);
void fq_once_entry_set_state (fq_once_entry_t *entry, fq_once_state_t state);
void fq_once_entry_arm_retry (fq_once_entry_t *entry, fq_time_t max_delay);
/** fq_once_entry_first_waiter() - the waiter that came first, or NULL; not the holder. */
fq_once_waiter_t *fq_once_entry_first_waiter (const fq_once_entry_t *entry);
/** fq_once_entry_decide_all() - queue the same verdict for all waiters but the holder. */
void fq_once_entry_decide_all (fq_once_entry_t *entry,
                               fq_once_verdict_kind_t kind,
                               const fq_answer_t *answer);
void fq_once_entry_bind (fq_once_entry_t *entry, fq_once_hash_t request_hash);
/** fq_once_row_encode_or_abort() - as fq_once_row_encode(); never returns NULL. */
char *fq_once_row_encode_or_abort (const fq_once_row_t *row);
/**
 * fq_once_entry_submit_write() - write the row of the key.
 * @expected: the value that is replaced; NULL: there must be no row
 */
void fq_once_entry_submit_write (fq_once_entry_t *entry,
                                 const char *value,
                                 const char *expected);
/** fq_once_entry_send_op() - send a read or object operation; takes over @value. */
void fq_once_entry_send_op (fq_once_entry_t *entry,
                            fq_store_kind_t kind,
                            const char *key,
                            char *value);
void fq_once_entry_write_settled (fq_once_entry_t *entry);
void fq_once_entry_op_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer);
void fq_once_entry_timer_fired (fq_once_entry_t *entry);
void fq_once_entry_add_waiter (fq_once_entry_t *entry, fq_once_waiter_t *waiter);
void fq_once_entry_waiter_left (fq_once_entry_t *entry);

/* once_claim.c */
void fq_once_entry_start_claim (fq_once_entry_t *entry);
void fq_once_claim_fetch_object (fq_once_entry_t *entry);
/**
 * fq_once_entry_fail_claim() - end all waiters with FQ_ONCE_UNAVAILABLE; release the
 * claim if it is ambiguous, else free @entry.
 */
void fq_once_entry_fail_claim (fq_once_entry_t *entry);
void fq_once_claim_write_settled (fq_once_entry_t *entry);
void fq_once_claim_poll_answered (fq_once_entry_t *entry,
                                  const fq_store_answer_t *answer);
void fq_once_claim_object_answered (fq_once_entry_t *entry,
                                    const fq_store_answer_t *answer);

/* once_outcome.c */
void fq_once_entry_release_claim (fq_once_entry_t *entry);
void fq_once_release_write_settled (fq_once_entry_t *entry);
void fq_once_record_write_settled (fq_once_entry_t *entry);
void fq_once_record_write_row (fq_once_entry_t *entry);
void fq_once_record_put_object (fq_once_entry_t *entry);
/** fq_once_record_decide_waiters() - queue verdicts by the holder's outcome. */
void fq_once_record_decide_waiters (fq_once_entry_t *entry);
void fq_once_entry_record_outcome (fq_once_entry_t *entry, const fq_answer_t *answer);

#endif
