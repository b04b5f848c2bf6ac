#include "gateway/gateway_private.h"

#include "garnetstack/log.h"
#include "gateway/peers_http.h"
#include "platform/platform.h"

#include <string.h>
#include <time.h>

/* Tick of the control thread; a small part of the shortest interval below.  */
#define TICK_INTERVAL (20 * GS_MSEC)
/* A leaving node keeps listening while callers learn that it is leaving: for
   twice the time that they cache the list of addresses.  Callers that cache it
   longer find the port closed and use another address.  */
#define LEAVE_TIME_MIN (2 * GATEWAY_ADDRESSES_TTL)
/* Time to send the last answers of a leaving node.  */
#define LEAVE_FLUSH_TIME (100 * GS_MSEC)
/* Until the store has a node's place in its series of restarts, the node sends
   nothing again by the slack of the budget.  It is ready without that if the
   store does not answer for this long.  */
#define FLEET_WAIT_MAX GS_SEC
/* Interval at which a leaving node checks whether all responses are sent.  */
#define LEAVE_POLL_INTERVAL_NSEC 20000000
/* In fleets of up to this many nodes, every node follows the store.  */
#define ALL_FOLLOW_NODES_MAX 6
/* Nodes of a larger fleet that follow the store; one of them may be
   partitioned while another one restarts.  */
#define FOLLOWER_COUNT 4
/* Minimum time between two notifications of all peers about leaving replicas;
   a small part of the time that those still serve.  */
#define REPLICA_NOTIFY_INTERVAL (250 * GS_MSEC)

/* The control thread has the routes and replicas slightly before the traffic
   thread, so the report must confirm that the latter has them too.  */
bool
gateway_is_ready (const gateway_t *gateway)
{
  const traffic_report_t *report = duties_report (gateway->duties);

  return gateway->has_replicas && !gateway->leaving && report != NULL
         && report->can_serve
         && (gateway->view_has_fleet
             || gs_clock_now () >= gateway->fleet_deadline);
}

static void
ignore_feed_event (void *context, gs_time_t now)
{
  (void)context;
  (void)now;
}

/* A configuration is never replaced by an older one.  The feed only delivers
   revisions newer than its own, and the revision is compared here as well.  A
   store that came back from an older copy has an older version under a newer
   revision, until the operator writes again.  */
static void
on_config (void *context, gs_time_t now, const gs_object_t *object)
{
  gateway_t *gateway = context;
  gs_route_table_t *table;

  if (object->removed || strcmp (object->name, GS_PLATFORM_CONFIG_NAME) != 0)
    return;
  if (gateway->table != NULL
      && object->revision <= gs_route_table_revision (gateway->table))
    return;
  if (gs_platform_routes_decode (&table, object->value, object->revision)
      != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "config_refused", "revision=%llu reason=\"%s\"",
              (unsigned long long)object->revision, gs_error_last ());
      return;
    }
  if (gateway->table != NULL
      && gs_route_table_version (table)
             < gs_route_table_version (gateway->table))
    {
      gs_log (GS_LOG_WARN, "config_older",
              "revision=%llu version=%llu in_force=%llu",
              (unsigned long long)object->revision,
              (unsigned long long)gs_route_table_version (table),
              (unsigned long long)gs_route_table_version (gateway->table));
      gs_route_table_unref (table);
      return;
    }
  gs_route_table_unref (gateway->table);
  gateway->table = table;
  gateway->table_adopted_at = now;
  duties_routes_set (gateway->duties, table);
  if (gateway->follows_store)
    peers_notify_all (gateway->peers, now);
  traffic_routes_set (gateway->traffic, gs_route_table_ref (table));
}

static void
publish_replicas (gateway_t *gateway)
{
  gs_replica_list_t *list;

  if (gateway_rollouts_are_awaited (gateway, gs_clock_now ()))
    return;
  list = roster_list_export (gateway->roster);
  if (list == NULL)
    return;
  duties_replicas_set (gateway->duties, list);
  store_records_replicas_set (gateway->records, list);
  gateway_rollouts_publish (gateway, gs_clock_now ());
  traffic_replicas_set (gateway->traffic, list);
}

