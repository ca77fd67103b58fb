/**
 * DOC: The growable array of effects that one event produces.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/mesh_private.h"

#define FQ_LOG_LINE_BYTES 1024
#define FQ_EFFECTS_INITIAL_CAPACITY 16

fq_mesh_effect_t *
fq_mesh_add_effect (fq_mesh_t *mesh, fq_mesh_effect_kind_t kind)
{
  fq_mesh_effects_t *effects = mesh->effects;

  if (effects->count == effects->capacity)
    {
      size_t capacity
          = effects->capacity == 0 ? FQ_EFFECTS_INITIAL_CAPACITY : effects->capacity * 2;
      fq_mesh_effect_t *grown
          = realloc (effects->items, capacity * sizeof *effects->items);

      if (grown == NULL)
        abort ();
      effects->items = grown;
      effects->capacity = capacity;
    }
  effects->items[effects->count] = (fq_mesh_effect_t){ .kind = kind };
  return &effects->items[effects->count++];
}

static void
clear_effect (fq_mesh_effect_t *effect)
{
  switch (effect->kind)
    {
    case FQ_MESH_EFFECT_REPLY:
      fq_http_message_unref (effect->reply.answer);
      break;
    case FQ_MESH_EFFECT_SEND_TO_GATE:
    case FQ_MESH_EFFECT_SEND_TO_ENTRY:
      fq_frame_clear (effect->frame.frame);
      free (effect->frame.frame);
      break;
    case FQ_MESH_EFFECT_SERVER_CALL:
      fq_text_unref (effect->server_call.instance);
      fq_text_unref (effect->server_call.caller);
      fq_text_unref (effect->server_call.request_id);
      fq_http_message_unref (effect->server_call.message);
      break;
    case FQ_MESH_EFFECT_SERVER_PROBE:
      fq_text_unref (effect->path);
      break;
    case FQ_MESH_EFFECT_LOG:
      free (effect->log.text);
      break;
    case FQ_MESH_EFFECT_LINK_OPEN:
    case FQ_MESH_EFFECT_LINK_CLOSE:
    case FQ_MESH_EFFECT_LINK_RETIRE:
    case FQ_MESH_EFFECT_RETIRED_LINKS_CLOSE:
    case FQ_MESH_EFFECT_SERVER_ABORT:
    case FQ_MESH_EFFECT_SERVER_CLOSE_IDLE:
    case FQ_MESH_EFFECT_REQUEST_LIMITS:
    case FQ_MESH_EFFECT_DISCOVER_NODES:
    case FQ_MESH_EFFECT_REMOVE_NODE:
    case FQ_MESH_EFFECT_DISABLE_KEEP_ALIVE:
    case FQ_MESH_EFFECT_REFUSE_CONNECTIONS:
    case FQ_MESH_EFFECT_STOPPED:
      break;
    }
}

void
fq_mesh_effects_clear (fq_mesh_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    clear_effect (&effects->items[i]);
  effects->count = 0;
}

void
fq_mesh_effects_free (fq_mesh_effects_t *effects)
{
  fq_mesh_effects_clear (effects);
  free (effects->items);
  *effects = (fq_mesh_effects_t){ 0 };
}

void
fq_mesh_log (fq_mesh_t *mesh, bool warning, const char *format, ...)
{
  fq_mesh_effect_t *effect = fq_mesh_add_effect (mesh, FQ_MESH_EFFECT_LOG);
  char line[FQ_LOG_LINE_BYTES];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  effect->log.warning = warning;
  effect->log.text = strdup (line);
  if (effect->log.text == NULL)
    abort ();
}
