/**
 * @file traffic.h
 * The thread that takes callers' requests and passes them on.  It owns its
 * requests, its connections and what it decides by; the control thread hands
 * it routes, replicas and what the other nodes have, and gets reports.
 */
#ifndef GS_GATEWAY_TRAFFIC_H
#define GS_GATEWAY_TRAFFIC_H

#include "garnetstack/deployment.h"
#include "garnetstack/limits.h"
#include "garnetstack/passing.h"
#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"
#include "gateway/placer.h"
#include "gateway/quota.h"

/** Longest list of loads in a report; replicas beyond it are left out. */
#define TRAFFIC_LOADS_MAX 2048
/** Time between two reports. */
#define TRAFFIC_REPORT_INTERVAL (200 * GS_MSEC)
/** Windows of usage that a report tells of. */
#define TRAFFIC_WINDOWS 4

/** Requests of an account that began to run in a window. */
typedef struct
{
  char account[GS_NAME_BYTES];
  int64_t window;
  uint64_t requests;
} traffic_usage_t;

/** What a service was asked for since the start of the process. */
typedef struct
{
  char service[GS_NAME_BYTES];
  uint64_t requests;       /**< within the limits of their accounts */
  uint64_t refused;        /**< of these, for want of room */
  uint64_t missing_tokens; /**< to be read, of those sent */
  uint32_t in_flight;
  uint32_t waiting;
  double resends_left; /**< of this node's budget; not told to others */
} traffic_demand_t;

/** What the traffic thread tells the control thread; freed with
    traffic_report_free(). */
typedef struct
{
  bool serves;   /**< routes and replicas are known to it */
  unsigned open; /**< exchanges not yet answered wholly */
  double read_speed;
  GArray *loads;  /**< of placer_load_t */
  GArray *usage;  /**< of traffic_usage_t */
  GArray *demand; /**< of traffic_demand_t */
  GArray *quota;  /**< of quota_row_t */
} traffic_report_t;

/** @return an empty report */
traffic_report_t *traffic_report_create (void);
void traffic_report_free (traffic_report_t *report);

/** What one other node told. */
typedef struct
{
  uint64_t node;      /**< hash of its name */
  gs_time_t heard_at; /**< when it told this */
  GArray *loads;      /**< of placer_load_t */
  GArray *quota;      /**< of quota_row_t */
} traffic_peer_t;

/** What is known of the other nodes. */
typedef struct
{
  quota_fleet_t fleet;
  GArray *peers; /**< of traffic_peer_t: those heard lately */
} traffic_peers_t;

void traffic_peers_free (traffic_peers_t *peers);

typedef struct
{
  const gs_deployment_t *deployment;
  const gs_header_codec_t *passing;
  uint64_t seed;
  /** Gets each report, on the traffic thread; owns it. */
  void (*on_report) (void *context, traffic_report_t *report);
  void *context;
} traffic_options_t;

typedef struct traffic traffic_t;

/** Listen and start the thread. @return GS_OK or GS_EIO */
gs_status_t traffic_create (traffic_t **out, const traffic_options_t *options);

/** Stop the thread and free all. */
void traffic_destroy (traffic_t *traffic);

/** Put routes in force; takes over a reference. */
void traffic_set_routes (traffic_t *traffic, gs_route_table_t *table);

/** Replace the replicas; takes over a reference. */
void traffic_set_replicas (traffic_t *traffic, gs_replica_list_t *list);

/** Replace what is known of the other nodes; takes it over. */
void traffic_set_peers (traffic_t *traffic, traffic_peers_t *peers);

/** The process is to end: send callers elsewhere, and finish what is open. */
void traffic_leave (traffic_t *traffic);

#endif
