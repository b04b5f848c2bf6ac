/**
 * @file duties.h
 * What one node at a time does for all: reports of usage and orders of
 * replicas.  A lease in the store says which node; its fencing number goes
 * with each call.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_DUTIES_H
#define GS_GATEWAY_DUTIES_H

#include "garnetstack/deployment.h"
#include "garnetstack/object_store.h"
#include "garnetstack/provider.h"
#include "garnetstack/replica.h"
#include "garnetstack/route_table.h"
#include "gateway/peers.h"
#include "gateway/scaler.h"

/** Kind of the objects that hold the lease and what was reported. */
#define DUTIES_KIND "gateway-duties"

typedef struct duties duties_t;

typedef struct
{
  const gs_deployment_t *deployment;
  const gs_object_store_t *store;
  const gs_provider_t *provider;
  const peers_t *peers;
  uint64_t incarnation;
} duties_options_t;

void duties_create (duties_t **out, const duties_options_t *options);
void duties_destroy (duties_t *duties);

/** This node's own last report; taken over. */
void duties_set_report (duties_t *duties, traffic_report_t *report);

/** @return this node's own last report, NULL before the first. */
const traffic_report_t *duties_report (const duties_t *duties);

/** @return the replicas as last set, NULL before. */
const gs_replica_list_t *duties_replicas (const duties_t *duties);

/** Routes and replicas in force; each call takes a reference of its own. */
void duties_set_routes (duties_t *duties, gs_route_table_t *table);
void duties_set_replicas (duties_t *duties, gs_replica_list_t *list);

/** Make the calls that are due; called often.
    @param wanted this node may hold the lease */
void duties_tick (duties_t *duties, gs_time_t now, bool wanted);

/** @return whether this node acts now. */
bool duties_holds (const duties_t *duties, gs_time_t now);

#endif
