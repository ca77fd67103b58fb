/**
 * DOC: State shared by burn.c (roll-ups) and burn_query.c (operator queries).
 */
#ifndef FQ_CORE_BURN_PRIVATE_H
#define FQ_CORE_BURN_PRIVATE_H

#include "core/reports/burn.h"
#include "core/reports/burn_report.h"
#include "core/reports/burn_table.h"
#include "util/random.h"

/* The key of a row, "burn/MEMBER/SERVICE", with its NUL. */
#define FQ_BURN_KEY_BYTES (FQ_NAME_BYTES + FQ_SERVICE_BYTES + 8)

/* State of the roll-up of one member's counts. */
typedef enum
{
  FQ_BURN_WAITING, /* until @next_at: for the next roll-up, or to retry */
  FQ_BURN_READING, /* the row */
  FQ_BURN_WRITING, /* the row, on condition that it has not changed */
} fq_burn_state_t;

/* A report that waits for rows of the store. */
typedef struct
{
  fq_list_t link;
  fq_id_t call; /* of the operator; the report is the reply to it */
  fq_id_t op;   /* identifier of the pending store operation; 0: none */
  char member[FQ_NAME_BYTES];
  fq_time_t deadline;
  fq_burn_report_data_t data;
} fq_burn_query_t;

struct fq_burn
{
  char node[FQ_NAME_BYTES];
  char service[FQ_SERVICE_BYTES];
  uint64_t incarnation;
  uint32_t rollup_ms; /* mean interval between roll-ups of one service */
  const fq_tickets_t *tickets;
  fq_random_t random;
  uint64_t op_count;       /* store operations so far */
  fq_burn_table_t pending; /* counted since the last roll-up began */
  fq_burn_table_t rollup;  /* being rolled up; not yet confirmed as stored */
  uint64_t sequence;       /* number of the roll-up that has @rollup */
  fq_burn_state_t state;
  fq_time_t next_at;           /* when FQ_BURN_WAITING ends; 0: not set yet */
  fq_id_t op;                  /* identifier of the pending store operation; 0: none */
  char member[FQ_NAME_BYTES];  /* whose counts are being rolled up */
  unsigned int conflicts;      /* conflicting writes of the current row */
  unsigned int backoff_factor; /* of the delay; doubles with each failed roll-up */
  bool stopping;
  bool rollup_failed; /* whether the last roll-up failed; cleared by
                         fq_burn_begin_shutdown() */
  fq_list_t queries;
  size_t query_count;
};

/**
 * fq_burn_submit_store_op() - pass @op, and its ownership, to the store.
 *
 * Return: the identifier that the answer will carry.
 */
fq_id_t
fq_burn_submit_store_op (fq_burn_t *burn, fq_store_op_t *op, fq_effects_t *effects);

/**
 * fq_burn_query_handle_rows() - add the rows of a scan to the query that waits for them.
 *
 * Return: false when no query waits for @answer.
 */
bool fq_burn_query_handle_rows (fq_burn_t *burn,
                                int64_t wall_ms,
                                const fq_store_answer_t *answer,
                                fq_effects_t *effects);

/** fq_burn_query_tick() - answer the queries whose rows did not arrive in time. */
void fq_burn_query_tick (fq_burn_t *burn,
                         fq_time_t now,
                         int64_t wall_ms,
                         fq_effects_t *effects);

/** fq_burn_query_free_all() - free all open queries without an answer. */
void fq_burn_query_free_all (fq_burn_t *burn);

#endif
