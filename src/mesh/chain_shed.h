/**
 * DOC: Which calls of running work a gate gives up when they can't all be served.
 *
 * Answers the moment at which a service deep in the call graph loses much of its room. A
 * request from the top makes several calls there in a row. If each waited a little, or
 * each was refused now and then, hardly any request would get all of its calls, and all
 * the work would be wasted. So all calls of one chain are treated alike: a chain is kept
 * when its hash lies below a share, which falls while calls wait long and grows back
 * while they don't. Every gate ranks chains by the same hash, so that gates agree without
 * asking each other.
 */
#ifndef FQ_MESH_CHAIN_SHED_H
#define FQ_MESH_CHAIN_SHED_H

#include "filbertquay/types.h"

/** struct fq_chain_shed_t - of one rank; zero-initialise before use. */
typedef struct
{
  double given_up; /* share of chains, 0 to 1 */
  fq_time_t judged_at;
} fq_chain_shed_t;

/**
 * fq_chain_shed_keeps() - whether a call of @chain is taken.
 * @wait: how long it would wait
 * @run: how long it would run
 */
bool fq_chain_shed_keeps (
    fq_chain_shed_t *shed, fq_time_t now, uint64_t chain, fq_time_t wait, fq_time_t run);

#endif
