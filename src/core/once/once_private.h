/**
 * DOC: The state of claims, shared by the files of this part.
 *
 * An entry is a key that this gate deals with now. A waiter is a run that wants a
 * verdict on it. The holder is the waiter that was granted.
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

#define FQ_ONCE_POLL_MOST_US                                                             \
  (500 * FQ_MICROSECONDS_PER_MS) /* between tries of a read or claim, at most */
#define FQ_ONCE_WRITE_MOST_US                                                            \
  (2 * FQ_MICROSECONDS_PER_SECOND) /* between tries of a write, at most */

/** enum fq_once_timer_kind_t - what a timer belongs to. */
typedef enum
{
  FQ_ONCE_TIMER_ENTRY,  /* the next poll, or another try */
  FQ_ONCE_TIMER_WAITER, /* its deadline */
} fq_once_timer_kind_t;

/** enum fq_once_state_t - where an entry stands. */
typedef enum
{
  FQ_ONCE_CLAIMING,  /* our claim is with the store */
  FQ_ONCE_POLLING,   /* another attempt holds the key */
  FQ_ONCE_FETCHING,  /* the large answer of another attempt is being read */
  FQ_ONCE_HELD,      /* the holder may run */
  FQ_ONCE_STORING,   /* the large answer of our run is being kept */
  FQ_ONCE_RECORDING, /* the outcome of our run is being written */
  FQ_ONCE_RELEASING, /* our claim is being taken back */
} fq_once_state_t;

typedef struct fq_once_entry fq_once_entry_t;

/** struct fq_once_waiter_t - a run without its final verdict, or the holder. */
typedef struct
{
  fq_list_t link;
  fq_once_entry_t *entry;
  fq_id_t run;
  fq_once_hash_t request;
  fq_timer_t timer;
} fq_once_waiter_t;

/** struct fq_once_entry - one key; see FQ_ONCE_* states for which fields count. */
struct fq_once_entry
{
  fq_once_t *once;
  char *key;
  uint64_t hash;
  fq_once_state_t state;
  fq_timer_t timer;
  fq_once_write_t write;
  fq_id_t op; /* the read or object that is under way; 0: none */
  fq_list_t waiters;
  fq_once_waiter_t *holder;
  fq_once_row_t own;    /* our claim */
  char *own_value;      /* its row; NULL: no attempt of ours */
  char *free_value;     /* the row that frees it for good */
  char *taken_over;     /* the free row that our claim replaces; NULL: none */
  bool ambiguous;       /* an answer to our claim was lost: it may still take effect */
  bool is_bound;        /* somebody's row is known: @bound is its request */
  fq_once_hash_t bound; /* what the key stands for */
  fq_time_t since;      /* when the state began */
  unsigned int tries;   /* in this state */
  fq_answer_t answer;   /* of our run, while it is being kept; owns the body */
  char *record;         /* the row that keeps it */
  fq_once_row_t found;  /* the row whose object is being read */
};

/** struct fq_once - all claims of a gate. */
struct fq_once
{
  char node[FQ_NAME_BYTES];
  uint64_t incarnation;
  fq_random_t random;
  uint64_t attempts; /* counts our attempts */
  uint64_t ops;      /* counts our store operations */
  fq_time_t now;
  int64_t wall_ms;
  fq_effects_t *effects;
  fq_map_t entries; /* by the hash of their key */
  fq_map_t waiters; /* by run */
  fq_map_t by_op;   /* entries by the read or object under way */
  fq_list_t verdicts;
  fq_once_writer_t writer;
  fq_once_sweep_t sweep;
  fq_wheel_t wheel;
  unsigned int losses; /* answers lost in a row */
  fq_time_t probe_at;  /* when the store that seems down may be tried again */
  fq_id_t probe;       /* the read that tries it; 0: none */
  bool probe_wanted;   /* a claim was refused since the last one */
  size_t kept_bytes;   /* of answers that are being kept */
};

/* once.c */
void fq_once_decide (fq_once_waiter_t *waiter,
                     fq_once_verdict_kind_t kind,
                     const fq_answer_t *answer);
void fq_once_waiter_free (fq_once_waiter_t *waiter);

/* once_probe.c */
bool fq_once_is_down (const fq_once_t *once);
bool fq_once_may_ask (fq_once_t *once);
void fq_once_note (fq_once_t *once, fq_store_status_t status);
void fq_once_probe (fq_once_t *once);
void fq_once_probed (fq_once_t *once, fq_store_status_t status);
fq_time_t fq_once_backoff (fq_once_t *once, unsigned int tries, fq_time_t most);

/* once_entry.c */
fq_once_entry_t *fq_once_entry_new (fq_once_t *once, const char *key, uint64_t hash);
bool fq_once_same_text (const char *a, const char *b);
void fq_once_entry_forget_attempt (fq_once_entry_t *entry);
void fq_once_entry_free (fq_once_entry_t *entry);
void fq_once_entry_enter (fq_once_entry_t *entry, fq_once_state_t state);
void fq_once_entry_try_later (fq_once_entry_t *entry, fq_time_t most);
fq_once_waiter_t *fq_once_entry_first (const fq_once_entry_t *entry);
void fq_once_entry_decide (fq_once_entry_t *entry,
                           fq_once_verdict_kind_t kind,
                           const fq_answer_t *answer);
void fq_once_entry_bind (fq_once_entry_t *entry, fq_once_hash_t request);
char *fq_once_row_text (const fq_once_row_t *row);
void
fq_once_entry_submit (fq_once_entry_t *entry, const char *value, const char *expected);
void fq_once_entry_ask (fq_once_entry_t *entry,
                        fq_store_kind_t kind,
                        const char *key,
                        char *value);
void fq_once_entry_written (fq_once_entry_t *entry);
void fq_once_entry_answered (fq_once_entry_t *entry, const fq_store_answer_t *answer);
void fq_once_entry_expired (fq_once_entry_t *entry);
void fq_once_entry_join (fq_once_entry_t *entry, fq_once_waiter_t *waiter);
void fq_once_entry_left (fq_once_entry_t *entry);

/* once_claim.c */
void fq_once_entry_begin (fq_once_entry_t *entry);
void fq_once_claim_fetch (fq_once_entry_t *entry);
void fq_once_entry_fail (fq_once_entry_t *entry);
void fq_once_claim_written (fq_once_entry_t *entry);
void fq_once_claim_polled (fq_once_entry_t *entry, const fq_store_answer_t *answer);
void fq_once_claim_fetched (fq_once_entry_t *entry, const fq_store_answer_t *answer);

/* once_outcome.c */
void fq_once_entry_release (fq_once_entry_t *entry);
void fq_once_release_written (fq_once_entry_t *entry);
void fq_once_record_written (fq_once_entry_t *entry);
void fq_once_record_row (fq_once_entry_t *entry);
void fq_once_record_object (fq_once_entry_t *entry);
void fq_once_record_replay (fq_once_entry_t *entry);
void fq_once_entry_record (fq_once_entry_t *entry, const fq_answer_t *answer);

#endif
