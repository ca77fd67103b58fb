#include "net/log.h"

#include <ctype.h>
#include <stdio.h>
#include <time.h>

#include <libwebsockets.h>
#include <log4c.h>

#include "util/text.h"

#define FQ_LOG_LINE_BYTES 512
#define FQ_LOG_TIME_BYTES 32
#define FQ_LOG_NAME "filbertquay" /* of the log4c layout and appender */

static const struct
{
  int priority; /* a log4c priority */
  const char *name;
} levels[] = {
  [FQ_LOG_DEBUG] = { LOG4C_PRIORITY_DEBUG, "debug" },
  [FQ_LOG_INFO] = { LOG4C_PRIORITY_INFO, "info" },
  [FQ_LOG_WARNING] = { LOG4C_PRIORITY_WARN, "warning" },
  [FQ_LOG_ERROR] = { LOG4C_PRIORITY_ERROR, "error" },
};

static const char *
log4c_level_name (int priority)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    {
      if (levels[i].priority == priority)
        return levels[i].name;
    }
  return "info";
}

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[FQ_LOG_LINE_BYTES];
  char when[FQ_LOG_TIME_BYTES];
  struct tm utc;

  (void)layout;
  gmtime_r (&event->evt_timestamp.tv_sec, &utc);
  strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (line, sizeof line, "%s.%03ldZ %s %s: %s\n", when,
            event->evt_timestamp.tv_usec / 1000, log4c_level_name (event->evt_priority),
            event->evt_category, event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = {
  .name = FQ_LOG_NAME,
  .format = format_line,
};

/* Replaces log4c's stream appender, which puts the appender's name before each line. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t appender_type = {
  .name = FQ_LOG_NAME,
  .append = append_line,
};

static void
on_libwebsockets_log (int level, const char *line)
{
  char text[FQ_LOG_TEXT_BYTES];
  size_t length;

  fq_text_copy (text, sizeof text, line);
  length = strlen (text);
  if (length > 0 && text[length - 1] == '\n')
    text[length - 1] = '\0';
  fq_log_write (level == LLL_ERR ? FQ_LOG_ERROR : FQ_LOG_WARNING, "http", text);
}

int
fq_log_open (fq_log_level_t level)
{
  log4c_category_t *root;
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  /* Without log4c_init(), which reads any log4c configuration file that it finds. */
  root = log4c_category_get ("root");
  appender = log4c_appender_get (FQ_LOG_NAME);
  layout = log4c_layout_get (FQ_LOG_NAME);
  if (root == NULL || appender == NULL || layout == NULL)
    return fq_error_set (FQ_ERROR_CLASS_NET, FQ_ERROR_NOMEM, "can't start the log");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (root, appender);
  log4c_category_set_priority (root, levels[level].priority);
  lws_set_log_level (LLL_ERR, on_libwebsockets_log);
  return FQ_OK;
}

void
fq_log_close (void)
{
  lws_set_log_level (LLL_ERR, NULL);
  log4c_fini ();
}

void
fq_log_write (fq_log_level_t level, const char *component, const char *text)
{
  char clean[FQ_LOG_TEXT_BYTES];

  fq_text_copy (clean, sizeof clean, text);
  for (char *at = clean; *at != '\0'; at++)
    {
      if (iscntrl ((unsigned char)*at))
        *at = '?';
    }
  log4c_category_log (log4c_category_get (component), levels[level].priority, "%s",
                      clean);
}
