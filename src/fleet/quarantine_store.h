/**
 * @file quarantine_store.h
 * Keeps the parts and requests in quarantine in the store, so that they are
 * still known after all nodes have been killed.  Each process reads them when
 * it starts and in a new era of the store.  The holder of the lease writes
 * them when they change.  So that they also get there while no node holds the
 * lease, and soon after a store has come back without them, the other nodes
 * look at intervals whether the store lacks any and write these.  The object
 * also holds what was released, which ends a quarantine that another node, or
 * an older copy of the store, still has.  Runs on the control thread.
 */
#ifndef GS_FLEET_QUARANTINE_STORE_H
#define GS_FLEET_QUARANTINE_STORE_H

#include "garnetstack/object_store.h"
#include "policy/quarantine.h"

/** Kind of the store's objects for the quarantine. */
#define QUARANTINE_STORE_KIND "gateway-quarantine"

/** While something is in quarantine, the node of rank R looks at the store at
    this interval times R + 1, so that the number of calls grows with the
    logarithm of the number of nodes. */
#define QUARANTINE_STORE_CHECK_INTERVAL (500 * GS_MSEC)

/** By which clocks of two nodes may differ. */
#define QUARANTINE_STORE_SKEW_MAX (5 * GS_SEC)

typedef struct quarantine_store quarantine_store_t;

/**
 * @param out receives the copy, freed with quarantine_store_destroy()
 * @param store borrowed
 * @param quarantine borrowed; gets the keys that the store has
 */
void quarantine_store_create (quarantine_store_t **out,
                              const gs_object_store_t *store,
                              quarantine_t *quarantine);

/** Free the copy, which may be NULL.  No call to the store may be open. */
void quarantine_store_destroy (quarantine_store_t *copy);

/** Make the calls to the store that are due.  To be called often.
    @param wall_ms wall clock, in milliseconds
    @param rank of this node, see peers_rank()
    @param writes whether this node writes changes for all */
void quarantine_store_tick (quarantine_store_t *copy, gs_time_t now,
                            int64_t wall_ms, unsigned rank, bool writes);

#endif
