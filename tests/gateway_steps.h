/**
 * @file gateway_steps.h
 * Steps that the process tests of the gateway share: setup and teardown of the
 * test platform, and functions that inspect responses.
 */
#ifndef GS_TESTS_GATEWAY_STEPS_H
#define GS_TESTS_GATEWAY_STEPS_H

#include "gateway_world.h"

/** The platform and gateways of the current test case. */
extern gateway_world_t world;

/** Start the platform; first ends a world that an earlier case left open. */
void start_world (unsigned replicas);

/** Start the platform with its first configuration and one gateway. */
void start_gateway (unsigned replicas);

/** Stop the platform and its gateways, if they run. */
void end_world (void);

/** Start one gateway and one replica, and take the replica's whole capacity
    with one open stream per connection.
    @param conns receives the callers' connections
    @return false if a connection could not be opened */
bool start_saturated (raw_conn_t conns[WORLD_IN_FLIGHT_MAX]);

/** Close the connections of start_saturated() and end the world. */
void end_saturated (raw_conn_t conns[WORLD_IN_FLIGHT_MAX]);

/** @return HTTP status of a response, 0 if there is no status line. */
unsigned status_of (const char *answer);

/** @return value of a header of a message, freed with g_free(), or NULL. */
char *header_of (const char *text, const char *name);

/** @return true if the head of a message contains a line. */
bool head_has_line (const char *head, const char *line);

/** @return true if a chunked response contains the events from 1 to @p last in
    order and ends regularly. */
bool is_complete_stream (const char *text, unsigned last);

#endif
