/**
 * @file membership.h
 * This node's entry in the store, by which nodes find each other, and the
 * entries of the others.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_MEMBERSHIP_H
#define GS_GATEWAY_MEMBERSHIP_H

#include "garnetstack/object_store.h"
#include "gateway/peers.h"

/** Kind of the entries of nodes. */
#define MEMBERSHIP_KIND "gateway-nodes"

typedef struct membership membership_t;

void membership_create (membership_t **out, const gs_object_store_t *store,
                        peers_t *peers, const digest_member_t *self,
                        uint64_t seed);
void membership_destroy (membership_t *membership);

/** Make the calls that are due; called often.
    @param follow this node follows the entries of the others */
void membership_tick (membership_t *membership, gs_time_t now, bool follow);

/** Remove this node's entry, as the process is about to end. */
void membership_leave (membership_t *membership, gs_time_t now);

#endif
