/**
 * @file rng.h
 * Pseudo-random numbers from a seed, so that a run can be reproduced, and
 * random bits of the operating system.
 */
#ifndef GARNETSTACK_RNG_H
#define GARNETSTACK_RNG_H

#include <stdint.h>

typedef struct
{
  uint64_t state;
} gs_rng_t;

/** Initialize a generator; equal seeds give equal sequences. */
void gs_rng_seed (gs_rng_t *rng, uint64_t seed);

/** @return the next 64 pseudo-random bits. */
uint64_t gs_rng_next (gs_rng_t *rng);

/** @return a number in [0, bound); 0 when @p bound is 0. */
uint64_t gs_rng_below (gs_rng_t *rng, uint64_t bound);

/** @return a number in [0, 1). */
double gs_rng_unit (gs_rng_t *rng);

/** @return 64 random bits of the operating system, for incarnations and
    nonces.  Aborts the process if there are none. */
uint64_t gs_rng_entropy (void);

#endif
