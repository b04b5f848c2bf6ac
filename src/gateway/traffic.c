#include "gateway/traffic_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <string.h>

/* Interval at which the queues are processed.  */
#define TICK_INTERVAL (10 * GS_MSEC)
/* Limit of the HTTP server on the body of a request, the largest that the
   platform allows.  The limits of the configuration apply in addition
   (relay_admit.c).  */
#define BODY_BYTES_MAX ((size_t)8 << 20)
/* Memory of a connection.  Half of it holds a head of the largest size that
   configurations allow and what follows it, the other half records of some 470
   headers and the head of the response.  */
#define CONNECTION_BYTES ((size_t)64 << 10)
/* Connections may use the memory of the node divided by this; those that have
   carried one request use little of theirs.  */
#define CONNECTIONS_MEMORY_DIVISOR 2
/* The bodies of open requests may use the memory of the node divided by this.
   Buffered responses, tables and the log share the rest.  */
#define BODIES_MEMORY_DIVISOR 4
/* The same for responses: those that are buffered until they are whole, and
   what callers have not received yet.  A buffer may be twice as large as what
   is in it.  */
#define RESPONSES_MEMORY_DIVISOR 8
/* File descriptors reserved for files, peers and replicas.  The smallest node
   of the known deployments has 4096.  */
#define DESCRIPTORS_RESERVED 1000
/* Idle connections are closed this much later than configured, because a
   caller may reuse one that has been idle for nearly the whole limit.  The
   delay costs only memory.  */
#define IDLE_SLACK_SECONDS 5
/* Applies until a configuration sets the idle timeout.  */
#define IDLE_SECONDS_DEFAULT 60
/* Part of VERSION_HISTORY_DELAY, from the listing of a version by the leader
   to its first stream, that is left when other nodes list it: they do so
   within an exchange of the leader.  */
#define VERSION_BEGIN_DELAY_MIN (300 * GS_MSEC)
/* The platform tolerates some excess over a limit, and the nodes use this
   fraction of it.  The rest covers the excess caused by the loss of nodes and
   of the usage that they had counted (simulated in tests/test_quota.c).  */
#define QUOTA_TOLERANCE_RATIO 0.6

static void
service_free (gpointer data)
{
  traffic_service_t *service = data;

  admission_queue_destroy (service->queue);
  return_schedule_destroy (service->returns);
  g_free (service->name);
  g_free (service);
}

traffic_service_t *
traffic_service_ensure (traffic_t *traffic, const char *name)
{
  traffic_service_t *service = g_hash_table_lookup (traffic->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (traffic_service_t, 1);
  service->name = g_strdup (name);
  admission_queue_create (&service->queue);
  return_schedule_create (&service->returns);
  g_strlcpy (service->demand.service, name, sizeof service->demand.service);
  resend_budget_init (&service->budget,
                      traffic->options.deployment->resend_window,
                      traffic->started_at);
  g_hash_table_insert (traffic->services, service->name, service);
  return service;
}

resend_bounds_t
traffic_resend_bounds (const traffic_t *traffic)
{
  const gs_deployment_t *deployment = traffic->options.deployment;

  return (resend_bounds_t){ deployment->resend_ratio, deployment->resend_slack,
                            traffic->members, traffic->restarts_known,
                            traffic->restarts };
}

static void
export_demand (const traffic_t *traffic, gs_time_t now, GArray *out)
{
  resend_bounds_t bounds = traffic_resend_bounds (traffic);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, traffic->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      traffic_service_t *service = value;

      service->demand.resends_left
          = resend_budget_remaining (&service->budget, now, &bounds);
      service->demand.queued = admission_queue_length (service->queue);
      g_array_append_val (out, service->demand);
    }
}

