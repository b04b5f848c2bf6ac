/**
 * @file thread.h
 * Named threads whose processor time can be read while they run.
 */
#ifndef GARNETSTACK_THREAD_H
#define GARNETSTACK_THREAD_H

#include "garnetstack/status.h"

#include <glib.h>

typedef struct gs_thread gs_thread_t;

/**
 * Start a thread.  It takes no signals, whatever its creator blocks: signals
 * are for the thread that waits for them.
 * @param name at most 15 bytes, shown by the system and in metrics; copied
 * @return GS_OK or GS_EIO; ended with gs_thread_join()
 */
gs_status_t gs_thread_start (gs_thread_t **out, const char *name,
                             void *(*run) (void *), void *context);

/** Wait for the end of a thread and free it; NULL is allowed. */
void gs_thread_join (gs_thread_t *thread);

/** Append a line with the processor time of the process, one with its
    resident memory and one for each running thread, in the form of
    /metrics. */
void gs_thread_append_metrics (GString *text);

#endif
