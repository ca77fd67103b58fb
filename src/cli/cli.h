/**
 * DOC: The commands of filbertquay, and their common functions.
 */
#ifndef FQ_CLI_H
#define FQ_CLI_H

#include <argp.h>
#include <stdbool.h>

#include "net/http_client.h"

/** enum fq_exit_t - exit statuses of all commands. */
typedef enum
{
  FQ_EXIT_OK = 0,
  /* The node refused, a check failed, or a file can't be read or written. */
  FQ_EXIT_FAILED = 1,
  /* Wrong arguments. Commands that query a node also return it for a key or ticket file
   * that can't be read. */
  FQ_EXIT_USAGE = 2,
  FQ_EXIT_UNREACHABLE = 3, /* no connection to the node, or no complete answer */
} fq_exit_t;

#define FQ_CLI_EXIT_DOC                                                                  \
  "Exit status: 0 success, 1 refused or failed, 2 wrong usage, 3 the node can't be "     \
  "reached."

/** struct fq_cli_node_t - the node that a command queries, and how. */
typedef struct
{
  char address[FQ_ADDRESS_BYTES];       /* "ip:port" of its operator listener */
  char authorization[FQ_SERVICE_BYTES]; /* "Bearer KEY"; empty: none */
  bool json;                            /* print the answer unchanged, not as a table */
} fq_cli_node_t;

/** struct fq_cli_command_t - a command, selected by the first argument. */
typedef struct
{
  const char *name;
  int (*run) (int argc,
              char **argv); /* argv[0]: "filbertquay NAME", for usage messages */
} fq_cli_command_t;

/* The commands; all return an fq_exit_t. */
int fq_cli_ticket (int argc, char **argv);
int fq_cli_status (int argc, char **argv);
int fq_cli_events (int argc, char **argv);
int fq_cli_report_burn (int argc, char **argv);
int fq_cli_check_settings (int argc, char **argv);
int fq_cli_load (int argc, char **argv);
int fq_cli_explain (int argc, char **argv);
int fq_cli_report_day (int argc, char **argv);

/**
 * fq_cli_read_key() - write "Bearer KEY" to @out, of @size bytes.
 *
 * KEY is the first line of the file @path or, when @path is NULL, the value of the
 * environment variable FILBERTQUAY_KEY; without that, @out is empty.
 *
 * Return: 0; FQ_ERROR_IO when the file can't be opened; FQ_ERROR_INVALID when its first
 * line is empty, or the key is too long.
 */
int fq_cli_read_key (char *out, size_t size, const char *path);

/**
 * fq_cli_new_context() - create a libwebsockets context without listeners.
 *
 * Also ignores SIGPIPE and turns off the log of libwebsockets.
 *
 * Return: the context, which the caller destroys with lws_context_destroy(); NULL on
 * failure.
 */
struct lws_context *fq_cli_new_context (void);

/** fq_cli_now_us() - the monotonic clock, in microseconds. */
fq_time_t fq_cli_now_us (void);

#endif
