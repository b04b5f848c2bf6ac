/**
 * @file pool_spec.h
 * Reads the specification of a pool from the catalogue.  Lists of adapters
 * are joined to one sorted text, so that two of them can be compared.
 */
#ifndef GS_CONTROL_POOL_SPEC_H
#define GS_CONTROL_POOL_SPEC_H

#include "control/placement.h"
#include "garnetstack/catalogue.h"

/** @return the specification of a pool.
    @param entry the pool's entry in @p catalogue */
gs_pool_spec_t gs_pool_spec_read (const gs_catalogue_t *catalogue,
                                  const gs_pool_t *entry);

/**
 * Join names of adapters, sorted and separated by commas.
 * @param size of @p out in bytes; a longer result is truncated
 * @param names ends with NULL
 */
void gs_adapters_join (char *out, size_t size, const char *const *names);

#endif
