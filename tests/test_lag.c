#include "check.h"

#include "garnetstack/rng.h"
#include "routing/lag.h"

#include <glib.h>
#include <stdbool.h>

#define START (1000 * GS_SEC)
#define STEPS 4000
#define TOTALS_MAX 32
#define NODES 5

/* Simulate sequences that start and end at random, one in NODES of them sent
   by this router, and reports that show all of them true_bins late.  Return
   the estimated age.  */
static unsigned
estimated_bins (unsigned true_bins, bool from_own)
{
  lag_history_t history = { 0 };
  lag_estimate_t estimate;
  gs_rng_t rng;
  int totals[TOTALS_MAX] = { 0 };
  int total = 0;
  int reported = 0;

  gs_rng_seed (&rng, 11);
  lag_estimate_init (&estimate);
  for (unsigned step = 0; step < STEPS; step++)
    {
      gs_time_t now = START + (gs_time_t)step * LAG_BIN_INTERVAL;
      int next = totals[(step + TOTALS_MAX - true_bins) % TOTALS_MAX];

      lag_estimate_update (&estimate, &history, now - LAG_BIN_INTERVAL, now,
                           next - reported);
      reported = next;
      for (unsigned event = 0; event < 4; event++)
        {
          int change = gs_rng_below (&rng, 2) == 0 ? 1 : -1;
          bool own = gs_rng_below (&rng, NODES) == 0;

          total += change;
          if (own && from_own)
            lag_history_add (&history, now, change);
        }
      totals[(step + 1) % TOTALS_MAX] = total;
    }
  return estimate.bins;
}

static void
the_age_of_reports_is_estimated (void)
{
  static const unsigned bins[] = { 0, 1, 4, 8, 11 };

  for (size_t i = 0; i < G_N_ELEMENTS (bins); i++)
    CU_ASSERT_EQUAL (estimated_bins (bins[i], true), bins[i]);
}

static void
the_estimate_is_kept_without_own_sequences (void)
{
  CU_ASSERT_EQUAL (estimated_bins (8, false), 1);
}

static void
net_changes_are_summed_from_a_bin_on (void)
{
  static const struct
  {
    gs_time_t since; /* relative to START */
    int net;
  } rows[] = {
    { 0, 3 },
    { LAG_BIN_INTERVAL, 1 },
    { 3 * LAG_BIN_INTERVAL, 2 },
    { 4 * LAG_BIN_INTERVAL, 0 },
    { -100 * GS_SEC, 3 },
  };
  lag_history_t history = { 0 };
  gs_time_t now = START + 4 * LAG_BIN_INTERVAL;

  lag_history_add (&history, START, 2);
  lag_history_add (&history, START + LAG_BIN_INTERVAL, -1);
  lag_history_add (&history, START + 3 * LAG_BIN_INTERVAL, 2);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (lag_history_net (&history, now, START + rows[i].since),
                     rows[i].net);
  lag_history_add (&history, START + 100 * GS_SEC, 1);
  CU_ASSERT_EQUAL (lag_history_net (&history, START + 100 * GS_SEC, START), 1);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "the_age_of_reports_is_estimated", the_age_of_reports_is_estimated },
    { "the_estimate_is_kept_without_own_sequences",
      the_estimate_is_kept_without_own_sequences },
    { "net_changes_are_summed_from_a_bin_on",
      net_changes_are_summed_from_a_bin_on },
  };

  return CHECK_RUN ("lag", cases);
}
