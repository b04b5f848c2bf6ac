/**
 * @file replica.h
 * Replica table of one router, indexed by slot number.  It combines the state
 * listed in snapshots with the attempts that this router sent and the slowness
 * that it observed.
 */
#ifndef GS_ROUTING_REPLICA_H
#define GS_ROUTING_REPLICA_H

#include "garnetstack/prefix.h"
#include "garnetstack/snapshot.h"
#include "routing/lag.h"

#include <glib.h>

/** Upper bound on replicas, over all targets. */
#define REPLICA_SLOTS_MAX 4096
#define REPLICA_SLOT_NONE UINT16_MAX

typedef struct replica_target replica_target_t;

typedef struct
{
  uint64_t name_hash;
  uint64_t last_decision; /* number of the last one that considered it */
  replica_target_t *target;
  gs_upstream_kind_t kind;
  bool live;
  bool reclaimable;
  double price;               /* per hour, in millionths */
  uint64_t snapshot_sequence; /* last snapshot that lists it */
  /* Load as reported, and attempts of this router.  */
  gs_time_t reported_at;
  uint32_t reported_sequences; /* sequences, running and queued */
  uint32_t queued_tokens;
  uint32_t batch_max;
  uint32_t in_flight;
  uint32_t in_flight_max; /* this router's share of the limit of the VM */
  lag_history_t history;
  double backlog; /* prompt tokens sent, not yet computed; estimated */
  gs_time_t backlog_at;
  /* Health.  */
  double slowness; /* observed token interval over the assumed one */
  gs_time_t slowness_at;
  gs_time_t first_seen; /* 0 if listed in the first snapshot */
  unsigned failures;    /* consecutive */
  unsigned ejections;   /* since the last success */
  gs_time_t ejected_until;
  uint64_t cache_revision; /* of the last cache event that was applied */
  char name[GS_NAME_BYTES];
  char url[GS_URL_BYTES];
} replica_t;

/** Replicas of one model or service. */
struct replica_target
{
  GArray *slots; /* uint16_t, cheapest first */
  unsigned ejected_count;
  unsigned active_count; /* cheapest ones in regular use, if the target is
                            too large to compare all replicas */
};

typedef struct
{
  replica_t *replicas;
  unsigned slots_used;     /* slots below it have been used */
  GHashTable *by_name;     /* replica_t.name -> slot + 1; keys not owned */
  GHashTable *targets;     /* name -> replica_target_t */
  GArray *upstream_slots;  /* uint16_t, by index in the latest snapshot */
  uint64_t sequence;       /* of the latest snapshot */
  uint64_t snapshot_count; /* snapshots applied that list upstreams */
  unsigned nodes;          /* live ones in the latest snapshot, at least 1 */
  unsigned workers;        /* routers per node */
  lag_estimate_t lag;
} replica_table_t;

/** Initialize a table.
    @param workers routers per node, which share the node's limits */
void replica_table_init (replica_table_t *table, unsigned workers);

/** Free what a table holds. */
void replica_table_clear (replica_table_t *table);

/** Update the table from a snapshot.
    @param index receives the cache events of the snapshot */
void replica_table_refresh (replica_table_t *table, gs_time_t now,
                            const gs_snapshot_t *snapshot,
                            gs_prefix_index_t *index);

/** @return the replica of a name, or NULL. */
replica_t *replica_table_find (const replica_table_t *table, const char *name);

/** @return the replicas of a target, or NULL. */
replica_target_t *replica_table_target (const replica_table_t *table,
                                        const char *target);

/** Record the end of an attempt.  Consecutive failures eject the replica for a
    time that doubles with each ejection. */
void replica_attempt_end (replica_t *replica, gs_time_t now, bool failed);

/** Update the slowness of a replica.
    @param ratio observed over expected time; 1 is as expected */
void replica_slowness_observe (replica_t *replica, gs_time_t now,
                               double ratio);

/** @return slowness of a replica; it decays towards 1 without observations. */
double replica_slowness (const replica_t *replica, gs_time_t now);

/** @return estimate of the prompt tokens that wait to be computed.
    @param tokens_per_sec rate at which the replica computes them */
double replica_backlog_estimate (const replica_t *replica, gs_time_t now,
                                 double tokens_per_sec);

/** Record the dispatch of an attempt. */
void replica_attempt_start (replica_t *replica, gs_time_t now);

/**
 * @param report_age age of load reports on arrival
 * @param routers number of routers that send to the same replicas
 * @return estimated number of sequences at the replica, sent by all nodes
 */
double replica_sequences_estimate (const replica_t *replica, gs_time_t now,
                                   gs_time_t report_age, double routers);

#endif
