/**
 * @file feed.h
 * Follows the objects of one kind in the store: lists them, then watches for
 * changes, and starts over when the history is gone.  It can also take in what
 * another node has followed: while the store does not answer, or because in a
 * large fleet only some nodes follow the store.  Runs on the control thread.
 */
#ifndef GS_GATEWAY_FEED_H
#define GS_GATEWAY_FEED_H

#include "garnetstack/object_store.h"
#include "garnetstack/rng.h"

typedef struct feed feed_t;

/** What a feed tells its owner. */
typedef struct
{
  void *context;
  /** An object was written or removed, or is no longer in a list. */
  void (*on_object) (void *context, gs_time_t now, const gs_object_t *object);
  /** A whole list has been read. */
  void (*on_listed) (void *context, gs_time_t now);
  void (*on_lost) (void *context, gs_time_t now);
  void (*on_back) (void *context, gs_time_t now);
} feed_listener_t;

/** @param kind copied */
void feed_create (feed_t **out, const gs_object_store_t *store,
                  const char *kind, const feed_listener_t *listener,
                  uint64_t seed);

/** To be called once no call of the store is open. */
void feed_destroy (feed_t *feed);

/** Make the next call when it is due; called often.
    @param follow this node follows the store itself; without it the feed only
    takes in what others export */
void feed_tick (feed_t *feed, gs_time_t now, bool follow);

/** @return store revision that the feed has followed to; 0 before the first
    list. */
uint64_t feed_revision (const feed_t *feed);

/** This node stops following while the store answers others: what it could
    not reach itself says nothing any more. */
void feed_leave_to_others (feed_t *feed, gs_time_t now);

/** @return since when the store has not answered this feed; 0 while it
    does. */
gs_time_t feed_lost_at (const feed_t *feed);

/** @param above revision that the other side has followed to; 0 for none
    @return what has changed since, as JSON, or all when that is not known any
    more; freed with g_free() */
char *feed_export (const feed_t *feed, uint64_t above);

/**
 * Take in what another node exported, if it is ahead of this feed.
 * @return GS_OK, also when it was not ahead, or GS_EINVAL
 */
gs_status_t feed_import (feed_t *feed, gs_time_t now, const char *text,
                         size_t length);

#endif
