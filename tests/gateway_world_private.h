/**
 * @file gateway_world_private.h
 * What the stand-ins of the platform's store, provider and replicas share.
 */
#ifndef GS_TESTS_GATEWAY_WORLD_PRIVATE_H
#define GS_TESTS_GATEWAY_WORLD_PRIVATE_H

#include "gateway_world.h"

/* Longest time that a stand-in says nothing.  */
#define HANG (5 * GS_SEC)

/** Serve a connection to the store; @p context is a world_store_t. */
void world_serve_store (void *context, raw_conn_t *conn);

/** Serve a connection to the provider; @p context is the world. */
void world_serve_provider (void *context, raw_conn_t *conn);

/** Serve a connection to a replica; @p context is a world_replica_t. */
void world_serve_replica (void *context, raw_conn_t *conn);

#endif
