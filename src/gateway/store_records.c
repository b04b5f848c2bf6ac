#include "gateway/store_records.h"

#include "fleet/origin_store.h"
#include "fleet/quarantine_store.h"
#include "fleet/version_history.h"

/* Minimum time between two reads for requests that wait for them.  */
#define VERSIONS_READ_INTERVAL (100 * GS_MSEC)

struct store_records
{
  peers_t *peers;
  quarantine_store_t *quarantine;
  version_history_t *versions;
  origin_store_t *origins;
  gs_replica_list_t *list; /* not given to the versions yet; NULL for none */
  gs_time_t versions_read_due; /* earliest time of the next request */
};

void
store_records_create (store_records_t **out, const gs_object_store_t *store,
                      peers_t *peers, const gs_deployment_t *deployment)
{
  store_records_t *records = g_new0 (store_records_t, 1);

  records->peers = peers;
  quarantine_store_create (&records->quarantine, store,
                           peers_quarantine (peers));
  version_history_create (&records->versions, store, deployment->first_start);
  origin_store_create (&records->origins, store, deployment->node,
                       peers_origins (peers));
  *out = records;
}

void
store_records_destroy (store_records_t *records)
{
  if (records == NULL)
    return;
  gs_replica_list_unref (records->list);
  origin_store_destroy (records->origins);
  version_history_destroy (records->versions);
  quarantine_store_destroy (records->quarantine);
  g_free (records);
}

void
store_records_replicas_set (store_records_t *records, gs_replica_list_t *list)
{
  gs_replica_list_unref (records->list);
  records->list = gs_replica_list_ref (list);
}

void
store_records_tick (store_records_t *records, gs_time_t now,
                    traffic_t *traffic, const traffic_report_t *report,
                    bool complete, bool writes)
{
  /* A jump of the wall clock does not change what this process writes.  */
  int64_t wall_ms = gs_clock_monotonic_wall () / GS_MSEC;
  service_versions_record_t record;

  if (complete && records->list != NULL)
    {
      version_history_replicas_set (records->versions, now, records->list);
      gs_replica_list_unref (records->list);
      records->list = NULL;
    }
  if (report != NULL)
    version_history_stream_time_set (records->versions, report->stream_time);
  if (report != NULL && report->versions_wanted
      && now >= records->versions_read_due)
    {
      records->versions_read_due = now + VERSIONS_READ_INTERVAL;
      version_history_read_request (records->versions);
      peers_in_step_request (records->peers, now);
    }
  quarantine_store_tick (records->quarantine, now, wall_ms,
                         peers_rank (records->peers, now), writes);
  version_history_tick (records->versions, now, wall_ms, writes);
  if (version_history_export (records->versions, &record))
    traffic_versions_set (traffic, &record);
  origin_store_tick (records->origins, now, wall_ms,
                     report != NULL && report->keeps_origins
                         ? peers_origins_kept (records->peers, now)
                         : 0);
}
