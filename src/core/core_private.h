/**
 * DOC: Internal state of the core, shared by the request path (call.c, run.c) and the
 * modules that it drives.
 *
 * A call is a request that entered the system at this node. An attempt sends the call to
 * one node. A run is the execution of an attempt at the admission gate in front of this
 * node's upstream.
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

/** enum fq_timer_kind_t - which structure embeds a timer of the core. */
typedef enum
{
  FQ_TIMER_CALL, /* the deadline of a call */
  FQ_TIMER_RUN,  /* the deadline of a run */
} fq_timer_kind_t;

/** enum fq_run_state_t - state of a run. */
typedef enum
{
  FQ_RUN_CLAIMING,        /* waits for the claim of its idempotency key; holds no slot */
  FQ_RUN_QUEUED,          /* waits for a slot */
  FQ_RUN_RUNNING,         /* sent to the upstream */
  FQ_RUN_CONNECTION_LOST, /* not known yet whether the upstream crashed */
  FQ_RUN_ABORTING, /* answered or cancelled; the slot is returned when the shell reports
                    * that the run has ended */
} fq_run_state_t;

/** struct fq_run_t - execution of one attempt at the gate of this node. */
typedef struct
{
  fq_id_t id;
  char node[FQ_NAME_BYTES]; /* sender of the attempt; this node: a local attempt */
  fq_id_t attempt;
  uint64_t attempt_key; /* hash of node and attempt; not 0 */
  fq_request_t *request;
  fq_run_state_t state;
  fq_admission_entry_t admission;
  fq_time_t deadline;
  uint32_t retry_allowance; /* retries that calls made by the upstream may still use */
  bool answered;            /* an answer was delivered, or is no longer wanted */
  bool refused_downstream;  /* a call made by the upstream was refused for overload */
  fq_list_t internal_calls; /* calls made by the upstream for this run */
  fq_list_t lost_link;      /* in fq_core.lost_runs */
  fq_list_t suspect_link;   /* in fq_core.waiting_suspects */
  fq_timer_t timer;
} fq_run_t;

/** struct fq_call_t - a request that entered the system at this node. */
typedef struct
{
  fq_id_t id;
  fq_request_t *request;
  fq_time_t received;
  fq_time_t deadline;
  uint32_t own_allowance; /* retries left; used when there is no parent */
  fq_run_t *parent; /* run whose upstream made this call; NULL: the call starts a chain */
  fq_list_t parent_link;
  fq_id_t attempt; /* attempt in flight; 0: none */
  fq_time_t attempt_sent;
  uint32_t attempt_allowance; /* retries passed on with the attempt */
  char node[FQ_NAME_BYTES];   /* node that the attempt was sent to */
  bool idempotent;            /* may be retried after an attempt of unknown outcome */
  bool may_have_run;          /* the outcome of an earlier attempt is unknown */
  fq_routing_tried_t tried;
  fq_timer_t timer;
} fq_call_t;

/** struct fq_core - all state of a node. */
struct fq_core
{
  char node[FQ_NAME_BYTES];
  char failure_domain[FQ_NAME_BYTES];
  fq_time_t now;
  int64_t wall_ms;       /* wall clock of the current event, for reports and retention */
  fq_effects_t *effects; /* output of the current event; NULL between events */
  fq_random_t random;
  fq_id_t next_id;
  uint64_t incarnation;
  fq_wheel_t wheel;
  fq_map_t calls;           /* by id */
  fq_map_t attempts;        /* calls by the id of the attempt in flight */
  fq_map_t runs;            /* by id */
  fq_map_t runs_by_attempt; /* by attempt_key */
  fq_retry_budgets_t retry_budgets;
  fq_tickets_t *tickets;
  fq_routing_t *routing;
  fq_admission_t *admission;
  fq_membership_t *membership;
  fq_connections_t *connections;
  fq_once_t *once;
  fq_poison_t *poison;
  fq_list_t lost_runs;        /* runs in state FQ_RUN_CONNECTION_LOST */
  fq_time_t lost_since;       /* when lost_runs was last empty and got its first run */
  fq_list_t waiting_suspects; /* runs that wait while another suspected request runs */
  fq_counters_t *counters;
  fq_burn_t *burn; /* error budgets and their burn rates */
  fq_time_t next_report;
  uint64_t checked_ticket_number;  /* highest ticket number in force at the last
                                    * report tick with an upstream; 0: none */
  uint64_t reported_ticket_number; /* highest ticket number that was reported as in
                                    * force for the upstream's member */
  fq_announce_event_t upstream; /* last announcement; service is empty before the first */
  bool upstream_ready;          /* announced, and neither draining nor withdrawn */
  bool tickets_were_confirmed;  /* after the previous event */
  bool stopping;
  bool stopped;
  fq_time_t stopping_since;
};

/** fq_core_next_id() - allocate an identifier that this core has not used. */
fq_id_t fq_core_next_id (fq_core_t *core);

/** fq_core_ticket_number() - ticket number to send to peers; 0 until it is confirmed. */
uint64_t fq_core_ticket_number (const fq_core_t *core);

/* call.c: requests that enter at this node. */

