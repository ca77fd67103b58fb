/**
 * DOC: The commands of filbertquay, and what they share.
 */
#ifndef FQ_CLI_H
#define FQ_CLI_H

#include <argp.h>
#include <stdbool.h>

#include "net/http_client.h"

/** enum fq_exit_t - exit statuses of every command. */
typedef enum
{
  FQ_EXIT_OK = 0,
  FQ_EXIT_REFUSED = 1,     /* refused, or a check failed */
  FQ_EXIT_USAGE = 2,       /* wrong arguments */
  FQ_EXIT_UNREACHABLE = 3, /* the node can't be reached, or gave no whole answer */
} fq_exit_t;

#define FQ_CLI_EXIT_DOC                                                                  \
  "Exit status: 0 done, 1 refused or failed, 2 wrong usage, 3 the node can't be "        \
  "reached."

/** struct fq_cli_node_t - the node that a command asks, and the key to show it. */
typedef struct
{
  char address[FQ_ADDRESS_BYTES];
  char authorization[FQ_SERVICE_BYTES]; /* "Bearer KEY"; empty: none */
  bool json;
} fq_cli_node_t;

/** struct fq_cli_command_t - one command, by its first word. */
typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv); /* argv[0] is the command's whole name */
} fq_cli_command_t;

/* One function for each command; all return an fq_exit_t. */
int fq_cli_ticket (int argc, char **argv);
int fq_cli_status (int argc, char **argv);
int fq_cli_events (int argc, char **argv);
int fq_cli_report_burn (int argc, char **argv);
int fq_cli_check_settings (int argc, char **argv);
int fq_cli_load (int argc, char **argv);
int fq_cli_explain (int argc, char **argv);
int fq_cli_report_day (int argc, char **argv);

/**
 * fq_cli_read_key() - "Bearer KEY" from the first line of the file @path, or from the
 * environment variable FILBERTQUAY_KEY when @path is NULL.
 *
 * Return: 0, or FQ_ERROR_IO or FQ_ERROR_INVALID.
 */
int fq_cli_read_key (char *out, size_t size, const char *path);

/** fq_cli_new_context() - a libwebsockets context without listeners; NULL on failure. */
struct lws_context *fq_cli_new_context (void);

/** fq_cli_now_us() - the monotonic clock, in microseconds. */
fq_time_t fq_cli_now_us (void);

#endif
