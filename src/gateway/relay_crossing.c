#include "gateway/relay_private.h"

#include "fleet/peers.h"
#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <math.h>
#include <string.h>

/* Change of the share, and end of it, that are logged.  */
#define SHARE_LOGGED_DIFFERENCE 0.05
#define SHARE_LOGGED_MIN 0.005
/* Parts of the time that a request may be queued: first it waits for a local
   slot, then it crosses to data centres that have room beyond their reserve,
   at last to any (tests/test_crossing.c).  */
#define HOLD_RATIO 0.5
#define URGENT_RATIO 0.83
/* The queues are processed at this interval, so a request whose time ends
   within it has its last chance.  */
#define LAST_CHANCE_TIME (10 * GS_MSEC)

/* @return name of a data centre with replicas; "-" if none has the hash  */
static const char *
centre_name (const traffic_t *traffic, uint64_t id)
{
  for (unsigned i = 0;
       traffic->replicas != NULL && i < traffic->replicas->count; i++)
    {
      const char *name = traffic->replicas->rows[i].data_centre;

      if (crossing_centre_hash (name) == id)
        return name;
    }
  return "-";
}

/* @return nodes in this node's data centre that accept requests, this one
   included
   @param far receives whether there are some in another one  */
static unsigned
count_near_nodes (const traffic_t *traffic, bool *far)
{
  unsigned near = 1;

  *far = false;
  for (guint i = 0; i < traffic->detours->len; i++)
    {
      bool is_near
          = g_array_index (traffic->detours, traffic_detour_t, i).near;

      near += is_near;
      *far |= !is_near;
    }
  return near;
}

/* @return age of what is known of the load of other nodes  */
static gs_time_t
loads_age (const traffic_t *traffic, gs_time_t now)
{
  return traffic->members <= 1             ? 0
         : traffic->loads_received_at == 0 ? GS_TIME_NEVER
                                           : now - traffic->loads_received_at;
}

/* The load of other nodes counts while its requests run, and as long as a node
   that does not answer is taken for live.  */
static double
load_freshness (const traffic_t *traffic, const traffic_service_t *service,
                gs_time_t now)
{
  gs_time_t live = (gs_time_t)(PEERS_MISSED_EXCHANGES_MAX
                               * (double)PEERS_EXCHANGE_INTERVAL);

  return crossing_freshness (
      loads_age (traffic, now),
      MAX (live, admission_queue_mean_run_time (service->queue)));
}

static void
report_share (traffic_t *traffic, traffic_service_t *service)
{
  const crossing_t *crossing = &service->crossing;
  bool ended = crossing->share < SHARE_LOGGED_MIN
               && service->crossing_share_logged >= SHARE_LOGGED_MIN;

  for (unsigned i = 0; i < crossing->count; i++)
    {
      char labels[192];

      g_snprintf (labels, sizeof labels, "service=\"%s\",data_centre=\"%s\"",
                  service->name,
                  centre_name (traffic, crossing->targets[i].id));
      gs_meter_set ("crossing_share", labels, crossing->targets[i].share);
    }
  if (!ended
      && fabs (crossing->share - service->crossing_share_logged)
             < SHARE_LOGGED_DIFFERENCE)
    return;
  for (unsigned i = 0; i < crossing->count; i++)
    {
      const crossing_target_t *target = &crossing->targets[i];

      gs_log (GS_LOG_INFO, "crossing_share",
              "service=%s data_centre=%s share=%.3f of=%.3f excess=%.3f"
              " room=%.0f",
              service->name, centre_name (traffic, target->id), target->share,
              crossing->share, crossing->excess_ratio, target->room);
    }
  service->crossing_share_logged = ended ? 0 : crossing->share;
}

void
traffic_crossing_update (traffic_t *traffic, gs_time_t now)
{
  bool far;
  unsigned near = count_near_nodes (traffic, &far);
  GHashTableIter iter;
  gpointer value;

  traffic->has_far_nodes = far;
  g_hash_table_iter_init (&iter, traffic->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      traffic_service_t *service = value;
      crossing_centre_t centres[CROSSING_CENTRES_MAX];
      int index
          = traffic->table != NULL
                ? gs_route_table_service_find (traffic->table, service->name)
                : -1;
      bool engine = index >= 0
                    && gs_route_table_service (traffic->table, (unsigned)index)
                           ->engine;
      unsigned count
          = placer_centres_export (traffic->placer, now, service->name, engine,
                                   CROSSING_CENTRES_MAX, centres);

      if (service->crossing.local == CROSSING_CENTRE_NONE)
        crossing_init (
            &service->crossing,
            crossing_centre_hash (traffic->options.deployment->data_centre));
      crossing_update (&service->crossing, now, centres, count, near,
                       admission_queue_length (service->queue),
                       load_freshness (traffic, service, now));
      if (far && traffic->options.deployment->crossing == GS_CROSSING_AUTO)
        report_share (traffic, service);
    }
}

