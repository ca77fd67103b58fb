#include "node/event_log.h"

#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "filbertquay/errors.h"
#include "filbertquay/types.h"
#include "io/buffer.h"
#include "util/text.h"

#define FQ_LOG_NAME "filbertquay-node" /* of the log4c layout, appender and category */
#define FQ_LOG_TEXT_BYTES 1100
#define FQ_LOG_LINE_BYTES 1400
#define FQ_LOG_TIME_BYTES 32
#define FQ_LOG_PENDING_BYTES_MAX (128 * 1024) /* not yet accepted by standard output */
#define FQ_LOG_LINES_PER_SECOND 2000
#define FQ_LOG_WARNING_FACTOR 2 /* multiplies both limits for warnings */
#define FQ_LOG_RETRY_SECONDS 0.2

static struct
{
  struct ev_loop *loop;
  char node[FQ_TEXT_LABEL_MAX + 1];
  ev_prepare flush;
  ev_timer retry;
  log4c_category_t *category;
  fq_buffer_t pending;
  double second; /* in which @lines are counted */
  uint32_t lines;
  uint64_t dropped;        /* lines, since the process started */
  uint64_t dropped_logged; /* value of @dropped in the last log-dropped line */
} event_log;

/* Caches the formatted time, as many lines fall into the same second. */
static const char *
format_second (time_t second)
{
  static char text[FQ_LOG_TIME_BYTES];
  static time_t last = -1;
  struct tm utc;

  if (second == last)
    return text;
  last = second;
  gmtime_r (&second, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  return text;
}

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[FQ_LOG_LINE_BYTES];

  (void)layout;
  snprintf (line, sizeof line, "%s.%03ldZ %s %s %s\n",
            format_second (event->evt_timestamp.tv_sec),
            event->evt_timestamp.tv_usec / 1000,
            event->evt_priority == LOG4C_PRIORITY_WARN ? "warning" : "info",
            event_log.node, event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = {
  .name = FQ_LOG_NAME,
  .format = format_line,
};

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  fq_buffer_add_text (&event_log.pending, event->evt_rendered_msg);
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = FQ_LOG_NAME,
  .append = append_line,
};

static void
write_pending (void)
{
  while (fq_buffer_size (&event_log.pending) > 0)
    {
      ssize_t written = write (STDOUT_FILENO, fq_buffer_bytes (&event_log.pending),
                               fq_buffer_size (&event_log.pending));

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        {
          ev_timer_again (event_log.loop, &event_log.retry);
          return;
        }
      fq_buffer_consume (&event_log.pending, (size_t)written);
    }
  ev_timer_stop (event_log.loop, &event_log.retry);
}

static void
log_dropped (void)
{
  char text[FQ_LOG_TEXT_BYTES];

  if (event_log.dropped == event_log.dropped_logged)
    return;
  snprintf (text, sizeof text, "event=log-dropped lines=%llu",
            (unsigned long long)(event_log.dropped - event_log.dropped_logged));
  event_log.dropped_logged = event_log.dropped;
  log4c_category_log (event_log.category, LOG4C_PRIORITY_WARN, "%s", text);
}

static void
on_flush (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)loop;
  (void)prepare;
  (void)events;
  if (!ev_is_active (&event_log.retry))
    write_pending ();
}

static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
  write_pending ();
}

int
fq_event_log_open (struct ev_loop *loop, const char *node, bool warnings_only)
{
  log4c_appender_t *appender;
  log4c_layout_t *layout;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  /* log4c_init() is not called, as it reads any configuration file that it finds. */
  event_log.category = log4c_category_get (FQ_LOG_NAME);
  appender = log4c_appender_get (FQ_LOG_NAME);
  layout = log4c_layout_get (FQ_LOG_NAME);
  if (event_log.category == NULL || appender == NULL || layout == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM,
                         "can't initialise log4c for the event log");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (event_log.category, appender);
  log4c_category_set_additivity (event_log.category, 0);
  log4c_category_set_priority (event_log.category,
                               warnings_only ? LOG4C_PRIORITY_WARN : LOG4C_PRIORITY_INFO);
  /* Failure is ignored: standard output that can't be made non-blocking, such as a file,
   * does not block on writes. */
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  event_log.loop = loop;
  fq_text_copy (event_log.node, sizeof event_log.node, node);
  ev_prepare_init (&event_log.flush, on_flush);
  ev_prepare_start (loop, &event_log.flush);
  ev_timer_init (&event_log.retry, on_retry, 0., FQ_LOG_RETRY_SECONDS);
  return FQ_OK;
}

static bool
is_within_limits (bool warning)
{
  unsigned int factor = warning ? FQ_LOG_WARNING_FACTOR : 1;
  double second = (double)(int64_t)ev_now (event_log.loop);

  if (second != event_log.second)
    {
      event_log.second = second;
      event_log.lines = 0;
      log_dropped ();
    }
  if (event_log.lines >= FQ_LOG_LINES_PER_SECOND * factor
      || fq_buffer_size (&event_log.pending) >= FQ_LOG_PENDING_BYTES_MAX * factor)
    return false;
  event_log.lines++;
  return true;
}

void
fq_event_log_write (bool warning, const char *text)
{
  char sanitised[FQ_LOG_TEXT_BYTES];
  size_t length = 0;

  if (event_log.category == NULL)
    return;
  if (!is_within_limits (warning))
    {
      event_log.dropped++;
      return;
    }
  for (; text[length] != '\0' && length < sizeof sanitised - 1; length++)
    sanitised[length] = iscntrl ((unsigned char)text[length]) ? '?' : text[length];
  sanitised[length] = '\0';
  log4c_category_log (event_log.category,
                      warning ? LOG4C_PRIORITY_WARN : LOG4C_PRIORITY_INFO, "%s",
                      sanitised);
}

void
fq_event_log_printf (bool warning, const char *format, ...)
{
  char text[FQ_LOG_TEXT_BYTES];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  fq_event_log_write (warning, text);
}

uint64_t
fq_event_log_dropped (void)
{
  return event_log.dropped;
}

void
fq_event_log_close (void)
{
  if (event_log.category == NULL)
    return;
  write_pending ();
  ev_prepare_stop (event_log.loop, &event_log.flush);
  ev_timer_stop (event_log.loop, &event_log.retry);
  fq_buffer_clear (&event_log.pending);
  event_log.category = NULL;
  log4c_fini ();
}
