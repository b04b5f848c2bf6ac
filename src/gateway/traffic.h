/**
 * @file traffic.h
 * The traffic thread, which accepts callers' requests and forwards them to
 * replicas.  It owns the requests, their connections and all data that its
 * decisions depend on.  The control thread sends it routes, replicas and the
 * reports of other nodes.  The traffic thread sends its own reports to the
 * control thread.
 */
#ifndef GS_GATEWAY_TRAFFIC_H
#define GS_GATEWAY_TRAFFIC_H

#include "garnetstack/deployment.h"
#include "garnetstack/header_codec.h"
#include "garnetstack/limits.h"
#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"
#include "fleet/report.h"
#include "fleet/service_versions.h"
#include "policy/rollout_share.h"

typedef struct
{
  const gs_deployment_t *deployment;
  const gs_header_codec_t *header_codec;
  uint64_t seed;
  /** Receives each report and takes ownership of it; called on the traffic
      thread. */
  void (*on_report) (void *context, traffic_report_t *report);
  /** Receives streams that began at this node; called on the traffic thread.
      @param rows of stream_origin_row_t; takes ownership */
  void (*on_origins) (void *context, GArray *rows);
  void *context;
} traffic_options_t;

/** What this node does about the roll-out of a service. */
typedef struct
{
  char service[GS_NAME_BYTES];
  uint64_t order;  /**< rollout_record_t.order; 0 before the owner's first
                        record */
  uint64_t target; /**< hash of the version */
  uint64_t base;   /**< hash of the version for all requests that do not go to
                        the target; 0 for any other than the target */
  rollout_stage_t stage;
  double fraction; /**< for rollout_share_take() */
} traffic_rollout_t;

typedef struct traffic traffic_t;

/** Listen for callers and start the thread.  @return GS_OK or GS_EIO */
gs_status_t traffic_create (traffic_t **out, const traffic_options_t *options);

/** Stop the thread, abort open requests and free @p traffic. */
void traffic_destroy (traffic_t *traffic);

/** Replace the routes.  Requests that have already been routed keep theirs.
    @param table takes over the caller's reference */
void traffic_routes_set (traffic_t *traffic, gs_route_table_t *table);

/** Replace the list of replicas.
    @param list takes over the caller's reference */
void traffic_replicas_set (traffic_t *traffic, gs_replica_list_t *list);

/** Replace the store's record of versions; to be called after a complete list
    of replicas has been set.
    @param record takes ownership */
void traffic_versions_set (traffic_t *traffic,
                           const service_versions_record_t *record);

/** Replace what is known of the other nodes.
    @param peers takes ownership */
void traffic_peers_set (traffic_t *traffic, traffic_peers_t *peers);

/** Replace the roll-outs.
    @param rollouts array of traffic_rollout_t; takes ownership */
void traffic_rollouts_set (traffic_t *traffic, GArray *rollouts);

/** Start to leave: direct callers to other nodes and finish open requests.
    @param deadline when requests that are still open end with an error */
void traffic_leave (traffic_t *traffic, gs_time_t deadline);

#endif
