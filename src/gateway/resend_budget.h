/**
 * @file resend_budget.h
 * How many requests of a service may be sent once more.  All nodes together
 * have a share of the requests and a fixed number in any window; each node
 * spends its part without asking, so that the bound also holds between nodes
 * that do not hear each other.  Plain functions.
 */
#ifndef GS_GATEWAY_RESEND_BUDGET_H
#define GS_GATEWAY_RESEND_BUDGET_H

#include "garnetstack/clock.h"

#include <stdbool.h>

/** Parts that a window is counted in. */
#define RESEND_BINS 20

typedef struct
{
  gs_time_t bin_length;
  gs_time_t bin_start; /**< of the newest bin */
  unsigned newest;
  unsigned requests[RESEND_BINS];
  unsigned resends[RESEND_BINS];
} resend_budget_t;

typedef struct
{
  double ratio;   /**< resends for each request */
  unsigned slack; /**< resends besides, of all nodes together */
  unsigned nodes;
} resend_bounds_t;

void resend_budget_init (resend_budget_t *budget, gs_time_t window);

/** Note a caller's request. */
void resend_budget_note (resend_budget_t *budget, gs_time_t now);

/** Take one resend. @return whether there was one. */
bool resend_budget_take (resend_budget_t *budget, gs_time_t now,
                         const resend_bounds_t *bounds);

/** @return resends that are left now. */
double resend_budget_left (resend_budget_t *budget, gs_time_t now,
                           const resend_bounds_t *bounds);

#endif
