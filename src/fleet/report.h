/**
 * @file report.h
 * What a node's traffic thread reports, and what it receives about the other
 * nodes.  The reports travel between nodes (digest.h, peer_message.h) and are
 * added up over the fleet (aggregate.h).
 */
#ifndef GS_FLEET_REPORT_H
#define GS_FLEET_REPORT_H

#include "garnetstack/deployment.h"
#include "fleet/stream_origins.h"
#include "policy/placer.h"
#include "policy/quarantine.h"
#include "policy/quota.h"
#include "policy/rollout_judge.h"

/** Maximum number of replica loads in a report; further ones are left out. */
#define TRAFFIC_LOADS_MAX 2048
/** Time between two reports. */
#define TRAFFIC_REPORT_INTERVAL (200 * GS_MSEC)
/** Usage windows that a report covers, the current one included. */
#define TRAFFIC_USAGE_WINDOWS 4

/** Number of requests of an account that began to run in a usage window. */
typedef struct
{
  char account[GS_NAME_BYTES];
  int64_t window; /**< number of the window, see usage_count_window() */
  uint64_t requests;
} traffic_usage_t;

/** Demand for a service.  Counters start at zero with the process. */
typedef struct
{
  char service[GS_NAME_BYTES];
  uint64_t requests;        /**< admitted by the limits of their accounts */
  uint64_t rejected;        /**< of these, rejected for lack of capacity */
  uint64_t uncached_tokens; /**< prompt tokens of forwarded requests that were
                                 not expected in the replica's prefix cache */
  uint32_t in_flight;
  uint32_t queued;
  double resends_left; /**< in this node's budget; not sent to other nodes */
} traffic_demand_t;

/** Periodic report of the traffic thread to the control thread, freed with
    traffic_report_free(). */
typedef struct
{
  bool can_serve;              /**< routes and replicas have been received */
  bool cut;                    /**< this node reaches no replica */
  unsigned open_exchanges;     /**< exchanges without a complete response */
  double read_tokens_per_msec; /**< observed prompt read speed of engines */
  gs_time_t stream_time;       /**< longest time for which callers of streams
                                    that may be resumed wait; not sent to other
                                    nodes */
  GArray *loads;               /**< of placer_load_t */
  GArray *usage;               /**< of traffic_usage_t */
  GArray *demand;              /**< of traffic_demand_t */
  GArray *quota;               /**< of quota_row_t */
  GArray *statements;          /**< of statement_t */
  quarantine_rows_t quarantine;
  GArray *rollout_counts; /**< of rollout_count_t */
  bool versions_wanted;   /**< requests wait for a new read of the store's
                               record of versions */
  bool keeps_origins;     /**< the store has to keep which version began each
                               stream, see traffic_origins_are_kept() */
  GArray *origins_wanted; /**< of stream_origin_key_t: streams that requests
                               resume and this node does not know */
} traffic_report_t;

/** @return an empty report, freed with traffic_report_free() */
traffic_report_t *traffic_report_create (void);
void traffic_report_free (traffic_report_t *report);

/** The last report of another node, or those of several nodes added up. */
typedef struct
{
  uint64_t source;       /**< identifies the node or the set of nodes */
  unsigned nodes;        /**< number of nodes */
  gs_time_t received_at; /**< when the report was received */
  GArray *loads;         /**< of placer_peer_load_t */
  GArray *quota;         /**< of quota_row_t */
} traffic_peer_t;

/** A node that requests may be passed on to. */
typedef struct
{
  gs_endpoint_t endpoint; /**< where it accepts requests */
  bool near;              /**< in the same data centre */
} traffic_detour_t;

/** Nodes that one request may be passed on to, one after the other. */
#define TRAFFIC_DETOUR_SENDS_MAX 3
/** Maximum number of nodes that are known for that. */
#define TRAFFIC_DETOURS_MAX 64

/** What this node knows of the other nodes. */
typedef struct
{
  quota_fleet_t fleet;
  bool restarts_known; /**< and the nodes as well */
  unsigned restarts;   /**< place of this process in a series of restarts */
  unsigned source;     /**< how the nodes are divided up; reports of different
                            divisions overlap */
  GArray *peers;       /**< of traffic_peer_t */
  GArray *nodes;   /**< of uint64_t: hashes of the nodes that accept requests,
                        this one first */
  GArray *members; /**< of uint64_t: hashes of the nodes that share limits,
                      this one first; empty while they are not known */
  GArray *statements; /**< of statement_t: the latest of each replica */
  quarantine_rows_t quarantine;
  GArray *detours; /**< of traffic_detour_t: live nodes that accept requests
                        and reach replicas, those of this node's data centre
                        first */
  GArray *origins; /**< of stream_origin_row_t: streams that this node has
                        learned of since the last view */
  gs_time_t in_step_at; /**< see peers_in_step_at() */
} traffic_peers_t;

void traffic_peers_free (traffic_peers_t *peers);

#endif
