/**
 * @file sweep.h
 * Closes connections that take too long to send a complete request.  An idle
 * timeout alone does not catch a client that sends a byte now and then.
 */
#ifndef GS_UTIL_SWEEP_H
#define GS_UTIL_SWEEP_H

#include "garnetstack/clock.h"

#include <stdbool.h>

typedef struct gs_sweep gs_sweep_t;
typedef struct gs_sweep_connection gs_sweep_connection_t;

/**
 * @param receive_timeout timeout for receiving a complete request
 * @param threaded start a thread that checks the connections about once per
 * second; without it the owner calls gs_sweep_run()
 * @return freed with gs_sweep_destroy()
 */
gs_sweep_t *gs_sweep_create (gs_time_t receive_timeout, bool threaded);

/** Close the connections whose receive timeout has passed. */
void gs_sweep_run (gs_sweep_t *sweep);

/** Stop the thread and free the sweep; NULL is allowed.  All connections must
    have been removed with gs_sweep_connection_remove(). */
void gs_sweep_destroy (gs_sweep_t *sweep);

/** Add an open connection and start the timeout of its first request.
    @param fd its socket, owned by the caller */
gs_sweep_connection_t *gs_sweep_connection_add (gs_sweep_t *sweep, int fd);

/** Stop the timeout: a complete request was received.  The time for its
    response is not limited here. */
void gs_sweep_timeout_stop (gs_sweep_connection_t *connection);

/** Start the timeout of the next request: the response was sent. */
void gs_sweep_timeout_start (gs_sweep_connection_t *connection);

/** Remove and free a connection that is about to be closed. */
void gs_sweep_connection_remove (gs_sweep_connection_t *connection);

#endif