static void
send_report (traffic_t *traffic, gs_time_t now)
{
  traffic_report_t *report = traffic_report_create ();
  quota_row_t rows[QUOTA_ROWS_MAX];
  size_t count
      = quota_report_export (traffic->quota, now, rows, QUOTA_ROWS_MAX);

  report->can_serve = traffic->table != NULL && traffic->replicas != NULL;
  report->cut = traffic->reach.cut;
  report->stream_time = traffic_stream_lookback (traffic);
  report->versions_wanted = traffic->versions_wanted;
  report->keeps_origins = traffic->keeps_origins;
  g_array_append_vals (report->origins_wanted, traffic->origins_wanted->data,
                       traffic->origins_wanted->len);
  g_array_set_size (traffic->origins_wanted, 0);
  report->open_exchanges = gs_server_open_count (traffic->server);
  report->read_tokens_per_msec = placer_read_speed (traffic->placer);
  placer_loads_export (traffic->placer, TRAFFIC_LOADS_MAX, report->loads);
  placer_statements_export (traffic->placer, now, report->statements);
  quarantine_export (traffic->quarantine, now, &report->quarantine);
  export_demand (traffic, now, report->demand);
  usage_count_export (traffic->usage, gs_clock_monotonic_wall (),
                      report->usage);
  g_array_append_vals (report->quota, rows, (guint)count);
  relay_rollouts_export (traffic->rollouts, report->rollout_counts);
  traffic->options.on_report (traffic->options.context, report);
}

gs_time_t
traffic_stream_lookback (const traffic_t *traffic)
{
  gs_time_t configured = traffic->table != NULL
                             ? gs_route_table_stream_time (traffic->table)
                             : 0;

  return MAX (traffic->stream_time_max, configured);
}

static void
on_tick (void *context)
{
  traffic_t *traffic = context;
  gs_time_t now = gs_clock_now ();

  /* The lag of the tick shows how long new requests, and responses to forward,
     wait for this thread.  */
  if (traffic->last_tick_at != 0)
    gs_meter_observe ("traffic_lag_seconds", "",
                      (double)(now - traffic->last_tick_at - TICK_INTERVAL)
                          / GS_SEC);
  traffic->last_tick_at = now;
  if (traffic->leave_started_at != 0 && now >= traffic->leave_deadline)
    relay_end_all (traffic, now);
  quarantine_update (traffic->quarantine, now);
  relay_flows_resume (traffic);
  relay_probes_send (traffic, now);
  relay_queues_serve (traffic, now);
  traffic_origins_send (traffic, now);
  if (now >= traffic->report_due)
    {
      traffic->report_due = now + TRAFFIC_REPORT_INTERVAL;
      traffic_crossing_update (traffic, now);
      traffic_origins_keep_update (traffic, now);
      send_report (traffic, now);
    }
  if (now >= traffic->server_tick_due)
    {
      traffic->server_tick_due = now + GS_SEC;
      gs_server_tick (traffic->server);
    }
}

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  relay_start (context, exchange);
}

static void *
run (void *context)
{
  traffic_t *traffic = context;

  gs_loop_run (traffic->loop);
  return NULL;
}

static unsigned
connections_max (const gs_deployment_t *deployment)
{
  size_t memory = ((size_t)deployment->memory_mb << 20)
                  / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
  unsigned descriptors
      = deployment->descriptors_max > 2 * DESCRIPTORS_RESERVED
            ? deployment->descriptors_max - DESCRIPTORS_RESERVED
            : deployment->descriptors_max / 2;

  return memory > 0 ? (unsigned)MIN (memory, descriptors) : descriptors;
}

static gs_status_t
listen_for_callers (traffic_t *traffic)
{
  const gs_deployment_t *deployment = traffic->options.deployment;
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  options.address = deployment->caller_endpoint.host;
  options.port = deployment->caller_endpoint.port;
  options.loop = traffic->loop;
  options.connection_bytes = CONNECTION_BYTES;
  options.body_bytes_max = BODY_BYTES_MAX;
  options.bodies_bytes_max
      = ((size_t)deployment->memory_mb << 20) / BODIES_MEMORY_DIVISOR;
  options.response_memory = &traffic->response_memory;
  options.connections_max = connections_max (deployment);
  options.idle_seconds = IDLE_SECONDS_DEFAULT;
  options.receive_seconds = 2 * IDLE_SECONDS_DEFAULT;
  options.handler = on_exchange;
  options.context = traffic;
  return gs_server_create (&traffic->server, &options);
}

