/**
 * @file request_world.h
 * Simulation of the request and backup cores of five nodes in virtual time,
 * with simple stand-ins for the store, engines, service and callers.  All
 * randomness comes from one seed, so a run can be repeated.  Invariants are
 * checked while the simulation runs.
 */
#ifndef GS_TESTS_REQUEST_WORLD_H
#define GS_TESTS_REQUEST_WORLD_H

#include "garnetstack/backup.h"
#include "garnetstack/request.h"

#define WORLD_NODES 5
#define WORLD_ENGINES 3
#define WORLD_REQUESTS 64
#define WORLD_TOKENS 40
#define WORLD_PROMPT_TOKENS 6000 /* tokens of a long prompt */
#define WORLD_TICK_INTERVAL (5 * GS_MSEC)

typedef enum
{
  FAULT_RECLAIM,          /**< announced; the node stops two seconds later */
  FAULT_KILL,             /**< the process ends without notice */
  FAULT_SILENT,           /**< its peer connections carry nothing for 4 s */
  FAULT_STORE_OUTAGE,     /**< the store refuses all calls for three seconds */
  FAULT_STORE_REPLY_LOST, /**< the replies to the next three writes are lost */
  FAULT_PAUSE,            /**< the process stops running for longer than the
                               peers' silence timeout */
  FAULT_DUPLICATE,        /**< a request with the same key is sent to another
                               node */
  FAULT_NODE_COUNT,       /**< number of the faults above, which affect nodes
                               and the store */
  FAULT_ENGINE_KILL = FAULT_NODE_COUNT,
  FAULT_ENGINE_DRAIN,      /**< it takes no new attempts */
  FAULT_ENGINE_DISCONNECT, /**< its connections break; it keeps its streams */
  FAULT_COUNT
} world_fault_t;

typedef struct world world_t;

world_t *world_create (uint64_t seed);
void world_destroy (world_t *world);

/** Advance the simulation by WORLD_TICK_INTERVAL. */
void world_step (world_t *world);
gs_time_t world_now (const world_t *world);
gs_rng_t *world_rng (world_t *world);

/**
 * Submit a request to a node.
 * @param call true for a service call that may run once only, false for a
 * generation
 * @param key idempotency key
 * @return number of the request, -1 when the node does not accept requests or
 * all WORLD_REQUESTS are in use
 */
int world_submit (world_t *world, unsigned node, bool call, unsigned key);

/**
 * Inject a fault.
 * @param node node that is affected; engine faults use it, modulo the number
 * of engines, as the engine
 * @param request request that FAULT_DUPLICATE repeats; otherwise ignored
 */
void world_fault (world_t *world, world_fault_t fault, unsigned node,
                  int request);

/** @return node that runs the request, or else the caller's latest node. */
unsigned world_holder (const world_t *world, int request);

/** @return first other node that stores any backup, the node after the holder
    when there is none. */
unsigned world_backup (const world_t *world, int request);

/** @return state at the caller's latest node, RECEIVED when that is unknown.
 */
gs_request_state_t world_state (const world_t *world, int request);

/** @return outcome that the caller received, RECEIVED while it waits. */
gs_request_state_t world_outcome (const world_t *world, int request);

/** @return true once every caller received an outcome or gave up. */
bool world_is_settled (const world_t *world);

/** @return description of the first invariant violation, NULL for none. */
const char *world_violation (const world_t *world);

/** Computation and messages since the start. */
typedef struct
{
  uint64_t prefilled; /**< prompt and emitted tokens that attempts computed
                         before their first new token */
  uint64_t decoded;   /**< new tokens */
  uint64_t records;   /**< backup messages with a whole record */
  uint64_t progress_updates; /**< backup messages with progress */
  uint64_t ends;             /**< backup messages that end a record */
  uint64_t acks;
  uint64_t store_calls;
  uint64_t kv_moves;
} world_costs_t;

world_costs_t world_costs (const world_t *world);

/** Set the ticks between two tokens of an engine; initially 1. */
void world_set_token_interval (world_t *world, unsigned ticks);

/** Restrict new attempts to one engine; -1 allows all engines. */
void world_restrict_engine (world_t *world, int engine);

/** @return number of processes that FAULT_KILL ended. */
unsigned world_kill_count (const world_t *world);

#endif
