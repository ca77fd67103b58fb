#include "util/duration.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"

#define FQ_MS_PER_SECOND 1000.0

int
fq_duration_parse (uint32_t *out_ms, const char *text)
{
  char *unit;
  double ms = strtod (text, &unit);

  if (unit != text && strcmp (unit, "s") == 0)
    ms *= FQ_MS_PER_SECOND;
  else if (unit == text || strcmp (unit, "ms") != 0)
    ms = -1;
  if (!isfinite (ms) || ms < 0 || ms > UINT32_MAX)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID,
                         "'%.40s' is not a duration such as \"1500ms\" or \"2.5s\"",
                         text);
  *out_ms = (uint32_t)ms;
  return FQ_OK;
}