gs_status_t
traffic_create (traffic_t **out, const traffic_options_t *options)
{
  traffic_t *traffic = g_new0 (traffic_t, 1);
  gs_status_t status;

  *out = NULL;
  traffic->options = *options;
  traffic->started_at = gs_clock_now ();
  traffic->members = 1;
  gs_rng_seed (&traffic->rng, options->seed);
  placer_create (&traffic->placer, options->seed);
  traffic->detours = g_array_new (FALSE, FALSE, sizeof (traffic_detour_t));
  traffic->last_contact_at = gs_clock_now ();
  service_versions_create (&traffic->versions);
  stream_origins_create (&traffic->origins);
  traffic->origins_wanted
      = g_array_new (FALSE, FALSE, sizeof (stream_origin_key_t));
  relay_rollouts_create (&traffic->rollouts,
                         options->deployment->expose_share);
  quarantine_create (&traffic->quarantine, true);
  quarantine_ttl_set (traffic->quarantine,
                      options->deployment->quarantine_time);
  traffic->response_memory.limit
      = ((size_t)options->deployment->memory_mb << 20)
        / RESPONSES_MEMORY_DIVISOR;
  quota_create (&traffic->quota, options->deployment->quota_window,
                gs_clock_now (), options->deployment->first_start);
  surplus_answers_create (&traffic->surplus_answers);
  traffic->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  traffic->relays = g_hash_table_new (NULL, NULL);
  traffic->paused = g_hash_table_new (NULL, NULL);
  usage_count_create (&traffic->usage, options->deployment->usage_window,
                      TRAFFIC_USAGE_WINDOWS);
  gs_loop_create (&traffic->loop);
  gs_loop_tick_set (traffic->loop, TICK_INTERVAL, on_tick, traffic);
  status = listen_for_callers (traffic);
  if (status == GS_OK)
    status = gs_thread_start (&traffic->thread, "traffic", run, traffic);
  if (status != GS_OK)
    {
      traffic_destroy (traffic);
      return status;
    }
  *out = traffic;
  return GS_OK;
}

void
traffic_destroy (traffic_t *traffic)
{
  if (traffic == NULL)
    return;
  if (traffic->thread != NULL)
    {
      gs_loop_stop (traffic->loop);
      gs_thread_join (traffic->thread);
    }
  relay_abort_all (traffic);
  gs_server_destroy (traffic->server);
  gs_loop_destroy (traffic->loop);
  g_hash_table_unref (traffic->paused);
  g_hash_table_unref (traffic->relays);
  g_hash_table_unref (traffic->services);
  usage_count_destroy (traffic->usage);
  quota_destroy (traffic->quota);
  surplus_answers_destroy (traffic->surplus_answers);
  quarantine_destroy (traffic->quarantine);
  stream_origins_destroy (traffic->origins);
  g_array_unref (traffic->origins_wanted);
  service_versions_record_clear (&traffic->versions_record);
  relay_rollouts_destroy (traffic->rollouts);
  service_versions_destroy (traffic->versions);
  g_array_unref (traffic->detours);
  placer_destroy (traffic->placer);
  gs_replica_list_unref (traffic->replicas);
  gs_route_table_unref (traffic->table);
  g_free (traffic);
}

typedef struct
{
  traffic_t *traffic;
  gs_route_table_t *table;
  gs_replica_list_t *list;
  traffic_peers_t *peers;
  service_versions_record_t versions;
  GArray *rollouts;   /* of traffic_rollout_t */
  gs_time_t deadline; /* of open requests at a node that leaves */
} control_message_t;

/* @return the limit of an account over a quota window, for all nodes together,
   in tokens or requests  */