static void
on_replicas_listed (void *context, gs_time_t now)
{
  gateway_t *gateway = context;

  (void)now;
  gateway->has_replicas = true;
  publish_replicas (gateway);
}

static void
on_replica (void *context, gs_time_t now, const gs_object_t *object)
{
  gateway_t *gateway = context;
  gs_replica_t replica;
  bool decoded
      = !object->removed
        && gs_platform_replica_decode (&replica, object, now) == GS_OK;

  if (object->removed || (decoded && replica.state == GS_REPLICA_DRAINING))
    gateway->notify_pending = true;
  if (decoded)
    {
      roster_replica_put (gateway->roster, now, &replica);
      return;
    }
  if (!object->removed)
    gs_log (GS_LOG_WARN, "replica_skipped",
            "id=%s revision=%llu reason=\"%s\"", object->name,
            (unsigned long long)object->revision, gs_error_last ());
  roster_replica_remove (gateway->roster, now, object->name);
}

static void
on_replica_feed_lost (void *context, gs_time_t now)
{
  roster_store_failure_record (((gateway_t *)context)->roster, now);
}

static void
on_replica_feed_back (void *context, gs_time_t now)
{
  roster_store_answer_record (((gateway_t *)context)->roster, now);
}

static void
get_state (void *context, peers_state_t *out)
{
  const gateway_t *gateway = context;
  bool store_lost = feed_store_lost_at (gateway->replica_feed) != 0;

  *out = (peers_state_t){
    .flags
    = (gateway_is_ready (gateway) ? PEER_READY : 0)
      | (gateway->leaving ? PEER_LEAVING : 0)
      | (gateway_is_cut (gateway) ? PEER_CUT : 0)
      | (gateway->follows_store && !store_lost ? PEER_FOLLOWS_STORE : 0),
    .store_lost = store_lost,
    .config_revision
    = gateway->table != NULL ? gs_route_table_revision (gateway->table) : 0,
    .replicas_revision = feed_revision (gateway->replica_feed),
    .members_revision = feed_revision (membership_feed (gateway->membership)),
    .usage_window = (uint64_t)duties_usage_window (gateway->duties),
    .resignation = duties_resignation (gateway->duties),
  };
}

static void
on_resigned (void *context)
{
  peers_notify_all (((gateway_t *)context)->peers, gs_clock_now ());
}

static const traffic_report_t *
get_report (void *context)
{
  return duties_report (((gateway_t *)context)->duties);
}

/* @return whether this node copies a feed although it may watch the store: it
   does not watch it, the store rejects its calls, or the first list has not
   come yet.  While its own watch works, that delivers the changes a moment
   later.  */
static bool
needs_copies (const gateway_t *gateway, const feed_t *feed)
{
  return feed_store_lost_at (feed) != 0 || !gateway->follows_store
         || feed_revision (feed) == 0;
}

/* Copies the configuration, the replicas or the nodes from a peer that has a
   newer revision.  The configuration is copied even while this node's own
   watch works: a watch on a silent connection takes seconds to fail.  */
static void
on_peer_state (void *context, gs_time_t now, const gs_endpoint_t *endpoint,
               const peers_state_t *state)
{
  gateway_t *gateway = context;

  duties_usage_window_raise (gateway->duties, (int64_t)state->usage_window);
  duties_resignation_set (gateway->duties, now, &state->resignation);
  feed_copy_offer (gateway->copies[COPY_CONFIG].copy, now, endpoint,
                   state->config_revision);
  if (needs_copies (gateway, gateway->replica_feed))
    feed_copy_offer (gateway->copies[COPY_REPLICAS].copy, now, endpoint,
                     state->replicas_revision);
  if (needs_copies (gateway, membership_feed (gateway->membership)))
    feed_copy_offer (gateway->copies[COPY_MEMBERS].copy, now, endpoint,
                     state->members_revision);
}

