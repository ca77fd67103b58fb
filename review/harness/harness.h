/**
 * DOC: Stand-ins of the platform for the cases of the review: the metadata store,
 * application servers, clients, and the start and end of filbertquay-node processes.
 *
 * Each machine has a loopback address of its own and the same ports, as on the platform.
 * All stand-ins are threads of the case's process; nodes are child processes. Times are
 * milliseconds of the monotonic clock since rv_open().
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RV_MACHINES_MAX 12
#define RV_ID_BYTES 64
#define RV_HEAD_BYTES 8192

/** enum rv_exit_t - exit status of a case. */
typedef enum
{
  RV_HELD = 0,   /* the rule was kept */
  RV_BROKEN = 1, /* the rule was broken */
  RV_FAILED = 2, /* the case could not run */
} rv_exit_t;

/** struct rv_request_t - a request as a stand-in server received it. */
typedef struct
{
  char method[16];
  char target[256];
  char head[RV_HEAD_BYTES]; /* request line and fields */
  size_t body_bytes;
} rv_request_t;

typedef struct rv_server rv_server_t;

/** struct rv_server_options_t - how a stand-in server behaves. */
typedef struct
{
  int machine;
  const char *service;
  const char *id;
  int work_ms;              /* time that a request takes */
  size_t answer_bytes;      /* size of an answer's body */
  bool silent;              /* sends no status reports of its own */
  const char *crash_target; /* a request with this path crashes the server; or NULL */
} rv_server_options_t;

/** struct rv_run_t - a request that a server ran. */
typedef struct
{
  char id[RV_ID_BYTES];
  char target[RV_ID_BYTES];
  char caller[RV_ID_BYTES];
  long at_ms;
} rv_run_t;

/** struct rv_answer_t - what a client got. */
typedef struct
{
  int status;      /* 0: no answer */
  bool complete;   /* the body has the stated length */
  size_t length;   /* stated length of the body */
  size_t received; /* bytes of the body */
  long sent_ms;    /* when the request was sent whole */
  long ended_ms;   /* when the answer or the connection ended */
} rv_answer_t;

/** struct rv_call_t - a request of a stand-in client. */
typedef struct
{
  int machine;
  const char *method;
  const char *target;
  const char *id;
  int timeout_ms;
  size_t body_bytes;    /* of a POST */
  int read_bytes_per_s; /* 0: reads as fast as it can */
  int segment_bytes;    /* largest TCP segment; 0: that of the loopback device */
  int window_bytes;     /* receive buffer of the connection; 0: as the system has it */
} rv_call_t;

/** rv_open() - find free ports, and open record.txt in the folder @directory. */
void rv_open (const char *directory);

/** rv_record() - write a line with the time to record.txt. */
void rv_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/** rv_finish() - end all processes that were started, and exit with @status. */
void rv_finish (rv_exit_t status) __attribute__ ((noreturn));

/** rv_fail() - record why the case can't run, and finish with RV_FAILED. */
void rv_fail (const char *reason) __attribute__ ((noreturn));

/** rv_with_trouble() - false if TROUBLE=0 is set. */
bool rv_with_trouble (void);

long rv_now_ms (void);
long long rv_unix_ms (void);
void rv_sleep_ms (long ms);

/** rv_store_start() - start the stand-in of the metadata store. */
void rv_store_start (void);

/** rv_store_put_config() - write the operator's configuration. */
void rv_store_put_config (const char *document);

/** rv_store_set_silent() - while @silent, the store answers no call and does nothing. A
 * connection on which an answer is missing delivers nothing further. */
void rv_store_set_silent (bool silent);

/** rv_node_start() - start filbertquay-node on @machine, beside a server of @service. */
void rv_node_start (int machine, const char *service);

/** rv_node_change_settings() - the platform writes the settings of @machine for a server
 * of
 * @service, without a signal. */
void rv_node_change_settings (int machine, const char *service);

/** rv_node_signal() - send a signal to the node of @machine. */
void rv_node_signal (int machine, int signal_number);

/** rv_node_wait() - wait for the node of @machine to end. */
void rv_node_wait (int machine);

/** rv_wait_ready() - wait until the node answers its readiness check with 200. */
void rv_wait_ready (int machine);

rv_server_t *rv_server_start (const rv_server_options_t *options);

/** rv_server_leave() - deregister the server, and begin to say so in health checks.
 *
 * Return: when the node acknowledged it. */
long rv_server_leave (rv_server_t *server);

/** rv_server_end() - close all connections and the listener. */
void rv_server_end (rv_server_t *server);

/** rv_server_has_ended() - whether it has crashed or was ended. */
bool rv_server_has_ended (const rv_server_t *server);

/** rv_server_run() - get run number @index; false if there is none. */
bool rv_server_run (rv_server_t *server, size_t index, rv_run_t *out);

/** rv_report() - send a status report to the node of @machine. Return: the answer's
 * status. */
int rv_report (int machine, const char *id, const char *body);

/** rv_report_body() - write the body of a status report. */
void rv_report_body (char *out,
                     size_t size,
                     int machine,
                     const char *service,
                     long long born,
                     const char *state,
                     unsigned int sequence);

/** rv_server_born() and rv_server_sequence() - what the server says in its reports. */
long long rv_server_born (const rv_server_t *server);
unsigned int rv_server_sequence (const rv_server_t *server);

/** rv_call() - send a request on a new connection and read the answer. */
void rv_call (const rv_call_t *call, rv_answer_t *answer);

#endif
