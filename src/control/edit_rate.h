/**
 * @file edit_rate.h
 * Limits the changes that an operator makes to the catalogue in any hour.
 * Each node counts the changes that it receives.  Used by the control thread
 * only.
 */
#ifndef GS_CONTROL_EDIT_RATE_H
#define GS_CONTROL_EDIT_RATE_H

#include "garnetstack/clock.h"
#include "garnetstack/status.h"

#include <stdint.h>

typedef struct gs_edit_rate gs_edit_rate_t;

void gs_edit_rate_create (gs_edit_rate_t **out);
void gs_edit_rate_destroy (gs_edit_rate_t *rate);

/**
 * Count one change of an operator unless the limit is reached.
 * @param max largest number of changes in any hour; at least 1
 * @param retry_after set on rejection: the time from @p now until the next
 * change is permitted
 * @return GS_OK, or GS_EREFUSED if the change is rejected and not counted
 */
gs_status_t gs_edit_rate_reserve (gs_edit_rate_t *rate, gs_time_t now,
                                  const char *operator_name, uint64_t max,
                                  gs_time_t *retry_after);

/** Stop counting a change that was not made.
    @param counted_at time at which it was counted */
void gs_edit_rate_release (gs_edit_rate_t *rate, const char *operator_name,
                           gs_time_t counted_at);

#endif
