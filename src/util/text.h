/**
 * DOC: Copies of strings into buffers of fixed size.
 */
#ifndef FQ_UTIL_TEXT_H
#define FQ_UTIL_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/**
 * fq_text_copy() - copy a string, truncated if need be and always NUL-terminated.
 * @size: size in bytes of the buffer @to, at least 1
 * @from: NULL counts as empty
 *
 * Return: true if all of @from was copied, false if it was truncated.
 */
bool fq_text_copy (char *to, size_t size, const char *from);

#endif
