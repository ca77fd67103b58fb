/**
 * DOC: Identifiers of store operations, which hold the module that issued them.
 */
#ifndef FQ_CORE_STORE_OP_IDS_H
#define FQ_CORE_STORE_OP_IDS_H

#include "filbertquay/types.h"

/** enum fq_store_owner_t - modules that issue store operations. */
typedef enum
{
  FQ_STORE_OWNER_TICKETS = 1,
  FQ_STORE_OWNER_ONCE = 2,
  FQ_STORE_OWNER_MEMBERSHIP = 3,
  FQ_STORE_OWNER_BURN = 4,
} fq_store_owner_t;

#define FQ_STORE_OWNER_SHIFT 56 /* the module is in the top byte */

/** fq_store_op_id() - identifier of operation @number (below 2^56) of module @owner. */
static inline fq_id_t
fq_store_op_id (fq_store_owner_t owner, uint64_t number)
{
  return ((fq_id_t)owner << FQ_STORE_OWNER_SHIFT) | number;
}

/** fq_store_op_id_owner() - module that issued operation @id. */
static inline fq_store_owner_t
fq_store_op_id_owner (fq_id_t id)
{
  return (fq_store_owner_t)(id >> FQ_STORE_OWNER_SHIFT);
}

#endif
