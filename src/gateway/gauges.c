#include "gateway/gauges.h"

#include "garnetstack/meter.h"

#include <string.h>

void
gauges_replicas_set (const gs_replica_list_t *list)
{
  gs_meter_clear ("replicas");
  for (unsigned i = 0; list != NULL && i < list->count; i++)
    {
      const gs_replica_t *first = &list->rows[i];
      unsigned count = 0;
      char labels[256];

      /* Rows with equal labels are counted at the first of them.  */
      for (unsigned j = 0; j < list->count; j++)
        {
          const gs_replica_t *row = &list->rows[j];

          if (strcmp (row->service, first->service) != 0
              || strcmp (row->data_centre, first->data_centre) != 0
              || row->state != first->state || row->spot != first->spot)
            continue;
          if (j < i)
            break;
          count++;
        }
      if (count == 0)
        continue;
      g_snprintf (labels, sizeof labels,
                  "service=\"%s\",data_centre=\"%s\",state=\"%s\",spot=\"%d\"",
                  first->service, first->data_centre,
                  first->state == GS_REPLICA_READY ? "ready" : "draining",
                  first->spot);
      gs_meter_set ("replicas", labels, count);
    }
}

static uint64_t
account_used (const traffic_report_t *report, uint64_t account)
{
  for (guint i = 0; i < report->quota->len; i++)
    {
      const quota_row_t *row = &g_array_index (report->quota, quota_row_t, i);

      if (row->account == account)
        return row->used;
    }
  return 0;
}

void
gauges_accounts_set (const gs_route_table_t *table,
                     const traffic_report_t *report)
{
  gs_meter_clear ("account_used");
  gs_meter_clear ("account_limit_per_second");
  for (unsigned i = 0; i < gs_route_table_account_count (table); i++)
    {
      const gs_client_account_t *account = gs_route_table_account (table, i);
      char labels[128];

      if (account->rate == 0)
        continue;
      g_snprintf (labels, sizeof labels, "account=\"%s\"", account->name);
      gs_meter_set (
          "account_used", labels,
          (double)account_used (
              report, gs_limits_name_hash ("account", account->name)));
      gs_meter_set ("account_limit_per_second", labels, (double)account->rate);
    }
}

void
gauges_services_set (const traffic_report_t *report)
{
  for (guint i = 0; i < report->demand->len; i++)
    {
      const traffic_demand_t *row
          = &g_array_index (report->demand, traffic_demand_t, i);
      char labels[128];

      g_snprintf (labels, sizeof labels, "service=\"%s\"", row->service);
      gs_meter_set ("in_flight", labels, row->in_flight);
      gs_meter_set ("waiting", labels, row->queued);
      gs_meter_set ("resends_left", labels, row->resends_left);
    }
  gs_meter_set ("open_exchanges", "", report->open_exchanges);
  gs_meter_set ("read_tokens_per_ms", "", report->read_tokens_per_msec);
}

void
gauges_plan_set (const char *service, const scaler_mix_summary_t *plan)
{
  char labels[128];

  g_snprintf (labels, sizeof labels, "service=\"%s\"", service);
  gs_meter_set ("planned_need", labels, plan->need);
  gs_meter_set ("planned_losses_covered", labels, plan->losses);
  gs_meter_set ("data_centres_without_spot", labels, plan->out);
}

void
gauges_plan_clear (void)
{
  gs_meter_clear ("planned_need");
  gs_meter_clear ("planned_losses_covered");
  gs_meter_clear ("data_centres_without_spot");
}
