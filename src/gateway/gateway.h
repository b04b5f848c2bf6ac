/**
 * @file gateway.h
 * A gateway node, which has a traffic thread and a control thread.
 */
#ifndef GS_GATEWAY_GATEWAY_H
#define GS_GATEWAY_GATEWAY_H

#include "garnetstack/deployment.h"

typedef struct gateway gateway_t;

/** Start a node.
    @param settings copied
    @return GS_OK, or GS_EIO if a listener or thread can't be started */
gs_status_t gateway_create (gateway_t **out, const gs_deployment_t *settings);

/** Leave the fleet: direct callers to other nodes and wait until the open
    requests are finished, at most until @p deadline. */
void gateway_leave (gateway_t *gateway, gs_time_t deadline);

/** Stop the threads, abort open requests and free @p gateway; NULL is
    allowed. */
void gateway_destroy (gateway_t *gateway);

#endif
