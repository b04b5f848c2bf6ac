#include "gateway/traffic_private.h"

#include "garnetstack/log.h"
#include "garnetstack/meter.h"

#include <string.h>

/* How often what waits is looked at when nothing else happens.  */
#define TICK (10 * GS_MSEC)
/* Largest request head and body until a configuration says more; the body is
   the platform's largest value.  */
#define HEAD_BYTES (32 << 10)
#define BODY_BYTES ((size_t)8 << 20)
/* Bodies of open requests may take memory divided by this; answers that are
   kept until they are whole, tables and the log share the rest.  */
#define BODIES_PART 4
/* Descriptors kept for files, peers and replicas; the smallest node of the
   known deployments has 4096.  */
#define DESCRIPTORS_KEPT 1000
/* A caller may use a connection again that was idle nearly as long as the
   limit; closing later than that costs only memory.  */
#define IDLE_SLACK_SEC 5
/* Until a configuration says how long.  */
#define IDLE_SECONDS_FIRST 60
/* Part of what the platform tolerates beyond a limit that is used.  The rest
   covers what the loss of nodes with their memory adds (tests/test_quota.c
   plays it).  */
#define TOLERANCE_PART 0.6

traffic_report_t *
traffic_report_create (void)
{
  traffic_report_t *report = g_new0 (traffic_report_t, 1);

  report->loads = g_array_new (FALSE, TRUE, sizeof (placer_load_t));
  report->usage = g_array_new (FALSE, TRUE, sizeof (traffic_usage_t));
  report->demand = g_array_new (FALSE, TRUE, sizeof (traffic_demand_t));
  report->quota = g_array_new (FALSE, TRUE, sizeof (quota_row_t));
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
  g_free (peers);
}

static void
service_free (gpointer data)
{
  traffic_service_t *service = data;

  g_queue_clear (&service->waiting);
  g_free (service->name);
  g_free (service);
}

traffic_service_t *
traffic_service (traffic_t *traffic, const char *name)
{
  traffic_service_t *service = g_hash_table_lookup (traffic->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (traffic_service_t, 1);
  service->name = g_strdup (name);
  g_queue_init (&service->waiting);
  g_strlcpy (service->demand.service, name, sizeof service->demand.service);
  resend_budget_init (&service->budget,
                      traffic->options.deployment->resend_window);
  g_hash_table_insert (traffic->services, service->name, service);
  return service;
}

resend_bounds_t
traffic_resend_bounds (const traffic_t *traffic)
{
  const gs_deployment_t *deployment = traffic->options.deployment;

  return (resend_bounds_t){ deployment->resend_ratio, deployment->resend_slack,
                            traffic->members };
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
          = resend_budget_left (&service->budget, now, &bounds);
      service->demand.waiting = g_queue_get_length (&service->waiting);
      g_array_append_val (out, service->demand);
    }
}

static void
send_report (traffic_t *traffic, gs_time_t now)
{
  traffic_report_t *report = traffic_report_create ();
  quota_row_t rows[QUOTA_ROWS_MAX];
  size_t count = quota_export (traffic->quota, now, rows, QUOTA_ROWS_MAX);

  report->serves = traffic->table != NULL && traffic->list != NULL;
  report->open = gs_server_open (traffic->server);
  report->read_speed = placer_read_speed (traffic->placer);
  placer_export (traffic->placer, TRAFFIC_LOADS_MAX, report->loads);
  export_demand (traffic, now, report->demand);
  usage_count_export (traffic->usage, gs_clock_carried_wall (), report->usage);
  g_array_append_vals (report->quota, rows, (guint)count);
  traffic->options.on_report (traffic->options.context, report);
}

static void
on_tick (void *context)
{
  traffic_t *traffic = context;
  gs_time_t now = gs_clock_now ();

  /* How late the thread comes to what waits for it: answers and events to be
     passed on, new requests.  */
  if (traffic->ticked_at != 0)
    gs_meter_observe ("traffic_lag_seconds", "",
                      (double)(now - traffic->ticked_at - TICK) / GS_SEC);
  traffic->ticked_at = now;
  relay_serve_waiting (traffic, now);
  if (now >= traffic->report_due)
    {
      traffic->report_due = now + TRAFFIC_REPORT_INTERVAL;
      send_report (traffic, now);
    }
  if (now >= traffic->second_due)
    {
      traffic->second_due = now + GS_SEC;
      gs_server_tick (traffic->server);
    }
}

static void
on_exchange (void *context, gs_exchange_t *exchange)
{
  relay_begin (context, exchange);
}

static void *
run (void *context)
{
  traffic_t *traffic = context;

  gs_loop_run (traffic->loop);
  return NULL;
}

static gs_status_t
listen_for_callers (traffic_t *traffic)
{
  const gs_deployment_t *deployment = traffic->options.deployment;
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  options.address = deployment->caller_endpoint.host;
  options.port = deployment->caller_endpoint.port;
  options.loop = traffic->loop;
  options.connection_bytes = HEAD_BYTES;
  options.body_bytes_max = BODY_BYTES;
  options.bodies_bytes_max
      = ((size_t)deployment->memory_mb << 20) / BODIES_PART;
  options.connections_max
      = deployment->descriptors_max > 2 * DESCRIPTORS_KEPT
            ? deployment->descriptors_max - DESCRIPTORS_KEPT
            : deployment->descriptors_max / 2;
  options.idle_seconds = IDLE_SECONDS_FIRST;
  options.receive_seconds = 2 * IDLE_SECONDS_FIRST;
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
  traffic->members = 1;
  gs_rng_seed (&traffic->rng, options->seed);
  placer_create (&traffic->placer, options->seed);
  quota_create (&traffic->quota, options->deployment->quota_window,
                gs_clock_now (), options->deployment->first_start);
  traffic->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  traffic->relays = g_hash_table_new (NULL, NULL);
  usage_count_create (&traffic->usage, options->deployment->usage_window,
                      TRAFFIC_WINDOWS);
  gs_loop_create (&traffic->loop);
  gs_loop_set_tick (traffic->loop, TICK, on_tick, traffic);
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
  relay_end_all (traffic);
  gs_server_destroy (traffic->server);
  gs_loop_destroy (traffic->loop);
  g_hash_table_unref (traffic->relays);
  g_hash_table_unref (traffic->services);
  usage_count_destroy (traffic->usage);
  quota_destroy (traffic->quota);
  placer_destroy (traffic->placer);
  gs_replica_list_unref (traffic->list);
  gs_route_table_unref (traffic->table);
  g_free (traffic);
}

