/**
 * DOC: Some nodes in one process and virtual time, for tests of what they decide
 * together.
 *
 * Frames take FLEET_DELAY_US. A node can be down, or silent: then nothing that is sent to
 * or from it arrives, and no connection is told to end. Servers are played by the test.
 */
#ifndef FQ_TESTS_MESH_FLEET_H
#define FQ_TESTS_MESH_FLEET_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh.h"
#include "util/timers.h"

#define FLEET_NODES 4
#define FLEET_DELAY_US FQ_MICROSECONDS_PER_MS
#define FLEET_RUNS_MAX 256
#define FLEET_REPLIES_MAX 256
#define FLEET_MAIL_MAX 4096

/** fleet_run_t - a request at a server. */
typedef struct
{
  size_t node;
  fq_id_t run;
  char request_id[FQ_REQUEST_ID_BYTES];
  char caller[FQ_NAME_BYTES];
  char instance[FQ_INSTANCE_BYTES];
  uint32_t remaining_ms;
  fq_time_t started;
  bool ended; /* answered, failed or aborted */
  bool aborted;
} fleet_run_t;

/** fleet_reply_t - what a client got. */
typedef struct
{
  fq_id_t request;
  uint16_t status;
  uint32_t retry_after_ms;
  fq_time_t at;
} fleet_reply_t;

/** fleet_mail_t - a frame on its way, or the end or begin of a connection. */
typedef struct
{
  fq_time_t due;
  size_t from;
  size_t to;
  bool to_gate;
  fq_mesh_event_kind_t kind;
  fq_frame_t frame;
  unsigned int generation; /* of the sender, which a restart changes */
} fleet_mail_t;

typedef struct
{
  fq_mesh_t *mesh;
  bool down;
  bool silent;
  bool stopped;
  bool probed;                      /* its server was asked and will answer */
  char instance[FQ_INSTANCE_BYTES]; /* of its server */
  bool draining;                    /* its server does, and says so when asked */
  unsigned int generation;
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
  fleet_mail_t messages[FLEET_MAIL_MAX];
  size_t message_count;
  fq_config_t *config;
  fq_id_t next_request;
} fleet_t;

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

/* A number for the connection of @from to a gate, new after each restart. */
static inline fq_id_t
fleet_asker (const fleet_t *fleet, size_t from)
{
  return 1000 + from * 100 + fleet->nodes[from].generation;
}

static inline void
fleet_post (fleet_t *fleet,
            size_t from,
            size_t to,
            bool to_gate,
            fq_mesh_event_kind_t kind,
            const fq_frame_t *frame)
{
  fleet_mail_t *messages = &fleet->messages[fleet->message_count++];

  ck_assert_uint_lt (fleet->message_count, FLEET_MAIL_MAX);
  *messages = (fleet_mail_t){
    .due = fleet->now + FLEET_DELAY_US,
    .from = from,
    .to = to,
    .to_gate = to_gate,
    .kind = kind,
    .generation = fleet->nodes[from].generation,
  };
  if (frame == NULL)
    return;
  messages->frame = *frame;
  fq_http_message_ref (messages->frame.message);
  messages->frame.nodes = NULL;
  messages->frame.fingerprints = NULL;
  messages->frame.document = NULL;
  if (frame->node_count > 0)
    {
      messages->frame.nodes = malloc (frame->node_count * sizeof *frame->nodes);
      memcpy (messages->frame.nodes, frame->nodes,
              frame->node_count * sizeof *frame->nodes);
    }
  if (frame->document_size > 0)
    {
      messages->frame.document = malloc (frame->document_size);
      memcpy (messages->frame.document, frame->document, frame->document_size);
    }
  if (frame->fingerprint_count > 0)
    {
      size_t size = frame->fingerprint_count * sizeof *frame->fingerprints;

      messages->frame.fingerprints = malloc (size);
      memcpy (messages->frame.fingerprints, frame->fingerprints, size);
    }
}

static inline void fleet_feed (fleet_t *fleet, size_t node, fq_mesh_event_t *event);

static inline void
fleet_take_reply (fleet_t *fleet, const fq_mesh_effect_t *effect)
{
  fleet_reply_t *reply = &fleet->replies[fleet->reply_count++];

  reply->request = effect->reply.request;
  reply->status = effect->reply.answer != NULL ? effect->reply.answer->status
                                               : effect->reply.status;
  reply->retry_after_ms = effect->reply.retry_after_ms;
  reply->at = fleet->now;
}

