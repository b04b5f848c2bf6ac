/**
 * @file aggregate.h
 * What a set of nodes reports, added up: load of replicas, use of accounts,
 * demand for services and usage counts.  Its size depends on the number of
 * replicas and accounts, not on the number of nodes.  Plain tables; no I/O.
 */
#ifndef GS_FLEET_AGGREGATE_H
#define GS_FLEET_AGGREGATE_H

#include "fleet/report.h"

/** Rows of loads, of demand or of usage in an aggregate; further ones are
    left out. */
#define AGGREGATE_ROWS_MAX 8192

typedef struct
{
  unsigned nodes;          /**< number of nodes added up */
  GArray *loads;           /**< of placer_peer_load_t */
  GArray *quota;           /**< of quota_row_t */
  GArray *demand;          /**< of traffic_demand_t */
  GArray *usage;           /**< of traffic_usage_t */
  GArray *rollout_counts;  /**< of rollout_count_t */
  GHashTable *rows_by_key; /**< private: index of the rows of all lists */
} aggregate_t;

/** Set up an aggregate of no nodes, freed with aggregate_clear(). */
void aggregate_init (aggregate_t *aggregate);
void aggregate_clear (aggregate_t *aggregate);

/** Add the last report of one node.
    @param with_usage whether to add its usage counts as well */
void aggregate_add_report (aggregate_t *sum, const traffic_report_t *report,
                           bool with_usage);

/** Add loads and use of accounts of other nodes. */
void aggregate_add (aggregate_t *sum, const aggregate_t *part);

/** Remove loads and use of accounts that were added before. */
void aggregate_subtract (aggregate_t *sum, const aggregate_t *part);

/**
 * Raise usage counts and the counters of demand to those of another aggregate
 * of the same processes, which both may know in part.  A counter never falls,
 * so the higher value is the closer one.
 * @param present whether to raise in_flight and queued as well
 */
void aggregate_raise (aggregate_t *sum, const aggregate_t *other,
                      bool present);

/** Add the usage counts, the demand and the counts of roll-outs of other
    processes.
    @param present whether to add in_flight and queued as well */
void aggregate_add_counters (aggregate_t *sum, const aggregate_t *part,
                             bool present);

#endif
