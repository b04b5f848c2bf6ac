/**
 * @file front.h
 * HTTP interface of a node for callers.
 */
#ifndef GS_NODE_FRONT_H
#define GS_NODE_FRONT_H

#include "garnetstack/server.h"
#include "garnetstack/snapshot.h"
#include "node/worker.h"

typedef struct gs_front gs_front_t;

typedef struct
{
  const gs_settings_t *settings;
  gs_snapshot_hub_t *hub;
  gs_worker_t **workers; /**< not owned */
  unsigned worker_count;
} gs_front_options_t;

gs_status_t gs_front_create (gs_front_t **out,
                             const gs_front_options_t *options);

/** Stop accepting connections; open exchanges continue. */
void gs_front_quiesce (gs_front_t *front);

/** @return number of open exchanges. */
unsigned gs_front_open_count (gs_front_t *front);

/** @return total size of the request bodies that open exchanges hold, in
    bytes. */
size_t gs_front_body_bytes (const gs_front_t *front);

/** @return number of the listening port. */
uint16_t gs_front_port (const gs_front_t *front);
void gs_front_destroy (gs_front_t *front);

/** @param key thread-specific, made by the caller with
    gs_thread_reader_release() as its destructor
    @return the calling thread's reader, created on first use */
gs_snapshot_reader_t *gs_thread_reader (pthread_key_t key,
                                        gs_snapshot_hub_t *hub);

/** Release a thread's reader; a destructor for pthread_key_create(). */
void gs_thread_reader_release (void *reader);

/** @return the key in an "Authorization: Bearer" header, NULL without one;
    valid as long as the exchange. */
const char *gs_bearer_key (const gs_exchange_t *exchange);

#endif
