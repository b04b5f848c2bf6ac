/**
 * @file duties.h
 * Work that one node at a time does for the fleet: reporting usage and
 * ordering replicas.  A lease in the store decides which node does the work;
 * its fencing token goes with each call to the provider.  Runs on the control
 * thread.
 */
#ifndef GS_GATEWAY_DUTIES_H
#define GS_GATEWAY_DUTIES_H

#include "control/lease.h"
#include "garnetstack/deployment.h"
#include "garnetstack/object_store.h"
#include "garnetstack/provider.h"
#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"
#include "fleet/peers.h"
#include "policy/scaler.h"

/** Kind of the store's objects for the lease and the usage record. */
#define DUTIES_KIND "gateway-duties"

typedef struct duties duties_t;

/** The pointers are borrowed and must outlive the duties. */
typedef struct
{
  const gs_deployment_t *deployment;
  const gs_object_store_t *store;
  const gs_provider_t *provider;
  const peers_t *peers;
  uint64_t incarnation; /**< of this process; goes into the lease */
  /** This node has resigned as the holder: its peers should know soon. */
  void (*on_resigned) (void *context);
  void *context;
} duties_options_t;

/** @param out receives the duties, freed with duties_destroy()
    @param options copied */
void duties_create (duties_t **out, const duties_options_t *options);

/** Free the duties, which may be NULL.  No call may be open. */
void duties_destroy (duties_t *duties);

struct rollout_duty;

/** Set the roll-outs, which orders of replicas depend on.
    @param rollouts borrowed; must outlive the last duties_tick() */
void duties_rollouts_set (duties_t *duties,
                          const struct rollout_duty *rollouts);

/** Set the last report of this node's traffic thread.
    @param report taken over */
void duties_report_set (duties_t *duties, traffic_report_t *report);

/** @return the last report of this node's traffic thread, borrowed; NULL
    before the first. */
const traffic_report_t *duties_report (const duties_t *duties);

/** @return the replicas last set, borrowed; NULL before. */
const gs_replica_list_t *duties_replicas (const duties_t *duties);

/** Set the routes in force.
    @param table the duties take a reference of their own */
void duties_routes_set (duties_t *duties, gs_route_table_t *table);

/** Set the replicas in force.
    @param list the duties take a reference of their own */
void duties_replicas_set (duties_t *duties, gs_replica_list_t *list);

/** @return last usage window that any node has sent, as far as this node
    knows; 0 for none */
int64_t duties_usage_window (const duties_t *duties);

/** Record that another node knows of a usage window that was sent. */
void duties_usage_window_raise (duties_t *duties, int64_t window);

/** @return the last resignation of a holder that this node knows of */
gs_lease_resignation_t duties_resignation (const duties_t *duties);

/** Record a resignation that another node knows of. */
void duties_resignation_set (duties_t *duties, gs_time_t now,
                             const gs_lease_resignation_t *resignation);

/** @return whether this node holds the lease, also if it still waits until the
    holder before can't act any more */
bool duties_is_holder (const duties_t *duties);

/** What a node does about the lease of the duties. */
typedef enum
{
  DUTIES_RELEASE, /**< give it up if held */
  DUTIES_KEEP,    /**< renew it if held */
  DUTIES_SEEK     /**< take it if it is free */
} duties_wish_t;

/** What decides whether a node seeks the lease. */
typedef struct
{
  bool can_serve;  /**< routes and replicas are known */
  unsigned rank;   /**< peers_rank() */
  bool all_report; /**< all nodes exchange reports, so that a leaving node gets
                        them until its end */
  gs_time_t leave_started_at; /**< 0 if the node is not leaving */
} duties_standing_t;

/** @return what the node does about the lease.  A holder keeps it while other
    nodes come before it, and for a part of the time in which it leaves, since
    each new holder first waits until the one before can't act any more. */
duties_wish_t duties_wish_choose (const duties_standing_t *standing,
                                  gs_time_t now);

/** Make the calls that are due.  To be called often. */
void duties_tick (duties_t *duties, gs_time_t now, duties_wish_t wish);

/** @return whether this node holds the lease and may act at @p now. */
bool duties_may_act (const duties_t *duties, gs_time_t now);

#endif
