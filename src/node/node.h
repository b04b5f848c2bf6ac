/**
 * @file node.h
 * The node daemon: creates and connects the control thread, traffic threads,
 * peer connections and HTTP interfaces.
 */
#ifndef GS_NODE_NODE_H
#define GS_NODE_NODE_H

#include "garnetstack/clock.h"
#include "garnetstack/settings.h"

#include <stdbool.h>

typedef struct gs_node gs_node_t;

/** Start all threads.
    @return GS_OK, or the error of the part that failed to start */
gs_status_t gs_node_create (gs_node_t **out, const gs_settings_t *settings);

/**
 * Check whether the platform reclaims this VM; any thread.
 * @param deadline receives the time of the reclaim, GS_TIME_NEVER if the
 * platform gave none
 * @return true if the platform has announced it
 */
bool gs_node_leave_requested (const gs_node_t *node, gs_time_t *deadline);

/** Drain the node: stop taking requests and hand over those still open.
    Returns once no request is open, at the latest at @p deadline. */
void gs_node_leave (gs_node_t *node, gs_time_t deadline);

void gs_node_destroy (gs_node_t *node);

#endif
