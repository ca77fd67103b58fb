#include "core/membership/view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FQ_VIEW_INITIAL_CAPACITY 16
#define FQ_VIEW_PICK_TRIES 16 /* random picks before a linear search */

bool
fq_view_node_is_dead_or_left (const fq_view_node_t *node)
{
  return node->entry.state == FQ_NODE_DEAD || node->entry.state == FQ_NODE_LEFT;
}

static uint64_t
node_digest (const fq_view_node_t *node)
{
  fq_random_t mixer = { .state = node->hash ^ node->entry.incarnation };

  return fq_random_next (&mixer);
}

/* Adds (@step 1) or removes (-1) @node from the counts and the digest, by its state. */
static void
adjust_counts (fq_view_t *view, const fq_view_node_t *node, int step)
{
  switch (node->entry.state)
    {
    case FQ_NODE_ALIVE:
    case FQ_NODE_SUSPECT:
      view->live += (size_t)step;
      view->digest ^= node_digest (node);
      break;
    case FQ_NODE_UNREACHABLE:
      view->live += (size_t)step;
      view->down += (size_t)step;
      view->digest ^= node_digest (node);
      break;
    case FQ_NODE_DEAD:
      view->down += (size_t)step;
      break;
    case FQ_NODE_LEFT:
      break;
    }
}

static void
mark_changed (fq_view_t *view, fq_view_node_t *node)
{
  fq_list_remove (&node->change_link);
  fq_list_append (&view->changes, &node->change_link);
}

/* Hashes region and name as one text. Hashes of the two that were combined could be equal
 * for all failure domains that have the name of their region. */
static uint64_t
domain_key (const fq_node_entry_t *entry)
{
  char name[2 * FQ_NAME_BYTES];

  snprintf (name, sizeof name, "%s/%s", entry->region, entry->failure_domain);
  return fq_map_hash (name);
}

static fq_domain_t *
find_or_add_domain (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now)
{
  uint64_t key = domain_key (entry);
  fq_domain_t *domain = fq_map_get (&view->domains, key);

  if (domain != NULL)
    return domain;
  domain = calloc (1, sizeof *domain);
  if (domain == NULL)
    return NULL;
  fq_list_init (&domain->nodes);
  domain->last_answered_at = now;
  if (fq_map_set (&view->domains, key, domain) < 0)
    {
      free (domain);
      return NULL;
    }
  return domain;
}

static void
leave_domain (fq_view_node_t *node)
{
  if (node->domain != NULL)
    node->domain->count--;
  node->domain = NULL;
  fq_list_remove (&node->domain_link);
}

static void
update_domain (fq_view_t *view, fq_view_node_t *node, fq_time_t now)
{
  fq_domain_t *domain = find_or_add_domain (view, &node->entry, now);

  if (domain == node->domain)
    return;
  leave_domain (node);
  if (domain == NULL)
    return;
  node->domain = domain;
  domain->count++;
  fq_list_append (&domain->nodes, &node->domain_link);
}

size_t
fq_view_upper_bound (const fq_view_t *view, uint64_t hash)
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
ensure_capacity (fq_view_t *view)
{
  size_t capacity = view->capacity == 0 ? FQ_VIEW_INITIAL_CAPACITY : view->capacity * 2;
  fq_view_node_t **grown;

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
insert_sorted (fq_view_t *view, fq_view_node_t *node)
{
  size_t index = fq_view_upper_bound (view, node->hash);

  memmove (view->nodes + index + 1, view->nodes + index,
           (view->count - index) * sizeof (fq_view_node_t *));
  view->nodes[index] = node;
  view->count++;
}

static fq_view_node_t *
new_view_node (const fq_node_entry_t *entry, fq_time_t now)
{
  fq_view_node_t *node = calloc (1, sizeof *node);

  if (node == NULL)
    return NULL;
  fq_list_init (&node->change_link);
  fq_list_init (&node->queue_link);
  fq_list_init (&node->suspect_link);
  fq_list_init (&node->domain_link);
  node->hash = fq_map_hash (entry->node);
  node->state_since = now;
  node->entry = *entry;
  return node;
}

fq_view_node_t *
fq_view_add (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now)
{
  fq_view_node_t *node;

  if (!ensure_capacity (view))
    return NULL;
  node = new_view_node (entry, now);
  if (node == NULL)
    return NULL;
  if (fq_map_set (&view->by_name, node->hash, node) < 0)
    {
      free (node);
      return NULL;
    }
  insert_sorted (view, node);
  update_domain (view, node, now);
  adjust_counts (view, node, 1);
  if (entry->state == FQ_NODE_SUSPECT)
    fq_list_append (&view->suspects, &node->suspect_link);
  mark_changed (view, node);
  return node;
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

fq_view_node_t *
fq_view_find (const fq_view_t *view, const char *name)
{
  return fq_map_get (&view->by_name, fq_map_hash (name));
}

void
fq_view_set_state (fq_view_t *view,
                   fq_view_node_t *node,
                   fq_node_state_t state,
                   fq_time_t now)
{
  if (node->entry.state == state)
    return;
  adjust_counts (view, node, -1);
  node->entry.state = state;
  adjust_counts (view, node, 1);
  node->state_since = now;
  node->confirm_pings = 0;
  fq_list_remove (&node->suspect_link);
  if (state == FQ_NODE_SUSPECT)
    fq_list_append (&view->suspects, &node->suspect_link);
  mark_changed (view, node);
}

void
fq_view_replace (fq_view_t *view,
                 fq_view_node_t *node,
                 const fq_node_entry_t *entry,
                 fq_time_t now)
{
  fq_node_state_t state = node->entry.state;

  adjust_counts (view, node, -1);
  node->entry = *entry;
  node->entry.state = state;
  adjust_counts (view, node, 1);
  update_domain (view, node, now);
  mark_changed (view, node);
  fq_view_set_state (view, node, entry->state, now);
}

void
fq_view_remove (fq_view_t *view, fq_view_node_t *node)
{
  size_t index = fq_view_upper_bound (view, node->hash) - 1;

  memmove (view->nodes + index, view->nodes + index + 1,
           (view->count - index - 1) * sizeof (fq_view_node_t *));
  view->count--;
  adjust_counts (view, node, -1);
  fq_map_remove (&view->by_name, node->hash);
  leave_domain (node);
  fq_list_remove (&node->change_link);
  fq_list_remove (&node->queue_link);
  fq_list_remove (&node->suspect_link);
  free (node);
}

fq_view_node_t *
fq_view_pick (const fq_view_t *view,
              fq_random_t *random,
              bool (*matches) (const fq_view_node_t *node, const void *user),
              const void *user)
{
  size_t start = 0;

  for (int i = 0; i < FQ_VIEW_PICK_TRIES; i++)
    {
      start = fq_random_below (random, view->count);
      if (view->nodes[start] != view->self && matches (view->nodes[start], user))
        return view->nodes[start];
    }
  for (size_t i = 0; i < view->count; i++)
    {
      fq_view_node_t *node = view->nodes[(start + i) % view->count];

      if (node != view->self && matches (node, user))
        return node;
    }
  return NULL;
}
