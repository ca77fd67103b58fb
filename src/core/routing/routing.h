/**
 * DOC: Routing: load balancing over the nodes of a service.
 *
 * The routing table holds every known node by its service. The load that it holds for a
 * node is a hint that becomes stale after a second; admission is decided by the gate of
 * the node.
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
  const char *node; /* name of this node */
  const char *failure_domain;
  const char *region;
  uint64_t seed;
} fq_routing_options_t;

#define FQ_ROUTING_OPTIONS_VERSION 1
#define FQ_ROUTING_OPTIONS_INIT                                                          \
  {                                                                                      \
    .version = FQ_ROUTING_OPTIONS_VERSION                                                \
  }

/** struct fq_routing_choice_t - the node selected for an attempt. */
typedef struct
{
  char node[FQ_NAME_BYTES];
  bool local; /* it is this node */
} fq_routing_choice_t;

/* Tried nodes that are recorded for a request. Later attempts may go to a node that was
 * tried but is not recorded. */
#define FQ_ROUTING_TRIED_MAX 8

/** struct fq_routing_tried_t - the first nodes that a request has tried. */
typedef struct
{
  uint64_t nodes[FQ_ROUTING_TRIED_MAX]; /* fq_map_hash() of their names */
  size_t count;
} fq_routing_tried_t;

/**
 * fq_routing_new() - create an empty table; the strings of @options are copied.
 *
 * Return: 0 and *@out, to be freed with fq_routing_free(), or FQ_ERROR_NOMEM.
 */
int fq_routing_new (fq_routing_t **out, const fq_routing_options_t *options);

/** fq_routing_free() - NULL-safe. */
void fq_routing_free (fq_routing_t *routing);

/**
 * fq_routing_update() - the membership entry of a node changed, this node's included.
 *
 * Return: 0 or FQ_ERROR_NOMEM.
 */
int
fq_routing_update (fq_routing_t *routing, fq_time_t now, const fq_node_entry_t *entry);

/**
 * fq_routing_set_connected() - set whether @node can be reached over a connection; no
 * effect for an unknown node.
 */
void fq_routing_set_connected (fq_routing_t *routing,
                               fq_time_t now,
                               const char *node,
                               bool connected);

/** fq_routing_count_alive() - number of nodes of @service that are alive in the
 * membership view. */
size_t fq_routing_count_alive (const fq_routing_t *routing, const char *service);

/** fq_routing_has_service() - whether any node serves, or has served, @service. */
bool fq_routing_has_service (const fq_routing_t *routing, const char *service);

/**
 * fq_routing_choose() - select a node for the next attempt.
 * @tried: nodes to exclude; may be NULL
 *
 * Return: 0, or FQ_ERROR_NOTFOUND when no node is left to try.
 */
int fq_routing_choose (fq_routing_t *routing,
                       fq_time_t now,
                       const char *service,
                       const fq_routing_tried_t *tried,
                       fq_routing_choice_t *out);

/** fq_routing_attempt_sent() - an attempt was sent to @node; ignores an unknown one. */
void fq_routing_attempt_sent (fq_routing_t *routing, fq_time_t now, const char *node);

/**
 * fq_routing_list_addresses() - list up to @max other live nodes that may serve @service.
 * @out: receives their addresses, which stay valid until the next fq_routing_update()
 *
 * Return: their number; 0 for an unknown service. A node that serves no service as yet is
 * listed too.
 */
size_t fq_routing_list_addresses (const fq_routing_t *routing,
                                  const char *service,
                                  const char **out,
                                  size_t max);

/** enum fq_routing_result_t - how an attempt ended, as far as it concerns the node. */
typedef enum
{
  FQ_ROUTING_ANSWERED,  /* a complete answer */
  FQ_ROUTING_REFUSED,   /* refused by the gate, which is no failure of the node */
  FQ_ROUTING_FAILED,    /* connection lost, crash or timeout */
  FQ_ROUTING_CANCELLED, /* cancelled by this node, which is no failure */
} fq_routing_result_t;

/**
 * fq_routing_attempt_ended() - an attempt at @node ended.
 * @latency: from fq_routing_attempt_sent() until now
 * @load: load that the node reported with its answer; NULL: none
 *
 * Return: whether @node was ejected because of it; false for an unknown node.
 */
bool fq_routing_attempt_ended (fq_routing_t *routing,
                               fq_time_t now,
                               const char *node,
                               fq_routing_result_t result,
                               fq_time_t latency,
                               const fq_load_t *load);

/**
 * fq_routing_mark_refusing() - the gate of @node refused an attempt because it accepts no
 * requests at all.
 *
 * The node gets no attempts for two seconds, or until membership reports a newer
 * incarnation of it, unless all others are excluded too. The answer of the gate arrives
 * before the gossip does. No effect for an unknown node.
 */
void fq_routing_mark_refusing (fq_routing_t *routing, fq_time_t now, const char *node);

/**
 * fq_routing_record_shed_level() - record the shed level that @node reported with an
 * answer to a request of @member.
 *
 * A gate reports its shed level only to members that exceed their share.
 */
void fq_routing_record_shed_level (fq_routing_t *routing,
                                   fq_time_t now,
                                   const char *node,
                                   const char *member,
                                   const fq_load_t *load);

/**
 * fq_routing_shed_level() - mean shed level that the nodes of @service reported to
 * @member.
 * @out: shed_class and shed_percent are set, the others are 0; sheds nothing if no level
 * was reported within the last second
 *
 * To be applied with fq_shed_sheds_chain(), and only to requests that start a chain:
 * those of external callers, and those of an upstream without a chain token.
 */
void fq_routing_shed_level (const fq_routing_t *routing,
                            fq_time_t now,
                            const char *service,
                            const char *member,
                            fq_load_t *out);

#endif
