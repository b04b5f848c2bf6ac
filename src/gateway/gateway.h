/**
 * @file gateway.h
 * A node of a gateway deployment: one thread for traffic, one for control.
 */
#ifndef GS_GATEWAY_GATEWAY_H
#define GS_GATEWAY_GATEWAY_H

#include "garnetstack/deployment.h"

typedef struct gateway gateway_t;

/** Start a node.  @return GS_OK, or GS_EIO when it cannot listen */
gs_status_t gateway_create (gateway_t **out, const gs_deployment_t *settings);

/** Take no more callers, finish what is open and wait for it, at most until
    @p deadline. */
void gateway_leave (gateway_t *gateway, gs_time_t deadline);

void gateway_destroy (gateway_t *gateway);

#endif
