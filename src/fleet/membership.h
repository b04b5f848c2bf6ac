/**
 * @file membership.h
 * Keeps this node's entry in the store, by which nodes find each other, and
 * passes the entries of other nodes to peers.h.  The entry also records the
 * place of its process in a series of restarts, for the next process of the
 * node.  Runs on the control thread.
 */
#ifndef GS_FLEET_MEMBERSHIP_H
#define GS_FLEET_MEMBERSHIP_H

#include "garnetstack/object_store.h"
#include "fleet/feed.h"
#include "fleet/peers.h"

/** Kind of the store's objects for the entries. */
#define MEMBERSHIP_KIND "gateway-nodes"

typedef struct membership membership_t;

/**
 * Create the membership; the entry is written by membership_tick().
 * @param out receives the membership, freed with membership_destroy()
 * @param store borrowed; must outlive the membership
 * @param peers borrowed; gets the entries of other nodes
 * @param self address and incarnation of this node; copied
 * @param restart_window processes that start within it of each other belong to
 * one series of restarts
 * @param seed of the random part of retry delays
 */
void membership_create (membership_t **out, const gs_object_store_t *store,
                        peers_t *peers, const digest_member_t *self,
                        gs_time_t restart_window, uint64_t seed);

/** Free the membership, which may be NULL.  No call to the store may be
    open. */
void membership_destroy (membership_t *membership);

/** @return the entries of all nodes, for copies between nodes; owned by
    @p membership */
feed_t *membership_feed (const membership_t *membership);

/** Make the calls to the store that are due.  To be called often.
    @param follow whether this node watches the entries of other nodes; they
    are listed once in any case */
void membership_tick (membership_t *membership, gs_time_t now, bool follow);

/** Start to remove this node's entry, as the process is about to end;
    membership_tick() repeats failed attempts. */
void membership_leave (membership_t *membership, gs_time_t now);

#endif
