#include "routing/prefix.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Entries per bucket.  The hash of a block selects its bucket.  */
#define BUCKET_ENTRIES 8
/* A lookup returns no more holders, so further ones for one block only take
   space from other blocks.  */
#define HOLDERS_PER_HASH_MAX GS_PREFIX_HOLDERS_MAX
#define ENTRY_TTL (600 * GS_SEC)
/* Lifetime of entries that were added before cache events were missed.  */
#define STALE_ENTRY_TTL (20 * GS_SEC)
/* Every block up to this number is a probe position.  */
#define DENSE_POSITIONS 8
#define POSITIONS_PER_DOUBLING 4

typedef struct
{
  uint64_t hash;
  uint32_t added_sec; /* time of the latest addition, in seconds */
  uint16_t slot;      /* plus 1; 0 for a free entry */
  uint16_t epoch;     /* of the replica when the entry was added */
} index_entry_t;

typedef struct
{
  gs_time_t stale_before; /* when events were last missed, 0 for never */
  uint16_t epoch;         /* entries with another epoch are invalid */
} index_slot_t;

struct gs_prefix_index
{
  index_entry_t *entries;
  size_t bucket_mask;
  index_slot_t *slot_states;
  size_t slot_count;
};

uint64_t
gs_prefix_chain_next (uint64_t parent, const void *block, size_t length)
{
  return XXH3_64bits_withSeed (block, length, parent);
}

size_t
gs_prefix_chain (uint64_t *out, size_t max, const void *prompt, size_t length)
{
  const char *text = prompt;
  size_t count = MIN (length / GS_PREFIX_BLOCK_BYTES, max);
  uint64_t parent = 0;

  for (size_t i = 0; i < count; i++)
    {
      parent = gs_prefix_chain_next (parent, text + i * GS_PREFIX_BLOCK_BYTES,
                                     GS_PREFIX_BLOCK_BYTES);
      out[i] = parent;
    }
  return count;
}

/* Return the position after a prefix of the given length.  Every block is a
   position at first; then the stride doubles as the length doubles.  */
static size_t
next_position (size_t blocks)
{
  size_t stride = 1;

  while (blocks >= (size_t)DENSE_POSITIONS * stride)
    stride *= 2;
  if (stride > 1)
    stride = MAX (
        (size_t)DENSE_POSITIONS * stride / 2 / POSITIONS_PER_DOUBLING, 1);
  return blocks + stride;
}

void
gs_prefix_probe_select (gs_prefix_probe_t *out, const uint64_t *hashes,
                        size_t count)
{
  out->count = 0;
  for (size_t blocks = 1;
       blocks <= count && out->count < GS_PREFIX_POSITIONS_MAX;
       blocks = next_position (blocks))
    {
      out->blocks[out->count] = (uint16_t)blocks;
      out->hashes[out->count] = hashes[blocks - 1];
      out->count++;
    }
}

void
gs_prefix_probe_hash (gs_prefix_probe_t *out, const void *prompt,
                      size_t length)
{
  const char *text = prompt;
  size_t count = length / GS_PREFIX_BLOCK_BYTES;
  size_t next = 1;
  uint64_t parent = 0;

  out->count = 0;
  for (size_t i = 0; i < count && out->count < GS_PREFIX_POSITIONS_MAX; i++)
    {
      parent = gs_prefix_chain_next (parent, text + i * GS_PREFIX_BLOCK_BYTES,
                                     GS_PREFIX_BLOCK_BYTES);
      if (i + 1 != next)
        continue;
      out->blocks[out->count] = (uint16_t)next;
      out->hashes[out->count] = parent;
      out->count++;
      next = next_position (next);
    }
}

void
gs_prefix_index_create (gs_prefix_index_t **out, size_t capacity,
                        size_t slot_count)
{
  gs_prefix_index_t *index = g_new0 (gs_prefix_index_t, 1);
  size_t buckets = 1;

  while (buckets * BUCKET_ENTRIES < capacity)
    buckets *= 2;
  index->entries = g_new0 (index_entry_t, buckets * BUCKET_ENTRIES);
  index->bucket_mask = buckets - 1;
  index->slot_states = g_new0 (index_slot_t, slot_count);
  index->slot_count = slot_count;
  *out = index;
}

void
gs_prefix_index_destroy (gs_prefix_index_t *index)
{
  if (index == NULL)
    return;
  g_free (index->slot_states);
  g_free (index->entries);
  g_free (index);
}

static index_entry_t *
bucket_of (const gs_prefix_index_t *index, uint64_t hash)
{
  return &index->entries[(hash & index->bucket_mask) * BUCKET_ENTRIES];
}

static uint32_t
seconds_of (gs_time_t now)
{
  return (uint32_t)(now / GS_SEC);
}

