/**
 * @file log_sink.h
 * Output of the log: a bounded buffer that a separate thread writes to a
 * descriptor, so that a stalled reader does not block the threads that log.
 */
#ifndef GS_UTIL_LOG_SINK_H
#define GS_UTIL_LOG_SINK_H

#include "garnetstack/status.h"

typedef struct gs_log_sink gs_log_sink_t;

/** Create a sink and start its thread.
    @param fd descriptor to write to; the caller closes it
    @return GS_OK or GS_EIO */
gs_status_t gs_log_sink_create (gs_log_sink_t **out, int fd);

/** Append a line to the buffer without waiting for the reader.  A line that
    does not fit is counted as lost. */
void gs_log_sink_write (gs_log_sink_t *sink, const char *line);

/**
 * Return and reset the count of lost lines.  The next line written is taken to
 * tell it, and finds room.
 * @param error receives the errno of the last failed write since the previous
 * call, 0 for none
 * @return number of lines lost since the last call that did not return 0; 0
 * also while there is no room for a line that tells it
 */
unsigned gs_log_sink_lost_take (gs_log_sink_t *sink, int *error);

/** Write the buffered lines, for a bounded time, stop the thread and free the
    sink; NULL is allowed. */
void gs_log_sink_destroy (gs_log_sink_t *sink);

#endif
