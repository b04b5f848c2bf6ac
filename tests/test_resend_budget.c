#include "check.h"
#include "garnetstack/rng.h"
#include "policy/resend_budget.h"

#include <string.h>

#define WINDOW (10 * GS_SEC)
#define NODES 5
#define MINUTE (60 * GS_SEC)
#define STEP (10 * GS_MSEC)
#define STEPS (MINUTE / STEP)

static const resend_bounds_t bounds
    = { .ratio = 0.2, .slack = 56, .nodes = NODES, .restarts_known = true };

/* Checks the bound, which is stated for all nodes together, in every window.
 */
static void
check_windows (const unsigned requests[STEPS], const unsigned resends[STEPS])
{
  const size_t span = WINDOW / STEP;

  for (size_t from = 0; from + span <= STEPS; from++)
    {
      unsigned requests_now = 0;
      unsigned requests_before = 0;
      unsigned requests_half_before = 0;
      unsigned resends_now = 0;

      for (size_t i = from; i < from + span; i++)
        {
          requests_now += requests[i];
          resends_now += resends[i];
          if (i >= span)
            requests_before += requests[i - span];
          if (i >= span / 2)
            requests_half_before += requests[i - span / 2];
        }
      /* The checker may count a request up to a window earlier.  */
      requests_now
          = MAX (requests_now, MAX (requests_before, requests_half_before));
      CU_ASSERT_FATAL (resends_now
                       <= bounds.ratio * requests_now + bounds.slack);
    }
}

/* All nodes resend as much as their budgets allow.  */
static void
all_nodes_together_stay_within_the_bound_in_any_window (void)
{
  resend_budget_t budgets[NODES];
  unsigned requests[STEPS] = { 0 };
  unsigned resends[STEPS] = { 0 };
  gs_rng_t rng;

  gs_rng_seed (&rng, 7);
  for (int i = 0; i < NODES; i++)
    resend_budget_init (&budgets[i], WINDOW, GS_SEC);
  for (size_t step = 0; step < STEPS; step++)
    for (int i = 0; i < NODES; i++)
      {
        gs_time_t now = GS_SEC + (gs_time_t)step * STEP;
        /* Alternates between high and low load.  */
        uint64_t level = step / 700 % 2 == 0 ? 60 : 5;

        if (gs_rng_below (&rng, 100) < level)
          {
            resend_budget_request_record (&budgets[i], now);
            requests[step]++;
          }
        resends[step] += resend_budget_take (&budgets[i], now, &bounds);
      }
  check_windows (requests, resends);
}

/* A node knows of the others from this long after its start.  */
#define PEERS_DELAY (200 * GS_MSEC)

/* All nodes are killed at an interval, start and resend as much as they may.
   The first processes have no others before them.  */
static void
restarts_of_all_nodes_do_not_add_to_the_slack (void)
{
  static const gs_time_t intervals[]
      = { 1300 * GS_MSEC, 2 * GS_SEC, 7 * GS_SEC, 11 * GS_SEC, 16 * GS_SEC };

  for (size_t row = 0; row < G_N_ELEMENTS (intervals); row++)
    {
      resend_budget_t budgets[NODES];
      unsigned requests[STEPS] = { 0 };
      unsigned resends[STEPS] = { 0 };
      gs_time_t started_at = 0;
      unsigned sum = 0;
      unsigned restarts = 0;

      for (size_t step = 0; step < STEPS; step++)
        {
          gs_time_t now = GS_SEC + (gs_time_t)step * STEP;
          resend_bounds_t own = bounds;

          if (step == 0 || now >= started_at + intervals[row])
            {
              restarts = step == 0                        ? 0
                         : now - started_at > 15 * GS_SEC ? 1
                                                          : restarts + 1;
              started_at = now;
              for (int i = 0; i < NODES; i++)
                resend_budget_init (&budgets[i], WINDOW, now);
            }
          own.nodes = now < started_at + PEERS_DELAY ? 1 : NODES;
          own.restarts_known = now >= started_at + PEERS_DELAY;
          own.restarts = restarts;
          for (int i = 0; i < NODES; i++)
            {
              if (step % 10 == 0)
                {
                  resend_budget_request_record (&budgets[i], now);
                  requests[step]++;
                }
              resends[step] += resend_budget_take (&budgets[i], now, &own);
            }
          sum += resends[step];
        }
      check_windows (requests, resends);
      CU_ASSERT (sum > 0);
    }
}

/* Also one that has just started, if no process was before it.  */
static void
an_idle_node_has_its_part_of_the_slack (void)
{
  resend_budget_t budget;
  unsigned taken = 0;

  resend_budget_init (&budget, WINDOW, GS_SEC);
  while (resend_budget_take (&budget, GS_SEC, &bounds))
    taken++;
  CU_ASSERT (taken > 0 && taken <= bounds.slack / NODES);
  CU_ASSERT_TRUE (resend_budget_take (&budget, 12 * GS_SEC, &bounds));
}

static void
nodes_that_leave_take_their_part_of_the_slack_with_them (void)
{
  resend_budget_t budget;
  resend_bounds_t alone = bounds;
  unsigned taken = 0;

  resend_budget_init (&budget, WINDOW, GS_SEC);
  resend_budget_remaining (&budget, GS_SEC + WINDOW, &bounds);
  alone.nodes = 1;
  while (resend_budget_take (&budget, GS_SEC + 3 * WINDOW / 2, &alone))
    taken++;
  CU_ASSERT (taken > 0 && taken <= bounds.slack / NODES);
  while (resend_budget_take (&budget, GS_SEC + 3 * WINDOW, &alone))
    taken++;
  CU_ASSERT (taken > bounds.slack / NODES && taken <= bounds.slack);
}

/* The store has not said yet whether another process was before this one.  */
static void
a_node_that_has_just_started_resends_by_its_requests (void)
{
  resend_budget_t budget;
  resend_bounds_t unknown = bounds;
  unsigned taken = 0;

  unknown.restarts_known = false;
  resend_budget_init (&budget, WINDOW, GS_SEC);
  for (unsigned i = 0; i < 100; i++)
    resend_budget_request_record (&budget, GS_SEC);
  while (resend_budget_take (&budget, GS_SEC, &unknown))
    taken++;
  CU_ASSERT (taken >= bounds.ratio * 100 / 2 && taken <= bounds.ratio * 100);
}

static const check_case_t cases[] = {
  { "a node that has just started resends by its requests",
    a_node_that_has_just_started_resends_by_its_requests },
  { "all nodes together stay within the bound in any window",
    all_nodes_together_stay_within_the_bound_in_any_window },
  { "an idle node has its part of the slack",
    an_idle_node_has_its_part_of_the_slack },
  { "nodes that leave take their part of the slack with them",
    nodes_that_leave_take_their_part_of_the_slack_with_them },
  { "restarts of all nodes do not add to the slack",
    restarts_of_all_nodes_do_not_add_to_the_slack },
};

int
main (void)
{
  return CHECK_RUN ("resend_budget", cases);
}
