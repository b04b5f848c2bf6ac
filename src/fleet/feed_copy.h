/**
 * @file feed_copy.h
 * Copies of a feed's objects from peers that have a newer revision.  Decides
 * when to copy and from which peer: one copy is open at a time, and it may
 * take as long as data arrive, since the transfer time depends on the number
 * of objects and on how many nodes share the peer's link.  Runs on the control
 * thread; makes no calls of its own but through its transport, and reads no
 * clock.
 */
#ifndef GS_FLEET_FEED_COPY_H
#define GS_FLEET_FEED_COPY_H

#include "garnetstack/deployment.h"
#include "fleet/feed.h"

/** Minimum time between the starts of two copies. */
#define FEED_COPY_INTERVAL (250 * GS_MSEC)
/** A copy ends without success when it receives less than
    FEED_COPY_PROGRESS_BYTES_MIN in this time.  Within a region the response
    starts after milliseconds, and after fifty times as long at a node that is
    slowed down. */
#define FEED_COPY_STALL_TIMEOUT (800 * GS_MSEC)
#define FEED_COPY_PROGRESS_BYTES_MIN ((size_t)4 << 10)
/** A peer whose copy failed is left out for this long, so that another peer
    with a newer revision is used first. */
#define FEED_COPY_PEER_RETRY_DELAY (500 * GS_MSEC)

typedef struct feed_copy feed_copy_t;

/** Carries copies from other nodes. */
typedef struct
{
  void *context;
  /** Start to read the changes of a feed after @p after_revision.  The
      transport then calls feed_copy_data_receive() and, unless the call is
      cancelled, feed_copy_finish(). */
  void (*start) (void *context, gs_time_t now, feed_copy_t *copy,
                 const gs_endpoint_t *peer, uint64_t after_revision);
  /** End the open call without feed_copy_finish(). */
  void (*cancel) (void *context);
} feed_copy_transport_t;

/** How a copy ended. */
typedef struct
{
  gs_status_t status; /**< GS_OK for a complete response with status 200 */
  const char *body;   /**< not necessarily terminated */
  size_t length;
  const char *reason; /**< of a failure */
} feed_copy_result_t;

/**
 * Create the copier of one feed.
 * @param out receives the copier, freed with feed_copy_destroy()
 * @param feed borrowed; must outlive the copier
 * @param transport copied
 */
void feed_copy_create (feed_copy_t **out, feed_t *feed,
                       const feed_copy_transport_t *transport);

/** Free a copier, which may be NULL; does not cancel an open call. */
void feed_copy_destroy (feed_copy_t *copy);

/**
 * Process the revision that a peer has; starts a copy if it is newer than the
 * feed's and none is open.
 * @param peer where the copy can be read
 */
void feed_copy_offer (feed_copy_t *copy, gs_time_t now,
                      const gs_endpoint_t *peer, uint64_t revision);

/** End a stalled copy; to be called periodically. */
void feed_copy_tick (feed_copy_t *copy, gs_time_t now);

/** Record data of the open copy as they arrive; called by the transport. */
void feed_copy_data_receive (feed_copy_t *copy, gs_time_t now, size_t length);

/** Import a complete copy, or record its failure; called by the transport. */
void feed_copy_finish (feed_copy_t *copy, gs_time_t now,
                       const feed_copy_result_t *result);

#endif
