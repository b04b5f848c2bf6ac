/**
 * @file lag.h
 * Estimates the age of load reports.  Reports carry no age, but they follow
 * the sequences that this router sends: the delay at which the router's own
 * changes correlate best with changes of the reports is taken as the age.
 */
#ifndef GS_ROUTING_LAG_H
#define GS_ROUTING_LAG_H

#include "garnetstack/clock.h"

#include <stdint.h>

#define LAG_BIN_INTERVAL (250 * GS_MSEC)
/** Highest age that can be estimated, in bins. */
#define LAG_BINS_MAX 12
/** Bins of a history: the highest age plus an interval between reports. */
#define LAG_HISTORY_BINS 20

/** Sequences sent to one replica minus those ended, per bin of time. */
typedef struct
{
  int16_t net[LAG_HISTORY_BINS];
  int64_t newest; /**< number of the newest bin */
} lag_history_t;

/** Evidence for each age, over all replicas of a router. */
typedef struct
{
  /** By age in bins: decaying sum of the products of each change between two
      reports and the net change of own sequences that long before. */
  double evidence[LAG_BINS_MAX + 1];
  unsigned bins; /**< current estimate */
} lag_estimate_t;

/** Start with an age of one bin. */
void lag_estimate_init (lag_estimate_t *estimate);

/** Add a change of the number of sequences at a replica.
    @param change 1 for a sequence that was sent, -1 for one that ended */
void lag_history_add (lag_history_t *history, gs_time_t now, int change);

/** @return net change since the start of the bin of @p since, up to and
    including the bin of @p now. */
int lag_history_net (const lag_history_t *history, gs_time_t now,
                     gs_time_t since);

/** Update the estimate from two successive reports of a replica.
    @param previous_at time of the earlier report
    @param reported_at time of the later report
    @param change difference of the reported sequences */
void lag_estimate_update (lag_estimate_t *estimate,
                          const lag_history_t *history, gs_time_t previous_at,
                          gs_time_t reported_at, int change);

/** @return estimated age of a report at the time it is received. */
gs_time_t lag_estimate_age (const lag_estimate_t *estimate);

#endif
