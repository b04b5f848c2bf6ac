/**
 * @file origin_store.h
 * Keeps in the store which software version began each stream, so that streams
 * go on after all nodes have been killed.  A node that writes has one object
 * of its own; each process reads those of all nodes once, at startup.  Runs on
 * the control thread.
 */
#ifndef GS_FLEET_ORIGIN_STORE_H
#define GS_FLEET_ORIGIN_STORE_H

#include "garnetstack/object_store.h"
#include "fleet/stream_origins.h"

/** Kind of the store's objects, one for each node that writes. */
#define ORIGIN_STORE_KIND "gateway-origins"
/** Shortest time between two writes. */
#define ORIGIN_STORE_INTERVAL (150 * GS_MSEC)
/** Streams in an object; the oldest are left out.  A row has at most 64 bytes
    as JSON, so that a full object stays below the store's limit of 1 MB. */
#define ORIGIN_STORE_ROWS_MAX 15000
/** A difference between the wall clocks of two nodes that is tolerated. */
#define ORIGIN_STORE_SKEW_MAX (5 * GS_SEC)

typedef struct origin_store origin_store_t;

/**
 * @param out receives the origin store, freed with origin_store_destroy()
 * @param store borrowed
 * @param node name of this node, copied
 * @param origins borrowed; gets the streams of the store's objects, and has
 * those that are written
 */
void origin_store_create (origin_store_t **out, const gs_object_store_t *store,
                          const char *node, stream_origins_t *origins);

/** Free the origin store, which may be NULL.  No call to the store may be
    open. */
void origin_store_destroy (origin_store_t *kept);

/**
 * Make the calls to the store that are due.  To be called often.
 * @param wall_ms Unix time in milliseconds at @p now
 * @param sources flags of the streams that this node writes, as in
 * stream_origins.h; 0 for none
 */
void origin_store_tick (origin_store_t *kept, gs_time_t now, int64_t wall_ms,
                        unsigned sources);

#endif
