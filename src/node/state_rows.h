/**
 * @file state_rows.h
 * Rows of the state tables that come from a snapshot, each with its reason.
 */
#ifndef GS_NODE_STATE_ROWS_H
#define GS_NODE_STATE_ROWS_H

#include "garnetstack/snapshot.h"

#include <glib.h>
#include <jansson.h>

/** @param self name of this node
    @return an array of flat objects, owned by the caller; NULL if @p table is
    not one of these tables */
json_t *gs_state_rows (const gs_snapshot_t *snapshot, const char *table,
                       const char *self);

#endif
