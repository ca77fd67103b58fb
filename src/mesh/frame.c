#include "mesh/frame.h"

#include <stdlib.h>

static const char *const refusal_names[FQ_REFUSAL_COUNT] = {
  [FQ_REFUSAL_NONE] = "none",
  [FQ_REFUSAL_OVERLOADED] = "no-room",
  [FQ_REFUSAL_NO_SERVER] = "no-server",
  [FQ_REFUSAL_BY_SERVER] = "server-refused",
  [FQ_REFUSAL_RETRY_BUDGET] = "retry-budget",
  [FQ_REFUSAL_EXPIRED] = "expired",
  [FQ_REFUSAL_CONNECT_FAILED] = "connect",
  [FQ_REFUSAL_CONNECTION_LOST] = "connection-lost",
  [FQ_REFUSAL_INVALID_ANSWER] = "broken-answer",
  [FQ_REFUSAL_CRASHES_SERVERS] = "crashes-servers",
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
fq_refusal_name (fq_refusal_t refusal)
{
  return refusal < FQ_REFUSAL_COUNT ? refusal_names[refusal] : "unknown";
}

const char *
fq_phase_name (fq_phase_t phase)
{
  return phase <= FQ_PHASE_DRAINING ? phase_names[phase] : "unknown";
}
