/**
 * @file rollout_share.h
 * How many requests of a service one node sends to the target version of a
 * roll-out.  While the target is on probation, a node sends it at most a fixed
 * fraction of the requests that it has counted itself.  The fraction needs no
 * state of other nodes, so that all nodes together keep the bound while any of
 * them crash, restart with empty counters or are partitioned off.  Plain data;
 * reads no clock.
 */
#ifndef GS_POLICY_ROLLOUT_SHARE_H
#define GS_POLICY_ROLLOUT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** Part of expose_share that the target may get on probation; the remainder
    is the budget for the stages after it. */
#define ROLLOUT_PROBATION_RATIO 0.5

/** Stage of a roll-out.  The values are stored and sent between nodes. */
typedef enum
{
  ROLLOUT_IDLE = 0, /**< no request goes to the target; also the stage of a
                         node that has lost contact with the owner */
  ROLLOUT_PROBATION = 1, /**< a small fixed share, judged by each node */
  ROLLOUT_SHIFT = 2,     /**< a rising fraction of new requests */
  ROLLOUT_DRAINING = 3, /**< all new requests go to the target; requests at old
                             replicas end */
  ROLLOUT_COMPLETED = 4,  /**< all requests go to the target; final */
  ROLLOUT_ROLLED_BACK = 5 /**< no request goes to the target; final */
} rollout_stage_t;

/** One node's counters for one order.  Initialize it anew for each order. */
typedef struct
{
  double probation_share; /**< of the node's own requests */
  uint64_t requests;      /**< dispatched, to both versions */
  uint64_t exposed;       /**< of these, to the target */
  double credit;          /**< requests due to the target, below 2 */
} rollout_share_t;

/** @param expose_share setting `bounds.expose_share`, from 0 to 1 */
void rollout_share_init (rollout_share_t *share, double expose_share);

/** Spread the requests that nodes give to the target over time.  Without it,
    nodes with few requests each give their first one late, and all at once.
    To be called after rollout_share_init().
    @param seed differs between nodes, such as the incarnation */
void rollout_share_seed (rollout_share_t *share, uint64_t seed);

/**
 * Count one dispatched request and choose its version.  Called once for each
 * request, not for resends and resumed streams; resends prefer the old
 * version.
 * @param stage of this node, see rollout_plan_node_stage()
 * @param fraction of new requests that go to the target in #ROLLOUT_SHIFT, and
 *   the pace in #ROLLOUT_PROBATION, where the fixed share bounds it as well;
 *   ignored in the other stages
 * @return whether the request goes to the target
 */
bool rollout_share_take (rollout_share_t *share, rollout_stage_t stage,
                         double fraction);

/** Take back a request that was given to the target and not sent there, such
    as when no target replica had room; it then goes to the old version. */
void rollout_share_cancel (rollout_share_t *share);

#endif
