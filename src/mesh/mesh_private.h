/**
 * DOC: The state of a node, shared by the parts of its reducer.
 *
 * An exchange is a request that began at this machine, from its arrival to its answer. A
 * run is the work of one attempt at this node's gate.
 */
#ifndef FQ_MESH_MESH_PRIVATE_H
#define FQ_MESH_MESH_PRIVATE_H

#include "mesh/blame.h"
#include "mesh/chain_shed.h"
#include "mesh/mesh.h"
#include "mesh/metrics.h"
#include "mesh/repeat_budget.h"
#include "mesh/waiting.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"
#include "util/timers.h"

/** FQ_ENTRY_CONNECTION_SELF - names this node's own entry at its gate. */
#define FQ_ENTRY_CONNECTION_SELF 1

#define FQ_TRIED_MAX 8 /* gates that one request remembers */

/** enum fq_mesh_timer_t - what a timer belongs to. */
typedef enum
{
  FQ_MESH_TIMER_EXCHANGE,  /* the deadline of an exchange */
  FQ_MESH_TIMER_RUN,       /* the deadline of a run, or the last time to start it */
  FQ_MESH_TIMER_PEER,      /* connect again, or see whether the gate is there */
  FQ_MESH_TIMER_SERVER,    /* end of a drain, or reports that do not come */
  FQ_MESH_TIMER_DISCOVERY, /* ask the directory again */
  FQ_MESH_TIMER_CONFIG,    /* ask another node for its configuration */
  FQ_MESH_TIMER_SHUTDOWN,  /* the graceful shutdown goes on */
} fq_mesh_timer_t;

/** enum fq_link_state_t - our connection to a gate. */
typedef enum
{
  FQ_LINK_DOWN,
  FQ_LINK_OPENING,
  FQ_LINK_UP,
} fq_link_state_t;

/** struct fq_peer_t - another node, or this one, as a gate. */
typedef struct
{
  fq_node_address_t address;
  char zone[FQ_NAME_BYTES];
  fq_link_state_t link;
  bool handshake_complete; /* it told of itself on this connection */
  uint32_t failures;       /* connections in a row that could not be made */
  fq_server_t server;
  fq_gate_load_t room;
  fq_time_t load_reported_at;
  uint32_t offers_since_report; /* offers since @room was told */
  fq_list_t exchanges;          /* whose attempt is at this gate */
  uint32_t outstanding;
  double latency_ratio; /* its answer times, relative to those of all gates */
  double failure_rate;  /* share of attempts that failed or were refused by its server */
  fq_time_t judged_at;
  fq_time_t last_frame_at;
  fq_time_t ping_sent_at; /* 0: no ping is unanswered */
  fq_timer_entry_t timer;
} fq_peer_t;

/** struct fq_entry_connection_t - an entry that is connected to our gate. */
typedef struct
{
  fq_id_t id;
  fq_node_address_t address;
} fq_entry_connection_t;

/** struct fq_exchange_t - a request that began here. */
typedef struct
{
  fq_id_t id;
  char request_id[FQ_REQUEST_ID_BYTES];
  char service[FQ_NAME_BYTES];
  char route[FQ_NAME_BYTES];
  fq_http_message_t *message;
  uint64_t config_version;
  uint64_t route_id;
  uint64_t fingerprint;
  uint64_t chain;
  uint32_t rank;
  uint32_t servers_max;
  uint32_t latency_objective_ms;
  bool idempotent;
  bool lost_otherwise;   /* its last attempt failed, but not for lack of room */
  bool repeat_of_parent; /* the work that makes this call is a repeat */
  char parent_id[FQ_REQUEST_ID_BYTES]; /* of the work that makes this call, or empty */
  fq_time_t received;
  fq_time_t deadline;        /* the answer is due */
  fq_time_t client_deadline; /* the client leaves */
  fq_timer_entry_t timer;
  fq_list_t link;  /* among those of its gate */
  fq_peer_t *peer; /* where its attempt is; NULL: nowhere */
  fq_id_t attempt;
  fq_time_t sent;
  bool handed;       /* the gate of this attempt has the request itself */
  bool may_have_run; /* of any attempt that has ended */
  uint32_t offers;
  uint32_t servers_reached;
  uint32_t retry_after_ms; /* the shortest that a gate told */
  fq_node_address_t tried[FQ_TRIED_MAX];
  size_t tried_count;
} fq_exchange_t;

/** enum fq_run_stage_t - where a run stands. */
typedef enum
{
  FQ_STAGE_WAITING, /* for room */
  FQ_STAGE_GRANTED, /* has room; waits for the request itself */
  FQ_STAGE_RUNNING, /* the server has it */
} fq_run_stage_t;

