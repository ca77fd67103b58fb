/**
 * DOC: The state of a node, shared by the parts of its reducer.
 *
 * The entry is the part of a node that receives requests from local clients and sends
 * them to gates. The gate is the part that admits requests to the local server, which is
 * the server beside the node. Each node has both, and connects to the gates of all
 * others.
 *
 * An exchange is a request that a client sent to this node, from its arrival to its final
 * answer. An attempt is an offer of an exchange to one gate. A run is an attempt that the
 * gate of this node has accepted, while it waits, is granted or is at the server.
 */
#ifndef FQ_MESH_MESH_PRIVATE_H
#define FQ_MESH_MESH_PRIVATE_H

#include "mesh/chain_shed.h"
#include "mesh/crash_suspects.h"
#include "mesh/gate_queue.h"
#include "mesh/mesh.h"
#include "mesh/metrics.h"
#include "mesh/repeat_budget.h"
#include "mesh/server_memory.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"
#include "util/timers.h"

/** FQ_ENTRY_CONNECTION_SELF - connection id of this node's own entry at its gate. */
#define FQ_ENTRY_CONNECTION_SELF 1

/** FQ_CHECK_LATE_US - a check that comes later than this after it was due was held up on
 * this VM, and says nothing of the peer, whose messages may be waiting. */
#define FQ_CHECK_LATE_US (200 * FQ_MICROSECONDS_PER_MS)

/** FQ_REPORTS_LATE_US - a report that arrives this long after some event was sent after
 * it. */
#define FQ_REPORTS_LATE_US (6 * FQ_MICROSECONDS_PER_SECOND)

#define FQ_TRIED_MAX 8 /* gates of earlier attempts that an exchange records */

/** enum fq_mesh_timer_t - kind of a timer. */
typedef enum
{
  FQ_MESH_TIMER_EXCHANGE,  /* the deadline of an exchange */
  FQ_MESH_TIMER_RUN,       /* the longest wait of a run is over, its grant has expired, or
                            * its deadline passed FQ_OVERRUN_US ago */
  FQ_MESH_TIMER_PEER,      /* reconnect, or check whether the gate is alive */
  FQ_MESH_TIMER_SERVER,    /* the drain has ended, or reports are overdue */
  FQ_MESH_TIMER_RATE,      /* the server's rate limit lets a queued request pass */
  FQ_MESH_TIMER_CRASH,     /* check whether the server has crashed */
  FQ_MESH_TIMER_DISCOVERY, /* read the directory of nodes again */
  FQ_MESH_TIMER_CONFIG,    /* request the configuration of another node */
  FQ_MESH_TIMER_VERSION,   /* ask other nodes for their version of the configuration */
  FQ_MESH_TIMER_SHUTDOWN,  /* next step of the graceful shutdown */
} fq_mesh_timer_t;

/** enum fq_link_state_t - state of this node's connection to a gate. */
typedef enum
{
  FQ_LINK_DOWN,
  FQ_LINK_OPENING,
  FQ_LINK_UP,
} fq_link_state_t;

/** struct fq_peer_t - the gate of another node, or of this one. */
typedef struct
{
  fq_node_address_t address;
  fq_text_t *zone;
  fq_link_state_t link;
  bool handshake_complete; /* its WELCOME frame came on this connection */
  uint32_t failures;       /* failed or lost connections in a row */
  fq_server_t server;
  fq_server_memory_t memory;    /* of its server, also while it is disconnected */
  fq_gate_load_t gate_load;     /* the load that it reported last */
  fq_time_t load_reported_at;   /* when it did */
  uint32_t offers_since_report; /* offers sent to it since then */
  fq_list_t exchanges;          /* with a pending attempt at this gate */
  uint32_t outstanding;         /* number of these */
  /* Exchanges that were sent on a connection that was retired since, and that may not be
   * repeated. */
  fq_list_t retired_exchanges;
  /* Moving average of the ratio of its answer times to the mean of the route. */
  double latency_ratio;
  /* Moving average of attempts that failed or that its server refused, 0 to 1. */
  double failure_rate;
  fq_time_t scored_at; /* when these two were updated last */
  /* When its last frame came, the connection was established, or liveness checks began
   * after a time without any. */
  fq_time_t last_frame_at;
  fq_time_t ping_sent_at; /* when the unanswered ping was sent; 0: none */
  fq_timer_entry_t timer;
} fq_peer_t;

