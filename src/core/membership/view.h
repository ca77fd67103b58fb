/**
 * DOC: The view: every node that membership knows, with its latest entry.
 *
 * The view only stores; which entries and states apply is decided in merge.c, probe.c and
 * suspicion.c.
 */
#ifndef FQ_CORE_VIEW_H
#define FQ_CORE_VIEW_H

#include "filbertquay/event.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"

/** struct fq_domain_t - a failure domain, as seen from this node. */
typedef struct
{
  fq_list_t nodes;
  size_t count;
  fq_time_t last_answered_at; /* when a node of it last answered; 0: unreachable */
  fq_time_t last_reported;    /* when a newer entry showed that others reach it */
  fq_time_t check_started;    /* when it was probed; 0: not since its last answer */
} fq_domain_t;

/** struct fq_view_node_t - one node of the view. */
typedef struct
{
  fq_list_t change_link;  /* in fq_view_t.changes */
  fq_list_t queue_link;   /* in a queue of fq_dissemination_t */
  fq_list_t suspect_link; /* in fq_view_t.suspects */
  fq_list_t domain_link;  /* in fq_domain_t.nodes */
  fq_domain_t *domain;    /* NULL if there was no memory for it */
  uint64_t hash;          /* of its name */
  fq_time_t state_since;  /* when it took its state; moved to extend a suspicion */
  uint32_t transmits;     /* times that its present entry was sent */
  uint32_t confirm_pings; /* pings sent to confirm the present suspicion */
  fq_node_entry_t entry;
} fq_view_node_t;

/** struct fq_view_t - all known nodes; zeroed before fq_view_init(). */
typedef struct
{
  fq_view_node_t *self;
  fq_view_node_t **nodes; /* sorted by hash */
  size_t count;
  size_t capacity;
  size_t live;        /* neither dead nor left; this node included */
  size_t down;        /* dead or unreachable; the latter count as live too */
  uint64_t digest;    /* of the live nodes and their incarnations */
  fq_map_t by_name;   /* nodes by fq_view_node_t.hash */
  fq_map_t domains;   /* by hash of region and name */
  fq_list_t changes;  /* nodes whose change has not been taken yet */
  fq_list_t suspects; /* longest suspected first */
} fq_view_t;

/** fq_view_init() - a view that holds @self only; negative code: no memory. */
int fq_view_init (fq_view_t *view, const fq_node_entry_t *self, fq_time_t now);

/** fq_view_clear() - free all nodes and failure domains. */
void fq_view_clear (fq_view_t *view);

/** fq_view_find() - the node called @name, or NULL. */
fq_view_node_t *fq_view_find (const fq_view_t *view, const char *name);

/** fq_view_add() - add a node that is not in the view; NULL: no memory. */
fq_view_node_t *
fq_view_add (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now);

/** fq_view_replace() - set all fields of @node to @entry and queue the change. */
void fq_view_replace (fq_view_t *view,
                      fq_view_node_t *node,
                      const fq_node_entry_t *entry,
                      fq_time_t now);

/** fq_view_set_state() - set the state of @node and queue a change, if it differs. */
void fq_view_set_state (fq_view_t *view,
                        fq_view_node_t *node,
                        fq_node_state_t state,
                        fq_time_t now);

/** fq_view_remove() - remove and free @node, which must not be this node. */
void fq_view_remove (fq_view_t *view, fq_view_node_t *node);

/** fq_view_upper_bound() - index of the first node with a hash above @hash, or count. */
size_t fq_view_upper_bound (const fq_view_t *view, uint64_t hash);

/**
 * fq_view_pick() - a random node, other than this one, for which @matches is true.
 * @user: passed to @matches
 *
 * Return: a node owned by the view, or NULL when none matches.
 */
fq_view_node_t *fq_view_pick (const fq_view_t *view,
                              fq_random_t *random,
                              bool (*matches) (const fq_view_node_t *node,
                                               const void *user),
                              const void *user);

/** fq_view_node_is_dead_or_left() - whether @node is dead or has left. */
bool fq_view_node_is_dead_or_left (const fq_view_node_t *node);

#endif
