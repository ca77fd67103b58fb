/**
 * DOC: A hash map from 64-bit keys to pointers, by open addressing.
 *
 * Keys are identifiers, or hashes of names made by fq_map_hash(). Key 0 is not used.
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

/** struct fq_map_t - zero-initialise before use. */
typedef struct
{
  fq_map_slot_t *slots;
  size_t capacity; /* a power of two, or 0 */
  size_t count;
} fq_map_t;

/** fq_map_hash() - a non-zero key for the NUL-terminated @name. */
uint64_t fq_map_hash (const char *name);

/** fq_map_hash_pair() - a non-zero key for two names and a small number. */
uint64_t fq_map_hash_pair (const char *member, const char *service, unsigned int number);

/** fq_map_get() - the value of @key, or NULL. */
void *fq_map_get (const fq_map_t *map, uint64_t key);

/**
 * fq_map_set() - set the value of @key.
 *
 * Return: 0; FQ_ERROR_NOMEM or, for key 0, FQ_ERROR_INVALID leave the map as it was.
 */
int fq_map_set (fq_map_t *map, uint64_t key, void *value);

/** fq_map_remove() - forget @key; the value that it had, or NULL. */
void *fq_map_remove (fq_map_t *map, uint64_t key);

/** fq_map_next() - walk all values; start with *@cursor 0; NULL ends. No changes
 * meanwhile. */
void *fq_map_next (const fq_map_t *map, size_t *cursor);

/** fq_map_clear() - free the slots; the values are the user's. */
void fq_map_clear (fq_map_t *map);

#endif
