/**
 * @file object_store.h
 * Port to a store of objects by kind and name, with revisions, conditional
 * writes, lists and watches.  Calls return at once; the callback runs on the
 * loop that owns the port, exactly once for each call.
 */
#ifndef GARNETSTACK_OBJECT_STORE_H
#define GARNETSTACK_OBJECT_STORE_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** One object, or the news that it was removed. */
typedef struct
{
  const char *name;
  uint64_t revision; /**< of its last change */
  bool removed;
  json_t *value; /**< borrowed; NULL when removed */
} gs_object_t;

/** Result of a call; valid during the callback. */
typedef struct
{
  /** GS_OK; GS_ENOTFOUND; GS_ECONFLICT, with the object as it is; GS_ELIMIT
      when a watch asks for history that is gone; GS_EREFUSED when the store
      says that it did nothing; GS_EUNREACHABLE when nothing was sent;
      GS_EUNKNOWN or GS_ETIMEOUT when a write may have been done, or may still
      be; GS_EINVAL for an answer that cannot be read. */
  gs_status_t status;
  uint64_t revision; /**< of the store, for lists and watches */
  bool more;         /**< a list goes on after its last name */
  unsigned count;
  const gs_object_t *objects;
} gs_object_result_t;

typedef void (*gs_object_cb_t) (void *argument,
                                const gs_object_result_t *result);

typedef struct
{
  void *context;
  /** @param after name after which to go on, NULL for the first */
  void (*list) (void *context, const char *kind, const char *after,
                gs_time_t deadline, gs_object_cb_t callback, void *argument);
  /** Wait for changes above a revision, until shortly before the deadline.
      Ends with GS_OK and no object when there were none. */
  void (*watch) (void *context, const char *kind, uint64_t above,
                 gs_time_t deadline, gs_object_cb_t callback, void *argument);
  void (*get) (void *context, const char *kind, const char *name,
               gs_time_t deadline, gs_object_cb_t callback, void *argument);
  /** Write an object.
      @param revision that it must have; 0 when it must not exist
      @param value taken over */
  void (*put) (void *context, const char *kind, const char *name,
               uint64_t revision, json_t *value, gs_time_t deadline,
               gs_object_cb_t callback, void *argument);
  void (*remove) (void *context, const char *kind, const char *name,
                  uint64_t revision, gs_time_t deadline,
                  gs_object_cb_t callback, void *argument);
} gs_object_store_t;

#endif
