#include "fleet/report.h"

traffic_report_t *
traffic_report_create (void)
{
  traffic_report_t *report = g_new0 (traffic_report_t, 1);

  report->loads = g_array_new (FALSE, TRUE, sizeof (placer_load_t));
  report->usage = g_array_new (FALSE, TRUE, sizeof (traffic_usage_t));
  report->demand = g_array_new (FALSE, TRUE, sizeof (traffic_demand_t));
  report->quota = g_array_new (FALSE, TRUE, sizeof (quota_row_t));
  report->statements = g_array_new (FALSE, TRUE, sizeof (statement_t));
  quarantine_rows_init (&report->quarantine);
  report->rollout_counts = g_array_new (FALSE, TRUE, sizeof (rollout_count_t));
  report->origins_wanted
      = g_array_new (FALSE, TRUE, sizeof (stream_origin_key_t));
  return report;
}

void
traffic_report_free (traffic_report_t *report)
{
  if (report == NULL)
    return;
  g_array_unref (report->loads);
  g_array_unref (report->usage);
  g_array_unref (report->demand);
  g_array_unref (report->quota);
  g_array_unref (report->statements);
  quarantine_rows_clear (&report->quarantine);
  g_array_unref (report->rollout_counts);
  g_array_unref (report->origins_wanted);
  g_free (report);
}

void
traffic_peers_free (traffic_peers_t *peers)
{
  if (peers == NULL)
    return;
  for (guint i = 0; i < peers->peers->len; i++)
    {
      traffic_peer_t *peer = &g_array_index (peers->peers, traffic_peer_t, i);

      g_array_unref (peer->loads);
      g_array_unref (peer->quota);
    }
  g_array_unref (peers->peers);
  g_array_unref (peers->nodes);
  g_array_unref (peers->members);
  g_array_unref (peers->statements);
  g_array_unref (peers->origins);
  g_array_unref (peers->detours);
  quarantine_rows_clear (&peers->quarantine);
  g_free (peers);
}
