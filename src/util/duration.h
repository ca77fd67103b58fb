/**
 * DOC: Durations as text: a number with its unit, such as "1500ms" or "2.5s".
 */
#ifndef FQ_UTIL_DURATION_H
#define FQ_UTIL_DURATION_H

#include <stdint.h>

/** FQ_DURATION_MAX_MS - the longest duration; each up to it is told exactly. */
#define FQ_DURATION_MAX_MS ((uint64_t)1 << 53)

/**
 * fq_duration_parse() - parse a duration in "ms" or "s".
 * @out_ms: milliseconds; unchanged on failure. Fractions are cut off, but a duration
 * above 0 is 1 at least; a longer one than FQ_DURATION_MAX_MS counts as that
 *
 * Return: 0; FQ_ERROR_INVALID for any other text, or a negative number.
 */
int fq_duration_parse (uint64_t *out_ms, const char *text);

#endif
