/**
 * DOC: A simulated fleet: several nodes in one process and in virtual time.
 *
 * Each frame arrives after FLEET_DELAY_US. A node that is down has its connections
 * closed. A silent node is cut off by the network: frames to and from it are lost, and no
 * connection is reported as closed. A frozen node stands still: frames to it wait, and
 * its timers are late. The test acts as the servers.
 */
#ifndef FQ_TESTS_MESH_FLEET_H
#define FQ_TESTS_MESH_FLEET_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh.h"
#include "util/timers.h"

#ifndef FLEET_NODES
#define FLEET_NODES 4
#endif
#define FLEET_DELAY_US FQ_MICROSECONDS_PER_MS
#define FLEET_RUNS_MAX 1024
#define FLEET_REPLIES_MAX 1024
#define FLEET_MESSAGES_MAX 4096
#define FLEET_TEXT_BYTES 256
#define FLEET_TEXTS_MAX 1024
#define FLEET_BODY_BYTES_MAX 1000 /* of all requests at one gate */
#define FLEET_MEMORY_BYTES 100000 /* that a node may hold altogether */

/** fleet_run_t - a request that was sent to a server. */
typedef struct
{
  size_t node;
  fq_id_t run;
  char request_id[FLEET_TEXT_BYTES];
  char caller[FLEET_TEXT_BYTES];
  char instance[FLEET_TEXT_BYTES];
  uint32_t remaining_ms;
  fq_time_t started;
  bool ended; /* answered, failed or aborted */
  bool aborted;
} fleet_run_t;

/** fleet_reply_t - the answer that a client got. */
typedef struct
{
  fq_id_t request;
  uint16_t status;
  uint32_t retry_after_ms;
  fq_time_t at;
} fleet_reply_t;

/** fleet_message_t - a frame in transit, or the opening or closing of a connection. */
typedef struct
{
  fq_time_t due;
  size_t from;
  size_t to;
  bool to_gate;
  fq_mesh_event_kind_t kind;
  fq_frame_t frame;
  unsigned int generation; /* of the sender, when it was sent */
} fleet_message_t;

/** fleet_node_t - a node and the server beside it. */
typedef struct
{
  fq_mesh_t *mesh; /* NULL after fleet_kill() */
  bool down;
  bool silent;                     /* cut off by the network */
  bool frozen;                     /* its process stands still */
  bool stopped;                    /* it completed its graceful shutdown */
  bool output_pending;             /* its clients have not taken all output */
  bool probed;                     /* its server has a probe to answer */
  char instance[FLEET_TEXT_BYTES]; /* of its server */
  bool draining;                   /* its server drains */
  bool service_unset;              /* its settings name no service */
  bool server_down;                /* its server takes no connections */
  bool server_silent;              /* its server answers no probes */
  bool probe_held;                 /* its server answers probes later */
  unsigned int generation;         /* number of its start */
  uint64_t sequence;
} fleet_node_t;

typedef struct
{
  fleet_node_t nodes[FLEET_NODES];
  fq_time_t now;
  fleet_run_t runs[FLEET_RUNS_MAX];
  size_t run_count;
  fleet_reply_t replies[FLEET_REPLIES_MAX];
  size_t reply_count;
  fleet_message_t messages[FLEET_MESSAGES_MAX];
  size_t message_count;
  size_t sent_count; /* frames sent so far */
  fq_config_t *config;
  fq_config_t *newer_config; /* what CONFIG frames carry; NULL: they are lost */
  fq_id_t next_request;
  uint64_t memory_held;       /* by each node, as its shell counts */
  uint64_t new_request_bytes; /* parameter of nodes that start from now on */
} fleet_t;

/* A string that lives as long as the test. */
static inline fq_text_t *
fleet_text (const char *chars)
{
  static fq_text_t *texts[FLEET_TEXTS_MAX];
  static size_t count;

  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (fq_text_chars (texts[i]), chars) == 0)
        return texts[i];
    }
  ck_assert_uint_lt (count, FLEET_TEXTS_MAX);
  texts[count] = fq_text_new (chars);
  return texts[count++];
}

static inline fq_node_address_t
fleet_address (size_t node)
{
  return 0x0a000001u + (fq_node_address_t)node;
}

static inline size_t
fleet_node_of (fq_node_address_t address)
{
  return address - 0x0a000001u;
}

