/**
 * DOC: Durations as text: a number with its unit, such as "1500ms" or "2.5s".
 */
#ifndef FQ_UTIL_DURATION_H
#define FQ_UTIL_DURATION_H

#include <stdint.h>

/**
 * fq_duration_parse() - parse a duration in "ms" or "s".
 * @out_ms: milliseconds, fractions cut off; unchanged on failure
 *
 * Return: 0; FQ_ERROR_INVALID for any other text, a negative number, or a duration of
 * more than UINT32_MAX milliseconds.
 */
int fq_duration_parse (uint32_t *out_ms, const char *text);

#endif