/** struct fq_gate_run_t - the work of one attempt at our gate. */
typedef struct
{
  fq_id_t id;
  fq_id_t asker; /* 0: nobody waits for the answer any more */
  fq_id_t attempt;
  fq_offer_t offer;
  fq_http_message_t *message; /* NULL until it is handed over */
  fq_run_stage_t stage;
  bool starved;        /* a call that the server made for it found no room or time */
  bool lost_otherwise; /* a call of it failed, but not for lack of room */
  fq_time_t arrived;
  fq_time_t deadline;
  fq_time_t started;
  fq_waiting_entry_t waiting;
  fq_timer_entry_t timer;
  fq_list_t link; /* among the runs of the gate */
} fq_gate_run_t;

/** struct fq_gate_t - the gate of our server. */
typedef struct
{
  fq_server_t server;
  uint64_t server_started_ms;
  uint64_t server_sequence;
  bool probed;    /* the server was asked how it is, and for its instance */
  bool confirmed; /* that it is ready: by its answer, or by a second report */
  fq_time_t answered_at;
  fq_time_t drain_until;
  fq_timer_entry_t timer;
  fq_waiting_t waiting;
  fq_chain_shed_t chain_shed[FQ_INNER_RANKS];
  fq_list_t runs;
  fq_map_t runs_by_id;
  fq_map_t runs_by_request; /* those that run; key: hash of the request's id */
  fq_map_t runs_by_attempt; /* key: hash of asker and attempt */
  fq_repeat_budget_t budget;
  fq_crash_watch_t crash;
} fq_gate_t;

/** struct fq_route_time_t - how long answers of a route take, over all gates. */
typedef struct
{
  double mean_us;
} fq_route_time_t;

/** struct fq_mesh - all state of a node. */
struct fq_mesh
{
  fq_node_address_t address;
  char zone[FQ_NAME_BYTES];
  char service[FQ_NAME_BYTES]; /* of our server, by its settings or its last report */
  fq_mesh_params_t bounds;
  fq_time_t now;
  fq_mesh_effects_t *effects; /* of the event at hand */
  fq_random_t random;
  fq_id_t next_id;
  fq_timers_t timers;
  fq_config_t *config;
  uint64_t newest_config_version; /* version of a configuration that another node has */
  fq_node_address_t newest_config_node; /* that node */
  fq_timer_entry_t config_timer;
  fq_map_t peers; /* by address */
  fq_peer_t *self;
  fq_map_t askers;    /* by id */
  fq_map_t exchanges; /* by id */
  fq_map_t attempts;  /* exchanges by their attempt */
  fq_map_t route_times;
  fq_gate_t gate;
  fq_blame_t crash_suspects;
  fq_list_t loopback; /* frames between our entry and our gate */
  fq_mesh_metrics_t metrics;
  fq_timer_entry_t discovery_timer;
  fq_time_t last_discovery_at; /* when the directory was last read */
  fq_time_t started;
  bool stopping; /* not ready for clients any more */
  bool closing;  /* the gate takes no work any more either */
  fq_time_t stopping_since;
  fq_timer_entry_t stop_timer;
};

