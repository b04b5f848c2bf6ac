/**
 * @file send_history.h
 * Remembers which requests a node has sent to which processes of replicas.  A
 * replica may write what it has answered once more on the same connection, and
 * only the id of a request tells its answers apart.  So a request must not go
 * to a process again on a connection that may have carried it before, whether
 * this node sends it again or another node has passed it on a second time.
 * The functions read no clock and do no I/O.
 */
#ifndef GS_POLICY_SEND_HISTORY_H
#define GS_POLICY_SEND_HISTORY_H

#include "garnetstack/clock.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct send_history send_history_t;

/** @param out receives the history, to be freed with send_history_destroy()
    @param rows_max sends that are remembered at once; while there are more,
    each request is taken for one that was sent before */
void send_history_create (send_history_t **out, unsigned rows_max);
void send_history_destroy (send_history_t *history);

/** Record that a request is sent to a process.
    @param id of the request
    @param process hash of the process
    @param deadline of the request; no node sends it later
    @return whether it may have been sent there before */
bool send_history_add (send_history_t *history, gs_time_t now, const char *id,
                       uint64_t process, gs_time_t deadline);

/** @return number of sends that are remembered */
unsigned send_history_length (const send_history_t *history);

#endif
