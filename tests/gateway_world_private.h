/**
 * @file gateway_world_private.h
 * Connection handlers of the stand-ins for store, provider and replicas.
 */
#ifndef GS_TESTS_GATEWAY_WORLD_PRIVATE_H
#define GS_TESTS_GATEWAY_WORLD_PRIVATE_H

#include "gateway_world.h"

/* A stand-in that sends no response closes the connection after this time.  */
#define SILENCE_TIMEOUT (5 * GS_SEC)

/** Write an object while the caller holds the world's lock.
    @param spec borrowed
    @return the object, borrowed */
json_t *world_object_put_locked (gateway_world_t *world, const char *kind,
                                 const char *name, json_t *spec);

/** Serve a connection to the store; @p context is a world_store_t. */
void world_serve_store (void *context, raw_conn_t *conn);

/** Serve a connection to the provider; @p context is the world. */
void world_serve_provider (void *context, raw_conn_t *conn);

/** Serve a connection to a replica; @p context is a world_replica_t. */
void world_serve_replica (void *context, raw_conn_t *conn);

/** @return arrivals of an attempt, borrowed, while the caller holds the
    world's lock; NULL if there are none */
const GPtrArray *world_arrivals_locked (const gateway_world_t *world,
                                        const char *id);

#endif