/* The id of the connection of @from to a gate, new after each restart. */
static inline fq_id_t
fleet_connection_id (const fleet_t *fleet, size_t from)
{
  return 1000 + from * 100 + fleet->nodes[from].generation;
}

static inline void
fleet_enqueue (fleet_t *fleet,
               size_t from,
               size_t to,
               bool to_gate,
               fq_mesh_event_kind_t kind,
               const fq_frame_t *frame)
{
  fleet_message_t *message = &fleet->messages[fleet->message_count++];

  ck_assert_uint_lt (fleet->message_count, FLEET_MESSAGES_MAX);
  *message = (fleet_message_t){
    .due = fleet->now + FLEET_DELAY_US,
    .from = from,
    .to = to,
    .to_gate = to_gate,
    .kind = kind,
    .generation = fleet->nodes[from].generation,
  };
  if (frame == NULL)
    return;
  fleet->sent_count++;
  message->frame = *frame;
  fq_http_message_ref (message->frame.message);
  fq_text_ref (message->frame.zone);
  fq_text_ref (message->frame.recall.instance);
  fq_text_ref (message->frame.server.service);
  fq_text_ref (message->frame.server.instance);
  fq_offer_ref (&message->frame.offer);
  message->frame.nodes = NULL;
  message->frame.fingerprints = NULL;
  message->frame.document = NULL;
  if (frame->node_count > 0)
    {
      message->frame.nodes = malloc (frame->node_count * sizeof *frame->nodes);
      memcpy (message->frame.nodes, frame->nodes,
              frame->node_count * sizeof *frame->nodes);
    }
  if (frame->document_size > 0)
    {
      message->frame.document = malloc (frame->document_size);
      memcpy (message->frame.document, frame->document, frame->document_size);
    }
  if (frame->fingerprint_count > 0)
    {
      size_t size = frame->fingerprint_count * sizeof *frame->fingerprints;

      message->frame.fingerprints = malloc (size);
      memcpy (message->frame.fingerprints, frame->fingerprints, size);
    }
}

static inline void fleet_feed (fleet_t *fleet, size_t node, fq_mesh_event_t *event);

static inline void
fleet_record_reply (fleet_t *fleet, const fq_mesh_effect_t *effect)
{
  fleet_reply_t *reply = &fleet->replies[fleet->reply_count++];

  reply->request = effect->reply.request;
  reply->status = effect->reply.answer != NULL ? effect->reply.answer->status
                                               : effect->reply.status;
  reply->retry_after_ms = effect->reply.retry_after_ms;
  reply->at = fleet->now;
}

static inline void
fleet_record_run (fleet_t *fleet, size_t node, const fq_mesh_effect_t *effect)
{
  fleet_run_t *run = &fleet->runs[fleet->run_count++];

  ck_assert_uint_lt (fleet->run_count, FLEET_RUNS_MAX);
  *run = (fleet_run_t){
    .node = node,
    .run = effect->server_call.run,
    .remaining_ms = effect->server_call.remaining_ms,
    .started = fleet->now,
  };
  strcpy (run->request_id, fq_text_chars (effect->server_call.request_id));
  strcpy (run->caller, fq_text_chars (effect->server_call.caller));
  strcpy (run->instance, fq_text_chars (effect->server_call.instance));
}

static inline void
fleet_record_abort (fleet_t *fleet, size_t node, fq_id_t id)
{
  for (size_t i = 0; i < fleet->run_count; i++)
    {
      if (fleet->runs[i].node == node && fleet->runs[i].run == id)
        {
          fleet->runs[i].ended = true;
          fleet->runs[i].aborted = true;
        }
    }
}

static inline void
fleet_open_link (fleet_t *fleet, size_t from, size_t to)
{
  if (fleet->nodes[to].down)
    fleet_enqueue (fleet, to, from, false, FQ_MESH_EVENT_LINK_DOWN, NULL);
  else
    fleet_enqueue (fleet, to, from, false, FQ_MESH_EVENT_LINK_UP, NULL);
}

