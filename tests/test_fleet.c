#include "check.h"

#include "fleet.h"

#include <glib.h>

/* Targets for a fleet.  */
#define CONFIG_MAX (4 * GS_SEC)
#define NOTICE_MAX (2 * GS_SEC)
#define BYTES_MAX 27000.0
#define STORE_READS_MAX 100.0

static gs_time_t
worst (const gs_time_t *times, unsigned count)
{
  gs_time_t last = 0;

  for (unsigned i = 0; i < count; i++)
    last = MAX (last, times[i]);
  return last;
}

static void
changes_are_everywhere_in_time (void)
{
  static const struct
  {
    unsigned nodes;
    unsigned regions;
    double loss;
    bool cut_off;
    bool start_at_once;
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
                                  .cut_off = cases[i].cut_off,
                                  .start_at_once = cases[i].start_at_once,
                                  .seed = 7 };
      fleet_result_t result;

      fleet_run (&result, &options);
      CU_ASSERT (worst (result.config_times, cases[i].nodes) <= CONFIG_MAX);
      CU_ASSERT (worst (result.notice_times, cases[i].nodes) <= NOTICE_MAX);
      CU_ASSERT (result.wire_bytes_per_sec <= BYTES_MAX);
      CU_ASSERT (result.store_reads_per_sec + result.list_calls_per_sec
                 <= STORE_READS_MAX);
      CU_ASSERT (result.store_peak_per_sec <= STORE_READS_MAX);
      fleet_free (&result);
    }
}

static void
notices_do_not_need_the_store (void)
{
  fleet_options_t options = { .nodes = 90,
                              .regions = 3,
                              .upstreams = 270,
                              .loss = 0.01,
                              .store_down = true,
                              .seed = 7 };
  fleet_result_t result;

  fleet_run (&result, &options);
  CU_ASSERT (worst (result.notice_times, 90) <= NOTICE_MAX);
  CU_ASSERT (result.store_peak_per_sec <= STORE_READS_MAX);
  fleet_free (&result);
}

int
main (void)
{
  static const check_case_t cases[] = {
    { "changes_are_everywhere_in_time", changes_are_everywhere_in_time },
    { "notices_do_not_need_the_store", notices_do_not_need_the_store },
  };

  return CHECK_RUN ("fleet", cases);
}
