#include "check.h"

#include "fleet.h"

#include <glib.h>

/* Targets for a fleet.  */
#define CONFIG_TIME_MAX (4 * GS_SEC)
#define NOTICE_TIME_MAX (2 * GS_SEC)
#define WIRE_BYTES_PER_SEC_MAX 27000.0
#define STORE_READS_PER_SEC_MAX 100.0

static gs_time_t
latest_time (const gs_time_t *times, unsigned count)
{
  gs_time_t latest = 0;

  for (unsigned i = 0; i < count; i++)
    latest = MAX (latest, times[i]);
  return latest;
}

static void
changes_reach_all_nodes_within_targets (void)
{
  static const struct
  {
    unsigned nodes;
    unsigned regions;
    double loss;
    bool partitioned;
    bool cold_start;
  } cases[] = {
    { 1, 1, 0, false, false },     { 5, 1, 0.01, false, false },
    { 5, 1, 0.01, false, true },   { 90, 3, 0, false, false },
    { 90, 3, 0.01, false, false }, { 90, 3, 0.01, true, false },
    { 90, 3, 0.01, false, true },  { 370, 3, 0.01, false, false },
    { 370, 3, 0.01, false, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fleet_options_t options = { .nodes = cases[i].nodes,
                                  .regions = cases[i].regions,
                                  .upstreams = cases[i].nodes * 3,
                                  .loss = cases[i].loss,
                                  .partitioned = cases[i].partitioned,
                                  .cold_start = cases[i].cold_start,
                                  .seed = 7 };
      fleet_result_t result;

      fleet_run (&result, &options);
      CU_ASSERT (latest_time (result.config_times, cases[i].nodes)
                 <= CONFIG_TIME_MAX);
      CU_ASSERT (latest_time (result.notice_times, cases[i].nodes)
                 <= NOTICE_TIME_MAX);
      CU_ASSERT (result.wire_bytes_per_sec <= WIRE_BYTES_PER_SEC_MAX);
      CU_ASSERT (result.store_reads_per_sec + result.list_calls_per_sec
                 <= STORE_READS_PER_SEC_MAX);
      CU_ASSERT (result.store_peak_per_sec <= STORE_READS_PER_SEC_MAX);
      fleet_result_free (&result);
    }
}

static void
notices_reach_all_nodes_without_the_store (void)
{
  fleet_options_t options = { .nodes = 90,
                              .regions = 3,
                              .upstreams = 270,
                              .loss = 0.01,
                              .store_down = true,
                              .seed = 7 };
  fleet_result_t result;

  fleet_run (&result, &options);
  CU_ASSERT (latest_time (result.notice_times, 90) <= NOTICE_TIME_MAX);
  CU_ASSERT (result.store_peak_per_sec <= STORE_READS_PER_SEC_MAX);
  fleet_result_free (&result);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "changes_reach_all_nodes_within_targets",
      changes_reach_all_nodes_within_targets },
    { "notices_reach_all_nodes_without_the_store",
      notices_reach_all_nodes_without_the_store },
  };

  return CHECK_RUN ("fleet", cases);
}
