#include "core/refusal.h"

#include <stdio.h>

#include "util/text.h"

#define FQ_PROBLEM_BYTES 256

static uint16_t
status_of (fq_cause_t cause, fq_outcome_t outcome)
{
  switch (cause)
    {
    case FQ_CAUSE_BAD_REQUEST:
      return 400;
    case FQ_CAUSE_DENIED:
    case FQ_CAUSE_NO_SERVICE:
      return 404;
    case FQ_CAUSE_KEY_REUSED:
    case FQ_CAUSE_POISON:
      return 422;
    case FQ_CAUSE_IN_PROGRESS:
      return 409;
    case FQ_CAUSE_CONNECTION_LOST:
      return 502;
    case FQ_CAUSE_DEADLINE:
      return outcome == FQ_OUTCOME_NOT_RUN ? 503 : 504;
    default:
      return outcome == FQ_OUTCOME_NOT_RUN ? 503 : 502;
    }
}

void
fq_answer_refuse (fq_answer_t *out,
                  fq_cause_t cause,
                  fq_outcome_t outcome,
                  uint32_t retry_after_ms)
{
  *out = (fq_answer_t){
    .outcome = outcome,
    .cause = cause,
    .status = status_of (cause, outcome),
    .retry_after_ms = retry_after_ms,
    .load = { .shed_class = FQ_CLASS_COUNT },
  };
}

void
fq_answer_write_problem (fq_answer_t *answer)
{
  char text[FQ_PROBLEM_BYTES];
  int length = snprintf (text, sizeof text,
                         "{\"type\":\"about:blank\",\"status\":%u,\"title\":\"%s\","
                         "\"outcome\":\"%s\",\"retry_after_ms\":%u}\n",
                         answer->status, fq_cause_name (answer->cause),
                         fq_outcome_name (answer->outcome), answer->retry_after_ms);

  if (fq_blob_new (&answer->body, text, (size_t)length) < 0)
    return;
  fq_text_copy (answer->content_type, sizeof answer->content_type,
                "application/problem+json");
}

bool
fq_cause_is_closed (fq_cause_t cause)
{
  return cause == FQ_CAUSE_DRAINING || cause == FQ_CAUSE_NO_UPSTREAM
         || cause == FQ_CAUSE_NOT_READY;
}

bool
fq_cause_is_retryable (fq_cause_t cause)
{
  switch (cause)
    {
    case FQ_CAUSE_NO_UPSTREAM:
    case FQ_CAUSE_OVERLOAD:
    case FQ_CAUSE_DRAINING:
    case FQ_CAUSE_CONNECT_FAILED:
    case FQ_CAUSE_CONNECTION_LOST:
    case FQ_CAUSE_NOT_READY:
      return true;
    default:
      return false;
    }
}