typedef struct
{
  gateway_t *gateway;
  traffic_report_t *report;
} report_message_t;

static void
adopt_report (void *context)
{
  report_message_t *message = context;

  atomic_store (&message->gateway->open_exchanges,
                message->report->open_exchanges);
  peers_origins_request (message->gateway->peers, gs_clock_now (),
                         message->report->origins_wanted);
  duties_report_set (message->gateway->duties, message->report);
  g_free (message);
}

/* Called on the traffic thread.  */
static void
on_report (void *context, traffic_report_t *report)
{
  gateway_t *gateway = context;
  report_message_t *message = g_new (report_message_t, 1);

  *message = (report_message_t){ gateway, report };
  if (gs_loop_post (gateway->loop, adopt_report, message) != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "message_dropped", "reason=queue_full");
      traffic_report_free (report);
      g_free (message);
    }
}

typedef struct
{
  gateway_t *gateway;
  GArray *rows;
} origins_message_t;

static void
adopt_origins (void *context)
{
  origins_message_t *message = context;

  peers_origins_add (message->gateway->peers, gs_clock_now (), message->rows);
  g_array_unref (message->rows);
  g_free (message);
}

/* Called on the traffic thread.  */
static void
on_origins (void *context, GArray *rows)
{
  gateway_t *gateway = context;
  origins_message_t *message = g_new (origins_message_t, 1);

  *message = (origins_message_t){ gateway, rows };
  if (gs_loop_post (gateway->loop, adopt_origins, message) != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "message_dropped", "reason=queue_full");
      g_array_unref (rows);
      g_free (message);
    }
}

/* The store answers a limited number of calls of all nodes together, so in a
   large fleet only a few nodes follow it for all.  The others follow it
   themselves while they know of no node to which the store responds.  */
static void
update_follows_store (gateway_t *gateway, gs_time_t now)
{
  gateway->follows_store
      = peers_member_count (gateway->peers, now) <= ALL_FOLLOW_NODES_MAX
        || feed_revision (gateway->replica_feed) == 0
        || peers_rank (gateway->peers, now) < FOLLOWER_COUNT
        || !peers_has_follower (gateway->peers, now);
  if (gateway->follows_store)
    return;
  feed_store_lost_clear (gateway->config_feed, now);
  feed_store_lost_clear (gateway->replica_feed, now);
}

/* Notifies the peers of leaving replicas, so that also nodes that learn of
   replicas only from digests soon stop sending requests to them.  */
static void
notify_leaving_replicas (gateway_t *gateway, gs_time_t now)
{
  if (!gateway->notify_pending || now < gateway->notify_due)
    return;
  gateway->notify_pending = false;
  gateway->notify_due = now + REPLICA_NOTIFY_INTERVAL;
  if (gateway->follows_store
      && peers_member_count (gateway->peers, now) > ALL_FOLLOW_NODES_MAX)
    peers_notify_all (gateway->peers, now);
}

static duties_wish_t
choose_wish (const gateway_t *gateway, gs_time_t now)
{
  const traffic_report_t *report = duties_report (gateway->duties);
  duties_standing_t standing
      = { .can_serve
          = gateway->has_replicas && report != NULL && report->can_serve,
          .rank = peers_rank (gateway->peers, now),
          .all_report
          = peers_member_count (gateway->peers, now) <= PEERS_SMALL_FLEET_MAX,
          .leave_started_at = gateway->leave_started_at };

  return duties_wish_choose (&standing, now);
}

