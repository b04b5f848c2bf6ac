/**
 * @file resend_budget.h
 * Limits how many requests of a service are sent again.  In any window all
 * nodes together may resend a ratio of the requests plus a fixed number (the
 * slack).  Each node uses the ratio of its own requests and an equal part of
 * the slack without communicating, so the bound also holds between nodes that
 * are partitioned.  A process does not know what the one before it on its VM
 * has sent within the window.  So a process takes half of its part, and one
 * that starts after another one half of what that took, until the window has
 * passed: all processes in a series of restarts take no more than the part.
 * The functions read no clock and do no I/O.
 */
#ifndef GS_POLICY_RESEND_BUDGET_H
#define GS_POLICY_RESEND_BUDGET_H

#include "garnetstack/clock.h"

#include <stdbool.h>

/** Bins of the sliding window, one more than a window spans. */
#define RESEND_BIN_COUNT 20

/** Requests and resends of one service at this node. */
typedef struct
{
  gs_time_t bin_length;
  gs_time_t bin_start; /**< of the newest bin; 0 before the first use */
  gs_time_t slack_at;  /**< when no process before this one counts */
  unsigned newest;     /**< index of the newest bin */
  unsigned requests[RESEND_BIN_COUNT];
  unsigned resends[RESEND_BIN_COUNT];
  unsigned nodes[RESEND_BIN_COUNT]; /**< most nodes that shared the slack */
} resend_budget_t;

/** Bound on the resends in a window. */
typedef struct
{
  double ratio;   /**< resends per request */
  unsigned slack; /**< additional resends of all nodes together */
  unsigned nodes; /**< that share the slack */
  bool restarts_known;
  unsigned restarts; /**< place of this process in a series of restarts: 0 if
                          no process was before it */
} resend_bounds_t;

/** @param started_at when this process started */
void resend_budget_init (resend_budget_t *budget, gs_time_t window,
                         gs_time_t started_at);

/** Count a request of a caller. */
void resend_budget_request_record (resend_budget_t *budget, gs_time_t now);

/** Count a resend if the budget allows one.
    @return whether the request may be sent again */
bool resend_budget_take (resend_budget_t *budget, gs_time_t now,
                         const resend_bounds_t *bounds);

/** Use of a budget in the current window. */
typedef struct
{
  unsigned requests;
  unsigned resends;
  unsigned nodes; /**< most that shared the slack */
  double allowed; /**< resends in the window */
} resend_use_t;

void resend_budget_use_get (resend_budget_t *budget, gs_time_t now,
                            const resend_bounds_t *bounds, resend_use_t *out);

/** @return resends that the budget allows now; may be negative */
double resend_budget_remaining (resend_budget_t *budget, gs_time_t now,
                                const resend_bounds_t *bounds);

#endif
