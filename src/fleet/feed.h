/**
 * @file feed.h
 * Local cache of the store's objects of one kind.  A feed lists the objects,
 * watches for changes, and lists again when the store no longer has the
 * history that the watch needs.  A feed can also import what another node's
 * feed exports, which serves nodes that cannot reach the store and nodes of a
 * large fleet that do not watch the store themselves.  Runs on the control
 * thread.
 */
#ifndef GS_FLEET_FEED_H
#define GS_FLEET_FEED_H

#include "garnetstack/object_store.h"
#include "garnetstack/rng.h"

typedef struct feed feed_t;

/** Callbacks of a feed's owner; all run on the control thread. */
typedef struct
{
  void *context;
  /** An object was written or removed, or is missing from a new list.
      @param object valid during the call */
  void (*on_object) (void *context, gs_time_t now, const gs_object_t *object);
  /** All pages of a list, or a whole export, have been applied. */
  void (*on_listed) (void *context, gs_time_t now);
  /** A call to the store failed for the first time since one succeeded. */
  void (*on_store_lost) (void *context, gs_time_t now);
  /** A call to the store succeeded after on_store_lost(), or the owner called
      feed_store_lost_clear(). */
  void (*on_store_recovered) (void *context, gs_time_t now);
} feed_listener_t;

/**
 * Create a feed without objects.
 * @param out receives the feed, freed with feed_destroy()
 * @param store borrowed; must outlive the feed
 * @param kind copied
 * @param listener copied
 * @param seed of the random part of retry delays
 */
void feed_create (feed_t **out, const gs_object_store_t *store,
                  const char *kind, const feed_listener_t *listener,
                  uint64_t seed);

/** Free a feed, which may be NULL.  No call to the store may be open. */
void feed_destroy (feed_t *feed);

/**
 * Make the next call to the store when it is due.  To be called often.
 * @param follows_store whether this node reads the store itself; if false, no
 * call is made and the feed changes by feed_import() only
 */
void feed_tick (feed_t *feed, gs_time_t now, bool follows_store);

/** @return whether the feed has an object of a name */
bool feed_has (const feed_t *feed, const char *name);

/** @return kind of the objects, borrowed */
const char *feed_kind (const feed_t *feed);

/** @return store revision that the feed's objects correspond to; 0 before the
    first complete list. */
uint64_t feed_revision (const feed_t *feed);

/**
 * Clear the state set by a failed call.  To be called when this node stops
 * reading the store and relies on nodes that reach the store: its own last
 * failure is no longer relevant.  Does nothing while a call is open.
 */
void feed_store_lost_clear (feed_t *feed, gs_time_t now);

/** @return time of the first failed call since the last success; 0 when there
    is none. */
gs_time_t feed_store_lost_at (const feed_t *feed);

/**
 * Export the feed's objects for feed_import() on another node.
 * @param after_revision revision of the importing feed; 0 for none
 * @return JSON with the changes after that revision, or with all objects when
 * the removals since then are no longer known; freed with g_free()
 */
char *feed_export (const feed_t *feed, uint64_t after_revision);

/**
 * Apply the export of another node's feed, unless its revision is not greater
 * than this feed's.
 * @param text JSON from feed_export(), not necessarily terminated
 * @param length bytes of @p text
 * @return GS_OK, also when nothing was applied; GS_EINVAL when the text is
 * malformed, or holds only changes and this feed has no list yet
 */
gs_status_t feed_import (feed_t *feed, gs_time_t now, const char *text,
                         size_t length);

#endif
