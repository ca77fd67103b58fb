/**
 * DOC: The state of the core, shared by the parts that follow one request.
 *
 * A call is a request that entered the system at this node. An attempt sends it to one
 * node. A run is the work of an attempt at the gate of this node's upstream.
 */
#ifndef FQ_CORE_PRIVATE_H
#define FQ_CORE_PRIVATE_H

#include "core/admission/admission.h"
#include "core/membership/membership.h"
#include "core/once/once.h"
#include "core/reports/burn.h"
#include "core/reports/counters.h"
#include "core/retries/poison.h"
#include "core/retries/retry.h"
#include "core/routing/connections.h"
#include "core/routing/routing.h"
#include "core/tickets/ticket.h"
#include "filbertquay/core.h"
#include "util/map.h"
#include "util/random.h"
#include "util/wheel.h"

/** enum fq_timer_kind_t - what a timer of the core belongs to. */
typedef enum
{
  FQ_TIMER_CALL, /* the deadline of a call */
  FQ_TIMER_RUN,  /* the deadline of a run */
} fq_timer_kind_t;

/** enum fq_run_state_t - where a run stands. */
typedef enum
{
  FQ_RUN_CLAIMING, /* its claim is with the store; holds no slot */
  FQ_RUN_QUEUED,   /* it waits for a slot */
  FQ_RUN_RUNNING,  /* it was sent to the upstream */
  FQ_RUN_LOST,     /* its connection ended; whether the upstream crashed is not known */
  FQ_RUN_ABORTING, /* answered already; the slot returns when the shell confirms */
} fq_run_state_t;

/** struct fq_run_t - the work of one attempt at our gate. */
typedef struct
{
  fq_id_t id;
  char node[FQ_NAME_BYTES]; /* who asked; our own name for a local attempt */
  fq_id_t attempt;
  uint64_t asker_key; /* names (node, attempt) */
  fq_request_t *request;
  fq_run_state_t state;
  fq_admission_entry_t admission;
  fq_time_t deadline;
  uint32_t allowance;     /* retries that the upstream's own calls may still spend */
  bool answered;          /* the asker has its answer */
  bool shed_below;        /* a call of its upstream found no room */
  fq_list_t children;     /* calls that the upstream makes for this run */
  fq_list_t lost_link;    /* while its state is FQ_RUN_LOST */
  fq_list_t suspect_link; /* while it waits for another suspect to end */
  fq_timer_t timer;
} fq_run_t;

/** struct fq_call_t - a request that entered here. */
typedef struct
{
  fq_id_t id;
  fq_request_t *request;
  fq_time_t received;
  fq_time_t deadline;
  uint32_t own_allowance;
  fq_run_t *parent; /* the run whose upstream makes this call; NULL: outside */
  fq_list_t parent_link;
  fq_id_t attempt; /* the one that is out; 0: none */
  fq_time_t attempt_sent;
  uint32_t handed_down;
  char node[FQ_NAME_BYTES]; /* where the attempt went */
  bool idempotent;          /* may be sent again after an unknown end */
  bool may_have_run;        /* an earlier attempt ended unknown */
  fq_routing_tried_t tried;
  fq_timer_t timer;
} fq_call_t;

/** struct fq_core - all state of a node. */
struct fq_core
{
  char node[FQ_NAME_BYTES];
  char failure_domain[FQ_NAME_BYTES];
  fq_time_t now;
  int64_t wall_ms;       /* of the event at hand; for reports and retention */
  fq_effects_t *effects; /* of the event at hand */
  fq_random_t random;
  fq_id_t next_id;
  uint64_t incarnation;
  fq_wheel_t wheel;
  fq_map_t calls;         /* by id */
  fq_map_t attempts;      /* calls by their attempt */
  fq_map_t runs;          /* by id */
  fq_map_t runs_by_asker; /* by asker_key */
  fq_retry_budgets_t retry_budgets;
  fq_tickets_t *tickets;
  fq_routing_t *routing;
  fq_admission_t *admission;
  fq_membership_t *membership;
  fq_connections_t *connections;
  fq_once_t *once;
  fq_poison_t *poison;
  fq_list_t lost; /* runs in state FQ_RUN_LOST */
  fq_time_t lost_since;
  fq_list_t suspects; /* runs that wait for another suspect to end */
  fq_counters_t *counters;
  fq_burn_t *burn;
  fq_time_t next_report;
  uint64_t checked_ticket_number;  /* the highest, when last looked at */
  uint64_t reported_ticket_number; /* of the member of our upstream */
  fq_announce_event_t upstream;    /* service empty: none announced */
  bool upstream_ready;
  bool was_confirmed; /* the tickets, when the last event had been seen */
  bool stopping;
  bool stopped;
  fq_time_t stopping_since;
};

/** fq_core_next_id() - an identifier that this core has not used. */
fq_id_t fq_core_next_id (fq_core_t *core);

/** fq_core_ticket_number() - the number to tell others; 0 until it is confirmed. */
uint64_t fq_core_ticket_number (const fq_core_t *core);

/* call.c: requests that enter at this node. */
void fq_call_receive (fq_core_t *core, const fq_request_event_t *event);
void fq_call_abandon (fq_core_t *core, fq_id_t id);
void fq_call_attempt_ended (fq_core_t *core, fq_id_t attempt, const fq_answer_t *answer);
void fq_call_node_lost (fq_core_t *core, const char *node);
void fq_call_expire (fq_core_t *core, fq_call_t *call);
void fq_call_cancel (fq_core_t *core, fq_call_t *call, fq_cause_t cause);
void fq_call_free_all (fq_core_t *core);

/* run.c: work at our gate. */
void fq_run_receive (fq_core_t *core,
                     const char *node,
                     fq_id_t attempt,
                     fq_request_t *request,
                     uint32_t remaining_ms,
                     uint32_t allowance);
void fq_run_cancel (fq_core_t *core, const char *node, fq_id_t attempt);
void fq_run_node_lost (fq_core_t *core, const char *node);
void fq_run_upstream_answer (fq_core_t *core, const fq_upstream_answer_event_t *event);
void fq_run_upstream_failed (fq_core_t *core, const fq_upstream_failed_event_t *event);
void fq_run_upstream_crashed (fq_core_t *core);
void fq_run_tick (fq_core_t *core);
void fq_run_expire (fq_core_t *core, fq_run_t *run);
void fq_run_progress (fq_core_t *core);
fq_run_t *fq_run_of_chain (fq_core_t *core, const char *chain);
void fq_run_free_all (fq_core_t *core);

/* report.c: what the node tells operators. */
void fq_report_call_ended (fq_core_t *core,
                           const fq_request_t *request,
                           fq_time_t received,
                           fq_outcome_t outcome,
                           fq_cause_t cause);
void fq_report_upstream_event (fq_core_t *core, const char *text);
void fq_report_ejection_event (fq_core_t *core, const char *service, const char *node);
void fq_report_tick (fq_core_t *core);
void fq_report_handle_operator (fq_core_t *core, const fq_operator_event_t *question);

/* crash.c: whether our upstream crashed, and for which request. */
void fq_crash_clear (fq_core_t *core, const fq_request_t *request);
void fq_crash_blame (fq_core_t *core);

#endif
