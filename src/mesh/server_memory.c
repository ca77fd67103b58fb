#include "mesh/server_memory.h"

/* Bounds of what another node may tell. */
#define FQ_RECALL_AGE_MAX_MS (3600ULL * 1000)
#define FQ_RECALL_RATE_MAX 1e6

bool
fq_may_be_same_process (const fq_text_t *instance,
                        uint64_t started_ms,
                        const fq_text_t *other_instance,
                        uint64_t other_started_ms)
{
  return fq_text_equal (instance, other_instance)
         && (started_ms == other_started_ms || started_ms == 0 || other_started_ms == 0);
}

bool
fq_server_memory_is_of (const fq_server_memory_t *memory,
                        const fq_text_t *instance,
                        uint64_t started_ms)
{
  return instance != NULL
         && fq_may_be_same_process (memory->instance, memory->started_ms, instance,
                                    started_ms);
}

void
fq_server_memory_clear (fq_server_memory_t *memory)
{
  fq_text_unref (memory->instance);
  *memory = (fq_server_memory_t){ 0 };
}

static void
replace (fq_server_memory_t *memory, const fq_server_t *server)
{
  fq_server_memory_clear (memory);
  memory->started_ms = server->started_ms;
  memory->instance = fq_text_ref (server->instance);
}

void
fq_server_memory_record (fq_server_memory_t *memory,
                         fq_time_t now,
                         const fq_server_t *server,
                         double rate_limit)
{
  if (server->instance == NULL)
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
find (fq_server_memories_t *memories, const fq_text_t *instance, uint64_t started_ms)
{
  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    {
      fq_server_memory_t *memory = &memories->items[i];

      if (fq_text_equal (memory->instance, instance) && memory->started_ms == started_ms)
        return memory;
    }
  return NULL;
}

void
fq_server_memories_add (fq_server_memories_t *memories, const fq_server_memory_t *memory)
{
  fq_server_memory_t *known = find (memories, memory->instance, memory->started_ms);

  if (memory->instance == NULL)
    return;
  if (known != NULL)
    {
      merge (known, memory);
      return;
    }
  known = find (memories, NULL, 0);
  if (known == NULL)
    {
      known = &memories->items[memories->oldest];
      memories->oldest = (memories->oldest + 1) % FQ_SERVER_MEMORIES_MAX;
    }
  fq_text_unref (known->instance);
  *known = *memory;
  fq_text_ref (known->instance);
}

void
fq_server_memories_forget (fq_server_memories_t *memories, const fq_text_t *instance)
{
  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    {
      if (fq_text_equal (memories->items[i].instance, instance))
        fq_server_memory_clear (&memories->items[i]);
    }
}

void
fq_server_memories_clear (fq_server_memories_t *memories)
{
  for (size_t i = 0; i < FQ_SERVER_MEMORIES_MAX; i++)
    fq_server_memory_clear (&memories->items[i]);
}

void
fq_server_memory_to_recall (const fq_server_memory_t *memory,
                            fq_time_t now,
                            fq_server_recall_t *out)
{
  *out = (fq_server_recall_t){
    .instance = fq_text_ref (memory->instance),
    .started_ms = memory->started_ms,
    .leaving = memory->leaving,
    .rate_limit = memory->rate_limit,
    .rate_age_ms = (uint64_t)(now - memory->rate_stated_at) / FQ_MICROSECONDS_PER_MS,
  };
  if (memory->leaving)
    out->leaving_ms = (uint64_t)(now - memory->leaving_since) / FQ_MICROSECONDS_PER_MS;
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
    .instance = fq_text_ref (recall->instance),
    .started_ms = recall->started_ms,
    .leaving = recall->leaving,
    .leaving_since = now - age_us (recall->leaving_ms),
    .rate_stated_at = now - age_us (recall->rate_age_ms),
  };
  if (recall->rate_limit > 0 && recall->rate_limit <= FQ_RECALL_RATE_MAX)
    out->rate_limit = recall->rate_limit;
}
