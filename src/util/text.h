/**
 * DOC: Strings: copies into buffers of fixed size, and shared strings of any length.
 */
#ifndef FQ_UTIL_TEXT_H
#define FQ_UTIL_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** FQ_TEXT_LABEL_MAX - the most bytes that a label has, see fq_text_label(). */
#define FQ_TEXT_LABEL_MAX 200

/** typedef fq_text_t - an immutable string that is shared by counting references. NULL is
 * the empty string, so that a zero-initialised member is empty. It counts in the account
 * of filbertquay/memory.h. */
typedef struct fq_text fq_text_t;

/**
 * fq_text_new() - create a string with one reference, which the caller has to release.
 * @chars: copied; NULL counts as empty
 *
 * Aborts when out of memory.
 *
 * Return: the string; NULL if it is empty.
 */
fq_text_t *fq_text_new (const char *chars);

/** fq_text_new_sized() - as fq_text_new(), from the first @size bytes of @chars. */
fq_text_t *fq_text_new_sized (const char *chars, size_t size);

/** fq_text_ref() - add a reference; returns @text. */
fq_text_t *fq_text_ref (fq_text_t *text);

/** fq_text_unref() - drop a reference; the last one frees the string. */
void fq_text_unref (fq_text_t *text);

/** fq_text_set() - let @member refer to @text, with a reference of its own. */
void fq_text_set (fq_text_t **member, fq_text_t *text);

/** fq_text_clear() - drop the reference of @member, which is empty then. */
void fq_text_clear (fq_text_t **member);

/** fq_text_chars() - the characters, NUL-terminated; valid as long as the string. */
const char *fq_text_chars (const fq_text_t *text);

/** fq_text_size() - the length in bytes, without the NUL. */
size_t fq_text_size (const fq_text_t *text);

/** fq_text_equal() - whether two strings have the same characters. */
bool fq_text_equal (const fq_text_t *left, const fq_text_t *right);

/**
 * fq_text_label() - the string as a value in a line of the log.
 *
 * Blanks and control characters are replaced by '?', and at most FQ_TEXT_LABEL_MAX bytes
 * are kept, so that the line stays readable and bounded.
 *
 * Return: NUL-terminated characters, valid as long as the string.
 */
const char *fq_text_label (const fq_text_t *text);

/**
 * fq_text_copy() - copy a string, truncated if need be and always NUL-terminated.
 * @size: size in bytes of the buffer @to, at least 1
 * @from: NULL counts as empty
 *
 * Return: true if all of @from was copied, false if it was truncated.
 */
bool fq_text_copy (char *to, size_t size, const char *from);

#endif
