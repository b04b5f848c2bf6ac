/**
 * @file governor.h
 * Admission control of one worker (traffic thread), configured from the
 * catalogue: limits, fair shares, early rejection, the order of waiting
 * requests and retry budgets.  The functions perform no I/O; the worker sends
 * the exported usage rows to the worker with the same number on every other
 * node.
 */
#ifndef GS_ROUTING_GOVERNOR_H
#define GS_ROUTING_GOVERNOR_H

#include "garnetstack/admission.h"
#include "garnetstack/limits.h"
#include "garnetstack/router.h"

/** Bandwidth that one worker may use to send its usage to all peers. */
#define GS_GOVERNOR_EXPORT_BYTES_PER_SEC_MAX 4096
/** Shortest time between two usage messages to the same peer. */
#define GS_GOVERNOR_EXPORT_INTERVAL_MIN (500 * GS_MSEC)

typedef struct gs_governor gs_governor_t;

/** Create a governor.
    @param out receives the governor; destroy it with gs_governor_destroy()
    @param workers of this node, which share its part of each limit
    @param seed of the random number generator */
void gs_governor_create (gs_governor_t **out, unsigned workers, uint64_t seed);

/** Free a governor; NULL is ignored. */
void gs_governor_destroy (gs_governor_t *governor);

/** Update limits, shares and the number of nodes from a snapshot.  Returns at
    once if the snapshot was applied before. */
void gs_governor_refresh (gs_governor_t *governor, gs_time_t now,
                          const gs_snapshot_t *snapshot);

/**
 * Admit or reject a request.  An admitted request is counted under its limits
 * until gs_governor_release().
 * @param retry_after receives the time until a retry if rejected
 * @return GS_OK, or GS_EREFUSED with the reason in gs_error_last()
 */
gs_status_t gs_governor_admit (gs_governor_t *governor, gs_time_t now,
                               const gs_snapshot_t *snapshot,
                               gs_router_t *router,
                               const gs_request_spec_t *spec,
                               gs_time_t *retry_after);

/**
 * Reject a request that no replica can serve in time.  Under pressure, a
 * request of an account that is above its fair share or has a lower priority
 * may fill replicas only up to its headroom, and is rejected if none has that
 * much capacity left.  Part of gs_governor_admit().
 * @param query its headroom_percent is set
 * @param retry_after receives the time until a retry if rejected
 * @return GS_OK or GS_EREFUSED
 */
gs_status_t gs_governor_capacity_check (gs_governor_t *governor, gs_time_t now,
                                        gs_router_t *router,
                                        const char *account,
                                        gs_route_query_t *query,
                                        gs_time_t *retry_after);

/**
 * Check whether an attempt may be routed now.
 * @param avoid upstream where the previous attempt has just failed, or NULL
 * @return GS_OK, or GS_EREFUSED if requests with earlier deadlines take
 * precedence, a retry is not due yet or the retry budget is exhausted
 */
gs_status_t gs_governor_route_check (gs_governor_t *governor, gs_time_t now,
                                     const gs_router_t *router,
                                     gs_request_id_t id,
                                     const gs_request_spec_t *spec,
                                     uint32_t attempt, const char *avoid);

/** Report the result of routing.  A request without an upstream is queued.
    @param found whether an upstream was chosen */
void gs_governor_route_report (gs_governor_t *governor, gs_time_t now,
                               gs_request_id_t id,
                               const gs_request_spec_t *spec, bool found);

/** Release what an admitted request occupies.
    @param tokens number of tokens that were generated */
void gs_governor_release (gs_governor_t *governor, gs_time_t now,
                          gs_request_id_t id, const gs_request_spec_t *spec,
                          uint32_t tokens);

/** Export the demand at this worker, as usage rows for the worker with the
    same number on every other node.
    @return number of rows; 0 if the next message is not due yet */
size_t gs_governor_export (gs_governor_t *governor, gs_time_t now,
                           gs_usage_row_t *rows, size_t max);

/** Import the usage rows of the worker with the same number on another node.
    @param peer identifies that node */
void gs_governor_import (gs_governor_t *governor, gs_time_t now, uint64_t peer,
                         const gs_usage_row_t *rows, size_t count);

#endif
