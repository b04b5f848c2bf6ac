/**
 * @file stream_steps.h
 * Steps of process tests in which callers begin streams and resume them.
 */
#ifndef GS_TESTS_STREAM_STEPS_H
#define GS_TESTS_STREAM_STEPS_H

#include "gateway_steps.h"

#define STREAMS 12
#define EVENT_COUNT 6
#define EVENTS_READ 2 /**< before a caller disconnects */

typedef struct
{
  unsigned complete;  /**< went on to their ends */
  unsigned refused;   /**< with status 503, and reached no replica */
  unsigned elsewhere; /**< reached another version than before */
} outcome_t;

/** Send a request for a stream.
    @param behaviour of the replica
    @param id of the attempt
    @param headers further ones, each with its line end */
void send_stream_request (raw_conn_t *conn, const char *behaviour,
                          const char *id, const char *headers);

/** Begin streams at gateways in turn, whose callers disconnect after
    EVENTS_READ events. */
void begin_streams (unsigned gateways);

/** Resume a stream of begin_streams() at a gateway. */
void send_resume (raw_conn_t *conn, unsigned stream, unsigned gateway);

/** Read the answers to send_resume() and close the connections. */
outcome_t read_resumed (raw_conn_t conns[STREAMS]);

/** Resume all streams at once, each at a gateway other than its first one if
    there are several. */
outcome_t resume_streams (unsigned gateways);

#endif
