/**
 * DOC: The log of a node, by log4c: one line "TIME LEVEL key=value ..." for each event,
 * on standard output.
 *
 * Writing never blocks. Lines are bounded for each second, and what standard output does
 * not take is bounded too; warnings may use more of both than others. What was dropped is
 * counted and told in a line of its own.
 */
#ifndef FQ_NODE_EVENT_LOG_H
#define FQ_NODE_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

/** fq_event_log_open() - begin; @warnings_only leaves out all others. */
int fq_event_log_open (struct ev_loop *loop, const char *node, bool warnings_only);

/** fq_event_log_write() - one line; control characters in @text become '?'. */
void fq_event_log_write (bool warning, const char *text);

/** fq_event_log_printf() - one line of formatted text. */
void fq_event_log_printf (bool warning, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** fq_event_log_dropped() - lines that were dropped since the start. */
uint64_t fq_event_log_dropped (void);

/** fq_event_log_close() - write what can be written, and end. */
void fq_event_log_close (void);

#endif