static void
on_tick (void *context)
{
  gateway_t *gateway = context;
  gs_time_t now = gs_clock_now ();

  update_follows_store (gateway, now);
  feed_tick (gateway->config_feed, now, gateway->follows_store);
  feed_tick (gateway->replica_feed, now, gateway->follows_store);
  membership_tick (gateway->membership, now, gateway->follows_store);
  peers_tick (gateway->peers, now);
  for (size_t i = 0; i < COPY_COUNT; i++)
    feed_copy_tick (gateway->copies[i].copy, now);
  roster_expire (gateway->roster, now);
  publish_replicas (gateway);
  notify_leaving_replicas (gateway, now);
  duties_tick (gateway->duties, now, choose_wish (gateway, now));
  store_records_tick (gateway->records, now, gateway->traffic,
                      duties_report (gateway->duties), gateway->has_replicas,
                      duties_is_holder (gateway->duties));
  gateway_rollouts_tick (gateway, now);
  gateway_view_publish (gateway, now);
  if (now >= gateway->server_tick_due)
    {
      gateway->server_tick_due = now + GS_SEC;
      for (size_t i = 0; i < G_N_ELEMENTS (gateway->servers); i++)
        if (gateway->servers[i] != NULL)
          gs_server_tick (gateway->servers[i]);
    }
}

static void *
run (void *context)
{
  gs_loop_run (((gateway_t *)context)->loop);
  return NULL;
}

static void
create_copy (gateway_t *gateway, gateway_copy_t *out, feed_t *feed,
             const char *path)
{
  feed_copy_transport_t transport;

  out->feed = feed;
  feed_encoder_create (&out->encoder, feed);
  feed_copy_http_create (&out->http, gateway->loop, path,
                         GATEWAY_PEER_BODY_BYTES_MAX);
  transport = feed_copy_http_transport (out->http);
  feed_copy_create (&out->copy, feed, &transport);
}

static void
create_controllers (gateway_t *gateway)
{
  uint64_t seed = gateway->incarnation;
  feed_listener_t config = { gateway, on_config, ignore_feed_event,
                             ignore_feed_event, ignore_feed_event };
  feed_listener_t replicas = { gateway, on_replica, on_replicas_listed,
                               on_replica_feed_lost, on_replica_feed_back };
  peers_listener_t peers_listener
      = { gateway, get_state, get_report, on_peer_state };
  peers_transport_t transport;
  duties_options_t duties = { &gateway->settings,
                              &gateway->store,
                              &gateway->provider,
                              NULL,
                              gateway->incarnation,
                              on_resigned,
                              gateway };

  gs_platform_store_create (&gateway->store, gateway->loop,
                            &gateway->settings.store_endpoint);
  gs_platform_provider_create (&gateway->provider, gateway->loop,
                               &gateway->settings.provider_endpoint);
  roster_create (&gateway->roster, gateway->settings.drain_time);
  feed_create (&gateway->config_feed, &gateway->store, GS_PLATFORM_KIND_CONFIG,
               &config, seed);
  feed_create (&gateway->replica_feed, &gateway->store,
               GS_PLATFORM_KIND_REPLICAS, &replicas, seed + 1);
  peers_http_init (&transport, gateway->loop);
  peers_create (&gateway->peers, &gateway->self, gateway->settings.seeds,
                gateway->settings.seed_count, &peers_listener, &transport,
                seed + 2);
  membership_create (&gateway->membership, &gateway->store, gateway->peers,
                     &gateway->self, gateway->settings.resend_window,
                     seed + 3);
  store_records_create (&gateway->records, &gateway->store, gateway->peers,
                        &gateway->settings);
  create_copy (gateway, &gateway->copies[COPY_CONFIG], gateway->config_feed,
               PEERS_CONFIG_PATH);
  create_copy (gateway, &gateway->copies[COPY_REPLICAS], gateway->replica_feed,
               PEERS_REPLICAS_PATH);
  create_copy (gateway, &gateway->copies[COPY_MEMBERS],
               membership_feed (gateway->membership), PEERS_MEMBERS_PATH);
  duties.peers = gateway->peers;
  duties_create (&gateway->duties, &duties);
  gateway_rollouts_create (gateway);
}

