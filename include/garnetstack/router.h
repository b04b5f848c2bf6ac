/**
 * @file router.h
 * Selects the upstream for each attempt.  Every traffic thread has a router of
 * its own, which reads immutable snapshots and its own replica table.  A
 * router takes no locks and performs no I/O; it must be used from one thread
 * only.
 */
#ifndef GARNETSTACK_ROUTER_H
#define GARNETSTACK_ROUTER_H

#include "garnetstack/prefix.h"
#include "garnetstack/request.h"
#include "garnetstack/snapshot.h"

/** Upper bound on the replicas that one decision compares. */
#define GS_ROUTE_CANDIDATES_MAX 32

/** Performance assumed for an engine.  Observations scale it for each
    replica. */
typedef struct
{
  double prefill_tokens_per_sec;
  gs_time_t step_base;         /**< decode step of an empty batch */
  gs_time_t step_per_sequence; /**< added per sequence in the batch */
  unsigned batch_max;          /**< used if the engine reports none */
  unsigned chunk_tokens;       /**< prompt tokens computed per step */
} gs_engine_estimate_t;

typedef struct
{
  const char *data_centre; /**< of this node; copied */
  uint64_t seed;           /**< of the random number generator */
  unsigned workers;        /**< traffic threads per node, one router each */
  size_t prefix_entries;   /**< capacity of the prefix index, in entries */
  gs_engine_estimate_t engine;
} gs_router_options_t;

#define GS_ROUTER_OPTIONS_INIT                                                \
  {                                                                           \
    .data_centre = "", .seed = 1, .workers = 1, .prefix_entries = 1 << 16,    \
    .engine                                                                   \
        = {.prefill_tokens_per_sec = 8000,                                    \
           .step_base = 18 * GS_MSEC,                                         \
           .step_per_sequence = 700,                                          \
           .batch_max = 24,                                                   \
           .chunk_tokens = 512 }                                              \
  }

/** Requirements of one attempt. */
typedef struct
{
  const char *target; /**< model or service; not owned */
  gs_upstream_kind_t kind;
  uint32_t prompt_tokens;
  uint32_t output_tokens;          /**< upper bound on generated tokens */
  const gs_prefix_probe_t *prefix; /**< of the prompt; may be NULL */
  gs_time_t first_token_deadline;  /**< from the latency target of the class */
  gs_time_t token_interval;        /**< largest mean that the class allows */
  gs_time_t deadline;              /**< of the whole request */
  unsigned weight_cost;      /**< percent; the rest weighs recomputation */
  unsigned headroom_percent; /**< usable part of batch and latency target */
  bool reclaimable;          /**< may run on reclaimable VMs */
  const char *avoid;         /**< upstream used as a last resort, or NULL */
} gs_route_query_t;

#define GS_ROUTE_QUERY_INIT                                                   \
  {                                                                           \
    .kind = GS_UPSTREAM_ENGINE, .first_token_deadline = GS_TIME_NEVER,        \
    .token_interval = GS_SEC, .deadline = GS_TIME_NEVER, .weight_cost = 50,   \
    .headroom_percent = 100, .reclaimable = true                              \
  }

typedef enum
{
  GS_ROUTE_CHEAPEST,    /**< lowest score within the latency target */
  GS_ROUTE_EARLIEST,    /**< none meets the latency target; earliest end */
  GS_ROUTE_SATURATED,   /**< all are full; none is chosen */
  GS_ROUTE_NO_UPSTREAM, /**< no usable upstream; none is chosen */
  GS_ROUTE_REASON_COUNT
} gs_route_reason_t;

/** @return lower-case name of a reason; a static string. */
const char *gs_route_reason_name (gs_route_reason_t reason);

/** A replica considered by a decision, with the predictions for it. */
typedef struct
{
  uint16_t slot;            /**< of the replica in this router */
  uint16_t cached_blocks;   /**< prompt blocks believed to be cached */
  uint32_t missing_tokens;  /**< prompt tokens to be computed */
  uint32_t batch;           /**< sequences at the replica, this one included */
  gs_time_t first_token_at; /**< predicted */
  double token_interval;    /**< predicted, microseconds */
  double nominal_token_interval; /**< without observed slowness */
  double cost;               /**< predicted, millionths of the price unit */
  double score;              /**< the lowest is chosen */
  bool meets_latency_target; /**< predicted to meet the latency target */
  bool is_full;              /**< accepts no further sequence */
} gs_route_candidate_t;

