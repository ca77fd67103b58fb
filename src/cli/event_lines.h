/**
 * DOC: Parser of the log files of filbertquay-node.
 *
 * A line is "TIME LEVEL NODE key=value ...". Text before the time, as log collectors
 * add it, is ignored.
 */
#ifndef FQ_CLI_EVENT_LINES_H
#define FQ_CLI_EVENT_LINES_H

#include <stdbool.h>
#include <stddef.h>

#include "util/text.h"

#define FQ_EVENT_TIME_BYTES 32
#define FQ_EVENT_VALUE_BYTES (FQ_TEXT_LABEL_MAX + 1) /* of any value, with its NUL */

/** struct fq_event_line_t - one line of a node's log. */
typedef struct
{
  char time[FQ_EVENT_TIME_BYTES]; /* UTC; sorts as text */
  char *node;                     /* owned */
  char *fields;                   /* "event=NAME key=value ..."; owned */
  bool warning;
  size_t order; /* index in reading order, for lines of the same time */
} fq_event_line_t;

/** struct fq_event_lines_t - lines of any number of logs; zero-initialise before use. */
typedef struct
{
  fq_event_line_t *lines;
  size_t count;
  size_t capacity;
  size_t skipped; /* lines that are not of a node's log, or are incomplete */
} fq_event_lines_t;

/**
 * fq_event_lines_read() - add the lines of the file @path.
 *
 * Return: 0; FQ_ERROR_IO when the file can't be opened; FQ_ERROR_INVALID when it has no
 * line of a node's log.
 */
int fq_event_lines_read (fq_event_lines_t *lines, const char *path);

/** fq_event_lines_sort() - sort by time, then in reading order. */
void fq_event_lines_sort (fq_event_lines_t *lines);

/** fq_event_lines_clear() - free all lines; @lines can be used again. */
void fq_event_lines_clear (fq_event_lines_t *lines);

/**
 * fq_event_line_get() - copy the value of @key to @out, of @size bytes.
 *
 * Return: whether the line has @key and its value fits; otherwise @out is empty.
 */
bool
fq_event_line_get (const fq_event_line_t *line, const char *key, char *out, size_t size);

/** fq_event_line_is() - whether the event of @line has the name @event. */
bool fq_event_line_is (const fq_event_line_t *line, const char *event);

/** fq_event_line_get_number() - the value of @key as a number; 0 when there is none. */
long fq_event_line_get_number (const fq_event_line_t *line, const char *key);

#endif
