/**
 * DOC: The view: every node that membership knows of, and what is believed of it.
 *
 * The view only keeps; what to believe is decided in merge.c and probe.c.
 */
#ifndef FQ_CORE_VIEW_H
#define FQ_CORE_VIEW_H

#include "filbertquay/event.h"
#include "util/list.h"
#include "util/map.h"
#include "util/random.h"

/** struct fq_domain_t - a failure domain, as seen from here. */
typedef struct
{
  fq_list_t nodes;
  size_t count;
  fq_time_t heard;    /* when a node of it was last heard */
  fq_time_t reported; /* when others were found to hear a node of it */
  fq_time_t check_at; /* when a check of the whole domain began; 0: none */
} fq_domain_t;

/** struct fq_known_t - one node of the view. */
typedef struct
{
  fq_list_t changed;     /* on the list of changes not yet taken */
  fq_list_t told;        /* on a list of entries to tell; see dissemination.h */
  fq_list_t suspect;     /* on the list of suspects */
  fq_list_t domain_link; /* in its domain */
  fq_domain_t *domain;
  uint64_t hash;
  fq_time_t since; /* when it took its present state */
  uint32_t tells;  /* times that its present entry was sent */
  uint32_t asks;   /* times that others were asked of it, as a suspect */
  fq_node_entry_t entry;
} fq_known_t;

/** struct fq_view_t - all known nodes; set up with fq_view_init(). */
typedef struct
{
  fq_known_t *self;
  fq_known_t **nodes; /* by hash */
  size_t count;
  size_t capacity;
  size_t live;     /* neither dead nor left; ourselves included */
  size_t away;     /* dead, or unreachable */
  uint64_t digest; /* of the live nodes and their incarnations */
  fq_map_t by_name;
  fq_map_t domains;
  fq_list_t changes;
  fq_list_t suspects; /* longest suspected first */
} fq_view_t;

/** fq_view_init() - a view that knows @self only. */
int fq_view_init (fq_view_t *view, const fq_node_entry_t *self, fq_time_t now);

/** fq_view_clear() - free all nodes. */
void fq_view_clear (fq_view_t *view);

/** fq_view_find() - the node called @name, or NULL. */
fq_known_t *fq_view_find (const fq_view_t *view, const char *name);

/** fq_view_add() - a node that was not known; NULL without memory. */
fq_known_t *fq_view_add (fq_view_t *view, const fq_node_entry_t *entry, fq_time_t now);

/** fq_view_replace() - all fields of @known are now as in @entry. */
void fq_view_replace (fq_view_t *view,
                      fq_known_t *known,
                      const fq_node_entry_t *entry,
                      fq_time_t now);

/** fq_view_set_state() - only the state of @known changes. */
void fq_view_set_state (fq_view_t *view,
                        fq_known_t *known,
                        fq_node_state_t state,
                        fq_time_t now);

/** fq_view_forget() - drop @known, which is not ourselves. */
void fq_view_forget (fq_view_t *view, fq_known_t *known);

/** fq_view_after() - index of the first node with a hash above @hash, or the count. */
size_t fq_view_after (const fq_view_t *view, uint64_t hash);

/** fq_view_pick() - a random node that @fits, other than ourselves, or NULL. */
fq_known_t *fq_view_pick (const fq_view_t *view,
                          fq_random_t *random,
                          bool (*fits) (const fq_known_t *known, const void *user),
                          const void *user);

/** fq_known_is_gone() - dead, or left. */
bool fq_known_is_gone (const fq_known_t *known);

#endif
