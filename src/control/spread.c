#include "control/spread.h"

#include <stddef.h>

/* @return true if the next VM should rather be in @p a than in @p b.  */
static bool
better (const gs_spread_centre_t *a, const gs_spread_centre_t *b)
{
  bool a_there = a->wanted < a->present;
  bool b_there = b->wanted < b->present;

  if (a->price_micros != b->price_micros)
    return a->price_micros < b->price_micros;
  if (a_there != b_there)
    return a_there;
  return a->wanted < b->wanted;
}

/* Assigns VMs to the cheapest data centres first, at most @p cap to each.
   @return the sum of prices, UINT64_MAX if the total does not fit  */
static uint64_t
fill (gs_spread_centre_t *centres, unsigned count, unsigned total,
      unsigned cap)
{
  uint64_t cost = 0;

  for (unsigned i = 0; i < count; i++)
    centres[i].wanted = 0;
  for (unsigned n = 0; n < total; n++)
    {
      gs_spread_centre_t *best = NULL;

      for (unsigned i = 0; i < count; i++)
        if (centres[i].wanted < cap && centres[i].wanted < centres[i].capacity
            && (best == NULL || better (&centres[i], best)))
          best = &centres[i];
      if (best == NULL)
        return UINT64_MAX;
      best->wanted++;
      cost += best->price_micros;
    }
  return cost;
}

static void
fill_evenly (gs_spread_centre_t *centres, unsigned count, unsigned total)
{
  unsigned cap = 1;

  while (cap < total && fill (centres, count, total, cap) == UINT64_MAX)
    cap++;
  fill (centres, count, total, cap);
}

bool
gs_spread (gs_spread_centre_t *centres, unsigned count, unsigned promised,
           unsigned wanted, unsigned most)
{
  unsigned least = wanted > promised ? wanted : promised;
  unsigned last = promised * 2 > least ? promised * 2 : least;
  uint64_t best_cost = UINT64_MAX;
  unsigned best = 0;

  /* With a total of n, at most n - promised VMs may be in one data centre.  A
     larger total can be cheaper, because it allows more VMs in a cheap data
     centre.  */
  for (unsigned total = least; total <= last && total <= most; total++)
    {
      uint64_t cost = fill (centres, count, total, total - promised);

      if (cost < best_cost)
        {
          best_cost = cost;
          best = total;
        }
    }
  if (best_cost != UINT64_MAX)
    {
      fill (centres, count, best, best - promised);
      return true;
    }
  fill_evenly (centres, count, least < most ? least : most);
  return promised == 0;
}
