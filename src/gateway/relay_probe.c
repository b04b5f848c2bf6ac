#include "gateway/relay_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

/* Replicas that have been silent for this long although they should have
   answered are in doubt.  */
#define SILENCE_MAX REPLICA_REACH_PROBE_TIMEOUT

typedef struct
{
  traffic_t *traffic;
  bool connect_only;
  bool answered;
} probe_t;

static bool
on_probe_line (void *context, const char *line, size_t length)
{
  (void)line;
  (void)length;
  ((probe_t *)context)->answered = true;
  return true;
}

static void
log_change (const traffic_t *traffic, gs_time_t now)
{
  const replica_reach_t *reach = &traffic->reach;

  gs_meter_set ("replicas_reached", "", !reach->cut);
  gs_log (reach->cut ? GS_LOG_WARN : GS_LOG_INFO,
          reach->cut ? "replicas_unreachable" : "replicas_reachable",
          "silent_ms=%lld detours=%u",
          (long long)((now - traffic->last_contact_at) / GS_MSEC),
          traffic->detours->len);
}

static void
on_probe_done (void *context, const gs_http_result_t *result)
{
  probe_t *probe = context;
  traffic_t *traffic = probe->traffic;
  gs_time_t now = gs_clock_now ();
  bool answered
      = probe->answered || (probe->connect_only && result->status == GS_OK);
  bool changed = replica_reach_probe_end (&traffic->reach, now, answered);

  g_free (probe);
  if (!changed)
    return;
  log_change (traffic, now);
  traffic->report_due = now;
  if (!traffic->reach.cut)
    placer_ejections_clear (traffic->placer);
  relay_queues_serve (traffic, now);
}

static void
send_probe (traffic_t *traffic, gs_time_t now, uint32_t row)
{
  const gs_replica_t *replica = placer_replica (traffic->placer, row);
  int service = gs_route_table_service_find (traffic->table, replica->service);
  const char *path = service >= 0 ? gs_route_table_service (traffic->table,
                                                            (unsigned)service)
                                        ->health_path
                                  : NULL;
  char *url = g_strdup_printf ("http://%s/", replica->address);
  gs_http_request_t request = GS_HTTP_REQUEST_INIT;
  probe_t *probe = g_new0 (probe_t, 1);

  probe->traffic = traffic;
  /* A replica without room rejects a health check like any request, and a
     brittle one bears only a few rejections.  */
  probe->connect_only = placer_row_is_brittle (traffic->placer, now, row);
  request.connect_only = probe->connect_only;
  request.url = url;
  request.target = path != NULL ? path : "/";
  request.new_connection = true;
  request.deadline = now + REPLICA_REACH_PROBE_TIMEOUT;
  request.on_line = on_probe_line;
  request.on_done = on_probe_done;
  request.context = probe;
  request.context_free = g_free;
  gs_loop_http (NULL, traffic->loop, &request);
  g_free (url);
}

/* @return whether a replica should have answered by now, and none has said
   anything for as long  */
static bool
are_replicas_silent (const traffic_t *traffic, gs_time_t now)
{
  GHashTableIter iter;
  gpointer key;

  if (now < traffic->last_contact_at + SILENCE_MAX)
    return false;
  g_hash_table_iter_init (&iter, traffic->relays);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const relay_t *relay = key;

      if (relay->call != NULL && !relay->detoured && !relay->head.complete
          && now > MAX (relay->choice.first_event_expected_at, relay->sent_at)
                       + SILENCE_MAX)
        return true;
    }
  return false;
}

void
relay_probes_send (traffic_t *traffic, gs_time_t now)
{
  uint32_t rows[REPLICA_REACH_PROBES];
  unsigned count;

  if (traffic->has_contact)
    traffic->last_contact_at = now;
  traffic->has_contact = false;
  if (traffic->table == NULL)
    return;
  if (are_replicas_silent (traffic, now))
    replica_reach_doubt (&traffic->reach);
  if (!traffic->reach.suspected && !traffic->reach.cut)
    return;
  count = placer_sample (traffic->placer, REPLICA_REACH_PROBES, rows);
  count = replica_reach_probes_begin (&traffic->reach, now, count);
  for (unsigned i = 0; i < count; i++)
    send_probe (traffic, now, rows[i]);
}