static inline void
fleet_apply_effect (fleet_t *fleet, size_t node, const fq_mesh_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_MESH_EFFECT_REPLY:
      fleet_record_reply (fleet, effect);
      break;
    case FQ_MESH_EFFECT_LINK_OPEN:
      fleet_open_link (fleet, node, fleet_node_of (effect->node));
      break;
    case FQ_MESH_EFFECT_LINK_CLOSE:
      fleet_enqueue (fleet, node, fleet_node_of (effect->node), true,
                     FQ_MESH_EVENT_ENTRY_DOWN, NULL);
      break;
    case FQ_MESH_EFFECT_SEND_TO_GATE:
      fleet_enqueue (fleet, node, fleet_node_of (effect->frame.node), true,
                     FQ_MESH_EVENT_ENTRY_FRAME, effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SEND_TO_ENTRY:
      fleet_enqueue (fleet, node, (size_t)(effect->frame.entry_connection - 1000) / 100,
                     false, FQ_MESH_EVENT_GATE_FRAME, effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SERVER_CALL:
      fleet_record_run (fleet, node, effect);
      break;
    case FQ_MESH_EFFECT_SERVER_ABORT:
      fleet_record_abort (fleet, node, effect->run);
      break;
    case FQ_MESH_EFFECT_STOPPED:
      fleet->nodes[node].stopped = true;
      break;
    case FQ_MESH_EFFECT_SERVER_PROBE:
      fleet->nodes[node].probed = true;
      break;
    case FQ_MESH_EFFECT_LINK_RETIRE:
    case FQ_MESH_EFFECT_RETIRED_LINKS_CLOSE:
    case FQ_MESH_EFFECT_SERVER_CLOSE_IDLE:
    case FQ_MESH_EFFECT_REQUEST_LIMITS:
    case FQ_MESH_EFFECT_DISCOVER_NODES:
    case FQ_MESH_EFFECT_REMOVE_NODE:
    case FQ_MESH_EFFECT_LOG:
    case FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE:
    case FQ_MESH_EFFECT_REFUSE_CONNECTIONS:
      break;
    }
}

/* A draining server answers a probe as unhealthy. */
static inline fq_probe_outcome_t
fleet_probe_outcome (const fleet_node_t *node)
{
  if (node->server_down)
    return FQ_PROBE_REFUSED;
  if (node->server_silent)
    return FQ_PROBE_UNANSWERED;
  return node->draining ? FQ_PROBE_UNHEALTHY : FQ_PROBE_HEALTHY;
}

static inline void
fleet_answer_probe (fleet_t *fleet, size_t node)
{
  fleet_node_t *at = &fleet->nodes[node];
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_PROBE };

  if (!at->probed || at->probe_held)
    return;
  at->probed = false;
  event.probe.instance = fleet_text (at->instance);
  event.probe.outcome = fleet_probe_outcome (at);
  if (at->server_down || at->server_silent || at->instance[0] != '\0')
    fleet_feed (fleet, node, &event);
}

static inline void
fleet_feed (fleet_t *fleet, size_t node, fq_mesh_event_t *event)
{
  fq_mesh_effects_t effects = { 0 };

  if (fleet->nodes[node].down)
    return;
  event->now = fleet->now;
  event->output_pending = fleet->nodes[node].output_pending;
  event->memory_held = fleet->memory_held;
  fq_mesh_reduce (fleet->nodes[node].mesh, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    fleet_apply_effect (fleet, node, &effects.items[i]);
  fq_mesh_effects_free (&effects);
  fleet_answer_probe (fleet, node);
}

static inline bool
fleet_is_deliverable (const fleet_t *fleet, const fleet_message_t *message)
{
  const fleet_node_t *from = &fleet->nodes[message->from];
  const fleet_node_t *to = &fleet->nodes[message->to];

  if (message->kind == FQ_MESH_EVENT_LINK_DOWN)
    return !to->down;
  return !to->down && !to->silent && !from->silent
         && from->generation == message->generation;
}

/* The shell parses the document of a CONFIG frame. */
static inline void
fleet_deliver_config (fleet_t *fleet, size_t node)
{
  fq_mesh_event_t event
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = fleet->newer_config } };

  if (fleet->newer_config != NULL)
    fleet_feed (fleet, node, &event);
}

