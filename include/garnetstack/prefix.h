/**
 * @file prefix.h
 * Hashes of prompt prefixes in blocks of fixed size, and a bounded index of
 * the replicas that cache each block.  Cache events arrive late and some are
 * lost, so the index is only a hint: entries expire, and entries of a replica
 * with missed events expire sooner.
 */
#ifndef GARNETSTACK_PREFIX_H
#define GARNETSTACK_PREFIX_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of prompt text in a prompt block. */
#define GS_PREFIX_BLOCK_BYTES 128
/** Estimated number of tokens in a prompt block. */
#define GS_PREFIX_BLOCK_TOKENS 32
/** Upper bound on the positions at which a prompt is looked up. */
#define GS_PREFIX_POSITIONS_MAX 32
/** Upper bound on the holders that a lookup returns. */
#define GS_PREFIX_HOLDERS_MAX 6

/**
 * Compute the hash of a block, which also covers all blocks before it.
 * @param parent hash of the previous block, 0 for the first one
 * @param length of the block, in bytes
 * @return hash, the parent of the next block
 */
uint64_t gs_prefix_chain_next (uint64_t parent, const void *block,
                               size_t length);

/**
 * Compute the hashes of all complete blocks of a prompt.
 * @param out room for @p max hashes
 * @param length of the prompt, in bytes
 * @return number of hashes written
 */
size_t gs_prefix_chain (uint64_t *out, size_t max, const void *prompt,
                        size_t length);

/** Prefix hashes of a prompt at the positions that are looked up in the index:
    every block at first, then with growing strides.  The positions do not
    depend on the length of the prompt, so prompts with a common prefix share
    them. */
typedef struct
{
  uint16_t count;
  uint16_t blocks[GS_PREFIX_POSITIONS_MAX]; /**< length of each prefix */
  uint64_t hashes[GS_PREFIX_POSITIONS_MAX];
} gs_prefix_probe_t;

/** Compute the hashes of a prompt at the probe positions.  Reads the prompt
    only up to the last position.
    @param length of the prompt, in bytes */
void gs_prefix_probe_hash (gs_prefix_probe_t *out, const void *prompt,
                           size_t length);

/** Select the probe positions from the hashes of all blocks. */
void gs_prefix_probe_select (gs_prefix_probe_t *out, const uint64_t *hashes,
                             size_t count);

typedef struct gs_prefix_index gs_prefix_index_t;

/** A replica and the longest prefix that it is believed to cache. */
typedef struct
{
  uint16_t slot;   /**< of the replica */
  uint16_t blocks; /**< length of the prefix */
} gs_prefix_holder_t;

/**
 * Create an index.
 * @param out receives the index; destroy it with gs_prefix_index_destroy()
 * @param capacity in entries, which are pairs of block and replica; rounded up
 * to a power of two
 * @param slot_count number of replica slots
 */
void gs_prefix_index_create (gs_prefix_index_t **out, size_t capacity,
                             size_t slot_count);

/** Free an index; NULL is ignored. */
void gs_prefix_index_destroy (gs_prefix_index_t *index);

/** Record that a replica caches a block.  May replace an older entry. */
void gs_prefix_index_add (gs_prefix_index_t *index, gs_time_t now,
                          uint16_t slot, uint64_t hash);

/** Record that a replica has evicted a block. */
void gs_prefix_index_evict (gs_prefix_index_t *index, uint16_t slot,
                            uint64_t hash);

/** Record that cache events of a replica were missed.  Its older entries
    expire sooner unless they are added again. */
void gs_prefix_index_slot_mark_stale (gs_prefix_index_t *index, gs_time_t now,
                                      uint16_t slot);

/** Remove all entries of a replica, because it restarted or its slot is
    reused. */
void gs_prefix_index_slot_clear (gs_prefix_index_t *index, uint16_t slot);

/**
 * Find the replicas with the longest known prefixes.  Allocates no memory.
 * @param holders room for GS_PREFIX_HOLDERS_MAX, longest prefix first
 * @return number of holders
 */
size_t gs_prefix_index_lookup (const gs_prefix_index_t *index, gs_time_t now,
                               const gs_prefix_probe_t *probe,
                               gs_prefix_holder_t *holders);

/** Record that a replica is about to compute a prompt and will cache it. */
void gs_prefix_index_add_probe (gs_prefix_index_t *index, gs_time_t now,
                                uint16_t slot, const gs_prefix_probe_t *probe);

/** @return memory used by the index, in bytes. */
size_t gs_prefix_index_bytes (const gs_prefix_index_t *index);

#endif
