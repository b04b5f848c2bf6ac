/**
 * @file state.h
 * Replies to operators' queries of the state of the system, with the reason of
 * each row.
 */
#ifndef GS_NODE_STATE_H
#define GS_NODE_STATE_H

#include "garnetstack/server.h"
#include "garnetstack/snapshot.h"
#include "node/worker.h"

typedef struct
{
  const gs_settings_t *settings;
  gs_worker_t **workers;
  unsigned worker_count;
} gs_state_source_t;

/** @return true if @p table shows the activity of single callers. */
bool gs_state_table_is_private (const char *table);

/** Reply with the rows of one table. */
void gs_state_table_reply (const gs_state_source_t *source,
                           const gs_snapshot_t *snapshot,
                           gs_exchange_t *exchange, const char *table);

/** Reply with counters, gauges and the usage of each account. */
void gs_state_metrics_reply (const gs_state_source_t *source,
                             const gs_snapshot_t *snapshot,
                             gs_exchange_t *exchange);

/** Reply with the decisions that this node made about a request. */
void gs_state_decisions_reply (const gs_state_source_t *source,
                               gs_exchange_t *exchange, const char *id);

#endif
