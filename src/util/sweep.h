/**
 * @file sweep.h
 * Cuts connections that take too long to bring in a request, however busy
 * they look: a sender of one byte now and then never falls silent.
 */
#ifndef GS_UTIL_SWEEP_H
#define GS_UTIL_SWEEP_H

#include "garnetstack/clock.h"

#include <stdbool.h>

typedef struct gs_sweep gs_sweep_t;
typedef struct gs_swept gs_swept_t;

/** @param wait longest time for a whole request
    @param threaded start a thread that looks at the connections about every
    second; without it the owner calls gs_sweep_look() */
gs_sweep_t *gs_sweep_create (gs_time_t wait, bool threaded);

/** Cut what is late. */
void gs_sweep_look (gs_sweep_t *sweep);

/** Stop; no connection may be left. */
void gs_sweep_destroy (gs_sweep_t *sweep);

/** A connection has opened and waits for a request. */
gs_swept_t *gs_sweep_open (gs_sweep_t *sweep, int fd);

/** A request has come in whole; its answer may take as long as it takes. */
void gs_sweep_received (gs_swept_t *connection);

/** The answer is out; the next request may come. */
void gs_sweep_answered (gs_swept_t *connection);

/** The connection is about to be closed; frees it. */
void gs_sweep_close (gs_swept_t *connection);

#endif
