/**
 * @file flood.h
 * Rate limit for equal log lines.  The caller passes the time and holds a lock
 * if threads share the table.
 */
#ifndef GS_UTIL_FLOOD_H
#define GS_UTIL_FLOOD_H

#include <stdbool.h>
#include <stdint.h>

/** Limit of equal lines per second; more are suppressed and counted. */
#define GS_FLOOD_LINES_PER_SEC_MAX 20

#define GS_FLOOD_SETS 64
#define GS_FLOOD_WAYS 4

typedef struct
{
  uint64_t hash;  /**< of the line, 0 when the slot is free */
  int64_t second; /**< to which the counts belong */
  unsigned written;
  unsigned suppressed;
} gs_flood_slot_t;

typedef struct
{
  gs_flood_slot_t slots[GS_FLOOD_SETS][GS_FLOOD_WAYS];
} gs_flood_t;

/**
 * Decide whether to write a line.
 * @param hash hash of the line without its timestamp
 * @param second current time in seconds
 * @param suppressed receives the number of equal lines suppressed since the
 * previous one that was written
 * @return true if the line is to be written
 */
bool gs_flood_line_admit (gs_flood_t *flood, uint64_t hash, int64_t second,
                          unsigned *suppressed);

#endif
