/**
 * @file peers_http.h
 * Carries the calls of peers.h as HTTP requests of a loop.
 */
#ifndef GS_GATEWAY_PEERS_HTTP_H
#define GS_GATEWAY_PEERS_HTTP_H

#include "garnetstack/loop.h"
#include "fleet/peers.h"

/** @param loop borrowed; gs_loop_destroy() destroys the transport */
void peers_http_init (peers_transport_t *out, gs_loop_t *loop);

#endif