/* Return whether an entry is valid: neither invalidated nor expired.  */
static bool
is_valid (const gs_prefix_index_t *index, const index_entry_t *entry,
          uint32_t now)
{
  const index_slot_t *slot_state;
  uint32_t age = now - entry->added_sec;

  if (entry->slot == 0)
    return false;
  slot_state = &index->slot_states[entry->slot - 1];
  if (slot_state->epoch != entry->epoch)
    return false;
  if (slot_state->stale_before != 0
      && entry->added_sec < seconds_of (slot_state->stale_before))
    return age < STALE_ENTRY_TTL / GS_SEC;
  return age < ENTRY_TTL / GS_SEC;
}

/* Return the entry to replace: an invalid one, else the oldest one of the same
   hash if that has its maximum number of holders, else the oldest one of the
   bucket.  */
static index_entry_t *
choose_victim (const gs_prefix_index_t *index, index_entry_t *bucket,
               uint64_t hash, uint32_t now)
{
  index_entry_t *oldest = bucket;
  index_entry_t *oldest_same = NULL;
  unsigned same = 0;

  for (unsigned i = 0; i < BUCKET_ENTRIES; i++)
    {
      index_entry_t *entry = &bucket[i];

      if (!is_valid (index, entry, now))
        return entry;
      if (entry->added_sec < oldest->added_sec)
        oldest = entry;
      if (entry->hash != hash)
        continue;
      same++;
      if (oldest_same == NULL || entry->added_sec < oldest_same->added_sec)
        oldest_same = entry;
    }
  return same >= HOLDERS_PER_HASH_MAX ? oldest_same : oldest;
}

void
gs_prefix_index_add (gs_prefix_index_t *index, gs_time_t now, uint16_t slot,
                     uint64_t hash)
{
  index_entry_t *bucket = bucket_of (index, hash);
  index_entry_t *entry = NULL;

  if (slot >= index->slot_count)
    return;
  for (unsigned i = 0; i < BUCKET_ENTRIES && entry == NULL; i++)
    if (bucket[i].hash == hash && bucket[i].slot == slot + 1)
      entry = &bucket[i];
  if (entry == NULL)
    entry = choose_victim (index, bucket, hash, seconds_of (now));
  entry->hash = hash;
  entry->slot = (uint16_t)(slot + 1);
  entry->added_sec = seconds_of (now);
  entry->epoch = index->slot_states[slot].epoch;
}

void
gs_prefix_index_evict (gs_prefix_index_t *index, uint16_t slot, uint64_t hash)
{
  index_entry_t *bucket = bucket_of (index, hash);

  for (unsigned i = 0; i < BUCKET_ENTRIES; i++)
    if (bucket[i].hash == hash && bucket[i].slot == slot + 1)
      bucket[i].slot = 0;
}

void
gs_prefix_index_slot_mark_stale (gs_prefix_index_t *index, gs_time_t now,
                                 uint16_t slot)
{
  if (slot < index->slot_count)
    index->slot_states[slot].stale_before = now;
}

void
gs_prefix_index_slot_clear (gs_prefix_index_t *index, uint16_t slot)
{
  if (slot >= index->slot_count)
    return;
  index->slot_states[slot].epoch++;
  index->slot_states[slot].stale_before = 0;
}

static bool
has_holder (const gs_prefix_holder_t *holders, size_t count, uint16_t slot)
{
  for (size_t i = 0; i < count; i++)
    if (holders[i].slot == slot)
      return true;
  return false;
}

size_t
gs_prefix_index_lookup (const gs_prefix_index_t *index, gs_time_t now,
                        const gs_prefix_probe_t *probe,
                        gs_prefix_holder_t *holders)
{
  uint32_t seconds = seconds_of (now);
  size_t count = 0;

  for (unsigned position = probe->count; position > 0; position--)
    {
      uint64_t hash = probe->hashes[position - 1];
      const index_entry_t *bucket = bucket_of (index, hash);

      for (unsigned i = 0; i < BUCKET_ENTRIES; i++)
        {
          uint16_t slot = (uint16_t)(bucket[i].slot - 1);

          if (bucket[i].hash != hash || !is_valid (index, &bucket[i], seconds)
              || has_holder (holders, count, slot))
            continue;
          holders[count].slot = slot;
          holders[count].blocks = probe->blocks[position - 1];
          if (++count == GS_PREFIX_HOLDERS_MAX)
            return count;
        }
    }
  return count;
}

void
gs_prefix_index_add_probe (gs_prefix_index_t *index, gs_time_t now,
                           uint16_t slot, const gs_prefix_probe_t *probe)
{
  for (unsigned i = 0; i < probe->count; i++)
    gs_prefix_index_add (index, now, slot, probe->hashes[i]);
}

size_t
gs_prefix_index_bytes (const gs_prefix_index_t *index)
{
  return sizeof *index
         + (index->bucket_mask + 1) * BUCKET_ENTRIES * sizeof *index->entries
         + index->slot_count * sizeof *index->slot_states;
}
