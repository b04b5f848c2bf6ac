#include "control/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
gs_rendezvous_weight (const char *job, const char *member)
{
  return XXH3_64bits_withSeed (member, strlen (member),
                               XXH3_64bits (job, strlen (job)));
}

bool
gs_rendezvous_is_chosen (const char *job, const char *self,
                         const char *const *others, size_t other_count,
                         unsigned count)
{
  uint64_t own_weight = gs_rendezvous_weight (job, self);
  unsigned rank = 0;

  for (size_t i = 0; i < other_count && rank < count; i++)
    {
      uint64_t weight = gs_rendezvous_weight (job, others[i]);
      int order = strcmp (others[i], self);

      if (order != 0
          && (weight > own_weight || (weight == own_weight && order < 0)))
        rank++;
    }
  return rank < count;
}
