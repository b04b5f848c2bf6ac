/**
 * @file usage_count.h
 * Counts the requests of each client account that a replica began to run, by
 * windows of the wall clock.  The functions make no calls and read no clock.
 */
#ifndef GS_GATEWAY_USAGE_COUNT_H
#define GS_GATEWAY_USAGE_COUNT_H

#include "garnetstack/clock.h"

#include <glib.h>

typedef struct usage_count usage_count_t;

/** @param out receives the counts, freed with usage_count_destroy()
    @param window_length length of a window
    @param window_count windows that are kept, with the present one */
void usage_count_create (usage_count_t **out, gs_time_t window_length,
                         unsigned window_count);

/** Free the counts, which may be NULL. */
void usage_count_destroy (usage_count_t *count);

/** @param wall microseconds since the Unix epoch
    @return number of the window that contains it */
int64_t usage_count_window (const usage_count_t *count, int64_t wall);

/** Count a request that began to run.
    @param wall microseconds since the Unix epoch
    @param account name of the client account; copied */
void usage_count_add (usage_count_t *count, int64_t wall, const char *account);

/** Remove the windows that are no longer kept and append the others' counts.
    @param wall microseconds since the Unix epoch
    @param out array of traffic_usage_t */
void usage_count_export (usage_count_t *count, int64_t wall, GArray *out);

#endif