static inline void
fleet_take_call (fleet_t *fleet, size_t node, const fq_mesh_effect_t *effect)
{
  fleet_run_t *run = &fleet->runs[fleet->run_count++];

  ck_assert_uint_lt (fleet->run_count, FLEET_RUNS_MAX);
  *run = (fleet_run_t){
    .node = node,
    .run = effect->server_call.run,
    .remaining_ms = effect->server_call.remaining_ms,
    .started = fleet->now,
  };
  strcpy (run->request_id, effect->server_call.request_id);
  strcpy (run->caller, effect->server_call.caller);
  strcpy (run->instance, effect->server_call.instance);
}

static inline void
fleet_abort (fleet_t *fleet, size_t node, fq_id_t id)
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
    fleet_post (fleet, to, from, false, FQ_MESH_EVENT_LINK_DOWN, NULL);
  else
    fleet_post (fleet, to, from, false, FQ_MESH_EVENT_LINK_UP, NULL);
}

static inline void
fleet_apply_effects (fleet_t *fleet, size_t node, const fq_mesh_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_MESH_EFFECT_REPLY:
      fleet_take_reply (fleet, effect);
      break;
    case FQ_MESH_EFFECT_LINK_OPEN:
      fleet_open_link (fleet, node, fleet_node_of (effect->node));
      break;
    case FQ_MESH_EFFECT_LINK_CLOSE:
      fleet_post (fleet, node, fleet_node_of (effect->node), true,
                  FQ_MESH_EVENT_ENTRY_DOWN, NULL);
      break;
    case FQ_MESH_EFFECT_SEND_TO_GATE:
      fleet_post (fleet, node, fleet_node_of (effect->frame.node), true,
                  FQ_MESH_EVENT_ENTRY_FRAME, effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SEND_TO_ENTRY:
      fleet_post (fleet, node, (size_t)(effect->frame.asker - 1000) / 100, false,
                  FQ_MESH_EVENT_GATE_FRAME, effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SERVER_CALL:
      fleet_take_call (fleet, node, effect);
      break;
    case FQ_MESH_EFFECT_SERVER_ABORT:
      fleet_abort (fleet, node, effect->run);
      break;
    case FQ_MESH_EFFECT_STOPPED:
      fleet->nodes[node].stopped = true;
      break;
    case FQ_MESH_EFFECT_SERVER_PROBE:
      fleet->nodes[node].probed = true;
      break;
    case FQ_MESH_EFFECT_SERVER_CLOSE_IDLE:
    case FQ_MESH_EFFECT_REQUEST_LIMITS:
    case FQ_MESH_EFFECT_DISCOVER_NODES:
    case FQ_MESH_EFFECT_REMOVE_NODE:
    case FQ_MESH_EFFECT_LOG:
    case FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE:
      break;
    }
}

/* A server that drains says that it is not well, which the reducer is not told. */
static inline void
fleet_answer_probe (fleet_t *fleet, size_t node)
{
  fleet_node_t *at = &fleet->nodes[node];
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_PROBE_OK, .instance = at->instance };

  if (!at->probed)
    return;
  at->probed = false;
  if (!at->draining && at->instance[0] != '\0')
    fleet_feed (fleet, node, &event);
}

static inline void
fleet_feed (fleet_t *fleet, size_t node, fq_mesh_event_t *event)
{
  fq_mesh_effects_t effects = { 0 };

  if (fleet->nodes[node].down)
    return;
  event->now = fleet->now;
  fq_mesh_reduce (fleet->nodes[node].mesh, event, &effects);
  for (size_t i = 0; i < effects.count; i++)
    fleet_apply_effects (fleet, node, &effects.items[i]);
  fq_mesh_effects_free (&effects);
  fleet_answer_probe (fleet, node);
}

static inline bool
fleet_is_delivered (const fleet_t *fleet, const fleet_mail_t *messages)
{
  const fleet_node_t *from = &fleet->nodes[messages->from];
  const fleet_node_t *to = &fleet->nodes[messages->to];

  if (messages->kind == FQ_MESH_EVENT_LINK_DOWN)
    return !to->down;
  return !to->down && !to->silent && !from->silent
         && from->generation == messages->generation;
}

