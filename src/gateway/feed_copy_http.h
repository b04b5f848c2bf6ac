/**
 * @file feed_copy_http.h
 * Transport of feed_copy.h over HTTP.
 */
#ifndef GS_GATEWAY_FEED_COPY_HTTP_H
#define GS_GATEWAY_FEED_COPY_HTTP_H

#include "garnetstack/loop.h"
#include "fleet/feed_copy.h"

typedef struct feed_copy_http feed_copy_http_t;

/**
 * Create the transport of one copier.
 * @param out receives the transport, freed with feed_copy_http_destroy()
 * @param loop borrowed; of the control thread
 * @param path of the copies on the peer port; a string literal
 * @param body_bytes_max a longer copy fails
 */
void feed_copy_http_create (feed_copy_http_t **out, gs_loop_t *loop,
                            const char *path, size_t body_bytes_max);

/** Free a transport, which may be NULL, after its loop was destroyed. */
void feed_copy_http_destroy (feed_copy_http_t *http);

/** @return interface for feed_copy_create(); valid as long as @p http */
feed_copy_transport_t feed_copy_http_transport (feed_copy_http_t *http);

#endif
