#include "mesh/server_memory.h"

#include <string.h>

/* Bounds of what another node may tell. */
#define FQ_RECALL_AGE_MAX_MS (3600ULL * 1000)
#define FQ_RECALL_RATE_MAX 1e6

bool
fq_may_be_same_process (const char *instance,
                        uint64_t started_ms,
                        const char *other_instance,
                        uint64_t other_started_ms)
{
  return strcmp (instance, other_instance) == 0
         && (started_ms == other_started_ms || started_ms == 0 || other_started_ms == 0);
}

bool
fq_server_memory_is_of (const fq_server_memory_t *memory,
                        const char *instance,
                        uint64_t started_ms)
{
  return instance[0] != '\0'
         && fq_may_be_same_process (memory->instance, memory->started_ms, instance,
                                    started_ms);
}

static void
replace (fq_server_memory_t *memory, const fq_server_t *server)
{
  *memory = (fq_server_memory_t){ .started_ms = server->started_ms };
  memcpy (memory->instance, server->instance, sizeof memory->instance);
}

void
fq_server_memory_record (fq_server_memory_t *memory,
                         fq_time_t now,
                         const fq_server_t *server,
                         double rate_limit)
{
  if (server->instance[0] == '\0')
    return;
  if (!fq_server_memory_is_of (memory, server->instance, server->started_ms)
      || (memory->leaving && server->phase == FQ_PHASE_READY))
    replace (memory, server);
  if (server->phase == FQ_PHASE_DRAINING && !memory->leaving)
    {
      memory->leaving = true;
      memory->leaving_since = now;
      /* Not known to the gate: the process that was the server before may be meant. */
      memory->started_ms = server->started_ms;
    }
  if (server->started_ms != 0)
    memory->started_ms = server->started_ms;
  memory->rate_limit = rate_limit;
  memory->rate_stated_at = now;
}

static void
merge (fq_server_memory_t *memory, const fq_server_memory_t *other)
{
  if (other->leaving
      && (!memory->leaving || other->leaving_since < memory->leaving_since))
    {
      memory->leaving = true;
      memory->leaving_since = other->leaving_since;
    }
  if (other->rate_stated_at <= memory->rate_stated_at)
    return;
  memory->rate_limit = other->rate_limit;
  memory->rate_stated_at = other->rate_stated_at;
}

static fq_server_memory_t *
find (fq_server_memories_t *memories, const char *instance, uint64_t started_ms)
{
  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    {
      fq_server_memory_t *memory = &memories->items[i];

      if (strcmp (memory->instance, instance) == 0 && memory->started_ms == started_ms)
        return memory;
    }
  return NULL;
}

void
fq_server_memories_add (fq_server_memories_t *memories, const fq_server_memory_t *memory)
{
  fq_server_memory_t *known = find (memories, memory->instance, memory->started_ms);

  if (memory->instance[0] == '\0')
    return;
  if (known != NULL)
    {
      merge (known, memory);
      return;
    }
  known = find (memories, "", 0);
  if (known == NULL)
    {
      known = &memories->items[memories->oldest];
      memories->oldest = (memories->oldest + 1) % FQ_SERVER_MEMORIES_MAX;
    }
  *known = *memory;
}

void
fq_server_memories_forget (fq_server_memories_t *memories, const char *instance)
{
  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    {
      if (strcmp (memories->items[i].instance, instance) == 0)
        memories->items[i] = (fq_server_memory_t){ 0 };
    }
}

void
fq_server_memory_to_recall (const fq_server_memory_t *memory,
                            fq_time_t now,
                            fq_server_recall_t *out)
{
  *out = (fq_server_recall_t){
    .started_ms = memory->started_ms,
    .leaving = memory->leaving,
    .rate_limit = memory->rate_limit,
    .rate_age_ms = (uint64_t)(now - memory->rate_stated_at) / FQ_MICROSECONDS_PER_MS,
  };
  if (memory->leaving)
    out->leaving_ms = (uint64_t)(now - memory->leaving_since) / FQ_MICROSECONDS_PER_MS;
  memcpy (out->instance, memory->instance, sizeof out->instance);
}

static fq_time_t
age_us (uint64_t ms)
{
  return (fq_time_t)((ms < FQ_RECALL_AGE_MAX_MS ? ms : FQ_RECALL_AGE_MAX_MS)
                     * FQ_MICROSECONDS_PER_MS);
}

void
fq_server_memory_from_recall (const fq_server_recall_t *recall,
                              fq_time_t now,
                              fq_server_memory_t *out)
{
  *out = (fq_server_memory_t){
    .started_ms = recall->started_ms,
    .leaving = recall->leaving,
    .leaving_since = now - age_us (recall->leaving_ms),
    .rate_stated_at = now - age_us (recall->rate_age_ms),
  };
  if (recall->rate_limit > 0 && recall->rate_limit <= FQ_RECALL_RATE_MAX)
    out->rate_limit = recall->rate_limit;
  memcpy (out->instance, recall->instance, sizeof out->instance);
}
