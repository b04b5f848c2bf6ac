#include "routing/lag.h"

#include <glib.h>
#include <string.h>

#define EVIDENCE_DECAY_RATIO 0.999
#define INITIAL_BINS 1
/* Another age replaces the estimate if its evidence exceeds EVIDENCE_MIN plus
   this multiple of the evidence for the current estimate.  */
#define EVIDENCE_MARGIN_RATIO 1.2
#define EVIDENCE_MIN 3.0

void
lag_estimate_init (lag_estimate_t *estimate)
{
  memset (estimate, 0, sizeof *estimate);
  estimate->bins = INITIAL_BINS;
}

gs_time_t
lag_estimate_age (const lag_estimate_t *estimate)
{
  return (gs_time_t)estimate->bins * LAG_BIN_INTERVAL;
}

static int64_t
bin_of (gs_time_t time)
{
  return time / LAG_BIN_INTERVAL;
}

static void
advance_to (lag_history_t *history, int64_t bin)
{
  if (bin - history->newest >= LAG_HISTORY_BINS)
    memset (history->net, 0, sizeof history->net);
  else
    for (int64_t i = history->newest + 1; i <= bin; i++)
      history->net[i % LAG_HISTORY_BINS] = 0;
  history->newest = MAX (history->newest, bin);
}

void
lag_history_add (lag_history_t *history, gs_time_t now, int change)
{
  advance_to (history, bin_of (now));
  history->net[bin_of (now) % LAG_HISTORY_BINS] += (int16_t)change;
}

/* Sum over the bins first to last; bins outside the history count as 0.  */
static int
sum_bins (const lag_history_t *history, int64_t first, int64_t last)
{
  int total = 0;

  first = MAX (first, history->newest - LAG_HISTORY_BINS + 1);
  for (int64_t bin = MAX (first, 0); bin <= MIN (last, history->newest); bin++)
    total += history->net[bin % LAG_HISTORY_BINS];
  return total;
}

int
lag_history_net (const lag_history_t *history, gs_time_t now, gs_time_t since)
{
  return sum_bins (history, bin_of (since), bin_of (now));
}

void
lag_estimate_update (lag_estimate_t *estimate, const lag_history_t *history,
                     gs_time_t previous_at, gs_time_t reported_at, int change)
{
  unsigned best = estimate->bins;

  for (unsigned bins = 0; bins <= LAG_BINS_MAX; bins++)
    {
      int64_t first = bin_of (previous_at) - bins;
      int64_t last = bin_of (reported_at) - bins - 1;

      estimate->evidence[bins]
          = estimate->evidence[bins] * EVIDENCE_DECAY_RATIO
            + change * sum_bins (history, first, last);
      if (estimate->evidence[bins] > estimate->evidence[best])
        best = bins;
    }
  if (estimate->evidence[best]
      > EVIDENCE_MIN
            + MAX (estimate->evidence[estimate->bins], 0)
                  * EVIDENCE_MARGIN_RATIO)
    estimate->bins = best;
}
