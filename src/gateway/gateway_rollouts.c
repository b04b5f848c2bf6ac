#include "gateway/gateway_private.h"

#include "platform/platform.h"

/* Interval at which the traffic thread receives data about other nodes.  */
#define PEER_VIEW_INTERVAL (150 * GS_MSEC)
/* A node that starts waits so long for the list of orders; afterwards it uses
   replicas of all versions but the one that started last.  The store normally
   answers within milliseconds, and takes up to fifty times as long when
   degraded.  */
#define ORDERS_TIMEOUT (2 * GS_SEC)

static void
get_rows (void *context, gs_time_t now, GArray *out)
{
  const gateway_t *gateway = context;

  if (gateway->settings.rollouts)
    rollout_feed_export (gateway->rollout_feed, now, out);
}

static void
receive_rows (void *context, gs_time_t now, const GArray *rows)
{
  const gateway_t *gateway = context;

  if (gateway->settings.rollouts)
    rollout_feed_import (gateway->rollout_feed, now, rows);
}

void
gateway_rollouts_create (gateway_t *gateway)
{
  rollout_duty_options_t options
      = { .deployment = &gateway->settings,
          .store = &gateway->store,
          .peers = gateway->peers,
          .duties = gateway->duties,
          .encode_status = gs_platform_rollout_status_encode,
          .kind = GS_PLATFORM_KIND_ROLLOUTS };
  peers_rollouts_t exchange = { gateway, get_rows, receive_rows };

  peers_rollouts_set (gateway->peers, &exchange);
  gateway->rollouts_awaited_until = gs_clock_now () + ORDERS_TIMEOUT;
  rollout_feed_create (&gateway->rollout_feed, &gateway->store,
                       GS_PLATFORM_KIND_ROLLOUTS, gs_platform_rollout_decode,
                       gateway->incarnation + 5);
  options.feed = gateway->rollout_feed;
  rollout_duty_create (&gateway->rollouts, &options);
  duties_rollouts_set (gateway->duties, gateway->rollouts);
}

void
gateway_rollouts_destroy (gateway_t *gateway)
{
  rollout_duty_destroy (gateway->rollouts);
  rollout_feed_destroy (gateway->rollout_feed);
}

bool
gateway_rollouts_are_awaited (const gateway_t *gateway, gs_time_t now)
{
  return gateway->settings.rollouts
         && !rollout_feed_is_listed (gateway->rollout_feed)
         && now < gateway->rollouts_awaited_until;
}

void
gateway_rollouts_publish (gateway_t *gateway, gs_time_t now)
{
  GArray *list = rollout_duty_list (gateway->rollouts, now);

  if (list != NULL)
    traffic_rollouts_set (gateway->traffic, list);
}

void
gateway_rollouts_tick (gateway_t *gateway, gs_time_t now)
{
  if (!gateway->settings.rollouts)
    return;
  rollout_feed_tick (gateway->rollout_feed, now,
                     gateway->follows_store
                         || duties_is_holder (gateway->duties));
  rollout_duty_tick (gateway->rollouts, now);
}

void
gateway_view_publish (gateway_t *gateway, gs_time_t now)
{
  traffic_peers_t *view;
  bool is_fleet_known = peers_is_fleet_known (gateway->peers);

  /* Until then requests are not sent again by the slack.  */
  if (now < gateway->view_due && is_fleet_known == gateway->view_has_fleet)
    return;
  gateway->view_has_fleet = is_fleet_known;
  gateway->view_due = now + PEER_VIEW_INTERVAL;
  view = peers_view_create (gateway->peers, now);
  rollout_duty_peers_set (gateway->rollouts, view);
  gateway_rollouts_publish (gateway, now);
  traffic_peers_set (gateway->traffic, view);
}