/** struct fq_entry_connection_t - connection of another node's entry to this gate. */
typedef struct
{
  fq_id_t id;
  fq_node_address_t address;
} fq_entry_connection_t;

/** struct fq_exchange_t - a client request at this node. */
typedef struct
{
  fq_id_t id;
  fq_text_t *request_id;
  fq_text_t *service;
  fq_text_t *route; /* its name */
  fq_http_message_t *message;
  uint64_t config_version;
  uint64_t route_id;
  uint64_t fingerprint; /* of its contents; see crash_suspects.h */
  uint64_t chain;       /* hash of the request with which the call chain began */
  uint32_t rank;
  uint32_t servers_max; /* servers that may get the request */
  uint32_t latency_objective_ms;
  bool idempotent;
  bool failed_not_for_capacity; /* its last attempt failed, not for lack of capacity */
  bool repeat_of_parent;        /* the run that makes this call is a repeat */
  fq_text_t *parent_id;         /* of the run that makes this call, or empty */
  fq_time_t received;
  fq_time_t deadline;        /* when the answer is due */
  fq_time_t client_deadline; /* when the client stops waiting */
  fq_time_t least_time_left; /* for another attempt */
  fq_timer_entry_t timer;
  fq_list_t link;    /* in the exchanges of @peer */
  fq_peer_t *peer;   /* gate of the pending attempt; NULL: none is pending */
  fq_id_t attempt;   /* 0: none is pending */
  fq_time_t sent;    /* when the attempt was sent */
  bool message_sent; /* the gate of this attempt was sent the request itself */
  bool retired;      /* the attempt is among the retired exchanges of @peer */
  bool may_have_run; /* an attempt that has ended may have run */
  uint32_t offers;   /* attempts so far */
  uint32_t servers_reached;
  uint32_t retry_after_ms; /* the shortest that a gate stated; 0: none did */
  fq_node_address_t tried[FQ_TRIED_MAX];
  size_t tried_count;
} fq_exchange_t;

/** enum fq_run_stage_t - state of a run, in the order in which a run gets there. */
typedef enum
{
  FQ_STAGE_HELD,    /* a crash suspect; waits for another one to end */
  FQ_STAGE_WAITING, /* for a slot */
  FQ_STAGE_GRANTED, /* has a slot; waits for the request itself */
  FQ_STAGE_RUNNING, /* sent to the server */
} fq_run_stage_t;

/** struct fq_gate_run_t - an attempt that the gate of this node has accepted. */
typedef struct
{
  fq_id_t id;
  fq_id_t entry_connection; /* connection of its entry; 0: the entry has abandoned it */
  fq_id_t attempt;
  fq_offer_t offer;
  fq_http_message_t *message; /* NULL until the entry has sent it */
  fq_run_stage_t stage;
  bool starved; /* a call of it failed, possibly for lack of capacity or time */
  bool failed_not_for_capacity; /* a call of it failed, not for lack of capacity */
  fq_time_t arrived;
  fq_time_t start_by; /* it is refused if it can't start until then; 0: it did not wait */
  fq_time_t deadline;
  fq_time_t started;
  uint64_t server_generation; /* of the process that it was sent to */
  bool isolated;              /* its request was, when it was sent */
  fq_gate_queue_entry_t queue_entry;
  fq_timer_entry_t timer;
  fq_list_t link; /* in the runs of the gate */
} fq_gate_run_t;

/** struct fq_server_candidate_t - a process whose reports say that it is the local
 * server, while another one is taken for it. */
