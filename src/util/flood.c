#include "util/flood.h"

#include <stddef.h>

/* A new line replaces the slot with the fewest written lines, so that the
   lines that are repeated most keep their counts.  */
static gs_flood_slot_t *
get_slot (gs_flood_t *flood, uint64_t hash)
{
  gs_flood_slot_t *set = flood->slots[hash % GS_FLOOD_SETS];
  gs_flood_slot_t *fewest = &set[0];

  for (size_t i = 0; i < GS_FLOOD_WAYS; i++)
    {
      if (set[i].hash == hash)
        return &set[i];
      if (set[i].written < fewest->written)
        fewest = &set[i];
    }
  *fewest = (gs_flood_slot_t){ .hash = hash };
  return fewest;
}

bool
gs_flood_line_admit (gs_flood_t *flood, uint64_t hash, int64_t second,
                     unsigned *suppressed)
{
  gs_flood_slot_t *slot = get_slot (flood, hash);

  *suppressed = 0;
  if (slot->second != second)
    {
      *suppressed = slot->suppressed;
      slot->second = second;
      slot->written = 0;
      slot->suppressed = 0;
    }
  if (slot->written >= GS_FLOOD_LINES_PER_SEC_MAX)
    {
      slot->suppressed++;
      return false;
    }
  slot->written++;
  return true;
}
