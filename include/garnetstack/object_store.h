/**
 * @file object_store.h
 * Interface to a store of objects, each with a kind, a name and a revision,
 * that offers conditional writes, lists and watches.  Each function returns at
 * once; its callback runs on the loop that owns the store, exactly once for
 * each call.
 */
#ifndef GARNETSTACK_OBJECT_STORE_H
#define GARNETSTACK_OBJECT_STORE_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** A store may come back from a copy that is some seconds old, and gives
    revisions out again.  It then is in a new era, whose number is part of each
    revision, above the store's own number: a later revision is always the
    higher one.  The era is 0 for a store that names none. */
#define GS_OBJECT_ERA_SHIFT 40

/** @return era of the store that a revision belongs to */
static inline uint64_t
gs_object_revision_era (uint64_t revision)
{
  return revision >> GS_OBJECT_ERA_SHIFT;
}

/** An object, or the event that it was removed. */
typedef struct
{
  const char *name;  /**< borrowed */
  uint64_t revision; /**< of its last change */
  bool removed;
  json_t *value;        /**< borrowed; NULL when removed */
  const json_t *status; /**< borrowed; state that has been written beside the
                             value; NULL if none, or in a copy from a peer */
} gs_object_t;

/** Result of a call; valid during the callback. */
typedef struct
{
  /** - GS_OK
      - GS_ENOTFOUND: there is no such object
      - GS_ECONFLICT: the object has another revision; for put, objects holds
        the stored object
      - GS_ELIMIT: the store no longer has the history that a watch asks for
      - GS_EREFUSED: the store rejected the call and did nothing
      - GS_EUNREACHABLE: nothing was sent
      - GS_EUNKNOWN, GS_ETIMEOUT: a write may have taken effect, or may still
        do so
      - GS_EINVAL: the store called the request invalid, or its response
        cannot be read */
  gs_status_t status;
  uint64_t revision; /**< of the store, for lists and watches; of the object,
                          for get and put */
  uint64_t era;      /**< of the store, in any response; 1 or 2 if it has never
                          come back older; 0 if it names none */
  bool incomplete;   /**< a response with objects began and did not end */
  bool more;         /**< the list has a next page, which starts after the name
                          of the last object of this one */
  unsigned count;    /**< number of objects */
  const gs_object_t *objects;
} gs_object_result_t;

/** @param argument as given to the call */
typedef void (*gs_object_cb_t) (void *argument,
                                const gs_object_result_t *result);

/** A store.  Strings given to its functions are copied; @p deadline is the
    time by which a call ends. */
typedef struct
{
  void *context; /**< first argument of each function */
  /** List the objects of a kind, page by page.
      @param after_name last name of the previous page; NULL for the first
      page */
  void (*list) (void *context, const char *kind, const char *after_name,
                gs_time_t deadline, gs_object_cb_t callback, void *argument);
  /** Wait for changes after a revision, until shortly before the deadline,
      which is that of the start of the response: how long the changes take to
      arrive depends on their size.  Ends with GS_OK and no object when there
      were none. */
  void (*watch) (void *context, const char *kind, uint64_t after_revision,
                 gs_time_t deadline, gs_object_cb_t callback, void *argument);
  /** Read one object. */
  void (*get) (void *context, const char *kind, const char *name,
               gs_time_t deadline, gs_object_cb_t callback, void *argument);
  /** Write an object if it has the given revision.
      @param revision that the object must have; 0 when it must not exist
      @param value ownership is taken */
  void (*put) (void *context, const char *kind, const char *name,
               uint64_t revision, json_t *value, gs_time_t deadline,
               gs_object_cb_t callback, void *argument);
  /** Remove an object if it has the given revision. */
  void (*remove) (void *context, const char *kind, const char *name,
                  uint64_t revision, gs_time_t deadline,
                  gs_object_cb_t callback, void *argument);
  /** @return highest era that the store has named in any response; 0 for none.
      NULL for a store without eras. */
  uint64_t (*era) (void *context);
  /** Write the status of an object if it has the given revision, and leave its
      value as it is.  The object gets a new revision.
      @param value the object's present value; borrowed
      @param status ownership is taken */
  void (*put_status) (void *context, const char *kind, const char *name,
                      uint64_t revision, const json_t *value, json_t *status,
                      gs_time_t deadline, gs_object_cb_t callback,
                      void *argument);
} gs_object_store_t;

#endif
