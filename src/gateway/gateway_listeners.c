#include "gateway/gateway_private.h"

#include "garnetstack/meter.h"
#include "garnetstack/metrics.h"
#include "gateway/gauges.h"
#include "platform/platform.h"

#include <string.h>

/* Maximum number of addresses that callers accept.  */
#define ADDRESSES_MAX 64
/* Maximum connections of each listener of the control thread; enough for two
   from each node of a data centre with five hundred.  */
#define CONTROL_CONNECTIONS_MAX 1024

/* @return whether this node reaches no replica  */
bool
gateway_is_cut (const gateway_t *gateway)
{
  const traffic_report_t *report = duties_report (gateway->duties);

  return report != NULL && report->cut;
}

static void
reply_status (gs_exchange_t *exchange, unsigned status)
{
  gs_exchange_reply (exchange, status, "text/plain", NULL, "", 0);
}

static void
on_readiness (void *context, gs_exchange_t *exchange)
{
  const gateway_t *gateway = context;

  if (!gs_platform_path_is_readiness (gs_exchange_path (exchange)))
    reply_status (exchange, 404);
  else
    reply_status (exchange, gateway_is_ready (gateway) ? 200 : 503);
}

static void
on_addresses (void *context, gs_exchange_t *exchange)
{
  const gateway_t *gateway = context;
  gs_endpoint_t endpoints[ADDRESSES_MAX];
  gs_time_t now = gs_clock_now ();
  unsigned count = 0;
  char *text;

  if (!gs_platform_path_is_addresses (gs_exchange_path (exchange)))
    {
      reply_status (exchange, 404);
      return;
    }
  if (gateway_is_ready (gateway) && !gateway_is_cut (gateway))
    endpoints[count++] = gateway->settings.caller_endpoint;
  count += peers_live_addresses (gateway->peers, now, true, endpoints + count,
                                 ADDRESSES_MAX - count);
  /* Where no node reaches replicas, all are named.  */
  if (count == 0)
    {
      count = peers_live_addresses (gateway->peers, now, false, endpoints,
                                    ADDRESSES_MAX - 1);
      if (gateway_is_ready (gateway))
        endpoints[count++] = gateway->settings.caller_endpoint;
    }
  if (count == 0)
    {
      reply_status (exchange, 503);
      return;
    }
  text = gs_platform_addresses_encode (
      endpoints, count,
      MIN (GATEWAY_ADDRESSES_TTL, gateway->settings.addresses_ttl_max));
  gs_exchange_reply (exchange, 200, "application/json", NULL, text,
                     strlen (text));
  g_free (text);
}

static bool
accepts_gzip (const gs_exchange_t *exchange)
{
  const char *accepted = gs_exchange_header (exchange, "Accept-Encoding");

  return accepted != NULL && strstr (accepted, "gzip") != NULL;
}

static void
reply_copy (gs_exchange_t *exchange, const gateway_copy_t *copy)
{
  static const char *const headers[] = { "Content-Encoding", "gzip", NULL };
  const char *above = gs_exchange_query (exchange, "above");
  uint64_t after_revision
      = above != NULL ? g_ascii_strtoull (above, NULL, 10) : 0;
  GBytes *bytes = accepts_gzip (exchange)
                      ? feed_encoder_export (copy->encoder, after_revision)
                      : NULL;

  if (bytes != NULL)
    gs_exchange_reply (exchange, 200, "application/json", headers,
                       g_bytes_get_data (bytes, NULL),
                       g_bytes_get_size (bytes));
  else
    {
      char *text = feed_export (copy->feed, after_revision);

      gs_exchange_reply (exchange, 200, "application/json", NULL, text,
                         strlen (text));
      g_free (text);
    }
  g_clear_pointer (&bytes, g_bytes_unref);
}

static void
reply_peer_message (gs_exchange_t *exchange, peers_t *peers)
{
  size_t length;
  const char *body = gs_exchange_body (exchange, &length);
  GByteArray *answer = peers_message_receive (
      peers, gs_clock_now (), gs_exchange_path (exchange), body, length);

  if (answer == NULL)
    {
      reply_status (exchange, 400);
      return;
    }
  gs_exchange_reply (exchange, 200, "application/octet-stream", NULL,
                     (const char *)answer->data, answer->len);
  g_byte_array_unref (answer);
}

