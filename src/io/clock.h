/**
 * DOC: The clock of a node: steady, and it counts the time in which the VM is suspended.
 *
 * Permissions with a time limit, such as a drain or a grant, run out meanwhile for all
 * others. CLOCK_MONOTONIC stands still then, and the time of day can be set.
 */
#ifndef FQ_IO_CLOCK_H
#define FQ_IO_CLOCK_H

#include "filbertquay/types.h"

/** fq_clock_now() - microseconds since the boot of the VM. */
fq_time_t fq_clock_now (void);

#endif