static inline void
fleet_deliver (fleet_t *fleet, fleet_mail_t *messages)
{
  fq_mesh_event_t event = { .kind = messages->kind };

  if (messages->kind == FQ_MESH_EVENT_LINK_UP && !fleet_is_delivered (fleet, messages))
    messages->kind = event.kind = FQ_MESH_EVENT_LINK_DOWN;
  if (!fleet_is_delivered (fleet, messages))
    {
      fq_frame_clear (&messages->frame);
      return;
    }
  switch (messages->kind)
    {
    case FQ_MESH_EVENT_ENTRY_DOWN:
      event.asker = fleet_asker (fleet, messages->from);
      break;
    case FQ_MESH_EVENT_LINK_UP:
    case FQ_MESH_EVENT_LINK_DOWN:
      event.node = fleet_address (messages->from);
      break;
    default:
      event.frame.frame = &messages->frame;
      event.frame.node = fleet_address (messages->from);
      event.frame.asker = fleet_asker (fleet, messages->from);
      event.frame.asker_address = fleet_address (messages->from);
      break;
    }
  fleet_feed (fleet, messages->to, &event);
  fq_frame_clear (&messages->frame);
}

/* The next thing to happen, or FQ_TIMERS_NEVER. */
static inline fq_time_t
fleet_next (const fleet_t *fleet)
{
  fq_time_t next = FQ_TIMERS_NEVER;

  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      if (!fleet->nodes[i].down && fq_mesh_next_timer (fleet->nodes[i].mesh) < next)
        next = fq_mesh_next_timer (fleet->nodes[i].mesh);
    }
  for (size_t i = 0; i < fleet->message_count; i++)
    {
      if (fleet->messages[i].due < next)
        next = fleet->messages[i].due;
    }
  return next;
}

static inline void
fleet_do_due (fleet_t *fleet)
{
  for (size_t i = 0; i < fleet->message_count;)
    {
      fleet_mail_t messages = fleet->messages[i];

      if (messages.due > fleet->now)
        {
          i++;
          continue;
        }
      memmove (&fleet->messages[i], &fleet->messages[i + 1],
               (--fleet->message_count - i) * sizeof messages);
      fleet_deliver (fleet, &messages);
    }
  for (size_t i = 0; i < FLEET_NODES; i++)
    {
      fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_TIMER };

      if (!fleet->nodes[i].down
          && fq_mesh_next_timer (fleet->nodes[i].mesh) <= fleet->now)
        fleet_feed (fleet, i, &event);
    }
}

/** fleet_advance() - let time pass. */
static inline void
fleet_advance (fleet_t *fleet, uint32_t ms)
{
  fq_time_t until = fleet->now + (fq_time_t)ms * FQ_MICROSECONDS_PER_MS;

  for (;;)
    {
      fq_time_t next = fleet_next (fleet);

      if (next > until)
        break;
      if (next > fleet->now)
        fleet->now = next;
      fleet_do_due (fleet);
    }
  fleet->now = until;
}

/** fleet_report() - the server of @node says that it is well, or drains. */
static inline void
fleet_report (
    fleet_t *fleet, size_t node, const char *instance, uint64_t started, bool draining)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REPORT };

  strcpy (fleet->nodes[node].instance, instance);
  fleet->nodes[node].draining = draining;
  strcpy (event.report.instance, instance);
  strcpy (event.report.service, node == 0 ? "front" : "back");
  event.report.started_ms = started;
  event.report.sequence = ++fleet->nodes[node].sequence;
  event.report.slots = 10;
  event.report.draining = draining;
  fleet_feed (fleet, node, &event);
}

