/**
 * DOC: Stand-ins for review scripts, all in one process: the store of the platform,
 * application servers, and clients. Nodes run as processes of their own.
 */
#ifndef LAB_H
#define LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define LAB_MACHINES_MAX 8
#define LAB_APPS_MAX 256
#define LAB_TEXT 256

/* An HTTP message with its head as text. */
typedef struct
{
  char first[2048]; /* request or status line */
  char *head;       /* field lines, each with CR LF */
  char *body;
  size_t size;
  int status;    /* of an answer */
  bool complete; /* the body came whole */
  bool has_length;
} lab_message_t;

void lab_message_clear (lab_message_t *message);
/* Value of a field, or "" if it is not there. */
const char *
lab_field (const lab_message_t *message, const char *name, char *out, size_t size);
/* Reads one message with a head and a body. @until: lab_ms() at which it gives up.
 * Returns 1, 0 at a clean end before the first byte, -1 otherwise; @read_any tells
 * whether a byte came. */
int lab_read (int fd, lab_message_t *out, bool answer, long long until, bool *read_any);
int lab_write (int fd, const void *data, size_t size);
int lab_connect (const char *ip, int port, int timeout_ms);
int lab_listen (const char *ip, int port);

long long lab_ms (void);
void lab_sleep (int ms);
uint64_t lab_random (uint64_t below);
void lab_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void lab_fail (const char *format, ...) __attribute__ ((format (printf, 1, 2), noreturn));

/* The store. */
typedef enum
{
  LAB_STORE_UP,
  LAB_STORE_BUSY,   /* 503 */
  LAB_STORE_SILENT, /* takes calls and answers none */
} lab_store_mode_t;

typedef struct
{
  char ip[32];
  int port;
  lab_store_mode_t mode;
  /* Answers to reads that wait are lost until then; the connection delivers nothing more.
   */
  long long lose_until;
  unsigned int calls;
} lab_store_t;

extern lab_store_t lab_store;
void lab_store_start (const char *ip, int port);
/* Writes a row as the operator does. */
void lab_store_put (const char *table, const char *key, const char *value);

/* A machine: the node with its settings, and where its server is. */
typedef struct
{
  int number;
  char ip[32];
  char service[64];
  char zone[32];
  char settings[LAB_TEXT];
  char log[LAB_TEXT];
  pid_t pid; /* 0: not running */
  bool expected_end;
  unsigned int starts;
  long long disturbed_until;
} lab_machine_t;

typedef struct
{
  int requests, readiness, reports, nodes, server, store, metrics;
} lab_ports_t;

extern lab_ports_t lab_ports;
extern lab_machine_t lab_machines[LAB_MACHINES_MAX];
extern int lab_machine_count;
extern const char *lab_node_program;
extern char lab_folder[LAB_TEXT]; /* for settings and logs */
extern int lab_heartbeat_ms, lab_drain_ms, lab_grace_ms;
extern double lab_memory_mb;

void lab_open (const char *record_path);
lab_machine_t *lab_add_machine (const char *service, const char *zone);
void lab_write_settings (lab_machine_t *machine);
void lab_node_start (lab_machine_t *machine);
void lab_node_signal (lab_machine_t *machine, int signal);
/* Waits for the end of a node that was told to end. Returns its wait status. */
int lab_node_wait (lab_machine_t *machine);
bool lab_node_ready (lab_machine_t *machine);
/* Whether a node has ended by itself. */
bool lab_node_ended (lab_machine_t *machine);
void lab_end_all (void);

/* An application server. */
typedef struct lab_app lab_app_t;
struct lab_app
{
  lab_machine_t *machine;
  char service[64];
  char id[64];
  long long born;
  unsigned int sequence;
  int slots;
  int work_ms;
  size_t answer_bytes; /* of each answer; 0: by the id of the request */
  bool draining;
  bool health_lies;
  bool stopped;
  bool reports;          /* sends reports */
  long long drain_acked; /* lab_ms(); 0: not yet */
  int listener;
  int fds[4096];
  int fd_count;
  pthread_mutex_t lock;
  /* Chances in a thousand, for each run. */
  int lose, drop, truncate, junk, extra, extra_late, unframed, refuse;
  /* Begins to work at the head of a body of 100,000 bytes or more, reads the first 16,384
   * bytes of it, and goes on to read after this time; 0: reads at once. */
  int read_pause_ms;
  /* Chance in a thousand that such a request is rejected after its first 16,384 bytes.
   * The connection is kept; half of the rest is read after early_pause_ms, and the other
   * half after this time again. */
  int early, early_pause_ms;
  void (*on_run) (lab_app_t *app, const lab_message_t *request, const char *id);
};

lab_app_t *
lab_app_start (lab_machine_t *machine, const char *service, const char *id, int work_ms);
/* Ends at once, as in a crash. */
void lab_app_crash (lab_app_t *app);
/* Sends one report; returns whether it was acknowledged. */
bool lab_app_report (lab_app_t *app);
bool lab_app_deregister (lab_app_t *app);

/* What was run. */
typedef struct
{
  char id[64];
  char caller[64];
  char app[64];
  char service[64];
  long long at;
  long long drain_acked; /* of the server; 0: it did not leave */
  uint64_t body_hash;
} lab_run_t;

extern lab_run_t *lab_runs;
extern size_t lab_run_count;
extern pthread_mutex_t lab_runs_lock;

uint64_t lab_hash (const void *data, size_t size);
/* The body that a server answers to a request. */
size_t lab_answer_body (const char *id, char *out, size_t size);

/* A request of a client. */
typedef struct
{
  char id[64];
  int machine;
  char kind; /* s safe, u unsafe, l upload */
  long long sent;
  long long whole; /* its last byte was sent */
  long long ended;
  int status; /* 0: no whole answer */
  bool read_any;
  bool right; /* the answer is the whole one of the server */
  bool connected;
  bool kept; /* on a connection that was used before */
  uint64_t body_hash;
} lab_request_t;

typedef struct
{
  lab_machine_t *machine;
  int fd; /* -1: none */
  bool used;
} lab_client_t;

/* Sends one request and waits for its answer. @pace_ms: between parts of an upload. */
void lab_request (lab_client_t *client,
                  lab_request_t *request,
                  const char *host,
                  const char *path,
                  size_t body,
                  int time_limit_ms,
                  bool chunked,
                  int pace_ms);

#endif
