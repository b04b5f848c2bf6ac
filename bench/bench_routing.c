#include "bench.h"
#include "world.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define POLICIES_MAX 8
/* A baseline takes part in the comparison when its share of requests in target
   is at most this much below the best baseline's.  */
#define SHARE_MARGIN_RATIO 0.02

typedef struct
{
  const char *name;
  unsigned load_percent;
  gs_time_t report_lag;
  gs_time_t events_lag;
  unsigned events_lost_percent;
  unsigned burst_factor;
  bool lose_data_centre;
  unsigned reclaim_percent; /* of the replicas */
  bool slow_replica;
} scenario_t;

#define DEFAULT_LAG (200 * GS_MSEC)

static const scenario_t scenarios[] = {
  { "steady_50", 50, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 0, false },
  { "steady_80", 80, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 0, false },
  { "steady_95", 95, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 0, false },
  { "burst", 65, DEFAULT_LAG, DEFAULT_LAG, 0, 3, false, 0, false },
  { "data_centre_lost", 65, DEFAULT_LAG, DEFAULT_LAG, 0, 0, true, 0, false },
  { "reclaims", 65, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 30, false },
  { "late_reports", 80, 2 * GS_SEC, DEFAULT_LAG, 0, 0, false, 0, false },
  { "lost_events", 80, DEFAULT_LAG, DEFAULT_LAG, 50, 0, false, 0, false },
  { "late_events", 80, DEFAULT_LAG, 5 * GS_SEC, 0, 0, false, 0, false },
  { "slow_replica", 65, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 0, true },
  { "overload", 200, DEFAULT_LAG, DEFAULT_LAG, 0, 0, false, 0, false },
};

typedef struct
{
  char *user;
  char *scenario;
  char *policy;
  int seed;
  int seconds;
  int load; /* percent of capacity; 0: the scenario's */
} arguments_t;

static void
print_result (const scenario_t *scenario, const world_policy_t *policy,
              const world_options_t *options, const world_result_t *result)
{
  printf ("policy scenario=%s user=%s policy=%s seed=%llu offered=%llu "
          "share=%.4f goodput=%.3f cost=%.1f kept_cost=%.1f first_p95_ms=%.0f "
          "token_p95_ms=%.1f recomputed=%.1f cached=%.3f refused=%.4f "
          "retries=%.4f "
          "served=",
          scenario->name, options->user->name, policy->name,
          (unsigned long long)options->seed,
          (unsigned long long)result->offered, result->share, result->goodput,
          result->cost, result->active_cost, result->first_p95_ms,
          result->token_p95_ms, result->recomputed, result->cached,
          result->rejected, result->retries);
  for (unsigned i = 0; i < WORKLOAD_ACCOUNTS; i++)
    printf ("%s%.3f", i > 0 ? "," : "", result->served[i]);
  printf ("\n");
}

/* Prints the figures of the first policy relative to the best baselines.  Cost
   and recomputed tokens are compared with the baselines within
   SHARE_MARGIN_RATIO of the best share.  */
static void
print_ratios (const scenario_t *scenario, const world_result_t *results,
              unsigned count)
{
  double best_share = 0;
  double best_cost = INFINITY;
  double best_recomputed = INFINITY;

  for (unsigned i = 1; i < count; i++)
    best_share = fmax (best_share, results[i].share);
  for (unsigned i = 1; i < count; i++)
    {
      if (results[i].share < best_share - SHARE_MARGIN_RATIO)
        continue;
      best_cost = fmin (best_cost, results[i].cost);
      best_recomputed = fmin (best_recomputed, results[i].recomputed);
    }
  printf ("routing scenario=%s cost_ratio=%.3f recomputed_ratio=%.3f "
          "target_ratio=%.3f\n",
          scenario->name, results[0].cost / best_cost,
          results[0].recomputed / fmax (best_recomputed, 1e-9),
          results[0].share / fmax (best_share, 1e-9));
  fflush (stdout);
}

static void
run_scenario (const scenario_t *scenario, const workload_user_t *user,
              const arguments_t *arguments)
{
  world_options_t options = { .user = user };
  world_result_t results[POLICIES_MAX] = { 0 };
  unsigned count = 0;

  options.scenario = scenario->name;
  options.seed = (uint64_t)arguments->seed;
  options.load_percent = arguments->load > 0 ? (unsigned)arguments->load
                                             : scenario->load_percent;
  options.warm_until = 20 * GS_SEC;
  options.measure_until = (20 + arguments->seconds) * GS_SEC;
  options.report_lag = scenario->report_lag;
  options.events_lag = scenario->events_lag;
  options.events_lost_percent = scenario->events_lost_percent;
  options.burst_factor = scenario->burst_factor;
  options.lose_data_centre = scenario->lose_data_centre;
  options.reclaims = user->replicas * scenario->reclaim_percent / 100;
  options.slow_replica = scenario->slow_replica;
  for (const world_policy_t *policy = world_policies; policy->name != NULL;
       policy++)
    {
      if (arguments->policy != NULL
          && strcmp (arguments->policy, policy->name) != 0)
        continue;
      world_run (&results[count], &options, policy);
      print_result (scenario, policy, &options, &results[count]);
      count++;
    }
  if (arguments->policy == NULL)
    print_ratios (scenario, results, count);
}

int
bench_routing (int argc, char **argv)
{
  arguments_t arguments = { .seed = 1, .seconds = 60 };
  const GOptionEntry entries[] = {
    { "user", 'u', 0, G_OPTION_ARG_STRING, &arguments.user,
      "curdwright, association or two_years", "NAME" },
    { "scenario", 's', 0, G_OPTION_ARG_STRING, &arguments.scenario,
      "only this scenario", "NAME" },
    { "policy", 'p', 0, G_OPTION_ARG_STRING, &arguments.policy,
      "only this policy", "NAME" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &arguments.seed, "seed", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &arguments.seconds,
      "virtual seconds measured", "N" },
    { "load", 0, 0, G_OPTION_ARG_INT, &arguments.load,
      "load in percent of capacity, overrides the scenario", "N" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *options = g_option_context_new ("");
  const workload_user_t *user;
  GError *error = NULL;

  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      g_option_context_free (options);
      return 2;
    }
  g_option_context_free (options);
  user = workload_user_find (arguments.user != NULL ? arguments.user
                                                    : "curdwright");
  if (user == NULL || arguments.seconds < 1)
    {
      fprintf (stderr, "unknown user or --seconds less than 1\n");
      return 2;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (arguments.scenario == NULL
        || strcmp (arguments.scenario, scenarios[i].name) == 0)
      run_scenario (&scenarios[i], user, &arguments);
  g_free (arguments.user);
  g_free (arguments.scenario);
  g_free (arguments.policy);
  return 0;
}