typedef struct
{
  fq_server_report_t report; /* the latest; without an instance: there is no candidate */
  fq_time_t since; /* when the first one came; the server sent none since then */
} fq_server_candidate_t;

/** struct fq_gate_t - the gate of the local server. */
typedef struct
{
  /* Its start time is 0 while it is not known: a health check does not tell it, and a
   * process that leaves may be known by its id alone. */
  fq_server_t server;
  fq_server_candidate_t candidate;
  uint64_t server_sequence;   /* of its last report */
  uint64_t server_generation; /* counts the processes that were the server */
  fq_server_notice_t notice;  /* the last one that was not malformed */
  bool notice_malformed;      /* the last one was */
  bool notice_heard;          /* the server itself said something in an answer */
  /* What other nodes were told before this one started, and acknowledged statements of
   * processes other than the server. */
  fq_server_memories_t recalled;
  /* When a server that had left under its id was seen to run again; 0: none was. What
   * was known of that id before is about an earlier process. */
  fq_time_t returned_at;
  fq_time_t rate_stated_at; /* when an answer stated the rate limit last */
  uint32_t rate_unstated;   /* answers since then that did not */
  bool probed;              /* a probe for the server's health and instance was sent */
  bool confirmed; /* the server is known to be ready: by a probe or a later report */
  fq_time_t answered_at; /* when the server answered a run last */
  fq_time_t drain_until; /* 0: it does not drain */
  fq_timer_entry_t timer;
  fq_timer_entry_t rate_timer;
  fq_gate_queue_t queue;                         /* requests that wait or run */
  fq_chain_shed_t chain_shed[FQ_INTERNAL_RANKS]; /* by rank */
  fq_list_t runs;
  fq_map_t runs_by_id;
  fq_map_t runs_by_request;         /* at the server; key: hash of the request's id */
  fq_map_t runs_by_attempt;         /* key: hash of connection and attempt */
  fq_repeat_budget_t budget;        /* for repeats of requests at the server */
  uint64_t body_bytes;              /* of the requests of all runs */
  uint64_t expected_body_bytes;     /* of those whose request has not arrived yet */
  uint32_t held;                    /* runs that are crash suspects and wait */
  fq_recent_losses_t recent_losses; /* suspects of the crash that may be found next */
  fq_timer_entry_t crash_timer;
  bool crash_check_pending;    /* a health check for these losses was sent */
  uint32_t crash_checks;       /* sent for these losses */
  fq_time_t crash_checked_at;  /* when the last one was sent */
  uint64_t crash;              /* id of the crash that was found last; 0: none */
  uint64_t crashed_generation; /* the process that ended in it */
} fq_gate_t;

/** struct fq_route_time_t - moving average of a route's answer times, over all gates. */
typedef struct
{
  double mean_us;
} fq_route_time_t;

/** struct fq_mesh - all state of a node. */
struct fq_mesh
{
  fq_node_address_t address;
  fq_text_t *zone;
  fq_text_t *service; /* of this VM: as set, or that of the last server in use */
  fq_mesh_params_t params;
  fq_time_t now;
  fq_mesh_effects_t *effects; /* of the event that is being processed; else NULL */
  fq_random_t random;
  fq_id_t next_id;
  fq_timers_t timers;
  fq_config_t *config;
  /* The version above the own one that another node reported last; 0: none yet. */
  uint64_t seen_config_version;
  fq_node_address_t seen_config_node; /* the node that reported it */
  fq_timer_entry_t config_timer;
  fq_timer_entry_t version_timer;
  fq_time_t version_asked_at;   /* when other nodes were asked for theirs */
  fq_time_t version_stated_at;  /* when the gate of another node stated its own last */
  uint32_t version_asked_count; /* nodes that were asked at once */
  size_t version_asked_cursor;  /* in @peers, after the last one that was asked */
  fq_map_t peers;               /* by address */
  fq_peer_t *self;
  fq_map_t entry_connections; /* by id */
  fq_map_t exchanges;         /* by id */
  fq_map_t attempts;          /* exchanges by their attempt */
  fq_map_t route_times;
  fq_gate_t gate;
  fq_crash_suspects_t crash_suspects;
  fq_list_t loopback; /* frames between this node's own entry and gate */
  fq_mesh_metrics_t metrics;
  fq_timer_entry_t discovery_timer;
  fq_time_t last_discovery_at; /* when a read of the directory was last requested */
  fq_time_t started;
  bool stopping;    /* shutting down: not ready for new clients */
  bool gate_closed; /* shutting down: the gate accepts no requests either */
  fq_time_t stopping_since;
  fq_time_t refusing_since; /* shutting down: no new connections; 0: not yet */
  bool output_pending;      /* as of the current event */
  bool requests_expected;   /* as of the current event */
  uint64_t memory_held;     /* as of the current event */
  fq_timer_entry_t shutdown_timer;
};

