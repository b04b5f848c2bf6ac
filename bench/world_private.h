/**
 * @file world_private.h
 * State of a simulation run, shared by the source files of the simulation.
 */
#ifndef GS_BENCH_WORLD_PRIVATE_H
#define GS_BENCH_WORLD_PRIVATE_H

#include "world.h"

/* Time between two snapshots of a node.  */
#define REFRESH_INTERVAL (250 * GS_MSEC)
/* Time between two load samples of a replica; SAMPLES_MAX of them are held,
   which bounds the lag that can be modelled.  */
#define SAMPLE_INTERVAL (50 * GS_MSEC)
#define SAMPLES_MAX 128
#define HOUR_SEC 3600.0

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_ENGINE, /* index: replica */
  EVENT_SAMPLE,
  EVENT_REFRESH, /* index: node */
  EVENT_RETRY,   /* index: request */
  EVENT_FAULT,
  EVENT_USAGE
} world_event_type_t;

typedef struct
{
  gs_time_t at;
  uint64_t order; /* orders events of the same time */
  world_event_type_t type;
  uint64_t index;
} world_event_t;

typedef struct
{
  gs_engine_load_t load;
  uint64_t revision; /* of the newest cache event */
} load_sample_t;

typedef struct
{
  gs_engine_model_t *model; /* NULL once the replica is lost */
  double price;             /* micros per hour */
  unsigned data_centre;
  bool reclaimable;
  gs_time_t notified_at; /* time of the reclaim notice, 0 when none */
  gs_time_t lost_at;     /* time of the loss, 0 when not lost */
  load_sample_t samples[SAMPLES_MAX];
  /* By node: newest cache revision delivered to the node.  */
  uint64_t delivered_revision[WORLD_NODES];
  gs_time_t busy_at_start; /* busy time at the start of measurement */
  gs_time_t busy;          /* busy time of the lost engine */
  gs_time_t busy_at_usage; /* busy time at the latest usage event, or of the
                            measured window after the last usage event */
  double active_cost;      /* price of the usage windows with any work */
} replica_state_t;

struct world
{
  world_options_t options;
  const world_policy_t *policy;
  gs_rng_t rng;
  gs_rng_t arrivals; /* separate, so that all policies get equal arrivals */
  workload_t *workload;
  GArray *events; /* binary heap of world_event_t */
  uint64_t order;
  gs_time_t now;
  double rate; /* arrivals per second */
  unsigned replica_count;
  replica_state_t *replicas;
  world_node_t nodes[WORLD_NODES];
  gs_catalogue_t *catalogue; /* accounts without limits in one class */
  GHashTable *requests;      /* id -> world_request_t */
  uint64_t next_id;
  uint64_t sample_count;
  unsigned reclaimed; /* replicas with a reclaim notice */
  gs_time_t reclaim_at;
  GHashTable *computed; /* blocks that any replica has computed */
  GArray *first_ms;     /* double, by answered request */
  GArray *token_ms;     /* double, by answered request */
  uint64_t in_target[WORKLOAD_ACCOUNTS]; /* requests in target */
  uint64_t offered[WORKLOAD_ACCOUNTS];
  uint64_t answered;
  uint64_t rejected;
  uint64_t retries;
  double recomputed; /* tokens */
  double prompt_tokens;
  double computed_tokens;
};

/** Add an event to the event queue. */
void world_event_push (world_t *world, gs_time_t at, world_event_type_t type,
                       uint64_t index);

/** Remove and return the earliest event. */
world_event_t world_event_pop (world_t *world);

/** @return requests per second that all replicas sustain with full batches
    when no prompt is cached. */
double world_capacity (const workload_user_t *user);

/** Create the replicas in all data centres. */
void world_replicas_create (world_t *world);

/** Create the catalogue that the governors read. */
void world_catalogue_create (world_t *world);

/** Create the entry nodes and schedule their first refresh. */
void world_nodes_create (world_t *world);

/** Record the load of all replicas and schedule the next sample. */
void world_loads_sample (world_t *world);

/** Give a node a new snapshot and schedule its next refresh. */
void world_node_refresh (world_t *world, unsigned index);

/** Add the price of each replica that did any work since the previous call
    and schedule the next call. */
void world_usage_record (world_t *world);

/** Compute the result of the measured window. */
void world_summarize (world_result_t *out, world_t *world);

#endif