typedef struct
{
  traffic_t *traffic;
  gs_route_table_t *table;
  gs_replica_list_t *list;
  traffic_peers_t *peers;
} message_t;

/* @return what all nodes may let an account use in a window  */
static double
most_of (const gs_deployment_t *deployment, const gs_client_account_t *account)
{
  double window = (double)deployment->quota_window / GS_SEC;
  double whole = (double)account->rate * window + (double)account->burst;
  double slack = account->by_tokens ? deployment->quota_slack : 0;

  return whole
         + TOLERANCE_PART * (deployment->quota_over_ratio * whole + slack);
}

static void
set_account_limits (traffic_t *traffic)
{
  unsigned accounts = gs_route_table_accounts (traffic->table);

  if (accounts > QUOTA_ROWS_MAX)
    gs_log (GS_LOG_WARN, "accounts_left_out", "accounts=%u told_of=%u",
            accounts, QUOTA_ROWS_MAX);
  for (unsigned i = 0; i < accounts; i++)
    {
      const gs_client_account_t *account
          = gs_route_table_account (traffic->table, i);

      if (account->rate > 0)
        quota_set (traffic->quota, gs_limits_name ("account", account->name),
                   most_of (traffic->options.deployment, account));
    }
}

static void
take_routes (void *context)
{
  message_t *message = context;
  traffic_t *traffic = message->traffic;
  gs_time_t idle = gs_route_table_limits (message->table)->idle_timeout;

  gs_route_table_unref (traffic->table);
  traffic->table = message->table;
  set_account_limits (traffic);
  gs_server_set_idle (traffic->server,
                      idle > 0 ? (unsigned)(idle / GS_SEC) + IDLE_SLACK_SEC
                               : IDLE_SECONDS_FIRST);
  gs_log (GS_LOG_INFO, "routes_in_force", "revision=%llu version=%llu",
          (unsigned long long)gs_route_table_revision (traffic->table),
          (unsigned long long)gs_route_table_version (traffic->table));
  g_free (message);
}

static void
take_replicas (void *context)
{
  message_t *message = context;
  traffic_t *traffic = message->traffic;

  gs_replica_list_unref (traffic->list);
  traffic->list = message->list;
  placer_set_replicas (traffic->placer, traffic->list);
  if (traffic->list->count > TRAFFIC_LOADS_MAX)
    gs_log (GS_LOG_WARN, "loads_left_out", "replicas=%u told_of=%u",
            traffic->list->count, TRAFFIC_LOADS_MAX);
  traffic->report_due = MIN (traffic->report_due, gs_clock_now () + TICK);
  relay_serve_waiting (traffic, gs_clock_now ());
  g_free (message);
}

static void
take_peers (void *context)
{
  message_t *message = context;
  traffic_t *traffic = message->traffic;
  const traffic_peers_t *peers = message->peers;
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (placer_load_t));
  gs_time_t now = gs_clock_now ();

  traffic->members = peers->fleet.members;
  traffic->peers_at = now;
  quota_set_fleet (traffic->quota, now, &peers->fleet);
  for (guint i = 0; i < peers->peers->len; i++)
    {
      const traffic_peer_t *peer
          = &g_array_index (peers->peers, traffic_peer_t, i);

      quota_import (traffic->quota, peer->heard_at, peer->node,
                    (const quota_row_t *)(void *)peer->quota->data,
                    peer->quota->len);
      g_array_append_vals (loads, peer->loads->data, peer->loads->len);
    }
  placer_set_peers (traffic->placer,
                    (const placer_load_t *)(void *)loads->data, loads->len);
  g_array_unref (loads);
  traffic_peers_free (message->peers);
  g_free (message);
}

static void
take_leave (void *context)
{
  message_t *message = context;

  message->traffic->leave_at = gs_clock_now ();
  g_free (message);
}

static void
post (traffic_t *traffic, gs_loop_cb_t callback, const message_t *message)
{
  message_t *own = g_memdup2 (message, sizeof *message);

  own->traffic = traffic;
  if (gs_loop_post (traffic->loop, callback, own) != GS_OK)
    {
      gs_log (GS_LOG_ERROR, "message_dropped", "reason=queue_full");
      gs_route_table_unref (own->table);
      gs_replica_list_unref (own->list);
      traffic_peers_free (own->peers);
      g_free (own);
    }
}

void
traffic_set_routes (traffic_t *traffic, gs_route_table_t *table)
{
  post (traffic, take_routes, &(message_t){ .table = table });
}

void
traffic_set_replicas (traffic_t *traffic, gs_replica_list_t *list)
{
  post (traffic, take_replicas, &(message_t){ .list = list });
}

void
traffic_set_peers (traffic_t *traffic, traffic_peers_t *peers)
{
  post (traffic, take_peers, &(message_t){ .peers = peers });
}

void
traffic_leave (traffic_t *traffic)
{
  post (traffic, take_leave, &(message_t){ .table = NULL });
}
