/**
 * @file store_records.h
 * What nodes keep in the store so that it is still known after all of them
 * have been killed: requests in quarantine, versions of services, and origins
 * of streams.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_STORE_RECORDS_H
#define GS_GATEWAY_STORE_RECORDS_H

#include "garnetstack/object_store.h"
#include "fleet/peers.h"
#include "gateway/traffic.h"

typedef struct store_records store_records_t;

/** @param out receives the records, freed with store_records_destroy()
    @param store, peers borrowed
    @param deployment of this node; used by the call only */
void store_records_create (store_records_t **out,
                           const gs_object_store_t *store, peers_t *peers,
                           const gs_deployment_t *deployment);

/** Free the records, which may be NULL.  No call to the store may be open. */
void store_records_destroy (store_records_t *records);

/** Set the last list of replicas, which may not be complete yet.
    @param list borrowed */
void store_records_replicas_set (store_records_t *records,
                                 gs_replica_list_t *list);

/** Make the calls to the store that are due.  To be called often.
    @param traffic gets the versions of services
    @param report last one of the traffic thread, or NULL
    @param complete whether the last list of replicas is complete
    @param writes whether this node holds the lease */
void store_records_tick (store_records_t *records, gs_time_t now,
                         traffic_t *traffic, const traffic_report_t *report,
                         bool complete, bool writes);

#endif
