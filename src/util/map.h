/**
 * DOC: A hash map from 64-bit keys to pointers, by open addressing.
 *
 * Keys are identifiers, or hashes of names made by fq_map_hash(): names of which the
 * hashes collide share a key. Key 0 marks an empty slot and can't be used.
 */
#ifndef FQ_UTIL_MAP_H
#define FQ_UTIL_MAP_H

#include <stddef.h>
#include <stdint.h>

/** struct fq_map_slot_t - one slot; @key 0 is empty. */
typedef struct
{
  uint64_t key;
  void *value;
} fq_map_slot_t;

/** struct fq_map_t - a map; zero-initialise before use. */
typedef struct
{
  fq_map_slot_t *slots;
  size_t capacity; /* a power of two, or 0 */
  size_t count;
} fq_map_t;

/** fq_map_hash() - a non-zero key for the NUL-terminated @name. */
uint64_t fq_map_hash (const char *name);

/** fq_map_hash_pair() - a non-zero key for two names and a small number, such as an enum
 * value. */
uint64_t fq_map_hash_pair (const char *member, const char *service, unsigned int number);

/** fq_map_get() - the value of @key; NULL when it has none. */
void *fq_map_get (const fq_map_t *map, uint64_t key);

/**
 * fq_map_set() - set or replace the value of @key.
 *
 * Return: 0; FQ_ERROR_NOMEM; FQ_ERROR_INVALID for key 0. On failure the map is unchanged.
 */
int fq_map_set (fq_map_t *map, uint64_t key, void *value);

/** fq_map_remove() - remove @key; returns the value that it had, or NULL. */
void *fq_map_remove (fq_map_t *map, uint64_t key);

/**
 * fq_map_next() - iterate over all values, in no particular order.
 * @cursor: 0 before the first call
 *
 * No key may be added or removed meanwhile.
 *
 * Return: a value; NULL after the last one.
 */
void *fq_map_next (const fq_map_t *map, size_t *cursor);

/** fq_map_clear() - remove all keys and free the slots, but not the values. */
void fq_map_clear (fq_map_t *map);

#endif