/* effects.c: the effects of the current event. */

/** fq_mesh_add_effect() - append an effect to those of the current event, which own it.
 */
fq_mesh_effect_t *fq_mesh_add_effect (fq_mesh_t *mesh, fq_mesh_effect_kind_t kind);

/** fq_mesh_log() - append a log effect. */
void fq_mesh_log (fq_mesh_t *mesh, bool warning, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* delivery.c: frames to other nodes, and between this node's own entry and gate. The
 * functions take over what the frame owns. */
void fq_mesh_send_to_gate (fq_mesh_t *mesh, fq_node_address_t node, fq_frame_t *frame);
void fq_mesh_send_to_entry (fq_mesh_t *mesh, fq_id_t entry_connection, fq_frame_t *frame);
void fq_mesh_deliver_loopback (fq_mesh_t *mesh);

/* config_state.c: the configuration in force. */

/**
 * fq_mesh_apply_config() - put @config in force and take a reference of its own; ignored
 * unless its version is newer.
 * @found_late: the store did not deliver it when it was written; other nodes may have
 * missed it too and are told of its version
 */
void fq_mesh_apply_config (fq_mesh_t *mesh, fq_config_t *config, bool found_late);

/** fq_mesh_send_config() - send the configuration in force to an entry; nothing is sent
 * unless it is newer than version @known. */
void fq_mesh_send_config (fq_mesh_t *mesh, fq_id_t entry_connection, uint64_t known);

/** fq_mesh_record_gate_version() - as fq_mesh_record_config_version(), of the gate of
 * another node, which may answer a question for it. */
void
fq_mesh_record_gate_version (fq_mesh_t *mesh, fq_node_address_t node, uint64_t version);

/** fq_mesh_record_config_version() - @node has reported that @version is in force there;
 * if it is newer than this node's, schedule a request for it. */
void
fq_mesh_record_config_version (fq_mesh_t *mesh, fq_node_address_t node, uint64_t version);

/** fq_mesh_request_config() - request the newer configuration that another node reported
 * last, and arm the timer for a repetition; nothing is done unless it is still newer and
 * that node is connected. */
void fq_mesh_request_config (fq_mesh_t *mesh);

/** fq_mesh_ask_version() - ask some other node for its version of the configuration, or
 * more of them if the last ones did not answer, and arm the timer for the next time. */
void fq_mesh_ask_version (fq_mesh_t *mesh);

/* stopping.c: the graceful shutdown. */
void fq_mesh_begin_shutdown (fq_mesh_t *mesh);
void fq_mesh_continue_shutdown (fq_mesh_t *mesh);

/* mesh.c */

/** fq_mesh_expedite_discovery() - no other node is connected: read the directory again
 * soon. */
void fq_mesh_expedite_discovery (fq_mesh_t *mesh);
fq_id_t fq_mesh_next_id (fq_mesh_t *mesh);

/* entry.c: requests of local clients. */

/** fq_entry_receive() - offer a client request to a gate, or answer it at once. */
void fq_entry_receive (fq_mesh_t *mesh, const fq_mesh_request_t *request);

/** fq_entry_client_disconnected() - cancel the pending attempt of exchange @id and free
 * the exchange without an answer; an unknown @id is ignored. */
void fq_entry_client_disconnected (fq_mesh_t *mesh, fq_id_t id);

/** fq_entry_handle_frame() - handle the frame of a gate about an attempt; ignored when
 * that attempt is no longer pending. */
void fq_entry_handle_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame);

