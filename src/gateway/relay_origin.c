#include "gateway/relay_private.h"

/* Nodes tell each other of a stream within two exchanges; a request that
   resumes a stream which this node does not know waits for them.  */
#define ORIGIN_WAIT_MAX (600 * GS_MSEC)
/* A caller that claims to wait longer counts as one that waits as long.  */
#define STREAM_TIME_MAX (600 * GS_SEC)

void
relay_origin_set (relay_t *relay, gs_time_t now)
{
  const gs_request_headers_t *request = &relay->request;
  traffic_t *traffic = relay->traffic;

  if (relay->route->resend_policy != GS_RESEND_RESUME)
    return;
  traffic->stream_time_max = MAX (traffic->stream_time_max,
                                  MIN (request->timeout, STREAM_TIME_MAX));
  relay->resumed = request->resume_after != 0 || request->resumes[0] != '\0';
  relay->origin_deadline = now + ORIGIN_WAIT_MAX;
}

/* Asks the other nodes which version began a stream.  */
static void
request_origin (relay_t *relay, gs_time_t now, uint64_t stream)
{
  traffic_origin_request (relay->traffic, stream);
  if (!relay->origin_requested)
    relay->traffic->report_due = now;
  relay->origin_requested = true;
}

/* Has the control thread read the store's record of versions.  */
static void
request_versions (traffic_t *traffic, gs_time_t now)
{
  if (!traffic->versions_wanted)
    traffic->report_due = now;
  traffic->versions_wanted = true;
}

bool
relay_origin_is_known (relay_t *relay, gs_time_t now)
{
  traffic_t *traffic = relay->traffic;
  const char *begun = relay->request.resumes[0] != '\0'
                          ? relay->request.resumes
                          : relay->request.id;
  uint64_t stream = stream_origins_hash (begun);
  uint64_t single;

  if (!relay->resumed || relay->version != 0)
    return true;
  if (stream_origins_find (traffic->origins, now, stream, &relay->version))
    return true;
  if (!service_versions_get_single (
          traffic->versions, now, relay->service->name,
          traffic_stream_lookback (traffic), &single))
    {
      /* No other node can tell where it began.  */
      if (relay->request.resumes[0] == '\0')
        relay->origin_deadline = now;
      else
        request_origin (relay, now, stream);
      return false;
    }
  if (relay->arrived_at > traffic->versions_known_until)
    {
      request_origin (relay, now, stream);
      request_versions (traffic, now);
      return false;
    }
  relay->version = single;
  return true;
}

/* A stream that is sent again before its first event stays at the version that
   was recorded for it, if another replica has that: the new record might not
   reach the store before all nodes are killed.  */
static void
prefer_recorded_version (const relay_t *relay, gs_time_t now,
                         placer_query_t *query)
{
  placer_query_t same = *query;
  placer_choice_t choice;

  if (relay->attempts == 0 || relay->replica_version[0] == '\0')
    return;
  same.version = placer_version_hash (relay->replica_version);
  if (placer_pick (relay->traffic->placer, now, &same, &choice) == GS_OK
      && choice.row != query->avoid)
    query->version = same.version;
}

void
relay_origin_restrict (const relay_t *relay, gs_time_t now,
                       placer_query_t *query)
{
  if (relay->route->resend_policy != GS_RESEND_RESUME || relay->resumed
      || relay->version != 0)
    return;
  query->versions = service_versions_beginning (
      relay->traffic->versions, relay->service->name, &query->version_count);
  prefer_recorded_version (relay, now, query);
}

void
relay_origin_record (relay_t *relay, gs_time_t now)
{
  gs_time_t wait = MAX (relay->request.timeout, relay->deadline - now);
  stream_origin_t origin
      = { .stream = stream_origins_hash (relay->request.id),
          .version = placer_version_hash (relay->replica_version),
          .expires_at = relay->arrived_at + wait };

  if (relay->route->resend_policy == GS_RESEND_RESUME && relay->version == 0)
    stream_origins_add (relay->traffic->origins, now, &origin,
                        STREAM_ORIGIN_OWN);
}
