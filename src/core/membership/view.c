#include "core/membership/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FQ_VIEW_FIRST_CAPACITY 16
#define FQ_VIEW_PICK_TRIES 16 /* random picks before the view is walked */

bool
fq_known_is_gone (const fq_known_t *known)
{
  return known->entry.state == FQ_NODE_DEAD || known->entry.state == FQ_NODE_LEFT;
}

static uint64_t
digest_of (const fq_known_t *known)
{
  fq_random_t mixer = { .state = known->hash ^ known->entry.incarnation };

  return fq_random_next (&mixer);
}

/* Counts @known in (@step 1) or out (-1) by its present state. */
static void
tally (fq_view_t *view, const fq_known_t *known, int step)
{
  switch (known->entry.state)
    {
    case FQ_NODE_ALIVE:
    case FQ_NODE_SUSPECT:
      view->live += (size_t)step;
      view->digest ^= digest_of (known);
      break;
    case FQ_NODE_UNREACHABLE:
      view->live += (size_t)step;
      view->away += (size_t)step;
      view->digest ^= digest_of (known);
      break;
    case FQ_NODE_DEAD:
      view->away += (size_t)step;
      break;
    case FQ_NODE_LEFT:
      break;
    }
}

static void
mark_changed (fq_view_t *view, fq_known_t *known)
{
  fq_list_remove (&known->changed);
  fq_list_append (&view->changes, &known->changed);
}

/* Also for a failure domain that bears the name of its region. */
static uint64_t
domain_key (const fq_node_entry_t *entry)
{
  char name[2 * FQ_NAME_BYTES];

  snprintf (name, sizeof name, "%s/%s", entry->region, entry->failure_domain);
  return fq_map_hash (name);
}

static fq_domain_t *
domain_of (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now)
{
  uint64_t key = domain_key (entry);
  fq_domain_t *domain = fq_map_get (&view->domains, key);

  if (domain != NULL)
    return domain;
  domain = calloc (1, sizeof *domain);
  if (domain == NULL)
    return NULL;
  fq_list_init (&domain->nodes);
  domain->heard = now;
  if (fq_map_set (&view->domains, key, domain) < 0)
    {
      free (domain);
      return NULL;
    }
  return domain;
}

static void
leave_domain (fq_known_t *known)
{
  if (known->domain != NULL)
    known->domain->count--;
  known->domain = NULL;
  fq_list_remove (&known->domain_link);
}

static void
enter_domain (fq_view_t *view, fq_known_t *known, fq_time_t now)
{
  fq_domain_t *domain = domain_of (view, &known->entry, now);

  if (domain == known->domain)
    return;
  leave_domain (known);
  if (domain == NULL)
    return;
  known->domain = domain;
  domain->count++;
  fq_list_append (&domain->nodes, &known->domain_link);
}

