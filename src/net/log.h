/**
 * DOC: The log of a node, on standard error through log4c.
 *
 * A line is "TIME LEVEL COMPONENT: SENTENCE"; TIME is in UTC, COMPONENT a fixed word for
 * each component of the program. Callers must not pass keys, tokens or bodies.
 */
#ifndef FQ_NET_LOG_H
#define FQ_NET_LOG_H

#include "filbertquay/effect.h"

/**
 * fq_log_open() - start logging; lines less severe than @level are dropped.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int fq_log_open (fq_log_level_t level);

/** fq_log_close() - stop logging; may be called without fq_log_open(). */
void fq_log_close (void);

/**
 * fq_log_write() - write one line; control characters in @text become '?'.
 * @text: truncated to FQ_LOG_TEXT_BYTES - 1 bytes
 */
void fq_log_write (fq_log_level_t level, const char *component, const char *text);

#endif
