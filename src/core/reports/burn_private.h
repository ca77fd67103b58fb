/**
 * DOC: What burn.c (roll-ups) and burn_question.c (reports) share.
 */
#ifndef FQ_CORE_BURN_PRIVATE_H
#define FQ_CORE_BURN_PRIVATE_H

#include "core/reports/burn.h"
#include "core/reports/burn_report.h"
#include "core/reports/burn_table.h"
#include "util/random.h"

#define FQ_BURN_KEY_BYTES (FQ_NAME_BYTES + FQ_SERVICE_BYTES + 8)

/* Where the roll-up of one member's counts stands. */
typedef enum
{
  FQ_BURN_WAITING, /* for its turn, or to try again, at @next */
  FQ_BURN_READING,
  FQ_BURN_WRITING,
} fq_burn_state_t;

typedef struct
{
  fq_list_t link;
  fq_id_t call;
  fq_id_t store; /* the operation that is awaited */
  char member[FQ_NAME_BYTES];
  fq_time_t deadline;
  fq_burn_view_t view;
} fq_burn_question_t;

struct fq_burn
{
  char node[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES];
  uint64_t incarnation;
  uint32_t turn_ms;
  const fq_tickets_t *tickets;
  fq_random_t random;
  uint64_t store_ids;
  fq_burn_table_t unsent;  /* counted since the last turn began */
  fq_burn_table_t sending; /* not known to be in the rows yet, as @sequence */
  uint64_t sequence;
  fq_burn_state_t state;
  fq_time_t next;             /* 0: not set yet */
  fq_id_t store;              /* the operation that is awaited; 0: none */
  char member[FQ_NAME_BYTES]; /* whose counts are being rolled up */
  unsigned int tries;
  unsigned int backoff;
  bool stopping;
  bool gave_up; /* the last roll-up could not be made */
  fq_list_t questions;
  size_t question_count;
};

/** fq_burn_ask_store() - hand over @op; the identifier that its answer will have. */
fq_id_t fq_burn_ask_store (fq_burn_t *burn, fq_store_op_t *op, fq_effects_t *effects);

/** fq_burn_question_store() - the rows that a report waits for; false: for none. */
bool fq_burn_question_store (fq_burn_t *burn,
                             int64_t wall_ms,
                             const fq_store_answer_t *answer,
                             fq_effects_t *effects);

/** fq_burn_question_tick() - end reports whose rows did not come in time. */
void fq_burn_question_tick (fq_burn_t *burn,
                            fq_time_t now,
                            int64_t wall_ms,
                            fq_effects_t *effects);

/** fq_burn_question_free_all() - forget all reports. */
void fq_burn_question_free_all (fq_burn_t *burn);

#endif
