#include "check.h"

#include "world.h"

#include <math.h>
#include <string.h>

#define SEED 1
#define LAG (200 * GS_MSEC)
#define POLICIES_MAX 8
/* Documented targets, relative to the baselines.  */
#define COST_RATIO_MAX 0.8
#define RECOMPUTED_RATIO_MAX 0.5
#define SHARE_RATIO_MIN 0.98
#define OVERLOAD_GOODPUT_MIN 0.95
/* Costs are compared only with baselines whose share of requests within the
   latency target is at most this far below the best one.  */
#define SHARE_MARGIN_RATIO 0.02

static const char *const users[] = { "curdwright", "association" };

static void
init_options (world_options_t *out, const char *user, unsigned load_percent)
{
  memset (out, 0, sizeof *out);
  out->user = workload_user_find (user);
  out->scenario = "test";
  out->seed = SEED;
  out->load_percent = load_percent;
  out->warm_until = 20 * GS_SEC;
  out->measure_until = 60 * GS_SEC;
  out->report_lag = LAG;
  out->events_lag = LAG;
}

/* Run all policies: the router under test at index 0, then the baselines.
   Return the number of results.  */
static unsigned
run_policies (world_result_t *results, const world_options_t *options)
{
  unsigned count = 0;

  for (; world_policies[count].name != NULL; count++)
    world_run (&results[count], options, &world_policies[count]);
  return count;
}

/* Return the largest share of requests within the latency target that any
   baseline reached.  */
static double
best_share (const world_result_t *results, unsigned count)
{
  double share = 0;

  for (unsigned i = 1; i < count; i++)
    share = fmax (share, results[i].share);
  return share;
}

static void
steady_load_costs_less_and_recomputes_less_than_baselines (void)
{
  for (size_t user = 0; user < G_N_ELEMENTS (users); user++)
    {
      world_result_t results[POLICIES_MAX] = { 0 };
      world_options_t options;
      unsigned count;
      double share;
      double cost = INFINITY;
      double recomputed = INFINITY;

      init_options (&options, users[user], 80);
      count = run_policies (results, &options);
      share = best_share (results, count);
      for (unsigned i = 1; i < count; i++)
        if (results[i].share >= share - SHARE_MARGIN_RATIO)
          {
            cost = fmin (cost, results[i].cost);
            recomputed = fmin (recomputed, results[i].recomputed);
          }
      CU_ASSERT (results[0].cost <= cost * COST_RATIO_MAX);
      CU_ASSERT (results[0].recomputed <= recomputed * RECOMPUTED_RATIO_MAX);
      CU_ASSERT (results[0].share >= share * SHARE_RATIO_MIN);
    }
}

typedef struct
{
  const char *name;
  unsigned load_percent;
  gs_time_t report_lag;
  gs_time_t events_lag;
  unsigned events_lost_percent;
  unsigned burst_factor;
  bool lose_data_centre;
  unsigned reclaim_percent;
  bool slow_replica;
} fault_t;

static const fault_t faults[] = {
  { "burst", 65, LAG, LAG, 0, 3, false, 0, false },
  { "data centre lost", 65, LAG, LAG, 0, 0, true, 0, false },
  { "reclaims", 65, LAG, LAG, 0, 0, false, 30, false },
  { "late reports", 80, 2 * GS_SEC, LAG, 0, 0, false, 0, false },
  { "lost events", 80, LAG, LAG, 50, 0, false, 0, false },
  { "late events", 80, LAG, 5 * GS_SEC, 0, 0, false, 0, false },
  { "slow replica", 65, LAG, LAG, 0, 0, false, 0, true },
};

static void
the_share_in_latency_target_under_faults_is_near_the_best_baseline (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    for (size_t user = 0; user < G_N_ELEMENTS (users); user++)
      {
        world_result_t results[POLICIES_MAX] = { 0 };
        world_options_t options;
        double best;

        init_options (&options, users[user], faults[i].load_percent);
        options.report_lag = faults[i].report_lag;
        options.events_lag = faults[i].events_lag;
        options.events_lost_percent = faults[i].events_lost_percent;
        options.burst_factor = faults[i].burst_factor;
        options.lose_data_centre = faults[i].lose_data_centre;
        options.reclaims
            = options.user->replicas * faults[i].reclaim_percent / 100;
        options.slow_replica = faults[i].slow_replica;
        best = best_share (results, run_policies (results, &options));
        CU_ASSERT (results[0].share >= best * SHARE_RATIO_MIN);
        if (results[0].share < best * SHARE_RATIO_MIN)
          printf ("\n    %s, %s: %.4f of %.4f", faults[i].name, users[user],
                  results[0].share, best);
      }
}

static void
overload_keeps_goodput_and_fair_shares (void)
{
  for (size_t user = 0; user < G_N_ELEMENTS (users); user++)
    {
      world_result_t result = { 0 };
      world_options_t options;

      init_options (&options, users[user], 200);
      world_run (&result, &options, &world_policies[0]);
      CU_ASSERT (result.goodput >= OVERLOAD_GOODPUT_MIN);
      for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
        {
          double fair
              = fmin (result.demand[i], result.goodput / WORKLOAD_ACCOUNTS);

          CU_ASSERT (result.served[i] * result.demand[i]
                     >= fair * OVERLOAD_GOODPUT_MIN);
          if (result.served[i] * result.demand[i]
              < fair * OVERLOAD_GOODPUT_MIN)
            printf ("\n    %s: account %u has %.4f of %.4f", users[user], i,
                    result.served[i] * result.demand[i], fair);
        }
    }
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "steady_load_costs_less_and_recomputes_less_than_baselines",
      steady_load_costs_less_and_recomputes_less_than_baselines },
    { "the_share_in_latency_target_under_faults_is_near_the_best_baseline",
      the_share_in_latency_target_under_faults_is_near_the_best_baseline },
    { "overload_keeps_goodput_and_fair_shares",
      overload_keeps_goodput_and_fair_shares },
  };

  return CHECK_RUN ("routing_targets", cases);
}
