#include "filbertquay/effect.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FQ_EFFECTS_FIRST_CAPACITY 16

static void
grow (fq_effects_t *effects)
{
  size_t capacity
      = effects->capacity == 0 ? FQ_EFFECTS_FIRST_CAPACITY : effects->capacity * 2;
  fq_effect_t *items = realloc (effects->items, capacity * sizeof *items);

  if (items == NULL)
    abort ();
  effects->items = items;
  effects->capacity = capacity;
}

fq_effect_t *
fq_effects_add (fq_effects_t *effects, fq_effect_kind_t kind)
{
  fq_effect_t *effect;

  if (effects->count == effects->capacity)
    grow (effects);
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof *effect);
  effect->kind = kind;
  return effect;
}

void
fq_effects_log (fq_effects_t *effects,
                fq_log_level_t level,
                const char *component,
                const char *format,
                ...)
{
  fq_effect_t *effect = fq_effects_add (effects, FQ_EFFECT_LOG);
  va_list arguments;

  effect->log.level = level;
  effect->log.component = component;
  va_start (arguments, format);
  vsnprintf (effect->log.text, sizeof effect->log.text, format, arguments);
  va_end (arguments);
}

static void
clear_tickets (fq_tickets_effect_t *tickets)
{
  for (size_t i = 0; i < tickets->document_count; i++)
    free (tickets->documents[i]);
  free (tickets->documents);
}

static void
clear_effect (fq_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_EFFECT_REPLY:
      fq_blob_unref (effect->reply.answer.body);
      break;
    case FQ_EFFECT_PEER_CALL:
      fq_request_unref (effect->peer_call.request);
      break;
    case FQ_EFFECT_PEER_ANSWER:
      fq_blob_unref (effect->peer_answer.answer.body);
      break;
    case FQ_EFFECT_UPSTREAM_START:
      fq_request_unref (effect->upstream_start.request);
      break;
    case FQ_EFFECT_STORE:
      fq_store_op_free (effect->store);
      break;
    case FQ_EFFECT_GOSSIP:
      free (effect->gossip);
      break;
    case FQ_EFFECT_TICKETS:
      clear_tickets (&effect->tickets);
      break;
    case FQ_EFFECT_OPERATOR_REPLY:
      free (effect->operator_reply.body);
      break;
    case FQ_EFFECT_PEER_CANCEL:
    case FQ_EFFECT_PEER_CONNECT:
    case FQ_EFFECT_PEER_CLOSE:
    case FQ_EFFECT_UPSTREAM_ABORT:
    case FQ_EFFECT_LOG:
    case FQ_EFFECT_STOPPED:
      break;
    }
}

void
fq_effects_clear (fq_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    clear_effect (&effects->items[i]);
  effects->count = 0;
}

void
fq_effects_free (fq_effects_t *effects)
{
  fq_effects_clear (effects);
  free (effects->items);
  effects->items = NULL;
  effects->capacity = 0;
}
