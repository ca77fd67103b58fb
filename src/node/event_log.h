/**
 * DOC: The event log of a node: a line "TIME LEVEL NODE key=value ..." for each event, on
 * standard output, through log4c. There is one log in a process.
 *
 * Writing never blocks. The number of lines per second and the bytes that standard output
 * has not accepted yet are limited; both limits are higher for warnings. Lines beyond
 * them are dropped and counted, and a line event=log-dropped gives their number.
 */
#ifndef FQ_NODE_EVENT_LOG_H
#define FQ_NODE_EVENT_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

/**
 * fq_event_log_open() - start logging; the loop writes pending lines.
 * @node: name of the node, in each line; copied
 * @warnings_only: leave out lines of level info
 *
 * Return: 0, or FQ_ERROR_NOMEM.
 */
int fq_event_log_open (struct ev_loop *loop, const char *node, bool warnings_only);

/** fq_event_log_write() - log a line; replaces control characters in @text by '?' and
 * truncates it to 599 bytes; does nothing while the log is not open. */
void fq_event_log_write (bool warning, const char *text);

/** fq_event_log_printf() - log a line of formatted text, as fq_event_log_write(). */
void fq_event_log_printf (bool warning, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** fq_event_log_dropped() - the number of lines dropped since the process started. */
uint64_t fq_event_log_dropped (void);

/** fq_event_log_close() - write pending lines as far as possible, and stop logging. */
void fq_event_log_close (void);

#endif
