/**
 * DOC: Routing: which node of a service gets the next attempt.
 *
 * The table holds every known node by its service. What it believes of a node's load is
 * a hint that ages; the node's own gate decides.
 */
#ifndef FQ_CORE_ROUTING_H
#define FQ_CORE_ROUTING_H

#include "filbertquay/event.h"
#include "filbertquay/types.h"
#include "util/random.h"

typedef struct fq_routing fq_routing_t;

/** struct fq_routing_options_t - see FQ_ROUTING_OPTIONS_INIT. */
typedef struct
{
  unsigned int version;
  const char *node;           /* our own name */
  const char *failure_domain; /* our own */
  const char *region;         /* our own */
  uint64_t seed;
} fq_routing_options_t;

#define FQ_ROUTING_OPTIONS_VERSION 1
#define FQ_ROUTING_OPTIONS_INIT                                                          \
  {                                                                                      \
    .version = FQ_ROUTING_OPTIONS_VERSION                                                \
  }

/** struct fq_routing_choice_t - a node to try. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  bool local; /* it is ourselves */
} fq_routing_choice_t;

#define FQ_ROUTING_TRIED_MAX 8 /* nodes that one request tries at most */

/** struct fq_routing_tried_t - nodes that a request has tried. */
typedef struct
{
  uint64_t nodes[FQ_ROUTING_TRIED_MAX]; /* fq_map_hash() of their names */
  size_t count;
} fq_routing_tried_t;

/** fq_routing_new() - an empty table. */
int fq_routing_new (fq_routing_t **out, const fq_routing_options_t *options);

/** fq_routing_free() - NULL-safe. */
void fq_routing_free (fq_routing_t *routing);

/** fq_routing_update() - membership says this of a node (ourselves included). */
int
fq_routing_update (fq_routing_t *routing, fq_time_t now, const fq_node_entry_t *entry);

/** fq_routing_connected() - whether a connection to @node is ready. */
void fq_routing_connected (fq_routing_t *routing,
                           fq_time_t now,
                           const char *node,
                           bool connected);

/** fq_routing_count_alive() - nodes of @service that are alive. */
size_t fq_routing_count_alive (const fq_routing_t *routing, const char *service);

/** fq_routing_has_service() - whether any node serves, or has served, @service. */
bool fq_routing_has_service (const fq_routing_t *routing, const char *service);

/**
 * fq_routing_choose() - a node for the next attempt.
 * @tried: nodes to avoid; may be NULL
 *
 * Return: 0, or FQ_ERROR_NOTFOUND when no node can be tried.
 */
int fq_routing_choose (fq_routing_t *routing,
                       fq_time_t now,
                       const char *service,
                       const fq_routing_tried_t *tried,
                       fq_routing_choice_t *out);

/** fq_routing_attempt_sent() - an attempt goes to @node. */
void fq_routing_attempt_sent (fq_routing_t *routing, fq_time_t now, const char *node);

/** fq_routing_list_addresses() - of up to @max other live nodes that may serve @service.
 */
size_t fq_routing_list_addresses (const fq_routing_t *routing,
                                  const char *service,
                                  const char **out,
                                  size_t max);

/** enum fq_routing_result_t - how an attempt reflects on its node. */
typedef enum
{
  FQ_ROUTING_ANSWERED,  /* a whole answer */
  FQ_ROUTING_REFUSED,   /* refused by the gate: no fault of the node */
  FQ_ROUTING_FAILED,    /* lost, crashed or out of time */
  FQ_ROUTING_CANCELLED, /* given up by us; says nothing */
} fq_routing_result_t;

/**
 * fq_routing_attempt_ended() - an attempt at @node ended.
 * @latency: from fq_routing_attempt_sent() until now
 * @load: what the node said of itself; NULL: nothing
 *
 * Return: whether @node is ejected for it: it gets no attempts for a while.
 */
bool fq_routing_attempt_ended (fq_routing_t *routing,
                               fq_time_t now,
                               const char *node,
                               fq_routing_result_t result,
                               fq_time_t latency,
                               const fq_load_t *load);

/**
 * fq_routing_mark_refusing() - the gate of @node refused, for it takes no new work.
 *
 * It is left out for two seconds, or until membership tells something newer of it: the
 * gate's own word comes before gossip does.
 */
void fq_routing_mark_refusing (fq_routing_t *routing, fq_time_t now, const char *node);

/**
 * fq_routing_record_shed_level() - what @node told with its answer to a request of
 * @member.
 *
 * A gate tells its shed level only to members that ask for more than their share.
 */
void fq_routing_record_shed_level (fq_routing_t *routing,
                                   fq_time_t now,
                                   const char *node,
                                   const char *member,
                                   const fq_load_t *load);

/**
 * fq_routing_shed_level() - the mean level that nodes of @service told @member lately.
 *
 * For fq_shed_sheds_chain(), and only for requests that start a chain: those of callers
 * outside, and those of an upstream without a chain token.
 */
void fq_routing_shed_level (const fq_routing_t *routing,
                            fq_time_t now,
                            const char *service,
                            const char *member,
                            fq_load_t *out);

#endif
