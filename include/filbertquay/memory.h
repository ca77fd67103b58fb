/**
 * DOC: Account of the memory that a process holds for its peers.
 *
 * Whatever is held for clients, servers and other nodes counts while it grows, until it
 * is freed: bodies, buffers with their spare room, heads of messages, and sockets. The
 * account is not atomic: a process uses it from one thread only.
 */
#ifndef FQ_MEMORY_H
#define FQ_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/** enum fq_room_stage_t - what a body needs room for. */
typedef enum
{
  FQ_ROOM_SMALL,   /* it stays small */
  FQ_ROOM_BECOMES, /* it becomes large, and has to fit as a whole */
  FQ_ROOM_GROWS,   /* it is large and grows */
} fq_room_stage_t;

/** struct fq_room_t - memory that is to be held for the body of a peer. */
typedef struct
{
  fq_room_stage_t stage;
  size_t size;          /* bytes more than now */
  size_t later;         /* bytes more after that, as far as is known */
  unsigned int percent; /* share of the limit that may be held altogether */
} fq_room_t;

/** fq_memory_set_limit() - set the memory that fq_memory_fits() takes shares of, in
 * bytes; 0: no limit. */
void fq_memory_set_limit (size_t bytes);

/** fq_memory_limit() - the limit in bytes; 0: none. */
size_t fq_memory_limit (void);

/** fq_memory_held() - what counts at present, in bytes. */
size_t fq_memory_held (void);

/**
 * fq_memory_recount() - count what an object holds.
 * @before: bytes of it that are counted now
 * @after: bytes of it that are counted from now on
 */
void fq_memory_recount (size_t before, size_t after);

/**
 * fq_memory_fits() - whether @size more bytes fit within a share of the limit.
 * @percent: share of the limit, in percent, that may be held altogether
 *
 * Return: true if they fit, and always when no limit is set.
 */
bool fq_memory_fits (size_t size, unsigned int percent);

#endif