/* effects.c */
fq_mesh_effect_t *fq_mesh_add_effect (fq_mesh_t *mesh, fq_mesh_effect_kind_t kind);
void fq_mesh_log (fq_mesh_t *mesh, bool warning, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* delivery.c: frames to other nodes, and between our own entry and gate. */
void fq_mesh_send_to_gate (fq_mesh_t *mesh, fq_node_address_t node, fq_frame_t *frame);
void fq_mesh_send_to_entry (fq_mesh_t *mesh, fq_id_t asker, fq_frame_t *frame);
void fq_mesh_deliver_loopback (fq_mesh_t *mesh);

/* config_state.c: the configuration in force. */
void fq_mesh_apply_config (fq_mesh_t *mesh, fq_config_t *config);
void fq_mesh_send_config (fq_mesh_t *mesh, fq_id_t asker, uint64_t known);
void
fq_mesh_note_config_version (fq_mesh_t *mesh, fq_node_address_t node, uint64_t version);
void fq_mesh_request_config (fq_mesh_t *mesh);

/* stopping.c: the graceful shutdown. */
void fq_mesh_begin_shutdown (fq_mesh_t *mesh);
void fq_mesh_continue_shutdown (fq_mesh_t *mesh);

/* mesh.c */
void fq_mesh_expedite_discovery (fq_mesh_t *mesh);
fq_id_t fq_mesh_next_id (fq_mesh_t *mesh);

/* entry.c: requests that begin at this machine. */
void fq_entry_receive (fq_mesh_t *mesh, const fq_mesh_request_t *request);
void fq_entry_client_disconnected (fq_mesh_t *mesh, fq_id_t id);
void fq_entry_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame);
void fq_entry_gate_lost (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_entry_expire (fq_mesh_t *mesh, fq_exchange_t *exchange);
void fq_entry_end_all (fq_mesh_t *mesh);
void fq_entry_free_all (fq_mesh_t *mesh);

/* exchange_end.c: how exchanges end. */
void fq_exchange_leave_gate (fq_mesh_t *mesh, fq_exchange_t *exchange);
void fq_exchange_free (fq_mesh_t *mesh, fq_exchange_t *exchange);
void fq_exchange_tell_parent (fq_mesh_t *mesh, const fq_exchange_t *exchange);
void fq_exchange_log_end (fq_mesh_t *mesh,
                          const fq_exchange_t *exchange,
                          uint16_t status,
                          const char *outcome,
                          const char *cause);
void fq_exchange_reply_own (fq_mesh_t *mesh,
                            fq_id_t request,
                            uint16_t status,
                            uint32_t retry_after_ms,
                            const char *text);
uint32_t fq_exchange_spread_retry_after (fq_mesh_t *mesh, uint32_t ms);
void
fq_exchange_finish_not_run (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause);
void fq_exchange_finish_unknown (fq_mesh_t *mesh,
                                 fq_exchange_t *exchange,
                                 uint16_t status,
                                 const char *cause);
void fq_exchange_give_up (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause);

/* gate.c: runs at our server. */
void fq_gate_frame (fq_mesh_t *mesh, fq_id_t asker, const fq_frame_t *frame);
void fq_gate_entry_lost (fq_mesh_t *mesh, fq_id_t asker);
void fq_gate_run_answered (fq_mesh_t *mesh,
                           fq_id_t run,
                           fq_server_outcome_t verdict,
                           fq_http_message_t *answer);
void fq_gate_run_failed (fq_mesh_t *mesh, fq_id_t run, fq_server_failure_t failure);
void fq_gate_run_timer (fq_mesh_t *mesh, fq_gate_run_t *run);
void fq_gate_refuse_queued (fq_mesh_t *mesh, fq_refusal_t cause);
bool fq_gate_takes_work (const fq_mesh_t *mesh);
fq_gate_run_t *fq_gate_run_of_request (const fq_mesh_t *mesh, const char *request_id);
void fq_gate_start_queued (fq_mesh_t *mesh);
void fq_gate_free_all (fq_mesh_t *mesh);

/* gate_admission.c: whether a request is taken, and how long it waits. */
void fq_gate_room (const fq_mesh_t *mesh, fq_gate_load_t *out);
fq_refusal_t fq_gate_check_offer (fq_mesh_t *mesh, const fq_offer_t *offer);
fq_time_t fq_gate_wait_max (const fq_mesh_t *mesh, const fq_offer_t *offer);

/* server_state.c: what our server says of itself. */
void fq_server_state_report (fq_mesh_t *mesh, const fq_server_report_t *report);
void fq_server_state_deregister (fq_mesh_t *mesh, const fq_server_report_t *report);
void fq_server_state_timer (fq_mesh_t *mesh);
void fq_server_state_probe_succeeded (fq_mesh_t *mesh, const char *instance);
void fq_server_state_probe_if_uncertain (fq_mesh_t *mesh);
void fq_server_state_mark_absent (fq_mesh_t *mesh, const char *reason);
void fq_server_state_broadcast (fq_mesh_t *mesh);

/* server_crash.c: our server takes no connection. */
void fq_server_crash_detected (fq_mesh_t *mesh);

/* peers.c: the other nodes. */
fq_peer_t *fq_peer_get_or_add (fq_mesh_t *mesh, fq_node_address_t address);
fq_peer_t *fq_peer_add (fq_mesh_t *mesh, fq_node_address_t address, bool heard);
void fq_peer_link_up (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_link_down (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame);
void fq_peer_watch_silence (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_timer (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_write_sample (fq_mesh_t *mesh, fq_frame_t *frame);
size_t fq_peer_count_up (const fq_mesh_t *mesh);
size_t fq_peer_count_gates (const fq_mesh_t *mesh, const char *service);
void fq_peer_free_all (fq_mesh_t *mesh);

/* choice.c: which gate gets an attempt. */
fq_peer_t *fq_choice_of_gate (fq_mesh_t *mesh, const fq_exchange_t *exchange);
void fq_choice_judge (
    fq_mesh_t *mesh, fq_peer_t *peer, uint64_t route, fq_time_t took, bool failed);

#endif
