/**
 * @file metrics.h
 * Counters of the process, in the Prometheus text format.
 */
#ifndef GARNETSTACK_METRICS_H
#define GARNETSTACK_METRICS_H

#include <stdint.h>

typedef enum
{
  GS_METRIC_REQUESTS_RECEIVED,
  GS_METRIC_REQUESTS_ACCEPTED,
  GS_METRIC_REQUESTS_ANSWERED,
  GS_METRIC_REQUESTS_NOT_RUN,
  GS_METRIC_REQUESTS_FAILED,
  GS_METRIC_REQUESTS_UNKNOWN, /**< ended with an unknown outcome */
  GS_METRIC_DISPATCHES,       /**< attempts started */
  /** Ignored chunks and ends of attempts, such as late or repeated ones. */
  GS_METRIC_CHUNKS_DROPPED,
  GS_METRIC_TOKENS_OUT,
  /** Peer connections rejected for any reason. */
  GS_METRIC_PEERS_REFUSED,
  /** Prompt and emitted tokens that were computed again, by cause. */
  GS_METRIC_RECOMPUTED_UPSTREAM_LOST,
  GS_METRIC_RECOMPUTED_UPSTREAM_LEAVING,
  GS_METRIC_RECOMPUTED_NODE_LOST,
  GS_METRIC_RECOMPUTED_HANDED_OVER,
  GS_METRIC_REQUESTS_TAKEN_OVER,
  /** Peer connections rejected because of the peer's region. */
  GS_METRIC_PEERS_FOREIGN,
  /** Peer connections rejected because they lead to this process itself. */
  GS_METRIC_PEERS_REFLECTED,
  /** Peer connections replaced by a newer one to the same process. */
  GS_METRIC_PEERS_REPLACED,
  GS_METRIC_STORE_READS,
  GS_METRIC_STORE_WRITES,
  GS_METRIC_STORE_FAILURES,
  GS_METRIC_CATALOGUES_ADOPTED,
  GS_METRIC_CATALOGUES_REPAIRED, /**< written back to the store */
  GS_METRIC_NOTICES,             /**< new notices of reclaimed VMs */
  GS_METRIC_LOADS_ASKED,         /**< load requests sent */
  GS_METRIC_PEER_BYTES_OUT,
  GS_METRIC_LOG_LINES_SUPPRESSED,
  GS_METRIC_ADMISSIONS_REFUSED, /**< requests rejected at admission */
  GS_METRIC_INPUT_REFUSED,      /**< requests rejected before admission */
  GS_METRIC_COUNT
} gs_metric_t;

/** Add to a counter.  Safe from any thread; takes no lock. */
void gs_metric_add (gs_metric_t metric, uint64_t amount);

/** @return the value of a counter. */
uint64_t gs_metric_get (gs_metric_t metric);

/** @return all counters, and CPU time and memory of the process, in the
    Prometheus text format; freed by the caller with g_free(). */
char *gs_metrics_text (void);

#endif
