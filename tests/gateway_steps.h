/**
 * @file gateway_steps.h
 * Steps that the tests of the gateway share: one world at a time, and how to
 * read what a caller got.
 */
#ifndef GS_TESTS_GATEWAY_STEPS_H
#define GS_TESTS_GATEWAY_STEPS_H

#include "gateway_world.h"

/** The world of the case that runs. */
extern gateway_world_t world;

/** Start the platform; a world that an earlier case left open is ended. */
void start_world (unsigned replicas);

/** Start the platform with its first configuration and one gateway. */
void start_one (unsigned replicas);
void end_world (void);

/** Start one gateway and one replica that has no room left: each connection
    is open with a stream on it.
    @return false when a connection was refused */
bool start_filled (raw_conn_t conns[WORLD_ROOM]);
void end_filled (raw_conn_t conns[WORLD_ROOM]);

/** @return status of HTTP that an answer begins with, 0 for none. */
unsigned status_of (const char *answer);

/** @return value of a header in the text of a message, freed with g_free(),
    or NULL. */
char *header_of (const char *text, const char *name);

/** @return true when a head has this line. */
bool has_line (const char *head, const char *line);

/** @return true for a stream in chunks that ends after event @p last, none
    missing. */
bool is_whole_stream (const char *text, unsigned last);

#endif
