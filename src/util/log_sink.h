/**
 * @file log_sink.h
 * Where log lines go: a bounded buffer that a thread of its own empties into
 * a descriptor, so that a reader that stops holds up nobody else.
 */
#ifndef GS_UTIL_LOG_SINK_H
#define GS_UTIL_LOG_SINK_H

#include "garnetstack/status.h"

typedef struct gs_log_sink gs_log_sink_t;

/** Start the thread; @p fd stays the caller's. @return GS_OK or GS_EIO */
gs_status_t gs_log_sink_create (gs_log_sink_t **out, int fd);

/** Add a line; never waits for the reader.  A line that finds no room is
    counted as lost. */
void gs_log_sink_write (gs_log_sink_t *sink, const char *line);

/**
 * @param error receives the errno of the last write that failed since the
 * last call, 0 for none
 * @return lines lost since the last call
 */
unsigned gs_log_sink_lost (gs_log_sink_t *sink, int *error);

/** Write what is left, at most for a short while, and end the thread. */
void gs_log_sink_destroy (gs_log_sink_t *sink);

#endif
