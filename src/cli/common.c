#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli/cli.h"

#define FQ_CLI_KEY_ENVIRONMENT "FILBERTQUAY_KEY"

static int
format_authorization (char *out, size_t size, const char *key)
{
  int length = snprintf (out, size, "Bearer %s", key);

  if ((size_t)length >= size)
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_INVALID, "the key is too long");
  return FQ_OK;
}

int
fq_cli_read_key (char *out, size_t size, const char *path)
{
  const char *environment_key = getenv (FQ_CLI_KEY_ENVIRONMENT);
  char line[FQ_SERVICE_BYTES * 2] = "";
  FILE *file;

  out[0] = '\0';
  if (path == NULL)
    return environment_key == NULL ? FQ_OK
                                   : format_authorization (out, size, environment_key);
  file = fopen (path, "r");
  if (file == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_IO, "can't read %s", path);
  if (fgets (line, sizeof line, file) == NULL)
    line[0] = '\0';
  fclose (file);
  line[strcspn (line, "\r\n")] = '\0';
  if (line[0] == '\0')
    return fq_error_set (FQ_ERROR_CLASS_CLI, FQ_ERROR_INVALID,
                         "%s: the first line is empty, not a key", path);
  return format_authorization (out, size, line);
}

struct lws_context *
fq_cli_new_context (void)
{
  struct lws_context_creation_info info = { 0 };

  lws_set_log_level (0, NULL);
  signal (SIGPIPE, SIG_IGN);
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.pt_serv_buf_size = 65536;
  return lws_create_context (&info);
}

fq_time_t
fq_cli_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (fq_time_t)now.tv_sec * FQ_MICROSECONDS_PER_SECOND + now.tv_nsec / 1000;
}
