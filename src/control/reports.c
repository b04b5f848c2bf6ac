#include "control/control_private.h"

#include <jansson.h>
#include <string.h>

/* A report older than this is removed.  */
#define REPORT_TTL (60 * GS_SEC)

static void
report_free (gpointer data)
{
  gs_pool_report_t *report = data;

  g_array_unref (report->rows);
  g_free (report);
}

void
gs_reports_open (gs_control_t *control)
{
  control->reports
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
}

void
gs_report_store (gs_control_t *control, gs_time_t now, const json_t *root,
                 gs_time_t act_deadline)
{
  const char *name = json_string_value (json_object_get (root, "pool"));
  const char *holder = json_string_value (json_object_get (root, "holder"));
  const json_t *row;
  gs_pool_report_t *report;
  size_t i;

  if (name == NULL || holder == NULL)
    return;
  report = g_new0 (gs_pool_report_t, 1);
  report->rows = g_array_new (FALSE, TRUE, sizeof (gs_placement_info_t));
  g_strlcpy (report->lease.pool, name, sizeof report->lease.pool);
  g_strlcpy (report->lease.holder, holder, sizeof report->lease.holder);
  report->lease.fencing
      = (uint64_t)json_integer_value (json_object_get (root, "fencing"));
  report->lease.reported_at = now;
  report->lease.act_deadline = act_deadline;
  json_array_foreach (json_object_get (root, "rows"), i, row)
  {
    gs_placement_info_t info = { .pool = "" };
    const char *data_centre = NULL;
    int counts[5];
    json_int_t retry_msec;

    if (json_unpack ((json_t *)row, "[s,i,i,i,i,i,I]", &data_centre,
                     &counts[0], &counts[1], &counts[2], &counts[3],
                     &counts[4], &retry_msec)
        != 0)
      continue;
    g_strlcpy (info.pool, name, sizeof info.pool);
    g_strlcpy (info.data_centre, data_centre, sizeof info.data_centre);
    info.wanted_reclaimable = (uint32_t)counts[0];
    info.wanted_on_demand = (uint32_t)counts[1];
    info.live = (uint32_t)counts[2];
    info.leaving = (uint32_t)counts[3];
    info.creating = (uint32_t)counts[4];
    info.retry_at = retry_msec > 0 ? now + retry_msec * GS_MSEC : 0;
    g_array_append_val (report->rows, info);
  }
  g_hash_table_replace (control->reports, g_strdup (name), report);
  control->changed = true;
}

void
gs_reports_frame (gs_control_t *control, gs_time_t now,
                  const gs_frame_t *frame)
{
  json_t *root = json_loadb (frame->placement.text.data,
                             frame->placement.text.length, 0, NULL);

  gs_report_store (control, now, root, 0);
  json_decref (root);
}

static gboolean
is_stale (gpointer name, gpointer value, gpointer context)
{
  const gs_pool_report_t *report = value;
  const gs_time_t *now = context;

  return *now > report->lease.reported_at + REPORT_TTL;
}

void
gs_reports_tick (gs_control_t *control, gs_time_t now)
{
  g_hash_table_foreach_remove (control->reports, is_stale, &now);
}

void
gs_reports_publish (const gs_control_t *control, gs_snapshot_t *snapshot)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (gs_placement_info_t));
  GHashTableIter iterator;
  gpointer value;

  snapshot->leases
      = g_new0 (gs_lease_info_t, g_hash_table_size (control->reports));
  g_hash_table_iter_init (&iterator, control->reports);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const gs_pool_report_t *report = value;

      snapshot->leases[snapshot->lease_count++] = report->lease;
      g_array_append_vals (rows, report->rows->data, report->rows->len);
    }
  snapshot->placement_count = rows->len;
  snapshot->placements = (gs_placement_info_t *)g_array_free (rows, FALSE);
}
