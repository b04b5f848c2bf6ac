#include "policy/resend_budget.h"

#include <glib.h>
#include <math.h>

/* Ratio of the bound that a node uses.  The bound holds for any window, and
   nodes count in bins that begin at different times; the rest covers what
   falls into another window at another node (tests/test_resend_budget.c).  */
#define BOUND_USED_RATIO 0.8
/* Part of a node's part of the slack that one process takes; the rest is for
   the processes that start after it within the window.  */
#define SLACK_RATIO 0.5

void
resend_budget_init (resend_budget_t *budget, gs_time_t window,
                    gs_time_t started_at)
{
  /* One bin more than the window spans, as the newest bin is incomplete.  */
  *budget = (resend_budget_t){ .bin_length = window / (RESEND_BIN_COUNT - 1),
                               .slack_at = started_at + window };
}

static void
bins_advance (resend_budget_t *budget, gs_time_t now)
{
  unsigned advanced = 0;

  if (budget->bin_start == 0)
    budget->bin_start = now;
  while (budget->bin_start + budget->bin_length <= now
         && advanced++ < RESEND_BIN_COUNT)
    {
      budget->newest = (budget->newest + 1) % RESEND_BIN_COUNT;
      budget->requests[budget->newest] = 0;
      budget->resends[budget->newest] = 0;
      budget->nodes[budget->newest] = 0;
      budget->bin_start += budget->bin_length;
    }
  if (budget->bin_start + budget->bin_length <= now)
    budget->bin_start = now;
}

void
resend_budget_request_record (resend_budget_t *budget, gs_time_t now)
{
  bins_advance (budget, now);
  budget->requests[budget->newest]++;
}

/* A process takes nothing until the store has its place in the series of
   restarts, so that the next process is able to read it.
   @return ratio of this node's part of the slack that the process takes  */
static double
slack_ratio (const resend_budget_t *budget, gs_time_t now,
             const resend_bounds_t *bounds)
{
  if (now >= budget->slack_at)
    return SLACK_RATIO;
  return bounds->restarts_known ? ldexp (SLACK_RATIO, -(int)bounds->restarts)
                                : 0;
}

void
resend_budget_use_get (resend_budget_t *budget, gs_time_t now,
                       const resend_bounds_t *bounds, resend_use_t *out)
{
  double slack;

  *out = (resend_use_t){ .requests = 0 };
  bins_advance (budget, now);
  budget->nodes[budget->newest]
      = MAX (budget->nodes[budget->newest], MAX (bounds->nodes, 1));
  for (unsigned i = 0; i < RESEND_BIN_COUNT; i++)
    {
      out->requests += budget->requests[i];
      out->resends += budget->resends[i];
      out->nodes = MAX (out->nodes, budget->nodes[i]);
    }
  /* Nodes that left have used their parts within the window.  */
  slack = slack_ratio (budget, now, bounds) * bounds->slack / out->nodes;
  out->allowed = BOUND_USED_RATIO * (bounds->ratio * out->requests + slack);
}

double
resend_budget_remaining (resend_budget_t *budget, gs_time_t now,
                         const resend_bounds_t *bounds)
{
  resend_use_t use;

  resend_budget_use_get (budget, now, bounds, &use);
  return use.allowed - use.resends;
}

bool
resend_budget_take (resend_budget_t *budget, gs_time_t now,
                    const resend_bounds_t *bounds)
{
  if (resend_budget_remaining (budget, now, bounds) < 1)
    return false;
  budget->resends[budget->newest]++;
  return true;
}
