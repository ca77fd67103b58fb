/**
 * DOC: Load shedding of internal calls by call chain.
 *
 * A client request may make several calls in a row to a service deep in the call graph.
 * When that service loses capacity and its gate delays or refuses calls independently of
 * each other, hardly any chain completes all of its calls, and the work of the others is
 * wasted. The gate therefore sheds whole chains: it admits a call while the hash of its
 * chain lies below the share that it keeps. The shed share grows while calls wait too
 * long and shrinks while they don't. All gates use the same hash, and so shed the same
 * chains without coordination.
 */
#ifndef FQ_MESH_CHAIN_SHED_H
#define FQ_MESH_CHAIN_SHED_H

#include "filbertquay/types.h"

/** struct fq_chain_shed_t - state of one rank; zero-initialise before use. */
typedef struct
{
  double shed_share; /* of all chains, 0 to 0.95 */
  fq_time_t adjusted_at;
} fq_chain_shed_t;

/**
 * fq_chain_shed_admits() - whether to admit a call of @chain; adjusts the shed share.
 * @chain: hash of the chain; its upper 32 bits decide
 * @wait: expected time in the queue, microseconds
 * @run: expected time at the server, microseconds
 */
bool fq_chain_shed_admits (
    fq_chain_shed_t *shed, fq_time_t now, uint64_t chain, fq_time_t wait, fq_time_t run);

#endif