static inline void
fleet_deliver (fleet_t *fleet, fleet_message_t *message)
{
  fq_mesh_event_t event = { .kind = message->kind };

  /* A connection to an unreachable node fails. */
  if (message->kind == FQ_MESH_EVENT_LINK_UP && !fleet_is_deliverable (fleet, message))
    message->kind = event.kind = FQ_MESH_EVENT_LINK_DOWN;
  if (!fleet_is_deliverable (fleet, message))
    {
      fq_frame_clear (&message->frame);
      return;
    }
  switch (message->kind)
    {
    case FQ_MESH_EVENT_ENTRY_DOWN:
      event.entry_connection = fleet_connection_id (fleet, message->from);
      break;
    case FQ_MESH_EVENT_LINK_UP:
    case FQ_MESH_EVENT_LINK_DOWN:
      event.node = fleet_address (message->from);
      break;
    default:
      event.frame.frame = &message->frame;
      event.frame.node = fleet_address (message->from);
      event.frame.entry_connection = fleet_connection_id (fleet, message->from);
      event.frame.entry_address = fleet_address (message->from);
      break;
    }
  fleet_feed (fleet, message->to, &event);
  if (message->frame.kind == FQ_FRAME_CONFIG)
    fleet_deliver_config (fleet, message->to);
  fq_frame_clear (&message->frame);
}

/* The time of the next timer or arrival, or FQ_TIMERS_NEVER. */
static inline fq_time_t
fleet_next_event_at (const fleet_t *fleet)
{
  fq_time_t next = FQ_TIMERS_NEVER;

  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      if (!fleet->nodes[i].down && !fleet->nodes[i].frozen
          && fq_mesh_next_timer (fleet->nodes[i].mesh) < next)
        next = fq_mesh_next_timer (fleet->nodes[i].mesh);
    }
  for (size_t i = 0; i < fleet->message_count; i++)
    {
      if (!fleet->nodes[fleet->messages[i].to].frozen && fleet->messages[i].due < next)
        next = fleet->messages[i].due;
    }
  return next;
}

static inline void
fleet_process_due (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->message_count;)
    {
      fleet_message_t message = fleet->messages[i];

      if (message.due > fleet->now || fleet->nodes[message.to].frozen)
        {
          i++;
          continue;
        }
      memmove (&fleet->messages[i], &fleet->messages[i + 1],
               (--fleet->message_count - i) * sizeof message);
      fleet_deliver (fleet, &message);
    }
  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_TIMER };

      if (!fleet->nodes[i].down && !fleet->nodes[i].frozen
          && fq_mesh_next_timer (fleet->nodes[i].mesh) <= fleet->now)
        fleet_feed (fleet, i, &event);
    }
}

/** fleet_advance() - advance the virtual time, with all events on the way. */
static inline void
fleet_advance (fleet_t *fleet, uint32_t ms)
{
  fq_time_t until = fleet->now + (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;

  for (;;)
    {
      fq_time_t next = fleet_next_event_at (fleet);

      if (next > until)
        break;
      if (next > fleet->now)
        fleet->now = next;
      fleet_process_due (fleet);
    }
  fleet->now = until;
}

/** fleet_report() - the server of @node reports that it is ready, or drains. */
static inline void
fleet_report (
    fleet_t *fleet, size_t node, const char *instance, uint64_t started, bool draining)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REPORT };

  strcpy (fleet->nodes[node].instance, instance);
  fleet->nodes[node].draining = draining;
  event.report.instance = fleet_text (instance);
  event.report.service = fleet_text (node == 0 ? "front" : "back");
  event.report.started_ms = started;
  event.report.sequence = ++fleet->nodes[node].sequence;
  event.report.slots = 10;
  event.report.draining = draining;
  fleet_feed (fleet, node, &event);
}

/** fleet_start() - start a node that knows all others and the configuration. */
static inline void
fleet_start (fleet_t *fleet, size_t node)
{
  fq_mesh_options_t options = FQ_MESH_OPTIONS_INIT;
  fq_node_address_t addresses[FLEET_NODES];
  fq_mesh_event_t nodes = { .kind = FQ_MESH_EVENT_NODES };
  fq_mesh_event_t config
      = { .kind = FQ_MESH_EVENT_CONFIG, .config = { .received = fleet->config } };

  options.address = fleet_address (node);
  options.zone = "z";
  if (!fleet->nodes[node].service_unset)
    options.service = node == 0 ? "front" : "back";
  options.seed = node + 1;
  options.params.body_bytes_max = FLEET_BODY_BYTES_MAX;
  options.params.memory_bytes = FLEET_MEMORY_BYTES;
  options.params.new_request_bytes = fleet->new_request_bytes;
  fleet->nodes[node].down = false;
  fleet->nodes[node].generation++;
  ck_assert_int_eq (fq_mesh_new (&fleet->nodes[node].mesh, &options, fleet->now), 0);
  for (size_t i = 0; i < FLEET_NODES; i++)
    addresses[i] = fleet_address (i);
  nodes.nodes.addresses = addresses;
  nodes.nodes.count = FLEET_NODES;
  fleet_feed (fleet, node, &nodes);
  if (fleet->config != NULL)
    fleet_feed (fleet, node, &config);
}

