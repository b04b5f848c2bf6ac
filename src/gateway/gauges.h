/**
 * @file gauges.h
 * Gauges of the gateway that are computed from its tables when the metrics are
 * read.
 */
#ifndef GS_GATEWAY_GAUGES_H
#define GS_GATEWAY_GAUGES_H

#include "gateway/traffic.h"
#include "policy/scaler.h"

/** Set the number of replicas by service, data centre, state and whether they
    are reclaimable.
    @param list may be NULL */
void gauges_replicas_set (const gs_replica_list_t *list);

/** Set, for each account with a limit, what this node let it use in the last
    quota window, and its limit per second over all nodes.  Labels are the
    accounts of the configuration. */
void gauges_accounts_set (const gs_route_table_t *table,
                          const traffic_report_t *report);

/** Set the requests in flight and queued and the remaining resends of each
    service, the open exchanges, and the observed read speed of engines. */
void gauges_services_set (const traffic_report_t *report);

/** Set what the last plan of a service's replicas rests on.  Only the node
   that orders replicas has these gauges. */
void gauges_plan_set (const char *service, const scaler_mix_summary_t *plan);

/** Remove these gauges, when another node orders replicas. */
void gauges_plan_clear (void);

#endif