static void
on_peer (void *context, gs_exchange_t *exchange)
{
  gateway_t *gateway = context;
  const char *path = gs_exchange_path (exchange);

  if (strcmp (path, PEERS_CONFIG_PATH) == 0)
    reply_copy (exchange, &gateway->copies[COPY_CONFIG]);
  else if (strcmp (path, PEERS_REPLICAS_PATH) == 0)
    reply_copy (exchange, &gateway->copies[COPY_REPLICAS]);
  else if (strcmp (path, PEERS_MEMBERS_PATH) == 0)
    reply_copy (exchange, &gateway->copies[COPY_MEMBERS]);
  else if (strcmp (path, PEERS_DIGEST_PATH) == 0
           || strcmp (path, PEERS_REPORT_PATH) == 0
           || strcmp (path, PEERS_SUMMARY_PATH) == 0)
    reply_peer_message (exchange, gateway->peers);
  else
    reply_status (exchange, 404);
}

static double
seconds_since (gs_time_t now, gs_time_t then)
{
  return then == 0 ? 0 : (double)(now - then) / GS_SEC;
}

static void
on_metrics (void *context, gs_exchange_t *exchange)
{
  gateway_t *gateway = context;
  const traffic_report_t *report = duties_report (gateway->duties);
  gs_time_t now = gs_clock_now ();
  char *series;
  char *process;
  char *text;

  gauges_replicas_set (duties_replicas (gateway->duties));
  if (report != NULL)
    gauges_services_set (report);
  gs_meter_set ("ready", "", gateway_is_ready (gateway));
  gs_meter_set ("holds_duty", "", duties_may_act (gateway->duties, now));
  gs_meter_set ("members", "", peers_member_count (gateway->peers, now));
  gs_meter_set ("peers_heard", "", peers_live_count (gateway->peers, now));
  gs_meter_set (
      "store_lost_seconds", "",
      seconds_since (now, feed_store_lost_at (gateway->replica_feed)));
  if (gateway->table != NULL)
    {
      gs_meter_set ("config_version", "",
                    (double)gs_route_table_version (gateway->table));
      gs_meter_set ("config_age_seconds", "",
                    seconds_since (now, gateway->table_adopted_at));
      gs_meter_set ("config_parts_refused", "",
                    gs_route_table_parts_refused (gateway->table));
      if (report != NULL)
        gauges_accounts_set (gateway->table, report);
    }
  series = gs_meter_text ();
  process = gs_metrics_text ();
  text = g_strconcat (series, process, NULL);
  gs_exchange_reply (exchange, 200, "text/plain; version=0.0.4", NULL, text,
                     strlen (text));
  g_free (text);
  g_free (process);
  g_free (series);
}

static gs_status_t
start_listener (gateway_t *gateway, gs_server_t **out,
                const gs_endpoint_t *endpoint, gs_server_cb_t handler)
{
  gs_server_options_t options = GS_SERVER_OPTIONS_INIT;

  if (endpoint->port == 0)
    return GS_OK;
  options.address = endpoint->host;
  options.port = endpoint->port;
  options.loop = gateway->loop;
  options.connections_max = CONTROL_CONNECTIONS_MAX;
  options.body_bytes_max = GATEWAY_PEER_BODY_BYTES_MAX;
  options.handler = handler;
  options.context = gateway;
  return gs_server_create (out, &options);
}

gs_status_t
gateway_listeners_start (gateway_t *gateway)
{
  const gs_deployment_t *settings = &gateway->settings;
  gs_endpoint_t metrics = { .port = settings->metrics_port };
  gs_status_t status
      = start_listener (gateway, &gateway->servers[0],
                        &settings->readiness_endpoint, on_readiness);

  if (status == GS_OK)
    status = start_listener (gateway, &gateway->servers[1],
                             &settings->addresses_endpoint, on_addresses);
  if (status == GS_OK)
    status = start_listener (gateway, &gateway->servers[2],
                             &settings->peer_endpoint, on_peer);
  g_strlcpy (metrics.host, settings->caller_endpoint.host,
             sizeof metrics.host);
  if (status == GS_OK)
    status
        = start_listener (gateway, &gateway->servers[3], &metrics, on_metrics);
  return status;
}
