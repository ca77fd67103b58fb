/**
 * DOC: Lines of the logs of nodes, read from files.
 *
 * A line is "TIME LEVEL NODE key=value ..."; something may stand before the time, as
 * where the logs of many machines were gathered.
 */
#ifndef FQ_CLI_EVENT_LINES_H
#define FQ_CLI_EVENT_LINES_H

#include <stdbool.h>
#include <stddef.h>

#include "filbertquay/types.h"

#define FQ_EVENT_TIME_BYTES 32

/** struct fq_event_line_t - one line of a node's log. */
typedef struct
{
  char time[FQ_EVENT_TIME_BYTES]; /* UTC; sorts as text */
  char node[FQ_NAME_BYTES];
  bool warning;
  char *fields; /* "key=value ...", the first is the event */
  size_t order; /* in which it was read */
} fq_event_line_t;

/** struct fq_event_lines_t - zero-initialise before use. */
typedef struct
{
  fq_event_line_t *lines;
  size_t count;
  size_t capacity;
  size_t foreign; /* lines that no node wrote, or that are cut */
} fq_event_lines_t;

/** fq_event_lines_read() - add the lines of @path; FQ_ERROR_IO or FQ_ERROR_INVALID. */
int fq_event_lines_read (fq_event_lines_t *lines, const char *path);

/** fq_event_lines_sort() - by time. */
void fq_event_lines_sort (fq_event_lines_t *lines);

/** fq_event_lines_clear() - free them. */
void fq_event_lines_clear (fq_event_lines_t *lines);

/** fq_event_line_get() - the value of @key; whether there is one that fits. */
bool
fq_event_line_get (const fq_event_line_t *line, const char *key, char *out, size_t size);

/** fq_event_line_is() - whether it tells of @event. */
bool fq_event_line_is (const fq_event_line_t *line, const char *event);

/** fq_event_line_number() - the value of @key as a number; 0 when there is none. */
long fq_event_line_number (const fq_event_line_t *line, const char *key);

#endif
