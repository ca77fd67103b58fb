/**
 * DOC: The state of the store client, shared by its parts: the reads of the configuration
 * (config_reads.c) and the directory of nodes (node_directory.c).
 */
#ifndef FQ_NODE_STORE_WATCH_PRIVATE_H
#define FQ_NODE_STORE_WATCH_PRIVATE_H

#include "http/client.h"
#include "node/store_watch.h"
#include "util/random.h"
#include "util/text.h"

#define FQ_CONFIG_READS_MAX 2 /* the one that is due, and one overdue */
#define FQ_STORE_RETRY_FIRST_SECONDS 0.1
#define FQ_STORE_RETRY_MAX_SECONDS 1.0

/* Where all nodes have the same to do, each does it at a random time within a span, which
 * is longer by 1 s for so many nodes. */
#define FQ_STORE_NODES_PER_SECOND 500.0

/** enum fq_directory_step_t - which directory operation is in progress. */
typedef enum
{
  FQ_DIRECTORY_IDLE,
  FQ_DIRECTORY_REGISTERING, /* writing the row of this node */
  FQ_DIRECTORY_READING,     /* reading all rows, page by page */
} fq_directory_step_t;

/** struct fq_config_read_t - a read of the configuration. */
typedef struct
{
  fq_store_watch_t *watch;
  fq_http_call_t *call; /* NULL: it is not in progress */
} fq_config_read_t;

struct fq_store_watch
{
  fq_io_t *io;
  fq_http_client_t *client;
  char store[FQ_ADDRESS_BYTES];
  char self[FQ_ADDRESS_BYTES];
  const fq_store_watch_handlers_t *handlers;
  void *context;
  fq_config_read_t config_reads[FQ_CONFIG_READS_MAX];
  fq_config_read_t *newest_read;  /* the other one, if in progress, is overdue */
  fq_http_call_t *directory_call; /* in progress, or NULL */
  ev_timer config_due;            /* the answer to the newest read is overdue */
  ev_timer config_retry;
  ev_timer directory_retry;
  double config_backoff; /* backoff before the next attempt, seconds */
  /* Store version up to which the feed was read; 0: read the row of the configuration
   * itself, not the feed. */
  uint64_t version;
  /* That the next read lets the store wait for a change. 0 after a failed call, so that
   * an answer shows at once whether the store is still in the same era. */
  uint32_t feed_wait_ms;
  uint64_t era; /* of the store, to which the version belongs */
  bool era_known;
  size_t nodes;      /* in the directory when it was read last */
  size_t nodes_read; /* in the pages read so far */
  fq_random_t random;
  bool registered; /* the row of this node was written */
  bool store_lost; /* the last configuration call failed */
  fq_directory_step_t step;
  fq_text_t *next_key; /* key from which the next page is read; empty: all */
  bool seen_self;      /* the row of this node is in the pages read so far */
};

/** fq_store_restart_timer() - start @timer anew; it expires once. */
void fq_store_restart_timer (fq_store_watch_t *watch, ev_timer *timer, double seconds);

/** fq_store_abort_call() - abort @call if it is not NULL, and set it to NULL. */
void fq_store_abort_call (fq_http_call_t **call);

/** fq_store_is_of_present_era() - whether @answer is of the era that this node knows; if
 * it is of a later one, all reads begin anew. An answer of an earlier era was late. */
bool fq_store_is_of_present_era (fq_store_watch_t *watch,
                                 const fq_http_message_t *answer);

/* config_reads.c */
void fq_config_reads_init (fq_store_watch_t *watch);
void fq_config_reads_begin (fq_store_watch_t *watch);

/** fq_config_reads_abort() - abort all reads. Return: whether one was in progress. */
bool fq_config_reads_abort (fq_store_watch_t *watch);
void fq_config_reads_stop_timers (fq_store_watch_t *watch);

/* node_directory.c */
void fq_node_directory_init (fq_store_watch_t *watch);

/** fq_node_directory_close() - stop the timer and free what the directory holds. */
void fq_node_directory_close (fq_store_watch_t *watch);

/** fq_node_directory_recheck() - read the directory again at a random time: the row of
 * this node, or of others, may be lost. A lost row of this node is written again. */
void fq_node_directory_recheck (fq_store_watch_t *watch);

#endif