static double
account_limit_per_window (const gs_deployment_t *deployment,
                          const gs_client_account_t *account)
{
  double window = (double)deployment->quota_window / GS_SEC;
  double nominal = (double)account->rate * window + (double)account->burst;
  double slack = account->by_tokens ? deployment->quota_slack : 0;

  return nominal
         + QUOTA_TOLERANCE_RATIO
               * (deployment->quota_over_ratio * nominal + slack);
}

static void
set_account_limits (traffic_t *traffic)
{
  unsigned accounts = gs_route_table_account_count (traffic->table);

  if (accounts > QUOTA_ROWS_MAX)
    gs_log (GS_LOG_WARN, "accounts_left_out", "accounts=%u told_of=%u",
            accounts, QUOTA_ROWS_MAX);
  for (unsigned i = 0; i < accounts; i++)
    {
      const gs_client_account_t *account
          = gs_route_table_account (traffic->table, i);

      if (account->rate > 0)
        quota_limit_set (
            traffic->quota, gs_limits_name_hash ("account", account->name),
            account_limit_per_window (traffic->options.deployment, account));
    }
}

static void
adopt_routes (void *context)
{
  control_message_t *message = context;
  traffic_t *traffic = message->traffic;
  gs_time_t idle = gs_route_table_limits (message->table)->idle_timeout;
  GHashTableIter iter;
  gpointer value;

  gs_route_table_unref (traffic->table);
  traffic->table = message->table;
  g_hash_table_iter_init (&iter, traffic->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    admission_queue_unused_remove (((traffic_service_t *)value)->queue);
  set_account_limits (traffic);
  gs_server_idle_timeout_set (traffic->server, idle > 0
                                                   ? (unsigned)(idle / GS_SEC)
                                                         + IDLE_SLACK_SECONDS
                                                   : IDLE_SECONDS_DEFAULT);
  gs_log (GS_LOG_INFO, "routes_in_force", "revision=%llu version=%llu",
          (unsigned long long)gs_route_table_revision (traffic->table),
          (unsigned long long)gs_route_table_version (traffic->table));
  g_free (message);
}

static void
adopt_replicas (void *context)
{
  control_message_t *message = context;
  traffic_t *traffic = message->traffic;

  gs_replica_list_unref (traffic->replicas);
  traffic->replicas = message->list;
  placer_replicas_set (traffic->placer, gs_clock_now (), traffic->replicas);
  service_versions_set (traffic->versions, gs_clock_now (),
                        gs_clock_wall () / GS_MSEC, traffic->replicas);
  if (traffic->replicas->count > TRAFFIC_LOADS_MAX)
    gs_log (GS_LOG_WARN, "loads_left_out", "replicas=%u told_of=%u",
            traffic->replicas->count, TRAFFIC_LOADS_MAX);
  traffic->report_due
      = MIN (traffic->report_due, gs_clock_now () + TICK_INTERVAL);
  relay_queues_serve (traffic, gs_clock_now ());
  g_free (message);
}

static void
adopt_versions (void *context)
{
  control_message_t *message = context;
  traffic_t *traffic = message->traffic;

  traffic->stream_time_max
      = MAX (traffic->stream_time_max, message->versions.stream_time);
  traffic->versions_known_until
      = MAX (traffic->versions_known_until, message->versions.read_at);
  traffic->versions_wanted = false;
  service_versions_record_set (traffic->versions, gs_clock_now (),
                               gs_clock_monotonic_wall () / GS_MSEC,
                               &message->versions);
  service_versions_record_clear (&traffic->versions_record);
  traffic->versions_record = message->versions;
  g_free (message);
}

static void
adopt_peers (void *context)
{
  control_message_t *message = context;
  traffic_t *traffic = message->traffic;
  const traffic_peers_t *peers = message->peers;
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (placer_peer_load_t));
  gs_time_t now = gs_clock_now ();
  unsigned nodes = 0;

  traffic->restarts_known = peers->restarts_known;
  traffic->restarts = peers->restarts;
  traffic->members = peers->fleet.members;
  traffic->peers_updated_at = now;
  traffic->versions_known_until
      = MAX (traffic->versions_known_until,
             peers->in_step_at + VERSION_BEGIN_DELAY_MIN);
  quota_fleet_set (traffic->quota, now, &peers->fleet);
  if (peers->source != traffic->peers_source)
    quota_reports_clear (traffic->quota);
  traffic->peers_source = peers->source;
  for (guint i = 0; i < peers->peers->len; i++)
    {
      const traffic_peer_t *peer
          = &g_array_index (peers->peers, traffic_peer_t, i);

      quota_report_import (
          traffic->quota, peer->received_at, peer->source, peer->nodes,
          (const quota_row_t *)(void *)peer->quota->data, peer->quota->len);
      nodes += peer->nodes;
      traffic->loads_received_at
          = MAX (traffic->loads_received_at, peer->received_at);
      g_array_append_vals (loads, peer->loads->data, peer->loads->len);
    }
  placer_peer_loads_set (traffic->placer,
                         (const placer_peer_load_t *)(void *)loads->data,
                         loads->len, nodes);
  placer_nodes_set (traffic->placer, now,
                    (const uint64_t *)(void *)peers->nodes->data,
                    peers->nodes->len, peers->fleet.members);
  placer_members_set (traffic->placer, now,
                      (const uint64_t *)(void *)peers->members->data,
                      peers->members->len);
  placer_statements_import (
      traffic->placer, now,
      (const statement_t *)(void *)peers->statements->data,
      peers->statements->len);
  quarantine_import (traffic->quarantine, peers->quarantine.made_at,
                     &peers->quarantine);
  stream_origins_import (traffic->origins, now, peers->origins,
                         STREAM_ORIGIN_OTHER);
  g_array_set_size (traffic->detours, 0);
  g_array_append_vals (traffic->detours, peers->detours->data,
                       peers->detours->len);
  g_array_unref (loads);
  traffic_peers_free (message->peers);
  g_free (message);
}

