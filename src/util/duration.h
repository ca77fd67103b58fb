/**
 * DOC: Times as text, a number with its unit: "1500ms" or "2.5s".
 */
#ifndef FQ_UTIL_DURATION_H
#define FQ_UTIL_DURATION_H

#include <stdint.h>

/** fq_duration_parse() - whole milliseconds; FQ_ERROR_INVALID for anything else. */
int fq_duration_parse (uint32_t *out_ms, const char *text);

#endif
