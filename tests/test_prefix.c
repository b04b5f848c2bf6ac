#include "check.h"

#include "garnetstack/prefix.h"

#include <string.h>

#define SLOTS 32
#define START (1000 * GS_SEC)

static gs_prefix_probe_t
probe_of (const char *prompt)
{
  gs_prefix_probe_t probe;

  gs_prefix_probe_hash (&probe, prompt, strlen (prompt));
  return probe;
}

static void
fill (char *out, size_t length, char character)
{
  memset (out, character, length);
  out[length] = '\0';
}

static void
a_block_hash_covers_all_blocks_before_it (void)
{
  char first[3 * GS_PREFIX_BLOCK_BYTES + 1];
  char second[3 * GS_PREFIX_BLOCK_BYTES + 1];
  uint64_t a[4];
  uint64_t b[4];

  fill (first, sizeof first - 1, 'a');
  fill (second, sizeof second - 1, 'a');
  second[GS_PREFIX_BLOCK_BYTES] = 'b';
  CU_ASSERT_EQUAL (gs_prefix_chain (a, 4, first, strlen (first)), 3);
  CU_ASSERT_EQUAL (gs_prefix_chain (b, 4, second, strlen (second) - 1), 2);
  CU_ASSERT_EQUAL (a[0], b[0]);
  CU_ASSERT_NOT_EQUAL (a[1], b[1]);
  CU_ASSERT_NOT_EQUAL (a[0], a[1]);
}

static void
prompts_of_different_length_share_positions (void)
{
  uint64_t hashes[300];
  gs_prefix_probe_t longer;
  gs_prefix_probe_t shorter;

  for (size_t i = 0; i < 300; i++)
    hashes[i] = i + 1;
  gs_prefix_probe_select (&longer, hashes, 300);
  gs_prefix_probe_select (&shorter, hashes, 100);
  CU_ASSERT (longer.count <= GS_PREFIX_POSITIONS_MAX);
  CU_ASSERT (longer.blocks[longer.count - 1] >= 200);
  for (unsigned i = 0; i < shorter.count; i++)
    CU_ASSERT_EQUAL (shorter.blocks[i], longer.blocks[i]);
}

typedef enum
{
  NO_CHANGE,
  EVICT_BLOCK,
  MARK_STALE,
  CLEAR_SLOT,
  MARK_STALE_AND_ADD
} index_change_t;

static void
entries_end_by_eviction_restart_missed_events_and_age (void)
{
  static const struct
  {
    index_change_t change;
    gs_time_t later;
    size_t holders;
  } rows[] = {
    { NO_CHANGE, 300 * GS_SEC, 1 },
    { NO_CHANGE, 700 * GS_SEC, 0 },
    { EVICT_BLOCK, 0, 0 },
    { CLEAR_SLOT, 0, 0 },
    { MARK_STALE, 5 * GS_SEC, 1 },
    { MARK_STALE, 60 * GS_SEC, 0 },
    { MARK_STALE_AND_ADD, 60 * GS_SEC, 1 },
  };
  char prompt[GS_PREFIX_BLOCK_BYTES + 1];
  gs_prefix_holder_t holders[GS_PREFIX_HOLDERS_MAX];

  fill (prompt, GS_PREFIX_BLOCK_BYTES, 'x');
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      gs_prefix_probe_t probe = probe_of (prompt);
      gs_prefix_index_t *index;
      gs_time_t now = START + 2 * GS_SEC;

      gs_prefix_index_create (&index, 256, SLOTS);
      gs_prefix_index_add_probe (index, START, 3, &probe);
      if (rows[i].change == EVICT_BLOCK)
        gs_prefix_index_evict (index, 3, probe.hashes[0]);
      if (rows[i].change == CLEAR_SLOT)
        gs_prefix_index_slot_clear (index, 3);
      if (rows[i].change == MARK_STALE || rows[i].change == MARK_STALE_AND_ADD)
        gs_prefix_index_slot_mark_stale (index, now, 3);
      if (rows[i].change == MARK_STALE_AND_ADD)
        gs_prefix_index_add (index, now, 3, probe.hashes[0]);
      CU_ASSERT_EQUAL (gs_prefix_index_lookup (index, START + rows[i].later,
                                               &probe, holders),
                       rows[i].holders);
      gs_prefix_index_destroy (index);
    }
}

static void
the_longest_prefix_comes_first_and_memory_is_bounded (void)
{
  gs_prefix_index_t *index;
  gs_prefix_holder_t holders[GS_PREFIX_HOLDERS_MAX];
  gs_prefix_probe_t probe;
  uint64_t hashes[8];
  size_t bytes;

  for (size_t i = 0; i < 8; i++)
    hashes[i] = (i + 1) * 0x9e3779b97f4a7c15U;
  gs_prefix_probe_select (&probe, hashes, 8);
  gs_prefix_index_create (&index, 1024, SLOTS);
  bytes = gs_prefix_index_bytes (index);
  for (uint64_t i = 0; i < 100000; i++)
    gs_prefix_index_add (index, START, (uint16_t)(i % SLOTS),
                         i * 0xbf58476d1ce4e5b9U);
  CU_ASSERT_EQUAL (gs_prefix_index_bytes (index), bytes);
  for (uint16_t slot = 0; slot < SLOTS; slot++)
    gs_prefix_index_add (index, START + GS_SEC, slot, hashes[0]);
  gs_prefix_index_add (index, START + GS_SEC, 7, hashes[5]);
  CU_ASSERT_EQUAL (
      gs_prefix_index_lookup (index, START + GS_SEC, &probe, holders),
      GS_PREFIX_HOLDERS_MAX);
  CU_ASSERT_EQUAL (holders[0].slot, 7);
  CU_ASSERT_EQUAL (holders[0].blocks, 6);
  CU_ASSERT_EQUAL (holders[1].blocks, 1);
  gs_prefix_index_destroy (index);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "a_block_hash_covers_all_blocks_before_it",
      a_block_hash_covers_all_blocks_before_it },
    { "prompts_of_different_length_share_positions",
      prompts_of_different_length_share_positions },
    { "entries_end_by_eviction_restart_missed_events_and_age",
      entries_end_by_eviction_restart_missed_events_and_age },
    { "the_longest_prefix_comes_first_and_memory_is_bounded",
      the_longest_prefix_comes_first_and_memory_is_bounded },
  };

  return CHECK_RUN ("prefix", cases);
}
