#include "gateway/traffic_private.h"

#include "garnetstack/log.h"

/* Interval at which the streams that have begun are handed to the control
   thread; a small part of that between two messages to other nodes.  While the
   store keeps them, they are handed over at once: those that have not reached
   it are lost when all nodes are killed.  */
#define SEND_INTERVAL (50 * GS_MSEC)

void
traffic_origins_send (traffic_t *traffic, gs_time_t now)
{
  GArray *rows;

  if ((now < traffic->origins_due && !traffic->keeps_origins)
      || traffic->origins_sent_to_control
             == stream_origins_last (traffic->origins))
    return;
  traffic->origins_due = now + SEND_INTERVAL;
  rows = g_array_new (FALSE, FALSE, sizeof (stream_origin_row_t));
  traffic->origins_sent_to_control = stream_origins_export (
      traffic->origins, now, traffic->origins_sent_to_control,
      STREAM_ORIGIN_OWN, rows);
  if (rows->len > 0)
    traffic->options.on_origins (traffic->options.context, rows);
  else
    g_array_unref (rows);
}

void
traffic_origin_request (traffic_t *traffic, uint64_t stream)
{
  GArray *wanted = traffic->origins_wanted;
  stream_origin_key_t key = { stream };

  for (guint i = 0; i < wanted->len; i++)
    if (g_array_index (wanted, stream_origin_key_t, i).stream == stream)
      return;
  if (wanted->len < STREAM_ORIGIN_KEYS_MAX)
    g_array_append_val (wanted, key);
}

/* @return whether a process that starts now, with the store's record and the
   list of replicas alone, knows at which version the streams of a service have
   begun  */
static bool
successor_knows_version (const service_versions_t *successor, gs_time_t now,
                         const char *service, gs_time_t lookback)
{
  uint64_t version;

  return !service_versions_is_listed (successor, service)
         || service_versions_get_single (successor, now, service, lookback,
                                         &version);
}

static bool
successor_knows_all (const traffic_t *traffic, gs_time_t now)
{
  int64_t wall_ms = gs_clock_monotonic_wall () / GS_MSEC;
  gs_time_t lookback = traffic_stream_lookback (traffic);
  bool known = true;
  service_versions_t *successor;

  if (traffic->replicas == NULL || traffic->versions_record.services == NULL)
    return false;
  service_versions_create (&successor);
  service_versions_set (successor, now, wall_ms, traffic->replicas);
  service_versions_record_set (successor, now, wall_ms,
                               &traffic->versions_record);
  for (unsigned i = 0;
       known && i < gs_route_table_service_count (traffic->table); i++)
    {
      const char *name = gs_route_table_service (traffic->table, i)->name;

      known = !gs_route_table_service_has_streams (traffic->table, i)
              || successor_knows_version (successor, now, name, lookback);
    }
  service_versions_destroy (successor);
  return known;
}

void
traffic_origins_keep_update (traffic_t *traffic, gs_time_t now)
{
  bool keep
      = traffic->table != NULL
        && gs_route_table_stream_time (traffic->table) > 0
        && (service_versions_are_mixed (traffic->versions, now,
                                        traffic_stream_lookback (traffic))
            || !successor_knows_all (traffic, now));

  if (keep != traffic->keeps_origins)
    gs_log (GS_LOG_INFO, "origins_kept", "kept=%d streams=%llu", keep,
            (unsigned long long)stream_origins_last (traffic->origins));
  traffic->keeps_origins = keep;
}