/** fq_entry_gate_lost() - end all pending attempts at @peer; each exchange is retried, or
 * answered and freed. */
void fq_entry_gate_lost (fq_mesh_t *mesh, fq_peer_t *peer);

/**
 * fq_entry_retire_sent() - keep the attempts at @peer that may run and may not be
 * repeated, as its connection is being retired.
 *
 * Return: whether there are any.
 */
bool fq_entry_retire_sent (fq_mesh_t *mesh, fq_peer_t *peer);

/** fq_entry_retired_lost() - end the attempts of retired connections to @peer. */
void fq_entry_retired_lost (fq_mesh_t *mesh, fq_peer_t *peer);

/** fq_entry_expire() - cancel the pending attempt, answer 503 or 504, and free @exchange.
 */
void fq_entry_expire (fq_mesh_t *mesh, fq_exchange_t *exchange);

/** fq_entry_end_all() - fq_entry_expire() for all exchanges. */
void fq_entry_end_all (fq_mesh_t *mesh);

/** fq_entry_free_all() - free all exchanges without an answer. */
void fq_entry_free_all (fq_mesh_t *mesh);

/* exchange_end.c: the end of exchanges. */

/** fq_exchange_detach_gate() - clear the pending attempt, if there is one. */
void fq_exchange_detach_gate (fq_mesh_t *mesh, fq_exchange_t *exchange);
/** fq_exchange_release() - free an exchange that nothing refers to any more. */
void fq_exchange_release (fq_exchange_t *exchange);
void fq_exchange_free (fq_mesh_t *mesh, fq_exchange_t *exchange);

/** fq_exchange_notify_parent() - record a failed call at the run that made it. */
void fq_exchange_notify_parent (fq_mesh_t *mesh, const fq_exchange_t *exchange);
void fq_exchange_log_end (fq_mesh_t *mesh,
                          const fq_exchange_t *exchange,
                          uint16_t status,
                          const char *outcome,
                          const char *cause);

/** fq_exchange_reply_local() - answer a client from this node; @text is static. */
void fq_exchange_reply_local (fq_mesh_t *mesh,
                              fq_id_t request,
                              uint16_t status,
                              uint32_t retry_after_ms,
                              const char *text);
uint32_t fq_exchange_jitter_retry_after (fq_mesh_t *mesh, uint32_t ms);

/** fq_exchange_finish_not_run() - answer 503 with Retry-After, and free @exchange. */
void
fq_exchange_finish_not_run (fq_mesh_t *mesh, fq_exchange_t *exchange, const char *cause);

/** fq_exchange_finish_may_have_run() - answer with @status, and free @exchange. */
void fq_exchange_finish_may_have_run (fq_mesh_t *mesh,
                                      fq_exchange_t *exchange,
                                      uint16_t status,
                                      const char *cause);

/** fq_exchange_finish_unanswered() - answer 502 if an attempt may have run, otherwise as
 * fq_exchange_finish_not_run(); frees @exchange. */
void fq_exchange_finish_unanswered (fq_mesh_t *mesh,
                                    fq_exchange_t *exchange,
                                    const char *cause);

/* gate.c: runs at the local server. */
void
fq_gate_handle_frame (fq_mesh_t *mesh, fq_id_t entry_connection, const fq_frame_t *frame);
void fq_gate_entry_lost (fq_mesh_t *mesh, fq_id_t entry_connection);

/**
 * fq_gate_run_answered() - the server answered @run in full; an unknown @run is ignored.
 * @answer: borrowed
 */
