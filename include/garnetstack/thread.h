/**
 * @file thread.h
 * Named threads whose CPU time is reported as metrics.
 */
#ifndef GARNETSTACK_THREAD_H
#define GARNETSTACK_THREAD_H

#include "garnetstack/status.h"

#include <glib.h>

typedef struct gs_thread gs_thread_t;

/**
 * Start a thread.  All signals are blocked in it, whatever the signal mask of
 * its creator, so that they reach the thread that waits for them.
 * @param out receives the thread, or NULL on failure; freed with
 * gs_thread_join()
 * @param name name shown by the system and in metrics; truncated to 15 bytes,
 * copied
 * @return GS_OK or GS_EIO
 */
gs_status_t gs_thread_start (gs_thread_t **out, const char *name,
                             void *(*run) (void *), void *context);

/** Wait until a thread has ended and free it; NULL is allowed. */
void gs_thread_join (gs_thread_t *thread);

/** Append the CPU time and resident memory of the process and the CPU time of
    each running thread, in the format of /metrics. */
void gs_thread_append_metrics (GString *text);

#endif
