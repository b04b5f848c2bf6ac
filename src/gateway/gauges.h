/**
 * @file gauges.h
 * Gauges of a gateway's metrics that are counted from tables when they are
 * asked for.
 */
#ifndef GS_GATEWAY_GAUGES_H
#define GS_GATEWAY_GAUGES_H

#include "gateway/traffic.h"

/** Replicas by service, data centre, state and sort; NULL for none. */
void gauges_set_replicas (const gs_replica_list_t *list);

/** What this node let each account with a limit use in the last window, and
    the limit of all nodes by the second; labels are accounts of the
    configuration. */
void gauges_set_accounts (const gs_route_table_t *table,
                          const traffic_report_t *report);

/** What each service has under way, and what may still be sent again. */
void gauges_set_services (const traffic_report_t *report);

#endif
