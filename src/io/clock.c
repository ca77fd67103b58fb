#include "io/clock.h"

#include <time.h>

#define FQ_NS_PER_US 1000

fq_time_t
fq_clock_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (fq_time_t)now.tv_sec * FQ_MICROSECONDS_PER_SECOND + now.tv_nsec / FQ_NS_PER_US;
}
