/**
 * @file store.h
 * Client interface to the platform's object API: versioned objects with
 * conditional update, list and watch.  Calls return at once; results are
 * passed to callbacks on the thread that runs the port's loop.
 */
#ifndef GARNETSTACK_STORE_H
#define GARNETSTACK_STORE_H

#include "garnetstack/loop.h"
#include "garnetstack/status.h"

#include <stddef.h>
#include <stdint.h>

/** Version for a put that must create the object. */
#define GS_STORE_ABSENT 0

/** Result of one call. */
typedef struct
{
  /** GS_OK; GS_ENOTFOUND; GS_ECONFLICT with the current version;
      GS_EREFUSED when the store rejected the call without effect; GS_ELIMIT
      when a watch asks for a revision that was compacted or is above the
      store's; GS_EUNREACHABLE when nothing was sent; GS_EUNKNOWN or
      GS_ETIMEOUT when a write may have taken effect. */
  gs_status_t status;
  uint64_t version; /**< of the object; revision of the store for a watch */
  const char *body; /**< valid during the callback */
  size_t length;
} gs_store_result_t;

typedef void (*gs_store_cb_t) (void *argument,
                               const gs_store_result_t *result);

/** Interface to a store. */
typedef struct
{
  void *context;
  /** Read an object. */
  void (*get) (void *context, const char *key, gs_time_t deadline,
               gs_store_cb_t callback, void *argument);
  /** Write an object if its version is @p if_version.
      @param body copied */
  void (*put) (void *context, const char *key, uint64_t if_version,
               const char *body, size_t length, gs_time_t deadline,
               gs_store_cb_t callback, void *argument);
  /** List the keys that begin with a prefix.  The body of the result is the
      API's JSON list. */
  void (*list) (void *context, const char *prefix, gs_time_t deadline,
                gs_store_cb_t callback, void *argument);
  /** Wait for changes after revision @p after.  The body of the result lists
      them and its version is the store's revision. */
  void (*watch) (void *context, const char *prefix, uint64_t after,
                 gs_time_t deadline, gs_store_cb_t callback, void *argument);
  /** Remove an object if its version is @p if_version. */
  void (*remove) (void *context, const char *key, uint64_t if_version,
                  gs_time_t deadline, gs_store_cb_t callback, void *argument);
} gs_store_port_t;

/**
 * Create a port that calls the object API over HTTP.
 * @param loop runs the transfers and callbacks; must outlive the port's calls
 * @param url base URL; copied
 * @return GS_OK.  The caller frees the port with gs_store_http_destroy() after
 *   the loop has ended.
 */
gs_status_t gs_store_http_create (gs_store_port_t *out, gs_loop_t *loop,
                                  const char *url);
void gs_store_http_destroy (gs_store_port_t *port);

#endif