gs_status_t
gateway_create (gateway_t **out, const gs_deployment_t *settings)
{
  gateway_t *gateway = g_new0 (gateway_t, 1);
  traffic_options_t traffic = { &gateway->settings,
                                &gs_platform_header_codec,
                                0,
                                on_report,
                                on_origins,
                                gateway };
  gs_status_t status;

  *out = NULL;
  gateway->settings = *settings;
  /* The first call fixes the offset to the wall clock, so that later jumps of
     the wall clock do not move usage windows.  */
  gs_clock_monotonic_wall ();
  gateway->incarnation = gs_rng_entropy ();
  gateway->fleet_deadline = gs_clock_now () + FLEET_WAIT_MAX;
  gateway->self.incarnation = gateway->incarnation;
  gateway->self.callers = settings->caller_endpoint;
  gateway->self.peers = settings->peer_endpoint;
  g_strlcpy (gateway->self.name, settings->node, sizeof gateway->self.name);
  g_strlcpy (gateway->self.data_centre, settings->data_centre,
             sizeof gateway->self.data_centre);
  gs_loop_create (&gateway->loop);
  gs_loop_tick_set (gateway->loop, TICK_INTERVAL, on_tick, gateway);
  create_controllers (gateway);
  traffic.seed = gateway->incarnation + 4;
  status = traffic_create (&gateway->traffic, &traffic);
  if (status == GS_OK)
    status = gateway_listeners_start (gateway);
  if (status == GS_OK)
    status = gs_thread_start (&gateway->thread, "control", run, gateway);
  if (status != GS_OK)
    {
      gateway_destroy (gateway);
      return status;
    }
  *out = gateway;
  return GS_OK;
}

static void
start_leaving (void *context)
{
  gateway_t *gateway = context;
  gs_time_t now = gs_clock_now ();

  gateway->leaving = true;
  gateway->leave_started_at = now;
  membership_leave (gateway->membership, now);
  peers_notify_all (gateway->peers, now);
}

void
gateway_leave (gateway_t *gateway, gs_time_t deadline)
{
  static const struct timespec pause = { 0, LEAVE_POLL_INTERVAL_NSEC };
  gs_time_t earliest_end = gs_clock_now () + LEAVE_TIME_MIN;
  gs_time_t now;

  if (gs_loop_post (gateway->loop, start_leaving, gateway) != GS_OK)
    gs_log (GS_LOG_ERROR, "message_dropped", "reason=queue_full");
  traffic_leave (gateway->traffic, deadline - LEAVE_FLUSH_TIME);
  do
    {
      nanosleep (&pause, NULL);
      now = gs_clock_now ();
    }
  while (
      now < deadline
      && (now < earliest_end || atomic_load (&gateway->open_exchanges) > 0));
}

void
gateway_destroy (gateway_t *gateway)
{
  if (gateway == NULL)
    return;
  traffic_destroy (gateway->traffic);
  if (gateway->thread != NULL)
    {
      gs_loop_stop (gateway->loop);
      gs_thread_join (gateway->thread);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (gateway->servers); i++)
    gs_server_destroy (gateway->servers[i]);
  gs_loop_destroy (gateway->loop);
  gateway_rollouts_destroy (gateway);
  duties_destroy (gateway->duties);
  for (size_t i = 0; i < COPY_COUNT; i++)
    {
      feed_copy_destroy (gateway->copies[i].copy);
      feed_copy_http_destroy (gateway->copies[i].http);
      feed_encoder_destroy (gateway->copies[i].encoder);
    }
  store_records_destroy (gateway->records);
  membership_destroy (gateway->membership);
  peers_destroy (gateway->peers);
  feed_destroy (gateway->replica_feed);
  feed_destroy (gateway->config_feed);
  roster_destroy (gateway->roster);
  gs_platform_provider_destroy (&gateway->provider);
  gs_platform_store_destroy (&gateway->store);
  gs_route_table_unref (gateway->table);
  g_free (gateway);
}
