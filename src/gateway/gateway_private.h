/**
 * @file gateway_private.h
 * State of a gateway node, shared by gateway.c (controllers and their wiring)
 * and gateway_listeners.c (what the node serves besides callers' requests).
 */
#ifndef GS_GATEWAY_GATEWAY_PRIVATE_H
#define GS_GATEWAY_GATEWAY_PRIVATE_H

#include "garnetstack/server.h"
#include "garnetstack/thread.h"
#include "fleet/feed_encoder.h"
#include "fleet/membership.h"
#include "fleet/peers.h"
#include "fleet/roster.h"
#include "gateway/duties.h"
#include "gateway/feed_copy_http.h"
#include "gateway/gateway.h"
#include "gateway/rollout_duty.h"
#include "gateway/store_records.h"
#include "gateway/traffic.h"

#include <stdatomic.h>

/* Time for which callers may cache the list of addresses, unless the settings
   allow less.  The address of a lost node stays in use for that long.  */
#define GATEWAY_ADDRESSES_TTL (2 * GS_SEC)
/* Maximum size of a message or copy: two kilobytes for each of
   TRAFFIC_LOADS_MAX replicas.  */
#define GATEWAY_PEER_BODY_BYTES_MAX ((size_t)4 << 20)

/* Feeds that nodes copy from each other.  */
enum
{
  COPY_CONFIG,
  COPY_REPLICAS,
  COPY_MEMBERS,
  COPY_COUNT
};

typedef struct
{
  feed_t *feed;
  feed_encoder_t *encoder; /* for copies by other nodes */
  feed_copy_http_t *http;
  feed_copy_t *copy; /* from other nodes */
} gateway_copy_t;

struct gateway
{
  gs_deployment_t settings;
  digest_member_t self;
  uint64_t incarnation;
  gs_loop_t *loop; /* of the control thread */
  gs_thread_t *thread;
  traffic_t *traffic;
  gs_object_store_t store;
  gs_provider_t provider;
  feed_t *config_feed;
  feed_t *replica_feed;
  membership_t *membership;
  store_records_t *records;
  peers_t *peers;
  roster_t *roster;
  duties_t *duties;
  rollout_feed_t *rollout_feed;
  rollout_duty_t *rollouts;
  gs_time_t rollouts_awaited_until;
  gs_route_table_t *table;
  gs_time_t table_adopted_at;
  bool has_replicas;   /* the first list of replicas is complete */
  bool notify_pending; /* peers may not know of all leaving replicas */
  gs_time_t notify_due;
  bool view_has_fleet;      /* see peers_is_fleet_known() */
  gs_time_t fleet_deadline; /* when this node is ready without that */
  gs_time_t view_due;
  gs_time_t server_tick_due;
  gateway_copy_t copies[COPY_COUNT];
  bool leaving;
  gs_time_t leave_started_at; /* 0 if not leaving */
  bool follows_store;         /* true for only some nodes of a large fleet */
  gs_server_t *servers[4];    /* readiness, addresses, peers, metrics */
  atomic_uint open_exchanges; /* callers' exchanges in the last report */
};

/* @return whether this node accepts requests.  */
bool gateway_is_ready (const gateway_t *gateway);

/* @return whether this node reaches no replica.  */
bool gateway_is_cut (const gateway_t *gateway);

/* Create and free the roll-outs; the peers, the duties and the store must
   exist.  */
void gateway_rollouts_create (gateway_t *gateway);
void gateway_rollouts_destroy (gateway_t *gateway);

/* Follow the orders and plan, where the settings say so.  */
void gateway_rollouts_tick (gateway_t *gateway, gs_time_t now);

/* Tell the traffic thread what to do about roll-outs; also before it gets a
   list of replicas, as that may have those of a new version.  */
void gateway_rollouts_publish (gateway_t *gateway, gs_time_t now);

/* Send the view of the other nodes to the traffic thread.  */
void gateway_view_publish (gateway_t *gateway, gs_time_t now);

/* @return whether this node does not know yet which versions are being rolled
   out, and uses no replicas before.  */
bool gateway_rollouts_are_awaited (const gateway_t *gateway, gs_time_t now);

/* Listen for readiness probes, lookups of addresses, other nodes and
   metrics.  */
gs_status_t gateway_listeners_start (gateway_t *gateway);

#endif
