#include "garnetstack/rng.h"

#include <stdlib.h>
#include <sys/random.h>

void
gs_rng_seed (gs_rng_t *rng, uint64_t seed)
{
  rng->state = seed;
}

/* SplitMix64.  */
uint64_t
gs_rng_next (gs_rng_t *rng)
{
  uint64_t z;

  rng->state += 0x9e3779b97f4a7c15U;
  z = rng->state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

uint64_t
gs_rng_below (gs_rng_t *rng, uint64_t bound)
{
  return bound == 0 ? 0 : gs_rng_next (rng) % bound;
}

double
gs_rng_unit (gs_rng_t *rng)
{
  return (double)(gs_rng_next (rng) >> 11) / 9007199254740992.0;
}

uint64_t
gs_rng_entropy (void)
{
  uint64_t value;

  if (getrandom (&value, sizeof value, 0) != sizeof value)
    abort ();
  return value;
}