/** fleet_start() - a node comes up, knows all others, and has the configuration. */
static inline void
fleet_start (fleet_t *fleet, size_t node)
{
  fq_mesh_options_t options = FQ_MESH_OPTIONS_INIT;
  fq_node_address_t addresses[FLEET_NODES];
  fq_mesh_event_t nodes = { .kind = FQ_MESH_EVENT_NODES };
  fq_mesh_event_t config = { .kind = FQ_MESH_EVENT_CONFIG, .config = fleet->config };

  options.address = fleet_address (node);
  options.zone = "z";
  options.service = node == 0 ? "front" : "back";
  options.seed = node + 1;
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

/** fleet_kill() - the process of @node ends at once; its connections are seen to end. */
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
      gone.asker = fleet_asker (fleet, node);
      fleet_feed (fleet, i, &down);
      fleet_feed (fleet, i, &gone);
    }
}

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
      strcpy (config->services[i].name, i == 0 ? "front" : "back");
      config->services[i].probe_path = strdup ("/health");
    }
  config->hosts = calloc (1, sizeof *config->hosts);
  config->host_count = 1;
  host = &config->hosts[0];
  strcpy (host->host, "h");
  host->route_count = sizeof prefixes / sizeof prefixes[0];
  host->routes = calloc (host->route_count, sizeof *host->routes);
  for (size_t i = 0; i < host->route_count; i++)
    {
      fq_route_t *route = &host->routes[i];

      strcpy (route->name, prefixes[i] + 1);
      route->prefix = strdup (prefixes[i]);
      route->idempotent = i == 0;
      route->timeout_ms = timeout_ms;
      route->latency_objective_ms = timeout_ms;
      route->servers_max = 2;
      route->targets = calloc (1, sizeof *route->targets);
      route->target_count = 1;
      strcpy (route->targets[0].service, services[i]);
      route->targets[0].weight = 1;
    }
  fq_config_finalize (config);
  return config;
}

/** fleet_setup() - all nodes are up; node 0 has a server of "front", the others "back".
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

/** fleet_send_request() - a client of @node sends a request; its number. */
static inline fq_id_t
fleet_send_request (fleet_t *fleet,
                    size_t node,
                    const char *target,
                    const char *request_id,
                    const char *parent)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_REQUEST };
  fq_http_message_t *message = fq_http_message_new ();

  strcpy (message->method, strncmp (target, "/safe", 5) == 0 ? "GET" : "POST");
  message->target = strdup (target);
  event.request.id = ++fleet->next_request;
  strcpy (event.request.request_id, request_id);
  strcpy (event.request.parent_id, parent);
  strcpy (event.request.host, "h");
  event.request.remaining_ms = 5000;
  event.request.message = message;
  fleet_feed (fleet, node, &event);
  fq_http_message_unref (message);
  return event.request.id;
}

/** fleet_answer() - the server answers @run. */
static inline void
fleet_answer (fleet_t *fleet,
              fleet_run_t *run,
              fq_server_outcome_t verdict,
              uint16_t status)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_ANSWER };

  run->ended = true;
  event.server_answer.run = run->run;
  event.server_answer.verdict = verdict;
  event.server_answer.answer = fq_http_message_new ();
  event.server_answer.answer->status = status;
  fleet_feed (fleet, run->node, &event);
  fq_http_message_unref (event.server_answer.answer);
}

/** fleet_fail() - the server gives no answer to @run. */
static inline void
fleet_fail (fleet_t *fleet, fleet_run_t *run, fq_server_failure_t failure)
{
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_SERVER_FAILED };

  run->ended = true;
  event.server_failed.run = run->run;
  event.server_failed.failure = failure;
  fleet_feed (fleet, run->node, &event);
}

/** fleet_find_reply() - what the client of @request got; NULL: nothing yet. */
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

/** fleet_find_active_run() - the run of a request that has not ended, or NULL. */
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

/** fleet_offer() - the entry at node 0 offers a request to the gate of @node that it may
 * run at once. */
static inline void
fleet_offer (fleet_t *fleet, size_t node, const char *request_id, bool repeat)
{
  static fq_id_t attempt = 1000000;
  fq_mesh_event_t event = { .kind = FQ_MESH_EVENT_ENTRY_FRAME };
  fq_frame_t frame = { .kind = FQ_FRAME_OFFER, .attempt = ++attempt };

  strcpy (frame.offer.service, "back");
  strcpy (frame.offer.request_id, request_id);
  frame.offer.rank = 6;
  frame.offer.route = 1;
  frame.offer.chain = attempt;
  frame.offer.remaining_ms = 1000;
  frame.offer.idempotent = true;
  frame.offer.repeat = repeat;
  frame.offer.fingerprint = attempt;
  frame.message = fq_http_message_new ();
  event.frame.frame = &frame;
  event.frame.asker = fleet_asker (fleet, 0);
  fleet_feed (fleet, node, &event);
  fq_http_message_unref (frame.message);
}

#endif
