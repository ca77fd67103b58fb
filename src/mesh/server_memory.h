/**
 * DOC: What a node remembers of the server beside another node's gate.
 *
 * A gate knows first hand that its server is leaving, or has a rate limit, and forgets it
 * when its node restarts. Every entry that was told keeps it, and tells it again when it
 * connects, before it sends a request. So whatever an entry has passed on to its clients
 * holds for all its later requests, and nothing of it has to be stored.
 */
#ifndef FQ_MESH_SERVER_MEMORY_H
#define FQ_MESH_SERVER_MEMORY_H

#include "mesh/frame.h"

/** struct fq_server_memory_t - zero-initialised, it remembers no server. */
typedef struct
{
  fq_text_t *instance;
  uint64_t started_ms;      /* 0: not known */
  bool leaving;             /* it began to drain */
  fq_time_t leaving_since;  /* when this node learned of it, if leaving */
  double rate_limit;        /* 0: none */
  fq_time_t rate_stated_at; /* when the gate last told it, or that there is none */
} fq_server_memory_t;

/** fq_server_memory_clear() - drop the reference of @memory and zero it. */
void fq_server_memory_clear (fq_server_memory_t *memory);

/** fq_server_memory_is_of() - whether it may be about this process. A start time of 0 on
 * either side matches any. */
bool fq_server_memory_is_of (const fq_server_memory_t *memory,
                             const fq_text_t *instance,
                             uint64_t started_ms);

/** fq_may_be_same_process() - whether two ids and start times may name one process: the
 * ids are equal, and the start times are too, unless one of them is not known (0). */
bool fq_may_be_same_process (const fq_text_t *instance,
                             uint64_t started_ms,
                             const fq_text_t *other_instance,
                             uint64_t other_started_ms);

/** fq_server_memory_record() - the gate told @server and @rate_limit at time @now. The
 * gate was told before what is remembered; if it says that the server is ready, the
 * server is not the process that was leaving. */
void fq_server_memory_record (fq_server_memory_t *memory,
                              fq_time_t now,
                              const fq_server_t *server,
                              double rate_limit);

/** FQ_SERVER_MEMORIES_MAX - processes that a gate remembers from before its own
 * knowledge.
 */
#define FQ_SERVER_MEMORIES_MAX 16

/** struct fq_server_memories_t - what is known of several processes, any of which may be
 * the local server; zero-initialised, it is empty. */
typedef struct
{
  fq_server_memory_t items[FQ_SERVER_MEMORIES_MAX]; /* without an instance: unused */
  size_t oldest; /* is replaced next when all are used */
} fq_server_memories_t;

/** fq_server_memories_add() - add @memory, or merge it with that of the same process: the
 * earliest leaving and the latest rate limit hold. */
void fq_server_memories_add (fq_server_memories_t *memories,
                             const fq_server_memory_t *memory);

/** fq_server_memories_forget() - remove what is known of processes with this id. */
void fq_server_memories_forget (fq_server_memories_t *memories,
                                const fq_text_t *instance);

/** fq_server_memories_clear() - remove all. */
void fq_server_memories_clear (fq_server_memories_t *memories);

/** fq_server_memory_to_recall() - convert times to ages at time @now, for a frame, which
 * gets references of its own. */
void fq_server_memory_to_recall (const fq_server_memory_t *memory,
                                 fq_time_t now,
                                 fq_server_recall_t *out);

/** fq_server_memory_from_recall() - convert the ages of a frame, received at time @now;
 * @out gets references of its own. */
void fq_server_memory_from_recall (const fq_server_recall_t *recall,
                                   fq_time_t now,
                                   fq_server_memory_t *out);

#endif
