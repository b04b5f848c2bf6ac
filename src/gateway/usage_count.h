/**
 * @file usage_count.h
 * Requests of each client account that began to run, by windows of the wall
 * clock.  Plain functions over a table.
 */
#ifndef GS_GATEWAY_USAGE_COUNT_H
#define GS_GATEWAY_USAGE_COUNT_H

#include "garnetstack/clock.h"

#include <glib.h>

typedef struct usage_count usage_count_t;

/** @param window length of a window
    @param kept windows that are kept, the present one included */
void usage_count_create (usage_count_t **out, gs_time_t window, unsigned kept);
void usage_count_destroy (usage_count_t *count);

/** @return the number of the window that holds a time of the wall clock. */
int64_t usage_count_window (const usage_count_t *count, int64_t wall);

/** A request began to run. */
void usage_count_note (usage_count_t *count, int64_t wall,
                       const char *account);

/** Append all that is kept to @p out, an array of traffic_usage_t. */
void usage_count_export (usage_count_t *count, int64_t wall, GArray *out);

#endif