/* @return whether the placer prefers replicas of this node's data centre  */
static bool
is_local_first (const relay_t *relay)
{
  return relay->traffic->options.deployment->crossing == GS_CROSSING_AUTO
         && relay->service->crossing.spread && relay->traffic->has_far_nodes;
}

static gs_time_t
time_at_ratio (const relay_t *relay, double ratio)
{
  gs_time_t queue_time = relay->entry.on_time_until - relay->arrived_at;

  return relay->arrived_at + (gs_time_t)(ratio * (double)queue_time);
}

static crossing_need_t
need_at (const relay_t *relay, gs_time_t now)
{
  if (now > relay->entry.on_time_until)
    return now + LAST_CHANCE_TIME >= relay->entry.serve_until
               ? CROSSING_NEED_LAST
               : CROSSING_NEED_URGENT;
  if (now + LAST_CHANCE_TIME >= relay->entry.on_time_until)
    return CROSSING_NEED_LAST;
  /* A replica or its connection has turned the request away.  */
  if (relay->attempts > 0 || now >= time_at_ratio (relay, URGENT_RATIO))
    return CROSSING_NEED_URGENT;
  return now >= time_at_ratio (relay, HOLD_RATIO) ? CROSSING_NEED_LATE
                                                  : CROSSING_NEED_NONE;
}

void
relay_crossing_set (relay_t *relay, gs_time_t now, placer_query_t *query)
{
  traffic_t *traffic = relay->traffic;
  crossing_t *crossing = &relay->service->crossing;
  crossing_verdict_t *verdict = &query->crossing;

  query->goal_at = relay->goal_at;
  query->data_centre
      = crossing_centre_hash (traffic->options.deployment->data_centre);
  if (traffic->options.deployment->crossing == GS_CROSSING_NEVER)
    verdict->rule = CROSSING_FORBIDDEN;
  else if (!is_local_first (relay))
    verdict->rule = CROSSING_FREE;
  /* The request may already have come from another data centre.  */
  else if (relay->request.from_node)
    verdict->rule = CROSSING_FORBIDDEN;
  else if (relay->possible_runs > 0)
    verdict->rule = CROSSING_FREE;
  else
    {
      if (!relay->crossing_drawn)
        verdict->target = crossing_draw (crossing, now, &traffic->rng);
      relay->crossing_drawn = true;
      verdict->rule = CROSSING_LOCAL_FIRST;
      verdict->state = crossing;
      verdict->need = need_at (relay, now);
      if (verdict->need == CROSSING_NEED_NONE)
        verdict->hold_until = time_at_ratio (relay, HOLD_RATIO);
    }
}

bool
relay_crossing_is_last_chance (const relay_t *relay, gs_time_t now)
{
  return is_local_first (relay) && need_at (relay, now) == CROSSING_NEED_LAST;
}

bool
relay_crossing_retry (relay_t *relay, gs_time_t now, placer_query_t *query)
{
  if (query->crossing.rule != CROSSING_LOCAL_FIRST
      || query->crossing.need == CROSSING_NEED_LAST)
    return false;
  query->crossing.need = CROSSING_NEED_LAST;
  query->crossing.hold_until = 0;
  return placer_pick (relay->traffic->placer, now, query, &relay->choice)
         == GS_OK;
}

void
relay_crossing_begin (relay_t *relay, const gs_replica_t *replica)
{
  char labels[160];
  size_t length;

  g_strlcpy (relay->replica_data_centre, replica->data_centre,
             sizeof relay->replica_data_centre);
  relay->crossed = strcmp (replica->data_centre,
                           relay->traffic->options.deployment->data_centre)
                   != 0;
  if (!relay->crossed)
    return;
  g_snprintf (labels, sizeof labels, "service=\"%s\",reason=\"%s\"",
              relay->service->name,
              crossing_reason_name (relay->choice.crossing));
  gs_meter_add ("crossings_total", labels, 1);
  gs_exchange_body (relay->exchange, &length);
  g_snprintf (labels, sizeof labels, "service=\"%s\",direction=\"out\"",
              relay->service->name);
  gs_meter_add ("crossing_bytes_total", labels, (double)length);
}

void
relay_crossing_received (relay_t *relay, size_t length)
{
  char labels[128];

  if (!relay->crossed || relay->detoured)
    return;
  g_snprintf (labels, sizeof labels, "service=\"%s\",direction=\"in\"",
              relay->service->name);
  gs_meter_add ("crossing_bytes_total", labels, (double)length);
}

void
relay_crossing_end (relay_t *relay, gs_time_t now, placer_outcome_t outcome)
{
  bool answered = relay->head.complete || relay->attempt_responded;
  bool failed = outcome == PLACER_FAILED || outcome == PLACER_UNREACHABLE;

  if (!relay->crossed || outcome == PLACER_CANCELLED)
    return;
  if (crossing_attempt_end (&relay->service->crossing, now,
                            crossing_centre_hash (relay->replica_data_centre),
                            failed && !answered))
    gs_log (GS_LOG_WARN, "crossing_closed", "service=%s data_centre=%s",
            relay->service->name, relay->replica_data_centre);
}