/** Result of a decision. */
typedef struct
{
  gs_route_reason_t reason;
  unsigned chosen; /**< index into candidates, valid if one was chosen */
  unsigned count;
  gs_route_candidate_t candidates[GS_ROUTE_CANDIDATES_MAX];
} gs_route_decision_t;

/** Timing of a finished attempt, from which the slowness of the replica is
    estimated. */
typedef struct
{
  const char *upstream; /**< name; not owned */
  gs_time_t dispatched_at;
  gs_time_t first_token_expected_at; /**< as predicted in the route */
  gs_time_t first_token_at;          /**< 0 if none was received */
  gs_time_t ended_at;
  double token_interval_expected; /**< as predicted in the route */
  uint32_t tokens;                /**< received */
} gs_route_observation_t;

typedef struct gs_router gs_router_t;

/** Create a router.
    @param out receives the router; destroy it with gs_router_destroy()
    @param options copied
    @return GS_OK */
gs_status_t gs_router_create (gs_router_t **out,
                              const gs_router_options_t *options);

/** Free a router; NULL is ignored. */
void gs_router_destroy (gs_router_t *router);

/** Update the replica table from a snapshot.  Returns at once if the snapshot
    was applied before.  Cache events are listed in one snapshot only, so every
    snapshot has to be applied. */
void gs_router_refresh (gs_router_t *router, gs_time_t now,
                        const gs_snapshot_t *snapshot);

/** Compare the replicas of a target and choose one.  Load counters are not
    changed; see gs_router_commit().
    @param out receives the candidates and the choice */
void gs_router_decide (gs_router_t *router, gs_time_t now,
                       const gs_route_query_t *query,
                       gs_route_decision_t *out);

/** Count an attempt as in flight at the chosen candidate of a decision, and
    its prompt as cached there. */
void gs_router_commit (gs_router_t *router, gs_time_t now,
                       const gs_route_query_t *query,
                       const gs_route_decision_t *decision);

/** @return name of a candidate's replica; owned by the router. */
const char *gs_router_upstream_name (const gs_router_t *router, uint16_t slot);

/** @return whether the latest snapshot lists an upstream as live. */
bool gs_router_upstream_is_live (const gs_router_t *router,
                                 const char *upstream);

/** Fill a query from a request and the class of its account.
    @param out borrows from @p snapshot and @p spec, which must outlive it */
void gs_route_query_fill (gs_route_query_t *out, gs_time_t now,
                          const gs_snapshot_t *snapshot,
                          const gs_request_spec_t *spec);

/** @return the latest decision of gs_router_route() as key=value pairs for a
    log line; owned by the router and valid until its next decision. */
const char *gs_router_last_decision (const gs_router_t *router);

/**
 * Choose an upstream, count the attempt as in flight there and log the
 * decision.
 * @param avoid name of an upstream used only as a last resort; may be NULL
 * @param out receives the upstream and its predicted timing
 * @return GS_OK, or GS_EREFUSED if no upstream can take the attempt
 */
gs_status_t gs_router_route (gs_router_t *router, gs_time_t now,
                             const gs_snapshot_t *snapshot, gs_request_id_t id,
                             const gs_request_spec_t *spec, uint32_t attempt,
                             const char *avoid, gs_route_t *out);

/** Count an attempt as ended.  Several failures in a row eject the replica for
    a while.
    @param status GS_OK, or any error for a failed attempt */
void gs_router_attempt_end (gs_router_t *router, gs_time_t now,
                            const char *upstream, gs_status_t status);

/** Update the estimated slowness of a replica from a finished attempt. */
void gs_router_observe (gs_router_t *router, gs_time_t now,
                        const gs_route_observation_t *observation);

#endif