void fq_gate_run_answered (fq_mesh_t *mesh,
                           fq_id_t run,
                           fq_server_outcome_t outcome,
                           const fq_server_notice_t *notice,
                           fq_http_message_t *answer);

/** fq_gate_run_failed() - the server gave no complete answer to @run; an unknown @run is
 * ignored. */
void fq_gate_run_failed (fq_mesh_t *mesh, fq_id_t run, fq_server_failure_t failure);

void fq_gate_handle_run_timer (fq_mesh_t *mesh, fq_gate_run_t *run);

/** fq_gate_refuse_queued() - refuse all runs that wait. A granted one is checked again
 * when its request comes; the server may be back by then. */
void fq_gate_refuse_queued (fq_mesh_t *mesh, fq_gate_cause_t cause);

/** fq_gate_refuse_unstarted() - refuse all runs that were not sent to the server, also
 * granted ones: what was decided for this server does not hold for the next. */
void fq_gate_refuse_unstarted (fq_mesh_t *mesh, fq_gate_cause_t cause);
bool fq_gate_accepts_requests (const fq_mesh_t *mesh);

/** fq_gate_find_running() - the run of a request that is at the server; NULL: none. */
fq_gate_run_t *fq_gate_find_running (const fq_mesh_t *mesh, const fq_text_t *request_id);

/** fq_gate_start_queued() - start the queued requests that have a slot now. */
void fq_gate_start_queued (fq_mesh_t *mesh);
void fq_gate_free_all (fq_mesh_t *mesh);

/* isolation.c: runs that may crash the server. */

/** fq_gate_must_hold() - whether @run may not run now, as another suspect does. */
bool fq_gate_must_hold (const fq_mesh_t *mesh, const fq_gate_run_t *run);

/** fq_gate_hold() - let the new @run wait until it may run. */
void fq_gate_hold (fq_mesh_t *mesh, fq_gate_run_t *run);

/** fq_gate_next_released() - a run that is held and may run now; NULL: none. */
fq_gate_run_t *fq_gate_next_released (const fq_mesh_t *mesh);

/* gate_admission.c: whether a request is admitted, and how long it may wait. */

/** fq_gate_load() - write the load of the gate of this node to @out. */
void fq_gate_load (const fq_mesh_t *mesh, fq_gate_load_t *out);

/**
 * fq_gate_check_offer() - whether to admit a request; an admitted one is counted in the
 * repeat budget, as a repeat or as a first arrival.
 *
 * Return: FQ_GATE_CAUSE_NONE: admitted; else the cause of the refusal.
 */
fq_gate_cause_t fq_gate_check_offer (fq_mesh_t *mesh, const fq_offer_t *offer);
fq_time_t fq_gate_max_wait (const fq_mesh_t *mesh, const fq_offer_t *offer);

/* server_state.c: the state of the local server. */
void fq_server_state_handle_report (fq_mesh_t *mesh, const fq_server_report_t *report);
void fq_server_state_handle_deregistration (fq_mesh_t *mesh,
                                            const fq_server_report_t *report);
void fq_server_state_handle_timer (fq_mesh_t *mesh);
void fq_server_state_probe_succeeded (fq_mesh_t *mesh,
                                      fq_text_t *instance,
                                      const fq_server_notice_t *notice);

/** fq_server_state_accept_report() - put in force what @report of the server says. */
void fq_server_state_accept_report (fq_mesh_t *mesh, const fq_server_report_t *report);

/** fq_server_state_config_changed() - a configuration is in force: refuse what reported
 * before as of a service that it does not name, and check what is uncertain. */
void fq_server_state_config_changed (fq_mesh_t *mesh);

/** fq_server_state_begin_drain() - the server is leaving: it gets new requests only until
 * the drain ends. Repeated calls change nothing. */
void fq_server_state_begin_drain (fq_mesh_t *mesh, const char *reason);

/** fq_server_state_recall() - an entry that connected tells what this gate, before a
 * restart, told it of its server. */
