#include "filbertquay/memory.h"

#define FQ_PERCENT 100

static size_t bytes_limit;
static size_t bytes_held;

void
fq_memory_set_limit (size_t bytes)
{
  bytes_limit = bytes;
}

size_t
fq_memory_limit (void)
{
  return bytes_limit;
}

size_t
fq_memory_held (void)
{
  return bytes_held;
}

void
fq_memory_recount (size_t before, size_t after)
{
  bytes_held = bytes_held - before + after;
}

bool
fq_memory_fits (size_t size, unsigned int percent)
{
  size_t share = bytes_limit / FQ_PERCENT * percent;

  return bytes_limit == 0 || (bytes_held <= share && size <= share - bytes_held);
}
