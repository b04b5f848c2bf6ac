#include "util/response_memory.h"

bool
response_memory_take (response_memory_t *memory, size_t own, size_t length)
{
  size_t used = memory->used + length;
  size_t left = memory->limit > used ? memory->limit - used : 0;

  if (own + length > RESPONSE_BYTES_ASSURED && own + length > left)
    return false;
  memory->used += length;
  return true;
}

void
response_memory_add (response_memory_t *memory, size_t length)
{
  memory->used += length;
}

bool
response_memory_is_full (const response_memory_t *memory)
{
  return memory->used >= memory->limit;
}

void
response_memory_return (response_memory_t *memory, size_t length)
{
  memory->used -= length;
}
