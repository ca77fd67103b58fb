#include "util/map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "filbertquay/errors.h"

#define FQ_MAP_FIRST_CAPACITY 16
#define FQ_MAP_HASH_FACTOR 0x9e3779b97f4a7c15u /* odd, to mix hashes */

uint64_t
fq_map_hash (const char *name)
{
  uint64_t hash = XXH3_64bits (name, strlen (name));

  return hash == 0 ? 1 : hash;
}

uint64_t
fq_map_hash_pair (const char *member, const char *service, unsigned int number)
{
  uint64_t key = fq_map_hash (member) * FQ_MAP_HASH_FACTOR + fq_map_hash (service);

  key = key * FQ_MAP_HASH_FACTOR + number;
  return key == 0 ? 1 : key;
}

static size_t
home_slot (const fq_map_t *map, uint64_t key)
{
  return (size_t)(XXH3_64bits (&key, sizeof key) & (map->capacity - 1));
}

static size_t
find_slot (const fq_map_t *map, uint64_t key)
{
  size_t slot = home_slot (map, key);

  while (map->slots[slot].key != 0 && map->slots[slot].key != key)
    slot = (slot + 1) & (map->capacity - 1);
  return slot;
}

void *
fq_map_get (const fq_map_t *map, uint64_t key)
{
  if (map->capacity == 0 || key == 0)
    return NULL;
  return map->slots[find_slot (map, key)].value;
}

static int
grow (fq_map_t *map)
{
  fq_map_t larger = {
    .capacity = map->capacity == 0 ? FQ_MAP_FIRST_CAPACITY : map->capacity * 2,
    .count = map->count,
  };

  larger.slots = calloc (larger.capacity, sizeof *larger.slots);
  if (larger.slots == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a map");
  for (size_t i = 0; i < map->capacity; i++)
    {
      if (map->slots[i].key != 0)
        larger.slots[find_slot (&larger, map->slots[i].key)] = map->slots[i];
    }
  free (map->slots);
  *map = larger;
  return FQ_OK;
}

int
fq_map_set (fq_map_t *map, uint64_t key, void *value)
{
  size_t slot;

  if (key == 0)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_INVALID, "a map has no key 0");
  if ((map->count + 1) * 4 > map->capacity * 3)
    {
      int rc = grow (map);

      if (rc < 0)
        return rc;
    }
  slot = find_slot (map, key);
  if (map->slots[slot].key == 0)
    map->count++;
  map->slots[slot].key = key;
  map->slots[slot].value = value;
  return FQ_OK;
}

/* Moves later entries of the same run back, so that no tombstones are needed. */
static void
close_gap (fq_map_t *map, size_t gap)
{
  size_t mask = map->capacity - 1;

  for (size_t i = (gap + 1) & mask; map->slots[i].key != 0; i = (i + 1) & mask)
    {
      size_t home = home_slot (map, map->slots[i].key);

      if (((i - home) & mask) < ((i - gap) & mask))
        continue;
      map->slots[gap] = map->slots[i];
      gap = i;
    }
  map->slots[gap] = (fq_map_slot_t){ 0 };
}

void *
fq_map_remove (fq_map_t *map, uint64_t key)
{
  size_t slot;
  void *value;

  if (map->capacity == 0 || key == 0)
    return NULL;
  slot = find_slot (map, key);
  if (map->slots[slot].key == 0)
    return NULL;
  value = map->slots[slot].value;
  close_gap (map, slot);
  map->count--;
  return value;
}

void *
fq_map_next (const fq_map_t *map, size_t *cursor)
{
  while (*cursor < map->capacity)
    {
      const fq_map_slot_t *slot = &map->slots[(*cursor)++];

      if (slot->key != 0)
        return slot->value;
    }
  return NULL;
}

void
fq_map_clear (fq_map_t *map)
{
  free (map->slots);
  *map = (fq_map_t){ 0 };
}