/**
 * fq_call_receive() - validate a request, and send its first attempt or refuse it.
 * @event: the call takes a reference of its own to the request
 */
void fq_call_receive (fq_core_t *core, const fq_request_event_t *event);

/** fq_call_caller_disconnected() - the caller disconnected; ignores an unknown @id. */
void fq_call_caller_disconnected (fq_core_t *core, fq_id_t id);

/**
 * fq_call_attempt_ended() - retry the call or answer it; ignores an unknown @attempt.
 * @answer: borrowed
 */
void fq_call_attempt_ended (fq_core_t *core, fq_id_t attempt, const fq_answer_t *answer);

/** fq_call_node_lost() - all attempts at @node ended with an unknown outcome. */
void fq_call_node_lost (fq_core_t *core, const char *node);

/** fq_call_expire() - the deadline of @call passed; frees it. */
void fq_call_expire (fq_core_t *core, fq_call_t *call);

/** fq_call_cancel() - cancel the attempt in flight, answer with @cause, free @call. */
void fq_call_cancel (fq_core_t *core, fq_call_t *call, fq_cause_t cause);

/** fq_call_free_all() - free all calls without answering them. */
void fq_call_free_all (fq_core_t *core);

/* run.c: execution at the gate of this node. */

/**
 * fq_run_receive() - admit, queue or refuse an attempt.
 * @node: node that sent the attempt; this node's name: a local attempt
 * @request: the run takes a reference of its own
 * @remaining_ms: time until the deadline
 * @retry_allowance: retries that calls made by the upstream may use
 */
void fq_run_receive (fq_core_t *core,
                     const char *node,
                     fq_id_t attempt,
                     fq_request_t *request,
                     uint32_t remaining_ms,
                     uint32_t retry_allowance);

/**
 * fq_run_cancel() - @node cancelled its attempt: drop the run, or abort it in the
 * upstream; ignores an unknown attempt.
 *
 * An at-most-once run that was sent to the upstream continues, so that its outcome can be
 * recorded.
 */
void fq_run_cancel (fq_core_t *core, const char *node, fq_id_t attempt);

/** fq_run_node_lost() - cancel all attempts of @node, whose connection ended. */
void fq_run_node_lost (fq_core_t *core, const char *node);

/**
 * fq_run_upstream_answered() - the upstream answered or refused a run: deliver the answer
 * and free its slot; ignores an unknown run.
 */
void fq_run_upstream_answered (fq_core_t *core, const fq_upstream_answer_event_t *event);

/**
 * fq_run_upstream_failed() - a run ended without an answer: end it, or let it wait for
 * signs of a crash; ignores an unknown run.
 *
 * The upstream crashed if it refuses connections or no run is left in it. The requests
 * that it ran are then suspected.
 */
void fq_run_upstream_failed (fq_core_t *core, const fq_upstream_failed_event_t *event);

/**
 * fq_run_upstream_restarted() - the upstream announced a restart: suspect the requests
 * that it ran, and end the lost runs.
 */
void fq_run_upstream_restarted (fq_core_t *core);

/** fq_run_tick() - end lost runs for which the wait for signs of a crash is over. */
void fq_run_tick (fq_core_t *core);

/** fq_run_expire() - the deadline of @run passed; may free it. */
void fq_run_expire (fq_core_t *core, fq_run_t *run);

/**
 * fq_run_process_queues() - apply claim verdicts, offer waiting suspects, refuse evicted
 * and late runs, fill slots.
 */
void fq_run_process_queues (fq_core_t *core);

/** fq_run_find_by_chain() - run named by a chain token; NULL unless it is running. */
fq_run_t *fq_run_find_by_chain (fq_core_t *core, const char *chain);

/** fq_run_free_all() - free all runs without answering them. */
void fq_run_free_all (fq_core_t *core);

/* report.c: counters, events and operator requests. */

/** fq_report_call_ended() - count a call that ended. */
void fq_report_call_ended (fq_core_t *core,
                           const fq_request_t *request,
                           fq_time_t received,
                           fq_outcome_t outcome,
                           fq_cause_t cause);

/** fq_report_upstream_event() - record an event of the upstream, described by @text. */
void fq_report_upstream_event (fq_core_t *core, const char *text);

/** fq_report_ejection_event() - record that routing ejected @node. */
void fq_report_ejection_event (fq_core_t *core, const char *service, const char *node);

/** fq_report_tick() - update the gauges and start roll-ups when they are due. */
void fq_report_tick (fq_core_t *core);

/** fq_report_handle_operator() - handle a request of an operator. */
void fq_report_handle_operator (fq_core_t *core, const fq_operator_event_t *query);

/* crash.c: suspects of upstream crashes, of which the other nodes are notified. */

/**
 * fq_crash_clear_suspect() - the upstream answered @request: discard the recorded losses,
 * clear a suspicion of @request and notify the other nodes of the service.
 */
void fq_crash_clear_suspect (fq_core_t *core, const fq_request_t *request);

/**
 * fq_crash_mark_suspects() - the upstream crashed: suspect the requests that it ran and
 * notify the other nodes of the service.
 */
void fq_crash_mark_suspects (fq_core_t *core);

#endif
