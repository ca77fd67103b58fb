/**
 * DOC: Store operations carry the part that asked in their identifier.
 */
#ifndef FQ_CORE_STORE_IDS_H
#define FQ_CORE_STORE_IDS_H

#include "filbertquay/types.h"

/** enum fq_store_owner_t - the parts that ask the platform. */
typedef enum
{
  FQ_STORE_OWNER_TICKETS = 1,
  FQ_STORE_OWNER_ONCE = 2,
  FQ_STORE_OWNER_MEMBERSHIP = 3,
  FQ_STORE_OWNER_BURN = 4,
} fq_store_owner_t;

#define FQ_STORE_OWNER_SHIFT 56

/** fq_store_op_id() - the identifier of a part's @number'th operation. */
static inline fq_id_t
fq_store_op_id (fq_store_owner_t part, uint64_t number)
{
  return ((fq_id_t)part << FQ_STORE_OWNER_SHIFT) | number;
}

/** fq_store_op_id_owner() - the part that made @id. */
static inline fq_store_owner_t
fq_store_op_id_owner (fq_id_t id)
{
  return (fq_store_owner_t)(id >> FQ_STORE_OWNER_SHIFT);
}

#endif
