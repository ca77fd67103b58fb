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
fq_frame_clear (fq_frame_t *frame)
{
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
