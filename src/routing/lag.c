#include "routing/lag.h"

#include <glib.h>
#include <string.h>

#define FADING 0.999
#define PRIOR_BINS 1
/* Evidence for another age, relative to the current one, that changes the
   estimate.  */
#define MARGIN 1.2
#define EVIDENCE_LEAST 3.0

void
lag_estimate_init (lag_estimate_t *estimate)
{
  memset (estimate, 0, sizeof *estimate);
  estimate->bins = PRIOR_BINS;
}

gs_time_t
lag_age (const lag_estimate_t *estimate)
{
  return (gs_time_t)estimate->bins * LAG_BIN;
}

static int64_t
bin_of (gs_time_t time)
{
  return time / LAG_BIN;
}

static void
move_to (lag_history_t *history, int64_t bin)
{
  if (bin - history->newest >= LAG_BINS_KEPT)
    memset (history->net, 0, sizeof history->net);
  else
    for (int64_t i = history->newest + 1; i <= bin; i++)
      history->net[i % LAG_BINS_KEPT] = 0;
  history->newest = MAX (history->newest, bin);
}

void
lag_note (lag_history_t *history, gs_time_t now, int change)
{
  move_to (history, bin_of (now));
  history->net[bin_of (now) % LAG_BINS_KEPT] += (int16_t)change;
}

/* Sum over the bins first to last; bins outside the history count as 0.  */
static int
sum (const lag_history_t *history, int64_t first, int64_t last)
{
  int total = 0;

  first = MAX (first, history->newest - LAG_BINS_KEPT + 1);
  for (int64_t bin = MAX (first, 0); bin <= MIN (last, history->newest); bin++)
    total += history->net[bin % LAG_BINS_KEPT];
  return total;
}

int
lag_net_since (const lag_history_t *history, gs_time_t now, gs_time_t since)
{
  return sum (history, bin_of (since), bin_of (now));
}

void
lag_learn (lag_estimate_t *estimate, const lag_history_t *history,
           gs_time_t before, gs_time_t now, int change)
{
  unsigned best = estimate->bins;

  for (unsigned bins = 0; bins <= LAG_BINS_MAX; bins++)
    {
      int64_t first = bin_of (before) - bins;
      int64_t last = bin_of (now) - bins - 1;

      estimate->score[bins] = estimate->score[bins] * FADING
                              + change * sum (history, first, last);
      if (estimate->score[bins] > estimate->score[best])
        best = bins;
    }
  if (estimate->score[best]
      > EVIDENCE_LEAST + MAX (estimate->score[estimate->bins], 0) * MARGIN)
    estimate->bins = best;
}