size_t
fq_view_after (const fq_view_t *view, uint64_t hash)
{
  size_t low = 0;
  size_t high = view->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (view->nodes[middle]->hash > hash)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

static bool
make_room (fq_view_t *view)
{
  size_t capacity = view->capacity == 0 ? FQ_VIEW_FIRST_CAPACITY : view->capacity * 2;
  fq_known_t **grown;

  if (view->count < view->capacity)
    return true;
  grown = realloc (view->nodes, capacity * sizeof *grown);
  if (grown == NULL)
    return false;
  view->nodes = grown;
  view->capacity = capacity;
  return true;
}

static void
insert (fq_view_t *view, fq_known_t *known)
{
  size_t index = fq_view_after (view, known->hash);

  memmove (view->nodes + index + 1, view->nodes + index,
           (view->count - index) * sizeof (fq_known_t *));
  view->nodes[index] = known;
  view->count++;
}

static fq_known_t *
new_known (const fq_node_entry_t *entry, fq_time_t now)
{
  fq_known_t *known = calloc (1, sizeof *known);

  if (known == NULL)
    return NULL;
  fq_list_init (&known->changed);
  fq_list_init (&known->told);
  fq_list_init (&known->suspect);
  fq_list_init (&known->domain_link);
  known->hash = fq_map_hash (entry->node);
  known->since = now;
  known->entry = *entry;
  return known;
}

fq_known_t *
fq_view_add (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now)
{
  fq_known_t *known;

  if (!make_room (view))
    return NULL;
  known = new_known (entry, now);
  if (known == NULL)
    return NULL;
  if (fq_map_set (&view->by_name, known->hash, known) < 0)
    {
      free (known);
      return NULL;
    }
  insert (view, known);
  enter_domain (view, known, now);
  tally (view, known, 1);
  if (entry->state == FQ_NODE_SUSPECT)
    fq_list_append (&view->suspects, &known->suspect);
  mark_changed (view, known);
  return known;
}

int
fq_view_init (fq_view_t *view, const fq_node_entry_t *self, fq_time_t now)
{
  fq_list_init (&view->changes);
  fq_list_init (&view->suspects);
  view->self = fq_view_add (view, self, now);
  if (view->self == NULL)
    return fq_error_set (FQ_ERROR_CLASS_CORE, FQ_ERROR_NOMEM, "no memory for a view");
  return FQ_OK;
}

void
fq_view_clear (fq_view_t *view)
{
  size_t cursor = 0;
  void *domain;

  for (size_t i = 0; i < view->count; i++)
    free (view->nodes[i]);
  free (view->nodes);
  while ((domain = fq_map_next (&view->domains, &cursor)) != NULL)
    free (domain);
  fq_map_clear (&view->domains);
  fq_map_clear (&view->by_name);
}

fq_known_t *
fq_view_find (const fq_view_t *view, const char *name)
{
  return fq_map_get (&view->by_name, fq_map_hash (name));
}

void
fq_view_set_state (fq_view_t *view,
                   fq_known_t *known,
                   fq_node_state_t state,
                   fq_time_t now)
{
  if (known->entry.state == state)
    return;
  tally (view, known, -1);
  known->entry.state = state;
  tally (view, known, 1);
  known->since = now;
  known->asks = 0;
  fq_list_remove (&known->suspect);
  if (state == FQ_NODE_SUSPECT)
    fq_list_append (&view->suspects, &known->suspect);
  mark_changed (view, known);
}

void
fq_view_replace (fq_view_t *view,
                 fq_known_t *known,
                 const fq_node_entry_t *entry,
                 fq_time_t now)
{
  fq_node_state_t state = known->entry.state;

  tally (view, known, -1);
  known->entry = *entry;
  known->entry.state = state;
  tally (view, known, 1);
  enter_domain (view, known, now);
  mark_changed (view, known);
  fq_view_set_state (view, known, entry->state, now);
}

void
fq_view_forget (fq_view_t *view, fq_known_t *known)
{
  size_t index = fq_view_after (view, known->hash) - 1;

  memmove (view->nodes + index, view->nodes + index + 1,
           (view->count - index - 1) * sizeof (fq_known_t *));
  view->count--;
  tally (view, known, -1);
  fq_map_remove (&view->by_name, known->hash);
  leave_domain (known);
  fq_list_remove (&known->changed);
  fq_list_remove (&known->told);
  fq_list_remove (&known->suspect);
  free (known);
}

fq_known_t *
fq_view_pick (const fq_view_t *view,
              fq_random_t *random,
              bool (*fits) (const fq_known_t *known, const void *user),
              const void *user)
{
  size_t start = 0;

  for (int i = 0; i < FQ_VIEW_PICK_TRIES; i++)
    {
      start = fq_random_below (random, view->count);
      if (view->nodes[start] != view->self && fits (view->nodes[start], user))
        return view->nodes[start];
    }
  for (size_t i = 0; i < view->count; i++)
    {
      fq_known_t *known = view->nodes[(start + i) % view->count];

      if (known != view->self && fits (known, user))
        return known;
    }
  return NULL;
}
