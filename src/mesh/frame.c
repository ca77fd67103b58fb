#include "mesh/frame.h"

#include <stdlib.h>

static const char *const refusal_names[FQ_GATE_CAUSE_COUNT] = {
  [FQ_GATE_CAUSE_NONE] = "none",
  [FQ_GATE_CAUSE_OVERLOADED] = "no-room",
  [FQ_GATE_CAUSE_NO_SERVER] = "no-server",
  [FQ_GATE_CAUSE_REFUSED_BY_SERVER] = "server-refused",
  [FQ_GATE_CAUSE_RETRY_BUDGET] = "retry-budget",
  [FQ_GATE_CAUSE_EXPIRED] = "expired",
  [FQ_GATE_CAUSE_CONNECT_FAILED] = "connect",
  [FQ_GATE_CAUSE_CONNECTION_LOST] = "connection-lost",
  [FQ_GATE_CAUSE_INVALID_ANSWER] = "broken-answer",
  [FQ_GATE_CAUSE_CRASHES_SERVERS] = "crashes-servers",
  [FQ_GATE_CAUSE_RATE_LIMITED] = "rate-limit",
  [FQ_GATE_CAUSE_ISOLATED] = "isolated",
  [FQ_GATE_CAUSE_NO_MEMORY] = "no-memory",
};

static const char *const phase_names[] = {
  [FQ_PHASE_ABSENT] = "absent",
  [FQ_PHASE_READY] = "ready",
  [FQ_PHASE_DRAINING] = "draining",
};

void
fq_server_set (fq_server_t *server, const fq_server_t *from)
{
  fq_text_set (&server->service, from->service);
  fq_text_set (&server->instance, from->instance);
  server->started_ms = from->started_ms;
  server->phase = from->phase;
}

void
fq_server_clear (fq_server_t *server)
{
  fq_text_unref (server->service);
  fq_text_unref (server->instance);
  *server = (fq_server_t){ 0 };
}

void
fq_offer_ref (fq_offer_t *offer)
{
  fq_text_ref (offer->service);
  fq_text_ref (offer->request_id);
  fq_text_ref (offer->caller);
}

void
fq_offer_clear (fq_offer_t *offer)
{
  fq_text_unref (offer->service);
  fq_text_unref (offer->request_id);
  fq_text_unref (offer->caller);
  *offer = (fq_offer_t){ 0 };
}

void
fq_frame_clear (fq_frame_t *frame)
{
  fq_server_clear (&frame->server);
  fq_text_unref (frame->recall.instance);
  fq_offer_clear (&frame->offer);
  fq_text_unref (frame->zone);
  fq_http_message_unref (frame->message);
  free (frame->nodes);
  free (frame->fingerprints);
  free (frame->document);
  *frame = (fq_frame_t){ 0 };
}

const char *
fq_gate_cause_name (fq_gate_cause_t refusal)
{
  return refusal < FQ_GATE_CAUSE_COUNT ? refusal_names[refusal] : "unknown";
}

const char *
fq_phase_name (fq_phase_t phase)
{
  return phase <= FQ_PHASE_DRAINING ? phase_names[phase] : "unknown";
}