static void
adopt_rollouts (void *context)
{
  control_message_t *message = context;

  relay_rollouts_set (message->traffic->rollouts, message->rollouts);
  g_array_unref (message->rollouts);
  g_free (message);
}

static void
start_leaving (void *context)
{
  control_message_t *message = context;

  message->traffic->leave_started_at = gs_clock_now ();
  message->traffic->leave_deadline = message->deadline;
  g_free (message);
}

static void
post_message (traffic_t *traffic, gs_loop_cb_t callback,
              const control_message_t *message)
{
  control_message_t *copy = g_memdup2 (message, sizeof *message);

  copy->traffic = traffic;
  if (gs_loop_post (traffic->loop, callback, copy) != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "message_dropped", "reason=queue_full");
      gs_route_table_unref (copy->table);
      gs_replica_list_unref (copy->list);
      traffic_peers_free (copy->peers);
      service_versions_record_clear (&copy->versions);
      g_clear_pointer (&copy->rollouts, g_array_unref);
      g_free (copy);
    }
}

void
traffic_routes_set (traffic_t *traffic, gs_route_table_t *table)
{
  post_message (traffic, adopt_routes, &(control_message_t){ .table = table });
}

void
traffic_replicas_set (traffic_t *traffic, gs_replica_list_t *list)
{
  post_message (traffic, adopt_replicas, &(control_message_t){ .list = list });
}

void
traffic_versions_set (traffic_t *traffic,
                      const service_versions_record_t *record)
{
  post_message (traffic, adopt_versions,
                &(control_message_t){ .versions = *record });
}

void
traffic_peers_set (traffic_t *traffic, traffic_peers_t *peers)
{
  post_message (traffic, adopt_peers, &(control_message_t){ .peers = peers });
}

void
traffic_rollouts_set (traffic_t *traffic, GArray *rollouts)
{
  post_message (traffic, adopt_rollouts,
                &(control_message_t){ .rollouts = rollouts });
}

void
traffic_leave (traffic_t *traffic, gs_time_t deadline)
{
  post_message (traffic, start_leaving,
                &(control_message_t){ .deadline = deadline });
}
