/**
 * @file quota.h
 * What each client account may use in a window, over all nodes: any span of
 * the window's length counts.  Each node has an equal share.  Half of it is
 * its own; the rest is a pool from which nodes draw, by what they last told
 * each other, so that callers who come to a few nodes only are served as well.
 *
 * The load it answers: many small shares of an account whose requests are
 * large, where a share refilled by the second refuses requests although the
 * account uses half of its limit; and accounts that ask for many times their
 * limit at once, at all nodes, while nodes are lost or can't hear each other.
 */
#ifndef GS_GATEWAY_QUOTA_H
#define GS_GATEWAY_QUOTA_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Accounts that a node tells of. */
#define QUOTA_ROWS_MAX 256

typedef struct quota quota_t;

/** What a node has used of an account in the last window. */
typedef struct
{
  uint64_t account; /**< gs_limits_name_hash() of it */
  uint64_t used;
  uint64_t carried; /**< what a node that started less than a window ago takes
                         its predecessor to have used besides */
} quota_row_t;

/** The fleet that shares the limits. */
typedef struct
{
  unsigned members; /**< nodes, this one included, heard or not */
  gs_time_t fresh;  /**< what another told counts as known for so long */
  gs_time_t lag;    /**< longest time from a use to its being counted by all
                         who hear of it */
} quota_fleet_t;

/**
 * @param window length of the spans that count, above 0
 * @param started when this process began
 * @param first true when no process was there before it
 */
void quota_create (quota_t **out, gs_time_t window, gs_time_t started,
                   bool first);
void quota_destroy (quota_t *quota);

/** Set how much of an account all nodes may use in a window, in tokens or
    requests. */
void quota_set (quota_t *quota, uint64_t account, double most);

/** Set the fleet; a smaller number of members counts once a window has
    passed. */
void quota_set_fleet (quota_t *quota, gs_time_t now,
                      const quota_fleet_t *fleet);

/** Take what another node told at @p heard_at. */
void quota_import (quota_t *quota, gs_time_t heard_at, uint64_t node,
                   const quota_row_t *rows, size_t count);

/** @return rows written, those of accounts in use */
size_t quota_export (quota_t *quota, gs_time_t now, quota_row_t *rows,
                     size_t max);

/**
 * Count an amount against an account, if there is room.
 * @param again when there is room as far as is known, as a span from now; set
 * when refused
 * @return GS_OK, or GS_EREFUSED
 */
gs_status_t quota_admit (quota_t *quota, gs_time_t now, uint64_t account,
                         double amount, gs_time_t *again);

/** Give back what was counted for a request that has not run. */
void quota_cancel (quota_t *quota, gs_time_t now, uint64_t account,
                   double amount);

/** @return what this node could use of an account now */
double quota_room (quota_t *quota, gs_time_t now, uint64_t account);

#endif