/** fleet_kill() - end the process of @node at once, with its connections. */
static inline void
fleet_kill (fleet_t *fleet, size_t node)
{
  fq_mesh_free (fleet->nodes[node].mesh);
  fleet->nodes[node].mesh = NULL;
  fleet->nodes[node].down = true;
  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      fq_mesh_event_t down = { .kind = FQ_MESH_EVENT_LINK_DOWN };
      fq_mesh_event_t gone = { .kind = FQ_MESH_EVENT_ENTRY_DOWN };

      if (i == node)
        continue;
      down.node = fleet_address (node);
      gone.entry_connection = fleet_connection_id (fleet, node);
      fleet_feed (fleet, i, &down);
      fleet_feed (fleet, i, &gone);
    }
}

/* "/safe/" is idempotent and "/once/" is not; "/absent/" has no servers. The caller owns
 * the reference. */
static inline fq_config_t *
fleet_config (uint64_t version, uint32_t timeout_ms)
{
  fq_config_t *config = fq_config_new ();
  fq_virtual_host_t *host;
  static const char *const prefixes[] = { "/safe/", "/once/", "/absent/" };
  static const char *const services[] = { "back", "back", "absent" };

  config->version = version;
  config->document = (uint8_t *)strdup ("document");
  config->document_size = strlen ("document");
  config->service_count = 2;
  config->services = calloc (config->service_count, sizeof *config->services);
  for (size_t i = 0; i < config->service_count; i++)
    {
      config->services[i].name = fq_text_new (i == 0 ? "front" : "back");
      config->services[i].probe_path = fq_text_new ("/health");
    }
  config->hosts = calloc (1, sizeof *config->hosts);
  config->host_count = 1;
  host = &config->hosts[0];
  host->host = strdup ("h");
  host->route_count = sizeof prefixes / sizeof prefixes[0];
  host->routes = calloc (host->route_count, sizeof *host->routes);
  for (size_t i = 0; i < host->route_count; i++)
    {
      fq_route_t *route = &host->routes[i];

      route->name = fq_text_new (prefixes[i] + 1);
      route->prefix = strdup (prefixes[i]);
      route->idempotent = i == 0;
      route->timeout_ms = timeout_ms;
      route->latency_objective_ms = timeout_ms;
      route->servers_max = 2;
      route->targets = calloc (1, sizeof *route->targets);
      route->target_count = 1;
      route->targets[0].service = fq_text_new (services[i]);
      route->targets[0].weight = 1;
    }
  fq_config_finalize (config);
  return config;
}

/** fleet_setup() - start all nodes; node 0 has a server of "front", the others "back".
 */
static inline void
fleet_setup (fleet_t *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->now = FQ_MICROSECONDS_PER_SECOND;
  fleet->config = fleet_config (1, 2000);
  for (size_t i = 0; i < FLEET_NODES; i++)
    fleet->nodes[i].down = true;
  for (size_t i = 0; i < FLEET_NODES; i++)
    fleet_start (fleet, i);
  fleet_advance (fleet, 500);
  for (size_t i = 0; i < FLEET_NODES; i++)
    fleet_report (fleet, i, "i-1", 1000, false);
  fleet_advance (fleet, 100);
}

static inline void
fleet_teardown (fleet_t *fleet)
{
  for (size_t i = 0; i < FLEET_NODES; i++)
    fq_mesh_free (fleet->nodes[i].mesh);
  for (size_t i = 0; i < fleet->message_count; i++)
    fq_frame_clear (&fleet->messages[i].frame);
  fq_config_unref (fleet->config);
}