void fq_server_state_recall (fq_mesh_t *mesh, const fq_server_recall_t *recall);

/** fq_server_state_apply_recalled() - apply what is remembered of the server. */
void fq_server_state_apply_recalled (fq_mesh_t *mesh);

/** fq_server_drain_end() - when a server gets no more requests that is known since @since
 * to be leaving. */
fq_time_t fq_server_drain_end (const fq_mesh_t *mesh, fq_time_t since);

/** fq_server_state_send_probe() - send a health check to the local server, as one of
 * @service. Return: whether the configuration tells how. */
bool fq_server_state_send_probe (fq_mesh_t *mesh, const fq_text_t *service);

/** fq_server_state_probe_if_uncertain() - probe the local server if its state is
 * uncertain. */
void fq_server_state_probe_if_uncertain (fq_mesh_t *mesh);
void fq_server_state_mark_absent (fq_mesh_t *mesh, const char *reason);

/** fq_server_state_broadcast() - send the state of the local server to all connected
 * nodes. */
void fq_server_state_broadcast (fq_mesh_t *mesh);

/* server_identity.c: which process the local server is. */

/** enum fq_report_class_t - which process a report is of, and whether it is news. */
typedef enum
{
  FQ_REPORT_CURRENT,   /* of the server, later than its last one */
  FQ_REPORT_STALE,     /* earlier than what is known */
  FQ_REPORT_SUCCESSOR, /* of the process that took the place of the server */
  FQ_REPORT_UNPROVEN,  /* of another process, and the server may still be there */
} fq_report_class_t;

fq_report_class_t fq_server_classify_report (const fq_mesh_t *mesh,
                                             const fq_server_report_t *report);

/** fq_server_matches_report() - whether @report may be of the process that is the server.
 */
bool fq_server_matches_report (const fq_server_t *server,
                               const fq_server_report_t *report);

/** fq_server_states_other_service() - whether @report is of a service other than that of
 * this VM. */
bool fq_server_states_other_service (const fq_mesh_t *mesh,
                                     const fq_server_report_t *report);

/** fq_server_adopt() - the process that sent @report is the server from now on. */
void fq_server_adopt (fq_mesh_t *mesh, const fq_server_report_t *report);

/** fq_server_clear_candidate() - there is no candidate any more. */
void fq_server_clear_candidate (fq_mesh_t *mesh);

/** fq_server_consider_candidate() - @report is of a process that is not taken for the
 * server: adopt it if it is proven to be the server, and ask the server otherwise. */
void fq_server_consider_candidate (fq_mesh_t *mesh, const fq_server_report_t *report);

/** fq_server_drop_candidate() - the process of @report leaves, so it is no candidate any
 * more. Return: whether it was one. */
bool fq_server_drop_candidate (fq_mesh_t *mesh, const fq_server_report_t *report);

/** fq_server_is_disputed() - whether a report said that @instance is of a service other
 * than that of this VM. */
bool fq_server_is_disputed (const fq_mesh_t *mesh, const fq_text_t *instance);

/** fq_server_candidate_probed() - @instance answered a health check, as @healthy. */
void
fq_server_candidate_probed (fq_mesh_t *mesh, const fq_text_t *instance, bool healthy);

/** fq_server_recheck_candidate() - a configuration is in force: ask for the candidate if
 * its service is named there, and drop it otherwise. */
void fq_server_recheck_candidate (fq_mesh_t *mesh);

/* server_notice.c: what the local server says of itself in its answers. */

/** fq_server_notice_record() - record @notice, put a changed rate limit in force, and log
 * what changed. */
void fq_server_notice_record (fq_mesh_t *mesh, const fq_server_notice_t *notice);

/** fq_server_notice_recall() - use a remembered rate limit until the server states it. */
void fq_server_notice_recall (fq_mesh_t *mesh, const fq_server_memory_t *memory);

