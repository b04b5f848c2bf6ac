#include "control/spread.h"

#include <stddef.h>

/* The lower price is better.  At equal prices, a data centre that has more VMs
   now than are assigned to it yet is better, so that few VMs move.
   @return true if the next VM should rather be in @p a than in @p b  */
static bool
is_better (const gs_spread_centre_t *a, const gs_spread_centre_t *b)
{
  bool a_has_unassigned = a->wanted < a->present;
  bool b_has_unassigned = b->wanted < b->present;

  if (a->price_micros != b->price_micros)
    return a->price_micros < b->price_micros;
  if (a_has_unassigned != b_has_unassigned)
    return a_has_unassigned;
  return a->wanted < b->wanted;
}

/* Assigns VMs to the cheapest data centres first, at most @p centre_max to
   each.
   @return the sum of prices, UINT64_MAX if the total does not fit  */
static uint64_t
assign (gs_spread_centre_t *centres, unsigned count, unsigned total,
        unsigned centre_max)
{
  uint64_t cost = 0;

  for (unsigned i = 0; i < count; i++)
    centres[i].wanted = 0;
  for (unsigned n = 0; n < total; n++)
    {
      gs_spread_centre_t *best = NULL;

      for (unsigned i = 0; i < count; i++)
        if (centres[i].wanted < centre_max
            && centres[i].wanted < centres[i].capacity
            && (best == NULL || is_better (&centres[i], best)))
          best = &centres[i];
      if (best == NULL)
        return UINT64_MAX;
      best->wanted++;
      cost += best->price_micros;
    }
  return cost;
}

static void
assign_evenly (gs_spread_centre_t *centres, unsigned count, unsigned total)
{
  unsigned centre_max = 1;

  while (centre_max < total
         && assign (centres, count, total, centre_max) == UINT64_MAX)
    centre_max++;
  assign (centres, count, total, centre_max);
}

bool
gs_spread_compute (gs_spread_centre_t *centres, unsigned count,
                   unsigned replicas_min, unsigned demand,
                   unsigned replicas_max)
{
  unsigned total_min = demand > replicas_min ? demand : replicas_min;
  unsigned total_max
      = replicas_min * 2 > total_min ? replicas_min * 2 : total_min;
  uint64_t best_cost = UINT64_MAX;
  unsigned best_total = 0;

  /* With a total of n, at most n - replicas_min VMs may be in one data centre.
     A larger total can be cheaper, because it allows more VMs in a cheap data
     centre.  */
  for (unsigned total = total_min; total <= total_max && total <= replicas_max;
       total++)
    {
      uint64_t cost = assign (centres, count, total, total - replicas_min);

      if (cost < best_cost)
        {
          best_cost = cost;
          best_total = total;
        }
    }
  if (best_cost != UINT64_MAX)
    {
      assign (centres, count, best_total, best_total - replicas_min);
      return true;
    }
  assign_evenly (centres, count,
                 total_min < replicas_max ? total_min : replicas_max);
  return replicas_min == 0;
}
