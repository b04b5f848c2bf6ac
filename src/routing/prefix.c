#include "routing/prefix.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Entries per bucket.  The hash of a block selects its bucket.  */
#define WAYS 8
/* A lookup returns no more holders, so further ones for one block only take
   space from other blocks.  */
#define HOLDERS_PER_HASH GS_PREFIX_HOLDERS_MAX
#define AGE_MAX (600 * GS_SEC)
#define DOUBTFUL_AGE_MAX (20 * GS_SEC)
#define DENSE_BLOCKS 8
#define STRIDE_STEPS 4

typedef struct
{
  uint64_t hash;
  uint32_t seen;  /* time of the latest addition, in seconds */
  uint16_t slot;  /* plus 1; 0 for a free entry */
  uint16_t epoch; /* of the replica when the entry was added */
} entry_t;

typedef struct
{
  gs_time_t gap_at; /* when missed events were last detected, 0 for never */
  uint16_t epoch;   /* entries with another epoch are invalid */
} source_t;

struct gs_prefix_index
{
  entry_t *entries;
  size_t bucket_mask;
  source_t *sources;
  size_t slots;
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

  while (blocks >= (size_t)DENSE_BLOCKS * stride)
    stride *= 2;
  if (stride > 1)
    stride = MAX ((size_t)DENSE_BLOCKS * stride / 2 / STRIDE_STEPS, 1);
  return blocks + stride;
}

void
gs_prefix_probe_select (gs_prefix_probe_t *out, const uint64_t *hashes,
                        size_t count)
{
  out->count = 0;
  for (size_t blocks = 1; blocks <= count && out->count < GS_PREFIX_PROBES_MAX;
       blocks = next_position (blocks))
    {
      out->blocks[out->count] = (uint16_t)blocks;
      out->hashes[out->count] = hashes[blocks - 1];
      out->count++;
    }
}

void
gs_prefix_probe (gs_prefix_probe_t *out, const void *prompt, size_t length)
{
  const char *text = prompt;
  size_t count = length / GS_PREFIX_BLOCK_BYTES;
  size_t wanted = 1;
  uint64_t parent = 0;

  out->count = 0;
  for (size_t i = 0; i < count && out->count < GS_PREFIX_PROBES_MAX; i++)
    {
      parent = gs_prefix_chain_next (parent, text + i * GS_PREFIX_BLOCK_BYTES,
                                     GS_PREFIX_BLOCK_BYTES);
      if (i + 1 != wanted)
        continue;
      out->blocks[out->count] = (uint16_t)wanted;
      out->hashes[out->count] = parent;
      out->count++;
      wanted = next_position (wanted);
    }
}

void
gs_prefix_index_create (gs_prefix_index_t **out, size_t blocks, size_t slots)
{
  gs_prefix_index_t *index = g_new0 (gs_prefix_index_t, 1);
  size_t buckets = 1;

  while (buckets * WAYS < blocks)
    buckets *= 2;
  index->entries = g_new0 (entry_t, buckets * WAYS);
  index->bucket_mask = buckets - 1;
  index->sources = g_new0 (source_t, slots);
  index->slots = slots;
  *out = index;
}

void
gs_prefix_index_destroy (gs_prefix_index_t *index)
{
  if (index == NULL)
    return;
  g_free (index->sources);
  g_free (index->entries);
  g_free (index);
}

static entry_t *
bucket_of (const gs_prefix_index_t *index, uint64_t hash)
{
  return &index->entries[(hash & index->bucket_mask) * WAYS];
}

static uint32_t
seconds_of (gs_time_t now)
{
  return (uint32_t)(now / GS_SEC);
}

/* Return whether an entry is valid: neither invalidated nor expired.  */
static bool
is_known (const gs_prefix_index_t *index, const entry_t *entry, uint32_t now)
{
  const source_t *source;
  uint32_t age = now - entry->seen;

  if (entry->slot == 0)
    return false;
  source = &index->sources[entry->slot - 1];
  if (source->epoch != entry->epoch)
    return false;
  if (source->gap_at != 0 && entry->seen < seconds_of (source->gap_at))
    return age < DOUBTFUL_AGE_MAX / GS_SEC;
  return age < AGE_MAX / GS_SEC;
}

/* Return the entry to replace: an invalid one, else the oldest one of the same
   hash if that has its maximum number of holders, else the oldest one of the
   bucket.  */
static entry_t *
victim (const gs_prefix_index_t *index, entry_t *bucket, uint64_t hash,
        uint32_t now)
{
  entry_t *oldest = bucket;
  entry_t *oldest_same = NULL;
  unsigned same = 0;

  for (unsigned i = 0; i < WAYS; i++)
    {
      entry_t *entry = &bucket[i];

      if (!is_known (index, entry, now))
        return entry;
      if (entry->seen < oldest->seen)
        oldest = entry;
      if (entry->hash != hash)
        continue;
      same++;
      if (oldest_same == NULL || entry->seen < oldest_same->seen)
        oldest_same = entry;
    }
  return same >= HOLDERS_PER_HASH ? oldest_same : oldest;
}

void
gs_prefix_index_add (gs_prefix_index_t *index, gs_time_t now, uint16_t slot,
                     uint64_t hash)
{
  entry_t *bucket = bucket_of (index, hash);
  entry_t *entry = NULL;

  if (slot >= index->slots)
    return;
  for (unsigned i = 0; i < WAYS && entry == NULL; i++)
    if (bucket[i].hash == hash && bucket[i].slot == slot + 1)
      entry = &bucket[i];
  if (entry == NULL)
    entry = victim (index, bucket, hash, seconds_of (now));
  entry->hash = hash;
  entry->slot = (uint16_t)(slot + 1);
  entry->seen = seconds_of (now);
  entry->epoch = index->sources[slot].epoch;
}

void
gs_prefix_index_evict (gs_prefix_index_t *index, uint16_t slot, uint64_t hash)
{
  entry_t *bucket = bucket_of (index, hash);

  for (unsigned i = 0; i < WAYS; i++)
    if (bucket[i].hash == hash && bucket[i].slot == slot + 1)
      bucket[i].slot = 0;
}

void
gs_prefix_index_gap (gs_prefix_index_t *index, gs_time_t now, uint16_t slot)
{
  if (slot < index->slots)
    index->sources[slot].gap_at = now;
}

void
gs_prefix_index_forget (gs_prefix_index_t *index, uint16_t slot)
{
  if (slot >= index->slots)
    return;
  index->sources[slot].epoch++;
  index->sources[slot].gap_at = 0;
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

  for (unsigned p = probe->count; p > 0; p--)
    {
      uint64_t hash = probe->hashes[p - 1];
      const entry_t *bucket = bucket_of (index, hash);

      for (unsigned i = 0; i < WAYS; i++)
        {
          uint16_t slot = (uint16_t)(bucket[i].slot - 1);

          if (bucket[i].hash != hash || !is_known (index, &bucket[i], seconds)
              || has_holder (holders, count, slot))
            continue;
          holders[count].slot = slot;
          holders[count].blocks = probe->blocks[p - 1];
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
         + (index->bucket_mask + 1) * WAYS * sizeof *index->entries
         + index->slots * sizeof *index->sources;
}