/** fleet_send_body() - a client of @node sends a request with a body; returns its id. */
static inline fq_id_t
fleet_send_body (fleet_t *fleet,
                 size_t node,
                 const char *target,
                 const char *request_id,
                 const char *parent,
                 size_t body_bytes)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REQUEST };
  fq_http_message_t *message = fq_http_message_new ();

  strcpy (message->method, strncmp (target, "/safe", 5) == 0 ? "GET" : "POST");
  message->target = strdup (target);
  if (body_bytes > 0)
    ck_assert_int_eq (fq_blob_new (&message->body, NULL, body_bytes), 0);
  event.request.id = ++fleet->next_request;
  event.request.request_id = fleet_text (request_id);
  event.request.parent_id = fleet_text (parent);
  event.request.host = fleet_text ("h");
  event.request.remaining_ms = 5000;
  event.request.message = message;
  fleet_feed (fleet, node, &event);
  fq_http_message_unref (message);
  return event.request.id;
}

/** fleet_send_request() - a client of @node sends a request; returns its id. */
static inline fq_id_t
fleet_send_request (fleet_t *fleet,
                    size_t node,
                    const char *target,
                    const char *request_id,
                    const char *parent)
{
  return fleet_send_body (fleet, node, target, request_id, parent, 0);
}

/** fleet_answer_with_notice() - the server completes @run with an answer of @status, in
 * which it says @notice of itself. */
static inline void
fleet_answer_with_notice (fleet_t *fleet,
                          fleet_run_t *run,
                          fq_server_outcome_t outcome,
                          uint16_t status,
                          fq_server_notice_t notice)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_ANSWER };

  run->ended = true;
  event.server_answer.run = run->run;
  event.server_answer.outcome = outcome;
  event.server_answer.notice = notice;
  event.server_answer.answer = fq_http_message_new ();
  event.server_answer.answer->status = status;
  fleet_feed (fleet, run->node, &event);
  fq_http_message_unref (event.server_answer.answer);
}

/** fleet_answer() - the server completes @run with an answer of @status. */
static inline void
fleet_answer (fleet_t *fleet,
              fleet_run_t *run,
              fq_server_outcome_t outcome,
              uint16_t status)
{
  fleet_answer_with_notice (fleet, run, outcome, status, (fq_server_notice_t){ 0 });
}

/** fleet_fail() - @run ends without a complete answer of the server. */
static inline void
fleet_fail (fleet_t *fleet, fleet_run_t *run, fq_server_failure_t failure)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_FAILED };

  run->ended = true;
  event.server_failed.run = run->run;
  event.server_failed.failure = failure;
  fleet_feed (fleet, run->node, &event);
}

/** fleet_find_reply() - the answer to @request; NULL: none yet. */
static inline const fleet_reply_t *
fleet_find_reply (const fleet_t *fleet, fq_id_t request)
{
  for (size_t i = 0; i < fleet->reply_count; i++)
    {
      if (fleet->replies[i].request == request)
        return &fleet->replies[i];
    }
  return NULL;
}

/** fleet_find_active_run() - the run of a request that has not ended; NULL: none. */
static inline fleet_run_t *
fleet_find_active_run (fleet_t *fleet, const char *request_id)
{
  for (size_t i = 0; i < fleet->run_count; i++)
    {
      if (!fleet->runs[i].ended && strcmp (fleet->runs[i].request_id, request_id) == 0)
        return &fleet->runs[i];
    }
  return NULL;
}

/** fleet_offer() - node 0 offers a request, with its message, to the gate of @node. */
static inline void
fleet_offer (fleet_t *fleet, size_t node, const char *request_id, bool repeat)
{
  static fq_id_t attempt = 1000000;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_ENTRY_FRAME };
  fq_frame_t frame = { .kind = FQ_FRAME_OFFER, .attempt = ++attempt };

  frame.offer.service = fleet_text ("back");
  frame.offer.request_id = fleet_text (request_id);
  frame.offer.rank = 6;
  frame.offer.route = 1;
  frame.offer.chain = attempt;
  frame.offer.remaining_ms = 1000;
  frame.offer.idempotent = true;
  frame.offer.repeat = repeat;
  frame.offer.fingerprint = attempt;
  frame.message = fq_http_message_new ();
  event.frame.frame = &frame;
  event.frame.entry_connection = fleet_connection_id (fleet, 0);
  fleet_feed (fleet, node, &event);
  fq_http_message_unref (frame.message);
}

#endif
