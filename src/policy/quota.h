/**
 * @file quota.h
 * Limits what each client account may use in a sliding window, over all nodes:
 * the limit holds for any span of the window's length.  Each node has an equal
 * share of the limit.  Half of the share is reserved for the node; the rest of
 * all shares is a pool from which nodes draw according to the use that they
 * last reported to each other, so that callers who use only a few nodes are
 * served as well.
 *
 * The algorithm is made for two kinds of load.  In a fleet of many nodes a
 * share may be small compared with the requests; a token bucket that is
 * refilled each second would reject requests although the account uses half of
 * its limit.  And an account may ask for many times its limit at once, at all
 * nodes, while nodes fail or are partitioned.
 */
#ifndef GS_POLICY_QUOTA_H
#define GS_POLICY_QUOTA_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Accounts that a node reports to its peers. */
#define QUOTA_ROWS_MAX 256

typedef struct quota quota_t;

/** What a node, or several nodes together, have used of an account in the last
    window, in tokens or requests. */
typedef struct
{
  uint64_t account; /**< gs_limits_name_hash() of the account */
  uint32_t nodes;   /**< nodes with use; 0 in reports of a single node without
                         the fields after predecessor_used */
  uint64_t used;
  /** Estimated use by the process that ran at this node before; 0 once the
      present process runs for longer than a window. */
  uint64_t predecessor_used;
  uint64_t held; /**< by each node its use or its reserved share, whichever is
                      more */
  uint32_t restarted_nodes; /**< nodes with use of a predecessor */
  uint64_t restarted_used;  /**< by these nodes, without predecessors */
  uint64_t demand;          /**< asked for per second, admitted or not */
  uint32_t tells_demand;    /**< 0 if the demand of some node is not known */
} quota_row_t;

/** The nodes that share the limits. */
typedef struct
{
  unsigned members;     /**< nodes, including this one and unreachable ones */
  gs_time_t report_ttl; /**< a peer's report is stale after this time */
  gs_time_t lag; /**< longest time until a use is counted by all nodes that
                      receive the report of it */
} quota_fleet_t;

/**
 * @param out receives the quota; freed with quota_destroy()
 * @param window length of the sliding window, above 0
 * @param started when this process began
 * @param first_start true if no earlier process of this node may have used
 * anything
 */
void quota_create (quota_t **out, gs_time_t window, gs_time_t started,
                   bool first_start);
void quota_destroy (quota_t *quota);

/** Set the limit of an account: what all nodes together may use in a window,
    in tokens or requests.  An account without a limit is never rejected. */
void quota_limit_set (quota_t *quota, uint64_t account, double limit);

/** Set the nodes that share the limits.  A smaller number of members takes
    effect after one window, as the use of removed nodes still counts. */
void quota_fleet_set (quota_t *quota, gs_time_t now,
                      const quota_fleet_t *fleet);

/** Fill in what the report of a single node lacks if it comes in a form that
    has the first fields only. */
void quota_row_complete (quota_row_t *row);

/** Replace a report by the one received at @p received_at.
    @param source identifies the node, or the set of nodes, that the report is
    about; no node may be in two of them
    @param nodes number of nodes added up in the report; those that a row does
    not count have not used the account */
void quota_report_import (quota_t *quota, gs_time_t received_at,
                          uint64_t source, unsigned nodes,
                          const quota_row_t *rows, size_t count);

/** Forget all reports, since the next ones come from other sets of nodes. */
void quota_reports_clear (quota_t *quota);

/** Write the report for the peers.
    @return number of rows written; accounts without use are left out */
size_t quota_report_export (quota_t *quota, gs_time_t now, quota_row_t *rows,
                            size_t max);

/**
 * Count an amount against the limit of an account, if the limit allows it.
 * @param retry_after receives the time until the amount is expected to be
 * admitted; 0 if it is admitted now
 * @return GS_OK, or GS_EREFUSED
 */
gs_status_t quota_admit (quota_t *quota, gs_time_t now, uint64_t account,
                         double amount, gs_time_t *retry_after);

/** Take back the amount that was counted for a request that did not run. */
void quota_cancel (quota_t *quota, gs_time_t now, uint64_t account,
                   double amount);

/** @return the amount that this node may still use of an account now; 0 if
    the account has no limit */
double quota_available (quota_t *quota, gs_time_t now, uint64_t account);

#endif
