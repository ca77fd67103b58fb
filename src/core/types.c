#include "filbertquay/types.h"

#include <string.h>

#include "filbertquay/errors.h"

static const char *const class_names[FQ_CLASS_COUNT] = {
  [FQ_CLASS_CRITICAL] = "critical",
  [FQ_CLASS_NORMAL] = "normal",
  [FQ_CLASS_LOOKUP] = "lookup",
};

static const char *const cause_names[FQ_CAUSE_COUNT] = {
  [FQ_CAUSE_NONE] = "none",
  [FQ_CAUSE_BAD_REQUEST] = "bad-request",
  [FQ_CAUSE_DENIED] = "denied",
  [FQ_CAUSE_NO_SERVICE] = "no-service",
  [FQ_CAUSE_NO_UPSTREAM] = "no-upstream",
  [FQ_CAUSE_OVERLOAD] = "overload",
  [FQ_CAUSE_DEADLINE] = "deadline",
  [FQ_CAUSE_DRAINING] = "draining",
  [FQ_CAUSE_STORE_UNAVAILABLE] = "store",
  [FQ_CAUSE_IN_PROGRESS] = "in-progress",
  [FQ_CAUSE_KEY_REUSED] = "key-reused",
  [FQ_CAUSE_POISON] = "poison",
  [FQ_CAUSE_CONNECT_FAILED] = "connect",
  [FQ_CAUSE_CONNECTION_LOST] = "connection-lost",
  [FQ_CAUSE_CALLER_GONE] = "caller-gone",
  [FQ_CAUSE_RETRIES_SPENT] = "retries-spent",
  [FQ_CAUSE_NOT_READY] = "not-ready",
};

const char *
fq_class_name (fq_class_t request_class)
{
  return request_class < FQ_CLASS_COUNT ? class_names[request_class] : "unknown";
}

int
fq_class_parse (fq_class_t *out, const char *name)
{
  for (int i = 0; i < FQ_CLASS_COUNT; i++)
    {
      if (strcmp (class_names[i], name) == 0)
        {
          *out = (fq_class_t)i;
          return FQ_OK;
        }
    }
  return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID, "no class is called '%s'",
                       name);
}

const char *
fq_outcome_name (fq_outcome_t outcome)
{
  switch (outcome)
    {
    case FQ_OUTCOME_ANSWERED:
      return "whole";
    case FQ_OUTCOME_NOT_RUN:
      return "not-run";
    case FQ_OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

const char *
fq_cause_name (fq_cause_t cause)
{
  return cause < FQ_CAUSE_COUNT ? cause_names[cause] : "unknown";
}
