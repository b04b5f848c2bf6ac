/**
 * @file rollout_duty.h
 * Roll-outs in service.  Each node judges the target version over the counts
 * of the fleet, and derives what it does itself from the owner's record.  The
 * owner, the node that may act for the duties, also plans the steps, writes
 * its record to the store before any node acts on it, and then the status of
 * the order.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_ROLLOUT_DUTY_H
#define GS_GATEWAY_ROLLOUT_DUTY_H

#include "fleet/rollout_feed.h"
#include "gateway/duties.h"
#include "gateway/traffic.h"

typedef struct rollout_duty rollout_duty_t;

/** The pointers are borrowed and must outlive the roll-outs. */
typedef struct
{
  const gs_deployment_t *deployment;
  const gs_object_store_t *store;
  const peers_t *peers;
  const duties_t *duties;
  rollout_feed_t *feed;
  /** Encodes the status of an order; its result is owned by the caller. */
  json_t *(*encode_status) (const gs_object_t *object,
                            gs_rollout_state_t state);
  const char *kind; /**< of the orders */
} rollout_duty_options_t;

/** @param out receives the roll-outs, freed with rollout_duty_destroy()
    @param options copied */
void rollout_duty_create (rollout_duty_t **out,
                          const rollout_duty_options_t *options);

/** Free the roll-outs, which may be NULL.  No call may be open. */
void rollout_duty_destroy (rollout_duty_t *duty);

/** Set what is known of the other nodes' load. */
void rollout_duty_peers_set (rollout_duty_t *duty,
                             const traffic_peers_t *peers);

/** Make the calls that are due.  To be called often. */
void rollout_duty_tick (rollout_duty_t *duty, gs_time_t now);

/** @return what this node does about each roll-out, an array of
    traffic_rollout_t owned by the caller; NULL if nothing was ever ordered
    and nothing is to be done */
GArray *rollout_duty_list (rollout_duty_t *duty, gs_time_t now);

/**
 * Replicas of a service that its load is planned with.  While the target may
 * still be rolled back, the other replicas must be able to serve the whole
 * load, and those of the target come on top.
 * @return @p list or a part of it, with a reference for the caller
 */
gs_replica_list_t *rollout_duty_planned_replicas (const rollout_duty_t *duty,
                                                  const char *service,
                                                  gs_replica_list_t *list);

/** @return number of replicas that rollout_duty_planned_replicas() leaves out
    in a data centre */
unsigned rollout_duty_target_count (const rollout_duty_t *duty,
                                    const char *service,
                                    const char *data_centre, bool spot);

#endif
