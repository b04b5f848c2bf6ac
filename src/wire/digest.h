/**
 * @file digest.h
 * Compact records about upstreams that nodes exchange, packed with msgpack.
 */
#ifndef GS_WIRE_DIGEST_H
#define GS_WIRE_DIGEST_H

#include "garnetstack/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Load of one upstream. */
typedef struct
{
  uint32_t name_digest; /**< gs_upstream_digest() of its name */
  uint32_t running;
  uint32_t queued;
  uint32_t queued_tokens;
  uint32_t batch_max; /**< sequences computed at once, 0 if unknown */
  uint32_t age_ms;    /**< time since the upstream was polled */
} gs_load_record_t;

/** Prompt block that was added to or evicted from a prefix cache. */
typedef struct
{
  bool evicted;   /**< otherwise added */
  uint64_t block; /**< hash of the block */
} gs_cache_record_t;

/** @return the digest that nodes send in place of an upstream's name. */
uint32_t gs_upstream_digest (const char *name);

/** Append packed records to @p out. */
void gs_loads_pack (GByteArray *out, const gs_load_record_t *records,
                    size_t count);

/** Append the records in @p data to @p out (of gs_load_record_t).
    @return GS_OK, or GS_EINVAL with nothing appended */
gs_status_t gs_loads_unpack (GArray *out, const char *data, size_t length);

/** Append packed records to @p out. */
void gs_cache_pack (GByteArray *out, const gs_cache_record_t *records,
                    size_t count);

/** Append the records in @p data to @p out (of gs_cache_record_t).
    @return as gs_loads_unpack() */
gs_status_t gs_cache_unpack (GArray *out, const char *data, size_t length);

#endif
