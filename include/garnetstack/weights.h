/**
 * @file weights.h
 * Client interface to the store of model weights, whose rate is limited.
 * Calls return at once; results are passed to callbacks on the thread that
 * runs the port's loop.
 */
#ifndef GARNETSTACK_WEIGHTS_H
#define GARNETSTACK_WEIGHTS_H

#include "garnetstack/loop.h"
#include "garnetstack/status.h"

#include <stdint.h>

/** Result of a fetch. */
typedef struct
{
  /** GS_OK; GS_EREFUSED above the rate limit; GS_ENOTFOUND; otherwise the
      call failed and may be repeated. */
  gs_status_t status;
  uint64_t bytes; /**< size of the weights */
} gs_weights_result_t;

typedef void (*gs_weights_cb_t) (void *argument,
                                 const gs_weights_result_t *result);

/** Interface to a weight store. */
typedef struct
{
  void *context;
  /** Fetch the weights of a version of a model. */
  void (*fetch) (void *context, const char *model, const char *version,
                 gs_time_t deadline, gs_weights_cb_t callback, void *argument);
} gs_weights_port_t;

/**
 * Create a port that calls the weight store over HTTP.
 * @param loop runs the transfers and callbacks; must outlive the port's calls
 * @param url base URL; copied
 * @return GS_OK.  The caller frees the port with gs_weights_http_destroy()
 *   after the loop has ended.
 */
gs_status_t gs_weights_http_create (gs_weights_port_t *out, gs_loop_t *loop,
                                    const char *url);
void gs_weights_http_destroy (gs_weights_port_t *port);

#endif
