#include "util/duration.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "filbertquay/errors.h"

#define FQ_MS_PER_SECOND 1000.0

int
fq_duration_parse (uint64_t *out_ms, const char *text)
{
  char *unit = (char *)text;
  double ms = 0;

  if (isdigit ((unsigned char)text[0]) || text[0] == '.')
    ms = strtod (text, &unit);
  if (unit != text && strcmp (unit, "s") == 0)
    ms *= FQ_MS_PER_SECOND;
  else if (unit == text || strcmp (unit, "ms") != 0)
    return fq_error_set (FQ_ERROR_CLASS_SETTINGS, FQ_ERROR_INVALID,
                         "'%.40s' is not a duration such as \"1500ms\" or \"2.5s\"",
                         text);
  if (ms > 0 && ms < 1)
    ms = 1;
  *out_ms = ms < (double)FQ_DURATION_MAX_MS ? (uint64_t)ms : FQ_DURATION_MAX_MS;
  return FQ_OK;
}
