/**
 * @file gauges.h
 * Gauges of a node in the Prometheus text format.
 */
#ifndef GS_NODE_GAUGES_H
#define GS_NODE_GAUGES_H

#include "garnetstack/snapshot.h"

#include <glib.h>
#include <jansson.h>

/** Append the gauges of a snapshot. */
void gs_gauges_snapshot_append (GString *text, const gs_snapshot_t *snapshot);

/** Append the usage of each account.
    @param totals as filled in by gs_trace_accounts_add() */
void gs_gauges_accounts_append (GString *text, const json_t *totals);

#endif
