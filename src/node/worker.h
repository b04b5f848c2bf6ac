/**
 * @file worker.h
 * A worker is a traffic thread.  Each worker owns a request core with its
 * table of requests, a router and the connections to upstreams, and performs
 * the actions of the core.
 */
#ifndef GS_NODE_WORKER_H
#define GS_NODE_WORKER_H

#include "garnetstack/request.h"
#include "garnetstack/snapshot.h"
#include "node/caller.h"
#include "node/peer.h"
#include "node/trace.h"

typedef struct gs_worker gs_worker_t;

typedef struct
{
  const gs_settings_t *settings;
  uint64_t incarnation;
  unsigned shard; /**< number of this worker, in the ids of its requests */
  gs_snapshot_hub_t *hub;
  gs_peer_t *peer;
  gs_worker_t *const *workers; /**< all workers, settings->workers of them */
} gs_worker_options_t;

gs_status_t gs_worker_create (gs_worker_t **out,
                              const gs_worker_options_t *options);
void gs_worker_destroy (gs_worker_t *worker);

/**
 * Submit a request; any thread.  When the worker's queue is full, @p caller
 * receives an error.
 * @param spec copied; the worker takes over the reference to its body
 * @param caller owned by the worker from here on, also on failure
 */
void gs_worker_submit (gs_worker_t *worker, const gs_request_spec_t *spec,
                       gs_caller_t *caller);

/** Queue a frame from another node for the worker; any thread.
    The frame is dropped when the worker's queue is full.
    @param peer incarnation of the sender
    @param frame copied */
void gs_worker_frame_post (gs_worker_t *worker, uint64_t peer,
                           const gs_frame_t *frame);

/** Report that a connection to a peer process was lost, or that the process is
    connected; any thread.
    @param peer incarnation of the peer
    @param lost false if the process is connected */
void gs_worker_peer_changed (gs_worker_t *worker, uint64_t peer, bool lost);

/**
 * Send a caller the text of a request from an offset on, whichever node holds
 * the request; any thread.
 * @param offset number of tokens that the caller already has
 * @param digest of the text that the caller already has, 0 at offset 0
 * @param account that must own the request
 * @param caller owned by the worker from here on, also on failure
 */
void gs_worker_fetch (gs_worker_t *worker, gs_request_id_t id, uint32_t offset,
                      uint64_t digest, const char *account,
                      gs_caller_t *caller);

/** Hand open requests over to other nodes by @p deadline; any thread. */
void gs_worker_leave (gs_worker_t *worker, gs_time_t deadline);

/** @param sequence its low bits are the shard of the request
    @return the worker that holds requests with this sequence number */
gs_worker_t *gs_worker_by_sequence (gs_worker_t *const *workers,
                                    unsigned count, uint64_t sequence);

/** @return number of requests that have not ended; any thread. */
size_t gs_worker_open_count (const gs_worker_t *worker);

/** @param trace valid during the call */
typedef void (*gs_worker_trace_cb_t) (void *context, const gs_trace_t *trace);

/** Run @p callback on the worker's thread, with the worker's trace.
    @return GS_OK, or GS_ELIMIT when the worker's queue is full */
gs_status_t gs_worker_trace_visit (gs_worker_t *worker,
                                   gs_worker_trace_cb_t callback,
                                   void *context);

#endif