/** fq_server_notice_forget() - another process took the place of the server. */
void fq_server_notice_forget (fq_mesh_t *mesh);

/* server_crash.c: crashes of the local server, and the requests suspected of them. */

/** fq_server_crash_run_lost() - the server gave no complete answer to @run. */
void fq_server_crash_run_lost (fq_mesh_t *mesh, const fq_gate_run_t *run);

/** fq_server_crash_run_answered() - it answered @run, which is no suspect any more. */
void fq_server_crash_run_answered (fq_mesh_t *mesh, const fq_gate_run_t *run);

/** fq_server_crash_detected() - the server is gone; suspects what it lost unless it was
 * leaving, and marks it absent. */
void fq_server_crash_detected (fq_mesh_t *mesh, const char *reason);

/** fq_server_crash_replaced() - another process reports from the address of the server.
 */
void fq_server_crash_replaced (fq_mesh_t *mesh);

/** fq_server_crash_ready() - the server is ready, so it has not crashed. */
void fq_server_crash_ready (fq_mesh_t *mesh);

/** fq_server_crash_probed() - a health check ended. */
void fq_server_crash_probed (fq_mesh_t *mesh,
                             fq_probe_outcome_t outcome,
                             const fq_text_t *instance);
void fq_server_crash_handle_timer (fq_mesh_t *mesh);

/** fq_server_crash_add_suspect() - the request ran in a crash here or at another gate. */
void fq_server_crash_add_suspect (fq_mesh_t *mesh,
                                  uint64_t fingerprint,
                                  uint64_t crash,
                                  bool alone);

/** fq_server_crash_tell_suspects() - tell an entry that connects which requests are
 * isolated or refused. */
void fq_server_crash_tell_suspects (fq_mesh_t *mesh, fq_id_t entry_connection);

/* peers.c: the other nodes. */

/** fq_peer_get_or_add() - the peer at @address, added when it is not known; never NULL.
 */
fq_peer_t *fq_peer_get_or_add (fq_mesh_t *mesh, fq_node_address_t address);

/**
 * fq_peer_add() - add the peer at @address if it is new, and connect to it.
 * @from_peer: the peer itself has connected to this node, and so is alive
 *
 * Return: the peer; this node's own for its own address and for 0.
 */
fq_peer_t *fq_peer_add (fq_mesh_t *mesh, fq_node_address_t address, bool from_peer);
void fq_peer_link_up (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_link_down (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_handle_frame (fq_mesh_t *mesh, fq_peer_t *peer, const fq_frame_t *frame);

/** fq_peer_watch_silence() - ping @peer when it is silent, while it has pending attempts.
 */
void fq_peer_watch_silence (fq_mesh_t *mesh, fq_peer_t *peer);
void fq_peer_handle_timer (fq_mesh_t *mesh, fq_peer_t *peer);

/** fq_peer_write_sample() - write the addresses of connected peers, or a sample, to
 * @frame. */
void fq_peer_write_sample (fq_mesh_t *mesh, fq_frame_t *frame);

/** fq_peer_count_up() - number of other nodes that are connected. */
size_t fq_peer_count_up (const fq_mesh_t *mesh);

/** fq_peer_count_gates() - connected gates of @service, with this node's own. */
size_t fq_peer_count_gates (const fq_mesh_t *mesh, const fq_text_t *service);
void fq_peer_free_all (fq_mesh_t *mesh);

/* balancer.c: load balancing of attempts over gates. */

/** fq_balancer_pick_gate() - the gate for the next attempt; NULL: none is available. */
fq_peer_t *fq_balancer_pick_gate (fq_mesh_t *mesh, const fq_exchange_t *exchange);

/**
 * fq_balancer_record_result() - update the scores of a gate after an attempt.
 * @elapsed: answer time; 0: there was no answer
 * @failed: the attempt failed, or the server refused it
 */
void fq_balancer_record_result (
    fq_mesh_t *mesh, fq_peer_t *peer, uint64_t route, fq_time_t elapsed, bool failed);

#endif
